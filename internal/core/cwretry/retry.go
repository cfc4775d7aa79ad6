// Package cwretry decides whether and when a further attempt follows one that failed.
package cwretry

import (
	"math/rand/v2"
	"time"

	"currantward/internal/core/cwmodel"
)

// Decision says what the end of an attempt means for a further one.
type Decision string

// The closed set of verdicts.
const (
	DecisionFinal      Decision = "final"   // no further attempt would end otherwise
	DecisionReschedule Decision = "again"   // nothing ran; another worker may take it
	DecisionRetry      Decision = "repeat"  // it ran; a repeatable task may run again
	DecisionMigrate    Decision = "migrate" // it was checkpointed in favour of others
)

// Classify returns the verdict on an end.
func Classify(end cwmodel.EndKind) Decision {
	switch end {
	case cwmodel.EndNotStarted:
		return DecisionReschedule
	case cwmodel.EndTransient, cwmodel.EndLeaseExpired:
		return DecisionRetry
	case cwmodel.EndCheckpointed:
		return DecisionMigrate
	case cwmodel.EndDone, cwmodel.EndFailed, cwmodel.EndStopped:
	}
	return DecisionFinal
}

// Bounds of the delay before a further attempt.
const (
	baseAgain  = 10 * time.Millisecond  // after an attempt that never began
	baseRepeat = 100 * time.Millisecond // after an attempt that ran
	longest    = 2 * time.Second
)

// BaseDelay returns the shortest delay before a further attempt.
func BaseDelay(ran bool) time.Duration {
	if ran {
		return baseRepeat
	}
	return baseAgain
}

// NextDelay draws the next delay by decorrelated jitter: evenly between the base and three times the previous delay.
func NextDelay(random *rand.Rand, base, previous time.Duration) time.Duration {
	upper := min(max(3*previous, 2*base), longest)
	return base + time.Duration(random.Int64N(int64(upper-base)))
}
