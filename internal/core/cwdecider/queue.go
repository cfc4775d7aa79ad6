package cwdecider

import (
	"slices"
	"time"

	"currantward/internal/base/cwheap"
	"currantward/internal/core/cwmodel"
)

// queue contains the waiting tasks of one team in one profile, earliest deadline first. A gang is represented by its first
// member.
type queue struct {
	cwheap.Heap[task]
	profile     *profile
	team        *team
	blockedPass uint64    // the latest pass in which its first task could not start
	retryAt     time.Time // when its first task is tried again if it represents a gang
}

// newQueue returns an empty queue.
func newQueue(p *profile, t *team) *queue {
	return &queue{
		Heap:    cwheap.Heap[task]{Less: dueBefore, Index: func(t *task) *int { return &t.queueIndex }},
		profile: p, team: t,
	}
}

// dueBefore orders tasks by deadline, then arrival; tasks without a deadline are last.
func dueBefore(a, b *task) bool {
	if a.Deadline.IsZero() != b.Deadline.IsZero() {
		return b.Deadline.IsZero()
	}
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	if !a.ArrivedAt.Equal(b.ArrivedAt) {
		return a.ArrivedAt.Before(b.ArrivedAt)
	}
	return a.ID < b.ID
}

// enqueue adds a task to the queue of its profile and team.
func (d *Decider) enqueue(t *task) {
	t.phase = phaseWaiting
	t.queue = t.profileState.queueOf(t.teamState)
	t.queue.Push(t)
	t.profileState.waiting++
	d.waiting++
}

// dequeue removes a task from its queue and drops its reservation and nomination.
func (d *Decider) dequeue(t *task) {
	d.releaseReservationOf(t)
	d.clearNomination(t)
	t.queue.Remove(t)
	t.profileState.waiting--
	d.waiting--
}

// queueOf returns the queue of a team in this profile and creates it on first use.
func (p *profile) queueOf(t *team) *queue {
	if q, ok := p.queuesByTeam[t.name]; ok {
		return q
	}
	q := newQueue(p, t)
	p.queuesByTeam[t.name] = q
	at, _ := slices.BinarySearchFunc(p.queues, q, func(a, b *queue) int {
		return compareNames(a.team.name, b.team.name)
	})
	p.queues = slices.Insert(p.queues, at, q)
	return q
}

// finishLateTasks removes the first task of a queue, and responds for it, as long as it would most likely miss its deadline.
func (d *Decider) finishLateTasks(now time.Time, q *queue) {
	for t := q.Min(); t != nil && d.willMissDeadline(now, t); t = q.Min() {
		d.dequeue(t)
		d.finishGroup(t, d.lateResponse(now, t))
	}
}

// willMissDeadline reports whether a task that starts now would most likely miss its deadline.
func (d *Decider) willMissDeadline(now time.Time, t *task) bool {
	if t.Deadline.IsZero() {
		return false
	}
	return !t.Deadline.After(now.Add(d.lowRunTime(t.profileState, t.Task)))
}

// lowRunTime returns a run time that most tasks of the profile exceed, capped at half of the time from arrival to deadline.
// It returns 0 if the task has no deadline or nothing is known of the profile's run times.
func (d *Decider) lowRunTime(p *profile, t cwmodel.Task) time.Duration {
	if d.opts.DisableEstimates || t.Deadline.IsZero() {
		return 0
	}
	return min(p.estimate.LowRunTime(), t.Deadline.Sub(t.ArrivedAt)/2)
}

// lateResponse returns the response for a task that would miss its deadline. A task that has run before has failed.
func (d *Decider) lateResponse(now time.Time, t *task) cwmodel.Response {
	reason := cwmodel.ReasonNoTimeLeft
	if hasPassed(t.Deadline, now) {
		reason = cwmodel.ReasonDeadlinePassed
	}
	if t.endedRuns == 0 {
		return d.buildResponse(t, cwmodel.OutcomeNotRun, reason)
	}
	return d.buildResponse(t, cwmodel.OutcomeFailed, cwmodel.ReasonDeadlineExceeded)
}
