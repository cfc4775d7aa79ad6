package cwdecider

import (
	"time"

	"currantward/internal/core/cwmodel"
)

func alarmsEarlier(a, b *task) bool {
	if !a.alarm.Equal(b.alarm) {
		return a.alarm.Before(b.alarm)
	}
	return a.ID < b.ID
}

// setAlarm has a task looked at again at a time; the zero time means never.
func (d *Decider) setAlarm(state *task, at time.Time) {
	if state.alarmAt != nowhere {
		d.alarms.Remove(state)
	}
	state.alarm = at
	if !at.IsZero() {
		d.alarms.Push(state)
	}
}

// ringAlarms handles all tasks whose alarm has come.
func (d *Decider) ringAlarms(now time.Time) {
	for {
		state := d.alarms.Min()
		if state == nil || state.alarm.After(now) {
			return
		}
		d.setAlarm(state, time.Time{})
		d.ring(now, state)
	}
}

func (d *Decider) ring(now time.Time, state *task) {
	switch state.phase {
	case phaseDelayed:
		d.enqueue(state)
	case phaseLost:
		d.ringLost(now, state)
	case phaseRunning:
		d.ringRunning(now, state)
	case phaseWaiting:
	}
}

// ringRunning stops a task at its deadline, and answers it if the stop is not confirmed in time.
func (d *Decider) ringRunning(now time.Time, state *task) {
	switch {
	case state.answered || (state.Durable && state.stopMode == cwmodel.StopNow):
		d.stop(now, state, state.stopMode)
	case state.cancelled:
		d.answerEarly(now, state, d.summary(state, cwmodel.OutcomeUnknown, cwmodel.ReasonCancelled))
	case state.expired:
		d.answerEarly(now, state, d.summary(state, cwmodel.OutcomeUnknown, cwmodel.ReasonDeadlineExceeded))
	case isPast(state.Deadline, now):
		state.expired = true
		d.stop(now, state, cwmodel.StopNow)
	case state.preempted:
		d.stop(now, state, state.stopMode)
		d.setAlarm(state, earlier(state.alarm, state.Deadline))
	}
}

// ringLost settles a lost attempt once it is known to be over, or once its deadline has passed.
func (d *Decider) ringLost(now time.Time, state *task) {
	if !state.certain.After(now) {
		state.ran++
		if !state.cancelled && state.gang == nil && d.retry(now, state, true) {
			return
		}
	}
	gang := state.gang
	d.finish(state, d.summary(state, cwmodel.OutcomeUnknown, cwmodel.ReasonWorkerLost))
	if gang != nil {
		d.stopGang(now, gang)
	}
}

// isPast reports whether a deadline is set and has come.
func isPast(deadline, now time.Time) bool { return !deadline.IsZero() && !deadline.After(now) }

// earlier returns the earlier of two times, of which zero means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
