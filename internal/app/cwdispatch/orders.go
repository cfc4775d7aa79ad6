package cwdispatch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwclaim"
	"currantward/internal/core/cwdecider"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
)

// Pauses before an order is retried.
const (
	minRetryPause = 20 * time.Millisecond
	maxRetryPause = time.Second
	poolFullPause = 5 * time.Millisecond // while the goroutine pool is full
)

// order is a start or stop order whose effect is not yet certain.
type order struct {
	action        cwdecider.Action
	startBy       time.Time // local time after which a start is no longer allowed
	leaseExpiry   time.Time // local time from which the lease of the attempt has certainly expired
	maybeReceived bool      // a start order may have reached the worker
	isStop        bool
	retries       int
}

// decision is the next step after a call that sent an order.
type decision string

const (
	decisionDone       decision = "settled"     // no further step
	decisionNotStarted decision = "never-began" // the attempt will never start
	decisionRetry      decision = "repeat"      // send the order again after a pause
	decisionStop       decision = "stop"        // send a stop order to find out whether the attempt started
	decisionDrop       decision = "drop"        // give up; the attempt ends at the latest when its lease expires
)

// decideStart returns the next step after a start order.
//
// A refusal proves that the attempt never started only if no earlier order may have reached the worker:
// after a lost response, a refusal may mean that the attempt has already started and ended.
func decideStart(code cwfault.Code, maybeReceived, late bool) decision {
	switch code {
	case "":
		return decisionDone
	case cwfault.StaleEpoch:
		if maybeReceived {
			return decisionDrop
		}
		return decisionNotStarted
	case cwfault.Refused:
		if maybeReceived {
			return decisionStop
		}
		return decisionNotStarted
	case cwfault.Unavailable:
		if !maybeReceived {
			return decisionNotStarted
		}
	}
	if late {
		return decisionStop
	}
	return decisionRetry
}

// decideStop returns the next step after a stop order; expired means that the lease of the attempt has certainly expired.
func decideStop(code cwfault.Code, expired bool) decision {
	switch {
	case code == "" || code == cwfault.NotFound:
		return decisionDone
	case code == cwfault.StaleEpoch || expired:
		return decisionDrop
	}
	return decisionRetry
}

// SendOrder sends one start or stop order from the pool. It never blocks.
func (d *Dispatcher) SendOrder(action cwdecider.Action) {
	now := d.opts.Timer.Now()
	o := &order{action: action, startBy: now.Add(d.opts.StartWindow), isStop: action.Kind == cwdecider.ActionStop}
	if deadline := action.Task.Deadline; !deadline.IsZero() && deadline.Before(o.startBy) {
		o.startBy = deadline
	}
	o.leaseExpiry = cwclaim.LeaseExpiryBound(now.Add(2*d.opts.StartWindow), action.Task.Lease)
	if !o.isStop && !action.Task.Durable {
		d.trackRequestAttempt(action.Attempt)
	}
	if d.opts.Pool.Submit(func() { d.execute(o) }) != nil {
		d.retryAfterPause(o, poolFullPause)
	}
}

// retryAfterPause puts an order into the retry queue after a pause.
func (d *Dispatcher) retryAfterPause(o *order, pause time.Duration) {
	d.opts.Timer.After(pause, func(time.Time) {
		if !d.retryQueue.Offer(o) {
			d.retryAfterPause(o, maxRetryPause)
		}
	})
}

// runRetries is the duty that sends the orders of the retry queue.
func (d *Dispatcher) runRetries(ctx context.Context) {
	for ctx.Err() == nil {
		o, ok := d.retryQueue.Take(ctx)
		switch {
		case !ok:
			return
		case d.opts.Pool.Submit(func() { d.execute(o) }) == nil:
		case !o.isStop && !o.maybeReceived && d.isStartTooLate(o):
			d.reportNotStarted(o, "the pool for orders is full")
		default:
			d.retryAfterPause(o, poolFullPause)
		}
	}
}

func (d *Dispatcher) isStartTooLate(o *order) bool { return !d.opts.Timer.Now().Before(o.startBy) }

// execute makes one call for an order and decides on the next step.
func (d *Dispatcher) execute(o *order) {
	conn, ok := d.connectionTo(o.action.Attempt.Worker)
	switch {
	case !ok:
		d.handleUnowned(o)
	case o.isStop || (o.maybeReceived && conn.epoch != o.action.Attempt.Epoch):
		d.sendStop(conn, o)
	default:
		d.sendStart(conn, o)
	}
}

// handleUnowned handles an order for a worker that this host does not own now.
func (d *Dispatcher) handleUnowned(o *order) {
	switch {
	case !o.isStop && !o.maybeReceived:
		d.reportNotStarted(o, "the worker is not owned")
	case d.opts.Timer.Now().Before(o.leaseExpiry):
		d.retry(o)
	default:
		d.drop(o)
	}
}

func (d *Dispatcher) sendStart(conn connection, o *order) {
	now := d.opts.Timer.Now()
	latest := o.startBy
	if conn.validity.Until.Before(latest) {
		latest = conn.validity.Until
	}
	if !o.maybeReceived && (!now.Before(latest) || conn.epoch != o.action.Attempt.Epoch) {
		d.reportNotStarted(o, "the claim or the time to begin has ended")
		return
	}
	ctx, cancel := context.WithTimeout(d.ctx, d.opts.OrderTimeout)
	defer cancel()
	err := d.opts.Workers.Start(ctx, conn.workerAddr, cwport.StartRequest{
		Task: o.action.Task, Attempt: o.action.Attempt, NotAfter: conn.validity.Clock.Earliest(latest),
	})
	code := cwfault.CodeOf(err)
	next := decideStart(code, o.maybeReceived, d.isStartTooLate(o))
	o.maybeReceived = o.maybeReceived || mayHaveReached(code)
	if code == cwfault.StaleEpoch {
		d.opts.OnStaleEpoch(o.action.Attempt.Worker, conn.epoch)
	}
	d.applyDecision(o, next, err)
}

// mayHaveReached reports whether an order that failed with code may have reached the worker.
func mayHaveReached(code cwfault.Code) bool {
	return code != "" && code != cwfault.Unavailable && code != cwfault.Refused && code != cwfault.StaleEpoch
}

// sendStop ends an attempt under the current epoch. The response shows whether the attempt ever started.
func (d *Dispatcher) sendStop(conn connection, o *order) {
	ctx, cancel := context.WithTimeout(d.ctx, d.opts.OrderTimeout)
	defer cancel()
	mode := o.action.Mode
	if mode == "" {
		mode = cwmodel.StopNow
	}
	attempt := o.action.Attempt
	attempt.Epoch = conn.epoch
	result, err := d.opts.Workers.Stop(ctx, conn.workerAddr, attempt, mode)
	code := cwfault.CodeOf(err)
	if code == cwfault.StaleEpoch {
		d.opts.OnStaleEpoch(attempt.Worker, conn.epoch)
	}
	if code == "" && mode != cwmodel.StopThrottle {
		if result.End == cwmodel.EndNotStarted && attempt.Epoch != o.action.Attempt.Epoch {
			result.End, result.Message = cwmodel.EndLeaseExpired, "the worker has no record of it" // it may have run before the worker restarted
		}
		result.Attempt = o.action.Attempt
		d.reportResult(result)
	}
	d.applyDecision(o, decideStop(code, !o.action.Task.Durable && !d.opts.Timer.Now().Before(o.leaseExpiry)), err)
}

func (d *Dispatcher) applyDecision(o *order, next decision, err error) {
	switch next {
	case decisionNotStarted:
		d.reportNotStarted(o, cwfault.MessageOf(err))
	case decisionStop:
		o.isStop = true
		d.retry(o)
	case decisionRetry:
		d.retry(o)
	case decisionDrop:
		d.drop(o)
	case decisionDone:
	}
}

// retry sends an order again after a pause that doubles with each retry.
func (d *Dispatcher) retry(o *order) {
	if d.ctx.Err() != nil {
		return
	}
	d.retryCount.Add(1)
	const maxDoublings = 6
	pause := min(minRetryPause<<min(o.retries, maxDoublings), maxRetryPause)
	o.retries++
	d.retryAfterPause(o, pause)
}

func (d *Dispatcher) drop(o *order) {
	d.droppedCount.Add(1)
	d.untrackRequestAttempt(o.action.Attempt)
	d.opts.Log.WithFields(logrus.Fields{
		"task": o.action.Attempt.Task, "worker": o.action.Attempt.Worker, "order": o.action.Kind, "tries": o.retries,
	}).Warn("order-dropped")
}

func (d *Dispatcher) reportNotStarted(o *order, message string) {
	d.reportResult(cwmodel.Result{Attempt: o.action.Attempt, End: cwmodel.EndNotStarted, Message: message, EndedAt: d.opts.Timer.Now()})
}

// reportResult delivers a result that arrived in the response to an order. The poller reads the worker's own record as well.
func (d *Dispatcher) reportResult(result cwmodel.Result) {
	d.untrackRequestAttempt(result.Attempt)
	_, _ = d.opts.HandleResult(d.ctx, result)
}
