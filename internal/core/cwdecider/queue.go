package cwdecider

import (
	"slices"
	"time"

	"currantward/internal/base/cwheap"
	"currantward/internal/core/cwmodel"
)

// queue holds the waiting tasks of one team in one profile, earliest deadline first; a gang waits as its first task.
type queue struct {
	cwheap.Heap[task]
	profile *profile
	team    *team
	blocked uint64    // the pass in which its first task found no place
	notTill time.Time // when its first task, of a gang, is tried again
}

func newQueue(p *profile, t *team) *queue {
	return &queue{
		Heap:    cwheap.Heap[task]{Less: dueEarlier, Index: func(t *task) *int { return &t.queueAt }},
		profile: p, team: t,
	}
}

// dueEarlier orders by deadline, then arrival; tasks without a deadline come last.
func dueEarlier(a, b *task) bool {
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

// enqueue puts a task into the queue of its profile and team.
func (d *Decider) enqueue(state *task) {
	state.phase = phaseWaiting
	state.queue = state.profile.queueOf(state.team)
	state.queue.Push(state)
	state.profile.waiting++
	d.waiting++
}

// dequeue takes a task out of its queue and gives back what was reserved for it.
func (d *Decider) dequeue(state *task) {
	d.releaseReservationOf(state)
	d.releaseRoom(state)
	state.queue.Remove(state)
	state.profile.waiting--
	d.waiting--
}

// queueOf returns the queue of a team in this profile.
func (p *profile) queueOf(t *team) *queue {
	if q, ok := p.byTeam[t.name]; ok {
		return q
	}
	q := newQueue(p, t)
	p.byTeam[t.name] = q
	at, _ := slices.BinarySearchFunc(p.queues, q, func(a, b *queue) int {
		return compareNames(a.team.name, b.team.name)
	})
	p.queues = slices.Insert(p.queues, at, q)
	return q
}

// dropHopeless answers the first tasks of a queue that can no longer end before their deadlines.
func (d *Decider) dropHopeless(now time.Time, q *queue) {
	for state := q.Min(); state != nil && d.isHopeless(now, state); state = q.Min() {
		d.dequeue(state)
		d.finishGroup(state, d.lateAnswer(now, state))
	}
}

// isHopeless reports whether a task that starts now would most likely pass its deadline.
func (d *Decider) isHopeless(now time.Time, state *task) bool {
	if state.Deadline.IsZero() {
		return false
	}
	return !state.Deadline.After(now.Add(d.shortRunTime(state.profile, state.Task)))
}

// shortRunTime returns a run time that most tasks exceed, and at most half the time that the task was given.
func (d *Decider) shortRunTime(p *profile, t cwmodel.Task) time.Duration {
	if d.opts.DisableEstimates || t.Deadline.IsZero() {
		return 0
	}
	return min(p.estimate.LowRunTime(), t.Deadline.Sub(t.ArrivedAt)/2)
}

func (d *Decider) lateAnswer(now time.Time, state *task) cwmodel.Response {
	reason := cwmodel.ReasonNoTimeLeft
	if isPast(state.Deadline, now) {
		reason = cwmodel.ReasonDeadlinePassed
	}
	if state.ran == 0 {
		return d.summary(state, cwmodel.OutcomeNotRun, reason)
	}
	return d.summary(state, cwmodel.OutcomeFailed, cwmodel.ReasonDeadlineExceeded)
}
