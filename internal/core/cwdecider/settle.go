package cwdecider

import (
	"time"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwretry"
)

// endRunning takes the end of a running attempt.
func (d *Decider) endRunning(now time.Time, state *task, r cwmodel.Result) {
	d.setAlarm(state, time.Time{})
	w := state.worker
	d.vacate(state)
	d.learn(state, r)
	d.judge(now, state, w, r.End)
	d.settle(now, state, r)
}

// endStray frees what an attempt held for whose answer nobody waits.
func (d *Decider) endStray(r cwmodel.Result) bool {
	state, ok := d.strays[r.Attempt]
	if !ok {
		return false
	}
	delete(d.strays, r.Attempt)
	d.setAlarm(state, time.Time{})
	d.vacate(state)
	d.actions = append(d.actions, Action{Kind: ActionOrphan, Task: state.Task, Attempt: r.Attempt, Result: r})
	d.recycle(state)
	return true
}

// learn takes run time and size from an attempt that ran to its end or to its deadline.
func (d *Decider) learn(state *task, r cwmodel.Result) {
	if r.End == cwmodel.EndDone || (r.End == cwmodel.EndStopped && state.expired) {
		if ran := r.EndedAt.Sub(r.StartedAt); !r.StartedAt.IsZero() && ran > 0 {
			state.profile.estimate.AddRunTime(ran)
		}
	}
	if r.End == cwmodel.EndDone {
		state.profile.estimate.AddUsage(state.Demand, r.PeakUsage)
	}
}

// settle answers a task after the end of its attempt, or arranges a further attempt.
func (d *Decider) settle(now time.Time, state *task, r cwmodel.Result) {
	if r.End == cwmodel.EndNotStarted {
		state.refusals++
	} else {
		state.ran++
	}
	if d.mayGoOn(now, state, r.End) {
		return
	}
	gang := state.gang
	failed := r.End != cwmodel.EndDone
	outcome, reason := d.verdict(state, r.End)
	d.finishWith(state, d.report(state, r, outcome, reason), r)
	if gang != nil && failed {
		d.stopGang(now, gang)
	}
}

// verdict returns what the caller is told after the last attempt.
func (d *Decider) verdict(state *task, end cwmodel.EndKind) (cwmodel.Outcome, cwmodel.Reason) {
	switch {
	case end == cwmodel.EndDone:
		return cwmodel.OutcomeDone, cwmodel.ReasonNone
	case state.cancelled:
		return cwmodel.OutcomeCancelled, cwmodel.ReasonCancelled
	case state.expired && state.ran == 0:
		return cwmodel.OutcomeNotRun, cwmodel.ReasonDeadlinePassed
	case state.expired:
		return cwmodel.OutcomeFailed, cwmodel.ReasonDeadlineExceeded
	case state.ran == 0:
		return cwmodel.OutcomeNotRun, cwmodel.ReasonRefusedByWorker
	case end == cwmodel.EndLeaseExpired:
		return cwmodel.OutcomeFailed, cwmodel.ReasonWorkerLost
	case end == cwmodel.EndCheckpointed || state.preempted:
		return cwmodel.OutcomeFailed, cwmodel.ReasonPreempted
	case end != cwmodel.EndFailed && state.ran > 1:
		return cwmodel.OutcomeFailed, cwmodel.ReasonAttemptsExhausted
	}
	return cwmodel.OutcomeFailed, cwmodel.ReasonTaskFailed
}

// maxRefusals is how many attempts of one task may find workers that refuse it.
const maxRefusals = 20

// mayGoOn arranges a further attempt where the end of the last one allows it.
func (d *Decider) mayGoOn(now time.Time, state *task, end cwmodel.EndKind) bool {
	if state.cancelled || state.expired || state.Durable || state.gang != nil {
		return false
	}
	switch cwretry.Classify(end) {
	case cwretry.DecisionMigrate:
		state.moved++
		d.enqueue(state)
		return true
	case cwretry.DecisionReschedule:
		return state.refusals <= maxRefusals && d.retry(now, state, false)
	case cwretry.DecisionRetry:
		return d.retry(now, state, true)
	case cwretry.DecisionFinal:
		if end == cwmodel.EndStopped && state.preempted && state.Repeatable {
			state.moved++
			d.enqueue(state)
			return true
		}
	}
	return false
}

// retry arranges a further attempt after a delay, inside the deadline.
func (d *Decider) retry(now time.Time, state *task, ran bool) bool {
	if ran && (!state.Repeatable || state.ran-state.moved >= state.MaxAttempts) {
		return false
	}
	delay := cwretry.BaseDelay(ran)
	if !d.opts.DisableJitter {
		delay = cwretry.NextDelay(d.random, delay, state.delay)
	}
	due := now.Add(delay)
	if !state.Deadline.IsZero() && !due.Add(d.shortRunTime(state.profile, state.Task)).Before(state.Deadline) {
		return false
	}
	state.delay, state.phase = delay, phaseDelayed
	d.setAlarm(state, due)
	return true
}
