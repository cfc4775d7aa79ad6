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

// scanPause lets several changes of the hosts lead to one scan.
const scanPause = 500 * time.Millisecond

// scan is the state of the look at all live jobs.
type scan struct {
	due   time.Time
	after string
	busy  bool
	on    bool
}

// scanSoon asks for a scan of all live jobs.
func (j *Jobs) scanSoon() {
	soon := j.opts.Timer.Now().Add(scanPause)
	earliest := j.began.Add(j.opts.AdoptAfter)
	if soon.Before(earliest) {
		soon = earliest
	}
	if j.scan.due.After(soon) || j.scan.on {
		j.scan.due = soon
	}
}

// runScan reads the next page of a scan that is under way or due.
func (j *Jobs) runScan(ctx context.Context, now time.Time) {
	if j.scan.busy || (!j.scan.on && now.Before(j.scan.due)) {
		return
	}
	if !j.scan.on {
		j.scan = scan{on: true, due: now.Add(j.opts.ScanEvery)}
	}
	after := j.scan.after
	j.scan.busy = j.call(ctx, func(ctx context.Context) event {
		rows, err := j.store.ScanLive(ctx, after)
		return event{kind: eventPage, rows: rows, err: err}
	})
}

func (j *Jobs) page(ctx context.Context, back event) {
	j.scan.busy = false
	if back.err != nil {
		j.opts.Log.WithFields(logrus.Fields{"error": cwfault.MessageOf(back.err)}).Warn("job-scan-failed")
		j.scan.on, j.scan.due = false, j.opts.Timer.Now().Add(2*j.opts.RetryAfter)
		return
	}
	for _, row := range back.rows {
		j.scan.after = row.Key
		job, err := cwcodec.DecodeJob(row.Value)
		if err != nil {
			j.opts.Log.WithFields(logrus.Fields{"key": row.Key, "error": cwfault.MessageOf(err)}).Error("job-not-decoded")
			continue
		}
		j.found(ctx, job, row.Version)
	}
	if len(back.rows) < cwjobstore.PageSize {
		j.scan.on, j.scan.after = false, ""
		return
	}
	j.runScan(ctx, j.opts.Timer.Now())
}

// found looks at one live job: ours, to be adopted, or only in need of something on a worker of ours.
func (j *Jobs) found(ctx context.Context, job *cwjob.Job, version cwport.RowVersion) {
	if e, ok := j.entries[job.ID]; ok {
		e.stale = e.stale || (!e.busy && e.Version != version)
		j.advance(ctx, e)
		return
	}
	if job.DataCentre != j.opts.DataCentre {
		return
	}
	mayAdopt := j.fleet.MayAdopt(j.opts.Timer.Now(), job)
	if job.Coordinator != j.opts.Self && !mayAdopt && !j.fleet.NeedsReconcile(job) {
		return
	}
	e := j.entryOf(job.ID)
	e.Load(job, version)
	if mayAdopt {
		j.adopt(ctx, e)
		return
	}
	j.advance(ctx, e)
}

// adopt makes this host the home of a job by compare-and-set; the former home is fenced by the row's version.
func (j *Jobs) adopt(ctx context.Context, e *entry) {
	former := e.Job.Coordinator
	j.enqueue(ctx, e, cwjobrow.Change{
		Apply: func(_ time.Time, job *cwjob.Job) bool {
			isSame := job.Coordinator == former
			if isSame {
				job.Coordinator = j.opts.Self
			}
			return isSame
		},
		Done: func(applied bool) {
			if applied {
				j.opts.Log.WithFields(logrus.Fields{"job-id": e.id, "former-home": former.Host}).Info("job-adopted")
			}
		},
	})
}

// lookForHints reads which of this host's jobs others have changed.
func (j *Jobs) lookForHints(ctx context.Context, now time.Time) {
	if j.hinting || now.Before(j.nextHint) {
		return
	}
	j.nextHint = now.Add(j.opts.HintEvery)
	j.hinting = j.call(ctx, func(ctx context.Context) event {
		rows, err := j.store.ScanHints(ctx, j.opts.Self.Host)
		return event{kind: eventHints, rows: rows, err: err}
	})
}

func (j *Jobs) hints(ctx context.Context, back event) {
	j.hinting = false
	if back.err != nil {
		return
	}
	for _, row := range back.rows {
		id := cwjobstore.JobOfHint(j.opts.Self.Host, row.Key)
		e := j.entryOf(id)
		e.stale, e.hinted = true, !j.isHome(e)
		j.advance(ctx, e)
		j.writeHint(cwjobstore.RemoveHintWrite(row))
	}
}

// hintOwner tells the owner of a worker to look at a job.
func (j *Jobs) hintOwner(ctx context.Context, id cwmodel.JobID, worker cwmodel.HostID) {
	addr, ok := j.fleet.Address(worker)
	if !ok {
		return
	}
	_ = j.opts.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, j.opts.CallTimeout)
		defer cancel()
		inventory, err := j.opts.Workers.Inspect(callCtx, addr)
		if err != nil || inventory.Owner == "" || inventory.Owner == j.opts.Self.Host {
			return
		}
		j.writeHint(cwjobstore.HintWrite(inventory.Owner, id))
	})
}

func (j *Jobs) writeHint(w cwtablewriter.Write) {
	w.Deadline = j.opts.Timer.Now().Add(j.opts.WriteTimeout)
	j.opts.Write(w)
}
