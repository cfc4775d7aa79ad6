// Package cwmodel defines the domain types shared by decisions, ports and adapters.
package cwmodel

import (
	"net/netip"
	"time"
)

// Identifiers are distinct types so that the compiler rejects a mix-up.
type (
	// TaskID identifies a task; all attempts at the task share it.
	TaskID string
	// JobID identifies a job; all tasks of a gang share it.
	JobID string
	// HostID identifies a host, whether a worker or an entry host.
	HostID string
	// DataCentre names a data centre.
	DataCentre string
	// TeamName names a team.
	TeamName string
	// ProfileName names a profile.
	ProfileName string
	// Epoch is a fencing token: each new owner of a worker has a larger one than the previous owner.
	Epoch uint64
)

// Kind is the execution model of a profile's tasks.
type Kind string

// Task kinds.
const (
	KindRequest Kind = "request" // a caller waits for the response
	KindBatch   Kind = "batch"   // runs to completion once
	KindGang    Kind = "gang"    // all tasks start together or none does
	KindService Kind = "service" // runs until cancelled
)

// Class is the priority class of a profile.
type Class string

// Priority classes, the most urgent first.
const (
	ClassUrgent     Class = "urgent"
	ClassStandard   Class = "standard"
	ClassBatch      Class = "batch"
	ClassBestEffort Class = "best-effort"
)

// Classes returns all classes, the most urgent first.
func Classes() []Class {
	return []Class{ClassUrgent, ClassStandard, ClassBatch, ClassBestEffort}
}

// Outcome is the final result that a caller receives.
type Outcome string

// Outcomes of a task.
const (
	OutcomeDone      Outcome = "done"      // ran to completion; the response is complete
	OutcomeFailed    Outcome = "failed"    // ran and failed, or was stopped while running
	OutcomeNotRun    Outcome = "not-run"   // never started and never will
	OutcomeCancelled Outcome = "cancelled" // ended at the caller's request
	OutcomeUnknown   Outcome = "unknown"   // may have run; the result cannot be determined
)

// Outcomes returns all outcomes.
func Outcomes() []Outcome {
	return []Outcome{OutcomeDone, OutcomeFailed, OutcomeNotRun, OutcomeCancelled, OutcomeUnknown}
}

// Reason explains an outcome; it is empty for success.
type Reason string

// Reasons that the system itself assigns.
const (
	ReasonNone              Reason = ""
	ReasonDeadlinePassed    Reason = "deadline-passed"    // the deadline passed before the task started
	ReasonDeadlineExceeded  Reason = "deadline-exceeded"  // the deadline passed while the task ran
	ReasonQueueFull         Reason = "queue-full"         // the queue of the profile is at its limit
	ReasonNoTimeLeft        Reason = "no-time-left"       // the task would probably not end before its deadline
	ReasonTooLarge          Reason = "too-large"          // no worker is large enough for the task
	ReasonNoWorkers         Reason = "no-workers"         // the data centre currently has no workers
	ReasonUnknownProfile    Reason = "unknown-profile"    // the profile does not exist
	ReasonUnknownTeam       Reason = "unknown-team"       // the team does not exist
	ReasonOverQuota         Reason = "over-quota"         // the task exceeds the team's whole quota
	ReasonOverloaded        Reason = "overloaded"         // an internal ring was full
	ReasonShuttingDown      Reason = "shutting-down"      // the entry host is shutting down
	ReasonWorkerLost        Reason = "worker-lost"        // the worker became unreachable
	ReasonTaskFailed        Reason = "task-failed"        // the task itself reported a failure
	ReasonPreempted         Reason = "preempted"          // stopped to make room for more urgent work
	ReasonCancelled         Reason = "cancelled"          // cancelled by the caller
	ReasonStoreUnavailable  Reason = "store-unavailable"  // the platform's table could not be written
	ReasonRefusedByWorker   Reason = "refused-by-worker"  // the worker permanently refused the start
	ReasonNoConfiguration   Reason = "no-configuration"   // the host has no configuration yet
	ReasonKeyReused         Reason = "key-reused"         // the idempotency key was used for another request
	ReasonAttemptsExhausted Reason = "attempts-exhausted" // every allowed attempt failed
)

// Task is the unit of work that is scheduled.
type Task struct {
	ID             TaskID
	Job            JobID
	NextAttempt    int // number of the next attempt, from 1
	Profile        ProfileName
	Team           TeamName
	Kind           Kind
	Demand         Resources
	ArrivedAt      time.Time
	Deadline       time.Time // zero for work without a deadline
	Lease          time.Duration
	MaxAttempts    int
	Repeatable     bool
	Checkpointable bool
	Durable        bool // each attempt is committed to the table before it is dispatched
	Payload        []byte
}

// Worker is a host that runs tasks.
type Worker struct {
	ID         HostID
	Address    netip.AddrPort
	DataCentre DataCentre
	Rack       string
	Capacity   Resources
}

// Attempt identifies one execution of a task on a worker under an epoch.
type Attempt struct {
	Task   TaskID
	Number int
	Worker HostID
	Epoch  Epoch
}

// RunningTask is a task in a worker's inventory.
type RunningTask struct {
	Attempt     Attempt
	Job         JobID
	Profile     ProfileName
	Team        TeamName
	Kind        Kind
	Demand      Resources
	StartedAt   time.Time
	Deadline    time.Time
	Lease       time.Duration
	LeaseExpiry time.Time
	Repeatable  bool
	Durable     bool
}

// EndKind is how an attempt ended on its worker.
type EndKind string

// Kinds of end.
const (
	EndDone         EndKind = "done"        // ran to completion; the output is complete
	EndFailed       EndKind = "failed"      // the task reported a permanent failure
	EndTransient    EndKind = "transient"   // the task reported a temporary failure
	EndStopped      EndKind = "stopped"     // stopped at the owner's request
	EndCheckpointed EndKind = "checkpoint"  // checkpointed and stopped; it can resume on another worker
	EndLeaseExpired EndKind = "lapsed"      // the lease expired and the worker stopped the task
	EndNotStarted   EndKind = "never-began" // permanently refused; the attempt will not start on that worker
)

// StopMode selects how a running attempt is stopped or slowed.
type StopMode string

// Stop modes.
const (
	StopNow        StopMode = "stop"
	StopCheckpoint StopMode = "checkpoint"
	StopThrottle   StopMode = "throttle" // slows the task but keeps it running
)

// Result is a worker's report on a finished attempt.
type Result struct {
	Attempt   Attempt
	End       EndKind
	Message   string
	Output    []byte
	StartedAt time.Time
	EndedAt   time.Time
	PeakUsage Resources // highest usage in each dimension while the task ran
}

// Usage is the resource usage of a running task, as reported by its worker.
type Usage struct {
	Task TaskID
	Used Resources
	At   time.Time
}

// TeamUsage is the resource usage of a team's running tasks.
type TeamUsage struct {
	Team TeamName
	Used Resources
}

// Response is the final response to a caller.
type Response struct {
	Task     TaskID
	Outcome  Outcome
	Reason   Reason
	Message  string
	Attempts int
	Worker   HostID
	Payload  []byte
	WaitTime time.Duration // from arrival to the start of the last attempt
	RunTime  time.Duration // duration of the last attempt
}

// HostState is the platform's view of one host.
type HostState string

// Host states.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostRole is the role of a host.
type HostRole string

// Host roles.
const (
	RoleWorker    HostRole = "worker"
	RoleEntryHost HostRole = "entry-host"
)

// Host is an entry of the platform's host list.
type Host struct {
	ID         HostID
	Role       HostRole
	State      HostState
	Address    netip.AddrPort // of a worker's listener, or of an entry host's listener for peers
	DataCentre DataCentre
	Rack       string
}

// Request is a caller's request before its profile turns it into a task.
type Request struct {
	Profile        ProfileName
	Team           TeamName
	Deadline       time.Duration // after arrival; zero selects the profile's default
	IdempotencyKey string
	Demand         *Resources // nil selects the profile's default
	Payload        []byte
}
