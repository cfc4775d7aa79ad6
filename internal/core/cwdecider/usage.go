package cwdecider

import (
	"time"

	"currantward/internal/core/cwmodel"
)

// UpdateUsage takes what running tasks use; a reservation is raised to what is used and never lowered.
func (d *Decider) UpdateUsage(now time.Time, usages []cwmodel.Usage) {
	for _, u := range usages {
		state, ok := d.tasks[u.Task]
		if !ok || state.worker == nil || u.At.Before(state.started) {
			continue
		}
		state.profile.estimate.AddUsage(state.Demand, u.Used)
		d.raise(state, u.Used)
		d.relieve(now, state.worker)
	}
}

// raise reserves what a task was seen to use beyond its reservation.
func (d *Decider) raise(state *task, used cwmodel.Resources) {
	delta := cwmodel.Resources{
		MilliProcessors: max(used.MilliProcessors-state.reserved.MilliProcessors, 0),
		MemoryBytes:     max(used.MemoryBytes-state.reserved.MemoryBytes, 0),
	}
	if delta == (cwmodel.Resources{}) {
		return
	}
	d.fleet.Adjust(state.worker.node, delta)
	state.reserved = state.reserved.Add(delta)
	state.profile.account.Charge(delta, d.fleet.Total())
	state.team.account.Charge(delta, d.fleet.Total())
}

// relieve acts on a worker whose tasks have outgrown it: throttle for processors; for memory
// checkpoint, or stop what exceeds its declared size the most.
func (d *Decider) relieve(now time.Time, w *worker) {
	free := w.node.Free()
	if free.MemoryBytes < 0 {
		d.shed(now, w, -free.MemoryBytes)
		return
	}
	if free.MilliProcessors < 0 {
		d.throttle(now, w)
	}
}

// shed ends tasks until what they hold covers the missing memory.
func (d *Decider) shed(now time.Time, w *worker, missing int64) {
	for _, state := range w.tasks {
		if state.stopMode == cwmodel.StopNow || state.stopMode == cwmodel.StopCheckpoint {
			missing -= state.reserved.MemoryBytes
		}
	}
	for missing > 0 {
		victim := largestExcess(w)
		if victim == nil {
			return
		}
		missing -= victim.reserved.MemoryBytes
		victim.preempted = victim.Checkpointable
		d.stop(now, victim, stopModeOf(victim))
		d.setAlarm(victim, earlier(victim.alarm, victim.Deadline))
	}
}

// largestExcess returns the running task that exceeds its declared memory the most, checkpointable ones first.
func largestExcess(w *worker) (worst *task) {
	excess := func(t *task) int64 { return t.reserved.MemoryBytes - t.Demand.MemoryBytes }
	for _, state := range w.tasks {
		if state.answered || excess(state) <= 0 || state.stopMode == cwmodel.StopNow || state.stopMode == cwmodel.StopCheckpoint {
			continue
		}
		switch {
		case worst == nil, state.Checkpointable && !worst.Checkpointable:
			worst = state
		case state.Checkpointable == worst.Checkpointable && excess(state) > excess(worst):
			worst = state
		}
	}
	return worst
}

// throttle slows the task that exceeds its declared processors the most; one that is throttled stays so.
func (d *Decider) throttle(_ time.Time, w *worker) {
	var worst *task
	excess := func(t *task) int64 { return t.reserved.MilliProcessors - t.Demand.MilliProcessors }
	for _, state := range w.tasks {
		if state.answered || state.stopMode != "" || excess(state) <= 0 {
			continue
		}
		if worst == nil || excess(state) > excess(worst) {
			worst = state
		}
	}
	if worst == nil {
		return
	}
	worst.stopMode = cwmodel.StopThrottle
	d.actions = append(d.actions, Action{Kind: ActionStop, Task: worst.Task, Attempt: worst.attempt, Mode: cwmodel.StopThrottle})
}
