package cwcell

import (
	"math"
	"slices"
	"time"

	"currantward/internal/core/cwevidence"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// A task that may crash its workers is a suspect: it is started in isolation, on a worker whose other runs have all outlived its probation, and nothing
// else is started there until it has, too. A crash meanwhile is then its own.
const (
	// isolatedShareDivisor limits the workers that are kept for suspects to 1/isolatedShareDivisor of the usable ones.
	isolatedShareDivisor = 4
	// silentShareDivisor limits the silent workers that suspects may have crashed to 1/silentShareDivisor of all.
	silentShareDivisor = 3
	// longProbation is the probation of a suspect that stays isolated while it runs; that of the others is their CrashWindow.
	longProbation = 10 * time.Second
)

// isSuspectGang reports whether a member of the gang may have crashed its worker. Such a gang is not started in isolation, for which it would wait
// too long, but nothing else is started on its workers until it has outlived its CrashWindow.
func (c *Cell) isSuspectGang(g *group) bool {
	return g.hasLosses && slices.ContainsFunc(g.tasks, func(t task) bool { return c.crashMemory.IsSuspect(t.losses, c.now) })
}

// holdWorkers keeps further tasks off the workers of a gang's planned runs.
func (c *Cell) holdWorkers(runs []*run) {
	for _, r := range runs {
		r.worker.heldBy = r
	}
}

// canIsolate reports whether a task of the group can be started in isolation: the members of a gang start together.
func (g *group) canIsolate() bool { return !g.step.Gang || len(g.tasks) == 1 }

// isSuspect reports whether the task may have crashed its workers and must be started in isolation.
func (c *Cell) isSuspect(g *group, index int) bool {
	return g.hasLosses && g.canIsolate() && c.crashMemory.IsSuspect(g.tasks[index].losses, c.now)
}

// isWaitingSuspect reports whether the task is a suspect that waits and may be started.
func (c *Cell) isWaitingSuspect(g *group, index int) bool {
	t := &g.tasks[index]
	return !t.done && len(t.runs) == 0 && !c.now.Before(t.retryAt) && c.isSuspect(g, index) && !c.awaitsProof(t)
}

// waitingSuspects returns the number of suspects of the group that wait and may be started.
func (c *Cell) waitingSuspects(g *group) (n int) {
	if !g.hasLosses {
		return 0
	}
	for index := range g.tasks {
		if c.isWaitingSuspect(g, index) {
			n++
		}
	}
	return n
}

// isOpen reports whether the worker takes tasks that are not suspects: it is not kept for one, and its breaker has no probe.
func (w *worker) isOpen() bool {
	return w.heldBy == nil && w.cordonedFor == nil && w.breaker.probe == nil
}

// probation returns how long a suspect must have run to be cleared.
func (g *group) probation(index int) time.Duration {
	if g.tasks[index].losses.StaysIsolated() {
		return longProbation
	}
	return cwevidence.CrashWindow
}

// hasOutlived reports whether the run is known to have lived for a probation, so that a crash from now on is not taken for its own.
func (r *run) hasOutlived(probation time.Duration) bool {
	return r.state != runPlanned && !r.orderInFlight() && r.survived() >= probation
}

// mayIsolate reports whether a suspect may be started on the worker now.
func (w *worker) mayIsolate(g *group, index int) bool {
	for _, r := range w.runs {
		if !r.hasOutlived(g.probation(index)) {
			return false
		}
	}
	return g.step.Demand.FitsIn(w.free()) && !g.atAntiAffinityLimit(w)
}

// cordonWorkers keeps workers for the waiting suspects, those on which they can be started soonest, and opens those of the last call.
func (c *Cell) cordonWorkers(now, wall time.Time) {
	usable, isolated, silent := 0, 0, 0
	for _, w := range c.sortedWorkers() {
		if w.cordonedFor != nil {
			w.cordonedFor = nil
			c.markNewCapacity(w)
		}
		if w.usable(now) {
			usable++
		}
		switch {
		case w.heldBy == nil || !w.heldBy.isolated:
		case w.unreachable:
			silent++
		default:
			isolated++
			c.startIsolated(w.heldBy, now)
		}
	}
	vacancies := min(max(1, usable/isolatedShareDivisor)-isolated, max(1, len(c.workers)/silentShareDivisor)-silent-isolated)
	for _, g := range c.waitingGroups {
		if g.hasLosses && g.mayStart(now, wall) && c.runsReconciled(g.job, now) {
			vacancies -= c.cordonFor(g, vacancies, now)
		}
	}
}

// cordonFor keeps workers, limit at most, for the waiting suspects of a group, and returns how many.
func (c *Cell) cordonFor(g *group, limit int, now time.Time) (kept int) {
	shortest := time.Duration(math.MaxInt64) // probation for which there was no worker
	for index := 0; index < len(g.tasks) && kept < limit; index++ {
		probation := g.probation(index)
		if probation >= shortest || !c.isWaitingSuspect(g, index) {
			continue
		}
		if w := c.soonestIsolation(g, probation, now); w != nil {
			w.cordonedFor = g
			kept++
		} else {
			shortest = probation
		}
	}
	return kept
}

// soonestIsolation returns the open worker on which a suspect of the group can be started soonest, the one with the fewest runs of several, or nil if
// there is none.
func (c *Cell) soonestIsolation(g *group, probation time.Duration, now time.Time) (best *worker) {
	policy := c.policy(g.job)
	var bestAt time.Time
	for _, w := range c.sortedWorkers() {
		if !w.isOpen() || !w.usable(now) || !c.isCompatibleEmpty(w, g, policy) || (g.advice != nil && !g.advice.isEligible(w)) {
			continue
		}
		at, ok := c.isolationAt(w, g, probation, now)
		if ok && (best == nil || at.Before(bestAt) || (at.Equal(bestAt) && len(w.runs) < len(best.runs))) {
			best, bestAt = w, at
		}
	}
	return best
}

// isolationAt estimates when a suspect of the group can be started on the worker if nothing more is started there: all runs have ended or outlived
// its probation, and those beside which it can't run have ended. ok is false if that is not foreseeable, as tasks that last don't end.
func (c *Cell) isolationAt(w *worker, g *group, probation time.Duration, now time.Time) (at time.Time, ok bool) {
	at, free := now, w.free()
	fits, atLimit := g.step.Demand.FitsIn(free), g.atAntiAffinityLimit(w)
	var ends []expectedEnd
	for _, r := range w.runs {
		outlivesAt := now
		if !r.hasOutlived(probation) {
			outlivesAt = now.Add(probation - r.survived())
		}
		isExcluding := interfere(r.group.step, g.step) || (atLimit && r.group == g)
		if r.group.step.LongRunning {
			if isExcluding {
				return at, false
			}
			at = later(at, outlivesAt)
			continue
		}
		end := c.expectedEnd(r, now)
		if isExcluding || end.Before(outlivesAt) {
			outlivesAt = end
		}
		at = later(at, outlivesAt)
		if !fits {
			ends = append(ends, expectedEnd{end, r.group.step.Demand})
		}
	}
	slices.SortFunc(ends, func(a, b expectedEnd) int { return a.at.Compare(b.at) })
	for n := 0; !fits && n < len(ends); n++ {
		free, at = free.Add(ends[n].freed), later(at, ends[n].at)
		fits = g.step.Demand.FitsIn(free)
	}
	return at, fits
}

// placeSuspects plans the waiting suspects of a group on the workers that are kept for it. Each is started once its possible loss is
// durable, so that a later owner knows of it.
func (c *Cell) placeSuspects(g *group, policy cwwork.QueuePolicy, now time.Time) {
	if c.waitingSuspects(g) == 0 {
		return
	}
	for _, w := range c.sortedWorkers() {
		// A worker may have been kept for the group before the group needed advice.
		if w.cordonedFor != g || !w.usable(now) || !c.isCompatible(w, g, policy) || (g.advice != nil && !g.advice.isEligible(w)) {
			continue
		}
		for index := range g.tasks {
			if c.isWaitingSuspect(g, index) && w.mayIsolate(g, index) {
				c.isolate(g, index, w, now)
				break
			}
		}
	}
}

// isolate plans an isolated run of a suspect on a worker, and records its possible loss.
func (c *Cell) isolate(g *group, index int, w *worker, now time.Time) {
	t := &g.tasks[index]
	r := c.planRun(g, index, w, t.highestRun+1, now)
	r.isolated = true
	w.heldBy, w.cordonedFor = r, nil
	t.losses = append(t.losses, cwevidence.Loss{RecordedAt: now, LostRun: cwwork.LostRun{
		TaskRun: cwwork.TaskRun{Index: index, Run: r.number}, Worker: w.ID, Incarnation: r.orderedTo, Early: true, Alone: true, Term: c.opts.Term,
	}})
	c.addDoubt(g, index, r.number, w.ID)
	c.markDirty(g.job)
	r.requiredVersion = g.job.version
	c.log(LogEntry{Event: "task-isolated", Job: g.job.ID, Task: r.key(), Worker: w.ID, Run: r.number, Detail: t.losses[:len(t.losses)-1].String()})
	c.startIsolated(r, now)
}

// startIsolated orders a planned run of a suspect once its possible loss is durable and its ticket is valid, and releases it if its worker
// can't be used any more. It ignores runs that were ordered.
func (c *Cell) startIsolated(r *run, now time.Time) {
	g, w := r.group, r.worker
	switch {
	case !r.isolated || r.state != runPlanned:
	case c.paused || !w.mayOrder(now):
		c.releaseRun(r, now)
	case g.advice != nil && !g.advice.hasValidTicket(w, now):
		c.renewTicketsOfTasks(g, c.policy(g.job), []*worker{w}, now)
	case g.job.durableVersion >= r.requiredVersion:
		c.orderStart(r, now)
	}
}

// startIsolatedOf orders the planned runs of the suspects of a group that may be ordered now.
func (c *Cell) startIsolatedOf(g *group, now time.Time) {
	if !g.hasLosses || !g.canIsolate() {
		return
	}
	for index := range g.tasks {
		for _, r := range slices.Clone(g.tasks[index].runs) { // startIsolated may remove it
			c.startIsolated(r, now)
		}
	}
}

// noteSurvival clears the task of a run that has outlived its CrashWindow, or its probation if it is isolated, and ends its isolation.
func (c *Cell) noteSurvival(r *run) {
	if r.state != runRunning || r.survived() < cwevidence.CrashWindow {
		return
	}
	t := &r.group.tasks[r.taskIndex]
	if r.isolated && t.losses.StaysIsolated() {
		if r.survived() < longProbation {
			return
		}
		t.losses = slices.DeleteFunc(t.losses, func(l cwevidence.Loss) bool { return !l.Early })
	}
	c.clearSurvivor(r.group, r.taskIndex)
	r.isolated = false
	c.endHold(r)
}

// endHold opens the worker of a run to other tasks if it is held by the run.
func (c *Cell) endHold(r *run) {
	if r.worker.heldBy == r {
		r.worker.heldBy = nil
		c.markNewCapacity(r.worker)
	}
}

// AwaitsSurvival reports whether a worker should answer its next poll early: it is kept for a suspect until its runs have outlived their
// CrashWindow.
func (c *Cell) AwaitsSurvival(id cwmodel.HostID) bool {
	w, ok := c.workers[id]
	return ok && !w.isOpen()
}
