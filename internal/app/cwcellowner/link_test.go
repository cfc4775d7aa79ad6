package cwcellowner

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/adapter/cwcellcodec"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwring"
	"currantward/internal/base/cwtimer"
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

// TestRestartedWorkerIsCalledBeforeItsLateOrders guards against a task that runs twice because a worker is back for a while before its owner calls
// it: until then it carries out the orders to its earlier process that got no answer.
func TestRestartedWorkerIsCalledBeforeItsLateOrders(t *testing.T) {
	const downTime = 20 * time.Millisecond
	cases := []struct {
		name   string
		result cwcell.StartResult // of an order before the restart
		ago    time.Duration      // since then
		lost   bool               // the worker does not end the connection, but answers nothing
		prompt bool
	}{
		{"no answer to an order", cwcell.StartUnanswered, time.Second, false, true},
		{"no answer to the first try of an order", cwcell.StartAcceptedOnRetry, time.Second, false, true},
		{"each order was answered", cwcell.StartAccepted, time.Second, false, false},
		{"no answer to an order long ago", cwcell.StartUnanswered, time.Minute, false, false},
		{"a silent worker", cwcell.StartUnanswered, time.Second, true, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			clock := cwtimer.NewManual(time.Unix(1000, 0))
			w := cwcellport.WorkerEntry{WorkerInfo: cwcell.WorkerInfo{ID: "a", Service: "portal", Capacity: cwmodel.Resources{MilliProcessors: 8000}, Incarnation: clock.Now()}}
			var calledAt, returnsAt time.Time
			called := make(chan struct{}, 1)
			s := &session{links: map[cwmodel.HostID]*workerLink{}, owner: &Owner{opts: Options{
				Timer: clock.Service, HoldsLease: func(time.Time) bool { return true }, OwnedUntil: func(uint64) time.Time { return clock.Now() },
				Workers: cwcellport.Workers{RenewLeases: func(cwcellport.WorkerEntry, cwcellport.LeaseRenewal) (*cwcell.Report, error) {
					if calledAt = clock.Now(); calledAt.Before(returnsAt) {
						called <- struct{}{}
						return nil, &cwfault.Error{Code: cwfault.Unavailable, Disconnected: !tc.lost}
					}
					return &cwcell.Report{Worker: "a", Incarnation: returnsAt, RequestedAt: calledAt}, nil
				}},
			}}}
			policy := cwwork.QueuePolicy{Service: "portal", MaxAttempts: 3, Stretch: 2}
			s.cell = cwcell.New(cwcell.Options{
				Policy:      func(cwwork.QueueName) (cwwork.QueuePolicy, bool) { return policy, true },
				LeaseExpiry: func(cwmodel.HostID) time.Time { return time.Time{} }, OwnedUntil: clock.Now,
			})
			s.cell.UpdateWorker(w.WorkerInfo, clock.Now())
			s.cell.MarkMembersDurable([]cwmodel.HostID{"a"})
			s.cell.HandleReport(&cwcell.Report{Worker: "a", Incarnation: clock.Now(), RequestedAt: clock.Now()}, clock.Now())
			s.cell.Admit(&cwwork.Submission{ID: "job", Queue: "q", Steps: []cwwork.Step{{Count: 1}}, AcceptedAt: clock.Now(), Policy: policy}, nil, false, clock.Now(), clock.Now())
			starts := s.cell.Decide(clock.Now(), clock.Now()).Starts
			is.Equal(len(starts), 1)
			s.cell.HandleStartResult(&starts[0], tc.result, clock.Now())
			clock.Advance(tc.ago)

			returnsAt = clock.Now().Add(downTime)
			l := &workerLink{entry: w, calls: cwring.New[renewalCall](1)}
			s.links["a"] = l
			s.handleReport(l, nil, &cwfault.Error{Code: cwfault.Indefinite, Disconnected: !tc.lost}, clock.Now())
			s.idleLinks = []*workerLink{l}
			s.pollWorkers(clock.Now(), true)
			calls := l.calls.DrainReady(nil)
			is.Equal(len(calls) > 0, tc.prompt) // others wait for the backoff
			if !tc.prompt {
				return
			}
			done := make(chan struct{})
			go func() {
				defer close(done)
				_, err := s.renewLeases(t.Context(), &calls[0])
				is.NoErr(err)
			}()
			for ended := false; !ended; {
				select {
				case <-done:
					ended = true
				case <-called:
				case <-time.After(50 * time.Millisecond): // it was not asleep yet when the clock advanced
				}
				clock.Advance(reconnectPause)
			}
			is.True(calledAt.Sub(returnsAt) <= 5*reconnectPause)
		})
	}
}
