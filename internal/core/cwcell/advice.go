package cwcell

import (
	"cmp"
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// eligibility is the advice received about the workers of one group. The eligibility of a worker does not change during
// an incarnation; its ticket expires.
type eligibility struct {
	tickets             map[cwmodel.HostID]*ticket
	eligible            []*ticket                    // the same tickets, ordered by worker ID
	bits                bitset.BitSet                // freed-capacity bits of the workers in tickets
	ineligible          map[cwmodel.HostID]time.Time // incarnations of the workers that advice excludes
	allEvaluatedVersion int                          // Cell.fleetVersion at which advice covered every compatible worker
	lastRequestAt       time.Time                    // when advice about unevaluated workers was last requested
	pendingEvaluations  int                          // number of pending requests about unevaluated workers
	pendingRenewals     int                          // number of pending requests for new tickets
}

// ticket allows the tasks of a group on one worker for a limited time.
type ticket struct {
	worker    *worker
	text      string    // sent to the worker with the start order
	boundTo   time.Time // incarnation of the worker for which it was issued
	expiresAt time.Time
	renewing  bool // a pending request renews it
}

// newEligibility returns the eligibility of a group that has received no advice.
func newEligibility() *eligibility {
	return &eligibility{tickets: map[cwmodel.HostID]*ticket{}, ineligible: map[cwmodel.HostID]time.Time{}}
}

// isCurrent reports whether the ticket was issued for the worker's present incarnation and the worker is still in the cell.
func (t *ticket) isCurrent() bool { return t.boundTo.Equal(t.worker.Incarnation) && !t.worker.evicted }

// expireTicket makes a worker's ticket invalid, so that it is renewed before the next start. The worker stays eligible.
func (e *eligibility) expireTicket(id cwmodel.HostID) {
	if t, ok := e.tickets[id]; ok {
		t.expiresAt = time.Time{}
	}
}

// isEvaluated reports whether advice has been received about the worker's present incarnation, for or against it.
func (e *eligibility) isEvaluated(w *worker) bool {
	if e.isEligible(w) {
		return true
	}
	incarnation, ok := e.ineligible[w.ID]
	return ok && incarnation.Equal(w.Incarnation)
}

// isEligible reports whether advice allows the group on the worker's present incarnation; the ticket may have expired.
func (e *eligibility) isEligible(w *worker) bool {
	t, ok := e.tickets[w.ID]
	return ok && t.worker == w && t.isCurrent()
}

// hasValidTicket reports whether a start ordered now reaches the worker before its ticket expires.
func (e *eligibility) hasValidTicket(w *worker, now time.Time) bool {
	t, ok := e.tickets[w.ID]
	return ok && t.worker == w && t.isCurrent() && t.expiresAt.Sub(now) > ticketMargin
}

// ticketMargin covers the transit time of a start order to its worker.
const ticketMargin = 60 * time.Millisecond

// AdviceRequest asks which workers may run a step.
type AdviceRequest struct {
	ID       uint64
	Step     cwwork.StepKey
	Workers  []cwmodel.HostID
	Cost     time.Duration // expected latency of the response
	Priority int           // of the queue; lower is more urgent
	Renewal  bool          // requests new tickets for eligible workers; capacity on them stays allocated until the response arrives
}

// pendingRequest is an AdviceRequest that has not received a response.
type pendingRequest struct {
	AdviceRequest
	group        *group
	incarnations []time.Time // of the workers when they were listed in the request
}

// EligibleWorker is an eligible worker and its ticket.
type EligibleWorker struct {
	ID     cwmodel.HostID
	Ticket string
}

// maxRequestWorkers is the maximum number of workers in one request; see the users' protocol.
const maxRequestWorkers = 100

// renewTickets queues requests for new tickets for eligible workers, at most maxRequestWorkers in each.
func (c *Cell) renewTickets(g *group, policy cwwork.QueuePolicy, workers []*worker) {
	for len(workers) > 0 {
		n := min(len(workers), maxRequestWorkers)
		c.enqueueRequest(g, policy, workers[:n], true /* a renewal */)
		workers = workers[n:]
	}
}

// markRenewing records whether a pending request renews the tickets of workers.
func (e *eligibility) markRenewing(workers []cwmodel.HostID, renewing bool) {
	for _, id := range workers {
		if t, ok := e.tickets[id]; ok {
			t.renewing = renewing
		}
	}
}

// renewTicketsOfTasks requests new tickets for workers on which tasks of a group are planned, except those that a pending request renews.
// If further tasks wait, the request also covers other workers of the group, as many as add little to its cost: capacity that they free
// while their tickets are valid needs no request of its own.
func (c *Cell) renewTicketsOfTasks(g *group, policy cwwork.QueuePolicy, planned []*worker, now time.Time) {
	workers := slices.DeleteFunc(planned, func(w *worker) bool { return g.advice.tickets[w.ID].renewing })
	if len(workers) == 0 {
		return
	}
	answerAt := now.Add(policy.Advice.Cost(len(workers)) + renewalOverhead)
	most := cheapRequestWorkers(policy.Advice)
	for _, t := range g.advice.eligible {
		if g.waiting == 0 || len(workers) >= most {
			break
		}
		w := t.worker
		if !t.renewing && t.isCurrent() && w.usable(now) && !g.advice.hasValidTicket(w, answerAt) && !slices.Contains(workers, w) {
			workers = append(workers, w)
		}
	}
	c.renewTickets(g, policy, workers)
}

// enqueueRequest queues a request about workers. renewal is true for eligible workers whose tickets must be renewed, and
// false for workers that no advice covers yet.
func (c *Cell) enqueueRequest(g *group, policy cwwork.QueuePolicy, workers []*worker, renewal bool) {
	c.lastRequestID++
	req := &pendingRequest{group: g, AdviceRequest: AdviceRequest{
		ID: c.lastRequestID, Step: g.key, Priority: policy.Priority, Cost: policy.Advice.Cost(len(workers)), Renewal: renewal,
	}}
	for _, w := range workers {
		req.Workers = append(req.Workers, w.ID)
		req.incarnations = append(req.incarnations, w.Incarnation)
	}
	if renewal {
		g.advice.pendingRenewals++
		g.advice.markRenewing(req.Workers, true)
	} else {
		g.advice.pendingEvaluations++
	}
	c.pendingRequests[req.ID] = req
	c.unsentRequests = append(c.unsentRequests, req)
}

// emitAdviceRequests adds the unsent requests to the effects.
func (c *Cell) emitAdviceRequests() {
	for _, req := range c.unsentRequests {
		c.effects.AdviceRequests = append(c.effects.AdviceRequests, req.AdviceRequest)
	}
	c.unsentRequests = c.unsentRequests[:0]
}

// AdviceWanted reports whether a request is pending and its response still useful: the outcome of the job is not decided and
// the group is not done.
func (c *Cell) AdviceWanted(id uint64) bool {
	req, ok := c.pendingRequests[id]
	return ok && req.group.job.outcome == "" && req.group.unfinished > 0
}

// PastObjective reports whether a request is pending and its group is expected to end after the job's objective.
func (c *Cell) PastObjective(id uint64, wall time.Time) bool {
	req, ok := c.pendingRequests[id]
	return ok && c.rank(req.group, wall).lateness > 0
}

// HandleAdvice processes the response to a request, and then starts or releases the planned runs that waited for it. answered
// is false if the request failed or was dropped; advice about its workers may then be requested again. The tickets of the
// eligible workers are valid until validUntil.
func (c *Cell) HandleAdvice(id uint64, eligible []EligibleWorker, answered bool, validUntil, now time.Time) {
	req, known := c.pendingRequests[id]
	if !known {
		return
	}
	delete(c.pendingRequests, id)
	g, e := req.group, req.group.advice
	if req.Renewal {
		e.pendingRenewals--
		e.markRenewing(req.Workers, false)
	} else {
		e.pendingEvaluations--
	}
	c.markChanged(g)
	if answered {
		if !req.Renewal {
			c.queue(g.job.Queue).eligibleShare.observe(len(eligible), len(req.Workers))
		}
		c.recordAdvice(req, eligible, validUntil)
	}
	c.startIsolatedOf(g, now)
	c.resolvePlanned(g, req, now)
}

// recordAdvice records the workers in a response as eligible, with their tickets, and the other requested ones as ineligible.
func (c *Cell) recordAdvice(req *pendingRequest, eligible []EligibleWorker, validUntil time.Time) {
	e := req.group.advice
	for n, id := range req.Workers {
		e.ineligible[id] = req.incarnations[n]
	}
	for _, row := range eligible {
		n := slices.Index(req.Workers, row.ID)
		w, known := c.workers[row.ID]
		if n < 0 || !known {
			continue
		}
		t, ok := e.tickets[row.ID]
		if !ok {
			t = &ticket{}
			e.tickets[row.ID] = t
			at, _ := slices.BinarySearchFunc(e.eligible, row.ID, func(t *ticket, id cwmodel.HostID) int { return cmp.Compare(t.worker.ID, id) })
			e.eligible = slices.Insert(e.eligible, at, t)
		}
		e.bits.Set(w.bit)
		delete(e.ineligible, row.ID)
		*t = ticket{worker: w, text: row.Ticket, boundTo: req.incarnations[n], expiresAt: validUntil}
	}
}

// resolvePlanned orders the planned runs whose tickets are valid after a response and whose workers still have the capacity, and releases
// the others. A gang waits for
// all its renewals and is released as a whole if one member cannot start. While the cell is paused, all are released.
func (c *Cell) resolvePlanned(g *group, req *pendingRequest, now time.Time) {
	allReady := true
	var planned []*run
	for index := range g.tasks {
		for _, r := range g.tasks[index].runs {
			if r.state != runPlanned || r.isolated || (!g.step.Gang && !slices.Contains(req.Workers, r.worker.ID)) {
				continue
			}
			planned = append(planned, r)
			if !g.advice.hasValidTicket(r.worker, now) || !r.worker.mayOrder(now) {
				allReady = false
			}
		}
	}
	if g.step.Gang && g.advice.pendingRenewals > 0 {
		return
	}
	for _, r := range planned {
		if c.paused || (g.step.Gang && !allReady) || !g.advice.hasValidTicket(r.worker, now) || !r.worker.mayOrder(now) {
			c.releaseRun(r, now)
			continue
		}
		c.orderStart(r, now)
	}
}
