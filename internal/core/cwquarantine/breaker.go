// Package cwquarantine detects workers that fail tasks which succeed elsewhere, and keeps further tasks away from them.
package cwquarantine

import "time"

// State is the state of a circuit breaker, which decides whether its worker gets tasks.
type State string

// The closed set of states of a circuit breaker.
const (
	StateClosed   State = "closed"    // gets tasks
	StateOpen     State = "open"      // gets none until its cooldown has passed
	StateHalfOpen State = "half-open" // gets one task at a time as a probe
)

// Parameters of a breaker.
const (
	openThreshold   = 3.0 // consecutive failures that open it, each reduced by the expected failure rate
	minCooldown     = time.Second
	maxCooldown     = 5 * time.Minute
	requiredProbes  = 3                // consecutive successful probes that close it
	probationPeriod = 30 * time.Second // after which it closes without enough probes, one failure short of opening again
)

// Breaker is the circuit breaker of one worker.
type Breaker struct {
	state       State         // empty: closed
	failures    float64       // failures since the last success, each reduced by the expected failure rate
	successes   int           // successful probes since it became half open
	cooldown    time.Duration // of the latest opening; zero after successful probes
	nextStateAt time.Time     // when an open breaker becomes half open, or a half-open one closes
}

// State returns the current state.
func (b *Breaker) State(now time.Time) State {
	if b.state == "" {
		return StateClosed
	}
	if b.state == StateOpen && !now.Before(b.nextStateAt) {
		b.state, b.successes = StateHalfOpen, 0
		b.nextStateAt = now.Add(probationPeriod)
	}
	if b.state == StateHalfOpen && !now.Before(b.nextStateAt) {
		b.state, b.failures = StateClosed, openThreshold-1
	}
	return b.state
}

// RecordSuccess counts one successful task.
func (b *Breaker) RecordSuccess(now time.Time) {
	state := b.State(now)
	b.failures = 0
	if state != StateHalfOpen {
		return
	}
	if b.successes++; b.successes >= requiredProbes {
		b.state, b.cooldown = StateClosed, 0
	}
}

// RecordFailure counts one failure; expected is the failure rate of the same kind of tasks on all workers, from 0 to 1.
func (b *Breaker) RecordFailure(now time.Time, expected float64) {
	state := b.State(now)
	b.failures += 1 - expected
	switch state {
	case StateHalfOpen:
		b.open(now)
	case StateClosed:
		if b.failures >= openThreshold {
			b.open(now)
		}
	case StateOpen:
	}
}

// open opens the breaker for a cooldown that doubles with each opening until probes have closed it.
func (b *Breaker) open(now time.Time) {
	b.cooldown = min(max(2*b.cooldown, minCooldown), maxCooldown)
	b.state, b.nextStateAt, b.failures = StateOpen, now.Add(b.cooldown), 0
}

// FailureRate is the moving failure rate of one kind of tasks over all workers.
type FailureRate struct{ value float64 }

const failureRateSmoothing = 0.02 // weight of the latest result

// Add adds one result.
func (r *FailureRate) Add(failed bool) {
	var sample float64
	if failed {
		sample = 1
	}
	r.value += failureRateSmoothing * (sample - r.value)
}

// Value returns the rate, from 0 to 1.
func (r *FailureRate) Value() float64 { return r.value }
