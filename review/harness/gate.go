package main

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// gate is the network of one runner's machine. While the machine has no power, calls to it hang; a connection that was open when
// it lost power stays silent, and is reset by the first bytes that arrive after the machine is back.
type gate struct {
	address string

	mu       sync.Mutex
	listener net.Listener
	conns    map[*gatedConn]struct{} // open connections of the present life
	blocked  *blockedPort            // while the machine has no power
}

// newGate reserves an address for a runner.
func newGate() (*gate, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &gate{address: listener.Addr().String(), listener: listener, conns: map[*gatedConn]struct{}{}}, nil
}

// open returns the listener of a new life.
func (g *gate) open() (net.Listener, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.blocked != nil {
		g.blocked.release()
		g.blocked = nil
		listener, err := net.Listen("tcp", g.address)
		if err != nil {
			return nil, err
		}
		g.listener = listener
	}
	return &gatedListener{Listener: g.listener, gate: g}, nil
}

// shut cuts the power: open connections fall silent and new ones hang.
func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.listener.Close()
	for c := range g.conns {
		c.silence()
	}
	g.conns = map[*gatedConn]struct{}{}
	g.blocked = blockPort(g.address)
}

// gatedListener hands out connections that can fall silent.
type gatedListener struct {
	net.Listener
	gate *gate
}

// Accept returns the next connection.
func (l *gatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &gatedConn{Conn: conn, gate: l.gate}
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	l.gate.conns[c] = struct{}{}
	return c, nil
}

// gatedConn is a connection that can fall silent. A silent connection is not closed by the server of the life that has ended.
type gatedConn struct {
	net.Conn
	gate   *gate
	mu     sync.Mutex
	silent bool
}

// Write drops what a silent connection would send.
func (c *gatedConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Close closes the connection unless it is silent.
func (c *gatedConn) Close() error {
	c.gate.forget(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent {
		return nil
	}
	return c.Conn.Close()
}

// forget removes a connection from those of the present life.
func (g *gate) forget(c *gatedConn) {
	c.mu.Lock()
	silent := c.silent
	c.mu.Unlock()
	if silent {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

// retransmission is the time after which a sender repeats bytes that were not acknowledged.
const retransmission = 200 * time.Millisecond

// silence makes the connection fall silent. Once the machine is back, it answers bytes on the connection, also those that were sent
// again since the loss of power, with a reset.
func (c *gatedConn) silence() {
	c.mu.Lock()
	c.silent = true
	c.mu.Unlock()
	_ = c.SetReadDeadline(time.Now()) // ends the read of the server that has crashed
	go func() {
		time.Sleep(10 * time.Millisecond)
		_ = c.SetReadDeadline(time.Time{})
		buf := make([]byte, 4096)
		_, err := c.Read(buf)
		for !c.gate.hasPower() {
			time.Sleep(retransmission)
		}
		if tcp, ok := c.Conn.(*net.TCPConn); ok && err == nil {
			_ = tcp.SetLinger(0)
		}
		_ = c.Conn.Close()
	}()
}

// hasPower reports whether the machine has power.
func (g *gate) hasPower() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.blocked == nil
}

// blockedPort holds a port whose queue of new connections is full, so that the kernel drops further ones.
type blockedPort struct {
	fd      int
	fillers []net.Conn
}

// blockPort blocks the port of an address of the loopback interface.
func blockPort(address string) *blockedPort {
	b := &blockedPort{fd: -1}
	addr, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return b
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return b
	}
	sa := &syscall.SockaddrInet4{Port: addr.Port, Addr: [4]byte(addr.IP.To4())}
	if syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1) != nil || syscall.Bind(fd, sa) != nil || syscall.Listen(fd, 0) != nil {
		_ = syscall.Close(fd)
		return b
	}
	b.fd = fd
	for range 4 {
		conn, err := net.DialTimeout("tcp", address, 20*time.Millisecond)
		if err != nil {
			break
		}
		b.fillers = append(b.fillers, conn)
	}
	return b
}

// release frees the port. Connections that were waiting are reset.
func (b *blockedPort) release() {
	if b.fd >= 0 {
		_ = syscall.Close(b.fd)
	}
	for _, c := range b.fillers {
		_ = c.Close()
	}
}
