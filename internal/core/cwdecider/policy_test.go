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

// stage is a decider with a clock and a record of what it decided.
type stage struct {
	*is.I
	d       *cwdecider.Decider
	now     time.Time
	next    int
	starts  []cwdecider.Action
	stops   []cwdecider.Action
	answers map[cwmodel.TaskID]cwmodel.Response
}

// newStage returns a decider with a number of workers of 8 processors and 8 slots.
func newStage(t *testing.T, workers int, change func(cfg *cwpolicy.Configuration)) *stage {
	s := &stage{I: is.New(t), d: cwdecider.New(cwdecider.Options{Seed: 1}), now: epoch, answers: map[cwmodel.TaskID]cwmodel.Response{}}
	cfg := configuration()
	for n := range cfg.Profiles {
		cfg.Profiles[n].QueueLimit = 100
	}
	if change != nil {
		change(&cfg)
	}
	s.d.Configure(s.now, cfg)
	for n := range workers {
		s.addWorker(cwmodel.HostID(fmt.Sprint("w", n)), nil)
	}
	return s
}

func (s *stage) addWorker(id cwmodel.HostID, running []cwmodel.RunningTask) {
	s.d.AddWorker(s.now, cwmodel.Worker{ID: id, Rack: "rack-" + string(id), Capacity: capacity}, 1, running)
	s.collect()
}

func (s *stage) collect() {
	for _, a := range s.d.Actions() {
		switch a.Kind {
		case cwdecider.ActionStart:
			s.starts = append(s.starts, a)
		case cwdecider.ActionStop:
			s.stops = append(s.stops, a)
		case cwdecider.ActionRespond:
			s.answers[a.Response.Task] = a.Response
		case cwdecider.ActionLost, cwdecider.ActionOrphan:
		}
	}
	s.Equal(s.d.Verify(), "")
}

// task returns a task of a profile that asks for some processors.
func (s *stage) task(profile cwmodel.ProfileName, processors int64) cwmodel.Task {
	s.next++
	cfg := configuration()
	p, _ := cfg.Profile(profile)
	t := cwmodel.Task{
		ID: cwmodel.TaskID(fmt.Sprint(profile, "-", s.next)), Attempt: 1, Profile: profile, Team: "a", Kind: p.Kind, ArrivedAt: s.now, Lease: p.Lease,
		Demand: cwmodel.Resources{MilliProcessors: processors * 1000, Slots: 1}, MaxAttempts: 3, Repeatable: true, Checkpointable: p.Checkpointable,
	}
	if p.Kind == cwmodel.KindRequest {
		t.Deadline = s.now.Add(p.Deadline)
	}
	return t
}

func (s *stage) submit(t cwmodel.Task) cwmodel.TaskID {
	s.d.Submit(s.now, t)
	s.collect()
	return t.ID
}

func (s *stage) fill(profile cwmodel.ProfileName, count int) {
	for range count {
		s.submit(s.task(profile, 1))
	}
}

func (s *stage) tick(by time.Duration) {
	s.now = s.now.Add(by)
	s.d.Tick(s.now)
	s.collect()
}

func (s *stage) end(attempt cwmodel.Attempt, end cwmodel.EndKind) {
	s.d.HandleResult(s.now, cwmodel.Result{Attempt: attempt, End: end, StartedAt: s.now.Add(-time.Millisecond), EndedAt: s.now, Output: []byte("whole")})
	s.collect()
}

func (s *stage) started(id cwmodel.TaskID) int {
	count := 0
	for _, a := range s.starts {
		if a.Task.ID == id {
			count++
		}
	}
	return count
}

func (s *stage) cancel(id cwmodel.TaskID) {
	s.d.Cancel(s.now, id)
	s.collect()
}

// policyCase is one rule with the number of workers that it is shown on.
type policyCase struct {
	name    string
	workers int
	change  func(cfg *cwpolicy.Configuration)
	run     func(s *stage)
}

func runCases(t *testing.T, cases []policyCase) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.run(newStage(t, c.workers, c.change)) })
	}
}

func TestOrder(t *testing.T) {
	runCases(t, []policyCase{
		{name: "a flood of the most urgent leaves the others their floors", workers: 1, run: func(s *stage) {
			s.fill("urgent", 40)
			bundle := s.submit(s.task("bundles", 1))
			s.end(s.starts[0].Attempt, cwmodel.EndDone)
			s.Equal(s.started(bundle), 1)
		}},
		{name: "the team with the least share goes first", workers: 1, run: func(s *stage) {
			s.fill("urgent", 20)
			other := s.task("urgent", 1)
			other.Team = "b"
			s.submit(other)
			s.end(s.starts[0].Attempt, cwmodel.EndDone)
			s.Equal(s.started(other.ID), 1)
		}},
		{name: "a team does not exceed its quota", workers: 2, run: func(s *stage) {
			for range 12 {
				t := s.task("urgent", 1)
				t.Team = "b"
				s.submit(t)
			}
			s.Equal(len(s.starts), 9)
		}},
		{name: "what a team uses elsewhere counts against its quota", workers: 2, run: func(s *stage) {
			elsewhere := cwmodel.TeamUsage{Team: "b", Used: cwmodel.Resources{MilliProcessors: 5000}}
			s.d.SetRemoteUsage(s.now, []cwmodel.TeamUsage{elsewhere})
			for range 12 {
				t := s.task("urgent", 1)
				t.Team = "b"
				s.submit(t)
			}
			s.Equal(len(s.starts), 4)
			s.Equal(s.d.TeamUsage()[0].Used.MilliProcessors, int64(4000))
			s.d.SetRemoteUsage(s.now, nil)
			s.collect()
			s.Equal(len(s.starts), 9)
		}},
		{name: "a profile does not exceed its ceiling", workers: 1, run: func(s *stage) {
			s.fill("best", 8)
			s.Equal(len(s.starts), 7)
		}},
	})
}

func TestRefusals(t *testing.T) {
	runCases(t, []policyCase{
		{name: "a full queue refuses the team that fills it", workers: 1, run: func(s *stage) {
			s.fill("urgent", 108)
			same, other := s.task("urgent", 1), s.task("urgent", 1)
			other.Team = "b"
			s.submit(same)
			s.submit(other)
			s.Equal(s.answers[same.ID].Reason, cwmodel.ReasonQueueFull)
			s.Equal(s.answers[other.ID].Outcome, cwmodel.Outcome(""))
		}},
		{name: "what no worker could hold is refused at once", workers: 1, run: func(s *stage) {
			id := s.submit(s.task("urgent", 9))
			s.Equal(s.answers[id].Reason, cwmodel.ReasonTooLarge)
		}},
		{name: "what the quota could never hold is refused at once", workers: 2, change: func(cfg *cwpolicy.Configuration) {
			cfg.Teams[1].Quota.MilliProcessors = 2000
		}, run: func(s *stage) {
			big := s.task("urgent", 3)
			big.Team = "b"
			s.submit(big)
			s.Equal(s.answers[big.ID].Reason, cwmodel.ReasonOverQuota)
		}},
		{name: "what cannot end in time is refused at once by learned run times", workers: 1, run: func(s *stage) {
			for n := range 40 {
				s.submit(s.task("urgent", 1))
				s.d.HandleResult(s.now, cwmodel.Result{Attempt: s.starts[n].Attempt, End: cwmodel.EndDone, StartedAt: s.now.Add(-time.Second), EndedAt: s.now})
				s.collect()
			}
			short := s.task("urgent", 1)
			short.ArrivedAt = s.now.Add(-time.Minute)
			short.Deadline = s.now.Add(100 * time.Millisecond)
			s.submit(short)
			s.Equal(s.answers[short.ID].Reason, cwmodel.ReasonNoTimeLeft)
			s.Equal(s.answers[short.ID].Outcome, cwmodel.OutcomeNotRun)
		}},
	})
}

func TestPreemptionAndCancellation(t *testing.T) {
	runCases(t, []policyCase{
		{name: "checkpointable work makes way", workers: 1, run: func(s *stage) {
			s.fill("best", 7)
			big := s.submit(s.task("urgent", 3))
			s.tick(time.Millisecond)
			s.Equal(len(s.stops), 2)
			for _, a := range slices.Clone(s.stops) {
				s.Equal(a.Mode, cwmodel.StopCheckpoint)
				s.end(a.Attempt, cwmodel.EndCheckpointed)
			}
			s.Equal(s.started(big), 1)
		}},
		{name: "work that is not checkpointable does not make way", workers: 1, run: func(s *stage) {
			s.fill("bundles", 8)
			s.submit(s.task("urgent", 3))
			s.tick(time.Millisecond)
			s.Equal(len(s.stops), 0)
		}},
		{name: "a cancellation wave is idempotent and nothing starts after it", workers: 1, run: func(s *stage) {
			s.fill("urgent", 30)
			for range 2 {
				for n := range 30 {
					s.cancel(cwmodel.TaskID(fmt.Sprint("urgent-", n+1)))
				}
			}
			s.Equal(len(s.stops), 8)
			s.Equal(len(s.answers), 22)
			for n := range 8 {
				s.end(s.starts[n].Attempt, cwmodel.EndStopped)
			}
			s.Equal(len(s.starts), 8)
			s.Equal(len(s.answers), 30)
		}},
		{name: "a cancellation that comes first refuses the task", workers: 1, run: func(s *stage) {
			t := s.task("urgent", 1)
			s.cancel(t.ID)
			s.submit(t)
			s.Equal(s.answers[t.ID].Outcome, cwmodel.OutcomeCancelled)
			s.Equal(len(s.starts), 0)
		}},
	})
}

func TestDeadlinesAndLostWorkers(t *testing.T) {
	runCases(t, []policyCase{
		{name: "the earliest deadline of a queue goes first", workers: 1, run: func(s *stage) {
			s.fill("urgent", 8)
			late, early := s.task("urgent", 1), s.task("urgent", 1)
			early.Deadline = early.Deadline.Add(-time.Second)
			s.submit(late)
			s.submit(early)
			s.end(s.starts[0].Attempt, cwmodel.EndDone)
			s.Equal(s.starts[8].Task.ID, early.ID)
		}},
		{name: "a running request is stopped at its deadline and unknown without confirmation", workers: 1, run: func(s *stage) {
			id := s.submit(s.task("urgent", 1))
			s.tick(2 * time.Second)
			s.Equal(len(s.stops), 1)
			s.tick(50 * time.Millisecond)
			s.Equal(len(s.answers), 0)
			s.tick(50 * time.Millisecond)
			s.Equal(s.answers[id].Outcome, cwmodel.OutcomeUnknown)
			s.Equal(s.d.Load().Running, 1) // its capacity stays taken
			s.end(s.starts[0].Attempt, cwmodel.EndStopped)
			s.Equal(s.d.Load().Running, 0)
		}},
		{name: "a stop at the deadline that is confirmed is a failure", workers: 1, run: func(s *stage) {
			id := s.submit(s.task("urgent", 1))
			s.tick(2 * time.Second)
			s.end(s.starts[0].Attempt, cwmodel.EndStopped)
			s.Equal(s.answers[id].Outcome, cwmodel.OutcomeFailed)
			s.Equal(s.answers[id].Reason, cwmodel.ReasonDeadlineExceeded)
		}},
		{name: "a lost attempt is repeated only once it is certainly over", workers: 2, run: func(s *stage) {
			t := s.task("urgent", 1)
			t.Deadline = s.now.Add(time.Minute)
			id := s.submit(t)
			s.d.LoseWorker(s.now, s.starts[0].Attempt.Worker, s.now)
			s.tick(4 * time.Second)
			s.Equal(s.started(id), 1)
			s.tick(time.Second)
			s.tick(time.Second)
			s.Equal(s.started(id), 2)
		}},
		{name: "a late whole answer of a lost attempt counts", workers: 2, run: func(s *stage) {
			t := s.task("urgent", 1)
			t.Deadline = s.now.Add(time.Minute)
			id := s.submit(t)
			s.d.LoseWorker(s.now, s.starts[0].Attempt.Worker, s.now)
			for range 10 {
				s.tick(time.Second)
			}
			s.Equal(s.started(id), 2)
			s.end(s.starts[0].Attempt, cwmodel.EndDone)
			s.Equal(s.answers[id].Outcome, cwmodel.OutcomeDone)
			s.Equal(len(s.stops), 1) // the second attempt
		}},
		{name: "a lost attempt that is not repeatable is unknown, never not-run", workers: 2, run: func(s *stage) {
			t := s.task("urgent", 1)
			t.Repeatable = false
			id := s.submit(t)
			s.d.LoseWorker(s.now, s.starts[0].Attempt.Worker, s.now)
			s.tick(10 * time.Second)
			s.Equal(s.answers[id].Outcome, cwmodel.OutcomeUnknown)
		}},
		{name: "a durable task in an inventory is adopted", workers: 0, run: func(s *stage) {
			attempt := cwmodel.Attempt{Task: "job-1", Number: 3, Worker: "w0"}
			s.addWorker("w0", []cwmodel.RunningTask{{Attempt: attempt, Profile: "best", Team: "a", Kind: cwmodel.KindBatch, Demand: cwmodel.Resources{Slots: 1}, Durable: true}})
			s.True(s.d.HasTask("job-1"))
			s.cancel("job-1")
			s.Equal(s.stops[0].Attempt, attempt)
			s.end(attempt, cwmodel.EndStopped)
			s.Equal(s.answers["job-1"].Outcome, cwmodel.OutcomeCancelled)
		}},
	})
}

func TestGangs(t *testing.T) {
	runCases(t, []policyCase{
		{name: "a large task is not starved by small ones", workers: 1, run: func(s *stage) {
			s.fill("urgent", 8)
			gang := s.task("gangs", 8)
			gang.Job = "job"
			s.d.SubmitGang(s.now, []cwmodel.Task{gang})
			for n := 0; n < 40 && s.started(gang.ID) == 0; n++ {
				s.submit(s.task("urgent", 1))
				s.end(s.starts[n].Attempt, cwmodel.EndDone)
				s.tick(100 * time.Millisecond)
			}
			s.Equal(s.started(gang.ID), 1)
		}},
		{name: "a gang is spread over racks", workers: 4, run: func(s *stage) {
			var tasks []cwmodel.Task
			for range 4 {
				t := s.task("gangs", 1)
				t.Job = "job"
				tasks = append(tasks, t)
			}
			s.d.SubmitGang(s.now, tasks)
			s.collect()
			used := map[cwmodel.HostID]bool{}
			for _, a := range s.starts {
				used[a.Attempt.Worker] = true
			}
			s.Equal(len(used), 4)
		}},
		{name: "a held gang starts at its commit and not after its expiry", workers: 1, run: func(s *stage) {
			s.Equal(s.d.Hold(s.now, "job", []cwmodel.Task{s.task("gangs", 4), s.task("gangs", 4), s.task("gangs", 4)}, s.now.Add(time.Second)), 2)
			s.True(s.d.CommitHold(s.now, "job"))
			s.collect()
			s.Equal(len(s.starts), 2)
			for n := range 2 {
				s.end(s.starts[n].Attempt, cwmodel.EndDone)
			}
			s.Equal(s.d.Hold(s.now, "next", []cwmodel.Task{s.task("gangs", 4)}, s.now.Add(time.Second)), 1)
			s.tick(time.Second)
			s.True(!s.d.CommitHold(s.now, "next"))
			s.Equal(s.d.Load().Free, capacity)
		}},
	})
}

func TestFaults(t *testing.T) {
	runCases(t, []policyCase{
		{name: "a worker that fails everything gets no more work", workers: 5, run: func(s *stage) {
			for range 30 {
				s.submit(s.task("urgent", 1))
				last := s.starts[len(s.starts)-1].Attempt
				if last.Worker == "w0" {
					s.end(last, cwmodel.EndFailed)
					continue
				}
				s.end(last, cwmodel.EndDone)
			}
			failed := 0
			for _, a := range s.answers {
				if a.Outcome == cwmodel.OutcomeFailed {
					failed++
				}
			}
			s.True(failed <= 5)
		}},
		{name: "memory beyond the worker stops what exceeds its size", workers: 1, run: func(s *stage) {
			for range 2 {
				t := s.task("urgent", 1)
				t.Demand.MemoryBytes = 8
				s.submit(t)
			}
			s.d.UpdateUsage(s.now, []cwmodel.Usage{{Task: s.starts[1].Task.ID, At: s.now, Used: cwmodel.Resources{MilliProcessors: 1000, MemoryBytes: 12}}})
			s.collect()
			s.Equal(len(s.stops), 1)
			s.Equal(s.stops[0].Attempt, s.starts[1].Attempt)
		}},
	})
}
