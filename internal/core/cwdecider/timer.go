package cwdecider

import (
	"time"

	"currantward/internal/core/cwmodel"
)

func timerBefore(a, b *task) bool {
	if !a.timerAt.Equal(b.timerAt) {
		return a.timerAt.Before(b.timerAt)
	}
	return a.ID < b.ID
}

// setTimer sets the timer of a task, which has one at most; the zero time clears it.
func (d *Decider) setTimer(state *task, at time.Time) {
	if state.timerIndex != notIndexed {
		d.timers.Remove(state)
	}
	state.timerAt = at
	if !at.IsZero() {
		d.timers.Push(state)
	}
}

// runTimers handles all tasks whose timer has expired.
func (d *Decider) runTimers(now time.Time) {
	for {
		state := d.timers.Min()
		if state == nil || state.timerAt.After(now) {
			return
		}
		d.setTimer(state, time.Time{})
		d.onTimer(now, state)
	}
}

func (d *Decider) onTimer(now time.Time, state *task) {
	switch state.phase {
	case phaseDelayed:
		d.enqueue(state)
	case phaseLost:
		d.onLostTimer(now, state)
	case phaseRunning:
		d.onRunningTimer(now, state)
	case phaseWaiting:
	}
}

// onRunningTimer stops a task at its deadline, responds if the stop is not confirmed in time, and repeats stop orders.
func (d *Decider) onRunningTimer(now time.Time, state *task) {
	switch {
	case state.responseSent || (state.Durable && state.stopMode == cwmodel.StopNow):
		d.stop(now, state, state.stopMode)
	case state.cancelled:
		d.respondEarly(now, state, d.buildResponse(state, cwmodel.OutcomeUnknown, cwmodel.ReasonCancelled))
	case state.expired:
		d.respondEarly(now, state, d.buildResponse(state, cwmodel.OutcomeUnknown, cwmodel.ReasonDeadlineExceeded))
	case hasPassed(state.Deadline, now):
		state.expired = true
		d.stop(now, state, cwmodel.StopNow)
	case state.preempted:
		d.stop(now, state, state.stopMode)
		d.setTimer(state, earlier(state.timerAt, state.Deadline))
	}
}

// onLostTimer retries or finishes the task of a lost attempt once the attempt is known to be over or its deadline has passed.
func (d *Decider) onLostTimer(now time.Time, state *task) {
	if !state.certainEndAt.After(now) {
		state.endedRuns++
		if !state.cancelled && state.gang == nil && d.retryAfterBackoff(now, state, true) {
			return
		}
	}
	gang := state.gang
	d.finish(state, d.buildResponse(state, cwmodel.OutcomeUnknown, cwmodel.ReasonWorkerLost))
	if gang != nil {
		d.stopGang(now, gang)
	}
}

// hasPassed reports whether a deadline is set and not in the future.
func hasPassed(deadline, now time.Time) bool { return !deadline.IsZero() && !deadline.After(now) }

// earlier returns the earlier of two times; the zero time means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
