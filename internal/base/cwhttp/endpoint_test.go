package cwhttp_test

import (
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwhttp"
	"currantward/internal/base/cwlog"
)

// TestDeadConnectionsFailOneCall guards against a restarted process that is reached late: its end leaves several idle connections in the pool,
// and each of them fails a call.
func TestDeadConnectionsFailOneCall(t *testing.T) {
	const connections = 6
	cases := []struct {
		name     string
		restarts int
	}{
		{"one restart", 1},
		{"two restarts", 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var together sync.WaitGroup // lets the first calls use a connection each
			together.Add(connections)
			handle := func(ctx *fasthttp.RequestCtx) {
				if string(ctx.Path()) == "/together" {
					together.Done()
					together.Wait()
				}
			}
			client, stopClient := cwhttp.NewClient(cwhttp.DefaultClientOptions())
			defer stopClient()
			addr, stop := serveBriefly(is, anyPort, handle)
			call := func(path string) error {
				_, _, err := client.RoundTrip(fasthttp.MethodGet, addr, path, nil, time.Second)
				return err
			}
			var first sync.WaitGroup
			for range connections {
				first.Go(func() { is.NoErr(call("/together")) })
			}
			first.Wait()
			for range tc.restarts {
				stop()
				err := call("/") // on a connection that is dead, or refused
				is.True(cwfault.IsDisconnected(err))
				_, stop = serveBriefly(is, addr, handle)
				for range connections {
					is.NoErr(call("/"))
				}
			}
			stop()
		})
	}
}

// serveBriefly starts a server whose stop function waits for no request.
func serveBriefly(is *is.I, listen netip.AddrPort, handle fasthttp.RequestHandler) (addr netip.AddrPort, stop func()) {
	limits := cwhttp.DefaultServerOptions("test", cwlog.Discard())
	limits.ShutdownTimeout = time.Millisecond
	addr, stop, err := cwhttp.Serve(listen, handle, limits)
	is.NoErr(err)
	return addr, stop
}
