package cwsimulation

import (
	"slices"
	"time"

	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwclaim"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
)

// ownedWorker is the state that an entry host keeps for a worker whose claim it has.
type ownedWorker struct {
	worker        *worker
	epoch         cwmodel.Epoch
	claimValidity cwclaim.Validity
	isPolling     bool
	openRequests  int               // start orders of this host whose attempts are not known to have ended
	acks          []cwmodel.Attempt // attempts whose results the next poll acknowledges
}

// updateClaims passes an event other than the response to a claim to the claim state machine; see applyClaimEvent.
func (h *host) updateClaims(event func(now time.Time)) { h.applyClaimEvent(cwport.Inventory{}, event) }

// applyClaimEvent passes an event to the claim state machine, then executes the actions that the machine returns, until it returns
// none. If the event grants a claim, the inventory lists the attempts that run on the worker; otherwise it is not used.
func (h *host) applyClaimEvent(inventory cwport.Inventory, event func(now time.Time)) {
	event(h.sim.now)
	for actions := slices.Clone(h.claims.Actions()); len(actions) > 0; actions = slices.Clone(h.claims.Actions()) {
		for _, action := range actions {
			h.applyClaimAction(action, inventory)
		}
	}
}

// applyClaimAction executes an action of the claim state machine. The inventory is that of the worker if a claim was granted.
func (h *host) applyClaimAction(action cwclaim.Action, inventory cwport.Inventory) {
	id := action.Worker.ID
	switch action.Kind {
	case cwclaim.ActionClaim:
		h.claimWorker(h.sim.findWorker(id))
	case cwclaim.ActionRenew:
		h.renewClaim(h.sim.findWorker(id), action)
	case cwclaim.ActionRelease:
		w := h.sim.findWorker(id)
		exec := func() (struct{}, error) { return struct{}{}, w.Release(action.Epoch) }
		callWorker(h, w, exec, func(struct{}, cwfault.Code) {
			h.updateClaims(func(now time.Time) { h.claims.HandleRelease(now, id) })
		})
	case cwclaim.ActionAcquired:
		w := h.sim.findWorker(id)
		h.owned[id] = &ownedWorker{worker: w, epoch: action.Epoch, claimValidity: action.Validity}
		h.updateDecider(func(now time.Time) { h.addWorker(now, w, action.Epoch, inventory) })
	case cwclaim.ActionExtended:
		h.owned[id].claimValidity = action.Validity
	case cwclaim.ActionDrain:
		h.updateDecider(func(time.Time) { h.decider.DrainWorker(id) })
	case cwclaim.ActionLost:
		delete(h.owned, id)
		h.updateDecider(func(now time.Time) { h.decider.LoseWorker(now, id, action.LastRenewal) })
	}
}

// addWorker adds an acquired worker to the decider, with the attempts that already run there. A draining worker gets no new tasks.
func (h *host) addWorker(now time.Time, w *worker, epoch cwmodel.Epoch, inventory cwport.Inventory) {
	if inventory.Leaving {
		h.decider.AddDrainingWorker(now, w.spec, epoch, inventory.Running)
		return
	}
	h.decider.AddWorker(now, w.spec, epoch, inventory.Running)
}

// updateMembership records a heartbeat of this host and passes the workers and the live entry hosts to the claim state machine.
func (h *host) updateMembership() {
	h.lastHeartbeatAt = h.sim.now
	var workers []cwmodel.Host
	for _, w := range h.sim.workers {
		workers = append(workers, cwmodel.Host{ID: w.spec.ID, Role: cwmodel.RoleWorker, State: cwmodel.HostLive, DataCentre: w.spec.DataCentre})
	}
	h.updateClaims(func(now time.Time) { h.claims.UpdateHosts(now, workers, h.sim.liveHosts()) })
}

// claimWorker inspects a worker, then claims it under an epoch above the inspected one. The validity of the claim counts from the
// time at which the claim was sent.
func (h *host) claimWorker(w *worker) {
	exec := func() (cwport.Inventory, error) { return w.Inspect(), nil }
	callWorker(h, w, exec, func(inventory cwport.Inventory, code cwfault.Code) {
		sentAt := h.sim.now
		if code != "" {
			h.handleClaimResponse(w, sentAt, cwport.Inventory{}, code)
			return
		}
		claim := cwport.Claim{Owner: h.id, Epoch: cwclaim.NextEpoch(inventory.Epoch, inventory.Clock), TTL: claimTTL}
		exec := func() (granted cwport.Inventory, err error) {
			if granted, err = w.Claim(claim); err == nil {
				w.grantedEpoch = claim.Epoch
			}
			return granted, err
		}
		callWorker(h, w, exec, func(granted cwport.Inventory, code cwfault.Code) { h.handleClaimResponse(w, sentAt, granted, code) })
	})
}

// handleClaimResponse passes the result of a claim, or of the Inspect call before it, to the claim state machine. The code is empty on
// success.
func (h *host) handleClaimResponse(w *worker, sentAt time.Time, inventory cwport.Inventory, code cwfault.Code) {
	result := cwclaim.CallResult{
		Sent: sentAt, Received: h.sim.now, Code: code, Epoch: inventory.Epoch, Clock: inventory.Clock, Leaving: inventory.Leaving,
	}
	h.applyClaimEvent(inventory, func(now time.Time) { h.claims.HandleClaim(now, w.spec.ID, result) })
}

// renewClaim sends a heartbeat that extends a claim, unless it reaches the worker after the NotAfter of the action.
func (h *host) renewClaim(w *worker, action cwclaim.Action) {
	sentAt := h.sim.now
	heartbeat := cwport.Heartbeat{Epoch: action.Epoch, TTL: claimTTL, NotAfter: action.NotAfter}
	exec := func() (cwport.HeartbeatResponse, error) { return w.Heartbeat(heartbeat) }
	callWorker(h, w, exec, func(r cwport.HeartbeatResponse, code cwfault.Code) {
		result := cwclaim.CallResult{Sent: sentAt, Received: h.sim.now, Code: code, Clock: r.Clock, Leaving: r.Leaving}
		h.updateClaims(func(now time.Time) { h.claims.HandleRenewal(now, w.spec.ID, action.Epoch, result) })
	})
}

// handleStaleEpoch reports to the claim state machine that a worker has granted a claim of a later epoch.
func (h *host) handleStaleEpoch(worker cwmodel.HostID, epoch cwmodel.Epoch) {
	h.updateClaims(func(now time.Time) { h.claims.HandleStaleEpoch(now, worker, epoch) })
}

// pollWorkers polls each owned worker for results, except those with a poll in flight.
func (h *host) pollWorkers() {
	for _, w := range h.sim.workers {
		if o, ok := h.owned[w.spec.ID]; ok && !o.isPolling {
			h.pollWorker(o)
		}
	}
}

// pollWorker polls one worker for results and passes them to the decider. The next poll acknowledges them.
func (h *host) pollWorker(o *ownedWorker) {
	o.isPolling = true
	poll := cwport.Poll{Epoch: o.epoch, Acks: o.acks}
	exec := func() ([]cwmodel.Result, error) {
		results, _, err := o.worker.Completions(poll)
		return results, err
	}
	callWorker(h, o.worker, exec, func(results []cwmodel.Result, code cwfault.Code) {
		o.isPolling = false
		switch code {
		case "":
			o.acks = nil
			for _, r := range results {
				h.handleResult(r)
				o.acks = append(o.acks, r.Attempt)
			}
		case cwfault.StaleEpoch:
			h.handleStaleEpoch(o.worker.spec.ID, o.epoch)
		}
	})
}
