package cwnode

import (
	"net/netip"
	"sync/atomic"
	"time"

	"currantward/internal/app/cwcellowner"
	"currantward/internal/app/cwlease"
	"currantward/internal/base/cwduty"
	"currantward/internal/core/cwcell"
	"currantward/internal/core/cwlayout"
	"currantward/internal/port/cwcellport"
)

// shard is this host's part in one cell: it may own the cell, and looks after its owner otherwise.
type shard struct {
	node    *Node
	cell    cwlayout.Cell
	tenure  *cwlease.Elector
	owner   *cwcellowner.Owner
	roster  *roster
	latest  atomic.Pointer[cwcellport.HeartbeatResponse] // of the cell's owner
	gained  atomic.Int64                                 // when this host last became the owner, in Unix nanoseconds
	cleanup cwduty.Cleanup
}

// startShard starts the duties of one cell; cells is the number of all, 0 where only a lease can tell.
func (n *Node) startShard(cell cwlayout.Cell, cells int) *shard {
	s := &shard{node: n, cell: cell, roster: &roster{timer: n.opts.Timer}}
	s.latest.Store(&cwcellport.HeartbeatResponse{})
	owner, stopOwner := cwcellowner.Start(s.ownerOptions())
	s.owner = owner
	s.cleanup.Add(stopOwner)
	s.cleanup.Add(cwlease.Start(cwlease.Options{
		Cell: cell, Cells: cells,
		Self: n.opts.Self, Store: n.opts.Store, Peers: n.opts.Peers, Timer: n.opts.Timer, Log: n.opts.Log, Capacity: n.opts.Capacity,
		TaskLease: n.holdLease(), StartWindow: startWindow,
		Acquired: s.own, Lost: owner.Deactivate, ResponseReceived: s.answered,
		Created:      func(k *cwlease.Elector) { s.tenure = k },
		Successors:   func() []cwcellport.EntryHost { return s.latest.Load().Peers },
		OtherCells:   func() int { return n.ownedBesides(s) },
		CellsChanged: func(cells int) { n.grow(cells) },
	}))
	return s
}

func (s *shard) ownerOptions() cwcellowner.Options {
	n := s.node
	return cwcellowner.Options{
		Cell: s.cell, Self: n.opts.Self,
		Store: n.opts.Store, Registry: n.opts.Registry, Workers: n.opts.Workers, Timer: n.opts.Timer, Pool: n.pool, Log: n.opts.Log,
		Seed: n.opts.Seed, StatusRetention: n.opts.StatusRetention, StopTimeout: n.opts.StopTimeout,
		TaskLease: n.holdLease(), StartWindow: startWindow,
		Policy:        n.config.Policy,
		HoldsLease:    func(now time.Time) bool { return s.tenure.HoldsLease(now) },
		Superseded:    func() { s.tenure.Superseded() },
		CellsFor:      n.opts.CellsFor,
		Divide:        func(cells int) { s.tenure.Divide(cells) },
		AdviceHosts:   s.advisers,
		RequestAdvice: n.ask,
		Observe:       n.opts.Observe,
	}
}

// own begins to act as the owner.
func (s *shard) own(t cwlease.Grant) {
	s.gained.Store(s.node.opts.Timer.Now().UnixNano())
	s.owner.Activate(t)
}

// pulse answers a peer that looks after its owner.
func (s *shard) pulse(p cwcellport.Heartbeat) cwcellport.HeartbeatResponse {
	s.roster.note(p)
	s.considerYielding(p)
	view := s.tenure.View()
	known := cwcellport.EntryHost{}
	if view.Known {
		known = view.Owner
	}
	waiting, counted := s.owner.QueueLengths()
	return cwcellport.HeartbeatResponse{
		Owner: known, Fence: view.Fence,
		IsOwner: view.IsOwner, RenewalFailing: view.RenewalFailing, LeaseVersion: view.Version, Cells: view.Cells,
		Queues: waiting, QueuesComplete: counted, Peers: s.roster.told(),
	}
}

// answered takes what the owner says of the cell.
func (s *shard) answered(a cwcellport.HeartbeatResponse) {
	s.node.met(s.tenure.View().Owner.DataCentre)
	if former := s.latest.Load(); !a.QueuesComplete {
		a.Queues, a.QueuesComplete = former.Queues, former.QueuesComplete
	}
	s.latest.Store(&a)
	s.node.config.Hint(a.Configuration)
}

// waiting returns how many jobs of each queue have not begun, as the last owner that knew every job has said.
func (s *shard) waiting() (list []cwcellport.QueueLength, counted bool) {
	if list, counted = s.owner.QueueLengths(); counted {
		return list, true
	}
	latest := s.latest.Load()
	return latest.Queues, latest.QueuesComplete
}

// advisers returns the hosts through which the cell asks for advice; the zero address is this host.
func (s *shard) advisers() (addrs []netip.AddrPort) {
	layout := s.node.layout()
	for _, p := range s.roster.live() {
		if layout.CellOfHost(p.ID) == s.cell {
			addrs = append(addrs, p.Address)
		}
	}
	if len(addrs) == 0 || layout.CellOfHost(s.node.opts.Self.ID) == s.cell {
		addrs = append(addrs, netip.AddrPort{})
	}
	return addrs
}

func (n *Node) ask(through netip.AddrPort, q *cwcell.AdviceRequest) ([]cwcell.EligibleWorker, time.Duration, error) {
	if !through.IsValid() {
		return n.askHere(q)
	}
	return n.opts.Peers.RequestAdvice(through, q)
}
