// Package cwscheduler runs the decider as a duty: events come in by a ring, orders go out to a pool.
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

// Options set up a scheduler.
type Options struct {
	Timer     *cwtimer.Service
	Log       *logrus.Logger
	InboxSize int
	TickEvery time.Duration
	Decider   cwdecider.Options

	// SendOrder sends a start or stop order; it must not block.
	SendOrder func(action cwdecider.Action)
	// OnDurable takes the answers of durable tasks that came without a reply, and the tasks of lost workers; it must not block.
	OnDurable func(action cwdecider.Action)
	// OnOrphan takes results of attempts that are not known here or that nobody waits for; it must not block.
	OnOrphan func(result cwmodel.Result)
}

// eventKind names what an event asks of the decider.
type eventKind string

const (
	eventSubmit    eventKind = "submit"
	eventCancel    eventKind = "cancel"
	eventWithdraw  eventKind = "withdraw"
	eventEnded     eventKind = "ended"
	eventOwned     eventKind = "worker-owned"
	eventLost      eventKind = "worker-lost"
	eventDraining  eventKind = "worker-draining"
	eventClosing   eventKind = "worker-closing"
	eventConfigure eventKind = "configure"
	eventTick      eventKind = "tick"
	eventGang      eventKind = "gang"
	eventUsage     eventKind = "usage"
	eventHold      eventKind = "hold"
	eventCommit    eventKind = "commit-hold"
	eventRelease   eventKind = "release-hold"
	eventElsewhere eventKind = "elsewhere"
)

// event is one item of the inbox; which fields are set depends on its kind.
type event struct {
	kind      eventKind
	task      cwmodel.Task
	reply     func(cwmodel.Response)
	result    cwmodel.Result
	inventory cwport.Inventory
	worker    cwmodel.HostID
	cfg       cwpolicy.Configuration
	tasks     []cwmodel.Task
	usage     []cwmodel.Usage
	job       cwmodel.JobID
	at        time.Time // last renewal of a lost worker; expiry of a hold
	uses      []cwmodel.TeamUsage
	held      func(count int)
	committed func(ok bool)
}

// Scheduler owns the decider.
type Scheduler struct {
	opts    Options
	inbox   *cwring.Ring[event]
	decider *cwdecider.Decider
	replies map[cwmodel.TaskID]func(cwmodel.Response)
	load    atomic.Pointer[cwdecider.Load]
	uses    atomic.Pointer[[]cwmodel.TeamUsage]
	broken  atomic.Uint64
}

// New starts the duty and returns the function that stops it.
func New(opts Options) (s *Scheduler, stop func()) {
	s = &Scheduler{
		opts:    opts,
		inbox:   cwring.New[event](opts.InboxSize),
		replies: map[cwmodel.TaskID]func(cwmodel.Response){},
	}
	if opts.Decider.OnViolation == nil {
		opts.Decider.OnViolation = s.violated
	}
	s.decider = cwdecider.New(opts.Decider)
	s.load.Store(&cwdecider.Load{})
	s.uses.Store(&[]cwmodel.TeamUsage{})
	cancel := opts.Timer.Every(opts.TickEvery, func(time.Time) { s.inbox.Offer(event{kind: eventTick}) })
	stopDuty := cwduty.Start("scheduler", s.run)
	return s, func() {
		cancel()
		stopDuty()
	}
}

// Submit hands over one task; reply is called once, on the scheduler's goroutine, and must not block.
//
// It returns false if the inbox is full; reply is never called then.
func (s *Scheduler) Submit(t cwmodel.Task, reply func(cwmodel.Response)) bool {
	return s.inbox.Offer(event{kind: eventSubmit, task: t, reply: reply})
}

// Cancel ends a task on its caller's demand.
func (s *Scheduler) Cancel(ctx context.Context, id cwmodel.TaskID) error {
	return s.inbox.Put(ctx, event{kind: eventCancel, task: cwmodel.Task{ID: id}})
}

// CancelExisting ends a task if it is known here; unlike Cancel it has no effect on a later submission.
func (s *Scheduler) CancelExisting(ctx context.Context, id cwmodel.TaskID) error {
	return s.inbox.Put(ctx, event{kind: eventWithdraw, task: cwmodel.Task{ID: id}})
}

// HandleResult hands over the result of an attempt and blocks while the inbox is full.
func (s *Scheduler) HandleResult(ctx context.Context, r cwmodel.Result) error {
	return s.inbox.Put(ctx, event{kind: eventEnded, result: r})
}

// AddWorker hands over a worker that was claimed, with its inventory.
func (s *Scheduler) AddWorker(ctx context.Context, inventory cwport.Inventory) error {
	return s.inbox.Put(ctx, event{kind: eventOwned, inventory: inventory})
}

// LoseWorker takes a worker away whose claim has ended.
func (s *Scheduler) LoseWorker(ctx context.Context, worker cwmodel.HostID) error {
	return s.LoseWorkerAt(ctx, worker, s.opts.Timer.Now())
}

// LoseWorkerAt takes a worker away whose claim has ended and whose last renewal was sent at the given time.
func (s *Scheduler) LoseWorkerAt(ctx context.Context, worker cwmodel.HostID, renewed time.Time) error {
	return s.inbox.Put(ctx, event{kind: eventLost, worker: worker, at: renewed})
}

// CordonWorker stops placements on a worker that another host is to own.
func (s *Scheduler) CordonWorker(ctx context.Context, worker cwmodel.HostID) error {
	return s.inbox.Put(ctx, event{kind: eventClosing, worker: worker})
}

// DrainWorker stops placements on a worker that is leaving.
func (s *Scheduler) DrainWorker(ctx context.Context, worker cwmodel.HostID) error {
	return s.inbox.Put(ctx, event{kind: eventDraining, worker: worker})
}

// Configure puts a configuration in force.
func (s *Scheduler) Configure(ctx context.Context, cfg cwpolicy.Configuration) error {
	return s.inbox.Put(ctx, event{kind: eventConfigure, cfg: cfg})
}

// Load returns the load after the latest batch of events.
func (s *Scheduler) Load() cwdecider.Load { return *s.load.Load() }

// InboxLen returns how many events wait in the inbox.
func (s *Scheduler) InboxLen() int { return s.inbox.Len() }

// violated logs and counts a broken invariant of the decider.
func (s *Scheduler) violated(message string) {
	s.broken.Add(1)
	s.opts.Log.WithField("message", message).Error("invariant-violated-decision")
}

// Violations returns how many invariants of the decider were found broken.
func (s *Scheduler) Violations() uint64 { return s.broken.Load() }

// Rejected returns how many events found the inbox full.
func (s *Scheduler) Rejected() uint64 { return s.inbox.Rejected() }

func (s *Scheduler) run(ctx context.Context) {
	var batch []event
	for ctx.Err() == nil {
		batch = s.inbox.Drain(ctx, batch[:0])
		for _, e := range batch {
			s.handle(s.opts.Timer.Now(), e)
			s.carryOut(s.decider.Actions())
		}
		clear(batch)
		load := s.decider.Load()
		s.load.Store(&load)
	}
}

func (s *Scheduler) handle(now time.Time, e event) {
	switch e.kind {
	case eventSubmit:
		s.submit(now, e)
	case eventCancel:
		s.decider.Cancel(now, e.task.ID)
	case eventWithdraw:
		s.decider.CancelExisting(now, e.task.ID)
	case eventEnded:
		s.decider.HandleResult(now, e.result)
	case eventOwned:
		s.owned(now, e.inventory)
	case eventLost:
		s.decider.LoseWorker(now, e.worker, e.at)
	case eventDraining:
		s.decider.DrainWorker(e.worker)
	case eventClosing:
		s.decider.CordonWorker(e.worker)
	case eventConfigure:
		s.decider.Configure(now, e.cfg)
	case eventTick:
		s.decider.Tick(now)
		uses := s.decider.TeamUsage()
		s.uses.Store(&uses)
	case eventUsage:
		s.decider.UpdateUsage(now, e.usage)
	case eventElsewhere:
		s.decider.SetRemoteUsage(now, e.uses)
	default:
		s.handleGang(now, e)
	}
}

func (s *Scheduler) owned(now time.Time, i cwport.Inventory) {
	if i.Leaving {
		s.decider.AddDrainingWorker(now, i.Worker, i.Epoch, i.Running)
		return
	}
	s.decider.AddWorker(now, i.Worker, i.Epoch, i.Running)
}

// submit keeps the reply of a task unless the task is known already; its first reply stays then.
func (s *Scheduler) submit(now time.Time, e event) {
	if s.decider.HasTask(e.task.ID) {
		return
	}
	if e.reply != nil {
		s.replies[e.task.ID] = e.reply
	}
	s.decider.Submit(now, e.task)
}

func (s *Scheduler) carryOut(actions []cwdecider.Action) {
	for _, action := range actions {
		switch action.Kind {
		case cwdecider.ActionStart, cwdecider.ActionStop:
			s.opts.SendOrder(action)
		case cwdecider.ActionRespond:
			s.reply(action)
		case cwdecider.ActionLost:
			delete(s.replies, action.Task.ID)
			s.handBack(action)
		case cwdecider.ActionOrphan:
			if s.opts.OnOrphan != nil {
				s.opts.OnOrphan(action.Result)
			}
		}
	}
}

func (s *Scheduler) reply(action cwdecider.Action) {
	reply, ok := s.replies[action.Task.ID]
	if !ok {
		s.handBack(action)
		return
	}
	delete(s.replies, action.Task.ID)
	reply(action.Response)
}

func (s *Scheduler) handBack(action cwdecider.Action) {
	if action.Task.Durable && s.opts.OnDurable != nil {
		s.opts.OnDurable(action)
	}
}
