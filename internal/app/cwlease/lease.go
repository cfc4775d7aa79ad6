// Package cwlease elects the owner of a cell: it acquires, renews and releases the lease, a row of the store that names the
// owner.
package cwlease

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"currantward/internal/adapter/cwcellcodec"
	"currantward/internal/base/cwduty"
	"currantward/internal/base/cwring"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwclock"
	"currantward/internal/core/cwlayout"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwcellport"
)

// Options configure an elector.
type Options struct {
	Cell  cwlayout.Cell
	Cells int // number of cells of the deployment; 0 if only the first cell's lease states it
	Self  cwcellport.EntryHost
	Store cwcellport.Store
	Peers cwcellport.Peers
	Timer *cwtimer.Service // its clock advances during suspensions
	Log   *logrus.Logger

	// Capacity is the share of a processor that this host has. Hosts with less wait, so that faster ones acquire the lease.
	Capacity float64
	// TaskLease is how long a worker runs tasks without a renewal of their leases.
	TaskLease time.Duration
	// MaxTaskLease is the longest lease that a worker grants, on its clock.
	MaxTaskLease time.Duration
	// StartWindow is the longest transit time of a start order; its worker refuses a later one.
	StartWindow time.Duration

	// OnLeaseAcquired is called when this host becomes the owner.
	OnLeaseAcquired func(Grant)
	// OnLeaseLost is called when this host stops being the owner, because another host holds the lease or this one releases it.
	OnLeaseLost func()
	// Successors returns the entry hosts that the owner has advertised, in order of preference as the next owner.
	Successors func() []cwcellport.EntryHost
	// OtherCells returns how many cells this host owns besides this one.
	OtherCells func() int
	// ConfigurationVersion returns the version of the configuration in force on this host.
	ConfigurationVersion func() uint64
	// OnCellCount is called with the number of cells in the known lease, if it records several, whenever that lease is updated.
	OnCellCount func(cells int)
	// OnHeartbeatResponse is called with the owner's response to each heartbeat.
	OnHeartbeatResponse func(cwcellport.HeartbeatResponse)
}

// Grant is an acquired lease.
type Grant struct {
	Fence        uint64 // version of the lease's row at the acquisition, so each owner has a larger one
	Term         int    // number of acquisitions of the lease so far, from 1
	ChainVersion uint64 // version of the chain row at the acquisition
	// PriorLeaseExpiry is the time by which every run that previous owners may have left on an unreachable worker has ended.
	PriorLeaseExpiry time.Time
	// FormerOwners bounds the calls of the previous owners, each by itself.
	FormerOwners cwclock.FormerOwners
	Layout       cwlayout.Layout
}

// Timing of the lease.
const (
	// TTL is how long an owner acts after its last renewal. A successor may take over earlier, since workers refuse the
	// previous owner's fence. Only runs on unreachable workers have to wait until the previous lease has expired.
	TTL = 3 * time.Second
	// renewPeriod allows several failed renewals before the lease expires.
	renewPeriod = 500 * time.Millisecond
	// renewalFailingAfter is the time since the last renewal from which the owner's heartbeat responses request a takeover.
	renewalFailingAfter = 1100 * time.Millisecond
	// staleAfter is how long the lease's row must be unchanged before a host that cannot reach the owner acquires the lease.
	staleAfter = 950 * time.Millisecond
	// heartbeatPeriod bounds the age of the queue lengths; the users' rule on them allows 2 s.
	heartbeatPeriod = 500 * time.Millisecond
	// retryPeriod is the polling period of a host without a known owner.
	retryPeriod = 150 * time.Millisecond
	// minWait prevents a busy loop on a host that waits for a lease to become stale.
	minWait = 20 * time.Millisecond
	// isolatedAfter is how long a host that cannot reach the store must have no contact with its peers to count as isolated.
	isolatedAfter = 800 * time.Millisecond
	// storeTimeout bounds one call to the store; a slow store takes 50 times its usual 4 ms.
	storeTimeout = 700 * time.Millisecond
	// maxCapacityDelay is the extra wait before an acquisition for a host whose processor share is close to zero.
	maxCapacityDelay = 400 * time.Millisecond
	// slowerHostDelay is the extra wait of a host with a preferred one in its data centre. Two hosts may see the last
	// renewal up to heartbeatPeriod apart, and read the lease's row up to retryPeriod later.
	slowerHostDelay = heartbeatPeriod + 2*retryPeriod
	// minOutage is how long the store must be unreachable to count as an outage, after which the owner gets time to renew its
	// lease. Single failed calls are not an outage.
	minOutage = 500 * time.Millisecond
	// cellDelay is the extra wait for each other cell that a host owns, which spreads the cells over hosts. It is longer
	// than slowerHostDelay, so that a slower host without a cell precedes a faster one with a cell.
	cellDelay = 1200 * time.Millisecond
	// maxVacantJitter is longer than the period of heartbeats, whose responses notify hosts of new cells.
	maxVacantJitter = time.Second
)

// Table and keys of the cells' rows.
const (
	TableCell = "cell"
	RowLease  = "lease"
	RowChain  = "chain" // changed by every write of the owner outside the partitions
)

// View is what this host knows of the lease.
type View struct {
	Owner          cwcellport.EntryHost
	OwnerKnown     bool      // the lease is known and not released
	IsOwner        bool      // this host has acquired the lease, which may have expired since
	ValidUntil     time.Time // expiry of this host's last lease
	RenewedAt      time.Time // when this host sent its last successful acquisition or renewal; no later owner existed then
	RenewalFailing bool      // this host is the owner and has not renewed its lease for renewalFailingAfter
	LeaseVersion   uint64    // version of the lease's row; 0 if unknown
	Fence          uint64    // of the known owner
	Cells          int       // number of cells that the lease records; 0 or 1 for a single one
}

// Elector is the duty that acquires and renews the lease of one cell, or follows its owner.
type Elector struct {
	opts            Options
	inbox           *cwring.Ring[event]
	view            atomic.Pointer[View]
	storeOK         atomic.Bool  // the store responded to the last call
	storeLostAt     atomic.Int64 // last start of store failures, in Unix nanoseconds
	storeRestoredAt atomic.Int64 // end of the last outage, in Unix nanoseconds
	lastContactAt   atomic.Int64 // last contact that shows that this host is not isolated, in Unix nanoseconds
	hasRemotePeers  atomic.Bool  // there are entry hosts in other data centres
	resigned        atomic.Bool  // this host drains: it acquires no lease

	lease            cwcellcodec.Lease
	rowVersion       uint64    // version of the lease's row; 0: not read yet, or there is no row
	versionSeenAt    time.Time // when this host first read rowVersion
	vacantSince      time.Time // when this host first found no lease
	isOwner          bool
	fence            uint64 // of this host's last lease, as are the next two
	validUntil       time.Time
	renewedAt        time.Time            // start of the last successful renewal
	priorExpiry      time.Time            // PriorLeaseExpiry of this host's last grant
	formerOwners     cwclock.FormerOwners // those of this host's last grant
	nextRenewalAt    time.Time
	failedHeartbeats int          // consecutive heartbeats without a response
	peerQueryCount   int          // requests to peers for the owner; selects the next peer
	requestedCells   atomic.Int64 // number of cells for the next division
}

// event is a message to the elector.
type event string

const (
	eventTick       event = "tick"
	eventTakeOver   event = "take-over"
	eventResign     event = "leave"
	eventStepDown   event = "yield"
	eventSuperseded event = "deposed"
	eventDivide     event = "divide"
)

// New returns an elector that does not act before Start.
func New(opts Options) *Elector {
	e := &Elector{opts: opts, inbox: cwring.New[event](16)}
	e.view.Store(&View{})
	return e
}

// Start runs the elector and returns the function that stops it without releasing the lease.
func (e *Elector) Start() (stop func()) { return cwduty.Start("tenure", e.run) }

// View returns what this host knows of the lease.
func (e *Elector) View() View { return *e.view.Load() }

// HoldsLease reports whether this host holds a lease that is valid at now.
func (e *Elector) HoldsLease(now time.Time) bool {
	v := e.view.Load()
	return v.IsOwner && now.Before(v.ValidUntil)
}

// RecordContact records a call or response from an entry host in a data centre. With several data centres, hosts in this one do
// not count, as they may be isolated together.
func (e *Elector) RecordContact(dataCentre cwmodel.DataCentre) {
	if dataCentre != e.opts.Self.DataCentre {
		e.hasRemotePeers.Store(true)
	} else if e.hasRemotePeers.Load() {
		return
	}
	e.lastContactAt.Store(e.opts.Timer.Now().UnixNano())
}

// Isolated reports whether this host reaches neither the store nor an entry host whose contact counts. Its callers are then
// better served by hosts in other data centres. In a global outage of the store hosts still reach each other and are not
// isolated, since no other host would serve the callers better.
func (e *Elector) Isolated() bool {
	return !e.storeOK.Load() && e.opts.Timer.Now().Sub(time.Unix(0, e.lastContactAt.Load())) > isolatedAfter
}

// TakeOver makes the elector try to acquire a released lease at once.
func (e *Elector) TakeOver() { e.inbox.Offer(eventTakeOver) }

// Resign releases the lease and prevents further acquisitions.
func (e *Elector) Resign() {
	e.resigned.Store(true)
	e.inbox.Offer(eventResign)
}

// StepDown releases the lease in favour of a faster host. This host may acquire it again later.
func (e *Elector) StepDown() { e.inbox.Offer(eventStepDown) }

// Divide makes the elector of the first cell acquire a new lease for a deployment of several cells.
func (e *Elector) Divide(cells int) {
	e.requestedCells.Store(int64(cells))
	e.inbox.Offer(eventDivide)
}

// ReportSuperseded makes the elector read the lease again, after a worker or the store gave evidence of a later owner.
func (e *Elector) ReportSuperseded() { e.inbox.Offer(eventSuperseded) }

// run handles one event after another until ctx ends; if none arrives before the next check is due, the event is a tick.
func (e *Elector) run(ctx context.Context) {
	wait := time.Duration(0)
	for {
		cancel := e.opts.Timer.After(wait, func(time.Time) { e.inbox.Offer(eventTick) })
		ev, ok := e.inbox.Take(ctx)
		cancel()
		if !ok {
			return
		}
		wait = e.handle(ev)
		e.publishView()
	}
}

// handle processes one event, then renews the lease or follows its owner, and returns the time until the next check. An owner that resigns
// releases the lease at the next event of any kind, as its own event may not have fit in the inbox.
func (e *Elector) handle(ev event) (wait time.Duration) {
	switch {
	case e.isOwner && (ev == eventResign || ev == eventStepDown || e.resigned.Load()):
		e.release()
	case ev == eventSuperseded && e.isOwner:
		e.verifyLease()
	case ev == eventDivide && e.isOwner:
		e.divide()
	case ev == eventTakeOver && !e.isOwner && !e.resigned.Load():
		if e.readLease() && e.lease.Released {
			e.acquire("hand-over")
		}
	case e.isOwner:
		return e.renew()
	}
	if e.isOwner {
		return e.renew()
	}
	return e.follow()
}

// verifyLease reads the lease after a report of a later owner. This host stops being the owner if there is one, or if the lease
// cannot be read.
func (e *Elector) verifyLease() {
	if !e.readLease() && e.isOwner {
		e.loseLease(cwcellcodec.Lease{}) // the later owner is unknown
	}
}

// publishView updates, from the elector's state, the view that other duties read.
func (e *Elector) publishView() {
	now := e.opts.Timer.Now()
	v := View{
		Owner:        cwcellport.EntryHost{ID: e.lease.Holder, DataCentre: e.lease.DataCentre, Address: e.lease.Address},
		OwnerKnown:   e.rowVersion > 0 && !e.lease.Released,
		IsOwner:      e.isOwner,
		ValidUntil:   e.validUntil,
		RenewedAt:    e.renewedAt,
		LeaseVersion: e.rowVersion,
		Fence:        e.lease.Fence,
		Cells:        e.lease.Cells,
	}
	v.RenewalFailing = e.isOwner && now.Sub(e.renewedAt) > renewalFailingAfter
	e.view.Store(&v)
}
