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
		c.reborn(w, rep.Incarnation, now)
	}
	if rep.Incarnation.Before(w.Incarnation) {
		return // an answer of the worker's former life
	}
	if w.silent || !w.known {
		c.gainRoom(w)
		c.fleet++
	}
	if !w.known {
		c.retryAt = time.Time{} // adopted jobs wait until every worker is known
	}
	if w.silent {
		c.note(LogEntry{Event: "worker-answers", Worker: w.ID})
	}
	c.setKnown(w, true)
	w.silent, w.contact = false, now
	for n := range rep.Ended {
		c.end(w, &rep.Ended[n], now)
	}
	w.advanceAck()
	listed := make(map[cwwork.TaskKey]int, len(rep.Running))
	w.strangers, w.foreign = w.strangers[:0], 0
	for n := range rep.Running {
		r := &rep.Running[n]
		listed[r.Task] = r.Run
		c.running(w, r, now)
	}
	if !rep.Truncated {
		c.releaseAbsent(w, listed, rep.RequestedAt, now)
	}
}

// running takes one run that a worker lists.
func (c *Cell) running(w *worker, rep *RunStatus, now time.Time) {
	g := c.group(rep.Task.StepKey)
	if g == nil || rep.Task.Index >= len(g.tasks) {
		// No job of ours: it has ended, or it was accepted after this owner has read the store.
		w.foreign++
		if c.caughtUp {
			c.orderStop(w, rep.Task, rep.Run)
		} else {
			w.strangers = append(w.strangers, *rep)
		}
		return
	}
	t := &g.tasks[rep.Task.Index]
	t.highest = max(t.highest, rep.Run)
	if rep.Checkpoint != "" {
		t.saved = rep.Checkpoint
	}
	r := w.runs[rep.Task]
	if r == nil {
		c.adopt(w, g, rep, now)
		return
	}
	if r.number != rep.Run {
		w.foreign++
		c.orderStop(w, rep.Task, rep.Run)
		return
	}
	if r.firstSeen.IsZero() {
		r.firstPercent, r.firstSeen = rep.Percent, now
	}
	if rep.Percent > r.percent || r.moved.IsZero() {
		r.moved = now
	}
	r.percent = rep.Percent
	t.percent = rep.Percent
	if r.state == runOrdered && !r.uncertain {
		r.state, r.confirmed = runRunning, now
	}
}

// adopt takes over a run of an earlier owner, or stops it if its task is done or runs elsewhere.
func (c *Cell) adopt(w *worker, g *group, rep *RunStatus, now time.Time) {
	t := &g.tasks[rep.Task.Index]
	r := &run{group: g, index: rep.Task.Index, number: rep.Run, worker: w, state: runRunning, adopted: true, confirmed: now, ordered: now, moved: now, percent: rep.Percent}
	// The steps before it were done when it was started, though their ends may be listed later than this run.
	wanted := !t.done && len(t.runs) == 0 && g.job.final == ""
	w.hold(r)
	c.begin(g.job)
	c.note(LogEntry{Event: "run-adopted", Job: g.job.ID, Task: rep.Task, Worker: w.ID, Run: rep.Run, Detail: strconv.FormatBool(wanted)})
	if !wanted {
		c.stop(r)
	}
	if g.waiting == 0 {
		c.closeGroup(g)
	}
}

// isStrange reports whether a job is not known, though it may have been accepted before the store was read.
func (c *Cell) isStrange(id cwmodel.JobID) bool {
	if _, ok := c.jobs[id]; ok {
		return false
	}
	_, ok := c.ended[id]
	return !ok
}

// CompleteRecovery tells the cell that it knows every job of which an earlier owner can have started a task. What workers list of
// others belongs to jobs that have ended.
func (c *Cell) CompleteRecovery() {
	c.caughtUp = true
	for _, w := range c.workers {
		for n := range w.ends {
			w.ends[n].stranger = nil
		}
		w.advanceAck()
	}
}

// adoptRuns takes over the runs and ends of a job that workers listed before the job was known.
func (c *Cell) adoptRuns(j *job, now time.Time) {
	for _, w := range c.sortedWorkers() {
		for n := range w.ends {
			if e := w.ends[n].stranger; e != nil && e.Task.Job == j.ID {
				w.ends[n].stranger = nil
				if c.applyEnd(w, e, now) != nil && j.written < j.changed {
					w.ends[n].job, w.ends[n].version = j, j.changed
				}
			}
		}
		for n := range w.strangers {
			if s := &w.strangers[n]; s.Task.Job == j.ID {
				c.running(w, s, now)
			}
		}
	}
}

// releaseAbsent frees the runs that a worker no longer lists in an answer to a question asked after they were known to it.
func (c *Cell) releaseAbsent(w *worker, listed map[cwwork.TaskKey]int, asked, now time.Time) {
	for _, r := range w.sorted() {
		if number, ok := listed[r.key()]; ok && number == r.number {
			continue
		}
		switch {
		case r.state == runRunning && asked.After(r.confirmed):
			c.lose(r, lostVanished, now)
		case r.state == runStopping && !r.stopped.IsZero() && asked.After(r.stopped.Add(c.opts.StopTimeout)):
			c.release(r, now)
		}
	}
}

// end takes one end that a worker lists.
func (c *Cell) end(w *worker, e *RunEnd, now time.Time) {
	if e.Sequence <= w.seen {
		return
	}
	w.seen = e.Sequence
	pending := pendingEnd{number: e.Sequence}
	if !c.caughtUp && c.isStrange(e.Task.Job) {
		pending.stranger = e
		w.ends = append(w.ends, pending)
		return
	}
	if j := c.applyEnd(w, e, now); j != nil && j.written < j.changed {
		pending.job, pending.version = j, j.changed
	}
	w.ends = append(w.ends, pending)
}

// applyEnd notes how a run ended and returns its job if that is live.
func (c *Cell) applyEnd(w *worker, e *RunEnd, now time.Time) *job {
	g := c.group(e.Task.StepKey)
	if g == nil || e.Task.Index >= len(g.tasks) {
		return nil
	}
	j, t := g.job, &g.tasks[e.Task.Index]
	t.highest = max(t.highest, e.Run)
	if e.Checkpoint != "" {
		t.saved = e.Checkpoint
	}
	c.note(LogEntry{Event: "run-ended", Job: j.ID, Task: e.Task, Worker: w.ID, Run: e.Run, Detail: string(e.Kind)})
	r := w.runs[e.Task]
	if r != nil && r.number != e.Run {
		r = nil
	}
	c.begin(j)
	switch e.Kind {
	case EndDone:
		c.taskDone(w, g, r, e, now)
	case EndFailed:
		c.taskFailed(w, g, r, e, now)
	case EndStopped, EndLeaseExpired, EndGangBroken, EndGangTimeout:
	}
	if r != nil {
		c.release(r, now)
	}
	return j
}

// taskDone notes the success of a task.
func (c *Cell) taskDone(w *worker, g *group, r *run, e *RunEnd, now time.Time) {
	if w.breaker.open(now) {
		c.gainRoom(w)
	}
	w.breaker.succeed()
	if r != nil {
		c.learn(g, r, now)
	}
	if g.tasks[e.Task.Index].done || g.step.LongRunning {
		return
	}
	o := g.job.occurrence(g.key.Occurrence)
	c.finishTask(g, e.Task.Index, o)
	if g.waiting == 0 {
		c.closeGroup(g)
	}
	if g.job.final != "" {
		return
	}
	c.mark(g.job)
	c.advance(g.job, o, now)
	if !g.step.Gang {
		for _, other := range g.tasks[e.Task.Index].runs {
			if other != r {
				c.stop(other)
			}
		}
	}
}

// taskFailed counts a failed run and gives the job up if its attempts are spent.
func (c *Cell) taskFailed(w *worker, g *group, r *run, e *RunEnd, now time.Time) {
	if w.breaker.fail(now) {
		c.note(LogEntry{Event: "worker-quarantined", Worker: w.ID, Detail: w.breaker.last.String()})
	}
	if r != nil {
		t := &g.tasks[e.Task.Index]
		t.avoid = append(t.avoid, w.ID)
		t.saved = ""
	}
	if !g.countFailure(e.Task.Index, e.Run) || g.job.final != "" {
		return
	}
	c.mark(g.job)
	if g.spent(e.Task.Index, c.policy(g.job).MaxAttempts) {
		c.note(LogEntry{Event: "attempts-spent", Job: g.job.ID, Task: e.Task, Worker: w.ID, Run: e.Run})
		c.conclude(g.job, cwwork.StateFailed)
	}
}

// lossReason says why a run is over without an end.
type lossReason string

const (
	lostLeases    lossReason = "leases-over"      // its worker has been silent for so long
	lostRestarted lossReason = "worker-restarted" // it ran in the worker's former life
	lostVanished  lossReason = "vanished"         // its worker does not list it
)

// lose releases a run that is over without an end, and stops the gang that it leaves incomplete.
func (c *Cell) lose(r *run, why lossReason, now time.Time) {
	c.note(LogEntry{Event: "run-lost", Job: r.group.job.ID, Task: r.key(), Worker: r.worker.ID, Run: r.number, Detail: string(why)})
	c.release(r, now)
	if g := r.group; g.step.Gang && !g.tasks[r.index].done {
		c.stopMembers(g, r.number)
	}
}

// stopMembers stops the other members of a gang's run that has ended.
func (c *Cell) stopMembers(g *group, number int) {
	for n := range g.tasks {
		for _, r := range g.tasks[n].runs {
			if r.number == number {
				c.stop(r)
			}
		}
	}
}

// learn notes how long a run took that was seen from its start.
func (c *Cell) learn(g *group, r *run, now time.Time) {
	if !r.adopted {
		c.queue(g.job.Queue).predictor.observe(g.step.Estimate, now.Sub(r.ordered))
	}
}

// begin notes that a task of the job has started.
func (c *Cell) begin(j *job) {
	if !j.started {
		j.started = true
		c.effects.StartedJobs = append(c.effects.StartedJobs, j.Submission)
		c.queue(j.Queue).waiting--
	}
}

// policy returns how the job is treated now: as its queue says, or as it did when the job was accepted.
func (c *Cell) policy(j *job) cwwork.QueuePolicy {
	if p, ok := c.opts.Policy(j.Queue); ok {
		return p
	}
	return j.Policy
}
