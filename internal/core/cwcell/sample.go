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
	// gangCapacityFactor is how many times its members the good workers of a gang should hold when empty: room comes free here
	// and there, and the more workers may give it, the sooner a gang is whole.
	gangCapacityFactor = 3
	// taskCapacityFactor is how many times the waiting tasks the workers asked about should have room for now, after those that
	// will not be good are left out. Others take some of the room before the answer comes.
	taskCapacityFactor = 2
	// gangRequestPeriod is how often a gang that still waits asks about further workers.
	gangRequestPeriod = 2 * time.Second
	// baseCostShare is the part of a question's fixed cost, one in so many, that further names may add: more good workers are
	// known then at little cost.
	baseCostShare = 3
	// minSample is asked about even where each worker is dear.
	minSample = 10
)

// eligibleShare learns which part of the workers asked about is good.
type eligibleShare struct{ eligible, evaluated float64 }

const (
	// priorShare and priorWeight are what is believed before the first answers.
	priorShare  = 0.5
	priorWeight = 10
	// maxEvaluated lets the share follow changes.
	maxEvaluated = 2000
)

func (s *eligibleShare) observe(good, asked int) {
	if s.evaluated > maxEvaluated {
		s.eligible, s.evaluated = s.eligible/2, s.evaluated/2
	}
	s.eligible += float64(good)
	s.evaluated += float64(asked)
}

func (s *eligibleShare) value() float64 {
	return (s.eligible + priorShare*priorWeight) / (s.evaluated + priorWeight)
}

// minRequestWorkers returns how many workers a question names at least: naming them costs a part of what the question itself does.
func minRequestWorkers(a cwwork.Advice) int {
	if a.PerWorker <= 0 {
		return maxRequestWorkers
	}
	return min(max(int(a.Base/a.PerWorker)/baseCostShare, minSample), maxRequestWorkers)
}

// requestAdvice queues questions about workers that have not been judged, if any would help and none is under way.
func (c *Cell) requestAdvice(g *group, policy cwwork.Policy, now time.Time) {
	if g.advice.pending > 0 || g.advice.exhaustedVersion == c.fleetVersion {
		return
	}
	need, least := c.capacityWanted(g, now), 0
	if need <= 0 {
		return
	}
	// Tasks whose first question is answered gain nothing from workers without room.
	if !g.step.Gang && len(g.advice.tickets) > 0 {
		least = 1
	}
	options, all := c.unevaluated(g, policy, least, now)
	if all == 0 {
		g.advice.exhaustedVersion = c.fleetVersion
	}
	workers := g.sample(policy, options, float64(need)/c.queue(g.job.Queue).eligibleShare.value())
	for len(workers) > 0 {
		n := min(len(workers), maxRequestWorkers)
		g.advice.lastRequestAt = now
		c.enqueueRequest(g, policy, workers[:n], false)
		workers = workers[n:]
	}
}

// adviceCandidate is a worker that may be asked about.
type adviceCandidate struct {
	worker    *worker
	fitsNow   int // tasks of the group that it has room for
	fitsEmpty int // tasks of the group that it could hold
}

// capacityWanted returns for how many tasks the workers asked about should have room: for some more than wait, since others
// take part of the room before the answer comes; for gangs as many as their good workers lack, and once in a while for more.
func (c *Cell) capacityWanted(g *group, now time.Time) int {
	if !g.step.Gang {
		return g.waiting * taskCapacityFactor
	}
	lacking := len(g.tasks)*gangCapacityFactor - c.eligibleCapacity(g, now)
	if lacking <= 0 && now.Sub(g.advice.lastRequestAt) >= gangRequestPeriod {
		return 1
	}
	return lacking
}

// unevaluated returns the workers that have not been judged and have room for at least so many tasks now, in random order, and
// how many have not been judged in all; it stops to count at the first one if there are others with room.
func (c *Cell) unevaluated(g *group, policy cwwork.Policy, least int, now time.Time) (options []adviceCandidate, all int) {
	for _, w := range c.sortedWorkers() {
		room := g.maxMembers(w.free())
		if room < least && all > 0 {
			continue
		}
		if !c.isCompatible(w, g, policy) || !w.usable(now) || g.advice.isEvaluated(w) {
			continue
		}
		all++
		if room >= least {
			options = append(options, adviceCandidate{w, room, g.maxMembers(w.Capacity)})
		}
	}
	c.random.Shuffle(len(options), func(a, b int) { options[a], options[b] = options[b], options[a] })
	return options, all
}

// sample chooses the workers to ask about, those with room first, until they can hold so many tasks.
func (g *group) sample(policy cwwork.Policy, options []adviceCandidate, need float64) (workers []*worker) {
	slices.SortStableFunc(options, func(a, b adviceCandidate) int {
		if g.step.Gang {
			return cmp.Compare(b.fitsNow, a.fitsNow)
		}
		return cmp.Compare(min(b.fitsNow, 1), min(a.fitsNow, 1))
	})
	least := minRequestWorkers(policy.Advice)
	for _, o := range options {
		if need <= 0 && len(workers) >= least {
			break
		}
		workers = append(workers, o.worker)
		if g.step.Gang {
			need -= float64(o.fitsEmpty)
		} else {
			need -= float64(max(o.fitsNow, 1))
		}
	}
	return workers
}

// eligibleCapacity returns how many members of a gang its good workers could hold when empty.
func (c *Cell) eligibleCapacity(g *group, now time.Time) (members int) {
	for _, t := range g.advice.eligible {
		if t.isCurrent() && t.worker.usable(now) {
			members += g.maxMembers(t.worker.Capacity)
		}
	}
	return members
}
