package cwsimulation

import (
	"time"

	"currantward/internal/core/cwclaim"
	"currantward/internal/core/cwdecider"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
)

// Periods and bounds of a simulated entry host.
const (
	claimTTL     = 2 * time.Second
	viewEvery    = 500 * time.Millisecond
	claimTick    = claimTTL / 48
	tickEvery    = 50 * time.Millisecond
	pollEvery    = 40 * time.Millisecond
	startWindow  = time.Second
	orderTimeout = 500 * time.Millisecond
	answerGrace  = 100 * time.Millisecond
	silenceLimit = 3 * time.Second
	drainBound   = 5 * time.Second
)

// host is an entry host: the machines of its claims and decisions, its orders and its waiting callers.
type host struct {
	world    *world
	id       cwmodel.HostID
	cfg      cwpolicy.Configuration
	life     int // raised by each crash; what an earlier life began is dropped
	up       bool
	pausedTo time.Time
	heard    time.Time // when peers last heard it
	decider  *cwdecider.Decider
	machine  *cwclaim.Machine
	links    map[cwmodel.HostID]*link
	waiting  map[cwmodel.TaskID]bool
}

// run carries out a step of this host's present life, after its pause if it is paused.
func (h *host) run(step func()) { h.runIn(h.life, step) }

// runIn carries out a step of one life unless that has ended.
func (h *host) runIn(life int, step func()) {
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

// after carries out a later step of the present life.
func (h *host) after(d time.Duration, step func()) {
	life := h.life
	h.world.after(d, func() { h.runIn(life, step) })
}

// every repeats a step for the host's present life.
func (h *host) every(period time.Duration, step func()) {
	var again func()
	again = func() {
		step()
		h.after(period, again)
	}
	h.after(h.world.between(0, period), again)
}

// start begins a new life without any memory.
func (h *host) start() {
	h.life++
	h.up, h.heard = true, h.world.now
	h.decider = cwdecider.New(cwdecider.Options{Seed: h.world.rand.Uint64(), StartWindow: startWindow})
	h.decider.Configure(h.world.now, h.cfg)
	h.waiting = map[cwmodel.TaskID]bool{}
	h.links = map[cwmodel.HostID]*link{}
	claims := cwclaim.DefaultOptions(h.id, claimTTL)
	claims.Seed, claims.RequestWindow = h.world.rand.Uint64(), startWindow
	h.machine = cwclaim.New(claims)
	h.every(tickEvery, func() { h.decide(func(now time.Time) { h.decider.Tick(now) }) })
	h.every(viewEvery, h.view)
	h.every(claimTick, func() {
		for _, worker := range h.machine.HandingOver() {
			h.machine.SetOpenRequests(worker, h.links[worker].open)
		}
		h.claim(h.machine.Tick)
	})
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
		case cwdecider.ActionStart, cwdecider.ActionStop:
			h.order(action)
		case cwdecider.ActionRespond:
			h.answer(action.Response)
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
	h.decide(func(now time.Time) { h.decider.HandleResult(now, r) })
}

// submit takes one request; a caller that is not answered in time is told that the outcome is unknown.
func (h *host) submit(t cwmodel.Task) {
	h.waiting[t.ID] = true
	h.after(t.Deadline.Sub(h.world.now)+answerGrace, func() {
		if !h.waiting[t.ID] {
			return
		}
		h.answer(cwmodel.Response{Task: t.ID, Outcome: cwmodel.OutcomeUnknown, Reason: cwmodel.ReasonDeadlineExceeded})
		h.decide(func(now time.Time) { h.decider.Cancel(now, t.ID) })
	})
	h.decide(func(now time.Time) { h.decider.Submit(now, t) })
}

// answer tells the caller unless it was told before.
func (h *host) answer(a cwmodel.Response) {
	if h.waiting[a.Task] {
		delete(h.waiting, a.Task)
		h.world.oracle.answer(a)
	}
}
