package cwsimulation

import (
	"time"

	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwclaim"
	"currantward/internal/core/cwdecider"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
)

// orderRetryPause is the pause before an order is resent.
const orderRetryPause = 100 * time.Millisecond

// order is a start or stop order that is resent until its effect is known. Package cwdispatch does the same over HTTP.
type order struct {
	action         cwdecider.Action
	notAfter       time.Time
	expiresAt      time.Time // afterwards the lease of the attempt has expired in any case
	mayHaveArrived bool      // a start order may have reached the worker
	isStop         bool
}

// dispatchOrder sends the order of a start or stop action.
func (h *host) dispatchOrder(action cwdecider.Action) {
	now := h.sim.now
	o := &order{action: action, notAfter: now.Add(startWindow), isStop: action.Kind == cwdecider.ActionStop}
	if action.Task.Deadline.Before(o.notAfter) {
		o.notAfter = action.Task.Deadline
	}
	o.expiresAt = cwclaim.LeaseExpiryBound(now.Add(2*startWindow), action.Task.Lease)
	if w, ok := h.owned[action.Attempt.Worker]; ok && !o.isStop {
		w.openOrders++
		h.sim.oracle.checkStartOrder(h, w.worker)
	}
	h.schedule(0, func() { h.sendOrder(o) }) // never within the step of the decider that returned the action
}

func (h *host) sendOrder(o *order) {
	w, ok := h.owned[o.action.Attempt.Worker]
	switch {
	case !ok && !o.isStop && !o.mayHaveArrived:
		h.reportNotStarted(o)
	case !ok && h.sim.now.Before(o.expiresAt):
		h.retryOrder(o)
	case !ok:
	case o.isStop || (o.mayHaveArrived && w.epoch != o.action.Attempt.Epoch):
		h.sendStop(w, o)
	default:
		h.sendStart(w, o)
	}
}

func (h *host) retryOrder(o *order) {
	h.schedule(orderRetryPause, func() { h.sendOrder(o) })
}

func (h *host) reportNotStarted(o *order) {
	h.closeOrder(o.action.Attempt)
	h.handleResult(cwmodel.Result{Attempt: o.action.Attempt, End: cwmodel.EndNotStarted, EndedAt: h.sim.now})
}

// closeOrder records that an attempt is known to have ended.
func (h *host) closeOrder(attempt cwmodel.Attempt) {
	if w, ok := h.owned[attempt.Worker]; ok && w.openOrders > 0 {
		w.openOrders--
	}
}

func (h *host) sendStart(w *ownedWorker, o *order) {
	latest := o.notAfter
	if w.claimValidity.Until.Before(latest) {
		latest = w.claimValidity.Until
	}
	if !o.mayHaveArrived && (!h.sim.now.Before(latest) || w.epoch != o.action.Attempt.Epoch) {
		h.reportNotStarted(o)
		return
	}
	start := cwport.StartRequest{Task: o.action.Task, Attempt: o.action.Attempt, NotAfter: w.claimValidity.Clock.Earliest(latest)}
	exec := func() (struct{}, error) {
		startedBefore := w.worker.StartedAttempts()
		runTime, err := w.worker.Start(start)
		h.sim.oracle.checkRefusal(w.worker, start, err)
		if w.worker.StartedAttempts() > startedBefore {
			h.sim.oracle.checkEpoch(w.worker, start.Attempt.Epoch)
			h.sim.schedule(max(runTime, 0), w.worker.Advance)
		}
		return struct{}{}, err
	}
	callWorker(h, w.worker, exec, func(_ struct{}, code cwfault.Code) { h.handleStartResponse(w, o, code) })
}

// handleStartResponse handles the response to a start order. Once a response was lost, only a stop order can tell whether the attempt
// started.
func (h *host) handleStartResponse(w *ownedWorker, o *order, code cwfault.Code) {
	if code == cwfault.StaleEpoch {
		h.handleStaleEpoch(w.worker.spec.ID, w.epoch)
	}
	switch {
	case code == "":
	case !o.mayHaveArrived && (code == cwfault.StaleEpoch || code == cwfault.Refused || code == cwfault.Unavailable):
		h.reportNotStarted(o)
	case code == cwfault.StaleEpoch:
	case code == cwfault.Refused || !h.sim.now.Before(o.notAfter):
		o.mayHaveArrived, o.isStop = true, true
		h.retryOrder(o)
	default:
		o.mayHaveArrived = true
		h.retryOrder(o)
	}
}

// sendStop stops an attempt under the current epoch.
func (h *host) sendStop(w *ownedWorker, o *order) {
	attempt := o.action.Attempt
	attempt.Epoch = w.epoch
	exec := func() (cwmodel.Result, error) { return w.worker.Stop(attempt, cwmodel.StopNow) }
	callWorker(h, w.worker, exec, func(r cwmodel.Result, code cwfault.Code) {
		switch {
		case code == "":
			r.Attempt = o.action.Attempt
			h.closeOrder(r.Attempt)
			h.handleResult(r)
		case code == cwfault.StaleEpoch:
			h.handleStaleEpoch(w.worker.spec.ID, w.epoch)
		case code != cwfault.NotFound && h.sim.now.Before(o.expiresAt):
			h.retryOrder(o)
		}
	})
}
