package cwdecider

import (
	"time"

	"currantward/internal/core/cwmodel"
)

// Defaults of the options.
const (
	defaultAnswerGrace      = 60 * time.Millisecond
	defaultClockMargin      = 500 * time.Millisecond
	defaultStartWindow      = 2 * time.Second
	defaultGangPatience     = 500 * time.Millisecond
	defaultReservationLimit = 30 * time.Second
)

// stopAgainAfter is how long a stop order may go without an end before it is sent again.
const stopAgainAfter = time.Second

// phase says where a task is.
type phase string

const (
	phaseWaiting phase = "waiting" // in its queue
	phaseDelayed phase = "delayed" // waits for its next attempt
	phaseRunning phase = "running" // a start order was sent
	phaseLost    phase = "lost"    // its worker is no longer owned; it may still run
)

// task is a task with its place in the decider.
type task struct {
	cwmodel.Task
	phase    phase
	profile  *profile
	team     *team
	queue    *queue
	gang     *gang
	attempt  cwmodel.Attempt // the present or the last one
	worker   *worker         // set while it runs
	reserved cwmodel.Resources
	started  time.Time
	ran      int           // attempts that ended and may have run
	moved    int           // of these, attempts that were ended in favour of other work
	refusals int           // attempts that never began
	delay    time.Duration // before the latest further attempt
	alarm    time.Time
	certain  time.Time // when a lost attempt is known to be over
	relief   time.Time // until when a preemption for it is under way
	room     *worker   // kept free for it meanwhile
	probe    bool

	cancelled bool
	expired   bool
	preempted bool
	answered  bool
	stopMode  cwmodel.StopMode

	queueAt, alarmAt, workerAt, victimAt int
}

const nowhere = -1

// adopt makes a record of a task that has no place yet.
func (d *Decider) adopt(t cwmodel.Task) *task {
	state := d.record(t)
	d.tasks[t.ID] = state
	return state
}

func (d *Decider) record(t cwmodel.Task) (state *task) {
	if last := len(d.free) - 1; last >= 0 {
		state = d.free[last]
		d.free = d.free[:last]
	} else {
		state = &task{}
	}
	*state = task{Task: t, queueAt: nowhere, alarmAt: nowhere, workerAt: nowhere, victimAt: nowhere}
	state.Attempt = max(t.Attempt, 1)
	state.profile = d.profileOf(t.Profile)
	state.team = d.teamOf(t.Team)
	return state
}

const maxRecords = 4096

// recycle keeps a record for reuse; nothing may refer to it any more.
func (d *Decider) recycle(state *task) {
	if state.gang != nil || len(d.free) >= maxRecords {
		return
	}
	*state = task{}
	d.free = append(d.free, state)
}

// finish answers a task that holds no capacity and forgets it.
func (d *Decider) finish(state *task, answer cwmodel.Response) {
	d.finishWith(state, answer, cwmodel.Result{})
}

func (d *Decider) finishWith(state *task, answer cwmodel.Response, r cwmodel.Result) {
	d.setAlarm(state, time.Time{})
	delete(d.tasks, state.ID)
	answer.Task = state.ID
	d.actions = append(d.actions, Action{Kind: ActionRespond, Task: state.Task, Attempt: state.attempt, Response: answer, Result: r})
	d.recycle(state)
}

// answerEarly answers a running task and stops it; its capacity stays reserved until it ends.
func (d *Decider) answerEarly(now time.Time, state *task, answer cwmodel.Response) {
	answer.Task = state.ID
	d.actions = append(d.actions, Action{Kind: ActionRespond, Task: state.Task, Attempt: state.attempt, Response: answer})
	delete(d.tasks, state.ID)
	d.strays[state.attempt] = state
	state.answered = true
	d.stop(now, state, cwmodel.StopNow)
}

// report fills in an answer from the result of an attempt.
func (d *Decider) report(state *task, r cwmodel.Result, outcome cwmodel.Outcome, reason cwmodel.Reason) cwmodel.Response {
	answer := d.summary(state, outcome, reason)
	answer.Worker, answer.Message = r.Attempt.Worker, r.Message
	if !r.StartedAt.IsZero() {
		answer.RunTime = max(r.EndedAt.Sub(r.StartedAt), 0)
	}
	if outcome == cwmodel.OutcomeDone {
		answer.Payload = r.Output
	}
	return answer
}

// summary fills in an answer without a result.
func (d *Decider) summary(state *task, outcome cwmodel.Outcome, reason cwmodel.Reason) cwmodel.Response {
	answer := cwmodel.Response{Outcome: outcome, Reason: reason, Attempts: state.Attempt - 1, Worker: state.attempt.Worker}
	if !state.started.IsZero() {
		answer.WaitTime = state.started.Sub(state.ArrivedAt)
	}
	return answer
}

// stop sends a stop order and sees to it that it is repeated until the attempt ends.
func (d *Decider) stop(now time.Time, state *task, mode cwmodel.StopMode) {
	state.stopMode = mode
	d.actions = append(d.actions, Action{Kind: ActionStop, Task: state.Task, Attempt: state.attempt, Mode: mode})
	next := now.Add(stopAgainAfter)
	if !state.Durable && !state.answered && (state.cancelled || state.expired) {
		next = now.Add(d.opts.ResponseGrace)
	}
	d.setAlarm(state, next)
}

// withdraw takes a waiting or delayed task out of its queue.
func (d *Decider) withdraw(state *task) {
	if state.queueAt != nowhere {
		d.dequeue(state)
	}
	d.setAlarm(state, time.Time{})
}
