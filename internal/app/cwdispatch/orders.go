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

// Pauses before an order is sent again.
const (
	minRetryPause = 20 * time.Millisecond
	maxRetryPause = time.Second
	poolFullPause = 5 * time.Millisecond // if the goroutine pool is full
)

// order is a start or stop order whose effect is not yet certain.
type order struct {
	action        cwdecider.Action
	startBy       time.Time // local time from which the worker must not start the attempt any more
	leaseExpiry   time.Time // local time from which the lease of the attempt has certainly expired
	maybeReceived bool      // a start order may have reached the worker
	isStop        bool      // it is a stop order, or a start order whose effect a stop order must find out
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

// decideAfterStart returns the next step after a call that sent a start order. An empty code is a success, maybeReceived means that an
// earlier call may have reached the worker, and late means that the start window has passed.
//
// A refusal proves that the attempt never started only if no earlier order may have reached the worker:
// after a lost response, a refusal may mean that the attempt has already started and ended.
func decideAfterStart(code cwfault.Code, maybeReceived, late bool) decision {
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

// decideAfterStop returns the next step after a call that sent a stop order, by the code of its error; an empty code is a success.
// The argument expired means that the lease of the attempt has certainly expired, so that a failed order is not sent again.
func decideAfterStop(code cwfault.Code, expired bool) decision {
	switch {
	case code == "" || code == cwfault.NotFound:
		return decisionDone
	case code == cwfault.StaleEpoch || expired:
		return decisionDrop
	}
	return decisionRetry
}

// SendOrder sends one start or stop order on a goroutine of the pool, and again until its effect is certain. It never blocks.
//
// An attempt that certainly did not start is reported to HandleResult. A full pool delays the order.
func (d *Dispatcher) SendOrder(action cwdecider.Action) {
	now := d.opts.Timer.Now()
	o := &order{action: action, startBy: now.Add(d.opts.StartWindow), isStop: action.Kind == cwdecider.ActionStop}
	if deadline := action.Task.Deadline; !deadline.IsZero() && deadline.Before(o.startBy) {
		o.startBy = deadline
	}
	// The worker may start the attempt up to one StartWindow from now; the second one is a margin.
	o.leaseExpiry = cwclaim.LeaseExpiryBound(now.Add(2*d.opts.StartWindow), action.Task.Lease)
	if !o.isStop && !action.Task.Durable {
		d.trackRequestAttempt(action.Attempt)
	}
	if d.opts.Pool.Submit(func() { d.execute(o) }) != nil {
		d.retryAfterPause(o, poolFullPause)
	}
}

// retryAfterPause puts an order into the retry queue after a pause; if the queue is full, after another pause.
func (d *Dispatcher) retryAfterPause(o *order, pause time.Duration) {
	d.opts.Timer.After(pause, func(time.Time) {
		if !d.retryQueue.Offer(o) {
			d.retryAfterPause(o, maxRetryPause)
		}
	})
}

// runRetries is the duty that sends the orders of the retry queue on the pool. If the pool stays full, a start order that the worker
// cannot have received is reported as not started at the end of its start window.
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

// isStartTooLate reports whether the start window of an order has passed.
func (d *Dispatcher) isStartTooLate(o *order) bool { return !d.opts.Timer.Now().Before(o.startBy) }

// execute makes one call for an order and takes the next step that its result requires.
//
// If a start order may have reached the worker under an epoch that is not current any more, a stop order finds out its effect.
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

// handleUnowned handles an order for a worker that this host does not own now. A start that the worker cannot have received is reported as
// not started. Any other order is retried until the lease of the attempt has expired, in case this host claims the worker again, and then
// dropped.
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

// sendStart sends a start order to the worker. An order that the worker cannot have received is reported as not started instead if its
// start window or the claim has ended, or the worker was claimed under another epoch.
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
	next := decideAfterStart(code, o.maybeReceived, d.isStartTooLate(o))
	o.maybeReceived = o.maybeReceived || mayHaveReached(code)
	if code == cwfault.StaleEpoch {
		d.opts.OnStaleEpoch(o.action.Attempt.Worker, conn.epoch)
	}
	d.applyDecision(o, next, err)
}

// mayHaveReached reports whether an order may have reached the worker although its call failed with code; it is false for a call that
// succeeded, since no retry follows.
func mayHaveReached(code cwfault.Code) bool {
	return code != "" && code != cwfault.Unavailable && code != cwfault.Refused && code != cwfault.StaleEpoch
}

// sendStop sends a stop order under the current epoch of the claim, which may be larger than that of the attempt.
//
// An empty mode means StopNow. The response shows whether the attempt ever started. Except for a throttle, which does not end the attempt,
// the result is reported. A failed order for a durable task is retried even after the lease has expired.
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
	d.applyDecision(o, decideAfterStop(code, !o.action.Task.Durable && !d.opts.Timer.Now().Before(o.leaseExpiry)), err)
}

// applyDecision takes the next step for an order; err is that of its latest call.
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

// retry schedules a resend of an order after a pause that doubles with each retry, up to maxRetryPause. It does nothing once the dispatcher
// is stopped.
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

// drop gives up an order whose effect remains unknown; the attempt ends at the latest when its lease expires.
func (d *Dispatcher) drop(o *order) {
	d.droppedCount.Add(1)
	d.untrackRequestAttempt(o.action.Attempt)
	d.opts.Log.WithFields(logrus.Fields{
		"task": o.action.Attempt.Task, "worker": o.action.Attempt.Worker, "order": o.action.Kind, "tries": o.retries,
	}).Warn("order-dropped")
}

// reportNotStarted reports that the attempt of an order never starts.
func (d *Dispatcher) reportNotStarted(o *order, message string) {
	d.reportResult(cwmodel.Result{Attempt: o.action.Attempt, End: cwmodel.EndNotStarted, Message: message, EndedAt: d.opts.Timer.Now()})
}

// reportResult passes a result that is known from an order to HandleResult. The poller may deliver the same result once more, from the
// worker's own record.
func (d *Dispatcher) reportResult(result cwmodel.Result) {
	d.untrackRequestAttempt(result.Attempt)
	_, _ = d.opts.HandleResult(d.ctx, result)
}
