package cwcell

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// fixture is a cell with idle workers that have all been polled.
type fixture struct {
	*Cell
	now time.Time
}

// newFixture returns a fixture with the given workers and one policy for all queues.
func newFixture(workers []cwmodel.HostID, policy cwwork.QueuePolicy) *fixture {
	f := &fixture{now: time.Unix(1000, 0)}
	f.Cell = New(Options{
		StopTimeout:     200 * time.Millisecond,
		StatusRetention: time.Minute,
		Policy:          func(cwwork.QueueName) (cwwork.QueuePolicy, bool) { return policy, true },
		LeaseExpiry:     func(cwmodel.HostID) time.Time { return time.Time{} },
		OwnedUntil:      func() time.Time { return f.now },
	})
	f.MarkJobsLoaded()
	for _, id := range workers {
		f.join(id)
	}
	return f
}

// join adds a worker that has been polled.
func (f *fixture) join(id cwmodel.HostID) {
	f.list(id, f.now)
	f.MarkMembersDurable([]cwmodel.HostID{id})
	f.HandleReport(&Report{Worker: id, Incarnation: f.now, RequestedAt: f.now}, f.now)
}

// list updates a worker's entry in the platform's list to that of an incarnation with 8 processors.
func (f *fixture) list(id cwmodel.HostID, incarnation time.Time) {
	f.UpdateWorker(WorkerInfo{
		ID: id, Service: "portal", Capacity: cwmodel.Resources{MilliProcessors: 8000, MemoryBytes: 1 << 30}, Incarnation: incarnation,
	}, f.now)
}

// drain lists a worker as draining.
func (f *fixture) drain(id cwmodel.HostID) {
	info := f.workers[id].WorkerInfo
	info.Draining = true
	f.UpdateWorker(info, f.now)
}

// decide advances the clock by 200 ms and returns the effects of a decision.
func (f *fixture) decide() Effects { return f.decideAfter(200 * time.Millisecond) }

// decideAfter advances the clock and returns the effects of a decision.
func (f *fixture) decideAfter(d time.Duration) Effects {
	f.now = f.now.Add(d)
	return f.Decide(f.now, f.now)
}

// decideDurably decides, completes all writes and decides again. It returns the starts: that of a suspect waits until its possible loss is
// durable.
func (f *fixture) decideDurably() (starts []StartOrder) {
	starts = f.decide().Starts
	f.CompleteWrites(f.NextWrites(100, func(cwmodel.JobID) bool { return true }), true, f.now)
	return append(starts, f.decide().Starts...)
}

// admit adds the job "job" with the given steps, which no earlier owner has run.
func (f *fixture) admit(steps ...cwwork.Step) { f.admitJob("job", steps...) }

// admitJob does the same with a job of the given ID.
func (f *fixture) admitJob(id cwmodel.JobID, steps ...cwwork.Step) {
	s := &cwwork.Submission{ID: id, Queue: "q", Steps: steps, AcceptedAt: f.now, Policy: cwwork.QueuePolicy{Service: "portal", Stretch: 2}}
	f.Admit(s, nil, false, f.now, f.now)
}

// acceptAll lets the workers accept start orders.
func (f *fixture) acceptAll(starts []StartOrder) {
	for n := range starts {
		f.HandleStartResult(&starts[n], StartAccepted, f.now)
	}
}

// step returns a step of tasks that each need the given thousandths of a processor for an estimated second.
func step(count int, processors int64, gang bool) cwwork.Step {
	return cwwork.Step{Count: count, Demand: cwmodel.Resources{MilliProcessors: processors}, Estimate: time.Second, Gang: gang}
}

// labelled returns a step of one small task that needs a worker with the given label.
func labelled(label string) cwwork.Step {
	s := step(1, 500, false)
	s.RequiredLabel = label
	return s
}

// plainPolicy needs no advice.
var plainPolicy = cwwork.QueuePolicy{Service: "portal", MaxAttempts: 2, Stretch: 2, TargetLatency: time.Second}

// advisedPolicy needs advice about each worker.
var advisedPolicy = cwwork.QueuePolicy{
	Service: "portal", MaxAttempts: 2, Stretch: 2, TargetLatency: time.Second,
	Advice: cwwork.Advice{Base: 10 * time.Millisecond, PerWorker: time.Millisecond, Validity: time.Second},
}

// TestGangsStartCompletelyOrNotAtAll checks how the members of a gang are placed.
func TestGangsStartCompletelyOrNotAtAll(t *testing.T) {
	cases := []struct {
		name   string
		count  int
		need   int64
		starts int
	}{
		{"fits on one worker", 2, 4000, 2},
		{"spans workers", 4, 4000, 4},
		{"one member too many", 5, 4000, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture([]cwmodel.HostID{"a", "b"}, plainPolicy)
			f.admit(step(tc.count, tc.need, true))
			e := f.decide()
			is.Equal(len(e.Starts), tc.starts)
			for _, s := range e.Starts {
				is.Equal(s.Run, 1) // all members have the same run
			}
		})
	}
}

// TestGangRequestsAdviceAboutNewWorkers asserts that a gang requests advice about new workers if its eligible workers
// could hold it only when empty.
func TestGangRequestsAdviceAboutNewWorkers(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a", "b"}, advisedPolicy)
	f.admit(step(3, 4000, true))
	first := f.decide().AdviceRequests
	is.Equal(len(first), 1)
	f.HandleAdvice(first[0].ID, []EligibleWorker{{ID: "a", Ticket: "t"}, {ID: "b", Ticket: "t"}}, true, f.now.Add(time.Second), f.now)
	started := f.decide()
	is.Equal(len(started.Starts), 3)

	other := &cwwork.Submission{ID: "other", Queue: "q", Steps: []cwwork.Step{step(3, 4000, true)}, AcceptedAt: f.now, Policy: advisedPolicy}
	f.Admit(other, nil, false, f.now, f.now)
	second := f.decide().AdviceRequests
	f.HandleAdvice(second[0].ID, []EligibleWorker{{ID: "a", Ticket: "t"}, {ID: "b", Ticket: "t"}}, true, f.now.Add(time.Second), f.now)
	is.Equal(len(f.decide().Starts), 0)
	f.join("c")
	newWorkers := f.decide().AdviceRequests
	is.Equal(len(newWorkers), 1)
	is.Equal(newWorkers[0].Workers, []cwmodel.HostID{"c"})
}

// TestExpiredTicketIsRenewedBeforeTheStart asserts that a start waits for the renewal of an expired ticket.
func TestExpiredTicketIsRenewedBeforeTheStart(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a"}, advisedPolicy)
	f.admit(step(1, 4000, false))
	req := f.decide().AdviceRequests[0]
	f.HandleAdvice(req.ID, []EligibleWorker{{ID: "a", Ticket: "old"}}, true, f.now.Add(10*time.Millisecond), f.now)
	e := f.decide()
	is.Equal(len(e.Starts), 0)
	is.Equal(len(e.AdviceRequests), 1)
	f.HandleAdvice(e.AdviceRequests[0].ID, []EligibleWorker{{ID: "a", Ticket: "new"}}, true, f.now.Add(time.Second), f.now)
	starts := f.decide().Starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Ticket, "new")
}

// TestExpiredTicketsOfAStepAreRenewedTogether guards against a request for each task of a wide step that starts as capacity is freed. Such
// requests precede those of steps without advice, which then wait while most of the capacity is free.
func TestExpiredTicketsOfAStepAreRenewedTogether(t *testing.T) {
	is := is.New(t)
	workers := []cwmodel.HostID{"a", "b", "c", "d"}
	var tickets []EligibleWorker
	for _, id := range workers {
		tickets = append(tickets, EligibleWorker{ID: id, Ticket: "t"})
	}
	f := newFixture(workers, advisedPolicy)
	f.admit(step(8, 8000, false))
	req := f.decide().AdviceRequests[0]
	f.HandleAdvice(req.ID, tickets, true, f.now.Add(time.Second), f.now)
	starts := f.decide().Starts
	is.Equal(len(starts), 4)
	f.decideAfter(2 * time.Second) // the tickets expire
	end := func(o StartOrder) {
		f.HandleReport(&Report{
			Worker: o.Worker, Incarnation: time.Unix(1000, 0), RequestedAt: f.now, Ended: []RunEnd{{Sequence: 1, Task: o.Task, Run: o.Run, Kind: EndDone}},
		}, f.now)
	}
	end(starts[0])
	renewals := f.decideAfter(time.Millisecond).AdviceRequests
	is.Equal(len(renewals), 1)
	is.Equal(len(renewals[0].Workers), 4) // all workers of the step, though one task waits for its ticket

	end(starts[1]) // before the response arrives
	e := f.decideAfter(time.Millisecond)
	is.Equal(len(e.AdviceRequests), 0)
	is.Equal(len(e.Starts), 0)
	f.HandleAdvice(renewals[0].ID, tickets, true, f.now.Add(time.Second), f.now)
	is.Equal(len(f.decideAfter(time.Millisecond).Starts), 2)

	end(starts[2]) // within the validity of the new tickets
	e = f.decideAfter(time.Millisecond)
	is.Equal(len(e.AdviceRequests), 0)
	is.Equal(len(e.Starts), 1)
}

// TestUnansweredRenewalIsRepeated guards against a task that waits for a renewal which got no response.
func TestUnansweredRenewalIsRepeated(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a"}, advisedPolicy)
	f.admit(step(2, 8000, false))
	req := f.decide().AdviceRequests[0]
	f.HandleAdvice(req.ID, []EligibleWorker{{ID: "a", Ticket: "old"}}, true, f.now.Add(time.Millisecond), f.now)
	renewal := f.decide().AdviceRequests
	is.Equal(len(renewal), 1)
	f.HandleAdvice(renewal[0].ID, nil, false, f.now, f.now)
	is.Equal(len(f.decide().AdviceRequests), 1)
}

// TestGangStartsDespiteOtherPendingRequests asserts that a gang starts once its tickets are renewed, even while a
// request about other workers is pending.
func TestGangStartsDespiteOtherPendingRequests(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a", "b"}, advisedPolicy)
	f.admit(step(2, 8000, true))
	req := f.decide().AdviceRequests[0]
	f.MarkUnreachable("b", f.now)
	f.HandleAdvice(req.ID, []EligibleWorker{{ID: "a", Ticket: "t"}, {ID: "b", Ticket: "t"}}, true, f.now.Add(time.Millisecond), f.now)
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

// TestExpiringTicketsOfAGangAreRenewedTogether asserts that the members of a gang hold valid tickets at the same time.
// It guards against repeated renewals: tickets that were valid when the others were renewed had expired when the answer
// arrived, so all had to be renewed again.
func TestExpiringTicketsOfAGangAreRenewedTogether(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a", "b"}, advisedPolicy)
	f.admit(step(2, 8000, true))
	req := f.decide().AdviceRequests[0]
	f.HandleAdvice(req.ID, []EligibleWorker{{ID: "a", Ticket: "t"}, {ID: "b", Ticket: "t"}}, true, f.now.Add(300*time.Millisecond), f.now)
	f.group(cwwork.StepKey{Job: "job"}).advice.expireTicket("a")
	renewal := f.decide().AdviceRequests
	is.Equal(len(renewal), 1)
	is.Equal(renewal[0].Workers, []cwmodel.HostID{"a", "b"})
}

// TestGangProgressIsRestoredOnce asserts that a gang's step is counted as done once, however many of its members are
// listed as done.
func TestGangProgressIsRestoredOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a"}, plainPolicy)
	s := &cwwork.Submission{ID: "job", Queue: "q", AcceptedAt: f.now, Policy: plainPolicy, Steps: []cwwork.Step{step(3, 500, true), step(1, 500, false)}}
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

// TestForeignRunsBlockNewStarts asserts that a worker receives no new tasks while it lists runs of unknown size.
func TestForeignRunsBlockNewStarts(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a"}, plainPolicy)
	f.jobsLoaded = false
	foreign := cwwork.TaskKey{StepKey: cwwork.StepKey{Job: "unknown"}}
	f.HandleReport(&Report{Worker: "a", Incarnation: time.Unix(1000, 0), RequestedAt: f.now, Running: []RunStatus{{Task: foreign, Run: 1}}}, f.now)
	f.admit(step(1, 500, false))
	is.Equal(len(f.decide().Starts), 0)
	f.MarkJobsLoaded()
	f.HandleReport(&Report{Worker: "a", Incarnation: time.Unix(1000, 0), RequestedAt: f.now, Running: []RunStatus{{Task: foreign, Run: 1}}}, f.now)
	is.Equal(len(f.decide().Stops), 1) // the job has ended
	f.HandleReport(&Report{Worker: "a", Incarnation: time.Unix(1000, 0), RequestedAt: f.now}, f.now)
	is.Equal(len(f.decide().Starts), 1)
}

// TestUnplaceableWorkDoesNotBlockOthers asserts that such work waits, since a worker that can hold it may join and a
// job fails only by its attempts, and that the work behind it starts.
func TestUnplaceableWorkDoesNotBlockOthers(t *testing.T) {
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
			f := newFixture([]cwmodel.HostID{"a", "b"}, plainPolicy)
			f.admit(tc.step)
			f.decide()
			f.now = f.now.Add(time.Minute)
			is.Equal(len(f.decide().Starts), 0)
			state, _ := f.JobState("job")
			is.Equal(state, cwwork.StateQueued)
			behind := &cwwork.Submission{ID: "behind", Queue: "q", Steps: []cwwork.Step{step(4, 4000, false)}, AcceptedAt: f.now, Policy: plainPolicy}
			f.Admit(behind, nil, false, f.now, f.now)
			is.Equal(len(f.decide().Starts), 4)
		})
	}
}

// TestFreedCapacityIsUsedAtNextDecision asserts that work which waits for capacity starts at the next decision after a
// run has ended, not only at the next full pass.
func TestFreedCapacityIsUsedAtNextDecision(t *testing.T) {
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
			f := newFixture([]cwmodel.HostID{"a"}, plainPolicy)
			f.admit(step(1, 8000, false))
			o := f.decide().Starts[0]
			waiting := &cwwork.Submission{ID: "waiting", Queue: "q", Steps: []cwwork.Step{tc.step}, AcceptedAt: f.now, Policy: plainPolicy}
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

// TestTasksRequestAdviceWhenNoEligibleWorkerIsUsable asserts that tasks request advice about further workers if no
// eligible worker is usable.
func TestTasksRequestAdviceWhenNoEligibleWorkerIsUsable(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a"}, advisedPolicy)
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

// TestJobFailsOnceAttemptsAreExhausted asserts that a job fails once a task has used up its attempts, on whichever
// workers it failed.
func TestJobFailsOnceAttemptsAreExhausted(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a", "b", "c"}, plainPolicy)
	f.admit(step(1, 4000, false))
	for n := range uint64(plainPolicy.MaxAttempts) {
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

// TestFailedRunsOfDoneTasksDoNotCount guards against a job that fails although each of its tasks can be done: ends of earlier runs of a task are read
// after that of the run that has succeeded, once a worker answers again.
func TestFailedRunsOfDoneTasksDoNotCount(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a", "b"}, plainPolicy)
	f.admit(step(2, 4000, false))
	task := cwwork.TaskKey{StepKey: cwwork.StepKey{Job: "job"}}
	report := func(id cwmodel.HostID, ends ...RunEnd) {
		f.HandleReport(&Report{Worker: id, Incarnation: time.Unix(1000, 0), RequestedAt: f.now, Ended: ends}, f.now)
	}
	f.acceptAll(f.decide().Starts)
	report("a", RunEnd{Sequence: 1, Task: task, Run: 9, Kind: EndDone})
	for n := range plainPolicy.MaxAttempts {
		report("b", RunEnd{Sequence: uint64(n + 1), Task: task, Run: n + 2, Kind: EndFailed})
	}
	is.Equal(f.jobs["job"].outcome, cwwork.JobState(""))
}

// TestEndsAreAcknowledgedOnceDurable asserts that an end is not acknowledged to its worker before the state of its job
// is durable.
func TestEndsAreAcknowledgedOnceDurable(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a"}, plainPolicy)
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

// TestDrainingWorkersReceiveNoTasks asserts that no task is started on a draining worker and that its runs continue.
func TestDrainingWorkersReceiveNoTasks(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a"}, plainPolicy)
	f.admit(step(2, 3000, false))
	is.Equal(len(f.decide().Starts), 2)
	drained := WorkerInfo{ID: "a", Service: "portal", Capacity: cwmodel.Resources{MilliProcessors: 8000, MemoryBytes: 1 << 30}, Draining: true}
	f.UpdateWorker(drained, f.now)
	s := &cwwork.Submission{ID: "later", Queue: "q", Steps: []cwwork.Step{step(1, 1000, false)}, AcceptedAt: f.now, Policy: plainPolicy}
	f.Admit(s, nil, false, f.now, f.now)
	e := f.decide()
	is.Equal(len(e.Starts), 0)
	is.Equal(len(e.Stops), 0)
	f.join("b")
	e = f.decide()
	is.Equal(len(e.Starts), 1)
	is.Equal(e.Starts[0].Worker, cwmodel.HostID("b"))
}

// TestFailuresOfLongRunningTasks guards against a long-running task that stays away for ever longer, because each of its failures counts
// against a worker and no success ever resets the count. One that fails at once wherever it runs closes no worker, but starts less often; a worker that
// fails such tasks of several jobs is kept free of them.
func TestFailuresOfLongRunningTasks(t *testing.T) {
	cases := []struct {
		name    string
		jobs    int // one after the other
		workers []cwmodel.HostID
		runTime time.Duration
		usable  int // workers after the failures
		starts  int // of six decisions in 1.2 s
	}{
		{"after a while", 1, []cwmodel.HostID{"a", "b", "c"}, 2 * time.Second, 3, 6},
		{"at once, wherever it runs", 1, []cwmodel.HostID{"a", "b", "c"}, 0, 3, 4},
		{"at once, of several jobs on one worker", 2, []cwmodel.HostID{"a"}, 0, 0, 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(tc.workers, plainPolicy)
			s := step(1, 1000, false)
			s.LongRunning = true
			for n := range tc.jobs {
				f.admitJob(cwmodel.JobID(fmt.Sprintf("job%d", n)), s)
			}
			started, sequence := 0, uint64(0)
			for range 6 {
				starts := f.decide().Starts
				started += len(starts)
				f.acceptAll(starts)
				f.now = f.now.Add(tc.runTime)
				for _, o := range starts {
					sequence++
					f.HandleReport(&Report{
						Worker: o.Worker, Incarnation: time.Unix(1000, 0), RequestedAt: f.now, Ended: []RunEnd{{Sequence: sequence, Task: o.Task, Run: o.Run, Kind: EndFailed}},
					}, f.now)
				}
			}
			_, _, usable := f.Counts(f.now)
			is.Equal(usable, tc.usable)
			is.Equal(started, tc.starts)
		})
	}
}

// TestPauseDoesNotShortenAQuarantine guards against a worker that is used again too early because it has also reported too little
// capacity.
func TestPauseDoesNotShortenAQuarantine(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var b breaker
	b.trip(now)
	b.pause(now, noCapacityPause)
	is.True(b.isOpen(now.Add(breakerMinCooldown - time.Millisecond)))
	b.reset()
	b.pause(now, noCapacityPause)
	is.True(b.isOpen(now.Add(noCapacityPause - time.Millisecond)))
	is.True(!b.isOpen(now.Add(noCapacityPause)))
}

// TestLongRunningTasksPreemptOthers asserts that a long-running task starts on a full cell by preempting the most
// recently started tasks, but never another long-running one.
func TestLongRunningTasksPreemptOthers(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a", "b"}, plainPolicy)
	f.admit(step(2, 8000, false))
	first := f.decide().Starts
	is.Equal(len(first), 2)
	longRunning := step(1, 6000, false)
	longRunning.LongRunning = true
	add := func(id cwmodel.JobID) {
		f.Admit(&cwwork.Submission{ID: id, Queue: "q", Steps: []cwwork.Step{longRunning}, AcceptedAt: f.now, Policy: plainPolicy}, nil, false, f.now, f.now)
	}
	end := func(n uint64, worker cwmodel.HostID, key cwwork.TaskKey, kind EndKind) {
		f.HandleReport(&Report{
			Worker: worker, Incarnation: time.Unix(1000, 0), RequestedAt: f.now, Ended: []RunEnd{{Sequence: n, Task: key, Run: 1, Kind: kind}},
		}, f.now)
	}
	add("lasting")
	is.Equal(len(f.decide().Stops), 0) // capacity may become free
	stops := f.decideAfter(preemptDelay).Stops
	is.Equal(len(stops), 1)
	is.Equal(len(f.decide().Stops), 0) // the first preempted run has not ended yet
	end(1, stops[0].Worker, stops[0].Task, EndStopped)
	starts := f.decide().Starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Task.Job, cwmodel.JobID("lasting"))

	add("second")
	f.decide()
	stops = f.decideAfter(2 * preemptDelay).Stops
	is.Equal(len(stops), 1)
	is.Equal(stops[0].Task.Job, cwmodel.JobID("job"))
	add("third")
	end(1, stops[0].Worker, stops[0].Task, EndStopped)
	f.decide()
	is.Equal(len(f.decideAfter(time.Minute).Stops), 0) // only long-running tasks are left
}

// TestOpportunisticAndLatencySensitiveTasksAreSeparated asserts that the two kinds of tasks never share a worker, whichever
// starts first.
func TestOpportunisticAndLatencySensitiveTasksAreSeparated(t *testing.T) {
	opportunistic, latencySensitive := step(1, 1000, false), step(1, 1000, false)
	opportunistic.Opportunistic = true
	latencySensitive.TailLatencyLimit = 50 * time.Millisecond
	cases := []struct {
		name   string
		first  cwwork.Step
		second cwwork.Step
		starts int
	}{
		{"opportunistic after latency-sensitive", latencySensitive, opportunistic, 0},
		{"latency-sensitive after opportunistic", opportunistic, latencySensitive, 0},
		{"two opportunistic tasks", opportunistic, opportunistic, 1},
		{"two latency-sensitive tasks", latencySensitive, latencySensitive, 1},
		{"opportunistic and neither kind", opportunistic, step(1, 1000, false), 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture([]cwmodel.HostID{"a"}, plainPolicy)
			f.admit(tc.first)
			is.Equal(len(f.decide().Starts), 1)
			f.Admit(&cwwork.Submission{ID: "second", Queue: "q", Steps: []cwwork.Step{tc.second}, AcceptedAt: f.now, Policy: plainPolicy}, nil, false, f.now, f.now)
			is.Equal(len(f.decide().Starts), tc.starts)
		})
	}
}
