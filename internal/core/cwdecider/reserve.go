package cwdecider

import (
	"time"

	"currantward/internal/core/cwmodel"
)

// reservation gathers capacity for one blocked task or gang at a time, so that smaller work cannot starve it.
//
// Only one exists in a decider, so that no two wait for what the other holds; it ends at a fixed time.
type reservation struct {
	tasks   []*task
	places  []*worker // where capacity is taken already
	kept    []*worker // closed to other work until they have room
	expires time.Time
}

func (d *Decider) isReserved(state *task) bool {
	return d.reserved != nil && d.reserved.tasks[0] == state
}

// reserve moves the present reservation on, or makes one for the task that has been blocked for longest.
func (d *Decider) reserve(now time.Time) {
	if d.reserved != nil && !now.Before(d.reserved.expires) {
		d.dropReservation(now)
	}
	if d.reserved == nil {
		d.newReservation(now)
	}
	if d.reserved != nil {
		d.gather(now)
	}
}

func (d *Decider) newReservation(now time.Time) {
	var blocked *task
	for _, p := range d.profiles {
		if p.waiting == 0 || !p.account.IsBelowFloor() {
			continue
		}
		for _, q := range p.queues {
			if state := q.Min(); state != nil && d.needsReservation(now, state) && (blocked == nil || state.ArrivedAt.Before(blocked.ArrivedAt)) {
				blocked = state
			}
		}
	}
	if blocked == nil {
		return
	}
	d.reserved = &reservation{tasks: []*task{blocked}, expires: now.Add(d.opts.ReservationTimeout)}
	if blocked.gang != nil {
		d.reserved.tasks = blocked.gang.members
	}
	d.reserved.places = make([]*worker, len(d.reserved.tasks))
}

// needsReservation reports whether a task is blocked by the lack of room on any one worker.
func (d *Decider) needsReservation(now time.Time, state *task) bool {
	if now.Sub(state.ArrivedAt) < d.opts.ReservationDelay || state.phase != phaseWaiting {
		return false
	}
	if state.gang != nil {
		return !now.Before(state.gang.notTill) && d.mayUseAll(state.gang.members)
	}
	demand := d.reservation(state)
	return d.mayUse(state, demand) && !d.CanStart(demand)
}

// mayUseAll reports whether ceiling and quota allow all members at once.
func (d *Decider) mayUseAll(members []*task) bool {
	sum := d.reservation(members[0])
	for _, member := range members[1:] {
		sum = sum.Add(d.reservation(member))
	}
	return d.mayUse(members[0], sum)
}

// gather takes capacity for the members that have none, and starts all once all have some.
func (d *Decider) gather(now time.Time) {
	r := d.reserved
	d.openList(r.kept)
	missing := 0
	for n, state := range r.tasks {
		if r.places[n] != nil {
			continue
		}
		demand := d.reservation(state)
		if !d.mayUse(state, demand) {
			missing++
			continue
		}
		node := d.findNode(state, demand)
		if node == nil {
			missing++
			d.clearWorker(now, state, demand)
			continue
		}
		r.places[n] = d.workers[node.Worker().ID]
		d.takeFor(state, r.places[n], demand)
	}
	if missing > 0 {
		d.closeKept()
		return
	}
	d.startReserved(now)
}

func (d *Decider) startReserved(now time.Time) {
	r := d.reserved
	d.reserved = nil
	d.openList(r.kept)
	leader := r.tasks[0]
	if leader.gang != nil {
		d.startGang(now, leader.gang, r.places)
		return
	}
	d.dequeue(leader)
	d.charge(leader, r.places[0], -1)
	d.start(now, leader, r.places[0], leader.reserved)
}

// maxKept bounds the workers that one reservation closes to other work.
const maxKept = 64

// clearWorker preempts tasks on a worker for a reserved task, or else has the emptiest worker drain.
func (d *Decider) clearWorker(now time.Time, state *task, demand cwmodel.Resources) {
	if state.relief.After(now) {
		return
	}
	if w := d.preemptFor(now, state, demand); w != nil {
		d.reserved.kept = append(d.reserved.kept, w)
		return
	}
	d.keepWorker(state)
}

// keepWorker chooses the emptiest worker that could hold a task once it has drained.
func (d *Decider) keepWorker(state *task) {
	r := d.reserved
	if len(r.kept) >= min(len(r.tasks), maxKept) {
		return
	}
	demand := d.reservation(state)
	node := d.fleet.LeastAllocated(demand)
	if node == nil {
		return
	}
	w := d.workers[node.Worker().ID]
	w.kept = true
	d.fleet.Cordon(w.node)
	r.kept = append(r.kept, w)
}

func (d *Decider) closeKept() {
	for _, w := range d.reserved.kept {
		w.kept = true
		d.refresh(w)
	}
}

func (d *Decider) openList(kept []*worker) {
	for _, w := range kept {
		w.kept = false
		d.refresh(w)
	}
}

// dropReservation gives everything back; the gang waits for as long again before the next.
func (d *Decider) dropReservation(now time.Time) {
	r := d.reserved
	d.reserved = nil
	d.giveBack(r.tasks, r.places)
	d.openList(r.kept)
	if g := r.tasks[0].gang; g != nil {
		g.notTill = now.Add(d.opts.ReservationTimeout)
	}
}

// releaseReservationOf gives back what is reserved for a task that will not start.
func (d *Decider) releaseReservationOf(state *task) {
	if !d.isReserved(state) {
		return
	}
	r := d.reserved
	d.reserved = nil
	d.giveBack(r.tasks, r.places)
	d.openList(r.kept)
}

// releaseKept drops the reservation if it depends on a worker that is no longer owned.
func (d *Decider) releaseKept(w *worker) {
	if d.reserved == nil {
		return
	}
	for _, place := range d.reserved.places {
		if place == w {
			d.releaseReservationOf(d.reserved.tasks[0])
			return
		}
	}
	if w.kept {
		d.releaseReservationOf(d.reserved.tasks[0])
	}
}
