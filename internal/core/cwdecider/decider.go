// Package cwdecider decides which task starts on which worker and when.
//
// A Decider is a deterministic state machine: each method applies one event at a given time and appends actions
// for the caller to carry out. It is used by one goroutine and depends on no clock, network or encoding.
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

// ActionKind is the kind of an action that the owner of a decider carries out.
type ActionKind string

// The closed set of action kinds.
const (
	ActionStart   ActionKind = "start"  // send a start order to a worker
	ActionStop    ActionKind = "stop"   // send a stop order: stop, checkpoint or throttle an attempt
	ActionRespond ActionKind = "answer" // send the final response to the caller
	ActionLost    ActionKind = "lost"   // the worker of a durable attempt is no longer owned; its next owner continues with the attempt
	ActionOrphan  ActionKind = "orphan" // a result arrived for an attempt whose task is not tracked here or no longer waits for it
)

// Action is one step for the owner of a decider to carry out.
type Action struct {
	Kind     ActionKind
	Task     cwmodel.Task // of a start order, Demand is the allocated capacity
	Attempt  cwmodel.Attempt
	Mode     cwmodel.StopMode // of ActionStop
	Response cwmodel.Response // of ActionRespond
	Result   cwmodel.Result   // of ActionRespond: the result of the last attempt, zero if unknown; of ActionOrphan: the result
}

// Options configures a Decider; zero fields take their defaults.
type Options struct {
	Seed               uint64        // seeds all random choices
	ResponseGrace      time.Duration // time allowed for the result of a stopped request before the response says that the outcome is unknown
	ClockMargin        time.Duration // largest clock drift between this host and a worker over one lease
	StartWindow        time.Duration // time after the start decision within which a worker may begin the attempt
	ReservationDelay   time.Duration // time that a blocked task waits before capacity is reserved for it
	ReservationTimeout time.Duration // lifetime of a reservation for one task or gang

	// OnInvariantViolation is called with the description of a violated invariant. If it is nil, the decider panics.
	OnInvariantViolation func(message string)

	// The Disable options switch off one part of the policy to measure its effect.
	DisableJitter    bool
	DisableBreaker   bool
	DisableEstimates bool
	DisableFloors    bool
}

// setDefaults replaces the zero fields that have a default.
func (o *Options) setDefaults() {
	setDefault(&o.ResponseGrace, defaultResponseGrace)
	setDefault(&o.ClockMargin, defaultClockMargin)
	setDefault(&o.StartWindow, defaultStartWindow)
	setDefault(&o.ReservationDelay, defaultReservationDelay)
	setDefault(&o.ReservationTimeout, defaultReservationTimeout)
	if o.OnInvariantViolation == nil {
		o.OnInvariantViolation = func(message string) { panic(message) }
	}
}

// setDefault sets a field that has its zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Decider tracks the queues, the workers and the tasks that run on them.
type Decider struct {
	opts           Options
	random         *rand.Rand
	cfg            cwpolicy.Configuration
	fleet          cwplacement.Fleet
	workers        map[cwmodel.HostID]*worker
	breakers       map[cwmodel.HostID]*cwquarantine.Breaker
	quarantined    []*worker  // workers whose breaker is not closed
	racks          []string   // of all workers so far, sorted
	profiles       []*profile // sorted by class, then name
	profilesByName map[cwmodel.ProfileName]*profile
	teams          map[cwmodel.TeamName]*team
	tasks          map[cwmodel.TaskID]*task       // tracked tasks: waiting, running or lost, with no response sent yet
	orphans        map[cwmodel.Attempt]*task      // response sent, capacity still allocated
	holds          map[cwmodel.JobID]*hold        // by job: parts of gangs with capacity allocated until they are committed
	rackCounts     map[cwmodel.JobID]tasksPerRack // by job, for the tasks of gangs and services
	timers         cwheap.Heap[task]
	reservation    *reservation        // nil if there is none
	preemptors     []*task             // waiting tasks with a nominated worker
	earlyCancels   tombstones          // cancelled before they were submitted
	waiting        int                 // queued tasks; a queued gang counts once
	running        int                 // tasks with capacity on a worker
	failingWorkers int                 // number of workers whose latest result is a failure
	pass           uint64              // number of the current scheduling pass
	unplaceable    []cwmodel.Resources // demands that fit no worker in the current pass
	recycled       []*task             // task records to be reused by newTask
	actions        []Action
}

// New returns a decider without workers or configuration.
func New(opts Options) *Decider {
	opts.setDefaults()
	d := &Decider{
		opts:           opts,
		random:         rand.New(rand.NewPCG(opts.Seed, seedStream)),
		workers:        map[cwmodel.HostID]*worker{},
		breakers:       map[cwmodel.HostID]*cwquarantine.Breaker{},
		profilesByName: map[cwmodel.ProfileName]*profile{},
		teams:          map[cwmodel.TeamName]*team{},
		tasks:          map[cwmodel.TaskID]*task{},
		orphans:        map[cwmodel.Attempt]*task{},
		holds:          map[cwmodel.JobID]*hold{},
		rackCounts:     map[cwmodel.JobID]tasksPerRack{},
	}
	d.fleet.OnViolation = opts.OnInvariantViolation
	d.timers = cwheap.Heap[task]{Less: timerBefore, Index: func(t *task) *int { return &t.timerIndex }}
	return d
}

// seedStream is the second word of the seed of the random generator (PCG); its bytes spell "currant".
const seedStream = 0x63757272616e74

// Actions returns the actions decided since the last call; the slice is valid until the next event.
func (d *Decider) Actions() []Action {
	actions := d.actions
	d.actions = d.actions[:0]
	return actions
}

// Configure applies a configuration and schedules by it; one that is older than the current one is ignored.
func (d *Decider) Configure(now time.Time, cfg cwpolicy.Configuration) {
	if cfg.Version < d.cfg.Version {
		return
	}
	d.cfg = cfg
	d.applyProfiles()
	d.applyTeams()
	d.schedule(now)
}

// HasTask reports whether a task is tracked here: submitted or adopted, and without a response.
func (d *Decider) HasTask(id cwmodel.TaskID) bool {
	_, ok := d.tasks[id]
	return ok
}

// Submit enqueues a task, or responds at once with the reason why it cannot run. A task that is already tracked is ignored.
func (d *Decider) Submit(now time.Time, spec cwmodel.Task) {
	if d.HasTask(spec.ID) {
		return
	}
	if d.earlyCancels.has(spec.ID) {
		d.respond(spec, rejection(cwmodel.ReasonCancelled))
		return
	}
	if reason := d.admit(now, spec, spec.Demand); reason != cwmodel.ReasonNone {
		d.respond(spec, rejection(reason))
		return
	}
	t := d.track(spec)
	d.enqueue(t)
	if t.queue.Min() == t { // behind another task it cannot start yet
		d.scheduleQueue(now, t.queue)
	}
}

// Cancel cancels a task for its caller. If the task is not tracked here, a later submission of it is rejected.
func (d *Decider) Cancel(now time.Time, id cwmodel.TaskID) {
	if !d.HasTask(id) {
		d.earlyCancels.add(id)
		return
	}
	d.CancelExisting(now, id)
}

// CancelExisting cancels a task if it is tracked here: a waiting task is finished at once, with its whole gang, and a running
// one is stopped. Unlike Cancel it does not affect a later submission.
func (d *Decider) CancelExisting(now time.Time, id cwmodel.TaskID) {
	t, ok := d.tasks[id]
	if !ok || t.cancelled {
		return
	}
	if t.gang != nil && t.phase == phaseWaiting {
		d.cancelGang(t.gang)
		return
	}
	t.cancelled = true
	switch t.phase {
	case phaseWaiting, phaseDelayed:
		d.withdraw(t)
		d.finish(t, cwmodel.Response{Outcome: cwmodel.OutcomeCancelled, Reason: cwmodel.ReasonCancelled})
	case phaseRunning:
		d.stop(now, t, cwmodel.StopNow)
	case phaseLost:
	}
}

// HandleResult processes the result of an attempt. If an earlier attempt of a task, which was given up, has completed after
// all, its output is the response for the task. Any other result that no task waits for is passed on with ActionOrphan.
func (d *Decider) HandleResult(now time.Time, r cwmodel.Result) {
	t, ok := d.tasks[r.Attempt.Task]
	switch {
	case ok && t.lastAttempt == r.Attempt && t.phase == phaseRunning:
		d.completeRunning(now, t, r)
	case ok && t.lastAttempt == r.Attempt && t.phase == phaseLost:
		d.setTimer(t, time.Time{})
		d.resolve(now, t, r)
	case d.completeOrphan(r):
	case ok && r.End == cwmodel.EndDone && r.Attempt.Number < t.NextAttempt && t.phase != phaseRunning:
		d.withdraw(t)
		d.finish(t, d.buildResultResponse(t, r, cwmodel.OutcomeDone, cwmodel.ReasonNone))
	case ok && r.End == cwmodel.EndDone && r.Attempt.Number < t.NextAttempt:
		d.respondEarly(now, t, d.buildResultResponse(t, r, cwmodel.OutcomeDone, cwmodel.ReasonNone))
	default:
		d.actions = append(d.actions, Action{Kind: ActionOrphan, Attempt: r.Attempt, Result: r})
	}
	d.schedule(now)
}

// Tick handles expired timers, holds and nominations, then starts waiting tasks and reserves or preempts capacity for those
// that are blocked.
func (d *Decider) Tick(now time.Time) {
	d.runTimers(now)
	d.expireHolds(now)
	d.expireNominations(now)
	d.reviewQuarantine(now)
	for _, p := range d.profiles {
		p.updateActivity(now)
		p.updateStartRate(now)
		for _, q := range p.queues {
			d.finishLateTasks(now, q)
		}
	}
	d.schedule(now)
	d.advanceReservation(now)
	d.preempt(now)
}

// respond emits the response for a task that is not tracked.
func (d *Decider) respond(t cwmodel.Task, response cwmodel.Response) {
	response.Task = t.ID
	d.actions = append(d.actions, Action{Kind: ActionRespond, Task: t, Response: response})
}
