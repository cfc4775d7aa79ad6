// Package cwretry decides whether another attempt of a task follows after the end of one, and after which backoff.
package cwretry

import (
	"math/rand/v2"
	"time"

	"currantward/internal/core/cwmodel"
)

// Decision is the way in which a task continues after the end of an attempt.
type Decision string

// The closed set of decisions.
const (
	DecisionFinal      Decision = "final"   // no other attempt: it succeeded, was stopped, or would fail again
	DecisionRetryStart Decision = "again"   // the attempt did not start; any task may start on another worker
	DecisionRerun      Decision = "repeat"  // the attempt ran or may have run; only a repeatable task may run again
	DecisionMigrate    Decision = "migrate" // the attempt was checkpointed; the task resumes on another worker
)

// Classify returns the decision for the end of an attempt.
func Classify(end cwmodel.EndKind) Decision {
	switch end {
	case cwmodel.EndNotStarted:
		return DecisionRetryStart
	case cwmodel.EndTransient, cwmodel.EndLeaseExpired:
		return DecisionRerun
	case cwmodel.EndCheckpointed:
		return DecisionMigrate
	case cwmodel.EndDone, cwmodel.EndFailed, cwmodel.EndStopped:
	}
	return DecisionFinal
}

// Bounds of the backoff before another attempt.
const (
	baseStartRetryDelay = 10 * time.Millisecond  // after an attempt that did not start
	baseRerunDelay      = 100 * time.Millisecond // after an attempt that ran
	maxDelay            = 2 * time.Second
)

// BaseDelay returns the shortest backoff after an attempt; ran reports whether the attempt ran or may have run.
func BaseDelay(ran bool) time.Duration {
	if ran {
		return baseRerunDelay
	}
	return baseStartRetryDelay
}

// NextDelay draws the next backoff with decorrelated jitter: uniformly between base and three times the previous one,
// capped at maxDelay.
func NextDelay(random *rand.Rand, base, previous time.Duration) time.Duration {
	upper := min(max(3*previous, 2*base), maxDelay)
	return base + time.Duration(random.Int64N(int64(upper-base)))
}
