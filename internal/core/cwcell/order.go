package cwcell

import (
	"slices"
	"time"

	"currantward/internal/core/cwclock"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// StartResult is the result of a start order.
type StartResult string

// The closed set of results.
const (
	StartAccepted         StartResult = "accepted"
	StartAcceptedOnRetry  StartResult = "accepted-on-retry" // an earlier try, which got no response, may still be carried out
	StartUnanswered       StartResult = "unanswered"        // the order may still be carried out until its deadline
	StartNotSent          StartResult = "not-sent"          // the worker has not received the order
	StartStaleFence       StartResult = "stale-fence"       // the worker has been called by a later owner
	StartSupersededRun    StartResult = "old-run"           // the worker has already ended or stopped this run or a later one of the task
	StartDeadlineExceeded StartResult = "late"              // the order arrived after its deadline
	StartNoCapacity       StartResult = "no-room"           // the worker has too little free capacity
	StartInvalidTicket    StartResult = "no-ticket"         // the ticket is no longer valid
	StartMalformed        StartResult = "malformed"         // the worker rejected the order as malformed
	StartUnhealthy        StartResult = "unhealthy"         // the worker cannot start tasks and is not expected to recover soon
	StartWorkerRestarted  StartResult = "restarted"         // the worker's incarnation has changed
)

// isResponse reports whether the worker to which the order was sent has responded.
func (r StartResult) isResponse() bool {
	return r != StartUnanswered && r != StartNotSent && r != StartWorkerRestarted
}

// stopRun releases a run whose start order was not issued, and issues a stop order for any other run, unless one was issued
// before.
func (c *Cell) stopRun(r *run) {
	switch r.state {
	case runPlanned:
		c.releaseRun(r, c.now)
	case runOrdered, runRunning:
		r.state, r.stopSentAt = runStopping, c.now
		c.orderStop(r.worker, r.key(), r.number)
	case runStopping:
	}
}

// orderStop adds a stop order for the run with the given number to the effects.
func (c *Cell) orderStop(w *worker, task cwwork.TaskKey, number int) {
	c.effects.Stops = append(c.effects.Stops, StopOrder{Worker: w.ID, Task: task, Run: number})
}

// HandleStartResult processes the result of a start order. An accepted order confirms the run; an unanswered one is
// followed by a stop order, since the worker may carry it out; any other result releases the run. Unless the order was
// accepted, the other members of a gang's run are stopped too. A malformed order may be the fault of its task or of its worker,
// so it delays the task, and counts against the worker once another one has accepted the task.
func (c *Cell) HandleStartResult(o *StartOrder, result StartResult, now time.Time) {
	c.now = now
	w, ok := c.workers[o.Worker]
	if !ok {
		return
	}
	r := w.runs[o.Task]
	if r == nil || r.number != o.Run {
		return
	}
	g, t := r.group, &r.group.tasks[r.taskIndex]
	r.startResolvedAt = now
	if result.isResponse() {
		w.lastResponse = now
	}
	if result == StartAcceptedOnRetry || result == StartUnanswered {
		w.lateOrdersUntil = now.Add(cwclock.MaxCallDelay)
	}
	if result == StartAccepted || result == StartAcceptedOnRetry {
		r.confirmedAt, r.progressedAt, r.triedTwice = now, now, result == StartAcceptedOnRetry
		if r.state == runOrdered {
			r.state = runRunning
		}
		c.markStarted(g.job)
		c.resolveRejections(g, t, now)
		return
	}
	c.log(LogEntry{Event: "start-failed", Job: g.job.ID, Task: o.Task, Worker: w.ID, Run: o.Run, Detail: string(result)})
	switch result {
	case StartUnanswered:
		r.startUnanswered = true
		c.markSilent(w)
		if r.state == runOrdered {
			c.stopRun(r)
		}
		c.stopIncompleteGang(g, r.number)
		return
	case StartSupersededRun:
		t.highestRun += runNumberSkip
	case StartInvalidTicket:
		if g.advice != nil {
			g.advice.expireTicket(w.ID)
		}
	case StartUnhealthy:
		w.breaker.trip(now)
	case StartMalformed:
		g.delayRejected(t, w, now)
	case StartNoCapacity:
		w.breaker.pause(now, noCapacityPause)
	case StartNotSent:
		c.markSilent(w)
	case StartAccepted, StartAcceptedOnRetry, StartStaleFence, StartDeadlineExceeded, StartWorkerRestarted:
	}
	c.releaseRun(r, now)
	c.stopIncompleteGang(g, r.number)
}

// LateOrdersUntil returns the time until which a worker may carry out start orders of this owner that got no answer, also in its next incarnation if
// this owner has not called that; zero: there are none.
func (c *Cell) LateOrdersUntil(id cwmodel.HostID) time.Time {
	if w, ok := c.workers[id]; ok {
		return w.lateOrdersUntil
	}
	return time.Time{}
}

// RecordEarlierLeases records by when the leases of earlier owners' calls on the process that has accepted a start order have expired; zero: it is not
// known. This owner's end by LeaseExpiry. The bound counts until a report contains the run.
func (c *Cell) RecordEarlierLeases(o *StartOrder, expiry time.Time) {
	if w, ok := c.workers[o.Worker]; ok {
		if r := w.runs[o.Task]; r != nil && r.number == o.Run {
			r.earlierLeaseExpiry = expiry
		}
	}
}

// delayRejected delays the next start of a group after a worker has rejected an order of the task as malformed.
func (g *group) delayRejected(t *task, w *worker, now time.Time) {
	if !slices.Contains(t.rejectedBy, w.ID) {
		t.rejectedBy = append(t.rejectedBy, w.ID)
	}
	g.rejectionDelay = min(max(2*g.rejectionDelay, minRejectionDelay), maxRejectionDelay)
	g.delayedUntil = now.Add(g.rejectionDelay)
}

// resolveRejections ends the delays of a group after a worker has accepted a task, and opens the breakers of the workers that
// have rejected its orders as malformed.
func (c *Cell) resolveRejections(g *group, t *task, now time.Time) {
	g.rejectionDelay, g.delayedUntil = 0, time.Time{}
	for _, id := range t.rejectedBy {
		if w, ok := c.workers[id]; ok {
			w.breaker.trip(now)
			c.log(LogEntry{Event: "worker-quarantined", Worker: id, Detail: w.breaker.cooldown.String()})
		}
	}
	t.rejectedBy = nil
}

const (
	// minRejectionDelay and maxRejectionDelay bound the delay of a group after an order that was rejected as malformed. It doubles
	// with each further one.
	minRejectionDelay = 500 * time.Millisecond
	maxRejectionDelay = 30 * time.Second
	// runNumberSkip is added to a task's highest run number if the worker knows a higher one than this owner.
	runNumberSkip = 8
	// noCapacityPause suspends starts on a worker that has less free capacity than this owner assumed.
	noCapacityPause = 500 * time.Millisecond
)

// stopIncompleteGang stops the members of a gang's run, of which one could not start. It ignores groups that are not gangs.
func (c *Cell) stopIncompleteGang(g *group, number int) {
	if g.step.Gang && g.unfinished > 0 {
		c.stopMembers(g, number)
	}
}

// HandleStopResult processes the result of a stop order; confirmed is false if the order was not answered. The run is then
// released if its worker is unreachable and the leases there have expired; otherwise ResendStops sends the order again.
func (c *Cell) HandleStopResult(o *StopOrder, confirmed bool, now time.Time) {
	w, known := c.workers[o.Worker]
	if !known {
		return
	}
	if r := w.runs[o.Task]; r != nil && r.number == o.Run && r.state == runStopping {
		if confirmed {
			r.stopConfirmedAt, w.lastResponse = now, now
			return
		}
		c.expireLeases(w, now)
	}
}

// stopResendPeriod is the minimum time between two stop orders for the same run.
const stopResendPeriod = 600 * time.Millisecond

// ResendStops repeats the stop orders that a worker has not confirmed, each once per stopResendPeriod.
func (c *Cell) ResendStops(id cwmodel.HostID, now time.Time) {
	w, ok := c.workers[id]
	if !ok {
		return
	}
	for _, r := range w.sortedRuns() {
		if r.state == runStopping && r.stopConfirmedAt.IsZero() && now.Sub(r.stopSentAt) > stopResendPeriod {
			r.stopSentAt = now
			c.orderStop(w, r.key(), r.number)
		}
	}
}
