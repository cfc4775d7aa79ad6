package cwdecider

import (
	"time"

	"currantward/internal/core/cwfairness"
	"currantward/internal/core/cwmodel"
)

// minQueueForWaitCheck is the queue length below which no task is rejected for its expected wait.
const minQueueForWaitCheck = 8

// admit returns the reason why a task is rejected, or ReasonNone. group is the total demand of the tasks that start together
// with it, including its own. If the queues of the profile are full, the last task of the longest queue may be rejected
// instead.
func (d *Decider) admit(now time.Time, t cwmodel.Task, group cwmodel.Resources) cwmodel.Reason {
	p, ok := d.profilesByName[t.Profile]
	switch {
	case !ok || p.retired:
		return cwmodel.ReasonUnknownProfile
	case hasPassed(t.Deadline, now):
		return cwmodel.ReasonDeadlinePassed
	case len(d.workers) == 0:
		return cwmodel.ReasonNoWorkers
	case !d.fleet.CanEverFit(t.Demand):
		return cwmodel.ReasonTooLarge
	case !cwfairness.FitsQuota(group, d.teamOf(t.Team).account.Quota):
		return cwmodel.ReasonOverQuota
	case p.waiting >= p.QueueLimit && !d.evictFromLongestQueue(p, t):
		return cwmodel.ReasonQueueFull
	case d.hasNoTimeLeft(now, p, t):
		return cwmodel.ReasonNoTimeLeft
	}
	return cwmodel.ReasonNone
}

// hasNoTimeLeft reports whether a task will probably miss its deadline, by the measured run times and, from
// minQueueForWaitCheck tasks in its team's queue, the measured start rate.
func (d *Decider) hasNoTimeLeft(now time.Time, p *profile, t cwmodel.Task) bool {
	if d.opts.DisableEstimates || t.Deadline.IsZero() {
		return false
	}
	latest := t.Deadline.Add(-d.lowRunTime(p, t))
	if !latest.After(now) {
		return true
	}
	if p.queueOf(d.teamOf(t.Team)).Len() < minQueueForWaitCheck {
		return false
	}
	return now.Add(p.expectedWait()).After(latest)
}

// evictFromLongestQueue rejects the last task of the longest queue of a profile to make room for t, whose team has a shorter
// queue. It returns false if the queue of t's team would then be the longer one, or if that last task is a gang or may have
// run before.
func (d *Decider) evictFromLongestQueue(p *profile, t cwmodel.Task) bool {
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
	if evicted.gang != nil || evicted.endedRuns > 0 {
		return false
	}
	d.withdraw(evicted)
	d.finish(evicted, d.buildResponse(evicted, cwmodel.OutcomeNotRun, cwmodel.ReasonQueueFull))
	return true
}
