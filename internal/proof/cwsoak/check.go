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

// runRecord is one run of a task, read from the log of its runner.
type runRecord struct {
	worker        string
	rack          string
	incarnation   int64 // start time of the runner, in nanoseconds since 1970
	task          cwwork.TaskKey
	run           int
	payloadDigest string
	startedAt     time.Time
	endedAt       time.Time // also set when the process of the runner was killed; zero while the run lasts
	endKind       cwcell.EndKind
	endNumber     uint64    // sequence number of its end at the runner
	ackedAt       time.Time // when its end was acknowledged; zero if it was not
	isRunning     bool
}

// Report counts what a check covered, with the violations that it found.
type Report struct {
	cwprocess.Findings
	Jobs, Accepted, Runs int
}

// checker compares what callers received with the runs in the runners' logs.
type checker struct {
	*Report
	jobs   map[cwmodel.JobID]*job
	runs   []runRecord                    // ordered by start time
	byTask map[cwwork.TaskKey][]runRecord // ordered by start time
	byStep map[cwwork.StepKey][]runRecord // ordered by start time
}

// check looks for violations after the load has settled, when only jobs that were never cancelled may still run.
func check(cluster *Cluster, l *load) *Report {
	c := &checker{Report: &Report{}, jobs: l.jobs, byTask: map[cwwork.TaskKey][]runRecord{}, byStep: map[cwwork.StepKey][]runRecord{}}
	for _, r := range cluster.racks {
		for _, p := range r.incarnations {
			c.runs = append(c.runs, c.readRuns(r, p)...)
		}
	}
	slices.SortFunc(c.runs, func(a, b runRecord) int { return a.startedAt.Compare(b.startedAt) })
	for _, run := range c.runs {
		c.byTask[run.task] = append(c.byTask[run.task], run)
		c.byStep[run.task.StepKey] = append(c.byStep[run.task.StepKey], run)
	}
	c.Runs, c.Jobs = len(c.runs), len(c.jobs)
	for n := range c.runs {
		c.checkRequested(&c.runs[n], cluster.racks)
		c.checkStopped(&c.runs[n])
	}
	c.checkCapacity()
	c.checkMaxPerWorker()
	for key, runs := range c.byTask {
		c.checkSingleExecution(key, runs)
	}
	for _, j := range c.jobs {
		c.checkJob(j)
	}
	slices.Sort(c.Violations)
	return c.Report
}

// readRuns returns the runs of one incarnation of a rack.
func (c *checker) readRuns(r *rack, p *cwprocess.Process) (runs []runRecord) {
	type runKey struct {
		worker, task string
		run          int
	}
	indexOf := map[runKey]int{}
	acked := map[string]map[uint64]time.Time{}
	for _, line := range p.EventLines(cwstandin.EventEndsAcknowledged) {
		worker := line.Get("worker")
		if acked[worker] == nil {
			acked[worker] = map[uint64]time.Time{}
		}
		acked[worker][uint64(intValue(line, "number"))] = timestamp(line)
	}
	for _, line := range p.EventLines(cwstandin.EventRunStarted) {
		key, err := cwwork.ParseTaskKey(line.Get("task"))
		if err != nil {
			c.AddViolation("a runner started %q, which is not a task key", line.Get("task"))
			continue
		}
		record := runRecord{
			worker: line.Get("worker"), rack: r.name, incarnation: intValue(line, "born"), task: key, run: int(intValue(line, "run")),
			payloadDigest: line.Get("spec"), startedAt: timestamp(line), endedAt: p.KilledAt, isRunning: p.KilledAt.IsZero(),
		}
		indexOf[runKey{record.worker, line.Get("task"), record.run}] = len(runs)
		runs = append(runs, record)
	}
	for _, line := range p.EventLines(cwstandin.EventRunEnded) {
		index, ok := indexOf[runKey{line.Get("worker"), line.Get("task"), int(intValue(line, "run"))}]
		if !ok {
			continue
		}
		record := &runs[index]
		record.endedAt, record.isRunning, record.endNumber = timestamp(line), false, uint64(intValue(line, "number"))
		record.endKind, _ = cwcell.ParseEndKind(line.Get("how"))
		for number, at := range acked[record.worker] {
			if number >= record.endNumber && (record.ackedAt.IsZero() || at.Before(record.ackedAt)) {
				record.ackedAt = at
			}
		}
	}
	return runs
}

func timestamp(line cwprocess.LogLine) time.Time { return time.Unix(0, intValue(line, "at")) }

func intValue(line cwprocess.LogLine, key string) int64 {
	n, err := strconv.ParseInt(line.Get(key), 10, 64)
	if err != nil {
		return 0 // the line was truncated when the process was killed
	}
	return n
}

// checkRequested asserts that a run belongs to a submitted job, has its payload, started on a runner that the job allows, and did not
// start before it was due.
func (c *checker) checkRequested(run *runRecord, racks []*rack) {
	j, ok := c.jobs[run.task.Job]
	if !ok || run.task.Step >= len(j.Steps) || run.task.Index >= j.Steps[run.task.Step].Count {
		c.AddViolation("%s was started on %s, but no caller submitted it", run.task, run.worker)
		return
	}
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(j.Payload)) // writing to a hash never fails
	if strconv.FormatUint(uint64(sum.Sum32()), 10) != run.payloadDigest {
		c.AddViolation("%s was started on %s with another payload", run.task, run.worker)
	}
	if j.submitCount > 0 && j.rejectedCount == j.submitCount {
		c.AddViolation("%s was started on %s though all %d submissions of its job were rejected", run.task, run.worker, j.submitCount)
	}
	if label := j.Steps[run.task.Step].RequiredLabel; label != "" {
		index := slices.IndexFunc(racks, func(r *rack) bool { return r.name == run.rack })
		if racks[index].kind != label {
			c.AddViolation("%s was started on %s, which lacks the label %s", run.task, run.worker, label)
		}
	}
	if j.spec.RequiresTicket && !cwstandin.IsEligible(run.task.StepKey.String(), run.worker) {
		c.AddViolation("%s was started on %s, which the policy of its queue forbids", run.task, run.worker)
	}
	if due := j.Due(run.task.Occurrence); j.Repeats > 0 && run.startedAt.Before(due.Add(-earlyTolerance)) {
		c.AddViolation("%s was started %s before it was due", run.task, due.Sub(run.startedAt))
	}
	c.checkOrder(run, j)
}

// earlyTolerance is the time by which a task of a repeated job may start before it is due.
const earlyTolerance = 250 * time.Millisecond

// checkOrder asserts that the steps on which a run's step depends were done when the run started.
func (c *checker) checkOrder(run *runRecord, j *job) {
	for _, dependency := range j.Steps[run.task.Step].DependsOn {
		key := run.task.StepKey
		key.Step = dependency
		for index := range j.Steps[dependency].Count {
			if !c.isDone(j, cwwork.TaskKey{StepKey: key, Index: index}, run.startedAt) {
				c.AddViolation("%s was started at %s before %s.%d was done", run.task, run.startedAt.Format(clockLayout), key, index)
			}
			if j.Steps[dependency].Gang {
				break // one end counts for all members
			}
		}
	}
}

// clockLayout is the format of times in violations.
const clockLayout = "05.000"

// isDone reports whether a task, or the gang that it belongs to, was done by a given time.
func (c *checker) isDone(j *job, task cwwork.TaskKey, by time.Time) bool {
	runs := c.byTask[task]
	if j.Steps[task.Step].Gang {
		runs = c.byStep[task.StepKey]
	}
	return slices.ContainsFunc(runs, func(run runRecord) bool { return run.endKind == cwcell.EndDone && !run.endedAt.After(by) })
}

// checkCapacity asserts that the demands of the runs on a runner never exceed its capacity.
func (c *checker) checkCapacity() {
	type runnerKey struct {
		worker      string
		incarnation int64
	}
	runsOf := map[runnerKey][]runRecord{}
	for _, run := range c.runs {
		key := runnerKey{run.worker, run.incarnation}
		current := slices.DeleteFunc(runsOf[key], func(o runRecord) bool { return !o.isRunning && !o.endedAt.After(run.startedAt) })
		current = append(current, run)
		runsOf[key] = current
		var used cwmodel.Resources
		for _, o := range current {
			if j, ok := c.jobs[o.task.Job]; ok && o.task.Step < len(j.Steps) {
				used = used.Add(j.Steps[o.task.Step].Demand)
			}
		}
		if !used.FitsIn(cwmodel.Resources{MilliProcessors: runnerProcessors * 1000, MemoryBytes: runnerMemoryMiB << 20}) {
			c.AddViolation("%s on %s at %s raises the total demand there to %s, above its capacity", run.task, run.worker, run.startedAt.Format(clockLayout), used)
		}
	}
}

// checkMaxPerWorker asserts that no runner runs more tasks of a step at the same time than the step allows.
func (c *checker) checkMaxPerWorker() {
	for key, runs := range c.byStep {
		j, ok := c.jobs[key.Job]
		if !ok || j.Steps[key.Step].MaxPerWorker == 0 {
			continue
		}
		for n, run := range runs {
			concurrent := 0
			for _, o := range runs[:n+1] {
				if o.worker == run.worker && o.incarnation == run.incarnation && (o.isRunning || o.endedAt.After(run.startedAt)) {
					concurrent++
				}
			}
			if concurrent > j.Steps[key.Step].MaxPerWorker {
				c.AddViolation("%d tasks of %s ran at the same time on %s at %s", concurrent, key, run.worker, run.startedAt.Format(clockLayout))
			}
		}
	}
}

// checkSingleExecution asserts that a task never runs on two runners at the same time, does not start again after its success was
// acknowledged unless it is long-running, and fails at most as often as its queue allows.
func (c *checker) checkSingleExecution(key cwwork.TaskKey, runs []runRecord) {
	j, ok := c.jobs[key.Job]
	if !ok || key.Step >= len(j.Steps) {
		return
	}
	longRunning := j.Steps[key.Step].LongRunning
	for n, run := range runs {
		failed := 0
		for _, o := range runs[:n] {
			if o.isRunning || o.endedAt.After(run.startedAt) {
				c.AddViolation("%s was started on %s at %s (run %d) while it ran on %s (run %d)", key, run.worker, run.startedAt.Format(clockLayout), run.run, o.worker, o.run)
			}
			switch acked := !o.ackedAt.IsZero() && o.ackedAt.Before(run.startedAt); {
			case !acked || longRunning:
			case o.endKind == cwcell.EndDone:
				c.AddViolation("%s was started on %s at %s after its end was acknowledged at %s", key, run.worker, run.startedAt.Format(clockLayout), o.ackedAt.Format(clockLayout))
			case o.endKind == cwcell.EndFailed:
				failed++
			}
		}
		if failed >= maxAttempts {
			c.AddViolation("%s was started on %s at %s after %d failed runs", key, run.worker, run.startedAt.Format(clockLayout), failed)
		}
	}
}

// checkStopped asserts that no task of an ended job still runs.
func (c *checker) checkStopped(run *runRecord) {
	if j, ok := c.jobs[run.task.Job]; ok && run.isRunning && j.state.IsFinal() {
		c.AddViolation("%s still runs on %s though its job is %s", run.task, run.worker, j.state)
	}
}

// checkJob asserts that an accepted job has ended, and that the runs match the final state that callers received.
func (c *checker) checkJob(j *job) {
	if j.acceptedAt.IsZero() {
		return
	}
	c.Accepted++
	if !j.notFoundAt.IsZero() {
		c.AddViolation("job %s was reported as not found at %s, accepted at %s", j.ID, j.notFoundAt.Format(clockLayout), j.acceptedAt.Format(clockLayout))
	}
	switch {
	case j.state == cwwork.StateCompleted && !j.completedAt.IsZero():
		c.checkCompleted(j)
	case j.state == cwwork.StateFailed:
		c.checkFailed(j)
	case j.state == cwwork.StateCancelled && j.cancelledAt.IsZero():
		c.AddViolation("job %s is reported as cancelled, but no caller cancelled it", j.ID)
	case !j.state.IsFinal():
		c.AddViolation("job %s, accepted at %s, has not ended: %q", j.ID, j.acceptedAt.Format(clockLayout), j.state)
	}
}

// checkCompleted asserts that each task was done when its job was first reported as completed.
func (c *checker) checkCompleted(j *job) {
	for occurrence := range j.Occurrences() {
		for n := range j.Steps {
			for index := range j.Steps[n].Count {
				task := cwwork.TaskKey{StepKey: cwwork.StepKey{Job: j.ID, Occurrence: occurrence, Step: n}, Index: index}
				if !c.isDone(j, task, j.completedAt) {
					c.AddViolation("job %s was reported as completed at %s before %s was done", j.ID, j.completedAt.Format(clockLayout), task)
				}
			}
		}
	}
}

// checkFailed asserts that a job reported as failed has a task that failed as often as its queue allows. The members of a gang share
// their runs.
func (c *checker) checkFailed(j *job) {
	for occurrence := range j.Occurrences() {
		for n := range j.Steps {
			if c.maxFailures(cwwork.StepKey{Job: j.ID, Occurrence: occurrence, Step: n}, j.Steps[n].Gang) >= maxAttempts {
				return
			}
		}
	}
	c.AddViolation("job %s is reported as failed, but none of its tasks failed %d times", j.ID, maxAttempts)
}

// maxFailures returns the highest number of failed runs among the tasks of a step. The runs of a gang count as those of one task.
func (c *checker) maxFailures(key cwwork.StepKey, isGang bool) (most int) {
	type failure struct{ index, run int }
	seen, counts := map[failure]bool{}, map[int]int{}
	for _, run := range c.byStep[key] {
		f := failure{run.task.Index, run.run}
		if isGang {
			f.index = 0
		}
		if run.endKind == cwcell.EndFailed && !seen[f] {
			seen[f] = true
			counts[f.index]++
			most = max(most, counts[f.index])
		}
	}
	return most
}

// sortJobs sorts jobs by identifier and returns them.
func sortJobs(jobs []*job) []*job {
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.ID, b.ID) })
	return jobs
}
