package cwnode

import (
	"time"

	"currantward/internal/base/cwlog"
	"currantward/internal/port/cwcellport"
)

const (
	// handOverWait is how long an owner waits until its lease is released.
	handOverWait = time.Second
	// releaseLook is how often it looks whether the lease is released.
	releaseLook = 10 * time.Millisecond
	// yieldFactor is how many times the processor of its owner a host must have for a hand-over to be worth its pause.
	yieldFactor = 1.5
	// yieldAfter keeps hand-overs apart: the faster host may be the one whose calls to the store fail now and then.
	yieldAfter = 3 * time.Second
)

// Drain hands this host's cells over to live peers. The node goes on serving callers.
func (n *Node) Drain() {
	var owned []*shard
	for _, s := range *n.shards.Load() {
		if s.tenure.View().IsOwner {
			owned = append(owned, s)
		}
		s.tenure.Leave()
	}
	for at, s := range owned {
		s.awaitRelease()
		peers := s.roster.reachable()
		for n := range peers {
			// Each cell goes to another peer, as far as there are enough.
			if s.handTo(peers[(at+n)%len(peers)]) {
				break
			}
		}
	}
}

// considerYielding hands the cell over to a host with much more processor than this one.
func (s *shard) considerYielding(p cwcellport.Heartbeat) {
	n := s.node
	if !s.tenure.View().IsOwner || p.Leaving || !p.StoreOK || p.Owned > 0 || p.Capacity < yieldFactor*n.opts.Capacity {
		return
	}
	now, gained := n.opts.Timer.Now(), s.gained.Load()
	if now.Sub(time.Unix(0, gained)) < yieldAfter || !s.gained.CompareAndSwap(gained, now.UnixNano()) {
		return
	}
	err := n.pool.Submit(func() {
		s.tenure.StepDown()
		s.awaitRelease()
		s.handTo(p.From)
	})
	if err != nil {
		n.opts.Log.WithField("error", err.Error()).Warn("pool-full")
	}
}

// handTo asks a peer to take the released lease.
func (s *shard) handTo(p cwcellport.EntryHost) bool {
	err := s.node.opts.Peers.TakeOver(p.Address, s.cell)
	fields := cwlog.Fields{"cell": s.cell, "successor": p.ID}
	if err != nil {
		fields["error"] = err.Error()
	}
	s.node.opts.Log.WithFields(fields).Info("cell-handed-over")
	return err == nil
}

// awaitRelease waits until this host no longer owns the cell, or for too long.
func (s *shard) awaitRelease() {
	timer := s.node.opts.Timer
	for end := timer.Now().Add(handOverWait); s.tenure.View().IsOwner && timer.Now().Before(end); {
		timer.Sleep(nil, releaseLook)
	}
}
