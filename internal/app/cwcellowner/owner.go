// Package cwcellowner carries out the decisions of the cell while this host holds the cell's lease.
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

	StatusRetention time.Duration
	StopTimeout     time.Duration
	// TaskLease is how long tasks go on without a renewal.
	TaskLease time.Duration
	// StartWindow is how long a start order may travel.
	StartWindow time.Duration

	// Policy returns the present policy of a queue.
	Policy func(cwwork.QueueName) (cwwork.QueuePolicy, bool)
	// HoldsLease reports whether the lease of the cell is in force.
	HoldsLease func(now time.Time) bool
	// Superseded is called when a later owner was noticed.
	Superseded func()
	// CellsFor returns how many cells a number of workers needs.
	CellsFor func(workers, parts int) int
	// Divide is called when the workers need several cells.
	Divide func(cells int)
	// AdviceHosts returns the entry hosts through which advice can be asked; the zero address stands for this host.
	AdviceHosts func() []netip.AddrPort
	// RequestAdvice asks for advice through an entry host.
	RequestAdvice func(through netip.AddrPort, q *cwcell.AdviceRequest) (good []cwcell.EligibleWorker, validity time.Duration, err error)
	// Observe is called with each event that metrics count; it must not block.
	Observe func(Observation)
}

// Observation is one event for the metrics: one of those below, or a decision of the cell by its name in the log.
type Observation struct {
	Event string
	Queue cwwork.QueueName
	State cwwork.JobState
	Took  time.Duration
}

// The events that are timed.
const (
	EventCommit  = "commit"
	EventAdvice  = "advice"
	EventStarted = "job-begun" // since its acceptance
	EventEnded   = "job-ended" // since its acceptance
)

// Limits of the owner.
const (
	inboxSlots   = 8192
	tickPeriod   = 50 * time.Millisecond
	callerWait   = 1200 * time.Millisecond // for the owner's answer to a question of a caller
	loadTimeout  = 2 * time.Second         // of one read of the takeover
	statusPeriod = 250 * time.Millisecond  // between two publications of the numbers of waiting jobs
)

// Owner is the duty that owns the cell's state.
type Owner struct {
	opts    Options
	inbox   *cwring.Ring[func(now time.Time)]
	session *session
	waiting atomic.Pointer[[]cwcellport.QueueLength] // nil until every job is known
}

// Start runs an owner and returns the function that stops it.
func Start(opts Options) (o *Owner, stop func()) {
	o = &Owner{opts: opts, inbox: cwring.New[func(time.Time)](inboxSlots)}
	end := cwduty.Start("cell-owner", o.run)
	return o, end
}

func (o *Owner) run(ctx context.Context) {
	var buf []func(time.Time)
	for {
		if buf = o.inbox.Drain(ctx, buf[:0]); len(buf) == 0 {
			o.end()
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

// holds reports whether the lease of the cell is in force now. Calls ask again right before they leave: the host may have
// been suspended since they were decided on.
func (o *Owner) holds() bool { return o.opts.HoldsLease(o.opts.Timer.Now()) }

// post hands an event to the duty; it blocks while the ring is full.
func (o *Owner) post(handle func(now time.Time)) {
	// The ring is drained until the process ends, so that a wait is short.
	_ = o.inbox.Put(context.Background(), handle)
}

// Activate begins to act as the owner under a new lease.
func (o *Owner) Activate(t cwlease.Grant) {
	o.post(func(now time.Time) {
		o.end()
		o.session = newSession(o, t, now)
	})
}

// Deactivate stops to act as the owner.
func (o *Owner) Deactivate() { o.post(func(time.Time) { o.end() }) }

func (o *Owner) end() {
	if o.session != nil {
		o.session.close()
		o.session = nil
		o.waiting.Store(nil)
	}
}

// QueueLengths returns the numbers of jobs that have not begun, as of a moment ago; counted is false while the owner does not
// know every job.
func (o *Owner) QueueLengths() (list []cwcellport.QueueLength, counted bool) {
	if p := o.waiting.Load(); p != nil {
		return *p, true
	}
	return nil, false
}

// ask runs a question on the duty and waits for its answer.
func ask[T any](o *Owner, wait time.Duration, question func(s *session, now time.Time, answer func(T))) (result T, err error) {
	answers := make(chan T, 1)
	refused := make(chan struct{}, 1)
	posted := o.inbox.Offer(func(now time.Time) {
		if o.session == nil {
			refused <- struct{}{}
			return
		}
		question(o.session, now, func(v T) { answers <- v })
	})
	if !posted {
		return result, cwfault.New(cwfault.Unavailable, "the owner's inbox is full")
	}
	expired := make(chan struct{})
	cancel := o.opts.Timer.After(wait, func(time.Time) { close(expired) })
	defer cancel()
	select {
	case result = <-answers:
		return result, nil
	case <-refused:
		return result, cwfault.New(cwfault.NotSupported, "this host does not own the cell")
	case <-expired:
		return result, cwfault.New(cwfault.Indefinite, "the owner did not answer within %s", wait)
	}
}

// NotifyJob takes a job whose row is durable and was accepted under the owner with the given fence.
func (o *Owner) NotifyJob(s *cwwork.Submission, version, fence uint64) error {
	taken, err := ask(o, callerWait, func(e *session, now time.Time, answer func(bool)) {
		if fence == e.tenure.Fence {
			e.admit(s, version, now)
		}
		answer(fence == e.tenure.Fence)
	})
	if err == nil && !taken {
		return cwfault.New(cwfault.NotSupported, "the job was accepted under another owner")
	}
	return err
}

// jobState is the answer to a question about one job.
type jobState struct {
	state cwwork.JobState
	known bool
}

// Lookup returns the state of a job, false if the owner does not know it.
func (o *Owner) Lookup(id cwmodel.JobID) (state cwwork.JobState, known bool, err error) {
	found, err := ask(o, callerWait, func(e *session, _ time.Time, answer func(jobState)) {
		var s jobState
		s.state, s.known = e.cell.JobState(id)
		answer(s)
	})
	return found.state, found.known, err
}

// Cancel ends a job and returns once its end is durable, false if the owner does not know it.
func (o *Owner) Cancel(id cwmodel.JobID) (known bool, err error) {
	return ask(o, callerWait, func(e *session, _ time.Time, answer func(bool)) {
		known, durable := e.cell.Cancel(id)
		if !known || durable {
			answer(known)
			return
		}
		e.cancels[id] = append(e.cancels[id], func() { answer(true) })
	})
}
