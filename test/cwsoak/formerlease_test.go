package cwsoak_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/base/cwtimer"
	"currantward/internal/proof/cwprocess"
	"currantward/internal/proof/cwsoak"
)

// TestLeaseOfAFormerOwnerOutlivesItsSuccessorsBound guards against a task that runs twice because a runner has restarted between two owners. Its new
// process takes a deadline for the clock of the earlier one from the former owner, and so grants its longest lease. The tasks that the next
// owner starts there live under that lease, also when the runner is cut off and the leases that this owner has granted are over.
func TestLeaseOfAFormerOwnerOutlivesItsSuccessorsBound(t *testing.T) {
	cases := []struct {
		name string
		run  cwsoak.FormerLeaseRun
	}{
		{"clock far behind", cwsoak.FormerLeaseRun{FormerClock: 2 * time.Hour, NextClock: time.Hour}},
		{"clock a little behind", cwsoak.FormerLeaseRun{FormerClock: 2 * time.Hour, NextClock: 2*time.Hour - 3*time.Second}},
		{"clock near zero", cwsoak.FormerLeaseRun{FormerClock: 2 * time.Hour, NextClock: time.Millisecond}},
	}
	is := is.New(t)
	programs, err := cwprocess.Build(t.TempDir())
	is.NoErr(err)
	timer, stop := cwtimer.New()
	defer stop()
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			violations, err := cwsoak.RunFormerLease(tc.run, programs, timer, t.TempDir(), t.TempDir())
			is.NoErr(err)
			is.Equal(violations, nil)
		})
	}
}
