package cwcell

import (
	"fmt"
	"math/rand/v2"
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

// TestNothingRunsTwiceUnderFaults holds the promises of the cell: no worker is overfilled, nothing runs twice or after it
// was done, no step starts early, no task fails more often than it may, and whatever the faults, all jobs end once they are
// over.
func TestNothingRunsTwiceUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := cwwork.QueuePolicy{Service: "portal", MaxAttempts: 3, Stretch: 2, TargetLatency: time.Second}
		seed := rapid.Uint64().Draw(t, "seed")
		random := rand.New(rand.NewPCG(seed, seed))
		w := newWorld(6, policy, random.IntN)
		w.takeOver()
		w.advance(300 * time.Millisecond)
		w.faults = true
		for n := range rapid.IntRange(3, 12).Draw(t, "events") {
			event(t, w, n)
			w.advance(time.Duration(rapid.IntRange(50, 1500).Draw(t, "pause")) * time.Millisecond)
		}
		w.faults = false
		for _, m := range w.workers {
			m.cut = false
			w.owner().cell.UpdateWorker(m.info, w.now)
		}
		w.advance(60 * time.Second)
		if len(w.broken) > 0 {
			t.Fatalf("%s\n%s", strings.Join(w.broken, "\n"), strings.Join(w.history, "\n"))
		}
		for id := range w.jobs {
			if _, over := w.ended[id]; !over {
				t.Errorf("job %s has not ended: %s", id, describe(w.owner().cell, id))
			}
		}
	})
}

func event(t *rapid.T, w *world, n int) {
	m := w.workers[rapid.IntRange(0, len(w.workers)-1).Draw(t, "worker")]
	switch rapid.IntRange(0, 7).Draw(t, "event") {
	case 0, 1, 2:
		s := &cwwork.Submission{ID: cwmodel.JobID(fmt.Sprintf("job%02d", n)), Queue: "q"}
		for step := range rapid.IntRange(1, 3).Draw(t, "steps") {
			s.Steps = append(s.Steps, drawStep(t, step))
		}
		w.submit(s)
	case 3:
		w.takeOver()
	case 4:
		w.crash(m)
	case 5:
		m.cut = !m.cut
	case 6:
		m.info.Draining = !m.info.Draining
		for _, o := range w.owners {
			o.cell.UpdateWorker(m.info, w.now)
		}
		m.info.Draining = false
	case 7:
		w.workers[0].up = false // for good
	}
}

// describe returns what a cell knows of a job.
func describe(c *Cell, id cwmodel.JobID) (text string) {
	j, ok := c.jobs[id]
	if !ok {
		return "not known"
	}
	for _, o := range j.occs {
		for _, g := range o.groups {
			text += fmt.Sprintf(" %s waiting=%d left=%d open=%v", g.key, g.waiting, g.left, g.isOpen)
			for n := range g.tasks {
				for _, r := range g.tasks[n].runs {
					text += fmt.Sprintf(" %d:%s on %s run %d", n, r.state, r.worker.ID, r.number)
				}
			}
		}
	}
	return text
}
