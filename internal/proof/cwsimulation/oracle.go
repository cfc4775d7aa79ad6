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

// request is the state that the oracle keeps for one request.
type request struct {
	task            cwmodel.Task
	runTime         time.Duration
	end             cwmodel.EndKind
	host            *host // that the caller sent it to
	incarnation     int   // of that host
	sentAt          time.Time
	startedAttempts int
	hasResponse     bool
	outcome         cwmodel.Outcome
}

// oracle checks the guarantees of the scheduler after every step that could violate them.
type oracle struct {
	sim           *simulation
	requests      map[cwmodel.TaskID]*request
	sequence      []*request
	violations    []string
	hasNewAttempt bool // whether an attempt has started since the last check
}

func (o *oracle) addViolation(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf("step %d: ", o.sim.step)+fmt.Sprintf(format, args...))
}

// outputOf returns the expected output of a task.
func outputOf(id cwmodel.TaskID) []byte { return []byte("answer to " + id) }

// planExecution records the start of an attempt on a worker, checks it, and returns how the attempt runs and ends.
func (o *oracle) planExecution(on *worker, t cwmodel.Task) cwmemory.ExecutionPlan {
	r := o.requests[t.ID]
	r.startedAttempts++
	o.hasNewAttempt = true
	if !on.drainingSince.IsZero() && o.sim.now.Sub(on.drainingSince) > drainNoticeLimit {
		o.addViolation("%s started %s too long after its drain began", on.spec.ID, t.ID)
	}
	if !t.Repeatable && r.startedAttempts > 1 {
		o.addViolation("%s is not repeatable but was started %d times, last on %s", t.ID, r.startedAttempts, on.spec.ID)
	}
	if r.hasResponse && r.outcome == cwmodel.OutcomeNotRun {
		o.addViolation("%s was started on %s after its caller received the outcome not run", t.ID, on.spec.ID)
	}
	return cwmemory.ExecutionPlan{RunTime: r.runTime, End: r.end, Output: outputOf(t.ID), Used: t.Demand}
}

// checkEpoch asserts that a worker starts attempts only for the epoch that it granted last.
func (o *oracle) checkEpoch(on *worker, epoch cwmodel.Epoch) {
	if epoch != on.grantedEpoch {
		o.addViolation("%s started an attempt of epoch %d but has granted epoch %d", on.spec.ID, epoch, on.grantedEpoch)
	}
}

// checkStartOrder asserts that an owner sends no new work to a worker that drains.
//
// The limit counts from the time at which the worker drains and neither the owner is paused nor the worker unreachable.
func (o *oracle) checkStartOrder(by *host, to *worker) {
	if to.drainingSince.IsZero() {
		return
	}
	if elapsed := o.sim.now.Sub(latest(to.drainingSince, by.pausedUntil, to.cutUntil)); elapsed > drainNoticeLimit {
		o.addViolation("%s was sent new work %v after its drain began", to.spec.ID, elapsed)
	}
}

// checkRefusal asserts that an owner sends no task for which its worker lacks free capacity. It must not rely on the worker to refuse
// the task.
func (o *oracle) checkRefusal(on *worker, start cwport.StartRequest, err error) {
	if cwfault.CodeOf(err) == cwfault.Refused && cwfault.MessageOf(err) == cwmemory.ReasonNoCapacity {
		o.addViolation("%s was sent %s, which exceeds its free capacity", on.spec.ID, start.Attempt.Task)
	}
}

// recordResponse records and checks a response to a caller.
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
	case response.Outcome == cwmodel.OutcomeDone && !bytes.Equal(response.Payload, outputOf(response.Task)):
		o.addViolation("%s is done with the wrong output %q", response.Task, response.Payload)
	case response.Outcome == cwmodel.OutcomeDone && r.startedAttempts == 0:
		o.addViolation("%s is reported as done but was never started", response.Task)
	}
	r.hasResponse, r.outcome = true, response.Outcome
}

// checkRunning asserts, after a step in which an attempt started, that no task runs on two workers and that no worker exceeds its
// capacity. It skips workers that have failed.
func (o *oracle) checkRunning() {
	if !o.hasNewAttempt {
		return
	}
	o.hasNewAttempt = false
	runsOn := map[cwmodel.TaskID]cwmodel.HostID{}
	for _, w := range o.sim.workers {
		if w.failed {
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

// isIdle reports whether no task runs and every request either has a response or lost its host in a crash.
func (o *oracle) isIdle() bool {
	for _, r := range o.sequence {
		if !r.hasResponse && r.host.incarnation == r.incarnation {
			return false
		}
	}
	for _, w := range o.sim.workers {
		if !w.failed && len(w.Inspect().Running) > 0 {
			return false
		}
	}
	return true
}

// checkAllResponded asserts, at the end, that every request has a response unless its host crashed.
func (o *oracle) checkAllResponded() {
	for _, r := range o.sequence {
		if !r.hasResponse && r.host.incarnation == r.incarnation {
			o.addViolation("%s received no response from %s", r.task.ID, r.host.id)
		}
	}
}
