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
	profile             *profile
	team                *team
	queue               *queue
	gang                *gang
	attempt             cwmodel.Attempt // the current or else the last one
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
func (d *Decider) track(t cwmodel.Task) *task {
	state := d.newTask(t)
	d.tasks[t.ID] = state
	return state
}

func (d *Decider) newTask(t cwmodel.Task) (state *task) {
	if last := len(d.recycled) - 1; last >= 0 {
		state = d.recycled[last]
		d.recycled = d.recycled[:last]
	} else {
		state = &task{}
	}
	*state = task{Task: t, queueIndex: notIndexed, timerIndex: notIndexed, workerIndex: notIndexed, preemptibleIndex: notIndexed}
	state.Attempt = max(t.Attempt, 1)
	state.profile = d.profileOf(t.Profile)
	state.team = d.teamOf(t.Team)
	return state
}

const maxRecycled = 4096

// recycle keeps a record for reuse; it must no longer be referenced. Members of gangs are not recycled, since the
// gang refers to them.
func (d *Decider) recycle(state *task) {
	if state.gang != nil || len(d.recycled) >= maxRecycled {
		return
	}
	*state = task{}
	d.recycled = append(d.recycled, state)
}

// finish responds for a task that has no capacity allocated and removes the task.
func (d *Decider) finish(state *task, response cwmodel.Response) {
	d.finishWithResult(state, response, cwmodel.Result{})
}

func (d *Decider) finishWithResult(state *task, response cwmodel.Response, r cwmodel.Result) {
	d.setTimer(state, time.Time{})
	delete(d.tasks, state.ID)
	response.Task = state.ID
	d.actions = append(d.actions, Action{Kind: ActionRespond, Task: state.Task, Attempt: state.attempt, Response: response, Result: r})
	d.recycle(state)
}

// respondEarly responds for a running task and stops it; its capacity stays allocated until the attempt ends.
func (d *Decider) respondEarly(now time.Time, state *task, response cwmodel.Response) {
	response.Task = state.ID
	d.actions = append(d.actions, Action{Kind: ActionRespond, Task: state.Task, Attempt: state.attempt, Response: response})
	delete(d.tasks, state.ID)
	d.orphans[state.attempt] = state
	state.responseSent = true
	d.stop(now, state, cwmodel.StopNow)
}

// buildResultResponse returns a response with the result of an attempt.
func (d *Decider) buildResultResponse(state *task, r cwmodel.Result, outcome cwmodel.Outcome, reason cwmodel.Reason) cwmodel.Response {
	response := d.buildResponse(state, outcome, reason)
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
func (d *Decider) buildResponse(state *task, outcome cwmodel.Outcome, reason cwmodel.Reason) cwmodel.Response {
	response := cwmodel.Response{Outcome: outcome, Reason: reason, Attempts: state.Attempt - 1, Worker: state.attempt.Worker}
	if !state.startedAt.IsZero() {
		response.WaitTime = state.startedAt.Sub(state.ArrivedAt)
	}
	return response
}

// stop emits a stop order and sets the timer that repeats it until the attempt ends.
func (d *Decider) stop(now time.Time, state *task, mode cwmodel.StopMode) {
	state.stopMode = mode
	d.actions = append(d.actions, Action{Kind: ActionStop, Task: state.Task, Attempt: state.attempt, Mode: mode})
	next := now.Add(stopResendInterval)
	if !state.Durable && !state.responseSent && (state.cancelled || state.expired) {
		next = now.Add(d.opts.ResponseGrace)
	}
	d.setTimer(state, next)
}

// withdraw removes a waiting or delayed task from its queue and clears its timer.
func (d *Decider) withdraw(state *task) {
	if state.queueIndex != notIndexed {
		d.dequeue(state)
	}
	d.setTimer(state, time.Time{})
}
