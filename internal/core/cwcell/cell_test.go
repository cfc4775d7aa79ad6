package cwcell

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// fixture is a cell with idle workers that all have answered.
type fixture struct {
	*Cell
	now time.Time
}

func newFixture(workers []cwmodel.HostID, policy cwwork.QueuePolicy) *fixture {
	f := &fixture{now: time.Unix(1000, 0)}
	f.Cell = New(Options{
		StopTimeout:     200 * time.Millisecond,
		StatusRetention: time.Minute,
		Policy:          func(cwwork.QueueName) (cwwork.QueuePolicy, bool) { return policy, true },
		LeaseExpiry:     func(cwmodel.HostID) time.Time { return time.Time{} },
	})
	f.CompleteRecovery()
	for _, id := range workers {
		f.join(id)
	}
	return f
}

// join adds a worker that answers.
func (f *fixture) join(id cwmodel.HostID) {
	f.UpdateWorker(WorkerInfo{
		ID: id, Service: "portal", Capacity: cwmodel.Resources{MilliProcessors: 8000, MemoryBytes: 1 << 30}, Incarnation: f.now,
	}, f.now)
	f.MarkMembersDurable([]cwmodel.HostID{id})
	f.HandleReport(&Report{Worker: id, Incarnation: f.now, RequestedAt: f.now}, f.now)
}

// decide lets a moment pass and returns the orders.
func (f *fixture) decide() Effects { return f.decideAfter(200 * time.Millisecond) }

// decideAfter lets the given time pass and returns the orders.
func (f *fixture) decideAfter(d time.Duration) Effects {
	f.now = f.now.Add(d)
	return f.Decide(f.now, f.now)
}

func (f *fixture) admit(steps ...cwwork.Step) {
	s := &cwwork.Submission{ID: "job", Queue: "q", Steps: steps, AcceptedAt: f.now, Policy: cwwork.QueuePolicy{Service: "portal", Stretch: 2}}
	f.Admit(s, nil, false, f.now, f.now)
}

func step(count int, processors int64, gang bool) cwwork.Step {
	return cwwork.Step{Count: count, Demand: cwmodel.Resources{MilliProcessors: processors}, Estimate: time.Second, Gang: gang}
}

func labelled(label string) cwwork.Step {
	s := step(1, 500, false)
	s.RequiredLabel = label
	return s
}

var plain = cwwork.QueuePolicy{Service: "portal", MaxAttempts: 2, Stretch: 2, TargetLatency: time.Second}

var advised = cwwork.QueuePolicy{
	Service: "portal", MaxAttempts: 2, Stretch: 2, TargetLatency: time.Second,
	Advice: cwwork.Advice{Base: 10 * time.Millisecond, PerWorker: time.Millisecond, Validity: time.Second},
}

// TestGangsStartWholeOrNotAtAll holds where the members of a gang are placed.
func TestGangsStartWholeOrNotAtAll(t *testing.T) {
	cases := []struct {
		name   string
		count  int
		need   int64
		starts int
	}{
		{"fits on one worker", 2, 4000, 2},
		{"spans workers", 4, 4000, 4},
		{"lacks a seat", 5, 4000, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture([]cwmodel.HostID{"a", "b"}, plain)
			f.admit(step(tc.count, tc.need, true))
			e := f.decide()
			is.Equal(len(e.Starts), tc.starts)
			for _, s := range e.Starts {
				is.Equal(s.Run, 1) // all members have the same run
			}
		})
	}
}

// TestGangAsksAboutEveryWorker holds that a gang whose good workers could hold it only when empty asks about the others.
func TestGangAsksAboutEveryWorker(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a", "b"}, advised)
	f.admit(step(3, 4000, true))
	first := f.decide().AdviceRequests
	is.Equal(len(first), 1)
	f.HandleAdvice(first[0].ID, []EligibleWorker{{ID: "a", Ticket: "t"}, {ID: "b", Ticket: "t"}}, true, f.now.Add(time.Second), f.now)
	started := f.decide()
	is.Equal(len(started.Starts), 3)

	other := &cwwork.Submission{ID: "other", Queue: "q", Steps: []cwwork.Step{step(3, 4000, true)}, AcceptedAt: f.now, Policy: advised}
	f.Admit(other, nil, false, f.now, f.now)
	second := f.decide().AdviceRequests
	f.HandleAdvice(second[0].ID, []EligibleWorker{{ID: "a", Ticket: "t"}, {ID: "b", Ticket: "t"}}, true, f.now.Add(time.Second), f.now)
	is.Equal(len(f.decide().Starts), 0)
	f.join("c")
	third := f.decide().AdviceRequests
	is.Equal(len(third), 1)
	is.Equal(third[0].Workers, []cwmodel.HostID{"c"})
}

// TestExpiredTicketIsRenewedBeforeTheStart holds that room is kept while a ticket is renewed.
func TestExpiredTicketIsRenewedBeforeTheStart(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a"}, advised)
	f.admit(step(1, 4000, false))
	q := f.decide().AdviceRequests[0]
	f.HandleAdvice(q.ID, []EligibleWorker{{ID: "a", Ticket: "old"}}, true, f.now.Add(10*time.Millisecond), f.now)
	e := f.decide()
	is.Equal(len(e.Starts), 0)
	is.Equal(len(e.AdviceRequests), 1)
	f.HandleAdvice(e.AdviceRequests[0].ID, []EligibleWorker{{ID: "a", Ticket: "new"}}, true, f.now.Add(time.Second), f.now)
	starts := f.decide().Starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Ticket, "new")
}

// TestRenewalOfAGangWaitsForNothingElse holds that a gang starts once its tickets are renewed, though it has asked about
// other workers too.
func TestRenewalOfAGangWaitsForNothingElse(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a", "b"}, advised)
	f.admit(step(2, 8000, true))
	q := f.decide().AdviceRequests[0]
	f.MarkUnreachable("b", f.now)
	f.HandleAdvice(q.ID, []EligibleWorker{{ID: "a", Ticket: "t"}, {ID: "b", Ticket: "t"}}, true, f.now.Add(time.Millisecond), f.now)
	f.join("c")
	other := f.decide().AdviceRequests
	is.Equal(len(other), 1)
	is.Equal(other[0].Workers, []cwmodel.HostID{"c"})
	f.HandleReport(&Report{Worker: "b", Incarnation: time.Unix(1000, 0), RequestedAt: f.now}, f.now)
	renewal := f.decide().AdviceRequests
	is.Equal(len(renewal), 1)
	is.True(renewal[0].Renewal)
	f.HandleAdvice(renewal[0].ID, []EligibleWorker{{ID: "a", Ticket: "u"}, {ID: "b", Ticket: "u"}}, true, f.now.Add(time.Hour), f.now)
	is.Equal(len(f.decide().Starts), 2)
}

// TestTicketsThatWouldExpireAreRenewedTogether holds that the members of a gang have valid tickets at the same time. Seen
// red: tickets that were valid when the others were asked for had expired when the answer came, and all began anew.
func TestTicketsThatWouldExpireAreRenewedTogether(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a", "b"}, advised)
	f.admit(step(2, 8000, true))
	q := f.decide().AdviceRequests[0]
	f.HandleAdvice(q.ID, []EligibleWorker{{ID: "a", Ticket: "t"}, {ID: "b", Ticket: "t"}}, true, f.now.Add(300*time.Millisecond), f.now)
	f.group(cwwork.StepKey{Job: "job"}).advice.expire("a")
	renewal := f.decide().AdviceRequests
	is.Equal(len(renewal), 1)
	is.Equal(renewal[0].Workers, []cwmodel.HostID{"a", "b"})
}

// TestProgressOfAGangIsRestoredOnce holds that a step is counted as done once, however many of its members are named.
func TestProgressOfAGangIsRestoredOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a"}, plain)
	s := &cwwork.Submission{ID: "job", Queue: "q", AcceptedAt: f.now, Policy: plain, Steps: []cwwork.Step{step(3, 500, true), step(1, 500, false)}}
	s.Steps[1].DependsOn = []int{0}
	p := &cwwork.Progress{Steps: []cwwork.StepProgress{{Done: []int{0, 1, 2}}}}
	f.Admit(s, p, true, f.now, f.now)
	starts := f.decide().Starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Task.Step, 1)
	state, known := f.JobState("job")
	is.True(known)
	is.Equal(state, cwwork.StateRunning)
}

// TestRunsOfUnknownJobsKeepAWorkerClosed holds that a worker which lists runs whose room is not known takes nothing new.
func TestRunsOfUnknownJobsKeepAWorkerClosed(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a"}, plain)
	f.caughtUp = false
	foreign := cwwork.TaskKey{StepKey: cwwork.StepKey{Job: "unknown"}}
	f.HandleReport(&Report{Worker: "a", Incarnation: time.Unix(1000, 0), RequestedAt: f.now, Running: []RunStatus{{Task: foreign, Run: 1}}}, f.now)
	f.admit(step(1, 500, false))
	is.Equal(len(f.decide().Starts), 0)
	f.CompleteRecovery()
	f.HandleReport(&Report{Worker: "a", Incarnation: time.Unix(1000, 0), RequestedAt: f.now, Running: []RunStatus{{Task: foreign, Run: 1}}}, f.now)
	is.Equal(len(f.decide().Stops), 1) // the job has ended
	f.HandleReport(&Report{Worker: "a", Incarnation: time.Unix(1000, 0), RequestedAt: f.now}, f.now)
	is.Equal(len(f.decide().Starts), 1)
}

// TestWorkThatNoWorkerCanHoldBlocksNothing holds that such work waits, since a worker that can hold it may join and a job
// fails only by its attempts, and that what comes behind it starts.
func TestWorkThatNoWorkerCanHoldBlocksNothing(t *testing.T) {
	cases := []struct {
		name string
		step cwwork.Step
	}{
		{"larger than any worker", step(1, 9000, false)},
		{"a label that no worker has", labelled("gpu")},
		{"a gang wider than all workers", step(3, 8000, true)},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture([]cwmodel.HostID{"a", "b"}, plain)
			f.admit(tc.step)
			f.decide()
			f.now = f.now.Add(time.Minute)
			is.Equal(len(f.decide().Starts), 0)
			state, _ := f.JobState("job")
			is.Equal(state, cwwork.StateQueued)
			behind := &cwwork.Submission{ID: "behind", Queue: "q", Steps: []cwwork.Step{step(4, 4000, false)}, AcceptedAt: f.now, Policy: plain}
			f.Admit(behind, nil, false, f.now, f.now)
			is.Equal(len(f.decide().Starts), 4)
		})
	}
}

// TestRoomIsUsedOnceItComesFree holds that work which waits for room starts at the next decision after a run has ended, not
// at the next look at all that waits.
func TestRoomIsUsedOnceItComesFree(t *testing.T) {
	cases := []struct {
		name   string
		step   cwwork.Step
		starts int
	}{
		{"tasks", step(2, 4000, false), 2},
		{"a gang", step(2, 4000, true), 2},
		{"a gang that needs more", step(3, 4000, true), 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture([]cwmodel.HostID{"a"}, plain)
			f.admit(step(1, 8000, false))
			o := f.decide().Starts[0]
			waiting := &cwwork.Submission{ID: "waiting", Queue: "q", Steps: []cwwork.Step{tc.step}, AcceptedAt: f.now, Policy: plain}
			f.Admit(waiting, nil, false, f.now, f.now)
			is.Equal(len(f.decide().Starts), 0)
			f.HandleReport(&Report{
				Worker: "a", Incarnation: time.Unix(1000, 0), RequestedAt: f.now,
				Ended: []RunEnd{{Sequence: 1, Task: o.Task, Run: o.Run, Kind: EndDone}},
			}, f.now)
			is.Equal(len(f.decideAfter(time.Millisecond).Starts), tc.starts)
		})
	}
}

// TestTasksAskAboutOthersWhereNoGoodWorkerIsUsable holds that tasks whose good workers are all away ask about further ones.
func TestTasksAskAboutOthersWhereNoGoodWorkerIsUsable(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a"}, advised)
	f.admit(step(1, 500, false))
	first := f.decide().AdviceRequests
	f.MarkUnreachable("a", f.now)
	f.HandleAdvice(first[0].ID, []EligibleWorker{{ID: "a", Ticket: "t"}}, true, f.now.Add(time.Second), f.now)
	f.decide()
	f.join("b")
	second := f.decide().AdviceRequests
	is.Equal(len(second), 1)
	is.Equal(second[0].Workers, []cwmodel.HostID{"b"})
}

// TestAttemptsAreSpent holds that a task which fails as often as it may ends its job, whatever worker it fails on.
func TestAttemptsAreSpent(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a", "b", "c"}, plain)
	f.admit(step(1, 4000, false))
	for n := range uint64(plain.MaxAttempts) {
		starts := f.decide().Starts
		is.Equal(len(starts), 1)
		o := starts[0]
		f.HandleStartResult(&o, StartAccepted, f.now)
		f.HandleReport(&Report{
			Worker: o.Worker, Incarnation: time.Unix(1000, 0), RequestedAt: f.now,
			Ended: []RunEnd{{Sequence: n + 1, Task: o.Task, Run: o.Run, Kind: EndFailed}},
		}, f.now)
	}
	is.Equal(len(f.decide().Starts), 0)
	writes := f.NextWrites(10, func(cwmodel.JobID) bool { return true })
	is.Equal(writes[0].State, cwwork.StateFailed)
}

// TestEndsAreAcknowledgedOnceDurable holds that a worker keeps an end until the state of its job is written.
func TestEndsAreAcknowledgedOnceDurable(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a"}, plain)
	f.admit(step(1, 4000, false))
	o := f.decide().Starts[0]
	f.HandleReport(&Report{
		Worker: "a", Incarnation: time.Unix(1000, 0), RequestedAt: f.now,
		Ended: []RunEnd{{Sequence: 1, Task: o.Task, Run: o.Run, Kind: EndDone}},
	}, f.now)
	number, all := f.AckWatermark("a")
	is.Equal(number, uint64(0))
	is.True(!all)
	f.CompleteWrites(f.NextWrites(10, func(cwmodel.JobID) bool { return true }), true, f.now)
	number, all = f.AckWatermark("a")
	is.Equal(number, uint64(1))
	is.True(all)
}

// TestDrainingWorkersGetNothing holds that no task is started on a worker that drains, and that what runs there goes on.
func TestDrainingWorkersGetNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a"}, plain)
	f.admit(step(2, 3000, false))
	is.Equal(len(f.decide().Starts), 2)
	drained := WorkerInfo{ID: "a", Service: "portal", Capacity: cwmodel.Resources{MilliProcessors: 8000, MemoryBytes: 1 << 30}, Draining: true}
	f.UpdateWorker(drained, f.now)
	s := &cwwork.Submission{ID: "later", Queue: "q", Steps: []cwwork.Step{step(1, 1000, false)}, AcceptedAt: f.now, Policy: plain}
	f.Admit(s, nil, false, f.now, f.now)
	e := f.decide()
	is.Equal(len(e.Starts), 0)
	is.Equal(len(e.Stops), 0)
	f.join("b")
	e = f.decide()
	is.Equal(len(e.Starts), 1)
	is.Equal(e.Starts[0].Worker, cwmodel.HostID("b"))
}

// TestBreakerKeepsTasksOffAFailingWorker holds that failures in a row close a worker for a time that doubles.
func TestBreakerKeepsTasksOffAFailingWorker(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var b breaker
	is.True(!b.fail(now))
	is.True(b.fail(now))
	is.True(b.open(now.Add(breakerFirst - time.Millisecond)))
	is.True(!b.open(now.Add(breakerFirst)))
	is.True(b.fail(now))
	is.True(b.open(now.Add(2*breakerFirst - time.Millisecond)))
	b.succeed()
	is.True(!b.open(now))
}

// TestLongRunningTasksMakeWay holds that a task which has to be at work at any time starts though the cell is full, at the
// cost of the youngest tasks, and never of another such task.
func TestLongRunningTasksMakeWay(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a", "b"}, plain)
	f.admit(step(2, 8000, false))
	old := f.decide().Starts
	is.Equal(len(old), 2)
	lasting := step(1, 6000, false)
	lasting.LongRunning = true
	add := func(id cwmodel.JobID) {
		f.Admit(&cwwork.Submission{ID: id, Queue: "q", Steps: []cwwork.Step{lasting}, AcceptedAt: f.now, Policy: plain}, nil, false, f.now, f.now)
	}
	end := func(n uint64, worker cwmodel.HostID, key cwwork.TaskKey, kind EndKind) {
		f.HandleReport(&Report{
			Worker: worker, Incarnation: time.Unix(1000, 0), RequestedAt: f.now, Ended: []RunEnd{{Sequence: n, Task: key, Run: 1, Kind: kind}},
		}, f.now)
	}
	add("lasting")
	is.Equal(len(f.decide().Stops), 0) // room may come free
	stops := f.decideAfter(preemptAfter).Stops
	is.Equal(len(stops), 1)
	is.Equal(len(f.decide().Stops), 0) // the first one has not ended yet
	end(1, stops[0].Worker, stops[0].Task, EndStopped)
	starts := f.decide().Starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Task.Job, cwmodel.JobID("lasting"))

	add("second")
	f.decide()
	stops = f.decideAfter(2 * preemptAfter).Stops
	is.Equal(len(stops), 1)
	is.Equal(stops[0].Task.Job, cwmodel.JobID("job"))
	add("third")
	end(1, stops[0].Worker, stops[0].Task, EndStopped)
	f.decide()
	is.Equal(len(f.decideAfter(time.Minute).Stops), 0) // only such tasks are left
}

// TestTasksThatFillAndTasksThatServeAreKeptApart holds whatever comes first.
func TestTasksThatFillAndTasksThatServeAreKeptApart(t *testing.T) {
	fills, serves := step(1, 1000, false), step(1, 1000, false)
	fills.Opportunistic = true
	serves.TailLatencyLimit = 50 * time.Millisecond
	cases := []struct {
		name   string
		first  cwwork.Step
		second cwwork.Step
		starts int
	}{
		{"a task that fills comes second", serves, fills, 0},
		{"a task that serves comes second", fills, serves, 0},
		{"tasks that fill", fills, fills, 1},
		{"tasks that serve", serves, serves, 1},
		{"others", fills, step(1, 1000, false), 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture([]cwmodel.HostID{"a"}, plain)
			f.admit(tc.first)
			is.Equal(len(f.decide().Starts), 1)
			f.Admit(&cwwork.Submission{ID: "second", Queue: "q", Steps: []cwwork.Step{tc.second}, AcceptedAt: f.now, Policy: plain}, nil, false, f.now, f.now)
			is.Equal(len(f.decide().Starts), tc.starts)
		})
	}
}
