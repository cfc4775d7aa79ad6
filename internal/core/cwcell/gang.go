package cwcell

import (
	"cmp"
	"slices"
	"time"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// reservations are the workers reserved for gangs that do not fit yet, so that tasks of a lower rank do not delay them.
type reservations struct {
	workers      map[*worker]reservation
	expectedEnds map[*worker][]expectedEnd // of the runs of each worker, computed when the full pass first needed them
}

// expectedEnd is when a run is expected to free its capacity.
type expectedEnd struct {
	at    time.Time
	freed cwmodel.Resources
}

// reservation is one worker whose free capacity is reserved for a gang.
type reservation struct {
	group    *group
	rank     rank
	startsAt time.Time // expected start of the gang
}

// newReservations returns an empty set of reservations.
func newReservations() *reservations {
	return &reservations{workers: map[*worker]reservation{}, expectedEnds: map[*worker][]expectedEnd{}}
}

// blocks reports whether a reservation keeps a group off a worker: the worker is reserved for another gang that ranks no
// lower, and tasks of the group would end at endsAt, after the gang's expected start.
func (rs *reservations) blocks(w *worker, g *group, r rank, endsAt time.Time) bool {
	reserved, ok := rs.workers[w]
	return ok && reserved.group != g && endsAt.After(reserved.startsAt) && reserved.rank.compare(r) <= 0
}

// reservedWorkerDivisor limits the workers reserved for gangs to 1/reservedWorkerDivisor of all workers, so that reservations
// do not leave the cell idle.
const reservedWorkerDivisor = 3

// placeGang starts all tasks of a gang at once, or none. Workers with valid tickets are tried first; if tickets must be
// renewed, the runs stay planned until the answer.
func (c *Cell) placeGang(g *group, policy cwwork.QueuePolicy, r rank, p pass, now time.Time) {
	if g.waiting != len(g.tasks) {
		c.stopIncompleteRun(g, now)
		return
	}
	g.incompleteSince = time.Time{}
	if slices.ContainsFunc(g.tasks, func(t task) bool { return c.awaitsProof(&t) }) {
		return
	}
	candidates := c.candidates(g, policy, now, func(*worker) bool { return true })
	assigned := c.assignTicketed(g, r, candidates, now)
	if len(assigned) < len(g.tasks) {
		assigned = c.assign(g, r, candidates, now)
	}
	if len(assigned) < len(g.tasks) {
		c.handleShortage(g, policy, r, candidates, p, now)
		return
	}
	c.releaseReservation(g)
	number := 0
	for index := range g.tasks {
		number = max(number, g.tasks[index].highestRun+1)
	}
	var runs []*run
	for index := range g.tasks {
		runs = append(runs, c.planRun(g, index, assigned[index], number, now))
	}
	if c.isSuspectGang(g) {
		c.holdWorkers(runs)
	}
	if renew := g.ticketsToRenew(assigned, policy, now); len(renew) > 0 {
		c.renewTickets(g, policy, renew)
		return
	}
	for _, r := range runs {
		c.orderStart(r, now)
	}
}

// ticketsToRenew returns the assigned workers of a gang whose tickets must be renewed, nil if all are valid now. Once one
// ticket has expired, it also returns the workers whose tickets would expire before the answer arrives, since the members
// start together.
func (g *group) ticketsToRenew(assigned []*worker, policy cwwork.QueuePolicy, now time.Time) (renew []*worker) {
	if g.advice == nil || !slices.ContainsFunc(assigned, func(w *worker) bool { return !g.advice.hasValidTicket(w, now) }) {
		return nil
	}
	answerAt := now.Add(policy.Advice.Cost(len(assigned)) + renewalOverhead)
	for _, w := range assigned {
		if !g.advice.hasValidTicket(w, answerAt) && !slices.Contains(renew, w) {
			renew = append(renew, w)
		}
	}
	return renew
}

// renewalOverhead is the time of a renewal beyond its own cost: waiting for a free entry host and the round trip.
const renewalOverhead = 200 * time.Millisecond

// stopIncompleteRun stops the remaining members of a gang's run once it has lacked members for incompleteGrace. Usually
// they end without a stop order: the workers end a gang that has lost a member, but not one that was never complete.
func (c *Cell) stopIncompleteRun(g *group, now time.Time) {
	switch {
	case g.incompleteSince.IsZero():
		g.incompleteSince = now
	case now.Sub(g.incompleteSince) > incompleteGrace:
		for n := range g.tasks {
			for _, r := range slices.Clone(g.tasks[n].runs) {
				c.stopRun(r)
			}
		}
	}
}

// hasMemberOfLaterRun reports whether the group is a gang with a member that belongs to a later run than the given one: members of different runs
// would wait for each other in vain.
func (g *group) hasMemberOfLaterRun(number int) bool {
	return g.step.Gang && slices.ContainsFunc(g.tasks, func(t task) bool {
		return slices.ContainsFunc(t.runs, func(r *run) bool { return r.number > number })
	})
}

// incompleteGrace gives the ends of a gang's members time to arrive.
const incompleteGrace = time.Second

// assignTicketed returns a worker for each member if all members fit on workers whose tickets are valid, else nil. It
// returns nil for a gang that needs no advice.
func (c *Cell) assignTicketed(g *group, r rank, candidates []*worker, now time.Time) []*worker {
	if g.advice == nil {
		return nil
	}
	var ticketed []*worker
	for _, w := range candidates {
		if g.advice.hasValidTicket(w, now) {
			ticketed = append(ticketed, w)
		}
	}
	return c.assign(g, r, ticketed, now)
}

// assign returns a worker for each member, or nil if not all members fit now. A gang that requests a single rack is assigned
// to one rack if it fits there, else to several.
func (c *Cell) assign(g *group, r rank, candidates []*worker, now time.Time) []*worker {
	if !g.step.SameRack {
		return c.assignFrom(g, r, candidates, now)
	}
	racks := map[string][]*worker{}
	for _, w := range candidates {
		racks[w.Rack] = append(racks[w.Rack], w)
	}
	names := make([]string, 0, len(racks))
	for name := range racks {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if assigned := c.assignFrom(g, r, racks[name], now); len(assigned) == len(g.tasks) {
			return assigned
		}
	}
	return c.assignFrom(g, r, candidates, now)
}

// assignFrom returns a worker for each member, or nil if not all members fit. Workers whose reservation blocks the gang are
// left out.
func (c *Cell) assignFrom(g *group, r rank, candidates []*worker, now time.Time) (assigned []*worker) {
	type workerFit struct {
		worker   *worker
		members  int
		leftover float64
	}
	var fits []workerFit
	total, endsAt := 0, now.Add(c.expectedRunTime(g.job, g.step))
	for _, w := range candidates {
		if c.reserved.blocks(w, g, r, endsAt) {
			continue
		}
		free := w.free()
		if n := g.maxTasksIn(free); n > 0 {
			total += n
			fits = append(fits, workerFit{w, n, free.Sub(g.step.Demand.Scale(int64(n))).DominantShare(w.Capacity)})
		}
	}
	if total < len(g.tasks) {
		return nil
	}
	// Fill the fullest workers first: that leaves the most capacity for larger tasks.
	slices.SortStableFunc(fits, func(a, b workerFit) int { return cmp.Compare(a.leftover, b.leftover) })
	for _, p := range fits {
		for range p.members {
			if assigned = append(assigned, p.worker); len(assigned) == len(g.tasks) {
				return assigned
			}
		}
	}
	return assigned
}

// handleShortage requests advice about more workers for a gang that does not fit, and in a full pass reserves workers for
// it. A gang that would not fit on the candidates even if they were empty waits without a reservation: other workers may
// join, and a job fails only by its attempts.
func (c *Cell) handleShortage(g *group, policy cwwork.QueuePolicy, r rank, candidates []*worker, p pass, now time.Time) {
	if g.advice != nil {
		c.requestAdvice(g, policy, now)
	}
	if p == fullPass && len(c.reserved.workers) < len(c.workers)/reservedWorkerDivisor && c.wouldFitEmpty(g, candidates) {
		c.reserve(g, r, candidates, now)
	}
}

// releaseReservation removes the reservations of a gang, so that other groups may use its workers.
func (c *Cell) releaseReservation(g *group) {
	for w, reserved := range c.reserved.workers {
		if reserved.group == g {
			delete(c.reserved.workers, w)
			c.markNewCapacity(w)
		}
	}
}

// vacancy is a time at which a worker is expected to have capacity for more members of a gang.
type vacancy struct {
	at      time.Time
	worker  *worker
	members int
}

// reserve reserves the workers that will soonest have capacity for the whole gang, unless that is too late for its
// objective.
func (c *Cell) reserve(g *group, r rank, candidates []*worker, now time.Time) {
	var vacancies []vacancy
	for _, w := range candidates {
		if _, reserved := c.reserved.workers[w]; !reserved {
			vacancies = append(vacancies, c.vacancies(g, w, now)...)
		}
	}
	slices.SortStableFunc(vacancies, func(a, b vacancy) int { return a.at.Compare(b.at) })
	missing, used := len(g.tasks), 0
	for ; used < len(vacancies) && missing > 0; used++ {
		missing -= vacancies[used].members
	}
	if missing > 0 || (r.slack > 0 && vacancies[used-1].at.Sub(now) > r.slack) {
		return
	}
	for _, v := range vacancies[:used] {
		c.reserved.workers[v.worker] = reservation{group: g, rank: r, startsAt: vacancies[used-1].at}
	}
}

// vacancies returns the times at which a worker is expected to have capacity for more members of a gang: now, and at the
// ends of its present runs.
func (c *Cell) vacancies(g *group, w *worker, now time.Time) (list []vacancy) {
	free, placed := w.free(), 0
	add := func(at time.Time) {
		if n := g.maxTasksIn(free); n > placed {
			list = append(list, vacancy{at, w, n - placed})
			placed = n
		}
	}
	add(now)
	for _, e := range c.expectedEnds(w, now) {
		if placed == len(g.tasks) {
			break
		}
		free = free.Add(e.freed)
		add(e.at)
	}
	return list
}

// expectedEnds returns the expected ends of a worker's runs, earliest first. The result is cached until the next full pass,
// since many gangs need it, and omits runs that are started after it was computed.
func (c *Cell) expectedEnds(w *worker, now time.Time) []expectedEnd {
	ends, ok := c.reserved.expectedEnds[w]
	if ok {
		return ends
	}
	for _, r := range w.sortedRuns() {
		ends = append(ends, expectedEnd{c.expectedEnd(r, now), r.group.step.Demand})
	}
	slices.SortStableFunc(ends, func(a, b expectedEnd) int { return a.at.Compare(b.at) })
	c.reserved.expectedEnds[w] = ends
	return ends
}

// expectedEnd estimates when a run ends, now at the earliest: from its progress if known, else from its expected run time.
func (c *Cell) expectedEnd(r *run, now time.Time) time.Time {
	if done := r.percent - r.firstPercent; done > 0 && r.progressedAt.After(r.firstReportedAt) {
		remaining := time.Duration(float64(r.progressedAt.Sub(r.firstReportedAt)) / float64(done) * float64(100-r.percent))
		return later(r.progressedAt.Add(remaining), now)
	}
	return later(r.orderedAt.Add(c.expectedRunTime(r.group.job, r.group.step)), now)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// maxTasksIn returns how many tasks of the group fit in the given free capacity of one worker and within its anti-affinity
// limit, at most all of them.
func (g *group) maxTasksIn(free cwmodel.Resources) int {
	n := len(g.tasks)
	if g.step.MaxPerWorker > 0 {
		n = min(n, g.step.MaxPerWorker)
	}
	limit := func(free, need int64) {
		if need > 0 {
			n = min(n, int(max(free, 0)/need))
		}
	}
	limit(free.MilliProcessors, g.step.Demand.MilliProcessors)
	limit(free.MemoryBytes, g.step.Demand.MemoryBytes)
	limit(free.Accelerators, g.step.Demand.Accelerators)
	return n
}

// wouldFitEmpty reports whether the gang would fit on the candidates if they were empty.
func (c *Cell) wouldFitEmpty(g *group, candidates []*worker) bool {
	n := 0
	for _, w := range candidates {
		if n += g.maxTasksIn(w.Capacity); n >= len(g.tasks) {
			return true
		}
	}
	return false
}
