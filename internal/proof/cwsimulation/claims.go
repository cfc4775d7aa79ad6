package cwsimulation

import (
	"slices"
	"time"

	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwclaim"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
)

// ownedWorker is the state that an entry host keeps for a worker that it owns.
type ownedWorker struct {
	worker        *worker
	epoch         cwmodel.Epoch
	claimValidity cwclaim.Validity
	isPolling     bool
	openOrders    int // start orders of this host that are not known to have ended
	acks          []cwmodel.Attempt
}

// updateClaims passes one event to the state machine of the claims and executes the resulting actions.
func (h *host) updateClaims(event func(now time.Time)) { h.updateClaimsWith(cwport.Inventory{}, event) }

// updateClaimsWith does the same for a response that contains an inventory.
func (h *host) updateClaimsWith(inventory cwport.Inventory, event func(now time.Time)) {
	event(h.sim.now)
	for actions := slices.Clone(h.claims.Actions()); len(actions) > 0; actions = slices.Clone(h.claims.Actions()) {
		for _, action := range actions {
			h.applyClaimAction(action, inventory)
		}
	}
}

func (h *host) applyClaimAction(action cwclaim.Action, inventory cwport.Inventory) {
	id := action.Worker.ID
	switch action.Kind {
	case cwclaim.ActionClaim:
		h.claimWorker(h.sim.findWorker(id))
	case cwclaim.ActionRenew:
		h.renewClaim(h.sim.findWorker(id), action)
	case cwclaim.ActionRelease:
		to := h.sim.findWorker(id)
		exec := func() (struct{}, error) { return struct{}{}, to.Release(action.Epoch) }
		callWorker(h, to, exec, func(struct{}, cwfault.Code) {
			h.updateClaims(func(now time.Time) { h.claims.HandleRelease(now, id) })
		})
	case cwclaim.ActionAcquired:
		to := h.sim.findWorker(id)
		h.owned[id] = &ownedWorker{worker: to, epoch: action.Epoch, claimValidity: action.Validity}
		h.updateDecider(func(now time.Time) { h.addWorker(now, to, action.Epoch, inventory) })
	case cwclaim.ActionExtended:
		h.owned[id].claimValidity = action.Validity
	case cwclaim.ActionDrain:
		h.updateDecider(func(time.Time) { h.decider.DrainWorker(id) })
	case cwclaim.ActionLost:
		delete(h.owned, id)
		h.updateDecider(func(now time.Time) { h.decider.LoseWorker(now, id, action.LastRenewal) })
	}
}

func (h *host) addWorker(now time.Time, to *worker, epoch cwmodel.Epoch, inventory cwport.Inventory) {
	if inventory.Leaving {
		h.decider.AddDrainingWorker(now, to.spec, epoch, inventory.Running)
		return
	}
	h.decider.AddWorker(now, to.spec, epoch, inventory.Running)
}

// updateHosts passes the list of workers and live entry hosts to the state machine of the claims.
func (h *host) updateHosts() {
	h.lastHeartbeatAt = h.sim.now
	var workers []cwmodel.Host
	for _, w := range h.sim.workers {
		workers = append(workers, cwmodel.Host{ID: w.spec.ID, Role: cwmodel.RoleWorker, State: cwmodel.HostLive, DataCentre: w.spec.DataCentre})
	}
	h.updateClaims(func(now time.Time) { h.claims.UpdateHosts(now, workers, h.sim.liveHosts()) })
}

// claimWorker claims a worker under the next epoch. The validity of the claim counts from the time at which it was sent.
func (h *host) claimWorker(to *worker) {
	exec := func() (cwport.Inventory, error) { return to.Inspect(), nil }
	callWorker(h, to, exec, func(inventory cwport.Inventory, code cwfault.Code) {
		sentAt := h.sim.now
		if code != "" {
			h.handleClaimResponse(to, sentAt, cwport.Inventory{}, code)
			return
		}
		claim := cwport.Claim{Owner: h.id, Epoch: cwclaim.NextEpoch(inventory.Epoch, inventory.Clock), TTL: claimTTL}
		exec := func() (g cwport.Inventory, err error) {
			if g, err = to.Claim(claim); err == nil {
				to.grantedEpoch = claim.Epoch
			}
			return g, err
		}
		callWorker(h, to, exec, func(g cwport.Inventory, code cwfault.Code) { h.handleClaimResponse(to, sentAt, g, code) })
	})
}

func (h *host) handleClaimResponse(to *worker, sentAt time.Time, inventory cwport.Inventory, code cwfault.Code) {
	result := cwclaim.CallResult{
		Sent: sentAt, Received: h.sim.now, Code: code, Epoch: inventory.Epoch, Clock: inventory.Clock, Leaving: inventory.Leaving,
	}
	h.updateClaimsWith(inventory, func(now time.Time) { h.claims.HandleClaim(now, to.spec.ID, result) })
}

func (h *host) renewClaim(to *worker, action cwclaim.Action) {
	sentAt := h.sim.now
	heartbeat := cwport.Heartbeat{Epoch: action.Epoch, TTL: claimTTL, NotAfter: action.NotAfter}
	exec := func() (cwport.HeartbeatResponse, error) { return to.Heartbeat(heartbeat) }
	callWorker(h, to, exec, func(r cwport.HeartbeatResponse, code cwfault.Code) {
		result := cwclaim.CallResult{Sent: sentAt, Received: h.sim.now, Code: code, Clock: r.Clock, Leaving: r.Leaving}
		h.updateClaims(func(now time.Time) { h.claims.HandleRenewal(now, to.spec.ID, action.Epoch, result) })
	})
}

// handleStaleEpoch reports to the state machine of the claims that a worker has another owner.
func (h *host) handleStaleEpoch(worker cwmodel.HostID, epoch cwmodel.Epoch) {
	h.updateClaims(func(now time.Time) { h.claims.HandleStaleEpoch(now, worker, epoch) })
}

// pollWorkers polls each owned worker for results.
func (h *host) pollWorkers() {
	for _, w := range h.sim.workers {
		if o, ok := h.owned[w.spec.ID]; ok && !o.isPolling {
			h.pollWorker(o)
		}
	}
}

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
