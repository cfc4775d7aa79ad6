package cwcell

import "time"

// Limits of the circuit breaker of a worker. Tasks also fail by their own fault, so one failure does not open it.
const (
	breakerThreshold   = 2 // consecutive failed runs that open it
	breakerMinCooldown = 4 * time.Second
	breakerMaxCooldown = 30 * time.Second
)

// breaker keeps new tasks off a worker whose runs fail.
type breaker struct {
	failures  int // failed runs since the last successful one
	openUntil time.Time
	cooldown  time.Duration
}

func (b *breaker) isOpen(now time.Time) bool { return now.Before(b.openUntil) }

// recordFailure counts a failed run and reports whether the breaker opened.
func (b *breaker) recordFailure(now time.Time) bool {
	b.failures++
	if b.failures < breakerThreshold {
		return false
	}
	b.trip(now)
	return true
}

// trip opens the breaker for a cooldown that doubles with each consecutive trip.
func (b *breaker) trip(now time.Time) {
	b.cooldown = min(max(2*b.cooldown, breakerMinCooldown), breakerMaxCooldown)
	b.openUntil = now.Add(b.cooldown)
}

// reset closes the breaker.
func (b *breaker) reset() { *b = breaker{} }
