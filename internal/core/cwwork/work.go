// Package cwwork defines submitted jobs, their steps and tasks, and the progress of each job.
package cwwork

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"currantward/internal/core/cwmodel"
)

// QueueName identifies a queue by the host and path prefix that its callers address.
type QueueName string

// QueuePolicy is the scheduling policy for the jobs of a queue.
type QueuePolicy struct {
	Service       string        // pool of workers that runs the tasks
	Priority      int           // 0 is the highest
	MaxAttempts   int           // failed runs after which a task fails
	Stretch       float64       // factor on the duration of the critical path, see TargetLatency
	TargetLatency time.Duration // a job earns full credit within the stretched duration plus this time
	Advice        Advice
}

// Advice describes the cost of an advice request, whose answer names the workers that may run a step. The zero value means
// that every worker may run it, without a request.
type Advice struct {
	Base      time.Duration // latency of each request
	PerWorker time.Duration
	Validity  time.Duration // of an advice ticket
}

// IsRequired reports whether the queue restricts which workers may run its steps.
func (a Advice) IsRequired() bool { return a.Validity > 0 }

// Cost returns the latency of a request about n workers.
func (a Advice) Cost(n int) time.Duration { return a.Base + time.Duration(n)*a.PerWorker }

// Step is a group of identical tasks.
type Step struct {
	Count         int
	Demand        cwmodel.Resources
	Estimate      time.Duration // caller's estimate of a task's run time
	DependsOn     []int         // indexes of earlier steps that must complete first
	Gang          bool          // all tasks start together or none does
	SameRack      bool          // a gang prefers workers of a single rack
	RequiredLabel string        // label that the worker must have; empty: none
	RackAffinity  string        // rack with the data of the tasks, whose workers are preferred; empty: any
	MaxPerWorker  int           // limit of the step's tasks on one worker; 0: no limit
	Speculative   bool          // copies of a task may run in parallel
	LongRunning   bool          // runs until the job is cancelled
	Image         string
	// TailLatencyLimit bounds the tail latency of the users whom the tasks serve; 0: the tasks serve no users.
	TailLatencyLimit time.Duration
	Opportunistic    bool // uses processors that other tasks leave idle; slows tasks that serve users
	Checkpointable   bool // saves its progress in checkpoints
}

// Submission is an accepted job.
type Submission struct {
	ID         cwmodel.JobID
	Queue      QueueName
	Payload    string
	Steps      []Step
	Repeats    int // number of occurrences; 0 means one without a due time
	FirstDue   time.Time
	Interval   time.Duration
	AcceptedAt time.Time
	Policy     QueuePolicy // of the queue at the time of acceptance
}

// Occurrences returns the number of times that the steps run.
func (s *Submission) Occurrences() int { return max(s.Repeats, 1) }

// Tasks returns the number of tasks of one occurrence.
func (s *Submission) Tasks() (n int) {
	for k := range s.Steps {
		n += s.Steps[k].Count
	}
	return n
}

// Due returns the earliest start of an occurrence, or the zero time if the job has no schedule.
func (s *Submission) Due(occurrence int) time.Time {
	if s.Repeats == 0 {
		return time.Time{}
	}
	return s.FirstDue.Add(time.Duration(occurrence) * s.Interval)
}

// CriticalPath returns the duration of the longest chain of dependent steps; expected returns the duration of a step.
func (s *Submission) CriticalPath(expected func(*Step) time.Duration) time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(s.Steps))
	for n := range s.Steps {
		step := &s.Steps[n]
		var start time.Duration
		for _, dependency := range step.DependsOn {
			start = max(start, ends[dependency])
		}
		ends[n] = start + expected(step) + s.Policy.Advice.Cost(adviceSampleWorkers)
		longest = max(longest, ends[n])
	}
	return longest
}

// adviceSampleWorkers is the number of workers per advice request that objectives allow for; see the users' rules on credit.
const adviceSampleWorkers = 30

// StepKey identifies a step of one occurrence of a job.
type StepKey struct {
	Job        cwmodel.JobID
	Occurrence int
	Step       int
}

// String returns the key in dotted form.
func (k StepKey) String() string {
	return string(k.Job) + "." + strconv.Itoa(k.Occurrence) + "." + strconv.Itoa(k.Step)
}

// TaskKey identifies a task.
type TaskKey struct {
	StepKey
	Index int
}

// String returns the key in dotted form.
func (k TaskKey) String() string { return k.StepKey.String() + "." + strconv.Itoa(k.Index) }

// ParseTaskKey parses the dotted form of a task key.
func ParseTaskKey(text string) (key TaskKey, err error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 || parts[0] == "" {
		return key, fmt.Errorf("task key %q does not have four parts", text)
	}
	numbers := [3]int{}
	for n, part := range parts[1:] {
		if numbers[n], err = strconv.Atoi(part); err != nil || numbers[n] < 0 {
			return key, fmt.Errorf("task key %q: %q is not a non-negative number", text, part)
		}
	}
	key.Job, key.Occurrence, key.Step, key.Index = cwmodel.JobID(parts[0]), numbers[0], numbers[1], numbers[2]
	return key, nil
}

// JobState is the state of a job as reported to callers.
type JobState string

// Job states.
const (
	StateQueued    JobState = "queued"
	StateRunning   JobState = "running"
	StateCompleted JobState = "completed"
	StateFailed    JobState = "failed"
	StateCancelled JobState = "cancelled"
)

// IsFinal reports whether the job has ended in this state.
func (s JobState) IsFinal() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// ParseJobState returns the state named text, or an error if there is none.
func ParseJobState(text string) (JobState, error) {
	switch s := JobState(text); s {
	case StateQueued, StateRunning, StateCompleted, StateFailed, StateCancelled:
		return s, nil
	}
	return "", fmt.Errorf("unknown job state %q", text)
}

// Progress is the part of a job's state that survives a change of owner: completed tasks, failed runs and runs that ended with their
// workers. Of finished occurrences it has only that they are.
type Progress struct {
	// All occurrences of a scheduled job below this number are finished, except those in Unfinished.
	FinishedBelow int
	Unfinished    []int          // ascending
	Steps         []StepProgress // of unfinished occurrences
}

// StepProgress is the progress of one step of one occurrence.
type StepProgress struct {
	Occurrence int
	Step       int
	Done       []int     // indexes of completed tasks
	Failed     []TaskRun // failed runs
	Lost       []LostRun // runs that ended with their workers, or may have
}

// TaskRun identifies one run of a task of a step.
type TaskRun struct {
	Index int
	Run   int
}

// HasStarted reports whether the progress shows that a worker has started a task of the step. A lost run may be an order that got no answer.
func (p *StepProgress) HasStarted() bool {
	return len(p.Done) > 0 || len(p.Failed) > 0 || slices.ContainsFunc(p.Lost, func(l LostRun) bool { return l.Started && (l.Crashed || !l.Alone) })
}

// LostRun is a run that has ended with its worker, or may have.
type LostRun struct {
	TaskRun
	Worker      cwmodel.HostID
	Incarnation time.Time // of the worker that the run was ordered to
	Early       bool      // the run is not known to have lived for long; it may have crashed its worker at its start
	Alone       bool      // no other run could have crashed the worker at its start
	Started     bool      // the worker is known to have started the run, or nothing else can have crashed it; false: its order got no answer
	Crashed     bool      // the worker's process has ended; false: not known
	Term        int       // of the owner that ordered the run, or adopted it; 0: not known
}
