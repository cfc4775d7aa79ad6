package cwexperiment

import (
	"math/rand/v2"
	"time"

	"currantward/internal/core/cwdecider"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
)

// Engine is a scheduler under measurement: the decider or a baseline. Actions returns the actions since its last call.
type Engine struct {
	Name         string
	Configure    func(now time.Time, cfg cwpolicy.Configuration)
	AddWorker    func(now time.Time, w cwmodel.Worker)
	Submit       func(now time.Time, t cwmodel.Task)       // submits a single task
	SubmitGang   func(now time.Time, tasks []cwmodel.Task) // submits tasks that start together
	HandleResult func(now time.Time, r cwmodel.Result)
	Tick         func(now time.Time)
	Actions      func() []cwdecider.Action
	QueueLength  func() int
}

// NewDecider returns the decider as an engine.
func NewDecider(name string, opts cwdecider.Options) Engine {
	d := cwdecider.New(opts)
	return Engine{
		Name:         name,
		Configure:    d.Configure,
		AddWorker:    func(now time.Time, w cwmodel.Worker) { d.AddWorker(now, w, 1, nil) },
		Submit:       d.Submit,
		SubmitGang:   d.SubmitGang,
		HandleResult: d.HandleResult,
		Tick:         d.Tick,
		Actions:      d.Actions,
		QueueLength:  func() int { return d.Load().Waiting },
	}
}

// baseline is a scheduler with one FIFO queue and a rule that chooses a worker. It ignores classes, quotas and the members of
// a gang as such, and it never retries.
type baseline struct {
	workers      []*baselineWorker
	byID         map[cwmodel.HostID]*baselineWorker // the same workers
	queue        []cwmodel.Task
	allocated    map[cwmodel.Attempt]cwmodel.Resources // by running attempts
	actions      []cwdecider.Action
	chooseWorker func(demand cwmodel.Resources) *baselineWorker // returns nil if the rule finds no worker with enough free capacity
}

// baselineWorker is a worker of a baseline with its free capacity.
type baselineWorker struct {
	worker cwmodel.Worker
	free   cwmodel.Resources
}

// NewFirstFit returns the baseline that takes the first worker with enough free capacity.
func NewFirstFit() Engine {
	b := newBaseline()
	b.chooseWorker = func(demand cwmodel.Resources) *baselineWorker {
		for _, worker := range b.workers {
			if demand.FitsIn(worker.free) {
				return worker
			}
		}
		return nil
	}
	return b.engine("first-fit")
}

// NewPowerOfTwoChoices returns the baseline that tries the less loaded of two random workers, then the other.
func NewPowerOfTwoChoices(seed uint64) Engine {
	b := newBaseline()
	random := rand.New(rand.NewPCG(seed, 2))
	b.chooseWorker = func(demand cwmodel.Resources) *baselineWorker {
		first, second := b.workers[random.IntN(len(b.workers))], b.workers[random.IntN(len(b.workers))]
		if first.free.DominantShare(first.worker.Capacity) < second.free.DominantShare(second.worker.Capacity) {
			first, second = second, first
		}
		if demand.FitsIn(first.free) {
			return first
		}
		if demand.FitsIn(second.free) {
			return second
		}
		return nil
	}
	return b.engine("random-of-two")
}

// newBaseline returns a baseline without workers and without a rule, which the caller sets as chooseWorker.
func newBaseline() *baseline {
	return &baseline{byID: map[cwmodel.HostID]*baselineWorker{}, allocated: map[cwmodel.Attempt]cwmodel.Resources{}}
}

// engine returns the baseline as an engine. It starts the members of a gang one by one, as single tasks.
func (b *baseline) engine(name string) Engine {
	return Engine{
		Name:      name,
		Configure: func(time.Time, cwpolicy.Configuration) {},
		AddWorker: func(_ time.Time, w cwmodel.Worker) {
			added := &baselineWorker{worker: w, free: w.Capacity}
			b.workers = append(b.workers, added)
			b.byID[w.ID] = added
		},
		Submit: func(now time.Time, t cwmodel.Task) {
			b.queue = append(b.queue, t)
			if len(b.queue) == 1 {
				b.startQueued(now)
			}
		},
		SubmitGang: func(now time.Time, tasks []cwmodel.Task) {
			b.queue = append(b.queue, tasks...)
			b.startQueued(now)
		},
		HandleResult: b.handleResult,
		Tick:         b.startQueued,
		Actions: func() []cwdecider.Action {
			actions := b.actions
			b.actions = b.actions[:0]
			return actions
		},
		QueueLength: func() int { return len(b.queue) },
	}
}

// handleResult releases the resources of an ended attempt and ends its task. Any end but "done" fails the task.
func (b *baseline) handleResult(now time.Time, r cwmodel.Result) {
	worker := b.byID[r.Attempt.Worker]
	worker.free = worker.free.Add(b.allocated[r.Attempt])
	delete(b.allocated, r.Attempt)
	response := cwmodel.Response{Task: r.Attempt.Task, Outcome: cwmodel.OutcomeFailed}
	if r.End == cwmodel.EndDone {
		response.Outcome = cwmodel.OutcomeDone
	}
	b.actions = append(b.actions, cwdecider.Action{Kind: cwdecider.ActionRespond, Attempt: r.Attempt, Response: response})
	b.startQueued(now)
}

// startQueued starts tasks from the head of the queue until the rule finds no worker. It rejects tasks past their deadline.
func (b *baseline) startQueued(now time.Time) {
	for len(b.queue) > 0 {
		t := b.queue[0]
		if !t.Deadline.IsZero() && !t.Deadline.After(now) {
			b.queue = b.queue[1:]
			response := cwmodel.Response{Task: t.ID, Outcome: cwmodel.OutcomeNotRun, Reason: cwmodel.ReasonDeadlinePassed}
			b.actions = append(b.actions, cwdecider.Action{Kind: cwdecider.ActionRespond, Task: t, Response: response})
			continue
		}
		worker := b.chooseWorker(t.Demand)
		if worker == nil {
			return
		}
		b.queue = b.queue[1:]
		worker.free = worker.free.Sub(t.Demand)
		attempt := cwmodel.Attempt{Task: t.ID, Number: 1, Worker: worker.worker.ID, Epoch: 1}
		b.allocated[attempt] = t.Demand
		b.actions = append(b.actions, cwdecider.Action{Kind: cwdecider.ActionStart, Task: t, Attempt: attempt})
	}
}
