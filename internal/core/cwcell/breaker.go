package cwcell

import "time"

// Bounds of the circuit breaker of a worker. Tasks fail by themselves too, so one failure proves nothing.
const (
	breakerThreshold   = 2 // failed runs in a row that open it
	breakerMinCooldown = 4 * time.Second
	breakerMaxCooldown = 30 * time.Second
)

// breaker keeps new tasks off a worker that fails what it starts.
type breaker struct {
	failures int // failed runs since the last one that was done
	until    time.Time
	cooldown time.Duration
}

func (b *breaker) isOpen(now time.Time) bool { return now.Before(b.until) }

// recordFailure counts a failed run and reports whether the breaker opened.
func (b *breaker) recordFailure(now time.Time) bool {
	b.failures++
	if b.failures < breakerThreshold {
		return false
	}
	b.trip(now)
	return true
}

// trip opens the breaker for a time that doubles with each trip in a row.
func (b *breaker) trip(now time.Time) {
	b.cooldown = min(max(2*b.cooldown, breakerMinCooldown), breakerMaxCooldown)
	b.until = now.Add(b.cooldown)
}

// reset closes the breaker.
func (b *breaker) reset() { *b = breaker{} }
