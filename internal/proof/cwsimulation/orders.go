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

// order is a start or stop order that is resent until its effect is known. It simulates package cwdispatch, which sends orders over
// HTTP.
type order struct {
	action         cwdecider.Action
	notAfter       time.Time // when the worker starts rejecting a start order
	leaseExpiresAt time.Time // latest time at which the lease of the attempt expires; stop orders are not resent afterwards
	mayHaveArrived bool      // a start order may have reached the worker
	isStop         bool      // false: a start order
}

// dispatchOrder sends the order of a start or stop action.
func (h *host) dispatchOrder(action cwdecider.Action) {
	now := h.sim.now
	o := &order{action: action, notAfter: now.Add(requestWindow), isStop: action.Kind == cwdecider.ActionStop}
	if action.Task.Deadline.Before(o.notAfter) {
		o.notAfter = action.Task.Deadline
	}
	o.leaseExpiresAt = cwclaim.LeaseExpiryBound(now.Add(2*requestWindow), action.Task.Lease)
	if w, ok := h.owned[action.Attempt.Worker]; ok && !o.isStop {
		w.openRequests++
		h.sim.oracle.checkStartOrder(h, w.worker)
	}
	h.schedule(0, func() { h.sendOrder(o) }) // as a step of its own, since updateDecider still executes actions
}

// sendOrder sends an order to its worker. A start order that may have arrived under an earlier epoch is sent as a stop order.
//
// If this host no longer owns the worker, a start order that certainly did not arrive ends as not started. Any other order is
// retried until the lease of the attempt has expired.
func (h *host) sendOrder(o *order) {
	w, ok := h.owned[o.action.Attempt.Worker]
	switch {
	case !ok && !o.isStop && !o.mayHaveArrived:
		h.handleNotStarted(o)
	case !ok && h.sim.now.Before(o.leaseExpiresAt):
		h.retryOrder(o)
	case !ok:
	case o.isStop || (o.mayHaveArrived && w.epoch != o.action.Attempt.Epoch):
		h.sendStop(w, o)
	default:
		h.sendStart(w, o)
	}
}

// retryOrder sends an order again after a pause.
func (h *host) retryOrder(o *order) {
	h.schedule(orderRetryPause, func() { h.sendOrder(o) })
}

// handleNotStarted reports to the decider that the attempt of a start order was certainly not started.
func (h *host) handleNotStarted(o *order) {
	h.closeRequest(o.action.Attempt)
	h.handleResult(cwmodel.Result{Attempt: o.action.Attempt, End: cwmodel.EndNotStarted, EndedAt: h.sim.now})
}

// closeRequest records that an attempt is known to have ended, so that a worker without open requests can be handed over.
func (h *host) closeRequest(attempt cwmodel.Attempt) {
	if w, ok := h.owned[attempt.Worker]; ok && w.openRequests > 0 {
		w.openRequests--
	}
}

// sendStart sends a start order that the worker rejects after the end of the request window, the deadline or the claim. A first
// sending that would be too late is not made.
func (h *host) sendStart(w *ownedWorker, o *order) {
	notAfter := o.notAfter
	if w.claimValidity.Until.Before(notAfter) {
		notAfter = w.claimValidity.Until
	}
	if !o.mayHaveArrived && (!h.sim.now.Before(notAfter) || w.epoch != o.action.Attempt.Epoch) {
		h.handleNotStarted(o)
		return
	}
	start := cwport.StartRequest{Task: o.action.Task, Attempt: o.action.Attempt, NotAfter: w.claimValidity.Clock.Earliest(notAfter)}
	exec := func() (struct{}, error) {
		startedBefore := w.worker.StartedAttempts()
		runTime, err := w.worker.Start(start)
		h.sim.oracle.checkNotOvercommitted(w.worker, start, err)
		if w.worker.StartedAttempts() > startedBefore {
			h.sim.oracle.checkEpoch(w.worker, start.Attempt.Epoch)
			h.sim.schedule(max(runTime, 0), w.worker.Advance)
		}
		return struct{}{}, err
	}
	callWorker(h, w.worker, exec, func(_ struct{}, code cwfault.Code) { h.handleStartResponse(w, o, code) })
}

// handleStartResponse handles the response to a start order. After a lost response, a rejection leaves open whether the attempt was
// started before, so a stop order asks the worker for its result.
func (h *host) handleStartResponse(w *ownedWorker, o *order, code cwfault.Code) {
	if code == cwfault.StaleEpoch {
		h.handleStaleEpoch(w.worker.spec.ID, w.epoch)
	}
	switch {
	case code == "":
	case !o.mayHaveArrived && (code == cwfault.StaleEpoch || code == cwfault.Refused || code == cwfault.Unavailable):
		h.handleNotStarted(o)
	case code == cwfault.StaleEpoch:
	case code == cwfault.Refused || !h.sim.now.Before(o.notAfter):
		o.mayHaveArrived, o.isStop = true, true
		h.retryOrder(o)
	default:
		o.mayHaveArrived = true
		h.retryOrder(o)
	}
}

// sendStop stops an attempt under the current epoch, and passes its result to the decider. It retries until the lease of the attempt
// has expired.
func (h *host) sendStop(w *ownedWorker, o *order) {
	attempt := o.action.Attempt
	attempt.Epoch = w.epoch
	exec := func() (cwmodel.Result, error) { return w.worker.Stop(attempt, cwmodel.StopNow) }
	callWorker(h, w.worker, exec, func(r cwmodel.Result, code cwfault.Code) {
		switch {
		case code == "":
			r.Attempt = o.action.Attempt
			h.closeRequest(r.Attempt)
			h.handleResult(r)
		case code == cwfault.StaleEpoch:
			h.handleStaleEpoch(w.worker.spec.ID, w.epoch)
		case code != cwfault.NotFound && h.sim.now.Before(o.leaseExpiresAt):
			h.retryOrder(o)
		}
	})
}
