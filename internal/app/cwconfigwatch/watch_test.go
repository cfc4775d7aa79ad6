package cwconfigwatch

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwtimer"
	"currantward/internal/port/cwcellport"
)

var ownerAddr = netip.MustParseAddrPort("10.0.0.1:7720")

// harness is a watcher without its duties, a store and a peer whose responses the test sets.
type harness struct {
	*Watcher
	timer      *cwtimer.Manual
	store      *cwcellport.Configuration // in the store; nil: the calls fail
	watchedAt  uint64                    // version of the store that the latest watch waited after
	difference *cwcellport.ConfigurationDifference
	peerErr    error
}

func newHarness() *harness {
	h := &harness{timer: cwtimer.NewManual(time.Unix(1000, 0))}
	respond := func() (*cwcellport.Configuration, uint64, error) {
		if h.store == nil {
			return nil, 0, cwfault.New(cwfault.Indefinite, "no response")
		}
		return h.store, 100 * h.store.Version, nil
	}
	h.Watcher = New(Options{
		Source: cwcellport.ConfigurationSource{
			Read: func(time.Duration) (*cwcellport.Configuration, uint64, error) { return respond() },
			Watch: func(after uint64, _ time.Duration) (*cwcellport.Configuration, uint64, error) {
				h.watchedAt = after
				return respond()
			},
		},
		FetchDifference: func(netip.AddrPort, uint64) (*cwcellport.ConfigurationDifference, error) {
			return h.difference, h.peerErr
		},
		Timer: h.timer.Service, Log: cwlog.Discard(),
	})
	return h
}

// config returns a configuration of one queue.
func config(version uint64, transferTime time.Duration) *cwcellport.Configuration {
	return &cwcellport.Configuration{Version: version, Queues: []cwcellport.Queue{queue("a", int(version))}, TransferTime: transferTime}
}

// TestWhenAHostFollowsTheOwner guards against a host on a narrow link that keeps fetching the whole configuration, and against one that
// relies on an owner that is gone.
func TestWhenAHostFollowsTheOwner(t *testing.T) {
	cases := []struct {
		name         string
		transferTime time.Duration
		reported     bool
		reportAge    time.Duration
		peerFails    bool
		want         bool
	}{
		{"a wide link", maxTransferTime / 2, true, 0, false, false},
		{"an unknown link", 0, true, 0, false, false},
		{"a narrow link", 2 * maxTransferTime, true, 0, false, true},
		{"a narrow link, and the owner's last report is old", 2 * maxTransferTime, true, 2 * ownerExpiry, false, false},
		{"a narrow link without an owner", 2 * maxTransferTime, false, 0, false, false},
		{"a narrow link, and the owner has just failed to give a difference", 2 * maxTransferTime, true, 0, true, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness()
			h.store = config(3, tc.transferTime)
			_, err := h.fetchFromStore(false)
			is.NoErr(err)
			if tc.reported {
				h.ReportOwner(3, 300, ownerAddr)
			}
			if tc.peerFails {
				h.peerErr = cwfault.New(cwfault.Indefinite, "no response")
				h.fetchFromPeer(ownerAddr)
			}
			h.timer.Advance(tc.reportAge)
			is.Equal(h.followsOwner(), tc.want)
		})
	}
}

// TestHostFollowsTheOwnerAgainAfterAFailure guards against a host on a narrow link that a single failed call makes watch the store for good.
func TestHostFollowsTheOwnerAgainAfterAFailure(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.store, h.peerErr = config(3, 2*maxTransferTime), cwfault.New(cwfault.Indefinite, "no response")
	_, err := h.fetchFromStore(false)
	is.NoErr(err)
	h.fetchFromPeer(ownerAddr)
	h.timer.Advance(2 * distrustTime)
	h.ReportOwner(3, 300, ownerAddr)
	is.True(h.followsOwner())
}

// TestTransferTimeExpires guards against a host that a slow minute keeps from watching the store for good.
func TestTransferTimeExpires(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.store = config(3, 2*maxTransferTime)
	_, err := h.fetchFromStore(false)
	is.NoErr(err)
	h.timer.Advance(transferTimeExpiry - time.Second)
	h.ReportOwner(3, 300, ownerAddr)
	is.True(h.followsOwner())
	h.timer.Advance(2 * time.Second)
	h.ReportOwner(3, 300, ownerAddr)
	is.True(!h.followsOwner())
}

// TestWatchContinuesAfterADifference guards against a second transfer of a configuration that a peer has already given, when the host
// watches the store again.
func TestWatchContinuesAfterADifference(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.store = config(3, 0)
	synced, err := h.fetchFromStore(false)
	is.NoErr(err)
	owner := newIndexedConfig(config(4, 0), h.current.Load())
	h.difference = owner.since(3)
	h.difference.StoreVersion = 450
	is.True(!h.fetchFromPeer(ownerAddr))
	is.Equal(h.Version(), uint64(4))
	h.ReportOwner(4, 470, ownerAddr)
	h.ReportOwner(5, 520, ownerAddr) // a later version that this host does not have confirms nothing
	h.store = nil
	_, err = h.fetchFromStore(synced)
	is.True(err != nil)
	is.Equal(h.watchedAt, uint64(470))
}

// TestConfigurationNeverReverts guards against a slow response with an older version that replaces a newer one, from the store or a peer.
func TestConfigurationNeverReverts(t *testing.T) {
	cases := []struct {
		name  string
		fetch func(h *harness)
	}{
		{"store", func(h *harness) {
			h.store = config(4, 0)
			_, _ = h.fetchFromStore(true)
		}},
		{"peer", func(h *harness) {
			h.difference = newIndexedConfig(config(4, 0), nil).since(0)
			h.fetchFromPeer(ownerAddr)
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness()
			h.store = config(5, 0)
			_, err := h.fetchFromStore(false)
			is.NoErr(err)
			tc.fetch(h)
			is.Equal(h.Version(), uint64(5))
			policy, ok := h.Policy("h/a/")
			is.True(ok)
			is.Equal(policy.Priority, 5)
		})
	}
}

// TestRouteOfAnOutdatedHost guards against a caller who is told that a queue does not exist, by a host that knows of a later configuration
// but does not have it.
func TestRouteOfAnOutdatedHost(t *testing.T) {
	cases := []struct {
		name             string
		version          uint64 // in force; 0: none
		reported         uint64 // by a peer
		path             string
		wantFound, ready bool
	}{
		{"without a configuration", 0, 0, "/a/", false, false},
		{"a queue of the configuration in force", 3, 3, "/a/", true, true},
		{"no such queue", 3, 3, "/b/", false, true},
		{"no such queue in an older version than a peer's", 3, 4, "/b/", false, false},
		{"a queue of an older version than a peer's", 3, 4, "/a/", true, true},
		{"no such queue, and the peer is behind", 3, 2, "/b/", false, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness()
			if tc.version > 0 {
				h.store = config(tc.version, 0)
				_, err := h.fetchFromStore(false)
				is.NoErr(err)
			}
			h.ReportPeer(tc.reported, ownerAddr)
			q, ready := h.Route("h", tc.path)
			is.Equal(q != nil, tc.wantFound)
			is.Equal(ready, tc.ready)
		})
	}
}

// TestDifferenceForPeers guards against a response to a peer that this host cannot help, and against a claim that the store has no later
// configuration than one that has been replaced.
func TestDifferenceForPeers(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	_, err := h.Difference(0)
	is.Equal(cwfault.CodeOf(err), cwfault.NotSupported) // it has no configuration itself
	h.store = config(3, 0)
	_, err = h.fetchFromStore(false)
	is.NoErr(err)
	d, err := h.Difference(0)
	is.NoErr(err)
	is.Equal(d.Version, uint64(3))
	is.Equal(d.StoreVersion, uint64(300))
	_, err = h.Difference(3)
	is.Equal(cwfault.CodeOf(err), cwfault.NotSupported)
}
