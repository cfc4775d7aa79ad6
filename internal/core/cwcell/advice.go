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
	tickets map[cwmodel.HostID]*ticket
	good    []*ticket                    // the same, in the order of their workers
	slots   bitset.BitSet                // of the workers of these tickets
	bad     map[cwmodel.HostID]time.Time // start of the life that was meant
	asked   int                          // state of the fleet at which nobody was left to ask about
	askedAt time.Time                    // when new workers were last asked about
	asking  int                          // questions under way about new workers
	renewal int                          // questions under way for new tickets
}

// ticket allows the tasks of a group on one worker for some time.
type ticket struct {
	worker *worker
	text   string
	born   time.Time
	until  time.Time
}

func newEligibility() *eligibility {
	return &eligibility{tickets: map[cwmodel.HostID]*ticket{}, bad: map[cwmodel.HostID]time.Time{}}
}

// current reports whether the ticket is for the worker's present life.
func (t *ticket) current() bool { return t.born.Equal(t.worker.Incarnation) && !t.worker.forgotten }

func (e *eligibility) expire(id cwmodel.HostID) {
	if t, ok := e.tickets[id]; ok {
		t.until = time.Time{}
	}
}

// knows reports whether advice has judged the present life of a worker.
func (e *eligibility) knows(w *worker) bool {
	if e.allows(w) {
		return true
	}
	born, ok := e.bad[w.ID]
	return ok && born.Equal(w.Incarnation)
}

// allows reports whether the worker may run the group.
func (e *eligibility) allows(w *worker) bool {
	t, ok := e.tickets[w.ID]
	return ok && t.worker == w && t.current()
}

// valid reports whether a start that is ordered now arrives with a valid ticket.
func (e *eligibility) valid(w *worker, now time.Time) bool {
	t, ok := e.tickets[w.ID]
	return ok && t.worker == w && t.current() && t.until.Sub(now) > ticketMargin
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

// question is a Question that has not been answered.
type question struct {
	AdviceRequest
	group *group
	born  []time.Time
}

// EligibleWorker is one row of an answer.
type EligibleWorker struct {
	ID     cwmodel.HostID
	Ticket string
}

// maxQuestion is how many workers one question may name; see the users' protocol.
const maxQuestion = 100

// renew queues a question for new tickets of workers that are known to be good.
func (c *Cell) renew(g *group, policy cwwork.QueuePolicy, workers []*worker) {
	for len(workers) > 0 {
		n := min(len(workers), maxQuestion)
		c.queueQuestion(g, policy, workers[:n], true)
		workers = workers[n:]
	}
}

func (c *Cell) queueQuestion(g *group, policy cwwork.QueuePolicy, workers []*worker, renewal bool) {
	c.questionID++
	q := &question{group: g, AdviceRequest: AdviceRequest{
		ID: c.questionID, Step: g.key, Priority: policy.Priority, Cost: policy.Advice.Cost(len(workers)), Renewal: renewal,
	}}
	for _, w := range workers {
		q.Workers = append(q.Workers, w.ID)
		q.born = append(q.born, w.Incarnation)
	}
	if renewal {
		g.advice.renewal++
	} else {
		g.advice.asking++
	}
	c.asks[q.ID] = q
	c.unsent = append(c.unsent, q)
}

// dispatchQuestions hands out the questions that have come up.
func (c *Cell) dispatchQuestions() {
	for _, q := range c.unsent {
		c.effects.AdviceRequests = append(c.effects.AdviceRequests, q.AdviceRequest)
	}
	c.unsent = c.unsent[:0]
}

// AdviceWanted reports whether the answer of a question still matters.
func (c *Cell) AdviceWanted(id uint64) bool {
	q, ok := c.asks[id]
	return ok && q.group.job.final == "" && q.group.left > 0
}

// PastObjective reports whether the job that a question is for has passed its objective.
func (c *Cell) PastObjective(id uint64, wall time.Time) bool {
	q, ok := c.asks[id]
	return ok && c.rank(q.group, wall).lateness > 0
}

// HandleAdvice takes the answer of a question; without one the question may be asked again.
func (c *Cell) HandleAdvice(id uint64, good []EligibleWorker, ok bool, validUntil, now time.Time) {
	q, asked := c.asks[id]
	if !asked {
		return
	}
	delete(c.asks, id)
	g, e := q.group, q.group.advice
	if q.Renewal {
		e.renewal--
	} else {
		e.asking--
	}
	c.refresh(g)
	if ok {
		if !q.Renewal {
			c.queue(g.job.Queue).good.observe(len(good), len(q.Workers))
		}
		c.judge(q, good, validUntil)
	}
	c.resolvePlanned(g, q, now)
}

// judge notes which of the workers asked about are good.
func (c *Cell) judge(q *question, good []EligibleWorker, validUntil time.Time) {
	e := q.group.advice
	for n, id := range q.Workers {
		e.bad[id] = q.born[n]
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
			at, _ := slices.BinarySearchFunc(e.good, row.ID, func(t *ticket, id cwmodel.HostID) int { return cmp.Compare(t.worker.ID, id) })
			e.good = slices.Insert(e.good, at, t)
		}
		e.slots.Set(w.slot)
		delete(e.bad, row.ID)
		*t = ticket{worker: w, text: row.Ticket, born: q.born[n], until: validUntil}
	}
}

// resolvePlanned orders the planned runs whose tickets have been renewed and gives up the others.
func (c *Cell) resolvePlanned(g *group, q *question, now time.Time) {
	complete := true
	var planned []*run
	for index := range g.tasks {
		for _, r := range g.tasks[index].runs {
			if r.state != runPlanned || (!g.step.Gang && !slices.Contains(q.Workers, r.worker.ID)) {
				continue
			}
			planned = append(planned, r)
			if !g.advice.valid(r.worker, now) || !r.worker.usable(now) {
				complete = false
			}
		}
	}
	if g.step.Gang && g.advice.renewal > 0 {
		return
	}
	for _, r := range planned {
		if c.paused || (g.step.Gang && !complete) || !g.advice.valid(r.worker, now) || !r.worker.usable(now) {
			c.release(r, now)
			continue
		}
		c.order(r, now)
	}
}
