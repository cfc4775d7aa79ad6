// Package cwsoak_test runs short soaks of the entry hosts on stand-ins of the users' platform.
package cwsoak_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/base/cwtimer"
	"currantward/internal/proof/cwprocess"
	"currantward/internal/proof/cwsoak"
)

// TestSoak guards against tasks that run twice, jobs that are lost and calls without a response, when several nodes, runners, the store
// and the connections between them fail at the same time.
//
// The seeds together cover each kind of fault. Those that once found a violation say its cause. `go run ./cmd/prove soak` runs more seeds
// for longer.
func TestSoak(t *testing.T) {
	cases := []struct {
		name   string
		seed   uint64
		faulty time.Duration
		faults cwsoak.FaultSet
	}{
		{"hosts that die, leave and are replaced, a store that loses answers", 1, 6 * time.Second, cwsoak.OtherFaults},
		{"hosts paused, runners cut off and late", 4, 6 * time.Second, cwsoak.OtherFaults},
		// Found a violation: the soak wrote two configurations at the same time, the newer one first.
		{"configurations while hosts leave", 2007, 6 * time.Second, cwsoak.OtherFaults},
		// Found a violation: the stand-in of a runner applied an acknowledgement of its previous incarnation to later run ends.
		{"racks that die twice while the store is away", 2013, 6 * time.Second, cwsoak.OtherFaults},
		// Found a violation, with a larger fleet: the owner ended by a panic, as it planned a suspect on a worker without advice.
		{"a rack that dies and is cut off while the store is away", 3065963097, 6 * time.Second, cwsoak.OtherFaults},
		// Found a violation, with a larger fleet: the next owner did not know of the lease that a restarted runner had granted to the former one.
		{"owners killed between the restart of runners and their cut", 81002, 6 * time.Second, cwsoak.AllFaults},
	}
	is := is.New(t)
	folder := t.TempDir()
	programs, err := cwprocess.Build(folder)
	is.NoErr(err)
	timer, stop := cwtimer.New()
	defer stop()
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			args := cwsoak.Arguments{FaultDuration: tc.faulty, Faults: tc.faults, Nodes: 3, Racks: 3, Runners: 2, Callers: 6, Logs: t.TempDir()}
			report, faults, err := cwsoak.Run(args, programs, timer, tc.seed)
			is.NoErr(err)
			t.Logf("jobs %d, accepted %d, runs %d, faults %v", report.Jobs, report.Accepted, report.Runs, faults)
			is.NoErr(report.Err())
			is.True(report.Accepted > 0 && report.Runs > 0)
		})
	}
}
