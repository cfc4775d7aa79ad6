// Package cwclaim decides which workers an entry host claims, renews, drains and releases.
//
// A Machine is a deterministic state machine: it takes events with the current time and emits actions.
// It is used by one goroutine and is independent of clocks, networks and encodings.
package cwclaim

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwowner"
)

// Options configure a machine.
type Options struct {
	Self                cwmodel.HostID // the entry host that owns the claims
	Seed                uint64         // of the jitter
	TTL                 time.Duration  // a claim expires this long after the worker received the last renewal
	RenewInterval       time.Duration  // longest time between two renewals of a claim
	RequestWindow       time.Duration  // a worker rejects a start or renewal that arrives later than this after its decision
	ClaimJitter         time.Duration  // upper bound of the random delay before a claim of a newly preferred or released worker
	MaxConcurrentClaims int            // limit of concurrent claim calls
	// HandOverAfter is the time for which another host must be preferred before an owned worker is handed over to it.
	HandOverAfter time.Duration
	// FallbackAfter is the time without ownership after which this host claims a worker for which it is ranked second.
	FallbackAfter time.Duration
}

// DefaultOptions returns options whose periods are derived from the time to live of a claim.
func DefaultOptions(self cwmodel.HostID, ttl time.Duration) Options {
	return Options{
		Self: self, Seed: 1, TTL: ttl, RenewInterval: ttl / 3, RequestWindow: ttl / 3, ClaimJitter: ttl / 24, MaxConcurrentClaims: 64,
		HandOverAfter: ttl, FallbackAfter: 4 * ttl,
	}
}

// ActionKind is the kind of an action that the caller must carry out.
type ActionKind string

// Kinds of actions.
const (
	ActionClaim    ActionKind = "claim"    // inspect the worker, then claim it; pass the result to HandleClaim
	ActionRenew    ActionKind = "renew"    // renew the claim; pass the result to HandleRenewal
	ActionRelease  ActionKind = "release"  // release the claim on the worker; call HandleRelease when done
	ActionAcquired ActionKind = "owned"    // adopt the tasks that run on the worker and start placing tasks on it
	ActionExtended ActionKind = "extended" // the claim is valid until a later time
	ActionDrain    ActionKind = "drain"    // place no more tasks on the worker
	ActionLost     ActionKind = "lost"     // the worker is no longer owned
)

// Reason is why a worker is drained or lost.
type Reason string

// Reasons for draining or losing a worker.
const (
	ReasonLeaving    Reason = "leaving"     // the platform or the worker reports that it is leaving
	ReasonUnlisted   Reason = "unlisted"    // the worker is no longer on the platform's list
	ReasonHandOver   Reason = "hand-over"   // another entry host should own it
	ReasonExpired    Reason = "lapsed"      // the claim may have expired
	ReasonStaleEpoch Reason = "stale-epoch" // the worker has granted a larger epoch
)

// Action is an action to carry out. Its kind determines which fields are set.
type Action struct {
	Kind   ActionKind
	Worker cwmodel.Host
	Epoch  cwmodel.Epoch
	Reason Reason
	// Validity is set for ActionAcquired and ActionExtended.
	Validity Validity
	// NotAfter is the latest time on the worker's clock at which it may accept a renewal. It is set for ActionRenew.
	NotAfter time.Time
	// LastRenewal is the latest local time at which the worker may have granted or renewed a lease of this epoch. It is set
	// for ActionLost.
	LastRenewal time.Time
}

// Validity is the time until which a claim is certainly valid, with the bounds of the worker's clock.
type Validity struct {
	Until time.Time // local time until which the claim is certainly valid
	Clock ClockBounds
}

// CallResult is the result of a call to a worker.
type CallResult struct {
	Sent     time.Time     // local time before the call
	Received time.Time     // local time after the call
	Code     cwfault.Code  // empty: the call succeeded
	Epoch    cwmodel.Epoch // granted by a claim
	Clock    time.Time     // of the worker
	Leaving  bool          // the worker reports that it is leaving
}

// claim is the state of one worker.
type claim struct {
	worker            cwmodel.Host
	listed            bool // on the platform's list
	rank              int  // of this host in the order of preferred owners; 0: preferred, -1: not computed yet
	inFlight          int  // number of calls to the worker without a result
	owned             bool
	epoch             cwmodel.Epoch // granted by the latest claim
	validUntil        time.Time     // local time until which the claim is certainly valid
	clock             ClockBounds
	workerLeaving     bool      // the worker has reported that it is leaving
	drainingSince     time.Time // zero if not draining
	handingOver       bool      // the claim is released once no request of this host runs on the worker
	openRequests      int       // requests of this host that may run on the worker
	nextCallAt        time.Time // time of the next claim or renewal
	unownedSince      time.Time // when this host last lost the worker, failed to claim it or first saw it
	notPreferredSince time.Time // since when another host is the preferred owner; zero: this host is preferred
	failures          int       // consecutive failed claims, up to a limit; sets the backoff
	handOvers         int       // recent hand-overs to other hosts; each doubles the wait before the next
	handedOverAt      time.Time // time of the latest one
}

// Machine manages the claims of one entry host.
type Machine struct {
	opts         Options
	random       *rand.Rand
	claims       map[cwmodel.HostID]*claim
	order        []*claim         // sorted by identifier, for determinism
	entryHosts   []cwmodel.HostID // live entry hosts of the data centre
	releasingAll bool             // ReleaseAll was called: no new claims
	actions      []Action
}

// New returns a machine without workers.
func New(opts Options) *Machine {
	return &Machine{opts: opts, random: rand.New(rand.NewPCG(opts.Seed, uint64(len(opts.Self)))), claims: map[cwmodel.HostID]*claim{}}
}

// Actions returns the actions emitted since the last call; the slice is valid until the next event.
func (m *Machine) Actions() []Action {
	actions := m.actions
	m.actions = m.actions[:0]
	return actions
}

// UpdateHosts sets the workers and the live entry hosts of this data centre.
func (m *Machine) UpdateHosts(now time.Time, workers []cwmodel.Host, hosts []cwmodel.HostID) {
	m.entryHosts = slices.Clone(hosts)
	for _, c := range m.order {
		c.listed = false
	}
	for _, host := range workers {
		m.claimOf(now, host).listed = true
	}
	m.order = slices.DeleteFunc(m.order, func(c *claim) bool {
		isObsolete := !c.listed && !c.owned && c.inFlight == 0
		if isObsolete {
			delete(m.claims, c.worker.ID)
		}
		return isObsolete
	})
	for _, c := range m.order {
		m.updateRank(now, c)
	}
	m.reconcile(now)
}

// claimOf returns the claim of a worker, updated from the host list, and adds it on first sight.
func (m *Machine) claimOf(now time.Time, host cwmodel.Host) *claim {
	c, ok := m.claims[host.ID]
	if !ok {
		c = &claim{unownedSince: now, rank: -1}
		m.claims[host.ID] = c
		m.order = append(m.order, c)
		c.worker = host
		slices.SortFunc(m.order, func(a, b *claim) int { return cmp.Compare(a.worker.ID, b.worker.ID) })
	}
	c.worker = host
	return c
}

// updateRank updates the rank of this host in the order of preferred owners of a worker.
func (m *Machine) updateRank(now time.Time, c *claim) {
	rank := cwowner.Rank(c.worker.ID, m.opts.Self, m.entryHosts)
	if rank == 0 && c.rank != 0 && !c.owned {
		c.nextCallAt = now.Add(m.jitter(m.opts.ClaimJitter))
	}
	c.rank = rank
	switch {
	case rank == 0:
		c.notPreferredSince = time.Time{}
	case c.notPreferredSince.IsZero():
		c.notPreferredSince = now
	}
}

// Tick renews, claims, drains and releases workers as due.
func (m *Machine) Tick(now time.Time) { m.reconcile(now) }

// SetOpenRequests sets how many requests of this host may run on a worker.
func (m *Machine) SetOpenRequests(worker cwmodel.HostID, requests int) {
	if c, ok := m.claims[worker]; ok {
		c.openRequests = requests
	}
}

// HandingOver returns the workers whose claims are released once no request of this host runs on them.
func (m *Machine) HandingOver() (workers []cwmodel.HostID) {
	for _, c := range m.order {
		if c.owned && c.handingOver {
			workers = append(workers, c.worker.ID)
		}
	}
	return workers
}

// HandleClaim processes the result of a claim.
func (m *Machine) HandleClaim(now time.Time, worker cwmodel.HostID, result CallResult) {
	c, ok := m.claims[worker]
	if !ok {
		return
	}
	c.inFlight--
	if result.Code != "" {
		m.claimFailed(now, c, result.Code)
		return
	}
	c.failures, c.epoch = 0, result.Epoch
	c.validUntil = m.validUntil(result)
	if m.releasingAll {
		m.release(c)
		return
	}
	if !now.Before(c.validUntil) {
		c.nextCallAt = now // the claim expired before the response arrived: claim again
		m.reconcile(now)
		return
	}
	c.owned, c.handingOver, c.drainingSince, c.openRequests = true, false, time.Time{}, 0
	c.workerLeaving = result.Leaving
	c.clock = NewClockBounds(result.Sent, result.Received, result.Clock)
	c.nextCallAt = result.Sent.Add(m.renewPeriod())
	m.emit(c, Action{Kind: ActionAcquired, Validity: Validity{Until: c.validUntil, Clock: c.clock}})
	m.reconcile(now)
}

// claimFailed schedules the next claim: soon if another host owns the worker, else after an exponential backoff.
func (m *Machine) claimFailed(now time.Time, c *claim, code cwfault.Code) {
	if code == cwfault.Conflict || code == cwfault.StaleEpoch {
		c.failures, c.unownedSince = 0, now // another host owns it
		c.nextCallAt = now.Add(m.opts.RenewInterval/4 + m.jitter(m.opts.RenewInterval/4))
		return
	}
	const maxShift = 4
	c.failures = min(c.failures+1, maxShift)
	backoff := m.opts.RenewInterval / 4 << c.failures
	c.nextCallAt = now.Add(backoff/2 + m.jitter(backoff))
}

// HandleRenewal processes the result of a renewal under epoch.
func (m *Machine) HandleRenewal(now time.Time, worker cwmodel.HostID, epoch cwmodel.Epoch, result CallResult) {
	c, ok := m.claims[worker]
	if !ok {
		return
	}
	c.inFlight--
	if !c.owned || c.epoch != epoch {
		return
	}
	switch result.Code {
	case "":
		c.failures = 0
		if until := m.validUntil(result); until.After(c.validUntil) {
			c.validUntil = until
		}
		c.workerLeaving = c.workerLeaving || result.Leaving
		c.clock.Observe(result.Sent, result.Received, result.Clock)
		m.emit(c, Action{Kind: ActionExtended, Validity: Validity{Until: c.validUntil, Clock: c.clock}})
	case cwfault.StaleEpoch:
		m.endClaim(now, c, ReasonStaleEpoch)
	default:
		c.nextCallAt = now.Add(m.opts.RenewInterval / 8)
	}
	m.reconcile(now)
}

// HandleRelease processes the end of a release, whether or not it succeeded.
func (m *Machine) HandleRelease(now time.Time, worker cwmodel.HostID) {
	if c, ok := m.claims[worker]; ok {
		c.inFlight--
		m.reconcile(now)
	}
}

// HandleStaleEpoch processes a worker's report that it has granted an epoch larger than epoch.
func (m *Machine) HandleStaleEpoch(now time.Time, worker cwmodel.HostID, epoch cwmodel.Epoch) {
	if c, ok := m.claims[worker]; ok && c.owned && c.epoch == epoch {
		m.endClaim(now, c, ReasonStaleEpoch)
	}
}

// ReleaseAll releases all claims and prevents new ones.
func (m *Machine) ReleaseAll(now time.Time) {
	m.releasingAll = true
	for _, c := range m.order {
		if c.owned {
			m.endClaim(now, c, ReasonHandOver)
			m.release(c)
		}
	}
}

// IsIdle reports whether this host owns no worker and no call is in flight.
func (m *Machine) IsIdle() bool {
	return !slices.ContainsFunc(m.order, func(c *claim) bool { return c.owned || c.inFlight > 0 })
}

// validUntil returns the local time until which a claim is certainly valid. The worker starts to count its TTL after the call
// was sent, so counting from the time of sending is safe.
func (m *Machine) validUntil(result CallResult) time.Time {
	return result.Sent.Add(m.opts.TTL - DriftMargin(m.opts.TTL))
}

// emit adds an action about the worker of a claim.
func (m *Machine) emit(c *claim, action Action) {
	action.Worker, action.Epoch = c.worker, c.epoch
	m.actions = append(m.actions, action)
}

// jitter returns a random duration below limit, or 0 if limit is not positive.
func (m *Machine) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(m.random.Int64N(int64(limit)))
}

// renewPeriod returns the time to the next renewal, shortened at random to spread renewals.
func (m *Machine) renewPeriod() time.Duration {
	return m.opts.RenewInterval - m.jitter(m.opts.RenewInterval/4)
}
