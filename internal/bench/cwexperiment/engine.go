package cwexperiment

import (
	"math/rand/v2"
	"time"

	"currantward/internal/core/cwdecider"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
)

// Engine is a scheduler under measurement: the decider or a baseline.
type Engine struct {
	Name         string
	Configure    func(now time.Time, cfg cwpolicy.Configuration)
	AddWorker    func(now time.Time, w cwmodel.Worker)
	Submit       func(now time.Time, t cwmodel.Task)
	SubmitGang   func(now time.Time, tasks []cwmodel.Task)
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

// baseline is a scheduler with one FIFO queue and a rule that chooses a worker.
type baseline struct {
	workers []*node
	byID    map[cwmodel.HostID]*node
	queue   []cwmodel.Task
	running map[cwmodel.Attempt]cwmodel.Resources
	actions []cwdecider.Action
	choose  func(demand cwmodel.Resources) *node
}

// node is a worker of a baseline.
type node struct {
	worker cwmodel.Worker
	free   cwmodel.Resources
}

// NewFirstFit returns the baseline that takes the first worker with enough free capacity.
func NewFirstFit() Engine {
	b := newBaseline()
	b.choose = func(demand cwmodel.Resources) *node {
		for _, m := range b.workers {
			if demand.FitsIn(m.free) {
				return m
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
	b.choose = func(demand cwmodel.Resources) *node {
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

func newBaseline() *baseline {
	return &baseline{byID: map[cwmodel.HostID]*node{}, running: map[cwmodel.Attempt]cwmodel.Resources{}}
}

func (b *baseline) engine(name string) Engine {
	return Engine{
		Name:      name,
		Configure: func(time.Time, cwpolicy.Configuration) {},
		AddWorker: func(_ time.Time, w cwmodel.Worker) {
			m := &node{worker: w, free: w.Capacity}
			b.workers = append(b.workers, m)
			b.byID[w.ID] = m
		},
		Submit: func(now time.Time, t cwmodel.Task) {
			b.queue = append(b.queue, t)
			if len(b.queue) == 1 {
				b.place(now)
			}
		},
		SubmitGang: func(now time.Time, tasks []cwmodel.Task) {
			b.queue = append(b.queue, tasks...)
			b.place(now)
		},
		HandleResult: b.handleResult,
		Tick:         b.place,
		Actions: func() []cwdecider.Action {
			actions := b.actions
			b.actions = b.actions[:0]
			return actions
		},
		QueueLength: func() int { return len(b.queue) },
	}
}

func (b *baseline) handleResult(now time.Time, r cwmodel.Result) {
	m := b.byID[r.Attempt.Worker]
	m.free = m.free.Add(b.running[r.Attempt])
	delete(b.running, r.Attempt)
	response := cwmodel.Response{Task: r.Attempt.Task, Outcome: cwmodel.OutcomeFailed}
	if r.End == cwmodel.EndDone {
		response.Outcome = cwmodel.OutcomeDone
	}
	b.actions = append(b.actions, cwdecider.Action{Kind: cwdecider.ActionRespond, Attempt: r.Attempt, Response: response})
	b.place(now)
}

// place starts tasks from the head of the queue until the rule finds no worker. It rejects tasks past their deadline.
func (b *baseline) place(now time.Time) {
	for len(b.queue) > 0 {
		t := b.queue[0]
		if !t.Deadline.IsZero() && !t.Deadline.After(now) {
			b.queue = b.queue[1:]
			response := cwmodel.Response{Task: t.ID, Outcome: cwmodel.OutcomeNotRun, Reason: cwmodel.ReasonDeadlinePassed}
			b.actions = append(b.actions, cwdecider.Action{Kind: cwdecider.ActionRespond, Task: t, Response: response})
			continue
		}
		m := b.choose(t.Demand)
		if m == nil {
			return
		}
		b.queue = b.queue[1:]
		m.free = m.free.Sub(t.Demand)
		attempt := cwmodel.Attempt{Task: t.ID, Number: 1, Worker: m.worker.ID, Epoch: 1}
		b.running[attempt] = t.Demand
		b.actions = append(b.actions, cwdecider.Action{Kind: cwdecider.ActionStart, Task: t, Attempt: attempt})
	}
}
