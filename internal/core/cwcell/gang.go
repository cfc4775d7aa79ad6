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
	workers map[*worker]*group
	gangs   int
}

func newHolds() *holds { return &holds{workers: map[*worker]*group{}} }

// refuses reports whether a worker's room is kept for a gang that comes before the group.
func (h *holds) refuses(w *worker, g *group) bool {
	owner, ok := h.workers[w]
	return ok && owner != g && g.step.Estimate > shortTask
}

const (
	// shortTask is the longest estimate of tasks that may use room which is kept for a gang: they are over before the
	// last member of the gang finds room.
	shortTask = 1200 * time.Millisecond
	// mostHolds is how many gangs keep room at a time, so that kept room does not idle the cell.
	mostHolds = 2
	// holdAfter is how long a gang waits before room is kept for it.
	holdAfter = 300 * time.Millisecond
)

// placeGang starts all tasks of a group at once, or none.
func (c *Cell) placeGang(g *group, policy cwwork.Policy, candidates []*worker, held *holds, now time.Time) {
	if g.waiting != len(g.tasks) {
		c.endPartial(g, now)
		return
	}
	g.partial = time.Time{}
	seats := c.seats(g, candidates, held)
	if len(seats) < len(g.tasks) {
		c.lackRoom(g, policy, candidates, held, now)
		return
	}
	g.room = time.Time{}
	number := 0
	for index := range g.tasks {
		number = max(number, g.tasks[index].highest+1)
	}
	var renew []*worker
	var runs []*run
	for index := range g.tasks {
		w := seats[index]
		runs = append(runs, c.newRun(g, index, w, number, now))
		if g.advice != nil && !g.advice.valid(w, now) && !slices.Contains(renew, w) {
			renew = append(renew, w)
		}
	}
	if len(renew) > 0 {
		c.renew(g, policy, renew)
		return
	}
	for _, r := range runs {
		c.order(r, now)
	}
}

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

// seats returns a worker for each member that finds room now, on one rack if the gang asks for it and one has the room.
func (c *Cell) seats(g *group, candidates []*worker, held *holds) []*worker {
	if !g.step.SameRack {
		return c.seatsOn(g, candidates, held)
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
		if s := c.seatsOn(g, racks[name], held); len(s) == len(g.tasks) {
			return s
		}
	}
	return c.seatsOn(g, candidates, held)
}

func (c *Cell) seatsOn(g *group, candidates []*worker, held *holds) (seats []*worker) {
	type place struct {
		w    *worker
		n    int
		left float64
	}
	var places []place
	for _, w := range candidates {
		if held.refuses(w, g) {
			continue
		}
		free, n := w.free(), 0
		for g.step.Need.FitsIn(free) && n < len(g.tasks) && (g.step.AntiAffinity == 0 || n < g.step.AntiAffinity) {
			free, n = free.Minus(g.step.Need), n+1
		}
		if n > 0 {
			places = append(places, place{w, n, free.DominantShare(w.Capacity)})
		}
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

// lackRoom asks about more workers, keeps room for the gang, or gives up a gang that can never be whole.
func (c *Cell) lackRoom(g *group, policy cwwork.Policy, candidates []*worker, held *holds, now time.Time) {
	if g.room.IsZero() {
		g.room = now
	}
	if g.advice != nil && !c.couldSeat(g, candidates) {
		if c.ask(g, policy, now) {
			return
		}
	}
	if !c.couldSeat(g, candidates) {
		if c.neverWhole(g, policy, now) {
			c.note(Note{Event: "gang-too-wide", Job: g.job.ID, Detail: g.key.String()})
			c.conclude(g.job, cwwork.StateFailed)
		}
		return
	}
	if now.Sub(g.room) < holdAfter || held.gangs >= mostHolds {
		return
	}
	held.gangs++
	c.keepRoom(g, candidates, held)
}

// keepRoom keeps the workers that will soonest have room for the whole gang.
func (c *Cell) keepRoom(g *group, candidates []*worker, held *holds) {
	ready := slices.Clone(candidates)
	slices.SortStableFunc(ready, func(a, b *worker) int {
		return cmp.Compare(a.used.DominantShare(a.Capacity), b.used.DominantShare(b.Capacity))
	})
	need := len(g.tasks)
	for _, w := range ready {
		if need <= 0 {
			return
		}
		if _, taken := held.workers[w]; taken {
			continue
		}
		held.workers[w] = g
		need -= g.fits(w.Capacity)
	}
}

// fits returns how many members a worker of the given room can hold.
func (g *group) fits(room cwmodel.Resources) (n int) {
	for g.step.Need.FitsIn(room) && n < len(g.tasks) && (g.step.AntiAffinity == 0 || n < g.step.AntiAffinity) {
		room, n = room.Minus(g.step.Need), n+1
	}
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

// neverWhole reports whether even all workers of the service that may run the group would be too few, for long enough
// that workers which are away for a moment have come back.
func (c *Cell) neverWhole(g *group, policy cwwork.Policy, now time.Time) bool {
	if !c.settledAll(now) || now.Sub(g.since) < hopelessAfter {
		return false
	}
	n := 0
	for _, w := range c.workers {
		if !c.suits(w, g, policy) {
			continue
		}
		if g.advice != nil && !g.advice.allows(w) {
			if !g.advice.knows(w) {
				return false
			}
			continue
		}
		n += g.fits(w.Capacity)
	}
	return n < len(g.tasks)
}

// hopelessAfter is longer than workers are away for a restart or a short cut.
const hopelessAfter = 6 * time.Second
