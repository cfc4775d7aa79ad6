package cwclaim

import (
	"fmt"
	"time"

	"currantward/internal/core/cwmodel"
)

// settleTime is how long a worker drains at least before it is released, so that the drain has taken effect.
const settleTime = time.Second

// forgetHandOvers is after how many waits a worker's earlier hand-overs no longer count.
const forgetHandOvers = 8

// sweep carries every claim on by at most one call.
func (m *Machine) sweep(now time.Time) {
	claiming, handing := m.inFlight()
	for _, c := range m.order {
		if c.owned && !now.Before(c.until) {
			m.lose(now, c, ReasonExpired)
		}
		if c.owned {
			m.drainIfDue(now, c)
			if !c.handing && handing < m.handOverLimit() && m.isHandOverDue(now, c) {
				m.handOver(now, c)
				handing++
			}
		}
		switch {
		case c.calls > 0:
		case c.owned && c.handing && c.open == 0 && now.Sub(c.drained) >= settleTime:
			m.finishHandOver(now, c)
		case c.owned && !now.Before(c.next):
			m.renew(now, c)
		case !c.owned && claiming < m.opts.MaxClaims && m.isClaimDue(now, c):
			c.calls++
			claiming++
			m.act(c, Action{Kind: ActionClaim})
		}
	}
	m.check()
}

func (m *Machine) inFlight() (claiming, handing int) {
	for _, c := range m.order {
		if c.calls > 0 && !c.owned {
			claiming++
		}
		if c.owned && c.handing {
			handing++
		}
	}
	return claiming, handing
}

// handOverLimit bounds how much of what this host owns drains at once.
func (m *Machine) handOverLimit() int {
	owned := 0
	for _, c := range m.order {
		if c.owned {
			owned++
		}
	}
	const part = 8
	return max(1, owned/part)
}

func (m *Machine) isClaimDue(now time.Time, c *claim) bool {
	if m.leaving || !c.listed || now.Before(c.next) {
		return false
	}
	return c.rank == 0 || c.rank == 1 && now.Sub(c.notOwned) >= m.opts.FallbackAfter
}

func (m *Machine) renew(now time.Time, c *claim) {
	c.calls++
	c.next = now.Add(m.renewPeriod())
	m.act(c, Action{Kind: ActionRenew, NotAfter: c.clock.Earliest(now.Add(m.opts.RequestWindow))})
}

// unwanted returns why nothing more may be placed on a worker, or "".
func (c *claim) unwanted() Reason {
	switch {
	case c.workerLeaving || c.host.State == cwmodel.HostLeaving:
		return ReasonLeaving
	case !c.listed:
		return ReasonUnlisted
	}
	return ""
}

// drainIfDue drains a worker that leaves; one that is wanted again is released once idle and claimed anew.
func (m *Machine) drainIfDue(now time.Time, c *claim) {
	reason := c.unwanted()
	switch {
	case reason != "" && c.drained.IsZero():
		m.drain(now, c, reason)
	case reason == "" && !c.drained.IsZero():
		c.handing = true
	}
}

func (m *Machine) drain(now time.Time, c *claim, reason Reason) {
	c.drained = now
	m.act(c, Action{Kind: ActionDrain, Reason: reason})
}

// isHandOverDue reports whether another host has been preferred for long enough.
//
// Each hand-over of a worker doubles the wait for its next, so that a worker that only this host can reach stays.
func (m *Machine) isHandOverDue(now time.Time, c *claim) bool {
	if m.leaving || c.misplaced.IsZero() || c.unwanted() != "" {
		return false
	}
	const most = 6
	wait := m.opts.HandOverAfter << min(c.handOvers, most)
	if c.handOvers > 0 && now.Sub(c.handedOver) > forgetHandOvers*wait {
		c.handOvers, wait = 0, m.opts.HandOverAfter
	}
	return now.Sub(c.misplaced) >= wait && (c.handOvers == 0 || now.Sub(c.handedOver) >= wait)
}

func (m *Machine) handOver(now time.Time, c *claim) {
	c.handing = true
	c.handOvers++
	if c.drained.IsZero() {
		m.drain(now, c, ReasonHandOver)
	}
}

func (m *Machine) finishHandOver(now time.Time, c *claim) {
	c.handedOver = now
	m.lose(now, c, ReasonHandOver)
	m.release(c)
}

func (m *Machine) release(c *claim) {
	c.calls++
	m.act(c, Action{Kind: ActionRelease})
}

// lose ends a claim; no order was sent after it ended, and none takes effect later than its window.
func (m *Machine) lose(now time.Time, c *claim, reason Reason) {
	last := now
	if c.until.Before(now) {
		last = c.until
	}
	c.owned, c.handing, c.drained, c.notOwned = false, false, time.Time{}, now
	c.workerLeaving = false
	c.next = now.Add(m.jitter(m.opts.ClaimJitter))
	m.act(c, Action{Kind: ActionLost, Reason: reason, LastRenewal: last.Add(m.opts.RequestWindow)})
}

// check asserts what must hold after each sweep.
func (m *Machine) check() {
	for _, c := range m.order {
		switch {
		case c.owned && c.epoch == 0:
			panic(fmt.Sprintf("worker %s is owned without an epoch", c.host.ID))
		case c.calls < 0:
			panic(fmt.Sprintf("worker %s answered more calls than were made", c.host.ID))
		case c.handing && !c.owned:
			panic(fmt.Sprintf("worker %s is handed over without being owned", c.host.ID))
		case c.handing && c.drained.IsZero():
			panic(fmt.Sprintf("worker %s is handed over without being drained", c.host.ID))
		}
	}
}
