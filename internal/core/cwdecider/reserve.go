package cwdecider

import (
	"time"

	"currantward/internal/core/cwmodel"
)

// reservation accumulates capacity for one blocked task or gang, so that smaller tasks cannot starve it.
//
// A decider has at most one reservation, since two could deadlock, each waiting for the capacity of the other. It expires
// at a fixed time.
type reservation struct {
	tasks     []*task   // the blocked task, or all members of the gang
	workers   []*worker // the worker of each task; nil: no capacity is allocated for it yet
	cordoned  []*worker // workers that get no other tasks while their tasks end
	expiresAt time.Time
}

// hasReservation reports whether the reservation is for this task, or for the gang that this task represents.
func (d *Decider) hasReservation(t *task) bool {
	return d.reservation != nil && d.reservation.tasks[0] == t
}

// advanceReservation releases the reservation if it has expired, creates one if there is none and a task needs it, and
// allocates more capacity to it.
func (d *Decider) advanceReservation(now time.Time) {
	if d.reservation != nil && !now.Before(d.reservation.expiresAt) {
		d.expireReservation(now)
	}
	if d.reservation == nil {
		d.newReservation(now)
	}
	if d.reservation != nil {
		d.fillReservation(now)
	}
}

// newReservation creates a reservation for the blocked task or gang that arrived first, if any. Only profiles below their
// floors get reservations.
func (d *Decider) newReservation(now time.Time) {
	var blocked *task
	for _, p := range d.profiles {
		if p.waiting == 0 || !p.account.IsBelowFloor() {
			continue
		}
		for _, q := range p.queues {
			if t := q.Min(); t != nil && d.needsReservation(now, t) && (blocked == nil || t.ArrivedAt.Before(blocked.ArrivedAt)) {
				blocked = t
			}
		}
	}
	if blocked == nil {
		return
	}
	d.reservation = &reservation{tasks: []*task{blocked}, expiresAt: now.Add(d.opts.ReservationTimeout)}
	if blocked.gang != nil {
		d.reservation.tasks = blocked.gang.members
	}
	d.reservation.workers = make([]*worker, len(d.reservation.tasks))
}

// needsReservation reports whether a task or gang has waited for ReservationDelay and is within its limits, but does not fit
// on the workers. For a gang the fit is not tested: schedule has just tried to start it, or did so within gangRetryDelay. After
// an expired reservation a gang gets no other one before noReservationBefore.
func (d *Decider) needsReservation(now time.Time, t *task) bool {
	if now.Sub(t.ArrivedAt) < d.opts.ReservationDelay || t.phase != phaseWaiting {
		return false
	}
	if t.gang != nil {
		return !now.Before(t.gang.noReservationBefore) && d.allWithinLimits(t.gang.members)
	}
	demand := d.effectiveDemand(t)
	return d.withinLimits(t, demand) && !d.CanStart(demand)
}

// allWithinLimits reports whether the limits allow all members at once.
func (d *Decider) allWithinLimits(members []*task) bool {
	sum := d.effectiveDemand(members[0])
	for _, member := range members[1:] {
		sum = sum.Add(d.effectiveDemand(member))
	}
	return d.withinLimits(members[0], sum)
}

// fillReservation allocates capacity for the tasks that have none yet, and starts all tasks once each has a worker. Between
// calls, the cordoned workers get no other tasks.
func (d *Decider) fillReservation(now time.Time) {
	r := d.reservation
	d.uncordonReserved(r.cordoned)
	missing := 0
	for n, t := range r.tasks {
		if r.workers[n] != nil {
			continue
		}
		demand := d.effectiveDemand(t)
		if !d.withinLimits(t, demand) {
			missing++
			continue
		}
		node := d.findNode(t, demand)
		if node == nil {
			missing++
			d.preemptOrDrain(now, t, demand)
			continue
		}
		r.workers[n] = d.workers[node.Worker().ID]
		d.allocateFor(t, r.workers[n], demand)
	}
	if missing > 0 {
		d.cordonReserved()
		return
	}
	d.startReserved(now)
}

// startReserved starts the tasks of the reservation, whose capacity is allocated, and ends the reservation.
func (d *Decider) startReserved(now time.Time) {
	r := d.reservation
	d.reservation = nil
	d.uncordonReserved(r.cordoned)
	leader := r.tasks[0]
	if leader.gang != nil {
		d.startGang(now, leader.gang, r.workers)
		return
	}
	d.dequeue(leader)
	d.charge(leader, r.workers[0], -1) // start charges the allocation again
	d.start(now, leader, r.workers[0], leader.allocated)
}

// maxReservedWorkers is the limit of workers that one reservation keeps free of other tasks.
const maxReservedWorkers = 64

// preemptOrDrain frees capacity for a task of the reservation: it preempts tasks on a worker, or else cordons the least
// allocated worker until enough of its tasks have ended. It does nothing while an earlier preemption for the task is in
// progress.
func (d *Decider) preemptOrDrain(now time.Time, t *task, demand cwmodel.Resources) {
	if t.preemptionExpiresAt.After(now) {
		return
	}
	if w := d.preemptFor(now, t, demand); w != nil {
		d.reservation.cordoned = append(d.reservation.cordoned, w)
		return
	}
	d.drainForReservation(t)
}

// drainForReservation cordons the least allocated worker on which the task would fit if the worker were empty. It does
// nothing if the reservation already cordons as many workers as it has tasks, or maxReservedWorkers.
func (d *Decider) drainForReservation(t *task) {
	r := d.reservation
	if len(r.cordoned) >= min(len(r.tasks), maxReservedWorkers) {
		return
	}
	demand := d.effectiveDemand(t)
	node := d.fleet.LeastAllocated(demand)
	if node == nil {
		return
	}
	w := d.workers[node.Worker().ID]
	w.reserved = true
	d.fleet.Cordon(w.node)
	r.cordoned = append(r.cordoned, w)
}

// cordonReserved cordons the workers that the reservation keeps free of other tasks.
func (d *Decider) cordonReserved() {
	for _, w := range d.reservation.cordoned {
		w.reserved = true
		d.updateSchedulable(w)
	}
}

// uncordonReserved makes workers available again unless another reason keeps them cordoned.
func (d *Decider) uncordonReserved(workers []*worker) {
	for _, w := range workers {
		w.reserved = false
		d.updateSchedulable(w)
	}
}

// expireReservation releases the reservation. A gang gets no new one for another ReservationTimeout.
func (d *Decider) expireReservation(now time.Time) {
	r := d.reservation
	d.reservation = nil
	d.releaseAll(r.tasks, r.workers)
	d.uncordonReserved(r.cordoned)
	if g := r.tasks[0].gang; g != nil {
		g.noReservationBefore = now.Add(d.opts.ReservationTimeout)
	}
}

// releaseReservationOf releases the reservation if it is for this task, which will not start.
func (d *Decider) releaseReservationOf(t *task) {
	if !d.hasReservation(t) {
		return
	}
	r := d.reservation
	d.reservation = nil
	d.releaseAll(r.tasks, r.workers)
	d.uncordonReserved(r.cordoned)
}

// releaseReservationOn releases the reservation if it uses a worker that is no longer owned.
func (d *Decider) releaseReservationOn(w *worker) {
	if d.reservation == nil {
		return
	}
	for _, reserved := range d.reservation.workers {
		if reserved == w {
			d.releaseReservationOf(d.reservation.tasks[0])
			return
		}
	}
	if w.reserved {
		d.releaseReservationOf(d.reservation.tasks[0])
	}
}
