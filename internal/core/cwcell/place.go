package cwcell

import (
	"cmp"
	"slices"
	"time"

	"currantward/internal/core/cwwork"
)

// rank is the position of a group in the placement order: by lateness, then by the priority of its queue, then by slack.
// Groups that can still earn full credit come first.
type rank struct {
	lateness int           // expected end; 0: within the objective; 1: after it; 2: too late for credit; or latenessLongRunning
	priority int           // of the queue; lower is more urgent
	slack    time.Duration // time left until the objective, less the expected remaining run time
}

// creditFactor is the multiple of its objective after which a job earns no credit; see the users' rules on credit.
const creditFactor = 3

// latenessLongRunning ranks tasks that run until they are cancelled before all others: every moment without them counts
// as a miss.
const latenessLongRunning = -1

// rank returns the rank of a group at a time of the wall clock. Its objective counts from the due time of its occurrence, or
// from the acceptance of a job that is not repeated.
func (c *Cell) rank(g *group, wall time.Time) rank {
	j := g.job
	since := j.AcceptedAt
	if j.Repeats > 0 {
		since = j.Due(g.key.Occurrence)
	}
	remaining := c.remainingTime(g)
	slack := j.objective - wall.Sub(since) - remaining
	r := rank{priority: c.policy(j).Priority, slack: slack}
	switch {
	case g.step.LongRunning:
		r.lateness, r.slack = latenessLongRunning, 0
	case slack < -(creditFactor-1)*j.objective:
		r.lateness = 2
	case slack < 0:
		r.lateness = 1
	}
	return r
}

// remainingTime returns the expected time from the start of a group to the end of its occurrence. Of the later steps it
// counts only those that depend directly on the group.
func (c *Cell) remainingTime(g *group) time.Duration {
	own := c.expectedRunTime(g.job, g.step)
	longest := own
	for n := g.key.Step + 1; n < len(g.job.Steps); n++ {
		if step := &g.job.Steps[n]; slices.Contains(step.DependsOn, g.key.Step) {
			longest = max(longest, own+c.expectedRunTime(g.job, step))
		}
	}
	return longest
}

// compare returns a negative number if r precedes o, and 0 if they are equal.
func (r rank) compare(o rank) int {
	return cmp.Or(cmp.Compare(r.lateness, o.lateness), cmp.Compare(r.priority, o.priority), cmp.Compare(r.slack, o.slack))
}

// pass selects the groups that a decision considers.
type pass string

const (
	fullPass        pass = "full"  // all waiting groups; all reservations are made again
	incrementalPass pass = "delta" // groups that changed, or that may fit capacity freed since the last pass
)

// place starts the groups that fit, in order of rank. An incremental pass considers only groups that changed or that may
// fit on workers with freed capacity. Groups of jobs that may have runs unknown to this owner keep waiting.
func (c *Cell) place(now, wall time.Time, p pass) {
	type ranked struct {
		group *group
		rank  rank
	}
	c.freedCapacity.beginPass()
	order := make([]ranked, 0, len(c.waitingGroups))
	for _, g := range c.waitingGroups {
		if p == fullPass || g.changed || c.freedCapacity.mayFit(g) {
			order = append(order, ranked{g, c.rank(g, wall)})
		}
	}
	slices.SortStableFunc(order, func(a, b ranked) int { return a.rank.compare(b.rank) })
	for _, r := range order {
		if r.group.queued && r.group.mayStart(now, wall) && c.runsReconciled(r.group.job, now) {
			c.placeGroup(r.group, r.rank, p, now)
		}
	}
}

// mayStart reports whether the group is due by the time of day and not delayed after a rejected order. An occurrence that an earlier
// owner has started may be open before it is due.
func (g *group) mayStart(now, wall time.Time) bool {
	return !now.Before(g.delayedUntil) && !wall.Before(g.job.Due(g.key.Occurrence))
}

// placeGroup starts as many waiting tasks of a group as fit, or a gang as a whole. A group that needs advice and has no
// eligible worker requests advice instead.
func (c *Cell) placeGroup(g *group, r rank, p pass, now time.Time) {
	policy := c.policy(g.job)
	wasChanged := g.changed
	g.changed = false
	if policy.Advice.IsRequired() && g.advice == nil {
		g.advice = newEligibility()
	}
	if g.advice != nil && len(g.advice.tickets) == 0 {
		c.requestAdvice(g, policy, now)
		return
	}
	switch {
	case g.step.Gang && c.waitingSuspects(g) > 0:
		c.placeSuspects(g, policy, now)
	case g.step.Gang:
		c.placeGang(g, policy, r, p, now)
	default:
		c.placeTasks(g, policy, r, p == incrementalPass && !wasChanged, now)
	}
	if g.waiting == 0 {
		c.dequeueGroup(g)
	}
}

// isCompatible reports whether a worker may run the group beside its present runs, apart from its free capacity.
func (c *Cell) isCompatible(w *worker, g *group, policy cwwork.QueuePolicy) bool {
	return c.isCompatibleEmpty(w, g, policy) && !w.interferes(g.step)
}

// isCompatibleEmpty reports whether a worker could run the group if it were empty, by its service, total capacity and labels.
func (c *Cell) isCompatibleEmpty(w *worker, g *group, policy cwwork.QueuePolicy) bool {
	if w.Service != policy.Service || !g.step.Demand.FitsIn(w.Capacity) {
		return false
	}
	return g.step.RequiredLabel == "" || slices.Contains(w.Labels, g.step.RequiredLabel)
}

// candidates returns the usable, compatible workers that are open and that accept allows, which also has to test the free capacity if that
// matters. If the group needs advice, only eligible workers are considered. The result is valid until the next call.
func (c *Cell) candidates(g *group, policy cwwork.QueuePolicy, now time.Time, accept func(*worker) bool) []*worker {
	list := c.candidateBuffer[:0]
	if g.advice != nil {
		for _, t := range g.advice.eligible {
			if accept(t.worker) && t.worker.isOpen() && t.isCurrent() && t.worker.usable(now) && c.isCompatible(t.worker, g, policy) {
				list = append(list, t.worker)
			}
		}
	} else {
		for _, w := range c.sortedWorkers() {
			if accept(w) && w.isOpen() && w.usable(now) && c.isCompatible(w, g, policy) {
				list = append(list, w)
			}
		}
	}
	c.candidateBuffer = list
	return list
}

// sortedWorkers returns the workers ordered by ID.
func (c *Cell) sortedWorkers() []*worker {
	if c.sortedWorkersCache == nil {
		for _, w := range c.workers {
			c.sortedWorkersCache = append(c.sortedWorkersCache, w)
		}
		slices.SortFunc(c.sortedWorkersCache, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	}
	return c.sortedWorkersCache
}

// placeTasks starts the waiting tasks of a group one by one, each on the worker that bestFit chooses. A task whose worker has
// no valid ticket stays planned until the ticket is renewed. If tasks are left, a long-running group preempts others, and
// advice about more workers is requested. If freedOnly is set, it considers only workers whose free capacity grew since the
// last pass, since the group did not fit on the others in that pass.
func (c *Cell) placeTasks(g *group, policy cwwork.QueuePolicy, r rank, freedOnly bool, now time.Time) {
	endsAt := now.Add(c.expectedRunTime(g.job, g.step))
	candidates := c.candidates(g, policy, now, func(w *worker) bool {
		return (!freedOnly || c.freedCapacity.thisPass.Test(w.bit)) && g.step.Demand.FitsIn(w.free()) && !c.reserved.blocks(w, g, r, endsAt) && !g.atAntiAffinityLimit(w)
	})
	var renew []*worker
	for index := 0; index < len(g.tasks) && len(candidates) > 0; index++ {
		t := &g.tasks[index]
		if t.done || len(t.runs) > 0 || now.Before(t.retryAt) || c.isSuspect(g, index) || c.awaitsProof(t) {
			continue
		}
		best := c.bestFit(g, t, candidates, now)
		w := candidates[best]
		planned := c.planRun(g, index, w, t.highestRun+1, now)
		if g.advice == nil || g.advice.hasValidTicket(w, now) {
			c.orderStart(planned, now)
		} else if !slices.Contains(renew, w) {
			renew = append(renew, w)
		}
		if !w.isOpen() || !g.step.Demand.FitsIn(w.free()) || g.atAntiAffinityLimit(w) || w.interferes(g.step) {
			candidates = slices.Delete(candidates, best, best+1)
		}
	}
	c.renewTicketsOfTasks(g, policy, renew, now)
	c.placeSuspects(g, policy, now)
	if g.waiting > 0 && g.step.LongRunning {
		c.preempt(g, policy, now)
	}
	if g.waiting > 0 && g.advice != nil && !freedOnly {
		c.requestAdvice(g, policy, now)
	}
}

// bestFit returns the index of the candidate with the lowest score: the dominant share of its capacity that would be left
// free after the task, plus penalties. The task fits on all candidates.
func (c *Cell) bestFit(g *group, t *task, candidates []*worker, now time.Time) (best int) {
	bestScore := 0.0
	for n, w := range candidates {
		score := w.free().Sub(g.step.Demand).DominantShare(w.Capacity)
		if slices.Contains(t.avoidWorkers, w.ID) || slices.Contains(t.rejectedBy, w.ID) {
			score += avoidPenalty
		}
		if g.step.RackAffinity != "" && w.Rack != g.step.RackAffinity {
			score += remotePenalty
		}
		if g.advice != nil && !g.advice.hasValidTicket(w, now) {
			score += renewPenalty
		}
		if n == 0 || score < bestScore {
			best, bestScore = n, score
		}
	}
	return best
}

// Penalties dominate the share of free capacity in a worker's score, which is between 0 and 1.
const (
	avoidPenalty  = 4 // the task has failed on the worker, or the worker has rejected its order
	remotePenalty = 2 // the task's data is on another rack
	renewPenalty  = 1 // the task would wait for a new ticket
)

// atAntiAffinityLimit reports whether a worker runs as many tasks of the group as its anti-affinity allows.
func (g *group) atAntiAffinityLimit(w *worker) bool {
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

// planRun allocates capacity on a worker for a run, whose start order is not issued yet. The run gets the given number, or a
// higher one if the job was adopted.
func (c *Cell) planRun(g *group, index int, w *worker, number int, now time.Time) *run {
	r := &run{group: g, taskIndex: index, number: max(number, g.job.runNumberBase+1), worker: w, state: runPlanned, orderedAt: now, orderedTo: w.Incarnation}
	g.tasks[index].highestRun = max(g.tasks[index].highestRun, r.number)
	w.allocate(r)
	if w.breaker.isHalfOpen(now) {
		w.breaker.probe = r
	}
	return r
}

// orderStart adds the start order of a planned run to the effects. Its job has started only once the worker has accepted the order.
func (c *Cell) orderStart(r *run, now time.Time) {
	g := r.group
	r.state, r.orderedAt = runOrdered, now
	o := StartOrder{
		Worker:     r.worker.ID,
		Task:       r.key(),
		Run:        r.number,
		Payload:    g.job.Payload,
		Checkpoint: g.checkpoint(r.taskIndex),
	}
	if g.advice != nil {
		o.Ticket = g.advice.tickets[r.worker.ID].text
	}
	r.resumed = o.Checkpoint != ""
	c.effects.Starts = append(c.effects.Starts, o)
	c.log(LogEntry{Event: "run-ordered", Job: g.job.ID, Task: o.Task, Worker: o.Worker, Run: o.Run, Detail: r.worker.free().String()})
}

// checkpoint returns the checkpoint that a run of the task resumes from, or "" if there is none. The members of a gang share
// one.
func (g *group) checkpoint(index int) string {
	if !g.step.Checkpointable {
		return ""
	}
	if !g.step.Gang {
		return g.tasks[index].checkpoint
	}
	for n := range g.tasks {
		if g.tasks[n].checkpoint != "" {
			return g.tasks[n].checkpoint
		}
	}
	return ""
}
