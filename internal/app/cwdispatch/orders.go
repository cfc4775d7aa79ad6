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
	firstPause = 20 * time.Millisecond
	longPause  = time.Second
	poolPause  = 5 * time.Millisecond // while the pool is full
)

// order is one start or stop order until its effect is certain.
type order struct {
	action   cwdecider.Action
	notAfter time.Time // local time after which a start does not begin
	giveUp   time.Time // local time from which the attempt is over by its lease
	received bool      // a start order may have reached the worker
	stopping bool
	tries    int
}

// verdict says what follows a call that carried an order.
type verdict string

const (
	verdictSettled    verdict = "settled"     // nothing more to do
	verdictNeverBegan verdict = "never-began" // the attempt will never begin
	verdictRepeat     verdict = "repeat"      // send it again after a pause
	verdictStop       verdict = "stop"        // ask by a stop order whether the attempt began
	verdictDrop       verdict = "drop"        // only the lease can settle it
)

// afterStart returns what follows a start order.
//
// Only the answer to the first order tells that an attempt never began: after one whose answer was
// lost, a refusal may mean that the attempt has begun and is over.
func afterStart(code cwfault.Code, received, late bool) verdict {
	switch code {
	case "":
		return verdictSettled
	case cwfault.StaleEpoch:
		if received {
			return verdictDrop
		}
		return verdictNeverBegan
	case cwfault.Refused:
		if received {
			return verdictStop
		}
		return verdictNeverBegan
	case cwfault.Unavailable:
		if !received {
			return verdictNeverBegan
		}
	}
	if late {
		return verdictStop
	}
	return verdictRepeat
}

// afterStop returns what follows a stop order; over says that the lease of the attempt has certainly ended.
func afterStop(code cwfault.Code, over bool) verdict {
	switch {
	case code == "" || code == cwfault.NotFound:
		return verdictSettled
	case code == cwfault.StaleEpoch || over:
		return verdictDrop
	}
	return verdictRepeat
}

// SendOrder sends one start or stop order from the pool; it never blocks.
func (l *Dispatcher) SendOrder(action cwdecider.Action) {
	now := l.opts.Timer.Now()
	o := &order{action: action, notAfter: now.Add(l.opts.StartWindow), stopping: action.Kind == cwdecider.ActionStop}
	if deadline := action.Task.Deadline; !deadline.IsZero() && deadline.Before(o.notAfter) {
		o.notAfter = deadline
	}
	o.giveUp = cwclaim.LeaseExpiryBound(now.Add(2*l.opts.StartWindow), action.Task.Lease)
	if !o.stopping && !action.Task.Durable {
		l.noteOpen(action.Attempt)
	}
	if l.opts.Pool.Submit(func() { l.carryOut(o) }) != nil {
		l.later(o, poolPause)
	}
}

// later puts an order back into the ring of retries after a pause.
func (l *Dispatcher) later(o *order, pause time.Duration) {
	l.opts.Timer.After(pause, func(time.Time) {
		if !l.retries.Offer(o) {
			l.later(o, longPause)
		}
	})
}

// retry is the duty that sends orders again.
func (l *Dispatcher) retry(ctx context.Context) {
	for ctx.Err() == nil {
		o, ok := l.retries.Take(ctx)
		switch {
		case !ok:
			return
		case l.opts.Pool.Submit(func() { l.carryOut(o) }) == nil:
		case !o.stopping && !o.received && l.isLate(o):
			l.neverBegan(o, "the pool for orders is full")
		default:
			l.later(o, poolPause)
		}
	}
}

func (l *Dispatcher) isLate(o *order) bool { return !l.opts.Timer.Now().Before(o.notAfter) }

// carryOut makes one call for an order and decides what follows.
func (l *Dispatcher) carryOut(o *order) {
	found, ok := l.find(o.action.Attempt.Worker)
	switch {
	case !ok:
		l.unowned(o)
	case o.stopping || (o.received && found.epoch != o.action.Attempt.Epoch):
		l.stop(found, o)
	default:
		l.start(found, o)
	}
}

// unowned handles an order for a worker that this host does not own at present.
func (l *Dispatcher) unowned(o *order) {
	switch {
	case !o.stopping && !o.received:
		l.neverBegan(o, "the worker is not owned")
	case l.opts.Timer.Now().Before(o.giveUp):
		l.again(o)
	default:
		l.drop(o)
	}
}

func (l *Dispatcher) start(found connection, o *order) {
	now := l.opts.Timer.Now()
	latest := o.notAfter
	if found.hold.Until.Before(latest) {
		latest = found.hold.Until
	}
	if !o.received && (!now.Before(latest) || found.epoch != o.action.Attempt.Epoch) {
		l.neverBegan(o, "the claim or the time to begin has ended")
		return
	}
	ctx, cancel := context.WithTimeout(l.ctx, l.opts.OrderTimeout)
	defer cancel()
	err := l.opts.Workers.Start(ctx, found.addr, cwport.StartRequest{
		Task: o.action.Task, Attempt: o.action.Attempt, NotAfter: found.hold.Clock.Earliest(latest),
	})
	code := cwfault.CodeOf(err)
	followUp := afterStart(code, o.received, l.isLate(o))
	o.received = o.received || isIndefinite(code)
	if code == cwfault.StaleEpoch {
		l.opts.OnStaleEpoch(o.action.Attempt.Worker, found.epoch)
	}
	l.follow(o, followUp, err)
}

// isIndefinite reports whether an order that failed with code may have reached the worker.
func isIndefinite(code cwfault.Code) bool {
	return code != "" && code != cwfault.Unavailable && code != cwfault.Refused && code != cwfault.StaleEpoch
}

// stop ends an attempt under the present epoch; the answer says whether it ever began.
func (l *Dispatcher) stop(found connection, o *order) {
	ctx, cancel := context.WithTimeout(l.ctx, l.opts.OrderTimeout)
	defer cancel()
	mode := o.action.Mode
	if mode == "" {
		mode = cwmodel.StopNow
	}
	attempt := o.action.Attempt
	attempt.Epoch = found.epoch
	result, err := l.opts.Workers.Stop(ctx, found.addr, attempt, mode)
	code := cwfault.CodeOf(err)
	if code == cwfault.StaleEpoch {
		l.opts.OnStaleEpoch(attempt.Worker, found.epoch)
	}
	if code == "" && mode != cwmodel.StopThrottle {
		if result.End == cwmodel.EndNotStarted && attempt.Epoch != o.action.Attempt.Epoch {
			result.End, result.Message = cwmodel.EndLeaseExpired, "the worker has no record of it" // it may have run before a restart
		}
		result.Attempt = o.action.Attempt
		l.ended(result)
	}
	l.follow(o, afterStop(code, !o.action.Task.Durable && !l.opts.Timer.Now().Before(o.giveUp)), err)
}

func (l *Dispatcher) follow(o *order, followUp verdict, err error) {
	switch followUp {
	case verdictNeverBegan:
		l.neverBegan(o, cwfault.MessageOf(err))
	case verdictStop:
		o.stopping = true
		l.again(o)
	case verdictRepeat:
		l.again(o)
	case verdictDrop:
		l.drop(o)
	case verdictSettled:
	}
}

// again sends an order once more after a pause that doubles each time.
func (l *Dispatcher) again(o *order) {
	if l.ctx.Err() != nil {
		return
	}
	l.repeated.Add(1)
	const most = 6
	pause := min(firstPause<<min(o.tries, most), longPause)
	o.tries++
	l.later(o, pause)
}

func (l *Dispatcher) drop(o *order) {
	l.dropped.Add(1)
	l.noteEnded(o.action.Attempt)
	l.opts.Log.WithFields(logrus.Fields{
		"task": o.action.Attempt.Task, "worker": o.action.Attempt.Worker, "order": o.action.Kind, "tries": o.tries,
	}).Warn("order-dropped")
}

func (l *Dispatcher) neverBegan(o *order, message string) {
	l.ended(cwmodel.Result{Attempt: o.action.Attempt, End: cwmodel.EndNotStarted, Message: message, EndedAt: l.opts.Timer.Now()})
}

// ended hands over a result that came as the answer to an order; the worker's own record is read by the poll.
func (l *Dispatcher) ended(result cwmodel.Result) {
	l.noteEnded(result.Attempt)
	_, _ = l.opts.HandleResult(l.ctx, result)
}
