package cwdecider

import (
	"container/heap"
	"time"

	"currantward/internal/core/cwmodel"
)

// task is a task with its place in the decider.
type task struct {
	cwmodel.Task
	attempt   cwmodel.Attempt // the present one; meaningful while worker is set
	worker    *worker
	started   time.Time
	cancelled bool
	began     bool // some attempt has begun
	index     int  // in its queue
}

// queue holds the waiting tasks of one profile, earliest deadline first.
type queue struct{ waiting waiting }

func (d *Decider) queueOf(name cwmodel.ProfileName) *queue {
	q, ok := d.queues[name]
	if !ok {
		q = &queue{}
		d.queues[name] = q
	}
	return q
}

func (q *queue) push(state *task)   { heap.Push(&q.waiting, state) }
func (q *queue) remove(state *task) { heap.Remove(&q.waiting, state.index) }

// expire removes and returns the tasks whose deadline has passed.
func (q *queue) expire(now time.Time) (expired []*task) {
	for len(q.waiting) > 0 {
		first := q.waiting[0]
		if first.Deadline.IsZero() || first.Deadline.After(now) {
			return expired
		}
		q.remove(first)
		expired = append(expired, first)
	}
	return expired
}

// waiting is a heap ordered by deadline, then arrival; tasks without a deadline come last.
type waiting []*task

func (h waiting) Len() int { return len(h) }
func (h waiting) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.Deadline.IsZero() != b.Deadline.IsZero() {
		return b.Deadline.IsZero()
	}
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	if !a.Arrived.Equal(b.Arrived) {
		return a.Arrived.Before(b.Arrived)
	}
	return a.ID < b.ID
}
func (h waiting) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds a task; it is called by package heap.
func (h *waiting) Push(x any) {
	state := x.(*task)
	state.index = len(*h)
	*h = append(*h, state)
}

// Pop removes the last task; it is called by package heap.
func (h *waiting) Pop() any {
	last := len(*h) - 1
	state := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return state
}
