package cwcell

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// Limits of the evidence against a task whose runs end with their workers.
const (
	// crashWindow is the time after its start within which a run is held responsible for a crash of its worker.
	crashWindow = 300 * time.Millisecond
	// earlyCrashesOfSuspect is the number of crashes within the crashWindow that make a task a suspect.
	earlyCrashesOfSuspect = 1
	// crashesOfSuspect is the number of crashes at any time that make a task a suspect, which then stays isolated while it runs.
	crashesOfSuspect = 3
	// requiredAlone is the number of crashes that a task must have caused alone to be given up.
	requiredAlone = 2
	// requiredAloneInQueue is the same number while crashMemory lasts after givenUpInQueue other tasks of the queue were given up.
	requiredAloneInQueue = 1
	givenUpInQueue       = 2
	// requiredInGang is the number of crashes within the crashWindow after which a member of a gang is given up: a gang can't be isolated.
	// requiredEarlyOfMax is the same number of maxCrashes.
	requiredInGang     = 4
	requiredEarlyOfMax = 3
	// suspectMargin is added to earlyCrashesOfSuspect, and aloneMargin to requiredAlone while fewer than manyCrashes have ended runs of the task,
	// while crashMemory lasts after a crash that no task has caused: workers crash by themselves, which makes the evidence weaker.
	suspectMargin = 1
	aloneMargin   = 1
	manyCrashes   = 4
	// maxCrashes is the number of crashes after which a task is given up whose evidence is weaker.
	maxCrashes = 5
	// crashMemory is how long the cause of a crash says something about those of others.
	crashMemory = 15 * time.Second
	// maxUnprovenCrashes is the number of crashes, proven or not, after which a task waits until none of them is in doubt.
	maxUnprovenCrashes = 3
	// doubtExpiry is how long it may take to learn whether a silent worker has crashed.
	doubtExpiry = 15 * time.Second
	// suspectedCrashMemory is how long a crash is remembered whose suspects have neither lived on nor been given up.
	suspectedCrashMemory = time.Minute
)

// crashKey identifies a crash by the incarnation that it has ended.
type crashKey struct {
	worker      cwmodel.HostID
	incarnation int64 // its start, in Unix nanoseconds
}

// suspectedCrash is a crash that a run in its crashWindow may have caused.
type suspectedCrash struct {
	ended    []doubt // runs that it has ended
	suspects int     // runs in their crashWindow whose tasks have not lived on since
	provenAt time.Time
}

// loss is a run that has ended with its worker, or may have.
type loss struct {
	cwwork.LostRun
	recordedAt time.Time
	resumed    bool // the run resumed from a checkpoint
}

// counts reports whether the loss is evidence against its task, and must outlive this owner: the worker has crashed, or the run may have
// crashed it at its start.
func (l *loss) counts() bool { return l.Crashed || l.Early }

// doubt refers to the loss of a run on a worker of which it is not known whether it has crashed.
type doubt struct {
	group *group
	index int // of the task
	run   int
}

// loss returns the loss that the doubt is about, or nil if it was dropped.
func (d *doubt) loss() *loss { return d.group.tasks[d.index].loss(d.run) }

// crash returns the key of the crash that may have ended the run.
func (l *loss) crash() crashKey { return crashKey{l.Worker, l.Incarnation.UnixNano()} }

// loss returns the loss of a run, or nil if there is none.
func (t *task) loss(run int) *loss {
	for n := range t.losses {
		if t.losses[n].Run == run {
			return &t.losses[n]
		}
	}
	return nil
}

// recordLoss records that a run has ended with its worker, or may have, if its worker is silent. It ignores runs that were not ordered,
// those of decided jobs and done tasks, and those of workers that leave as announced.
func (c *Cell) recordLoss(r *run, now time.Time) {
	g, t := r.group, &r.group.tasks[r.taskIndex]
	if r.state == runPlanned || r.orderedTo.IsZero() || r.worker.Draining || t.done || g.job.outcome != "" {
		return
	}
	early := r.survived() < crashWindow
	if l := t.loss(r.number); l != nil {
		l.Early = early
		return
	}
	t.losses = append(t.losses, loss{recordedAt: now, resumed: r.resumed, LostRun: cwwork.LostRun{
		TaskRun: cwwork.TaskRun{Index: r.taskIndex, Run: r.number}, Worker: r.worker.ID, Incarnation: r.orderedTo, Early: early, Alone: r.isolated,
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
	t := &g.tasks[index]
	at := slices.IndexFunc(t.losses, func(l loss) bool { return l.Run == run })
	if at < 0 {
		return
	}
	durable := t.losses[at].counts()
	t.losses = slices.Delete(t.losses, at, at+1)
	if durable && g.job.outcome == "" {
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
	hasLikelyCause := slices.ContainsFunc(crashed, func(d doubt) bool { return d.loss().Early && c.queue(d.group.job.Queue).hasGivenUp(now) })
	for _, d := range crashed {
		l := d.loss()
		l.Crashed = true
		if hasLikelyCause && !c.queue(d.group.job.Queue).hasGivenUp(now) {
			l.Early = false // a task of the queue with culprits is the likely cause
		}
		if l.Early {
			early++
		}
		if l.Early && l.resumed {
			d.group.dropCheckpoints(d.index)
		}
		c.markDirty(d.group.job)
		c.markChanged(d.group)
		c.log(LogEntry{Event: "run-crashed", Job: d.group.job.ID, Task: cwwork.TaskKey{StepKey: d.group.key, Index: d.index}, Worker: w.ID, Run: d.run, Detail: l.describe()})
	}
	switch {
	case early > 0:
		c.suspectedCrashes[crashed[0].loss().crash()] = &suspectedCrash{crashed, early, now}
	case len(crashed) > 0:
		c.unrelatedCrashAt = now
	}
	for _, d := range crashed {
		c.giveUpCulprit(d.group, d.index, now)
	}
}

// describe returns how the evidence of the loss was obtained.
func (l *loss) describe() string {
	text := "late"
	if l.Early {
		text = "early"
	}
	if l.Alone {
		text += "-alone"
	}
	return text
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
	if g.job.outcome != "" || g.tasks[index].done {
		return
	}
	var evidence []loss
	alone, early := 0, 0
	for _, l := range g.tasks[index].losses {
		if !l.Crashed {
			continue
		}
		evidence = append(evidence, l)
		if l.Alone {
			alone++
		}
		if l.Early {
			early++
		}
	}
	if !c.suffices(g, len(evidence), early, alone) {
		return
	}
	last := evidence[len(evidence)-1]
	c.log(LogEntry{Event: "task-given-up", Job: g.job.ID, Task: cwwork.TaskKey{StepKey: g.key, Index: index}, Worker: last.Worker, Run: last.Run, Detail: describeLosses(evidence)})
	c.decideOutcome(g.job, cwwork.StateFailed)
	q := c.queue(g.job.Queue)
	q.givenUpAt = append(q.givenUpAt, now)
	q.givenUpAt = q.givenUpAt[max(0, len(q.givenUpAt)-givenUpInQueue):]
	for n := range evidence {
		c.attributeCrash(&evidence[n])
	}
}

// suffices reports whether the crashes that have ended runs of a task of the group are enough to give it up; early and alone are the numbers of
// those within its crashWindow and of those that it has caused alone.
func (c *Cell) suffices(g *group, crashes, early, alone int) bool {
	switch {
	case g.canIsolate():
		return crashes >= maxCrashes || alone >= c.requiredAlone(g.job.Queue, crashes)
	case crashes >= maxCrashes:
		return early >= requiredEarlyOfMax
	}
	return early >= requiredInGang && !c.hasUnrelatedCrash()
}

// attributeCrash weakens the evidence of a crash against other tasks than the one that was given up for it: it counts as a late one, and not
// at all if that task has caused it alone.
func (c *Cell) attributeCrash(cause *loss) {
	s, ok := c.suspectedCrashes[cause.crash()]
	if !ok {
		return
	}
	delete(c.suspectedCrashes, cause.crash())
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

// hasUnrelatedCrash reports whether a crash that no task has caused is remembered.
func (c *Cell) hasUnrelatedCrash() bool {
	return !c.unrelatedCrashAt.IsZero() && c.now.Sub(c.unrelatedCrashAt) < crashMemory
}

// requiredAlone returns the number of crashes that a task of the queue, whose runs a number of crashes have ended, must have caused alone to
// be given up.
func (c *Cell) requiredAlone(queue cwwork.QueueName, crashes int) int {
	switch {
	case c.hasUnrelatedCrash() && crashes < manyCrashes:
		return requiredAlone + aloneMargin
	case !c.hasUnrelatedCrash() && c.queue(queue).hasGivenUp(c.now):
		return requiredAloneInQueue
	}
	return requiredAlone
}

// hasGivenUp reports whether several tasks of the queue that had crashed their workers were given up a short time ago.
func (q *queueStatistics) hasGivenUp(now time.Time) bool {
	return len(q.givenUpAt) == givenUpInQueue && now.Sub(q.givenUpAt[0]) < crashMemory
}

// earlyCrashesOfSuspect returns the number of crashes within the crashWindow that make a task a suspect.
func (c *Cell) earlyCrashesOfSuspect() int {
	if c.hasUnrelatedCrash() {
		return earlyCrashesOfSuspect + suspectMargin
	}
	return earlyCrashesOfSuspect
}

// clearSurvivor weakens the evidence against a task whose run has outlived its crashWindow: its losses count as later ones. A crash whose
// suspects have all lived on had another cause.
func (c *Cell) clearSurvivor(g *group, index int) {
	t := &g.tasks[index]
	if early, _ := t.countLosses(); early == 0 {
		return
	}
	for n := range t.losses {
		l := &t.losses[n]
		if s, ok := c.suspectedCrashes[l.crash()]; ok && l.Early && l.Crashed {
			if s.suspects--; s.suspects == 0 {
				c.unrelatedCrashAt = c.now
				delete(c.suspectedCrashes, l.crash())
			}
		}
		l.Early, l.Alone = false, l.Alone && l.Crashed
	}
	if g.job.outcome == "" {
		c.markDirty(g.job)
	}
	c.log(LogEntry{Event: "task-cleared", Job: g.job.ID, Task: cwwork.TaskKey{StepKey: g.key, Index: index}})
}

// describeLosses returns the run, worker and incarnation of each loss.
func describeLosses(list []loss) string {
	parts := make([]string, 0, len(list))
	for n := range list {
		l := &list[n]
		parts = append(parts, fmt.Sprintf("%d@%s/%d:%s", l.Run, l.Worker, l.Incarnation.UnixMilli(), l.describe()))
	}
	return strings.Join(parts, ",")
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
			case isTracked || now.Sub(l.recordedAt) < doubtExpiry:
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

// restoreLosses restores the stored losses of a group after a change of the owner.
func (c *Cell) restoreLosses(g *group, list []cwwork.LostRun, now time.Time) {
	for _, l := range list {
		if l.Index >= len(g.tasks) || g.tasks[l.Index].loss(l.Run) != nil {
			continue
		}
		t := &g.tasks[l.Index]
		t.highestRun = max(t.highestRun, l.Run)
		t.losses = append(t.losses, loss{LostRun: l, recordedAt: now})
		g.hasLosses = true
		if !l.Crashed {
			c.addDoubt(g, l.Index, l.Run, l.Worker)
		}
	}
}

// resolveRestoredLosses resolves the losses on the workers that have reported before the job with these losses was loaded.
func (c *Cell) resolveRestoredLosses(now time.Time) {
	for _, w := range c.sortedWorkers() {
		if len(c.doubts[w.ID]) > 0 && (w.replaced || (w.hasReported && !w.unreachable)) {
			c.resolveLosses(w, now)
		}
	}
}
