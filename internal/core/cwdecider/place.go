package cwdecider

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"currantward/internal/core/cwmodel"
)

// worker is an owned worker with what it has free.
type worker struct {
	cwmodel.Worker
	epoch   cwmodel.Epoch
	free    cwmodel.Resources
	leaving bool
}

// AddWorker takes an owned worker with its inventory; what runs there is counted before anything is placed.
func (d *Decider) AddWorker(now time.Time, w cwmodel.Worker, epoch cwmodel.Epoch, running []cwmodel.Running) {
	state := &worker{Worker: w, epoch: epoch, free: w.Capacity}
	for _, r := range running {
		state.free = state.free.Minus(r.Demand)
	}
	d.workers[w.ID] = state
	d.sortWorkers()
	d.place(now)
}

// RemoveWorker forgets a worker that is no longer owned.
func (d *Decider) RemoveWorker(_ time.Time, id cwmodel.HostID) {
	lost, ok := d.workers[id]
	if !ok {
		return
	}
	delete(d.workers, id)
	d.sortWorkers()
	for _, state := range d.tasks {
		if state.worker == lost {
			d.finish(state, cwmodel.Answer{Outcome: cwmodel.OutcomeUnknown, Reason: cwmodel.ReasonWorkerLost, Attempts: state.Attempt - 1, Worker: id})
		}
	}
}

// DrainWorker stops placing on a worker that is leaving.
func (d *Decider) DrainWorker(id cwmodel.HostID) {
	if w, ok := d.workers[id]; ok {
		w.leaving = true
	}
}

func (d *Decider) sortWorkers() {
	d.order = d.order[:0]
	for _, w := range d.workers {
		d.order = append(d.order, w)
	}
	slices.SortFunc(d.order, func(a, b *worker) int { return strings.Compare(string(a.ID), string(b.ID)) })
}

// admit returns why a task can never run here, or no reason.
func (d *Decider) admit(now time.Time, t cwmodel.Task) cwmodel.Reason {
	profile, ok := d.cfg.Profile(t.Profile)
	if !ok {
		return cwmodel.ReasonUnknownProfile
	}
	if !t.Deadline.IsZero() && !t.Deadline.After(now) {
		return cwmodel.ReasonDeadlinePassed
	}
	if len(d.order) == 0 {
		return cwmodel.ReasonNoWorkers
	}
	if len(d.queueOf(t.Profile).waiting) >= profile.QueueLimit {
		return cwmodel.ReasonQueueFull
	}
	for _, w := range d.order {
		if t.Demand.FitsIn(w.Capacity) {
			return cwmodel.ReasonNone
		}
	}
	return cwmodel.ReasonTooLarge
}

// place starts waiting tasks, the most urgent class first, until nothing fits.
func (d *Decider) place(now time.Time) {
	for _, class := range cwmodel.Classes() {
		for _, profile := range d.cfg.Profiles {
			if profile.Class == class {
				d.placeQueue(now, d.queueOf(profile.Name))
			}
		}
	}
}

func (d *Decider) placeQueue(now time.Time, q *queue) {
	for len(q.waiting) > 0 {
		state := q.waiting[0]
		w := d.bestFit(state.Demand)
		if w == nil {
			return
		}
		q.remove(state)
		d.start(now, state, w)
	}
}

// bestFit returns the worker whose dominant free share after the placement is smallest.
func (d *Decider) bestFit(demand cwmodel.Resources) (best *worker) {
	var least float64
	for _, w := range d.order {
		if w.leaving || !demand.FitsIn(w.free) {
			continue
		}
		left := w.free.Minus(demand).DominantShare(w.Capacity)
		if best == nil || left < least {
			best, least = w, left
		}
	}
	return best
}

func (d *Decider) start(now time.Time, state *task, w *worker) {
	w.free = w.free.Minus(state.Demand)
	if !w.free.IsNonNegative() {
		panic(fmt.Sprintf("worker %s is given more than its capacity", w.ID))
	}
	state.worker, state.started = w, now
	state.attempt = cwmodel.Attempt{Task: state.ID, Number: state.Attempt, Worker: w.ID, Epoch: w.epoch}
	state.Attempt++
	d.actions = append(d.actions, Action{Kind: ActionStart, Task: state.Task, Attempt: state.attempt})
}

func (d *Decider) vacate(state *task) {
	state.worker.free = state.worker.free.Plus(state.Demand)
	state.worker = nil
}

// CanStart reports whether a task of this demand would start at once.
func (d *Decider) CanStart(demand cwmodel.Resources) bool { return d.bestFit(demand) != nil }

// Load is what a decider tells about itself.
type Load struct {
	Workers     int
	Free        cwmodel.Resources
	LargestFree cwmodel.Resources
	Waiting     int
	Running     int
}

// Load returns the present load.
func (d *Decider) Load() (load Load) {
	load.Workers = len(d.order)
	for _, w := range d.order {
		if w.leaving {
			continue
		}
		load.Free = load.Free.Plus(w.free)
		if w.free.DominantShare(w.Capacity) > load.LargestFree.DominantShare(w.Capacity) {
			load.LargestFree = w.free
		}
	}
	for _, q := range d.queues {
		load.Waiting += len(q.waiting)
	}
	load.Running = len(d.tasks) - load.Waiting
	return load
}
