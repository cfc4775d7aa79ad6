package cwcell

import (
	"fmt"
	"time"

	"currantward/internal/core/cwclock"
	"currantward/internal/core/cwmodel"
)

// leaseGrace is the time that a worker may take to end a task after its lease has expired.
const leaseGrace = 100 * time.Millisecond

// expireLeases releases the runs of an unreachable worker once its leases have expired: those that this owner granted, and
// those of earlier owners. A run that was accepted and not reported yet lasts until the leases on the process that has accepted it have
// expired, whichever that is. A run that a later incarnation may have started, or whose lease a call that was meant for an earlier
// incarnation may extend, lasts for up to cwclock.MaxCallDelay and MaxTaskLease after the last such call, since the deadlines were
// readings of the clock of the earlier one, unless the worker is gone. A lease that a later owner may have extended counts as valid.
func (c *Cell) expireLeases(w *worker, now time.Time) {
	now = c.exclusiveUntil(now)
	if !w.unreachable || len(w.runs) == 0 || !c.leasesExpired(w, now) || !c.priorRunsEnded(w, now) {
		return
	}
	isFirst := true
	lose := func(r *run, reason lossReason) {
		if isFirst {
			since := now.Sub(c.opts.LeaseExpiry(w.ID))
			c.log(LogEntry{Event: "worker-leases-over", Worker: w.ID, Incarnation: w.Incarnation, Detail: fmt.Sprintf("for %s", since)})
		}
		isFirst = false
		c.loseRun(r, reason, now)
	}
	for _, r := range w.sortedRuns() {
		switch {
		case r.orderInFlight(): // its result decides
		case r.adopted && now.Before(c.opts.PriorLeaseExpiry): // under a lease of the owner that started it
		case r.endsWithLeases() || c.acceptedLeaseOver(r, now):
			lose(r, lostLeaseExpired)
		case c.isGone(w):
			lose(r, lostWorkerGone)
		case c.lateCallsOver(r, now):
			lose(r, lostLateCallsOver)
		}
	}
}

// endsWithLeases reports whether the run has certainly ended when the known leases on its worker have expired: no call that is carried out
// late can start it, or extend its lease, in a later incarnation than the one that has started it.
func (r *run) endsWithLeases() bool {
	switch {
	case r.state == runPlanned:
		return true
	case r.incarnation.IsZero() || r.hasOpenTry():
		return false
	case r.incarnation.Equal(r.worker.Incarnation):
		return !r.worker.unsettled
	}
	return true // its incarnation has ended
}

// acceptedLeaseOver reports whether the lease of a run that no report contains yet has expired: only the process that has accepted it can run it.
func (c *Cell) acceptedLeaseOver(r *run, now time.Time) bool {
	if r.earlierLeaseExpiry.IsZero() || !r.incarnation.IsZero() || r.hasOpenTry() {
		return false
	}
	return !now.Before(later(r.earlierLeaseExpiry, c.opts.LeaseExpiry(r.worker.ID).Add(cwclock.MaxClockLag)).Add(leaseGrace))
}

// isGone reports whether the platform has listed a worker's present incarnation, and none for unlistedGrace. One that had restarted would be listed with
// another start time. The orders to the present one are past their deadlines once its leases have expired, so that it is not waited for later ones.
func (c *Cell) isGone(w *worker) bool {
	return !w.listed && !w.unsettled && !w.listedIncarnation.IsZero() && w.listedIncarnation.Equal(w.Incarnation) &&
		c.opts.RegistryReadAt().Sub(w.unlistedAt) >= unlistedGrace
}

// lateCallsOver reports whether every call that may start the run, or extend its lease, has been carried out, and the longest lease from
// then on has expired.
func (c *Cell) lateCallsOver(r *run, now time.Time) bool {
	w := r.worker
	if w.pollFailedAt.IsZero() {
		return false
	}
	last := w.pollFailedAt
	if r.startResolvedAt.After(last) {
		last = r.startResolvedAt
	}
	return !now.Before(cwclock.CallsExpiry(last, c.opts.MaxTaskLease).Add(leaseGrace))
}

// leasesExpired reports whether all leases that this owner granted on a worker have expired, and the tasks under them have ended.
func (c *Cell) leasesExpired(w *worker, now time.Time) bool {
	return !now.Before(c.opts.LeaseExpiry(w.ID).Add(leaseGrace))
}

// MayRenewLease reports whether the leases on a worker may be renewed. Leases on an unreachable worker must expire: an
// unanswered call may have been carried out, so each renewal would delay the time at which its tasks have certainly
// ended.
func (c *Cell) MayRenewLease(id cwmodel.HostID) bool {
	w, ok := c.workers[id]
	return ok && !w.unreachable
}

// exclusiveUntil returns the latest time, at most now, until which no later owner can have acted. A conclusion that a run has ended
// because its lease was not extended holds up to that time only.
func (c *Cell) exclusiveUntil(now time.Time) time.Time {
	if until := c.opts.OwnedUntil(); until.Before(now) {
		return until
	}
	return now
}

// runsReconciled reports whether this owner knows every run of a job that an earlier owner started, and how it ended: all workers have
// answered, or the runs of earlier owners on the others have ended, and every listed end has been read. Until then a start could run a
// task twice. Jobs that are not adopted have no such runs.
func (c *Cell) runsReconciled(j *job, now time.Time) bool {
	if !j.adopted {
		return true
	}
	exclusive := c.exclusiveUntil(now)
	switch {
	case c.awaitsUnreadEnds(now):
		return false
	case exclusive.Before(c.opts.PriorLeaseExpiry):
		return c.awaitingReport == 0 && len(c.workers) > 0
	case c.awaitingReport == 0:
		return true
	}
	for _, w := range c.workers {
		if !c.priorRunsEnded(w, exclusive) {
			return false
		}
	}
	return true
}

// hasRestartedSinceStored reports whether a stored member has restarted, and its present incarnation may still take calls that an earlier owner meant for
// the one before.
func (w *worker) hasRestartedSinceStored() bool {
	return w.inStoredMembers && !w.listedIncarnation.IsZero() && !w.listedIncarnation.Equal(w.storedIncarnation)
}

// priorRunsEnded reports whether the runs that earlier owners may have left on a worker are known or have ended, given the latest time up to
// which this host was the only owner. A worker that has restarted may carry out their calls late. One that the platform has not listed since the takeover
// may have restarted, and granted its longest lease.
func (c *Cell) priorRunsEnded(w *worker, exclusive time.Time) bool {
	expiry := c.opts.PriorLeaseExpiry
	switch {
	case w.hasRestartedSinceStored():
		expiry = c.lateCallsExpiry()
	case w.listedIncarnation.IsZero():
		expiry = expiry.Add(max(0, c.opts.MaxTaskLease-c.opts.TaskLease))
	}
	return w.hasReported || !exclusive.Before(expiry)
}

// lateCallsExpiry returns the time at which every call of an earlier owner has been carried out, and the longest lease from then on has expired.
func (c *Cell) lateCallsExpiry() time.Time {
	return cwclock.CallsExpiry(c.opts.PriorLeaseExpiry, c.opts.MaxTaskLease)
}

// lateCallsExpiryOf returns the same for the calls of the owner of one term, and of those before it. It does not move with later changes of the owner.
func (c *Cell) lateCallsExpiryOf(term int) time.Time {
	if expiry, ok := c.opts.FormerOwners.CallsExpiry(term); ok {
		return expiry
	}
	return c.lateCallsExpiry()
}

// awaitsUnreadEnds reports whether some worker lists ends that this owner has not read. They no longer count once the worker is
// unreachable and its leases have expired.
func (c *Cell) awaitsUnreadEnds(now time.Time) bool {
	if c.workersWithUnreadEnds == 0 {
		return false
	}
	for _, w := range c.workers {
		if w.endsUnread && (!w.unreachable || !c.leasesExpired(w, c.exclusiveUntil(now))) {
			return true
		}
	}
	return false
}

// setEndsUnread sets whether a worker lists ends that this owner has not read, and updates their count.
func (c *Cell) setEndsUnread(w *worker, unread bool) {
	switch {
	case unread && !w.endsUnread:
		c.workersWithUnreadEnds++
		c.log(LogEntry{Event: "ends-unread", Worker: w.ID})
	case !unread && w.endsUnread:
		c.workersWithUnreadEnds--
		c.nextFullPass = time.Time{} // adopted jobs may have waited for the ends
		c.log(LogEntry{Event: "ends-read", Worker: w.ID})
	}
	w.endsUnread = unread
}
