package cwcell

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// simCrashes are the crashes of simulated workers that tasks cause, and what must hold about these tasks.
type simCrashes struct {
	crashing    map[cwwork.TaskKey]time.Duration // tasks that crash their worker, and the time from their start to the crash
	caused      map[cwwork.TaskKey]int           // crashes that the task has caused
	under       map[cwwork.TaskKey]int           // crashes of workers that ran the task
	startsAfter map[cwwork.TaskKey]int           // starts of the task after crashesOfRule of these
	downTime    time.Duration
	otherID     bool // a crashed worker returns as another worker at its address
	noFailures  bool // no run ends as failed
	dark        bool // connections to a crashed worker stay open, so that its owner learns of the crash with its next poll
}

func newSimCrashes() simCrashes {
	return simCrashes{
		crashing: map[cwwork.TaskKey]time.Duration{}, caused: map[cwwork.TaskKey]int{}, under: map[cwwork.TaskKey]int{}, startsAfter: map[cwwork.TaskKey]int{},
		downTime: 3 * time.Second,
	}
}

// The users' rule: after crashesOfRule crashes under a task, it may be started fewer than maxFurtherStarts times.
const (
	crashesOfRule    = 3
	maxFurtherStarts = 3
)

// crashesToGiveUp is the number of crashes under a task after which the users' rule lets it be given up.
const crashesToGiveUp = 2

// crashUnder crashes a worker because of the task that it runs.
func (c *cluster) crashUnder(w *simWorker, key cwwork.TaskKey) {
	c.record("%s: %s crashes it", w.info.ID, key)
	c.crashes.caused[key]++
	c.crashFor(w, c.crashes.downTime, c.crashes.otherID)
}

// crashFor crashes a worker, which returns after some time, under its ID or as another worker at its address.
func (c *cluster) crashFor(w *simWorker, downTime time.Duration, otherID bool) {
	c.record("%s: down for %s", w.info.ID, downTime)
	for key := range w.runs {
		c.crashes.under[key]++
	}
	w.alive, w.runs, w.ended = false, map[cwwork.TaskKey]*simRun{}, nil
	for _, o := range c.owners {
		if !c.crashes.dark && !o.superseded && !o.cutOff[w.info.ID] && !w.partitioned {
			c.delayedCalls = append(c.delayedCalls, delayedCall{c.now.Add(20 * time.Millisecond), func() { o.cell.MarkDisconnected(w.info.ID, c.now) }})
		}
	}
	c.delayedCalls = append(c.delayedCalls, delayedCall{c.now.Add(downTime), func() {
		if !otherID {
			w.alive = true
			c.crash(w)
			return
		}
		w.replaced = true
		info := w.info
		info.ID, info.Incarnation = cwmodel.HostID(fmt.Sprintf("%s-%d", strings.SplitN(string(info.ID), "-", 2)[0], c.now.UnixMilli())), c.now
		c.addWorker(info)
		c.record("%s: replaces %s", info.ID, w.info.ID)
		for _, o := range c.owners {
			if !o.superseded {
				o.cell.UpdateWorker(info, c.now)
				o.cell.MarkMembersDurable([]cwmodel.HostID{info.ID})
			}
		}
	}})
}

// checkCrashes checks that a task which crashes its workers is not started for ever.
func (c *cluster) checkCrashes(key cwwork.TaskKey) {
	if c.crashes.caused[key] < crashesOfRule {
		return
	}
	if c.crashes.startsAfter[key]++; c.crashes.startsAfter[key] == maxFurtherStarts {
		c.reportViolation("crashes: %s is started %d times more after %d crashes under it", key, maxFurtherStarts, crashesOfRule)
	}
}

// crashingJob returns a job of n tasks. Those with the indexes in crashing crash their workers some time after their start.
func (c *cluster) crashingJob(id cwmodel.JobID, n int, gang bool, delay time.Duration, crashing ...int) *cwwork.Submission {
	s := &cwwork.Submission{ID: id, Queue: "q", Steps: []cwwork.Step{step(n, 1000, gang)}}
	s.Steps[0].Estimate = 600 * time.Millisecond
	for _, index := range crashing {
		c.crashes.crashing[cwwork.TaskKey{StepKey: cwwork.StepKey{Job: id}, Index: index}] = delay
	}
	return s
}

// isCrashing reports whether a task of the job crashes its workers.
func (c *cluster) isCrashing(id cwmodel.JobID) bool {
	for key := range c.crashes.crashing {
		if key.Job == id {
			return true
		}
	}
	return false
}

// TestTaskThatCrashesItsWorkersIsGivenUp guards against a task that is started on one worker after another and crashes each, because a run
// that ends with its worker leaves no trace on its task. Other jobs, which lose runs to the same crashes, must not be given up.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	cases := []struct {
		name      string
		otherID   bool
		downTime  time.Duration
		delay     time.Duration   // from the start of the task to the crash; zero: before the start order is answered
		takeOvers []time.Duration // times at which another owner takes over
		silence   time.Duration   // time at which a worker is cut off for 5 s; zero: never
		dark      bool            // a crash resets no connection
		gang      bool
	}{
		{name: "returns under its ID", downTime: 3 * time.Second, delay: 10 * time.Millisecond},
		{name: "returns as another worker", otherID: true, downTime: 3 * time.Second, delay: 10 * time.Millisecond},
		{name: "falls silent", dark: true, downTime: 3 * time.Second, delay: 10 * time.Millisecond},
		{name: "returns at once", downTime: 40 * time.Millisecond, delay: 10 * time.Millisecond},
		{name: "returns after the leases are over", downTime: 9 * time.Second, delay: 10 * time.Millisecond},
		{name: "returns as another worker after the leases are over", otherID: true, downTime: 9 * time.Second, delay: 10 * time.Millisecond},
		{name: "crashes before the order is answered", downTime: 3 * time.Second},
		{name: "crashes some time after its start", downTime: 3 * time.Second, delay: 400 * time.Millisecond},
		{name: "another owner after each crash", otherID: true, downTime: 3 * time.Second, delay: 10 * time.Millisecond, takeOvers: []time.Duration{
			500 * time.Millisecond, 5 * time.Second, 9 * time.Second, 14 * time.Second, 19 * time.Second,
		}},
		{name: "another owner after each crash, under its ID", downTime: 3 * time.Second, delay: 10 * time.Millisecond, takeOvers: []time.Duration{
			500 * time.Millisecond, 5 * time.Second, 9 * time.Second, 14 * time.Second, 19 * time.Second,
		}},
		{name: "beside a worker that is cut off", downTime: 3 * time.Second, delay: 10 * time.Millisecond, silence: time.Second},
		{name: "in a gang", downTime: 3 * time.Second, delay: 10 * time.Millisecond, gang: true},
	}
	for _, tc := range cases {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%s, seed %d", tc.name, seed), func(t *testing.T) {
				c := newCluster(8, crashPolicy, rand.New(rand.NewPCG(seed, 29)).IntN)
				c.crashes.downTime, c.crashes.otherID, c.crashes.noFailures, c.crashes.dark = tc.downTime, tc.otherID, true, tc.dark
				c.takeOver()
				c.advance(2 * time.Second)
				start, takeOvers := c.now, tc.takeOvers
				for n := range 150 {
					if len(takeOvers) > 0 && c.now.Sub(start) >= takeOvers[0] {
						takeOvers = takeOvers[1:]
						c.takeOver()
					}
					c.workers[0].partitioned = tc.silence > 0 && c.now.Sub(start) >= tc.silence && c.now.Sub(start) < tc.silence+5*time.Second
					id := cwmodel.JobID(fmt.Sprintf("job%03d", n))
					if n%25 == 3 {
						c.submit(c.crashingJob(id, 4, tc.gang, tc.delay, n/25%4))
					} else {
						c.submit(c.crashingJob(id, 1+n%6, n%9 == 0, 0))
					}
					c.advance(submitPeriod)
				}
				c.advance(60 * time.Second)
				c.checkOutcomes(t)
			})
		}
	}
}

// submitPeriod separates the jobs of the tests with crashing workers.
const submitPeriod = 100 * time.Millisecond

// crashPolicy is the policy of the tests with crashing workers.
var crashPolicy = cwwork.QueuePolicy{Service: "portal", MaxAttempts: 3, Stretch: 2, TargetLatency: time.Second}

// checkOutcomes checks that the jobs with a crashing task have failed, that all others are completed, and that nothing was violated.
func (c *cluster) checkOutcomes(t *testing.T) {
	t.Helper()
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		state, want := c.ended[id], cwwork.StateCompleted
		if c.isCrashing(id) {
			want = cwwork.StateFailed
		}
		if state != want {
			t.Errorf("%s is %q, not %s: %s", id, state, want, describeJob(c.currentOwner().cell, id))
		}
		if most := c.mostCrashes(id); state == cwwork.StateFailed && most < crashesToGiveUp {
			t.Errorf("%s was given up after %d crashes under a task", id, most)
		}
	}
	if len(c.violations) > 0 || t.Failed() {
		t.Fatalf("%s\n%s", strings.Join(c.violations, "\n"), lastLines(c.history, 400))
	}
}

// mostCrashes returns the highest number of crashes under a task of the job.
func (c *cluster) mostCrashes(id cwmodel.JobID) (most int) {
	for key, n := range c.crashes.under {
		if key.Job == id {
			most = max(most, n)
		}
	}
	return most
}

// lastLines joins the last n lines.
func lastLines(lines []string, n int) string { return strings.Join(lines[max(0, len(lines)-n):], "\n") }

// TestBystandersOfCrashesAreNotGivenUp guards against tasks that are taken for the cause of crashes which have another one: workers crash
// in series by themselves, several at once.
func TestBystandersOfCrashesAreNotGivenUp(t *testing.T) {
	cases := []struct {
		name    string
		otherID bool
		workers int           // that crash at once, of ten
		first   time.Duration // time of the first of these crashes
		period  time.Duration // of the further ones
	}{
		{"one after another", false, 1, 2 * time.Second, 4 * time.Second},
		{"three at once", false, 3, 2 * time.Second, 4 * time.Second},
		{"three at once, and return as other workers", true, 3, 2 * time.Second, 4 * time.Second},
		{"seven are down on average", false, 3, 600 * time.Millisecond, 1300 * time.Millisecond},
		{"seven are down on average, and return as other workers", true, 3, 600 * time.Millisecond, 1300 * time.Millisecond},
	}
	for _, tc := range cases {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%s, seed %d", tc.name, seed), func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 30))
				c := newCluster(10, crashPolicy, random.IntN)
				c.crashes.noFailures = true
				c.takeOver()
				c.advance(2 * time.Second)
				for n := range 200 {
					c.submit(c.crashingJob(cwmodel.JobID(fmt.Sprintf("job%03d", n)), 1+n%6, n%9 == 0, 0))
					if at := time.Duration(n) * submitPeriod; at >= tc.first && (at-tc.first)%tc.period == 0 {
						c.crashSome(tc.workers, tc.otherID, random)
					}
					c.advance(submitPeriod)
				}
				c.advance(40 * time.Second)
				c.checkOutcomes(t)
			})
		}
	}
}

// crashSome crashes up to n of the live workers at once.
func (c *cluster) crashSome(n int, otherID bool, random *rand.Rand) {
	up := slices.DeleteFunc(slices.Clone(c.workers), func(w *simWorker) bool { return !w.alive })
	for _, k := range random.Perm(len(up))[:min(n, len(up))] {
		c.crashFor(up[k], 3*time.Second, otherID)
	}
}

// TestSuspectsStartBesideLastingTasks guards against tasks that never start again after a crash of their worker: they wait for a worker without any
// run, and a service has a lasting task on each.
func TestSuspectsStartBesideLastingTasks(t *testing.T) {
	const workers = 7
	cases := []struct {
		name     string
		tasks    int           // that lose their runs
		estimate time.Duration // of these tasks
		crashes  int           // of their workers
		pause    time.Duration // from the start of a run to the crash
	}{
		{"started just before a crash", 4, 700 * time.Millisecond, 1, 200 * time.Millisecond},
		{"at work in three crashes", 2, 12 * time.Second, 3, 2 * time.Second},
	}
	for _, tc := range cases {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%s, seed %d", tc.name, seed), func(t *testing.T) {
				c := newCluster(workers, crashPolicy, rand.New(rand.NewPCG(seed, 45)).IntN)
				c.crashes.noFailures = true
				c.takeOver()
				c.advance(2 * time.Second)
				service := &cwwork.Submission{ID: "service", Queue: "q", Steps: []cwwork.Step{{
					Count: workers, Demand: cwmodel.Resources{MilliProcessors: 500}, Estimate: time.Second, LongRunning: true, MaxPerWorker: 1,
				}}}
				c.submit(service)
				c.advance(15 * time.Second)
				s := c.crashingJob("job", tc.tasks, false, 0)
				s.Steps[0].Estimate = tc.estimate
				c.submit(s)
				for range tc.crashes {
					w := c.awaitRun(t, "job")
					c.advance(tc.pause)
					c.crashFor(w, 3*time.Second, false)
				}
				c.advance(14*time.Second + tc.estimate + time.Duration(tc.tasks)*longProbation)
				if c.ended["job"] != cwwork.StateCompleted || len(c.violations) > 0 {
					t.Fatalf("job is %q: %s\n%s\n%s", c.ended["job"], describeJob(c.currentOwner().cell, "job"), strings.Join(c.violations, "\n"), lastLines(c.history, 60))
				}
			})
		}
	}
}

// awaitRun advances the clock until a worker runs the first task of a job, and returns the worker. It gives up after a minute.
func (c *cluster) awaitRun(t *testing.T, id cwmodel.JobID) *simWorker {
	t.Helper()
	for end := c.now.Add(time.Minute); c.now.Before(end); c.advance(20 * time.Millisecond) {
		for _, w := range c.workers {
			if w.alive && w.runs[cwwork.TaskKey{StepKey: cwwork.StepKey{Job: id}}] != nil {
				return w
			}
		}
	}
	t.Fatalf("no worker runs %s: %s", id, describeJob(c.currentOwner().cell, id))
	return nil
}
