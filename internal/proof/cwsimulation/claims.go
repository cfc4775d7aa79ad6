package cwsimulation

import (
	"slices"
	"time"

	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwclaim"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
)

// link is what an entry host keeps of a worker that it owns.
type link struct {
	worker  *worker
	epoch   cwmodel.Epoch
	hold    cwclaim.Validity
	polling bool
	open    int // orders of this host that are not known to be over
	acks    []cwmodel.Attempt
}

// claim hands one event to the machine of the claims and carries out what it decides.
func (h *host) claim(event func(now time.Time)) { h.claimWith(cwport.Inventory{}, event) }

// claimWith does so for an event that brings an inventory.
func (h *host) claimWith(inventory cwport.Inventory, event func(now time.Time)) {
	event(h.world.now)
	for actions := slices.Clone(h.machine.Actions()); len(actions) > 0; actions = slices.Clone(h.machine.Actions()) {
		for _, action := range actions {
			h.carryOutClaim(action, inventory)
		}
	}
}

func (h *host) carryOutClaim(action cwclaim.Action, inventory cwport.Inventory) {
	id := action.Host.ID
	switch action.Kind {
	case cwclaim.ActionClaim:
		h.take(h.world.workerOf(id))
	case cwclaim.ActionRenew:
		h.renew(h.world.workerOf(id), action)
	case cwclaim.ActionRelease:
		to := h.world.workerOf(id)
		exec := func() (struct{}, error) { return struct{}{}, to.Release(action.Epoch) }
		call(h, to, exec, func(struct{}, cwfault.Code) {
			h.claim(func(now time.Time) { h.machine.HandleRelease(now, id) })
		})
	case cwclaim.ActionAcquired:
		to := h.world.workerOf(id)
		h.links[id] = &link{worker: to, epoch: action.Epoch, hold: action.Validity}
		h.decide(func(now time.Time) { h.adopt(now, to, action.Epoch, inventory) })
	case cwclaim.ActionExtended:
		h.links[id].hold = action.Validity
	case cwclaim.ActionDrain:
		h.decide(func(time.Time) { h.decider.DrainWorker(id) })
	case cwclaim.ActionLost:
		delete(h.links, id)
		h.decide(func(now time.Time) { h.decider.LoseWorker(now, id, action.LastRenewal) })
	}
}

func (h *host) adopt(now time.Time, to *worker, epoch cwmodel.Epoch, inventory cwport.Inventory) {
	if inventory.Leaving {
		h.decider.AddDrainingWorker(now, to.about, epoch, inventory.Running)
		return
	}
	h.decider.AddWorker(now, to.about, epoch, inventory.Running)
}

// view tells the machine which workers and entry hosts there are.
func (h *host) view() {
	h.heard = h.world.now
	var workers []cwmodel.Host
	for _, w := range h.world.workers {
		workers = append(workers, cwmodel.Host{ID: w.about.ID, Role: cwmodel.RoleWorker, State: cwmodel.HostLive, DataCentre: w.about.DataCentre})
	}
	h.claim(func(now time.Time) { h.machine.UpdateHosts(now, workers, h.world.live()) })
}

// take claims a worker under the next epoch; the claim counts from its own sending.
func (h *host) take(to *worker) {
	exec := func() (cwport.Inventory, error) { return to.Inspect(), nil }
	call(h, to, exec, func(seen cwport.Inventory, code cwfault.Code) {
		sent := h.world.now
		if code != "" {
			h.claimed(to, sent, cwport.Inventory{}, code)
			return
		}
		claim := cwport.Claim{Owner: h.id, Epoch: cwclaim.NextEpoch(seen.Epoch, seen.Clock), TTL: claimTTL}
		exec := func() (g cwport.Inventory, err error) {
			if g, err = to.Claim(claim); err == nil {
				to.granted = claim.Epoch
			}
			return g, err
		}
		call(h, to, exec, func(g cwport.Inventory, code cwfault.Code) { h.claimed(to, sent, g, code) })
	})
}

func (h *host) claimed(to *worker, sent time.Time, g cwport.Inventory, code cwfault.Code) {
	answer := cwclaim.CallResult{
		Sent: sent, Received: h.world.now, Code: code, Epoch: g.Epoch, Clock: g.Clock, Leaving: g.Leaving,
	}
	h.claimWith(g, func(now time.Time) { h.machine.HandleClaim(now, to.about.ID, answer) })
}

func (h *host) renew(to *worker, action cwclaim.Action) {
	sent := h.world.now
	heartbeat := cwport.Heartbeat{Epoch: action.Epoch, TTL: claimTTL, NotAfter: action.NotAfter}
	exec := func() (cwport.HeartbeatResponse, error) { return to.Heartbeat(heartbeat) }
	call(h, to, exec, func(r cwport.HeartbeatResponse, code cwfault.Code) {
		answer := cwclaim.CallResult{Sent: sent, Received: h.world.now, Code: code, Clock: r.Clock, Leaving: r.Leaving}
		h.claim(func(now time.Time) { h.machine.HandleRenewal(now, to.about.ID, action.Epoch, answer) })
	})
}

// stale tells the machine that a worker has another owner.
func (h *host) stale(worker cwmodel.HostID, epoch cwmodel.Epoch) {
	h.claim(func(now time.Time) { h.machine.HandleStaleEpoch(now, worker, epoch) })
}

// poll reads the completions of each owned worker.
func (h *host) poll() {
	for _, w := range h.world.workers {
		if l, ok := h.links[w.about.ID]; ok && !l.polling {
			h.pollWorker(l)
		}
	}
}

func (h *host) pollWorker(l *link) {
	l.polling = true
	poll := cwport.Poll{Epoch: l.epoch, Acks: l.acks}
	exec := func() ([]cwmodel.Result, error) {
		results, _, err := l.worker.Completions(poll)
		return results, err
	}
	call(h, l.worker, exec, func(results []cwmodel.Result, code cwfault.Code) {
		l.polling = false
		switch code {
		case "":
			l.acks = nil
			for _, r := range results {
				h.ended(r)
				l.acks = append(l.acks, r.Attempt)
			}
		case cwfault.StaleEpoch:
			h.stale(l.worker.about.ID, l.epoch)
		}
	})
}
