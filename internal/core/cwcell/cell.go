// Package cwcell decides where the tasks of one cell of workers run.
//
// A Cell is a state machine without clock, I/O or goroutines: events go in with the present time, orders and writes come
// out, and the same events lead to the same orders. Its owner is the one entry host that holds the cell's lease.
package cwcell

import (
	"math/rand/v2"
	"time"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// Options bound the decisions of a cell.
type Options struct {
	Seed uint64
	// RunNumberBase is below the number of every run that this owner starts of a job that it adopted.
	RunNumberBase int
	// PriorLeaseExpiry is when everything that earlier owners may have left on a silent worker is over.
	PriorLeaseExpiry time.Time
	// StatusRetention is how long the final state of a job stays known.
	StatusRetention time.Duration
	// StopTimeout is the longest time that a worker takes to stop a task.
	StopTimeout time.Duration
	// Policy returns the present policy of a queue, false if there is none.
	Policy func(cwwork.QueueName) (cwwork.QueuePolicy, bool)
	// LeaseExpiry returns when every lease that this owner has ordered on a worker is over.
	LeaseExpiry func(cwmodel.HostID) time.Time
}

// Cell is the state of one owner.
type Cell struct {
	opts       Options
	random     *rand.Rand
	jobs       map[cwmodel.JobID]*job
	ended      map[cwmodel.JobID]ended
	endings    []cwmodel.JobID // keys of ended, the oldest first
	workers    map[cwmodel.HostID]*worker
	open       []*group             // groups with tasks that wait
	timed      []*job               // jobs with occurrences still to come
	dirty      []*job               // jobs whose progress is not durable yet
	asks       map[uint64]*question // questions without an answer
	unsent     []*question          // of those, the ones that no decision has handed out
	questionID uint64
	unknown    int       // workers that have not answered this owner
	inOrder    []*worker // workers in a fixed order; nil after a change
	fleet      int       // counts the changes after which a worker may be asked about
	scratch    []*worker // reused by candidates
	room       roomIndex // which workers have gained room since the last decision
	held       *holds    // room that is kept for gangs, as of the last full pass
	effects    Effects
	now        time.Time // of the latest event
	caughtUp   bool      // every job that an earlier owner may have started is known
	paused     bool      // nothing is started
	departed   bool      // a worker was dropped since the members were listed
	changed    bool      // something happened that may let a waiting task start
	retryAt    time.Time // when every waiting group is looked at again
	queues     map[cwwork.QueueName]*queueStatistics
}

// ended is the final state of a job whose end is durable.
type ended struct {
	state cwwork.JobState
	at    time.Time
}

// queueStatistics is what the cell has learned about one queue.
type queueStatistics struct {
	waiting   int // jobs of which no task has started
	predictor predictor
	good      goodShare
}

// Effects are the orders that a decision leads to.
type Effects struct {
	Starts         []StartOrder
	Stops          []StopOrder
	AdviceRequests []AdviceRequest
	LogEntries     []LogEntry
	StartedJobs    []*cwwork.Submission // jobs of which the first task was started
}

// StartOrder asks a worker to start one run.
type StartOrder struct {
	Worker     cwmodel.HostID
	Task       cwwork.TaskKey
	Run        int
	Payload    string
	Checkpoint string
	Ticket     string
}

// StopOrder asks a worker to stop one run.
type StopOrder struct {
	Worker cwmodel.HostID
	Task   cwwork.TaskKey
	Run    int
}

// LogEntry is one line of the log: a decision and what decided it.
type LogEntry struct {
	Event  string
	Job    cwmodel.JobID
	Task   cwwork.TaskKey
	Worker cwmodel.HostID
	Run    int
	Detail string
}

// New returns a cell without jobs and workers.
func New(opts Options) *Cell {
	return &Cell{
		opts:    opts,
		random:  rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		held:    newHolds(),
		asks:    map[uint64]*question{},
		jobs:    map[cwmodel.JobID]*job{},
		ended:   map[cwmodel.JobID]ended{},
		workers: map[cwmodel.HostID]*worker{},
		queues:  map[cwwork.QueueName]*queueStatistics{},
	}
}

// Decide places what can be placed and returns the orders that have come up since the last call.
func (c *Cell) Decide(now, wall time.Time) Effects {
	c.now = now
	c.expire(now)
	c.openOccurrences(now, wall)
	switch {
	case c.paused:
	case !now.Before(c.retryAt):
		c.changed = false
		c.retryAt = now.Add(retryPeriod)
		c.held = newHolds()
		c.place(now, wall, fullPass)
	case c.changed:
		c.changed = false
		c.place(now, wall, deltaPass)
	}
	c.dispatchQuestions()
	effects := c.effects
	c.effects = Effects{}
	return effects
}

// retryPeriod is how often every waiting group is looked at: objectives pass, quarantines end, and room is kept for other
// gangs. In between, only groups are looked at that something has changed for.
const retryPeriod = 100 * time.Millisecond

// JobState returns what callers are told about a job, false if the cell does not know it.
func (c *Cell) JobState(id cwmodel.JobID) (state cwwork.JobState, known bool) {
	if e, ok := c.ended[id]; ok {
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

// QueueLengths returns how many jobs of each queue have not begun.
func (c *Cell) QueueLengths() map[cwwork.QueueName]int {
	waiting := make(map[cwwork.QueueName]int, len(c.queues))
	for name, q := range c.queues {
		waiting[name] = q.waiting
	}
	return waiting
}

// Counts returns the numbers of live jobs, of groups with waiting tasks and of workers that can take tasks.
func (c *Cell) Counts(now time.Time) (jobs, waiting, workers int) {
	for _, w := range c.workers {
		if w.usable(now) {
			workers++
		}
	}
	return len(c.jobs), len(c.open), workers
}

func (c *Cell) queue(name cwwork.QueueName) *queueStatistics {
	q, ok := c.queues[name]
	if !ok {
		q = &queueStatistics{}
		c.queues[name] = q
	}
	return q
}

func (c *Cell) note(n LogEntry) { c.effects.LogEntries = append(c.effects.LogEntries, n) }

// expire forgets the final states that nobody may ask for any more.
func (c *Cell) expire(now time.Time) {
	for len(c.endings) > 0 && now.Sub(c.ended[c.endings[0]].at) > c.opts.StatusRetention {
		delete(c.ended, c.endings[0])
		c.endings = c.endings[1:]
	}
}

// SetPaused has the cell start nothing more, or start tasks again.
func (c *Cell) SetPaused(paused bool) { c.paused, c.retryAt = paused, time.Time{} }

// HasLongRunning reports whether a task runs that lasts until it is cancelled.
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

// QuiescenceBlocker says why the store does not yet say all about the cell, or nothing if every worker has answered, none has a run or an
// end that is not durable, and nothing waits to be written.
func (c *Cell) QuiescenceBlocker() (why string) {
	switch {
	case c.unknown > 0:
		return "workers-without-an-answer"
	case len(c.dirty) > 0:
		return "writes"
	}
	for _, w := range c.workers {
		if len(w.runs) > 0 || w.foreign > 0 || len(w.ends) > 0 {
			return "runs"
		}
	}
	return ""
}

// WaitingGroup is a group of tasks that has waited for long, with what keeps it.
type WaitingGroup struct {
	Step          cwwork.StepKey
	Tasks         int // that wait
	Need          cwmodel.Resources
	Label         string // that the worker must have
	Since         time.Time
	Eligible      int  // workers that advice allows; -1 where none is needed
	AdvicePending bool // a question about it is under way
	Recovered     bool // what earlier owners left of it is known
}

// LongWaitingGroups returns at most limit groups that have waited for longer than d.
func (c *Cell) LongWaitingGroups(d time.Duration, limit int, now time.Time) (list []WaitingGroup) {
	for _, g := range c.open {
		if now.Sub(g.since) < d || len(list) == limit {
			continue
		}
		w := WaitingGroup{Step: g.key, Tasks: g.waiting, Need: g.step.Demand, Label: g.step.RequiredLabel, Since: g.since, Eligible: -1, Recovered: c.settled(g.job, now)}
		if g.advice != nil {
			w.Eligible, w.AdvicePending = len(g.advice.tickets), g.advice.asking+g.advice.renewal > 0
		}
		list = append(list, w)
	}
	return list
}
