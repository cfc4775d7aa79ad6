package cwsimulation

import (
	"time"

	"currantward/internal/core/cwclaim"
	"currantward/internal/core/cwdecider"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
)

// Intervals and timeouts of a simulated entry host.
const (
	claimTTL            = 2 * time.Second
	hostUpdateInterval  = 500 * time.Millisecond
	claimTickInterval   = claimTTL / 48
	deciderTickInterval = 50 * time.Millisecond
	pollInterval        = 40 * time.Millisecond
	startWindow         = time.Second
	orderTimeout        = 500 * time.Millisecond
	responseGrace       = 100 * time.Millisecond
	livenessTimeout     = 3 * time.Second
	drainNoticeLimit    = 5 * time.Second
)

// host is a simulated entry host: the state machines of its claims and decisions, its orders and its waiting callers.
type host struct {
	sim             *simulation
	id              cwmodel.HostID
	cfg             cwpolicy.Configuration
	incarnation     int // incremented by each start and crash; pending steps of earlier incarnations are dropped
	isUp            bool
	pausedUntil     time.Time
	lastHeartbeatAt time.Time // when its peers last received a heartbeat
	decider         *cwdecider.Decider
	claims          *cwclaim.Machine
	owned           map[cwmodel.HostID]*ownedWorker
	waiting         map[cwmodel.TaskID]bool
}

// runStep runs a step of the current incarnation, at the end of the pause if the host is paused.
func (h *host) runStep(step func()) { h.runStepIn(h.incarnation, step) }

// runStepIn runs a step of one incarnation, unless that incarnation has ended.
func (h *host) runStepIn(incarnation int, step func()) {
	var run func()
	run = func() {
		switch {
		case h.incarnation != incarnation || !h.isUp:
		case h.sim.now.Before(h.pausedUntil):
			h.sim.schedule(h.pausedUntil.Sub(h.sim.now), run)
		default:
			step()
		}
	}
	run()
}

// schedule runs a step of the current incarnation after a delay.
func (h *host) schedule(d time.Duration, step func()) {
	incarnation := h.incarnation
	h.sim.schedule(d, func() { h.runStepIn(incarnation, step) })
}

// scheduleEvery repeats a step until the current incarnation ends.
func (h *host) scheduleEvery(period time.Duration, step func()) {
	var repeat func()
	repeat = func() {
		step()
		h.schedule(period, repeat)
	}
	h.schedule(h.sim.randomDuration(0, period), repeat)
}

// start starts a new incarnation without any state of the earlier ones.
func (h *host) start() {
	h.incarnation++
	h.isUp, h.lastHeartbeatAt = true, h.sim.now
	h.decider = cwdecider.New(cwdecider.Options{Seed: h.sim.rand.Uint64(), StartWindow: startWindow})
	h.decider.Configure(h.sim.now, h.cfg)
	h.waiting = map[cwmodel.TaskID]bool{}
	h.owned = map[cwmodel.HostID]*ownedWorker{}
	opts := cwclaim.DefaultOptions(h.id, claimTTL)
	opts.Seed, opts.RequestWindow = h.sim.rand.Uint64(), startWindow
	h.claims = cwclaim.New(opts)
	h.scheduleEvery(deciderTickInterval, func() { h.updateDecider(func(now time.Time) { h.decider.Tick(now) }) })
	h.scheduleEvery(hostUpdateInterval, h.updateHosts)
	h.scheduleEvery(claimTickInterval, func() {
		for _, worker := range h.claims.HandingOver() {
			h.claims.SetOpenRequests(worker, h.owned[worker].openOrders)
		}
		h.updateClaims(h.claims.Tick)
	})
	h.scheduleEvery(pollInterval, h.pollWorkers)
}

// crash ends the current incarnation.
func (h *host) crash() {
	h.incarnation++
	h.isUp = false
}

// updateDecider passes one event to the decider and executes the resulting actions.
func (h *host) updateDecider(event func(now time.Time)) {
	event(h.sim.now)
	h.verifyDecider()
	for _, action := range h.decider.Actions() {
		switch action.Kind {
		case cwdecider.ActionStart, cwdecider.ActionStop:
			h.dispatchOrder(action)
		case cwdecider.ActionRespond:
			h.respond(action.Response)
		case cwdecider.ActionLost, cwdecider.ActionOrphan: // these concern durable tasks, and tasks with a final response
		}
	}
}

// verifyEverySteps is the number of steps between two consistency checks of the whole state of a decider.
const verifyEverySteps = 16

func (h *host) verifyDecider() {
	if h.sim.step%verifyEverySteps != 0 {
		return
	}
	if problem := h.decider.Verify(); problem != "" {
		h.sim.oracle.addViolation("decider of %s is inconsistent: %s", h.id, problem)
	}
}

func (h *host) handleResult(r cwmodel.Result) {
	h.updateDecider(func(now time.Time) { h.decider.HandleResult(now, r) })
}

// submit submits one request. A caller without a response in time receives the outcome unknown.
func (h *host) submit(t cwmodel.Task) {
	h.waiting[t.ID] = true
	h.schedule(t.Deadline.Sub(h.sim.now)+responseGrace, func() {
		if !h.waiting[t.ID] {
			return
		}
		h.respond(cwmodel.Response{Task: t.ID, Outcome: cwmodel.OutcomeUnknown, Reason: cwmodel.ReasonDeadlineExceeded})
		h.updateDecider(func(now time.Time) { h.decider.Cancel(now, t.ID) })
	})
	h.updateDecider(func(now time.Time) { h.decider.Submit(now, t) })
}

// respond sends the response to the caller unless one was sent before.
func (h *host) respond(r cwmodel.Response) {
	if h.waiting[r.Task] {
		delete(h.waiting, r.Task)
		h.sim.oracle.recordResponse(r)
	}
}
