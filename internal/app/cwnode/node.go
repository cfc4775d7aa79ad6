// Package cwnode assembles one entry host, which serves callers and may own cells.
package cwnode

import (
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"currantward/internal/adapter/cwcellpeer"
	"currantward/internal/app/cwcellowner"
	"currantward/internal/app/cwconfigwatch"
	"currantward/internal/app/cwgateway"
	"currantward/internal/app/cwlease"
	"currantward/internal/base/cwduty"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwcell"
	"currantward/internal/core/cwlayout"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
	"currantward/internal/port/cwcellport"
)

// Options configure a node.
type Options struct {
	Self            cwcellport.EntryHost
	PeerBind        netip.AddrPort // address of the listener for peers
	Capacity        float64        // share of a processor that this host has
	Seed            uint64
	Timer           *cwtimer.Service
	Log             *logrus.Logger
	Store           cwcellport.Store
	Registry        cwcellport.Registry
	Workers         cwcellport.Workers
	Advice          cwcellport.Advice
	ConfigSource    cwcellport.ConfigurationSource
	Peers           cwcellport.Peers
	MaxTaskLease    time.Duration // longest task lease that workers grant
	StopTimeout     time.Duration // longest duration of a task stop
	StatusRetention time.Duration // how long final states are kept
	Observe         func(cwcellowner.Observation)
	// RequiredCells returns the number of cells for a number of workers, given the number of partitions of the store.
	RequiredCells func(workers, partitions int) int
}

const (
	// poolSize bounds the concurrent blocking calls: starts, stops, writes, advice requests and job notifications.
	poolSize = 512
	// taskLease is how long a worker runs tasks without a renewal of their leases: long enough for a takeover by another owner,
	// short enough that the tasks of an unreachable worker soon run elsewhere.
	taskLease = 3500 * time.Millisecond
	// startWindow is the longest transit time of a start order; its worker refuses a later one.
	startWindow = 2 * time.Second
	// peerExpiry is how long a host counts as live after its last heartbeat.
	peerExpiry = 1500 * time.Millisecond
	// peerShutdownTimeout bounds the wait for the calls of peers at shutdown.
	peerShutdownTimeout = 500 * time.Millisecond
)

// Node is one entry host.
type Node struct {
	*cwgateway.Gateway
	opts    Options
	config  *cwconfigwatch.Watcher
	pool    *ants.Pool
	roles   atomic.Pointer[[]*cellRole] // indexed by cell; the first one always exists
	mu      sync.Mutex                  // held while roles are added, and when stopped is set
	stopped bool                        // no more roles are added
}

// Start runs a node and returns the function that stops it without a hand-over; a graceful shutdown calls Drain first.
func Start(opts Options) (n *Node, stop func(), err error) {
	defer func() { err = eris.Wrap(err, "start node") }()
	var cleanup cwduty.Cleanup
	pool, err := ants.NewPool(poolSize, ants.WithNonblocking(true), ants.WithDisablePurge(true))
	if err != nil {
		return nil, nil, err
	}
	cleanup.Add(pool.Release)
	n = &Node{opts: opts, pool: pool}
	n.roles.Store(&[]*cellRole{})
	n.config = cwconfigwatch.New(cwconfigwatch.Options{
		Source: n.monitoredSource(), FetchDifference: opts.Peers.ConfigurationDifference, Timer: opts.Timer, Log: opts.Log,
	})
	n.Gateway = cwgateway.New(cwgateway.Options{
		Self: opts.Self, Store: opts.Store, Peers: opts.Peers, Timer: opts.Timer, Log: opts.Log,
		Owner: func(id cwmodel.JobID) (*cwcellowner.Owner, cwlease.View) {
			r := n.roleForJob(id)
			return r.owner, r.elector.View()
		},
		RelayPeers: n.relayPeers,
		RunAsync:   func(call func()) bool { return pool.Submit(call) == nil },
	})
	n.ensureRoles(1)
	cleanup.Add(n.stopRoles)
	cleanup.Add(n.config.Start())
	_, stopPeers, err := cwcellpeer.Serve(n.peerOptions())
	if err != nil {
		cleanup.Run()
		return nil, nil, err
	}
	cleanup.Add(stopPeers)
	return n, cleanup.Run, nil
}

// ensureRoles starts this host's missing roles in a deployment with the given number of cells; roles are never removed. The first
// cell's role reads the number of cells from its lease, so it is started with 0. The others are given the number.
func (n *Node) ensureRoles(cells int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	current := *n.roles.Load()
	if n.stopped || len(current) >= cells {
		return
	}
	roles := slices.Clone(current)
	for cell := len(current); cell < cells; cell++ {
		knownCells := cells
		if cell == 0 {
			knownCells = 0
		}
		roles = append(roles, n.newRole(cwlayout.Cell(cell), knownCells))
	}
	n.roles.Store(&roles)
	for _, r := range roles[len(current):] {
		r.cleanup.Add(r.elector.Start())
	}
}

// stopRoles stops the duties of all roles and prevents further ones from being added.
func (n *Node) stopRoles() {
	n.mu.Lock()
	n.stopped = true
	roles := *n.roles.Load()
	n.mu.Unlock()
	for _, r := range roles {
		r.cleanup.Run()
	}
}

// role returns this host's role in a cell, or nil if the cell is unknown to it.
func (n *Node) role(cell cwlayout.Cell) *cellRole {
	if roles := *n.roles.Load(); cell >= 0 && int(cell) < len(roles) {
		return roles[cell]
	}
	return nil
}

// firstRole returns this host's role in the first cell, which always exists.
func (n *Node) firstRole() *cellRole { return n.role(0) }

// layout returns the layout with the number of cells that this host knows of.
func (n *Node) layout() cwlayout.Layout { return cwlayout.Layout{Cells: len(*n.roles.Load())} }

// roleForJob returns this host's role in the cell of a job.
func (n *Node) roleForJob(id cwmodel.JobID) *cellRole {
	return n.role(n.layout().CellOfPartition(cwlayout.PartitionOf(id, n.opts.Store.Partitions)))
}

// otherOwnedCells returns how many cells this host owns besides that of r.
func (n *Node) otherOwnedCells(r *cellRole) (owned int) {
	for _, other := range *n.roles.Load() {
		if other != r && other.elector.View().IsOwner {
			owned++
		}
	}
	return owned
}

// recordContact records that a message from an entry host in a data centre has arrived, from which the first cell's elector
// decides whether this host is isolated.
func (n *Node) recordContact(dc cwmodel.DataCentre) { n.firstRole().elector.RecordContact(dc) }

// taskLease returns the duration of task leases: the constant taskLease, or less if the workers grant only shorter leases.
func (n *Node) taskLease() time.Duration { return min(taskLease, n.opts.MaxTaskLease) }

// monitoredSource returns the configuration source, wrapped so that the first cell's elector records from the result of each call
// whether the store is reachable.
func (n *Node) monitoredSource() cwcellport.ConfigurationSource {
	record := func(cfg *cwcellport.Configuration, version uint64, err error) (*cwcellport.Configuration, uint64, error) {
		n.firstRole().elector.RecordStoreResult(err)
		return cfg, version, err
	}
	source := n.opts.ConfigSource
	return cwcellport.ConfigurationSource{
		Read: func(timeout time.Duration) (*cwcellport.Configuration, uint64, error) {
			return record(source.Read(timeout))
		},
		Watch: func(after uint64, wait time.Duration) (*cwcellport.Configuration, uint64, error) {
			return record(source.Watch(after, wait))
		},
		Probe: func(timeout time.Duration) error {
			_, _, err := record(nil, 0, source.Probe(timeout))
			return err
		},
	}
}

// peerOptions returns the handlers of the calls of peers. Notifications, lookups and cancellations of a job go to this host's owner
// duty of the job's cell, which rejects them if this host does not own the cell.
func (n *Node) peerOptions() cwcellpeer.ServerOptions {
	return cwcellpeer.ServerOptions{
		Listen: n.opts.PeerBind, Log: n.opts.Log, ShutdownTimeout: peerShutdownTimeout,
		Heartbeat: n.handleHeartbeat,
		NotifyJob: func(job *cwwork.Submission, version, fence uint64) error {
			return n.roleForJob(job.ID).owner.NotifyJob(job, version, fence)
		},
		Lookup:          func(id cwmodel.JobID) (cwwork.JobState, bool, error) { return n.roleForJob(id).owner.Lookup(id) },
		Cancel:          func(id cwmodel.JobID) (bool, error) { return n.roleForJob(id).owner.Cancel(id) },
		RequestAdvice:   n.requestLocalAdvice,
		StoreSubmission: n.SubmitForPeer,
		TakeOver: func(cell cwlayout.Cell) {
			if r := n.role(cell); r != nil {
				r.elector.TakeOver()
			}
		},
		ConfigurationDifference: n.config.Difference,
	}
}

// handleHeartbeat responds to a peer's heartbeat about a cell; a host without a role in the cell names no owner.
func (n *Node) handleHeartbeat(h cwcellport.Heartbeat) (response cwcellport.HeartbeatResponse) {
	n.recordContact(h.From.DataCentre)
	if r := n.role(h.Cell); r != nil {
		response = r.handleHeartbeat(h)
	}
	n.config.ReportPeer(h.ConfigurationVersion, h.From.Address)
	response.ConfigurationVersion, response.StoreVersion = n.config.Confirmed()
	return response
}

// relayPeers returns peers that may reach the store, for submissions that this host cannot store: the first cell's owner, then
// the peers that it has advertised. An isolated host returns none.
func (n *Node) relayPeers() []cwcellport.EntryHost {
	if n.firstRole().elector.Isolated() {
		return nil // a prompt refusal lets the caller try another host
	}
	peers := n.firstRole().latestResponse.Load().Peers
	if view := n.firstRole().elector.View(); view.OwnerKnown && view.Owner.ID != n.opts.Self.ID && !view.RenewalFailing {
		peers = append([]cwcellport.EntryHost{view.Owner}, peers...)
	}
	var relays []cwcellport.EntryHost
	for _, p := range peers {
		if p.ID != n.opts.Self.ID && len(relays) < maxRelayPeers {
			relays = append(relays, p)
		}
	}
	return relays
}

// maxRelayPeers bounds the peers that one submission is relayed to in turn, since the caller waits for their responses.
const maxRelayPeers = 2

// requestLocalAdvice sends an advice request to the service from this host's own address.
func (n *Node) requestLocalAdvice(r *cwcell.AdviceRequest) ([]cwcell.EligibleWorker, time.Duration, error) {
	return n.opts.Advice.Request(r.Step, r.Workers, cwcellpeer.AdviceTimeout(r.Cost))
}

// Route returns the queue of a request, or nil if none is configured for it; ready is false if this host can't tell.
func (n *Node) Route(host, path string) (r *cwcellport.Queue, ready bool) {
	return n.config.Route(host, path)
}

// ConfigurationVersion returns the version of the configuration in force, or 0 before the first one.
func (n *Node) ConfigurationVersion() uint64 { return n.config.Version() }

// MaxBodyBytes returns the largest request body that the configuration allows, or 0 before the first configuration.
func (n *Node) MaxBodyBytes() int { return n.config.MaxBodyBytes() }

// QueueLength returns how many jobs of a queue have not started, from the last complete counts of the cells' owners; known is
// false if this host has no count of some cell.
func (n *Node) QueueLength(queue cwwork.QueueName) (waiting int, known bool) {
	for _, r := range *n.roles.Load() {
		list, complete := r.queueLengths()
		if !complete {
			return 0, false
		}
		for _, q := range list {
			if q.Queue == queue {
				waiting += q.Waiting
			}
		}
	}
	return waiting, true
}

// CanServe reports whether the host can serve callers: it has a configuration and is not isolated. Callers of an isolated host
// are better served by other hosts.
func (n *Node) CanServe() bool { return n.config.Version() > 0 && !n.firstRole().elector.Isolated() }

// OwnedCells returns how many cells this host owns under a valid lease.
func (n *Node) OwnedCells() (owned int) {
	now := n.opts.Timer.Now()
	for _, r := range *n.roles.Load() {
		if r.elector.HoldsLease(now) {
			owned++
		}
	}
	return owned
}
