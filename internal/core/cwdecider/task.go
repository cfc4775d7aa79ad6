package cwdecider

import (
	"time"

	"currantward/internal/core/cwmodel"
)

// Default options.
const (
	defaultResponseGrace      = 60 * time.Millisecond
	defaultClockMargin        = 500 * time.Millisecond
	defaultStartWindow        = 2 * time.Second
	defaultReservationDelay   = 500 * time.Millisecond
	defaultReservationTimeout = 30 * time.Second
)

// stopResendInterval is how long after a stop order without a result the order is sent again.
const stopResendInterval = time.Second

// phase is the scheduling state of a task.
type phase string

const (
	phaseWaiting phase = "waiting" // in its queue
	phaseDelayed phase = "delayed" // backing off before its next attempt
	phaseRunning phase = "running" // a start order was sent
	phaseLost    phase = "lost"    // its worker is no longer owned; it may still be running
)

// task is a task with its scheduling state.
type task struct {
	cwmodel.Task
	phase               phase
	profileState        *profile
	teamState           *team
	queue               *queue
	gang                *gang
	lastAttempt         cwmodel.Attempt // the current or else the last one
	worker              *worker         // set while it runs
	allocated           cwmodel.Resources
	startedAt           time.Time
	endedRuns           int           // ended attempts that may have run
	migrations          int           // of these, attempts that were preempted
	unstartedAttempts   int           // attempts that did not start
	backoff             time.Duration // delay before the latest retry
	timerAt             time.Time
	certainEndAt        time.Time // time at which a lost attempt is known to have ended
	preemptionExpiresAt time.Time // end of the time for the preemption in progress for it
	nominatedWorker     *worker   // worker on which that preemption frees capacity for it
	isProbe             bool

	cancelled    bool
	expired      bool
	preempted    bool
	responseSent bool
	stopMode     cwmodel.StopMode

	queueIndex, timerIndex, workerIndex, preemptibleIndex int
}

const notIndexed = -1

// track creates the record of a task and registers it as not yet finished.
func (d *Decider) track(spec cwmodel.Task) *task {
	t := d.newTask(spec)
	d.tasks[spec.ID] = t
	return t
}

func (d *Decider) newTask(spec cwmodel.Task) (t *task) {
	if last := len(d.recycled) - 1; last >= 0 {
		t = d.recycled[last]
		d.recycled = d.recycled[:last]
	} else {
		t = &task{}
	}
	*t = task{Task: spec, queueIndex: notIndexed, timerIndex: notIndexed, workerIndex: notIndexed, preemptibleIndex: notIndexed}
	t.Attempt = max(spec.Attempt, 1)
	t.profileState = d.profileOf(spec.Profile)
	t.teamState = d.teamOf(spec.Team)
	return t
}

const maxRecycled = 4096

// recycle keeps a record for reuse; it must no longer be referenced. Members of gangs are not recycled, since the
// gang refers to them.
func (d *Decider) recycle(t *task) {
	if t.gang != nil || len(d.recycled) >= maxRecycled {
		return
	}
	*t = task{}
	d.recycled = append(d.recycled, t)
}

// finish responds for a task that has no capacity allocated and removes the task.
func (d *Decider) finish(t *task, response cwmodel.Response) {
	d.finishWithResult(t, response, cwmodel.Result{})
}

func (d *Decider) finishWithResult(t *task, response cwmodel.Response, r cwmodel.Result) {
	d.setTimer(t, time.Time{})
	delete(d.tasks, t.ID)
	response.Task = t.ID
	d.actions = append(d.actions, Action{Kind: ActionRespond, Task: t.Task, Attempt: t.lastAttempt, Response: response, Result: r})
	d.recycle(t)
}

// respondEarly responds for a running task and stops it; its capacity stays allocated until the attempt ends.
func (d *Decider) respondEarly(now time.Time, t *task, response cwmodel.Response) {
	response.Task = t.ID
	d.actions = append(d.actions, Action{Kind: ActionRespond, Task: t.Task, Attempt: t.lastAttempt, Response: response})
	delete(d.tasks, t.ID)
	d.orphans[t.lastAttempt] = t
	t.responseSent = true
	d.stop(now, t, cwmodel.StopNow)
}

// buildResultResponse returns a response with the result of an attempt.
func (d *Decider) buildResultResponse(t *task, r cwmodel.Result, outcome cwmodel.Outcome, reason cwmodel.Reason) cwmodel.Response {
	response := d.buildResponse(t, outcome, reason)
	response.Worker, response.Message = r.Attempt.Worker, r.Message
	if !r.StartedAt.IsZero() {
		response.RunTime = max(r.EndedAt.Sub(r.StartedAt), 0)
	}
	if outcome == cwmodel.OutcomeDone {
		response.Payload = r.Output
	}
	return response
}

// buildResponse returns a response without a result.
func (d *Decider) buildResponse(t *task, outcome cwmodel.Outcome, reason cwmodel.Reason) cwmodel.Response {
	response := cwmodel.Response{Outcome: outcome, Reason: reason, Attempts: t.Attempt - 1, Worker: t.lastAttempt.Worker}
	if !t.startedAt.IsZero() {
		response.WaitTime = t.startedAt.Sub(t.ArrivedAt)
	}
	return response
}

// stop emits a stop order and sets the timer that repeats it until the attempt ends.
func (d *Decider) stop(now time.Time, t *task, mode cwmodel.StopMode) {
	t.stopMode = mode
	d.actions = append(d.actions, Action{Kind: ActionStop, Task: t.Task, Attempt: t.lastAttempt, Mode: mode})
	next := now.Add(stopResendInterval)
	if !t.Durable && !t.responseSent && (t.cancelled || t.expired) {
		next = now.Add(d.opts.ResponseGrace)
	}
	d.setTimer(t, next)
}

// withdraw removes a waiting or delayed task from its queue and clears its timer.
func (d *Decider) withdraw(t *task) {
	if t.queueIndex != notIndexed {
		d.dequeue(t)
	}
	d.setTimer(t, time.Time{})
}
