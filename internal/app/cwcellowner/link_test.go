package cwcellowner

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/adapter/cwcellcodec"
	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwcell"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
	"currantward/internal/port/cwcellport"
)

// TestReplacementNeedsTheKnownAddress guards against a live worker that is taken for ended because an entry with a wrong address
// leads to another worker: its tasks would be started again elsewhere.
func TestReplacementNeedsTheKnownAddress(t *testing.T) {
	first, second := netip.MustParseAddrPort("10.0.0.1:80"), netip.MustParseAddrPort("10.0.0.2:80")
	cases := []struct {
		name     string
		prior    netip.AddrPort // at which the previous owner called the worker; invalid: it did not
		answered netip.AddrPort // at which the worker has answered this owner; invalid: it has not
		address  netip.AddrPort // in its present entry
		replaced bool
	}{
		{"at the address of the last response", netip.AddrPort{}, first, first, true},
		{"at another address", netip.AddrPort{}, first, second, false},
		{"at the address that the previous owner knew", first, netip.AddrPort{}, first, true},
		{"at another address than the previous owner knew", first, netip.AddrPort{}, second, false},
		{"moved since the previous owner", first, second, second, true},
		{"worker that nobody has called", netip.AddrPort{}, netip.AddrPort{}, first, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			s := &session{owner: &Owner{}, cell: cwcell.New(cwcell.Options{
				Policy:      func(cwwork.QueueName) (cwwork.QueuePolicy, bool) { return cwwork.QueuePolicy{}, true },
				LeaseExpiry: func(cwmodel.HostID) time.Time { return time.Time{} },
				OwnedUntil:  func() time.Time { return now },
			})}
			w := cwcell.WorkerInfo{ID: "a", Incarnation: now}
			s.cell.UpdateWorker(w, now)
			l := &workerLink{entry: cwcellport.WorkerEntry{WorkerInfo: w, Address: tc.answered}}
			s.links = map[cwmodel.HostID]*workerLink{"a": l}
			if tc.prior.IsValid() {
				value, err := cwcellcodec.EncodeMembers([]cwcellcodec.Member{{ID: "a", Address: tc.prior}})
				is.NoErr(err)
				s.addPriorMembers([]cwcellport.Row{{Value: value}}, now)
			}
			if tc.answered.IsValid() {
				s.handleReport(l, &cwcell.Report{Worker: "a", Incarnation: now, RequestedAt: now}, nil, now)
			}
			l.entry.Address = tc.address
			s.handleReport(l, nil, cwfault.New(cwfault.NotFound, "another worker answers"), now)
			is.Equal(slices.ContainsFunc(s.cell.Decide(now, now).LogEntries, func(e cwcell.LogEntry) bool { return e.Event == "worker-replaced" }), tc.replaced)
		})
	}
}
