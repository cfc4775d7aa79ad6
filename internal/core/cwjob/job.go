// Package cwjob implements the state machine of jobs, which outlive the connections of their callers.
//
// A Job is the content of one row of the table. Every change is applied to the committed state and takes effect when the new
// row is committed. The row's version fences writers: of several concurrent ones, only one commits.
package cwjob

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwmodel"
)

// MaxTasks limits the tasks of a job, since a single row holds all of them.
const MaxTasks = 256

// Phase is the phase of a task of a job.
type Phase string

// Task phases.
const (
	PhaseWaiting    Phase = "waiting" // no attempt is outstanding
	PhaseDispatched Phase = "ordered" // the latest attempt is outstanding: it may be sent, running or ended without a known result
	PhaseEnded      Phase = "over"    // the outcome is final
)

// ParsePhase returns the phase named s, or an error if there is none.
func ParsePhase(s string) (Phase, error) {
	if p := Phase(s); slices.Contains([]Phase{PhaseWaiting, PhaseDispatched, PhaseEnded}, p) {
		return p, nil
	}
	return "", cwfault.New(cwfault.Invalid, "unknown phase %q", s)
}

// Coordinator is the entry host process that dispatches the tasks of a job.
type Coordinator struct {
	Host        cwmodel.HostID
	Incarnation uint64 // differs for each process of the host
}

// Job is a job with the state of its tasks.
type Job struct {
	ID             cwmodel.JobID
	Team           cwmodel.TeamName
	Profile        cwmodel.ProfileName
	Kind           cwmodel.Kind
	DataCentre     cwmodel.DataCentre
	Demand         cwmodel.Resources // of each task
	Lease          time.Duration
	MaxAttempts    int
	Repeatable     bool
	Checkpointable bool
	ArrivedAt      time.Time
	Deadline       time.Time // zero if there is none
	Payload        []byte
	PayloadKey     string // object-store key of a large payload
	Digest         string // of the submitted document
	Coordinator    Coordinator
	TriedHosts     []cwmodel.HostID // coordinators that have no worker large enough for a task
	Cancelled      bool
	GangRestarting bool // all tasks of the gang are being stopped, since one failed or the gang restarts
	EndedAt        time.Time
	Tasks          []Task
}

// Task is the state of a task.
type Task struct {
	Phase           Phase
	LatestAttempt   cwmodel.Attempt // the latest one; number 0 if there was none
	StartedAttempts int             // attempts that have started or may have started
	Outcome         cwmodel.Outcome
	Reason          cwmodel.Reason
	Message         string
	Output          []byte
	OutputKey       string // object-store key of a large output
	StartedAt       time.Time
	EndedAt         time.Time
}

// TaskID returns the identifier of task n of a job.
func TaskID(job cwmodel.JobID, n int) cwmodel.TaskID {
	return cwmodel.TaskID(string(job) + "/" + strconv.Itoa(n))
}

// ParseTaskID returns the job and number of a task; ok is false for the task of a request.
func ParseTaskID(id cwmodel.TaskID) (job cwmodel.JobID, n int, ok bool) {
	name, number, found := strings.Cut(string(id), "/")
	n, err := strconv.Atoi(number)
	return cwmodel.JobID(name), n, found && err == nil && n >= 0 && n < MaxTasks
}

// TeamOf returns the team encoded in a job identifier.
func TeamOf(id cwmodel.JobID) cwmodel.TeamName {
	team, _, _ := strings.Cut(string(id), ".")
	return cwmodel.TeamName(team)
}

// Clone returns a copy whose tasks can be modified independently.
func (j *Job) Clone() *Job {
	c := *j
	c.Tasks = slices.Clone(j.Tasks)
	c.TriedHosts = slices.Clone(j.TriedHosts)
	return &c
}

// Dispatch records the next attempt of task n; the attempt may be sent once the change is committed.
func (j *Job) Dispatch(now time.Time, n int, attempt cwmodel.Attempt) error {
	t := &j.Tasks[n]
	switch {
	case j.Cancelled || j.GangRestarting:
		return cwfault.New(cwfault.Refused, "job %s is being stopped", j.ID)
	case t.Phase != PhaseWaiting:
		return cwfault.New(cwfault.Refused, "task %d of job %s is %s", n, j.ID, t.Phase)
	case attempt.Number <= t.LatestAttempt.Number:
		return cwfault.New(cwfault.Refused, "attempt %d does not follow attempt %d", attempt.Number, t.LatestAttempt.Number)
	case t.StartedAttempts > 0 && !j.mayRetry(now, t):
		return cwfault.New(cwfault.Refused, "task %d of job %s may not run again", n, j.ID)
	}
	t.Phase, t.LatestAttempt = PhaseDispatched, attempt
	t.StartedAttempts++
	return nil
}

// ApplyResult applies the result of an attempt and reports whether it changed the job.
func (j *Job) ApplyResult(now time.Time, n int, r cwmodel.Result) bool {
	t := &j.Tasks[n]
	if t.Phase != PhaseDispatched || t.LatestAttempt.Number != r.Attempt.Number || t.LatestAttempt.Worker != r.Attempt.Worker {
		return false
	}
	t.Message, t.StartedAt, t.EndedAt = r.Message, r.StartedAt, r.EndedAt
	if r.End == cwmodel.EndNotStarted {
		t.StartedAttempts--
	}
	j.resolve(now, t, r)
	j.propagate(now)
	return true
}

// MarkLost ends an attempt that has certainly stopped but whose result is lost, and reports whether it changed the job.
func (j *Job) MarkLost(now time.Time, n, number int) bool {
	t := &j.Tasks[n]
	if t.Phase != PhaseDispatched || t.LatestAttempt.Number != number {
		return false
	}
	if !j.Cancelled && j.mayRetry(now, t) {
		j.requeue(t)
	} else {
		j.finish(now, t, cwmodel.OutcomeUnknown, cwmodel.ReasonWorkerLost)
	}
	j.propagate(now)
	return true
}

// Reject ends a waiting task that cannot be started, and reports whether it changed the job.
func (j *Job) Reject(now time.Time, n int, reason cwmodel.Reason) bool {
	t := &j.Tasks[n]
	if t.Phase != PhaseWaiting {
		return false
	}
	outcome := cwmodel.OutcomeNotRun
	if t.StartedAttempts > 0 {
		outcome = cwmodel.OutcomeFailed
	}
	j.finish(now, t, outcome, reason)
	j.propagate(now)
	return true
}

// Cancel ends waiting tasks, prevents further starts and reports whether it changed the job. It is idempotent.
func (j *Job) Cancel(now time.Time) bool {
	if j.Cancelled || j.IsEnded() {
		return false
	}
	j.Cancelled = true
	j.propagate(now)
	return true
}

// Reassign moves a job to another coordinator. It returns false if the job has outstanding attempts, is being stopped or is
// already there.
func (j *Job) Reassign(to cwmodel.HostID) bool {
	if j.Coordinator.Host == to || j.IsStopping() || slices.ContainsFunc(j.Tasks, isDispatched) {
		return false
	}
	j.Coordinator = Coordinator{Host: to}
	return true
}

// IsEnded reports whether every task has its final outcome.
func (j *Job) IsEnded() bool {
	return !slices.ContainsFunc(j.Tasks, func(t Task) bool { return t.Phase != PhaseEnded })
}

// IsStopping reports whether outstanding attempts must be stopped.
func (j *Job) IsStopping() bool { return j.Cancelled || j.GangRestarting }

// resolve applies the end of an attempt to its task: the task waits again or is finished.
func (j *Job) resolve(now time.Time, t *Task, r cwmodel.Result) {
	switch {
	case r.End == cwmodel.EndDone && !j.restartsOnEnd():
		t.Output = r.Output
		j.finish(now, t, cwmodel.OutcomeDone, cwmodel.ReasonNone)
	case j.Cancelled:
		j.finish(now, t, cwmodel.OutcomeCancelled, cwmodel.ReasonCancelled)
	case r.End == cwmodel.EndNotStarted:
		j.requeue(t)
	case r.End == cwmodel.EndFailed && !j.restartsOnEnd():
		j.finish(now, t, cwmodel.OutcomeFailed, cwmodel.ReasonTaskFailed)
	case j.mayRetry(now, t):
		j.requeue(t)
	default:
		j.finish(now, t, cwmodel.OutcomeFailed, j.failureReason(now, r.End))
	}
}

// failureReason returns the reason for a task that failed because it may not run again.
func (j *Job) failureReason(now time.Time, end cwmodel.EndKind) cwmodel.Reason {
	switch {
	case j.isLate(now):
		return cwmodel.ReasonDeadlineExceeded
	case j.Repeatable:
		return cwmodel.ReasonAttemptsExhausted
	case end == cwmodel.EndLeaseExpired:
		return cwmodel.ReasonWorkerLost
	case end == cwmodel.EndStopped || end == cwmodel.EndCheckpointed:
		return cwmodel.ReasonPreempted
	}
	return cwmodel.ReasonTaskFailed
}

// requeue returns a task to the waiting phase. If it is a member of a gang, the other members are stopped, and the gang
// restarts as a whole.
func (j *Job) requeue(t *Task) {
	t.Phase = PhaseWaiting
	if j.Kind == cwmodel.KindGang {
		j.GangRestarting = true
	}
}

// finish sets the final outcome of a task.
func (j *Job) finish(now time.Time, t *Task, outcome cwmodel.Outcome, reason cwmodel.Reason) {
	t.Phase, t.Outcome, t.Reason = PhaseEnded, outcome, reason
	if t.EndedAt.IsZero() {
		t.EndedAt = now
	}
}

// propagate applies the consequences of a change to the other tasks.
func (j *Job) propagate(now time.Time) {
	if j.Cancelled {
		j.finishWaiting(now, cwmodel.OutcomeCancelled, cwmodel.ReasonCancelled)
	}
	if j.Kind == cwmodel.KindGang {
		j.propagateGang(now)
	}
	if j.IsEnded() && j.EndedAt.IsZero() {
		j.EndedAt = now
	}
}

// propagateGang fails a gang as soon as one task has failed. While the gang restarts, it makes all tasks wait again once no
// attempt is outstanding.
func (j *Job) propagateGang(now time.Time) {
	if failed := slices.IndexFunc(j.Tasks, isUnsuccessful); failed >= 0 && !j.Cancelled {
		j.GangRestarting = slices.ContainsFunc(j.Tasks, isDispatched)
		j.finishWaiting(now, cwmodel.OutcomeFailed, j.Tasks[failed].Reason)
		return
	}
	if !j.GangRestarting || slices.ContainsFunc(j.Tasks, isDispatched) {
		return
	}
	j.GangRestarting = false
	for n := range j.Tasks {
		t := &j.Tasks[n]
		if t.Phase == PhaseEnded && t.Outcome == cwmodel.OutcomeDone && !j.Cancelled {
			*t = Task{Phase: PhaseWaiting, LatestAttempt: t.LatestAttempt, StartedAttempts: t.StartedAttempts}
		}
		if t.Phase == PhaseWaiting && t.StartedAttempts > 0 && !j.mayRetry(now, t) {
			j.finish(now, t, cwmodel.OutcomeFailed, cwmodel.ReasonAttemptsExhausted)
		}
	}
	if first := slices.IndexFunc(j.Tasks, isUnsuccessful); first >= 0 {
		j.finishWaiting(now, cwmodel.OutcomeFailed, j.Tasks[first].Reason)
	}
}

// isDispatched reports whether an attempt of a task is outstanding.
func isDispatched(t Task) bool { return t.Phase == PhaseDispatched }

// isUnsuccessful reports whether a task is finished with an outcome other than done.
func isUnsuccessful(t Task) bool { return t.Phase == PhaseEnded && t.Outcome != cwmodel.OutcomeDone }

// finishWaiting finishes the waiting tasks with an outcome; those that never started are not-run instead of failed.
func (j *Job) finishWaiting(now time.Time, outcome cwmodel.Outcome, reason cwmodel.Reason) {
	for n := range j.Tasks {
		t := &j.Tasks[n]
		if t.Phase != PhaseWaiting {
			continue
		}
		if outcome == cwmodel.OutcomeFailed && t.StartedAttempts == 0 {
			j.finish(now, t, cwmodel.OutcomeNotRun, reason)
		} else {
			j.finish(now, t, outcome, reason)
		}
	}
}

// mayRetry reports whether a task that has run may run again.
func (j *Job) mayRetry(now time.Time, t *Task) bool {
	if !j.Repeatable || j.isLate(now) {
		return false
	}
	return j.Kind == cwmodel.KindService || t.StartedAttempts < max(j.MaxAttempts, 1)
}

// restartsOnEnd reports whether a task that ends by itself is started again.
func (j *Job) restartsOnEnd() bool {
	return j.Kind == cwmodel.KindService && j.Repeatable && !j.Cancelled
}

// isLate reports whether the job has a deadline that has passed.
func (j *Job) isLate(now time.Time) bool { return !j.Deadline.IsZero() && !now.Before(j.Deadline) }
