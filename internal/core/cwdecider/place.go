package cwdecider

import (
	"slices"
	"time"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwplacement"
)

// place starts waiting tasks in the order of fairness until nothing more fits.
func (d *Decider) place(now time.Time) {
	d.pass++
	d.misfits = d.misfits[:0]
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
			p.blocked = d.pass
			continue
		}
		if !d.tryFirst(now, q) {
			q.blocked = d.pass
		}
	}
}

// placeQueue starts what it can of one queue after a task has come to its head.
func (d *Decider) placeQueue(now time.Time, q *queue) {
	d.pass++
	d.misfits = d.misfits[:0]
	for q.Len() > 0 && d.tryFirst(now, q) {
		continue
	}
}

// nextProfile returns the profile that is served next: those below their floors by class,
// then the others by class and weighted dominant share.
func (d *Decider) nextProfile() (best *profile) {
	var bestBelow bool
	var bestShare float64
	for _, p := range d.profiles {
		if p.waiting == 0 || p.blocked == d.pass {
			continue
		}
		below := p.account.IsBelowFloor()
		share := p.account.WeightedShare()
		if best == nil || goesFirst(below, p.rank, share, bestBelow, best.rank, bestShare) {
			best, bestBelow, bestShare = p, below, share
		}
	}
	return best
}

func goesFirst(below bool, rank int, share float64, otherBelow bool, otherRank int, otherShare float64) bool {
	if below != otherBelow {
		return below
	}
	if rank != otherRank {
		return rank < otherRank
	}
	return share < otherShare
}

// nextQueue returns the queue of the team with the least weighted dominant share.
func (d *Decider) nextQueue(p *profile) (best *queue) {
	var least float64
	for _, q := range p.queues {
		if q.Len() == 0 || q.blocked == d.pass {
			continue
		}
		share := q.team.account.WeightedShare()
		if best != nil && share >= least {
			continue
		}
		if len(d.misfits) > 0 && d.isFirstMisfit(q) {
			q.blocked = d.pass
			continue
		}
		best, least = q, share
	}
	return best
}

// isFirstMisfit reports whether the first task of a queue is known to find no worker in the present pass.
func (d *Decider) isFirstMisfit(q *queue) bool {
	state := q.Min()
	return state.gang == nil && state.room == nil && len(d.suspects) == 0 && d.isMisfit(d.reservation(state))
}

// tryFirst starts or answers the first task of a queue and returns false if it has to go on waiting.
func (d *Decider) tryFirst(now time.Time, q *queue) bool {
	state := q.Min()
	if d.isHopeless(now, state) {
		d.dequeue(state)
		d.finishGroup(state, d.lateAnswer(now, state))
		return true
	}
	if d.isReserved(state) {
		return false
	}
	if state.gang != nil {
		return d.tryGang(now, q, state.gang)
	}
	demand := d.reservation(state)
	if !d.mayUse(state, demand) {
		return false
	}
	w := state.readyRoom(demand)
	if w == nil {
		w = d.findWorker(now, state, demand)
	}
	if w == nil {
		return false
	}
	d.dequeue(state)
	d.fleet.Allocate(w.node, demand)
	d.start(now, state, w, demand)
	return true
}

// mayUse reports whether ceiling, quota and the guarantees of others allow a demand.
func (d *Decider) mayUse(state *task, demand cwmodel.Resources) bool {
	return state.profile.account.WithinCeiling(demand, d.fleet.Total()) &&
		state.team.account.WithinQuota(demand) &&
		d.mayBorrow(state, demand)
}

// longRunTime is a run time above which work does not borrow what others are guaranteed.
const longRunTime = 10 * time.Second

// mayBorrow reports whether a task may take capacity that others are guaranteed but do not use now.
//
// Work that ends soon or can be preempted may; long work that cannot leaves the guarantees free.
func (d *Decider) mayBorrow(state *task, demand cwmodel.Resources) bool {
	p := state.profile
	if d.opts.DisableFloors || isPreemptible(state) || p.account.IsBelowFloor() {
		return true
	}
	expected := p.estimate.HighRunTime(p.RunTime)
	if state.Kind == cwmodel.KindRequest || (expected > 0 && expected <= longRunTime) {
		return true
	}
	return demand.Add(d.unusedGuarantees(p)).FitsIn(d.fleet.Free())
}

// unusedGuarantees returns what the guaranteed shares of all other profiles that had work of late leave unused.
func (d *Decider) unusedGuarantees(except *profile) (sum cwmodel.Resources) {
	total := d.fleet.Total()
	for _, p := range d.profiles {
		unused := p.GuaranteedShare - p.account.Share()
		if p == except || p.retired || !p.isActive || unused <= 0 {
			continue
		}
		one := p.Demand.DominantShare(total)
		if one > 0 {
			sum = sum.Add(p.Demand.Scale(int64(unused / one)))
		}
	}
	return sum
}

// reservation returns what is reserved for a task: the learned size, or the declared one where that fits nowhere.
//
// A gang is admitted by its declared sizes, so that its members never reserve more than these.
func (d *Decider) reservation(state *task) cwmodel.Resources {
	if d.opts.DisableEstimates {
		return state.Demand
	}
	learned := state.profile.estimate.AdjustDemand(state.Demand)
	if state.Kind == cwmodel.KindGang {
		return learned.Min(state.Demand)
	}
	if learned != state.Demand && !d.fleet.CanEverFit(learned) {
		return state.Demand
	}
	return learned
}

// findWorker returns the worker for one task, or nil.
func (d *Decider) findWorker(now time.Time, state *task, demand cwmodel.Resources) *worker {
	if w := d.findProbe(now, state, demand); w != nil {
		return w
	}
	if d.isMisfit(demand) {
		return nil
	}
	n := d.findNode(state, demand)
	if n == nil {
		d.misfits = append(d.misfits, demand)
		return nil
	}
	return d.workers[n.Worker().ID]
}

// findNode prefers racks without tasks of the same job, then workers where the task did not fail before.
func (d *Decider) findNode(state *task, demand cwmodel.Resources) *cwplacement.Node {
	if isSpread(state) {
		limit := d.leastCrowded(state.Job)
		counts := d.spread[state.Job]
		n := d.fleet.Find(demand, func(n *cwplacement.Node) bool { return counts[n.Worker().Rack] <= limit })
		if n != nil {
			return n
		}
	}
	if avoid := state.attempt.Worker; avoid != "" && !state.preempted {
		if n := d.fleet.Find(demand, func(n *cwplacement.Node) bool { return n.Worker().ID != avoid }); n != nil {
			return n
		}
	}
	return d.fleet.Find(demand, nil)
}

// findTightest packs without regard to racks.
func (d *Decider) findTightest(_ *task, demand cwmodel.Resources) *cwplacement.Node {
	return d.fleet.Find(demand, nil)
}

const maxMisfits = 8

// isMisfit reports whether this demand, or a smaller one that may use the same workers, found none in the present pass.
func (d *Decider) isMisfit(demand cwmodel.Resources) bool {
	for _, m := range d.misfits[:min(len(d.misfits), maxMisfits)] {
		if m.FitsIn(demand) && (m.Accelerators > 0) == (demand.Accelerators > 0) {
			return true
		}
	}
	return false
}

// start records a task on a worker where its demand is taken already, and orders its start.
func (d *Decider) start(now time.Time, state *task, w *worker, demand cwmodel.Resources) {
	state.attempt = cwmodel.Attempt{Task: state.ID, Number: state.Attempt, Worker: w.node.Worker().ID, Epoch: w.epoch}
	state.Attempt++
	state.started, state.stopMode, state.preempted, state.relief = now, "", false, time.Time{}
	state.profile.rate.starts++
	d.settleOn(state, w, demand)
	d.setAlarm(state, state.Deadline)
	ordered := state.Task
	ordered.Demand = demand
	d.actions = append(d.actions, Action{Kind: ActionStart, Task: ordered, Attempt: state.attempt})
}

// settleOn counts a task on a worker whose node holds its demand already.
func (d *Decider) settleOn(state *task, w *worker, demand cwmodel.Resources) {
	if state.worker != nil {
		d.opts.OnViolation("task " + string(state.ID) + " runs in two places")
	}
	state.phase, state.worker, state.reserved = phaseRunning, w, demand
	state.workerAt = len(w.tasks)
	w.tasks = append(w.tasks, state)
	d.running++
	if isPreemptible(state) {
		state.victimAt = len(state.profile.victims)
		state.profile.victims = append(state.profile.victims, state)
	}
	d.charge(state, w, 1)
}

// vacate gives back what a task holds.
func (d *Decider) vacate(state *task) {
	d.fleet.Release(state.worker.node, state.reserved)
	d.unsettle(state)
}

func (d *Decider) unsettle(state *task) {
	w := state.worker
	w.tasks = swapRemove(w.tasks, state.workerAt, func(t *task, at int) { t.workerAt = at })
	state.workerAt = nowhere
	if state.victimAt != nowhere {
		p := state.profile
		p.victims = swapRemove(p.victims, state.victimAt, func(t *task, at int) { t.victimAt = at })
		state.victimAt = nowhere
	}
	d.charge(state, w, -1)
	d.running--
	if state.probe {
		w.probing, state.probe = false, false
	}
	state.worker = nil
}

// swapRemove removes one task by putting the last one in its place.
func swapRemove(list []*task, at int, moved func(t *task, at int)) []*task {
	last := len(list) - 1
	list[at] = list[last]
	moved(list[at], at)
	list[last] = nil
	return list[:last]
}

// rackCount counts the tasks of one job in each rack.
type rackCount map[string]int

func isSpread(state *task) bool {
	return state.Job != "" && (state.Kind == cwmodel.KindGang || state.Kind == cwmodel.KindService)
}

func (d *Decider) countRack(state *task, w *worker, by int) {
	if !isSpread(state) {
		return
	}
	counts, ok := d.spread[state.Job]
	if !ok {
		counts = rackCount{}
		d.spread[state.Job] = counts
	}
	rack := w.node.Worker().Rack
	if counts[rack] += by; counts[rack] <= 0 {
		delete(counts, rack)
	}
	if len(counts) == 0 {
		delete(d.spread, state.Job)
	}
}

// leastCrowded returns the least number of tasks of a job in any rack.
func (d *Decider) leastCrowded(job cwmodel.JobID) int {
	counts := d.spread[job]
	if len(d.racks) == 0 {
		return 0
	}
	least := counts[d.racks[0]]
	for _, rack := range d.racks {
		least = min(least, counts[rack])
	}
	return least
}

func (d *Decider) addRack(rack string) {
	if at, ok := slices.BinarySearch(d.racks, rack); !ok {
		d.racks = slices.Insert(d.racks, at, rack)
	}
}
