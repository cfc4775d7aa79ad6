package cwclaim

import (
	"fmt"
	"time"

	"currantward/internal/core/cwmodel"
)

// minDrainTime is the minimum time between drain and release, so that the drain has taken effect.
const minDrainTime = time.Second

// handOverResetFactor is the time after a hand-over, in multiples of the present wait, after which earlier hand-overs no
// longer lengthen the wait.
const handOverResetFactor = 8

// reconcile drains, hands over, renews and claims workers as due, with at most one call to each worker.
func (m *Machine) reconcile(now time.Time) {
	claiming, handingOver := m.countInFlight()
	for _, c := range m.order {
		if c.owned && !now.Before(c.validUntil) {
			m.endClaim(now, c, ReasonExpired)
		}
		if c.owned {
			m.drainIfDue(now, c)
			if !c.handingOver && handingOver < m.handOverLimit() && m.isHandOverDue(now, c) {
				m.handOver(now, c)
				handingOver++
			}
		}
		switch {
		case c.inFlight > 0:
		case c.owned && c.handingOver && c.openRequests == 0 && now.Sub(c.drainingSince) >= minDrainTime:
			m.finishHandOver(now, c)
		case c.owned && !now.Before(c.nextCallAt):
			m.renew(now, c)
		case !c.owned && claiming < m.opts.MaxConcurrentClaims && m.isClaimDue(now, c):
			c.inFlight++
			claiming++
			m.emit(c, Action{Kind: ActionClaim})
		}
	}
	m.checkInvariants()
}

// countInFlight returns the numbers of claim calls in flight and of workers being handed over.
func (m *Machine) countInFlight() (claiming, handingOver int) {
	for _, c := range m.order {
		if c.inFlight > 0 && !c.owned {
			claiming++
		}
		if c.owned && c.handingOver {
			handingOver++
		}
	}
	return claiming, handingOver
}

// handOverLimit returns how many owned workers may be handed over at the same time.
func (m *Machine) handOverLimit() int {
	owned := 0
	for _, c := range m.order {
		if c.owned {
			owned++
		}
	}
	const divisor = 8
	return max(1, owned/divisor)
}

// isClaimDue reports whether this host should claim a worker now: it is the preferred owner, or ranked second and the worker
// has had no owner for long.
func (m *Machine) isClaimDue(now time.Time, c *claim) bool {
	if m.releasingAll || !c.listed || now.Before(c.nextCallAt) {
		return false
	}
	return c.rank == 0 || c.rank == 1 && now.Sub(c.unownedSince) >= m.opts.FallbackAfter
}

// renew emits a renewal that the worker rejects after RequestWindow, and sets the time of the next one.
func (m *Machine) renew(now time.Time, c *claim) {
	c.inFlight++
	c.nextCallAt = now.Add(m.renewPeriod())
	m.emit(c, Action{Kind: ActionRenew, NotAfter: c.clock.Earliest(now.Add(m.opts.RequestWindow))})
}

// drainReason returns why no more tasks may be placed on a worker, or "".
func (c *claim) drainReason() Reason {
	switch {
	case c.workerLeaving || c.worker.State == cwmodel.HostLeaving:
		return ReasonLeaving
	case !c.listed:
		return ReasonUnlisted
	}
	return ""
}

// drainIfDue drains a worker that is leaving or unlisted. If the reason disappears, the worker is released once no
// request runs on it and is then claimed again.
func (m *Machine) drainIfDue(now time.Time, c *claim) {
	reason := c.drainReason()
	switch {
	case reason != "" && c.drainingSince.IsZero():
		m.drain(now, c, reason)
	case reason == "" && !c.drainingSince.IsZero():
		c.handingOver = true
	}
}

// drain records the start of a drain and emits it.
func (m *Machine) drain(now time.Time, c *claim, reason Reason) {
	c.drainingSince = now
	m.emit(c, Action{Kind: ActionDrain, Reason: reason})
}

// isHandOverDue reports whether another host has been the preferred owner of a worker for long enough.
//
// Each hand-over of a worker doubles the wait before the next one, so that a worker that only this host can reach stays
// with it.
func (m *Machine) isHandOverDue(now time.Time, c *claim) bool {
	if m.releasingAll || c.notPreferredSince.IsZero() || c.drainReason() != "" {
		return false
	}
	const maxShift = 6
	wait := m.opts.HandOverAfter << min(c.handOvers, maxShift)
	if c.handOvers > 0 && now.Sub(c.handedOverAt) > handOverResetFactor*wait {
		c.handOvers, wait = 0, m.opts.HandOverAfter
	}
	return now.Sub(c.notPreferredSince) >= wait && (c.handOvers == 0 || now.Sub(c.handedOverAt) >= wait)
}

// handOver starts to hand a worker over to its preferred owner: it is drained and then released.
func (m *Machine) handOver(now time.Time, c *claim) {
	c.handingOver = true
	c.handOvers++
	if c.drainingSince.IsZero() {
		m.drain(now, c, ReasonHandOver)
	}
}

// finishHandOver ends and releases the claim on a drained worker.
func (m *Machine) finishHandOver(now time.Time, c *claim) {
	c.handedOverAt = now
	m.endClaim(now, c, ReasonHandOver)
	m.release(c)
}

// release emits the release of a claim that has ended for this host.
func (m *Machine) release(c *claim) {
	c.inFlight++
	m.emit(c, Action{Kind: ActionRelease})
}

// endClaim ends the claim on a worker. LastRenewal is bounded: no request was sent after the claim expired, and the worker
// rejects requests that arrive after RequestWindow.
func (m *Machine) endClaim(now time.Time, c *claim, reason Reason) {
	last := now
	if c.validUntil.Before(now) {
		last = c.validUntil
	}
	c.owned, c.handingOver, c.drainingSince, c.unownedSince = false, false, time.Time{}, now
	c.workerLeaving = false
	c.nextCallAt = now.Add(m.jitter(m.opts.ClaimJitter))
	m.emit(c, Action{Kind: ActionLost, Reason: reason, LastRenewal: last.Add(m.opts.RequestWindow)})
}

// checkInvariants panics if an invariant is violated.
func (m *Machine) checkInvariants() {
	for _, c := range m.order {
		switch {
		case c.owned && c.epoch == 0:
			panic(fmt.Sprintf("worker %s is owned without an epoch", c.worker.ID))
		case c.inFlight < 0:
			panic(fmt.Sprintf("worker %s answered more calls than were made", c.worker.ID))
		case c.handingOver && !c.owned:
			panic(fmt.Sprintf("worker %s is handed over without being owned", c.worker.ID))
		case c.handingOver && c.drainingSince.IsZero():
			panic(fmt.Sprintf("worker %s is handed over without being drained", c.worker.ID))
		}
	}
}
