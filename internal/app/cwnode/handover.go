package cwnode

import (
	"time"

	"currantward/internal/base/cwlog"
	"currantward/internal/port/cwcellport"
)

const (
	// releaseTimeout bounds the wait for the release of the host's own lease.
	releaseTimeout = time.Second
	// releasePollPeriod is the polling period of that wait.
	releasePollPeriod = 10 * time.Millisecond
	// stepDownFactor is the ratio of a host's processor share to the owner's from which a hand-over is worth its pause.
	stepDownFactor = 1.5
	// stepDownInterval is the shortest time between hand-overs. A faster host whose calls to the store fail at times would
	// otherwise cause one after another.
	stepDownInterval = 3 * time.Second
)

// Drain hands over this host's cells to live peers. The node continues to serve callers.
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
		peers := r.peers.reachable()
		for n := range peers {
			// Each cell goes to a different peer if there are enough.
			if r.handOverTo(peers[(i+n)%len(peers)]) {
				break
			}
		}
	}
}

// considerStepDown hands over the cell to a host with a much larger processor share than this one's.
func (r *cellRole) considerStepDown(p cwcellport.Heartbeat) {
	n := r.node
	if !r.elector.View().IsOwner || p.Draining || !p.StoreOK || p.OwnedCells > 0 || p.Capacity < stepDownFactor*n.opts.Capacity {
		return
	}
	now, acquired := n.opts.Timer.Now(), r.acquiredAt.Load()
	if now.Sub(time.Unix(0, acquired)) < stepDownInterval || !r.acquiredAt.CompareAndSwap(acquired, now.UnixNano()) {
		return
	}
	err := n.pool.Submit(func() {
		r.elector.StepDown()
		r.awaitRelease()
		r.handOverTo(p.From)
	})
	if err != nil {
		n.opts.Log.WithField("error", err.Error()).Warn("pool-full")
	}
}

// handOverTo asks a peer to acquire the released lease, and reports whether it accepted the request.
func (r *cellRole) handOverTo(p cwcellport.EntryHost) bool {
	err := r.node.opts.Peers.TakeOver(p.Address, r.cell)
	fields := cwlog.Fields{"cell": r.cell, "successor": p.ID}
	if err != nil {
		fields["error"] = err.Error()
	}
	r.node.opts.Log.WithFields(fields).Info("cell-handed-over")
	return err == nil
}

// awaitRelease waits until this host no longer owns the cell, for releaseTimeout at most.
func (r *cellRole) awaitRelease() {
	timer := r.node.opts.Timer
	for end := timer.Now().Add(releaseTimeout); r.elector.View().IsOwner && timer.Now().Before(end); {
		timer.Sleep(nil, releasePollPeriod)
	}
}
