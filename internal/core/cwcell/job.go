package cwcell

import (
	"slices"
	"time"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// job is one accepted job that has not ended durably.
type job struct {
	*cwwork.Submission
	objective time.Duration // from acceptance until its latest end that earns its whole worth
	floor     int           // below the number of every run that this owner starts
	adopted   bool
	occs      []*occurrence
	nextOcc   int
	opened    int // occurrences that are not done
	started   bool
	final     cwwork.JobState // set once the outcome is decided; durable when written reaches changed
	changed   int
	written   int
	queued    bool // in dirty
	progress  *cwwork.Progress
	evict     bool
}

// occurrence is one run through the steps of a job.
type occurrence struct {
	number int
	groups []*group
	left   int // groups that are not done
}

// group is the tasks of one step of one occurrence.
type group struct {
	key         cwwork.StepKey
	job         *job
	step        *cwwork.Step
	tasks       []task
	waiting     int  // tasks that have neither a run nor an end
	left        int  // tasks that are not done
	depends     int  // groups before it that are not done
	finished    bool // counted as done
	isOpen      bool
	fresh       bool // something other than room has changed since it was last looked at
	since       time.Time
	advice      *eligibility
	failed      int // failed runs of a gang
	seen        map[int]struct{}
	preemptedAt time.Time // when room was last made for it
	partial     time.Time // a run of the gang has lacked members since then
}

// task is one task of a group.
type task struct {
	done    bool
	highest int // largest number of a run that was started or seen
	failed  int
	runs    []*run
	saved   string // latest checkpoint
	percent int
	avoid   []cwmodel.HostID
}

// runState says how far an order has come.
type runState string

const (
	runPlanned  runState = "planned"  // room is held while a ticket is renewed
	runOrdered  runState = "ordered"  // the start order is under way
	runRunning  runState = "running"  // confirmed by its worker
	runStopping runState = "stopping" // its end is wanted
)

// run is one run of one task, or the room held for it.
type run struct {
	group        *group
	index        int
	number       int
	worker       *worker
	state        runState
	confirmed    time.Time // when the start was confirmed
	ordered      time.Time
	stopSent     time.Time // zero: no stop order is under way
	stopped      time.Time // when the worker confirmed the stop order
	percent      int
	firstPercent int // of the first report
	firstSeen    time.Time
	moved        time.Time // when the percentage last rose
	adopted      bool      // started by an earlier owner
	uncertain    bool      // the start order got no answer
}

func (r *run) key() cwwork.TaskKey { return cwwork.TaskKey{StepKey: r.group.key, Index: r.index} }

// Admit adds an accepted job; adopted jobs may have run under an earlier owner. It reports false if the job is known.
func (c *Cell) Admit(s *cwwork.Submission, p *cwwork.Progress, adopted bool, now, wall time.Time) bool {
	if _, ok := c.jobs[s.ID]; ok {
		return false
	}
	if _, ok := c.ended[s.ID]; ok {
		return false
	}
	j := &job{Submission: s, adopted: adopted, progress: p}
	chain := s.CriticalPath(func(step *cwwork.Step) time.Duration { return c.expected(j, step) })
	j.objective = time.Duration(s.Policy.Stretch*float64(chain)) + s.Policy.TargetLatency
	if adopted {
		j.floor = c.opts.RunNumberBase
	}
	c.jobs[s.ID] = j
	c.queue(s.Queue).waiting++
	if s.Repeats > 0 {
		c.timed = append(c.timed, j)
	} else {
		c.openOccurrence(j, 0, now)
	}
	c.openOccurrences(now, wall)
	c.adoptRuns(j, now)
	return true
}

// openOccurrences opens the occurrences that are due on the time of day.
func (c *Cell) openOccurrences(now, wall time.Time) {
	for n := 0; n < len(c.timed); n++ {
		j := c.timed[n]
		for j.nextOcc < j.Occurrences() && !wall.Before(j.Due(j.nextOcc)) && j.final == "" {
			c.openOccurrence(j, j.nextOcc, now)
		}
		if j.nextOcc >= j.Occurrences() || j.final != "" {
			c.timed = slices.Delete(c.timed, n, n+1)
			n--
		}
	}
}

func (c *Cell) openOccurrence(j *job, number int, now time.Time) {
	o := &occurrence{number: number, left: len(j.Steps)}
	j.nextOcc = number + 1
	j.opened++
	for n := range j.Steps {
		step := &j.Steps[n]
		o.groups = append(o.groups, &group{
			key:     cwwork.StepKey{Job: j.ID, Occurrence: number, Step: n},
			job:     j,
			step:    step,
			tasks:   make([]task, step.Count),
			waiting: step.Count,
			left:    step.Count,
			depends: len(step.DependsOn),
			since:   now,
		})
	}
	j.occs = append(j.occs, o)
	c.restore(j, o)
	for _, g := range o.groups {
		c.openGroup(g, now)
	}
}

// restore applies the durable progress of a job to a new occurrence.
func (c *Cell) restore(j *job, o *occurrence) {
	if j.progress == nil {
		return
	}
	for _, p := range j.progress.Steps {
		if p.Occurrence != o.number || p.Step >= len(o.groups) {
			continue
		}
		g := o.groups[p.Step]
		for _, f := range p.Failed {
			if f.Index < len(g.tasks) {
				g.countFailure(f.Index, f.Run)
			}
		}
		for _, index := range p.Done {
			if index < len(g.tasks) {
				c.finishTask(g, index, o)
			}
		}
	}
}

// openGroup adds a group whose turn has come to those that are placed.
func (c *Cell) openGroup(g *group, now time.Time) {
	if g.isOpen || g.depends > 0 || g.waiting == 0 {
		return
	}
	g.isOpen, g.since = true, now
	c.open = append(c.open, g)
	c.refresh(g)
}

// refresh has the next decision look at a group.
func (c *Cell) refresh(g *group) { g.fresh, c.changed = true, true }

func (j *job) occurrence(number int) *occurrence {
	for _, o := range j.occs {
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

// countFailure notes a failed run once and reports whether it is new.
func (g *group) countFailure(index, number int) bool {
	id := number
	if !g.step.Gang {
		id = number<<16 | index
	}
	if _, ok := g.seen[id]; ok {
		return false
	}
	if g.seen == nil {
		g.seen = map[int]struct{}{}
	}
	g.seen[id] = struct{}{}
	if g.step.Gang {
		g.failed++
	} else {
		g.tasks[index].failed++
	}
	return true
}

// spent reports whether a task, or its gang, has failed as often as it may.
func (g *group) spent(index, attempts int) bool {
	if g.step.LongRunning {
		return false
	}
	if g.step.Gang {
		return g.failed >= attempts
	}
	return g.tasks[index].failed >= attempts
}

// finishTask notes the end of one task, and of all tasks of a gang.
func (c *Cell) finishTask(g *group, index int, o *occurrence) {
	if g.step.Gang {
		for n := range g.tasks {
			g.finishOne(n)
		}
	} else {
		g.finishOne(index)
	}
	if g.left > 0 || g.finished || g.step.LongRunning {
		return
	}
	g.finished = true
	o.left--
	for n, after := range g.job.Steps {
		if slices.Contains(after.DependsOn, g.key.Step) {
			o.groups[n].depends--
		}
	}
	if o.left == 0 {
		g.job.opened--
	}
}

func (g *group) finishOne(index int) {
	t := &g.tasks[index]
	if t.done {
		return
	}
	t.done = true
	g.left--
	if len(t.runs) == 0 {
		g.waiting--
	}
}

// mark makes the job's state part of the next write.
func (c *Cell) mark(j *job) {
	j.changed++
	if !j.queued {
		j.queued = true
		c.dirty = append(c.dirty, j)
	}
}

// conclude decides the outcome of a job and stops what still runs of it.
func (c *Cell) conclude(j *job, state cwwork.JobState) {
	if j.final != "" {
		return
	}
	j.final = state
	c.note(LogEntry{Event: "job-outcome", Job: j.ID, Detail: string(state)})
	c.mark(j)
	if !j.started {
		j.started = true
		c.queue(j.Queue).waiting--
	}
	for _, o := range j.occs {
		for _, g := range o.groups {
			c.closeGroup(g)
		}
	}
	if state != cwwork.StateCancelled {
		c.stopAll(j)
	}
}

// stopAll stops every run of a job.
func (c *Cell) stopAll(j *job) {
	for _, o := range j.occs {
		for _, g := range o.groups {
			for index := range g.tasks {
				for _, r := range slices.Clone(g.tasks[index].runs) {
					c.stop(r)
				}
			}
		}
	}
}

func (c *Cell) closeGroup(g *group) {
	if !g.isOpen {
		return
	}
	g.isOpen = false
	if at := slices.Index(c.open, g); at >= 0 {
		c.open = slices.Delete(c.open, at, at+1)
	}
}

// Cancel ends a job on its caller's demand. It reports whether the cell knows the job and whether its end is durable.
func (c *Cell) Cancel(id cwmodel.JobID) (known, durable bool) {
	if _, ok := c.ended[id]; ok {
		return true, true
	}
	j, ok := c.jobs[id]
	if !ok {
		return false, false
	}
	c.conclude(j, cwwork.StateCancelled)
	return true, false
}

// advance opens what the end of a task makes possible and concludes the job if it was the last.
func (c *Cell) advance(j *job, o *occurrence, now time.Time) {
	for _, g := range o.groups {
		c.openGroup(g, now)
	}
	if j.opened == 0 && j.nextOcc >= j.Occurrences() {
		c.conclude(j, cwwork.StateCompleted)
	}
}
