// Package cwdispatch sends start and stop orders to workers and polls the workers for results.
package cwdispatch

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"

	"currantward/internal/base/cwduty"
	"currantward/internal/base/cwring"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwclaim"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
)

// Options configure a Dispatcher.
type Options struct {
	Timer        *cwtimer.Service
	Log          *logrus.Logger
	Workers      cwport.Workers
	Pool         *ants.Pool
	OrderTimeout time.Duration // timeout of one call that sends an order
	StartWindow  time.Duration // a task starts within this time of its scheduling decision or not at all
	PollWait     time.Duration // how long a worker may delay its response to a poll for completions

	// HandleResult receives the result of an attempt and blocks while the receiver's inbox is full.
	// If it returns acknowledge false, the worker retains the result until Acknowledge is called.
	HandleResult func(ctx context.Context, result cwmodel.Result) (acknowledge bool, err error)
	// OnStaleEpoch is called if a worker has granted a larger epoch than the one used by this host.
	OnStaleEpoch func(worker cwmodel.HostID, epoch cwmodel.Epoch)
}

// Stats are totals since the start of the process.
type Stats struct {
	Retries         uint64 // orders sent again because the response was lost
	Dropped         uint64 // orders given up because the worker was unreachable for too long
	OrphanedResults uint64 // results of requests that no entry host awaits any more
}

// Dispatcher keeps one connection for each owned worker.
type Dispatcher struct {
	opts         Options
	ctx          context.Context
	retryQueue   *cwring.Ring[*order]
	pollers      sync.WaitGroup
	mu           sync.Mutex
	connections  map[cwmodel.HostID]*connection
	openRequests map[cwmodel.HostID]attempts // requests of this host, kept while a worker is claimed again
	retryCount   atomic.Uint64
	droppedCount atomic.Uint64
	orphanCount  atomic.Uint64
}

type attempts map[cwmodel.Attempt]struct{}

// connection is the state of one owned worker: its address, its claim and the poller of its results.
type connection struct {
	addr     netip.AddrPort
	epoch    cwmodel.Epoch
	validity cwclaim.Validity
	poller   *poller
	cancel   context.CancelFunc
}

const retryRingSize = 8192

// New returns a Dispatcher without workers and the function that removes all workers and stops it.
func New(opts Options) (d *Dispatcher, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	d = &Dispatcher{
		opts: opts, ctx: ctx, retryQueue: cwring.New[*order](retryRingSize),
		connections: map[cwmodel.HostID]*connection{}, openRequests: map[cwmodel.HostID]attempts{},
	}
	stopRetries := cwduty.Start("order-retry", d.runRetries)
	return d, func() {
		cancel()
		stopRetries()
		d.pollers.Wait()
	}
}

// AddWorker starts to poll an owned worker for completions and replaces an earlier connection to the same worker.
func (d *Dispatcher) AddWorker(inventory cwport.Inventory, validity cwclaim.Validity) {
	worker := inventory.Worker
	d.RemoveWorker(worker.ID)
	ctx, cancel := context.WithCancel(d.ctx)
	p := newPoller(d, inventory)
	d.mu.Lock()
	d.openRequests[worker.ID] = d.runningRequests(inventory)
	d.connections[worker.ID] = &connection{addr: worker.Address, epoch: inventory.Epoch, validity: validity, poller: p, cancel: cancel}
	d.mu.Unlock()
	d.pollers.Add(1)
	stop := cwduty.Start("worker-link", func(context.Context) { p.run(ctx) })
	context.AfterFunc(ctx, func() {
		defer d.pollers.Done()
		stop()
	})
}

// runningRequests returns the requests of this host that still run on a worker after a new claim.
func (d *Dispatcher) runningRequests(inventory cwport.Inventory) attempts {
	running := attempts{}
	for _, r := range inventory.Running {
		if _, ok := d.openRequests[inventory.Worker.ID][r.Attempt]; ok {
			running[r.Attempt] = struct{}{}
		}
	}
	return running
}

// ExtendClaim replaces the validity of the claim on a worker after a renewal.
func (d *Dispatcher) ExtendClaim(worker cwmodel.HostID, epoch cwmodel.Epoch, validity cwclaim.Validity) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if conn, ok := d.connections[worker]; ok && conn.epoch == epoch {
		conn.validity = validity
	}
}

// RemoveWorker stops polling a worker without waiting for the last poll to return.
func (d *Dispatcher) RemoveWorker(worker cwmodel.HostID) {
	d.mu.Lock()
	conn, ok := d.connections[worker]
	delete(d.connections, worker)
	d.mu.Unlock()
	if ok {
		conn.cancel()
	}
}

// OpenRequests returns how many requests of this host may still run on a worker.
func (d *Dispatcher) OpenRequests(worker cwmodel.HostID) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.openRequests[worker])
}

// Acknowledge allows a worker to drop a result that HandleResult did not acknowledge.
func (d *Dispatcher) Acknowledge(attempt cwmodel.Attempt) {
	d.mu.Lock()
	conn, ok := d.connections[attempt.Worker]
	d.mu.Unlock()
	if ok {
		conn.poller.acknowledge(attempt)
	}
}

// Stats returns the totals so far.
func (d *Dispatcher) Stats() Stats {
	return Stats{Retries: d.retryCount.Load(), Dropped: d.droppedCount.Load(), OrphanedResults: d.orphanCount.Load()}
}

// lookup returns a copy of the connection to a worker.
func (d *Dispatcher) lookup(worker cwmodel.HostID) (conn connection, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	found, ok := d.connections[worker]
	if !ok {
		return conn, false
	}
	return *found, true
}

func (d *Dispatcher) trackRequest(attempt cwmodel.Attempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.openRequests[attempt.Worker] == nil {
		d.openRequests[attempt.Worker] = attempts{}
	}
	d.openRequests[attempt.Worker][attempt] = struct{}{}
}

// untrackRequest removes an open request and reports whether it was tracked.
func (d *Dispatcher) untrackRequest(attempt cwmodel.Attempt) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, tracked := d.openRequests[attempt.Worker][attempt]
	delete(d.openRequests[attempt.Worker], attempt)
	return tracked
}
