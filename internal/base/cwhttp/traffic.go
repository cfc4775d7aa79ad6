package cwhttp

import (
	"net"
	"sync/atomic"
)

// ByteCounter counts the bytes of all connections of a listener or client.
type ByteCounter struct {
	sent     atomic.Int64
	received atomic.Int64
}

// Sent returns the number of bytes written.
func (t *ByteCounter) Sent() int64 { return t.sent.Load() }

// Received returns the number of bytes read.
func (t *ByteCounter) Received() int64 { return t.received.Load() }

// Conn returns a connection that counts its bytes; a nil ByteCounter returns conn itself.
func (t *ByteCounter) Conn(conn net.Conn) net.Conn {
	if t == nil || conn == nil {
		return conn
	}
	return &countedConn{Conn: conn, counter: t}
}

// Listener returns a listener that counts the bytes of its connections; a nil ByteCounter returns listener itself.
func (t *ByteCounter) Listener(listener net.Listener) net.Listener {
	if t == nil {
		return listener
	}
	return &countedListener{Listener: listener, counter: t}
}

// countedConn is a connection that counts its bytes.
type countedConn struct {
	net.Conn
	counter *ByteCounter
}

// Read reads from the connection and counts the bytes received.
func (c *countedConn) Read(buf []byte) (n int, err error) {
	n, err = c.Conn.Read(buf)
	c.counter.received.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes sent.
func (c *countedConn) Write(buf []byte) (n int, err error) {
	n, err = c.Conn.Write(buf)
	c.counter.sent.Add(int64(n))
	return n, err
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	counter *ByteCounter
}

// Accept returns the next connection.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return l.counter.Conn(conn), err
}
