package cwdecider

import (
	"slices"
	"time"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwquarantine"
)

// commonFailure is the failure rate of a profile above which its failures say nothing about a worker.
const commonFailure = 0.5

// judge counts the end of an attempt for its worker and its profile.
func (d *Decider) judge(now time.Time, state *task, w *worker, end cwmodel.EndKind) {
	failed := end == cwmodel.EndFailed || end == cwmodel.EndTransient || end == cwmodel.EndNotStarted
	if !failed && end != cwmodel.EndDone {
		return
	}
	expected := state.profile.failures.Value()
	state.profile.failures.Add(failed)
	if d.opts.DisableBreaker {
		return
	}
	d.noteFailing(w, failed)
	switch {
	case !failed:
		w.breaker.RecordSuccess(now)
	case expected > commonFailure || d.failsEverywhere():
		return
	case w.suspect || 2*(len(d.suspects)+1) <= len(d.workers):
		w.breaker.RecordFailure(now, expected)
	}
	if w.breaker.State(now) != cwquarantine.StateClosed {
		d.suspect(w)
	}
	d.refresh(w)
}

// noteFailing counts the workers whose latest result is a failure.
func (d *Decider) noteFailing(w *worker, failed bool) {
	if w.failing == failed {
		return
	}
	w.failing = failed
	if failed {
		d.failing++
		return
	}
	d.failing--
}

// failsEverywhere reports whether so many workers fail at once that the cause is not in any one of them.
func (d *Decider) failsEverywhere() bool {
	return d.failing > 1 && float64(d.failing) > maxFailing*float64(len(d.workers))
}

// maxFailing is the part of the workers that may fail before no worker is blamed.
const maxFailing = 0.2

func (d *Decider) suspect(w *worker) {
	if !w.suspect {
		w.suspect = true
		d.suspects = append(d.suspects, w)
	}
}

func (d *Decider) forgetSuspect(w *worker) {
	if w.suspect {
		w.suspect = false
		d.suspects = slices.DeleteFunc(d.suspects, func(o *worker) bool { return o == w })
	}
}

// review takes workers whose breakers have closed off the list of suspects.
func (d *Decider) review(now time.Time) {
	for n := len(d.suspects) - 1; n >= 0; n-- {
		w := d.suspects[n]
		if w.breaker.State(now) == cwquarantine.StateClosed {
			d.forgetSuspect(w)
			d.refresh(w)
		}
	}
}

// findProbe returns a worker on probation that runs no probe now, for a task that may run again if it fails.
func (d *Decider) findProbe(now time.Time, state *task, demand cwmodel.Resources) *worker {
	if len(d.suspects) == 0 || !state.Repeatable || (!state.Durable && state.ran-state.moved+1 >= state.MaxAttempts) {
		return nil
	}
	for _, w := range d.suspects {
		isOnProbation := w.breaker.State(now) == cwquarantine.StateHalfOpen && !w.probing && !w.leaving && !w.closed && !w.kept && !w.cleared
		if isOnProbation && state.attempt.Worker != w.node.Worker().ID && demand.FitsIn(w.node.Free()) {
			w.probing, state.probe = true, true
			return w
		}
	}
	return nil
}
