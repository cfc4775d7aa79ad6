// Package cwmodel holds the core types that decisions, ports and adapters share.
package cwmodel

import (
	"net/netip"
	"time"
)

// Identifiers of the things that the system keeps apart.
type (
	// TaskID names one task; it stays the same over all attempts.
	TaskID string
	// JobID names one job; a gang's tasks share it.
	JobID string
	// HostID names one host, whether a worker or an entry host.
	HostID string
	// DataCentre names one data centre.
	DataCentre string
	// TeamName names one team.
	TeamName string
	// ProfileName names one profile.
	ProfileName string
	// Epoch is a fencing token: each owner of a worker holds a larger one than the owner before.
	Epoch uint64
)

// Kind says how the tasks of a profile are run.
type Kind string

// The closed set of kinds.
const (
	KindRequest Kind = "request" // a caller waits for the answer
	KindBatch   Kind = "batch"   // runs to its end once
	KindGang    Kind = "gang"    // all tasks start at once or none does
	KindService Kind = "service" // runs until it is cancelled
)

// Class orders profiles by urgency.
type Class string

// The closed set of classes, the most urgent first.
const (
	ClassUrgent     Class = "urgent"
	ClassStandard   Class = "standard"
	ClassBatch      Class = "batch"
	ClassBestEffort Class = "best-effort"
)

// Classes lists all classes, the most urgent first.
func Classes() []Class {
	return []Class{ClassUrgent, ClassStandard, ClassBatch, ClassBestEffort}
}

// Outcome is what a caller is told in the end.
type Outcome string

// The closed set of outcomes.
const (
	OutcomeDone      Outcome = "done"      // ran to its end; the answer is whole
	OutcomeFailed    Outcome = "failed"    // ran and failed, or was stopped while it ran
	OutcomeNotRun    Outcome = "not-run"   // never began and never will
	OutcomeCancelled Outcome = "cancelled" // ended on the caller's demand
	OutcomeUnknown   Outcome = "unknown"   // may have run; nobody can tell
)

// Outcomes lists all outcomes.
func Outcomes() []Outcome {
	return []Outcome{OutcomeDone, OutcomeFailed, OutcomeNotRun, OutcomeCancelled, OutcomeUnknown}
}

// Reason tells more about an outcome; it is empty for plain success.
type Reason string

// The reasons that the system itself gives.
const (
	ReasonNone              Reason = ""
	ReasonDeadlinePassed    Reason = "deadline-passed"    // the deadline passed before a start
	ReasonDeadlineExceeded  Reason = "deadline-exceeded"  // the deadline passed while it ran
	ReasonQueueFull         Reason = "queue-full"         // the queue of the profile is at its bound
	ReasonNoTimeLeft        Reason = "no-time-left"       // it could not start before its deadline
	ReasonTooLarge          Reason = "too-large"          // no worker could ever hold it
	ReasonNoWorkers         Reason = "no-workers"         // the data centre has no worker at present
	ReasonUnknownProfile    Reason = "unknown-profile"    // there is no such profile
	ReasonUnknownTeam       Reason = "unknown-team"       // there is no such team
	ReasonOverQuota         Reason = "over-quota"         // the team's quota can never hold it
	ReasonOverloaded        Reason = "overloaded"         // an internal ring was full
	ReasonShuttingDown      Reason = "shutting-down"      // the entry host is leaving
	ReasonWorkerLost        Reason = "worker-lost"        // the worker could not be reached any more
	ReasonTaskFailed        Reason = "task-failed"        // the task itself reported a failure
	ReasonPreempted         Reason = "preempted"          // stopped in favour of more urgent work
	ReasonCancelled         Reason = "cancelled"          // the caller cancelled it
	ReasonStoreUnavailable  Reason = "store-unavailable"  // the platform's table could not be written
	ReasonRefusedByWorker   Reason = "refused-by-worker"  // the worker refused the start for good
	ReasonNoConfiguration   Reason = "no-configuration"   // the host holds no configuration yet
	ReasonKeyReused         Reason = "key-reused"         // the idempotency key was used for another request
	ReasonAttemptsExhausted Reason = "attempts-exhausted" // every allowed attempt failed
)

// Task is one unit of work as decisions see it.
type Task struct {
	ID             TaskID
	Job            JobID
	Attempt        int // number of the next attempt, from 1
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
	Durable        bool // each attempt is committed to the table before it is sent
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

// Attempt names one try of one task on one worker under one epoch.
type Attempt struct {
	Task   TaskID
	Number int
	Worker HostID
	Epoch  Epoch
}

// RunningTask is one task in a worker's inventory.
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

// EndKind says how an attempt ended on its worker.
type EndKind string

// The closed set of ends.
const (
	EndDone         EndKind = "done"        // the answer is whole
	EndFailed       EndKind = "failed"      // the task reported a permanent failure
	EndTransient    EndKind = "transient"   // the task reported a failure that may pass
	EndStopped      EndKind = "stopped"     // stopped on the owner's order
	EndCheckpointed EndKind = "checkpoint"  // checkpointed and stopped; it can go on elsewhere
	EndLeaseExpired EndKind = "lapsed"      // its lease ended and the worker stopped it
	EndNotStarted   EndKind = "never-began" // refused for good; it will not begin on that worker
)

// StopMode says what to do to a running attempt.
type StopMode string

// The closed set of stop modes.
const (
	StopNow        StopMode = "stop"
	StopCheckpoint StopMode = "checkpoint"
	StopThrottle   StopMode = "throttle" // slows the task; it goes on running
)

// Result is what a worker reports about an attempt that is over.
type Result struct {
	Attempt   Attempt
	End       EndKind
	Message   string
	Answer    []byte
	StartedAt time.Time
	EndedAt   time.Time
	PeakUsage Resources // the most that the task was seen to use
}

// Usage is what one running task uses, as its worker reported it.
type Usage struct {
	Task TaskID
	Used Resources
	At   time.Time
}

// TeamUsage is what the running tasks of one team use.
type TeamUsage struct {
	Team TeamName
	Used Resources
}

// Response is what a caller is told.
type Response struct {
	Task     TaskID
	Outcome  Outcome
	Reason   Reason
	Message  string
	Attempts int
	Worker   HostID
	Payload  []byte
	WaitTime time.Duration // from arrival to the last start
	RunTime  time.Duration // from the last start to its end
}

// HostState is the platform's view of one host.
type HostState string

// The closed set of host states.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostRole says what a host is for.
type HostRole string

// The closed set of host roles.
const (
	RoleWorker    HostRole = "worker"
	RoleEntryHost HostRole = "entry-host"
)

// Host is one row of the platform's list of hosts.
type Host struct {
	ID         HostID
	Role       HostRole
	State      HostState
	Address    netip.AddrPort // a worker's own listener, or an entry host's listener for peers
	DataCentre DataCentre
	Rack       string
}

// Request is what a caller asks for, before a profile has made it a task.
type Request struct {
	Profile        ProfileName
	Team           TeamName
	Deadline       time.Duration // from the arrival; zero for the profile's own
	IdempotencyKey string
	Demand         *Resources // nil for the profile's own
	Payload        []byte
}
