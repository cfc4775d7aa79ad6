package cwcell

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// EndKind is how a run ended on its worker.
type EndKind string

// The closed set of kinds.
const (
	EndDone         EndKind = "done"
	EndFailed       EndKind = "failed"  // by a fault of the task or of the worker
	EndStopped      EndKind = "stopped" // by a stop order
	EndLeaseExpired EndKind = "lapsed"  // its lease was not renewed in time
	EndGangBroken   EndKind = "broken"  // another member of its gang ended
	EndGangTimeout  EndKind = "alone"   // the other members of its gang did not start in time
)

// ParseEndKind returns the kind with the given name, and false if there is none.
func ParseEndKind(text string) (EndKind, bool) {
	switch k := EndKind(text); k {
	case EndDone, EndFailed, EndStopped, EndLeaseExpired, EndGangBroken, EndGangTimeout:
		return k, true
	}
	return "", false
}

// Report is the response of a worker to a poll: its runs and the ends that were not acknowledged yet.
type Report struct {
	Worker      cwmodel.HostID
	Incarnation time.Time
	RequestedAt time.Time     // when the poll was sent
	Clock       time.Duration // reading of the worker's clock, which starts anew with each incarnation, at any value
	Running     []RunStatus
	Ended       []RunEnd
	Truncated   bool // the worker may list more ends than the report contains
	Unsettled   bool // calls that were meant for an earlier incarnation may still have an effect
}

// RunStatus is one running run in a report.
type RunStatus struct {
	Task       cwwork.TaskKey
	Run        int
	Checkpoint string // latest checkpoint; empty if there is none
	Percent    int    // progress
}

// RunEnd is the end of one run in a report.
type RunEnd struct {
	Sequence   uint64 // increases with each end of a worker's process
	Task       cwwork.TaskKey
	Run        int
	Kind       EndKind
	Checkpoint string // latest checkpoint; empty if there is none
}

// HandleReport processes the report of a worker: first the runs that ended, then those still running, then those that are
// missing from the report. Polls of a worker follow each other, so a report of another incarnation than the last one shows that the
// worker has restarted, unless its poll was sent before the last report arrived.
func (c *Cell) HandleReport(rep *Report, now time.Time) {
	c.now = now
	w, ok := c.workers[rep.Worker]
	if !ok {
		return
	}
	if !rep.Incarnation.Equal(w.Incarnation) {
		if rep.RequestedAt.Before(w.lastContact) {
			return // may be of an earlier incarnation
		}
		if !w.Incarnation.IsZero() {
			c.handleRestart(w, rep.Incarnation, now)
		}
		w.Incarnation = rep.Incarnation
	}
	if w.unreachable || !w.hasReported {
		c.markNewCapacity(w)
		c.fleetVersion++
	}
	if !w.hasReported {
		c.nextFullPass = time.Time{} // adopted jobs wait until every worker has been polled
		c.logContact(w, rep, now)
	}
	if w.unreachable {
		c.log(LogEntry{Event: "worker-answers", Worker: w.ID})
	}
	if w.unsettled && !rep.Unsettled {
		c.log(LogEntry{Event: "worker-settled", Worker: w.ID, Incarnation: w.Incarnation})
	}
	w.setUnsettled(rep.Unsettled, now)
	c.setReported(w, !w.unsettled)
	c.setEndsUnread(w, rep.Truncated)
	w.unreachable, w.replaced, w.pollFailedAt, w.lastContact, w.lastResponse = false, false, time.Time{}, now, now
	c.handleEnds(w, rep.Ended, now)
	reported := make(map[cwwork.TaskKey]int, len(rep.Running))
	w.unresolvedRuns, w.foreignRuns = w.unresolvedRuns[:0], 0
	for n := range rep.Running {
		r := &rep.Running[n]
		reported[r.Task] = r.Run
		c.handleRunning(w, r, now)
	}
	if !rep.Unsettled {
		c.loseEarlierRuns(w, now)
	}
	if !rep.Unsettled && !rep.Truncated {
		c.releaseMissingRuns(w, reported, rep.RequestedAt, now)
	}
	c.trackForeignRuns(w, rep.Running, now)
	c.resolveLosses(w, now)
	for _, r := range w.sortedRuns() {
		if r.group.hasLosses {
			c.noteSurvival(r)
		}
	}
}

// logContact logs the first report of an incarnation, with the reading of its clock and the time until which earlier calls may let runs live on.
func (c *Cell) logContact(w *worker, rep *Report, now time.Time) {
	c.log(LogEntry{
		Event: "worker-contacted", Worker: w.ID, Incarnation: rep.Incarnation,
		Detail: fmt.Sprintf("clock %s, leases end in %s, settled %t", rep.Clock, c.opts.LeaseExpiry(w.ID).Sub(now), !rep.Unsettled),
	})
}

// handleRunning processes one running run of a report: it updates a known run, adopts one of an earlier owner, and stops
// any other. A run of a job that may still be loaded from the store is kept in unresolvedRuns.
func (c *Cell) handleRunning(w *worker, rep *RunStatus, now time.Time) {
	c.openStarted(rep.Task.StepKey, now)
	g := c.group(rep.Task.StepKey)
	if g == nil || rep.Task.Index >= len(g.tasks) {
		// The job has ended, or it was accepted after this owner read the store.
		w.foreignRuns++
		if c.jobsLoaded {
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
	c.markStarted(g.job)
	r.incarnation = w.Incarnation
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
	if w.breaker.probe == r && g.step.LongRunning && r.state == runRunning && now.Sub(r.confirmedAt) >= longRunningProbation {
		w.breaker.reset() // it never ends as a success
	}
}

// adoptRun takes over a run that an earlier owner started. It stops the run if its task is done or has another run, if another member of its gang
// belongs to a later run, or if the outcome of the job is decided. It stops the members of earlier runs.
func (c *Cell) adoptRun(w *worker, g *group, rep *RunStatus, now time.Time) {
	t := &g.tasks[rep.Task.Index]
	r := &run{group: g, taskIndex: rep.Task.Index, number: rep.Run, worker: w, state: runRunning, adopted: true, confirmedAt: now, orderedAt: now, progressedAt: now, percent: rep.Percent, incarnation: w.Incarnation, orderedTo: w.Incarnation}
	// Dependencies are not checked here: they were done when the run started, even if their ends are not reported yet.
	keep := !t.done && len(t.runs) == 0 && g.job.outcome == "" && !g.hasMemberOfLaterRun(rep.Run)
	w.allocate(r)
	c.markStarted(g.job)
	if rep.Run > g.job.runNumberBase {
		// Only this owner assigns such numbers, so it has released the run as ended.
		c.log(LogEntry{Event: "released-run-reported", Job: g.job.ID, Task: rep.Task, Worker: w.ID, Run: rep.Run})
	}
	c.log(LogEntry{Event: "run-adopted", Job: g.job.ID, Task: rep.Task, Worker: w.ID, Run: rep.Run, Detail: strconv.FormatBool(keep)})
	if !keep {
		c.stopRun(r)
	} else if g.step.Gang {
		c.stopMembersBefore(g, rep.Run)
	}
	if g.waiting == 0 {
		c.dequeueGroup(g)
	}
}

// trackForeignRuns tracks and stops the reported runs of tasks whose tracked run on the worker was lost with the same report: a late order has
// started an earlier run there. Their tasks wait until these have ended.
func (c *Cell) trackForeignRuns(w *worker, running []RunStatus, now time.Time) {
	for n := range running {
		rep := &running[n]
		g := c.group(rep.Task.StepKey)
		if g == nil || rep.Task.Index >= len(g.tasks) || w.runs[rep.Task] != nil {
			continue
		}
		w.foreignRuns--
		c.adoptRun(w, g, rep, now)
		c.stopRun(w.runs[rep.Task])
	}
}

// isUnresolved reports whether a job is unknown to the cell. Until MarkJobsLoaded is called, such a job may still be loaded
// from the store; afterwards it has ended.
func (c *Cell) isUnresolved(id cwmodel.JobID) bool {
	if _, ok := c.jobs[id]; ok {
		return false
	}
	_, ok := c.finalStates[id]
	return !ok
}

// MarkJobsLoaded records that every job that an earlier owner may have started is loaded. Any other job in a report has
// ended, so its runs are stopped and its ends acknowledged.
func (c *Cell) MarkJobsLoaded() {
	c.jobsLoaded = true
	for _, w := range c.workers {
		for n := range w.pendingEnds {
			w.pendingEnds[n].unresolved = nil
		}
		w.advanceAck()
	}
}

// adoptRuns takes over the runs and ends of a job that workers reported before the job was loaded.
func (c *Cell) adoptRuns(j *job, now time.Time) {
	for _, w := range c.sortedWorkers() {
		for n := range w.pendingEnds {
			if e := w.pendingEnds[n].unresolved; e != nil && e.Task.Job == j.ID {
				w.pendingEnds[n].unresolved = nil
				if c.applyEnd(w, e, now) != nil && j.durableVersion < j.version {
					w.pendingEnds[n].job, w.pendingEnds[n].requiredVersion = j, j.version
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

// releaseMissingRuns releases the runs that are not in a worker's report, if the poll was sent after the worker had confirmed
// their start or had time to stop them. An earlier poll may have overtaken the start order. While the order is in flight, a
// further try of it may still start the run. A run that is reported after its stop had time to take effect is stopped again.
func (c *Cell) releaseMissingRuns(w *worker, reported map[cwwork.TaskKey]int, requestedAt, now time.Time) {
	for _, r := range w.sortedRuns() {
		number, ok := reported[r.key()]
		isReported := ok && number == r.number
		stopIsOver := r.state == runStopping && !r.stopConfirmedAt.IsZero() && requestedAt.After(r.stopConfirmedAt.Add(c.opts.StopTimeout))
		switch {
		case isReported && stopIsOver:
			r.stopConfirmedAt = time.Time{} // the incarnation that confirmed the stop did not start the run
		case isReported || r.orderInFlight():
		case r.state == runRunning && requestedAt.After(r.confirmedAt):
			c.loseRun(r, lostMissing, now)
		case stopIsOver && r.belongsToEarlierIncarnation():
			c.loseRun(r, lostWorkerRestarted, now)
		case stopIsOver:
			c.releaseRun(r, now)
		}
	}
}

// handleEnds processes the ends of a report.
func (c *Cell) handleEnds(w *worker, ends []RunEnd, now time.Time) {
	w.firstListedEnd = 0
	if len(ends) > 0 {
		w.firstListedEnd = ends[0].Sequence
	}
	for n := range ends {
		c.handleEnd(w, &ends[n], now)
	}
	w.advanceAck()
}

// handleEnd processes one end of a report, unless an earlier report contained it. The end is acknowledged once its effect
// is durable.
func (c *Cell) handleEnd(w *worker, e *RunEnd, now time.Time) {
	if e.Sequence <= w.lastSequence {
		return
	}
	w.lastSequence = e.Sequence
	pending := pendingEnd{sequence: e.Sequence}
	if !c.jobsLoaded && c.isUnresolved(e.Task.Job) {
		pending.unresolved = e
		w.pendingEnds = append(w.pendingEnds, pending)
		return
	}
	if j := c.applyEnd(w, e, now); j != nil && j.durableVersion < j.version {
		pending.job, pending.requiredVersion = j, j.version
	}
	w.pendingEnds = append(w.pendingEnds, pending)
}

// applyEnd applies the end of a run to its task and releases the run's capacity. It returns the job, or nil if the cell does
// not know the task.
func (c *Cell) applyEnd(w *worker, e *RunEnd, now time.Time) *job {
	c.openStarted(e.Task.StepKey, now)
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
	c.markStarted(j) // the run may have been started by an earlier owner
	switch e.Kind {
	case EndDone:
		c.taskDone(w, g, r, e, now)
	case EndFailed:
		c.taskFailed(w, g, r, e, now)
	case EndStopped, EndLeaseExpired, EndGangBroken, EndGangTimeout: // releaseRun makes the task wait again
	}
	c.dropLoss(g, e.Task.Index, e.Run)
	if r != nil {
		c.releaseRun(r, now)
	}
	return j
}

// taskDone processes the success of a task: it closes the worker's breaker, marks the task as done and stops other runs of
// it. A success does not finish a long-running task. r is nil if the run has no capacity allocated, for example because an
// earlier owner started it.
func (c *Cell) taskDone(w *worker, g *group, r *run, e *RunEnd, now time.Time) {
	if w.breaker.isOpen(now) {
		c.markNewCapacity(w)
	}
	w.breaker.reset()
	g.outcomes.succeededOn = addWorker(g.outcomes.succeededOn, w.ID)
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
		for _, other := range slices.Clone(g.tasks[e.Task.Index].runs) { // stopRun may remove runs
			if other != r {
				c.stopRun(other)
			}
		}
	}
}

// taskFailed counts a failed run for its task and for the worker's breaker, and fails the job once the attempts of the task
// are exhausted; the end of another run of a task that is done does not count. r is nil if the run has no capacity allocated. A long-running task may
// fail at any time and never succeeds, so a run of it that was at work for a while is no fault of its worker. One that fails at its start is started
// again after a delay.
func (c *Cell) taskFailed(w *worker, g *group, r *run, e *RunEnd, now time.Time) {
	wasAtWork := g.step.LongRunning && r != nil && now.Sub(r.confirmedAt) >= longRunningProbation
	t := &g.tasks[e.Task.Index]
	if wasAtWork {
		t.retryDelay = 0
	} else {
		c.recordFailure(w, g, r, now)
	}
	if g.step.LongRunning && !wasAtWork {
		t.retryDelay = min(max(2*t.retryDelay, minRetryDelay), maxRetryDelay)
		t.retryAt = now.Add(t.retryDelay)
	}
	if r != nil {
		if !slices.Contains(t.avoidWorkers, w.ID) {
			t.avoidWorkers = append(t.avoidWorkers, w.ID)
		}
		t.checkpoint = ""
	}
	if g.step.LongRunning {
		return // its attempts have no limit
	}
	if t.done || !g.countFailure(e.Task.Index, e.Run) || g.job.outcome != "" {
		return
	}
	c.markDirty(g.job)
	if g.attemptsExhausted(e.Task.Index, c.policy(g.job).MaxAttempts) {
		c.log(LogEntry{Event: "attempts-spent", Job: g.job.ID, Task: e.Task, Worker: w.ID, Run: e.Run})
		c.decideOutcome(g.job, cwwork.StateFailed)
	}
}

const (
	// minRetryDelay and maxRetryDelay bound the delay after a run of a long-running task that failed at its start. It doubles with each further one.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 3 * time.Second
)

// stopMembers stops all members of the gang's run with the given number.
func (c *Cell) stopMembers(g *group, number int) {
	c.stopMembersIf(g, func(r *run) bool { return r.number == number })
}

// stopMembersBefore stops all members of earlier runs of the gang than that with the given number.
func (c *Cell) stopMembersBefore(g *group, number int) {
	c.stopMembersIf(g, func(r *run) bool { return r.number < number })
}

// stopMembersIf stops the members of a gang for which the condition holds.
func (c *Cell) stopMembersIf(g *group, condition func(r *run) bool) {
	for n := range g.tasks {
		for _, r := range slices.Clone(g.tasks[n].runs) { // stopRun may remove runs
			if condition(r) {
				c.stopRun(r)
			}
		}
	}
}

// recordRunTime adds the run time of a successful run to the queue's predictions, if this owner started the run.
func (c *Cell) recordRunTime(g *group, r *run, now time.Time) {
	if !r.adopted {
		c.queue(g.job.Queue).predictor.observe(g.step.Estimate, now.Sub(r.orderedAt))
	}
}

// markStarted marks a job as started and reports it in the effects, once. It needs evidence that a worker has started a task: an
// accepted order, a report or stored progress.
func (c *Cell) markStarted(j *job) {
	if !j.started {
		j.started = true
		c.effects.StartedJobs = append(c.effects.StartedJobs, j.Submission)
		c.queue(j.Queue).waiting--
	}
}

// policy returns the present policy of the job's queue, or the policy at acceptance if the queue no longer exists.
func (c *Cell) policy(j *job) cwwork.QueuePolicy {
	if p, ok := c.opts.Policy(j.Queue); ok {
		return p
	}
	return j.Policy
}
