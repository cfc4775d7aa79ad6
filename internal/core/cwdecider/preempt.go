package cwdecider

import (
	"slices"
	"time"

	"currantward/internal/core/cwmodel"
)

// Bounds of one round of preemption.
const (
	maxPreemptions = 16              // tasks that one round makes room for
	maxRooms       = 64              // workers that are being cleared at once
	maxCandidates  = 64              // victims that are looked at for one of them
	reliefLimit    = 2 * time.Second // how long a preemption may take before it is tried again
)

// isPreemptible reports whether a running task may be ended in favour of others: what can be checkpointed,
// and of the least urgent class what can be repeated.
func isPreemptible(state *task) bool {
	if state.gang != nil || state.Kind == cwmodel.KindGang {
		return false
	}
	if state.Checkpointable {
		return true
	}
	return state.profile.Class == cwmodel.ClassBestEffort && state.Repeatable && state.Kind != cwmodel.KindRequest
}

// preempt makes room for first tasks of queues that are entitled to more than they have.
func (d *Decider) preempt(now time.Time) {
	if d.waiting == 0 {
		return
	}
	made := 0
	for _, p := range d.profiles {
		if p.waiting == 0 || !d.hasVictims(p) {
			continue
		}
		for _, q := range p.queues {
			if made >= maxPreemptions {
				return
			}
			if state := q.Min(); state != nil && d.makeWay(now, state) {
				made++
			}
		}
	}
}

func (d *Decider) hasVictims(p *profile) bool {
	for _, v := range d.profiles {
		if len(v.victims) > 0 && d.mayPreempt(p, v) {
			return true
		}
	}
	return false
}

// mayPreempt reports whether p may take capacity from v: never from what v is entitled to.
func (d *Decider) mayPreempt(p, v *profile) bool {
	if p == v || v.account.IsBelowFloor() {
		return false
	}
	return p.rank < v.rank || p.account.IsBelowFloor()
}

// makeWay preempts tasks on one worker so that a blocked task fits there.
func (d *Decider) makeWay(now time.Time, state *task) bool {
	if state.relief.After(now) || state.gang != nil || d.isReserved(state) || len(d.rooms) >= maxRooms {
		return false
	}
	demand := d.reservation(state)
	if !state.profile.account.WithinCeiling(demand, d.fleet.Total()) || !state.team.account.WithinQuota(demand) || d.CanStart(demand) {
		return false
	}
	w := d.preemptFor(now, state, demand)
	if w == nil {
		return false
	}
	state.room, w.cleared = w, true
	d.rooms = append(d.rooms, state)
	d.refresh(w)
	return true
}

// readyRoom returns the worker that was cleared for a task once it holds the demand.
func (t *task) readyRoom(demand cwmodel.Resources) *worker {
	if t.room == nil || t.room.suspect || t.room.leaving || !demand.FitsIn(t.room.node.Free()) {
		return nil
	}
	return t.room
}

// releaseRoom opens the worker that was cleared for a task.
func (d *Decider) releaseRoom(state *task) {
	if state.room == nil {
		return
	}
	state.room.cleared = false
	d.refresh(state.room)
	state.room = nil
	d.rooms = slices.DeleteFunc(d.rooms, func(t *task) bool { return t == state })
}

// expireRooms gives up preemptions that took too long.
func (d *Decider) expireRooms(now time.Time) {
	for n := len(d.rooms) - 1; n >= 0; n-- {
		if !d.rooms[n].relief.After(now) {
			d.releaseRoom(d.rooms[n])
		}
	}
}

// releaseRoomsOn gives up the preemptions on a worker that is no longer owned.
func (d *Decider) releaseRoomsOn(w *worker) {
	for n := len(d.rooms) - 1; n >= 0; n-- {
		if d.rooms[n].room == w {
			d.releaseRoom(d.rooms[n])
		}
	}
}

// preemptFor preempts tasks of the least urgent profile that allows it and returns their worker, or nil.
func (d *Decider) preemptFor(now time.Time, state *task, demand cwmodel.Resources) *worker {
	for n := len(d.profiles) - 1; n >= 0; n-- {
		v := d.profiles[n]
		if len(v.victims) == 0 || !d.mayPreempt(state.profile, v) {
			continue
		}
		if w := d.makeWayFrom(now, state, demand, v); w != nil {
			return w
		}
	}
	return nil
}

// makeWayFrom looks at the latest started victims of one profile, which lose the least work.
func (d *Decider) makeWayFrom(now time.Time, state *task, demand cwmodel.Resources, v *profile) *worker {
	for n := len(v.victims) - 1; n >= max(len(v.victims)-maxCandidates, 0); n-- {
		candidate := v.victims[n]
		w := candidate.worker
		if candidate.stopMode != "" || !w.node.IsSchedulable() {
			continue
		}
		victims := d.chooseVictims(state.profile, candidate, demand)
		for _, victim := range victims {
			victim.preempted = true
			d.stop(now, victim, stopModeOf(victim))
			d.setAlarm(victim, earlier(victim.alarm, victim.Deadline))
		}
		if len(victims) > 0 {
			state.relief = now.Add(reliefLimit)
			return w
		}
	}
	return nil
}

func stopModeOf(victim *task) cwmodel.StopMode {
	if victim.Checkpointable {
		return cwmodel.StopCheckpoint
	}
	return cwmodel.StopNow
}

// chooseVictims returns tasks on the candidate's worker, the candidate first, whose end makes room for the demand.
func (d *Decider) chooseVictims(p *profile, candidate *task, demand cwmodel.Resources) (victims []*task) {
	w := candidate.worker
	free := w.node.Free().Add(candidate.reserved)
	victims = append(victims, candidate)
	for _, other := range w.tasks {
		if d.fleet.WouldFit(w.node, free, demand) {
			return victims
		}
		if other != candidate && other.victimAt != nowhere && other.stopMode == "" && !other.answered && d.mayPreempt(p, other.profile) {
			free = free.Add(other.reserved)
			victims = append(victims, other)
		}
	}
	if d.fleet.WouldFit(w.node, free, demand) {
		return victims
	}
	return nil
}
