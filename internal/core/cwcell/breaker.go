package cwcell

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"currantward/internal/core/cwmodel"
)

// Limits of the circuit breaker of a worker. Tasks also fail by their own fault, so one failure does not open it.
const (
	breakerThreshold   = 2 // failed runs since the latest successful one that open it
	breakerMinCooldown = 4 * time.Second
	breakerMaxCooldown = 30 * time.Second
	// longRunningProbation is the run time after which the failure of a long-running task does not count.
	longRunningProbation = time.Second
	// quarantinedShareDivisor limits the workers that failed runs may keep out to 1/quarantinedShareDivisor of all: if more than that fail, the fault
	// is rather one of the tasks.
	quarantinedShareDivisor = 2
	// maxFailedGroups bounds the groups that a breaker remembers.
	maxFailedGroups = 8
)

// breaker is the circuit breaker of a worker. While it is open, the worker gets no new tasks. After its cooldown it is half open: the worker gets one run
// at a time until one succeeds.
type breaker struct {
	failed      []failedGroup // groups of which runs have failed on the worker since its last successful run
	openedAt    time.Time     // latest trip; zero: none since the last successful run
	openUntil   time.Time     // end of its cooldown; zero or past: closed
	pausedUntil time.Time     // the same of a pause
	cooldown    time.Duration // latest one; zero after a success
	byFailures  bool          // failed runs have caused the latest trip
	probe       *run          // the run while it is half open; nil: there is none
}

// failedGroup counts the runs of a group that have failed on one worker.
type failedGroup struct {
	group *group
	runs  int
}

// isOpen reports whether new tasks must be kept off the worker.
func (b *breaker) isOpen(now time.Time) bool {
	return now.Before(b.openUntil) || now.Before(b.pausedUntil)
}

// isTripped is the same without a pause.
func (b *breaker) isTripped(now time.Time) bool { return now.Before(b.openUntil) }

// isHalfOpen reports whether the worker gets one run at a time.
func (b *breaker) isHalfOpen(now time.Time) bool { return !b.openedAt.IsZero() && !b.isTripped(now) }

// recordFailure counts a failed run of a group.
func (b *breaker) recordFailure(g *group) {
	at := slices.IndexFunc(b.failed, func(f failedGroup) bool { return f.group == g })
	if at < 0 {
		b.failed = append(b.failed, failedGroup{group: g})
		b.failed = b.failed[max(0, len(b.failed)-maxFailedGroups):]
		at = len(b.failed) - 1
	}
	b.failed[at].runs++
}

// isFaulty reports whether there are enough failed runs that are not the fault of their tasks.
func (b *breaker) isFaulty(id cwmodel.HostID) bool {
	runs := 0
	for _, f := range b.failed {
		if !f.group.isHopeless(id) {
			runs += f.runs
		}
	}
	return runs >= breakerThreshold
}

// describe returns the failed runs by group, for the log.
func (b *breaker) describe() string {
	parts := make([]string, 0, len(b.failed))
	for _, f := range b.failed {
		parts = append(parts, fmt.Sprintf("%s:%d", f.group.key, f.runs))
	}
	return strings.Join(parts, ",")
}

// trip opens the breaker for a cooldown that doubles with each consecutive trip. While it is open, it stays as it is: the runs that fail then
// were started before.
func (b *breaker) trip(now time.Time) {
	if b.isTripped(now) {
		return
	}
	b.cooldown = min(max(2*b.cooldown, breakerMinCooldown), breakerMaxCooldown)
	b.openedAt, b.openUntil, b.byFailures = now, now.Add(b.cooldown), false
}

// pause opens the breaker for at least d, without a change of its cooldown.
func (b *breaker) pause(now time.Time, d time.Duration) {
	b.pausedUntil = later(b.pausedUntil, now.Add(d))
}

// reset closes the breaker and forgets its failures and cooldown.
func (b *breaker) reset() { *b = breaker{} }

// outcomes are how the runs of a group have ended so far, and where.
type outcomes struct {
	failed      int              // runs
	failedOn    []cwmodel.HostID // workers, two at most
	succeededOn []cwmodel.HostID // workers, two at most
}

// hasOther reports whether a list contains another worker than the given one.
func hasOther(list []cwmodel.HostID, id cwmodel.HostID) bool {
	return slices.ContainsFunc(list, func(other cwmodel.HostID) bool { return other != id })
}

// addWorker adds a worker to a list that keeps two different ones, enough to tell whether one other than a given worker is among them.
func addWorker(list []cwmodel.HostID, id cwmodel.HostID) []cwmodel.HostID {
	if len(list) >= 2 || slices.Contains(list, id) {
		return list
	}
	return append(list, id)
}

// isHopeless reports whether the group fails wherever it runs, as far as other workers than the given one show: it has failed on one, succeeded on
// none, and fewer of its runs are at work than have failed. The members of a gang end with the one that fails.
func (g *group) isHopeless(id cwmodel.HostID) bool {
	if !hasOther(g.outcomes.failedOn, id) || hasOther(g.outcomes.succeededOn, id) {
		return false
	}
	if g.step.Gang {
		return true
	}
	running := 0
	for n := range g.tasks {
		running += len(g.tasks[n].runs)
	}
	return g.outcomes.failed > running
}

// recordFailure counts a failed run against its worker, and opens the worker's breaker if it is at fault. Runs that were started before the
// breaker opened tell nothing new. The failure may also show that the group is hopeless, and other workers are not at fault. r is the failed run, nil
// if it has no capacity allocated.
func (c *Cell) recordFailure(w *worker, g *group, r *run, now time.Time) {
	g.outcomes.failed++
	g.outcomes.failedOn = addWorker(g.outcomes.failedOn, w.ID)
	if len(g.outcomes.failedOn) > 1 && len(g.outcomes.succeededOn) == 0 {
		c.readmitWorkers(now)
	}
	b := &w.breaker
	if b.isTripped(now) || (r != nil && r.orderedAt.Before(b.openedAt)) {
		return
	}
	b.recordFailure(g)
	if !b.isFaulty(w.ID) || c.quarantined(now) >= max(1, len(c.workers)/quarantinedShareDivisor) {
		return
	}
	b.trip(now)
	b.byFailures = true
	c.log(LogEntry{Event: "worker-quarantined", Worker: w.ID, Detail: b.cooldown.String() + " for " + b.describe()})
}

// quarantined returns the number of workers that failed runs keep out.
func (c *Cell) quarantined(now time.Time) (n int) {
	for _, w := range c.workers {
		if w.breaker.byFailures && w.breaker.isTripped(now) {
			n++
		}
	}
	return n
}

// readmitWorkers closes the breakers that failed runs have opened which are no evidence against their workers any more.
func (c *Cell) readmitWorkers(now time.Time) {
	for _, w := range c.sortedWorkers() {
		if b := &w.breaker; b.byFailures && b.isTripped(now) && !b.isFaulty(w.ID) {
			b.openedAt, b.openUntil, b.cooldown = time.Time{}, time.Time{}, 0
			c.log(LogEntry{Event: "worker-readmitted", Worker: w.ID, Detail: b.describe()})
			c.markNewCapacity(w)
		}
	}
}
