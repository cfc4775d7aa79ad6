package cwdecider

import (
	"time"

	"currantward/internal/core/cwmodel"
)

// UpdateUsage applies usage reports of running tasks: it raises an allocation to the reported usage and never lowers it. It
// then reduces the load of workers whose capacity is exceeded.
func (d *Decider) UpdateUsage(now time.Time, usages []cwmodel.Usage) {
	for _, u := range usages {
		t, ok := d.tasks[u.Task]
		if !ok || t.worker == nil || u.At.Before(t.startedAt) {
			continue
		}
		t.profileState.estimate.AddUsage(t.Demand, u.Used)
		d.raiseAllocation(t, u.Used)
		d.relieveOvercommit(now, t.worker)
	}
}

// raiseAllocation raises the allocated processors and memory of a task to the usage where that is higher.
func (d *Decider) raiseAllocation(t *task, used cwmodel.Resources) {
	delta := cwmodel.Resources{
		MilliProcessors: max(used.MilliProcessors-t.allocated.MilliProcessors, 0),
		MemoryBytes:     max(used.MemoryBytes-t.allocated.MemoryBytes, 0),
	}
	if delta == (cwmodel.Resources{}) {
		return
	}
	d.fleet.Adjust(t.worker.node, delta)
	t.allocated = t.allocated.Add(delta)
	t.profileState.account.Charge(delta, d.fleet.Total())
	t.teamState.account.Charge(delta, d.fleet.Total())
}

// relieveOvercommit reduces the load of a worker whose tasks use more than its capacity. Beyond its memory it
// checkpoints or stops tasks, beyond its processors it throttles one.
func (d *Decider) relieveOvercommit(now time.Time, w *worker) {
	free := w.node.Free()
	if free.MemoryBytes < 0 {
		d.shedMemory(now, w, -free.MemoryBytes)
		return
	}
	if free.MilliProcessors < 0 {
		d.throttle(now, w)
	}
}

// shedMemory stops tasks, with a checkpoint where possible, until the memory of all tasks that are being stopped covers the
// missing bytes, or no other task exceeds its declared memory.
func (d *Decider) shedMemory(now time.Time, w *worker, missing int64) {
	for _, t := range w.tasks {
		if t.stopMode == cwmodel.StopNow || t.stopMode == cwmodel.StopCheckpoint {
			missing -= t.allocated.MemoryBytes
		}
	}
	for missing > 0 {
		victim := largestExcess(w)
		if victim == nil {
			return
		}
		missing -= victim.allocated.MemoryBytes
		// A task that cannot resume from a checkpoint is not marked as preempted: it fails instead of running again.
		victim.preempted = victim.Checkpointable
		d.stop(now, victim, stopModeOf(victim))
		d.setTimer(victim, earlier(victim.timerAt, victim.Deadline))
	}
}

// largestExcess returns the task of a worker that exceeds its declared memory the most, or nil. Checkpointable tasks precede
// others; tasks that are being stopped are left out.
func largestExcess(w *worker) (worst *task) {
	excess := func(t *task) int64 { return t.allocated.MemoryBytes - t.Demand.MemoryBytes }
	for _, t := range w.tasks {
		if t.responseSent || excess(t) <= 0 || t.stopMode == cwmodel.StopNow || t.stopMode == cwmodel.StopCheckpoint {
			continue
		}
		switch {
		case worst == nil, t.Checkpointable && !worst.Checkpointable:
			worst = t
		case t.Checkpointable == worst.Checkpointable && excess(t) > excess(worst):
			worst = t
		}
	}
	return worst
}

// throttle throttles the task of a worker that exceeds its declared processors the most, if any. A throttled task stays
// throttled and is not chosen again.
func (d *Decider) throttle(_ time.Time, w *worker) {
	var worst *task
	excess := func(t *task) int64 { return t.allocated.MilliProcessors - t.Demand.MilliProcessors }
	for _, t := range w.tasks {
		if t.responseSent || t.stopMode != "" || excess(t) <= 0 {
			continue
		}
		if worst == nil || excess(t) > excess(worst) {
			worst = t
		}
	}
	if worst == nil {
		return
	}
	worst.stopMode = cwmodel.StopThrottle
	d.actions = append(d.actions, Action{Kind: ActionStop, Task: worst.Task, Attempt: worst.lastAttempt, Mode: cwmodel.StopThrottle})
}
