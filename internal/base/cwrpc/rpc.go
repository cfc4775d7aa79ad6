// Package cwrpc provides the net/http client and server for twirp's generated code.
package cwrpc

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"currantward/internal/base/cwhttp"
	"currantward/internal/base/cwtimer"
)

// ClientOptions configure the connections of a client.
type ClientOptions struct {
	DialTimeout     time.Duration
	MaxConnsPerPeer int
	UserTimeout     time.Duration       // closes connections whose sent data stays unacknowledged; zero selects the kernel's default
	Traffic         *cwhttp.ByteCounter // nil: not counted
	// StallTimeout bounds the pause before a response and each one within it. Each call then has a connection of its own. Zero: only the
	// contexts of the calls bound them.
	StallTimeout time.Duration
}

const (
	// idleConnTimeout is how long an unused connection stays open.
	idleConnTimeout = time.Minute
	// bufferSize suits messages of a few hundred bytes.
	bufferSize = 2 << 10
	// headerTimeout and idleTimeout bound the connections of a listener.
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
)

// NewClient returns a client and a function that closes its idle connections.
func NewClient(opts ClientOptions) (client *http.Client, stop func()) {
	transport := &http.Transport{
		DialContext:         opts.dial,
		MaxConnsPerHost:     opts.MaxConnsPerPeer,
		MaxIdleConnsPerHost: opts.MaxConnsPerPeer,
		IdleConnTimeout:     idleConnTimeout,
		WriteBufferSize:     bufferSize,
		ReadBufferSize:      bufferSize,
		DisableKeepAlives:   opts.StallTimeout > 0,
	}
	return &http.Client{Transport: transport}, transport.CloseIdleConnections
}

// dial connects to a peer, sets the user timeout and counts the bytes of the connection.
func (o ClientOptions) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: o.DialTimeout}
	conn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok && o.UserTimeout > 0 {
		if err := cwhttp.SetUserTimeout(tcp, o.UserTimeout); err != nil {
			return nil, errors.Join(err, conn.Close())
		}
	}
	if o.StallTimeout > 0 {
		conn = &stallConn{Conn: conn, timeout: o.StallTimeout}
	}
	return o.Traffic.Conn(conn), nil
}

// stallConn is a connection on which a read that receives nothing for a time fails.
type stallConn struct {
	net.Conn
	timeout time.Duration
}

// Read waits for bytes until the timeout.
func (c *stallConn) Read(buf []byte) (n int, err error) {
	if err = c.SetReadDeadline(cwtimer.RuntimeTime().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(buf)
}

// IsDialError reports whether err means that no connection was established, so that the callee received nothing.
func IsDialError(err error) bool {
	var dial *net.OpError
	return errors.As(err, &dial) && dial.Op == "dial"
}

// ServerOptions configure a listener.
type ServerOptions struct {
	Listen          netip.AddrPort
	Log             *logrus.Logger
	ShutdownTimeout time.Duration
	Traffic         *cwhttp.ByteCounter // nil: not counted
}

// Serve listens for peers and returns the bound address and a function that shuts the listener down gracefully.
func Serve(handler http.Handler, opts ServerOptions) (bound netip.AddrPort, stop func(), err error) {
	defer func() { err = eris.Wrap(err, "serve peers") }()
	listener, err := net.Listen("tcp", opts.Listen.String())
	if err != nil {
		return bound, nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := server.Serve(opts.Traffic.Listener(listener)); !eris.Is(err, http.ErrServerClosed) {
			opts.Log.WithFields(logrus.Fields{"listener": "peers", "error": err.Error()}).Error("listener-failed")
		}
	}()
	stop = func() {
		ctx, cancel := context.WithTimeout(context.Background(), opts.ShutdownTimeout)
		defer cancel()
		// Close ends the connections that Shutdown could not drain in time.
		_ = server.Shutdown(ctx)
		_ = server.Close()
		<-ended
	}
	return cwhttp.BoundAddress(listener), stop, nil
}
