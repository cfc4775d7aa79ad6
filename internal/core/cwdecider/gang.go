package cwdecider

import (
	"cmp"
	"slices"
	"time"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwplacement"
)

// gang is a set of tasks of which all start at once or none does. Its first member represents it in the queue.
type gang struct {
	members             []*task
	noReservationBefore time.Time // earliest time of the next reservation, after one has expired
}

// gangRetryDelay is the delay before a gang that did not fit is tried again.
const gangRetryDelay = 20 * time.Millisecond

// SubmitGang enqueues tasks of one job as a gang. If one of them is rejected, it responds with the reason for each that is
// not tracked already.
func (d *Decider) SubmitGang(now time.Time, tasks []cwmodel.Task) {
	if len(tasks) == 0 {
		return
	}
	if reason := d.admitGang(now, tasks); reason != cwmodel.ReasonNone {
		for _, spec := range tasks {
			if !d.HasTask(spec.ID) {
				d.respond(spec, rejection(reason))
			}
		}
		return
	}
	g := &gang{}
	for _, spec := range tasks {
		t := d.track(spec)
		t.phase, t.gang = phaseWaiting, g
		g.members = append(g.members, t)
	}
	// The largest members are placed first.
	total := d.fleet.Total()
	slices.SortStableFunc(g.members, func(a, b *task) int {
		return cmp.Compare(b.Demand.DominantShare(total), a.Demand.DominantShare(total))
	})
	leader := g.members[0]
	d.enqueue(leader)
	if leader.queue.Min() == leader {
		d.scheduleQueue(now, leader.queue)
	}
}

// admitGang returns the reason why a gang is rejected, or ReasonNone.
func (d *Decider) admitGang(now time.Time, tasks []cwmodel.Task) cwmodel.Reason {
	var sum cwmodel.Resources
	for _, t := range tasks {
		sum = sum.Add(t.Demand)
	}
	for _, t := range tasks {
		if d.HasTask(t.ID) {
			return cwmodel.ReasonOverloaded
		}
		if d.earlyCancels.has(t.ID) {
			return cwmodel.ReasonCancelled
		}
		if reason := d.admit(now, t, sum); reason != cwmodel.ReasonNone {
			return reason
		}
	}
	ceiling := d.profilesByName[tasks[0].Profile].Ceiling
	if len(tasks) > 1 && sum.DominantShare(d.fleet.Total()) > ceiling {
		return cwmodel.ReasonTooLarge
	}
	if !d.fleet.CanEverFitAll(demandsOf(tasks)) {
		return cwmodel.ReasonTooLarge
	}
	return cwmodel.ReasonNone
}

// demandsOf returns the declared demand of each task.
func demandsOf(tasks []cwmodel.Task) (demands []cwmodel.Resources) {
	for _, t := range tasks {
		demands = append(demands, t.Demand)
	}
	return demands
}

// scheduleGang starts all members and returns true, or starts none. It spreads the members over racks if they fit that way,
// else ignores the racks. A gang that does not fit is tried again only after gangRetryDelay.
func (d *Decider) scheduleGang(now time.Time, q *queue, g *gang) bool {
	if now.Before(q.retryAt) {
		return false
	}
	workers := d.allocatePrefix(g.members, d.findNode)
	if len(workers) < len(g.members) {
		d.releaseAll(g.members, workers)
		workers = d.allocatePrefix(g.members, d.findIgnoringRacks)
	}
	if len(workers) < len(g.members) {
		d.releaseAll(g.members, workers)
		q.retryAt = now.Add(gangRetryDelay)
		return false
	}
	d.startGang(now, g, workers)
	return true
}

// allocatePrefix allocates capacity for the first tasks, up to one that exceeds a limit or does not fit, and returns their
// workers, which find chooses.
func (d *Decider) allocatePrefix(tasks []*task, find func(*task, cwmodel.Resources) *cwplacement.Node) (workers []*worker) {
	for _, t := range tasks {
		demand := d.effectiveDemand(t)
		if !d.withinLimits(t, demand) {
			return workers
		}
		n := find(t, demand)
		if n == nil {
			return workers
		}
		d.allocateFor(t, d.workers[n.Worker().ID], demand)
		workers = append(workers, d.workers[n.Worker().ID])
	}
	return workers
}

// allocateFor allocates capacity on a worker for a task that does not start yet, and charges it.
func (d *Decider) allocateFor(t *task, w *worker, demand cwmodel.Resources) {
	d.fleet.Allocate(w.node, demand)
	t.allocated = demand
	d.charge(t, w, 1)
}

// charge adds the allocation of a task to the usage of its profile, team and rack if factor is 1, and subtracts it if factor
// is -1.
func (d *Decider) charge(t *task, w *worker, factor int64) {
	amount := t.allocated.Scale(factor)
	total := d.fleet.Total()
	t.profileState.account.Charge(amount, total)
	t.teamState.account.Charge(amount, total)
	d.addRackCount(t, w, int(factor))
}

// releaseAll undoes allocateFor for each task that has a worker.
func (d *Decider) releaseAll(tasks []*task, workers []*worker) {
	for n, w := range workers {
		if w != nil {
			d.fleet.Release(w.node, tasks[n].allocated)
			d.charge(tasks[n], w, -1)
		}
	}
}

// startGang starts the members, whose capacity is already allocated and charged. start charges it again, so the first
// charge is undone.
func (d *Decider) startGang(now time.Time, g *gang, workers []*worker) {
	d.dequeue(g.members[0])
	for n, t := range g.members {
		d.charge(t, workers[n], -1)
		d.start(now, t, workers[n], t.allocated)
	}
}

// finishGroup finishes a waiting task, or all members of the gang that it represents, with the same response.
func (d *Decider) finishGroup(t *task, response cwmodel.Response) {
	if t.gang == nil {
		d.finish(t, response)
		return
	}
	for _, member := range t.gang.members {
		d.finish(member, response)
	}
}

// cancelGang cancels a waiting gang.
func (d *Decider) cancelGang(g *gang) {
	d.withdraw(g.members[0])
	d.finishGroup(g.members[0], cwmodel.Response{Outcome: cwmodel.OutcomeCancelled, Reason: cwmodel.ReasonCancelled})
}

// stopGang stops the members that still run after one has failed, unless a stop order was sent to them before.
func (d *Decider) stopGang(now time.Time, g *gang) {
	for _, member := range g.members {
		if member.phase == phaseRunning && member.worker != nil && !member.responseSent && member.stopMode == "" {
			d.stop(now, member, cwmodel.StopNow)
		}
	}
}

// rejection returns the response for a task that was rejected before any start.
func rejection(reason cwmodel.Reason) cwmodel.Response {
	if reason == cwmodel.ReasonCancelled {
		return cwmodel.Response{Outcome: cwmodel.OutcomeCancelled, Reason: reason}
	}
	return cwmodel.Response{Outcome: cwmodel.OutcomeNotRun, Reason: reason}
}
