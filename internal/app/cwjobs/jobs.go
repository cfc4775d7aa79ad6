// Package cwjobs drives the jobs whose home is this entry host.
//
// A job is accepted once its row is committed, and each attempt is committed before its start order is
// sent. A change is always made on the committed state and takes effect once the row is committed again.
package cwjobs

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"currantward/internal/app/cwattempt"
	"currantward/internal/app/cwjobrow"
	"currantward/internal/app/cwjobstore"
	"currantward/internal/app/cwtablewriter"
	"currantward/internal/base/cwduty"
	"currantward/internal/base/cwring"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwdecider"
	"currantward/internal/core/cwjob"
	"currantward/internal/core/cwjobfleet"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
)

// Options set up the jobs of one entry host.
type Options struct {
	Timer         *cwtimer.Service
	Log           *logrus.Logger
	Table         cwport.Table
	Objects       cwport.ObjectStore
	Workers       cwport.Workers
	Self          cwjob.Coordinator
	DataCentre    cwmodel.DataCentre
	InboxSize     int
	MaxJobs       int // held at once
	TickEvery     time.Duration
	HintEvery     time.Duration // between looks for hints of other hosts
	ScanEvery     time.Duration // between looks at all live jobs when nothing else asks for one
	AdoptAfter    time.Duration // a home that is gone for longer is adopted from
	CallTimeout   time.Duration // of one call to the table, the object store or a worker
	WriteTimeout  time.Duration // how long the acceptance of a job or a start waits for its commit
	RetryAfter    time.Duration // before a task that could not be placed is submitted again
	HandOverAfter time.Duration // a job that waits for longer goes to a peer that has room
	VerifyAfter   time.Duration // an attempt that is outstanding for longer is looked for at its worker, once
	LeaseGrace    time.Duration // added to a lease before an attempt on a host that is gone counts as over
	InlineSize    int           // larger answers go to the object store

	// Go runs work that may block; it fails if there is no room for it.
	Go func(work func()) error
	// Write hands one entry to the ledger.
	Write func(e cwtablewriter.Write)
	// Submit hands a task to the scheduler; it returns false if there is no room.
	Submit func(t cwmodel.Task, reply func(cwmodel.Response)) bool
	// SubmitGang hands over tasks that start all at once or not at all; nil where gangs are not supported.
	SubmitGang func(tasks []cwmodel.Task, reply func(cwmodel.Response)) bool
	// PeerWithCapacity returns a live peer of this data centre where a task of this demand would start at once.
	PeerWithCapacity func(demand cwmodel.Resources) (host cwmodel.HostID, ok bool)
	// Withdraw ends a task that the scheduler holds.
	Withdraw func(ctx context.Context, id cwmodel.TaskID) error
	// ReportResult tells the scheduler that an attempt is over.
	ReportResult func(ctx context.Context, r cwmodel.Result) error
	// SendOrder sends a start or stop order to an owned worker; it must not block.
	SendOrder func(action cwdecider.Action)
	// Acknowledge lets the worker drop a result that is written; it must not block.
	Acknowledge func(a cwmodel.Attempt)
	// OnJobEnded takes each job whose end this host committed, once; it may be nil.
	OnJobEnded func(job *cwjob.Job)
}

// DefaultOptions returns the periods and bounds that suit an entry host.
func DefaultOptions() Options {
	return Options{
		InboxSize: 16384, MaxJobs: 10000, TickEvery: 250 * time.Millisecond, HintEvery: time.Second, ScanEvery: 5 * time.Minute,
		AdoptAfter: 3 * time.Second, CallTimeout: 2 * time.Second, WriteTimeout: 4 * time.Second, RetryAfter: time.Second,
		HandOverAfter: 3 * time.Second, VerifyAfter: 10 * time.Second, LeaseGrace: 10 * time.Second, InlineSize: 4 << 10,
	}
}

// eventKind names what an event tells the duty.
type eventKind string

const (
	eventAccept   eventKind = "accept"
	eventAccepted eventKind = "accepted"
	eventCancel   eventKind = "cancel"
	eventAction   eventKind = "action"
	eventResult   eventKind = "result"
	eventAnswered eventKind = "answered"
	eventOwned    eventKind = "worker-owned"
	eventLost     eventKind = "worker-lost"
	eventView     eventKind = "view"
	eventRead     eventKind = "read"
	eventWritten  eventKind = "written"
	eventPayload  eventKind = "payload"
	eventSettled  eventKind = "settled"
	eventStored   eventKind = "stored"
	eventPage     eventKind = "page"
	eventHints    eventKind = "hints"
	eventTick     eventKind = "tick"
)

// event is one item of the inbox; which fields are set depends on its kind.
type event struct {
	kind       eventKind
	id         cwmodel.JobID
	task       int
	generation uint64
	job        *cwjob.Job
	version    cwport.RowVersion
	verdict    cwtablewriter.WriteResult
	reply      func(verdict cwtablewriter.WriteResult)
	action     cwdecider.Action
	result     cwmodel.Result
	attempt    cwmodel.Attempt
	finding    cwattempt.Status
	answer     cwmodel.Response
	inventory  cwport.Inventory
	worker     cwmodel.HostID
	workers    []cwmodel.Host
	hosts      []cwmodel.HostID
	rows       []cwport.Row
	payload    []byte
	change     cwjobrow.Change
	again      bool // the event comes back to be tried anew
	err        error
}

// Jobs owns the jobs of one entry host.
type Jobs struct {
	opts       Options
	store      *cwjobstore.Store
	inbox      *cwring.Ring[event]
	entries    map[cwmodel.JobID]*entry
	fleet      *cwjobfleet.Fleet
	began      time.Time
	scan       scan
	hinting    bool
	nextHint   time.Time
	generation uint64
}

// New starts the duty and returns the function that stops it.
func New(opts Options) (j *Jobs, stop func()) {
	j = newJobs(opts)
	cancel := opts.Timer.Every(opts.TickEvery, func(time.Time) { j.inbox.Offer(event{kind: eventTick}) })
	stopDuty := cwduty.Start("jobs", j.run)
	return j, func() {
		cancel()
		stopDuty()
	}
}

func newJobs(opts Options) *Jobs {
	j := &Jobs{
		opts: opts, store: cwjobstore.New(opts.Table, opts.Objects), inbox: cwring.New[event](opts.InboxSize), entries: map[cwmodel.JobID]*entry{},
		fleet: cwjobfleet.New(opts.Self, opts.AdoptAfter), began: opts.Timer.Now(),
	}
	j.scan.due = j.began.Add(opts.AdoptAfter)
	return j
}

// HandleAction takes a start or stop order that the scheduler decided on for a durable task; it never blocks.
func (j *Jobs) HandleAction(action cwdecider.Action) {
	j.deliver(event{kind: eventAction, action: action})
}

// HandleResult takes the result of an attempt of a durable task and blocks while the inbox is full.
func (j *Jobs) HandleResult(ctx context.Context, r cwmodel.Result) error {
	return j.inbox.Put(ctx, event{kind: eventResult, result: r})
}

// AddWorker takes a worker that was claimed, with its inventory.
func (j *Jobs) AddWorker(ctx context.Context, inventory cwport.Inventory) error {
	return j.inbox.Put(ctx, event{kind: eventOwned, inventory: inventory})
}

// RemoveWorker takes a worker away whose claim has ended.
func (j *Jobs) RemoveWorker(ctx context.Context, worker cwmodel.HostID) error {
	return j.inbox.Put(ctx, event{kind: eventLost, worker: worker})
}

// UpdateHosts takes the workers and the live entry hosts of this data centre; a view that finds no room is superseded by the next.
func (j *Jobs) UpdateHosts(workers []cwmodel.Host, hosts []cwmodel.HostID) {
	j.inbox.Offer(event{kind: eventView, workers: workers, hosts: hosts})
}

// InboxLen returns how many events wait in the inbox.
func (j *Jobs) InboxLen() int { return j.inbox.Len() }

// Rejected returns how many events found the inbox full.
func (j *Jobs) Rejected() uint64 { return j.inbox.Rejected() }

// deliver hands over an event that must not be lost, without blocking its producer.
func (j *Jobs) deliver(e event) {
	if !j.inbox.Offer(e) {
		go func() { _ = j.inbox.Put(context.Background(), e) }()
	}
}

func (j *Jobs) run(ctx context.Context) {
	var batch []event
	for ctx.Err() == nil {
		batch = j.inbox.Drain(ctx, batch[:0])
		for _, e := range batch {
			j.handle(ctx, e)
		}
		clear(batch)
	}
}

func (j *Jobs) handle(ctx context.Context, e event) {
	switch e.kind {
	case eventAccept:
		j.accept(e)
	case eventCancel:
		j.cancel(ctx, e)
	case eventAction:
		j.action(ctx, e.action)
	case eventResult:
		j.result(ctx, e.result)
	case eventAnswered:
		j.answered(ctx, e)
	case eventOwned:
		j.takeWorker(e.inventory)
	case eventLost:
		j.fleet.RemoveOwned(e.worker)
	case eventView:
		j.fleet.UpdateHosts(j.opts.Timer.Now(), e.workers, e.hosts)
	case eventTick:
		j.tick(ctx)
	default:
		j.handleCall(ctx, e)
	}
}

// handleCall takes what a call to the outside brought back.
func (j *Jobs) handleCall(ctx context.Context, e event) {
	switch e.kind {
	case eventAccepted:
		j.accepted(ctx, e)
	case eventRead:
		j.read(ctx, e)
	case eventWritten:
		j.written(ctx, e)
	case eventPayload:
		j.fetched(ctx, e)
	case eventSettled:
		j.settled(ctx, e)
	case eventStored:
		j.stored(ctx, e)
	case eventPage:
		j.page(ctx, e)
	case eventHints:
		j.hints(ctx, e)
	}
}

// call runs one call to the outside on the pool and brings its event back; it reports whether the pool had room.
func (j *Jobs) call(ctx context.Context, call func(ctx context.Context) event) bool {
	return j.opts.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, j.opts.CallTimeout)
		defer cancel()
		_ = j.inbox.Put(ctx, call(callCtx))
	}) == nil
}

func (j *Jobs) takeWorker(inventory cwport.Inventory) {
	worker := cwjobfleet.NewWorker(inventory.Worker.Address, inventory.Epoch, inventory.BootedAt, inventory.Running)
	j.fleet.AddOwned(inventory.Worker.ID, worker)
	j.scanSoon()
}

func (j *Jobs) tick(ctx context.Context) {
	now := j.opts.Timer.Now()
	if j.fleet.ExpirePeers(now) {
		j.scanSoon()
	}
	for _, id := range slices.Sorted(maps.Keys(j.entries)) {
		if e, ok := j.entries[id]; ok {
			e.ExpirePending(now)
			j.advance(ctx, e)
		}
	}
	j.lookForHints(ctx, now)
	j.runScan(ctx, now)
}
