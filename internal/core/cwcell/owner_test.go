package cwcell

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/core/cwclock"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// TestLeasesMayBeExtendedByALaterOwner guards against a task that runs twice because an owner, which is cut off from the store and from a
// worker, takes the leases there for expired: its successor has extended them.
func TestLeasesMayBeExtendedByALaterOwner(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a", "b"}, plainPolicy)
	f.admit(step(1, 6000, false))
	o := f.decide().Starts[0]
	f.HandleStartResult(&o, StartAccepted, f.now)
	f.HandleReport(&Report{Worker: "a", Incarnation: time.Unix(1000, 0), RequestedAt: f.now, Running: []RunStatus{{Task: o.Task, Run: o.Run}}}, f.now)
	leaseExpiry, renewedAt := f.now.Add(3*time.Second), f.now
	f.opts.LeaseExpiry = func(cwmodel.HostID) time.Time { return leaseExpiry }
	f.opts.OwnedUntil = func() time.Time { return renewedAt }

	f.now = leaseExpiry.Add(time.Second)
	f.MarkUnreachable("a", f.now)
	is.Equal(len(f.decide().Starts), 0) // another host may have owned the cell since renewedAt

	renewedAt = leaseExpiry.Add(leaseGrace)
	f.MarkUnreachable("a", f.now)
	is.Equal(len(f.decideDurably()), 1)
}

// TestRunsOfEarlierOwnersMayBeExtendedByALaterOwner guards against the same for the leases that earlier owners have granted.
func TestRunsOfEarlierOwnersMayBeExtendedByALaterOwner(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a"}, plainPolicy)
	f.RestoreMember("cut-off", f.now, f.now)
	priorExpiry, renewedAt := f.now.Add(3*time.Second), f.now
	f.opts.PriorLeaseExpiry = priorExpiry
	f.opts.OwnedUntil = func() time.Time { return renewedAt }
	s := &cwwork.Submission{ID: "job", Queue: "q", Steps: []cwwork.Step{step(1, 1000, false)}, AcceptedAt: f.now, Policy: plainPolicy}
	f.Admit(s, nil, true, f.now, f.now)

	f.now = priorExpiry.Add(time.Second)
	is.Equal(len(f.decide().Starts), 0)

	renewedAt = priorExpiry
	is.Equal(len(f.decide().Starts), 1)
}

// TestWorkersOfEarlierOwnersAreNotEvictedEarly guards against a task that runs twice because a worker, which still runs it for an earlier
// owner and is cut off, is evicted: the cell then waits for no report of it.
func TestWorkersOfEarlierOwnersAreNotEvictedEarly(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a"}, plainPolicy)
	f.opts.PriorLeaseExpiry = f.now.Add(evictAfter + time.Second)
	f.RestoreMember("cut-off", f.now, f.now)
	f.MarkUnreachable("cut-off", f.now)
	f.now = f.now.Add(evictAfter + 500*time.Millisecond)
	is.Equal(len(f.EvictableWorkers(f.now)), 0)
	f.now = f.now.Add(time.Second)
	is.Equal(len(f.EvictableWorkers(f.now)), 1)
}

// TestOccurrencesOfAnOwnerWhoseClockWasAhead guards against tasks of a repeated job that run twice: the new owner's time of day is behind
// that of the former one, which has started an occurrence that is not due yet for the new one.
func TestOccurrencesOfAnOwnerWhoseClockWasAhead(t *testing.T) {
	task := cwwork.TaskKey{StepKey: cwwork.StepKey{Job: "job", Occurrence: 1}}
	done := &cwwork.Progress{Steps: []cwwork.StepProgress{{Occurrence: 1, Done: []int{0}}}}
	cases := []struct {
		name     string
		progress *cwwork.Progress
		running  []RunStatus
		ended    []RunEnd
		offset   time.Duration // from the new owner's time of day to the due time of the second occurrence
		adopted  bool
		starts   int // when that occurrence is due
	}{
		{"running", nil, []RunStatus{{Task: task, Run: 1}}, nil, 2 * time.Second, true, 1},
		{"ended as done", nil, nil, []RunEnd{{Sequence: 1, Task: task, Run: 1, Kind: EndDone}}, 2 * time.Second, true, 1},
		{"done in the stored progress", done, nil, nil, 2 * time.Second, true, 1},
		{"not started", nil, nil, nil, 2 * time.Second, true, 2},
		{"reported far too early", nil, []RunStatus{{Task: task, Run: 1}}, nil, time.Hour, true, 2},
		{"of a job that no earlier owner has run", nil, []RunStatus{{Task: task, Run: 1}}, nil, 2 * time.Second, false, 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture([]cwmodel.HostID{"a"}, plainPolicy)
			interval := 2 * time.Hour
			s := &cwwork.Submission{
				ID: "job", Queue: "q", Steps: []cwwork.Step{step(2, 1000, false)}, Repeats: 2, FirstDue: f.now.Add(tc.offset - interval), Interval: interval,
				AcceptedAt: f.now, Policy: plainPolicy,
			}
			f.Admit(s, tc.progress, tc.adopted, f.now, f.now)
			for _, o := range f.decide().Starts { // the first occurrence
				f.HandleStartResult(&o, StartAccepted, f.now)
			}
			f.HandleReport(&Report{Worker: "a", Incarnation: time.Unix(1000, 0), RequestedAt: time.Unix(1000, 0), Running: tc.running, Ended: tc.ended}, f.now)
			e := f.decide()
			is.Equal(len(e.Starts), 0) // the second occurrence is not due
			if tc.adopted && tc.offset < time.Minute {
				is.Equal(len(e.Stops), 0)
			}
			f.HandleReport(&Report{Worker: "a", Incarnation: time.Unix(1000, 0), RequestedAt: time.Unix(1000, 0)}, f.now) // stopped runs are gone
			second := f.jobs["job"].occurrence(1)
			opened := second != nil
			f.decideAfter(tc.offset)
			started := 0
			second = f.jobs["job"].occurrence(1)
			for n := range second.groups[0].tasks {
				if runs := second.groups[0].tasks[n].runs; len(runs) > 0 && !runs[0].adopted {
					started++
				}
			}
			is.Equal(started, tc.starts)
			is.Equal(opened, tc.starts == 1)
		})
	}
}

// TestMembersOfDifferentRunsAreNotAdopted guards against a gang that never ends: late orders of earlier owners have started its members under different
// numbers, so that they wait for each other in vain. Those of the latest run are kept.
func TestMembersOfDifferentRunsAreNotAdopted(t *testing.T) {
	cases := []struct {
		name string
		runs [2]int // of the members on a and b; that on a is reported first
		keep int    // index of the member that is kept at first
	}{
		{"the later run is reported first", [2]int{1003, 1}, 0},
		{"the earlier run is reported first", [2]int{1, 1003}, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			ids := []cwmodel.HostID{"a", "b"}
			f := newFixture(ids, plainPolicy)
			f.opts.RunNumberBase = 2000
			s := &cwwork.Submission{ID: "job", Queue: "q", Steps: []cwwork.Step{step(2, 5000, true)}, AcceptedAt: f.now, Policy: plainPolicy}
			f.Admit(s, nil, true, f.now, f.now)
			report := func(n int, ended []RunEnd) {
				task := cwwork.TaskKey{StepKey: cwwork.StepKey{Job: "job"}, Index: n}
				r := &Report{Worker: ids[n], Incarnation: time.Unix(1000, 0), RequestedAt: f.now}
				if ended == nil {
					r.Running = []RunStatus{{Task: task, Run: tc.runs[n]}}
				} else {
					r.Ended = []RunEnd{{Sequence: 1, Task: task, Run: tc.runs[n], Kind: EndStopped}}
				}
				f.HandleReport(r, f.now)
			}
			report(0, nil)
			report(1, nil)
			stops := f.decide().Stops
			is.Equal(len(stops), 1)
			is.Equal(stops[0].Worker, ids[1-tc.keep])
			report(1-tc.keep, []RunEnd{})
			f.decide()
			f.now = f.now.Add(2 * incompleteGrace)
			report(tc.keep, nil)
			stops = f.decide().Stops
			is.Equal(len(stops), 1) // its other members are missing
			report(tc.keep, []RunEnd{})
			is.Equal(len(f.decideDurably()), 2)
		})
	}
}

// TestRunsEndWithTheLeasesOfFormerOwners guards against a task that runs twice on a worker which restarted shortly before the owner changed: the
// new process carries out a call of the former owner whose deadline is meant for the clock of the process before, and grants its longest
// lease. The new owner must not count on its own grants alone when the worker falls silent.
func TestRunsEndWithTheLeasesOfFormerOwners(t *testing.T) {
	const hours = 5 * time.Hour
	cases := []struct {
		name    string
		returns bool          // the host of the former owner takes over again
		former  bool          // the former owner starts the run, in the new process
		clock   time.Duration // where the clock of the new process begins, from the reading of the one before
		cut     time.Duration // from the takeover to the cut
	}{
		{"same host, its run", true, false, -hours, 500 * time.Millisecond},
		{"same host, its run, late cut", true, false, -hours, time.Second},
		{"same host, run of the former owner", true, true, -hours, 500 * time.Millisecond},
		{"other host, its run", false, false, -hours, 500 * time.Millisecond},
		{"other host, run of the former owner", false, true, -hours, 500 * time.Millisecond},
		{"clock a little behind", true, false, -2500 * time.Millisecond, 500 * time.Millisecond},
		{"clock a little ahead", true, false, time.Second, 500 * time.Millisecond},
		{"clock far ahead", true, false, hours, 500 * time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(2, plainPolicy, func(int) int { return 0 })
			c.crashes.noFailures = true
			c.nextClock = func(w *simWorker) time.Duration { return c.clock(w) + tc.clock }
			first := c.workers[0]
			for _, w := range c.workers {
				c.startClock(w, 2*hours)
			}
			c.takeOverOn(c.hosts[0])
			c.advance(time.Second)
			s := &cwwork.Submission{ID: "job", Queue: "q", Steps: []cwwork.Step{step(1, 6000, false)}}
			s.Steps[0].Estimate = 12 * time.Second
			for _, w := range c.workers {
				c.restart(w, 600*time.Millisecond)
			}
			c.advance(800 * time.Millisecond)
			if tc.former {
				c.submit(s)
			}
			c.advance(200 * time.Millisecond)
			c.killOwner(tc.returns, 500*time.Millisecond)
			if !tc.former {
				c.submit(s)
			}
			c.advance(500*time.Millisecond + tc.cut)
			if len(first.runs) != 1 {
				t.Fatalf("the task does not run on %s\n%s", first.info.ID, strings.Join(c.history, "\n"))
			}
			c.cutOffWorkers([]*simWorker{first}, 10*time.Second)
			c.advance(30 * time.Second)
			if len(c.violations) > 0 || c.ended["job"] != cwwork.StateCompleted {
				t.Fatalf("%s, job %q\n%s", strings.Join(c.violations, "\n"), c.ended["job"], strings.Join(c.history, "\n"))
			}
		})
	}
}

// TestUnlistedWorkerMayHaveRestarted guards against a task that runs twice on a worker which restarted, was called by the former owner with a deadline for
// the clock of the process before, and was cut off for so long before the takeover that its entry has lapsed.
func TestUnlistedWorkerMayHaveRestarted(t *testing.T) {
	const hours = 5 * time.Hour
	c := newCluster(2, plainPolicy, func(int) int { return 0 })
	c.crashes.noFailures, c.maxLease = true, 10*time.Second
	for _, h := range c.hosts {
		h.maxLease = c.maxLease
	}
	c.nextClock = func(w *simWorker) time.Duration { return c.clock(w) - hours }
	first := c.workers[0]
	for _, w := range c.workers {
		c.startClock(w, 2*hours)
	}
	c.takeOverOn(c.hosts[0])
	c.advance(time.Second)
	s := &cwwork.Submission{ID: "job", Queue: "q", Steps: []cwwork.Step{step(1, 6000, false)}}
	s.Steps[0].Estimate = 12 * time.Second
	for _, w := range c.workers {
		c.restart(w, 600*time.Millisecond)
	}
	c.advance(800 * time.Millisecond)
	c.submit(s)
	c.advance(200 * time.Millisecond)
	if len(first.runs) != 1 {
		t.Fatalf("the task does not run on %s\n%s", first.info.ID, strings.Join(c.history, "\n"))
	}
	c.cutOffWorkers([]*simWorker{first}, 20*time.Second)
	c.advance(2500 * time.Millisecond)
	o := c.currentOwner()
	o.superseded, o.host.clocks = true, map[cwmodel.HostID]*cwclock.Clock{}
	c.advance(500 * time.Millisecond)
	before := len(c.delayedCalls)
	c.takeOverOn(o.host) // 3 s after the cut, twice heartbeat_ms: the entry has lapsed
	c.delayedCalls = append(c.delayedCalls[:before], c.delayedCalls[before+1:]...)
	c.advance(30 * time.Second)
	if len(c.violations) > 0 {
		t.Fatalf("%s\n%s", strings.Join(c.violations, "\n"), strings.Join(c.history, "\n"))
	}
}

// TestUnansweredOrderDoesNotWaitAnewUnderEachOwner guards against a task that never starts again after an order without an answer to a worker that is
// lost for good: each owner counts the wait for late calls from its own takeover, and owners change more often than it takes.
func TestUnansweredOrderDoesNotWaitAnewUnderEachOwner(t *testing.T) {
	cases := []struct {
		name  string
		pause time.Duration // between changes of the owner
	}{
		{"each 21 s", 21 * time.Second},
		{"each 16 s", 16 * time.Second},
		{"each 8 s", 8 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(3, crashPolicy, func(int) int { return 0 })
			c.crashes.noFailures = true
			c.takeOver()
			c.advance(2*time.Second + simPollPeriod/2) // the orders come before the next poll
			for _, w := range c.workers {
				w.alive = w.info.ID == "w00"
			}
			c.submit(c.crashingJob("job", 12, false, 0))
			c.advance(4 * time.Second)
			is.True(len(c.progress["job"].Steps[0].Lost) > 0) // the orders without an answer
			const takeover = simOwnerTTL + 2*simLease         // until the leases of the former owner have expired, which each owner has to wait for
			bound := cwclock.CallsExpiry(c.now.Add(takeover), simMaxLease).Sub(c.now) + takeover
			for passed := time.Duration(0); passed < bound; passed += tc.pause {
				c.takeOverOn(c.otherHost())
				c.advance(min(tc.pause, bound-passed))
			}
			c.advance(2 * time.Second) // the tasks run for less
			is.Equal(c.ended["job"], cwwork.StateCompleted)
			is.Equal(len(c.violations), 0)
		})
	}
}
