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
	task     cwmodel.Task
	runTime  time.Duration
	end      cwmodel.EndKind
	host     *host // that the caller sent it to
	life     int   // of that host
	sent     time.Time
	begun    int
	answered bool
	outcome  cwmodel.Outcome
}

// oracle checks what must always hold after every step that could break it.
type oracle struct {
	world      *world
	requests   map[cwmodel.TaskID]*request
	order      []*request
	violations []string
	grown      bool // whether an attempt has begun since the last check
}

func (o *oracle) violate(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf("step %d: ", o.world.step)+fmt.Sprintf(format, args...))
}

// answerTo is the whole answer to one task.
func answerTo(id cwmodel.TaskID) []byte { return []byte("answer to " + id) }

// begin is called when a worker begins an attempt and returns how it will go.
func (o *oracle) begin(on *worker, t cwmodel.Task) cwmemory.ExecutionPlan {
	r := o.requests[t.ID]
	r.begun++
	o.grown = true
	if !on.leaving.IsZero() && o.world.now.Sub(on.leaving) > drainBound {
		o.violate("%s began %s after it began to leave", on.about.ID, t.ID)
	}
	if !t.Repeatable && r.begun > 1 {
		o.violate("%s is not repeatable but began %d times, last on %s", t.ID, r.begun, on.about.ID)
	}
	if r.answered && r.outcome == cwmodel.OutcomeNotRun {
		o.violate("%s began on %s after its caller was told that it was not run", t.ID, on.about.ID)
	}
	return cwmemory.ExecutionPlan{RunTime: r.runTime, End: r.end, Output: answerTo(t.ID), Used: t.Demand}
}

// began checks an order that a worker has just carried out.
func (o *oracle) began(on *worker, epoch cwmodel.Epoch) {
	if epoch != on.granted {
		o.violate("%s began an attempt of epoch %d but has granted %d", on.about.ID, epoch, on.granted)
	}
}

// ordered checks a start order when the owner sends it.
//
// The bound runs from the time at which the owner and the worker could both learn that the worker leaves.
func (o *oracle) ordered(by *host, to *worker) {
	if to.leaving.IsZero() {
		return
	}
	if late := o.world.now.Sub(latest(to.leaving, by.pausedTo, to.cutTo)); late > drainBound {
		o.violate("%s was sent new work %v after it began to leave", to.about.ID, late)
	}
}

// refused checks that no owner relies on its worker to refuse what does not fit.
func (o *oracle) refused(on *worker, order cwport.StartRequest, err error) {
	if cwfault.CodeOf(err) == cwfault.Refused && cwfault.MessageOf(err) == cwmemory.ReasonNoCapacity {
		o.violate("%s was sent %s, which does not fit", on.about.ID, order.Attempt.Task)
	}
}

// answer is called with each answer that a caller is told.
func (o *oracle) answer(a cwmodel.Response) {
	r, ok := o.requests[a.Task]
	switch {
	case !ok:
		o.violate("an answer for %q, which nobody asked", a.Task)
		return
	case r.answered:
		o.violate("%s was answered twice: %s, then %s", a.Task, r.outcome, a.Outcome)
	case a.Outcome == cwmodel.OutcomeNotRun && r.begun > 0:
		o.violate("%s was said not to have run (%s) but began %d times", a.Task, a.Reason, r.begun)
	case a.Outcome == cwmodel.OutcomeDone && !bytes.Equal(a.Payload, answerTo(a.Task)):
		o.violate("%s is done with the answer %q", a.Task, a.Payload)
	case a.Outcome == cwmodel.OutcomeDone && r.begun == 0:
		o.violate("%s is done but never began", a.Task)
	}
	r.answered, r.outcome = true, a.Outcome
}

// check looks at all workers that still run after a step in which an attempt began.
func (o *oracle) check() {
	if !o.grown {
		return
	}
	o.grown = false
	places := map[cwmodel.TaskID]cwmodel.HostID{}
	for _, w := range o.world.workers {
		if w.down {
			continue
		}
		var used cwmodel.Resources
		for _, running := range w.Inspect().Running {
			used = used.Add(running.Demand)
			if other, ok := places[running.Attempt.Task]; ok {
				o.violate("%s runs on %s and on %s", running.Attempt.Task, other, w.about.ID)
			}
			places[running.Attempt.Task] = w.about.ID
		}
		if !used.FitsIn(w.about.Capacity) {
			o.violate("%s holds %+v, above its capacity", w.about.ID, used)
		}
	}
}

// isQuiet reports whether every request is answered or its host is gone, and nothing runs.
func (o *oracle) isQuiet() bool {
	for _, r := range o.order {
		if !r.answered && r.host.life == r.life {
			return false
		}
	}
	for _, w := range o.world.workers {
		if !w.down && len(w.Inspect().Running) > 0 {
			return false
		}
	}
	return true
}

// unanswered checks at the end that every request to a host that lived on was answered.
func (o *oracle) unanswered() {
	for _, r := range o.order {
		if !r.answered && r.host.life == r.life {
			o.violate("%s of %s was never answered", r.task.ID, r.host.id)
		}
	}
}
