// Package cwkeeper claims the workers that this entry host should own and renews its claims.
package cwkeeper

import (
	"context"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"

	"currantward/internal/base/cwduty"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwring"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwowner"
	"currantward/internal/port/cwport"
)

// Options set up a keeper.
type Options struct {
	Timer      *cwtimer.Service
	Log        *logrus.Logger
	Workers    cwport.Workers
	Pool       *ants.Pool
	Self       cwmodel.HostID
	ClaimTTL   time.Duration
	RenewEvery time.Duration
	CallLimit  time.Duration // of one call to a worker

	// Owned takes a claimed worker with its inventory.
	Owned func(ctx context.Context, inventory cwport.Inventory) error
	// Lost takes a worker whose claim has ended.
	Lost func(ctx context.Context, worker cwmodel.HostID) error
	// Draining takes a worker that says it is leaving.
	Draining func(ctx context.Context, worker cwmodel.HostID) error
}

// eventKind names what an event tells the keeper.
type eventKind string

const (
	eventView    eventKind = "view"
	eventTick    eventKind = "tick"
	eventClaimed eventKind = "claimed"
	eventRenewed eventKind = "renewed"
	eventStale   eventKind = "stale"
)

// event is one item of the inbox.
type event struct {
	kind      eventKind
	workers   []cwmodel.Host
	hosts     []cwmodel.HostID
	worker    cwmodel.HostID
	epoch     cwmodel.Epoch
	inventory cwport.Inventory
	renewal   cwport.Renewal
	err       error
}

// claim is what the keeper knows of one worker.
type claim struct {
	host     cwmodel.Host
	owned    bool
	busy     bool // a call to the worker is in flight
	draining bool
	epoch    cwmodel.Epoch
	renewed  time.Time
}

// Keeper owns the claims of one entry host.
type Keeper struct {
	opts   Options
	inbox  *cwring.Ring[event]
	claims map[cwmodel.HostID]*claim
	hosts  []cwmodel.HostID
}

const inboxSize = 4096

// New starts the duty and returns the function that stops it and releases all claims.
func New(opts Options) (k *Keeper, stop func()) {
	k = &Keeper{opts: opts, inbox: cwring.New[event](inboxSize), claims: map[cwmodel.HostID]*claim{}}
	cancel := opts.Timer.Every(opts.RenewEvery, func(time.Time) { k.inbox.Offer(event{kind: eventTick}) })
	stopDuty := cwduty.Start("lease-keeper", k.run)
	return k, func() {
		cancel()
		stopDuty()
		k.releaseAll()
	}
}

// View hands over the workers and the live entry hosts of this data centre.
func (k *Keeper) View(workers []cwmodel.Host, hosts []cwmodel.HostID) {
	k.inbox.Offer(event{kind: eventView, workers: workers, hosts: hosts})
}

// Stale is told that a worker has granted a larger epoch.
func (k *Keeper) Stale(worker cwmodel.HostID, epoch cwmodel.Epoch) {
	k.inbox.Offer(event{kind: eventStale, worker: worker, epoch: epoch})
}

func (k *Keeper) run(ctx context.Context) {
	for ctx.Err() == nil {
		e, ok := k.inbox.Take(ctx)
		if !ok {
			return
		}
		k.handle(ctx, e)
	}
}

func (k *Keeper) handle(ctx context.Context, e event) {
	switch e.kind {
	case eventView:
		k.applyView(e)
		k.sweep(ctx)
	case eventTick:
		k.sweep(ctx)
	case eventClaimed:
		k.claimed(ctx, e)
	case eventRenewed:
		k.renewed(ctx, e)
	case eventStale:
		if c, ok := k.claims[e.worker]; ok && c.owned && c.epoch == e.epoch {
			k.lose(ctx, c, "stale-epoch")
		}
	}
}

func (k *Keeper) applyView(e event) {
	k.hosts = e.hosts
	for _, host := range e.workers {
		c, ok := k.claims[host.ID]
		if !ok {
			c = &claim{}
			k.claims[host.ID] = c
		}
		c.host = host
	}
}

// sweep renews what is owned and claims what should be.
func (k *Keeper) sweep(ctx context.Context) {
	now := k.opts.Timer.Now()
	for _, c := range k.claims {
		if c.owned && now.Sub(c.renewed) > k.opts.ClaimTTL {
			k.lose(ctx, c, "claim-lapsed")
		}
		switch {
		case c.busy:
		case c.owned:
			k.call(c, k.renew)
		case c.host.State == cwmodel.HostLive && cwowner.Preferred(c.host.ID, k.hosts) == k.opts.Self:
			k.call(c, k.claim)
		}
	}
}

// call runs one call to a worker on the pool; if the pool is full the next sweep tries again.
func (k *Keeper) call(c *claim, call func(host cwmodel.Host, epoch cwmodel.Epoch) event) {
	host, epoch := c.host, c.epoch
	c.busy = true
	err := k.opts.Pool.Submit(func() { _ = k.inbox.Put(context.Background(), call(host, epoch)) })
	if err != nil {
		c.busy = false
	}
}

func (k *Keeper) claim(host cwmodel.Host, _ cwmodel.Epoch) event {
	ctx, cancel := context.WithTimeout(context.Background(), k.opts.CallLimit)
	defer cancel()
	e := event{kind: eventClaimed, worker: host.ID}
	e.inventory, e.err = k.opts.Workers.Inspect(ctx, host.Address)
	if e.err != nil {
		return e
	}
	claim := cwport.Claim{Owner: k.opts.Self, Epoch: e.inventory.Epoch + 1, TTL: k.opts.ClaimTTL}
	e.inventory, e.err = k.opts.Workers.Claim(ctx, host.Address, claim)
	return e
}

func (k *Keeper) renew(host cwmodel.Host, epoch cwmodel.Epoch) event {
	ctx, cancel := context.WithTimeout(context.Background(), k.opts.CallLimit)
	defer cancel()
	e := event{kind: eventRenewed, worker: host.ID, epoch: epoch}
	e.renewal, e.err = k.opts.Workers.Renew(ctx, host.Address, epoch, k.opts.ClaimTTL)
	return e
}

func (k *Keeper) claimed(ctx context.Context, e event) {
	c := k.claims[e.worker]
	c.busy = false
	if e.err != nil {
		k.opts.Log.WithFields(logrus.Fields{"worker": e.worker, "error": cwfault.MessageOf(e.err)}).Debug("claim-failed")
		return
	}
	c.owned, c.epoch, c.renewed, c.draining = true, e.inventory.Epoch, k.opts.Timer.Now(), false
	k.opts.Log.WithFields(logrus.Fields{"worker": e.worker, "epoch": c.epoch, "running": len(e.inventory.Running)}).Info("worker-claimed")
	_ = k.opts.Owned(ctx, e.inventory)
	k.drain(ctx, c, e.inventory.Leaving)
}

func (k *Keeper) renewed(ctx context.Context, e event) {
	c := k.claims[e.worker]
	c.busy = false
	if !c.owned || c.epoch != e.epoch {
		return
	}
	switch {
	case cwfault.CodeOf(e.err) == cwfault.StaleEpoch:
		k.lose(ctx, c, "stale-epoch")
	case e.err != nil:
		k.opts.Log.WithFields(logrus.Fields{"worker": e.worker, "error": cwfault.MessageOf(e.err)}).Warn("renewal-failed")
	default:
		c.renewed = k.opts.Timer.Now()
		k.drain(ctx, c, e.renewal.Leaving)
	}
}

func (k *Keeper) drain(ctx context.Context, c *claim, leaving bool) {
	if (leaving || c.host.State == cwmodel.HostLeaving) && !c.draining {
		c.draining = true
		_ = k.opts.Draining(ctx, c.host.ID)
	}
}

func (k *Keeper) lose(ctx context.Context, c *claim, reason string) {
	c.owned = false
	k.opts.Log.WithFields(logrus.Fields{"worker": c.host.ID, "epoch": c.epoch, "reason": reason}).Warn("worker-lost")
	_ = k.opts.Lost(ctx, c.host.ID)
}

// releaseAll ends all claims so that the next owner need not wait for them to lapse.
func (k *Keeper) releaseAll() {
	for _, c := range k.claims {
		if !c.owned {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), k.opts.CallLimit)
		_ = k.opts.Workers.Release(ctx, c.host.Address, c.epoch)
		cancel()
	}
}
