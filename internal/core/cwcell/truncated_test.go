package cwcell

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// TestAdoptedTasksWaitForUnreadEnds guards against tasks that run again after they are done, or after their last attempt: a worker lists
// more ends than one report contains, and the next owner takes the report for the whole list.
func TestAdoptedTasksWaitForUnreadEnds(t *testing.T) {
	incarnation := time.Unix(1000, 0)
	end := func(sequence uint64, index int, kind EndKind) RunEnd {
		return RunEnd{Sequence: sequence, Task: cwwork.TaskKey{StepKey: cwwork.StepKey{Job: "job"}, Index: index}, Run: 1, Kind: kind}
	}
	cases := []struct {
		name    string
		expired bool // the leases of earlier owners have expired
		then    func(f *fixture)
		starts  int // of the two tasks, of which the first is done by a reported end
	}{
		{"the rest is not read", false, func(*fixture) {}, 0},
		{"the rest is not read, earlier leases have expired", true, func(*fixture) {}, 0},
		{"the rest is empty", false, func(f *fixture) {
			f.HandleReport(&Report{Worker: "a", Incarnation: incarnation, RequestedAt: f.now}, f.now)
		}, 1},
		{"the rest has the end of the task", true, func(f *fixture) {
			f.HandleReport(&Report{Worker: "a", Incarnation: incarnation, RequestedAt: f.now, Ended: []RunEnd{end(2, 1, EndDone)}}, f.now)
		}, 0},
		{"the rest has the last failure of the task", true, func(f *fixture) {
			f.HandleReport(&Report{Worker: "a", Incarnation: incarnation, RequestedAt: f.now, Ended: []RunEnd{end(2, 1, EndFailed)}}, f.now)
		}, 0},
		{"the next report is truncated too", true, func(f *fixture) {
			f.HandleReport(&Report{Worker: "a", Incarnation: incarnation, RequestedAt: f.now, Ended: []RunEnd{end(2, 7, EndDone)}, Truncated: true}, f.now)
		}, 0},
		{"the worker has restarted", false, func(f *fixture) {
			f.HandleReport(&Report{Worker: "a", Incarnation: incarnation.Add(time.Second), RequestedAt: f.now}, f.now)
		}, 1},
		{"the worker's process was replaced", true, func(f *fixture) { f.MarkReplaced("a", f.now) }, 1},
		{"the worker is unreachable", true, func(f *fixture) { f.MarkUnreachable("a", f.now) }, 0},
		{"the worker is unreachable and its leases have expired", true, func(f *fixture) {
			f.MarkUnreachable("a", f.now)
			f.now = f.opts.LeaseExpiry("a").Add(leaseGrace)
		}, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			policy := plainPolicy
			policy.MaxAttempts = 1
			f := newFixture([]cwmodel.HostID{"a", "b"}, policy)
			leaseExpiry := f.now.Add(3 * time.Second)
			f.opts.LeaseExpiry = func(cwmodel.HostID) time.Time { return leaseExpiry }
			if !tc.expired {
				f.opts.PriorLeaseExpiry = f.now.Add(time.Hour)
			}
			f.HandleReport(&Report{Worker: "a", Incarnation: incarnation, RequestedAt: f.now, Ended: []RunEnd{end(1, 0, EndDone)}, Truncated: true}, f.now)
			s := &cwwork.Submission{ID: "job", Queue: "q", Steps: []cwwork.Step{step(2, 1000, false)}, AcceptedAt: f.now, Policy: policy}
			p := &cwwork.Progress{Steps: []cwwork.StepProgress{{Done: []int{0}}}}
			f.Admit(s, p, true, f.now, f.now)
			is.Equal(len(f.decide().Starts), 0)
			tc.then(f)
			is.Equal(len(f.decide().Starts), tc.starts)
		})
	}
}
