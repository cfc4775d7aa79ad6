package cwcell

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// drawStep draws one step of a job.
func drawStep(t *rapid.T, number int) cwwork.Step {
	s := cwwork.Step{
		Count:          rapid.IntRange(1, 5).Draw(t, "count"),
		Demand:         cwmodel.Resources{MilliProcessors: int64(rapid.IntRange(500, 6000).Draw(t, "processors")), MemoryBytes: 1 << 28},
		Estimate:       time.Duration(rapid.IntRange(100, 3000).Draw(t, "estimate")) * time.Millisecond,
		Gang:           rapid.Bool().Draw(t, "gang"),
		Checkpointable: rapid.Bool().Draw(t, "saves"),
	}
	if rapid.IntRange(0, 3).Draw(t, "apart") == 0 {
		s.MaxPerWorker = 2
	}
	if rapid.IntRange(0, 3).Draw(t, "long") == 0 {
		s.Estimate = time.Duration(rapid.IntRange(3000, 12_000).Draw(t, "estimate")) * time.Millisecond
	}
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		s.Opportunistic = true
	case 1:
		s.TailLatencyLimit = time.Second
	}
	if number > 0 && rapid.Bool().Draw(t, "after") {
		s.DependsOn = []int{number - 1}
	}
	return s
}

// TestNothingRunsTwiceUnderFaults asserts the guarantees of the cell under faults: no worker is overcommitted, no task
// runs twice at once or again after it was done, no step starts before its dependencies are done, no task starts after
// its attempts are exhausted, and all jobs end once the faults have ceased.
func TestNothingRunsTwiceUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newFaultyCluster(t)
		for n := range rapid.IntRange(3, 12).Draw(t, "events") {
			injectEvent(t, c, n)
			c.advance(time.Duration(rapid.IntRange(50, 1500).Draw(t, "pause")) * time.Millisecond)
		}
		c.ceaseFaults(t)
	})
}

// TestNothingRunsTwiceAfterRestartsUnderOwners guards against tasks that run twice because an owner knows too little of what former owners have
// left on a worker that restarted shortly before it took over: leases that they granted on a deadline for the clock of the process before, and
// their calls that are still to be carried out.
func TestNothingRunsTwiceAfterRestartsUnderOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newFaultyCluster(t)
		for n := range rapid.IntRange(1, 3).Draw(t, "jobs") {
			s := &cwwork.Submission{ID: cwmodel.JobID(fmt.Sprintf("job%02d", n)), Queue: "q", Steps: []cwwork.Step{drawStep(t, 0)}}
			s.Steps[0].Estimate = time.Duration(rapid.IntRange(6000, 12_000).Draw(t, "estimate")) * time.Millisecond
			c.submit(s)
		}
		for range rapid.IntRange(1, 2).Draw(t, "restarts") {
			c.advance(time.Duration(rapid.IntRange(50, 1500).Draw(t, "pause")) * time.Millisecond)
			restartSome(t, c, c.workers[rapid.IntRange(0, len(c.workers)-1).Draw(t, "worker")])
			c.advance(5 * time.Second)
		}
		c.advance(5 * time.Second)
		c.ceaseFaults(t)
	})
}

// newFaultyCluster returns a cluster of six workers with an owner, whose calls fail at random.
func newFaultyCluster(t *rapid.T) *cluster {
	policy := cwwork.QueuePolicy{Service: "portal", MaxAttempts: 3, Stretch: 2, TargetLatency: time.Second}
	seed := rapid.Uint64().Draw(t, "seed")
	random := rand.New(rand.NewPCG(seed, seed))
	c := newCluster(6, policy, random.IntN)
	c.clockIntN = random.IntN
	c.takeOver()
	c.advance(300 * time.Millisecond)
	c.faults = true
	return c
}

// ceaseFaults ends all faults, and checks that nothing was violated and that all jobs end.
func (c *cluster) ceaseFaults(t *rapid.T) {
	c.faults = false
	for _, w := range c.workers {
		w.partitioned = false
		c.currentOwner().cutOff = nil
		c.resize(w, 8000)
		c.currentOwner().cell.UpdateWorker(w.info, c.now)
	}
	c.advance(60*time.Second + c.longWork())
	if len(c.violations) > 0 {
		t.Fatalf("%s\n%s", strings.Join(c.violations, "\n"), strings.Join(c.history, "\n"))
	}
	for id := range c.jobs {
		if _, ended := c.ended[id]; !ended {
			t.Errorf("job %s has not ended: %s\n%s", id, describeJob(c.currentOwner().cell, id), strings.Join(c.history, "\n"))
		}
	}
}

// restartSome lets a worker, or all of its rack, restart shortly before a change of the owner and a cut.
func restartSome(t *rapid.T, c *cluster, w *simWorker) {
	list := []*simWorker{w}
	if rapid.Bool().Draw(t, "rack") {
		list = slices.DeleteFunc(slices.Clone(c.workers), func(other *simWorker) bool { return other.info.Rack != w.info.Rack })
	}
	c.restartUnderOwners(list, rapid.Bool().Draw(t, "returns"))
}

// longWork returns the time by which the tasks of all jobs that take longer than 3 s delay their ends, if each is started as often as its
// policy allows.
func (c *cluster) longWork() (d time.Duration) {
	for _, s := range c.jobs {
		for n := range s.Steps {
			d += time.Duration(c.policy.MaxAttempts) * max(0, s.Steps[n].Estimate-3*time.Second)
		}
	}
	return d
}

// injectEvent submits a job, adds a new owner, cuts the owner off from the other racks, or makes a worker crash, lose or regain its
// connection, drain, disappear, change its capacity, restart behind a cut, or restart alone or with its rack shortly before a change of the
// owner and a cut.
// n is the number of the event and names the job.
func injectEvent(t *rapid.T, c *cluster, n int) {
	w := c.workers[rapid.IntRange(0, len(c.workers)-1).Draw(t, "worker")]
	switch rapid.IntRange(0, 16).Draw(t, "event") {
	case 0, 1, 2:
		s := &cwwork.Submission{ID: cwmodel.JobID(fmt.Sprintf("job%02d", n)), Queue: "q"}
		for step := range rapid.IntRange(1, 3).Draw(t, "steps") {
			s.Steps = append(s.Steps, drawStep(t, step))
		}
		c.submit(s)
	case 3:
		c.takeOver()
	case 4:
		c.crash(w)
	case 5:
		w.partitioned = !w.partitioned
	case 6:
		w.info.Draining = !w.info.Draining
		for _, o := range c.owners {
			o.cell.UpdateWorker(w.info, c.now)
		}
		w.info.Draining = false
	case 7:
		c.workers[0].alive, c.workers[0].returnsAt = false, time.Time{} // permanently
	case 8:
		c.cutOffOwner(w)
	case 11:
		if w.alive {
			c.crashFor(w, 3*time.Second, rapid.Bool().Draw(t, "replaced"))
		}
	case 12, 13:
		if w.alive {
			c.restartBehindCut(w)
		}
	case 14, 15, 16:
		restartSome(t, c, w)
	case 9, 10:
		c.resize(w, int64(rapid.IntRange(1, 8).Draw(t, "capacity"))*1000)
	}
}

// describeJob returns the cell's state of a job.
func describeJob(c *Cell, id cwmodel.JobID) (text string) {
	j, ok := c.jobs[id]
	if !ok {
		return "unknown job"
	}
	for _, o := range j.occurrences {
		for _, g := range o.groups {
			text += fmt.Sprintf(" %s waiting=%d unfinished=%d queued=%v", g.key, g.waiting, g.unfinished, g.queued)
			for n := range g.tasks {
				for _, r := range g.tasks[n].runs {
					text += fmt.Sprintf(" %d:%s on %s run %d", n, r.state, r.worker.ID, r.number)
				}
			}
		}
	}
	return text
}
