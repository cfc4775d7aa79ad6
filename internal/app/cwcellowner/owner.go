// Package cwcellowner runs a cell on the host that holds the cell's lease: it executes the scheduling decisions, persists the
// state and calls the workers.
package cwcellowner

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"

	"currantward/internal/app/cwlease"
	"currantward/internal/base/cwduty"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwring"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwcell"
	"currantward/internal/core/cwlayout"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
	"currantward/internal/port/cwcellport"
)

// Options configure an owner.
type Options struct {
	Cell     cwlayout.Cell
	Self     cwcellport.EntryHost
	Store    cwcellport.Store
	Registry cwcellport.Registry
	Workers  cwcellport.Workers
	Timer    *cwtimer.Service
	Pool     *ants.Pool
	Log      *logrus.Logger
	Seed     uint64

	StatusRetention time.Duration // how long final states are kept
	StopTimeout     time.Duration // longest duration of a task stop
	// TaskLease is how long a worker runs tasks without a renewal of their leases.
	TaskLease    time.Duration
	MaxTaskLease time.Duration // longest task lease that workers grant, on their clocks
	// StartWindow is the longest transit time of a start order; its worker refuses a later one.
	StartWindow time.Duration

	// Policy returns the current policy of a queue.
	Policy func(cwwork.QueueName) (cwwork.QueuePolicy, bool)
	// HoldsLease reports whether this host holds the valid lease of the cell.
	HoldsLease func(now time.Time) bool
	// OwnedUntil returns the latest time at which this host is known to have been the cell's only owner under a fence, or the zero
	// time if it no longer holds that lease.
	OwnedUntil func(fence uint64) time.Time
	// OnSuperseded is called when a worker or the store gives evidence of a later owner.
	OnSuperseded func()
	// RequiredCells returns the number of cells for a number of workers, given the number of partitions of the store.
	RequiredCells func(workers, partitions int) int
	// Divide requests that the deployment is divided into the given number of cells. The cell is quiescent at that time.
	Divide func(cells int)
	// AdviceHosts returns the entry hosts that can send advice requests; the zero address is this host.
	AdviceHosts func() []netip.AddrPort
	// RequestAdvice sends an advice request through an entry host.
	RequestAdvice func(through netip.AddrPort, r *cwcell.AdviceRequest) (eligible []cwcell.EligibleWorker, validity time.Duration, err error)
	// Observe is called with each event that the metrics count; it must not block.
	Observe func(Observation)
}

// Observation is one event for the metrics: one of the timed events below, or a decision of the cell under the event name of
// its log entry. Fields that do not apply to an event are zero.
type Observation struct {
	Event    string
	Queue    cwwork.QueueName
	State    cwwork.JobState
	Duration time.Duration
}

// Timed events; an Observation of one of these has a Duration.
const (
	EventCommit  = "commit"
	EventAdvice  = "advice"
	EventStarted = "job-begun" // timed from the job's acceptance
	EventEnded   = "job-ended" // timed from the job's acceptance
)

// Limits of the owner.
const (
	inboxSlots        = 8192
	tickPeriod        = 50 * time.Millisecond
	queryTimeout      = 1200 * time.Millisecond // for the owner's response to the request of a caller or peer
	loadTimeout       = 2 * time.Second         // of one read at a takeover
	maintenancePeriod = 250 * time.Millisecond  // between two calls of runMaintenance
)

// Owner is the duty that owns the state of a cell while this host holds the cell's lease.
type Owner struct {
	opts         Options
	inbox        *cwring.Ring[func(now time.Time)]
	session      *session                                 // nil while this host does not own the cell
	queueLengths atomic.Pointer[[]cwcellport.QueueLength] // nil until every job is loaded
}

// Start runs an owner and returns the function that stops it.
func Start(opts Options) (o *Owner, stop func()) {
	o = &Owner{opts: opts, inbox: cwring.New[func(time.Time)](inboxSlots)}
	stopDuty := cwduty.Start("cell-owner", o.run)
	return o, stopDuty
}

// run processes the events in the inbox, and lets the session act after each batch of them, until ctx ends. It then closes the
// session.
func (o *Owner) run(ctx context.Context) {
	var buf []func(time.Time)
	for {
		if buf = o.inbox.Drain(ctx, buf[:0]); len(buf) == 0 {
			o.closeSession()
			return
		}
		now := o.opts.Timer.Now()
		for _, handle := range buf {
			handle(now)
		}
		if o.session != nil {
			o.session.step(now)
		}
	}
}

// post sends an event to the duty; it blocks while the inbox is full.
func (o *Owner) post(handle func(now time.Time)) {
	// The duty drains the inbox until the process ends, so this does not block for long.
	_ = o.inbox.Put(context.Background(), handle)
}

// Activate ends the current session, if any, and starts one under a new lease.
func (o *Owner) Activate(g cwlease.Grant) {
	o.post(func(now time.Time) {
		o.closeSession()
		o.session = newSession(o, g, now)
	})
}

// Deactivate ends the session, if any.
func (o *Owner) Deactivate() { o.post(func(time.Time) { o.closeSession() }) }

// closeSession ends the session, if any; the queue lengths are then unknown.
func (o *Owner) closeSession() {
	if o.session != nil {
		o.session.close()
		o.session = nil
		o.queueLengths.Store(nil)
	}
}

// QueueLengths returns how many jobs of each queue have not started, as of the last update; complete is false until every job
// is loaded.
func (o *Owner) QueueLengths() (list []cwcellport.QueueLength, complete bool) {
	if p := o.queueLengths.Load(); p != nil {
		return *p, true
	}
	return nil, false
}

// query runs request on the owner's duty and waits until it calls respond. It fails with Unavailable if the inbox is full, with
// NotSupported if this host does not own the cell, and with Indefinite if there is no response within timeout.
func query[T any](o *Owner, timeout time.Duration, request func(s *session, now time.Time, respond func(T))) (result T, err error) {
	results := make(chan T, 1)
	notOwner := make(chan struct{}, 1)
	posted := o.inbox.Offer(func(now time.Time) {
		if o.session == nil {
			notOwner <- struct{}{}
			return
		}
		request(o.session, now, func(v T) { results <- v })
	})
	if !posted {
		return result, cwfault.New(cwfault.Unavailable, "the owner's inbox is full")
	}
	expired := make(chan struct{})
	cancel := o.opts.Timer.After(timeout, func(time.Time) { close(expired) })
	defer cancel()
	select {
	case result = <-results:
		return result, nil
	case <-notOwner:
		return result, cwfault.New(cwfault.NotSupported, "this host does not own the cell")
	case <-expired:
		return result, cwfault.New(cwfault.Indefinite, "the owner did not answer within %s", timeout)
	}
}

// NotifyJob admits a job whose row is durable with the given version and which was accepted under the owner with the given
// fence. It fails with NotSupported if that is not the fence of this owner.
func (o *Owner) NotifyJob(s *cwwork.Submission, version, fence uint64) error {
	admitted, err := query(o, queryTimeout, func(sess *session, now time.Time, respond func(bool)) {
		if fence == sess.grant.Fence {
			sess.admit(s, version, now)
		}
		respond(fence == sess.grant.Fence)
	})
	if err == nil && !admitted {
		return cwfault.New(cwfault.NotSupported, "the job was accepted under another owner")
	}
	return err
}

// lookupResult is the state of a job; known is false if the owner does not know the job.
type lookupResult struct {
	state cwwork.JobState
	known bool
}

// Lookup returns the state of a job; known is false if the owner does not know the job.
func (o *Owner) Lookup(id cwmodel.JobID) (state cwwork.JobState, known bool, err error) {
	found, err := query(o, queryTimeout, func(sess *session, _ time.Time, respond func(lookupResult)) {
		var r lookupResult
		r.state, r.known = sess.cell.JobState(id)
		respond(r)
	})
	return found.state, found.known, err
}

// Cancel cancels a job and waits until its end is durable; known is false if the owner does not know the job.
func (o *Owner) Cancel(id cwmodel.JobID) (known bool, err error) {
	return query(o, queryTimeout, func(sess *session, _ time.Time, respond func(bool)) {
		known, durable := sess.cell.Cancel(id)
		if !known || durable {
			respond(known)
			return
		}
		sess.cancelWaiters[id] = append(sess.cancelWaiters[id], func() { respond(true) })
	})
}
