package cwcell

import (
	"slices"
	"time"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// JobWrite is what the store has to hold about one job.
type JobWrite struct {
	Job      cwmodel.JobID
	State    cwwork.JobState  // final state, or empty
	Progress *cwwork.Progress // nil for a final state
	Queue    cwwork.QueueName
	Accepted time.Time
	version  int
}

// NextWrites returns the writes of at most limit jobs that pass and whose state is not durable, those of ended jobs first,
// since callers wait for them. Each is due again unless Committed says that it was done.
func (c *Cell) NextWrites(limit int, pass func(cwmodel.JobID) bool) (writes []JobWrite) {
	take := func(ended bool) {
		left := c.dirty[:0]
		for _, j := range c.dirty {
			if len(writes) >= limit || (j.final != "") != ended || !pass(j.ID) {
				left = append(left, j)
				continue
			}
			j.queued = false
			writes = append(writes, j.write())
		}
		clear(c.dirty[len(left):])
		c.dirty = left
	}
	take(true)
	take(false)
	return writes
}

// write returns what the store has to hold about the job.
func (j *job) write() JobWrite {
	w := JobWrite{Job: j.ID, State: j.final, Queue: j.Queue, Accepted: j.AcceptedAt, version: j.changed}
	if j.final == "" {
		w.Progress = j.snapshot()
	}
	return w
}

// EachPendingWrite calls each with the jobs whose state is not durable and not part of a write.
func (c *Cell) EachPendingWrite(each func(cwmodel.JobID)) {
	for _, j := range c.dirty {
		each(j.ID)
	}
}

// PendingWrites returns how many jobs wait for a write.
func (c *Cell) PendingWrites() int { return len(c.dirty) }

// CompleteWrites notes the outcome of a write and returns the jobs that have ended durably; failed writes are due again.
func (c *Cell) CompleteWrites(writes []JobWrite, ok bool, now time.Time) (concluded []JobWrite) {
	for _, w := range writes {
		j, known := c.jobs[w.Job]
		switch {
		case !known:
		case !ok:
			if !j.queued && !j.evict {
				j.queued = true
				c.dirty = append(c.dirty, j)
			}
		default:
			j.written = max(j.written, w.version)
			if w.State != "" && !j.evict {
				c.conclusion(j, now)
				concluded = append(concluded, w)
			}
		}
	}
	for _, w := range c.workers {
		w.advanceAck()
	}
	return concluded
}

// conclusion forgets a job whose final state is durable, once nothing of it runs.
func (c *Cell) conclusion(j *job, now time.Time) {
	c.ended[j.ID] = ended{state: j.final, at: now}
	c.endings = append(c.endings, j.ID)
	c.stopAll(j)
	j.evict = true
	c.evict(j)
}

// evict removes an ended job that has no runs left.
func (c *Cell) evict(j *job) {
	if !j.evict {
		return
	}
	for _, o := range j.occs {
		for _, g := range o.groups {
			for n := range g.tasks {
				if len(g.tasks[n].runs) > 0 {
					return
				}
			}
		}
	}
	delete(c.jobs, j.ID)
}

// snapshot returns the durable part of the job's state.
func (j *job) snapshot() *cwwork.Progress {
	p := &cwwork.Progress{}
	for _, o := range j.occs {
		for _, g := range o.groups {
			if s := g.snapshot(); len(s.Done) > 0 || len(s.Failed) > 0 {
				p.Steps = append(p.Steps, s)
			}
		}
	}
	return p
}

func (g *group) snapshot() cwwork.StepProgress {
	s := cwwork.StepProgress{Occurrence: g.key.Occurrence, Step: g.key.Step}
	for n := range g.tasks {
		if g.tasks[n].done {
			s.Done = append(s.Done, n)
		}
	}
	for id := range g.seen {
		f := cwwork.TaskRun{Run: id}
		if !g.step.Gang {
			f = cwwork.TaskRun{Index: id & 0xffff, Run: id >> 16}
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
