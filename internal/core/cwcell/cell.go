// Package cwcell decides where the tasks of one cell of workers run.
//
// A Cell is a deterministic state machine without clock, I/O or goroutines: it takes events with the present time and
// returns orders and writes. The entry host that holds the cell's lease owns it.
package cwcell

import (
	"math"
	"math/rand/v2"
	"time"

	"currantward/internal/core/cwclock"
	"currantward/internal/core/cwevidence"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// Options configure a cell.
type Options struct {
	Seed uint64 // of all random choices
	// RunNumberBase is a lower bound: this owner gives the runs of adopted jobs higher numbers.
	RunNumberBase int
	// PriorLeaseExpiry is the time at which all leases granted by earlier owners have expired, also those on unreachable
	// workers.
	PriorLeaseExpiry time.Time
	// Term is that of this owner's lease; 0: it is not known.
	Term int
	// FormerOwners bounds the calls of earlier owners, each by itself. Those that it does not bound end after PriorLeaseExpiry.
	FormerOwners cwclock.FormerOwners
	// StatusRetention is how long the final state of a job can be looked up.
	StatusRetention time.Duration
	// TaskLease is the lease that owners grant.
	TaskLease time.Duration
	// MaxTaskLease is the longest lease that a worker grants, on the clock of this host. It grants that on a deadline for another clock than its own.
	MaxTaskLease time.Duration
	// StopTimeout is the longest time that a worker takes to stop a task.
	StopTimeout time.Duration
	// Policy returns the present policy of a queue, and false if the queue has none.
	Policy func(cwwork.QueueName) (cwwork.QueuePolicy, bool)
	// LeaseExpiry returns the time at which every lease that this owner granted on a worker has expired.
	LeaseExpiry func(cwmodel.HostID) time.Time
	// MaxStoredOccurrences returns how many unfinished occurrences of a job fit in its stored progress; nil: as many as are due.
	MaxStoredOccurrences func(*cwwork.Submission) int
	// OwnedUntil returns the latest time at which this host is known to have been the only owner: when it sent the latest
	// successful renewal of the cell's lease. Until its own lease expires, a later owner may act besides it.
	OwnedUntil func() time.Time
	// RegistryReadAt returns when the latest successful call for the platform's list of workers was sent; nil: never.
	RegistryReadAt func() time.Time
}

// Cell is the scheduling state that one owner keeps of a cell.
type Cell struct {
	opts                  Options
	random                *rand.Rand
	jobs                  map[cwmodel.JobID]*job
	finalStates           map[cwmodel.JobID]finalState
	endedOrder            []cwmodel.JobID // keys of finalStates, oldest first
	workers               map[cwmodel.HostID]*worker
	waitingGroups         []*group                   // groups with waiting tasks
	scheduledJobs         []*job                     // jobs with due times, of which occurrences are still to be opened
	dirtyJobs             []*job                     // jobs whose state is not durable yet
	pendingRequests       map[uint64]*pendingRequest // by ID
	unsentRequests        []*pendingRequest          // pending requests that Decide has not returned yet
	lastRequestID         uint64
	awaitingReport        int           // number of workers whose present incarnation has not answered a poll of this owner
	workersWithUnreadEnds int           // number of workers with endsUnread
	sortedWorkersCache    []*worker     // the workers sorted by ID; nil after a change, rebuilt on next use
	fleetVersion          int           // counts the changes after which a group may find workers that no advice covers yet
	candidateBuffer       []*worker     // backing array of the result of candidates, reused by each call
	freedCapacity         freedCapacity // workers whose free capacity grew since the last placement pass
	reserved              *reservations // workers reserved for gangs in the last full pass
	effects               Effects
	now                   time.Time // of the latest event
	wall                  time.Time // time of day of the latest decision or admission; zero before
	jobsLoaded            bool      // every job that an earlier owner may have started is loaded from the store
	paused                bool      // no tasks are started
	membersRemoved        bool      // a worker was evicted since the last call of Members
	placementDue          bool      // an event may allow a waiting task to start
	nextFullPass          time.Time // time at which every waiting group is considered again
	queues                map[cwwork.QueueName]*queueStatistics
	doubts                map[cwmodel.HostID][]doubt // by worker: losses of which it is not known whether the worker has crashed
	suspectedCrashes      map[cwevidence.CrashKey]*suspectedCrash
	crashMemory           cwevidence.Memory
}

// finalState is the final state of a job whose end is durable, kept for lookups until the retention period ends.
type finalState struct {
	state     cwwork.JobState
	durableAt time.Time
}

// queueStatistics are the statistics of one queue.
type queueStatistics struct {
	waiting       int // jobs of which no task has started
	predictor     predictor
	eligibleShare eligibleShare
}

// Effects are the results of a decision.
type Effects struct {
	Starts         []StartOrder
	Stops          []StopOrder
	AdviceRequests []AdviceRequest
	LogEntries     []LogEntry
	StartedJobs    []*cwwork.Submission // jobs whose first task a worker has started
}

// StartOrder orders a worker to start a run.
type StartOrder struct {
	Worker     cwmodel.HostID
	Task       cwwork.TaskKey
	Run        int
	Payload    string
	Checkpoint string
	Ticket     string
}

// StopOrder orders a worker to stop a run.
type StopOrder struct {
	Worker cwmodel.HostID
	Task   cwwork.TaskKey
	Run    int
}

// LogEntry is a log entry of a decision and its cause.
type LogEntry struct {
	Event  string
	Job    cwmodel.JobID
	Task   cwwork.TaskKey
	Worker cwmodel.HostID
	Run    int
	Detail string
	// Incarnation is that of the worker: the one that ran a lost run, or that a restarted worker has now; zero: it is not known.
	Incarnation time.Time
	// Survived is how long a lost run is known to have lived: from its confirmed start to the last response of its worker. Nil: the entry is not
	// about a lost run.
	Survived *time.Duration
}

// New returns a cell without jobs and workers.
func New(opts Options) *Cell {
	if opts.RegistryReadAt == nil {
		opts.RegistryReadAt = func() time.Time { return time.Time{} }
	}
	if opts.MaxStoredOccurrences == nil {
		opts.MaxStoredOccurrences = func(*cwwork.Submission) int { return math.MaxInt }
	}
	return &Cell{
		opts:             opts,
		random:           rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		reserved:         newReservations(),
		pendingRequests:  map[uint64]*pendingRequest{},
		jobs:             map[cwmodel.JobID]*job{},
		finalStates:      map[cwmodel.JobID]finalState{},
		workers:          map[cwmodel.HostID]*worker{},
		queues:           map[cwwork.QueueName]*queueStatistics{},
		doubts:           map[cwmodel.HostID][]doubt{},
		suspectedCrashes: map[cwevidence.CrashKey]*suspectedCrash{},
	}
}

// Decide starts the waiting tasks that fit and returns the effects of all events since the last call. It considers all
// waiting groups once per fullPassPeriod, and otherwise only groups for which something has changed; while the cell is
// paused it starts none. now is read from the same clock as for all other events; wall is the time of day, with which due
// times and acceptance times are compared.
func (c *Cell) Decide(now, wall time.Time) Effects {
	c.now, c.wall = now, wall
	c.expireFinalStates(now)
	c.openDueOccurrences(now, wall)
	switch {
	case c.paused:
	case !now.Before(c.nextFullPass):
		c.placementDue = false
		c.nextFullPass = now.Add(fullPassPeriod)
		c.reserved = newReservations()
		c.expireDoubts(now)
		c.cordonWorkers(now, wall)
		c.place(now, wall, fullPass)
	case c.placementDue:
		c.placementDue = false
		c.place(now, wall, incrementalPass)
	}
	c.emitAdviceRequests()
	effects := c.effects
	c.effects = Effects{}
	return effects
}

// fullPassPeriod is how often all waiting groups are considered, since objectives pass, quarantines end and
// reservations change. Other passes consider only groups for which something has changed.
const fullPassPeriod = 100 * time.Millisecond

// JobState returns the state of a job as reported to callers; known is false if the cell does not know the job. An ended job
// is reported as running until its end is durable.
func (c *Cell) JobState(id cwmodel.JobID) (state cwwork.JobState, known bool) {
	if e, ok := c.finalStates[id]; ok {
		return e.state, true
	}
	j, ok := c.jobs[id]
	switch {
	case !ok:
		return "", false
	case j.started:
		return cwwork.StateRunning, true
	}
	return cwwork.StateQueued, true
}

// QueueLengths returns the number of jobs of each queue that have not started.
func (c *Cell) QueueLengths() map[cwwork.QueueName]int {
	waiting := make(map[cwwork.QueueName]int, len(c.queues))
	for name, q := range c.queues {
		waiting[name] = q.waiting
	}
	return waiting
}

// Counts returns the numbers of jobs that are not removed yet, of groups with waiting tasks, and of workers on which new
// tasks may be started.
func (c *Cell) Counts(now time.Time) (jobs, waiting, workers int) {
	for _, w := range c.workers {
		if w.usable(now) {
			workers++
		}
	}
	return len(c.jobs), len(c.waitingGroups), workers
}

// queue returns the statistics of a queue and creates them on first use.
func (c *Cell) queue(name cwwork.QueueName) *queueStatistics {
	q, ok := c.queues[name]
	if !ok {
		q = &queueStatistics{}
		c.queues[name] = q
	}
	return q
}

// log adds a log entry to the effects.
func (c *Cell) log(e LogEntry) { c.effects.LogEntries = append(c.effects.LogEntries, e) }

// expireFinalStates drops the final states that have been durable for longer than StatusRetention.
func (c *Cell) expireFinalStates(now time.Time) {
	for len(c.endedOrder) > 0 && now.Sub(c.finalStates[c.endedOrder[0]].durableAt) > c.opts.StatusRetention {
		delete(c.finalStates, c.endedOrder[0])
		c.endedOrder = c.endedOrder[1:]
	}
}

// SetPaused suspends or resumes the start of tasks. The first decision after a pause considers all waiting groups.
func (c *Cell) SetPaused(paused bool) { c.paused, c.nextFullPass = paused, time.Time{} }

// HasLongRunning reports whether some worker runs a task that ends only when it is cancelled.
func (c *Cell) HasLongRunning() bool {
	for _, w := range c.workers {
		for _, r := range w.runs {
			if r.group.step.LongRunning {
				return true
			}
		}
	}
	return false
}

// QuiescenceBlocker returns why the store does not contain the whole state of the cell. It returns the empty string once
// every worker has answered, no worker has a run or an end that is not durable, and no job waits to be written. It does not
// cover writes in progress.
func (c *Cell) QuiescenceBlocker() (reason string) {
	switch {
	case c.awaitingReport > 0:
		return "workers-without-an-answer"
	case len(c.dirtyJobs) > 0:
		return "writes"
	}
	for _, w := range c.workers {
		if len(w.runs) > 0 || w.foreignRuns > 0 || len(w.pendingEnds) > 0 || w.endsUnread {
			return "runs"
		}
	}
	return ""
}

// WaitingGroup describes a group that has waited for long, and what may keep it from starting.
type WaitingGroup struct {
	Step            cwwork.StepKey
	Tasks           int // waiting tasks
	Demand          cwmodel.Resources
	RequiredLabel   string // label that the worker must have; empty: none
	WaitingSince    time.Time
	EligibleWorkers int  // number of workers that advice allows; -1: the group needs no advice, so all workers are allowed
	AdvicePending   bool // a request for advice has not been answered
	Unproven        int  // waiting tasks that must not start before it is known how their earlier runs have ended
	RunsReconciled  bool // this owner knows every run of the job that an earlier owner started; until then no task of it starts
}

// LongWaitingGroups describes at most limit of the groups that have waited for at least minWait.
func (c *Cell) LongWaitingGroups(minWait time.Duration, limit int, now time.Time) (list []WaitingGroup) {
	for _, g := range c.waitingGroups {
		if now.Sub(g.waitingSince) < minWait || len(list) == limit {
			continue
		}
		// EligibleWorkers stays -1 if the group needs no advice.
		w := WaitingGroup{Step: g.key, Tasks: g.waiting, Demand: g.step.Demand, RequiredLabel: g.step.RequiredLabel, WaitingSince: g.waitingSince, EligibleWorkers: -1, RunsReconciled: c.runsReconciled(g.job, now)}
		for index := range g.tasks {
			if t := &g.tasks[index]; !t.done && len(t.runs) == 0 && c.awaitsProof(t) {
				w.Unproven++
			}
		}
		if g.advice != nil {
			w.EligibleWorkers, w.AdvicePending = len(g.advice.tickets), g.advice.pendingEvaluations+g.advice.pendingRenewals > 0
		}
		list = append(list, w)
	}
	return list
}
