package cwschedule

import (
	"time"

	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwdecider"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwowner"
	"currantward/internal/core/cwpolicy"
	"currantward/internal/port/cwport"
)

// Periods and bounds of a simulated entry host.
const (
	claimTTL     = 2 * time.Second
	renewEvery   = claimTTL / 3
	tickEvery    = 50 * time.Millisecond
	pollEvery    = 40 * time.Millisecond
	startWindow  = 2 * time.Second
	orderTimeout = time.Second
	answerGrace  = 100 * time.Millisecond
	silenceLimit = 3 * time.Second
	drainBound   = 5 * time.Second
)

// claim is what an entry host knows of one worker.
type claim struct {
	worker  *worker
	owned   bool
	busy    bool
	polling bool
	epoch   cwmodel.Epoch
	renewed time.Time // when the last renewal that was answered was sent
	sent    time.Time // when the last renewal was sent, answered or not
	acks    []cwmodel.Attempt
}

// host is an entry host: a decider with its claims, orders and waiting callers.
type host struct {
	world    *world
	id       cwmodel.HostID
	cfg      cwpolicy.Configuration
	life     int // raised by each crash; what an earlier life began is dropped
	up       bool
	pausedTo time.Time
	heard    time.Time // when peers last heard it
	decider  *cwdecider.Decider
	claims   []*claim
	waiting  map[cwmodel.TaskID]bool
}

// run carries out a step of this host's present life, after its pause if it is paused.
func (h *host) run(step func()) {
	life := h.life
	var attempt func()
	attempt = func() {
		switch {
		case h.life != life || !h.up:
		case h.world.now.Before(h.pausedTo):
			h.world.after(h.pausedTo.Sub(h.world.now), attempt)
		default:
			step()
		}
	}
	attempt()
}

// every repeats a step for the host's present life.
func (h *host) every(period time.Duration, step func()) {
	var again func()
	again = func() {
		step()
		h.world.after(period, func() { h.run(again) })
	}
	h.world.after(h.world.between(0, period), func() { h.run(again) })
}

// start begins a new life without any memory.
func (h *host) start() {
	h.life++
	h.up, h.heard = true, h.world.now
	h.decider = cwdecider.New(cwdecider.Options{Seed: h.world.rand.Uint64(), StartWindow: startWindow})
	h.decider.Configure(h.world.now, h.cfg)
	h.waiting = map[cwmodel.TaskID]bool{}
	h.claims = nil
	for _, w := range h.world.workers {
		h.claims = append(h.claims, &claim{worker: w})
	}
	h.every(tickEvery, func() { h.decide(func(now time.Time) { h.decider.Tick(now) }) })
	h.every(renewEvery, h.sweep)
	h.every(pollEvery, h.poll)
}

// crash ends this life.
func (h *host) crash() {
	h.life++
	h.up = false
}

// decide hands one event to the decider and carries out what it decides.
func (h *host) decide(event func(now time.Time)) {
	event(h.world.now)
	h.verify()
	for _, action := range h.decider.Actions() {
		switch action.Kind {
		case cwdecider.ActionStart:
			h.sendStart(action)
		case cwdecider.ActionStop:
			h.sendStop(action)
		case cwdecider.ActionAnswer:
			h.answer(action.Answer)
		case cwdecider.ActionLost, cwdecider.ActionOrphan: // of durable tasks, and of what is answered
		}
	}
}

// verifyEvery is how many steps pass between two walks through a decider's whole state.
const verifyEvery = 16

func (h *host) verify() {
	if h.world.step%verifyEvery != 0 {
		return
	}
	if broken := h.decider.Verify(); broken != "" {
		h.world.oracle.violate("decider of %s: %s", h.id, broken)
	}
}

func (h *host) ended(r cwmodel.Result) {
	h.decide(func(now time.Time) { h.decider.Ended(now, r) })
}

func (h *host) neverBegan(attempt cwmodel.Attempt) {
	h.ended(cwmodel.Result{Attempt: attempt, End: cwmodel.EndNeverBegan, Ended: h.world.now})
}

// submit takes one request; a caller that is not answered in time is told that the outcome is unknown.
func (h *host) submit(t cwmodel.Task) {
	h.waiting[t.ID] = true
	h.world.after(t.Deadline.Sub(h.world.now)+answerGrace, func() {
		h.run(func() {
			if !h.waiting[t.ID] {
				return
			}
			h.answer(cwmodel.Answer{Task: t.ID, Outcome: cwmodel.OutcomeUnknown, Reason: cwmodel.ReasonDeadlineExceeded})
			h.decide(func(now time.Time) { h.decider.Cancel(now, t.ID) })
		})
	})
	h.decide(func(now time.Time) { h.decider.Submit(now, t) })
}

// answer tells the caller unless it was told before.
func (h *host) answer(a cwmodel.Answer) {
	if h.waiting[a.Task] {
		delete(h.waiting, a.Task)
		h.world.oracle.answer(a)
	}
}

func (h *host) claimOf(id cwmodel.HostID) *claim {
	for _, c := range h.claims {
		if c.worker.about.ID == id {
			return c
		}
	}
	return nil
}

func (h *host) sendStart(action cwdecider.Action) {
	c := h.claimOf(action.Attempt.Worker)
	if !c.owned {
		h.world.after(0, func() { h.run(func() { h.neverBegan(action.Attempt) }) })
		return
	}
	h.world.oracle.ordered(h, c.worker)
	order := cwport.Start{Task: action.Task, Attempt: action.Attempt, NotAfter: h.world.now.Add(startWindow)}
	var err error
	exec := func() {
		before := c.worker.Begun()
		var runTime time.Duration
		runTime, err = c.worker.Start(order)
		h.world.oracle.refused(c.worker, order, err)
		if c.worker.Begun() > before {
			h.world.oracle.began(c.worker, order.Attempt.Epoch)
			h.world.after(max(runTime, 0), func() {})
		}
	}
	h.world.call(h, c.worker, exec, func(v verdict) {
		switch {
		case v == verdictNotSent, v == verdictAnswered && cwfault.CodeOf(err) == cwfault.Refused:
			h.neverBegan(action.Attempt)
		case v == verdictLost:
			h.sendStop(action)
		case cwfault.CodeOf(err) == cwfault.StaleEpoch:
			h.neverBegan(action.Attempt)
			h.lose(c, action.Attempt.Epoch)
		}
	})
}

func (h *host) sendStop(action cwdecider.Action) {
	c := h.claimOf(action.Attempt.Worker)
	var result cwmodel.Result
	var err error
	exec := func() { result, err = c.worker.Stop(action.Attempt, cwmodel.StopNow) }
	h.world.call(h, c.worker, exec, func(v verdict) {
		if v == verdictAnswered && err == nil {
			h.ended(result)
		}
	})
}

// poll reads the completions of each owned worker.
func (h *host) poll() {
	for _, c := range h.claims {
		if c.owned && !c.polling {
			h.pollWorker(c, c.epoch)
		}
	}
}

func (h *host) pollWorker(c *claim, epoch cwmodel.Epoch) {
	c.polling = true
	acks := c.acks
	var results []cwmodel.Result
	var err error
	exec := func() { results, _, err = c.worker.Completions(epoch, acks) }
	h.world.call(h, c.worker, exec, func(v verdict) {
		c.polling = false
		switch {
		case v != verdictAnswered:
		case cwfault.CodeOf(err) == cwfault.StaleEpoch:
			h.lose(c, epoch)
		default:
			c.acks = nil
			for _, r := range results {
				h.ended(r)
				c.acks = append(c.acks, r.Attempt)
			}
		}
	})
}

// sweep renews what is owned and claims what should be.
func (h *host) sweep() {
	h.heard = h.world.now
	for _, c := range h.claims {
		if c.owned && h.world.now.Sub(c.renewed) > claimTTL {
			h.lose(c, c.epoch)
		}
		switch {
		case c.busy:
		case c.owned:
			h.renew(c, c.epoch)
		case c.worker.leaving.IsZero() && cwowner.Preferred(c.worker.about.ID, h.world.live()) == h.id:
			h.take(c)
		}
	}
}

func (h *host) renew(c *claim, epoch cwmodel.Epoch) {
	c.busy = true
	sent := h.world.now
	c.sent = sent
	var renewal cwport.Renewal
	var err error
	exec := func() { renewal, err = c.worker.Renew(epoch, claimTTL) }
	h.world.call(h, c.worker, exec, func(v verdict) {
		c.busy = false
		switch {
		case v != verdictAnswered || !c.owned || c.epoch != epoch:
		case cwfault.CodeOf(err) == cwfault.StaleEpoch:
			h.lose(c, epoch)
		default:
			c.renewed = sent
			if renewal.Leaving {
				h.decide(func(time.Time) { h.decider.DrainWorker(c.worker.about.ID) })
			}
		}
	})
}

// take claims a worker under the next epoch and adopts what it runs.
func (h *host) take(c *claim) {
	c.busy = true
	sent := h.world.now
	c.sent = sent
	var inventory cwport.Inventory
	var err error
	exec := func() {
		epoch := c.worker.Inspect().Epoch + 1
		inventory, err = c.worker.Claim(cwport.Claim{Owner: h.id, Epoch: epoch, TTL: claimTTL})
		if err == nil {
			c.worker.granted = epoch
		}
	}
	h.world.call(h, c.worker, exec, func(v verdict) {
		c.busy = false
		if v != verdictAnswered || err != nil {
			return
		}
		c.owned, c.epoch, c.renewed, c.acks = true, inventory.Epoch, sent, nil
		h.decide(func(now time.Time) {
			if inventory.Leaving {
				h.decider.AddLeavingWorker(now, c.worker.about, c.epoch, inventory.Running)
				return
			}
			h.decider.AddWorker(now, c.worker.about, c.epoch, inventory.Running)
		})
	})
}

func (h *host) lose(c *claim, epoch cwmodel.Epoch) {
	if c.owned && c.epoch == epoch {
		c.owned = false
		h.decide(func(now time.Time) { h.decider.LoseWorker(now, c.worker.about.ID, c.sent) })
	}
}
