package cwdecider

import (
	"slices"
	"time"

	"currantward/internal/core/cwmodel"
)

// Bounds of one round of preemption.
const (
	maxPreemptors     = 16              // waiting tasks for which one round preempts others
	maxNominations    = 64              // nominated workers at any time
	maxCandidates     = 64              // preemptible tasks of one profile that are considered for one waiting task
	preemptionTimeout = 2 * time.Second // time after which tasks may be preempted for the same waiting task again
)

// isPreemptible reports whether a running task may be stopped in favour of others: a checkpointable task of any
// class, or a repeatable task of the least urgent class. Members of gangs are never preempted.
func isPreemptible(t *task) bool {
	if t.gang != nil || t.Kind == cwmodel.KindGang {
		return false
	}
	if t.Checkpointable {
		return true
	}
	return t.profileState.Class == cwmodel.ClassBestEffort && t.Repeatable && t.Kind != cwmodel.KindRequest
}

// preempt stops running tasks in favour of blocked tasks at the heads of the queues, for at most maxPreemptors blocked
// tasks per round.
func (d *Decider) preempt(now time.Time) {
	if d.waiting == 0 {
		return
	}
	preemptors := 0
	for _, p := range d.profiles {
		if p.waiting == 0 || !d.hasPreemptibleFor(p) {
			continue
		}
		for _, q := range p.queues {
			if preemptors >= maxPreemptors {
				return
			}
			if t := q.Min(); t != nil && d.preemptAndNominate(now, t) {
				preemptors++
			}
		}
	}
}

// hasPreemptibleFor reports whether a running task may be preempted for tasks of the profile p.
func (d *Decider) hasPreemptibleFor(p *profile) bool {
	for _, from := range d.profiles {
		if len(from.preemptible) > 0 && d.mayPreempt(p, from) {
			return true
		}
	}
	return false
}

// mayPreempt reports whether tasks of p may preempt tasks of the profile from: p is of a more urgent class or below its floor,
// and from is not below its own.
func (d *Decider) mayPreempt(p, from *profile) bool {
	if p == from || from.account.IsBelowFloor() {
		return false
	}
	return p.rank < from.rank || p.account.IsBelowFloor()
}

// preemptAndNominate preempts tasks on one worker so that a blocked task fits there, and nominates the worker for that task:
// the worker gets no other task until the blocked task starts there or the preemption times out. It returns false if
// nothing was preempted.
func (d *Decider) preemptAndNominate(now time.Time, t *task) bool {
	if t.preemptionExpiresAt.After(now) || t.gang != nil || d.hasReservation(t) || len(d.preemptors) >= maxNominations {
		return false
	}
	demand := d.effectiveDemand(t)
	if !t.profileState.account.WithinCeiling(demand, d.fleet.Total()) || !t.teamState.account.WithinQuota(demand) || d.CanStart(demand) {
		return false
	}
	w := d.preemptFor(now, t, demand)
	if w == nil {
		return false
	}
	t.nominatedWorker, w.nominated = w, true
	d.preemptors = append(d.preemptors, t)
	d.updateSchedulable(w)
	return true
}

// readyNominated returns the nominated worker of a task if the demand fits there now, else nil.
func (t *task) readyNominated(demand cwmodel.Resources) *worker {
	if t.nominatedWorker == nil || t.nominatedWorker.quarantined || t.nominatedWorker.draining || !demand.FitsIn(t.nominatedWorker.node.Free()) {
		return nil
	}
	return t.nominatedWorker
}

// clearNomination makes the nominated worker of a task available to others again.
func (d *Decider) clearNomination(t *task) {
	if t.nominatedWorker == nil {
		return
	}
	t.nominatedWorker.nominated = false
	d.updateSchedulable(t.nominatedWorker)
	t.nominatedWorker = nil
	d.preemptors = slices.DeleteFunc(d.preemptors, func(o *task) bool { return o == t })
}

// expireNominations clears the nominations whose preemption timed out.
func (d *Decider) expireNominations(now time.Time) {
	for n := len(d.preemptors) - 1; n >= 0; n-- {
		if !d.preemptors[n].preemptionExpiresAt.After(now) {
			d.clearNomination(d.preemptors[n])
		}
	}
}

// clearNominationsOn clears the nominations of a worker that is no longer owned.
func (d *Decider) clearNominationsOn(w *worker) {
	for n := len(d.preemptors) - 1; n >= 0; n-- {
		if d.preemptors[n].nominatedWorker == w {
			d.clearNomination(d.preemptors[n])
		}
	}
}

// preemptFor preempts tasks on one worker so that a waiting task will fit there, and returns the worker. It tries the running
// tasks of the least urgent profile first, and returns nil if no worker allows this.
func (d *Decider) preemptFor(now time.Time, t *task, demand cwmodel.Resources) *worker {
	for n := len(d.profiles) - 1; n >= 0; n-- {
		from := d.profiles[n]
		if len(from.preemptible) == 0 || !d.mayPreempt(t.profileState, from) {
			continue
		}
		if w := d.preemptFromProfile(now, t, demand, from); w != nil {
			return w
		}
	}
	return nil
}

// preemptFromProfile looks for a worker that runs a preemptible task of the profile from and on which the demand fits once
// enough tasks are preempted. It preempts them and returns the worker, or nil if there is none. It tries the workers of the
// most recently started tasks first, since these lose the least work.
func (d *Decider) preemptFromProfile(now time.Time, t *task, demand cwmodel.Resources, from *profile) *worker {
	for n := len(from.preemptible) - 1; n >= max(len(from.preemptible)-maxCandidates, 0); n-- {
		candidate := from.preemptible[n]
		w := candidate.worker
		if candidate.stopMode != "" || !w.node.IsSchedulable() {
			continue
		}
		victims := d.chooseVictims(t.profileState, candidate, demand)
		for _, victim := range victims {
			victim.preempted = true
			d.stop(now, victim, stopModeOf(victim))
			d.setTimer(victim, earlier(victim.timerAt, victim.Deadline))
		}
		if len(victims) > 0 {
			t.preemptionExpiresAt = now.Add(preemptionTimeout)
			return w
		}
	}
	return nil
}

// stopModeOf returns how a task is stopped to free its capacity: with a checkpoint if it supports checkpoints.
func stopModeOf(victim *task) cwmodel.StopMode {
	if victim.Checkpointable {
		return cwmodel.StopCheckpoint
	}
	return cwmodel.StopNow
}

// chooseVictims returns preemptible tasks on the candidate's worker, the candidate first, whose end frees enough capacity for
// the demand, or nil if there are not enough. p is the profile of the task that is to start there.
func (d *Decider) chooseVictims(p *profile, candidate *task, demand cwmodel.Resources) (victims []*task) {
	w := candidate.worker
	free := w.node.Free().Add(candidate.allocated)
	victims = append(victims, candidate)
	for _, other := range w.tasks {
		if d.fleet.WouldFit(w.node, free, demand) {
			return victims
		}
		if other != candidate && other.preemptibleIndex != notIndexed && other.stopMode == "" && !other.responseSent && d.mayPreempt(p, other.profileState) {
			free = free.Add(other.allocated)
			victims = append(victims, other)
		}
	}
	if d.fleet.WouldFit(w.node, free, demand) {
		return victims
	}
	return nil
}
