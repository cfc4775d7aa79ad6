package cwpeer_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/adapter/cwpeer"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwhttp"
	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
	"currantward/internal/port/cwport"
)

// serve starts a server for peers and returns its address, a client and the bytes that the client transfers.
func serve(t testing.TB, forward func(task cwmodel.Task) (cwmodel.Response, error)) (addr netip.AddrPort, peers cwport.Peers, traffic *cwhttp.ByteCounter) {
	is := is.New(t)
	timer, stopTimer := cwtimer.New()
	t.Cleanup(stopTimer)
	addr, stop, err := cwpeer.Serve(cwpeer.ServerOptions{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), Timer: timer, Log: cwlog.Discard(), ShutdownTimeout: time.Second,
		ExchangeLoad:  func(theirs cwport.LoadReport) cwport.LoadReport { return theirs },
		Forward:       func(_ context.Context, task cwmodel.Task, _ int) (cwmodel.Response, error) { return forward(task) },
		Configuration: func() cwpolicy.Configuration { return cwpolicy.Configuration{} },
	})
	is.NoErr(err)
	t.Cleanup(stop)
	traffic = &cwhttp.ByteCounter{}
	peers, stopClient := cwpeer.New(cwpeer.ClientOptions{Timer: timer, Timeout: time.Second, MaxConnsPerPeer: 4, Traffic: traffic})
	t.Cleanup(stopClient)
	return addr, peers, traffic
}

// TestForwardErrorCodes guards against a forwarded request that is run twice: a failure must have the code Unavailable, which permits
// another attempt, only if the request was certainly not run.
func TestForwardErrorCodes(t *testing.T) {
	unusedAddr := netip.MustParseAddrPort("127.0.0.1:1")
	cases := []struct {
		name string
		to   *netip.AddrPort
		err  error
		code cwfault.Code
	}{
		{"answered", nil, nil, ""},
		{"refused by the peer", nil, cwfault.New(cwfault.Unavailable, "no room"), cwfault.Unavailable},
		{"failed at the peer", nil, cwfault.New(cwfault.Indefinite, "taken before"), cwfault.Indefinite},
		{"no connection", &unusedAddr, nil, cwfault.Unavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			addr, peers, _ := serve(t, func(task cwmodel.Task) (cwmodel.Response, error) {
				return cwmodel.Response{Task: task.ID, Outcome: cwmodel.OutcomeDone}, c.err
			})
			if c.to != nil {
				addr = *c.to
			}
			_, err := peers.Forward(context.Background(), addr, cwmodel.Task{ID: "task", Deadline: time.Now().Add(time.Second)}, 1)
			is.Equal(cwfault.CodeOf(err), c.code)
		})
	}
}

// BenchmarkExchange reports the bytes of one exchange of load reports, both ways.
func BenchmarkExchange(b *testing.B) {
	addr, peers, traffic := serve(b, nil)
	free := cwmodel.Resources{MilliProcessors: 640000, MemoryBytes: 256 << 30, Accelerators: 8, Slots: 64, Connections: 480}
	report := cwport.LoadReport{
		Host: "entry-host-cairo-1-007", DataCentre: "cairo-1", Address: addr, ConfigurationVersion: 123456, Workers: 20, Free: free, LargestFree: free, Waiting: 1000,
	}
	for b.Loop() {
		if _, err := peers.ExchangeLoad(context.Background(), addr, report); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(traffic.Sent()+traffic.Received())/float64(b.N), "bytes/exchange")
}
