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

// stopResendInterval is the time after which a stop order is sent again if the attempt has not ended.
const stopResendInterval = time.Second

// phase is the scheduling state of a task.
type phase string

const (
	phaseWaiting phase = "waiting" // in its queue
	phaseDelayed phase = "delayed" // in a backoff before its next attempt
	phaseRunning phase = "running" // a start order was sent
	phaseLost    phase = "lost"    // its worker is no longer owned; it may still be running
)

// task is a task with its scheduling state.
type task struct {
	cwmodel.Task
	phase               phase
	profileState        *profile // of Task.Profile
	teamState           *team    // of Task.Team
	queue               *queue
	gang                *gang             // nil unless it is a member of one
	lastAttempt         cwmodel.Attempt   // the current one, or the last one if it has ended; zero: none
	worker              *worker           // nil unless it runs
	allocated           cwmodel.Resources // on its worker
	startedAt           time.Time         // when the latest attempt was ordered; zero: never
	endedRuns           int               // number of ended attempts that may have run
	migrations          int               // number of these that were preempted, which do not count against MaxAttempts
	unstartedAttempts   int               // number of attempts that a worker refused to start
	backoff             time.Duration     // delay before the latest retry
	timerAt             time.Time         // zero: no timer
	certainEndAt        time.Time         // time at which a lost attempt has certainly ended
	preemptionExpiresAt time.Time         // when the preemption in progress for it times out; zero: none
	nominatedWorker     *worker           // worker on which that preemption frees capacity for it; nil: none
	isProbe             bool              // its attempt tests a worker after a quarantine

	cancelled    bool             // at the caller's request
	expired      bool             // its attempt was stopped at the deadline
	preempted    bool             // its attempt is being stopped for other tasks, a drain or lack of memory
	responseSent bool             // the caller has its response; only the capacity is still in use
	stopMode     cwmodel.StopMode // of the latest stop order for its attempt; empty: none

	queueIndex, timerIndex, workerIndex, preemptibleIndex int
}

// notIndexed is the index of a task in a heap or list that does not contain it.
const notIndexed = -1

// track creates the record of a task and registers it in Decider.tasks until its response is sent.
func (d *Decider) track(spec cwmodel.Task) *task {
	t := d.newTask(spec)
	d.tasks[spec.ID] = t
	return t
}

// newTask returns a record for a task, a recycled one if available. The record is not registered.
func (d *Decider) newTask(spec cwmodel.Task) (t *task) {
	if last := len(d.recycled) - 1; last >= 0 {
		t = d.recycled[last]
		d.recycled = d.recycled[:last]
	} else {
		t = &task{}
	}
	*t = task{Task: spec, queueIndex: notIndexed, timerIndex: notIndexed, workerIndex: notIndexed, preemptibleIndex: notIndexed}
	t.NextAttempt = max(spec.NextAttempt, 1)
	t.profileState = d.profileOf(spec.Profile)
	t.teamState = d.teamOf(spec.Team)
	return t
}

// maxRecycled bounds the memory of the task records kept for reuse.
const maxRecycled = 4096

// recycle keeps a record that is no longer referenced for reuse by newTask. Members of gangs are not recycled, since the
// gang still refers to them.
func (d *Decider) recycle(t *task) {
	if t.gang != nil || len(d.recycled) >= maxRecycled {
		return
	}
	*t = task{}
	d.recycled = append(d.recycled, t)
}

// finish responds for a task that has no capacity allocated, without the result of an attempt, and stops tracking it.
func (d *Decider) finish(t *task, response cwmodel.Response) {
	d.finishWithResult(t, response, cwmodel.Result{})
}

// finishWithResult responds for a task with the result of its last attempt, and stops tracking it.
func (d *Decider) finishWithResult(t *task, response cwmodel.Response, r cwmodel.Result) {
	d.setTimer(t, time.Time{})
	delete(d.tasks, t.ID)
	response.Task = t.ID
	d.actions = append(d.actions, Action{Kind: ActionRespond, Task: t.Task, Attempt: t.lastAttempt, Response: response, Result: r})
	d.recycle(t)
}

// respondEarly responds for a running task, stops it and makes it an orphan: its capacity stays allocated until the attempt
// ends.
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

// buildResponse returns a response without a result: with the number of attempts, the last worker and the wait time.
func (d *Decider) buildResponse(t *task, outcome cwmodel.Outcome, reason cwmodel.Reason) cwmodel.Response {
	response := cwmodel.Response{Outcome: outcome, Reason: reason, Attempts: t.NextAttempt - 1, Worker: t.lastAttempt.Worker}
	if !t.startedAt.IsZero() {
		response.WaitTime = t.startedAt.Sub(t.ArrivedAt)
	}
	return response
}

// stop emits a stop order and sets the timer of the task, at which onRunningTimer handles an attempt that has not ended.
func (d *Decider) stop(now time.Time, t *task, mode cwmodel.StopMode) {
	t.stopMode = mode
	d.actions = append(d.actions, Action{Kind: ActionStop, Task: t.Task, Attempt: t.lastAttempt, Mode: mode})
	next := now.Add(stopResendInterval)
	if !t.Durable && !t.responseSent && (t.cancelled || t.expired) {
		next = now.Add(d.opts.ResponseGrace)
	}
	d.setTimer(t, next)
}

// withdraw removes a task from its queue, if it is in one, and clears its timer.
func (d *Decider) withdraw(t *task) {
	if t.queueIndex != notIndexed {
		d.dequeue(t)
	}
	d.setTimer(t, time.Time{})
}
