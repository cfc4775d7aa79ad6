package cwentry

import (
	"context"
	"fmt"
	"slices"
	"time"

	"currantward/internal/app/cwintent"
	"currantward/internal/app/cwjobapi"
	"currantward/internal/app/cwjobs"
	"currantward/internal/app/cwjobstore"
	"currantward/internal/app/cwsubmission"
	"currantward/internal/app/cwsweep"
	"currantward/internal/app/cwtablewriter"
	"currantward/internal/core/cwdecider"
	"currantward/internal/core/cwjob"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
)

// startJobs starts all that keeps state in the table: the table writer, the jobs duty, the API of jobs, the deduplicator of requests and
// the sweep of expired rows.
func (e *EntryHost) startJobs() {
	o := e.opts
	self := cwjob.Coordinator{Host: o.Settings.HostID, Incarnation: uint64(o.Timer.Now().UnixNano())}
	writer := cwtablewriter.DefaultOptions()
	writer.Timer, writer.Log, writer.Table, writer.Pool = o.Timer, o.Log, o.Table, e.pool
	writer.WriterID, writer.Seed = fmt.Sprintf("%s-%d", self.Host, self.Incarnation), self.Incarnation
	var stop func()
	e.tableWriter, stop = cwtablewriter.New(writer)
	e.cleanup.Add(stop)

	jobs := cwjobs.DefaultOptions()
	jobs.Timer, jobs.Log, jobs.RunOnPool = o.Timer, o.Log, e.pool.Submit
	jobs.Table, jobs.Objects, jobs.Workers = o.Table, o.Objects, o.Workers
	jobs.Self, jobs.DataCentre = self, o.Settings.DataCentre
	// The last owner of an unlisted worker may renew leases until its claim expires; the second TTL is a margin.
	jobs.LeaseGrace = 2 * o.Settings.ClaimTTL
	jobs.Write = e.tableWriter.Write
	jobs.Submit, jobs.CancelTask, jobs.ReportResult = e.scheduler.Submit, e.scheduler.CancelExisting, e.scheduler.HandleResult
	jobs.SendOrder, jobs.Acknowledge = e.dispatcher.SendOrder, e.dispatcher.Acknowledge
	jobs.PeerWithCapacity, jobs.SubmitGang = e.peerWithCapacity, e.scheduler.SubmitGang
	jobs.OnJobEnded = e.countJobResponses
	e.jobs, stop = cwjobs.New(jobs)
	e.cleanup.Add(stop)
	e.jobAPI = cwjobapi.New(cwjobapi.Options{
		Timer: o.Timer, Objects: o.Objects, Store: cwjobstore.New(o.Table, o.Objects),
		Builder:      &cwsubmission.Builder{Self: self, DataCentre: o.Settings.DataCentre, SupportsGangs: true, Configuration: e.watcher.Current},
		WriteTimeout: jobs.WriteTimeout, InlineSize: jobs.InlineSize, Accept: e.jobs.Accept, Cancel: e.jobs.Cancel,
	})

	intents := cwintent.DefaultOptions()
	intents.Timer, intents.Log, intents.Table, intents.Objects, intents.Self = o.Timer, o.Log, o.Table, o.Objects, self
	intents.Write, intents.RunOnPool, intents.IsLive = e.tableWriter.Write, e.pool.Submit, e.isReachablePeer
	e.deduplicator = cwintent.New(intents)
	e.startSweep()
}

// Retention of rows, and pace of the sweep that removes expired rows.
const (
	intentRetention  = 24 * time.Hour
	jobRetention     = 48 * time.Hour   // after the end of the job
	sweepInterval    = 30 * time.Second // between two pages
	sweepPageSize    = 100              // rows
	sweepCallTimeout = 5 * time.Second
)

// startSweep starts the duty that removes the rows of expired intents and of jobs that ended long ago.
func (e *EntryHost) startSweep() {
	o := e.opts
	e.cleanup.Add(cwsweep.New(cwsweep.Options{
		Timer: o.Timer, Log: o.Log, Table: o.Table, Objects: o.Objects, Write: e.tableWriter.Write,
		Every: sweepInterval, PageSize: sweepPageSize, CallTimeout: sweepCallTimeout,
		Rules: []cwsweep.Rule{
			{Prefix: cwintent.Prefix, Expired: func(now time.Time, value []byte) ([]string, bool) {
				return cwintent.Expired(now, value, intentRetention)
			}},
			{Prefix: cwjobstore.PrefixEnded, Expired: func(now time.Time, value []byte) ([]string, bool) {
				return cwjobstore.Expired(now, value, jobRetention)
			}},
		},
	}))
}

// TableWriterStats returns the counters of this host's table writer.
func (e *EntryHost) TableWriterStats() cwtablewriter.Stats { return e.tableWriter.Stats() }

// registerWriterMetrics registers the metrics of the table writer and of the jobs duty.
func (e *EntryHost) registerWriterMetrics() {
	e.metrics.RegisterCounter("currantward_ledger_transactions_total", "Calls that the ledger made to the table.", func() uint64 { return e.tableWriter.Stats().Calls })
	e.metrics.RegisterCounter("currantward_ledger_rows_total", "Rows that the ledger has written.", func() uint64 { return e.tableWriter.Stats().Rows })
	e.metrics.RegisterRing("ledger", e.tableWriter.InboxLen, e.tableWriter.Rejected)
	e.metrics.RegisterRing("jobs", e.jobs.InboxLen, e.jobs.Rejected)
	e.metrics.RegisterGauge("currantward_table_away", "One while the table cannot be reached.", func() float64 { return boolToFloat(e.tableWriter.IsTableUnavailable()) })
}

// boolToFloat returns 1 for true and 0 for false, as the value of a gauge.
func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// isReachablePeer reports whether a recent load report of another entry host is known.
func (e *EntryHost) isReachablePeer(host cwmodel.HostID) bool {
	return slices.ContainsFunc(e.loadReports(), func(r cwport.LoadReport) bool { return r.Host == host })
}

// isDurable reports whether a task belongs to a job, by its ID; the other tasks are those of requests.
func isDurable(id cwmodel.TaskID) bool {
	_, _, ok := cwjob.ParseTaskID(id)
	return ok
}

// handleDurable passes the scheduler's action for a durable task to the jobs duty.
func (e *EntryHost) handleDurable(action cwdecider.Action) { e.jobs.HandleAction(action) }

// handleResult passes the result of an attempt to the scheduler, or to the jobs duty if the task is durable.
//
// The result of a durable task must not be acknowledged at once: the jobs duty does so once it has recorded the result.
func (e *EntryHost) handleResult(ctx context.Context, result cwmodel.Result) (acknowledge bool, err error) {
	if isDurable(result.Attempt.Task) {
		return false, e.jobs.HandleResult(ctx, result)
	}
	return true, e.scheduler.HandleResult(ctx, result)
}

// peerWithCapacity returns the peer of this data centre with the most free processors among those that could start a task of this demand at once.
func (e *EntryHost) peerWithCapacity(demand cwmodel.Resources) (host cwmodel.HostID, ok bool) {
	var best cwport.LoadReport
	for _, r := range e.loadReports() {
		if r.Draining || r.DataCentre != e.opts.Settings.DataCentre || !demand.FitsIn(r.LargestFree) {
			continue
		}
		if !ok || r.Free.MilliProcessors > best.Free.MilliProcessors {
			best, ok = r, true
		}
	}
	return best.Host, ok
}

// updateHosts passes the workers and the entry hosts of this data centre to the claimer and the jobs duty, and the peers' latest team usage to the
// scheduler.
func (e *EntryHost) updateHosts(workers []cwmodel.Host, hosts []cwmodel.HostID) {
	e.claimer.SetHosts(workers, hosts)
	e.jobs.UpdateHosts(workers, hosts)
	var usage []cwmodel.TeamUsage
	for _, r := range e.loadReports() {
		usage = append(usage, r.Teams...)
	}
	e.scheduler.SetRemoteUsage(usage)
}

// submitJob submits a job with the given number of tasks for a caller.
func (e *EntryHost) submitJob(ctx context.Context, request cwmodel.Request, tasks int) (*cwjob.Job, error) {
	return e.jobAPI.Submit(ctx, cwsubmission.Submission{Request: request, Tasks: tasks})
}
