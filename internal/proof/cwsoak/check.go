package cwsoak

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"currantward/internal/core/cwcell"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
	"currantward/internal/proof/cwprocess"
	"currantward/platform/cwstandin"
)

// span is one run as its runner's journal has it.
type span struct {
	worker  string
	rack    string
	life    int64 // when the runner was born, in nanoseconds since 1970
	task    cwwork.TaskKey
	run     int
	spec    string // digest of the payload
	began   time.Time
	ended   time.Time // of the journal, or of the kill of its process; zero if it runs on
	how     cwcell.EndKind
	number  uint64    // of its end
	noted   time.Time // when its end was acknowledged; zero if it was not
	running bool
}

// Report counts what a check has looked at.
type Report struct {
	cwprocess.Findings
	Jobs, Accepted, Runs int
}

// checker compares what callers saw with what the runners' journals say.
type checker struct {
	*Report
	jobs  map[cwmodel.JobID]*job
	spans []span                    // in the order in which they began
	tasks map[cwwork.TaskKey][]span // of each task, in the same order
	steps map[cwwork.StepKey][]span // of each step, in the same order
}

// check looks for violations once nothing runs any more but what was never cancelled.
func check(f *Cluster, l *load) *Report {
	c := &checker{Report: &Report{}, jobs: l.jobs, tasks: map[cwwork.TaskKey][]span{}, steps: map[cwwork.StepKey][]span{}}
	for _, r := range f.racks {
		for _, p := range r.lives {
			c.spans = append(c.spans, c.read(r, p)...)
		}
	}
	slices.SortFunc(c.spans, func(a, b span) int { return a.began.Compare(b.began) })
	for _, s := range c.spans {
		c.tasks[s.task] = append(c.tasks[s.task], s)
		c.steps[s.task.StepKey] = append(c.steps[s.task.StepKey], s)
	}
	c.Runs, c.Jobs = len(c.spans), len(c.jobs)
	for n := range c.spans {
		c.checkAsked(&c.spans[n], f.racks)
		c.checkStopped(&c.spans[n])
	}
	c.checkRoom()
	c.checkApart()
	for key, spans := range c.tasks {
		c.checkOnce(key, spans)
	}
	for _, j := range c.jobs {
		c.checkJob(j)
	}
	slices.Sort(c.Violations)
	return c.Report
}

// read returns the runs of one life of a rack.
func (c *checker) read(r *rack, p *cwprocess.Process) (spans []span) {
	type runKey struct {
		worker, task string
		run          int
	}
	open := map[runKey]int{}
	acked := map[string]map[uint64]time.Time{}
	for _, line := range p.EventLines(cwstandin.EventEndsAcknowledged) {
		worker := line.Get("worker")
		if acked[worker] == nil {
			acked[worker] = map[uint64]time.Time{}
		}
		acked[worker][uint64(integer(line, "number"))] = moment(line)
	}
	for _, line := range p.EventLines(cwstandin.EventRunStarted) {
		key, err := cwwork.ParseTaskKey(line.Get("task"))
		if err != nil {
			c.AddViolation("a runner began %q, which is no task", line.Get("task"))
			continue
		}
		s := span{
			worker: line.Get("worker"), rack: r.name, life: integer(line, "born"), task: key, run: int(integer(line, "run")),
			spec: line.Get("spec"), began: moment(line), ended: p.KilledAt, running: p.KilledAt.IsZero(),
		}
		open[runKey{s.worker, line.Get("task"), s.run}] = len(spans)
		spans = append(spans, s)
	}
	for _, line := range p.EventLines(cwstandin.EventRunEnded) {
		at, ok := open[runKey{line.Get("worker"), line.Get("task"), int(integer(line, "run"))}]
		if !ok {
			continue
		}
		s := &spans[at]
		s.ended, s.running, s.number = moment(line), false, uint64(integer(line, "number"))
		s.how, _ = cwcell.ParseEndKind(line.Get("how"))
		for number, when := range acked[s.worker] {
			if number >= s.number && (s.noted.IsZero() || when.Before(s.noted)) {
				s.noted = when
			}
		}
	}
	return spans
}

func moment(line cwprocess.LogLine) time.Time { return time.Unix(0, integer(line, "at")) }

func integer(line cwprocess.LogLine, key string) int64 {
	n, err := strconv.ParseInt(line.Get(key), 10, 64)
	if err != nil {
		return 0 // a line that was cut short by a kill
	}
	return n
}

// checkAsked demands that a run was asked for by a client, with its payload, where its job may run.
func (c *checker) checkAsked(s *span, racks []*rack) {
	j, ok := c.jobs[s.task.Job]
	if !ok || s.task.Step >= len(j.Steps) || s.task.Index >= j.Steps[s.task.Step].Count {
		c.AddViolation("%s began on %s and nobody asked for it", s.task, s.worker)
		return
	}
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(j.Payload)) // a hash takes every write
	if strconv.FormatUint(uint64(sum.Sum32()), 10) != s.spec {
		c.AddViolation("%s began on %s with another payload", s.task, s.worker)
	}
	if j.tries > 0 && j.rejected == j.tries {
		c.AddViolation("%s began on %s though each of the %d tries to hand its job in was refused", s.task, s.worker, j.tries)
	}
	if label := j.Steps[s.task.Step].RequiredLabel; label != "" {
		at := slices.IndexFunc(racks, func(r *rack) bool { return r.name == s.rack })
		if racks[at].kind != label {
			c.AddViolation("%s began on %s, which lacks %s", s.task, s.worker, label)
		}
	}
	if j.work.RequiresTicket && !cwstandin.IsEligible(s.task.StepKey.String(), s.worker) {
		c.AddViolation("%s began on %s, which its queue's policy forbids", s.task, s.worker)
	}
	if due := j.Due(s.task.Occurrence); j.Repeats > 0 && s.began.Before(due.Add(-earliest)) {
		c.AddViolation("%s began %s before its time", s.task, due.Sub(s.began))
	}
	c.checkOrder(s, j)
}

// earliest is by how much a timed task may come too early.
const earliest = 250 * time.Millisecond

// checkOrder demands that the steps before a run's step were done when it began.
func (c *checker) checkOrder(s *span, j *job) {
	for _, before := range j.Steps[s.task.Step].DependsOn {
		key := s.task.StepKey
		key.Step = before
		for index := range j.Steps[before].Count {
			if !c.done(j, cwwork.TaskKey{StepKey: key, Index: index}, s.began) {
				c.AddViolation("%s began at %s before %s.%d was done", s.task, s.began.Format(clock), key, index)
			}
			if j.Steps[before].Gang {
				break // one end represents all
			}
		}
	}
}

// clock is how times are written.
const clock = "05.000"

// done reports whether a task, or its gang, had ended well by a time.
func (c *checker) done(j *job, task cwwork.TaskKey, by time.Time) bool {
	spans := c.tasks[task]
	if j.Steps[task.Step].Gang {
		spans = c.steps[task.StepKey]
	}
	return slices.ContainsFunc(spans, func(s span) bool { return s.how == cwcell.EndDone && !s.ended.After(by) })
}

// checkRoom demands that no runner is given more than it holds.
func (c *checker) checkRoom() {
	type life struct {
		worker string
		born   int64
	}
	lives := map[life][]span{}
	for _, s := range c.spans {
		key := life{s.worker, s.life}
		present := slices.DeleteFunc(lives[key], func(o span) bool { return !o.running && !o.ended.After(s.began) })
		present = append(present, s)
		lives[key] = present
		var used cwmodel.Resources
		for _, o := range present {
			if j, ok := c.jobs[o.task.Job]; ok && o.task.Step < len(j.Steps) {
				used = used.Add(j.Steps[o.task.Step].Demand)
			}
		}
		if !used.FitsIn(cwmodel.Resources{MilliProcessors: runnerProcessors * 1000, MemoryBytes: runnerMemoryMiB << 20}) {
			c.AddViolation("%s on %s at %s brings it to %s", s.task, s.worker, s.began.Format(clock), used)
		}
	}
}

// checkApart demands that steps which want their tasks apart get that.
func (c *checker) checkApart() {
	for key, spans := range c.steps {
		j, ok := c.jobs[key.Job]
		if !ok || j.Steps[key.Step].MaxPerWorker == 0 {
			continue
		}
		for n, s := range spans {
			together := 0
			for _, o := range spans[:n+1] {
				if o.worker == s.worker && o.life == s.life && (o.running || o.ended.After(s.began)) {
					together++
				}
			}
			if together > j.Steps[key.Step].MaxPerWorker {
				c.AddViolation("%d tasks of %s ran together on %s at %s", together, key, s.worker, s.began.Format(clock))
			}
		}
	}
}

// checkOnce demands that a task never runs in two places, nor after its end was noted, nor more often than it may fail.
func (c *checker) checkOnce(key cwwork.TaskKey, spans []span) {
	j, ok := c.jobs[key.Job]
	if !ok || key.Step >= len(j.Steps) {
		return
	}
	lasts := j.Steps[key.Step].LongRunning
	for n, s := range spans {
		failed := 0
		for _, o := range spans[:n] {
			if o.running || o.ended.After(s.began) {
				c.AddViolation("%s began on %s at %s (run %d) while it ran on %s (run %d)", key, s.worker, s.began.Format(clock), s.run, o.worker, o.run)
			}
			switch noted := !o.noted.IsZero() && o.noted.Before(s.began); {
			case !noted || lasts:
			case o.how == cwcell.EndDone:
				c.AddViolation("%s began on %s at %s after its end was noted at %s", key, s.worker, s.began.Format(clock), o.noted.Format(clock))
			case o.how == cwcell.EndFailed:
				failed++
			}
		}
		if failed >= maxAttempts {
			c.AddViolation("%s began on %s at %s after %d failed runs", key, s.worker, s.began.Format(clock), failed)
		}
	}
}

// checkStopped demands that nothing runs of a job that has ended.
func (c *checker) checkStopped(s *span) {
	if j, ok := c.jobs[s.task.Job]; ok && s.running && j.shown.IsFinal() {
		c.AddViolation("%s still runs on %s though its job is %s", s.task, s.worker, j.shown)
	}
}

// checkJob demands that an accepted job has ended as its caller was told.
func (c *checker) checkJob(j *job) {
	if j.accepted.IsZero() {
		return
	}
	c.Accepted++
	if !j.gone.IsZero() {
		c.AddViolation("job %s was said not to exist at %s, accepted at %s", j.ID, j.gone.Format(clock), j.accepted.Format(clock))
	}
	switch {
	case j.shown == cwwork.StateCompleted && !j.completed.IsZero():
		c.checkCompleted(j)
	case j.shown == cwwork.StateFailed:
		c.checkFailed(j)
	case j.shown == cwwork.StateCancelled && j.cancelled.IsZero():
		c.AddViolation("job %s was shown as cancelled and nobody asked for that", j.ID)
	case !j.shown.IsFinal():
		c.AddViolation("job %s, accepted at %s, has not ended: %q", j.ID, j.accepted.Format(clock), j.shown)
	}
}

// checkCompleted demands that each task had ended well when its job was shown as completed.
func (c *checker) checkCompleted(j *job) {
	for occurrence := range j.Occurrences() {
		for n := range j.Steps {
			for index := range j.Steps[n].Count {
				task := cwwork.TaskKey{StepKey: cwwork.StepKey{Job: j.ID, Occurrence: occurrence, Step: n}, Index: index}
				if !c.done(j, task, j.completed) {
					c.AddViolation("job %s was shown as completed at %s and %s was not done", j.ID, j.completed.Format(clock), task)
				}
			}
		}
	}
}

// checkFailed demands that a job which is shown as failed has a task that failed as often as it may. The members of a gang
// share their runs.
func (c *checker) checkFailed(j *job) {
	for occurrence := range j.Occurrences() {
		for n := range j.Steps {
			if c.mostFailures(cwwork.StepKey{Job: j.ID, Occurrence: occurrence, Step: n}, j.Steps[n].Gang) >= maxAttempts {
				return
			}
		}
	}
	c.AddViolation("job %s was shown as failed and no task of it failed %d times", j.ID, maxAttempts)
}

// mostFailures returns how many runs of one task of a step, or of its gang, have failed at most.
func (c *checker) mostFailures(key cwwork.StepKey, gang bool) (most int) {
	type failure struct{ index, run int }
	seen, counts := map[failure]bool{}, map[int]int{}
	for _, s := range c.steps[key] {
		f := failure{s.task.Index, s.run}
		if gang {
			f.index = 0
		}
		if s.how == cwcell.EndFailed && !seen[f] {
			seen[f] = true
			counts[f.index]++
			most = max(most, counts[f.index])
		}
	}
	return most
}

// sortJobs returns jobs in the order of their identifiers.
func sortJobs(jobs []*job) []*job {
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.ID, b.ID) })
	return jobs
}
