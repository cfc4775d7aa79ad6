// Package cwnode wires one entry host that serves callers and may own cells.
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
	PeerBind        netip.AddrPort
	Capacity        float64 // share of a processor
	Seed            uint64
	Timer           *cwtimer.Service
	Log             *logrus.Logger
	Store           cwcellport.Store
	Registry        cwcellport.Registry
	Workers         cwcellport.Workers
	Advice          cwcellport.Advice
	ConfigSource    cwcellport.ConfigurationSource
	Peers           cwcellport.Peers
	MaxTaskLease    time.Duration // longest lease that workers grant
	StopTimeout     time.Duration // longest time of a stop
	StatusRetention time.Duration // how long final states stay known
	Observe         func(cwcellowner.Observation)
	// CellsFor returns how many cells a number of workers needs.
	CellsFor func(workers, parts int) int
}

const (
	// poolSize bounds the calls that may block at a time: starts, stops, writes, questions and offers.
	poolSize = 512
	// holdLease is how long tasks go on without a renewal: long enough for a takeover, short enough that the tasks of
	// a dead worker soon run elsewhere.
	holdLease = 3500 * time.Millisecond
	// startWindow is how long a start order may travel before its worker refuses it.
	startWindow = 2 * time.Second
	// rosterAge is how long a host counts as live after its last pulse.
	rosterAge = 1500 * time.Millisecond
	// peerShutdown bounds the wait for the calls of peers at the end.
	peerShutdown = 500 * time.Millisecond
)

// Node is one entry host.
type Node struct {
	*cwgateway.Gateway
	opts   Options
	config *cwconfigwatch.Watcher
	pool   *ants.Pool
	shards atomic.Pointer[[]*shard] // by the number of their cell; the first is always there
	mu     sync.Mutex               // held while shards are added or stopped
	ended  bool
}

// Start runs a node and returns the function that ends it at once; Leave comes before a graceful end.
func Start(opts Options) (n *Node, stop func(), err error) {
	defer func() { err = eris.Wrap(err, "start node") }()
	var cleanup cwduty.Cleanup
	pool, err := ants.NewPool(poolSize, ants.WithNonblocking(true), ants.WithDisablePurge(true))
	if err != nil {
		return nil, nil, err
	}
	cleanup.Add(pool.Release)
	n = &Node{opts: opts, pool: pool}
	n.shards.Store(&[]*shard{})
	n.config = cwconfigwatch.New(cwconfigwatch.Options{Source: n.observedSource(), Timer: opts.Timer, Log: opts.Log})
	n.Gateway = cwgateway.New(cwgateway.Options{
		Self: opts.Self, Store: opts.Store, Peers: opts.Peers, Timer: opts.Timer, Log: opts.Log,
		Owner: func(id cwmodel.JobID) (*cwcellowner.Owner, cwlease.View) {
			s := n.shardOf(id)
			return s.owner, s.tenure.View()
		},
		RelayPeers: n.relays,
		RunAsync:   func(call func()) bool { return pool.Submit(call) == nil },
	})
	n.grow(1)
	cleanup.Add(n.stopShards)
	cleanup.Add(n.config.Start())
	_, stopPeers, err := cwcellpeer.Serve(n.peerOptions())
	if err != nil {
		cleanup.Run()
		return nil, nil, err
	}
	cleanup.Add(stopPeers)
	return n, cleanup.Run, nil
}

// grow starts the shards of cells that this host has not heard of yet.
func (n *Node) grow(cells int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	present := *n.shards.Load()
	if n.ended || len(present) >= cells {
		return
	}
	grown := slices.Clone(present)
	for cell := len(present); cell < cells; cell++ {
		known := cells
		if cell == 0 {
			known = 0
		}
		grown = append(grown, n.startShard(cwlayout.Cell(cell), known))
	}
	n.shards.Store(&grown)
}

func (n *Node) stopShards() {
	n.mu.Lock()
	n.ended = true
	shards := *n.shards.Load()
	n.mu.Unlock()
	for _, s := range shards {
		s.cleanup.Run()
	}
}

// shard returns this host's part in a cell, nil if it has not heard of the cell.
func (n *Node) shard(cell cwlayout.Cell) *shard {
	if shards := *n.shards.Load(); cell >= 0 && int(cell) < len(shards) {
		return shards[cell]
	}
	return nil
}

func (n *Node) first() *shard { return n.shard(0) }

// layout returns how the deployment is divided, as far as this host knows.
func (n *Node) layout() cwlayout.Layout { return cwlayout.Layout{Cells: len(*n.shards.Load())} }

// shardOf returns this host's part in the cell that decides about a job.
func (n *Node) shardOf(id cwmodel.JobID) *shard {
	return n.shard(n.layout().CellOfPartition(cwlayout.PartitionOf(id, n.opts.Store.Partitions)))
}

// ownedBesides returns how many other cells this host owns.
func (n *Node) ownedBesides(s *shard) (owned int) {
	for _, other := range *n.shards.Load() {
		if other != s && other.tenure.View().IsOwner {
			owned++
		}
	}
	return owned
}

// met notes that an entry host of a data centre was heard of.
func (n *Node) met(dataCentre cwmodel.DataCentre) { n.first().tenure.RecordContact(dataCentre) }

func (n *Node) holdLease() time.Duration { return min(holdLease, n.opts.MaxTaskLease) }

// observedSource returns the source of the configuration; its calls tell whether the store is reached.
func (n *Node) observedSource() cwcellport.ConfigurationSource {
	observe := func(cfg *cwcellport.Configuration, version uint64, err error) (*cwcellport.Configuration, uint64, error) {
		n.first().tenure.RecordStoreResult(err)
		return cfg, version, err
	}
	source := n.opts.ConfigSource
	return cwcellport.ConfigurationSource{
		Read: func(timeout time.Duration) (*cwcellport.Configuration, uint64, error) {
			return observe(source.Read(timeout))
		},
		Watch: func(after uint64, wait time.Duration) (*cwcellport.Configuration, uint64, error) {
			return observe(source.Watch(after, wait))
		},
	}
}

func (n *Node) peerOptions() cwcellpeer.ServerOptions {
	return cwcellpeer.ServerOptions{
		Listen: n.opts.PeerBind, Log: n.opts.Log, ShutdownTimeout: peerShutdown,
		Heartbeat: n.pulse,
		NotifyJob: func(job *cwwork.Submission, version, fence uint64) error {
			return n.shardOf(job.ID).owner.NotifyJob(job, version, fence)
		},
		Lookup:          func(id cwmodel.JobID) (cwwork.JobState, bool, error) { return n.shardOf(id).owner.Lookup(id) },
		Cancel:          func(id cwmodel.JobID) (bool, error) { return n.shardOf(id).owner.Cancel(id) },
		RequestAdvice:   n.askHere,
		StoreSubmission: n.SubmitForPeer,
		TakeOver: func(cell cwlayout.Cell) {
			if s := n.shard(cell); s != nil {
				s.tenure.TakeOver()
			}
		},
	}
}

// pulse answers a peer that looks after the owner of a cell.
func (n *Node) pulse(p cwcellport.Heartbeat) (answer cwcellport.HeartbeatResponse) {
	n.met(p.From.DataCentre)
	if s := n.shard(p.Cell); s != nil {
		answer = s.pulse(p)
	}
	answer.Configuration = n.config.Version()
	return answer
}

// relays returns peers that reach the store, for a host that it refuses.
func (n *Node) relays() []cwcellport.EntryHost {
	if n.first().tenure.Isolated() {
		return nil // a prompt refusal lets the caller go elsewhere
	}
	peers := n.first().latest.Load().Peers
	if view := n.first().tenure.View(); view.Known && view.Owner.ID != n.opts.Self.ID && !view.RenewalFailing {
		peers = append([]cwcellport.EntryHost{view.Owner}, peers...)
	}
	var relays []cwcellport.EntryHost
	for _, p := range peers {
		if p.ID != n.opts.Self.ID && len(relays) < mostRelays {
			relays = append(relays, p)
		}
	}
	return relays
}

// mostRelays bounds the peers that one submission is handed to; the caller waits meanwhile.
const mostRelays = 2

// askHere asks the service from this host's own address.
func (n *Node) askHere(q *cwcell.AdviceRequest) ([]cwcell.EligibleWorker, time.Duration, error) {
	return n.opts.Advice.Request(q.Step, q.Workers, cwcellpeer.AdviceTimeout(q.Cost))
}

// Route returns the queue that a request addresses; ready is false before the first configuration.
func (n *Node) Route(host, path string) (q *cwcellport.Queue, ready bool) {
	return n.config.Route(host, path)
}

// MaxBodyBytes returns the largest body that the configuration allows.
func (n *Node) MaxBodyBytes() int { return n.config.MaxBodyBytes() }

// QueueLength returns how many jobs of a queue have not begun, as the last owners that knew every job have said; known is
// false if this host has not heard of all cells.
func (n *Node) QueueLength(queue cwwork.QueueName) (waiting int, known bool) {
	for _, s := range *n.shards.Load() {
		list, counted := s.waiting()
		if !counted {
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

// CanServe reports whether the host can serve callers: it holds a configuration and reaches the store or a peer. One that is
// cut off from both sends its callers to other hosts.
func (n *Node) CanServe() bool { return n.config.Version() > 0 && !n.first().tenure.Isolated() }

// OwnedCells returns how many cells this host may act as the owner of.
func (n *Node) OwnedCells() (owned int) {
	now := n.opts.Timer.Now()
	for _, s := range *n.shards.Load() {
		if s.tenure.HoldsLease(now) {
			owned++
		}
	}
	return owned
}
