package cwcell

import (
	"cmp"
	"slices"
	"time"

	"currantward/internal/core/cwwork"
)

// Limits of the advice requests about unevaluated workers. Each further worker makes a request slower, and each entry host
// handles one request at a time.
const (
	// gangCapacityFactor is the capacity that the eligible workers of a gang should have when empty, in multiples of the
	// gang's size. Capacity becomes free on varying workers, so more eligible workers let a gang start sooner.
	gangCapacityFactor = 3
	// taskCapacityFactor is the free capacity that the workers of a request should have, in multiples of the waiting
	// tasks, after deduction of the workers expected to be ineligible. Other groups take some of the capacity before the
	// answer arrives.
	taskCapacityFactor = 2
	// gangRequestPeriod is the time between requests about further workers by a gang that still waits.
	gangRequestPeriod = 2 * time.Second
	// baseCostDivisor determines how many workers a request includes even if fewer are wanted: as many as take
	// 1/baseCostDivisor of the base time of a request, so that more workers become eligible at little cost.
	baseCostDivisor = 3
	// minRequestWorkers is the number of workers that a request includes at least, even where each one is expensive.
	minRequestWorkers = 10
)

// eligibleShare counts evaluated and eligible workers to estimate the share of workers that are eligible.
type eligibleShare struct{ eligible, evaluated float64 }

const (
	// priorShare and priorWeight are the prior estimate before the first answers.
	priorShare  = 0.5
	priorWeight = 10
	// maxEvaluated is the count beyond which old observations are halved, so that the share follows changes.
	maxEvaluated = 2000
)

// observe adds the numbers of eligible and of evaluated workers in the answer to one request.
func (s *eligibleShare) observe(eligible, evaluated int) {
	if s.evaluated > maxEvaluated {
		s.eligible, s.evaluated = s.eligible/2, s.evaluated/2
	}
	s.eligible += float64(eligible)
	s.evaluated += float64(evaluated)
}

// value returns the estimated share of eligible workers, above 0 and below 1.
func (s *eligibleShare) value() float64 {
	return (s.eligible + priorShare*priorWeight) / (s.evaluated + priorWeight)
}

// cheapRequestWorkers returns the number of workers that a request includes even if fewer are wanted, since they add little
// to its cost: a request takes a.Base plus a.PerWorker for each worker, and these workers together take at most
// 1/baseCostDivisor of a.Base. The result is kept between minRequestWorkers and maxRequestWorkers.
func cheapRequestWorkers(a cwwork.Advice) int {
	if a.PerWorker <= 0 {
		return maxRequestWorkers
	}
	return min(max(int(a.Base/a.PerWorker)/baseCostDivisor, minRequestWorkers), maxRequestWorkers)
}

// requestAdvice queues requests about unevaluated workers if more eligible workers would help the group and no such request
// is pending. Until advice has allowed a worker, requests also cover full workers; afterwards they cover only workers with
// free capacity, except for gangs, which wait for capacity to be freed.
func (c *Cell) requestAdvice(g *group, policy cwwork.QueuePolicy, now time.Time) {
	if g.advice.pendingEvaluations > 0 || g.advice.allEvaluatedVersion == c.fleetVersion {
		return
	}
	wantedTasks, minFittingTasks := c.wantedTaskSlots(g, now), 0
	if wantedTasks <= 0 {
		return
	}
	// Advice about a further worker without free capacity would not let a task start sooner.
	if !g.step.Gang && len(g.advice.tickets) > 0 {
		minFittingTasks = 1
	}
	candidates, unevaluatedCount := c.unevaluatedWorkers(g, policy, minFittingTasks, now)
	if unevaluatedCount == 0 {
		g.advice.allEvaluatedVersion = c.fleetVersion
	}
	workers := g.sample(policy, candidates, float64(wantedTasks)/c.queue(g.job.Queue).eligibleShare.value())
	for len(workers) > 0 {
		n := min(len(workers), maxRequestWorkers)
		g.advice.lastRequestAt = now
		c.enqueueRequest(g, policy, workers[:n], false /* not a renewal */)
		workers = workers[n:]
	}
}

// adviceCandidate is an unevaluated worker that a request may include.
type adviceCandidate struct {
	worker    *worker
	fitsNow   int // tasks of the group that fit now
	fitsEmpty int // tasks of the group that fit if the worker is empty
}

// wantedTaskSlots returns the number of tasks for which the requested workers should have capacity. Outside gangs this is
// more than the waiting tasks, since other groups take some of the capacity before the answer arrives. For a gang it is
// the capacity that its eligible workers lack, and at least one member every gangRequestPeriod.
func (c *Cell) wantedTaskSlots(g *group, now time.Time) int {
	if !g.step.Gang {
		return g.waiting * taskCapacityFactor
	}
	missing := len(g.tasks)*gangCapacityFactor - c.eligibleCapacity(g, now)
	if missing <= 0 && now.Sub(g.advice.lastRequestAt) >= gangRequestPeriod {
		return 1
	}
	return missing
}

// unevaluatedWorkers returns the usable, compatible workers that no advice covers yet and on which at least
// minFittingTasks tasks fit now, in random order. unevaluatedCount counts these and some of the workers on which fewer
// tasks fit: it is zero only if advice covers all usable, compatible workers.
func (c *Cell) unevaluatedWorkers(g *group, policy cwwork.QueuePolicy, minFittingTasks int, now time.Time) (candidates []adviceCandidate, unevaluatedCount int) {
	for _, w := range c.sortedWorkers() {
		tasks := g.maxTasksIn(w.free())
		if tasks < minFittingTasks && unevaluatedCount > 0 {
			continue
		}
		if !c.isCompatible(w, g, policy) || !w.usable(now) || g.advice.isEvaluated(w) {
			continue
		}
		unevaluatedCount++
		if tasks >= minFittingTasks {
			candidates = append(candidates, adviceCandidate{w, tasks, g.maxTasksIn(w.Capacity)})
		}
	}
	c.random.Shuffle(len(candidates), func(a, b int) { candidates[a], candidates[b] = candidates[b], candidates[a] })
	return candidates, unevaluatedCount
}

// sample returns the workers to request advice about: those with free capacity first, until they have capacity for the
// wanted number of tasks and are at least cheapRequestWorkers. For a gang, a worker counts with its capacity when empty;
// otherwise with the tasks that fit now, at least one.
func (g *group) sample(policy cwwork.QueuePolicy, candidates []adviceCandidate, wanted float64) (workers []*worker) {
	slices.SortStableFunc(candidates, func(a, b adviceCandidate) int {
		if g.step.Gang {
			return cmp.Compare(b.fitsNow, a.fitsNow)
		}
		return cmp.Compare(min(b.fitsNow, 1), min(a.fitsNow, 1))
	})
	minWorkers := cheapRequestWorkers(policy.Advice)
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
