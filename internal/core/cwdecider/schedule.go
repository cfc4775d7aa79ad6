package cwdecider

import (
	"slices"
	"time"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwplacement"
)

// schedule runs one pass: it starts waiting tasks in fair-share order until nothing more fits.
func (d *Decider) schedule(now time.Time) {
	d.pass++
	d.unplaceable = d.unplaceable[:0]
	if d.waiting == 0 {
		return
	}
	for {
		p := d.nextProfile()
		if p == nil {
			return
		}
		q := d.nextQueue(p)
		if q == nil {
			p.blockedPass = d.pass
			continue
		}
		if !d.scheduleHead(now, q) {
			q.blockedPass = d.pass
		}
	}
}

// scheduleQueue starts tasks from the head of one queue until one has to wait. It counts as a pass of its own.
func (d *Decider) scheduleQueue(now time.Time, q *queue) {
	d.pass++
	d.unplaceable = d.unplaceable[:0]
	for q.Len() > 0 && d.scheduleHead(now, q) {
		continue
	}
}

// nextProfile returns the profile to serve next: profiles below their floors precede the others,
// and each of the two groups is ordered by class, then weighted dominant share.
func (d *Decider) nextProfile() (best *profile) {
	var bestBelow bool
	var bestShare float64
	for _, p := range d.profiles {
		if p.waiting == 0 || p.blockedPass == d.pass {
			continue
		}
		below := p.account.IsBelowFloor()
		share := p.account.WeightedShare()
		if best == nil || precedes(below, p.rank, share, bestBelow, best.rank, bestShare) {
			best, bestBelow, bestShare = p, below, share
		}
	}
	return best
}

// precedes reports whether a profile is served before another: below reports whether it is below its floor, rank is that
// of its class and share its weighted dominant share.
func precedes(below bool, rank int, share float64, otherBelow bool, otherRank int, otherShare float64) bool {
	if below != otherBelow {
		return below
	}
	if rank != otherRank {
		return rank < otherRank
	}
	return share < otherShare
}

// nextQueue returns the queue of the team with the smallest weighted dominant share, or nil if all are blocked.
func (d *Decider) nextQueue(p *profile) (best *queue) {
	var leastShare float64
	for _, q := range p.queues {
		if q.Len() == 0 || q.blockedPass == d.pass {
			continue
		}
		share := q.team.account.WeightedShare()
		if best != nil && share >= leastShare {
			continue
		}
		if len(d.unplaceable) > 0 && d.isHeadUnplaceable(q) {
			q.blockedPass = d.pass
			continue
		}
		best, leastShare = q, share
	}
	return best
}

// isHeadUnplaceable reports whether the first task of a queue is already known to fit no worker in the current pass. It
// returns false for a gang, and for a task that might start as a probe or on its nominated worker.
func (d *Decider) isHeadUnplaceable(q *queue) bool {
	t := q.Min()
	return t.gang == nil && t.nominatedWorker == nil && len(d.quarantined) == 0 && d.isUnplaceable(d.effectiveDemand(t))
}

// scheduleHead starts the first task of a queue, or finishes it if it will miss its deadline. It returns false if the task
// keeps waiting: it has a reservation, exceeds a limit or fits no worker.
func (d *Decider) scheduleHead(now time.Time, q *queue) bool {
	t := q.Min()
	if d.willMissDeadline(now, t) {
		d.dequeue(t)
		d.finishGroup(t, d.lateResponse(now, t))
		return true
	}
	if d.hasReservation(t) {
		return false
	}
	if t.gang != nil {
		return d.scheduleGang(now, q, t.gang)
	}
	demand := d.effectiveDemand(t)
	if !d.withinLimits(t, demand) {
		return false
	}
	w := t.readyNominated(demand)
	if w == nil {
		w = d.findWorker(now, t, demand)
	}
	if w == nil {
		return false
	}
	d.dequeue(t)
	d.fleet.Allocate(w.node, demand)
	d.start(now, t, w, demand)
	return true
}

// withinLimits reports whether a task with this demand may start by the ceiling of its profile, the quota of its team and
// the guaranteed shares of other profiles.
func (d *Decider) withinLimits(t *task, demand cwmodel.Resources) bool {
	return t.profileState.account.WithinCeiling(demand, d.fleet.Total()) &&
		t.teamState.account.WithinQuota(demand) &&
		d.mayBorrow(t, demand)
}

// maxBorrowRunTime is the run time above which a task may not borrow the guaranteed share of another profile.
const maxBorrowRunTime = 10 * time.Second

// mayBorrow reports whether a task may start although other profiles might then not get their guaranteed shares at once.
//
// Requests, preemptible tasks, tasks expected to end within maxBorrowRunTime, and those of profiles below their floors may;
// any other task must leave the unused guaranteed capacity of other profiles free.
func (d *Decider) mayBorrow(t *task, demand cwmodel.Resources) bool {
	p := t.profileState
	if d.opts.DisableFloors || isPreemptible(t) || p.account.IsBelowFloor() {
		return true
	}
	expected := p.estimate.HighRunTime(p.RunTime)
	if t.Kind == cwmodel.KindRequest || (expected > 0 && expected <= maxBorrowRunTime) {
		return true
	}
	return demand.Add(d.unusedGuarantees(p)).FitsIn(d.fleet.Free())
}

// unusedGuarantees returns the unused part of the guaranteed shares of all active profiles except one, each rounded down to
// whole tasks with the declared demand of the profile.
func (d *Decider) unusedGuarantees(except *profile) (sum cwmodel.Resources) {
	total := d.fleet.Total()
	for _, p := range d.profiles {
		unused := p.GuaranteedShare - p.account.Share()
		if p == except || p.retired || !p.isActive || unused <= 0 {
			continue
		}
		perTask := p.Demand.DominantShare(total)
		if perTask > 0 {
			sum = sum.Add(p.Demand.Scale(int64(unused / perTask)))
		}
	}
	return sum
}

// effectiveDemand returns the capacity to allocate for a task: the demand estimated from the past usage of its profile, or
// the declared demand if no worker is large enough for the estimate.
//
// A gang is admitted by its declared demands, so its members are never allocated more than these.
func (d *Decider) effectiveDemand(t *task) cwmodel.Resources {
	if d.opts.DisableEstimates {
		return t.Demand
	}
	learned := t.profileState.estimate.AdjustDemand(t.Demand)
	if t.Kind == cwmodel.KindGang {
		return learned.Min(t.Demand)
	}
	if learned != t.Demand && !d.fleet.CanEverFit(learned) {
		return t.Demand
	}
	return learned
}

// findWorker returns the worker for one task, or nil if none fits it. Quarantined workers that need a probe are preferred.
func (d *Decider) findWorker(now time.Time, t *task, demand cwmodel.Resources) *worker {
	if w := d.findProbe(now, t, demand); w != nil {
		return w
	}
	if d.isUnplaceable(demand) {
		return nil
	}
	n := d.findNode(t, demand)
	if n == nil {
		d.unplaceable = append(d.unplaceable, demand)
		return nil
	}
	return d.workers[n.Worker().ID]
}

// findNode returns a node that fits a task, or nil. For the tasks of gangs and services it prefers the racks with the fewest
// tasks of the same job. It then avoids the node of the previous attempt, unless the task was preempted there.
func (d *Decider) findNode(t *task, demand cwmodel.Resources) *cwplacement.Node {
	if isSpread(t) {
		limit := d.minRackCount(t.Job)
		counts := d.rackCounts[t.Job]
		n := d.fleet.Find(demand, func(n *cwplacement.Node) bool { return counts[n.Worker().Rack] <= limit })
		if n != nil {
			return n
		}
	}
	if avoid := t.lastAttempt.Worker; avoid != "" && !t.preempted {
		if n := d.fleet.Find(demand, func(n *cwplacement.Node) bool { return n.Worker().ID != avoid }); n != nil {
			return n
		}
	}
	return d.fleet.Find(demand, nil)
}

// findIgnoringRacks returns any node that fits a demand, or nil. It is an alternative to findNode for allocatePrefix.
func (d *Decider) findIgnoringRacks(_ *task, demand cwmodel.Resources) *cwplacement.Node {
	return d.fleet.Find(demand, nil)
}

// maxUnplaceable is the number of demands that isUnplaceable compares with, to bound its cost.
const maxUnplaceable = 8

// isUnplaceable reports whether this demand or a smaller one fitted no worker in the current pass. Demands with and without
// accelerators are compared separately, since they are placed on different workers.
func (d *Decider) isUnplaceable(demand cwmodel.Resources) bool {
	for _, unplaceable := range d.unplaceable[:min(len(d.unplaceable), maxUnplaceable)] {
		if unplaceable.FitsIn(demand) && (unplaceable.Accelerators > 0) == (demand.Accelerators > 0) {
			return true
		}
	}
	return false
}

// start begins the next attempt of a task on a worker whose node already has the demand allocated, and emits the start
// order.
func (d *Decider) start(now time.Time, t *task, w *worker, demand cwmodel.Resources) {
	t.lastAttempt = cwmodel.Attempt{Task: t.ID, Number: t.NextAttempt, Worker: w.node.Worker().ID, Epoch: w.epoch}
	t.NextAttempt++
	t.startedAt, t.stopMode, t.preempted, t.preemptionExpiresAt = now, "", false, time.Time{}
	t.profileState.startRate.starts++
	d.assign(t, w, demand)
	d.setTimer(t, t.Deadline)
	order := t.Task
	order.Demand = demand
	d.actions = append(d.actions, Action{Kind: ActionStart, Task: order, Attempt: t.lastAttempt})
}

// assign records a running task on a worker whose node already has the demand allocated.
func (d *Decider) assign(t *task, w *worker, demand cwmodel.Resources) {
	if t.worker != nil {
		d.opts.OnInvariantViolation("task " + string(t.ID) + " runs in two places")
	}
	t.phase, t.worker, t.allocated = phaseRunning, w, demand
	t.workerIndex = len(w.tasks)
	w.tasks = append(w.tasks, t)
	d.running++
	if isPreemptible(t) {
		t.preemptibleIndex = len(t.profileState.preemptible)
		t.profileState.preemptible = append(t.profileState.preemptible, t)
	}
	d.charge(t, w, 1)
}

// release frees the capacity of a running task on its node and unassigns the task from its worker.
func (d *Decider) release(t *task) {
	d.fleet.Release(t.worker.node, t.allocated)
	d.unassign(t)
}

// unassign removes a running task from its worker and its usage from the accounts. The capacity of the node stays allocated.
func (d *Decider) unassign(t *task) {
	w := t.worker
	w.tasks = swapRemove(w.tasks, t.workerIndex, func(t *task, at int) { t.workerIndex = at })
	t.workerIndex = notIndexed
	if t.preemptibleIndex != notIndexed {
		p := t.profileState
		p.preemptible = swapRemove(p.preemptible, t.preemptibleIndex, func(t *task, at int) { t.preemptibleIndex = at })
		t.preemptibleIndex = notIndexed
	}
	d.charge(t, w, -1)
	d.running--
	if t.isProbe {
		w.probing, t.isProbe = false, false
	}
	t.worker = nil
}

// swapRemove removes the task at an index by moving the last task there. moved is called with that task and its new index.
func swapRemove(list []*task, at int, moved func(t *task, at int)) []*task {
	last := len(list) - 1
	list[at] = list[last]
	moved(list[at], at)
	list[last] = nil
	return list[:last]
}

// tasksPerRack counts the tasks of one job in each rack; racks without tasks are absent.
type tasksPerRack map[string]int

// isSpread reports whether a task is spread over racks with the other tasks of its job.
func isSpread(t *task) bool {
	return t.Job != "" && (t.Kind == cwmodel.KindGang || t.Kind == cwmodel.KindService)
}

// addRackCount adds delta to the number of tasks of a job in the rack of a worker, if the task is spread over racks.
func (d *Decider) addRackCount(t *task, w *worker, delta int) {
	if !isSpread(t) {
		return
	}
	counts, ok := d.rackCounts[t.Job]
	if !ok {
		counts = tasksPerRack{}
		d.rackCounts[t.Job] = counts
	}
	rack := w.node.Worker().Rack
	if counts[rack] += delta; counts[rack] <= 0 {
		delete(counts, rack)
	}
	if len(counts) == 0 {
		delete(d.rackCounts, t.Job)
	}
}

// minRackCount returns the number of tasks of a job in the rack that has the fewest of them.
func (d *Decider) minRackCount(job cwmodel.JobID) int {
	counts := d.rackCounts[job]
	if len(d.racks) == 0 {
		return 0
	}
	least := counts[d.racks[0]]
	for _, rack := range d.racks {
		least = min(least, counts[rack])
	}
	return least
}

// addRack adds a rack to the sorted list of racks, once.
func (d *Decider) addRack(rack string) {
	if at, ok := slices.BinarySearch(d.racks, rack); !ok {
		d.racks = slices.Insert(d.racks, at, rack)
	}
}
