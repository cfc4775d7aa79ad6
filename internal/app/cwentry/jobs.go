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

// startJobs starts the ledger and the duty that drives the jobs of this home.
func (e *EntryHost) startJobs() {
	o := e.opts
	home := cwjob.Coordinator{Host: o.Settings.HostID, Incarnation: uint64(o.Timer.Now().UnixNano())}
	ledger := cwtablewriter.DefaultOptions()
	ledger.Timer, ledger.Log, ledger.Table, ledger.Pool = o.Timer, o.Log, o.Table, e.pool
	ledger.WriterID, ledger.Seed = fmt.Sprintf("%s-%d", home.Host, home.Incarnation), home.Incarnation
	var stop func()
	e.ledger, stop = cwtablewriter.New(ledger)
	e.cleanup.Add(stop)

	jobs := cwjobs.DefaultOptions()
	jobs.Timer, jobs.Log, jobs.Go = o.Timer, o.Log, e.pool.Submit
	jobs.Table, jobs.Objects, jobs.Workers = o.Table, o.Objects, o.Workers
	jobs.Self, jobs.DataCentre = home, o.Settings.DataCentre
	jobs.LeaseGrace = 2 * o.Settings.ClaimTTL
	jobs.Write = e.ledger.Write
	jobs.Submit, jobs.Withdraw, jobs.ReportResult = e.scheduler.Submit, e.scheduler.CancelExisting, e.scheduler.HandleResult
	jobs.SendOrder, jobs.Acknowledge = e.links.SendOrder, e.links.Acknowledge
	jobs.PeerWithCapacity, jobs.SubmitGang = e.roomiest, e.scheduler.SubmitGang
	jobs.OnJobEnded = e.jobOver
	e.jobs, stop = cwjobs.New(jobs)
	e.cleanup.Add(stop)
	e.callers = cwjobapi.New(cwjobapi.Options{
		Timer: o.Timer, Objects: o.Objects, Store: cwjobstore.New(o.Table, o.Objects),
		Builder:      &cwsubmission.Builder{Self: home, DataCentre: o.Settings.DataCentre, SupportsGangs: true, Configuration: e.watcher.Current},
		WriteTimeout: jobs.WriteTimeout, InlineSize: jobs.InlineSize, Accept: e.jobs.Accept, Cancel: e.jobs.Cancel,
	})

	intents := cwintent.DefaultOptions()
	intents.Timer, intents.Log, intents.Table, intents.Objects, intents.Self = o.Timer, o.Log, o.Table, o.Objects, home
	intents.Write, intents.Go, intents.IsLive = e.ledger.Write, e.pool.Submit, e.isLivePeer
	e.intents = cwintent.New(intents)
	e.startSweep()
}

// How long rows are kept, and how fast the sweep goes round.
const (
	keepIntents = 24 * time.Hour
	keepJobs    = 48 * time.Hour
	sweepEvery  = 30 * time.Second
	sweepPage   = 100
	sweepCall   = 5 * time.Second
)

// startSweep starts the duty that removes expired intents and ended jobs.
func (e *EntryHost) startSweep() {
	o := e.opts
	e.cleanup.Add(cwsweep.New(cwsweep.Options{
		Timer: o.Timer, Log: o.Log, Table: o.Table, Objects: o.Objects, Write: e.ledger.Write,
		Every: sweepEvery, PageSize: sweepPage, CallTimeout: sweepCall,
		Rules: []cwsweep.Rule{
			{Prefix: cwintent.Prefix, Expired: func(now time.Time, value []byte) ([]string, bool) {
				return cwintent.Expired(now, value, keepIntents)
			}},
			{Prefix: cwjobstore.PrefixEnded, Expired: func(now time.Time, value []byte) ([]string, bool) {
				return cwjobstore.Expired(now, value, keepJobs)
			}},
		},
	}))
}

// LedgerStats returns what this host has written through its ledger.
func (e *EntryHost) LedgerStats() cwtablewriter.Stats { return e.ledger.Stats() }

// publishLedger publishes the counts of the ledger.
func (e *EntryHost) publishLedger() {
	e.metrics.RegisterCounter("currantward_ledger_transactions_total", "Calls that the ledger made to the table.", func() uint64 { return e.ledger.Stats().Transactions })
	e.metrics.RegisterCounter("currantward_ledger_rows_total", "Rows that the ledger has written.", func() uint64 { return e.ledger.Stats().Rows })
	e.metrics.RegisterRing("ledger", e.ledger.InboxLen, e.ledger.Rejected)
	e.metrics.RegisterRing("jobs", e.jobs.InboxLen, e.jobs.Rejected)
	e.metrics.RegisterGauge("currantward_table_away", "One while the table cannot be reached.", func() float64 { return boolGauge(e.ledger.IsTableUnavailable()) })
}

func boolGauge(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

func (e *EntryHost) isLivePeer(host cwmodel.HostID) bool {
	return slices.ContainsFunc(e.digests(), func(d cwport.LoadReport) bool { return d.Host == host })
}

// isDurable reports whether a task belongs to a job.
func isDurable(id cwmodel.TaskID) bool {
	_, _, ok := cwjob.ParseTaskID(id)
	return ok
}

// handBack takes what the scheduler no longer holds of a durable task.
func (e *EntryHost) handBack(action cwdecider.Action) { e.jobs.HandleAction(action) }

// ended hands the result of an attempt to the jobs, which acknowledge it once it is written, or to the scheduler.
func (e *EntryHost) ended(ctx context.Context, result cwmodel.Result) (acknowledge bool, err error) {
	if isDurable(result.Attempt.Task) {
		return false, e.jobs.HandleResult(ctx, result)
	}
	return true, e.scheduler.HandleResult(ctx, result)
}

// roomiest returns the peer of this data centre with the most room among those where a task of this demand would start at once.
func (e *EntryHost) roomiest(demand cwmodel.Resources) (host cwmodel.HostID, ok bool) {
	var best cwport.LoadReport
	for _, d := range e.digests() {
		if d.Draining || d.DataCentre != e.opts.Settings.DataCentre || !demand.FitsIn(d.LargestFree) {
			continue
		}
		if !ok || d.Free.MilliProcessors > best.Free.MilliProcessors {
			best, ok = d, true
		}
	}
	return best.Host, ok
}

// view hands the hosts of this data centre to the lease keeper and to the jobs.
func (e *EntryHost) view(workers []cwmodel.Host, hosts []cwmodel.HostID) {
	e.keeper.UpdateHosts(workers, hosts)
	e.jobs.UpdateHosts(workers, hosts)
	var uses []cwmodel.TeamUsage
	for _, d := range e.digests() {
		uses = append(uses, d.Teams...)
	}
	e.scheduler.SetRemoteUsage(uses)
}

func (e *EntryHost) submitJob(ctx context.Context, request cwmodel.Request, tasks int) (*cwjob.Job, error) {
	return e.callers.Submit(ctx, cwsubmission.Submission{Request: request, Tasks: tasks})
}
