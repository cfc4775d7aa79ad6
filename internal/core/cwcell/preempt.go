package cwcell

import (
	"slices"
	"time"

	"currantward/internal/core/cwwork"
)

// countRun adds n, which is negative for a run that ends, to the worker's counts of latency-sensitive and opportunistic runs.
func (w *worker) countRun(s *cwwork.Step, n int) {
	if s.TailLatencyLimit > 0 {
		w.latencySensitive += n
	}
	if s.Opportunistic {
		w.opportunistic += n
	}
}

// interfere reports whether tasks of the two steps must not run on one worker. Opportunistic tasks increase the response times of latency-sensitive
// ones by amounts that are not known beforehand, so the two are kept on separate workers.
func interfere(a, b *cwwork.Step) bool {
	return (a.Opportunistic && b.TailLatencyLimit > 0) || (a.TailLatencyLimit > 0 && b.Opportunistic)
}

// interferes reports whether a task of the step must not run beside the worker's present runs, as interfere tells.
func (w *worker) interferes(s *cwwork.Step) bool {
	return (s.Opportunistic && w.latencySensitive > 0) || (s.TailLatencyLimit > 0 && w.opportunistic > 0)
}

const (
	// preemptDelay is how long a long-running task waits for free capacity before other tasks are preempted for it.
	preemptDelay = time.Second
	// preemptPeriod gives preempted tasks time to end before more are preempted.
	preemptPeriod = time.Second
)

// preemption is the set of runs to stop on one worker so that a task fits there.
type preemption struct {
	victims  []*run
	lostWork time.Duration // processor time spent on the runs that are stopped
}

// preempt stops runs so that one waiting task of a long-running group fits, on the worker where the least work is lost. The
// task starts in a later pass, once the stopped runs have ended.
func (c *Cell) preempt(g *group, policy cwwork.QueuePolicy, now time.Time) {
	if now.Sub(g.waitingSince) < preemptDelay || now.Sub(g.lastPreemption) < preemptPeriod {
		return
	}
	var best preemption
	for _, w := range c.sortedWorkers() {
		if !w.isOpen() || !w.usable(now) || !c.isCompatibleEmpty(w, g, policy) || g.atAntiAffinityLimit(w) || (g.advice != nil && !g.advice.isEligible(w)) {
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

// victimsFor returns the runs to stop so that a task of the step fits on the worker: first those that interfere with it,
// then the most recently started ones. Runs that are already being stopped count as freed capacity, but are not returned.
// Long-running runs are never stopped. ok is false if the task cannot be made to fit, or no further run has to be stopped.
func (w *worker) victimsFor(s *cwwork.Step, now time.Time) (found preemption, ok bool) {
	if s.Opportunistic && w.latencySensitive > 0 {
		return preemption{}, false
	}
	free := w.free()
	reclaim := func(r *run) {
		free = free.Add(r.group.step.Demand)
		if r.state != runStopping {
			found.victims = append(found.victims, r)
			found.lostWork += now.Sub(r.orderedAt) * time.Duration(r.group.step.Demand.MilliProcessors) / milliPerProcessor
		}
	}
	var others []*run
	for _, r := range w.sortedRuns() {
		interferes := s.TailLatencyLimit > 0 && r.group.step.Opportunistic
		switch {
		case interferes && r.group.step.LongRunning:
			return preemption{}, false
		case interferes:
			reclaim(r)
		case !r.group.step.LongRunning:
			others = append(others, r)
		}
	}
	slices.SortStableFunc(others, func(a, b *run) int { return b.orderedAt.Compare(a.orderedAt) })
	for n := 0; n < len(others) && !s.Demand.FitsIn(free); n++ {
		reclaim(others[n])
	}
	return found, len(found.victims) > 0 && s.Demand.FitsIn(free)
}

// milliPerProcessor is the number of thousandths in one processor.
const milliPerProcessor = 1000
