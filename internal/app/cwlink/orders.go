// Package cwlink carries orders to workers and their results back.
package cwlink

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"

	"currantward/internal/base/cwduty"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwring"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwdecider"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
)

// Options set up the links.
type Options struct {
	Timer        *cwtimer.Service
	Log          *logrus.Logger
	Workers      cwport.Workers
	Pool         *ants.Pool
	OrderTimeout time.Duration // of one start or stop order
	StartWindow  time.Duration // how long after its decision a start may begin
	PollWait     time.Duration // how long a worker holds a poll for completions

	// Ended takes the result of an attempt and blocks while its receiver is full.
	Ended func(ctx context.Context, result cwmodel.Result) error
	// IsDurable reports whether the results of a task are acknowledged by Acknowledge only; nil where none is.
	IsDurable func(task cwmodel.TaskID) bool
	// Stale is told that a worker has granted a larger epoch than ours.
	Stale func(worker cwmodel.HostID, epoch cwmodel.Epoch)
}

// Links holds one link to each owned worker.
type Links struct {
	opts  Options
	ctx   context.Context
	mu    sync.Mutex
	links map[cwmodel.HostID]*link
}

// link is the connection to one owned worker.
type link struct {
	addr  netip.AddrPort
	epoch cwmodel.Epoch
	acks  *cwring.Ring[cwmodel.Attempt]
	stop  func()
}

// New returns an empty set of links and the function that ends them all.
func New(opts Options) (l *Links, stop func()) {
	if opts.IsDurable == nil {
		opts.IsDurable = func(cwmodel.TaskID) bool { return false }
	}
	ctx, cancel := context.WithCancel(context.Background())
	l = &Links{opts: opts, ctx: ctx, links: map[cwmodel.HostID]*link{}}
	return l, func() {
		cancel()
		l.closeAll()
	}
}

// Open begins to read the completions of an owned worker.
func (l *Links) Open(worker cwmodel.Worker, epoch cwmodel.Epoch) {
	l.Close(worker.ID)
	opened := &link{addr: worker.Address, epoch: epoch, acks: cwring.New[cwmodel.Attempt](acksSize)}
	poller := &poller{opts: l.opts, worker: worker, epoch: epoch, held: map[cwmodel.Attempt]time.Time{}, written: opened.acks}
	opened.stop = cwduty.Start("worker-link", poller.run)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.links[worker.ID] = opened
}

// Close ends the link to a worker.
func (l *Links) Close(worker cwmodel.HostID) {
	l.mu.Lock()
	closed, ok := l.links[worker]
	delete(l.links, worker)
	l.mu.Unlock()
	if ok {
		closed.stop()
	}
}

// acksSize bounds the acknowledgements that wait for the next poll of a worker.
const acksSize = 1024

// Acknowledge lets the worker drop a durable result; one that finds no room is offered again with the result.
func (l *Links) Acknowledge(a cwmodel.Attempt) {
	l.mu.Lock()
	found, ok := l.links[a.Worker]
	l.mu.Unlock()
	if ok {
		found.acks.Offer(a)
	}
}

func (l *Links) closeAll() {
	l.mu.Lock()
	links := l.links
	l.links = map[cwmodel.HostID]*link{}
	l.mu.Unlock()
	for _, closed := range links {
		closed.stop()
	}
}

func (l *Links) find(worker cwmodel.HostID) (addr netip.AddrPort, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	found, ok := l.links[worker]
	if !ok {
		return addr, false
	}
	return found.addr, true
}

// Order sends one start or stop order from the pool; an order that finds the pool full was not sent.
func (l *Links) Order(action cwdecider.Action) {
	notAfter := l.opts.Timer.Now().Add(l.opts.StartWindow)
	err := l.opts.Pool.Submit(func() { l.carryOut(action, notAfter) })
	if err != nil && action.Kind == cwdecider.ActionStart {
		go l.neverBegan(action.Attempt, "the pool for orders is full")
	}
}

func (l *Links) carryOut(action cwdecider.Action, notAfter time.Time) {
	addr, ok := l.find(action.Attempt.Worker)
	switch {
	case !ok && action.Kind == cwdecider.ActionStart:
		l.neverBegan(action.Attempt, "the worker is no longer owned")
	case !ok:
		return
	case action.Kind == cwdecider.ActionStart:
		l.start(addr, action, notAfter)
	case action.Kind == cwdecider.ActionStop:
		l.stop(addr, action)
	}
}

func (l *Links) start(addr netip.AddrPort, action cwdecider.Action, notAfter time.Time) {
	ctx, cancel := context.WithTimeout(l.ctx, l.opts.OrderTimeout)
	defer cancel()
	err := l.opts.Workers.Start(ctx, addr, cwport.Start{Task: action.Task, Attempt: action.Attempt, NotAfter: notAfter})
	switch cwfault.CodeOf(err) {
	case "":
		return
	case cwfault.StaleEpoch:
		l.neverBegan(action.Attempt, "the worker has another owner")
		l.opts.Stale(action.Attempt.Worker, action.Attempt.Epoch)
	case cwfault.Refused, cwfault.Unavailable:
		l.neverBegan(action.Attempt, cwfault.MessageOf(err))
	default:
		l.stop(addr, action)
	}
}

// stop ends an attempt for certain; where the worker does not answer, its lease has to end.
func (l *Links) stop(addr netip.AddrPort, action cwdecider.Action) {
	ctx, cancel := context.WithTimeout(l.ctx, l.opts.OrderTimeout)
	defer cancel()
	mode := action.Mode
	if mode == "" {
		mode = cwmodel.StopNow
	}
	result, err := l.opts.Workers.Stop(ctx, addr, action.Attempt, mode)
	if cwfault.CodeOf(err) == cwfault.NotFound {
		l.neverBegan(action.Attempt, "the worker has refused it or its result was acknowledged before")
		return
	}
	if err != nil {
		l.opts.Log.WithFields(logrus.Fields{
			"task": action.Attempt.Task, "worker": action.Attempt.Worker, "error": cwfault.MessageOf(err),
		}).Warn("stop-failed")
		return
	}
	_ = l.opts.Ended(l.ctx, result)
}

func (l *Links) neverBegan(attempt cwmodel.Attempt, message string) {
	result := cwmodel.Result{Attempt: attempt, End: cwmodel.EndNeverBegan, Message: message, Ended: l.opts.Timer.Now()}
	_ = l.opts.Ended(l.ctx, result)
}
