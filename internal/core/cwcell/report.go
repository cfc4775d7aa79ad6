package cwcell

import (
	"strconv"
	"time"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// EndKind says how a run ended on its worker.
type EndKind string

// The closed set of kinds.
const (
	EndDone         EndKind = "done"
	EndFailed       EndKind = "failed"  // through its own fault or the worker's
	EndStopped      EndKind = "stopped" // on an order
	EndLeaseExpired EndKind = "lapsed"  // its lease was over
	EndGangBroken   EndKind = "broken"  // another member of its gang ended
	EndGangTimeout  EndKind = "alone"   // the other members of its gang did not come in time
)

// ParseEndKind returns the kind of the given name, false if there is none.
func ParseEndKind(text string) (EndKind, bool) {
	switch k := EndKind(text); k {
	case EndDone, EndFailed, EndStopped, EndLeaseExpired, EndGangBroken, EndGangTimeout:
		return k, true
	}
	return "", false
}

// Report is what a worker says of its runs.
type Report struct {
	Worker      cwmodel.HostID
	Incarnation time.Time
	RequestedAt time.Time // when the call left
	Running     []RunStatus
	Ended       []RunEnd
	Truncated   bool // more ends wait than the report holds
}

// RunStatus is one run that a worker reports.
type RunStatus struct {
	Task       cwwork.TaskKey
	Run        int
	Checkpoint string
	Percent    int
}

// RunEnd is one end that a worker reports.
type RunEnd struct {
	Sequence   uint64
	Task       cwwork.TaskKey
	Run        int
	Kind       EndKind
	Checkpoint string
}

// HandleReport takes the lists of a worker.
func (c *Cell) HandleReport(rep *Report, now time.Time) {
	c.now = now
	w, ok := c.workers[rep.Worker]
	if !ok {
		return
	}
	if rep.Incarnation.After(w.Incarnation) {
		c.handleRestart(w, rep.Incarnation, now)
	}
	if rep.Incarnation.Before(w.Incarnation) {
		return // an answer of the worker's former life
	}
	if w.unreachable || !w.polled {
		c.markFreed(w)
		c.fleetVersion++
	}
	if !w.polled {
		c.nextFullPass = time.Time{} // adopted jobs wait until every worker is known
	}
	if w.unreachable {
		c.log(LogEntry{Event: "worker-answers", Worker: w.ID})
	}
	c.setPolled(w, true)
	w.unreachable, w.lastContact = false, now
	for n := range rep.Ended {
		c.handleEnd(w, &rep.Ended[n], now)
	}
	w.advanceAck()
	listed := make(map[cwwork.TaskKey]int, len(rep.Running))
	w.unresolvedRuns, w.foreignRuns = w.unresolvedRuns[:0], 0
	for n := range rep.Running {
		r := &rep.Running[n]
		listed[r.Task] = r.Run
		c.handleRunning(w, r, now)
	}
	if !rep.Truncated {
		c.releaseUnlisted(w, listed, rep.RequestedAt, now)
	}
}

// handleRunning takes one run that a worker lists.
func (c *Cell) handleRunning(w *worker, rep *RunStatus, now time.Time) {
	g := c.group(rep.Task.StepKey)
	if g == nil || rep.Task.Index >= len(g.tasks) {
		// No job of ours: it has ended, or it was accepted after this owner has read the store.
		w.foreignRuns++
		if c.recovered {
			c.orderStop(w, rep.Task, rep.Run)
		} else {
			w.unresolvedRuns = append(w.unresolvedRuns, *rep)
		}
		return
	}
	t := &g.tasks[rep.Task.Index]
	t.highestRun = max(t.highestRun, rep.Run)
	if rep.Checkpoint != "" {
		t.checkpoint = rep.Checkpoint
	}
	r := w.runs[rep.Task]
	if r == nil {
		c.adoptRun(w, g, rep, now)
		return
	}
	if r.number != rep.Run {
		w.foreignRuns++
		c.orderStop(w, rep.Task, rep.Run)
		return
	}
	if r.firstReportedAt.IsZero() {
		r.firstPercent, r.firstReportedAt = rep.Percent, now
	}
	if rep.Percent > r.percent || r.progressedAt.IsZero() {
		r.progressedAt = now
	}
	r.percent = rep.Percent
	t.percent = rep.Percent
	if r.state == runOrdered && !r.startUnanswered {
		r.state, r.confirmedAt = runRunning, now
	}
}

// adoptRun takes over a run of an earlier owner, or stops it if its task is done or runs elsewhere.
func (c *Cell) adoptRun(w *worker, g *group, rep *RunStatus, now time.Time) {
	t := &g.tasks[rep.Task.Index]
	r := &run{group: g, index: rep.Task.Index, number: rep.Run, worker: w, state: runRunning, adopted: true, confirmedAt: now, orderedAt: now, progressedAt: now, percent: rep.Percent}
	// The steps before it were done when it was started, though their ends may be listed later than this run.
	wanted := !t.done && len(t.runs) == 0 && g.job.outcome == ""
	w.allocate(r)
	c.markStarted(g.job)
	c.log(LogEntry{Event: "run-adopted", Job: g.job.ID, Task: rep.Task, Worker: w.ID, Run: rep.Run, Detail: strconv.FormatBool(wanted)})
	if !wanted {
		c.stopRun(r)
	}
	if g.waiting == 0 {
		c.dequeueGroup(g)
	}
}

// isUnresolved reports whether a job is not known, though it may have been accepted before the store was read.
func (c *Cell) isUnresolved(id cwmodel.JobID) bool {
	if _, ok := c.jobs[id]; ok {
		return false
	}
	_, ok := c.finalStates[id]
	return !ok
}

// CompleteRecovery tells the cell that it knows every job of which an earlier owner can have started a task. What workers list of
// others belongs to jobs that have ended.
func (c *Cell) CompleteRecovery() {
	c.recovered = true
	for _, w := range c.workers {
		for n := range w.pendingEnds {
			w.pendingEnds[n].unresolved = nil
		}
		w.advanceAck()
	}
}

// adoptRuns takes over the runs and ends of a job that workers listed before the job was known.
func (c *Cell) adoptRuns(j *job, now time.Time) {
	for _, w := range c.sortedWorkers() {
		for n := range w.pendingEnds {
			if e := w.pendingEnds[n].unresolved; e != nil && e.Task.Job == j.ID {
				w.pendingEnds[n].unresolved = nil
				if c.applyEnd(w, e, now) != nil && j.durableVersion < j.version {
					w.pendingEnds[n].job, w.pendingEnds[n].version = j, j.version
				}
			}
		}
		for n := range w.unresolvedRuns {
			if s := &w.unresolvedRuns[n]; s.Task.Job == j.ID {
				c.handleRunning(w, s, now)
			}
		}
	}
}

// releaseUnlisted frees the runs that a worker no longer lists in an answer to a question asked after they were known to it.
func (c *Cell) releaseUnlisted(w *worker, listed map[cwwork.TaskKey]int, asked, now time.Time) {
	for _, r := range w.sortedRuns() {
		if number, ok := listed[r.key()]; ok && number == r.number {
			continue
		}
		switch {
		case r.state == runRunning && asked.After(r.confirmedAt):
			c.loseRun(r, lostUnlisted, now)
		case r.state == runStopping && !r.stopConfirmedAt.IsZero() && asked.After(r.stopConfirmedAt.Add(c.opts.StopTimeout)):
			c.releaseRun(r, now)
		}
	}
}

// handleEnd takes one end that a worker lists.
func (c *Cell) handleEnd(w *worker, e *RunEnd, now time.Time) {
	if e.Sequence <= w.lastSequence {
		return
	}
	w.lastSequence = e.Sequence
	pending := pendingEnd{sequence: e.Sequence}
	if !c.recovered && c.isUnresolved(e.Task.Job) {
		pending.unresolved = e
		w.pendingEnds = append(w.pendingEnds, pending)
		return
	}
	if j := c.applyEnd(w, e, now); j != nil && j.durableVersion < j.version {
		pending.job, pending.version = j, j.version
	}
	w.pendingEnds = append(w.pendingEnds, pending)
}

// applyEnd notes how a run ended and returns its job if that is live.
func (c *Cell) applyEnd(w *worker, e *RunEnd, now time.Time) *job {
	g := c.group(e.Task.StepKey)
	if g == nil || e.Task.Index >= len(g.tasks) {
		return nil
	}
	j, t := g.job, &g.tasks[e.Task.Index]
	t.highestRun = max(t.highestRun, e.Run)
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	c.log(LogEntry{Event: "run-ended", Job: j.ID, Task: e.Task, Worker: w.ID, Run: e.Run, Detail: string(e.Kind)})
	r := w.runs[e.Task]
	if r != nil && r.number != e.Run {
		r = nil
	}
	c.markStarted(j)
	switch e.Kind {
	case EndDone:
		c.taskDone(w, g, r, e, now)
	case EndFailed:
		c.taskFailed(w, g, r, e, now)
	case EndStopped, EndLeaseExpired, EndGangBroken, EndGangTimeout:
	}
	if r != nil {
		c.releaseRun(r, now)
	}
	return j
}

// taskDone notes the success of a task.
func (c *Cell) taskDone(w *worker, g *group, r *run, e *RunEnd, now time.Time) {
	if w.breaker.isOpen(now) {
		c.markFreed(w)
	}
	w.breaker.reset()
	if r != nil {
		c.recordRunTime(g, r, now)
	}
	if g.tasks[e.Task.Index].done || g.step.LongRunning {
		return
	}
	o := g.job.occurrence(g.key.Occurrence)
	c.finishTask(g, e.Task.Index, o)
	if g.waiting == 0 {
		c.dequeueGroup(g)
	}
	if g.job.outcome != "" {
		return
	}
	c.markDirty(g.job)
	c.advanceJob(g.job, o, now)
	if !g.step.Gang {
		for _, other := range g.tasks[e.Task.Index].runs {
			if other != r {
				c.stopRun(other)
			}
		}
	}
}

// taskFailed counts a failed run and gives the job up if its attempts are spent.
func (c *Cell) taskFailed(w *worker, g *group, r *run, e *RunEnd, now time.Time) {
	if w.breaker.recordFailure(now) {
		c.log(LogEntry{Event: "worker-quarantined", Worker: w.ID, Detail: w.breaker.cooldown.String()})
	}
	if r != nil {
		t := &g.tasks[e.Task.Index]
		t.avoidWorkers = append(t.avoidWorkers, w.ID)
		t.checkpoint = ""
	}
	if !g.countFailure(e.Task.Index, e.Run) || g.job.outcome != "" {
		return
	}
	c.markDirty(g.job)
	if g.attemptsExhausted(e.Task.Index, c.policy(g.job).MaxAttempts) {
		c.log(LogEntry{Event: "attempts-spent", Job: g.job.ID, Task: e.Task, Worker: w.ID, Run: e.Run})
		c.decideOutcome(g.job, cwwork.StateFailed)
	}
}

// lossReason says why a run is over without an end.
type lossReason string

const (
	lostLeaseExpired    lossReason = "leases-over"      // its worker has been silent for so long
	lostWorkerRestarted lossReason = "worker-restarted" // it ran in the worker's former life
	lostUnlisted        lossReason = "vanished"         // its worker does not list it
)

// loseRun releases a run that is over without an end, and stops the gang that it leaves incomplete.
func (c *Cell) loseRun(r *run, why lossReason, now time.Time) {
	c.log(LogEntry{Event: "run-lost", Job: r.group.job.ID, Task: r.key(), Worker: r.worker.ID, Run: r.number, Detail: string(why)})
	c.releaseRun(r, now)
	if g := r.group; g.step.Gang && !g.tasks[r.index].done {
		c.stopMembers(g, r.number)
	}
}

// stopMembers stops the other members of a gang's run that has ended.
func (c *Cell) stopMembers(g *group, number int) {
	for n := range g.tasks {
		for _, r := range g.tasks[n].runs {
			if r.number == number {
				c.stopRun(r)
			}
		}
	}
}

// recordRunTime notes how long a run took that was seen from its start.
func (c *Cell) recordRunTime(g *group, r *run, now time.Time) {
	if !r.adopted {
		c.queue(g.job.Queue).predictor.observe(g.step.Estimate, now.Sub(r.orderedAt))
	}
}

// markStarted notes that a task of the job has started.
func (c *Cell) markStarted(j *job) {
	if !j.started {
		j.started = true
		c.effects.StartedJobs = append(c.effects.StartedJobs, j.Submission)
		c.queue(j.Queue).waiting--
	}
}

// policy returns how the job is treated now: as its queue says, or as it did when the job was accepted.
func (c *Cell) policy(j *job) cwwork.Policy {
	if p, ok := c.opts.Policy(j.Queue); ok {
		return p
	}
	return j.Policy
}
