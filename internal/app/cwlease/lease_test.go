package cwlease

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/adapter/cwcellcodec"
	"currantward/internal/adapter/cwcellmemory"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwcellport"
)

// bench is keepers over one store whose duties are driven by hand.
type bench struct {
	timer  *cwtimer.Manual
	store  *cwcellmemory.Store
	answer func(addr netip.AddrPort) (cwcellport.HeartbeatResponse, error)
	gained map[cwmodel.HostID]Grant
	known  []cwcellport.EntryHost
	owned  map[cwmodel.HostID]int // other cells
	cells  int
}

func newBench() *bench {
	timer := cwtimer.NewManual(time.Unix(1000, 0))
	return &bench{
		timer: timer, store: cwcellmemory.NewStore(timer.Service), gained: map[cwmodel.HostID]Grant{},
		answer: func(netip.AddrPort) (cwcellport.HeartbeatResponse, error) {
			return cwcellport.HeartbeatResponse{}, cwfault.New(cwfault.Unavailable, "no such host")
		},
	}
}

func (b *bench) keeper(id cwmodel.HostID, port uint16) *Elector {
	self := cwcellport.EntryHost{ID: id, Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)}
	k := &Elector{opts: Options{
		Self: self, Store: b.store.Port(4), Timer: b.timer.Service, Log: cwlog.Discard(), Capacity: 1,
		TaskLease: 3 * time.Second, StartWindow: 2 * time.Second,
		Peers: cwcellport.Peers{Heartbeat: func(addr netip.AddrPort, _ cwcellport.Heartbeat) (cwcellport.HeartbeatResponse, error) {
			return b.answer(addr)
		}},
		Acquired: func(t Grant) { b.gained[id] = t }, Lost: func() { delete(b.gained, id) },
		ResponseReceived: func(cwcellport.HeartbeatResponse) {}, Successors: func() []cwcellport.EntryHost { return b.known },
		OtherCells: func() int { return b.owned[id] }, CellsChanged: func(cells int) { b.cells = cells },
	}}
	k.view.Store(&View{})
	return k
}

// run lets a keeper handle ticks for a time.
func (b *bench) run(d time.Duration, keepers ...*Elector) {
	for end := b.timer.Now().Add(d); b.timer.Now().Before(end); b.timer.Advance(50 * time.Millisecond) {
		for _, k := range keepers {
			k.handle(eventTick)
			k.publish()
		}
	}
}

// TestOneHostTakesTheLease holds that the first host owns the cell and the others do not, with a fence that grows.
func TestOneHostTakesTheLease(t *testing.T) {
	is := is.New(t)
	b := newBench()
	first, second := b.keeper("a", 1), b.keeper("b", 2)
	b.run(100*time.Millisecond, first, second)
	is.True(first.HoldsLease(b.timer.Now()))
	is.True(!second.HoldsLease(b.timer.Now()))
	is.Equal(b.gained["a"].Term, 1)

	b.run(2*staleAfter, second) // the first one is gone
	is.True(second.HoldsLease(b.timer.Now()))
	is.True(b.gained["b"].Fence > b.gained["a"].Fence)
	is.True(b.gained["b"].PriorLeaseExpiry.After(b.timer.Now()))

	first.handle(eventTick)
	is.True(!first.View().IsOwner || !first.holding)
}

// TestStaleLeaseIsTakenOnlyWhileItsRowStandsStill holds that a host which cannot reach the owner leaves a lease alone that is
// renewed.
func TestStaleLeaseIsTakenOnlyWhileItsRowStandsStill(t *testing.T) {
	is := is.New(t)
	b := newBench()
	owner, other := b.keeper("a", 1), b.keeper("b", 2)
	b.run(100*time.Millisecond, owner)
	b.run(10*time.Second, owner, other) // other's pulses fail all the while
	is.True(owner.HoldsLease(b.timer.Now()))
	is.True(!other.HoldsLease(b.timer.Now()))
}

// TestUnwellOwnerIsSucceededOnce holds that a host which heard "unwell" from a former owner does not take the lease from its
// successor.
func TestUnwellOwnerIsSucceededOnce(t *testing.T) {
	is := is.New(t)
	b := newBench()
	owner, second, third := b.keeper("a", 1), b.keeper("b", 2), b.keeper("c", 3)
	b.run(100*time.Millisecond, owner, second, third)
	b.answer = func(addr netip.AddrPort) (cwcellport.HeartbeatResponse, error) {
		return cwcellport.HeartbeatResponse{IsOwner: true, RenewalFailing: addr.Port() == 1, LeaseVersion: 1}, nil
	}
	second.follow()
	is.True(second.holding)
	third.follow()
	is.True(!third.holding)
	is.Equal(third.lease.Holder, cwmodel.HostID("b"))
}

// TestFasterHostsTakeAStaleLeaseFirst holds that a host which the owner knew to be slower than another of its data centre
// leaves the lease to that one for a moment, and takes it if that one is gone.
func TestFasterHostsTakeAStaleLeaseFirst(t *testing.T) {
	for _, unwell := range []bool{false, true} {
		is := is.New(t)
		b := newBench()
		owner, fast, slow := b.keeper("a", 1), b.keeper("b", 2), b.keeper("c", 3)
		b.known = []cwcellport.EntryHost{fast.opts.Self, slow.opts.Self}
		b.run(100*time.Millisecond, owner)
		if unwell {
			b.answer = func(netip.AddrPort) (cwcellport.HeartbeatResponse, error) {
				return cwcellport.HeartbeatResponse{IsOwner: true, RenewalFailing: true, LeaseVersion: 1}, nil
			}
		}
		slow.follow()
		is.True(!slow.holding)
		b.run(staleAfter+pulsePeriod, slow)
		is.True(!slow.holding)
		b.run(followerDelay, slow)
		is.True(slow.holding)
	}
}

// TestInheritedLeasesAreBounded holds when what a former owner may have left on silent workers counts as over.
func TestInheritedLeasesAreBounded(t *testing.T) {
	longest := time.Duration(float64(3*time.Second) * (1 + 2*ClockDrift)) // of the leases on workers
	cases := []struct {
		name     string
		former   cwcellcodec.Lease
		sight    time.Duration // since the row's version was first seen
		expected time.Duration
	}{
		{"renewed a moment ago", cwcellcodec.Lease{Holder: "b"}, 0, TTL + longest},
		{"stale", cwcellcodec.Lease{Holder: "b"}, staleAfter, TTL - staleAfter + longest},
		{"over for long", cwcellcodec.Lease{Holder: "b"}, time.Hour, longest},
		{"released", cwcellcodec.Lease{Holder: "b", Released: true}, 0, longest},
		{"held by the host's earlier life", cwcellcodec.Lease{Holder: "a", Address: netip.MustParseAddrPort("127.0.0.1:1")}, 0, longest},
		{"held under the host's name at another address", cwcellcodec.Lease{Holder: "a"}, 0, TTL + longest},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench()
			now := b.timer.Now()
			is.Equal(b.keeper("a", 1).inherited(tc.former, now.Add(-tc.sight)), now.Add(tc.expected))
		})
	}
}

// TestYieldedLeaseIsReleased holds that an owner which yields gives up the lease and may take it again if nobody else does.
func TestYieldedLeaseIsReleased(t *testing.T) {
	is := is.New(t)
	b := newBench()
	owner := b.keeper("a", 1)
	b.run(100*time.Millisecond, owner)
	owner.handle(eventYield)
	is.True(!owner.holding)
	is.True(owner.lease.Released)
	b.run(time.Second, owner)
	is.True(owner.holding)
}

// TestDividingTakesALaterFence holds that a lease which divides the deployment gets a later fence, that others learn of the
// cells from its row, and that a write without an answer divides nothing that a later owner would not know of.
func TestDividingTakesALaterFence(t *testing.T) {
	cases := []struct {
		name  string
		fault cwcellmemory.Fault
		cells int // as the row says
	}{
		{"done", cwcellmemory.FaultNone, 3},
		{"refused", cwcellmemory.FaultUnavailable, 0},
		{"lost", cwcellmemory.FaultRequestLost, 0},
		{"done without an answer", cwcellmemory.FaultResponseLost, 3},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench()
			k, other := b.keeper("a", 1), b.keeper("b", 2)
			b.run(100*time.Millisecond, k)
			fence := k.fence
			b.store.InjectFault = func(cwcellport.Transaction) cwcellmemory.Fault { return tc.fault }
			k.wanted.Store(3)
			k.handle(eventDivide)
			b.store.InjectFault = nil
			b.run(time.Second, k) // it takes its own lease again
			is.True(k.HoldsLease(b.timer.Now()))
			is.True(k.fence > fence)
			is.Equal(b.gained["a"].Layout.Cells, tc.cells)
			b.run(100*time.Millisecond, other)
			is.Equal(other.View().Cells, tc.cells)
			is.Equal(b.cells, tc.cells)
		})
	}
}

// TestCellsSpreadOverHosts holds that a host which owns another cell leaves a first lease to one that owns none.
func TestCellsSpreadOverHosts(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.owned = map[cwmodel.HostID]int{"a": 1}
	busy, free := b.keeper("a", 1), b.keeper("b", 2)
	busy.opts.Cell, free.opts.Cell = 1, 1
	busy.opts.Cells, free.opts.Cells = 2, 2
	b.run(500*time.Millisecond, busy)
	is.True(!busy.holding)
	b.run(firstSpread+100*time.Millisecond, free)
	is.True(free.holding)
	b.run(burdenDelay, busy)
	is.True(!busy.holding)
	is.Equal(b.gained["b"].Layout.Cells, 2)
	is.Equal(b.store.Keys(TableCell), []string{"chain-1", "lease-1"})
}

// TestRenewalWithALostAnswer holds that an owner whose renewal was done without an answer goes on under its fence.
func TestRenewalWithALostAnswer(t *testing.T) {
	is := is.New(t)
	b := newBench()
	k := b.keeper("a", 1)
	b.run(100*time.Millisecond, k)
	fence := k.fence
	lost := false
	b.store.InjectFault = func(cwcellport.Transaction) cwcellmemory.Fault {
		if lost {
			return cwcellmemory.FaultNone
		}
		lost = true
		return cwcellmemory.FaultResponseLost
	}
	b.run(5*time.Second, k)
	is.True(lost)
	is.True(k.HoldsLease(b.timer.Now()))
	is.Equal(k.fence, fence)
}

// TestOutageEndsTheTenureInTime holds that an owner stops to act when its lease is over, and goes on under the same fence
// where nobody has taken it meanwhile.
func TestOutageEndsTheTenureInTime(t *testing.T) {
	is := is.New(t)
	b := newBench()
	k := b.keeper("a", 1)
	b.run(100*time.Millisecond, k)
	fence, down := k.fence, true
	b.store.Down = func() bool { return down }
	b.run(TTL, k)
	is.True(!k.HoldsLease(b.timer.Now()))
	is.True(k.View().RenewalFailing)
	down = false
	b.run(time.Second, k)
	is.True(k.HoldsLease(b.timer.Now()))
	is.Equal(k.fence, fence)
}

// TestOwnerKeepsTheLeaseThroughAnOutage holds that nobody takes the lease from a live owner because the store was away for
// all, though its row has stood still for long and others see the store's return first.
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
			b := newBench()
			owner, other := b.keeper("a", 1), b.keeper("b", 2)
			b.known = []cwcellport.EntryHost{other.opts.Self}
			b.run(100*time.Millisecond, owner)
			b.run(100*time.Millisecond, other)
			fence, down := owner.fence, true
			b.store.Down = func() bool { return down }
			if b.answer = unreachable; tc.reachable {
				b.answer = func(netip.AddrPort) (cwcellport.HeartbeatResponse, error) {
					return cwcellport.HeartbeatResponse{IsOwner: true, RenewalFailing: owner.View().RenewalFailing, LeaseVersion: owner.version}, nil
				}
			}
			b.run(5*time.Second, owner, other)
			is.True(!owner.HoldsLease(b.timer.Now()))
			down = false
			b.run(300*time.Millisecond, other) // it sees the return first
			is.True(!other.holding)
			b.run(2*time.Second, owner, other)
			is.True(owner.HoldsLease(b.timer.Now()))
			is.Equal(owner.fence, fence)

			down, b.answer = true, unreachable
			b.run(5*time.Second, other) // the owner dies meanwhile
			down = false
			b.run(2*time.Second, other)
			is.True(other.holding)
		})
	}
}

// TestIsolatedHosts holds which hosts send their callers elsewhere: those that reach neither the store nor a host of another
// data centre.
func TestIsolatedHosts(t *testing.T) {
	cases := []struct {
		name     string
		storeOK  bool
		before   []cwmodel.DataCentre // of the hosts that were met before the store was lost
		met      []cwmodel.DataCentre // and a moment ago
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
			b := newBench()
			k := b.keeper("a", 1)
			k.opts.Self.DataCentre = "here"
			k.RecordStoreResult(nil)
			for _, dc := range tc.before {
				k.RecordContact(dc)
			}
			b.timer.Advance(10 * isolatedAfter)
			if !tc.storeOK {
				k.RecordStoreResult(cwfault.New(cwfault.Unavailable, "no answer"))
			}
			for _, dc := range tc.met {
				k.RecordContact(dc)
			}
			is.Equal(k.Isolated(), tc.isolated)
		})
	}
}

// TestUnreadableLeaseIsLeftAlone holds that a row which nobody can read does not crash a host or change its belief.
func TestUnreadableLeaseIsLeftAlone(t *testing.T) {
	is := is.New(t)
	b := newBench()
	k := b.keeper("a", 1)
	k.lease = cwcellcodec.Lease{Holder: "b"}
	is.True(!k.seeLease(cwcellport.Row{Value: []byte("{"), Version: 7}))
	is.Equal(k.lease.Holder, cwmodel.HostID("b"))
}
