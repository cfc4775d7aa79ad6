// Package cwdecider decides which task starts where and when.
//
// A Decider is a deterministic state machine: events go in with the present time, actions come out.
// It is used by one goroutine and knows nothing of clocks, networks or encodings.
package cwdecider

import (
	"math/rand/v2"
	"time"

	"currantward/internal/base/cwheap"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwplacement"
	"currantward/internal/core/cwpolicy"
	"currantward/internal/core/cwquarantine"
)

// ActionKind says what the owner of a decider has to carry out.
type ActionKind string

// The closed set of action kinds.
const (
	ActionStart   ActionKind = "start"  // send a start order to a worker
	ActionStop    ActionKind = "stop"   // stop, checkpoint or throttle an attempt
	ActionRespond ActionKind = "answer" // tell the caller the outcome
	ActionLost    ActionKind = "lost"   // the worker of a durable attempt is no longer owned
	ActionOrphan  ActionKind = "orphan" // a result came of an attempt that is not known here
)

// Action is one thing to carry out.
type Action struct {
	Kind     ActionKind
	Task     cwmodel.Task // of a start: its demand is what is reserved
	Attempt  cwmodel.Attempt
	Mode     cwmodel.StopMode
	Response cwmodel.Response
	Result   cwmodel.Result // of an answer: the end of its last attempt, if that is known; of an orphan: the result
}

// Options set up a decider; zero fields take their defaults.
type Options struct {
	Seed               uint64        // of all random choices
	ResponseGrace      time.Duration // how long a stopped request may take to confirm its end
	ClockMargin        time.Duration // by how much clocks may drift over one lease
	StartWindow        time.Duration // how long after its decision a start may begin
	ReservationDelay   time.Duration // how long a blocked task waits before capacity is reserved for it
	ReservationTimeout time.Duration // how long capacity is reserved for one task or gang

	// OnViolation is told of a broken invariant; nil panics.
	OnViolation func(message string)

	// Switches for measurements of the policy without one of its parts.
	DisableJitter    bool
	DisableBreaker   bool
	DisableEstimates bool
	DisableFloors    bool
}

func (o *Options) setDefaults() {
	setDefault(&o.ResponseGrace, defaultAnswerGrace)
	setDefault(&o.ClockMargin, defaultClockMargin)
	setDefault(&o.StartWindow, defaultStartWindow)
	setDefault(&o.ReservationDelay, defaultGangPatience)
	setDefault(&o.ReservationTimeout, defaultReservationLimit)
	if o.OnViolation == nil {
		o.OnViolation = func(message string) { panic(message) }
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Decider holds the queues, the workers and what runs on them.
type Decider struct {
	opts     Options
	random   *rand.Rand
	cfg      cwpolicy.Configuration
	fleet    cwplacement.Fleet
	workers  map[cwmodel.HostID]*worker
	breakers map[cwmodel.HostID]*cwquarantine.Breaker
	suspects []*worker // workers whose breaker is not closed
	racks    []string
	profiles []*profile // by class, then name
	byName   map[cwmodel.ProfileName]*profile
	teams    map[cwmodel.TeamName]*team
	tasks    map[cwmodel.TaskID]*task    // not answered yet
	strays   map[cwmodel.Attempt]*task   // hold capacity though nobody waits for their answer
	holds    map[cwmodel.JobID]*hold     // parts of gangs that wait for their commit
	spread   map[cwmodel.JobID]rackCount // where gangs and services run
	alarms   cwheap.Heap[task]
	reserved *reservation
	rooms    []*task // have a worker that is being cleared for them
	revoked  tombstones
	waiting  int
	running  int
	failing  int // workers whose latest result is a failure
	pass     uint64
	misfits  []cwmodel.Resources // demands that found no worker in the present pass
	free     []*task             // records for reuse
	actions  []Action
}

// New returns a decider without workers or configuration.
func New(opts Options) *Decider {
	opts.setDefaults()
	d := &Decider{
		opts:     opts,
		random:   rand.New(rand.NewPCG(opts.Seed, seedStream)),
		workers:  map[cwmodel.HostID]*worker{},
		breakers: map[cwmodel.HostID]*cwquarantine.Breaker{},
		byName:   map[cwmodel.ProfileName]*profile{},
		teams:    map[cwmodel.TeamName]*team{},
		tasks:    map[cwmodel.TaskID]*task{},
		strays:   map[cwmodel.Attempt]*task{},
		holds:    map[cwmodel.JobID]*hold{},
		spread:   map[cwmodel.JobID]rackCount{},
	}
	d.fleet.OnViolation = opts.OnViolation
	d.alarms = cwheap.Heap[task]{Less: alarmsEarlier, Index: func(t *task) *int { return &t.alarmAt }}
	return d
}

const seedStream = 0x63757272616e74

// Actions returns the actions decided since the last call; the slice is valid until the next event.
func (d *Decider) Actions() []Action {
	actions := d.actions
	d.actions = d.actions[:0]
	return actions
}

// Configure puts a configuration in force; an older one is ignored.
func (d *Decider) Configure(now time.Time, cfg cwpolicy.Configuration) {
	if cfg.Version < d.cfg.Version {
		return
	}
	d.cfg = cfg
	d.applyProfiles()
	d.applyTeams()
	d.place(now)
}

// HasTask reports whether a task waits or runs here and is not answered yet.
func (d *Decider) HasTask(id cwmodel.TaskID) bool {
	_, ok := d.tasks[id]
	return ok
}

// Submit takes one task into its queue or answers at once why it never will run; a task that is known is ignored.
func (d *Decider) Submit(now time.Time, t cwmodel.Task) {
	if d.HasTask(t.ID) {
		return
	}
	if d.revoked.has(t.ID) {
		d.answer(t, refusal(cwmodel.ReasonCancelled))
		return
	}
	if reason := d.admit(now, t, t.Demand); reason != cwmodel.ReasonNone {
		d.answer(t, refusal(reason))
		return
	}
	state := d.adopt(t)
	d.enqueue(state)
	if state.queue.Min() == state {
		d.placeQueue(now, state.queue)
	}
}

// Cancel ends a task on its caller's demand; one that is not known yet is refused when it comes.
func (d *Decider) Cancel(now time.Time, id cwmodel.TaskID) {
	if !d.HasTask(id) {
		d.revoked.add(id)
		return
	}
	d.CancelExisting(now, id)
}

// CancelExisting ends a task if it is known; unlike Cancel it has no effect on a later submission.
func (d *Decider) CancelExisting(now time.Time, id cwmodel.TaskID) {
	state, ok := d.tasks[id]
	if !ok || state.cancelled {
		return
	}
	if state.gang != nil && state.phase == phaseWaiting {
		d.cancelGang(state.gang)
		return
	}
	state.cancelled = true
	switch state.phase {
	case phaseWaiting, phaseDelayed:
		d.withdraw(state)
		d.finish(state, cwmodel.Response{Outcome: cwmodel.OutcomeCancelled, Reason: cwmodel.ReasonCancelled})
	case phaseRunning:
		d.stop(now, state, cwmodel.StopNow)
	case phaseLost:
	}
}

// HandleResult takes the result of an attempt.
func (d *Decider) HandleResult(now time.Time, r cwmodel.Result) {
	state, ok := d.tasks[r.Attempt.Task]
	switch {
	case ok && state.attempt == r.Attempt && state.phase == phaseRunning:
		d.endRunning(now, state, r)
	case ok && state.attempt == r.Attempt && state.phase == phaseLost:
		d.setAlarm(state, time.Time{})
		d.settle(now, state, r)
	case d.endStray(r):
	case ok && r.End == cwmodel.EndDone && r.Attempt.Number < state.Attempt && state.phase != phaseRunning:
		d.withdraw(state)
		d.finish(state, d.report(state, r, cwmodel.OutcomeDone, cwmodel.ReasonNone))
	case ok && r.End == cwmodel.EndDone && r.Attempt.Number < state.Attempt:
		d.answerEarly(now, state, d.report(state, r, cwmodel.OutcomeDone, cwmodel.ReasonNone))
	default:
		d.actions = append(d.actions, Action{Kind: ActionOrphan, Attempt: r.Attempt, Result: r})
	}
	d.place(now)
}

// Tick carries out what has fallen due and places what can be placed.
func (d *Decider) Tick(now time.Time) {
	d.ringAlarms(now)
	d.expireHolds(now)
	d.expireRooms(now)
	d.review(now)
	for _, p := range d.profiles {
		p.noteWork(now)
		p.measureRate(now)
		for _, q := range p.queues {
			d.dropHopeless(now, q)
		}
	}
	d.place(now)
	d.reserve(now)
	d.preempt(now)
}

func (d *Decider) answer(t cwmodel.Task, answer cwmodel.Response) {
	answer.Task = t.ID
	d.actions = append(d.actions, Action{Kind: ActionRespond, Task: t, Response: answer})
}
