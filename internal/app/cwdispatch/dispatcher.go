// Package cwdispatch carries orders to workers and their results back.
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

// Options set up the links.
type Options struct {
	Timer        *cwtimer.Service
	Log          *logrus.Logger
	Workers      cwport.Workers
	Pool         *ants.Pool
	OrderTimeout time.Duration // of one call that carries an order
	StartWindow  time.Duration // how long after its decision a start may begin
	PollWait     time.Duration // how long a worker holds a poll for completions

	// HandleResult takes the result of an attempt and blocks while its receiver is full; a result that is
	// not to be acknowledged yet stays at its worker until Acknowledge is called.
	HandleResult func(ctx context.Context, result cwmodel.Result) (acknowledge bool, err error)
	// OnStaleEpoch is told that a worker has granted a larger epoch than ours.
	OnStaleEpoch func(worker cwmodel.HostID, epoch cwmodel.Epoch)
}

// Counts are sums since the start of the process.
type Counts struct {
	Retries         uint64 // orders sent again because their answer was lost
	Dropped         uint64 // orders given up because their worker was not reached in time
	OrphanedResults uint64 // results of requests that no entry host waits for any more
}

// Dispatcher holds one link to each owned worker.
type Dispatcher struct {
	opts     Options
	ctx      context.Context
	retries  *cwring.Ring[*order]
	pollers  sync.WaitGroup
	mu       sync.Mutex
	links    map[cwmodel.HostID]*connection
	open     map[cwmodel.HostID]attempts // requests of this host; kept while a worker is claimed anew
	repeated atomic.Uint64
	dropped  atomic.Uint64
	orphans  atomic.Uint64
}

// attempts is a set of attempts.
type attempts map[cwmodel.Attempt]struct{}

// connection is the connection to one owned worker.
type connection struct {
	addr   netip.AddrPort
	epoch  cwmodel.Epoch
	hold   cwclaim.Validity
	poller *poller
	cancel context.CancelFunc
}

const retryRingSize = 8192

// New returns an empty set of links and the function that ends them all.
func New(opts Options) (l *Dispatcher, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	l = &Dispatcher{
		opts: opts, ctx: ctx, retries: cwring.New[*order](retryRingSize),
		links: map[cwmodel.HostID]*connection{}, open: map[cwmodel.HostID]attempts{},
	}
	stopRetries := cwduty.Start("order-retry", l.retry)
	return l, func() {
		cancel()
		stopRetries()
		l.pollers.Wait()
	}
}

// AddWorker begins to read the completions of an owned worker; an earlier link to it ends.
func (l *Dispatcher) AddWorker(inventory cwport.Inventory, hold cwclaim.Validity) {
	worker := inventory.Worker
	l.RemoveWorker(worker.ID)
	ctx, cancel := context.WithCancel(l.ctx)
	p := newPoller(l, inventory)
	l.mu.Lock()
	l.open[worker.ID] = l.stillOpen(inventory)
	l.links[worker.ID] = &connection{addr: worker.Address, epoch: inventory.Epoch, hold: hold, poller: p, cancel: cancel}
	l.mu.Unlock()
	l.pollers.Add(1)
	stop := cwduty.Start("worker-link", func(context.Context) { p.run(ctx) })
	context.AfterFunc(ctx, func() {
		defer l.pollers.Done()
		stop()
	})
}

// stillOpen returns which of this host's requests run on a worker that is claimed anew.
func (l *Dispatcher) stillOpen(inventory cwport.Inventory) attempts {
	still := attempts{}
	for _, r := range inventory.Running {
		if _, ok := l.open[inventory.Worker.ID][r.Attempt]; ok {
			still[r.Attempt] = struct{}{}
		}
	}
	return still
}

// ExtendClaim takes a longer hold of a worker.
func (l *Dispatcher) ExtendClaim(worker cwmodel.HostID, epoch cwmodel.Epoch, hold cwclaim.Validity) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if found, ok := l.links[worker]; ok && found.epoch == epoch {
		found.hold = hold
	}
}

// RemoveWorker ends the link to a worker without waiting for its last poll.
func (l *Dispatcher) RemoveWorker(worker cwmodel.HostID) {
	l.mu.Lock()
	closed, ok := l.links[worker]
	delete(l.links, worker)
	l.mu.Unlock()
	if ok {
		closed.cancel()
	}
}

// OpenRequests returns how many requests of this host may run on a worker.
func (l *Dispatcher) OpenRequests(worker cwmodel.HostID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open[worker])
}

// Acknowledge lets a worker drop a result that Ended had kept back.
func (l *Dispatcher) Acknowledge(attempt cwmodel.Attempt) {
	l.mu.Lock()
	found, ok := l.links[attempt.Worker]
	l.mu.Unlock()
	if ok {
		found.poller.acknowledge(attempt)
	}
}

// Counts returns the sums so far.
func (l *Dispatcher) Counts() Counts {
	return Counts{Retries: l.repeated.Load(), Dropped: l.dropped.Load(), OrphanedResults: l.orphans.Load()}
}

// find returns a copy of the link to a worker.
func (l *Dispatcher) find(worker cwmodel.HostID) (found connection, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	present, ok := l.links[worker]
	if !ok {
		return found, false
	}
	return *present, true
}

func (l *Dispatcher) noteOpen(attempt cwmodel.Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[attempt.Worker] == nil {
		l.open[attempt.Worker] = attempts{}
	}
	l.open[attempt.Worker][attempt] = struct{}{}
}

// noteEnded forgets an open request and reports whether it was known.
func (l *Dispatcher) noteEnded(attempt cwmodel.Attempt) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, known := l.open[attempt.Worker][attempt]
	delete(l.open[attempt.Worker], attempt)
	return known
}
