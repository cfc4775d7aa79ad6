package cwdecider

import (
	"fmt"

	"currantward/internal/core/cwmodel"
)

// Verify checks the invariants over the whole state and returns the first broken one, or "".
func (d *Decider) Verify() string {
	running := 0
	for id, w := range d.workers {
		sum := d.reservedOn(w)
		for _, t := range w.tasks {
			sum = sum.Add(t.allocated)
			if t.worker != w || t.phase != phaseRunning {
				return fmt.Sprintf("task %s is listed on worker %s but does not run there", t.ID, id)
			}
		}
		running += len(w.tasks)
		if sum != w.node.Used() {
			return fmt.Sprintf("worker %s has %+v in use but its tasks and reservations add up to %+v", id, w.node.Used(), sum)
		}
		if w.node.Free().Add(w.node.Used()) != w.node.Worker().Capacity {
			return fmt.Sprintf("free and used capacity of worker %s do not add up", id)
		}
	}
	if running != d.running {
		return fmt.Sprintf("%d tasks run on workers but %d are counted", running, d.running)
	}
	return d.verifyTasks()
}

// reservedOn returns the capacity that holds and the reservation have allocated on a worker.
func (d *Decider) reservedOn(w *worker) (sum cwmodel.Resources) {
	add := func(tasks []*task, workers []*worker) {
		for n, reserved := range workers {
			if reserved == w {
				sum = sum.Add(tasks[n].allocated)
			}
		}
	}
	for _, h := range d.holds {
		add(h.tasks, h.workers)
	}
	if d.reservation != nil {
		add(d.reservation.tasks, d.reservation.workers)
	}
	return sum
}

// verifyTasks checks the invariants over the tracked tasks and returns the first broken one, or "".
func (d *Decider) verifyTasks() string {
	waiting := 0
	for id, t := range d.tasks {
		isQueued := t.queueIndex != notIndexed
		isMember := t.gang != nil && t.gang.members[0] != t
		switch {
		case t.responseSent:
			return fmt.Sprintf("task %s is answered and still known", id)
		case (t.phase == phaseRunning) != (t.worker != nil):
			return fmt.Sprintf("task %s is %s with worker set: %v", id, t.phase, t.worker != nil)
		case (t.phase == phaseWaiting && !isMember) != isQueued:
			return fmt.Sprintf("task %s is %s with a queue: %v", id, t.phase, isQueued)
		}
		if isQueued {
			waiting++
		}
	}
	if waiting != d.waiting {
		return fmt.Sprintf("%d tasks wait but %d are counted", waiting, d.waiting)
	}
	return ""
}
