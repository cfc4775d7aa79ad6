package cwcell

import (
	"cmp"
	"slices"
	"time"

	"currantward/internal/core/cwwork"
)

// Limits of the advice requests about new workers. Each further worker makes a request slower, and each entry host
// handles one request at a time.
const (
	// gangCapacityFactor is how many times a gang's members its eligible workers should hold when empty: capacity
	// becomes free on varying workers, so more eligible workers let a gang start sooner.
	gangCapacityFactor = 3
	// taskCapacityFactor is how many times the waiting tasks the workers asked about should hold now, not counting
	// those expected to be ineligible. Other groups take some of the capacity before the answer arrives.
	taskCapacityFactor = 2
	// gangRequestPeriod is how often a gang that still waits requests advice about further workers.
	gangRequestPeriod = 2 * time.Second
	// baseCostDivisor limits the cost of additional workers to one in this many of a request's fixed cost: more workers
	// become eligible at little cost.
	baseCostDivisor = 3
	// minSample is the minimum number of workers even where each one is expensive.
	minSample = 10
)

// eligibleShare estimates the share of evaluated workers that are eligible.
type eligibleShare struct{ eligible, evaluated float64 }

const (
	// priorShare and priorWeight are the prior estimate before the first answers.
	priorShare  = 0.5
	priorWeight = 10
	// maxEvaluated is the count beyond which old observations are halved, so that the share follows changes.
	maxEvaluated = 2000
)

func (s *eligibleShare) observe(eligible, evaluated int) {
	if s.evaluated > maxEvaluated {
		s.eligible, s.evaluated = s.eligible/2, s.evaluated/2
	}
	s.eligible += float64(eligible)
	s.evaluated += float64(evaluated)
}

func (s *eligibleShare) value() float64 {
	return (s.eligible + priorShare*priorWeight) / (s.evaluated + priorWeight)
}

// minRequestWorkers returns the minimum number of workers in a request. They add only a fraction of the request's fixed
// cost, except where each worker is expensive.
func minRequestWorkers(a cwwork.Advice) int {
	if a.PerWorker <= 0 {
		return maxRequestWorkers
	}
	return min(max(int(a.Base/a.PerWorker)/baseCostDivisor, minSample), maxRequestWorkers)
}

// requestAdvice queues requests about unevaluated workers if any would help and no such request is pending.
func (c *Cell) requestAdvice(g *group, policy cwwork.QueuePolicy, now time.Time) {
	if g.advice.pendingNewWorkers > 0 || g.advice.allEvaluatedVersion == c.fleetVersion {
		return
	}
	wanted, minTasks := c.capacityWanted(g, now), 0
	if wanted <= 0 {
		return
	}
	// Once the first request is answered, workers without free capacity do not help tasks outside gangs.
	if !g.step.Gang && len(g.advice.tickets) > 0 {
		minTasks = 1
	}
	candidates, total := c.unevaluated(g, policy, minTasks, now)
	if total == 0 {
		g.advice.allEvaluatedVersion = c.fleetVersion
	}
	workers := g.sample(policy, candidates, float64(wanted)/c.queue(g.job.Queue).eligibleShare.value())
	for len(workers) > 0 {
		n := min(len(workers), maxRequestWorkers)
		g.advice.lastRequestAt = now
		c.enqueueRequest(g, policy, workers[:n], false)
		workers = workers[n:]
	}
}

// adviceCandidate is a worker that a request may include.
type adviceCandidate struct {
	worker    *worker
	fitsNow   int // tasks of the group that fit now
	fitsEmpty int // tasks of the group that fit if the worker is empty
}

// capacityWanted returns for how many tasks the requested workers should have capacity. Tasks want more than their
// number, since other groups take some of the capacity before the answer arrives. Gangs want what their eligible
// workers lack, and periodically a little more.
func (c *Cell) capacityWanted(g *group, now time.Time) int {
	if !g.step.Gang {
		return g.waiting * taskCapacityFactor
	}
	missing := len(g.tasks)*gangCapacityFactor - c.eligibleCapacity(g, now)
	if missing <= 0 && now.Sub(g.advice.lastRequestAt) >= gangRequestPeriod {
		return 1
	}
	return missing
}

// unevaluated returns the unevaluated workers on which at least this many tasks fit now, in random order. The total
// includes those without capacity, but only the first of them, since callers only test for zero.
func (c *Cell) unevaluated(g *group, policy cwwork.QueuePolicy, minTasks int, now time.Time) (candidates []adviceCandidate, total int) {
	for _, w := range c.sortedWorkers() {
		tasks := g.maxTasksIn(w.free())
		if tasks < minTasks && total > 0 {
			continue
		}
		if !c.isCompatible(w, g, policy) || !w.usable(now) || g.advice.isEvaluated(w) {
			continue
		}
		total++
		if tasks >= minTasks {
			candidates = append(candidates, adviceCandidate{w, tasks, g.maxTasksIn(w.Capacity)})
		}
	}
	c.random.Shuffle(len(candidates), func(a, b int) { candidates[a], candidates[b] = candidates[b], candidates[a] })
	return candidates, total
}

// sample chooses workers for a request, those with free capacity first, until they can hold the wanted number of tasks.
func (g *group) sample(policy cwwork.QueuePolicy, candidates []adviceCandidate, wanted float64) (workers []*worker) {
	slices.SortStableFunc(candidates, func(a, b adviceCandidate) int {
		if g.step.Gang {
			return cmp.Compare(b.fitsNow, a.fitsNow)
		}
		return cmp.Compare(min(b.fitsNow, 1), min(a.fitsNow, 1))
	})
	minWorkers := minRequestWorkers(policy.Advice)
	for _, candidate := range candidates {
		if wanted <= 0 && len(workers) >= minWorkers {
			break
		}
		workers = append(workers, candidate.worker)
		if g.step.Gang {
			wanted -= float64(candidate.fitsEmpty)
		} else {
			wanted -= float64(max(candidate.fitsNow, 1))
		}
	}
	return workers
}

// eligibleCapacity returns how many members of a gang its eligible workers could hold when empty.
func (c *Cell) eligibleCapacity(g *group, now time.Time) (members int) {
	for _, t := range g.advice.eligible {
		if t.isCurrent() && t.worker.usable(now) {
			members += g.maxTasksIn(t.worker.Capacity)
		}
	}
	return members
}
