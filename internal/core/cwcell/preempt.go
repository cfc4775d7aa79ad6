package cwcell

import (
	"slices"
	"time"

	"currantward/internal/core/cwwork"
)

// countRun notes that a run of a step has come to the worker or left it.
func (w *worker) countRun(s *cwwork.Step, n int) {
	if s.TailLimit > 0 {
		w.latencySensitive += n
	}
	if s.Fills {
		w.bestEffort += n
	}
}

// interferes reports whether a task of the step may not run beside what the worker runs: tasks that fill slow the response
// times of those that serve users, by amounts that are not known beforehand, so the two are kept apart.
func (w *worker) interferes(s *cwwork.Step) bool {
	return (s.Fills && w.latencySensitive > 0) || (s.TailLimit > 0 && w.bestEffort > 0)
}

const (
	// preemptDelay is how long a long-running task waits for room to come free before others are stopped for it.
	preemptDelay = time.Second
	// preemptPeriod lets what was stopped end before more is.
	preemptPeriod = time.Second
)

// preemption is what has to be stopped on one worker so that a task finds room there.
type preemption struct {
	victims  []*run
	lostWork time.Duration // processor time that is thrown away
}

// preempt stops tasks for one waiting task of a long-running group, on the worker where that loses the least.
func (c *Cell) preempt(g *group, policy cwwork.Policy, now time.Time) {
	if now.Sub(g.waitingSince) < preemptDelay || now.Sub(g.lastPreemption) < preemptPeriod {
		return
	}
	var best preemption
	for _, w := range c.sortedWorkers() {
		if !w.usable(now) || !c.isCompatibleEmpty(w, g, policy) || g.atAntiAffinityLimit(w) || (g.advice != nil && !g.advice.isEligible(w)) {
			continue
		}
		if found, ok := w.victimsFor(g.step, now); ok && (best.victims == nil || found.lostWork < best.lostWork) {
			best = found
		}
	}
	if best.victims == nil {
		return
	}
	g.lastPreemption = now
	for _, r := range best.victims {
		c.log(LogEntry{Event: "run-preempted", Job: r.group.job.ID, Task: r.key(), Worker: r.worker.ID, Run: r.number, Detail: g.key.String()})
		c.stopRun(r)
	}
}

// victimsFor returns the runs to stop so that a task of the step finds room on the worker: those that disturb it, then the
// youngest ones, and none that runs until it is cancelled.
func (w *worker) victimsFor(s *cwwork.Step, now time.Time) (found preemption, ok bool) {
	if s.Fills && w.latencySensitive > 0 {
		return preemption{}, false
	}
	free := w.free()
	give := func(r *run) {
		free = free.Plus(r.group.step.Need)
		if r.state != runStopping {
			found.victims = append(found.victims, r)
			found.lostWork += now.Sub(r.orderedAt) * time.Duration(r.group.step.Need.MilliProcessors) / milliPerProcessor
		}
	}
	var others []*run
	for _, r := range w.sortedRuns() {
		disturbs := s.TailLimit > 0 && r.group.step.Fills
		switch {
		case disturbs && r.group.step.LongRunning:
			return preemption{}, false
		case disturbs:
			give(r)
		case !r.group.step.LongRunning:
			others = append(others, r)
		}
	}
	slices.SortStableFunc(others, func(a, b *run) int { return b.orderedAt.Compare(a.orderedAt) })
	for n := 0; n < len(others) && !s.Need.FitsIn(free); n++ {
		give(others[n])
	}
	return found, len(found.victims) > 0 && s.Need.FitsIn(free)
}

// milliPerProcessor of a processor make one.
const milliPerProcessor = 1000
