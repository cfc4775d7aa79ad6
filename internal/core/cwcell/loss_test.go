package cwcell

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/core/cwclock"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
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
		survived time.Duration
	}{
		{"order without an answer", false, 0, 0, false, 0},
		{"lost at its start", true, 0, 0, false, 0},
		{"lost later", true, 1500 * time.Millisecond, 0, false, 1500 * time.Millisecond},
		{"lost at its start, by a restart", true, 0, 0, true, 0},
		{"lost later, by a restart", true, 1500 * time.Millisecond, 0, true, 1500 * time.Millisecond},
		{"its connection ends at its start", true, 0, 10 * time.Millisecond, true, 10 * time.Millisecond},
		{"its connection ends later", true, 0, time.Second, true, time.Second},
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
			f.now = f.now.Add(cwclock.MaxCallDelay + 10*time.Second)
			f.MarkUnreachable("a", f.now)
			entries := f.decide().LogEntries
			at := slices.IndexFunc(entries, func(e LogEntry) bool { return e.Event == "run-lost" })
			is.True(at >= 0)
			is.Equal(*entries[at].Survived, tc.survived)
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

// TestSilenceIsNoCrash guards against a run that counts as a crash of its worker because the worker was only silent, cut off, slow or suspended,
// or left as announced.
func TestSilenceIsNoCrash(t *testing.T) {
	cases := []struct {
		name    string
		happens func(f *fixture, o *StartOrder)
		answers bool // the same incarnation answers afterwards
		crashes int
	}{
		{"silent, then answers", func(f *fixture, o *StartOrder) { f.MarkUnreachable(o.Worker, f.now) }, true, 0},
		{"connection ends, then answers", func(f *fixture, o *StartOrder) { f.MarkDisconnected(o.Worker, f.now) }, true, 0},
		{"silent until its leases are over, then answers", func(f *fixture, o *StartOrder) {
			f.MarkUnreachable(o.Worker, f.now)
			f.now = f.now.Add(10 * time.Second)
			f.MarkUnreachable(o.Worker, f.now)
		}, true, 0},
		{"unlisted while it is silent", func(f *fixture, o *StartOrder) {
			f.MarkUnreachable(o.Worker, f.now)
			f.UnlistWorker(o.Worker, f.now)
			f.now = f.now.Add(10 * time.Second)
			f.MarkUnreachable(o.Worker, f.now)
		}, true, 0},
		{"drains, then falls silent", func(f *fixture, o *StartOrder) {
			f.drain(o.Worker)
			f.MarkUnreachable(o.Worker, f.now)
		}, false, 0},
		{"falls silent, drains, and another worker has its address", func(f *fixture, o *StartOrder) {
			f.MarkUnreachable(o.Worker, f.now)
			f.drain(o.Worker)
			f.MarkReplaced(o.Worker, f.now)
		}, false, 0},
		{"another worker has its address", func(f *fixture, o *StartOrder) { f.MarkReplaced(o.Worker, f.now) }, false, 1},
		{"another incarnation", func(f *fixture, o *StartOrder) {
			f.MarkUnreachable(o.Worker, f.now)
			f.now = f.now.Add(10 * time.Second)
			f.MarkUnreachable(o.Worker, f.now)
			f.HandleReport(&Report{Worker: o.Worker, Incarnation: f.now, RequestedAt: f.now}, f.now)
		}, false, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture([]cwmodel.HostID{"a"}, plainPolicy)
			incarnation := f.now
			f.admit(step(1, 1000, false))
			o := f.decide().Starts[0]
			f.HandleStartResult(&o, StartAccepted, f.now)
			tc.happens(f, &o)
			if tc.answers {
				f.now = f.now.Add(time.Second)
				f.HandleReport(&Report{Worker: "a", Incarnation: incarnation, RequestedAt: f.now}, f.now)
			}
			crashes := 0
			for _, l := range f.jobs["job"].occurrences[0].groups[0].tasks[0].losses {
				is.True(l.Crashed) // nothing is left in doubt
				crashes++
			}
			is.Equal(crashes, tc.crashes)
		})
	}
}

// TestLossesOutliveTheirOwner guards against a task that crashes its workers and is counted from zero by each owner, and against a worker that
// counts as crashed because its owner has changed while it was silent.
func TestLossesOutliveTheirOwner(t *testing.T) {
	earlier, later := time.Unix(900, 0), time.Unix(950, 0)
	lost := func(crashed bool) []cwwork.LostRun {
		return []cwwork.LostRun{{TaskRun: cwwork.TaskRun{Run: 3}, Worker: "a", Incarnation: earlier, Early: true, Alone: true, Crashed: crashed}}
	}
	cases := []struct {
		name        string
		stored      []cwwork.LostRun
		incarnation time.Time // that answers the new owner; zero: none
		before      bool      // it answers before the job is loaded
		replaced    bool      // another worker has its address
		losses      int       // that count afterwards
	}{
		{"proven", lost(true), earlier, false, false, 1},
		{"in doubt, and the same incarnation answers", lost(false), earlier, false, false, 0},
		{"in doubt, and the same incarnation has answered", lost(false), earlier, true, false, 0},
		{"in doubt, and another incarnation answers", lost(false), later, false, false, 1},
		{"in doubt, and another incarnation has answered", lost(false), later, true, false, 1},
		{"in doubt, and another worker has its address", lost(false), time.Time{}, false, true, 1},
		{"in doubt, and nothing is learned", lost(false), time.Time{}, false, false, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(nil, plainPolicy)
			f.RestoreMember("a", time.Unix(1000, 0), f.now)
			answer := func() {
				if !tc.incarnation.IsZero() {
					f.HandleReport(&Report{Worker: "a", Incarnation: tc.incarnation, RequestedAt: f.now}, f.now)
				}
			}
			if tc.before {
				answer()
			}
			s := &cwwork.Submission{ID: "job", Queue: "q", Steps: []cwwork.Step{step(1, 1000, false)}, AcceptedAt: f.now, Policy: plainPolicy}
			f.Admit(s, &cwwork.Progress{Steps: []cwwork.StepProgress{{Lost: tc.stored}}}, true, f.now, f.now)
			if !tc.before {
				answer()
			}
			if tc.replaced {
				f.MarkReplaced("a", f.now)
			}
			f.decideAfter(doubtExpiry)
			p := f.jobs["job"].snapshot()
			stored := 0
			for _, step := range p.Steps {
				stored += len(step.Lost)
			}
			is.Equal(stored, tc.losses)
			is.Equal(f.group(cwwork.StepKey{Job: "job"}).tasks[0].highestRun, 3) // its number is not used again
		})
	}
}

// TestUnansweredOrderIsNoCrashUnderItsTask guards against a task that is given up after one crash, because an order which its crashed worker has
// never carried out counts as another: the worker had crashed under another task of the same decision.
func TestUnansweredOrderIsNoCrashUnderItsTask(t *testing.T) {
	is := is.New(t)
	workers := []cwmodel.HostID{"a", "b", "c", "d", "e", "f"}
	f := newFixture(workers, plainPolicy)
	for range 2 { // other tasks of the queue have crashed their workers
		f.crashMemory.RecordGivenUp("q", f.now)
	}
	f.admit(step(1, 6000, false))
	o := f.decide().Starts[0]
	f.HandleStartResult(&o, StartUnanswered, f.now)
	for crashes := 1; crashes <= 2; crashes++ {
		f.MarkReplaced(o.Worker, f.now)
		starts := f.decideDurably()
		is.Equal(len(starts), 1) // not given up before two workers have crashed under it
		o = starts[0]
		f.HandleStartResult(&o, StartAccepted, f.now)
	}
	f.MarkReplaced(o.Worker, f.now)
	is.Equal(len(f.decideDurably()), 0)
	is.Equal(f.jobs["job"], (*job)(nil))
	is.Equal(f.finalStates["job"].state, cwwork.StateFailed)
}

// TestAgeOfRunsBesideAnUnansweredOrder guards against bystanders that are taken for suspects: the order that their worker did not answer has already
// marked it as silent when the connection of the poll ends.
func TestAgeOfRunsBesideAnUnansweredOrder(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a"}, plainPolicy)
	f.admit(step(2, 3000, false))
	orders := f.decide().Starts
	f.HandleStartResult(&orders[0], StartAccepted, f.now)
	f.now = f.now.Add(time.Second)
	f.HandleStartResult(&orders[1], StartUnanswered, f.now)
	f.MarkDisconnected("a", f.now)
	silent := 0
	for _, e := range f.decide().LogEntries {
		if e.Event == "worker-silent" {
			silent++
		}
	}
	is.Equal(silent, 1)
	f.MarkReplaced("a", f.now)
	tasks := f.jobs["job"].occurrences[0].groups[0].tasks
	is.True(!tasks[0].losses[0].Early)
	is.True(tasks[1].losses[0].Early)
}

// TestSuspectNeedsAdviceOnItsWorker guards against an owner that ends by a panic: the worker that is kept for a suspect was chosen before its group
// had advice, and the advice that arrives before the next choice names another one.
func TestSuspectNeedsAdviceOnItsWorker(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a", "b"}, advisedPolicy)
	s := &cwwork.Submission{ID: "job", Queue: "q", Steps: []cwwork.Step{step(1, 1000, false)}, AcceptedAt: f.now, Policy: advisedPolicy}
	lost := []cwwork.LostRun{{TaskRun: cwwork.TaskRun{Run: 1}, Worker: "gone", Incarnation: f.now, Early: true, Started: true}}
	f.Admit(s, &cwwork.Progress{Steps: []cwwork.StepProgress{{Lost: lost}}}, true, f.now, f.now)
	requests := f.decide().AdviceRequests
	is.Equal(len(requests), 1)
	kept, other := cwmodel.HostID("a"), cwmodel.HostID("b")
	if f.workers["b"].cordonedFor != nil {
		kept, other = other, kept
	}
	is.True(f.workers[kept].cordonedFor != nil)
	f.HandleAdvice(requests[0].ID, []EligibleWorker{{ID: other, Ticket: "t"}}, true, f.now.Add(time.Minute), f.now)
	f.decideAfter(time.Millisecond)
	is.Equal(len(f.workers[kept].runs), 0)
	starts := f.decideDurably()
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Worker, other)
}
