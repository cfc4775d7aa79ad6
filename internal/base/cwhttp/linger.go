package cwhttp

import (
	"errors"
	"io"
	"net"
	"time"

	"currantward/internal/base/cwtimer"
)

// What a rejected caller may still send before its connection is closed. Closing with unread bytes resets the connection, and
// the reset can overtake the answer.
const (
	lingerTimeout = time.Second // room for a few round trips between regions
	lingerBytes   = 256 << 10   // what the socket buffers of a busy caller hold
)

// lingeringConn is a connection that may read on after its last answer, so that the answer reaches the caller.
type lingeringConn struct {
	net.Conn
	closeWrite func() error // ends the sending side; nil where it cannot be ended by itself
	linger     bool         // set and read by the goroutine that serves the connection
}

// Close ends the connection; one that lingers ends its sending side first and discards what still arrives, within the limits.
func (c *lingeringConn) Close() error {
	if !c.linger || c.closeWrite == nil || c.closeWrite() != nil || c.SetReadDeadline(cwtimer.WallTime().Add(lingerTimeout)) != nil {
		return c.Conn.Close()
	}
	if _, err := io.CopyN(io.Discard, c.Conn, lingerBytes); err != nil && !endsReading(err) {
		return errors.Join(err, c.Conn.Close())
	}
	return c.Conn.Close()
}

// endsReading tells whether err only says that nothing more was read: the caller closed, or the time was up.
func endsReading(err error) bool {
	var timeout net.Error
	return errors.Is(err, io.EOF) || (errors.As(err, &timeout) && timeout.Timeout())
}

// lingeringListener hands out connections that can linger.
type lingeringListener struct{ net.Listener }

// Accept returns the next connection.
func (l lingeringListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lingeringConn{Conn: conn, closeWrite: closeWriteOf(conn)}, nil
}

// closeWriteOf returns what ends the sending side of a connection, nil if it cannot be ended by itself.
func closeWriteOf(conn net.Conn) func() error {
	switch c := conn.(type) {
	case *net.TCPConn:
		return c.CloseWrite
	case *countedConn:
		return closeWriteOf(c.Conn)
	}
	return nil
}
