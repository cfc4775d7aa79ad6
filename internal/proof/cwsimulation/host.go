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
	membershipInterval  = 500 * time.Millisecond
	claimTickInterval   = claimTTL / 48
	deciderTickInterval = 50 * time.Millisecond
	pollInterval        = 40 * time.Millisecond
	requestWindow       = time.Second // a worker rejects a start or renewal that arrives later than this after it was decided
	callTimeout         = 500 * time.Millisecond
	responseGrace       = 100 * time.Millisecond // time after its deadline that a caller waits for a response
	livenessTimeout     = 3 * time.Second
	drainNoticeLimit    = 5 * time.Second // time after which no new work reaches a draining worker
)

// host is a simulated entry host. It runs the real state machines of claims and decisions, and simulates what surrounds them.
type host struct {
	sim              *simulation
	id               cwmodel.HostID
	cfg              cwpolicy.Configuration
	incarnation      int // incremented by each start and crash; scheduled steps of earlier incarnations are dropped
	isUp             bool
	pausedUntil      time.Time
	lastHeartbeatAt  time.Time // when its peers last received a heartbeat
	decider          *cwdecider.Decider
	claims           *cwclaim.Machine
	owned            map[cwmodel.HostID]*ownedWorker // by the worker's identifier
	awaitingResponse map[cwmodel.TaskID]bool         // submitted since the last start, without a response yet
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

// scheduleEvery repeats a step until the current incarnation ends. The first time is random within the period.
func (h *host) scheduleEvery(period time.Duration, step func()) {
	var repeat func()
	repeat = func() {
		step()
		h.schedule(period, repeat)
	}
	h.schedule(h.sim.randomDuration(0, period), repeat)
}

// start starts a new incarnation, with its periodic steps and without any state of the earlier ones.
func (h *host) start() {
	h.incarnation++
	h.isUp, h.lastHeartbeatAt = true, h.sim.now
	h.decider = cwdecider.New(cwdecider.Options{Seed: h.sim.rand.Uint64(), StartWindow: requestWindow})
	h.decider.Configure(h.sim.now, h.cfg)
	h.awaitingResponse = map[cwmodel.TaskID]bool{}
	h.owned = map[cwmodel.HostID]*ownedWorker{}
	opts := cwclaim.DefaultOptions(h.id, claimTTL)
	opts.Seed, opts.RequestWindow = h.sim.rand.Uint64(), requestWindow
	h.claims = cwclaim.New(opts)
	h.scheduleEvery(deciderTickInterval, func() { h.updateDecider(func(now time.Time) { h.decider.Tick(now) }) })
	h.scheduleEvery(membershipInterval, h.updateMembership)
	h.scheduleEvery(claimTickInterval, func() {
		// The claim of a worker that is handed over is released once this host has no open requests there.
		for _, worker := range h.claims.HandingOver() {
			h.claims.SetOpenRequests(worker, h.owned[worker].openRequests)
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

// updateDecider runs a call of the decider, then executes the actions that the decider returns.
func (h *host) updateDecider(call func(now time.Time)) {
	call(h.sim.now)
	h.checkDeciderInvariants()
	for _, action := range h.decider.Actions() {
		switch action.Kind {
		case cwdecider.ActionStart, cwdecider.ActionStop:
			h.dispatchOrder(action)
		case cwdecider.ActionRespond:
			h.respond(action.Response)
		case cwdecider.ActionLost, cwdecider.ActionOrphan:
			// The simulation has no durable tasks, to which ActionLost is restricted, and no task waits for the result of an ActionOrphan.
		}
	}
}

// stepsBetweenInvariantChecks is the number of simulation steps between two checks of the decider's whole state.
const stepsBetweenInvariantChecks = 16

// checkDeciderInvariants records a violation if the decider's state is inconsistent. Most steps skip the check, which is slow.
func (h *host) checkDeciderInvariants() {
	if h.sim.step%stepsBetweenInvariantChecks != 0 {
		return
	}
	if problem := h.decider.Verify(); problem != "" {
		h.sim.oracle.addViolation("state of the decider of %s is inconsistent: %s", h.id, problem)
	}
}

// handleResult passes the result of an attempt to the decider.
func (h *host) handleResult(r cwmodel.Result) {
	h.updateDecider(func(now time.Time) { h.decider.HandleResult(now, r) })
}

// submit submits one request. If there is no response shortly after its deadline, its caller receives the outcome unknown and the
// request is cancelled.
func (h *host) submit(t cwmodel.Task) {
	h.awaitingResponse[t.ID] = true
	h.schedule(t.Deadline.Sub(h.sim.now)+responseGrace, func() {
		if !h.awaitingResponse[t.ID] {
			return
		}
		h.respond(cwmodel.Response{Task: t.ID, Outcome: cwmodel.OutcomeUnknown, Reason: cwmodel.ReasonDeadlineExceeded})
		h.updateDecider(func(now time.Time) { h.decider.Cancel(now, t.ID) })
	})
	h.updateDecider(func(now time.Time) { h.decider.Submit(now, t) })
}

// respond records a response with the oracle, which acts as the caller, unless the caller no longer waits for one.
func (h *host) respond(r cwmodel.Response) {
	if h.awaitingResponse[r.Task] {
		delete(h.awaitingResponse, r.Task)
		h.sim.oracle.recordResponse(r)
	}
}
