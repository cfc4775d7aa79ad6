package cwhttp

import (
	"errors"
	"io"
	"net"
	"time"

	"currantward/internal/base/cwtimer"
)

// Limits on what a rejected caller may still send before its connection is closed. Closing a connection with unread bytes
// resets it, and the reset can overtake the response.
const (
	lingerTimeout = time.Second // allows a few round trips between regions
	lingerBytes   = 256 << 10   // size of the socket buffers of a busy caller
)

// lingeringConn is a connection that can keep reading after its last response, so that the response reaches the caller.
type lingeringConn struct {
	net.Conn
	closeWrite func() error // closes the sending side; nil if it cannot be closed separately
	linger     bool         // accessed only by the goroutine that serves the connection
}

// Close closes the connection. A lingering connection first closes its sending side and discards incoming data within the
// limits.
func (c *lingeringConn) Close() error {
	if !c.linger || c.closeWrite == nil || c.closeWrite() != nil || c.SetReadDeadline(cwtimer.WallTime().Add(lingerTimeout)) != nil {
		return c.Conn.Close()
	}
	if _, err := io.CopyN(io.Discard, c.Conn, lingerBytes); err != nil && !isEndOfInput(err) {
		return errors.Join(err, c.Conn.Close())
	}
	return c.Conn.Close()
}

// isEndOfInput reports whether err only means that there is no more input: the caller closed or the read timed out.
func isEndOfInput(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.EOF) || (errors.As(err, &netErr) && netErr.Timeout())
}

// lingeringListener accepts connections that can linger.
type lingeringListener struct{ net.Listener }

// Accept returns the next connection.
func (l lingeringListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lingeringConn{Conn: conn, closeWrite: closeWriteOf(conn)}, nil
}

// closeWriteOf returns the function that closes the sending side of a connection, or nil if there is none.
func closeWriteOf(conn net.Conn) func() error {
	switch c := conn.(type) {
	case *net.TCPConn:
		return c.CloseWrite
	case *countedConn:
		return closeWriteOf(c.Conn)
	}
	return nil
}
