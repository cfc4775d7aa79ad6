// Package cwjob is the state machine of jobs: work that outlives the connection of its caller.
//
// A Job is what one row of the table holds. Every change is made on the committed state and takes
// effect only once the row is committed again, so the row's version fences all writers but one.
package cwjob

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwmodel"
)

// MaxTasks bounds the tasks of one job, because one row holds them all.
const MaxTasks = 256

// Phase is where one task of a job stands.
type Phase string

// The closed set of phases.
const (
	PhaseWaiting    Phase = "waiting" // no attempt is outstanding
	PhaseDispatched Phase = "ordered" // the latest attempt may be sent, may run or may have ended
	PhaseFinished   Phase = "over"    // the outcome is final
)

// ParsePhase returns the phase named s and rejects what it does not know.
func ParsePhase(s string) (Phase, error) {
	if p := Phase(s); slices.Contains([]Phase{PhaseWaiting, PhaseDispatched, PhaseFinished}, p) {
		return p, nil
	}
	return "", cwfault.New(cwfault.Invalid, "unknown phase %q", s)
}

// Coordinator is the entry host process that starts the tasks of a job.
type Coordinator struct {
	Host        cwmodel.HostID
	Incarnation uint64 // differs for each process of the host
}

// Job is one job with the state of its tasks.
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
	Deadline       time.Time // zero for none
	Payload        []byte
	PayloadKey     string // in the object store, for a large payload
	Digest         string // of what the caller submitted
	Coordinator    Coordinator
	TriedHosts     []cwmodel.HostID // homes that no worker of theirs could ever hold a task
	Cancelled      bool
	GangRestarting bool // a gang that is stopped as a whole before it starts anew
	EndedAt        time.Time
	Tasks          []Task
}

// Task is the state of one task.
type Task struct {
	Phase           Phase
	Attempt         cwmodel.Attempt // the latest one; number zero if there was none
	StartedAttempts int             // attempts that have begun or may have
	Outcome         cwmodel.Outcome
	Reason          cwmodel.Reason
	Message         string
	Answer          []byte
	AnswerKey       string // in the object store, for a large answer
	StartedAt       time.Time
	EndedAt         time.Time
}

// TaskID names task n of a job.
func TaskID(job cwmodel.JobID, n int) cwmodel.TaskID {
	return cwmodel.TaskID(string(job) + "/" + strconv.Itoa(n))
}

// ParseTaskID returns the job and the number of a task, and false for the task of a request.
func ParseTaskID(id cwmodel.TaskID) (job cwmodel.JobID, n int, ok bool) {
	name, number, found := strings.Cut(string(id), "/")
	n, err := strconv.Atoi(number)
	return cwmodel.JobID(name), n, found && err == nil && n >= 0 && n < MaxTasks
}

// TeamOf returns the team that the identifier of a job names.
func TeamOf(id cwmodel.JobID) cwmodel.TeamName {
	team, _, _ := strings.Cut(string(id), ".")
	return cwmodel.TeamName(team)
}

// Clone returns a copy whose tasks can be changed.
func (j *Job) Clone() *Job {
	c := *j
	c.Tasks = slices.Clone(j.Tasks)
	c.TriedHosts = slices.Clone(j.TriedHosts)
	return &c
}

// Dispatch notes the next attempt of task n; it may be sent once this is committed.
func (j *Job) Dispatch(now time.Time, n int, attempt cwmodel.Attempt) error {
	t := &j.Tasks[n]
	switch {
	case j.Cancelled || j.GangRestarting:
		return cwfault.New(cwfault.Refused, "job %s is being stopped", j.ID)
	case t.Phase != PhaseWaiting:
		return cwfault.New(cwfault.Refused, "task %d of job %s is %s", n, j.ID, t.Phase)
	case attempt.Number <= t.Attempt.Number:
		return cwfault.New(cwfault.Refused, "attempt %d does not follow attempt %d", attempt.Number, t.Attempt.Number)
	case t.StartedAttempts > 0 && !j.mayRun(now, t):
		return cwfault.New(cwfault.Refused, "task %d of job %s may not run again", n, j.ID)
	}
	t.Phase, t.Attempt = PhaseDispatched, attempt
	t.StartedAttempts++
	return nil
}

// ApplyResult takes the result of an attempt and reports whether it changed anything.
func (j *Job) ApplyResult(now time.Time, n int, r cwmodel.Result) bool {
	t := &j.Tasks[n]
	if t.Phase != PhaseDispatched || t.Attempt.Number != r.Attempt.Number || t.Attempt.Worker != r.Attempt.Worker {
		return false
	}
	t.Message, t.StartedAt, t.EndedAt = r.Message, r.StartedAt, r.EndedAt
	if r.End == cwmodel.EndNotStarted {
		t.StartedAttempts--
	}
	j.conclude(now, t, r)
	j.settle(now)
	return true
}

// MarkLost ends an attempt that is certainly over but whose result is lost, and reports whether it changed anything.
func (j *Job) MarkLost(now time.Time, n, number int) bool {
	t := &j.Tasks[n]
	if t.Phase != PhaseDispatched || t.Attempt.Number != number {
		return false
	}
	if !j.Cancelled && j.mayRun(now, t) {
		j.again(t)
	} else {
		j.end(now, t, cwmodel.OutcomeUnknown, cwmodel.ReasonWorkerLost)
	}
	j.settle(now)
	return true
}

// Reject ends a waiting task that cannot be started, and reports whether it changed anything.
func (j *Job) Reject(now time.Time, n int, reason cwmodel.Reason) bool {
	t := &j.Tasks[n]
	if t.Phase != PhaseWaiting {
		return false
	}
	outcome := cwmodel.OutcomeNotRun
	if t.StartedAttempts > 0 {
		outcome = cwmodel.OutcomeFailed
	}
	j.end(now, t, outcome, reason)
	j.settle(now)
	return true
}

// Cancel ends waiting tasks and forbids any further start; it is idempotent.
func (j *Job) Cancel(now time.Time) bool {
	if j.Cancelled || j.IsFinished() {
		return false
	}
	j.Cancelled = true
	j.settle(now)
	return true
}

// Reassign moves a job of which nothing is outstanding to another home, and reports whether it did.
func (j *Job) Reassign(to cwmodel.HostID) bool {
	if j.Coordinator.Host == to || j.IsStopping() || slices.ContainsFunc(j.Tasks, isOrdered) {
		return false
	}
	j.Coordinator = Coordinator{Host: to}
	return true
}

// IsFinished reports whether every task has its outcome.
func (j *Job) IsFinished() bool {
	return !slices.ContainsFunc(j.Tasks, func(t Task) bool { return t.Phase != PhaseFinished })
}

// IsStopping reports whether outstanding attempts are to be stopped.
func (j *Job) IsStopping() bool { return j.Cancelled || j.GangRestarting }

func (j *Job) conclude(now time.Time, t *Task, r cwmodel.Result) {
	switch {
	case r.End == cwmodel.EndDone && !j.restarts():
		t.Answer = r.Answer
		j.end(now, t, cwmodel.OutcomeDone, cwmodel.ReasonNone)
	case j.Cancelled:
		j.end(now, t, cwmodel.OutcomeCancelled, cwmodel.ReasonCancelled)
	case r.End == cwmodel.EndNotStarted:
		j.again(t)
	case r.End == cwmodel.EndFailed && !j.restarts():
		j.end(now, t, cwmodel.OutcomeFailed, cwmodel.ReasonTaskFailed)
	case j.mayRun(now, t):
		j.again(t)
	default:
		j.end(now, t, cwmodel.OutcomeFailed, j.failure(now, r.End))
	}
}

func (j *Job) failure(now time.Time, end cwmodel.EndKind) cwmodel.Reason {
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

// again lets a task wait for a further attempt; a gang is stopped as a whole first.
func (j *Job) again(t *Task) {
	t.Phase = PhaseWaiting
	if j.Kind == cwmodel.KindGang {
		j.GangRestarting = true
	}
}

func (j *Job) end(now time.Time, t *Task, outcome cwmodel.Outcome, reason cwmodel.Reason) {
	t.Phase, t.Outcome, t.Reason = PhaseFinished, outcome, reason
	if t.EndedAt.IsZero() {
		t.EndedAt = now
	}
}

// settle carries the consequences of one change over to the other tasks.
func (j *Job) settle(now time.Time) {
	if j.Cancelled {
		j.endWaiting(now, cwmodel.OutcomeCancelled, cwmodel.ReasonCancelled)
	}
	if j.Kind == cwmodel.KindGang {
		j.settleGang(now)
	}
	if j.IsFinished() && j.EndedAt.IsZero() {
		j.EndedAt = now
	}
}

// settleGang fails a gang with its first failed task and ends a regrouping once nothing is outstanding.
func (j *Job) settleGang(now time.Time) {
	if first := slices.IndexFunc(j.Tasks, isBad); first >= 0 && !j.Cancelled {
		j.GangRestarting = slices.ContainsFunc(j.Tasks, isOrdered)
		j.endWaiting(now, cwmodel.OutcomeFailed, j.Tasks[first].Reason)
		return
	}
	if !j.GangRestarting || slices.ContainsFunc(j.Tasks, isOrdered) {
		return
	}
	j.GangRestarting = false
	for n := range j.Tasks {
		t := &j.Tasks[n]
		if t.Phase == PhaseFinished && t.Outcome == cwmodel.OutcomeDone && !j.Cancelled {
			*t = Task{Phase: PhaseWaiting, Attempt: t.Attempt, StartedAttempts: t.StartedAttempts}
		}
		if t.Phase == PhaseWaiting && t.StartedAttempts > 0 && !j.mayRun(now, t) {
			j.end(now, t, cwmodel.OutcomeFailed, cwmodel.ReasonAttemptsExhausted)
		}
	}
	if first := slices.IndexFunc(j.Tasks, isBad); first >= 0 {
		j.endWaiting(now, cwmodel.OutcomeFailed, j.Tasks[first].Reason)
	}
}

func isOrdered(t Task) bool { return t.Phase == PhaseDispatched }
func isBad(t Task) bool     { return t.Phase == PhaseFinished && t.Outcome != cwmodel.OutcomeDone }

func (j *Job) endWaiting(now time.Time, outcome cwmodel.Outcome, reason cwmodel.Reason) {
	for n := range j.Tasks {
		t := &j.Tasks[n]
		if t.Phase != PhaseWaiting {
			continue
		}
		if outcome == cwmodel.OutcomeFailed && t.StartedAttempts == 0 {
			j.end(now, t, cwmodel.OutcomeNotRun, reason)
		} else {
			j.end(now, t, outcome, reason)
		}
	}
}

// mayRun reports whether a task that has run may run once more.
func (j *Job) mayRun(now time.Time, t *Task) bool {
	if !j.Repeatable || j.isLate(now) {
		return false
	}
	return j.Kind == cwmodel.KindService || t.StartedAttempts < max(j.MaxAttempts, 1)
}

// restarts reports whether an end by itself is followed by a new attempt.
func (j *Job) restarts() bool {
	return j.Kind == cwmodel.KindService && j.Repeatable && !j.Cancelled
}

func (j *Job) isLate(now time.Time) bool { return !j.Deadline.IsZero() && !now.Before(j.Deadline) }
