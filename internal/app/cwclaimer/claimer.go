// Package cwclaimer carries out the decisions on claims: it calls the workers and hands on what is owned and lost.
package cwclaimer

import (
	"context"
	"slices"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"

	"currantward/internal/base/cwduty"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwring"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwclaim"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
)

// Options set up a keeper.
type Options struct {
	Timer       *cwtimer.Service
	Log         *logrus.Logger
	Workers     cwport.Workers
	Pool        *ants.Pool
	Claims      cwclaim.Options
	CallTimeout time.Duration // of one call to a worker

	// OnAcquired takes a claimed worker with its inventory and what its holder may count on.
	OnAcquired func(ctx context.Context, inventory cwport.Inventory, hold cwclaim.Validity) error
	// OnExtended takes a longer hold of an owned worker.
	OnExtended func(worker cwmodel.HostID, epoch cwmodel.Epoch, hold cwclaim.Validity)
	// OnLost takes a worker whose claim has ended; no lease of its epoch was begun or renewed after lastRenewal.
	OnLost func(ctx context.Context, worker cwmodel.HostID, lastRenewal time.Time) error
	// OnCordon takes a worker that another host is to own: nothing more is to be placed on it.
	OnCordon func(ctx context.Context, worker cwmodel.HostID) error
	// OnUsage takes what the tasks of a worker use, as its answer to a heartbeat tells; it returns false if it has no room.
	OnUsage func(usage []cwmodel.Usage) bool
	// OnDrain takes a worker that leaves: nothing more is to be placed on it, and what can move is to move.
	OnDrain func(ctx context.Context, worker cwmodel.HostID) error
	// OpenRequests returns how many requests of this host may run on a worker.
	OpenRequests func(worker cwmodel.HostID) int
}

// eventKind names what an event tells the keeper.
type eventKind string

const (
	eventView     eventKind = "view"
	eventTick     eventKind = "tick"
	eventClaimed  eventKind = "claimed"
	eventRenewed  eventKind = "renewed"
	eventReleased eventKind = "released"
	eventStale    eventKind = "stale"
	eventLeave    eventKind = "leave"
)

// event is one item of the inbox.
type event struct {
	kind      eventKind
	workers   []cwmodel.Host
	hosts     []cwmodel.HostID
	worker    cwmodel.HostID
	epoch     cwmodel.Epoch
	inventory cwport.Inventory
	answer    cwclaim.CallResult
	left      chan struct{} // closed once all claims are released
}

// Claimer owns the claims of one entry host.
type Claimer struct {
	opts    Options
	inbox   *cwring.Ring[event]
	machine *cwclaim.Machine
	left    chan struct{} // set while leaving
}

const (
	inboxSize = 4096
	// ticksPerRenewal is how often in a renewal period the keeper looks at what is due.
	ticksPerRenewal = 16
)

// New starts the duty and returns the function that releases all claims and stops it.
func New(opts Options) (k *Claimer, stop func()) {
	k = &Claimer{opts: opts, inbox: cwring.New[event](inboxSize), machine: cwclaim.New(opts.Claims)}
	cancel := opts.Timer.Every(opts.Claims.RenewEvery/ticksPerRenewal, func(time.Time) { k.inbox.Offer(event{kind: eventTick}) })
	stopDuty := cwduty.Start("lease-keeper", k.run)
	return k, func() {
		k.leave()
		cancel()
		stopDuty()
	}
}

// UpdateHosts hands over the workers and the live entry hosts of this data centre.
func (k *Claimer) UpdateHosts(workers []cwmodel.Host, hosts []cwmodel.HostID) {
	k.inbox.Offer(event{kind: eventView, workers: workers, hosts: hosts})
}

// HandleStaleEpoch is told that a worker has granted a larger epoch.
func (k *Claimer) HandleStaleEpoch(worker cwmodel.HostID, epoch cwmodel.Epoch) {
	k.inbox.Offer(event{kind: eventStale, worker: worker, epoch: epoch})
}

// leave releases all claims, so that the next owners need not wait for them to lapse, and waits for that.
func (k *Claimer) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), 2*k.opts.CallTimeout)
	defer cancel()
	left := make(chan struct{})
	if k.inbox.Put(ctx, event{kind: eventLeave, left: left}) != nil {
		return
	}
	select {
	case <-left:
	case <-ctx.Done():
		k.opts.Log.Warn("claims-not-released")
	}
}

func (k *Claimer) run(ctx context.Context) {
	for ctx.Err() == nil {
		e, ok := k.inbox.Take(ctx)
		if !ok {
			return
		}
		k.handle(e)
		k.carryOut(ctx, e.inventory)
		if k.left != nil && k.machine.IsIdle() {
			close(k.left)
			k.left = nil
		}
	}
}

func (k *Claimer) handle(e event) {
	now := k.opts.Timer.Now()
	switch e.kind {
	case eventView:
		k.machine.UpdateHosts(now, e.workers, e.hosts)
	case eventTick:
		for _, worker := range k.machine.HandingOver() {
			k.machine.SetOpenRequests(worker, k.opts.OpenRequests(worker))
		}
		k.machine.Tick(now)
	case eventClaimed:
		k.machine.HandleClaim(now, e.worker, e.answer)
	case eventRenewed:
		k.machine.HandleRenewal(now, e.worker, e.epoch, e.answer)
	case eventReleased:
		k.machine.HandleRelease(now, e.worker)
	case eventStale:
		k.machine.HandleStaleEpoch(now, e.worker, e.epoch)
	case eventLeave:
		k.left = e.left
		k.machine.ReleaseAll(now)
	}
}

// carryOut carries out what was decided, until nothing more is.
func (k *Claimer) carryOut(ctx context.Context, inventory cwport.Inventory) {
	for {
		actions := slices.Clone(k.machine.Actions())
		if len(actions) == 0 {
			return
		}
		for _, a := range actions {
			k.act(ctx, a, inventory)
		}
	}
}

func (k *Claimer) act(ctx context.Context, a cwclaim.Action, inventory cwport.Inventory) {
	log := k.opts.Log.WithFields(logrus.Fields{"worker": a.Host.ID, "epoch": a.Epoch})
	switch a.Kind {
	case cwclaim.ActionClaim:
		k.call(eventClaimed, a, k.claim)
	case cwclaim.ActionRenew:
		k.call(eventRenewed, a, k.renew)
	case cwclaim.ActionRelease:
		k.call(eventReleased, a, k.release)
	case cwclaim.ActionAcquired:
		log.WithFields(logrus.Fields{"running": len(inventory.Running), "clock-error": a.Validity.Clock.Width()}).Info("worker-claimed")
		inventory.Leaving = inventory.Leaving || a.Host.State == cwmodel.HostLeaving
		_ = k.opts.OnAcquired(ctx, inventory, a.Validity)
	case cwclaim.ActionExtended:
		k.opts.OnExtended(a.Host.ID, a.Epoch, a.Validity)
	case cwclaim.ActionDrain:
		log.WithField("reason", a.Reason).Info("worker-draining")
		if a.Reason == cwclaim.ReasonLeaving {
			_ = k.opts.OnDrain(ctx, a.Host.ID)
		} else {
			_ = k.opts.OnCordon(ctx, a.Host.ID)
		}
	case cwclaim.ActionLost:
		if a.Reason == cwclaim.ReasonHandOver {
			log.Info("worker-released")
		} else {
			log.WithField("reason", a.Reason).Warn("worker-lost")
		}
		_ = k.opts.OnLost(ctx, a.Host.ID, a.LastRenewal)
	}
}

// call runs one call to a worker on the pool; a full pool counts as a call that was never sent.
func (k *Claimer) call(kind eventKind, a cwclaim.Action, call func(ctx context.Context, a cwclaim.Action, e *event) error) {
	e := event{kind: kind, worker: a.Host.ID, epoch: a.Epoch}
	err := k.opts.Pool.Submit(func() {
		ctx, cancel := context.WithTimeout(context.Background(), k.opts.CallTimeout)
		defer cancel()
		e.answer.Sent = k.opts.Timer.Now()
		failure := call(ctx, a, &e)
		e.answer.Code, e.answer.Received = cwfault.CodeOf(failure), k.opts.Timer.Now()
		k.logFailure(kind, a, failure)
		_ = k.inbox.Put(context.Background(), e)
	})
	if err != nil {
		e.answer.Code = cwfault.Unavailable
		k.handle(e)
	}
}

func (k *Claimer) logFailure(kind eventKind, a cwclaim.Action, err error) {
	if err == nil {
		return
	}
	log := k.opts.Log.WithFields(logrus.Fields{"worker": a.Host.ID, "call": a.Kind, "error": cwfault.MessageOf(err)})
	if kind == eventClaimed {
		log.Debug("claim-failed")
		return
	}
	log.Warn("worker-call-failed")
}

// claim reads the worker's epoch, then claims it under a larger one; the claim counts from its own sending.
func (k *Claimer) claim(ctx context.Context, a cwclaim.Action, e *event) (err error) {
	seen, err := k.opts.Workers.Inspect(ctx, a.Host.Address)
	if err != nil {
		return err
	}
	e.answer.Sent = k.opts.Timer.Now()
	claim := cwport.Claim{Owner: k.opts.Claims.Self, Epoch: cwclaim.NextEpoch(seen.Epoch, seen.Clock), TTL: k.opts.Claims.TTL}
	e.inventory, err = k.opts.Workers.Claim(ctx, a.Host.Address, claim)
	e.answer.Epoch, e.answer.Clock, e.answer.Leaving = e.inventory.Epoch, e.inventory.Clock, e.inventory.Leaving
	return err
}

func (k *Claimer) renew(ctx context.Context, a cwclaim.Action, e *event) error {
	heartbeat := cwport.Heartbeat{Epoch: a.Epoch, TTL: k.opts.Claims.TTL, NotAfter: a.NotAfter}
	renewal, err := k.opts.Workers.Renew(ctx, a.Host.Address, heartbeat)
	e.answer.Clock, e.answer.Leaving = renewal.Clock, renewal.Leaving
	if len(renewal.Usage) > 0 && k.opts.OnUsage != nil {
		k.opts.OnUsage(renewal.Usage)
	}
	return err
}

func (k *Claimer) release(ctx context.Context, a cwclaim.Action, _ *event) error {
	return k.opts.Workers.Release(ctx, a.Host.Address, a.Epoch)
}
