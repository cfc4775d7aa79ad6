package cwdecider

import (
	"time"

	"currantward/internal/core/cwfairness"
	"currantward/internal/core/cwmodel"
)

// fewWaiting is a queue length below which the expected wait refuses nothing.
const fewWaiting = 8

// admit returns why a task, part of a group that starts together, can never run here, or no reason.
func (d *Decider) admit(now time.Time, t cwmodel.Task, group cwmodel.Resources) cwmodel.Reason {
	p, ok := d.byName[t.Profile]
	switch {
	case !ok || p.retired:
		return cwmodel.ReasonUnknownProfile
	case isPast(t.Deadline, now):
		return cwmodel.ReasonDeadlinePassed
	case len(d.workers) == 0:
		return cwmodel.ReasonNoWorkers
	case !d.fleet.CanEverFit(t.Demand):
		return cwmodel.ReasonTooLarge
	case !cwfairness.FitsQuota(group, d.teamOf(t.Team).account.Quota):
		return cwmodel.ReasonOverQuota
	case p.waiting >= p.QueueLimit && !d.makeRoom(p, t):
		return cwmodel.ReasonQueueFull
	case d.isTooLate(now, p, t):
		return cwmodel.ReasonNoTimeLeft
	}
	return cwmodel.ReasonNone
}

// isTooLate reports whether the learned start rate and run time leave no time before the deadline.
func (d *Decider) isTooLate(now time.Time, p *profile, t cwmodel.Task) bool {
	if d.opts.DisableEstimates || t.Deadline.IsZero() {
		return false
	}
	latest := t.Deadline.Add(-d.shortRunTime(p, t))
	if !latest.After(now) {
		return true
	}
	if p.queueOf(d.teamOf(t.Team)).Len() < fewWaiting {
		return false
	}
	return now.Add(p.expectedWait()).After(latest)
}

// makeRoom refuses a waiting task of the team with the longest queue in favour of a team with a shorter one.
func (d *Decider) makeRoom(p *profile, t cwmodel.Task) bool {
	var longest *queue
	for _, q := range p.queues {
		if longest == nil || q.Len() > longest.Len() {
			longest = q
		}
	}
	if longest == nil || longest.Len() <= p.queueOf(d.teamOf(t.Team)).Len()+1 {
		return false
	}
	evicted := longest.Last()
	if evicted.gang != nil || evicted.ran > 0 {
		return false
	}
	d.withdraw(evicted)
	d.finish(evicted, d.summary(evicted, cwmodel.OutcomeNotRun, cwmodel.ReasonQueueFull))
	return true
}
