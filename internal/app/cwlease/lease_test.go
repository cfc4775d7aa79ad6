package cwlease

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/adapter/cwcellcodec"
	"currantward/internal/adapter/cwcellmemory"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwring"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwclock"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwcellport"
)

// harness runs electors over one store, with a manual clock and without their duties.
type harness struct {
	timer      *cwtimer.Manual
	store      *cwcellmemory.Store
	peer       func(addr netip.AddrPort) (cwcellport.HeartbeatResponse, error)
	grants     map[cwmodel.HostID]Grant
	successors []cwcellport.EntryHost
	otherCells map[cwmodel.HostID]int // number of other cells that a host owns
	cells      int                    // last number of cells that an elector reported
}

// newHarness returns a harness with an empty store, in which no host responds to heartbeats.
func newHarness() *harness {
	timer := cwtimer.NewManual(time.Unix(1000, 0))
	return &harness{
		timer: timer, store: cwcellmemory.NewStore(timer.Service), grants: map[cwmodel.HostID]Grant{},
		peer: func(netip.AddrPort) (cwcellport.HeartbeatResponse, error) {
			return cwcellport.HeartbeatResponse{}, cwfault.New(cwfault.Unavailable, "no such host")
		},
	}
}

// elector returns an elector of the first cell on a host of its own, without starting its duty.
func (h *harness) elector(id cwmodel.HostID, port uint16) *Elector {
	self := cwcellport.EntryHost{ID: id, Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)}
	e := &Elector{opts: Options{
		Self: self, Store: h.store.Port(4), Timer: h.timer.Service, Log: cwlog.Discard(), Capacity: 1,
		TaskLease: 3 * time.Second, MaxTaskLease: 6 * time.Second, StartWindow: 2 * time.Second,
		Peers:           cwcellport.Peers{Heartbeat: func(a netip.AddrPort, _ cwcellport.Heartbeat) (cwcellport.HeartbeatResponse, error) { return h.peer(a) }},
		OnLeaseAcquired: func(t Grant) { h.grants[id] = t }, OnLeaseLost: func() { delete(h.grants, id) },
		OnHeartbeatResponse: func(cwcellport.HeartbeatResponse) {}, Successors: func() []cwcellport.EntryHost { return h.successors },
		ConfigurationVersion: func() uint64 { return 0 },
		OtherCells:           func() int { return h.otherCells[id] }, OnCellCount: func(cells int) { h.cells = cells },
	}}
	e.view.Store(&View{})
	return e
}

// run makes electors handle a tick every 50 ms for a duration.
func (h *harness) run(d time.Duration, electors ...*Elector) {
	for end := h.timer.Now().Add(d); h.timer.Now().Before(end); h.timer.Advance(50 * time.Millisecond) {
		for _, e := range electors {
			e.handle(eventTick)
			e.publishView()
		}
	}
}

// TestOneHostTakesTheLease checks that one host at a time owns the cell, and that the fence grows with each owner.
func TestOneHostTakesTheLease(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	first, second := h.elector("a", 1), h.elector("b", 2)
	h.run(100*time.Millisecond, first, second)
	is.True(first.HoldsLease(h.timer.Now()))
	is.True(!second.HoldsLease(h.timer.Now()))
	is.Equal(h.grants["a"].Term, 1)

	h.run(2*staleAfter, second) // the first host has failed
	is.True(second.HoldsLease(h.timer.Now()))
	is.True(h.grants["b"].Fence > h.grants["a"].Fence)
	is.True(h.grants["b"].PriorLeaseExpiry.After(h.timer.Now()))

	first.handle(eventTick)
	is.True(!first.View().IsOwner || !first.isOwner)
}

// TestRenewedLeaseIsNotTaken guards against a takeover by a host that cannot reach the owner while the owner still renews the
// lease.
func TestRenewedLeaseIsNotTaken(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	owner, other := h.elector("a", 1), h.elector("b", 2)
	h.run(100*time.Millisecond, owner)
	h.run(10*time.Second, owner, other) // heartbeats get no response
	is.True(owner.HoldsLease(h.timer.Now()))
	is.True(!other.HoldsLease(h.timer.Now()))
}

// TestFailingOwnerIsReplacedOnce guards against a second takeover: a host to which the previous owner reported failing renewals
// must not acquire the lease from that owner's successor.
func TestFailingOwnerIsReplacedOnce(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	owner, second, third := h.elector("a", 1), h.elector("b", 2), h.elector("c", 3)
	h.run(100*time.Millisecond, owner, second, third)
	h.peer = func(addr netip.AddrPort) (cwcellport.HeartbeatResponse, error) {
		return cwcellport.HeartbeatResponse{IsOwner: true, RenewalFailing: addr.Port() == 1, LeaseVersion: 1}, nil
	}
	second.follow()
	is.True(second.isOwner)
	third.follow()
	is.True(!third.isOwner)
	is.Equal(third.lease.Holder, cwmodel.HostID("b"))
}

// TestFasterHostsTakeAStaleLeaseFirst checks that a slower host of a data centre waits for a faster one to acquire the lease,
// and acquires it if the faster one is down.
func TestFasterHostsTakeAStaleLeaseFirst(t *testing.T) {
	for _, renewalFailing := range []bool{false, true} {
		is := is.New(t)
		h := newHarness()
		owner, fast, slow := h.elector("a", 1), h.elector("b", 2), h.elector("c", 3)
		h.successors = []cwcellport.EntryHost{fast.opts.Self, slow.opts.Self}
		h.run(100*time.Millisecond, owner)
		if renewalFailing {
			h.peer = func(netip.AddrPort) (cwcellport.HeartbeatResponse, error) {
				return cwcellport.HeartbeatResponse{IsOwner: true, RenewalFailing: true, LeaseVersion: 1}, nil
			}
		}
		slow.follow()
		is.True(!slow.isOwner)
		h.run(staleAfter+heartbeatPeriod, slow)
		is.True(!slow.isOwner)
		h.run(slowerHostDelay, slow)
		is.True(slow.isOwner)
	}
}

// withPriorLeases returns a lease that says how long the leases of the owners before its holder may last.
func withPriorLeases(l cwcellcodec.Lease, d time.Duration) cwcellcodec.Lease {
	l.SetPriorLeases(d)
	return l
}

// TestPriorLeaseExpiry checks when runs that a previous owner may have left on unreachable workers count as ended.
func TestPriorLeaseExpiry(t *testing.T) {
	longest := time.Duration(float64(3*time.Second) * (1 + 2*cwclock.Drift)) // longest lease on a worker
	cases := []struct {
		name      string
		previous  cwcellcodec.Lease
		sinceSeen time.Duration // since the row's version was first read
		expected  time.Duration
	}{
		{"renewed a moment ago", cwcellcodec.Lease{Holder: "b"}, 0, TTL + longest},
		{"stale", cwcellcodec.Lease{Holder: "b"}, staleAfter, TTL - staleAfter + longest},
		{"over for long", cwcellcodec.Lease{Holder: "b"}, time.Hour, longest},
		{"released", cwcellcodec.Lease{Holder: "b", Released: true}, 0, longest},
		{"held by the host's earlier life", cwcellcodec.Lease{Holder: "a", Address: netip.MustParseAddrPort("127.0.0.1:1")}, 0, longest},
		{"held under the host's name at another address", cwcellcodec.Lease{Holder: "a"}, 0, TTL + longest},
		{"released, earlier owner's leases last longer", withPriorLeases(cwcellcodec.Lease{Holder: "b", Released: true}, 6*time.Second), 0, 6 * time.Second},
		{"the same, seen a while ago", withPriorLeases(cwcellcodec.Lease{Holder: "b", Released: true}, 6*time.Second), time.Second, 5 * time.Second},
		{"stale, earlier owner's leases end sooner", withPriorLeases(cwcellcodec.Lease{Holder: "b"}, time.Second), staleAfter, TTL - staleAfter + longest},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness()
			now := h.timer.Now()
			is.Equal(h.elector("a", 1).priorLeaseExpiry(tc.previous, now.Add(-tc.sinceSeen), now), now.Add(tc.expected))
		})
	}
}

// TestPriorLeaseExpiryOutlastsFurtherOwners guards against a task that runs twice on a worker that is cut off with its former owner: the
// next owner waits until the leases there have expired, but is replaced before, and its successors forget that bound.
func TestPriorLeaseExpiryOutlastsFurtherOwners(t *testing.T) {
	release := func(h *harness, owner *Elector) *Elector {
		owner.handle(eventResign)
		return h.elector("next-"+owner.opts.Self.ID, owner.opts.Self.Address.Port()+1)
	}
	restart := func(h *harness, owner *Elector) *Elector {
		return h.elector(owner.opts.Self.ID, owner.opts.Self.Address.Port())
	}
	divide := func(_ *harness, owner *Elector) *Elector {
		owner.requestedCells.Store(2)
		owner.handle(eventDivide)
		return owner
	}
	cases := []struct {
		name    string
		changes []func(h *harness, owner *Elector) *Elector // each returns the host that owns the cell next
	}{
		{"released", []func(*harness, *Elector) *Elector{release}},
		{"restarted", []func(*harness, *Elector) *Elector{restart}},
		{"divided", []func(*harness, *Elector) *Elector{divide}},
		{"released twice", []func(*harness, *Elector) *Elector{release, release}},
		{"released, then restarted, then released", []func(*harness, *Elector) *Elector{release, restart, release}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness()
			cutOff, owner := h.elector("cut-off", 1), h.elector("b", 11)
			h.run(100*time.Millisecond, cutOff)
			h.run(1500*time.Millisecond, owner) // the row of the lease stands still
			is.True(owner.isOwner)
			expiry := h.grants["b"].PriorLeaseExpiry
			for _, change := range tc.changes {
				owner = change(h, owner)
				h.run(300*time.Millisecond, owner)
				is.True(owner.isOwner)
				is.True(!h.grants[owner.opts.Self.ID].PriorLeaseExpiry.Before(expiry))
			}
		})
	}
}

// TestPriorLeaseExpiryEnds guards against a bound that grows with each renewal or change of the owner, so that adopted tasks never start.
func TestPriorLeaseExpiryEnds(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	cutOff, b := h.elector("cut-off", 1), h.elector("b", 2)
	h.run(100*time.Millisecond, cutOff)
	h.run(10*time.Second, b)
	is.Equal(b.lease.PriorLeasesAfter(h.timer.Now()), h.timer.Now())
	b.handle(eventResign)
	c := h.elector("c", 3)
	h.run(300*time.Millisecond, c)
	is.True(!h.grants["c"].PriorLeaseExpiry.After(h.timer.Now().Add(4 * time.Second)))
}

// TestCallBoundsStayWithTheirOwners guards against a wait for the calls of a former owner that begins anew with each change of the owner: its bound
// stays, whoever owns the cell and however often that changes, and is dropped once it has passed.
func TestCallBoundsStayWithTheirOwners(t *testing.T) {
	cases := []struct {
		name    string
		pause   time.Duration // between the changes
		changes int
		listed  int // owners whose calls are still bounded afterwards, with the last one that is not
	}{
		{"released once", 2 * time.Second, 1, 1},
		{"each 2 s", 2 * time.Second, 4, 4},
		{"each 16 s", 16 * time.Second, 4, 3},
		{"each 40 s", 40 * time.Second, 3, 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness()
			owner := h.elector("host-0", 1)
			h.run(time.Second, owner)
			var first time.Time
			for n := range tc.changes {
				owner.handle(eventResign)
				owner = h.elector(cwmodel.HostID(fmt.Sprintf("host-%d", n+1)), uint16(n+2))
				released := h.timer.Now()
				h.run(tc.pause, owner)
				is.True(owner.isOwner)
				g := h.grants[owner.opts.Self.ID]
				expiry, ok := g.FormerOwners.CallsExpiry(1)
				is.True(ok)
				if n == 0 {
					first = expiry
					is.True(first.After(released.Add(cwclock.MaxCallDelay + 6*time.Second)))
				}
				// the age of a row is not known when it is read for the first time
				is.True(expiry.Sub(first) <= time.Duration(n)*renewPeriod || !expiry.After(released.Add(renewPeriod)))
				last, _ := g.FormerOwners.CallsExpiry(g.Term - 1)
				is.True(last.After(released.Add(cwclock.MaxCallDelay + 6*time.Second)))
				is.Equal(len(g.FormerOwners) <= tc.listed, true)
			}
			is.Equal(len(h.grants[owner.opts.Self.ID].FormerOwners), tc.listed)
		})
	}
}

// TestStepDownReleasesTheLease checks that an owner that steps down releases the lease, and acquires it again if no other host
// does.
func TestStepDownReleasesTheLease(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	owner := h.elector("a", 1)
	h.run(100*time.Millisecond, owner)
	owner.handle(eventStepDown)
	is.True(!owner.isOwner)
	is.True(owner.lease.Released)
	h.run(time.Second, owner)
	is.True(owner.isOwner)
}

// TestResignationDoesNotDependOnItsEvent guards against a host that keeps renewing its lease until it exits, so that its cell is handed over only
// once the lease is stale: reports of a later owner fill the inbox, and the event of the resignation is lost.
func TestResignationDoesNotDependOnItsEvent(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	owner := h.elector("a", 1)
	h.run(100*time.Millisecond, owner)
	owner.inbox = cwring.New[event](1)
	owner.ReportSuperseded()
	owner.Resign()
	ev, ok := owner.inbox.Take(t.Context())
	is.True(ok)
	is.Equal(ev, eventSuperseded)
	owner.handle(ev)
	is.True(!owner.isOwner)
	is.True(owner.readLease())
	is.True(owner.lease.Released)
}

// TestDividingTakesALaterFence checks that a division gives the lease a later fence, and that other hosts read the number of
// cells from its row. If the response to the write is lost, the owner must use the number in the row.
func TestDividingTakesALaterFence(t *testing.T) {
	cases := []struct {
		name  string
		fault cwcellmemory.Fault
		cells int // number in the row
	}{
		{"done", cwcellmemory.FaultNone, 3},
		{"refused", cwcellmemory.FaultUnavailable, 0},
		{"lost", cwcellmemory.FaultRequestLost, 0},
		{"done without an answer", cwcellmemory.FaultResponseLost, 3},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness()
			e, other := h.elector("a", 1), h.elector("b", 2)
			h.run(100*time.Millisecond, e)
			fence := e.fence
			h.store.InjectFault = func(cwcellport.Transaction) cwcellmemory.Fault { return tc.fault }
			e.requestedCells.Store(3)
			e.handle(eventDivide)
			h.store.InjectFault = nil
			h.run(time.Second, e) // acquires its own lease again
			is.True(e.HoldsLease(h.timer.Now()))
			is.True(e.fence > fence)
			is.Equal(h.grants["a"].Layout.Cells, tc.cells)
			h.run(100*time.Millisecond, other)
			is.Equal(other.View().Cells, tc.cells)
			is.Equal(h.cells, tc.cells)
		})
	}
}

// TestCellsSpreadOverHosts checks that a new cell is acquired by a host without a cell before one that owns another cell.
func TestCellsSpreadOverHosts(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.otherCells = map[cwmodel.HostID]int{"a": 1}
	busy, free := h.elector("a", 1), h.elector("b", 2)
	busy.opts.Cell, free.opts.Cell = 1, 1
	busy.opts.Cells, free.opts.Cells = 2, 2
	h.run(500*time.Millisecond, busy)
	is.True(!busy.isOwner)
	h.run(maxVacantJitter+100*time.Millisecond, free)
	is.True(free.isOwner)
	h.run(cellDelay, busy)
	is.True(!busy.isOwner)
	is.Equal(h.grants["b"].Layout.Cells, 2)
	is.Equal(h.store.Keys(TableCell), []string{"chain-1", "lease-1"})
}

// TestRenewalWithALostResponse checks that an owner keeps its fence if a renewal succeeds but its response is lost.
func TestRenewalWithALostResponse(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	e := h.elector("a", 1)
	h.run(100*time.Millisecond, e)
	fence := e.fence
	lost := false
	h.store.InjectFault = func(cwcellport.Transaction) cwcellmemory.Fault {
		if lost {
			return cwcellmemory.FaultNone
		}
		lost = true
		return cwcellmemory.FaultResponseLost
	}
	h.run(5*time.Second, e)
	is.True(lost)
	is.True(e.HoldsLease(h.timer.Now()))
	is.Equal(e.fence, fence)
}

// TestOutageExpiresTheLease checks that an owner stops acting when its lease expires in an outage of the store, and resumes
// under the same fence if no other host has acquired it.
func TestOutageExpiresTheLease(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	e := h.elector("a", 1)
	h.run(100*time.Millisecond, e)
	fence, down := e.fence, true
	h.store.Down = func() bool { return down }
	h.run(TTL, e)
	is.True(!e.HoldsLease(h.timer.Now()))
	is.True(e.View().RenewalFailing)
	down = false
	h.run(time.Second, e)
	is.True(e.HoldsLease(h.timer.Now()))
	is.Equal(e.fence, fence)
}

// TestRenewedAtIsOfASuccessfulRenewal guards against an owner that takes itself for the only one after a renewal which may have failed:
// another host may have acquired the lease before it.
func TestRenewedAtIsOfASuccessfulRenewal(t *testing.T) {
	cases := []struct {
		name  string
		fault cwcellmemory.Fault
		moves bool
	}{
		{"done", cwcellmemory.FaultNone, true},
		{"refused", cwcellmemory.FaultUnavailable, false},
		{"lost", cwcellmemory.FaultRequestLost, false},
		{"done without an answer", cwcellmemory.FaultResponseLost, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness()
			e := h.elector("a", 1)
			h.run(100*time.Millisecond, e)
			renewedAt := e.View().RenewedAt
			is.True(!renewedAt.IsZero())
			h.store.InjectFault = func(cwcellport.Transaction) cwcellmemory.Fault { return tc.fault }
			h.run(renewPeriod+100*time.Millisecond, e)
			is.Equal(e.View().RenewedAt.After(renewedAt), tc.moves)
		})
	}
}

// TestOwnerKeepsTheLeaseThroughAnOutage guards against a takeover from a live owner after a global outage of the store. The
// lease's row has then been unchanged for long, and other hosts may reach the store before the owner does.
func TestOwnerKeepsTheLeaseThroughAnOutage(t *testing.T) {
	unreachable := func(netip.AddrPort) (cwcellport.HeartbeatResponse, error) {
		return cwcellport.HeartbeatResponse{}, cwfault.New(cwfault.Unavailable, "cut off")
	}
	cases := []struct {
		name      string
		reachable bool
	}{
		{"the owner cannot be reached", false},
		{"the owner says that it is unwell", true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness()
			owner, other := h.elector("a", 1), h.elector("b", 2)
			h.successors = []cwcellport.EntryHost{other.opts.Self}
			h.run(100*time.Millisecond, owner)
			h.run(100*time.Millisecond, other)
			fence, down := owner.fence, true
			h.store.Down = func() bool { return down }
			if h.peer = unreachable; tc.reachable {
				h.peer = func(netip.AddrPort) (cwcellport.HeartbeatResponse, error) {
					return cwcellport.HeartbeatResponse{IsOwner: true, RenewalFailing: owner.View().RenewalFailing, LeaseVersion: owner.rowVersion}, nil
				}
			}
			h.run(5*time.Second, owner, other)
			is.True(!owner.HoldsLease(h.timer.Now()))
			down = false
			h.run(300*time.Millisecond, other) // other reaches the store first
			is.True(!other.isOwner)
			h.run(2*time.Second, owner, other)
			is.True(owner.HoldsLease(h.timer.Now()))
			is.Equal(owner.fence, fence)

			down, h.peer = true, unreachable
			h.run(5*time.Second, other) // the owner is down
			down = false
			h.run(2*time.Second, other)
			is.True(other.isOwner)
		})
	}
}

// TestIsolatedHosts checks which hosts send their callers to other hosts: those that reach neither the store nor, with several
// data centres, a host in another one.
func TestIsolatedHosts(t *testing.T) {
	cases := []struct {
		name     string
		storeOK  bool
		before   []cwmodel.DataCentre // contacts before the store failed
		recent   []cwmodel.DataCentre // recent contacts
		isolated bool
	}{
		{"reaches the store", true, nil, nil, false},
		{"an outage for all", false, []cwmodel.DataCentre{"here", "there"}, []cwmodel.DataCentre{"here", "there"}, false},
		{"its data centre is cut off", false, []cwmodel.DataCentre{"here", "there"}, []cwmodel.DataCentre{"here"}, true},
		{"it is cut off by itself", false, []cwmodel.DataCentre{"here", "there"}, nil, true},
		{"an outage where there is one data centre", false, []cwmodel.DataCentre{"here"}, []cwmodel.DataCentre{"here"}, false},
		{"cut off by itself where there is one data centre", false, []cwmodel.DataCentre{"here"}, nil, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness()
			e := h.elector("a", 1)
			e.opts.Self.DataCentre = "here"
			e.RecordStoreResult(nil)
			for _, dc := range tc.before {
				e.RecordContact(dc)
			}
			h.timer.Advance(10 * isolatedAfter)
			if !tc.storeOK {
				e.RecordStoreResult(cwfault.New(cwfault.Unavailable, "no answer"))
			}
			for _, dc := range tc.recent {
				e.RecordContact(dc)
			}
			is.Equal(e.Isolated(), tc.isolated)
		})
	}
}

// TestUnreadableLeaseIsIgnored checks that a malformed lease row neither crashes a host nor changes its view.
func TestUnreadableLeaseIsIgnored(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	e := h.elector("a", 1)
	e.lease = cwcellcodec.Lease{Holder: "b"}
	is.True(!e.applyLease(cwcellport.Row{Value: []byte("{"), Version: 7}))
	is.Equal(e.lease.Holder, cwmodel.HostID("b"))
}
