package cwcell

import (
	"time"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// StartResult is what became of a start order.
type StartResult string

// The closed set of results.
const (
	StartAccepted         StartResult = "accepted"
	StartUnanswered       StartResult = "unanswered" // it may be carried out until its deadline
	StartNotSent          StartResult = "not-sent"   // the worker has not seen it
	StartStaleFence       StartResult = "stale-fence"
	StartSupersededRun    StartResult = "old-run" // a run that is not lower was stopped or has ended there
	StartDeadlineExceeded StartResult = "late"    // it arrived after its deadline
	StartNoCapacity       StartResult = "no-room"
	StartInvalidTicket    StartResult = "no-ticket" // the ticket is not valid any more
	StartMalformed        StartResult = "malformed"
	StartUnhealthy        StartResult = "unhealthy" // the worker did nothing and will not soon
	StartWorkerRestarted  StartResult = "restarted" // the worker lives another life
)

// stop asks for the end of a run whose order may have been carried out.
func (c *Cell) stop(r *run) {
	switch r.state {
	case runPlanned:
		c.release(r, c.now)
	case runOrdered, runRunning:
		r.state, r.stopSent = runStopping, c.now
		c.orderStop(r.worker, r.key(), r.number)
	case runStopping:
	}
}

func (c *Cell) orderStop(w *worker, task cwwork.TaskKey, number int) {
	c.effects.Stops = append(c.effects.Stops, StopOrder{Worker: w.ID, Task: task, Run: number})
}

// HandleStartResult takes the answer of a start order.
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
	g, t := r.group, &r.group.tasks[r.index]
	if result == StartAccepted {
		r.confirmed, r.moved = now, now
		if r.state == runOrdered {
			r.state = runRunning
		}
		return
	}
	c.note(LogEntry{Event: "start-failed", Job: g.job.ID, Task: o.Task, Worker: w.ID, Run: o.Run, Detail: string(result)})
	switch result {
	case StartUnanswered:
		r.uncertain = true
		w.silent = true
		if r.state == runOrdered {
			c.stop(r)
		}
		c.abandon(g, r.number)
		return
	case StartSupersededRun:
		t.highest += runSkip
	case StartInvalidTicket:
		if g.advice != nil {
			g.advice.expire(w.ID)
		}
	case StartUnhealthy, StartMalformed:
		w.breaker.trip(now)
	case StartNoCapacity:
		w.breaker.until = now.Add(roomPause)
	case StartNotSent:
		w.silent = true
	case StartAccepted, StartStaleFence, StartDeadlineExceeded, StartWorkerRestarted:
	}
	c.release(r, now)
	c.abandon(g, r.number)
}

const (
	// runSkip is added to a run's number where the worker knows a higher one than this owner.
	runSkip = 8
	// roomPause keeps starts off a worker whose room this owner has judged wrongly.
	roomPause = 500 * time.Millisecond
)

// abandon stops the members of a gang that cannot be complete.
func (c *Cell) abandon(g *group, number int) {
	if g.step.Gang && g.left > 0 {
		c.stopMembers(g, number)
	}
}

// HandleStopResult takes the answer of a stop order; without one, the order has to be repeated.
func (c *Cell) HandleStopResult(o *StopOrder, ok bool, now time.Time) {
	w, known := c.workers[o.Worker]
	if !known {
		return
	}
	if r := w.runs[o.Task]; r != nil && r.number == o.Run && r.state == runStopping {
		if ok {
			r.stopped = now
			return
		}
		c.lapse(w, now)
	}
}

// stopPeriod is the least time between two orders to stop the same run.
const stopPeriod = 600 * time.Millisecond

// ResendStops orders again the stops on a worker that got no answer.
func (c *Cell) ResendStops(id cwmodel.HostID, now time.Time) {
	w, ok := c.workers[id]
	if !ok {
		return
	}
	for _, r := range w.sorted() {
		if r.state == runStopping && r.stopped.IsZero() && now.Sub(r.stopSent) > stopPeriod {
			r.stopSent = now
			c.orderStop(w, r.key(), r.number)
		}
	}
}
