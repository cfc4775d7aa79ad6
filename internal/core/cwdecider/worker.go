package cwdecider

import (
	"time"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwplacement"
	"currantward/internal/core/cwquarantine"
)

// worker is an owned worker with the tasks assigned to it.
type worker struct {
	node        *cwplacement.Node
	epoch       cwmodel.Epoch
	tasks       []*task
	draining    bool // set by DrainWorker: gets no new tasks, checkpointable tasks are moved
	cordoned    bool // set by CordonWorker: gets no new tasks, running tasks stay
	reserved    bool // kept free of other tasks while the reservation waits for capacity on it
	nominated   bool // kept free of other tasks for the task for which tasks were preempted here
	probing     bool // a task that tests it after a quarantine was chosen or runs on it
	breaker     *cwquarantine.Breaker
	quarantined bool // listed in Decider.quarantined
	failing     bool // its latest result was a failure
}

// AddWorker adds an owned worker with the tasks that run on it, whose capacity is allocated before any task is scheduled
// there. A worker that is already known is replaced.
func (d *Decider) AddWorker(now time.Time, w cwmodel.Worker, epoch cwmodel.Epoch, running []cwmodel.RunningTask) {
	d.addWorker(now, w, epoch, running)
	d.schedule(now)
}

// AddDrainingWorker adds an owned worker like AddWorker and drains it before any task is scheduled there.
func (d *Decider) AddDrainingWorker(now time.Time, w cwmodel.Worker, epoch cwmodel.Epoch, running []cwmodel.RunningTask) {
	d.addWorker(now, w, epoch, running)
	d.DrainWorker(w.ID)
	d.schedule(now)
}

// addWorker adds a worker without scheduling tasks. It replaces a known worker with the same ID, whose tasks are lost unless
// running lists them.
func (d *Decider) addWorker(now time.Time, w cwmodel.Worker, epoch cwmodel.Epoch, running []cwmodel.RunningTask) {
	var displaced []*task
	if old, ok := d.workers[w.ID]; ok {
		displaced = d.dropWorker(now, old, now)
	}
	added := &worker{node: cwplacement.NewNode(w), epoch: epoch, breaker: d.breakerOf(w.ID)}
	d.workers[w.ID] = added
	d.fleet.Add(added.node)
	d.updateShares()
	d.addRack(w.Rack)
	for _, r := range running {
		d.adoptRunning(now, added, r)
	}
	d.reportLost(displaced)
	if added.breaker.State(now) != cwquarantine.StateClosed {
		d.quarantine(added)
	}
	d.updateSchedulable(added)
}

// breakerOf returns the circuit breaker of a worker and creates it on first use. For a worker that is added again it returns
// the earlier breaker if that was not closed on removal, so that the worker is still quarantined.
func (d *Decider) breakerOf(id cwmodel.HostID) *cwquarantine.Breaker {
	b, ok := d.breakers[id]
	if !ok {
		b = &cwquarantine.Breaker{}
		d.breakers[id] = b
	}
	return b
}

// adoptRunning allocates the capacity of one running task of a worker's inventory: a lost task is assigned to the worker
// again, a durable task that is not tracked here is adopted, and any other becomes an orphan that keeps its capacity until
// it ends.
func (d *Decider) adoptRunning(now time.Time, w *worker, r cwmodel.RunningTask) {
	t, known := d.tasks[r.Attempt.Task]
	d.fleet.Adjust(w.node, r.Demand)
	switch {
	case known && t.phase == phaseLost && t.lastAttempt == r.Attempt:
		d.assign(t, w, r.Demand)
		d.setTimer(t, t.Deadline)
		if t.cancelled {
			d.stop(now, t, cwmodel.StopNow)
		}
		return
	case !known && r.Durable:
		t = d.track(taskFromInventory(r))
	default:
		t = d.newTask(taskFromInventory(r))
		t.responseSent = true
		d.orphans[r.Attempt] = t
	}
	t.lastAttempt, t.startedAt = r.Attempt, r.StartedAt
	t.NextAttempt = r.Attempt.Number + 1
	d.assign(t, w, r.Demand)
	if !t.responseSent {
		d.setTimer(t, t.Deadline)
	}
}

// taskFromInventory rebuilds a task from its inventory entry. The decider does not retry it: MaxAttempts is 1.
func taskFromInventory(r cwmodel.RunningTask) cwmodel.Task {
	return cwmodel.Task{
		ID: r.Attempt.Task, Job: r.Job, NextAttempt: r.Attempt.Number, Profile: r.Profile, Team: r.Team, Kind: r.Kind, Demand: r.Demand,
		ArrivedAt: r.StartedAt, Deadline: r.Deadline, Lease: r.Lease, MaxAttempts: 1, Repeatable: r.Repeatable, Durable: r.Durable,
	}
}

// RemoveWorker removes a worker that is no longer owned, like LoseWorker. Its leases may have been renewed until now.
func (d *Decider) RemoveWorker(now time.Time, id cwmodel.HostID) { d.LoseWorker(now, id, now) }

// LoseWorker removes a worker that is no longer owned. Its last renewal was sent at renewedAt.
//
// An attempt there has certainly ended once its lease and the clock margin have passed since renewedAt.
// A durable attempt continues under the worker's next owner and is reported with ActionLost.
func (d *Decider) LoseWorker(now time.Time, id cwmodel.HostID, renewedAt time.Time) {
	if lost, ok := d.workers[id]; ok {
		d.reportLost(d.dropWorker(now, lost, renewedAt))
		d.schedule(now)
	}
}

// dropWorker removes a worker, marks its tasks as lost and returns the durable ones, which the caller must report.
func (d *Decider) dropWorker(now time.Time, lost *worker, renewedAt time.Time) (durable []*task) {
	id := lost.node.Worker().ID
	d.releaseReservationOn(lost)
	d.clearNominationsOn(lost)
	d.releaseHoldsOn(lost)
	delete(d.workers, id)
	d.fleet.Remove(lost.node)
	d.updateShares()
	if lost.breaker.State(now) == cwquarantine.StateClosed {
		delete(d.breakers, id)
	}
	d.releaseFromQuarantine(lost)
	d.setFailing(lost, false)
	for len(lost.tasks) > 0 {
		t := lost.tasks[len(lost.tasks)-1]
		if t.Durable && !t.responseSent {
			durable = append(durable, t)
		}
		d.loseTask(now, t, renewedAt)
	}
	return durable
}

// reportLost stops tracking durable tasks whose worker is lost and reports them with ActionLost, except those that were
// assigned again from the inventory of the worker.
func (d *Decider) reportLost(durable []*task) {
	for _, t := range durable {
		if t.phase != phaseLost {
			continue
		}
		delete(d.tasks, t.ID)
		d.actions = append(d.actions, Action{Kind: ActionLost, Task: t.Task, Attempt: t.lastAttempt})
		d.recycle(t)
	}
}

// loseTask unassigns a task from a worker that is no longer owned. If the task is neither durable nor an orphan, its timer
// is set to the time at which the attempt has certainly ended, or shortly after its deadline if that is earlier.
func (d *Decider) loseTask(now time.Time, t *task, renewedAt time.Time) {
	d.unassign(t)
	switch {
	case t.responseSent:
		delete(d.orphans, t.lastAttempt)
		d.setTimer(t, time.Time{})
		d.recycle(t)
	case t.Durable:
		d.setTimer(t, time.Time{})
		t.phase = phaseLost
	default:
		t.phase = phaseLost
		t.certainEndAt = later(renewedAt, t.startedAt.Add(d.opts.StartWindow)).Add(t.Lease + d.opts.ClockMargin)
		wake := t.certainEndAt
		if !t.Deadline.IsZero() {
			wake = earlier(wake, later(now, t.Deadline).Add(d.opts.ResponseGrace))
		}
		d.setTimer(t, wake)
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// DrainWorker stops scheduling on a worker that is leaving, and checkpoints its checkpointable tasks so that they resume on
// other workers. It skips tasks that are being stopped or whose response is already sent.
func (d *Decider) DrainWorker(id cwmodel.HostID) {
	w, ok := d.workers[id]
	if !ok || w.draining {
		return
	}
	w.draining = true
	d.fleet.Cordon(w.node)
	for _, t := range w.tasks {
		if !t.responseSent && t.Checkpointable && t.stopMode == "" {
			t.preempted, t.stopMode = true, cwmodel.StopCheckpoint
			d.actions = append(d.actions, Action{Kind: ActionStop, Task: t.Task, Attempt: t.lastAttempt, Mode: cwmodel.StopCheckpoint})
		}
	}
}

// CordonWorker stops scheduling on a worker that another host will own; its running tasks stay.
func (d *Decider) CordonWorker(id cwmodel.HostID) {
	if w, ok := d.workers[id]; ok {
		w.cordoned = true
		d.updateSchedulable(w)
	}
}

// updateSchedulable cordons the node of a worker if it is draining, cordoned, reserved, nominated or quarantined, else
// uncordons it.
func (d *Decider) updateSchedulable(w *worker) {
	if !w.draining && !w.cordoned && !w.reserved && !w.nominated && !w.quarantined {
		d.fleet.Uncordon(w.node)
		return
	}
	d.fleet.Cordon(w.node)
}

// Load is a snapshot of the capacity and the task counts of a decider.
type Load struct {
	Workers     int
	Free        cwmodel.Resources
	LargestFree cwmodel.Resources
	Waiting     int
	Running     int
	Quarantined int
}

// Load returns the current load.
func (d *Decider) Load() Load {
	return Load{
		Workers: len(d.workers), Free: d.fleet.Free(), LargestFree: d.fleet.LargestFree(),
		Waiting: d.waiting, Running: d.running, Quarantined: len(d.quarantined),
	}
}

// CanStart reports whether a schedulable worker has free capacity for this demand now. Limits and queues are not considered.
func (d *Decider) CanStart(demand cwmodel.Resources) bool { return d.fleet.Find(demand, nil) != nil }
