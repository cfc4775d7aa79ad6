package cwcell

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/core/cwclock"
	"currantward/internal/core/cwevidence"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// restartEvent is an event in the life of a run whose worker restarts under its ID.
type restartEvent string

const (
	eventAccepted      restartEvent = "accepted"       // the start order is accepted
	eventReported      restartEvent = "reported"       // the earlier incarnation reports the run
	eventRestart       restartEvent = "restart"        // the platform lists the later incarnation
	eventNextReports   restartEvent = "next-reports"   // the later incarnation reports the run
	eventNextOmits     restartEvent = "next-omits"     // the later incarnation reports no run
	eventNextEnds      restartEvent = "next-ends"      // the later incarnation reports the end of the run
	eventUnanswered    restartEvent = "unanswered"     // the start order gets no response
	eventStopConfirmed restartEvent = "stop-confirmed" // the stop order is answered
)

// TestRunOfTheNextIncarnationIsKept guards against a task that runs twice because a run, which a restarted worker has accepted under
// the same ID, is taken for one of its earlier incarnation.
func TestRunOfTheNextIncarnationIsKept(t *testing.T) {
	cases := []struct {
		name        string
		events      []restartEvent
		startsAgain bool // the task is started elsewhere after the events
	}{
		{"accepted after the restart", []restartEvent{eventRestart, eventAccepted}, false},
		{"accepted after the restart, then reported", []restartEvent{eventRestart, eventAccepted, eventNextReports}, false},
		{"accepted before the restart is known", []restartEvent{eventAccepted, eventRestart}, false},
		{"accepted before the restart is known, then reported", []restartEvent{eventAccepted, eventRestart, eventNextReports}, false},
		{"accepted before the restart is known, then ended", []restartEvent{eventAccepted, eventRestart, eventNextEnds}, false},
		{"accepted by the earlier incarnation", []restartEvent{eventAccepted, eventRestart, eventNextOmits}, true},
		{"reported by the earlier incarnation", []restartEvent{eventAccepted, eventReported, eventRestart}, false},
		{"reported by the earlier incarnation, then not by the next", []restartEvent{eventAccepted, eventReported, eventRestart, eventNextOmits}, true},
		{"reported by both incarnations while a try is in flight", []restartEvent{eventReported, eventRestart, eventNextReports}, false},
		{"entry of the next incarnation after its report", []restartEvent{eventAccepted, eventNextReports, eventRestart}, false},
		{"reported by the earlier incarnation while a try is in flight", []restartEvent{eventReported, eventRestart}, false},
		{"the same, then accepted", []restartEvent{eventReported, eventRestart, eventAccepted, eventNextReports}, false},
		{"in flight while the next incarnation reports", []restartEvent{eventRestart, eventNextOmits}, false},
		{"unanswered", []restartEvent{eventUnanswered, eventRestart}, false},
		{"unanswered, then reported", []restartEvent{eventUnanswered, eventRestart, eventNextReports}, false},
		{"unanswered, then stopped", []restartEvent{eventUnanswered, eventRestart, eventStopConfirmed, eventNextOmits}, true},
		{"stopped in the earlier incarnation, then reported", []restartEvent{eventUnanswered, eventStopConfirmed, eventRestart, eventNextReports}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			// The start time of the next incarnation may be lower, as the time of day of its host may have been put back.
			for _, next := range []time.Duration{100 * time.Millisecond, -100 * time.Millisecond} {
				f := newFixture([]cwmodel.HostID{"a", "b"}, plainPolicy)
				incarnation := f.now
				f.admit(step(1, 6000, false))
				o := f.decide().Starts[0]
				is.Equal(o.Worker, cwmodel.HostID("a"))
				starts := 0
				for _, e := range tc.events {
					f.applyRestartEvent(e, &o, incarnation, incarnation.Add(next))
					starts += len(f.decideDurably())
				}
				is.Equal(starts > 0, tc.startsAgain)
			}
		})
	}
}

// applyRestartEvent applies an event to the run of an order on a worker whose earlier and later incarnations are given.
func (f *fixture) applyRestartEvent(e restartEvent, o *StartOrder, incarnation, next time.Time) {
	report := &Report{Worker: o.Worker, Incarnation: next, RequestedAt: f.now}
	switch e {
	case eventAccepted:
		f.HandleStartResult(o, StartAccepted, f.now)
		return
	case eventUnanswered:
		f.HandleStartResult(o, StartUnanswered, f.now)
		return
	case eventStopConfirmed:
		f.HandleStopResult(&StopOrder{Worker: o.Worker, Task: o.Task, Run: o.Run}, true, f.now)
		f.now = f.now.Add(time.Second)
		return
	case eventRestart:
		f.list(o.Worker, next)
		return
	case eventReported:
		report.Incarnation = incarnation
		report.Running = []RunStatus{{Task: o.Task, Run: o.Run}}
	case eventNextReports:
		report.Running = []RunStatus{{Task: o.Task, Run: o.Run}}
	case eventNextEnds:
		report.Ended = []RunEnd{{Sequence: 1, Task: o.Task, Run: o.Run, Kind: EndDone}}
	case eventNextOmits:
	}
	f.HandleReport(report, f.now)
}

// TestTaskWaitsForAnEarlierRunOfTheNextIncarnation guards against a task that runs twice because a late order has started an earlier run of it in the next
// incarnation of its worker: the report that shows this run also shows that the later one, of the incarnation before, is gone.
func TestTaskWaitsForAnEarlierRunOfTheNextIncarnation(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a"}, plainPolicy)
	incarnation := f.now
	f.admit(step(1, 6000, false))
	first := f.decide().Starts[0]
	for _, e := range []restartEvent{eventUnanswered, eventStopConfirmed} {
		f.applyRestartEvent(e, &first, incarnation, incarnation)
	}
	f.HandleReport(&Report{Worker: "a", Incarnation: incarnation, RequestedAt: f.now}, f.now)
	second := f.decideDurably()[0]
	is.Equal(second.Run, first.Run+1)
	f.HandleStartResult(&second, StartAccepted, f.now)
	f.HandleReport(&Report{Worker: "a", Incarnation: incarnation, RequestedAt: f.now, Running: []RunStatus{{Task: second.Task, Run: second.Run}}}, f.now)
	f.list("b", incarnation)
	f.HandleReport(&Report{Worker: "b", Incarnation: incarnation, RequestedAt: f.now}, f.now)
	f.MarkMembersDurable([]cwmodel.HostID{"b"})

	f.now = f.now.Add(time.Second)
	next := f.now
	f.applyRestartEvent(eventNextReports, &first, incarnation, next)
	is.Equal(len(f.decideDurably()), 0)
	f.now = f.now.Add(time.Second)
	f.HandleReport(&Report{
		Worker: "a", Incarnation: next, RequestedAt: f.now, Ended: []RunEnd{{Sequence: 1, Task: first.Task, Run: first.Run, Kind: EndStopped}},
	}, f.now)
	is.Equal(len(f.decideDurably()), 1)
}

// TestStopIsRepeatedWhileTheRunIsReported guards against a run that goes on for good because its stop was confirmed by an earlier
// incarnation of its worker than the one that started it.
func TestStopIsRepeatedWhileTheRunIsReported(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a"}, plainPolicy)
	incarnation := f.now
	f.admit(step(1, 6000, false))
	o := f.decide().Starts[0]
	for _, e := range []restartEvent{eventUnanswered, eventStopConfirmed, eventRestart, eventNextReports} {
		f.applyRestartEvent(e, &o, incarnation, incarnation.Add(100*time.Millisecond))
	}
	f.decide()
	f.ResendStops("a", f.now)
	is.Equal(len(f.decide().Stops), 1)
}

// TestNothingIsAcknowledgedToASilentWorker guards against ends that are lost unread: a restarted worker numbers its ends anew, and would
// drop those up to the number that its earlier incarnation had reached.
func TestNothingIsAcknowledgedToASilentWorker(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a"}, plainPolicy)
	incarnation := f.now
	report := Report{
		Worker: "a", Incarnation: incarnation, RequestedAt: f.now,
		Ended: []RunEnd{{Sequence: 7, Task: cwwork.TaskKey{StepKey: cwwork.StepKey{Job: "gone"}}, Run: 1, Kind: EndDone}},
	}
	f.HandleReport(&report, f.now)
	number, _ := f.AckWatermark("a")
	is.Equal(number, uint64(7))
	f.MarkUnreachable("a", f.now)
	number, _ = f.AckWatermark("a")
	is.Equal(number, uint64(0))
	f.HandleReport(&report, f.now)
	number, _ = f.AckWatermark("a")
	is.Equal(number, uint64(7))
}

// TestEndsAreAcknowledgedOnce guards against the end of a run that is forgotten unread, so that its task runs again: a poll without an answer may be
// carried out by a later process, which numbers its ends anew. Polls acknowledge only ends that the worker still lists.
func TestEndsAreAcknowledgedOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a"}, plainPolicy)
	incarnation := f.now
	gone := RunEnd{Sequence: 7, Task: cwwork.TaskKey{StepKey: cwwork.StepKey{Job: "gone"}}, Run: 1, Kind: EndDone}
	report := Report{Worker: "a", Incarnation: incarnation, RequestedAt: f.now, Ended: []RunEnd{gone}}
	f.HandleReport(&report, f.now)
	number, _ := f.AckWatermark("a")
	is.Equal(number, uint64(7))
	f.HandleReport(&report, f.now)
	number, _ = f.AckWatermark("a")
	is.Equal(number, uint64(7)) // the poll before was sent without the acknowledgement
	f.HandleReport(&Report{Worker: "a", Incarnation: incarnation, RequestedAt: f.now}, f.now)
	number, _ = f.AckWatermark("a")
	is.Equal(number, uint64(0))
}

// TestLeaseOfTheNextIncarnation guards against a task that runs twice because its worker has restarted, takes an order or a lease renewal that was
// meant for its earlier incarnation, also seconds later, and is cut off: the deadlines of these calls do not limit its leases.
func TestLeaseOfTheNextIncarnation(t *testing.T) {
	const maxLease, lease = 6 * time.Second, 3500 * time.Millisecond
	running := func(o *StartOrder) []RunStatus { return []RunStatus{{Task: o.Task, Run: o.Run}} }
	late := cwclock.MaxCallDelay + maxLease
	cases := []struct {
		name   string
		events func(f *fixture, o *StartOrder, incarnation time.Time)
		ends   time.Duration // from the moment when the worker is cut off until its runs have certainly ended
	}{
		{"accepted, not known by which incarnation", func(f *fixture, o *StartOrder, _ time.Time) {
			f.HandleStartResult(o, StartAccepted, f.now)
		}, late},
		{"accepted, its lease is bounded", func(f *fixture, o *StartOrder, _ time.Time) {
			f.RecordEarlierLeases(o, f.now.Add(maxLease))
			f.HandleStartResult(o, StartAccepted, f.now)
		}, maxLease},
		{"accepted, then reported", func(f *fixture, o *StartOrder, incarnation time.Time) {
			f.HandleStartResult(o, StartAccepted, f.now)
			f.HandleReport(&Report{Worker: "a", Incarnation: incarnation, RequestedAt: f.now, Running: running(o)}, f.now)
		}, lease},
		{"accepted at the second try, then reported", func(f *fixture, o *StartOrder, incarnation time.Time) {
			f.HandleStartResult(o, StartAcceptedOnRetry, f.now)
			f.HandleReport(&Report{Worker: "a", Incarnation: incarnation, RequestedAt: f.now, Running: running(o)}, f.now)
		}, late},
		{"without an answer", func(f *fixture, o *StartOrder, _ time.Time) { f.HandleStartResult(o, StartUnanswered, f.now) }, late},
		{"without an answer, then reported", func(f *fixture, o *StartOrder, incarnation time.Time) {
			f.HandleStartResult(o, StartUnanswered, f.now) // one of its two tries was carried out; the other one may be, late
			f.HandleReport(&Report{Worker: "a", Incarnation: incarnation, RequestedAt: f.now, Running: running(o)}, f.now)
		}, late},
		{"without an answer, reported, then restarted", func(f *fixture, o *StartOrder, incarnation time.Time) {
			f.HandleStartResult(o, StartUnanswered, f.now)
			f.HandleReport(&Report{Worker: "a", Incarnation: incarnation, RequestedAt: f.now, Running: running(o)}, f.now)
			f.HandleReport(&Report{Worker: "a", Incarnation: incarnation.Add(time.Millisecond), RequestedAt: f.now, Unsettled: true}, f.now)
		}, late},
		{"reported by the next incarnation, which still takes calls to the earlier one", func(f *fixture, o *StartOrder, incarnation time.Time) {
			f.HandleStartResult(o, StartAccepted, f.now)
			f.HandleReport(&Report{Worker: "a", Incarnation: incarnation.Add(time.Millisecond), RequestedAt: f.now, Running: running(o), Unsettled: true}, f.now)
		}, late},
		{"reported by the next incarnation, which takes none any more", func(f *fixture, o *StartOrder, incarnation time.Time) {
			f.HandleStartResult(o, StartAccepted, f.now)
			f.HandleReport(&Report{Worker: "a", Incarnation: incarnation.Add(time.Millisecond), RequestedAt: f.now, Running: running(o)}, f.now)
		}, lease},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture([]cwmodel.HostID{"a", "b"}, plainPolicy)
			incarnation := f.now
			f.opts.MaxTaskLease = maxLease
			f.admit(step(1, 6000, false))
			o := f.decide().Starts[0]
			cutOffAt := f.now
			f.opts.LeaseExpiry = func(cwmodel.HostID) time.Time { return cutOffAt.Add(lease) }
			tc.events(f, &o, incarnation)
			for f.MarkUnreachable("a", f.now); f.now.Before(cutOffAt.Add(tc.ends - 600*time.Millisecond)); f.MarkUnreachable("a", f.now) {
				is.Equal(len(f.decideDurably()), 0)
			}
			f.now = cutOffAt.Add(tc.ends + 2*leaseGrace)
			f.MarkUnreachable("a", f.now)
			is.Equal(len(f.decideDurably()), 1)
		})
	}
}

// TestWorkerWithoutAnEntryIsNotWaitedFor guards against a task that waits for 18 s because its order got no answer from a worker that is lost for good:
// the platform drops the entry of such a worker after some seconds, while one that has restarted gets a new one.
func TestWorkerWithoutAnEntryIsNotWaitedFor(t *testing.T) {
	const lease, unlisted = 3500 * time.Millisecond, 5 * time.Second // from the order
	cases := []struct {
		name   string
		unlist bool
		read   time.Duration // from the order to the latest reading of the platform's list
		events func(f *fixture, incarnation time.Time)
		waits  bool // for late calls
	}{
		{"no entry any more", true, unlisted + unlistedGrace, nil, false},
		{"an entry", false, time.Hour, nil, true},
		{"the list was not read since", true, unlisted + unlistedGrace - time.Millisecond, nil, true},
		{"the entry is back", true, time.Hour, func(f *fixture, incarnation time.Time) { f.list("a", incarnation) }, true},
		{"an entry of another incarnation before", true, time.Hour, func(f *fixture, incarnation time.Time) {
			f.list("a", incarnation.Add(time.Second))
			f.UnlistWorker("a", f.now)
		}, true},
		{"it has restarted, and takes calls to the incarnation before", true, time.Hour, func(f *fixture, incarnation time.Time) {
			f.HandleReport(&Report{Worker: "a", Incarnation: incarnation.Add(time.Second), RequestedAt: f.now, Unsettled: true}, f.now)
			f.list("a", incarnation.Add(time.Second))
			f.UnlistWorker("a", f.now)
			f.MarkUnreachable("a", f.now)
		}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture([]cwmodel.HostID{"a"}, plainPolicy)
			incarnation := f.now
			f.opts.MaxTaskLease = 6 * time.Second
			f.admit(step(1, 6000, false))
			o := f.decide().Starts[0]
			orderedAt := f.now
			f.opts.LeaseExpiry = func(cwmodel.HostID) time.Time { return orderedAt.Add(lease) }
			f.opts.RegistryReadAt = func() time.Time { return orderedAt.Add(tc.read) }
			f.HandleStartResult(&o, StartUnanswered, f.now)
			f.MarkUnreachable("a", f.now)
			f.now = orderedAt.Add(unlisted)
			if tc.unlist {
				f.UnlistWorker("a", f.now)
			}
			if tc.events != nil {
				tc.events(f, incarnation)
			}
			f.now = orderedAt.Add(unlisted + unlistedGrace + leaseGrace)
			f.MarkUnreachable("a", f.now)
			is.Equal(len(f.workers["a"].runs) > 0, tc.waits)
		})
	}
}

// TestAcceptedRunOutlivesTheGrantsByTheDelayOfItsAnswer guards against a task that runs twice because the process that has accepted it is a later one than
// the known one, whose clock is behind by less than the answer took: this owner's deadlines end there that much later.
func TestAcceptedRunOutlivesTheGrantsByTheDelayOfItsAnswer(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a", "b"}, plainPolicy)
	f.opts.MaxTaskLease = 6 * time.Second
	f.admit(step(1, 6000, false))
	o := f.decide().Starts[0]
	granted := f.now.Add(3500 * time.Millisecond)
	f.opts.LeaseExpiry = func(cwmodel.HostID) time.Time { return granted }
	f.RecordEarlierLeases(&o, f.now)
	f.HandleStartResult(&o, StartAccepted, f.now)
	f.now = granted.Add(cwclock.MaxClockLag)
	f.MarkUnreachable("a", f.now)
	is.Equal(len(f.workers["a"].runs), 1)
	f.now = f.now.Add(leaseGrace)
	f.MarkUnreachable("a", f.now)
	is.Equal(len(f.workers["a"].runs), 0)
}

// TestReportGoesBeforeTheAnswerToAStart guards against a task that runs twice because its worker has restarted and is cut off: the report of the later
// process contains the run, and then the answer to its start bounds its lease.
func TestReportGoesBeforeTheAnswerToAStart(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a", "b"}, plainPolicy)
	next := f.now.Add(100 * time.Millisecond)
	f.opts.MaxTaskLease = 6 * time.Second
	f.admit(step(1, 6000, false))
	o := f.decide().Starts[0]
	is.Equal(o.Worker, cwmodel.HostID("a"))
	f.HandleReport(&Report{Worker: "a", Incarnation: next, RequestedAt: f.now, Running: []RunStatus{{Task: o.Task, Run: o.Run}}, Unsettled: true}, f.now)
	f.RecordEarlierLeases(&o, f.now.Add(f.opts.MaxTaskLease))
	f.HandleStartResult(&o, StartAccepted, f.now)
	f.MarkUnreachable("a", f.now)
	f.now = f.now.Add(f.opts.MaxTaskLease + 2*leaseGrace) // calls to the earlier process may extend the lease until later
	f.MarkUnreachable("a", f.now)
	is.Equal(len(f.decideDurably()), 0)
}

// TestRestartedWorkerIsUsedOnceItIsSettled guards against a task that runs twice because a call that was meant for the earlier incarnation of its worker
// is carried out by the present one: until that is impossible, nothing is started there, and nothing that it may run is given up.
func TestRestartedWorkerIsUsedOnceItIsSettled(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a"}, plainPolicy)
	next := f.now.Add(time.Second)
	f.admit(step(1, 6000, false))
	o := f.decide().Starts[0]
	f.RecordEarlierLeases(&o, f.now.Add(6*time.Second))
	f.HandleStartResult(&o, StartAccepted, f.now)
	f.now = next.Add(time.Second)
	f.list("a", next)
	f.HandleReport(&Report{Worker: "a", Incarnation: next, RequestedAt: f.now, Unsettled: true}, f.now)
	is.Equal(len(f.decide().Starts), 0)
	is.Equal(len(f.workers["a"].runs), 1) // a late order may bring it to life
	f.HandleReport(&Report{Worker: "a", Incarnation: next, RequestedAt: f.now}, f.now)
	is.Equal(len(f.decideDurably()), 1)
}

// TestTakeoverWaitsForYoungWorkers guards against a task that runs twice because a worker, which has restarted shortly before a takeover and is cut off,
// carries out late what the earlier owner had sent to the incarnation before. Only such workers are waited for longer.
func TestTakeoverWaitsForYoungWorkers(t *testing.T) {
	const prior, taskLease, maxLease = 4 * time.Second, 3500 * time.Millisecond, 6 * time.Second
	takeover := time.Unix(10_000, 0)
	first := takeover.Add(-time.Hour)
	cases := []struct {
		name   string
		stored time.Time // incarnation in the list of members
		listed time.Time // incarnation in the platform's list; zero: the worker is not listed
		lost   []cwwork.LostRun
		ends   time.Duration
	}{
		{"has not restarted", first, first, nil, prior},
		{"is not listed", first, time.Time{}, nil, prior + maxLease - taskLease},
		{"restarted long ago", takeover.Add(-time.Minute), takeover.Add(-time.Minute), nil, prior},
		{"restarted, by a clock far behind", first, first.Add(-40 * time.Minute), nil, prior + cwclock.MaxCallDelay + maxLease},
		{"restarted shortly before", first, takeover.Add(-10 * time.Second), nil, prior + cwclock.MaxCallDelay + maxLease},
		{"restarted afterwards", first, takeover.Add(time.Second), nil, prior + cwclock.MaxCallDelay + maxLease},
		{"the first incarnation is young", takeover.Add(-10 * time.Second), takeover.Add(-10 * time.Second), nil, prior},
		{"an order to it got no answer", first, time.Time{}, []cwwork.LostRun{{TaskRun: cwwork.TaskRun{Run: 1}, Worker: "cut-off", Incarnation: first, Early: true}}, prior + cwclock.MaxCallDelay + maxLease},
		{"a run there was lost early", first, first, []cwwork.LostRun{{TaskRun: cwwork.TaskRun{Run: 1}, Worker: "cut-off", Incarnation: first, Early: true, Started: true}}, prior},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture([]cwmodel.HostID{"a"}, plainPolicy)
			start := f.now
			f.opts.PriorLeaseExpiry, f.opts.TaskLease, f.opts.MaxTaskLease = start.Add(prior), taskLease, maxLease
			f.RestoreMember("cut-off", tc.stored, f.now)
			if !tc.listed.IsZero() {
				f.list("cut-off", tc.listed)
			}
			f.MarkUnreachable("cut-off", f.now)
			s := &cwwork.Submission{ID: "job", Queue: "q", Steps: []cwwork.Step{step(1, 1000, false)}, AcceptedAt: f.now, Policy: plainPolicy}
			f.Admit(s, &cwwork.Progress{Steps: []cwwork.StepProgress{{Lost: tc.lost}}}, true, f.now, f.now)
			for f.now.Before(start.Add(tc.ends - 600*time.Millisecond)) {
				is.Equal(len(f.decideDurably()), 0)
			}
			f.now = start.Add(tc.ends)
			is.Equal(len(f.decideDurably()), 1)
		})
	}
}

// TestStoredIncarnationFollowsARestart guards against takeovers that wait for a silent worker as long as for one that has just restarted: its present
// incarnation has been in use for long, but the stored list of members still has the one before.
func TestStoredIncarnationFollowsARestart(t *testing.T) {
	first := time.Unix(500, 0)
	next := first.Add(time.Minute)
	cases := []struct {
		name   string
		events func(t *testing.T, f *fixture)
	}{
		{"restarted under this owner", func(t *testing.T, f *fixture) {
			f.list("a", first)
			f.HandleReport(&Report{Worker: "a", Incarnation: first, RequestedAt: f.now}, f.now)
			f.now = f.now.Add(f.opts.MaxTaskLease)
			f.list("a", next)
			f.HandleReport(&Report{Worker: "a", Incarnation: next, RequestedAt: f.now, Unsettled: true}, f.now)
			is.New(t).Equal(f.MemberIncarnation("a", f.now), first)
			f.now = f.now.Add(f.opts.MaxTaskLease)
			is.New(t).Equal(f.MemberIncarnation("a", f.now), first)
			f.HandleReport(&Report{Worker: "a", Incarnation: next, RequestedAt: f.now}, f.now)
		}},
		{"restarted before the takeover", func(_ *testing.T, f *fixture) {
			f.list("a", next)
			f.HandleReport(&Report{Worker: "a", Incarnation: next, RequestedAt: f.now}, f.now)
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(nil, plainPolicy)
			f.opts.MaxTaskLease = 6 * time.Second
			f.RestoreMember("a", first, f.now)
			tc.events(t, f)
			is.Equal(f.MemberIncarnation("a", f.now), first)
			f.now = f.now.Add(f.opts.MaxTaskLease)
			is.True(f.MembersDirty(f.now))
			is.Equal(f.MemberIncarnation("a", f.now), next)
		})
	}
}

// TestStoredIncarnationIsWrittenAgain guards against takeovers that wait for a silent worker as for one that has just restarted: the transaction
// with its present incarnation has failed, and nothing asks for another one.
func TestStoredIncarnationIsWrittenAgain(t *testing.T) {
	is := is.New(t)
	first := time.Unix(500, 0)
	next := first.Add(time.Minute)
	f := newFixture(nil, plainPolicy)
	f.opts.MaxTaskLease = 6 * time.Second
	f.RestoreMember("a", first, f.now)
	f.list("a", next)
	f.HandleReport(&Report{Worker: "a", Incarnation: next, RequestedAt: f.now}, f.now)
	f.now = f.now.Add(f.opts.MaxTaskLease)
	is.True(f.MembersDirty(f.now))
	is.Equal(f.MemberIncarnation("a", f.now), next) // the transaction is built, and fails: no MarkMembersDurable follows
	is.True(f.MembersDirty(f.now))
}

// TestWorkerRestartsWithALowerStartTime guards against jobs that stay running for good because their worker has restarted after the time
// of day of its host was put back: what its next incarnation says must count, and its ends are numbered anew.
func TestWorkerRestartsWithALowerStartTime(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a"}, plainPolicy)
	next := f.now.Add(-2 * time.Second)
	f.admit(step(2, 3000, false))
	orders := f.decide().Starts
	is.Equal(len(orders), 2)
	var running []RunStatus
	for n := range orders {
		f.HandleStartResult(&orders[n], StartAccepted, f.now)
		running = append(running, RunStatus{Task: orders[n].Task, Run: orders[n].Run})
	}
	gone := RunEnd{Sequence: 7, Task: cwwork.TaskKey{StepKey: cwwork.StepKey{Job: "gone"}}, Run: 1, Kind: EndDone}
	f.now = f.now.Add(cwevidence.CrashWindow) // the runs are no suspects, which would start one after the other
	f.HandleReport(&Report{Worker: "a", Incarnation: time.Unix(1000, 0), RequestedAt: f.now, Running: running, Ended: []RunEnd{gone}}, f.now)

	f.now = f.now.Add(time.Second)
	f.HandleReport(&Report{Worker: "a", Incarnation: next, RequestedAt: f.now}, f.now)
	f.list("a", next)
	number, _ := f.AckWatermark("a")
	is.Equal(number, uint64(0))
	orders = f.decide().Starts
	is.Equal(len(orders), 2) // the runs were lost

	f.HandleReport(&Report{
		Worker: "a", Incarnation: next, RequestedAt: f.now,
		Ended: []RunEnd{{Sequence: 1, Task: orders[0].Task, Run: orders[0].Run, Kind: EndDone}, {Sequence: 2, Task: orders[1].Task, Run: orders[1].Run, Kind: EndDone}},
	}, f.now)
	writes := f.NextWrites(10, func(cwmodel.JobID) bool { return true })
	is.Equal(len(writes), 1)
	is.Equal(writes[0].State, cwwork.StateCompleted)
}

// TestLateReportOfAnEarlierIncarnation guards against a report that was under way while the worker restarted and is taken for a further
// restart.
func TestLateReportOfAnEarlierIncarnation(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a"}, plainPolicy)
	earlier, sentAt := f.now, f.now
	f.now = f.now.Add(time.Second)
	f.HandleReport(&Report{Worker: "a", Incarnation: f.now, RequestedAt: f.now}, f.now)
	f.list("a", f.now)
	f.admit(step(1, 3000, false))
	o := f.decide().Starts[0]
	f.HandleStartResult(&o, StartAccepted, f.now)
	f.HandleReport(&Report{Worker: "a", Incarnation: f.workers["a"].Incarnation, RequestedAt: f.now, Running: []RunStatus{{Task: o.Task, Run: o.Run}}}, f.now)
	f.HandleReport(&Report{Worker: "a", Incarnation: earlier, RequestedAt: sentAt}, f.now)
	is.Equal(len(f.decide().Starts), 0)
	is.Equal(len(f.workers["a"].runs), 1)
}

// TestRestartAsAnotherKind guards against a worker that is overfilled, or runs tasks whose label it does not have, because it has
// restarted as another kind and its owner still knows the capacity and labels of its earlier incarnation.
func TestRestartAsAnotherKind(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a"}, plainPolicy)
	next := f.now.Add(time.Second)
	f.now = next
	f.HandleReport(&Report{Worker: "a", Incarnation: next, RequestedAt: f.now}, f.now)
	f.admit(step(1, 6000, false))
	is.Equal(len(f.decide().Starts), 0)
	f.UpdateWorker(WorkerInfo{ID: "a", Service: "portal", Capacity: cwmodel.Resources{MilliProcessors: 4000, MemoryBytes: 1 << 30}, Incarnation: next}, f.now)
	is.Equal(len(f.decide().Starts), 0) // too small now
	f.list("a", next)
	is.Equal(len(f.decide().Starts), 1)
}
