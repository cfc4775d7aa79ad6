package cwclaimer_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/panjf2000/ants/v2"

	"currantward/internal/adapter/cwmemory"
	"currantward/internal/app/cwclaimer"
	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwclaim"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
)

// ports returns ports that reach one in-memory worker.
func ports(w *cwmemory.Worker) cwport.Workers {
	return cwport.Workers{
		Inspect: func(context.Context, netip.AddrPort) (cwport.Inventory, error) { return w.Inspect(), nil },
		Claim: func(_ context.Context, _ netip.AddrPort, claim cwport.Claim) (cwport.Inventory, error) {
			return w.Claim(claim)
		},
		Heartbeat: func(_ context.Context, _ netip.AddrPort, heartbeat cwport.Heartbeat) (cwport.HeartbeatResponse, error) {
			return w.Heartbeat(heartbeat)
		},
		Release: func(_ context.Context, _ netip.AddrPort, epoch cwmodel.Epoch) error { return w.Release(epoch) },
	}
}

// TestClaimerReportsWorkerEvents guards against a worker that keeps getting tasks although its claim has ended or it leaves:
// the claimer must report each such event, which it reads from the worker itself or from the host list, in order.
func TestClaimerReportsWorkerEvents(t *testing.T) {
	cases := []struct {
		name string
		act  func(w *cwmemory.Worker, c *cwclaimer.Claimer, now time.Time)
		want []string
	}{
		{"claimed", func(*cwmemory.Worker, *cwclaimer.Claimer, time.Time) {}, []string{"owned"}},
		{"leaving by its own report", func(w *cwmemory.Worker, _ *cwclaimer.Claimer, _ time.Time) { w.Drain() }, []string{"owned", "draining"}},
		{"leaving by the host list", func(_ *cwmemory.Worker, c *cwclaimer.Claimer, _ time.Time) {
			c.SetHosts([]cwmodel.Host{{ID: "worker-1", State: cwmodel.HostLeaving}}, []cwmodel.HostID{"self"})
		}, []string{"owned", "draining"}},
		{"removed from the host list", func(_ *cwmemory.Worker, c *cwclaimer.Claimer, _ time.Time) { c.SetHosts(nil, []cwmodel.HostID{"self"}) }, []string{"owned", "closing"}},
		{"claimed again after a larger epoch was granted", func(w *cwmemory.Worker, _ *cwclaimer.Claimer, now time.Time) {
			_, _ = w.Claim(cwport.Claim{Owner: "self", Epoch: cwmodel.Epoch(now.UnixMilli() + 10), TTL: time.Millisecond})
		}, []string{"owned", "lost", "owned"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			timer, stopTimer := cwtimer.New()
			defer stopTimer()
			pool, err := ants.NewPool(8, ants.WithNonblocking(true))
			is.NoErr(err)
			defer pool.Release()
			w := cwmemory.NewWorker(cwmemory.WorkerOptions{Worker: cwmodel.Worker{ID: "worker-1"}, Now: timer.Now})
			events := make(chan string, 100)
			record := func(name string) func(context.Context, cwmodel.HostID) error {
				return func(context.Context, cwmodel.HostID) error { events <- name; return nil }
			}
			claimer, stop := cwclaimer.New(cwclaimer.Options{
				Timer: timer, Log: cwlog.Discard(), Workers: ports(w), Pool: pool, Claims: cwclaim.DefaultOptions("self", 600*time.Millisecond), CallTimeout: time.Second,
				OnAcquired: func(context.Context, cwport.Inventory, cwclaim.Validity) error { events <- "owned"; return nil },
				OnExtended: func(cwmodel.HostID, cwmodel.Epoch, cwclaim.Validity) {},
				OnLost:     func(context.Context, cwmodel.HostID, time.Time) error { events <- "lost"; return nil },
				OnDrain:    record("draining"), OnCordon: record("closing"), OpenRequests: func(cwmodel.HostID) int { return 0 },
			})
			claimer.SetHosts([]cwmodel.Host{{ID: "worker-1", State: cwmodel.HostLive}}, []cwmodel.HostID{"self"})
			for n, want := range c.want {
				is.Equal(<-events, want)
				if n == 0 {
					c.act(w, claimer, timer.Now())
				}
			}
			stop()
			is.Equal(w.Inspect().Owner, cwmodel.HostID("")) // the claim is released
			is.Equal(<-events, "lost")
		})
	}
}
