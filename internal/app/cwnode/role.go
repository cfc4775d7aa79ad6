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

// cellRole is this host's role in one cell: it owns the cell or follows its owner.
type cellRole struct {
	node           *Node
	cell           cwlayout.Cell
	elector        *cwlease.Elector
	owner          *cwcellowner.Owner
	peers          *peerTable
	latestResponse atomic.Pointer[ownerResponse] // of the cell's owner; zero before the first one
	ownerChangedAt atomic.Int64                  // when this host last acquired or handed over the cell, in Unix nanoseconds
	cleanup        cwduty.Cleanup
}

// ownerResponse is the response of a cell's owner to a heartbeat, with the latest complete queue lengths of an owner.
type ownerResponse struct {
	cwcellport.HeartbeatResponse
	countedAt time.Time // when the queue lengths were received
}

// maxQueueLengthAge is the age up to which queue lengths are reported to callers. It exceeds a takeover, so that they are known while the
// next owner loads the jobs.
const maxQueueLengthAge = 3 * time.Second

// newRole returns the role in one cell with its idle owner; cells is the number of cells of the deployment, or 0 if only the first
// cell's lease states it. The elector must be started once the node knows the role, since its events reach the role by the node.
func (n *Node) newRole(cell cwlayout.Cell, cells int) *cellRole {
	r := &cellRole{node: n, cell: cell, peers: &peerTable{timer: n.opts.Timer}}
	r.latestResponse.Store(&ownerResponse{})
	owner, stopOwner := cwcellowner.Start(r.ownerOptions())
	r.owner = owner
	r.cleanup.Add(stopOwner)
	r.elector = cwlease.New(cwlease.Options{
		Cell: cell, Cells: cells,
		Self: n.opts.Self, Store: n.opts.Store, Peers: n.opts.Peers, Timer: n.opts.Timer, Log: n.opts.Log, Capacity: n.opts.Capacity,
		TaskLease: n.taskLease(), MaxTaskLease: n.opts.MaxTaskLease, StartWindow: startWindow,
		OnLeaseAcquired: r.activateOwner, OnLeaseLost: owner.Deactivate, OnHeartbeatResponse: r.handleHeartbeatResponse,
		Successors:           func() []cwcellport.EntryHost { return r.latestResponse.Load().Peers },
		OtherCells:           func() int { return n.otherOwnedCells(r) },
		ConfigurationVersion: n.config.Version,
		OnCellCount:          func(cells int) { n.ensureRoles(cells) },
	})
	return r
}

// ownerOptions returns the options of the owner duty, which is active only while this host holds the cell's lease.
func (r *cellRole) ownerOptions() cwcellowner.Options {
	n := r.node
	return cwcellowner.Options{
		Cell: r.cell, Self: n.opts.Self,
		Store: n.opts.Store, Registry: n.opts.Registry, Workers: n.opts.Workers, Timer: n.opts.Timer, Pool: n.pool, Log: n.opts.Log,
		Seed: n.opts.Seed, StatusRetention: n.opts.StatusRetention, StopTimeout: n.opts.StopTimeout,
		TaskLease: n.taskLease(), MaxTaskLease: n.opts.MaxTaskLease, StartWindow: startWindow,
		Policy:        n.config.Policy,
		HoldsLease:    func(now time.Time) bool { return r.elector.HoldsLease(now) },
		OwnedUntil:    r.ownedUntil,
		OnSuperseded:  func() { r.elector.ReportSuperseded() },
		RequiredCells: n.opts.RequiredCells,
		Divide:        func(cells int) { r.elector.Divide(cells) },
		AdviceHosts:   r.adviceHosts,
		RequestAdvice: n.requestAdvice,
		Observe:       n.opts.Observe,
	}
}

// ownedUntil returns when this host sent the latest successful renewal of the lease with a fence, or the zero time if it does not hold
// that lease.
func (r *cellRole) ownedUntil(fence uint64) time.Time {
	if view := r.elector.View(); view.IsOwner && view.Fence == fence {
		return view.RenewedAt
	}
	return time.Time{}
}

// activateOwner makes the owner duty start to act under a new lease.
func (r *cellRole) activateOwner(g cwlease.Grant) {
	r.ownerChangedAt.Store(r.node.opts.Timer.Now().UnixNano())
	r.owner.Activate(g)
}

// handleHeartbeat records a peer's heartbeat and responds with what this host knows of the cell: its owner, the queue lengths and
// the advertised peers. If the peer is much faster than this host, the cell may be handed over to it.
func (r *cellRole) handleHeartbeat(h cwcellport.Heartbeat) cwcellport.HeartbeatResponse {
	r.peers.record(h)
	r.considerStepDown(h)
	view := r.elector.View()
	owner := cwcellport.EntryHost{}
	if view.OwnerKnown {
		owner = view.Owner
	}
	waiting, complete := r.owner.QueueLengths()
	return cwcellport.HeartbeatResponse{
		Owner: owner, Fence: view.Fence,
		IsOwner: view.IsOwner, RenewalFailing: view.RenewalFailing, LeaseVersion: view.LeaseVersion, Cells: view.Cells,
		Queues: waiting, QueuesComplete: complete, Peers: r.peers.advertised(),
	}
}

// handleHeartbeatResponse stores the owner's response and reports its configuration. If the queue lengths are incomplete, the previous
// ones are kept. Only the first cell's owner may be followed, since owners of several cells could otherwise follow each other.
func (r *cellRole) handleHeartbeatResponse(resp cwcellport.HeartbeatResponse) {
	owner := r.elector.View().Owner
	r.node.recordContact(owner.DataCentre)
	latest := &ownerResponse{HeartbeatResponse: resp, countedAt: r.node.opts.Timer.Now()}
	if previous := r.latestResponse.Load(); !resp.QueuesComplete {
		latest.Queues, latest.QueuesComplete, latest.countedAt = previous.Queues, previous.QueuesComplete, previous.countedAt
	}
	r.latestResponse.Store(latest)
	if r.cell == 0 && resp.IsOwner && !resp.RenewalFailing {
		r.node.config.ReportOwner(resp.ConfigurationVersion, resp.StoreVersion, owner.Address)
	} else {
		r.node.config.ReportPeer(resp.ConfigurationVersion, owner.Address)
	}
}

// queueLengths returns how many jobs of each queue in the cell have not started, from an owner's last complete counts; complete
// is false if this host has none that are recent.
func (r *cellRole) queueLengths() (list []cwcellport.QueueLength, complete bool) {
	if list, complete = r.owner.QueueLengths(); complete {
		return list, true
	}
	latest := r.latestResponse.Load()
	return latest.Queues, latest.QueuesComplete && r.node.opts.Timer.Now().Sub(latest.countedAt) <= maxQueueLengthAge
}

// adviceHosts returns the addresses of the hosts that send the cell's advice requests: the live peers that the layout assigns to the
// cell, and this host if it is assigned too or there are no such peers. The zero address is this host.
func (r *cellRole) adviceHosts() (addrs []netip.AddrPort) {
	layout := r.node.layout()
	for _, p := range r.peers.live() {
		if layout.CellOfHost(p.ID) == r.cell {
			addrs = append(addrs, p.Address)
		}
	}
	if len(addrs) == 0 || layout.CellOfHost(r.node.opts.Self.ID) == r.cell {
		addrs = append(addrs, netip.AddrPort{})
	}
	return addrs
}

// requestAdvice sends an advice request through an entry host; the zero address is this host.
func (n *Node) requestAdvice(through netip.AddrPort, request *cwcell.AdviceRequest) ([]cwcell.EligibleWorker, time.Duration, error) {
	if !through.IsValid() {
		return n.requestLocalAdvice(request)
	}
	return n.opts.Peers.RequestAdvice(through, request)
}
