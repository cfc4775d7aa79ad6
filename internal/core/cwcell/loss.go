package cwcell

import (
	"maps"
	"slices"
	"time"

	"currantward/internal/core/cwevidence"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

const (
	// doubtExpiry is how long it may take to learn whether a silent worker has crashed.
	doubtExpiry = 15 * time.Second
	// suspectedCrashMemory is how long a crash is remembered whose suspects have neither lived on nor been given up.
	suspectedCrashMemory = time.Minute
)

// lossReason is why a run was lost without a reported end.
type lossReason string

const (
	lostLeaseExpired    lossReason = "leases-over"      // its worker was unreachable until its leases expired
	lostLateCallsOver   lossReason = "late-calls-over"  // the same, and until each call that could start it or extend them was carried out
	lostWorkerGone      lossReason = "worker-gone"      // its worker was unreachable until its leases expired, and has no entry in the platform's list any more
	lostWorkerRestarted lossReason = "worker-restarted" // it belonged to an earlier incarnation of its worker
	lostWorkerReplaced  lossReason = "worker-replaced"  // the process of another worker answers at the address of its worker
	lostMissing         lossReason = "vanished"         // its worker's report does not contain it
)

// suspectedCrash is a crash that a run in its CrashWindow may have caused.
type suspectedCrash struct {
	ended    []doubt // runs that it has ended
	suspects int     // runs in their CrashWindow whose tasks have not lived on since
	provenAt time.Time
}

// doubt refers to the loss of a run on a worker of which it is not known whether it has crashed.
type doubt struct {
	group *group
	index int // of the task
	run   int
}

// loss returns the loss that the doubt is about, or nil if it was dropped.
func (d *doubt) loss() *cwevidence.Loss { return d.group.tasks[d.index].losses.Find(d.run) }

// loseRun releases a run that has certainly ended although its end was not reported, and stops the other members of its
// gang.
func (c *Cell) loseRun(r *run, reason lossReason, now time.Time) {
	c.log(LogEntry{Event: "run-lost", Job: r.group.job.ID, Task: r.key(), Worker: r.worker.ID, Run: r.number, Detail: string(reason), Incarnation: r.incarnation, Survived: new(r.survived())})
	if reason != lostMissing || r.belongsToEarlierIncarnation() {
		c.recordLoss(r, now)
		r.lost = true
	}
	c.releaseRun(r, now)
	if g := r.group; g.step.Gang && !g.tasks[r.taskIndex].done {
		c.stopMembers(g, r.number)
	}
}

// survived returns how long the run is known to have lived: from its confirmed start to the last response of its worker; 0 if no
// response shows that it has started.
func (r *run) survived() time.Duration {
	if r.confirmedAt.IsZero() {
		return 0
	}
	lastResponse := r.worker.lastResponse
	if r.belongsToEarlierIncarnation() {
		lastResponse = r.worker.priorLastResponse
	}
	return max(0, lastResponse.Sub(r.confirmedAt))
}

// recordLoss records that a run has ended with its worker, or may have, if its worker is silent. It ignores runs that were not ordered,
// those of decided jobs and done tasks, and those of workers that leave as announced.
func (c *Cell) recordLoss(r *run, now time.Time) {
	g, t := r.group, &r.group.tasks[r.taskIndex]
	if r.state == runPlanned || r.orderedTo.IsZero() || r.worker.Draining || t.done || g.job.outcome != "" {
		return
	}
	early := r.survived() < cwevidence.CrashWindow
	// An isolated run whose order got no answer counts as started: nothing else can have crashed the worker.
	started := r.isKnownStarted() || r.isolated
	if l := t.losses.Find(r.number); l != nil {
		if l.Early != early || l.Started != started {
			l.Early, l.Started = early, started
			c.markDirty(g.job)
		}
		return
	}
	t.losses = append(t.losses, cwevidence.Loss{RecordedAt: now, Resumed: r.resumed, LostRun: cwwork.LostRun{
		TaskRun: cwwork.TaskRun{Index: r.taskIndex, Run: r.number}, Worker: r.worker.ID, Incarnation: r.orderedTo, Early: early, Alone: r.isolated, Started: started, Term: c.opts.Term,
	}})
	c.addDoubt(g, r.taskIndex, r.number, r.worker.ID)
	if early {
		c.markDirty(g.job)
	}
}

// addDoubt registers a loss until resolveLosses decides whether the worker has crashed.
func (c *Cell) addDoubt(g *group, index, run int, worker cwmodel.HostID) {
	g.hasLosses = true
	c.doubts[worker] = append(c.doubts[worker], doubt{g, index, run})
}

// dropLoss removes the loss of a run that did not end with its worker, if there is one.
func (c *Cell) dropLoss(g *group, index, run int) {
	l, ok := g.tasks[index].losses.Remove(run)
	if !ok {
		return
	}
	if l.Counts() && g.job.outcome == "" {
		c.markDirty(g.job)
	}
	c.markChanged(g)
}

// resolveLosses decides about the runs that were lost on a worker which has answered, or whose process has been replaced: those of an
// earlier process have ended by its crash, unless it left as announced. Those of the present one have not.
func (c *Cell) resolveLosses(w *worker, now time.Time) {
	var crashed, open []doubt
	for _, d := range c.doubts[w.ID] {
		l, r := d.loss(), w.runs[cwwork.TaskKey{StepKey: d.group.key, Index: d.index}]
		isTracked := r != nil && r.number == d.run
		switch {
		case l == nil || d.group.job.outcome != "" || d.group.tasks[d.index].done: // the loss does not matter any more
		case isTracked && (r.isolated || !r.incarnation.Equal(w.Incarnation)):
			open = append(open, d) // it may still run
		case isTracked || w.Draining || (!w.replaced && l.Incarnation.Equal(w.Incarnation)):
			c.dropLoss(d.group, d.index, d.run)
		default:
			crashed = append(crashed, d)
		}
	}
	if c.doubts[w.ID] = open; len(open) == 0 {
		delete(c.doubts, w.ID)
	}
	c.countCrash(w, crashed, now)
}

// countCrash counts a proven crash against the tasks whose runs it has ended, and gives up those with enough evidence against them.
func (c *Cell) countCrash(w *worker, crashed []doubt, now time.Time) {
	early := 0
	hasLikelyCause := slices.ContainsFunc(crashed, func(d doubt) bool { return d.loss().Early && c.crashMemory.HasGivenUp(d.group.job.Queue, now) })
	for _, d := range crashed {
		l := d.loss()
		l.Crashed = true
		if hasLikelyCause && !c.crashMemory.HasGivenUp(d.group.job.Queue, now) {
			l.Early = false // a task of the queue with culprits is the likely cause
		}
		if l.Early {
			early++
		}
		if l.Early && l.Resumed {
			d.group.dropCheckpoints(d.index)
		}
		c.markDirty(d.group.job)
		c.markChanged(d.group)
		c.log(LogEntry{Event: "run-crashed", Job: d.group.job.ID, Task: cwwork.TaskKey{StepKey: d.group.key, Index: d.index}, Worker: w.ID, Run: d.run, Detail: l.Kind()})
	}
	switch {
	case early > 0:
		c.suspectedCrashes[crashed[0].loss().Crash()] = &suspectedCrash{crashed, early, now}
	case len(crashed) > 0:
		c.crashMemory.RecordUnrelated(now)
	}
	for _, d := range crashed {
		c.giveUpCulprit(d.group, d.index, now)
	}
}

// dropCheckpoints forgets the checkpoint of a task, or those of its gang: the run that resumed from it has crashed its worker.
func (g *group) dropCheckpoints(index int) {
	if !g.step.Gang {
		g.tasks[index].checkpoint = ""
		return
	}
	for n := range g.tasks {
		g.tasks[n].checkpoint = ""
	}
}

// giveUpCulprit fails the job of a task if the evidence suffices that it has crashed its workers.
func (c *Cell) giveUpCulprit(g *group, index int, now time.Time) {
	t := &g.tasks[index]
	if g.job.outcome != "" || t.done || !c.crashMemory.IsCulprit(t.losses, g.job.Queue, g.canIsolate(), now) {
		return
	}
	crashed := t.losses.Crashed()
	last := &crashed[len(crashed)-1]
	c.log(LogEntry{Event: "task-given-up", Job: g.job.ID, Task: cwwork.TaskKey{StepKey: g.key, Index: index}, Worker: last.Worker, Run: last.Run, Detail: crashed.String()})
	c.decideOutcome(g.job, cwwork.StateFailed)
	c.crashMemory.RecordGivenUp(g.job.Queue, now)
	for n := range crashed {
		c.attributeCrash(&crashed[n])
	}
}

// attributeCrash weakens the evidence of a crash against other tasks than the one that was given up for it: it counts as a late one, and not
// at all if that task has caused it alone.
func (c *Cell) attributeCrash(cause *cwevidence.Loss) {
	s, ok := c.suspectedCrashes[cause.Crash()]
	if !ok {
		return
	}
	delete(c.suspectedCrashes, cause.Crash())
	for _, d := range s.ended {
		l := d.loss()
		switch {
		case l == nil || d.group.job.outcome != "":
		case cause.Alone:
			c.dropLoss(d.group, d.index, d.run)
		case l.Early:
			l.Early = false
			c.markDirty(d.group.job)
			c.markChanged(d.group)
		}
	}
}

// clearSurvivor weakens the evidence against a task whose run has outlived its CrashWindow: its losses count as later ones. A crash whose
// suspects have all lived on had another cause.
func (c *Cell) clearSurvivor(g *group, index int) {
	t := &g.tasks[index]
	if t.losses.Early() == 0 {
		return
	}
	for n := range t.losses {
		l := &t.losses[n]
		if s, ok := c.suspectedCrashes[l.Crash()]; ok && l.Early && l.Crashed {
			if s.suspects--; s.suspects == 0 {
				c.crashMemory.RecordUnrelated(c.now)
				delete(c.suspectedCrashes, l.Crash())
			}
		}
		l.Early, l.Alone = false, l.Alone && l.Crashed
	}
	if g.job.outcome == "" {
		c.markDirty(g.job)
	}
	c.log(LogEntry{Event: "task-cleared", Job: g.job.ID, Task: cwwork.TaskKey{StepKey: g.key, Index: index}})
}

// expireDoubts drops the losses of which it was not learned in time whether their workers have crashed, and forgets old crashes.
func (c *Cell) expireDoubts(now time.Time) {
	for key, s := range c.suspectedCrashes {
		if now.Sub(s.provenAt) > suspectedCrashMemory {
			delete(c.suspectedCrashes, key)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.doubts)) {
		open := c.doubts[id][:0]
		for _, d := range c.doubts[id] {
			l := d.loss()
			w, known := c.workers[id]
			isTracked := known && w.runs[cwwork.TaskKey{StepKey: d.group.key, Index: d.index}] != nil
			switch {
			case l == nil:
			case isTracked || now.Before(c.doubtExpiryOf(l)):
				open = append(open, d)
			default:
				c.dropLoss(d.group, d.index, d.run)
			}
		}
		if c.doubts[id] = open; len(open) == 0 {
			delete(c.doubts, id)
		}
	}
}

// doubtExpiryOf returns the time from which on it is too late to learn whether the worker of a loss has crashed. For a loss of an earlier owner
// that is when no late call of it can have an effect any more; it does not move with later changes of the owner.
func (c *Cell) doubtExpiryOf(l *cwevidence.Loss) time.Time {
	expiry := l.RecordedAt.Add(doubtExpiry)
	if !l.Restored {
		return expiry
	}
	if bound, ok := c.opts.FormerOwners.CallsExpiry(l.Term); ok {
		return bound
	}
	return later(expiry, c.lateCallsExpiry())
}

// restoreLosses restores the stored losses of a group after a change of the owner.
func (c *Cell) restoreLosses(g *group, list []cwwork.LostRun, now time.Time) {
	for _, l := range list {
		if l.Index >= len(g.tasks) || g.tasks[l.Index].losses.Find(l.Run) != nil {
			continue
		}
		t := &g.tasks[l.Index]
		t.highestRun = max(t.highestRun, l.Run)
		t.losses = append(t.losses, cwevidence.Loss{LostRun: l, RecordedAt: now, Restored: true})
		g.hasLosses = true
		if !l.Crashed {
			c.addDoubt(g, l.Index, l.Run, l.Worker)
		}
	}
}

// awaitsProof reports whether the task must not be started before it is known how its earlier runs have ended: whether they have crashed their
// workers, or whether an order of an earlier owner that got no answer is still to be carried out.
func (c *Cell) awaitsProof(t *task) bool {
	if len(t.losses) == 0 {
		return false
	}
	exclusive := c.exclusiveUntil(c.now)
	return t.losses.AwaitsProof() || slices.ContainsFunc(t.losses, func(l cwevidence.Loss) bool {
		return l.IsUnanswered() && exclusive.Before(c.lateCallsExpiryOf(l.Term))
	})
}

// resolveRestoredLosses resolves the losses on the workers that have reported before the job with these losses was loaded.
func (c *Cell) resolveRestoredLosses(now time.Time) {
	for _, w := range c.sortedWorkers() {
		if len(c.doubts[w.ID]) > 0 && (w.replaced || (w.hasReported && !w.unreachable)) {
			c.resolveLosses(w, now)
		}
	}
}
