package cwsimulation

import (
	"time"

	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwclaim"
	"currantward/internal/core/cwdecider"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
)

// orderPause is the pause before an order is sent again.
const orderPause = 100 * time.Millisecond

// order is one start or stop order until its effect is certain; cwdispatch does the same over HTTP.
type order struct {
	action   cwdecider.Action
	notAfter time.Time
	giveUp   time.Time // from then on the attempt is over by its lease
	received bool      // a start order may have reached the worker
	stopping bool
}

// order sends what the decider has decided.
func (h *host) order(action cwdecider.Action) {
	now := h.world.now
	o := &order{action: action, notAfter: now.Add(startWindow), stopping: action.Kind == cwdecider.ActionStop}
	if action.Task.Deadline.Before(o.notAfter) {
		o.notAfter = action.Task.Deadline
	}
	o.giveUp = cwclaim.LeaseExpiryBound(now.Add(2*startWindow), action.Task.Lease)
	if l, ok := h.links[action.Attempt.Worker]; ok && !o.stopping {
		l.open++
		h.world.oracle.ordered(h, l.worker)
	}
	h.after(0, func() { h.send(o) }) // never inside the decider's own step
}

func (h *host) send(o *order) {
	l, ok := h.links[o.action.Attempt.Worker]
	switch {
	case !ok && !o.stopping && !o.received:
		h.neverBegan(o)
	case !ok && h.world.now.Before(o.giveUp):
		h.again(o)
	case !ok:
	case o.stopping || (o.received && l.epoch != o.action.Attempt.Epoch):
		h.sendStop(l, o)
	default:
		h.sendStart(l, o)
	}
}

func (h *host) again(o *order) {
	h.after(orderPause, func() { h.send(o) })
}

func (h *host) neverBegan(o *order) {
	h.closeOrder(o.action.Attempt)
	h.ended(cwmodel.Result{Attempt: o.action.Attempt, End: cwmodel.EndNotStarted, EndedAt: h.world.now})
}

// closeOrder notes that an attempt is known to be over.
func (h *host) closeOrder(attempt cwmodel.Attempt) {
	if l, ok := h.links[attempt.Worker]; ok && l.open > 0 {
		l.open--
	}
}

func (h *host) sendStart(l *link, o *order) {
	latest := o.notAfter
	if l.hold.Until.Before(latest) {
		latest = l.hold.Until
	}
	if !o.received && (!h.world.now.Before(latest) || l.epoch != o.action.Attempt.Epoch) {
		h.neverBegan(o)
		return
	}
	start := cwport.StartRequest{Task: o.action.Task, Attempt: o.action.Attempt, NotAfter: l.hold.Clock.Earliest(latest)}
	exec := func() (struct{}, error) {
		before := l.worker.StartedAttempts()
		runTime, err := l.worker.Start(start)
		h.world.oracle.refused(l.worker, start, err)
		if l.worker.StartedAttempts() > before {
			h.world.oracle.began(l.worker, start.Attempt.Epoch)
			h.world.after(max(runTime, 0), l.worker.Advance)
		}
		return struct{}{}, err
	}
	call(h, l.worker, exec, func(_ struct{}, code cwfault.Code) { h.started(l, o, code) })
}

// started handles the answer to a start order; after a lost one only a stop order tells what became of it.
func (h *host) started(l *link, o *order, code cwfault.Code) {
	if code == cwfault.StaleEpoch {
		h.stale(l.worker.about.ID, l.epoch)
	}
	switch {
	case code == "":
	case !o.received && (code == cwfault.StaleEpoch || code == cwfault.Refused || code == cwfault.Unavailable):
		h.neverBegan(o)
	case code == cwfault.StaleEpoch:
	case code == cwfault.Refused || !h.world.now.Before(o.notAfter):
		o.received, o.stopping = true, true
		h.again(o)
	default:
		o.received = true
		h.again(o)
	}
}

// sendStop ends an attempt under the present epoch.
func (h *host) sendStop(l *link, o *order) {
	attempt := o.action.Attempt
	attempt.Epoch = l.epoch
	exec := func() (cwmodel.Result, error) { return l.worker.Stop(attempt, cwmodel.StopNow) }
	call(h, l.worker, exec, func(r cwmodel.Result, code cwfault.Code) {
		switch {
		case code == "":
			r.Attempt = o.action.Attempt
			h.closeOrder(r.Attempt)
			h.ended(r)
		case code == cwfault.StaleEpoch:
			h.stale(l.worker.about.ID, l.epoch)
		case code != cwfault.NotFound && h.world.now.Before(o.giveUp):
			h.again(o)
		}
	})
}
