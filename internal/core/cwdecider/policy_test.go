package cwdecider_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/core/cwdecider"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
)

// harness is a decider with a simulated clock and a record of its actions.
type harness struct {
	*is.I
	d         *cwdecider.Decider
	now       time.Time
	next      int
	starts    []cwdecider.Action
	stops     []cwdecider.Action
	responses map[cwmodel.TaskID]cwmodel.Response
}

// newHarness returns a harness with the given number of workers, each with 8 processors and 8 slots.
func newHarness(t *testing.T, workers int, change func(cfg *cwpolicy.Configuration)) *harness {
	h := &harness{I: is.New(t), d: cwdecider.New(cwdecider.Options{Seed: 1}), now: epoch, responses: map[cwmodel.TaskID]cwmodel.Response{}}
	cfg := configuration()
	for n := range cfg.Profiles {
		cfg.Profiles[n].QueueLimit = 100
	}
	if change != nil {
		change(&cfg)
	}
	h.d.Configure(h.now, cfg)
	for n := range workers {
		h.addWorker(cwmodel.HostID(fmt.Sprint("w", n)), nil)
	}
	return h
}

// addWorker adds a worker in a rack of its own, with the given running tasks.
func (h *harness) addWorker(id cwmodel.HostID, running []cwmodel.RunningTask) {
	h.d.AddWorker(h.now, cwmodel.Worker{ID: id, Rack: "rack-" + string(id), Capacity: capacity}, 1, running)
	h.collect()
}

// collect records the actions since the last call and checks the decider's invariants.
func (h *harness) collect() {
	for _, a := range h.d.Actions() {
		switch a.Kind {
		case cwdecider.ActionStart:
			h.starts = append(h.starts, a)
		case cwdecider.ActionStop:
			h.stops = append(h.stops, a)
		case cwdecider.ActionRespond:
			h.responses[a.Response.Task] = a.Response
		case cwdecider.ActionLost, cwdecider.ActionOrphan:
		}
	}
	h.Equal(h.d.Verify(), "")
}

// task returns a task of a profile with a demand for the given number of processors.
func (h *harness) task(profile cwmodel.ProfileName, processors int64) cwmodel.Task {
	h.next++
	cfg := configuration()
	p, _ := cfg.Profile(profile)
	t := cwmodel.Task{
		ID: cwmodel.TaskID(fmt.Sprint(profile, "-", h.next)), NextAttempt: 1, Profile: profile, Team: "a", Kind: p.Kind, ArrivedAt: h.now, Lease: p.Lease,
		Demand: cwmodel.Resources{MilliProcessors: processors * 1000, Slots: 1}, MaxAttempts: 3, Repeatable: true, Checkpointable: p.Checkpointable,
	}
	if p.Kind == cwmodel.KindRequest {
		t.Deadline = h.now.Add(p.Deadline)
	}
	return t
}

// submit submits a task and returns its ID.
func (h *harness) submit(t cwmodel.Task) cwmodel.TaskID {
	h.d.Submit(h.now, t)
	h.collect()
	return t.ID
}

// fill submits tasks of one processor each.
func (h *harness) fill(profile cwmodel.ProfileName, count int) {
	for range count {
		h.submit(h.task(profile, 1))
	}
}

// tick advances the clock and calls Tick.
func (h *harness) tick(by time.Duration) {
	h.now = h.now.Add(by)
	h.d.Tick(h.now)
	h.collect()
}

// end reports the end of an attempt that ran for a millisecond.
func (h *harness) end(attempt cwmodel.Attempt, end cwmodel.EndKind) {
	h.d.HandleResult(h.now, cwmodel.Result{Attempt: attempt, End: end, StartedAt: h.now.Add(-time.Millisecond), EndedAt: h.now, Output: []byte("whole")})
	h.collect()
}

// started returns how often a task was started.
func (h *harness) started(id cwmodel.TaskID) int {
	count := 0
	for _, a := range h.starts {
		if a.Task.ID == id {
			count++
		}
	}
	return count
}

// cancel cancels a task.
func (h *harness) cancel(id cwmodel.TaskID) {
	h.d.Cancel(h.now, id)
	h.collect()
}

// policyCase is a test of one scheduling rule on the given number of workers.
type policyCase struct {
	name    string
	workers int
	change  func(cfg *cwpolicy.Configuration)
	run     func(h *harness)
}

// runCases runs each case on a new harness.
func runCases(t *testing.T, cases []policyCase) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.run(newHarness(t, c.workers, c.change)) })
	}
}

// TestSchedulingOrder checks which waiting task starts first, within floors, quotas and ceilings.
func TestSchedulingOrder(t *testing.T) {
	runCases(t, []policyCase{
		{name: "a flood of the most urgent profile does not take the floors of the others", workers: 1, run: func(h *harness) {
			h.fill("urgent", 40)
			bundle := h.submit(h.task("bundles", 1))
			h.end(h.starts[0].Attempt, cwmodel.EndDone)
			h.Equal(h.started(bundle), 1)
		}},
		{name: "the team with the smallest share is served first", workers: 1, run: func(h *harness) {
			h.fill("urgent", 20)
			other := h.task("urgent", 1)
			other.Team = "b"
			h.submit(other)
			h.end(h.starts[0].Attempt, cwmodel.EndDone)
			h.Equal(h.started(other.ID), 1)
		}},
		{name: "a team does not exceed its quota", workers: 2, run: func(h *harness) {
			for range 12 {
				t := h.task("urgent", 1)
				t.Team = "b"
				h.submit(t)
			}
			h.Equal(len(h.starts), 9)
		}},
		{name: "remote usage of a team counts against its quota", workers: 2, run: func(h *harness) {
			elsewhere := cwmodel.TeamUsage{Team: "b", Used: cwmodel.Resources{MilliProcessors: 5000}}
			h.d.SetRemoteUsage(h.now, []cwmodel.TeamUsage{elsewhere})
			for range 12 {
				t := h.task("urgent", 1)
				t.Team = "b"
				h.submit(t)
			}
			h.Equal(len(h.starts), 4)
			h.Equal(h.d.TeamUsage()[0].Used.MilliProcessors, int64(4000))
			h.d.SetRemoteUsage(h.now, nil)
			h.collect()
			h.Equal(len(h.starts), 9)
		}},
		{name: "a profile does not exceed its ceiling", workers: 1, run: func(h *harness) {
			h.fill("best", 8)
			h.Equal(len(h.starts), 7)
		}},
	})
}

// TestRejections checks which submissions are rejected at once, and why.
func TestRejections(t *testing.T) {
	runCases(t, []policyCase{
		{name: "a full queue rejects the team that fills it", workers: 1, run: func(h *harness) {
			h.fill("urgent", 108)
			same, other := h.task("urgent", 1), h.task("urgent", 1)
			other.Team = "b"
			h.submit(same)
			h.submit(other)
			h.Equal(h.responses[same.ID].Reason, cwmodel.ReasonQueueFull)
			h.Equal(h.responses[other.ID].Outcome, cwmodel.Outcome(""))
		}},
		{name: "a demand larger than any worker is rejected at once", workers: 1, run: func(h *harness) {
			id := h.submit(h.task("urgent", 9))
			h.Equal(h.responses[id].Reason, cwmodel.ReasonTooLarge)
		}},
		{name: "a demand above the quota is rejected at once", workers: 2, change: func(cfg *cwpolicy.Configuration) {
			cfg.Teams[1].Quota.MilliProcessors = 2000
		}, run: func(h *harness) {
			big := h.task("urgent", 3)
			big.Team = "b"
			h.submit(big)
			h.Equal(h.responses[big.ID].Reason, cwmodel.ReasonOverQuota)
		}},
		{name: "a task that cannot end in time by learned run times is rejected at once", workers: 1, run: func(h *harness) {
			for n := range 40 {
				h.submit(h.task("urgent", 1))
				h.d.HandleResult(h.now, cwmodel.Result{Attempt: h.starts[n].Attempt, End: cwmodel.EndDone, StartedAt: h.now.Add(-time.Second), EndedAt: h.now})
				h.collect()
			}
			short := h.task("urgent", 1)
			short.ArrivedAt = h.now.Add(-time.Minute)
			short.Deadline = h.now.Add(100 * time.Millisecond)
			h.submit(short)
			h.Equal(h.responses[short.ID].Reason, cwmodel.ReasonNoTimeLeft)
			h.Equal(h.responses[short.ID].Outcome, cwmodel.OutcomeNotRun)
		}},
	})
}

// TestPreemptionAndCancellation checks which running tasks are stopped for others or for their callers.
func TestPreemptionAndCancellation(t *testing.T) {
	runCases(t, []policyCase{
		{name: "checkpointable tasks are preempted", workers: 1, run: func(h *harness) {
			h.fill("best", 7)
			big := h.submit(h.task("urgent", 3))
			h.tick(time.Millisecond)
			h.Equal(len(h.stops), 2)
			for _, a := range slices.Clone(h.stops) {
				h.Equal(a.Mode, cwmodel.StopCheckpoint)
				h.end(a.Attempt, cwmodel.EndCheckpointed)
			}
			h.Equal(h.started(big), 1)
		}},
		{name: "tasks that are not checkpointable are not preempted", workers: 1, run: func(h *harness) {
			h.fill("bundles", 8)
			h.submit(h.task("urgent", 3))
			h.tick(time.Millisecond)
			h.Equal(len(h.stops), 0)
		}},
		{name: "a wave of cancellations is idempotent and no task starts after it", workers: 1, run: func(h *harness) {
			h.fill("urgent", 30)
			for range 2 {
				for n := range 30 {
					h.cancel(cwmodel.TaskID(fmt.Sprint("urgent-", n+1)))
				}
			}
			h.Equal(len(h.stops), 8)
			h.Equal(len(h.responses), 22)
			for n := range 8 {
				h.end(h.starts[n].Attempt, cwmodel.EndStopped)
			}
			h.Equal(len(h.starts), 8)
			h.Equal(len(h.responses), 30)
		}},
		{name: "a cancellation before the submission rejects the task", workers: 1, run: func(h *harness) {
			t := h.task("urgent", 1)
			h.cancel(t.ID)
			h.submit(t)
			h.Equal(h.responses[t.ID].Outcome, cwmodel.OutcomeCancelled)
			h.Equal(len(h.starts), 0)
		}},
	})
}

// TestDeadlinesAndLostWorkers checks the outcomes of tasks that reach their deadline or whose worker is lost.
func TestDeadlinesAndLostWorkers(t *testing.T) {
	runCases(t, []policyCase{
		{name: "the earliest deadline in a queue starts first", workers: 1, run: func(h *harness) {
			h.fill("urgent", 8)
			late, early := h.task("urgent", 1), h.task("urgent", 1)
			early.Deadline = early.Deadline.Add(-time.Second)
			h.submit(late)
			h.submit(early)
			h.end(h.starts[0].Attempt, cwmodel.EndDone)
			h.Equal(h.starts[8].Task.ID, early.ID)
		}},
		{name: "a running request is stopped at its deadline and its outcome is unknown without confirmation", workers: 1, run: func(h *harness) {
			id := h.submit(h.task("urgent", 1))
			h.tick(2 * time.Second)
			h.Equal(len(h.stops), 1)
			h.tick(50 * time.Millisecond)
			h.Equal(len(h.responses), 0)
			h.tick(50 * time.Millisecond)
			h.Equal(h.responses[id].Outcome, cwmodel.OutcomeUnknown)
			h.Equal(h.d.Load().Running, 1) // its capacity stays allocated
			h.end(h.starts[0].Attempt, cwmodel.EndStopped)
			h.Equal(h.d.Load().Running, 0)
		}},
		{name: "a confirmed stop at the deadline is a failure", workers: 1, run: func(h *harness) {
			id := h.submit(h.task("urgent", 1))
			h.tick(2 * time.Second)
			h.end(h.starts[0].Attempt, cwmodel.EndStopped)
			h.Equal(h.responses[id].Outcome, cwmodel.OutcomeFailed)
			h.Equal(h.responses[id].Reason, cwmodel.ReasonDeadlineExceeded)
		}},
		{name: "a lost attempt is retried only after it has certainly ended", workers: 2, run: func(h *harness) {
			t := h.task("urgent", 1)
			t.Deadline = h.now.Add(time.Minute)
			id := h.submit(t)
			h.d.LoseWorker(h.now, h.starts[0].Attempt.Worker, h.now)
			h.tick(4 * time.Second)
			h.Equal(h.started(id), 1)
			h.tick(time.Second)
			h.tick(time.Second)
			h.Equal(h.started(id), 2)
		}},
		{name: "a late successful result of a lost attempt is accepted", workers: 2, run: func(h *harness) {
			t := h.task("urgent", 1)
			t.Deadline = h.now.Add(time.Minute)
			id := h.submit(t)
			h.d.LoseWorker(h.now, h.starts[0].Attempt.Worker, h.now)
			for range 10 {
				h.tick(time.Second)
			}
			h.Equal(h.started(id), 2)
			h.end(h.starts[0].Attempt, cwmodel.EndDone)
			h.Equal(h.responses[id].Outcome, cwmodel.OutcomeDone)
			h.Equal(len(h.stops), 1) // of the second attempt
		}},
		{name: "a lost attempt that is not repeatable has an unknown outcome, never not-run", workers: 2, run: func(h *harness) {
			t := h.task("urgent", 1)
			t.Repeatable = false
			id := h.submit(t)
			h.d.LoseWorker(h.now, h.starts[0].Attempt.Worker, h.now)
			h.tick(10 * time.Second)
			h.Equal(h.responses[id].Outcome, cwmodel.OutcomeUnknown)
		}},
		{name: "a durable task in an inventory is adopted", workers: 0, run: func(h *harness) {
			attempt := cwmodel.Attempt{Task: "job-1", Number: 3, Worker: "w0"}
			h.addWorker("w0", []cwmodel.RunningTask{{Attempt: attempt, Profile: "best", Team: "a", Kind: cwmodel.KindBatch, Demand: cwmodel.Resources{Slots: 1}, Durable: true}})
			h.True(h.d.HasTask("job-1"))
			h.cancel("job-1")
			h.Equal(h.stops[0].Attempt, attempt)
			h.end(attempt, cwmodel.EndStopped)
			h.Equal(h.responses["job-1"].Outcome, cwmodel.OutcomeCancelled)
		}},
	})
}

// TestGangs checks that gangs are not starved, are spread over racks, and start from a hold only until it expires.
func TestGangs(t *testing.T) {
	runCases(t, []policyCase{
		{name: "a large task is not starved by small ones", workers: 1, run: func(h *harness) {
			h.fill("urgent", 8)
			gang := h.task("gangs", 8)
			gang.Job = "job"
			h.d.SubmitGang(h.now, []cwmodel.Task{gang})
			for n := 0; n < 40 && h.started(gang.ID) == 0; n++ {
				h.submit(h.task("urgent", 1))
				h.end(h.starts[n].Attempt, cwmodel.EndDone)
				h.tick(100 * time.Millisecond)
			}
			h.Equal(h.started(gang.ID), 1)
		}},
		{name: "a gang is spread over racks", workers: 4, run: func(h *harness) {
			var tasks []cwmodel.Task
			for range 4 {
				t := h.task("gangs", 1)
				t.Job = "job"
				tasks = append(tasks, t)
			}
			h.d.SubmitGang(h.now, tasks)
			h.collect()
			used := map[cwmodel.HostID]bool{}
			for _, a := range h.starts {
				used[a.Attempt.Worker] = true
			}
			h.Equal(len(used), 4)
		}},
		{name: "a held gang starts at the commit and not after the hold expires", workers: 1, run: func(h *harness) {
			h.Equal(h.d.Hold(h.now, "job", []cwmodel.Task{h.task("gangs", 4), h.task("gangs", 4), h.task("gangs", 4)}, h.now.Add(time.Second)), 2)
			h.True(h.d.CommitHold(h.now, "job"))
			h.collect()
			h.Equal(len(h.starts), 2)
			for n := range 2 {
				h.end(h.starts[n].Attempt, cwmodel.EndDone)
			}
			h.Equal(h.d.Hold(h.now, "next", []cwmodel.Task{h.task("gangs", 4)}, h.now.Add(time.Second)), 1)
			h.tick(time.Second)
			h.True(!h.d.CommitHold(h.now, "next"))
			h.Equal(h.d.Load().Free, capacity)
		}},
	})
}

// TestFaults checks the reactions to a worker that fails tasks and to memory usage above a worker's capacity.
func TestFaults(t *testing.T) {
	runCases(t, []policyCase{
		{name: "a worker that fails every task gets no more tasks", workers: 5, run: func(h *harness) {
			for range 30 {
				h.submit(h.task("urgent", 1))
				last := h.starts[len(h.starts)-1].Attempt
				if last.Worker == "w0" {
					h.end(last, cwmodel.EndFailed)
					continue
				}
				h.end(last, cwmodel.EndDone)
			}
			failed := 0
			for _, a := range h.responses {
				if a.Outcome == cwmodel.OutcomeFailed {
					failed++
				}
			}
			h.True(failed <= 5)
		}},
		{name: "memory usage above a worker's capacity stops the task above its demand", workers: 1, run: func(h *harness) {
			for range 2 {
				t := h.task("urgent", 1)
				t.Demand.MemoryBytes = 8
				h.submit(t)
			}
			h.d.UpdateUsage(h.now, []cwmodel.Usage{{Task: h.starts[1].Task.ID, At: h.now, Used: cwmodel.Resources{MilliProcessors: 1000, MemoryBytes: 12}}})
			h.collect()
			h.Equal(len(h.stops), 1)
			h.Equal(h.stops[0].Attempt, h.starts[1].Attempt)
		}},
	})
}
