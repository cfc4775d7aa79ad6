package cwmemory

import (
	"time"

	"currantward/internal/core/cwmodel"
)

// minRetention is the minimum time for which an attempt stays on record after its last update.
//
// A worker accepts a start request only if its NotAfter is at most MaxStartWindow ahead. So every request for an attempt that was sent
// before the attempt was refused or ended has expired long before the attempt is dropped from the record.
const minRetention = 4 * MaxStartWindow

// attemptHistory records the latest attempt of each task. It keeps two generations and drops the older one at each rotation, which
// bounds its memory.
type attemptHistory struct {
	current   map[cwmodel.TaskID]latestAttempt
	previous  map[cwmodel.TaskID]latestAttempt
	rotatedAt time.Time
}

// latestAttempt is the attempt of a task with the highest number.
type latestAttempt struct {
	number  int
	refused bool // the attempt did not start and must never start
}

func newAttemptHistory(now time.Time) attemptHistory {
	return attemptHistory{current: map[cwmodel.TaskID]latestAttempt{}, previous: map[cwmodel.TaskID]latestAttempt{}, rotatedAt: now}
}

// latest returns the latest attempt of a task on record; its number is 0 if there is none.
func (a *attemptHistory) latest(task cwmodel.TaskID) latestAttempt {
	if h, ok := a.current[task]; ok {
		return h
	}
	return a.previous[task]
}

func (a *attemptHistory) latestNumber(task cwmodel.TaskID) int { return a.latest(task).number }

// isRefused reports whether the attempt is the latest one of its task and was refused.
func (a *attemptHistory) isRefused(attempt cwmodel.Attempt) bool {
	h := a.latest(attempt.Task)
	return h.refused && h.number == attempt.Number
}

// recordStart records a started attempt, unless a later attempt is on record.
func (a *attemptHistory) recordStart(attempt cwmodel.Attempt) {
	if attempt.Number >= a.latestNumber(attempt.Task) {
		a.current[attempt.Task] = latestAttempt{number: attempt.Number}
	}
}

// recordRefusal records an attempt that was refused and must never start, unless a later or the same attempt is on record.
func (a *attemptHistory) recordRefusal(attempt cwmodel.Attempt) {
	if attempt.Number > a.latestNumber(attempt.Task) {
		a.current[attempt.Task] = latestAttempt{number: attempt.Number, refused: true}
	}
}

// rotate starts a new generation and drops the previous one if the current one is older than minRetention. It reports whether it did.
func (a *attemptHistory) rotate(now time.Time) bool {
	if now.Sub(a.rotatedAt) < minRetention {
		return false
	}
	a.previous, a.current, a.rotatedAt = a.current, map[cwmodel.TaskID]latestAttempt{}, now
	return true
}

// RetainedAttempts returns the number of attempts on record, in both generations.
func (w *Worker) RetainedAttempts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.history.current) + len(w.history.previous)
}
