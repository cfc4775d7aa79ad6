package cwhttp_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwhttp"
	"currantward/internal/base/cwlog"
)

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// TestCallErrorCodes asserts the error code of a call for each kind of response or failure.
func TestCallErrorCodes(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	handle := func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/ok":
			cwhttp.WriteJSON(ctx, fasthttp.StatusOK, map[string]int{"n": 1})
		case "/conflict":
			cwhttp.WriteError(ctx, cwfault.New(cwfault.Conflict, "version 3"))
		case "/garbage":
			ctx.SetBodyString("{")
		case "/hang":
			<-hold
		default:
			ctx.SetStatusCode(fasthttp.StatusTeapot)
		}
	}
	limits := cwhttp.DefaultServerOptions("test", cwlog.Discard())
	limits.MaxBodyBytes, limits.ShutdownTimeout = 1024, time.Millisecond
	addr, stop, err := cwhttp.Serve(anyPort, handle, limits)
	is.New(t).NoErr(err)
	defer stop()
	cases := []struct {
		name string
		path string
		addr netip.AddrPort
		body string
		want cwfault.Code
	}{
		{"success", "/ok", addr, "", ""},
		{"typed error keeps its code", "/conflict", addr, "", cwfault.Conflict},
		{"a response that is not JSON has an unknown effect", "/garbage", addr, "", cwfault.Indefinite},
		{"a status without a document has an unknown effect", "/other", addr, "", cwfault.Indefinite},
		{"no response in time has an unknown effect", "/hang", addr, "", cwfault.Indefinite},
		{"a refused connection did nothing", "/ok", netip.MustParseAddrPort("127.0.0.1:1"), "", cwfault.Unavailable},
		{"a body above the limit is rejected", "/ok", addr, string(bytes.Repeat([]byte("x"), 2000)), cwfault.TooLarge},
	}
	client, stopClient := cwhttp.NewClient(cwhttp.DefaultClientOptions())
	defer stopClient()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			var in any
			if c.body != "" {
				in = c.body
			}
			var out struct{ N int }
			err := client.Call(ctx, fasthttp.MethodPost, c.addr, c.path, in, &out)
			is.Equal(cwfault.CodeOf(err), c.want)
		})
	}
}

// TestCallEndsWithItsContext asserts that a call returns when its context is cancelled, long before its timeout.
func TestCallEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	hold := make(chan struct{})
	limits := cwhttp.DefaultServerOptions("test", cwlog.Discard())
	limits.ShutdownTimeout = time.Millisecond
	addr, stop, err := cwhttp.Serve(anyPort, func(*fasthttp.RequestCtx) { <-hold }, limits)
	is.NoErr(err)
	defer stop()
	defer close(hold)
	opts := cwhttp.DefaultClientOptions()
	opts.Timeout = time.Hour
	client, stopClient := cwhttp.NewClient(opts)
	defer stopClient()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- client.Call(ctx, fasthttp.MethodGet, addr, "/", nil, nil) }()
	cancel()
	is.True(<-ended != nil)
}

// TestRejectedCallersReceiveTheResponse guards against a reset that overtakes the response to a rejected request. The server
// rejects each request before reading all of it, and the caller keeps sending after the response.
func TestRejectedCallersReceiveTheResponse(t *testing.T) {
	limits := cwhttp.DefaultServerOptions("test", cwlog.Discard())
	limits.MaxHeaderBytes, limits.MaxBodyBytes = 1<<10, 1<<10
	addr, stop, err := cwhttp.Serve(anyPort, func(*fasthttp.RequestCtx) {}, limits)
	is.New(t).NoErr(err)
	defer stop()
	cases := []struct {
		name string
		sent string
		more string
		want string
	}{
		{"header above the limit", "GET / HTTP/1.1\r\nA: " + strings.Repeat("x", 4000), strings.Repeat("x", 4000), " 413 "},
		{"body far above the limit", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 4000), strings.Repeat("x", 4000), " 413 "},
		{"malformed", "nothing of this kind\r\n\r\n" + strings.Repeat("x", 4000), strings.Repeat("x", 4000), " 400 "},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", addr.String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			is.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
			_, err = conn.Write([]byte(c.sent))
			is.NoErr(err)
			r := bufio.NewReader(conn)
			first, err := r.ReadString('\n')
			is.NoErr(err)
			is.True(strings.Contains(first, c.want))
			for range 3 {
				_, err = conn.Write([]byte(c.more))
				is.NoErr(err) // the connection was not reset
				time.Sleep(20 * time.Millisecond)
			}
			rest, err := io.ReadAll(r)
			is.NoErr(err)
			is.True(strings.Contains(string(rest), "cannot read the request"))
		})
	}
}

// TestDecodeStrict asserts which documents are accepted.
func TestDecodeStrict(t *testing.T) {
	cases := []struct {
		name string
		body string
		ok   bool
	}{
		{"known key", `{"n":1}`, true},
		{"unknown key", `{"m":1}`, false},
		{"two documents", `{"n":1}{"n":2}`, false},
		{"cut short", `{"n":`, false},
		{"empty", ``, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var out struct {
				N int `json:"n"`
			}
			err := cwhttp.DecodeStrict([]byte(c.body), &out)
			is.Equal(err == nil, c.ok)
			if !c.ok {
				is.Equal(cwfault.CodeOf(err), cwfault.Invalid)
			}
		})
	}
}
