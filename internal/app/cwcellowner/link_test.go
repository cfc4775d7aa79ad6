package cwcellowner

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwcell"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
	"currantward/internal/port/cwcellport"
)

// TestReplacementNeedsTheAddressOfTheLastResponse guards against a live worker that is taken for ended because an entry with a wrong address
// leads to another worker: its tasks would be started again elsewhere.
func TestReplacementNeedsTheAddressOfTheLastResponse(t *testing.T) {
	first, second := netip.MustParseAddrPort("10.0.0.1:80"), netip.MustParseAddrPort("10.0.0.2:80")
	cases := []struct {
		name       string
		answeredAt netip.AddrPort // invalid: the worker has not answered
		address    netip.AddrPort // in its present entry
		replaced   bool
	}{
		{"at the address of the last response", first, first, true},
		{"at another address", first, second, false},
		{"worker that has not answered this owner", netip.AddrPort{}, first, true},
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
			l := &workerLink{entry: cwcellport.WorkerEntry{WorkerInfo: w, Address: tc.answeredAt}}
			if tc.answeredAt.IsValid() {
				s.handleReport(l, &cwcell.Report{Worker: "a", Incarnation: now, RequestedAt: now}, nil, now)
			}
			l.entry.Address = tc.address
			s.handleReport(l, nil, cwfault.New(cwfault.NotFound, "another worker answers"), now)
			is.Equal(slices.ContainsFunc(s.cell.Decide(now, now).LogEntries, func(e cwcell.LogEntry) bool { return e.Event == "worker-replaced" }), tc.replaced)
		})
	}
}
