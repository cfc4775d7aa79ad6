// Package cwclaimer claims workers and renews the claims.
//
// It executes the decisions of the state machine of cwclaim and reports acquired and lost workers.
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
	// OnLost receives a worker whose claim has ended. No lease under the claim was started or renewed after lastRenewal.
	OnLost func(ctx context.Context, worker cwmodel.HostID, lastRenewal time.Time) error
	// OnCordon receives a worker that will be handed over to another entry host: it must get no new tasks, while its tasks continue.
	OnCordon func(ctx context.Context, worker cwmodel.HostID) error
	// OnUsage receives the usage of a worker's tasks from a heartbeat response. It returns false if the receiver's inbox is full, and the
	// usage is dropped then. It may be nil.
	OnUsage func(usage []cwmodel.Usage) bool
	// OnDrain receives a worker that is leaving: it must get no new tasks, and tasks that can move must move to other workers.
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

// event is one item of the inbox; its kind determines which fields are set.
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

// Claimer is the duty that keeps the claims of one entry host; the list of running duties shows it as lease-keeper.
type Claimer struct {
	opts     Options
	inbox    *cwring.Ring[event]
	claims   *cwclaim.Machine
	released chan struct{} // closed once all claims are released; nil unless the claimer is stopping
}

const (
	inboxSize = 4096 // events
	// ticksPerRenewal is how often in a renewal period the claimer checks for due calls.
	ticksPerRenewal = 16
)

// New starts the claimer's duty and returns the function that releases all claims and stops the duty.
func New(opts Options) (c *Claimer, stop func()) {
	c = &Claimer{opts: opts, inbox: cwring.New[event](inboxSize), claims: cwclaim.New(opts.Claims)}
	cancel := opts.Timer.Every(opts.Claims.RenewInterval/ticksPerRenewal, func(time.Time) { c.inbox.Offer(event{kind: eventTick}) })
	stopDuty := cwduty.Start("lease-keeper", c.run)
	return c, func() {
		c.releaseAll()
		cancel()
		stopDuty()
	}
}

// SetHosts replaces the workers and the live entry hosts of this data centre. A full inbox drops the update.
func (c *Claimer) SetHosts(workers []cwmodel.Host, hosts []cwmodel.HostID) {
	c.inbox.Offer(event{kind: eventHosts, workers: workers, hosts: hosts})
}

// HandleStaleEpoch ends the claim on a worker that has rejected epoch, because it has granted a larger one. A full inbox drops the event.
func (c *Claimer) HandleStaleEpoch(worker cwmodel.HostID, epoch cwmodel.Epoch) {
	c.inbox.Offer(event{kind: eventStaleEpoch, worker: worker, epoch: epoch})
}

// releaseAll releases all claims, so that the next owners need not wait for them to expire.
//
// It returns once they are released, or after two call timeouts: a claim call in flight must end before its claim can be released.
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

// run handles the events of the inbox and executes the actions that each of them causes. During a shutdown it closes c.released once no claim
// is left.
func (c *Claimer) run(ctx context.Context) {
	for ctx.Err() == nil {
		e, ok := c.inbox.Take(ctx)
		if !ok {
			return
		}
		c.handle(e)
		c.executeActions(ctx, e.inventory)
		if c.released != nil && c.claims.IsIdle() {
			close(c.released)
			c.released = nil
		}
	}
}

// handle passes one event to the state machine of the claims. A tick first updates the number of open requests on workers that are being
// handed over.
func (c *Claimer) handle(e event) {
	now := c.opts.Timer.Now()
	switch e.kind {
	case eventHosts:
		c.claims.UpdateHosts(now, e.workers, e.hosts)
	case eventTick:
		for _, worker := range c.claims.HandingOver() {
			c.claims.SetOpenRequests(worker, c.opts.OpenRequests(worker))
		}
		c.claims.Tick(now)
	case eventClaimed:
		c.claims.HandleClaim(now, e.worker, e.result)
	case eventRenewed:
		c.claims.HandleRenewal(now, e.worker, e.epoch, e.result)
	case eventReleased:
		c.claims.HandleRelease(now, e.worker)
	case eventStaleEpoch:
		c.claims.HandleStaleEpoch(now, e.worker, e.epoch)
	case eventReleaseAll:
		c.released = e.released
		c.claims.ReleaseAll(now)
	}
}

// executeActions executes the actions of the state machine until there are none left, since an action may cause more. Each call of Actions
// returns the actions since the last call, so the loop ends. If the current event reports a claimed worker, inventory is that worker's.
func (c *Claimer) executeActions(ctx context.Context, inventory cwport.Inventory) {
	for {
		actions := slices.Clone(c.claims.Actions())
		if len(actions) == 0 {
			return
		}
		for _, a := range actions {
			c.executeAction(ctx, a, inventory)
		}
	}
}

// executeAction starts one call to a worker, or reports a change of a claim to the other duties.
//
// ActionDrain means OnDrain for a worker that is leaving, and OnCordon for any other reason. ActionLost also reports the planned end of a
// claim by a hand-over.
func (c *Claimer) executeAction(ctx context.Context, a cwclaim.Action, inventory cwport.Inventory) {
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

// callWorker makes one call to a worker on the pool and enqueues the result as an event of the given kind; call may set further fields of
// the event. If the pool is full, it handles a result with the code Unavailable at once.
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

// logFailure logs a failed call; a failed claim is expected while another host owns the worker, so it is logged for debugging only.
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

// claim reads the worker's epoch and claims the worker under a larger one. The validity of the claim counts from the time at which the
// second call is sent.
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

// renew sends a heartbeat, which renews the claim and the leases of the tasks, and passes on the usage in the response.
func (c *Claimer) renew(ctx context.Context, a cwclaim.Action, e *event) error {
	heartbeat := cwport.Heartbeat{Epoch: a.Epoch, TTL: c.opts.Claims.TTL, NotAfter: a.NotAfter}
	response, err := c.opts.Workers.Heartbeat(ctx, a.Worker.Address, heartbeat)
	e.result.Clock, e.result.Leaving = response.Clock, response.Leaving
	if len(response.Usage) > 0 && c.opts.OnUsage != nil {
		c.opts.OnUsage(response.Usage)
	}
	return err
}

// release ends the claim on a worker.
func (c *Claimer) release(ctx context.Context, a cwclaim.Action, _ *event) error {
	return c.opts.Workers.Release(ctx, a.Worker.Address, a.Epoch)
}
