package cwhttp

import (
	"net"
	"sync/atomic"
)

// ByteCounter counts the bytes of all connections of one listener or client.
type ByteCounter struct {
	sent     atomic.Int64
	received atomic.Int64
}

// Sent returns the bytes written so far.
func (t *ByteCounter) Sent() int64 { return t.sent.Load() }

// Received returns the bytes read so far.
func (t *ByteCounter) Received() int64 { return t.received.Load() }

// Conn returns a connection that counts its bytes; a nil Traffic returns conn itself.
func (t *ByteCounter) Conn(conn net.Conn) net.Conn {
	if t == nil || conn == nil {
		return conn
	}
	return &countedConn{Conn: conn, traffic: t}
}

// Listener returns a listener whose connections are counted; a nil Traffic returns listener itself.
func (t *ByteCounter) Listener(listener net.Listener) net.Listener {
	if t == nil {
		return listener
	}
	return &countedListener{Listener: listener, traffic: t}
}

// countedConn is a connection that counts its bytes.
type countedConn struct {
	net.Conn
	traffic *ByteCounter
}

// Read reads from the connection and counts what was received.
func (c *countedConn) Read(buf []byte) (n int, err error) {
	n, err = c.Conn.Read(buf)
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts what was sent.
func (c *countedConn) Write(buf []byte) (n int, err error) {
	n, err = c.Conn.Write(buf)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	traffic *ByteCounter
}

// Accept returns the next connection.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return l.traffic.Conn(conn), err
}
