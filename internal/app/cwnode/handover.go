package cwnode

import (
	"time"

	"currantward/internal/base/cwlog"
	"currantward/internal/port/cwcellport"
)

const (
	// releaseTimeout bounds the wait until this host has released its lease.
	releaseTimeout = time.Second
	// releasePollPeriod is the polling period of that wait.
	releasePollPeriod = 10 * time.Millisecond
	// stepDownFactor is the ratio of a peer's Capacity (processor share) to the owner's from which a hand-over to the peer is
	// worth the pause in scheduling that it causes.
	stepDownFactor = 1.5
	// stepDownInterval is the shortest time between an acquisition, or an earlier hand-over, and a hand-over. A faster host
	// that cannot keep the lease, since some of its calls to the store fail, would otherwise cause one hand-over after
	// another.
	stepDownInterval = 3 * time.Second
)

// Drain resigns in all cells, so that this host acquires no lease any more, and hands over each cell that it owns to a live peer
// that reaches the store. It returns when the peers have been notified. The node continues to serve callers.
func (n *Node) Drain() {
	var owned []*cellRole
	for _, r := range *n.roles.Load() {
		if r.elector.View().IsOwner {
			owned = append(owned, r)
		}
		r.elector.Resign()
	}
	for i, r := range owned {
		r.awaitRelease()
		peers := r.peers.withStoreAccess()
		for offset := range peers {
			// Each cell goes to a different peer if there are enough.
			if r.handOverTo(peers[(i+offset)%len(peers)]) {
				break
			}
		}
	}
}

// considerStepDown hands over the cell, asynchronously, to the sender of a heartbeat if that host has at least stepDownFactor
// times the Capacity (processor share) of this one, owns no cell, reaches the store and does not drain. It does so at most once
// in stepDownInterval, and not within that time after an acquisition.
func (r *cellRole) considerStepDown(h cwcellport.Heartbeat) {
	n := r.node
	if !r.elector.View().IsOwner || h.Draining || !h.StoreOK || h.OwnedCells > 0 || h.Capacity < stepDownFactor*n.opts.Capacity {
		return
	}
	now, last := n.opts.Timer.Now(), r.ownerChangedAt.Load()
	// The swap restarts the interval, so that of several concurrent heartbeats only one causes a hand-over.
	if now.Sub(time.Unix(0, last)) < stepDownInterval || !r.ownerChangedAt.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	err := n.pool.Submit(func() {
		r.elector.StepDown()
		r.awaitRelease()
		r.handOverTo(h.From)
	})
	if err != nil {
		n.opts.Log.WithField("error", err.Error()).Warn("pool-full")
	}
}

// handOverTo requests a peer to acquire the lease that this host has released, and reports whether the call succeeded. It does not
// wait for the acquisition.
func (r *cellRole) handOverTo(peer cwcellport.EntryHost) bool {
	err := r.node.opts.Peers.TakeOver(peer.Address, r.cell)
	fields := cwlog.Fields{"cell": r.cell, "successor": peer.ID}
	if err != nil {
		fields["error"] = err.Error()
	}
	r.node.opts.Log.WithFields(fields).Info("cell-handed-over")
	return err == nil
}

// awaitRelease waits until this host no longer owns the cell, for releaseTimeout at most.
func (r *cellRole) awaitRelease() {
	timer := r.node.opts.Timer
	for deadline := timer.Now().Add(releaseTimeout); r.elector.View().IsOwner && timer.Now().Before(deadline); {
		timer.Sleep(nil, releasePollPeriod)
	}
}
