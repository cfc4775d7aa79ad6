package cwprocess

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"currantward/internal/base/cwtimer"
)

// NetFaults are the network faults that a proxy injects. The zero value forwards everything.
type NetFaults struct {
	RefuseConnections bool          // new connections are closed at once
	Delay             time.Duration // of each chunk, in both directions
	HoldForward       bool          // bytes towards the target are held until the fault ends
	HoldBack          bool          // bytes from the target are held until the fault ends
}

// Proxy forwards TCP connections to a target and injects network faults between the two ends.
type Proxy struct {
	Address     netip.AddrPort
	timer       *cwtimer.Service
	target      netip.AddrPort
	mu          sync.Mutex
	faults      NetFaults
	changed     chan struct{} // closed and replaced when faults change
	connections map[*connection]struct{}
}

// connection is a forwarded connection: the socket of the client and the socket to the target.
type connection struct {
	client, server net.Conn
	blackholed     chan struct{} // closed when the connection stops forwarding
	blackholeOnce  sync.Once
	closed         chan struct{}
	closeOnce      sync.Once
}

// NewProxy starts a proxy on a free port and returns the function that stops it.
func NewProxy(timer *cwtimer.Service, target netip.AddrPort) (p *Proxy, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	p = &Proxy{
		Address: netip.MustParseAddrPort(listener.Addr().String()), timer: timer, target: target,
		changed: make(chan struct{}), connections: map[*connection]struct{}{},
	}
	go p.accept(listener)
	return p, func() {
		_ = listener.Close()
		p.SetDisconnected(true)
	}, nil
}

// SetTarget replaces the target of new connections, for example after a restart of the target at another address.
func (p *Proxy) SetTarget(target netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// SetFaults replaces the faults, also for open connections.
func (p *Proxy) SetFaults(faults NetFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetDisconnected closes all connections and refuses new ones, or accepts new ones again.
func (p *Proxy) SetDisconnected(disconnected bool) {
	p.SetFaults(NetFaults{RefuseConnections: disconnected})
	if disconnected {
		p.ResetConnections()
	}
}

// ResetConnections closes all open connections with a TCP reset. New ones are not affected.
func (p *Proxy) ResetConnections() {
	for _, c := range p.openConnections() {
		for _, conn := range []net.Conn{c.client, c.server} {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		}
		c.close()
	}
}

// BlackholeConnections stops forwarding on all connections that are open now, without closing them. New ones are not affected.
func (p *Proxy) BlackholeConnections() {
	for _, c := range p.openConnections() {
		c.blackholeOnce.Do(func() { close(c.blackholed) })
	}
}

func (p *Proxy) openConnections() (list []*connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		list = append(list, c)
	}
	return list
}

func (p *Proxy) state() (faults NetFaults, changed <-chan struct{}, target netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.changed, p.target
}

func (p *Proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

// forward connects a client to the target and copies in both directions until either side closes.
func (p *Proxy) forward(client net.Conn) {
	faults, _, target := p.state()
	if faults.RefuseConnections {
		_ = client.Close()
		return
	}
	server, err := net.Dial("tcp", target.String())
	if err != nil {
		_ = client.Close()
		return
	}
	c := &connection{client: client, server: server, blackholed: make(chan struct{}), closed: make(chan struct{})}
	p.mu.Lock()
	p.connections[c] = struct{}{}
	p.mu.Unlock()
	var copying sync.WaitGroup
	copying.Go(func() { p.copyOneWay(c, client, server, func(f NetFaults) bool { return f.HoldForward }) })
	copying.Go(func() { p.copyOneWay(c, server, client, func(f NetFaults) bool { return f.HoldBack }) })
	copying.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, c)
}

// close closes both sockets.
func (c *connection) close() {
	_ = c.client.Close()
	_ = c.server.Close()
	c.closeOnce.Do(func() { close(c.closed) })
}

// copyOneWay copies in one direction, subject to the current faults.
func (p *Proxy) copyOneWay(c *connection, from, to net.Conn, isHeld func(NetFaults) bool) {
	defer c.closeAfterCopy()
	const chunkBytes = 32 << 10
	buf := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buf)
		if err != nil || !p.awaitForwarding(c, isHeld) {
			return
		}
		if _, err = to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// closeAfterCopy closes a connection whose copying has ended. A black-holed connection stays open until it is reset or the proxy is
// disconnected, since neither end may notice the fault.
func (c *connection) closeAfterCopy() {
	select {
	case <-c.blackholed:
		<-c.closed
	default:
	}
	c.close()
}

// awaitForwarding waits while bytes are held or delayed. It returns false if they must not be forwarded at all.
func (p *Proxy) awaitForwarding(c *connection, isHeld func(NetFaults) bool) bool {
	for {
		faults, changed, _ := p.state()
		select {
		case <-c.blackholed:
			return false
		default:
		}
		switch {
		case isHeld(faults):
			select {
			case <-changed:
			case <-c.closed:
				return false
			case <-c.blackholed:
			}
		case faults.Delay > 0:
			return p.timer.Sleep(c.closed, faults.Delay)
		default:
			return true
		}
	}
}
