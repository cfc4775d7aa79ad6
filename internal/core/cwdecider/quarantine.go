package cwdecider

import (
	"slices"
	"time"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwquarantine"
)

// maxProfileFailureRate is the failure rate of a profile above which its failures say nothing about a worker and
// are not counted against it.
const maxProfileFailureRate = 0.5

// recordOutcome counts the success or failure of an attempt for the breaker of its worker and the failure rate of its
// profile. Other ends are ignored. A failure does not count against the worker if the failure rate of the profile is above
// maxProfileFailureRate, if many workers fail at once, or if more than half of the workers might then be quarantined.
func (d *Decider) recordOutcome(now time.Time, t *task, w *worker, end cwmodel.EndKind) {
	failed := end == cwmodel.EndFailed || end == cwmodel.EndTransient || end == cwmodel.EndNotStarted
	if !failed && end != cwmodel.EndDone {
		return
	}
	expected := t.profileState.failures.Value()
	t.profileState.failures.Add(failed)
	if d.opts.DisableBreaker {
		return
	}
	d.setFailing(w, failed)
	switch {
	case !failed:
		w.breaker.RecordSuccess(now)
	case expected > maxProfileFailureRate || d.isFailureWidespread():
		return
	case w.quarantined || 2*(len(d.quarantined)+1) <= len(d.workers):
		w.breaker.RecordFailure(now, expected)
	}
	if w.breaker.State(now) != cwquarantine.StateClosed {
		d.quarantine(w)
	}
	d.updateSchedulable(w)
}

// setFailing records whether the latest result of a worker is a failure.
func (d *Decider) setFailing(w *worker, failed bool) {
	if w.failing == failed {
		return
	}
	w.failing = failed
	if failed {
		d.failingWorkers++
		return
	}
	d.failingWorkers--
}

// isFailureWidespread reports whether so many workers fail at once that the cause is not a single worker.
func (d *Decider) isFailureWidespread() bool {
	return d.failingWorkers > 1 && float64(d.failingWorkers) > maxFailingShare*float64(len(d.workers))
}

// maxFailingShare is the part of the workers that may fail at once while failures still count against a worker.
const maxFailingShare = 0.2

// quarantine lists a worker as quarantined, unless it is already.
func (d *Decider) quarantine(w *worker) {
	if !w.quarantined {
		w.quarantined = true
		d.quarantined = append(d.quarantined, w)
	}
}

// releaseFromQuarantine removes a worker from the list of quarantined ones, if it is listed.
func (d *Decider) releaseFromQuarantine(w *worker) {
	if w.quarantined {
		w.quarantined = false
		d.quarantined = slices.DeleteFunc(d.quarantined, func(o *worker) bool { return o == w })
	}
}

// reviewQuarantine releases workers whose breakers have closed.
func (d *Decider) reviewQuarantine(now time.Time) {
	for n := len(d.quarantined) - 1; n >= 0; n-- {
		w := d.quarantined[n]
		if w.breaker.State(now) == cwquarantine.StateClosed {
			d.releaseFromQuarantine(w)
			d.updateSchedulable(w)
		}
	}
}

// findProbe returns a worker whose breaker is half open and that has no running probe, or nil; the task becomes its probe.
// Only a task that may be retried if the probe fails is used, and not on the worker of its previous attempt.
func (d *Decider) findProbe(now time.Time, t *task, demand cwmodel.Resources) *worker {
	if len(d.quarantined) == 0 || !t.Repeatable || (!t.Durable && t.endedRuns-t.migrations+1 >= t.MaxAttempts) {
		return nil
	}
	for _, w := range d.quarantined {
		isOnProbation := w.breaker.State(now) == cwquarantine.StateHalfOpen && !w.probing && !w.draining && !w.cordoned && !w.reserved && !w.nominated
		if isOnProbation && t.lastAttempt.Worker != w.node.Worker().ID && demand.FitsIn(w.node.Free()) {
			w.probing, t.isProbe = true, true
			return w
		}
	}
	return nil
}
