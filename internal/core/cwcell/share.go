package cwcell

import (
	"slices"
	"time"

	"currantward/internal/core/cwwork"
)

// countKind notes that a run of a step has come to the worker or left it.
func (w *worker) countKind(s *cwwork.Step, n int) {
	if s.TailLatencyLimit > 0 {
		w.serving += n
	}
	if s.Opportunistic {
		w.filling += n
	}
}

// disturbs reports whether a task of the step may not run beside what the worker runs: tasks that fill slow the response
// times of those that serve users, by amounts that are not known beforehand, so the two are kept apart.
func (w *worker) disturbs(s *cwwork.Step) bool {
	return (s.Opportunistic && w.serving > 0) || (s.TailLatencyLimit > 0 && w.filling > 0)
}

const (
	// preemptAfter is how long a long-running task waits for room to come free before others are stopped for it.
	preemptAfter = time.Second
	// preemptPeriod lets what was stopped end before more is.
	preemptPeriod = time.Second
)

// preemption is what has to be stopped on one worker so that a task finds room there.
type preemption struct {
	victims []*run
	loss    time.Duration // processor time that is thrown away
}

// preempt stops tasks for one waiting task of a long-running group, on the worker where that loses the least.
func (c *Cell) preempt(g *group, policy cwwork.QueuePolicy, now time.Time) {
	if now.Sub(g.since) < preemptAfter || now.Sub(g.preemptedAt) < preemptPeriod {
		return
	}
	var best preemption
	for _, w := range c.sortedWorkers() {
		if !w.usable(now) || !c.isOfKind(w, g, policy) || g.crowded(w) || (g.advice != nil && !g.advice.allows(w)) {
			continue
		}
		if found, ok := w.victimsFor(g.step, now); ok && (best.victims == nil || found.loss < best.loss) {
			best = found
		}
	}
	if best.victims == nil {
		return
	}
	g.preemptedAt = now
	for _, r := range best.victims {
		c.note(LogEntry{Event: "run-preempted", Job: r.group.job.ID, Task: r.key(), Worker: r.worker.ID, Run: r.number, Detail: g.key.String()})
		c.stop(r)
	}
}

// victimsFor returns the runs to stop so that a task of the step finds room on the worker: those that disturb it, then the
// youngest ones, and none that runs until it is cancelled.
func (w *worker) victimsFor(s *cwwork.Step, now time.Time) (found preemption, ok bool) {
	if s.Opportunistic && w.serving > 0 {
		return preemption{}, false
	}
	free := w.free()
	give := func(r *run) {
		free = free.Add(r.group.step.Demand)
		if r.state != runStopping {
			found.victims = append(found.victims, r)
			found.loss += now.Sub(r.ordered) * time.Duration(r.group.step.Demand.MilliProcessors) / thousandths
		}
	}
	var others []*run
	for _, r := range w.sorted() {
		disturbs := s.TailLatencyLimit > 0 && r.group.step.Opportunistic
		switch {
		case disturbs && r.group.step.LongRunning:
			return preemption{}, false
		case disturbs:
			give(r)
		case !r.group.step.LongRunning:
			others = append(others, r)
		}
	}
	slices.SortStableFunc(others, func(a, b *run) int { return b.ordered.Compare(a.ordered) })
	for n := 0; n < len(others) && !s.Demand.FitsIn(free); n++ {
		give(others[n])
	}
	return found, len(found.victims) > 0 && s.Demand.FitsIn(free)
}

// thousandths of a processor make one.
const thousandths = 1000
