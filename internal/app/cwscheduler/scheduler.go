// Package cwscheduler runs the decider as a duty: it takes events from a ring and sends orders through a pool.
package cwscheduler

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"currantward/internal/base/cwduty"
	"currantward/internal/base/cwring"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwdecider"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
	"currantward/internal/port/cwport"
)

// Options configure a Scheduler.
type Options struct {
	Timer     *cwtimer.Service
	Log       *logrus.Logger
	InboxSize int
	TickEvery time.Duration
	Decider   cwdecider.Options

	// SendOrder sends a start or stop order. It must not block.
	SendOrder func(action cwdecider.Action)
	// OnDurable receives the responses to durable tasks without a reply function and the durable tasks of lost workers. It must not block.
	OnDurable func(action cwdecider.Action)
	// OnOrphan receives results of attempts that are unknown here or that no caller awaits. It must not block and may be nil.
	OnOrphan func(result cwmodel.Result)
}

// eventKind is the kind of an event in the inbox.
type eventKind string

const (
	eventSubmit         eventKind = "submit"
	eventCancel         eventKind = "cancel"
	eventCancelExisting eventKind = "withdraw"
	eventResult         eventKind = "ended"
	eventWorkerAdded    eventKind = "worker-owned"
	eventWorkerLost     eventKind = "worker-lost"
	eventWorkerDraining eventKind = "worker-draining"
	eventWorkerCordoned eventKind = "worker-closing"
	eventConfigure      eventKind = "configure"
	eventTick           eventKind = "tick"
	eventGang           eventKind = "gang"
	eventUsage          eventKind = "usage"
	eventHold           eventKind = "hold"
	eventCommitHold     eventKind = "commit-hold"
	eventReleaseHold    eventKind = "release-hold"
	eventRemoteUsage    eventKind = "elsewhere"
)

// event is one item of the inbox. Its kind determines which fields are set.
type event struct {
	kind                eventKind
	task                cwmodel.Task
	reply               func(cwmodel.Response)
	result              cwmodel.Result
	inventory           cwport.Inventory
	worker              cwmodel.HostID
	cfg                 cwpolicy.Configuration
	tasks               []cwmodel.Task
	usage               []cwmodel.Usage
	job                 cwmodel.JobID
	lastRenewalOrExpiry time.Time // last renewal of a lost worker (eventWorkerLost), or expiry of a hold (eventHold)
	teamUsage           []cwmodel.TeamUsage
	onHeld              func(count int)
	onCommitted         func(ok bool)
}

// Scheduler is the duty that owns the decider of one entry host.
type Scheduler struct {
	opts                Options
	inbox               *cwring.Ring[event]
	decider             *cwdecider.Decider
	replies             map[cwmodel.TaskID]func(cwmodel.Response)
	load                atomic.Pointer[cwdecider.Load]
	teamUsage           atomic.Pointer[[]cwmodel.TeamUsage]
	invariantViolations atomic.Uint64
}

// New starts the duty and returns the function that stops it.
func New(opts Options) (s *Scheduler, stop func()) {
	s = &Scheduler{
		opts:    opts,
		inbox:   cwring.New[event](opts.InboxSize),
		replies: map[cwmodel.TaskID]func(cwmodel.Response){},
	}
	if opts.Decider.OnInvariantViolation == nil {
		opts.Decider.OnInvariantViolation = s.recordInvariantViolation
	}
	s.decider = cwdecider.New(opts.Decider)
	s.load.Store(&cwdecider.Load{})
	s.teamUsage.Store(&[]cwmodel.TeamUsage{})
	cancel := opts.Timer.Every(opts.TickEvery, func(time.Time) { s.inbox.Offer(event{kind: eventTick}) })
	stopDuty := cwduty.Start("scheduler", s.run)
	return s, func() {
		cancel()
		stopDuty()
	}
}

// Submit submits one task. It calls reply once, on the scheduler's goroutine; reply must not block.
//
// If the inbox is full, Submit returns false and never calls reply.
func (s *Scheduler) Submit(t cwmodel.Task, reply func(cwmodel.Response)) bool {
	return s.inbox.Offer(event{kind: eventSubmit, task: t, reply: reply})
}

// Cancel enqueues the cancellation of a task by its caller. If the task is unknown here, a later submission of it is rejected.
func (s *Scheduler) Cancel(ctx context.Context, id cwmodel.TaskID) error {
	return s.inbox.Put(ctx, event{kind: eventCancel, task: cwmodel.Task{ID: id}})
}

// CancelExisting enqueues the cancellation of a task, which is ignored if the task is unknown here. Unlike Cancel, it has no effect on a
// later submission.
func (s *Scheduler) CancelExisting(ctx context.Context, id cwmodel.TaskID) error {
	return s.inbox.Put(ctx, event{kind: eventCancelExisting, task: cwmodel.Task{ID: id}})
}

// HandleResult enqueues the result of an attempt, and blocks while the inbox is full.
func (s *Scheduler) HandleResult(ctx context.Context, r cwmodel.Result) error {
	return s.inbox.Put(ctx, event{kind: eventResult, result: r})
}

// AddWorker enqueues a claimed worker with its inventory, and blocks while the inbox is full.
func (s *Scheduler) AddWorker(ctx context.Context, inventory cwport.Inventory) error {
	return s.inbox.Put(ctx, event{kind: eventWorkerAdded, inventory: inventory})
}

// LoseWorker is LoseWorkerAt for a worker whose claim ends now: a renewal may have been sent until now.
func (s *Scheduler) LoseWorker(ctx context.Context, worker cwmodel.HostID) error {
	return s.LoseWorkerAt(ctx, worker, s.opts.Timer.Now())
}

// LoseWorkerAt removes a worker whose claim has ended, so that its attempts count as lost. No lease was renewed after lastRenewal.
func (s *Scheduler) LoseWorkerAt(ctx context.Context, worker cwmodel.HostID, lastRenewal time.Time) error {
	return s.inbox.Put(ctx, event{kind: eventWorkerLost, worker: worker, lastRenewalOrExpiry: lastRenewal})
}

// CordonWorker stops new placements on a worker that will be handed over to another entry host; its tasks continue.
func (s *Scheduler) CordonWorker(ctx context.Context, worker cwmodel.HostID) error {
	return s.inbox.Put(ctx, event{kind: eventWorkerCordoned, worker: worker})
}

// DrainWorker stops new placements on a worker that is leaving, and checkpoints its checkpointable tasks, which resume elsewhere.
func (s *Scheduler) DrainWorker(ctx context.Context, worker cwmodel.HostID) error {
	return s.inbox.Put(ctx, event{kind: eventWorkerDraining, worker: worker})
}

// Configure enqueues a configuration to be activated, and blocks while the inbox is full.
func (s *Scheduler) Configure(ctx context.Context, cfg cwpolicy.Configuration) error {
	return s.inbox.Put(ctx, event{kind: eventConfigure, cfg: cfg})
}

// Load returns the load of this host's workers and queues after the latest batch of events.
func (s *Scheduler) Load() cwdecider.Load { return *s.load.Load() }

// InboxLen returns the number of events in the inbox.
func (s *Scheduler) InboxLen() int { return s.inbox.Len() }

// recordInvariantViolation logs and counts a violated invariant of the decider; the message names it.
func (s *Scheduler) recordInvariantViolation(message string) {
	s.invariantViolations.Add(1)
	s.opts.Log.WithField("message", message).Error("invariant-violated-decision")
}

// InvariantViolations returns how many violated invariants of the decider were found.
func (s *Scheduler) InvariantViolations() uint64 { return s.invariantViolations.Load() }

// Rejected returns how many events were rejected because the inbox was full.
func (s *Scheduler) Rejected() uint64 { return s.inbox.Rejected() }

// run handles events in batches; the orders and responses of an event are sent before the next event is handled.
func (s *Scheduler) run(ctx context.Context) {
	var batch []event
	for ctx.Err() == nil {
		batch = s.inbox.Drain(ctx, batch[:0])
		for _, e := range batch {
			s.handle(s.opts.Timer.Now(), e)
			s.executeActions(s.decider.Actions())
		}
		clear(batch)
		load := s.decider.Load()
		s.load.Store(&load)
	}
}

// handle passes one event to the decider; a tick also updates the result of TeamUsage.
func (s *Scheduler) handle(now time.Time, e event) {
	switch e.kind {
	case eventSubmit:
		s.submit(now, e)
	case eventCancel:
		s.decider.Cancel(now, e.task.ID)
	case eventCancelExisting:
		s.decider.CancelExisting(now, e.task.ID)
	case eventResult:
		s.decider.HandleResult(now, e.result)
	case eventWorkerAdded:
		s.addWorker(now, e.inventory)
	case eventWorkerLost:
		s.decider.LoseWorker(now, e.worker, e.lastRenewalOrExpiry)
	case eventWorkerDraining:
		s.decider.DrainWorker(e.worker)
	case eventWorkerCordoned:
		s.decider.CordonWorker(e.worker)
	case eventConfigure:
		s.decider.Configure(now, e.cfg)
	case eventTick:
		s.decider.Tick(now)
		usage := s.decider.TeamUsage()
		s.teamUsage.Store(&usage)
	case eventUsage:
		s.decider.UpdateUsage(now, e.usage)
	case eventRemoteUsage:
		s.decider.SetRemoteUsage(now, e.teamUsage)
	default:
		s.handleGang(now, e)
	}
}

// addWorker adds a claimed worker to the decider, as draining if the worker is leaving.
func (s *Scheduler) addWorker(now time.Time, inv cwport.Inventory) {
	if inv.Leaving {
		s.decider.AddDrainingWorker(now, inv.Worker, inv.Epoch, inv.Running)
		return
	}
	s.decider.AddWorker(now, inv.Worker, inv.Epoch, inv.Running)
}

// submit passes a new task to the decider and keeps its reply function for the response.
//
// A task that the decider already has is ignored, and keeps its first reply function.
func (s *Scheduler) submit(now time.Time, e event) {
	if s.decider.HasTask(e.task.ID) {
		return
	}
	if e.reply != nil {
		s.replies[e.task.ID] = e.reply
	}
	s.decider.Submit(now, e.task)
}

// executeActions carries out the actions of the decider: it sends orders and responses, and reports lost durable tasks (their worker is no
// longer owned by this host) and orphaned results (their task is not tracked here or no longer waits for them).
func (s *Scheduler) executeActions(actions []cwdecider.Action) {
	for _, action := range actions {
		switch action.Kind {
		case cwdecider.ActionStart, cwdecider.ActionStop:
			s.opts.SendOrder(action)
		case cwdecider.ActionRespond:
			s.respond(action)
		case cwdecider.ActionLost:
			delete(s.replies, action.Task.ID)
			s.notifyDurable(action)
		case cwdecider.ActionOrphan:
			if s.opts.OnOrphan != nil {
				s.opts.OnOrphan(action.Result)
			}
		}
	}
}

// respond passes the response to a task to its reply function. Without one, it passes the action to OnDurable if the task is durable.
func (s *Scheduler) respond(action cwdecider.Action) {
	reply, ok := s.replies[action.Task.ID]
	if !ok {
		s.notifyDurable(action)
		return
	}
	delete(s.replies, action.Task.ID)
	reply(action.Response)
}

// notifyDurable passes an action for a durable task to OnDurable; actions for other tasks are ignored.
func (s *Scheduler) notifyDurable(action cwdecider.Action) {
	if action.Task.Durable && s.opts.OnDurable != nil {
		s.opts.OnDurable(action)
	}
}
