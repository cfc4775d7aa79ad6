package cwmemory

import (
	"time"

	"currantward/internal/core/cwmodel"
)

// retention is how long an attempt is remembered at least after it was last touched.
//
// A start order names a latest time to begin at most MaxStartWindow ahead, so an order that was sent before
// the attempt was refused or ended is refused by its age well before the attempt is forgotten.
const retention = 4 * MaxStartWindow

// attempts remembers the highest attempt of each task in two generations, so that its memory is bounded.
type attempts struct {
	young   map[cwmodel.TaskID]highest
	old     map[cwmodel.TaskID]highest
	rotated time.Time
}

// highest is the highest attempt of one task.
type highest struct {
	number  int
	refused bool // it was refused for good and never began
}

func newAttempts(now time.Time) attempts {
	return attempts{young: map[cwmodel.TaskID]highest{}, old: map[cwmodel.TaskID]highest{}, rotated: now}
}

func (a *attempts) find(task cwmodel.TaskID) highest {
	if h, ok := a.young[task]; ok {
		return h
	}
	return a.old[task]
}

func (a *attempts) highest(task cwmodel.TaskID) int { return a.find(task).number }

func (a *attempts) isRefused(attempt cwmodel.Attempt) bool {
	h := a.find(attempt.Task)
	return h.refused && h.number == attempt.Number
}

// note remembers an attempt that began.
func (a *attempts) note(attempt cwmodel.Attempt) {
	if attempt.Number >= a.highest(attempt.Task) {
		a.young[attempt.Task] = highest{number: attempt.Number}
	}
}

// refuse remembers an attempt that will never begin.
func (a *attempts) refuse(attempt cwmodel.Attempt) {
	if attempt.Number > a.highest(attempt.Task) {
		a.young[attempt.Task] = highest{number: attempt.Number, refused: true}
	}
}

// rotate starts a new generation if the present one is old enough and reports whether it did.
func (a *attempts) rotate(now time.Time) bool {
	if now.Sub(a.rotated) < retention {
		return false
	}
	a.old, a.young, a.rotated = a.young, map[cwmodel.TaskID]highest{}, now
	return true
}

// RetainedAttempts returns how many attempts the worker remembers.
func (w *Worker) RetainedAttempts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.seen.young) + len(w.seen.old)
}
