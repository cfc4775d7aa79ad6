// Package cwdecider decides which task starts where and when.
//
// A Decider is a deterministic state machine: events go in with the present time, actions come out.
// It is used by one goroutine and knows nothing of clocks, networks or encodings.
package cwdecider

import (
	"time"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
)

// ActionKind says what the owner of a decider has to carry out.
type ActionKind string

// The closed set of action kinds.
const (
	ActionStart  ActionKind = "start"  // send a start order to a worker
	ActionStop   ActionKind = "stop"   // stop, checkpoint or throttle an attempt
	ActionAnswer ActionKind = "answer" // tell the caller the outcome
)

// Action is one thing to carry out.
type Action struct {
	Kind    ActionKind
	Task    cwmodel.Task
	Attempt cwmodel.Attempt
	Mode    cwmodel.StopMode
	Answer  cwmodel.Answer
}

// Options set up a decider.
type Options struct {
	Seed uint64 // of all random choices
}

// Decider holds the queues, the workers and what runs on them.
type Decider struct {
	opts    Options
	cfg     cwpolicy.Configuration
	workers map[cwmodel.HostID]*worker
	order   []*worker // by identifier, for determinism
	queues  map[cwmodel.ProfileName]*queue
	tasks   map[cwmodel.TaskID]*task
	actions []Action
}

// New returns a decider without workers or configuration.
func New(opts Options) *Decider {
	return &Decider{
		opts:    opts,
		workers: map[cwmodel.HostID]*worker{},
		queues:  map[cwmodel.ProfileName]*queue{},
		tasks:   map[cwmodel.TaskID]*task{},
	}
}

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
	d.place(now)
}

// Submit takes one task into its queue or answers at once why it never will run.
func (d *Decider) Submit(now time.Time, t cwmodel.Task) {
	if reason := d.admit(now, t); reason != cwmodel.ReasonNone {
		d.answer(t, cwmodel.Answer{Outcome: cwmodel.OutcomeNotRun, Reason: reason})
		return
	}
	state := &task{Task: t}
	d.tasks[t.ID] = state
	d.queueOf(t.Profile).push(state)
	d.place(now)
}

// Cancel ends a task on its caller's demand; a task that is not known is ignored.
func (d *Decider) Cancel(_ time.Time, id cwmodel.TaskID) {
	state, ok := d.tasks[id]
	if !ok || state.cancelled {
		return
	}
	state.cancelled = true
	if state.worker == nil {
		d.queueOf(state.Profile).remove(state)
		d.finish(state, cwmodel.Answer{Outcome: cwmodel.OutcomeCancelled, Reason: cwmodel.ReasonCancelled})
		return
	}
	d.actions = append(d.actions, Action{Kind: ActionStop, Task: state.Task, Attempt: state.attempt, Mode: cwmodel.StopNow})
}

// Ended takes the result of an attempt; a result of any other attempt than the present one is ignored.
func (d *Decider) Ended(now time.Time, r cwmodel.Result) {
	state, ok := d.tasks[r.Attempt.Task]
	if !ok || state.worker == nil || state.attempt != r.Attempt {
		return
	}
	d.vacate(state)
	d.settle(now, state, r)
	d.place(now)
}

// Tick answers what can no longer start in time and places what can.
func (d *Decider) Tick(now time.Time) {
	for _, q := range d.queues {
		for _, state := range q.expire(now) {
			d.finish(state, state.expired())
		}
	}
	d.place(now)
}

// expired returns the answer for a waiting task whose deadline has passed.
func (t *task) expired() cwmodel.Answer {
	if t.began {
		return cwmodel.Answer{Outcome: cwmodel.OutcomeFailed, Reason: cwmodel.ReasonDeadlineExceeded, Attempts: t.Attempt - 1}
	}
	return cwmodel.Answer{Outcome: cwmodel.OutcomeNotRun, Reason: cwmodel.ReasonDeadlinePassed}
}

func (d *Decider) settle(now time.Time, state *task, r cwmodel.Result) {
	state.began = state.began || r.End != cwmodel.EndNeverBegan
	answer := cwmodel.Answer{
		Attempts: state.Attempt - 1,
		Worker:   r.Attempt.Worker,
		Message:  r.Message,
		Waited:   state.started.Sub(state.Arrived),
		Ran:      max(r.Ended.Sub(r.Began), 0),
	}
	switch {
	case r.End == cwmodel.EndDone:
		answer.Outcome, answer.Payload = cwmodel.OutcomeDone, r.Answer
	case state.cancelled:
		answer.Outcome, answer.Reason = cwmodel.OutcomeCancelled, cwmodel.ReasonCancelled
	case d.mayRetry(now, state, r.End):
		d.queueOf(state.Profile).push(state)
		return
	case !state.began:
		answer.Outcome, answer.Reason = cwmodel.OutcomeNotRun, cwmodel.ReasonRefusedByWorker
	default:
		answer.Outcome, answer.Reason = cwmodel.OutcomeFailed, cwmodel.ReasonTaskFailed
	}
	d.finish(state, answer)
}

// mayRetry reports whether a further attempt is allowed after one that ended with end.
func (d *Decider) mayRetry(now time.Time, state *task, end cwmodel.End) bool {
	if !state.Deadline.IsZero() && !state.Deadline.After(now) {
		return false
	}
	if end == cwmodel.EndNeverBegan {
		return true
	}
	return state.Repeatable && end != cwmodel.EndFailed && state.Attempt <= state.MaxAttempts
}

func (d *Decider) finish(state *task, answer cwmodel.Answer) {
	delete(d.tasks, state.ID)
	d.answer(state.Task, answer)
}

func (d *Decider) answer(t cwmodel.Task, answer cwmodel.Answer) {
	answer.Task = t.ID
	d.actions = append(d.actions, Action{Kind: ActionAnswer, Task: t, Answer: answer})
}
