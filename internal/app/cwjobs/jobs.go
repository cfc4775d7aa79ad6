// Package cwjobs runs the jobs that this entry host coordinates.
//
// A job is accepted once its row is committed, and each attempt is committed before its start order is
// sent. Every change is made to a copy of the committed state and takes effect once the row is committed again.
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

// Options configures the Jobs duty of one entry host.
type Options struct {
	Timer         *cwtimer.Service
	Log           *logrus.Logger
	Table         cwport.Table
	Objects       cwport.ObjectStore
	Workers       cwport.Workers
	Self          cwjob.Coordinator
	DataCentre    cwmodel.DataCentre
	InboxSize     int
	MaxJobs       int // in memory at once
	TickEvery     time.Duration
	HintEvery     time.Duration // interval between scans for hints of other hosts
	ScanEvery     time.Duration // interval between scans of all live jobs when no event requests one
	AdoptAfter    time.Duration // jobs of a coordinator that is not live for longer are adopted by another host
	CallTimeout   time.Duration // of one call to the table, the object store or a worker
	WriteTimeout  time.Duration // how long a new job, an attempt or a hand-over waits for its commit
	RetryAfter    time.Duration // pause before a failed call, or a task that could not be placed, is tried again
	HandOverAfter time.Duration // a job without a dispatched task for longer is handed over to a peer with free capacity
	ConfirmAfter  time.Duration // an attempt that is outstanding for longer is queried until its worker confirms that it runs
	LeaseGrace    time.Duration // added to the lease before an attempt on an unlisted worker counts as lost
	InlineSize    int           // bytes; larger outputs go to the object store

	// RunOnPool runs work that may block on a goroutine of a pool; it returns an error if the pool is full.
	RunOnPool func(work func()) error
	// Write passes one write to the table writer.
	Write func(write cwtablewriter.Write)
	// Submit submits a task to the scheduler; it returns false, and never calls reply, if the scheduler's inbox is full.
	Submit func(t cwmodel.Task, reply func(cwmodel.Response)) bool
	// SubmitGang submits tasks that start all at once or not at all; it is nil if gangs are not supported.
	SubmitGang func(tasks []cwmodel.Task, reply func(cwmodel.Response)) bool
	// PeerWithCapacity returns a live peer of this data centre where a task with this demand would start at once.
	PeerWithCapacity func(demand cwmodel.Resources) (host cwmodel.HostID, ok bool)
	// CancelTask cancels a task in the scheduler; an unknown task is ignored.
	CancelTask func(ctx context.Context, id cwmodel.TaskID) error
	// ReportResult reports the end of an attempt to the scheduler.
	ReportResult func(ctx context.Context, r cwmodel.Result) error
	// SendOrder sends a start or stop order to an owned worker; it must not block.
	SendOrder func(action cwdecider.Action)
	// Acknowledge allows the worker to drop a result once this host has recorded it; it must not block.
	Acknowledge func(a cwmodel.Attempt)
	// OnJobEnded is called once for each job whose end this host committed; it may be nil.
	OnJobEnded func(job *cwjob.Job)
}

// DefaultOptions returns the intervals, timeouts and limits for an entry host.
func DefaultOptions() Options {
	return Options{
		InboxSize: 16384, MaxJobs: 10000, TickEvery: 250 * time.Millisecond, HintEvery: time.Second, ScanEvery: 5 * time.Minute,
		AdoptAfter: 3 * time.Second, CallTimeout: 2 * time.Second, WriteTimeout: 4 * time.Second, RetryAfter: time.Second,
		HandOverAfter: 3 * time.Second, ConfirmAfter: 10 * time.Second, LeaseGrace: 10 * time.Second, InlineSize: 4 << 10,
	}
}

// eventKind is the type of an event.
type eventKind string

const (
	eventAccept          eventKind = "accept"
	eventAccepted        eventKind = "accepted"
	eventCancel          eventKind = "cancel"
	eventSchedulerAction eventKind = "action"
	eventAttemptResult   eventKind = "result"
	eventTaskResponse    eventKind = "answered"
	eventWorkerAdded     eventKind = "worker-owned"
	eventWorkerRemoved   eventKind = "worker-lost"
	eventHosts           eventKind = "view"
	eventRead            eventKind = "read"
	eventWritten         eventKind = "written"
	eventPayload         eventKind = "payload"
	eventAttemptStatus   eventKind = "settled"
	eventOutputStored    eventKind = "stored"
	eventJobScanPage     eventKind = "page"
	eventHints           eventKind = "hints"
	eventTick            eventKind = "tick"
)

// event is one item of the inbox; its kind determines which fields are set, the others are zero.
type event struct {
	kind         eventKind
	id           cwmodel.JobID
	task         int
	submissionID uint64
	job          *cwjob.Job
	rowVersion   cwport.RowVersion
	writeResult  cwtablewriter.WriteResult
	reply        func(result cwtablewriter.WriteResult)
	action       cwdecider.Action
	result       cwmodel.Result
	attempt      cwmodel.Attempt
	status       cwattempt.Status
	response     cwmodel.Response
	inventory    cwport.Inventory
	worker       cwmodel.HostID
	workers      []cwmodel.Host
	hosts        []cwmodel.HostID
	rows         []cwport.Row
	payload      []byte
	change       cwjobrow.Change
	retryDue     bool // the pause after a failed eventOutputStored has passed, so the output must be stored again
	err          error
}

// Jobs is the duty that coordinates the jobs of one entry host.
//
// It also resolves attempts on the workers of this host for jobs that other hosts coordinate.
type Jobs struct {
	opts             Options
	store            *cwjobstore.Store
	inbox            *cwring.Ring[event]
	entries          map[cwmodel.JobID]*entry
	fleet            *cwjobfleet.Fleet
	startedAt        time.Time
	jobScan          jobScan
	hintScanPending  bool
	nextHintScanAt   time.Time
	lastSubmissionID uint64
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

// newJobs returns the duty without its goroutine and its ticks, as tests use it.
func newJobs(opts Options) *Jobs {
	j := &Jobs{
		opts: opts, store: cwjobstore.New(opts.Table, opts.Objects), inbox: cwring.New[event](opts.InboxSize), entries: map[cwmodel.JobID]*entry{},
		fleet: cwjobfleet.New(opts.Self, opts.AdoptAfter), startedAt: opts.Timer.Now(),
	}
	j.jobScan.dueAt = j.startedAt.Add(opts.AdoptAfter)
	return j
}

// HandleAction enqueues an action of the scheduler for a durable task, such as a start or a stop; it never blocks.
func (j *Jobs) HandleAction(action cwdecider.Action) {
	j.deliver(event{kind: eventSchedulerAction, action: action})
}

// HandleResult enqueues the result of an attempt of a durable task and blocks while the inbox is full.
func (j *Jobs) HandleResult(ctx context.Context, r cwmodel.Result) error {
	return j.inbox.Put(ctx, event{kind: eventAttemptResult, result: r})
}

// AddWorker enqueues a claimed worker with its inventory, and blocks while the inbox is full.
func (j *Jobs) AddWorker(ctx context.Context, inventory cwport.Inventory) error {
	return j.inbox.Put(ctx, event{kind: eventWorkerAdded, inventory: inventory})
}

// RemoveWorker enqueues the removal of a worker whose claim has ended, and blocks while the inbox is full.
func (j *Jobs) RemoveWorker(ctx context.Context, worker cwmodel.HostID) error {
	return j.inbox.Put(ctx, event{kind: eventWorkerRemoved, worker: worker})
}

// UpdateHosts enqueues the present workers and the live entry hosts of this data centre. A full inbox drops the update, since the next
// one replaces it.
func (j *Jobs) UpdateHosts(workers []cwmodel.Host, hosts []cwmodel.HostID) {
	j.inbox.Offer(event{kind: eventHosts, workers: workers, hosts: hosts})
}

// InboxLen returns the number of events in the inbox.
func (j *Jobs) InboxLen() int { return j.inbox.Len() }

// Rejected returns the number of events that a full inbox rejected.
func (j *Jobs) Rejected() uint64 { return j.inbox.Rejected() }

// deliver enqueues an event that must not be lost, without blocking its producer: if the inbox is full, a new goroutine waits for space.
func (j *Jobs) deliver(e event) {
	if !j.inbox.Offer(e) {
		go func() { _ = j.inbox.Put(context.Background(), e) }()
	}
}

// run handles the events of the inbox until ctx is cancelled.
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

// handle handles one event of the inbox.
func (j *Jobs) handle(ctx context.Context, ev event) {
	switch ev.kind {
	case eventAccept:
		j.handleAccept(ev)
	case eventCancel:
		j.handleCancel(ctx, ev)
	case eventSchedulerAction:
		j.handleSchedulerAction(ctx, ev.action)
	case eventAttemptResult:
		j.handleAttemptResult(ctx, ev.result)
	case eventTaskResponse:
		j.handleTaskResponse(ctx, ev)
	case eventWorkerAdded:
		j.addWorker(ev.inventory)
	case eventWorkerRemoved:
		j.fleet.RemoveOwned(ev.worker)
	case eventHosts:
		j.fleet.UpdateHosts(j.opts.Timer.Now(), ev.workers, ev.hosts)
	case eventTick:
		j.tick(ctx)
	default:
		j.handleCallCompletion(ctx, ev)
	}
}

// handleCallCompletion handles the end of a call to the table, the object store or a worker, and of a write.
func (j *Jobs) handleCallCompletion(ctx context.Context, ev event) {
	switch ev.kind {
	case eventAccepted:
		j.handleAcceptResult(ctx, ev)
	case eventRead:
		j.handleRead(ctx, ev)
	case eventWritten:
		j.handleWritten(ctx, ev)
	case eventPayload:
		j.handlePayload(ctx, ev)
	case eventAttemptStatus:
		j.handleAttemptStatus(ctx, ev)
	case eventOutputStored:
		j.handleOutputStored(ctx, ev)
	case eventJobScanPage:
		j.handleJobScanPage(ctx, ev)
	case eventHints:
		j.handleHints(ctx, ev)
	}
}

// startCall makes one call on the pool, limited by CallTimeout, and enqueues the event that call returns.
//
// It returns false if the pool is full; no event follows then.
func (j *Jobs) startCall(ctx context.Context, call func(ctx context.Context) event) bool {
	return j.opts.RunOnPool(func() {
		callCtx, cancel := context.WithTimeout(ctx, j.opts.CallTimeout)
		defer cancel()
		_ = j.inbox.Put(ctx, call(callCtx))
	}) == nil
}

// addWorker adds a claimed worker, and requests a scan of the live jobs for attempts on it.
func (j *Jobs) addWorker(inventory cwport.Inventory) {
	worker := cwjobfleet.NewWorker(inventory.Worker.Address, inventory.Epoch, inventory.BootedAt, inventory.Running)
	j.fleet.AddOwned(inventory.Worker.ID, worker)
	j.requestJobScan()
}

// tick expires the pending changes of all jobs in memory and advances the jobs; it also polls for hints and starts or continues the scan
// of live jobs if they are due.
//
// It requests a scan if a peer is no longer live, since this host may have to adopt the peer's jobs.
func (j *Jobs) tick(ctx context.Context) {
	now := j.opts.Timer.Now()
	if j.fleet.ExpirePeers(now) {
		j.requestJobScan()
	}
	for _, id := range slices.Sorted(maps.Keys(j.entries)) {
		if e, ok := j.entries[id]; ok {
			e.ExpirePending(now)
			j.advance(ctx, e)
		}
	}
	j.pollHints(ctx, now)
	j.advanceJobScan(ctx, now)
}
