// Package cwretry decides whether and when a further attempt follows one that failed.
package cwretry

import (
	"math/rand/v2"
	"time"

	"currantward/internal/core/cwmodel"
)

// Verdict says what the end of an attempt means for a further one.
type Verdict string

// The closed set of verdicts.
const (
	VerdictFinal   Verdict = "final"   // no further attempt would end otherwise
	VerdictAgain   Verdict = "again"   // nothing ran; another worker may take it
	VerdictRepeat  Verdict = "repeat"  // it ran; a repeatable task may run again
	VerdictMigrate Verdict = "migrate" // it was checkpointed in favour of others
)

// Classify returns the verdict on an end.
func Classify(end cwmodel.End) Verdict {
	switch end {
	case cwmodel.EndNeverBegan:
		return VerdictAgain
	case cwmodel.EndTransient, cwmodel.EndLapsed:
		return VerdictRepeat
	case cwmodel.EndCheckpoint:
		return VerdictMigrate
	case cwmodel.EndDone, cwmodel.EndFailed, cwmodel.EndStopped:
	}
	return VerdictFinal
}

// Bounds of the delay before a further attempt.
const (
	Base = 10 * time.Millisecond
	Cap  = 2 * time.Second
)

// Delay draws the next delay by decorrelated jitter: evenly between the base and three times the previous delay.
func Delay(random *rand.Rand, previous time.Duration) time.Duration {
	upper := min(max(3*previous, 2*Base), Cap)
	return Base + time.Duration(random.Int64N(int64(upper-Base)))
}

// Budget bounds retries to a part of the work that ends well.
type Budget struct{ spent float64 }

const (
	burst    = 50.0 // retries that are always allowed
	perEnded = 0.2  // retries that each task that ended well adds
)

// Earn counts one task that ended well.
func (b *Budget) Earn() { b.spent = max(b.spent-perEnded, 0) }

// Spend takes one retry and reports whether the budget held it.
func (b *Budget) Spend() bool {
	if b.spent+1 > burst {
		return false
	}
	b.spent++
	return true
}
