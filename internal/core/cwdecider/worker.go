package cwdecider

import (
	"time"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwplacement"
	"currantward/internal/core/cwquarantine"
)

// worker is an owned worker with what runs on it.
type worker struct {
	node    *cwplacement.Node
	epoch   cwmodel.Epoch
	tasks   []*task
	leaving bool
	closed  bool // another host is to own it; what runs there stays
	kept    bool // closed until a reservation has room on it
	cleared bool // closed until the task that others were preempted for has started
	probing bool // a probe runs on it
	breaker *cwquarantine.Breaker
	suspect bool // listed as a suspect
	failing bool // its latest result is a failure
}

// AddWorker takes an owned worker with its inventory; what runs there is counted before anything is placed.
func (d *Decider) AddWorker(now time.Time, w cwmodel.Worker, epoch cwmodel.Epoch, running []cwmodel.RunningTask) {
	d.addWorker(now, w, epoch, running)
	d.place(now)
}

// AddDrainingWorker takes an owned worker that gets no new work.
func (d *Decider) AddDrainingWorker(now time.Time, w cwmodel.Worker, epoch cwmodel.Epoch, running []cwmodel.RunningTask) {
	d.addWorker(now, w, epoch, running)
	d.DrainWorker(w.ID)
	d.place(now)
}

func (d *Decider) addWorker(now time.Time, w cwmodel.Worker, epoch cwmodel.Epoch, running []cwmodel.RunningTask) {
	var displaced []*task
	if old, ok := d.workers[w.ID]; ok {
		displaced = d.forget(now, old, now)
	}
	added := &worker{node: cwplacement.NewNode(w), epoch: epoch, breaker: d.breakerOf(w.ID)}
	d.workers[w.ID] = added
	d.fleet.Add(added.node)
	d.updateShares()
	d.addRack(w.Rack)
	for _, r := range running {
		d.adoptRunning(now, added, r)
	}
	d.handBack(displaced)
	if added.breaker.State(now) != cwquarantine.StateClosed {
		d.suspect(added)
	}
	d.refresh(added)
}

func (d *Decider) breakerOf(id cwmodel.HostID) *cwquarantine.Breaker {
	b, ok := d.breakers[id]
	if !ok {
		b = &cwquarantine.Breaker{}
		d.breakers[id] = b
	}
	return b
}

// adoptRunning counts one task of an inventory: a lost one is found again, a durable one is taken over,
// and any other holds its capacity until it ends.
func (d *Decider) adoptRunning(now time.Time, w *worker, r cwmodel.RunningTask) {
	state, known := d.tasks[r.Attempt.Task]
	d.fleet.Adjust(w.node, r.Demand)
	switch {
	case known && state.phase == phaseLost && state.attempt == r.Attempt:
		d.settleOn(state, w, r.Demand)
		d.setAlarm(state, state.Deadline)
		if state.cancelled {
			d.stop(now, state, cwmodel.StopNow)
		}
		return
	case !known && r.Durable:
		state = d.adopt(taskOf(r))
	default:
		state = d.record(taskOf(r))
		state.answered = true
		d.strays[r.Attempt] = state
	}
	state.attempt, state.started = r.Attempt, r.StartedAt
	state.Attempt = r.Attempt.Number + 1
	d.settleOn(state, w, r.Demand)
	if !state.answered {
		d.setAlarm(state, state.Deadline)
	}
}

// taskOf rebuilds what an inventory tells of a task.
func taskOf(r cwmodel.RunningTask) cwmodel.Task {
	return cwmodel.Task{
		ID: r.Attempt.Task, Job: r.Job, Attempt: r.Attempt.Number, Profile: r.Profile, Team: r.Team, Kind: r.Kind, Demand: r.Demand,
		ArrivedAt: r.StartedAt, Deadline: r.Deadline, Lease: r.Lease, MaxAttempts: 1, Repeatable: r.Repeatable, Durable: r.Durable,
	}
}

// RemoveWorker forgets a worker that is no longer owned; leases there may have been renewed until now.
func (d *Decider) RemoveWorker(now time.Time, id cwmodel.HostID) { d.LoseWorker(now, id, now) }

// LoseWorker forgets a worker that is no longer owned and whose last renewal was sent at the given time.
//
// An attempt there is certainly over once that time, its lease and the clock margin have passed. A durable
// attempt goes on under the worker's next owner and is handed back as lost.
func (d *Decider) LoseWorker(now time.Time, id cwmodel.HostID, renewed time.Time) {
	if lost, ok := d.workers[id]; ok {
		d.handBack(d.forget(now, lost, renewed))
		d.place(now)
	}
}

// forget drops a worker and returns the durable tasks that ran there.
func (d *Decider) forget(now time.Time, lost *worker, renewed time.Time) (durable []*task) {
	id := lost.node.Worker().ID
	d.releaseKept(lost)
	d.releaseRoomsOn(lost)
	d.dropHoldsOn(lost)
	delete(d.workers, id)
	d.fleet.Remove(lost.node)
	d.updateShares()
	if lost.breaker.State(now) == cwquarantine.StateClosed {
		delete(d.breakers, id)
	}
	d.forgetSuspect(lost)
	d.noteFailing(lost, false)
	for len(lost.tasks) > 0 {
		state := lost.tasks[len(lost.tasks)-1]
		if state.Durable && !state.answered {
			durable = append(durable, state)
		}
		d.loseTask(now, state, renewed)
	}
	return durable
}

// handBack reports durable tasks whose worker is lost, except those that were found again.
func (d *Decider) handBack(durable []*task) {
	for _, state := range durable {
		if state.phase != phaseLost {
			continue
		}
		delete(d.tasks, state.ID)
		d.actions = append(d.actions, Action{Kind: ActionLost, Task: state.Task, Attempt: state.attempt})
		d.recycle(state)
	}
}

func (d *Decider) loseTask(now time.Time, state *task, renewed time.Time) {
	d.unsettle(state)
	switch {
	case state.answered:
		delete(d.strays, state.attempt)
		d.setAlarm(state, time.Time{})
		d.recycle(state)
	case state.Durable:
		d.setAlarm(state, time.Time{})
		state.phase = phaseLost
	default:
		state.phase = phaseLost
		state.certain = later(renewed, state.started.Add(d.opts.StartWindow)).Add(state.Lease + d.opts.ClockMargin)
		wake := state.certain
		if !state.Deadline.IsZero() {
			wake = earlier(wake, later(now, state.Deadline).Add(d.opts.ResponseGrace))
		}
		d.setAlarm(state, wake)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// DrainWorker stops placing on a worker that is leaving and moves away what can be checkpointed.
func (d *Decider) DrainWorker(id cwmodel.HostID) {
	w, ok := d.workers[id]
	if !ok || w.leaving {
		return
	}
	w.leaving = true
	d.fleet.Cordon(w.node)
	for _, state := range w.tasks {
		if !state.answered && state.Checkpointable && state.stopMode == "" {
			state.preempted, state.stopMode = true, cwmodel.StopCheckpoint
			d.actions = append(d.actions, Action{Kind: ActionStop, Task: state.Task, Attempt: state.attempt, Mode: cwmodel.StopCheckpoint})
		}
	}
}

// CordonWorker stops placing on a worker that another host is to own; what runs there stays.
func (d *Decider) CordonWorker(id cwmodel.HostID) {
	if w, ok := d.workers[id]; ok {
		w.closed = true
		d.refresh(w)
	}
}

// refresh opens or closes a worker for new work.
func (d *Decider) refresh(w *worker) {
	if !w.leaving && !w.closed && !w.kept && !w.cleared && !w.suspect {
		d.fleet.Uncordon(w.node)
		return
	}
	d.fleet.Cordon(w.node)
}

// Load is what a decider tells about itself.
type Load struct {
	Workers     int
	Free        cwmodel.Resources
	LargestFree cwmodel.Resources
	Waiting     int
	Running     int
	Quarantined int
}

// Load returns the present load.
func (d *Decider) Load() Load {
	return Load{
		Workers: len(d.workers), Free: d.fleet.Free(), LargestFree: d.fleet.LargestFree(),
		Waiting: d.waiting, Running: d.running, Quarantined: len(d.suspects),
	}
}

// CanStart reports whether a task of this demand would start at once.
func (d *Decider) CanStart(demand cwmodel.Resources) bool { return d.fleet.Find(demand, nil) != nil }
