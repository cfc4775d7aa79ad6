package cwjobs

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/app/cwjobrow"
	"currantward/internal/app/cwjobstore"
	"currantward/internal/app/cwtablewriter"
	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwjob"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
)

// scanDebounce is the pause before a requested scan, so that several changes of hosts cause only one scan.
const scanDebounce = 500 * time.Millisecond

// jobScan is the state of the scan of all live jobs, which finds jobs to coordinate or adopt and attempts on the workers of this host.
type jobScan struct {
	dueAt       time.Time // when the next scan starts
	afterKey    string    // the next page starts after this key; empty for the first page
	callPending bool      // a page is being read
	isActive    bool      // a scan has started and has pages left
}

// requestJobScan schedules a scan of all live jobs after scanDebounce, unless one is due earlier; during a scan it schedules another one.
//
// The scan does not start before AdoptAfter has passed since the start of this duty, since this host does not know earlier which
// coordinators are live.
func (j *Jobs) requestJobScan() {
	dueAt := j.opts.Timer.Now().Add(scanDebounce)
	earliest := j.startedAt.Add(j.opts.AdoptAfter)
	if dueAt.Before(earliest) {
		dueAt = earliest
	}
	if j.jobScan.dueAt.After(dueAt) || j.jobScan.isActive {
		j.jobScan.dueAt = dueAt
	}
}

// advanceJobScan reads the next page of an active scan, or the first page of a scan that is due. A full pool delays it to the next tick.
func (j *Jobs) advanceJobScan(ctx context.Context, now time.Time) {
	if j.jobScan.callPending || (!j.jobScan.isActive && now.Before(j.jobScan.dueAt)) {
		return
	}
	if !j.jobScan.isActive {
		j.jobScan = jobScan{isActive: true, dueAt: now.Add(j.opts.ScanEvery)}
	}
	after := j.jobScan.afterKey
	j.jobScan.callPending = j.startCall(ctx, func(ctx context.Context) event {
		rows, err := j.store.ScanLive(ctx, after)
		return event{kind: eventJobScanPage, rows: rows, err: err}
	})
}

// handleJobScanPage handles one page of live jobs. A failed scan starts again from the first page after twice RetryAfter.
func (j *Jobs) handleJobScanPage(ctx context.Context, ev event) {
	j.jobScan.callPending = false
	if ev.err != nil {
		j.opts.Log.WithFields(logrus.Fields{"error": cwfault.MessageOf(ev.err)}).Warn("job-scan-failed")
		j.jobScan.isActive, j.jobScan.dueAt = false, j.opts.Timer.Now().Add(2*j.opts.RetryAfter)
		return
	}
	for _, row := range ev.rows {
		j.jobScan.afterKey = row.Key
		job, err := cwcodec.DecodeJob(row.Value)
		if err != nil {
			j.opts.Log.WithFields(logrus.Fields{"key": row.Key, "error": cwfault.MessageOf(err)}).Error("job-not-decoded")
			continue
		}
		j.handleLiveJob(ctx, job, row.Version)
	}
	if len(ev.rows) < cwjobstore.PageSize {
		j.jobScan.isActive, j.jobScan.afterKey = false, ""
		return
	}
	j.advanceJobScan(ctx, j.opts.Timer.Now())
}

// handleLiveJob handles one live job of the scan. A job in memory is read again if its row has changed. Another job of this data centre is
// loaded if this host coordinates it, must adopt it, or may have to stop or query attempts of it on its workers.
func (j *Jobs) handleLiveJob(ctx context.Context, job *cwjob.Job, version cwport.RowVersion) {
	if e, ok := j.entries[job.ID]; ok {
		e.isStale = e.isStale || (!e.callPending && e.Version != version)
		j.advance(ctx, e)
		return
	}
	if job.DataCentre != j.opts.DataCentre {
		return
	}
	mayAdopt := j.fleet.ShouldAdopt(j.opts.Timer.Now(), job)
	if job.Coordinator != j.opts.Self && !mayAdopt && !j.fleet.NeedsReconcile(job) {
		return
	}
	e := j.ensureEntry(job.ID)
	e.Load(job, version)
	if mayAdopt {
		j.adopt(ctx, e)
		return
	}
	j.advance(ctx, e)
}

// adopt enqueues the change that makes this host the coordinator of a job whose coordinator is gone, unless the coordinator has changed in
// the meantime.
//
// The write expects the row version that was read, so a later write of the former coordinator conflicts.
func (j *Jobs) adopt(ctx context.Context, e *entry) {
	former := e.Job.Coordinator
	j.enqueue(ctx, e, cwjobrow.Change{
		Apply: func(_ time.Time, job *cwjob.Job) bool {
			isUnchanged := job.Coordinator == former
			if isUnchanged {
				job.Coordinator = j.opts.Self
			}
			return isUnchanged
		},
		Done: func(applied bool) {
			if applied {
				j.opts.Log.WithFields(logrus.Fields{"job-id": e.id, "former-home": former.Host}).Info("job-adopted")
			}
		},
	})
}

// pollHints reads the hints for this host every HintEvery: each names a job that another host changed or wants this host to reconcile.
func (j *Jobs) pollHints(ctx context.Context, now time.Time) {
	if j.hintScanPending || now.Before(j.nextHintScanAt) {
		return
	}
	j.nextHintScanAt = now.Add(j.opts.HintEvery)
	j.hintScanPending = j.startCall(ctx, func(ctx context.Context) event {
		rows, err := j.store.ScanHints(ctx, j.opts.Self.Host)
		return event{kind: eventHints, rows: rows, err: err}
	})
}

// handleHints starts to read each job that a hint names, and removes the hint. A job that another host coordinates is marked so that its
// attempts on the workers of this host are queried.
func (j *Jobs) handleHints(ctx context.Context, ev event) {
	j.hintScanPending = false
	if ev.err != nil {
		return
	}
	for _, row := range ev.rows {
		id := cwjobstore.JobOfHint(j.opts.Self.Host, row.Key)
		e := j.ensureEntry(id)
		e.isStale, e.reconcileRequested = true, !j.isCoordinator(e)
		j.advance(ctx, e)
		j.writeHint(cwjobstore.RemoveHintWrite(row))
	}
}

// hintWorkerOwner asks a worker, on the pool, which host owns it, and writes a hint that makes the owner reconcile a job.
//
// It writes no hint if the worker has no known address, is unreachable, has no owner, or is owned by this host.
func (j *Jobs) hintWorkerOwner(ctx context.Context, id cwmodel.JobID, worker cwmodel.HostID) {
	addr, ok := j.fleet.Address(worker)
	if !ok {
		return
	}
	_ = j.opts.RunOnPool(func() {
		callCtx, cancel := context.WithTimeout(ctx, j.opts.CallTimeout)
		defer cancel()
		inventory, err := j.opts.Workers.Inspect(callCtx, addr)
		if err != nil || inventory.Owner == "" || inventory.Owner == j.opts.Self.Host {
			return
		}
		j.writeHint(cwjobstore.HintWrite(inventory.Owner, id))
	})
}

// writeHint writes or removes a hint; the write is dropped after WriteTimeout, since hints are written again.
func (j *Jobs) writeHint(w cwtablewriter.Write) {
	w.Deadline = j.opts.Timer.Now().Add(j.opts.WriteTimeout)
	j.opts.Write(w)
}
