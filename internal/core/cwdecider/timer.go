package cwdecider

import (
	"time"

	"currantward/internal/core/cwmodel"
)

// timerBefore orders tasks by the time of their timers, then ID.
func timerBefore(a, b *task) bool {
	if !a.timerAt.Equal(b.timerAt) {
		return a.timerAt.Before(b.timerAt)
	}
	return a.ID < b.ID
}

// setTimer sets the timer of a task and replaces an earlier one. The zero time clears the timer.
func (d *Decider) setTimer(t *task, at time.Time) {
	if t.timerIndex != notIndexed {
		d.timers.Remove(t)
	}
	t.timerAt = at
	if !at.IsZero() {
		d.timers.Push(t)
	}
}

// runTimers handles all tasks whose timer has expired.
func (d *Decider) runTimers(now time.Time) {
	for {
		t := d.timers.Min()
		if t == nil || t.timerAt.After(now) {
			return
		}
		d.setTimer(t, time.Time{})
		d.onTimer(now, t)
	}
}

// onTimer handles the expired timer of a task: the end of a backoff, of the wait for a lost attempt, or of the time allowed
// for a running attempt or its stop.
func (d *Decider) onTimer(now time.Time, t *task) {
	switch t.phase {
	case phaseDelayed:
		d.enqueue(t)
	case phaseLost:
		d.onLostTimer(now, t)
	case phaseRunning:
		d.onRunningTimer(now, t)
	case phaseWaiting: // waiting tasks have no timer
	}
}

// onRunningTimer stops a task at its deadline, responds with an unknown outcome if the stop of a cancelled or expired task
// is not confirmed in time, and repeats the stop orders of orphans, durable tasks and preempted tasks.
func (d *Decider) onRunningTimer(now time.Time, t *task) {
	switch {
	case t.responseSent || (t.Durable && t.stopMode == cwmodel.StopNow):
		d.stop(now, t, t.stopMode)
	case t.cancelled:
		d.respondEarly(now, t, d.buildResponse(t, cwmodel.OutcomeUnknown, cwmodel.ReasonCancelled))
	case t.expired:
		d.respondEarly(now, t, d.buildResponse(t, cwmodel.OutcomeUnknown, cwmodel.ReasonDeadlineExceeded))
	case hasPassed(t.Deadline, now):
		t.expired = true
		d.stop(now, t, cwmodel.StopNow)
	case t.preempted:
		d.stop(now, t, t.stopMode)
		d.setTimer(t, earlier(t.timerAt, t.Deadline))
	}
}

// onLostTimer retries the task of a lost attempt if the attempt has certainly ended and another is allowed. Otherwise it
// finishes the task with an unknown outcome.
func (d *Decider) onLostTimer(now time.Time, t *task) {
	if !t.certainEndAt.After(now) {
		t.endedRuns++
		if !t.cancelled && t.gang == nil && d.retryAfterBackoff(now, t, true /* may have run */) {
			return
		}
	}
	gang := t.gang
	d.finish(t, d.buildResponse(t, cwmodel.OutcomeUnknown, cwmodel.ReasonWorkerLost))
	if gang != nil {
		d.stopGang(now, gang)
	}
}

// hasPassed reports whether a deadline is set and not in the future.
func hasPassed(deadline, now time.Time) bool { return !deadline.IsZero() && !deadline.After(now) }

// earlier returns the earlier of two times, where the zero time means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
