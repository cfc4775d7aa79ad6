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
	StartWindow  time.Duration // a start order is void if the worker receives it later than this after SendOrder
	PollWait     time.Duration // how long a worker may delay its response to a poll for completions

	// HandleResult receives the result of an attempt and blocks while the receiver's inbox is full.
	// If it returns acknowledge false, the worker retains the result until Acknowledge is called.
	HandleResult func(ctx context.Context, result cwmodel.Result) (acknowledge bool, err error)
	// OnStaleEpoch is called if a worker rejects the epoch of this host's claim, because it has granted a larger one.
	OnStaleEpoch func(worker cwmodel.HostID, epoch cwmodel.Epoch)
}

// Stats are totals since the start of the process.
type Stats struct {
	Retries         uint64 // orders sent again because the response was lost
	Dropped         uint64 // orders given up because the worker was unreachable for too long
	OrphanedResults uint64 // results of requests that no entry host awaits any more
}

// Dispatcher sends the orders of one entry host, and polls each worker that the host owns.
type Dispatcher struct {
	opts            Options
	ctx             context.Context
	retryQueue      *cwring.Ring[*order]
	pollers         sync.WaitGroup
	mu              sync.Mutex
	connections     map[cwmodel.HostID]*connection
	requestAttempts map[cwmodel.HostID]attemptSet // attempts of requests (not of jobs) that may still run, by worker; they survive a new claim of the worker
	retryCount      atomic.Uint64
	droppedCount    atomic.Uint64
	orphanCount     atomic.Uint64
}

// attemptSet is a set of attempts.
type attemptSet map[cwmodel.Attempt]struct{}

// connection is the state of one owned worker: its address, its claim and the poller of its results.
type connection struct {
	workerAddr netip.AddrPort
	epoch      cwmodel.Epoch
	validity   cwclaim.Validity
	poller     *poller
	cancel     context.CancelFunc
}

// retryRingSize is the capacity of the ring of orders that are due for a retry.
const retryRingSize = 8192

// New starts a Dispatcher without workers and returns it with the function that stops all polls and the retries.
func New(opts Options) (d *Dispatcher, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	d = &Dispatcher{
		opts: opts, ctx: ctx, retryQueue: cwring.New[*order](retryRingSize),
		connections: map[cwmodel.HostID]*connection{}, requestAttempts: map[cwmodel.HostID]attemptSet{},
	}
	stopRetries := cwduty.Start("order-retry", d.runRetries)
	return d, func() {
		cancel()
		stopRetries()
		d.pollers.Wait()
	}
}

// AddWorker starts to poll a claimed worker for the results of attempts that ended. It replaces an earlier connection to the same worker.
//
// Attempts of requests that are not in the inventory count as no longer running.
func (d *Dispatcher) AddWorker(inventory cwport.Inventory, validity cwclaim.Validity) {
	worker := inventory.Worker
	d.RemoveWorker(worker.ID)
	ctx, cancel := context.WithCancel(d.ctx)
	p := newPoller(d, inventory)
	d.mu.Lock()
	d.requestAttempts[worker.ID] = d.runningRequestAttempts(inventory)
	d.connections[worker.ID] = &connection{workerAddr: worker.Address, epoch: inventory.Epoch, validity: validity, poller: p, cancel: cancel}
	d.mu.Unlock()
	d.pollers.Add(1)
	stop := cwduty.Start("worker-link", func(context.Context) { p.run(ctx) })
	context.AfterFunc(ctx, func() {
		defer d.pollers.Done()
		stop()
	})
}

// runningRequestAttempts returns those tracked attempts of requests that a worker's inventory lists as running. The caller holds d.mu.
func (d *Dispatcher) runningRequestAttempts(inventory cwport.Inventory) attemptSet {
	running := attemptSet{}
	for _, r := range inventory.Running {
		if _, ok := d.requestAttempts[inventory.Worker.ID][r.Attempt]; ok {
			running[r.Attempt] = struct{}{}
		}
	}
	return running
}

// ExtendClaim replaces the validity of the claim on a worker after a renewal; a renewal under another epoch is ignored.
func (d *Dispatcher) ExtendClaim(worker cwmodel.HostID, epoch cwmodel.Epoch, validity cwclaim.Validity) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if conn, ok := d.connections[worker]; ok && conn.epoch == epoch {
		conn.validity = validity
	}
}

// RemoveWorker removes the connection to a worker and stops polling it for results, without waiting for the last poll to return.
func (d *Dispatcher) RemoveWorker(worker cwmodel.HostID) {
	d.mu.Lock()
	conn, ok := d.connections[worker]
	delete(d.connections, worker)
	d.mu.Unlock()
	if ok {
		conn.cancel()
	}
}

// OpenRequests returns how many attempts of this host's requests may still run on a worker.
func (d *Dispatcher) OpenRequests(worker cwmodel.HostID) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.requestAttempts[worker])
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

// connectionTo returns a copy of the connection to a worker; ok is false if this host does not own the worker now.
func (d *Dispatcher) connectionTo(worker cwmodel.HostID) (conn connection, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	found, ok := d.connections[worker]
	if !ok {
		return conn, false
	}
	return *found, true
}

// trackRequestAttempt records that an attempt of a request may run on its worker.
func (d *Dispatcher) trackRequestAttempt(attempt cwmodel.Attempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.requestAttempts[attempt.Worker] == nil {
		d.requestAttempts[attempt.Worker] = attemptSet{}
	}
	d.requestAttempts[attempt.Worker][attempt] = struct{}{}
}

// untrackRequestAttempt removes an attempt that has ended or will not start, and reports whether it was tracked.
func (d *Dispatcher) untrackRequestAttempt(attempt cwmodel.Attempt) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, tracked := d.requestAttempts[attempt.Worker][attempt]
	delete(d.requestAttempts[attempt.Worker], attempt)
	return tracked
}
