// Package cwlease keeps the lease of a cell: it takes, renews and releases the row that names the cell's owner.
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
	"currantward/internal/core/cwlayout"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwcellport"
)

// Options configure a keeper.
type Options struct {
	Cell  cwlayout.Cell
	Cells int // of the deployment; 0 where only the first cell's lease tells
	Self  cwcellport.EntryHost
	Store cwcellport.Store
	Peers cwcellport.Peers
	Timer *cwtimer.Service // its clock goes on through suspensions
	Log   *logrus.Logger

	// Capacity is the host's share of a processor; slower hosts let faster ones take the lease first.
	Capacity float64
	// TaskLease is how long the owner lets tasks go on without a renewal of their leases.
	TaskLease time.Duration
	// StartWindow is how long a start order of an earlier owner may travel.
	StartWindow time.Duration

	// Acquired is called when this host has become the owner.
	Acquired func(Grant)
	// Lost is called when another host has, or when this one has released the lease.
	Lost func()
	// Created is called with the keeper before its duty runs.
	Created func(*Elector)
	// Successors returns entry hosts that the owner has named, the best successors first.
	Successors func() []cwcellport.EntryHost
	// OtherCells returns how many cells this host owns.
	OtherCells func() int
	// CellsChanged is called once a lease says that there are several cells.
	CellsChanged func(cells int)
	// ResponseReceived is called with each answer of the owner to a pulse.
	ResponseReceived func(cwcellport.HeartbeatResponse)
}

// Grant is what an owner knows about its own lease.
type Grant struct {
	Fence        uint64 // larger for each later owner; the version of the row's taking
	Term         int    // counts the owners
	ChainVersion uint64 // of the row that every write of the owner moves
	// PriorLeaseExpiry is when everything that former owners may have left on a silent worker is over.
	PriorLeaseExpiry time.Time
	Layout           cwlayout.Layout
}

// Bounds of the lease.
const (
	// TTL is how long an owner acts after its last renewal. A successor may come earlier: workers refuse the former owner's
	// fencing token, and only what runs on workers that do not answer has to wait for the end of the former lease.
	TTL = 3 * time.Second
	// renewPeriod lets several renewals be lost before the lease lapses.
	renewPeriod = 500 * time.Millisecond
	// unwellAfter is how long renewals may fail before the owner asks others to take over.
	unwellAfter = 1100 * time.Millisecond
	// staleAfter is how long the lease's row must stand still before a host that cannot reach the owner takes it.
	staleAfter = 950 * time.Millisecond
	// pulsePeriod bounds how old the numbers of waiting jobs become, see the users' rule on them (2 s).
	pulsePeriod = 500 * time.Millisecond
	// retryPeriod is the pace of a host that looks for an owner.
	retryPeriod = 150 * time.Millisecond
	// shortestWait keeps a host that waits for a lease to become stale from asking without a pause.
	shortestWait = 20 * time.Millisecond
	// isolatedAfter is how long a host that cannot reach the store has to hear nothing from its peers to count as isolated.
	isolatedAfter = 800 * time.Millisecond
	// callTimeout bounds one call to the store; a slow store takes 50 times its 4 ms.
	callTimeout = 700 * time.Millisecond
	// slowestDelay is how much longer a host without a share of a processor would wait before it takes a stale lease.
	slowestDelay = 400 * time.Millisecond
	// followerDelay is how much longer a host waits that has a faster one in its data centre. Hosts see the last renewal up
	// to pulsePeriod apart, and ask for the lease's row up to retryPeriod later.
	followerDelay = pulsePeriod + 2*retryPeriod
	// outage is how long the store must be lost for its return to give the owner time to renew its lease. Single calls that
	// fail are none.
	outage = 500 * time.Millisecond
	// burdenDelay is how much longer a host waits for each other cell that it owns, so that cells spread over hosts. It is
	// longer than followerDelay: slower hosts come before it.
	burdenDelay = 1200 * time.Millisecond
	// firstSpread is longer than the pulses by which hosts hear of new cells are apart.
	firstSpread = time.Second
	// ClockDrift is by how much a worker's clock may be slow; see the users' protocol.
	ClockDrift = 0.02
)

// Tables and names of the cells' own rows.
const (
	TableCell = "cell"
	RowLease  = "lease"
	RowChain  = "chain" // moved by every write of the owner that is not in one part
)

// View is what this host believes about the lease.
type View struct {
	Owner          cwcellport.EntryHost
	Known          bool
	IsOwner        bool
	Until          time.Time // end of the own lease
	RenewalFailing bool
	Version        uint64
	Fence          uint64
	Cells          int // of the deployment, as the first cell's lease says
}

// Elector is the duty that keeps the lease.
type Elector struct {
	opts    Options
	inbox   *cwring.Ring[event]
	view    atomic.Pointer[View]
	storeOK atomic.Bool
	lost    atomic.Int64 // when the store was last lost, in Unix nanoseconds
	back    atomic.Int64 // when it was regained after an outage, in Unix nanoseconds
	met     atomic.Int64 // when an entry host of elsewhere last answered or called, in Unix nanoseconds
	several atomic.Bool  // there are entry hosts of other data centres
	leaving atomic.Bool

	lease       cwcellcodec.Lease
	version     uint64 // of the lease's row; 0: none is known
	seen        time.Time
	vacant      time.Time // when this host first saw that nobody holds the lease
	holding     bool
	fence       uint64
	until       time.Time
	renewed     time.Time
	nextRenewal time.Time
	failed      int          // pulses without an answer
	asked       int          // questions to peers about the owner
	wanted      atomic.Int64 // cells that the owner wants the deployment to be divided into
}

// event is what wakes the keeper.
type event string

const (
	eventTick     event = "tick"
	eventTakeOver event = "take-over"
	eventLeave    event = "leave"
	eventYield    event = "yield"
	eventDeposed  event = "deposed"
	eventDivide   event = "divide"
)

// Start runs a keeper and returns the function that stops it without releasing the lease.
func Start(opts Options) (stop func()) {
	k := &Elector{opts: opts, inbox: cwring.New[event](16)}
	k.view.Store(&View{})
	opts.Created(k)
	return cwduty.Start("tenure", k.run)
}

// View returns what the host believes about the lease.
func (k *Elector) View() View { return *k.view.Load() }

// HoldsLease reports whether this host may act as the owner at now.
func (k *Elector) HoldsLease(now time.Time) bool {
	v := k.view.Load()
	return v.IsOwner && now.Before(v.Until)
}

// RecordContact notes that an entry host of a data centre has called or answered. Where there are several data centres, those of this
// one prove nothing: they may be cut off together.
func (k *Elector) RecordContact(dataCentre cwmodel.DataCentre) {
	if dataCentre != k.opts.Self.DataCentre {
		k.several.Store(true)
	} else if k.several.Load() {
		return
	}
	k.met.Store(k.opts.Timer.Now().UnixNano())
}

// Isolated reports whether the host reaches neither the store nor any entry host of elsewhere. Its callers are better served by
// the hosts of other data centres; in an outage of the store for all they are not.
func (k *Elector) Isolated() bool {
	return !k.storeOK.Load() && k.opts.Timer.Now().Sub(time.Unix(0, k.met.Load())) > isolatedAfter
}

// TakeOver has the keeper try to take the lease at once.
func (k *Elector) TakeOver() { k.inbox.Offer(eventTakeOver) }

// Leave has the keeper release the lease, and keeps it from taking one again.
func (k *Elector) Leave() {
	k.leaving.Store(true)
	k.inbox.Offer(eventLeave)
}

// StepDown has the keeper release the lease, for a host that can do more.
func (k *Elector) StepDown() { k.inbox.Offer(eventYield) }

// Divide has the keeper of the first cell end its tenure and begin one of a deployment of several cells.
func (k *Elector) Divide(cells int) {
	k.wanted.Store(int64(cells))
	k.inbox.Offer(eventDivide)
}

// Superseded tells the keeper that a worker has seen a later owner.
func (k *Elector) Superseded() { k.inbox.Offer(eventDeposed) }

func (k *Elector) run(ctx context.Context) {
	wait := time.Duration(0)
	for {
		cancel := k.opts.Timer.After(wait, func(time.Time) { k.inbox.Offer(eventTick) })
		e, ok := k.inbox.Take(ctx)
		cancel()
		if !ok {
			return
		}
		wait = k.handle(e)
		k.publish()
	}
}

func (k *Elector) handle(e event) (wait time.Duration) {
	switch {
	case (e == eventLeave || e == eventYield) && k.holding:
		k.release()
	case e == eventDeposed && k.holding:
		k.depose()
	case e == eventDivide && k.holding:
		k.divide()
	case e == eventTakeOver && !k.holding && !k.leaving.Load():
		if k.readLease() && k.lease.Released {
			k.take("hand-over")
		}
	case k.holding:
		return k.renew()
	}
	if k.holding {
		return k.renew()
	}
	return k.follow()
}

// depose ends the tenure on the word of a worker or of the store that a later owner has come.
func (k *Elector) depose() {
	if !k.readLease() && k.holding {
		k.lose(cwcellcodec.Lease{})
	}
}

// publish makes the present view visible to the other duties.
func (k *Elector) publish() {
	now := k.opts.Timer.Now()
	v := View{
		Owner:   cwcellport.EntryHost{ID: k.lease.Holder, DataCentre: k.lease.DataCentre, Address: k.lease.Address},
		Known:   k.version > 0 && !k.lease.Released,
		IsOwner: k.holding,
		Until:   k.until,
		Version: k.version,
		Fence:   k.lease.Fence,
		Cells:   k.lease.Cells,
	}
	v.RenewalFailing = k.holding && now.Sub(k.renewed) > unwellAfter
	k.view.Store(&v)
}
