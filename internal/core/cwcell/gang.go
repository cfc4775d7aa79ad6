package cwcell

import (
	"cmp"
	"slices"
	"time"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// holds keeps room for gangs whose turn has come but which do not fit yet.
type holds struct {
	workers map[*worker]hold
	ends    map[*worker][]expectedEnd // of the workers' runs at the time of the pass
}

// expectedEnd is when a run is expected to free its room.
type expectedEnd struct {
	at   time.Time
	room cwmodel.Resources
}

// hold is the room of one worker that is kept.
type hold struct {
	group *group
	rank  rank
	until time.Time // when the gang is expected to start
}

func newHolds() *holds {
	return &holds{workers: map[*worker]hold{}, ends: map[*worker][]expectedEnd{}}
}

// refuses reports whether a worker's room is kept for a gang that comes before the group, and tasks of the group that are
// over at the given time would not be over by its start.
func (h *holds) refuses(w *worker, g *group, r rank, over time.Time) bool {
	kept, ok := h.workers[w]
	return ok && kept.group != g && over.After(kept.until) && kept.rank.compare(r) <= 0
}

// holdShare is the part of the workers, one in so many, that may be kept for gangs, so that kept room does not idle the cell.
const holdShare = 3

// placeGang starts all tasks of a group at once, or none.
func (c *Cell) placeGang(g *group, policy cwwork.QueuePolicy, r rank, p pass, now time.Time) {
	if g.waiting != len(g.tasks) {
		c.endPartial(g, now)
		return
	}
	g.partial = time.Time{}
	candidates := c.candidates(g, policy, now, func(*worker) bool { return true })
	seats := c.ticketedSeats(g, r, candidates, now)
	if len(seats) < len(g.tasks) {
		seats = c.seats(g, r, candidates, now)
	}
	if len(seats) < len(g.tasks) {
		c.lackRoom(g, policy, r, candidates, p, now)
		return
	}
	c.dropHold(g)
	number := 0
	for index := range g.tasks {
		number = max(number, g.tasks[index].highest+1)
	}
	var runs []*run
	for index := range g.tasks {
		runs = append(runs, c.newRun(g, index, seats[index], number, now))
	}
	if renew := g.expiring(seats, policy, now); len(renew) > 0 {
		c.renew(g, policy, renew)
		return
	}
	for _, r := range runs {
		c.order(r, now)
	}
}

// expiring returns the workers of a gang's seats whose tickets have to be renewed: if one has, all those whose tickets would
// not outlive the answer, since the members start together.
func (g *group) expiring(seats []*worker, policy cwwork.QueuePolicy, now time.Time) (renew []*worker) {
	if g.advice == nil || !slices.ContainsFunc(seats, func(w *worker) bool { return !g.advice.valid(w, now) }) {
		return nil
	}
	answered := now.Add(policy.Advice.Cost(len(seats)) + renewalWait)
	for _, w := range seats {
		if !g.advice.valid(w, answered) && !slices.Contains(renew, w) {
			renew = append(renew, w)
		}
	}
	return renew
}

// renewalWait is what a renewal takes besides its own time: a free host and the way there and back.
const renewalWait = 200 * time.Millisecond

// endPartial stops the members of a run whose others have gone. Mostly they end by themselves: the worker breaks a gang
// that has lost a member, but not one that was never whole.
func (c *Cell) endPartial(g *group, now time.Time) {
	switch {
	case g.partial.IsZero():
		g.partial = now
	case now.Sub(g.partial) > partialGrace:
		for n := range g.tasks {
			for _, r := range slices.Clone(g.tasks[n].runs) {
				c.stop(r)
			}
		}
	}
}

// partialGrace lets the ends of a gang's members arrive.
const partialGrace = time.Second

// ticketedSeats returns a worker for each member if they all find room where no ticket has to be renewed first.
func (c *Cell) ticketedSeats(g *group, r rank, candidates []*worker, now time.Time) []*worker {
	if g.advice == nil {
		return nil
	}
	var ticketed []*worker
	for _, w := range candidates {
		if g.advice.valid(w, now) {
			ticketed = append(ticketed, w)
		}
	}
	return c.seats(g, r, ticketed, now)
}

// seats returns a worker for each member that finds room now, on one rack if the gang asks for it and one has the room.
func (c *Cell) seats(g *group, r rank, candidates []*worker, now time.Time) []*worker {
	if !g.step.SameRack {
		return c.seatsOn(g, r, candidates, now)
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
		if s := c.seatsOn(g, r, racks[name], now); len(s) == len(g.tasks) {
			return s
		}
	}
	return c.seatsOn(g, r, candidates, now)
}

// seatsOn returns a worker for each member, or nothing if they do not all find room.
func (c *Cell) seatsOn(g *group, r rank, candidates []*worker, now time.Time) (seats []*worker) {
	type place struct {
		w    *worker
		n    int
		left float64
	}
	var places []place
	total, over := 0, now.Add(c.expected(g.job, g.step))
	for _, w := range candidates {
		if c.held.refuses(w, g, r, over) {
			continue
		}
		free := w.free()
		if n := g.fits(free); n > 0 {
			total += n
			places = append(places, place{w, n, free.Sub(g.step.Demand.Scale(int64(n))).DominantShare(w.Capacity)})
		}
	}
	if total < len(g.tasks) {
		return nil
	}
	// The fullest workers first: they lose the least room that a wider task could use.
	slices.SortStableFunc(places, func(a, b place) int { return cmp.Compare(a.left, b.left) })
	for _, p := range places {
		for range p.n {
			if seats = append(seats, p.w); len(seats) == len(g.tasks) {
				return seats
			}
		}
	}
	return seats
}

// lackRoom asks about more workers and keeps room for the gang. One that the present workers could never hold waits without
// keeping any: others may join, and a job fails only by its attempts.
func (c *Cell) lackRoom(g *group, policy cwwork.QueuePolicy, r rank, candidates []*worker, p pass, now time.Time) {
	if g.advice != nil {
		c.ask(g, policy, now)
	}
	if p == fullPass && len(c.held.workers) < len(c.workers)/holdShare && c.couldSeat(g, candidates) {
		c.keepRoom(g, r, candidates, now)
	}
}

// dropHold lets others use the room that was kept for a gang.
func (c *Cell) dropHold(g *group) {
	for w, kept := range c.held.workers {
		if kept.group == g {
			delete(c.held.workers, w)
			c.gainRoom(w)
		}
	}
}

// vacancy is a moment at which a worker gets room for more members of a gang.
type vacancy struct {
	at      time.Time
	worker  *worker
	members int
}

// keepRoom keeps the workers that will soonest have room for the whole gang, unless that is too late for its objective.
func (c *Cell) keepRoom(g *group, r rank, candidates []*worker, now time.Time) {
	var vacancies []vacancy
	for _, w := range candidates {
		if _, taken := c.held.workers[w]; !taken {
			vacancies = append(vacancies, c.vacancies(g, w, now)...)
		}
	}
	slices.SortStableFunc(vacancies, func(a, b vacancy) int { return a.at.Compare(b.at) })
	need, used := len(g.tasks), 0
	for ; used < len(vacancies) && need > 0; used++ {
		need -= vacancies[used].members
	}
	if need > 0 || (r.slack > 0 && vacancies[used-1].at.Sub(now) > r.slack) {
		return
	}
	for _, v := range vacancies[:used] {
		c.held.workers[v.worker] = hold{group: g, rank: r, until: vacancies[used-1].at}
	}
}

// vacancies returns when a worker gets room for members of a gang, as its present runs end.
func (c *Cell) vacancies(g *group, w *worker, now time.Time) (list []vacancy) {
	free, seated := w.free(), 0
	add := func(at time.Time) {
		if n := g.fits(free); n > seated {
			list = append(list, vacancy{at, w, n - seated})
			seated = n
		}
	}
	add(now)
	for _, e := range c.expectedEnds(w, now) {
		if seated == len(g.tasks) {
			break
		}
		free = free.Add(e.room)
		add(e.at)
	}
	return list
}

// expectedEnds returns when the runs of a worker are expected to end, the soonest first. It is worked out once in a pass, as
// many gangs ask for it; runs that are started in the same pass are left out.
func (c *Cell) expectedEnds(w *worker, now time.Time) []expectedEnd {
	ends, ok := c.held.ends[w]
	if ok {
		return ends
	}
	for _, r := range w.sorted() {
		ends = append(ends, expectedEnd{c.expectedEnd(r, now), r.group.step.Demand})
	}
	slices.SortStableFunc(ends, func(a, b expectedEnd) int { return a.at.Compare(b.at) })
	c.held.ends[w] = ends
	return ends
}

// expectedEnd estimates when a run is over, from its progress if that has been seen and else from its estimate.
func (c *Cell) expectedEnd(r *run, now time.Time) time.Time {
	if done := r.percent - r.firstPercent; done > 0 && r.moved.After(r.firstSeen) {
		left := time.Duration(float64(r.moved.Sub(r.firstSeen)) / float64(done) * float64(100-r.percent))
		return later(r.moved.Add(left), now)
	}
	return later(r.ordered.Add(c.expected(r.group.job, r.group.step)), now)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// fits returns how many members a worker of the given room can hold.
func (g *group) fits(room cwmodel.Resources) int {
	n := len(g.tasks)
	if g.step.MaxPerWorker > 0 {
		n = min(n, g.step.MaxPerWorker)
	}
	limit := func(room, need int64) {
		if need > 0 {
			n = min(n, int(max(room, 0)/need))
		}
	}
	limit(room.MilliProcessors, g.step.Demand.MilliProcessors)
	limit(room.MemoryBytes, g.step.Demand.MemoryBytes)
	limit(room.Accelerators, g.step.Demand.Accelerators)
	return n
}

// couldSeat reports whether the candidates would hold the gang if they were empty.
func (c *Cell) couldSeat(g *group, candidates []*worker) bool {
	n := 0
	for _, w := range candidates {
		if n += g.fits(w.Capacity); n >= len(g.tasks) {
			return true
		}
	}
	return false
}
