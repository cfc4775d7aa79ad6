package cwquarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestBreaker(t *testing.T) {
	begin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	cases := []struct {
		name     string
		results  string // f: fails, s: succeeds, p: pauses for the first pause, w: waits for the end of a probation
		expected float64
		want     State
	}{
		{"two failures", "ff", 0, StateClosed},
		{"three failures in a row", "fff", 0, StateOpen},
		{"a success between", "ffsff", 0, StateClosed},
		{"failures that everybody has", "ffff", 0.9, StateClosed},
		{"half open after the pause", "fffp", 0, StateHalfOpen},
		{"a failed probe opens it again", "fffpf", 0, StateOpen},
		{"the next pause is longer", "fffpfp", 0, StateOpen},
		{"two good probes", "fffpss", 0, StateHalfOpen},
		{"three good probes close it", "fffpsss", 0, StateClosed},
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
					now = now.Add(firstPause)
				case 'w':
					b.State(now)
					now = now.Add(probation)
				}
			}
			is.New(t).Equal(b.State(now), c.want)
		})
	}
}
