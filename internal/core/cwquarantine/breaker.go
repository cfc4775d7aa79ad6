// Package cwquarantine keeps work away from workers that fail what others run well.
package cwquarantine

import "time"

// State says whether a worker gets work.
type State string

// The closed set of states of a circuit breaker.
const (
	StateClosed   State = "closed"    // gets work
	StateOpen     State = "open"      // gets none until its cooldown is over
	StateHalfOpen State = "half-open" // gets one task at a time as a probe
)

// Limits of a breaker.
const (
	threshold    = 3.0 // unexpected failures in a row that open it
	firstPause   = time.Second
	longestPause = 5 * time.Minute
	probes       = 3                // successes in a row that close it again
	probation    = 30 * time.Second // after which it closes without probes, one failure short of opening again
)

// Breaker is the circuit breaker of one worker.
type Breaker struct {
	state     State
	failures  float64 // weight of the failures since the last success
	successes int     // probes that ended well since it was half open
	pause     time.Duration
	until     time.Time
}

// State returns the present state.
func (b *Breaker) State(now time.Time) State {
	if b.state == "" {
		return StateClosed
	}
	if b.state == StateOpen && !now.Before(b.until) {
		b.state, b.successes = StateHalfOpen, 0
		b.until = now.Add(probation)
	}
	if b.state == StateHalfOpen && !now.Before(b.until) {
		b.state, b.failures = StateClosed, threshold-1
	}
	return b.state
}

// RecordSuccess counts one task that ended well.
func (b *Breaker) RecordSuccess(now time.Time) {
	state := b.State(now)
	b.failures = 0
	if state != StateHalfOpen {
		return
	}
	if b.successes++; b.successes >= probes {
		b.state, b.pause = StateClosed, 0
	}
}

// RecordFailure counts one failure; expected is the rate at which the same work fails everywhere, from 0 to 1.
func (b *Breaker) RecordFailure(now time.Time, expected float64) {
	state := b.State(now)
	b.failures += 1 - expected
	switch state {
	case StateHalfOpen:
		b.open(now)
	case StateClosed:
		if b.failures >= threshold {
			b.open(now)
		}
	case StateOpen:
	}
}

func (b *Breaker) open(now time.Time) {
	b.pause = min(max(2*b.pause, firstPause), longestPause)
	b.state, b.until, b.failures = StateOpen, now.Add(b.pause), 0
}

// FailureRate is the recent rate of failures of one kind of work over all workers.
type FailureRate struct{ value float64 }

const smoothing = 0.02 // weight of the latest result

// Add counts one result.
func (r *FailureRate) Add(failed bool) {
	var sample float64
	if failed {
		sample = 1
	}
	r.value += smoothing * (sample - r.value)
}

// Value returns the rate, from 0 to 1.
func (r *FailureRate) Value() float64 { return r.value }
