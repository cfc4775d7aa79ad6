package cwquarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBreaker asserts the states of a breaker after sequences of successes, failures and waits.
func TestBreaker(t *testing.T) {
	begin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	cases := []struct {
		name     string
		results  string // f: a failure, s: a success, p: the first cooldown passes, w: the probation period passes
		expected float64
		want     State
	}{
		{"two failures", "ff", 0, StateClosed},
		{"three failures in a row", "fff", 0, StateOpen},
		{"a success between failures", "ffsff", 0, StateClosed},
		{"failures that are expected on all workers", "ffff", 0.9, StateClosed},
		{"half open after the cooldown", "fffp", 0, StateHalfOpen},
		{"a failed probe opens it again", "fffpf", 0, StateOpen},
		{"the next cooldown is longer", "fffpfp", 0, StateOpen},
		{"two successful probes", "fffpss", 0, StateHalfOpen},
		{"three successful probes close it", "fffpsss", 0, StateClosed},
		{"probation without probes ends", "fffpw", 0, StateClosed},
		{"one failure after such a probation", "fffpwf", 0, StateOpen},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var b Breaker
			now := begin
			for _, r := range c.results {
				switch r {
				case 'f':
					b.RecordFailure(now, c.expected)
				case 's':
					b.RecordSuccess(now)
				case 'p':
					now = now.Add(minCooldown)
				case 'w':
					b.State(now)
					now = now.Add(probationPeriod)
				}
			}
			is.New(t).Equal(b.State(now), c.want)
		})
	}
}
