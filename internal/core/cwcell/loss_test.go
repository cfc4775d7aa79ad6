package cwcell

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/core/cwmodel"
)

// TestLostRunsAreLoggedWithTheirAge guards against a log that can't tell a task which crashes its workers from a bystander of a crash: the
// line of a lost run says how long the run is known to have lived.
func TestLostRunsAreLoggedWithTheirAge(t *testing.T) {
	cases := []struct {
		name     string
		confirm  bool          // the worker accepts the start order
		lived    time.Duration // from the confirmation to the last response of the worker
		ends     time.Duration // from the confirmation to the end of a connection on which a call waits; zero: a call times out
		restart  bool          // the worker restarts under its ID; else its leases expire
		survived string
	}{
		{"order without an answer", false, 0, 0, false, "0s"},
		{"lost at its start", true, 0, 0, false, "0s"},
		{"lost later", true, 1500 * time.Millisecond, 0, false, "1.5s"},
		{"lost at its start, by a restart", true, 0, 0, true, "0s"},
		{"lost later, by a restart", true, 1500 * time.Millisecond, 0, true, "1.5s"},
		{"its connection ends at its start", true, 0, 10 * time.Millisecond, true, "10ms"},
		{"its connection ends later", true, 0, time.Second, true, "1s"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture([]cwmodel.HostID{"a"}, plainPolicy)
			incarnation := f.now
			f.admit(step(1, 1000, false))
			o := f.decide().Starts[0]
			if tc.confirm {
				f.HandleStartResult(&o, StartAccepted, f.now)
			} else {
				f.HandleStartResult(&o, StartUnanswered, f.now)
			}
			if tc.lived > 0 {
				f.now = f.now.Add(tc.lived)
				f.HandleReport(&Report{Worker: "a", Incarnation: incarnation, RequestedAt: f.now, Running: []RunStatus{{Task: o.Task, Run: o.Run}}}, f.now)
			}
			if tc.ends > 0 {
				f.now = f.now.Add(tc.ends)
				f.MarkDisconnected("a", f.now)
				f.now = f.now.Add(tc.ends)
				f.MarkDisconnected("a", f.now) // of a call that was sent to a worker that has ended
			}
			f.now = f.now.Add(10 * time.Second)
			if tc.restart {
				f.HandleReport(&Report{Worker: "a", Incarnation: f.now, RequestedAt: f.now}, f.now)
			} else {
				f.MarkUnreachable("a", f.now)
			}
			f.now = f.now.Add(10 * time.Second)
			f.MarkUnreachable("a", f.now)
			entries := f.decide().LogEntries
			at := slices.IndexFunc(entries, func(e LogEntry) bool { return e.Event == "run-lost" })
			is.True(at >= 0)
			is.Equal(entries[at].Survived, tc.survived)
		})
	}
}

// TestReplacedWorkerIsLoggedOnce guards against a log that can't tell a worker that has ended from one that is silent.
func TestReplacedWorkerIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a"}, plainPolicy)
	f.MarkReplaced("a", f.now)
	f.MarkReplaced("a", f.now)
	n := 0
	for _, e := range f.decide().LogEntries {
		if e.Event == "worker-replaced" {
			n++
		}
	}
	is.Equal(n, 1)
}

// TestCrashAfterTheEndOfAJob guards against a second write of a job's end, which removes rows that are gone: one of its runs was in doubt, and
// its worker proves to have crashed later.
func TestCrashAfterTheEndOfAJob(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a"}, plainPolicy)
	f.admit(step(1, 1000, false))
	o := f.decide().Starts[0]
	f.HandleStartResult(&o, StartAccepted, f.now)
	f.MarkUnreachable("a", f.now)
	f.Cancel("job")
	all := func(cwmodel.JobID) bool { return true }
	f.CompleteWrites(f.NextWrites(10, all), true, f.now)
	is.Equal(f.PendingWrites(), 0)
	f.now = f.now.Add(10 * time.Second)
	f.MarkUnreachable("a", f.now) // its leases are over
	f.now = f.now.Add(time.Second)
	f.HandleReport(&Report{Worker: "a", Incarnation: f.now, RequestedAt: f.now}, f.now)
	is.Equal(f.PendingWrites(), 0)
}
