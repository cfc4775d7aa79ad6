package cwcell

import (
	"slices"
	"time"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// JobWrite is the state of one job to write to the store.
type JobWrite struct {
	Job        cwmodel.JobID
	State      cwwork.JobState  // final state; empty while the job is live
	Progress   *cwwork.Progress // nil for a final state
	Queue      cwwork.QueueName
	AcceptedAt time.Time
	version    int // of the job state, for CompleteWrites
}

// NextWrites returns writes for at most limit jobs whose state is not durable and for which include returns true. Ended
// jobs precede others, since callers wait for them. The result of each write must be passed to CompleteWrites.
func (c *Cell) NextWrites(limit int, include func(cwmodel.JobID) bool) (writes []JobWrite) {
	// collect adds writes for the dirty jobs whose outcome is decided, or for the others if ended is false.
	collect := func(ended bool) {
		remaining := c.dirtyJobs[:0]
		for _, j := range c.dirtyJobs {
			if len(writes) >= limit || (j.outcome != "") != ended || !include(j.ID) {
				remaining = append(remaining, j)
				continue
			}
			j.dirty = false
			writes = append(writes, j.write())
		}
		clear(c.dirtyJobs[len(remaining):])
		c.dirtyJobs = remaining
	}
	collect(true)
	collect(false)
	return writes
}

// write returns the state of the job to write to the store: its outcome if decided, else its progress.
func (j *job) write() JobWrite {
	w := JobWrite{Job: j.ID, State: j.outcome, Queue: j.Queue, AcceptedAt: j.AcceptedAt, version: j.version}
	if j.outcome == "" {
		j.dropFinished()
		w.Progress = j.snapshot()
	}
	return w
}

// EachPendingWrite calls visit for each job whose state is not durable and not part of a write in progress.
func (c *Cell) EachPendingWrite(visit func(cwmodel.JobID)) {
	for _, j := range c.dirtyJobs {
		visit(j.ID)
	}
}

// PendingWrites returns the number of jobs whose state is not durable and not part of a write in progress.
func (c *Cell) PendingWrites() int { return len(c.dirtyJobs) }

// CompleteWrites processes the result of writes and returns those by which the end of a job has become durable. If committed
// is false, the writes failed and NextWrites returns their jobs again.
func (c *Cell) CompleteWrites(writes []JobWrite, committed bool, now time.Time) (ended []JobWrite) {
	for _, w := range writes {
		j, known := c.jobs[w.Job]
		switch {
		case !known:
		case !committed:
			if !j.dirty && !j.retired {
				j.dirty = true
				c.dirtyJobs = append(c.dirtyJobs, j)
			}
		default:
			j.durableVersion = max(j.durableVersion, w.version)
			if j.dirty && j.durableVersion >= j.version {
				c.markClean(j)
			}
			if w.State != "" && !j.retired {
				c.retire(j, now)
				ended = append(ended, w)
			}
		}
	}
	for _, w := range c.workers {
		w.advanceAck()
	}
	for _, w := range c.sortedWorkers() {
		if w.heldBy != nil {
			c.startIsolated(w.heldBy, now)
		}
	}
	return ended
}

// markClean removes a job from those that NextWrites returns: a write that had counted as failed was applied after all.
func (c *Cell) markClean(j *job) {
	j.dirty = false
	c.dirtyJobs = slices.DeleteFunc(c.dirtyJobs, func(other *job) bool { return other == j })
}

// retire records the durable final state of a job, stops its runs, and removes the job if it has none left.
func (c *Cell) retire(j *job, now time.Time) {
	c.finalStates[j.ID] = finalState{state: j.outcome, durableAt: now}
	c.endedOrder = append(c.endedOrder, j.ID)
	c.stopRuns(j)
	j.retired = true
	c.evictIfIdle(j)
}

// evictIfIdle removes a retired job that has no runs left.
func (c *Cell) evictIfIdle(j *job) {
	if !j.retired {
		return
	}
	if slices.ContainsFunc(j.occurrences, (*occurrence).hasRuns) {
		return
	}
	delete(c.jobs, j.ID)
}

// snapshot returns the progress to store for a live job: which occurrences are finished, and the done tasks, failed runs and lost runs of
// each step of the others that has any.
func (j *job) snapshot() *cwwork.Progress {
	p := &cwwork.Progress{FinishedBelow: j.finishedBelow}
	for _, o := range j.occurrences {
		if o.unfinished == 0 {
			continue
		}
		if o.number < j.finishedBelow {
			p.Unfinished = append(p.Unfinished, o.number)
		}
		for _, g := range o.groups {
			if s := g.snapshot(); len(s.Done) > 0 || len(s.Failed) > 0 || len(s.Lost) > 0 {
				p.Steps = append(p.Steps, s)
			}
		}
	}
	return p
}

// snapshot returns the progress to store for the group: its done tasks, the failed runs that count towards the limit on attempts (see
// countFailure), and the lost runs that count against their tasks.
func (g *group) snapshot() cwwork.StepProgress {
	s := cwwork.StepProgress{Occurrence: g.key.Occurrence, Step: g.key.Step}
	for n := range g.tasks {
		t := &g.tasks[n]
		if t.done {
			s.Done = append(s.Done, n)
			continue
		}
		for k := range t.losses {
			if t.losses[k].Counts() {
				s.Lost = append(s.Lost, t.losses[k].LostRun)
			}
		}
	}
	for key := range g.countedFailures {
		// The key is the run number for a gang, else the run number and the task index; see countFailure.
		f := cwwork.TaskRun{Run: key}
		if !g.step.Gang {
			f = cwwork.TaskRun{Index: key & 0xffff, Run: key >> 16}
		}
		s.Failed = append(s.Failed, f)
	}
	slices.SortFunc(s.Failed, func(a, b cwwork.TaskRun) int {
		if a.Index != b.Index {
			return a.Index - b.Index
		}
		return a.Run - b.Run
	})
	return s
}
