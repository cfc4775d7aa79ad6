package cwdecider

import (
	"time"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwretry"
)

// completeRunning frees the capacity of a running attempt that ended and resolves its task.
func (d *Decider) completeRunning(now time.Time, state *task, r cwmodel.Result) {
	d.setTimer(state, time.Time{})
	w := state.worker
	d.release(state)
	d.updateEstimates(state, r)
	d.recordOutcome(now, state, w, r.End)
	d.resolve(now, state, r)
}

// completeOrphan frees the capacity of an attempt whose task has already had its response. It reports whether r belongs
// to such an attempt.
func (d *Decider) completeOrphan(r cwmodel.Result) bool {
	state, ok := d.orphans[r.Attempt]
	if !ok {
		return false
	}
	delete(d.orphans, r.Attempt)
	d.setTimer(state, time.Time{})
	d.release(state)
	d.actions = append(d.actions, Action{Kind: ActionOrphan, Task: state.Task, Attempt: r.Attempt, Result: r})
	d.recycle(state)
	return true
}

// updateEstimates adds the run time of an attempt that completed or was stopped at its deadline, and the usage of one
// that completed.
func (d *Decider) updateEstimates(state *task, r cwmodel.Result) {
	if r.End == cwmodel.EndDone || (r.End == cwmodel.EndStopped && state.expired) {
		if ran := r.EndedAt.Sub(r.StartedAt); !r.StartedAt.IsZero() && ran > 0 {
			state.profile.estimate.AddRunTime(ran)
		}
	}
	if r.End == cwmodel.EndDone {
		state.profile.estimate.AddUsage(state.Demand, r.PeakUsage)
	}
}

// resolve finishes a task after the end of its attempt, or schedules another attempt.
func (d *Decider) resolve(now time.Time, state *task, r cwmodel.Result) {
	if r.End == cwmodel.EndNotStarted {
		state.unstartedAttempts++
	} else {
		state.endedRuns++
	}
	if d.scheduleNextAttempt(now, state, r.End) {
		return
	}
	gang := state.gang
	failed := r.End != cwmodel.EndDone
	outcome, reason := d.finalOutcome(state, r.End)
	d.finishWithResult(state, d.buildResultResponse(state, r, outcome, reason), r)
	if gang != nil && failed {
		d.stopGang(now, gang)
	}
}

// finalOutcome returns the outcome and reason of a task after its last attempt.
func (d *Decider) finalOutcome(state *task, end cwmodel.EndKind) (cwmodel.Outcome, cwmodel.Reason) {
	switch {
	case end == cwmodel.EndDone:
		return cwmodel.OutcomeDone, cwmodel.ReasonNone
	case state.cancelled:
		return cwmodel.OutcomeCancelled, cwmodel.ReasonCancelled
	case state.expired && state.endedRuns == 0:
		return cwmodel.OutcomeNotRun, cwmodel.ReasonDeadlinePassed
	case state.expired:
		return cwmodel.OutcomeFailed, cwmodel.ReasonDeadlineExceeded
	case state.endedRuns == 0:
		return cwmodel.OutcomeNotRun, cwmodel.ReasonRefusedByWorker
	case end == cwmodel.EndLeaseExpired:
		return cwmodel.OutcomeFailed, cwmodel.ReasonWorkerLost
	case end == cwmodel.EndCheckpointed || state.preempted:
		return cwmodel.OutcomeFailed, cwmodel.ReasonPreempted
	case end != cwmodel.EndFailed && state.endedRuns > 1:
		return cwmodel.OutcomeFailed, cwmodel.ReasonAttemptsExhausted
	}
	return cwmodel.OutcomeFailed, cwmodel.ReasonTaskFailed
}

// maxUnstartedAttempts is the limit of attempts of one task that workers refuse.
const maxUnstartedAttempts = 20

// scheduleNextAttempt schedules another attempt, at once or after a backoff. It returns false if the end of the last one does
// not allow that.
func (d *Decider) scheduleNextAttempt(now time.Time, state *task, end cwmodel.EndKind) bool {
	if state.cancelled || state.expired || state.Durable || state.gang != nil {
		return false
	}
	switch cwretry.Classify(end) {
	case cwretry.DecisionMigrate:
		state.migrations++
		d.enqueue(state)
		return true
	case cwretry.DecisionRetryStart:
		return state.unstartedAttempts <= maxUnstartedAttempts && d.retryAfterBackoff(now, state, false)
	case cwretry.DecisionRerun:
		return d.retryAfterBackoff(now, state, true)
	case cwretry.DecisionFinal:
		if end == cwmodel.EndStopped && state.preempted && state.Repeatable {
			state.migrations++
			d.enqueue(state)
			return true
		}
	}
	return false
}

// retryAfterBackoff schedules another attempt after a backoff. It returns false if no attempt is left or the new one could not end
// before the deadline.
func (d *Decider) retryAfterBackoff(now time.Time, state *task, ran bool) bool {
	if ran && (!state.Repeatable || state.endedRuns-state.migrations >= state.MaxAttempts) {
		return false
	}
	delay := cwretry.BaseDelay(ran)
	if !d.opts.DisableJitter {
		delay = cwretry.NextDelay(d.random, delay, state.backoff)
	}
	due := now.Add(delay)
	if !state.Deadline.IsZero() && !due.Add(d.lowRunTime(state.profile, state.Task)).Before(state.Deadline) {
		return false
	}
	state.backoff, state.phase = delay, phaseDelayed
	d.setTimer(state, due)
	return true
}
