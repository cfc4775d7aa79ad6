// Package cwwork holds jobs as steps of tasks: what callers submit and how far it has come.
package cwwork

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"currantward/internal/core/cwmodel"
)

// QueueName names one queue by the host and the path prefix that its callers address.
type QueueName string

// QueuePolicy is how the jobs of one queue are treated.
type QueuePolicy struct {
	Service       string // the pool of workers that runs the tasks
	Priority      int    // 0 comes first
	MaxAttempts   int    // failed runs after which a task is given up
	Stretch       float64
	TargetLatency time.Duration
	Advice        Advice
}

// Advice is the cost of asking which workers may run a step; its zero value means that all may.
type Advice struct {
	Base      time.Duration // of each question
	PerWorker time.Duration
	Validity  time.Duration // of a ticket
}

// IsRequired reports whether the queue restricts its workers.
func (a Advice) IsRequired() bool { return a.Validity > 0 }

// Cost returns how long a question about n workers takes.
func (a Advice) Cost(n int) time.Duration { return a.Base + time.Duration(n)*a.PerWorker }

// Step is a number of like tasks.
type Step struct {
	Count         int
	Demand        cwmodel.Resources
	Estimate      time.Duration
	DependsOn     []int // earlier steps that must be done first
	Gang          bool  // the tasks run together or not at all
	SameRack      bool
	RequiredLabel string // label that the worker must have
	RackAffinity  string // rack that holds the data
	MaxPerWorker  int    // most tasks of the step on one worker; 0: no limit
	Speculative   bool   // copies may run in parallel
	LongRunning   bool   // runs until the job is cancelled
	Image         string
	// TailLatencyLimit is what the tail of the response times of the tasks' own users must stay below; 0: they have none.
	TailLatencyLimit time.Duration
	Opportunistic    bool // takes the processors that others leave unused, and slows those that serve users
	Checkpointable   bool // checkpoints its progress
}

// Submission is one accepted job.
type Submission struct {
	ID         cwmodel.JobID
	Queue      QueueName
	Payload    string
	Steps      []Step
	Repeats    int // occurrences; 0 means one without a due time
	FirstDue   time.Time
	Interval   time.Duration
	AcceptedAt time.Time
	Policy     QueuePolicy // of the queue when the job was accepted
}

// Occurrences returns how many times the steps run.
func (s *Submission) Occurrences() int { return max(s.Repeats, 1) }

// Due returns when an occurrence may start; the zero time for a job that is not timed.
func (s *Submission) Due(occurrence int) time.Time {
	if s.Repeats == 0 {
		return time.Time{}
	}
	return s.FirstDue.Add(time.Duration(occurrence) * s.Interval)
}

// CriticalPath returns the longest chain of dependent steps, each as long as expected says.
func (s *Submission) CriticalPath(expected func(*Step) time.Duration) time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(s.Steps))
	for n := range s.Steps {
		step := &s.Steps[n]
		var begin time.Duration
		for _, before := range step.DependsOn {
			begin = max(begin, ends[before])
		}
		ends[n] = begin + expected(step) + s.Policy.Advice.Cost(adviceSample)
		longest = max(longest, ends[n])
	}
	return longest
}

// adviceSample is the number of workers that objectives allow a question about; see the users' rules on credit.
const adviceSample = 30

// StepKey names one step of one occurrence of a job.
type StepKey struct {
	Job        cwmodel.JobID
	Occurrence int
	Step       int
}

// String returns the key in dotted form.
func (k StepKey) String() string {
	return string(k.Job) + "." + strconv.Itoa(k.Occurrence) + "." + strconv.Itoa(k.Step)
}

// TaskKey names one task.
type TaskKey struct {
	StepKey
	Index int
}

// String returns the key in dotted form.
func (k TaskKey) String() string { return k.StepKey.String() + "." + strconv.Itoa(k.Index) }

// ParseTaskKey reads the dotted form of a task's key.
func ParseTaskKey(text string) (key TaskKey, err error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 || parts[0] == "" {
		return key, fmt.Errorf("task key %q has not four parts", text)
	}
	numbers := [3]int{}
	for n, part := range parts[1:] {
		if numbers[n], err = strconv.Atoi(part); err != nil || numbers[n] < 0 {
			return key, fmt.Errorf("task key %q: %q is not a number", text, part)
		}
	}
	key.Job, key.Occurrence, key.Step, key.Index = cwmodel.JobID(parts[0]), numbers[0], numbers[1], numbers[2]
	return key, nil
}

// JobState is what callers are told about a job.
type JobState string

// The closed set of states.
const (
	StateQueued    JobState = "queued"
	StateRunning   JobState = "running"
	StateCompleted JobState = "completed"
	StateFailed    JobState = "failed"
	StateCancelled JobState = "cancelled"
)

// IsFinal reports whether the state is final.
func (s JobState) IsFinal() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// ParseJobState returns the state of the given name.
func ParseJobState(text string) (JobState, error) {
	switch s := JobState(text); s {
	case StateQueued, StateRunning, StateCompleted, StateFailed, StateCancelled:
		return s, nil
	}
	return "", fmt.Errorf("unknown state %q", text)
}

// Progress is what must outlive the owner of a job: finished tasks and failed runs.
type Progress struct {
	Steps []StepProgress
}

// StepProgress is the part of one step of one occurrence.
type StepProgress struct {
	Occurrence int
	Step       int
	Done       []int     // indexes of the tasks that are done
	Failed     []TaskRun // runs that ended as failed
}

// TaskRun names one run of one task of a step.
type TaskRun struct {
	Index int
	Run   int
}
