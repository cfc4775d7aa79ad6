package cwcell

import (
	"cmp"
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// eligibility is what advice has said about the workers of one group. Which workers are good does not change while they
// live; a ticket expires.
type eligibility struct {
	tickets          map[cwmodel.HostID]*ticket
	eligible         []*ticket                    // the same, in the order of their workers
	slots            bitset.BitSet                // of the workers of these tickets
	ineligible       map[cwmodel.HostID]time.Time // start of the life that was meant
	exhaustedVersion int                          // state of the fleet at which nobody was left to ask about
	lastRequestAt    time.Time                    // when new workers were last asked about
	pending          int                          // questions under way about new workers
	pendingRenewals  int                          // questions under way for new tickets
}

// ticket allows the tasks of a group on one worker for some time.
type ticket struct {
	worker      *worker
	text        string
	incarnation time.Time
	expires     time.Time
}

func newEligibility() *eligibility {
	return &eligibility{tickets: map[cwmodel.HostID]*ticket{}, ineligible: map[cwmodel.HostID]time.Time{}}
}

// isCurrent reports whether the ticket is for the worker's present life.
func (t *ticket) isCurrent() bool {
	return t.incarnation.Equal(t.worker.Incarnation) && !t.worker.evicted
}

func (e *eligibility) expireTicket(id cwmodel.HostID) {
	if t, ok := e.tickets[id]; ok {
		t.expires = time.Time{}
	}
}

// isEvaluated reports whether advice has judged the present life of a worker.
func (e *eligibility) isEvaluated(w *worker) bool {
	if e.isEligible(w) {
		return true
	}
	born, ok := e.ineligible[w.ID]
	return ok && born.Equal(w.Incarnation)
}

// isEligible reports whether the worker may run the group.
func (e *eligibility) isEligible(w *worker) bool {
	t, ok := e.tickets[w.ID]
	return ok && t.worker == w && t.isCurrent()
}

// hasValidTicket reports whether a start that is ordered now arrives with a valid ticket.
func (e *eligibility) hasValidTicket(w *worker, now time.Time) bool {
	t, ok := e.tickets[w.ID]
	return ok && t.worker == w && t.isCurrent() && t.expires.Sub(now) > ticketMargin
}

// ticketMargin covers the way of a start order to its worker.
const ticketMargin = 60 * time.Millisecond

// AdviceRequest asks which workers may run a step.
type AdviceRequest struct {
	ID       uint64
	Step     cwwork.StepKey
	Workers  []cwmodel.HostID
	Cost     time.Duration
	Priority int
	Renewal  bool // asks for new tickets of good workers, whose room is kept meanwhile
}

// pendingRequest is a Question that has not been answered.
type pendingRequest struct {
	AdviceRequest
	group        *group
	incarnations []time.Time
}

// EligibleWorker is one row of an answer.
type EligibleWorker struct {
	ID     cwmodel.HostID
	Ticket string
}

// maxRequestWorkers is how many workers one question may name; see the users' protocol.
const maxRequestWorkers = 100

// renewTickets queues a question for new tickets of workers that are known to be good.
func (c *Cell) renewTickets(g *group, policy cwwork.Policy, workers []*worker) {
	for len(workers) > 0 {
		n := min(len(workers), maxRequestWorkers)
		c.enqueueRequest(g, policy, workers[:n], true)
		workers = workers[n:]
	}
}

func (c *Cell) enqueueRequest(g *group, policy cwwork.Policy, workers []*worker, renewal bool) {
	c.lastRequestID++
	q := &pendingRequest{group: g, AdviceRequest: AdviceRequest{
		ID: c.lastRequestID, Step: g.key, Priority: policy.Priority, Cost: policy.Advice.Cost(len(workers)), Renewal: renewal,
	}}
	for _, w := range workers {
		q.Workers = append(q.Workers, w.ID)
		q.incarnations = append(q.incarnations, w.Incarnation)
	}
	if renewal {
		g.advice.pendingRenewals++
	} else {
		g.advice.pending++
	}
	c.pendingRequests[q.ID] = q
	c.unsentRequests = append(c.unsentRequests, q)
}

// emitAdviceRequests hands out the questions that have come up.
func (c *Cell) emitAdviceRequests() {
	for _, q := range c.unsentRequests {
		c.effects.AdviceRequests = append(c.effects.AdviceRequests, q.AdviceRequest)
	}
	c.unsentRequests = c.unsentRequests[:0]
}

// AdviceWanted reports whether the answer of a question still matters.
func (c *Cell) AdviceWanted(id uint64) bool {
	q, ok := c.pendingRequests[id]
	return ok && q.group.job.outcome == "" && q.group.unfinished > 0
}

// PastObjective reports whether the job that a question is for has passed its objective.
func (c *Cell) PastObjective(id uint64, wall time.Time) bool {
	q, ok := c.pendingRequests[id]
	return ok && c.rank(q.group, wall).lateness > 0
}

// HandleAdvice takes the answer of a question; without one the question may be asked again.
func (c *Cell) HandleAdvice(id uint64, good []EligibleWorker, ok bool, validUntil, now time.Time) {
	q, asked := c.pendingRequests[id]
	if !asked {
		return
	}
	delete(c.pendingRequests, id)
	g, e := q.group, q.group.advice
	if q.Renewal {
		e.pendingRenewals--
	} else {
		e.pending--
	}
	c.markChanged(g)
	if ok {
		if !q.Renewal {
			c.queue(g.job.Queue).eligibleShare.observe(len(good), len(q.Workers))
		}
		c.recordAdvice(q, good, validUntil)
	}
	c.resolvePlanned(g, q, now)
}

// recordAdvice notes which of the workers asked about are good.
func (c *Cell) recordAdvice(q *pendingRequest, good []EligibleWorker, validUntil time.Time) {
	e := q.group.advice
	for n, id := range q.Workers {
		e.ineligible[id] = q.incarnations[n]
	}
	for _, row := range good {
		n := slices.Index(q.Workers, row.ID)
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
		e.slots.Set(w.slot)
		delete(e.ineligible, row.ID)
		*t = ticket{worker: w, text: row.Ticket, incarnation: q.incarnations[n], expires: validUntil}
	}
}

// resolvePlanned orders the planned runs whose tickets have been renewed and gives up the others.
func (c *Cell) resolvePlanned(g *group, q *pendingRequest, now time.Time) {
	complete := true
	var planned []*run
	for index := range g.tasks {
		for _, r := range g.tasks[index].runs {
			if r.state != runPlanned || (!g.step.Gang && !slices.Contains(q.Workers, r.worker.ID)) {
				continue
			}
			planned = append(planned, r)
			if !g.advice.hasValidTicket(r.worker, now) || !r.worker.usable(now) {
				complete = false
			}
		}
	}
	if g.step.Gang && g.advice.pendingRenewals > 0 {
		return
	}
	for _, r := range planned {
		if c.paused || (g.step.Gang && !complete) || !g.advice.hasValidTicket(r.worker, now) || !r.worker.usable(now) {
			c.releaseRun(r, now)
			continue
		}
		c.orderStart(r, now)
	}
}
