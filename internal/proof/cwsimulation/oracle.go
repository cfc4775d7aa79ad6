package cwsimulation

import (
	"bytes"
	"fmt"
	"time"

	"currantward/internal/adapter/cwmemory"
	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
)

// request is what the oracle knows of one request.
type request struct {
	task            cwmodel.Task
	runTime         time.Duration   // of each attempt
	endKind         cwmodel.EndKind // of each attempt
	host            *host           // that the caller sent it to
	incarnation     int             // of that host at that time; a crash since then excuses a missing response
	sentAt          time.Time
	startedAttempts int
	hasResponse     bool
	outcome         cwmodel.Outcome // in the response; empty without one
}

// oracle checks the guarantees of the scheduler after every step that could violate them.
type oracle struct {
	sim               *simulation
	requests          map[cwmodel.TaskID]*request
	inSubmissionOrder []*request
	violations        []string
	hasNewAttempt     bool // whether an attempt has started since the last check
}

// addViolation records a violation with the current step. The run stops after the first one.
func (o *oracle) addViolation(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf("step %d: ", o.sim.step)+fmt.Sprintf(format, args...))
}

// expectedOutput returns the output that an attempt of a task yields and its caller must receive.
func expectedOutput(id cwmodel.TaskID) []byte { return []byte("answer to " + id) }

// planExecution returns how an attempt that starts on a worker runs and ends. It records the start, and asserts that the attempt may
// start: its worker has not drained for long, its task may be repeated, and its caller has not received the outcome not run.
func (o *oracle) planExecution(w *worker, t cwmodel.Task) cwmemory.ExecutionPlan {
	r := o.requests[t.ID]
	r.startedAttempts++
	o.hasNewAttempt = true
	if !w.drainingSince.IsZero() && o.sim.now.Sub(w.drainingSince) > drainNoticeLimit {
		o.addViolation("%s started %s too long after its drain began", w.spec.ID, t.ID)
	}
	if !t.Repeatable && r.startedAttempts > 1 {
		o.addViolation("%s is not repeatable but was started %d times, last on %s", t.ID, r.startedAttempts, w.spec.ID)
	}
	if r.hasResponse && r.outcome == cwmodel.OutcomeNotRun {
		o.addViolation("%s was started on %s after its caller received the outcome not run", t.ID, w.spec.ID)
	}
	return cwmemory.ExecutionPlan{RunTime: r.runTime, End: r.endKind, Output: expectedOutput(t.ID), Used: t.Demand}
}

// checkEpoch asserts that a worker starts attempts only for the epoch that it granted last.
func (o *oracle) checkEpoch(w *worker, epoch cwmodel.Epoch) {
	if epoch != w.grantedEpoch {
		o.addViolation("%s started an attempt of epoch %d but has granted epoch %d", w.spec.ID, epoch, w.grantedEpoch)
	}
}

// checkStartOrder asserts that an owner sends no new work to a worker that has drained for longer than drainNoticeLimit.
//
// The time counts from when the drain has begun, the owner's pause has ended and the worker is reachable, whichever is last.
func (o *oracle) checkStartOrder(sender *host, w *worker) {
	if w.drainingSince.IsZero() {
		return
	}
	if elapsed := o.sim.now.Sub(latest(w.drainingSince, sender.pausedUntil, w.offlineUntil)); elapsed > drainNoticeLimit {
		o.addViolation("%s was sent new work %v after its drain began", w.spec.ID, elapsed)
	}
}

// checkNotOvercommitted asserts that an owner sends no task for which its worker lacks free capacity. The owner must not rely on the
// worker to refuse the task. err is the worker's response to the start, nil if it accepted.
func (o *oracle) checkNotOvercommitted(w *worker, start cwport.StartRequest, err error) {
	if cwfault.CodeOf(err) == cwfault.Refused && cwfault.MessageOf(err) == cwmemory.ReasonNoCapacity {
		o.addViolation("%s was sent %s, which exceeds its free capacity", w.spec.ID, start.Attempt.Task)
	}
}

// recordResponse records a response to a caller and asserts that it is the only one and agrees with what the workers ran.
func (o *oracle) recordResponse(response cwmodel.Response) {
	r, ok := o.requests[response.Task]
	switch {
	case !ok:
		o.addViolation("response to %q, which no caller submitted", response.Task)
		return
	case r.hasResponse:
		o.addViolation("%s received two responses: %s, then %s", response.Task, r.outcome, response.Outcome)
	case response.Outcome == cwmodel.OutcomeNotRun && r.startedAttempts > 0:
		o.addViolation("%s is reported as not run (%s) but was started %d times", response.Task, response.Reason, r.startedAttempts)
	case response.Outcome == cwmodel.OutcomeDone && !bytes.Equal(response.Payload, expectedOutput(response.Task)):
		o.addViolation("%s is done with the wrong output %q", response.Task, response.Payload)
	case response.Outcome == cwmodel.OutcomeDone && r.startedAttempts == 0:
		o.addViolation("%s is reported as done but was never started", response.Task)
	}
	r.hasResponse, r.outcome = true, response.Outcome
}

// checkRunningTasks asserts, after a step in which an attempt started, that no task runs on two workers and that no worker exceeds its
// capacity. It skips workers that have failed.
func (o *oracle) checkRunningTasks() {
	if !o.hasNewAttempt {
		return
	}
	o.hasNewAttempt = false
	runsOn := map[cwmodel.TaskID]cwmodel.HostID{}
	for _, w := range o.sim.workers {
		if w.isDead {
			continue
		}
		var used cwmodel.Resources
		for _, running := range w.Inspect().Running {
			used = used.Add(running.Demand)
			if other, ok := runsOn[running.Attempt.Task]; ok {
				o.addViolation("%s runs on %s and on %s at the same time", running.Attempt.Task, other, w.spec.ID)
			}
			runsOn[running.Attempt.Task] = w.spec.ID
		}
		if !used.FitsIn(w.spec.Capacity) {
			o.addViolation("%s runs tasks with a total demand of %+v, above its capacity", w.spec.ID, used)
		}
	}
}

// allRequestsEnded reports whether no task runs and every request either has a response or lost its host in a crash.
func (o *oracle) allRequestsEnded() bool {
	for _, r := range o.inSubmissionOrder {
		if !r.hasResponse && r.host.incarnation == r.incarnation {
			return false
		}
	}
	for _, w := range o.sim.workers {
		if !w.isDead && len(w.Inspect().Running) > 0 {
			return false
		}
	}
	return true
}

// checkAllResponded asserts, at the end of the run, that every request has a response unless its host crashed.
func (o *oracle) checkAllResponded() {
	for _, r := range o.inSubmissionOrder {
		if !r.hasResponse && r.host.incarnation == r.incarnation {
			o.addViolation("%s received no response from %s", r.task.ID, r.host.id)
		}
	}
}
