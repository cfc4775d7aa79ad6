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
	runner      string
	rackName    string
	incarnation int64 // start time of the runner, in nanoseconds since 1970
	task        cwwork.TaskKey
	runNumber   int
	payloadHash string
	startedAt   time.Time
	endedAt     time.Time      // also set when the process of the runner was killed; zero while the run lasts
	endKind     cwcell.EndKind // empty while the run lasts, or if its process was killed
	endNumber   uint64         // sequence number of its end at the runner
	ackedAt     time.Time      // when its end was acknowledged; zero if it was not
	isRunning   bool
}

// endedWithRunner reports whether the run ended with the process of its runner.
func (r *runRecord) endedWithRunner() bool { return !r.isRunning && r.endKind == "" }

// Report counts the submitted jobs, the accepted ones and the runs that a check covered, with the violations that it found.
type Report struct {
	cwprocess.Findings
	Jobs, Accepted, Runs int
}

// checker looks for violations of the scheduler's guarantees, in what callers received and in the runs in the runners' logs.
type checker struct {
	*Report
	jobs       map[cwmodel.JobID]*job
	runs       []runRecord                    // of all runners, ordered by start time
	runsByTask map[cwwork.TaskKey][]runRecord // ordered by start time
	runsByStep map[cwwork.StepKey][]runRecord // ordered by start time
	capacities map[runnerKey][]capacityRecord // ordered by time
}

// runnerKey identifies one incarnation of a runner.
type runnerKey struct {
	runner      string
	incarnation int64 // start time, in nanoseconds since 1970
}

// capacityRecord is a capacity that a runner has reported.
type capacityRecord struct {
	since      time.Time
	processors int64 // thousandths
}

// checkGuarantees looks for violations of the scheduler's guarantees. It must run after awaitSettled, when the runs of ended and
// cancelled jobs have had time to stop. Another job may still run; checkJob reports it if it was accepted.
func checkGuarantees(cluster *Cluster, l *load) *Report {
	c := &checker{Report: &Report{}, jobs: l.jobs, runsByTask: map[cwwork.TaskKey][]runRecord{}, runsByStep: map[cwwork.StepKey][]runRecord{}, capacities: map[runnerKey][]capacityRecord{}}
	for _, rk := range cluster.racks {
		for _, p := range rk.incarnations {
			c.runs = append(c.runs, c.readRuns(rk, p)...)
		}
	}
	slices.SortFunc(c.runs, func(a, b runRecord) int { return a.startedAt.Compare(b.startedAt) })
	for _, run := range c.runs {
		c.runsByTask[run.task] = append(c.runsByTask[run.task], run)
		c.runsByStep[run.task.StepKey] = append(c.runsByStep[run.task.StepKey], run)
	}
	c.Runs, c.Jobs = len(c.runs), len(c.jobs)
	for n := range c.runs {
		c.checkMatchesSubmission(&c.runs[n], cluster.racks)
		c.checkStoppedAfterJob(&c.runs[n])
	}
	c.checkCapacity()
	c.checkMaxTasksPerRunner()
	for key, runs := range c.runsByTask {
		c.checkSingleExecution(key, runs)
		c.checkCrashes(key, runs)
	}
	for _, j := range c.jobs {
		c.checkJob(j)
	}
	slices.Sort(c.Violations)
	return c.Report
}

// readRuns returns the runs in the log of one process of a rack.
func (c *checker) readRuns(rk *rack, p *cwprocess.Process) (runs []runRecord) {
	type runKey struct {
		runnerKey
		task      string
		runNumber int
	}
	runnerOf := func(line cwprocess.LogLine) runnerKey { return runnerKey{line.Get("worker"), intValue(line, "born")} }
	indexOf := map[runKey]int{}
	acked := map[runnerKey]map[uint64]time.Time{}
	for _, line := range p.EventLines(cwstandin.EventEndsAcknowledged) {
		runner := runnerOf(line)
		if acked[runner] == nil {
			acked[runner] = map[uint64]time.Time{}
		}
		acked[runner][uint64(intValue(line, "number"))] = timestamp(line)
	}
	for _, line := range p.EventLines(cwstandin.EventRunStarted) {
		key, err := cwwork.ParseTaskKey(line.Get("task"))
		if err != nil {
			c.AddViolation("a runner started %q, which is not a task key", line.Get("task"))
			continue
		}
		record := runRecord{
			runner: line.Get("worker"), rackName: rk.name, incarnation: intValue(line, "born"), task: key, runNumber: int(intValue(line, "run")),
			payloadHash: line.Get("spec"), startedAt: timestamp(line), endedAt: p.KilledAt, isRunning: p.KilledAt.IsZero(),
		}
		indexOf[runKey{runnerOf(line), line.Get("task"), record.runNumber}] = len(runs)
		runs = append(runs, record)
	}
	endCrashedRuns(runs, p.EventLines(cwstandin.EventRunnerCrashed))
	for _, line := range p.EventLines(cwstandin.EventCapacityReported) {
		key := runnerOf(line)
		c.capacities[key] = append(c.capacities[key], capacityRecord{timestamp(line), intValue(line, "processors")})
	}
	for _, line := range p.EventLines(cwstandin.EventRunEnded) {
		index, ok := indexOf[runKey{runnerOf(line), line.Get("task"), int(intValue(line, "run"))}]
		if !ok {
			continue
		}
		record := &runs[index]
		record.endedAt, record.isRunning, record.endNumber = timestamp(line), false, uint64(intValue(line, "number"))
		record.endKind, _ = cwcell.ParseEndKind(line.Get("how"))
		for number, at := range acked[runnerOf(line)] {
			if number >= record.endNumber && (record.ackedAt.IsZero() || at.Before(record.ackedAt)) {
				record.ackedAt = at
			}
		}
	}
	return runs
}

// endCrashedRuns ends the runs of the runners that a task has crashed, which the given lines name.
func endCrashedRuns(runs []runRecord, crashes []cwprocess.LogLine) {
	for _, line := range crashes {
		for n := range runs {
			if run := &runs[n]; run.runner == line.Get("worker") && run.incarnation == intValue(line, "born") {
				run.endedAt, run.isRunning = timestamp(line), false
			}
		}
	}
}

// timestamp returns the time of a log line.
func timestamp(line cwprocess.LogLine) time.Time { return time.Unix(0, intValue(line, "at")) }

// intValue returns the integer under a key of a log line, or 0 if the line lacks it.
func intValue(line cwprocess.LogLine, key string) int64 {
	n, err := strconv.ParseInt(line.Get(key), 10, 64)
	if err != nil {
		return 0 // the line was truncated when the process was killed
	}
	return n
}

// checkMatchesSubmission asserts that a run belongs to a submitted job, has the payload of that job, started on a runner that the job
// allows, after the steps on which it depends, and did not start before it was due.
func (c *checker) checkMatchesSubmission(run *runRecord, racks []*rack) {
	j, ok := c.jobs[run.task.Job]
	if !ok || run.task.Step >= len(j.Steps) || run.task.Index >= j.Steps[run.task.Step].Count {
		c.AddViolation("%s was started on %s, but no caller submitted it", run.task, run.runner)
		return
	}
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(j.Payload)) // writing to a hash never fails
	if strconv.FormatUint(uint64(sum.Sum32()), 10) != run.payloadHash {
		c.AddViolation("%s was started on %s with another payload", run.task, run.runner)
	}
	if j.submitCount > 0 && j.rejectedCount == j.submitCount {
		c.AddViolation("%s was started on %s though all %d submissions of its job were rejected", run.task, run.runner, j.submitCount)
	}
	if label := j.Steps[run.task.Step].RequiredLabel; label != "" {
		index := slices.IndexFunc(racks, func(r *rack) bool { return r.name == run.rackName })
		if racks[index].label != label {
			c.AddViolation("%s was started on %s, which lacks the label %s", run.task, run.runner, label)
		}
	}
	if j.spec.RequiresTicket && !cwstandin.IsEligible(run.task.StepKey.String(), run.runner) {
		c.AddViolation("%s was started on %s, which the policy of its queue forbids", run.task, run.runner)
	}
	if due := j.Due(run.task.Occurrence); j.Repeats > 0 && run.startedAt.Before(due.Add(-earlyTolerance)) {
		c.AddViolation("%s was started %s before it was due", run.task, due.Sub(run.startedAt))
	}
	c.checkDependencies(run, j)
}

// earlyTolerance is the time by which a task of a repeated job may start before it is due.
const earlyTolerance = 250 * time.Millisecond

// checkDependencies asserts that the steps on which a run's step depends were done when the run started.
func (c *checker) checkDependencies(run *runRecord, j *job) {
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

// isDone reports whether a run of a task, or of the gang that it belongs to, ended as done by a given time.
func (c *checker) isDone(j *job, task cwwork.TaskKey, by time.Time) bool {
	runs := c.runsByTask[task]
	if j.Steps[task.Step].Gang {
		runs = c.runsByStep[task.StepKey]
	}
	return slices.ContainsFunc(runs, func(run runRecord) bool { return run.endKind == cwcell.EndDone && !run.endedAt.After(by) })
}

// shrinkGrace is how long a start may count on a capacity that has shrunk: 3 s and a heartbeat by the users' rule, and the 2 s for which a runner
// accepts an order that arrives late.
const shrinkGrace = 6 * time.Second

// capacity returns the capacity on which a start at a time may count: the largest that the runner had within shrinkGrace.
func (c *checker) capacity(key runnerKey, at time.Time) cwmodel.Resources {
	records := c.capacities[key]
	most := int64(0)
	for n, r := range records {
		isOver := n+1 < len(records) && at.Sub(records[n+1].since) > shrinkGrace
		if !r.since.After(at) && !isOver {
			most = max(most, r.processors)
		}
	}
	if most == 0 {
		most = runnerProcessors * 1000 // the platform has accepted no report of it yet
	}
	return cwmodel.Resources{MilliProcessors: most, MemoryBytes: runnerMemoryMiB << 20}
}

// checkCapacity asserts that no start brings the demands of the runs on a runner over its capacity.
func (c *checker) checkCapacity() {
	runsOf := map[runnerKey][]runRecord{}
	for _, run := range c.runs {
		key := runnerKey{run.runner, run.incarnation}
		current := slices.DeleteFunc(runsOf[key], func(o runRecord) bool { return !o.isRunning && !o.endedAt.After(run.startedAt) })
		current = append(current, run)
		runsOf[key] = current
		var used cwmodel.Resources
		for _, o := range current {
			if j, ok := c.jobs[o.task.Job]; ok && o.task.Step < len(j.Steps) {
				used = used.Add(j.Steps[o.task.Step].Demand)
			}
		}
		if !used.FitsIn(c.capacity(key, run.startedAt)) {
			c.AddViolation("%s on %s at %s raises the total demand there to %s, above its capacity", run.task, run.runner, run.startedAt.Format(clockLayout), used)
		}
	}
}

// checkMaxTasksPerRunner asserts that no runner runs more tasks of a step at the same time than the step allows.
func (c *checker) checkMaxTasksPerRunner() {
	for key, runs := range c.runsByStep {
		j, ok := c.jobs[key.Job]
		if !ok || j.Steps[key.Step].MaxPerWorker == 0 {
			continue
		}
		for n, run := range runs {
			concurrent := 0
			for _, o := range runs[:n+1] {
				if o.runner == run.runner && o.incarnation == run.incarnation && (o.isRunning || o.endedAt.After(run.startedAt)) {
					concurrent++
				}
			}
			if concurrent > j.Steps[key.Step].MaxPerWorker {
				c.AddViolation("%d tasks of %s ran at the same time on %s at %s", concurrent, key, run.runner, run.startedAt.Format(clockLayout))
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
				c.AddViolation("%s was started on %s at %s (run %d) while it ran on %s (run %d)", key, run.runner, run.startedAt.Format(clockLayout), run.runNumber, o.runner, o.runNumber)
			}
			switch acked := !o.ackedAt.IsZero() && o.ackedAt.Before(run.startedAt); {
			case !acked || longRunning:
			case o.endKind == cwcell.EndDone:
				c.AddViolation("%s was started on %s at %s after its end was acknowledged at %s", key, run.runner, run.startedAt.Format(clockLayout), o.ackedAt.Format(clockLayout))
			case o.endKind == cwcell.EndFailed:
				failed++
			}
		}
		if failed >= maxAttempts {
			c.AddViolation("%s was started on %s at %s after %d failed runs", key, run.runner, run.startedAt.Format(clockLayout), failed)
		}
	}
}

// Limits of the users' rules: a task may be given up once crashesToGiveUp runners have crashed under it, and is started fewer than
// maxFurtherStarts times after crashesOfRule.
const (
	crashesToGiveUp  = 2
	crashesOfRule    = 3
	maxFurtherStarts = 3
)

// checkCrashes asserts that a task which crashes its runners is not started again and again.
func (c *checker) checkCrashes(key cwwork.TaskKey, runs []runRecord) {
	if j, ok := c.jobs[key.Job]; !ok || j.spec.CrashAfter == 0 {
		return
	}
	crashes, further := 0, 0
	for n := range runs {
		if crashes >= crashesOfRule {
			further++
		}
		if runs[n].endedWithRunner() {
			crashes++
		}
	}
	if further >= maxFurtherStarts {
		c.AddViolation("%s was started %d times more after %d runners had crashed under it", key, further, crashesOfRule)
	}
}

// checkStoppedAfterJob asserts that a run has ended if its job has ended.
func (c *checker) checkStoppedAfterJob(run *runRecord) {
	if j, ok := c.jobs[run.task.Job]; ok && run.isRunning && j.state.IsFinal() {
		c.AddViolation("%s still runs on %s though its job is %s", run.task, run.runner, j.state)
	}
}

// checkJob asserts that an accepted job has ended and was never reported as not found, and that its runs agree with the final state
// that callers received.
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
		c.checkCompletedJob(j)
	case j.state == cwwork.StateFailed:
		c.checkFailedJob(j)
	case j.state == cwwork.StateCancelled && j.cancelledAt.IsZero():
		c.AddViolation("job %s is reported as cancelled, but no caller cancelled it", j.ID)
	case !j.state.IsFinal():
		c.AddViolation("job %s, accepted at %s, has not ended: %q", j.ID, j.acceptedAt.Format(clockLayout), j.state)
	}
}

// checkCompletedJob asserts that each task was done when its job was first reported as completed.
func (c *checker) checkCompletedJob(j *job) {
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

// checkFailedJob asserts that a job reported as failed has a task that failed maxAttempts times, the limit of its queue, or under which
// crashesToGiveUp runners have crashed. The tasks of a gang share their runs.
func (c *checker) checkFailedJob(j *job) {
	for occurrence := range j.Occurrences() {
		for n := range j.Steps {
			if c.mostFailures(cwwork.StepKey{Job: j.ID, Occurrence: occurrence, Step: n}, j.Steps[n].Gang) >= maxAttempts {
				return
			}
		}
	}
	for key, runs := range c.runsByTask {
		crashes := 0
		for n := range runs {
			if key.Job == j.ID && runs[n].endedWithRunner() {
				crashes++
			}
		}
		if crashes >= crashesToGiveUp {
			return
		}
	}
	c.AddViolation("job %s is reported as failed, but none of its tasks failed %d times or crashed %d runners", j.ID, maxAttempts, crashesToGiveUp)
}

// mostFailures returns the highest number of failed runs among the tasks of a step. The runs of a gang count as those of one task.
func (c *checker) mostFailures(key cwwork.StepKey, isGang bool) (most int) {
	type failure struct{ index, run int }
	seen, failures := map[failure]bool{}, map[int]int{}
	for _, run := range c.runsByStep[key] {
		f := failure{run.task.Index, run.runNumber}
		if isGang {
			f.index = 0
		}
		if run.endKind == cwcell.EndFailed && !seen[f] {
			seen[f] = true
			failures[f.index]++
			most = max(most, failures[f.index])
		}
	}
	return most
}

// sortJobs sorts jobs by identifier and returns them.
func sortJobs(jobs []*job) []*job {
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.ID, b.ID) })
	return jobs
}
