// Package cwclaim decides which workers an entry host claims, renews, drains and releases.
//
// A Machine is a deterministic state machine: events go in with the present time, actions come out.
// It is used by one goroutine and knows nothing of clocks, networks or encodings.
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

// Options set up a machine.
type Options struct {
	Self          cwmodel.HostID
	Seed          uint64        // of the jitter
	TTL           time.Duration // a claim ends this long after the worker has received its last renewal
	RenewEvery    time.Duration
	RequestWindow time.Duration // a start or a renewal is void if it arrives later than this after its decision
	ClaimJitter   time.Duration // first claims are spread over this time
	MaxClaims     int           // claims in flight at once
	// HandOverAfter is how long another host must be preferred before an owned worker is handed over.
	HandOverAfter time.Duration
	// FallbackAfter is how long a worker may stay without an owner before the second in rank claims it.
	FallbackAfter time.Duration
}

// DefaultOptions returns options whose periods follow from the time to live of a claim.
func DefaultOptions(self cwmodel.HostID, ttl time.Duration) Options {
	return Options{
		Self: self, Seed: 1, TTL: ttl, RenewEvery: ttl / 3, RequestWindow: ttl / 3, ClaimJitter: ttl / 24, MaxClaims: 64,
		HandOverAfter: ttl, FallbackAfter: 4 * ttl,
	}
}

// ActionKind says what the owner of a machine has to carry out.
type ActionKind string

// The closed set of action kinds.
const (
	ActionClaim    ActionKind = "claim"    // inspect the worker, then claim it; answer by Claimed
	ActionRenew    ActionKind = "renew"    // renew the claim; answer by Renewed
	ActionRelease  ActionKind = "release"  // end the claim; answer by Released
	ActionAcquired ActionKind = "owned"    // adopt what runs on the worker and place on it
	ActionExtended ActionKind = "extended" // the claim holds until a later time
	ActionDrain    ActionKind = "drain"    // place nothing more on the worker
	ActionLost     ActionKind = "lost"     // the worker is no longer owned
)

// Reason tells why a worker is drained or lost.
type Reason string

// The closed set of reasons.
const (
	ReasonLeaving    Reason = "leaving"     // the platform or the worker says that it leaves
	ReasonUnlisted   Reason = "unlisted"    // the platform's list no longer shows it
	ReasonHandOver   Reason = "hand-over"   // another entry host should own it
	ReasonExpired    Reason = "lapsed"      // the claim may have ended
	ReasonStaleEpoch Reason = "stale-epoch" // the worker has granted a larger epoch
)

// Action is one thing to carry out; which fields are set depends on its kind.
type Action struct {
	Kind   ActionKind
	Host   cwmodel.Host
	Epoch  cwmodel.Epoch
	Reason Reason
	// Validity says for how long the claim certainly holds, for owned and extended.
	Validity Validity
	// NotAfter is the latest time by the worker's clock at which it may accept a renewal.
	NotAfter time.Time
	// LastRenewal is the latest local time at which the worker may have begun or renewed a lease of this epoch, for lost.
	LastRenewal time.Time
}

// Validity is what the holder of a claim may count on.
type Validity struct {
	Until time.Time // local time up to which the claim certainly holds
	Clock ClockBounds
}

// CallResult is what came of a call to a worker.
type CallResult struct {
	Sent     time.Time // local time before the call
	Received time.Time // local time after it
	Code     cwfault.Code
	Epoch    cwmodel.Epoch // granted by a claim
	Clock    time.Time     // of the worker
	Leaving  bool
}

// claim is what the machine knows of one worker.
type claim struct {
	host          cwmodel.Host
	listed        bool
	rank          int // of this host among those that should own it
	calls         int // to the worker, in flight
	owned         bool
	epoch         cwmodel.Epoch
	until         time.Time
	clock         ClockBounds
	workerLeaving bool      // by the worker's own word
	drained       time.Time // zero: not draining
	handing       bool      // released once idle
	open          int       // own requests that may run on it
	next          time.Time // of the next claim or renewal
	notOwned      time.Time // since when it is not owned
	misplaced     time.Time // since when another host is preferred; zero: this one is
	failures      int
	handOvers     int
	handedOver    time.Time
}

// Machine holds the claims of one entry host.
type Machine struct {
	opts    Options
	random  *rand.Rand
	claims  map[cwmodel.HostID]*claim
	order   []*claim // by identifier, for determinism
	hosts   []cwmodel.HostID
	leaving bool
	actions []Action
}

// New returns a machine that knows no worker.
func New(opts Options) *Machine {
	return &Machine{opts: opts, random: rand.New(rand.NewPCG(opts.Seed, uint64(len(opts.Self)))), claims: map[cwmodel.HostID]*claim{}}
}

// Actions returns the actions decided since the last call; the slice is valid until the next event.
func (m *Machine) Actions() []Action {
	actions := m.actions
	m.actions = m.actions[:0]
	return actions
}

// UpdateHosts takes the workers and the live entry hosts of this data centre.
func (m *Machine) UpdateHosts(now time.Time, workers []cwmodel.Host, hosts []cwmodel.HostID) {
	m.hosts = slices.Clone(hosts)
	for _, c := range m.order {
		c.listed = false
	}
	for _, host := range workers {
		m.claimOf(now, host).listed = true
	}
	m.order = slices.DeleteFunc(m.order, func(c *claim) bool {
		gone := !c.listed && !c.owned && c.calls == 0
		if gone {
			delete(m.claims, c.host.ID)
		}
		return gone
	})
	for _, c := range m.order {
		m.rank(now, c)
	}
	m.sweep(now)
}

func (m *Machine) claimOf(now time.Time, host cwmodel.Host) *claim {
	c, ok := m.claims[host.ID]
	if !ok {
		c = &claim{notOwned: now, rank: -1}
		m.claims[host.ID] = c
		m.order = append(m.order, c)
		c.host = host
		slices.SortFunc(m.order, func(a, b *claim) int { return cmp.Compare(a.host.ID, b.host.ID) })
	}
	c.host = host
	return c
}

// rank notes where this host stands among those that should own a worker.
func (m *Machine) rank(now time.Time, c *claim) {
	rank := cwowner.Rank(c.host.ID, m.opts.Self, m.hosts)
	if rank == 0 && c.rank != 0 && !c.owned {
		c.next = now.Add(m.jitter(m.opts.ClaimJitter))
	}
	c.rank = rank
	switch {
	case rank == 0:
		c.misplaced = time.Time{}
	case c.misplaced.IsZero():
		c.misplaced = now
	}
}

// Tick renews, claims, drains and releases what is due.
func (m *Machine) Tick(now time.Time) { m.sweep(now) }

// SetOpenRequests tells how many requests of this host may run on a worker.
func (m *Machine) SetOpenRequests(worker cwmodel.HostID, requests int) {
	if c, ok := m.claims[worker]; ok {
		c.open = requests
	}
}

// HandingOver returns the workers that are released once no request of this host runs on them.
func (m *Machine) HandingOver() (workers []cwmodel.HostID) {
	for _, c := range m.order {
		if c.owned && c.handing {
			workers = append(workers, c.host.ID)
		}
	}
	return workers
}

// HandleClaim takes what came of a claim.
func (m *Machine) HandleClaim(now time.Time, worker cwmodel.HostID, answer CallResult) {
	c, ok := m.claims[worker]
	if !ok {
		return
	}
	c.calls--
	if answer.Code != "" {
		m.claimFailed(now, c, answer.Code)
		return
	}
	c.failures, c.epoch = 0, answer.Epoch
	c.until = m.heldUntil(answer)
	if m.leaving {
		m.release(c)
		return
	}
	if !now.Before(c.until) {
		c.next = now // the answer came too late: claim anew
		m.sweep(now)
		return
	}
	c.owned, c.handing, c.drained, c.open = true, false, time.Time{}, 0
	c.workerLeaving = answer.Leaving
	c.clock = NewClockBounds(answer.Sent, answer.Received, answer.Clock)
	c.next = answer.Sent.Add(m.renewPeriod())
	m.act(c, Action{Kind: ActionAcquired, Validity: Validity{Until: c.until, Clock: c.clock}})
	m.sweep(now)
}

func (m *Machine) claimFailed(now time.Time, c *claim, code cwfault.Code) {
	if code == cwfault.Conflict || code == cwfault.StaleEpoch {
		c.failures, c.notOwned = 0, now // another host owns it
		c.next = now.Add(m.opts.RenewEvery/4 + m.jitter(m.opts.RenewEvery/4))
		return
	}
	const most = 4
	c.failures = min(c.failures+1, most)
	pause := m.opts.RenewEvery / 4 << c.failures
	c.next = now.Add(pause/2 + m.jitter(pause))
}

// HandleRenewal takes what came of a renewal under epoch.
func (m *Machine) HandleRenewal(now time.Time, worker cwmodel.HostID, epoch cwmodel.Epoch, answer CallResult) {
	c, ok := m.claims[worker]
	if !ok {
		return
	}
	c.calls--
	if !c.owned || c.epoch != epoch {
		return
	}
	switch answer.Code {
	case "":
		c.failures = 0
		if until := m.heldUntil(answer); until.After(c.until) {
			c.until = until
		}
		c.workerLeaving = c.workerLeaving || answer.Leaving
		c.clock.Observe(answer.Sent, answer.Received, answer.Clock)
		m.act(c, Action{Kind: ActionExtended, Validity: Validity{Until: c.until, Clock: c.clock}})
	case cwfault.StaleEpoch:
		m.lose(now, c, ReasonStaleEpoch)
	default:
		c.next = now.Add(m.opts.RenewEvery / 8)
	}
	m.sweep(now)
}

// HandleRelease takes the end of a release, whether it succeeded or not.
func (m *Machine) HandleRelease(now time.Time, worker cwmodel.HostID) {
	if c, ok := m.claims[worker]; ok {
		c.calls--
		m.sweep(now)
	}
}

// HandleStaleEpoch takes the word of a worker that it has granted a larger epoch than epoch.
func (m *Machine) HandleStaleEpoch(now time.Time, worker cwmodel.HostID, epoch cwmodel.Epoch) {
	if c, ok := m.claims[worker]; ok && c.owned && c.epoch == epoch {
		m.lose(now, c, ReasonStaleEpoch)
	}
}

// ReleaseAll releases all claims and makes no further ones.
func (m *Machine) ReleaseAll(now time.Time) {
	m.leaving = true
	for _, c := range m.order {
		if c.owned {
			m.lose(now, c, ReasonHandOver)
			m.release(c)
		}
	}
}

// IsIdle reports whether no claim is held and no call is in flight.
func (m *Machine) IsIdle() bool {
	return !slices.ContainsFunc(m.order, func(c *claim) bool { return c.owned || c.calls > 0 })
}

// heldUntil returns how long a claim certainly holds: the worker counts from a time after the call was sent.
func (m *Machine) heldUntil(answer CallResult) time.Time {
	return answer.Sent.Add(m.opts.TTL - DriftMargin(m.opts.TTL))
}

func (m *Machine) act(c *claim, action Action) {
	action.Host, action.Epoch = c.host, c.epoch
	m.actions = append(m.actions, action)
}

func (m *Machine) jitter(most time.Duration) time.Duration {
	if most <= 0 {
		return 0
	}
	return time.Duration(m.random.Int64N(int64(most)))
}

// renewPeriod returns the time to the next renewal, a little shorter at random so that renewals spread.
func (m *Machine) renewPeriod() time.Duration {
	return m.opts.RenewEvery - m.jitter(m.opts.RenewEvery/4)
}
