package cwhttp

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"currantward/internal/base/cwtimer"
)

// endpoints has the endpoints of a client, by address.
type endpoints struct{ byAddress sync.Map }

// endpoint is one address that a client connects to. A connection that is refused, reset or closed by the other side shows that the process there
// has ended: the connections from before are dead, too, though those without a request under way do not show it.
type endpoint struct {
	address string
	ends    atomic.Int64 // such connections; the others are as old as its value at their dial
}

// at returns the endpoint of an address.
func (e *endpoints) at(address string) *endpoint {
	found, _ := e.byAddress.LoadOrStore(address, &endpoint{address: address})
	return found.(*endpoint)
}

// dial connects to the endpoint. ends is that at the time of the dial.
func (e *endpoint) dial(opts ClientOptions, timeout time.Duration) (conn net.Conn, ends int64, err error) {
	ends = e.ends.Load()
	if conn, err = net.DialTimeout("tcp", e.address, timeout); err != nil {
		e.record(err, ends)
		return nil, ends, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok && opts.UserTimeout > 0 {
		if err = SetUserTimeout(tcp, opts.UserTimeout); err != nil {
			return nil, ends, errors.Join(err, conn.Close())
		}
	}
	return conn, ends, nil
}

// record records the error of a connection that was dialed at a value of ends.
func (e *endpoint) record(err error, ends int64) {
	if isEnd(err) {
		e.ends.CompareAndSwap(ends, ends+1)
	}
}

// isEnd reports whether an error means that the other side has refused or ended the connection.
func isEnd(err error) bool {
	for _, end := range []error{io.EOF, syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// renewIfDead dials the connection anew, before a request is written to it, if the process at its endpoint has ended since it was dialed.
func (c *responseConn) renewIfDead() (err error) {
	if c.endpoint == nil || c.endpoint.ends.Load() == c.ends {
		return nil
	}
	timeout := c.opts.DialTimeout
	if !c.writeDeadline.IsZero() {
		timeout = min(timeout, c.writeDeadline.Sub(cwtimer.RuntimeTime()))
	}
	conn, ends, err := c.endpoint.dial(c.opts, timeout)
	if err != nil {
		return err
	}
	_ = c.Close() // the dead one
	c.Conn, c.ends = c.opts.Traffic.Conn(conn), ends
	return c.Conn.SetWriteDeadline(c.writeDeadline)
}

// SetWriteDeadline sets the deadline of the next writes, also if the connection is dialed anew for them.
func (c *responseConn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline = t
	return c.Conn.SetWriteDeadline(t)
}
