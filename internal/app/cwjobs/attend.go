package cwjobs

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"currantward/internal/app/cwattempt"
	"currantward/internal/app/cwjobrow"
	"currantward/internal/core/cwdecider"
	"currantward/internal/core/cwjob"
	"currantward/internal/core/cwjobfleet"
	"currantward/internal/core/cwmodel"
)

// attend settles and stops outstanding attempts on workers that this host owns, whoever is the home of the job.
func (j *Jobs) attend(ctx context.Context, e *entry) {
	now := j.opts.Timer.Now()
	for n := range e.Job.Tasks {
		t := &e.Job.Tasks[n]
		if t.Phase != cwjob.PhaseDispatched {
			continue
		}
		h := e.task(n)
		if h.attempt != t.Attempt.Number {
			h.attempt, h.since, h.stopAt, h.settleAt, h.isVerified = t.Attempt.Number, now, time.Time{}, time.Time{}, false
		}
		w, isOwned := j.fleet.Owned(t.Attempt.Worker)
		if isOwned {
			j.attendOwned(ctx, now, e, n, w)
		} else if j.isHome(e) {
			j.attendForeign(ctx, now, e, n)
		}
	}
}

// attendForeign asks the owner of another host's worker to stop an attempt, or to look after one that is outstanding for long.
func (j *Jobs) attendForeign(ctx context.Context, now time.Time, e *entry, n int) {
	h := e.task(n)
	age := now.Sub(h.since)
	isStopDue := e.Job.IsStopping() && !now.Before(h.stopAt)
	isLookDue := age > j.opts.VerifyAfter && !now.Before(h.settleAt)
	if isStopDue || isLookDue {
		h.stopAt, h.settleAt = now.Add(j.opts.RetryAfter), now.Add(age)
		j.hintOwner(ctx, e.id, e.Job.Tasks[n].Attempt.Worker)
	}
}

func (j *Jobs) attendOwned(ctx context.Context, now time.Time, e *entry, n int, w *cwjobfleet.Worker) {
	attempt, h := e.Job.Tasks[n].Attempt, e.task(n)
	if w.HasRecord(attempt) && e.Job.IsStopping() && !now.Before(h.stopAt) {
		h.stopAt = now.Add(2 * j.opts.RetryAfter)
		stop := attempt
		stop.Epoch = w.Epoch
		j.opts.SendOrder(cwdecider.Action{Kind: cwdecider.ActionStop, Attempt: stop, Mode: cwmodel.StopNow})
	}
	isOlder := attempt.Epoch != w.Epoch && !w.WasRunning(attempt)
	isLong := attempt.Epoch == w.Epoch && now.Sub(h.since) > j.opts.VerifyAfter
	isAsked := attempt.Epoch == w.Epoch && e.hinted && !j.isHome(e)
	isDue := !h.isVerified && !now.Before(h.settleAt)
	if isDue && (isOlder || isLong || isAsked) {
		h.settleAt = now.Add(j.opts.VerifyAfter)
		j.settle(ctx, e.id, n, attempt, w)
	}
}

// settle asks a worker what became of an attempt.
func (j *Jobs) settle(ctx context.Context, id cwmodel.JobID, n int, attempt cwmodel.Attempt, w *cwjobfleet.Worker) {
	addr, epoch := w.Address, w.Epoch
	j.call(ctx, func(ctx context.Context) event {
		finding, err := cwattempt.Query(ctx, j.opts.Workers, addr, epoch, attempt)
		return event{kind: eventSettled, id: id, task: n, attempt: attempt, finding: finding, err: err}
	})
}

func (j *Jobs) settled(ctx context.Context, back event) {
	if back.err != nil {
		return
	}
	switch back.finding.State {
	case cwattempt.StateRunning:
		if e, ok := j.entries[back.id]; ok {
			h := e.task(back.task)
			h.isVerified = h.attempt == back.attempt.Number
		}
	case cwattempt.StateLost:
		j.lose(ctx, j.entryOf(back.id), back.task, back.attempt)
	case cwattempt.StateEnded:
		j.deliver(event{kind: eventResult, result: back.finding.Result})
	}
}

// checkLost ends an attempt whose worker the platform has taken away and whose lease is certainly past.
func (j *Jobs) checkLost(ctx context.Context, now time.Time, e *entry, n int) {
	attempt := e.Job.Tasks[n].Attempt
	if j.fleet.IsMissing(now, attempt.Worker, e.Job.Lease+j.opts.LeaseGrace) {
		j.lose(ctx, e, n, attempt)
	}
}

// lose records that an attempt is over and that its result is not known.
func (j *Jobs) lose(ctx context.Context, e *entry, n int, attempt cwmodel.Attempt) {
	now := j.opts.Timer.Now()
	j.opts.Log.WithFields(logrus.Fields{"job-id": e.id, "task": attempt.Task, "attempt": attempt.Number, "worker": attempt.Worker}).Warn("attempt-lost")
	j.enqueue(ctx, e, cwjobrow.Change{
		Apply: func(now time.Time, job *cwjob.Job) bool { return job.MarkLost(now, n, attempt.Number) },
		Done: func(applied bool) {
			if applied {
				_ = j.opts.ReportResult(ctx, cwmodel.Result{Attempt: attempt, End: cwmodel.EndLeaseExpired, EndedAt: now})
			}
		},
	})
}
