package cwcell

import (
	"slices"
	"time"

	"currantward/internal/core/cwevidence"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// job is an accepted job, kept until its end is durable and its last run has ended.
type job struct {
	*cwwork.Submission
	objective      time.Duration    // time from acceptance within which the job earns full credit
	runNumberBase  int              // run numbers that this owner assigns are higher
	adopted        bool             // may have run under an earlier owner
	occurrences    []*occurrence    // opened ones, without those that dropFinished has removed
	nextOccurrence int              // number of the next occurrence to open
	finishedBelow  int              // the number after that of the last finished occurrence; 0: none is finished
	unfinished     int              // opened occurrences that are not done
	started        bool             // a worker has started a task, or the job ended without a start; no longer counted in queueStatistics.waiting
	outcome        cwwork.JobState  // empty until it is decided; durable once durableVersion reaches version
	version        int              // incremented by each change that must become durable
	durableVersion int              // latest version that the store contains
	dirty          bool             // listed in Cell.dirtyJobs
	progress       *cwwork.Progress // stored progress when the job was loaded; nil if there was none
	retired        bool             // its end is durable; it is removed once its last run has ended
}

// group is the tasks of one step of one occurrence.
type group struct {
	key                 cwwork.StepKey
	job                 *job
	step                *cwwork.Step
	tasks               []task
	waiting             int  // tasks that are neither done nor have a run
	unfinished          int  // tasks that are not done
	pendingDependencies int  // steps in DependsOn that are not done
	finished            bool // counted in occurrence.unfinished as done
	queued              bool // listed in Cell.waitingGroups
	changed             bool // something other than free capacity has changed since the last pass over it
	waitingSince        time.Time
	advice              *eligibility     // nil until the group first needs advice
	failedRuns          int              // failed runs of a gang; tasks outside gangs count their own
	countedFailures     map[int]struct{} // failed runs already counted; see countFailure
	lastPreemption      time.Time        // when other tasks were last preempted for it
	rejectionDelay      time.Duration    // latest delay after an order that was rejected as malformed; zero: none since the last accepted one
	delayedUntil        time.Time        // end of that delay; no task starts earlier
	outcomes            outcomes
	hasLosses           bool      // some task has had a loss
	incompleteSince     time.Time // since when the current run of the gang has lacked members; zero: it does not
}

// task is one task of a group.
type task struct {
	done         bool
	highestRun   int               // highest number of a run that was started or reported
	failedRuns   int               // not counted for members of gangs
	runs         []*run            // runs with capacity allocated; empty while the task waits
	checkpoint   string            // latest checkpoint; empty if there is none
	percent      int               // latest reported progress
	avoidWorkers []cwmodel.HostID  // workers on which a run of the task has failed
	losses       cwevidence.Losses // runs that have ended with their workers, or may have
	retryDelay   time.Duration     // latest delay after a run of a long-running task that failed at its start; zero: none has
	retryAt      time.Time         // end of that delay; the task is not started earlier
	rejectedBy   []cwmodel.HostID  // workers that rejected its orders as malformed since one was last accepted
}

// runState is the state of a run's start or stop order.
type runState string

const (
	runPlanned  runState = "planned"  // capacity is allocated; its ticket is being renewed
	runOrdered  runState = "ordered"  // the start order was issued; its result is not known yet
	runRunning  runState = "running"  // confirmed by its worker
	runStopping runState = "stopping" // a stop was requested
)

// run is one run of one task. It keeps capacity allocated on its worker.
type run struct {
	group              *group
	taskIndex          int // of its task in group.tasks
	number             int // higher for each later run of the task; the members of a gang's run share it
	worker             *worker
	state              runState
	confirmedAt        time.Time // when its worker accepted the start order or first reported it
	orderedAt          time.Time // when it was planned, ordered or adopted, whichever was last
	stopSentAt         time.Time // when the stop order was last sent; zero: never
	stopConfirmedAt    time.Time // when the worker answered the stop order; zero: not yet
	percent            int       // in the latest report
	firstPercent       int       // in the first report
	firstReportedAt    time.Time // zero: not reported yet
	progressedAt       time.Time // when the percentage last rose
	adopted            bool      // started by an earlier owner
	isolated           bool      // the run of a suspect; no other run of its worker is in its CrashWindow
	requiredVersion    int       // version of the job that must be durable before an isolated run is ordered
	resumed            bool      // its order has a checkpoint
	lost               bool      // it has ended with its worker
	startUnanswered    bool      // the start order got no response
	triedTwice         bool      // it was accepted at the second try; the first one got no response and may still be carried out
	startResolvedAt    time.Time // when the result of the start order was received; zero: it is in flight, or the run was adopted
	incarnation        time.Time // incarnation of the worker that reported the run; zero: none has
	earlierLeaseExpiry time.Time // when the leases of earlier owners' calls on the process that has accepted it have expired; zero: not known
	orderedTo          time.Time // incarnation of the worker that was known when the run was planned or adopted
}

// orderInFlight reports whether a start order was issued whose result has not been received.
func (r *run) orderInFlight() bool {
	return !r.adopted && r.state != runPlanned && r.startResolvedAt.IsZero()
}

// mayBelongToNextIncarnation reports whether the run may have been started by a later incarnation of its worker than the one that
// was known when the order was issued: no report of an earlier incarnation contains it, or a try of its order is still in flight.
func (r *run) mayBelongToNextIncarnation() bool {
	return r.orderInFlight() || (r.state != runPlanned && r.incarnation.IsZero())
}

// hasOpenTry reports whether a try of the start order got no response. Another one may have started the run, so it may still be carried out.
func (r *run) hasOpenTry() bool { return r.triedTwice || r.startUnanswered }

// isKnownStarted reports whether the worker has accepted the run's order or reported the run.
func (r *run) isKnownStarted() bool { return !r.confirmedAt.IsZero() || !r.incarnation.IsZero() }

// belongsToEarlierIncarnation reports whether the run was ordered before its worker restarted, and the present incarnation has not
// reported it.
func (r *run) belongsToEarlierIncarnation() bool {
	return !r.orderedTo.Equal(r.worker.Incarnation) && !r.incarnation.Equal(r.worker.Incarnation)
}

// key returns the key of the run's task.
func (r *run) key() cwwork.TaskKey { return cwwork.TaskKey{StepKey: r.group.key, Index: r.taskIndex} }

// Admit adds an accepted job with the runs and ends that workers have already reported for it, and returns false if the
// cell already knows the job. p is the stored progress of the job, nil if there is none; adopted is true if the job may have
// run under an earlier owner.
func (c *Cell) Admit(s *cwwork.Submission, p *cwwork.Progress, adopted bool, now, wall time.Time) bool {
	if _, ok := c.jobs[s.ID]; ok {
		return false
	}
	if _, ok := c.finalStates[s.ID]; ok {
		return false
	}
	j := &job{Submission: s, adopted: adopted, progress: p}
	chain := s.CriticalPath(func(step *cwwork.Step) time.Duration { return c.expectedRunTime(j, step) })
	j.objective = time.Duration(s.Policy.Stretch*float64(chain)) + s.Policy.TargetLatency
	if adopted {
		j.runNumberBase = c.opts.RunNumberBase
	}
	c.jobs[s.ID] = j
	c.wall = wall
	c.queue(s.Queue).waiting++
	if s.Repeats > 0 {
		c.scheduledJobs = append(c.scheduledJobs, j)
		c.restoreFinished(j, now)
	} else {
		c.openOccurrence(j, 0, now)
	}
	c.openDueOccurrences(now, wall)
	c.openOccurrencesWithProgress(j, now)
	c.adoptRuns(j, now)
	if p != nil {
		c.resolveRestoredLosses(now)
	}
	return true
}

// enqueueGroup queues a group for placement, unless it is queued already, depends on unfinished steps or has no waiting
// tasks.
func (c *Cell) enqueueGroup(g *group, now time.Time) {
	if g.queued || g.pendingDependencies > 0 || g.waiting == 0 {
		return
	}
	g.queued, g.waitingSince = true, now
	c.waitingGroups = append(c.waitingGroups, g)
	c.markChanged(g)
}

// markChanged includes a group in the next placement pass.
func (c *Cell) markChanged(g *group) { g.changed, c.placementDue = true, true }

// occurrence returns the occurrence with a number, or nil if it is not open.
func (j *job) occurrence(number int) *occurrence {
	for _, o := range j.occurrences {
		if o.number == number {
			return o
		}
	}
	return nil
}

// group returns the group of a key, or nil if the job has no such step or occurrence.
func (c *Cell) group(key cwwork.StepKey) *group {
	j, ok := c.jobs[key.Job]
	if !ok {
		return nil
	}
	o := j.occurrence(key.Occurrence)
	if o == nil || key.Step >= len(o.groups) {
		return nil
	}
	return o.groups[key.Step]
}

// countFailure counts a failed run and reports whether it was not counted before. The members of a gang fail together, so
// their run counts once; outside gangs, the key in countedFailures packs the run number (upper bits) and the task index.
func (g *group) countFailure(index, number int) bool {
	key := number
	if !g.step.Gang {
		key = number<<16 | index
	}
	if _, ok := g.countedFailures[key]; ok {
		return false
	}
	if g.countedFailures == nil {
		g.countedFailures = map[int]struct{}{}
	}
	g.countedFailures[key] = struct{}{}
	if g.step.Gang {
		g.failedRuns++
	} else {
		g.tasks[index].failedRuns++
	}
	return true
}

// attemptsExhausted reports whether a task, or its gang, has failed maxAttempts times. Long-running tasks have no limit.
func (g *group) attemptsExhausted(index, maxAttempts int) bool {
	if g.step.LongRunning {
		return false
	}
	if g.step.Gang {
		return g.failedRuns >= maxAttempts
	}
	return g.tasks[index].failedRuns >= maxAttempts
}

// finishTask marks a task as done, or all tasks of its gang. Once the whole group is done, the steps that depend on it have
// one dependency less, and its occurrence and job are updated. A long-running group never counts as done.
func (c *Cell) finishTask(g *group, index int, o *occurrence) {
	if g.step.Gang {
		for n := range g.tasks {
			g.markTaskDone(n)
		}
	} else {
		g.markTaskDone(index)
	}
	if g.unfinished > 0 || g.finished || g.step.LongRunning {
		return
	}
	g.finished = true
	o.unfinished--
	for n, after := range g.job.Steps {
		if slices.Contains(after.DependsOn, g.key.Step) {
			o.groups[n].pendingDependencies--
		}
	}
	if o.unfinished == 0 {
		g.job.unfinished--
		g.job.finishedBelow = max(g.job.finishedBelow, o.number+1)
	}
}

// markTaskDone marks one task as done, at most once.
func (g *group) markTaskDone(index int) {
	t := &g.tasks[index]
	if t.done {
		return
	}
	t.done = true
	g.unfinished--
	if len(t.runs) == 0 {
		g.waiting--
	}
}

// markDirty records a change of the job's state that must become durable, and lists the job for NextWrites.
func (c *Cell) markDirty(j *job) {
	j.version++
	if !j.dirty {
		j.dirty = true
		c.dirtyJobs = append(c.dirtyJobs, j)
	}
}

// decideOutcome sets the outcome of a job, removes its groups from the waiting ones and stops its remaining runs. Runs of a
// cancelled job are stopped only once its end is durable. An outcome that is already decided stays.
func (c *Cell) decideOutcome(j *job, state cwwork.JobState) {
	if j.outcome != "" {
		return
	}
	j.outcome = state
	c.log(LogEntry{Event: "job-outcome", Job: j.ID, Detail: string(state)})
	c.markDirty(j)
	if !j.started {
		j.started = true
		c.queue(j.Queue).waiting--
	}
	for _, o := range j.occurrences {
		for _, g := range o.groups {
			c.dequeueGroup(g)
		}
	}
	if state != cwwork.StateCancelled {
		c.stopRuns(j)
	}
}

// stopRuns stops every run of a job.
func (c *Cell) stopRuns(j *job) {
	for _, o := range j.occurrences {
		for _, g := range o.groups {
			for index := range g.tasks {
				for _, r := range slices.Clone(g.tasks[index].runs) {
					c.stopRun(r)
				}
			}
		}
	}
}

// dequeueGroup removes a group from the waiting groups.
func (c *Cell) dequeueGroup(g *group) {
	if !g.queued {
		return
	}
	g.queued = false
	if at := slices.Index(c.waitingGroups, g); at >= 0 {
		c.waitingGroups = slices.Delete(c.waitingGroups, at, at+1)
	}
}

// Cancel ends a job at its caller's request, unless its outcome is already decided. known is false if the cell does not know
// the job; durable reports whether the job's end, of whichever kind, is already in the store.
func (c *Cell) Cancel(id cwmodel.JobID) (known, durable bool) {
	if _, ok := c.finalStates[id]; ok {
		return true, true
	}
	j, ok := c.jobs[id]
	if !ok {
		return false, false
	}
	c.decideOutcome(j, cwwork.StateCancelled)
	return true, false
}

// FailUnstorable ends a live job whose progress the store cannot hold: without stored progress, the next owner would repeat its tasks.
func (c *Cell) FailUnstorable(id cwmodel.JobID, reason string) {
	if j, ok := c.jobs[id]; ok && j.outcome == "" {
		c.log(LogEntry{Event: "job-not-storable", Job: id, Detail: reason})
		c.decideOutcome(j, cwwork.StateFailed)
	}
}

// advanceJob queues the groups of an occurrence whose dependencies are done, and completes the job if all its occurrences
// are done.
func (c *Cell) advanceJob(j *job, o *occurrence, now time.Time) {
	for _, g := range o.groups {
		c.enqueueGroup(g, now)
	}
	if j.unfinished == 0 && j.nextOccurrence >= j.Occurrences() {
		c.decideOutcome(j, cwwork.StateCompleted)
	}
}
