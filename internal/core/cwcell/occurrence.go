package cwcell

import (
	"slices"
	"time"

	"currantward/internal/core/cwwork"
)

// occurrence is one execution of the steps of a job.
type occurrence struct {
	number     int
	groups     []*group
	unfinished int // groups that are not done
}

// restoreFinished restores which occurrences of a scheduled job are finished. It opens the others that precede a finished one.
func (c *Cell) restoreFinished(j *job, now time.Time) {
	if j.progress == nil {
		return
	}
	for _, number := range j.progress.Unfinished {
		if number >= j.nextOccurrence && number < j.Occurrences() {
			c.openOccurrence(j, number, now)
		}
	}
	j.finishedBelow = max(j.finishedBelow, j.progress.FinishedBelow)
	j.nextOccurrence = max(j.nextOccurrence, j.progress.FinishedBelow)
	if j.nextOccurrence >= j.Occurrences() && j.unfinished == 0 {
		c.decideOutcome(j, cwwork.StateCompleted)
	}
}

// openOccurrencesWithProgress opens the occurrences of a job that have stored progress, also if they are not due by this host's time of
// day: an earlier owner, whose time of day was ahead, has started them.
func (c *Cell) openOccurrencesWithProgress(j *job, now time.Time) {
	if j.progress == nil {
		return
	}
	for _, p := range j.progress.Steps {
		c.openThrough(j, p.Occurrence, now)
	}
}

// openThrough opens the occurrences of a live job up to the one with a number, if the job has that many.
func (c *Cell) openThrough(j *job, number int, now time.Time) {
	if number >= j.Occurrences() {
		return
	}
	for j.nextOccurrence <= number && j.outcome == "" {
		c.openOccurrence(j, j.nextOccurrence, now)
	}
}

// maxClockOffset is the largest difference between the times of day of two hosts for which an owner takes over a started occurrence.
const maxClockOffset = 10 * time.Second

// openStarted opens the occurrence of a task that a worker has reported, if an earlier owner may have started it: its time of day
// may have been ahead of this host's.
func (c *Cell) openStarted(key cwwork.StepKey, now time.Time) {
	j, ok := c.jobs[key.Job]
	if ok && j.adopted && !c.wall.IsZero() && j.Due(key.Occurrence).Sub(c.wall) <= maxClockOffset {
		c.openThrough(j, key.Occurrence, now)
	}
}

// openDueOccurrences opens the occurrences whose due time has passed on the wall clock, of each job as long as the unfinished ones have
// at most MaxTasks tasks and their progress can be stored. Jobs that have no further occurrences to open leave scheduledJobs.
func (c *Cell) openDueOccurrences(now, wall time.Time) {
	for n := 0; n < len(c.scheduledJobs); n++ {
		j := c.scheduledJobs[n]
		maxUnfinished := max(1, min(cwwork.MaxTasks/j.Tasks(), c.opts.MaxStoredOccurrences(j.Submission)))
		for j.nextOccurrence < j.Occurrences() && !wall.Before(j.Due(j.nextOccurrence)) && j.outcome == "" && j.unfinished < maxUnfinished {
			c.openOccurrence(j, j.nextOccurrence, now)
		}
		if j.nextOccurrence >= j.Occurrences() || j.outcome != "" {
			c.scheduledJobs = slices.Delete(c.scheduledJobs, n, n+1)
			n--
		}
	}
}

// openOccurrence adds the groups of an occurrence, restores their progress and queues those whose dependencies are done.
func (c *Cell) openOccurrence(j *job, number int, now time.Time) {
	o := &occurrence{number: number, unfinished: len(j.Steps)}
	j.nextOccurrence = number + 1
	j.unfinished++
	for n := range j.Steps {
		step := &j.Steps[n]
		o.groups = append(o.groups, &group{
			key:                 cwwork.StepKey{Job: j.ID, Occurrence: number, Step: n},
			job:                 j,
			step:                step,
			tasks:               make([]task, step.Count),
			waiting:             step.Count,
			unfinished:          step.Count,
			pendingDependencies: countDistinct(step.DependsOn),
			waitingSince:        now,
		})
	}
	j.occurrences = append(j.occurrences, o)
	c.restoreProgress(j, o, now)
	for _, g := range o.groups {
		c.enqueueGroup(g, now)
	}
}

// countDistinct returns the number of different values in a list, which may name a step more than once.
func countDistinct(list []int) int {
	sorted := slices.Clone(list)
	slices.Sort(sorted)
	return len(slices.Compact(sorted))
}

// restoreProgress applies the durable progress of a job to a new occurrence.
func (c *Cell) restoreProgress(j *job, o *occurrence, now time.Time) {
	if j.progress == nil {
		return
	}
	for _, p := range j.progress.Steps {
		if p.Occurrence != o.number || p.Step >= len(o.groups) {
			continue
		}
		g := o.groups[p.Step]
		if p.HasStarted() {
			c.markStarted(j)
		}
		for _, f := range p.Failed {
			if f.Index < len(g.tasks) && !g.step.LongRunning {
				g.countFailure(f.Index, f.Run)
			}
		}
		c.restoreLosses(g, p.Lost, now)
		for _, index := range p.Done {
			if index < len(g.tasks) {
				c.finishTask(g, index, o)
			}
		}
	}
}

// dropFinished removes the finished occurrences that have no runs left.
func (j *job) dropFinished() {
	j.occurrences = slices.DeleteFunc(j.occurrences, func(o *occurrence) bool { return o.unfinished == 0 && !o.hasRuns() })
}

// hasRuns reports whether some task of the occurrence has a run.
func (o *occurrence) hasRuns() bool {
	for _, g := range o.groups {
		for n := range g.tasks {
			if len(g.tasks[n].runs) > 0 {
				return true
			}
		}
	}
	return false
}
