package cwcell

import (
	"cmp"
	"slices"
	"time"

	"currantward/internal/core/cwwork"
)

// Bounds of the questions about new workers. Advice takes longer for each worker that is named, and each entry host asks
// one question at a time.
const (
	// gangBreadth is how many times its members the good workers of a gang should hold when empty: room comes free here
	// and there, and the more workers may give it, the sooner a gang is whole.
	gangBreadth = 3
	// taskMargin is how many times the waiting tasks the workers asked about should have room for now, after those that
	// will not be good are left out. Others take some of the room before the answer comes.
	taskMargin = 2
	// breadthPeriod is how often a gang that still waits asks about further workers.
	breadthPeriod = 2 * time.Second
	// baseShare is the part of a question's fixed cost, one in so many, that further names may add: more good workers are
	// known then at little cost.
	baseShare = 3
	// smallestSample is asked about even where each worker is dear.
	smallestSample = 10
)

// goodShare learns which part of the workers asked about is good.
type goodShare struct{ good, asked float64 }

const (
	// priorShare and priorWeight are what is believed before the first answers.
	priorShare  = 0.5
	priorWeight = 10
	// mostRemembered lets the share follow changes.
	mostRemembered = 2000
)

func (s *goodShare) observe(good, asked int) {
	if s.asked > mostRemembered {
		s.good, s.asked = s.good/2, s.asked/2
	}
	s.good += float64(good)
	s.asked += float64(asked)
}

func (s *goodShare) value() float64 {
	return (s.good + priorShare*priorWeight) / (s.asked + priorWeight)
}

// smallest returns how many workers a question names at least: naming them costs a part of what the question itself does.
func smallest(a cwwork.Advice) int {
	if a.PerWorker <= 0 {
		return maxQuestion
	}
	return min(max(int(a.Base/a.PerWorker)/baseShare, smallestSample), maxQuestion)
}

// ask queues questions about workers that have not been judged, if any would help and none is under way.
func (c *Cell) ask(g *group, policy cwwork.QueuePolicy, now time.Time) {
	if g.advice.asking > 0 || g.advice.asked == c.fleet {
		return
	}
	need, least := c.seatsWanted(g, now), 0
	if need <= 0 {
		return
	}
	// Tasks whose first question is answered gain nothing from workers without room.
	if !g.step.Gang && len(g.advice.tickets) > 0 {
		least = 1
	}
	options, all := c.unjudged(g, policy, least, now)
	if all == 0 {
		g.advice.asked = c.fleet
	}
	workers := g.sample(policy, options, float64(need)/c.queue(g.job.Queue).good.value())
	for len(workers) > 0 {
		n := min(len(workers), maxQuestion)
		g.advice.askedAt = now
		c.queueQuestion(g, policy, workers[:n], false)
		workers = workers[n:]
	}
}

// option is a worker that may be asked about.
type option struct {
	worker *worker
	now    int // tasks of the group that it has room for
	empty  int // tasks of the group that it could hold
}

// seatsWanted returns for how many tasks the workers asked about should have room: for some more than wait, since others
// take part of the room before the answer comes; for gangs as many as their good workers lack, and once in a while for more.
func (c *Cell) seatsWanted(g *group, now time.Time) int {
	if !g.step.Gang {
		return g.waiting * taskMargin
	}
	lacking := len(g.tasks)*gangBreadth - c.breadth(g, now)
	if lacking <= 0 && now.Sub(g.advice.askedAt) >= breadthPeriod {
		return 1
	}
	return lacking
}

// unjudged returns the workers that have not been judged and have room for at least so many tasks now, in random order, and
// how many have not been judged in all; it stops to count at the first one if there are others with room.
func (c *Cell) unjudged(g *group, policy cwwork.QueuePolicy, least int, now time.Time) (options []option, all int) {
	for _, w := range c.sortedWorkers() {
		room := g.fits(w.free())
		if room < least && all > 0 {
			continue
		}
		if !c.suits(w, g, policy) || !w.usable(now) || g.advice.knows(w) {
			continue
		}
		all++
		if room >= least {
			options = append(options, option{w, room, g.fits(w.Capacity)})
		}
	}
	c.random.Shuffle(len(options), func(a, b int) { options[a], options[b] = options[b], options[a] })
	return options, all
}

// sample chooses the workers to ask about, those with room first, until they can hold so many tasks.
func (g *group) sample(policy cwwork.QueuePolicy, options []option, need float64) (workers []*worker) {
	slices.SortStableFunc(options, func(a, b option) int {
		if g.step.Gang {
			return cmp.Compare(b.now, a.now)
		}
		return cmp.Compare(min(b.now, 1), min(a.now, 1))
	})
	least := smallest(policy.Advice)
	for _, o := range options {
		if need <= 0 && len(workers) >= least {
			break
		}
		workers = append(workers, o.worker)
		if g.step.Gang {
			need -= float64(o.empty)
		} else {
			need -= float64(max(o.now, 1))
		}
	}
	return workers
}

// breadth returns how many members of a gang its good workers could hold when empty.
func (c *Cell) breadth(g *group, now time.Time) (members int) {
	for _, t := range g.advice.good {
		if t.current() && t.worker.usable(now) {
			members += g.fits(t.worker.Capacity)
		}
	}
	return members
}
