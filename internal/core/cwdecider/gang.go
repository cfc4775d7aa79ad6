package cwdecider

import (
	"cmp"
	"slices"
	"time"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwplacement"
)

// gang is a set of tasks that start all at once or not at all; it waits in its queue as its first task.
type gang struct {
	members []*task
	notTill time.Time // no capacity is reserved for it before this time
}

// gangRetryAfter is how long a gang that found no place waits before it is tried again.
const gangRetryAfter = 20 * time.Millisecond

// SubmitGang takes tasks of one job that start all at once or not at all.
func (d *Decider) SubmitGang(now time.Time, tasks []cwmodel.Task) {
	if len(tasks) == 0 {
		return
	}
	if reason := d.admitGang(now, tasks); reason != cwmodel.ReasonNone {
		for _, t := range tasks {
			if !d.HasTask(t.ID) {
				d.answer(t, refusal(reason))
			}
		}
		return
	}
	g := &gang{}
	for _, t := range tasks {
		state := d.adopt(t)
		state.phase, state.gang = phaseWaiting, g
		g.members = append(g.members, state)
	}
	total := d.fleet.Total()
	slices.SortStableFunc(g.members, func(a, b *task) int {
		return cmp.Compare(b.Demand.DominantShare(total), a.Demand.DominantShare(total))
	})
	leader := g.members[0]
	d.enqueue(leader)
	if leader.queue.Min() == leader {
		d.placeQueue(now, leader.queue)
	}
}

func (d *Decider) admitGang(now time.Time, tasks []cwmodel.Task) cwmodel.Reason {
	var sum cwmodel.Resources
	for _, t := range tasks {
		sum = sum.Add(t.Demand)
	}
	for _, t := range tasks {
		if d.HasTask(t.ID) {
			return cwmodel.ReasonOverloaded
		}
		if d.revoked.has(t.ID) {
			return cwmodel.ReasonCancelled
		}
		if reason := d.admit(now, t, sum); reason != cwmodel.ReasonNone {
			return reason
		}
	}
	ceiling := d.byName[tasks[0].Profile].Ceiling
	if len(tasks) > 1 && sum.DominantShare(d.fleet.Total()) > ceiling {
		return cwmodel.ReasonTooLarge
	}
	if !d.fleet.CanEverFitAll(demandsOf(tasks)) {
		return cwmodel.ReasonTooLarge
	}
	return cwmodel.ReasonNone
}

func demandsOf(tasks []cwmodel.Task) (demands []cwmodel.Resources) {
	for _, t := range tasks {
		demands = append(demands, t.Demand)
	}
	return demands
}

// tryGang places all members or none.
func (d *Decider) tryGang(now time.Time, q *queue, g *gang) bool {
	if now.Before(q.notTill) {
		return false
	}
	places := d.takeUpTo(g.members, d.findNode)
	if len(places) < len(g.members) {
		d.giveBack(g.members, places)
		places = d.takeUpTo(g.members, d.findTightest)
	}
	if len(places) < len(g.members) {
		d.giveBack(g.members, places)
		q.notTill = now.Add(gangRetryAfter)
		return false
	}
	d.startGang(now, g, places)
	return true
}

// takeUpTo reserves the longest prefix of tasks that fits and returns their workers, which find chooses.
func (d *Decider) takeUpTo(tasks []*task, find func(*task, cwmodel.Resources) *cwplacement.Node) (places []*worker) {
	for _, state := range tasks {
		demand := d.reservation(state)
		if !d.mayUse(state, demand) {
			return places
		}
		n := find(state, demand)
		if n == nil {
			return places
		}
		d.takeFor(state, d.workers[n.Worker().ID], demand)
		places = append(places, d.workers[n.Worker().ID])
	}
	return places
}

// takeFor reserves a worker's capacity for a task that does not start yet.
func (d *Decider) takeFor(state *task, w *worker, demand cwmodel.Resources) {
	d.fleet.Allocate(w.node, demand)
	state.reserved = demand
	d.charge(state, w, 1)
}

// charge counts what a task holds, or no longer holds, for its profile, team and rack.
func (d *Decider) charge(state *task, w *worker, by int64) {
	amount := state.reserved.Scale(by)
	total := d.fleet.Total()
	state.profile.account.Charge(amount, total)
	state.team.account.Charge(amount, total)
	d.countRack(state, w, int(by))
}

// giveBack undoes takeFor; a task without a worker holds nothing.
func (d *Decider) giveBack(tasks []*task, places []*worker) {
	for n, w := range places {
		if w != nil {
			d.fleet.Release(w.node, tasks[n].reserved)
			d.charge(tasks[n], w, -1)
		}
	}
}

// startGang starts members whose capacity is taken already.
func (d *Decider) startGang(now time.Time, g *gang, places []*worker) {
	d.dequeue(g.members[0])
	for n, state := range g.members {
		d.charge(state, places[n], -1)
		d.start(now, state, places[n], state.reserved)
	}
}

// finishGroup answers a waiting task and, if it leads a gang, the whole gang alike.
func (d *Decider) finishGroup(state *task, answer cwmodel.Response) {
	if state.gang == nil {
		d.finish(state, answer)
		return
	}
	for _, member := range state.gang.members {
		d.finish(member, answer)
	}
}

// cancelGang ends a gang that waits.
func (d *Decider) cancelGang(g *gang) {
	d.withdraw(g.members[0])
	d.finishGroup(g.members[0], cwmodel.Response{Outcome: cwmodel.OutcomeCancelled, Reason: cwmodel.ReasonCancelled})
}

// stopGang stops the members that still run after one has failed.
func (d *Decider) stopGang(now time.Time, g *gang) {
	for _, member := range g.members {
		if member.phase == phaseRunning && member.worker != nil && !member.answered && member.stopMode == "" {
			d.stop(now, member, cwmodel.StopNow)
		}
	}
}

// refusal is the answer to what never started.
func refusal(reason cwmodel.Reason) cwmodel.Response {
	if reason == cwmodel.ReasonCancelled {
		return cwmodel.Response{Outcome: cwmodel.OutcomeCancelled, Reason: reason}
	}
	return cwmodel.Response{Outcome: cwmodel.OutcomeNotRun, Reason: reason}
}
