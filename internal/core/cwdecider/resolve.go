package cwdecider

import (
	"time"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwretry"
)

// completeRunning frees the capacity of a running attempt that ended, and continues or finishes its task.
func (d *Decider) completeRunning(now time.Time, t *task, r cwmodel.Result) {
	d.setTimer(t, time.Time{})
	w := t.worker
	d.release(t)
	d.updateEstimates(t, r)
	d.recordOutcome(now, t, w, r.End)
	d.resolve(now, t, r)
}

// completeOrphan frees the capacity of an attempt that ended after the response for its task was sent. It returns false if r
// belongs to no such attempt.
func (d *Decider) completeOrphan(r cwmodel.Result) bool {
	t, ok := d.orphans[r.Attempt]
	if !ok {
		return false
	}
	delete(d.orphans, r.Attempt)
	d.setTimer(t, time.Time{})
	d.release(t)
	d.actions = append(d.actions, Action{Kind: ActionOrphan, Task: t.Task, Attempt: r.Attempt, Result: r})
	d.recycle(t)
	return true
}

// updateEstimates adds the run time of an attempt that completed or was stopped at its deadline, and the usage of one
// that completed.
func (d *Decider) updateEstimates(t *task, r cwmodel.Result) {
	if r.End == cwmodel.EndDone || (r.End == cwmodel.EndStopped && t.expired) {
		if ran := r.EndedAt.Sub(r.StartedAt); !r.StartedAt.IsZero() && ran > 0 {
			t.profileState.estimate.AddRunTime(ran)
		}
	}
	if r.End == cwmodel.EndDone {
		t.profileState.estimate.AddUsage(t.Demand, r.PeakUsage)
	}
}

// resolve counts the end of an attempt, and schedules another attempt or finishes the task. If a member of a gang does
// not succeed, the others are stopped.
func (d *Decider) resolve(now time.Time, t *task, r cwmodel.Result) {
	if r.End == cwmodel.EndNotStarted {
		t.unstartedAttempts++
	} else {
		t.endedRuns++
	}
	if d.scheduleNextAttempt(now, t, r.End) {
		return
	}
	gang := t.gang
	failed := r.End != cwmodel.EndDone
	outcome, reason := d.finalOutcome(t, r.End)
	d.finishWithResult(t, d.buildResultResponse(t, r, outcome, reason), r)
	if gang != nil && failed {
		d.stopGang(now, gang)
	}
}

// finalOutcome returns the outcome and reason of a task after its last attempt.
func (d *Decider) finalOutcome(t *task, end cwmodel.EndKind) (cwmodel.Outcome, cwmodel.Reason) {
	switch {
	case end == cwmodel.EndDone:
		return cwmodel.OutcomeDone, cwmodel.ReasonNone
	case t.cancelled:
		return cwmodel.OutcomeCancelled, cwmodel.ReasonCancelled
	case t.expired && t.endedRuns == 0:
		return cwmodel.OutcomeNotRun, cwmodel.ReasonDeadlinePassed
	case t.expired:
		return cwmodel.OutcomeFailed, cwmodel.ReasonDeadlineExceeded
	case t.endedRuns == 0:
		return cwmodel.OutcomeNotRun, cwmodel.ReasonRefusedByWorker
	case end == cwmodel.EndLeaseExpired:
		return cwmodel.OutcomeFailed, cwmodel.ReasonWorkerLost
	case end == cwmodel.EndCheckpointed || t.preempted:
		return cwmodel.OutcomeFailed, cwmodel.ReasonPreempted
	case end != cwmodel.EndFailed && t.endedRuns > 1:
		return cwmodel.OutcomeFailed, cwmodel.ReasonAttemptsExhausted
	}
	return cwmodel.OutcomeFailed, cwmodel.ReasonTaskFailed
}

// maxUnstartedAttempts is the limit of refused starts of one task.
const maxUnstartedAttempts = 20

// scheduleNextAttempt schedules another attempt after the end of one: at once after a preemption, else after a backoff. It
// returns false if the task gets no other attempt: it is cancelled or expired, the end was final, its attempts are exhausted
// or no time is left. Durable tasks get none here, since each attempt is committed to the table before it is dispatched, and
// members of gangs get none, since a gang restarts as a whole.
func (d *Decider) scheduleNextAttempt(now time.Time, t *task, end cwmodel.EndKind) bool {
	if t.cancelled || t.expired || t.Durable || t.gang != nil {
		return false
	}
	switch cwretry.Classify(end) {
	case cwretry.DecisionMigrate:
		t.migrations++
		d.enqueue(t)
		return true
	case cwretry.DecisionRetryStart:
		return t.unstartedAttempts <= maxUnstartedAttempts && d.retryAfterBackoff(now, t, false /* did not run */)
	case cwretry.DecisionRerun:
		return d.retryAfterBackoff(now, t, true /* may have run */)
	case cwretry.DecisionFinal:
		if end == cwmodel.EndStopped && t.preempted && t.Repeatable {
			t.migrations++
			d.enqueue(t)
			return true
		}
	}
	return false
}

// retryAfterBackoff delays another attempt by a backoff. ran reports whether the last attempt may have run: such a task must
// be repeatable, and the attempt counts against MaxAttempts. It returns false if no attempt is left or a new one would
// probably miss the deadline.
func (d *Decider) retryAfterBackoff(now time.Time, t *task, ran bool) bool {
	if ran && (!t.Repeatable || t.endedRuns-t.migrations >= t.MaxAttempts) {
		return false
	}
	delay := cwretry.BaseDelay(ran)
	if !d.opts.DisableJitter {
		delay = cwretry.NextDelay(d.random, delay, t.backoff)
	}
	due := now.Add(delay)
	if !t.Deadline.IsZero() && !due.Add(d.lowRunTime(t.profileState, t.Task)).Before(t.Deadline) {
		return false
	}
	t.backoff, t.phase = delay, phaseDelayed
	d.setTimer(t, due)
	return true
}
