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

// reconcileAttempts asks the workers of a job's dispatched attempts whether these still run, and stops them if the job is stopping.
//
// It calls only workers that this host owns, whichever host coordinates the job. For workers of other owners, only the
// coordinator of the job acts, by a hint to the owner.
func (j *Jobs) reconcileAttempts(ctx context.Context, e *entry) {
	now := j.opts.Timer.Now()
	for n := range e.Job.Tasks {
		t := &e.Job.Tasks[n]
		if t.Phase != cwjob.PhaseDispatched {
			continue
		}
		state := e.stateOf(n)
		if state.attempt != t.LatestAttempt.Number {
			state.attempt, state.trackedSince, state.nextStopAt, state.nextQueryAt, state.isConfirmed = t.LatestAttempt.Number, now, time.Time{}, time.Time{}, false
		}
		w, isOwned := j.fleet.Owned(t.LatestAttempt.Worker)
		if isOwned {
			j.reconcileOnOwnedWorker(ctx, now, e, n, w)
		} else if j.isCoordinator(e) {
			j.reconcileOnForeignWorker(ctx, now, e, n)
		}
	}
}

// reconcileOnForeignWorker handles one dispatched attempt, of task n, on a worker of another owner: it writes a hint that makes the owner
// stop the attempt if the job is stopping, or query it if it is outstanding for longer than ConfirmAfter.
//
// The pause before the next query hint equals the age of the attempt, so it doubles.
func (j *Jobs) reconcileOnForeignWorker(ctx context.Context, now time.Time, e *entry, n int) {
	state := e.stateOf(n)
	age := now.Sub(state.trackedSince)
	isStopDue := e.Job.IsStopping() && !now.Before(state.nextStopAt)
	isCheckDue := age > j.opts.ConfirmAfter && !now.Before(state.nextQueryAt)
	if isStopDue || isCheckDue {
		state.nextStopAt, state.nextQueryAt = now.Add(j.opts.RetryAfter), now.Add(age)
		j.hintWorkerOwner(ctx, e.id, e.Job.Tasks[n].LatestAttempt.Worker)
	}
}

// reconcileOnOwnedWorker handles one dispatched attempt, of task n, on a worker that this host owns.
//
// It sends a stop order if the job is stopping and the worker still has a record of the attempt. It queries the worker if the attempt may
// be lost, is outstanding for longer than ConfirmAfter, or the job's coordinator on another host requested it by a hint.
//
// A query is repeated after ConfirmAfter until the worker confirms that the attempt runs or reports its end.
func (j *Jobs) reconcileOnOwnedWorker(ctx context.Context, now time.Time, e *entry, n int, w *cwjobfleet.Worker) {
	attempt, state := e.Job.Tasks[n].LatestAttempt, e.stateOf(n)
	if w.HasRecord(attempt) && e.Job.IsStopping() && !now.Before(state.nextStopAt) {
		state.nextStopAt = now.Add(2 * j.opts.RetryAfter) // the dispatcher already retries a stop order whose response was lost
		stop := attempt
		stop.Epoch = w.Epoch
		j.opts.SendOrder(cwdecider.Action{Kind: cwdecider.ActionStop, Attempt: stop, Mode: cwmodel.StopNow})
	}
	// The attempt was started under another epoch and the worker did not list it as running at the latest claim.
	mayBeLost := attempt.Epoch != w.Epoch && !w.WasRunning(attempt)
	isOverdue := attempt.Epoch == w.Epoch && now.Sub(state.trackedSince) > j.opts.ConfirmAfter
	isQueryRequested := attempt.Epoch == w.Epoch && e.reconcileRequested && !j.isCoordinator(e)
	isDue := !state.isConfirmed && !now.Before(state.nextQueryAt)
	if isDue && (mayBeLost || isOverdue || isQueryRequested) {
		state.nextQueryAt = now.Add(j.opts.ConfirmAfter)
		j.queryAttempt(ctx, e.id, n, attempt, w)
	}
}

// queryAttempt asks a worker, on the pool, for the status of an attempt of task n; the response arrives as eventAttemptStatus. A full pool
// drops the query.
func (j *Jobs) queryAttempt(ctx context.Context, id cwmodel.JobID, n int, attempt cwmodel.Attempt, w *cwjobfleet.Worker) {
	addr, epoch := w.Address, w.Epoch
	j.startCall(ctx, func(ctx context.Context) event {
		status, err := cwattempt.Query(ctx, j.opts.Workers, addr, epoch, attempt)
		return event{kind: eventAttemptStatus, id: id, task: n, attempt: attempt, status: status, err: err}
	})
}

// handleAttemptStatus handles the response to a query: a running attempt is confirmed, a lost one is recorded as ended with an unknown
// result, and the result of an ended one is handled as if the worker had sent it. An error is ignored, since a later query follows.
func (j *Jobs) handleAttemptStatus(ctx context.Context, ev event) {
	if ev.err != nil {
		return
	}
	switch ev.status.State {
	case cwattempt.StateRunning:
		if e, ok := j.entries[ev.id]; ok {
			state := e.stateOf(ev.task)
			state.isConfirmed = state.attempt == ev.attempt.Number
		}
	case cwattempt.StateLost:
		j.markLost(ctx, j.ensureEntry(ev.id), ev.task, ev.attempt)
	case cwattempt.StateEnded:
		j.deliver(event{kind: eventAttemptResult, result: ev.status.Result})
	}
}

// markLostIfWorkerMissing marks an attempt as lost if its worker is missing from the host list for longer than the lease and
// LeaseGrace, so that the lease has certainly expired.
func (j *Jobs) markLostIfWorkerMissing(ctx context.Context, now time.Time, e *entry, n int) {
	attempt := e.Job.Tasks[n].LatestAttempt
	if j.fleet.IsMissing(now, attempt.Worker, e.Job.Lease+j.opts.LeaseGrace) {
		j.markLost(ctx, e, n, attempt)
	}
}

// markLost enqueues the change that records an attempt of task n as ended with an unknown result. Once that is committed, it reports to
// the scheduler that the lease of the attempt has expired.
func (j *Jobs) markLost(ctx context.Context, e *entry, n int, attempt cwmodel.Attempt) {
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
