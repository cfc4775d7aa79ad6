package cwcell

import "time"

// Bounds of the circuit breaker of a worker. Tasks fail by themselves too, so one failure proves nothing.
const (
	breakerFailures = 2 // failed runs in a row that open it
	breakerFirst    = 4 * time.Second
	breakerLongest  = 30 * time.Second
)

// breaker keeps new tasks off a worker that fails what it starts.
type breaker struct {
	row   int // failed runs since the last one that was done
	until time.Time
	last  time.Duration
}

func (b *breaker) open(now time.Time) bool { return now.Before(b.until) }

// fail counts a failed run and reports whether the breaker opened.
func (b *breaker) fail(now time.Time) bool {
	b.row++
	if b.row < breakerFailures {
		return false
	}
	b.trip(now)
	return true
}

// trip opens the breaker for a time that doubles with each trip in a row.
func (b *breaker) trip(now time.Time) {
	b.last = min(max(2*b.last, breakerFirst), breakerLongest)
	b.until = now.Add(b.last)
}

// succeed closes the breaker.
func (b *breaker) succeed() { *b = breaker{} }
