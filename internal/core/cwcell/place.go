package cwcell

import (
	"cmp"
	"slices"
	"time"

	"currantward/internal/core/cwwork"
)

// rank orders groups: what can still earn its whole worth first, then the queue's priority, then the time that is left.
type rank struct {
	lateness int // alwaysDue, or 0: in time; 1: late; 2: too late to earn anything
	priority int
	slack    time.Duration
}

// lateFactor is how many objectives after its acceptance a job earns nothing any more; see the users' rules on credit.
const lateFactor = 3

// alwaysDue is the lateness of tasks that run until they are cancelled: they are missed at any moment at which they do not.
const alwaysDue = -1

func (c *Cell) rank(g *group, wall time.Time) rank {
	j := g.job
	since := j.AcceptedAt
	if j.Repeats > 0 {
		since = j.Due(g.key.Occurrence)
	}
	remaining := c.remaining(g)
	slack := j.objective - wall.Sub(since) - remaining
	r := rank{priority: c.policy(j).Priority, slack: slack}
	switch {
	case g.step.LongRunning:
		r.lateness, r.slack = alwaysDue, 0
	case slack < -(lateFactor-1)*j.objective:
		r.lateness = 2
	case slack < 0:
		r.lateness = 1
	}
	return r
}

// remaining returns the expected chain from this group to the end of its occurrence.
func (c *Cell) remaining(g *group) time.Duration {
	own := c.expected(g.job, g.step)
	longest := own
	for n := g.key.Step + 1; n < len(g.job.Steps); n++ {
		if step := &g.job.Steps[n]; slices.Contains(step.DependsOn, g.key.Step) {
			longest = max(longest, own+c.expected(g.job, step))
		}
	}
	return longest
}

func (r rank) compare(o rank) int {
	return cmp.Or(cmp.Compare(r.lateness, o.lateness), cmp.Compare(r.priority, o.priority), cmp.Compare(r.slack, o.slack))
}

// pass says which groups a decision looks at.
type pass string

const (
	fullPass  pass = "full"  // all that wait; room is kept anew for gangs
	deltaPass pass = "delta" // those for which something has changed
)

// place starts what fits, in the order of the ranks.
func (c *Cell) place(now, wall time.Time, p pass) {
	type ranked struct {
		group *group
		rank  rank
	}
	c.room.turn()
	order := make([]ranked, 0, len(c.open))
	for _, g := range c.open {
		if p == fullPass || g.fresh || c.room.concerns(g) {
			order = append(order, ranked{g, c.rank(g, wall)})
		}
	}
	slices.SortStableFunc(order, func(a, b ranked) int { return a.rank.compare(b.rank) })
	for _, r := range order {
		if r.group.isOpen && c.settled(r.group.job, now) {
			c.placeGroup(r.group, r.rank, p, now)
		}
	}
}

// placeGroup starts the waiting tasks of one group as far as there is room.
func (c *Cell) placeGroup(g *group, r rank, p pass, now time.Time) {
	policy := c.policy(g.job)
	fresh := g.fresh
	g.fresh = false
	if policy.Advice.IsRequired() && g.advice == nil {
		g.advice = newEligibility()
	}
	if g.advice != nil && len(g.advice.tickets) == 0 {
		c.ask(g, policy, now)
		return
	}
	if g.step.Gang {
		c.placeGang(g, policy, r, p, now)
	} else {
		c.placeTasks(g, policy, r, p == deltaPass && !fresh, now)
	}
	if g.waiting == 0 {
		c.closeGroup(g)
	}
}

// suits reports whether a worker may run the group beside what it runs now.
func (c *Cell) suits(w *worker, g *group, policy cwwork.QueuePolicy) bool {
	return c.isOfKind(w, g, policy) && !w.disturbs(g.step)
}

// isOfKind reports whether a worker could run the group if it were empty.
func (c *Cell) isOfKind(w *worker, g *group, policy cwwork.QueuePolicy) bool {
	if w.Service != policy.Service || !g.step.Demand.FitsIn(w.Capacity) {
		return false
	}
	return g.step.RequiredLabel == "" || slices.Contains(w.Labels, g.step.RequiredLabel)
}

// candidates returns the workers on which tasks of the group may start now and that are eligible.
func (c *Cell) candidates(g *group, policy cwwork.QueuePolicy, now time.Time, eligible func(*worker) bool) []*worker {
	list := c.scratch[:0]
	if g.advice != nil {
		for _, t := range g.advice.good {
			if eligible(t.worker) && t.current() && t.worker.usable(now) && c.suits(t.worker, g, policy) {
				list = append(list, t.worker)
			}
		}
	} else {
		for _, w := range c.sortedWorkers() {
			if eligible(w) && w.usable(now) && c.suits(w, g, policy) {
				list = append(list, w)
			}
		}
	}
	c.scratch = list
	return list
}

// sortedWorkers returns the workers in a fixed order.
func (c *Cell) sortedWorkers() []*worker {
	if c.inOrder == nil {
		for _, w := range c.workers {
			c.inOrder = append(c.inOrder, w)
		}
		slices.SortFunc(c.inOrder, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	}
	return c.inOrder
}

// placeTasks starts the waiting tasks of a group one by one, each where it leaves the least room. Workers without new room
// had none for the group when it was last looked at; gained says that those need not be looked at again.
func (c *Cell) placeTasks(g *group, policy cwwork.QueuePolicy, r rank, gained bool, now time.Time) {
	over := now.Add(c.expected(g.job, g.step))
	candidates := c.candidates(g, policy, now, func(w *worker) bool {
		return (!gained || c.room.seen.Test(w.slot)) && g.step.Demand.FitsIn(w.free()) && !c.held.refuses(w, g, r, over) && !g.crowded(w)
	})
	var renew []*worker
	for index := 0; index < len(g.tasks) && len(candidates) > 0; index++ {
		t := &g.tasks[index]
		if t.done || len(t.runs) > 0 {
			continue
		}
		at := c.bestFit(g, t, candidates, now)
		w := candidates[at]
		started := c.newRun(g, index, w, t.highest+1, now)
		if g.advice == nil || g.advice.valid(w, now) {
			c.order(started, now)
		} else if !slices.Contains(renew, w) {
			renew = append(renew, w)
		}
		if !g.step.Demand.FitsIn(w.free()) || g.crowded(w) || w.disturbs(g.step) {
			candidates = slices.Delete(candidates, at, at+1)
		}
	}
	c.renew(g, policy, renew)
	if g.waiting > 0 && g.step.LongRunning {
		c.preempt(g, policy, now)
	}
	if g.waiting > 0 && g.advice != nil && !gained {
		c.ask(g, policy, now)
	}
}

// bestFit returns the index of the worker with the least room left after the task. All candidates have room for it.
func (c *Cell) bestFit(g *group, t *task, candidates []*worker, now time.Time) (best int) {
	bestScore := 0.0
	for n, w := range candidates {
		score := w.free().Sub(g.step.Demand).DominantShare(w.Capacity)
		if slices.Contains(t.avoid, w.ID) {
			score += avoidPenalty
		}
		if g.step.RackAffinity != "" && w.Rack != g.step.RackAffinity {
			score += farPenalty
		}
		if g.advice != nil && !g.advice.valid(w, now) {
			score += renewPenalty
		}
		if n == 0 || score < bestScore {
			best, bestScore = n, score
		}
	}
	return best
}

// Penalties order workers where the share of room that is left, from 0 to 1, must not decide.
const (
	avoidPenalty = 4 // the task has failed there
	farPenalty   = 2 // the task's data is on another rack
	renewPenalty = 1 // the task would wait for a new ticket
)

// crowded reports whether a worker runs as many tasks of the group as it may.
func (g *group) crowded(w *worker) bool {
	if g.step.MaxPerWorker == 0 {
		return false
	}
	n := 0
	for index := range g.tasks {
		for _, r := range g.tasks[index].runs {
			if r.worker == w {
				n++
			}
		}
	}
	return n >= g.step.MaxPerWorker
}

// newRun holds room on a worker for a run.
func (c *Cell) newRun(g *group, index int, w *worker, number int, now time.Time) *run {
	r := &run{group: g, index: index, number: max(number, g.job.floor+1), worker: w, state: runPlanned, ordered: now}
	g.tasks[index].highest = max(g.tasks[index].highest, r.number)
	w.hold(r)
	return r
}

// order sends the start order of a planned run.
func (c *Cell) order(r *run, now time.Time) {
	g := r.group
	r.state, r.ordered = runOrdered, now
	o := StartOrder{
		Worker:     r.worker.ID,
		Task:       r.key(),
		Run:        r.number,
		Payload:    g.job.Payload,
		Checkpoint: g.checkpoint(r.index),
	}
	if g.advice != nil {
		o.Ticket = g.advice.tickets[r.worker.ID].text
	}
	c.begin(g.job)
	c.effects.Starts = append(c.effects.Starts, o)
	c.note(LogEntry{Event: "run-ordered", Job: g.job.ID, Task: o.Task, Worker: o.Worker, Run: o.Run, Detail: r.worker.free().String()})
}

// checkpoint returns what a run of the task resumes from; the members of a gang share one.
func (g *group) checkpoint(index int) string {
	if !g.step.Checkpointable {
		return ""
	}
	if !g.step.Gang {
		return g.tasks[index].saved
	}
	for n := range g.tasks {
		if g.tasks[n].saved != "" {
			return g.tasks[n].saved
		}
	}
	return ""
}
