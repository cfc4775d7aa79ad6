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

// attemptHistory records the latest attempt of each task. Its entries are in two generations, by when they were last updated. Each
// rotation drops the older generation, which bounds the memory.
type attemptHistory struct {
	newer     map[cwmodel.TaskID]latestAttempt // updated since the last rotation
	older     map[cwmodel.TaskID]latestAttempt // updated between the last two rotations
	rotatedAt time.Time
}

// latestAttempt is the attempt of a task with the highest number.
type latestAttempt struct {
	number  int
	refused bool // the attempt did not start and must never start
}

// newAttemptHistory returns an empty history whose first rotation is due minRetention after now.
func newAttemptHistory(now time.Time) attemptHistory {
	return attemptHistory{newer: map[cwmodel.TaskID]latestAttempt{}, older: map[cwmodel.TaskID]latestAttempt{}, rotatedAt: now}
}

// latest returns the latest attempt of a task on record, in either generation; its number is 0 if there is none.
func (a *attemptHistory) latest(task cwmodel.TaskID) latestAttempt {
	if h, ok := a.newer[task]; ok {
		return h
	}
	return a.older[task]
}

// latestNumber returns the number of the latest attempt of a task on record, or 0 if there is none.
func (a *attemptHistory) latestNumber(task cwmodel.TaskID) int { return a.latest(task).number }

// isRefused reports whether the attempt is the latest one of its task and was refused.
func (a *attemptHistory) isRefused(attempt cwmodel.Attempt) bool {
	h := a.latest(attempt.Task)
	return h.refused && h.number == attempt.Number
}

// recordStart records a started attempt, unless a later attempt is on record.
func (a *attemptHistory) recordStart(attempt cwmodel.Attempt) {
	if attempt.Number >= a.latestNumber(attempt.Task) {
		a.newer[attempt.Task] = latestAttempt{number: attempt.Number}
	}
}

// recordRefusal records an attempt that was refused and must never start, unless a later or the same attempt is on record.
func (a *attemptHistory) recordRefusal(attempt cwmodel.Attempt) {
	if attempt.Number > a.latestNumber(attempt.Task) {
		a.newer[attempt.Task] = latestAttempt{number: attempt.Number, refused: true}
	}
}

// rotate starts a new generation and drops the older one, unless the last rotation was less than minRetention ago. It reports whether
// it did.
func (a *attemptHistory) rotate(now time.Time) bool {
	if now.Sub(a.rotatedAt) < minRetention {
		return false
	}
	a.older, a.newer, a.rotatedAt = a.newer, map[cwmodel.TaskID]latestAttempt{}, now
	return true
}

// RetainedAttempts returns the number of attempts on record, in both generations.
func (w *Worker) RetainedAttempts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.history.newer) + len(w.history.older)
}
