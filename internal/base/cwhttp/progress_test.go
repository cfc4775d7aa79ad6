package cwhttp_test

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwhttp"
)

// TestLargeResponseArrivesOverSlowLink guards against a timeout that a response of some size can never meet on a slow link, however
// steadily it arrives, and against a call that waits without end for a response that has stalled.
func TestLargeResponseArrivesOverSlowLink(t *testing.T) {
	const timeout = 800 * time.Millisecond
	cases := []struct {
		name   string
		chunks int // of the ten that are announced, sent at intervals of a fifth of the timeout
		stall  time.Duration
		want   cwfault.Code
	}{
		{"longer than the timeout, with pauses below the bound", 10, timeout, ""},
		{"stalled after a part", 4, timeout, cwfault.Indefinite},
		{"stalled before the first byte", 0, timeout, cwfault.Indefinite},
		{"without a bound on pauses", 10, 0, cwfault.Indefinite},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			addr, stop := serveInChunks(t, tc.chunks, timeout/5)
			defer stop()
			opts := cwhttp.DefaultClientOptions()
			opts.StallTimeout = tc.stall
			client, stopClient := cwhttp.NewClient(opts)
			defer stopClient()
			_, body, err := client.RoundTrip(fasthttp.MethodGet, addr, "/", nil, timeout)
			is.Equal(cwfault.CodeOf(err), tc.want)
			if tc.want == "" {
				is.Equal(len(body), 10*chunkBytes)
			} else if tc.chunks > 0 {
				is.True(strings.Contains(err.Error(), "bytes received in")) // the error tells how far the response came
			}
		})
	}
}

// chunkBytes is the size of one chunk of serveInChunks.
const chunkBytes = 1000

// serveInChunks serves one request. It announces a body of ten chunks, sends the given number of them with a pause before each, and keeps
// the connection open until stop is called. With no chunks it doesn't send the header either.
func serveInChunks(t *testing.T, chunks int, pause time.Duration) (addr netip.AddrPort, stop func()) {
	listener, err := net.Listen("tcp", anyPort.String())
	if err != nil {
		t.Fatal(err)
	}
	stopped := make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err = http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		if chunks > 0 {
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 10000\r\n\r\n"))
		}
		for range chunks {
			time.Sleep(pause)
			_, _ = conn.Write(bytes.Repeat([]byte("x"), chunkBytes))
		}
		<-stopped
	}()
	return netip.MustParseAddrPort(listener.Addr().String()), func() {
		close(stopped)
		_ = listener.Close()
	}
}
