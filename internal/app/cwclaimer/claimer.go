// Package cwclaimer claims workers and renews the claims: it executes the decisions of cwclaim and reports acquired and lost workers.
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

// Options configure a Claimer.
type Options struct {
	Timer       *cwtimer.Service
	Log         *logrus.Logger
	Workers     cwport.Workers
	Pool        *ants.Pool
	Claims      cwclaim.Options
	CallTimeout time.Duration // timeout of one call to a worker

	// OnAcquired receives a claimed worker with its inventory and the validity of the claim.
	OnAcquired func(ctx context.Context, inventory cwport.Inventory, validity cwclaim.Validity) error
	// OnExtended receives the new validity of a claim after a renewal.
	OnExtended func(worker cwmodel.HostID, epoch cwmodel.Epoch, validity cwclaim.Validity)
	// OnLost receives a worker whose claim has ended. No lease of its epoch was started or renewed after lastRenewal.
	OnLost func(ctx context.Context, worker cwmodel.HostID, lastRenewal time.Time) error
	// OnCordon receives a worker that will be handed over to another host: it must get no new tasks.
	OnCordon func(ctx context.Context, worker cwmodel.HostID) error
	// OnUsage receives the usage of a worker's tasks from a heartbeat response. It returns false if the receiver's inbox is full.
	OnUsage func(usage []cwmodel.Usage) bool
	// OnDrain receives a worker that leaves: it must get no new tasks, and tasks that can move must move.
	OnDrain func(ctx context.Context, worker cwmodel.HostID) error
	// OpenRequests returns how many requests of this host may still run on a worker.
	OpenRequests func(worker cwmodel.HostID) int
}

// eventKind is the kind of an event in the inbox.
type eventKind string

const (
	eventHosts      eventKind = "view"
	eventTick       eventKind = "tick"
	eventClaimed    eventKind = "claimed"
	eventRenewed    eventKind = "renewed"
	eventReleased   eventKind = "released"
	eventStaleEpoch eventKind = "stale"
	eventReleaseAll eventKind = "leave"
)

// event is one item of the inbox.
type event struct {
	kind      eventKind
	workers   []cwmodel.Host
	hosts     []cwmodel.HostID
	worker    cwmodel.HostID
	epoch     cwmodel.Epoch
	inventory cwport.Inventory
	result    cwclaim.CallResult
	released  chan struct{} // closed once all claims are released
}

// Claimer owns the claims of one entry host.
type Claimer struct {
	opts     Options
	inbox    *cwring.Ring[event]
	machine  *cwclaim.Machine
	released chan struct{} // set while all claims are being released
}

const (
	inboxSize = 4096
	// ticksPerRenewal is how often in a renewal period the claimer checks for due calls.
	ticksPerRenewal = 16
)

// New starts the duty and returns the function that releases all claims and stops the duty.
func New(opts Options) (c *Claimer, stop func()) {
	c = &Claimer{opts: opts, inbox: cwring.New[event](inboxSize), machine: cwclaim.New(opts.Claims)}
	cancel := opts.Timer.Every(opts.Claims.RenewInterval/ticksPerRenewal, func(time.Time) { c.inbox.Offer(event{kind: eventTick}) })
	stopDuty := cwduty.Start("lease-keeper", c.run)
	return c, func() {
		c.releaseAll()
		cancel()
		stopDuty()
	}
}

// UpdateHosts replaces the workers and the live entry hosts of this data centre.
func (c *Claimer) UpdateHosts(workers []cwmodel.Host, hosts []cwmodel.HostID) {
	c.inbox.Offer(event{kind: eventHosts, workers: workers, hosts: hosts})
}

// HandleStaleEpoch handles the report that a worker has granted a larger epoch.
func (c *Claimer) HandleStaleEpoch(worker cwmodel.HostID, epoch cwmodel.Epoch) {
	c.inbox.Offer(event{kind: eventStaleEpoch, worker: worker, epoch: epoch})
}

// releaseAll releases all claims, so that the next owners need not wait for them to expire. It returns once they are released.
func (c *Claimer) releaseAll() {
	ctx, cancel := context.WithTimeout(context.Background(), 2*c.opts.CallTimeout)
	defer cancel()
	released := make(chan struct{})
	if c.inbox.Put(ctx, event{kind: eventReleaseAll, released: released}) != nil {
		return
	}
	select {
	case <-released:
	case <-ctx.Done():
		c.opts.Log.Warn("claims-not-released")
	}
}

func (c *Claimer) run(ctx context.Context) {
	for ctx.Err() == nil {
		e, ok := c.inbox.Take(ctx)
		if !ok {
			return
		}
		c.handle(e)
		c.executeActions(ctx, e.inventory)
		if c.released != nil && c.machine.IsIdle() {
			close(c.released)
			c.released = nil
		}
	}
}

func (c *Claimer) handle(e event) {
	now := c.opts.Timer.Now()
	switch e.kind {
	case eventHosts:
		c.machine.UpdateHosts(now, e.workers, e.hosts)
	case eventTick:
		for _, worker := range c.machine.HandingOver() {
			c.machine.SetOpenRequests(worker, c.opts.OpenRequests(worker))
		}
		c.machine.Tick(now)
	case eventClaimed:
		c.machine.HandleClaim(now, e.worker, e.result)
	case eventRenewed:
		c.machine.HandleRenewal(now, e.worker, e.epoch, e.result)
	case eventReleased:
		c.machine.HandleRelease(now, e.worker)
	case eventStaleEpoch:
		c.machine.HandleStaleEpoch(now, e.worker, e.epoch)
	case eventReleaseAll:
		c.released = e.released
		c.machine.ReleaseAll(now)
	}
}

// executeActions executes the actions of the machine until there are none left, since an action may cause more.
func (c *Claimer) executeActions(ctx context.Context, inventory cwport.Inventory) {
	for {
		actions := slices.Clone(c.machine.Actions())
		if len(actions) == 0 {
			return
		}
		for _, a := range actions {
			c.execute(ctx, a, inventory)
		}
	}
}

func (c *Claimer) execute(ctx context.Context, a cwclaim.Action, inventory cwport.Inventory) {
	log := c.opts.Log.WithFields(logrus.Fields{"worker": a.Worker.ID, "epoch": a.Epoch})
	switch a.Kind {
	case cwclaim.ActionClaim:
		c.callWorker(eventClaimed, a, c.claim)
	case cwclaim.ActionRenew:
		c.callWorker(eventRenewed, a, c.renew)
	case cwclaim.ActionRelease:
		c.callWorker(eventReleased, a, c.release)
	case cwclaim.ActionAcquired:
		log.WithFields(logrus.Fields{"running": len(inventory.Running), "clock-error": a.Validity.Clock.Width()}).Info("worker-claimed")
		inventory.Leaving = inventory.Leaving || a.Worker.State == cwmodel.HostLeaving
		_ = c.opts.OnAcquired(ctx, inventory, a.Validity)
	case cwclaim.ActionExtended:
		c.opts.OnExtended(a.Worker.ID, a.Epoch, a.Validity)
	case cwclaim.ActionDrain:
		log.WithField("reason", a.Reason).Info("worker-draining")
		if a.Reason == cwclaim.ReasonLeaving {
			_ = c.opts.OnDrain(ctx, a.Worker.ID)
		} else {
			_ = c.opts.OnCordon(ctx, a.Worker.ID)
		}
	case cwclaim.ActionLost:
		if a.Reason == cwclaim.ReasonHandOver {
			log.Info("worker-released")
		} else {
			log.WithField("reason", a.Reason).Warn("worker-lost")
		}
		_ = c.opts.OnLost(ctx, a.Worker.ID, a.LastRenewal)
	}
}

// callWorker makes one call to a worker on the pool. If the pool is full, the call fails as one that was never sent.
func (c *Claimer) callWorker(kind eventKind, a cwclaim.Action, call func(ctx context.Context, a cwclaim.Action, e *event) error) {
	e := event{kind: kind, worker: a.Worker.ID, epoch: a.Epoch}
	err := c.opts.Pool.Submit(func() {
		ctx, cancel := context.WithTimeout(context.Background(), c.opts.CallTimeout)
		defer cancel()
		e.result.Sent = c.opts.Timer.Now()
		callErr := call(ctx, a, &e)
		e.result.Code, e.result.Received = cwfault.CodeOf(callErr), c.opts.Timer.Now()
		c.logFailure(kind, a, callErr)
		_ = c.inbox.Put(context.Background(), e)
	})
	if err != nil {
		e.result.Code = cwfault.Unavailable
		c.handle(e)
	}
}

func (c *Claimer) logFailure(kind eventKind, a cwclaim.Action, err error) {
	if err == nil {
		return
	}
	log := c.opts.Log.WithFields(logrus.Fields{"worker": a.Worker.ID, "call": a.Kind, "error": cwfault.MessageOf(err)})
	if kind == eventClaimed {
		log.Debug("claim-failed")
		return
	}
	log.Warn("worker-call-failed")
}

// claim reads the worker's epoch and claims the worker under a larger one. The validity counts from the time at which the claim is sent.
func (c *Claimer) claim(ctx context.Context, a cwclaim.Action, e *event) (err error) {
	inventory, err := c.opts.Workers.Inspect(ctx, a.Worker.Address)
	if err != nil {
		return err
	}
	e.result.Sent = c.opts.Timer.Now()
	claim := cwport.Claim{Owner: c.opts.Claims.Self, Epoch: cwclaim.NextEpoch(inventory.Epoch, inventory.Clock), TTL: c.opts.Claims.TTL}
	e.inventory, err = c.opts.Workers.Claim(ctx, a.Worker.Address, claim)
	e.result.Epoch, e.result.Clock, e.result.Leaving = e.inventory.Epoch, e.inventory.Clock, e.inventory.Leaving
	return err
}

func (c *Claimer) renew(ctx context.Context, a cwclaim.Action, e *event) error {
	heartbeat := cwport.Heartbeat{Epoch: a.Epoch, TTL: c.opts.Claims.TTL, NotAfter: a.NotAfter}
	response, err := c.opts.Workers.Heartbeat(ctx, a.Worker.Address, heartbeat)
	e.result.Clock, e.result.Leaving = response.Clock, response.Leaving
	if len(response.Usage) > 0 && c.opts.OnUsage != nil {
		c.opts.OnUsage(response.Usage)
	}
	return err
}

func (c *Claimer) release(ctx context.Context, a cwclaim.Action, _ *event) error {
	return c.opts.Workers.Release(ctx, a.Worker.Address, a.Epoch)
}
