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
	StallTo           bool          // bytes to the target are not forwarded until the fault ends
	StallFrom         bool          // bytes from the target are not forwarded until the fault ends
}

// Proxy forwards TCP connections to a target and injects network faults between the two ends.
type Proxy struct {
	Address       netip.AddrPort
	timer         *cwtimer.Service
	target        netip.AddrPort
	mu            sync.Mutex
	faults        NetFaults
	bytesPerSec   int64                   // capacity of the link in each direction; 0: unlimited
	busyUntil     map[direction]time.Time // when each direction has sent the bytes that were given to it
	faultsChanged chan struct{}           // closed and replaced when faults change
	connections   map[*connection]struct{}
}

// connection is a forwarded connection: the connection from the client and the one to the target.
type connection struct {
	clientConn, targetConn net.Conn
	blackholed             chan struct{} // closed by BlackholeConnections
	blackholeOnce          sync.Once
	closed                 chan struct{} // closed by close
	closeOnce              sync.Once
}

// direction is a direction of a forwarded connection.
type direction string

// Directions of a connection.
const (
	toTarget   direction = "to-target"
	fromTarget direction = "from-target"
)

// NewProxy starts a TCP proxy without faults on a free port of the loopback interface, and returns the function that stops it.
func NewProxy(timer *cwtimer.Service, target netip.AddrPort) (p *Proxy, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	p = &Proxy{
		Address: netip.MustParseAddrPort(listener.Addr().String()), timer: timer, target: target,
		faultsChanged: make(chan struct{}), connections: map[*connection]struct{}{}, busyUntil: map[direction]time.Time{},
	}
	go p.acceptConnections(listener)
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
	close(p.faultsChanged)
	p.faultsChanged = make(chan struct{})
}

// SetBandwidth limits the bytes per second that all connections together may send in each direction; 0 sets no limit.
func (p *Proxy) SetBandwidth(bytesPerSec int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bytesPerSec = bytesPerSec
}

// reserveLink returns how long it takes until the link has sent n more bytes in a direction.
func (p *Proxy) reserveLink(d direction, n int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bytesPerSec == 0 {
		return 0
	}
	now := p.timer.Now()
	sentAt := p.busyUntil[d]
	if sentAt.Before(now) {
		sentAt = now
	}
	sentAt = sentAt.Add(time.Duration(n) * time.Second / time.Duration(p.bytesPerSec))
	p.busyUntil[d] = sentAt
	return sentAt.Sub(now)
}

// SetDisconnected resets all connections and refuses new ones, or accepts new ones again. It replaces all other faults.
func (p *Proxy) SetDisconnected(disconnected bool) {
	p.SetFaults(NetFaults{RefuseConnections: disconnected})
	if disconnected {
		p.ResetConnections()
	}
}

// ResetConnections closes all open connections with a TCP reset. New ones are not affected.
func (p *Proxy) ResetConnections() {
	for _, c := range p.openConnections() {
		for _, end := range []net.Conn{c.clientConn, c.targetConn} {
			if tcp, ok := end.(*net.TCPConn); ok {
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

// openConnections returns the connections that are forwarded now.
func (p *Proxy) openConnections() (list []*connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		list = append(list, c)
	}
	return list
}

// currentFaults returns the current faults, a channel that is closed when they change, and the current target.
func (p *Proxy) currentFaults() (faults NetFaults, changed <-chan struct{}, target netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.faultsChanged, p.target
}

// acceptConnections forwards each new connection until the listener is closed.
func (p *Proxy) acceptConnections(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

// forward connects a client to the target and copies in both directions until either side closes.
func (p *Proxy) forward(clientConn net.Conn) {
	faults, _, target := p.currentFaults()
	if faults.RefuseConnections {
		_ = clientConn.Close()
		return
	}
	targetConn, err := net.Dial("tcp", target.String())
	if err != nil {
		_ = clientConn.Close()
		return
	}
	c := &connection{clientConn: clientConn, targetConn: targetConn, blackholed: make(chan struct{}), closed: make(chan struct{})}
	p.mu.Lock()
	p.connections[c] = struct{}{}
	p.mu.Unlock()
	var copying sync.WaitGroup
	copying.Go(func() { p.copyOneWay(c, clientConn, targetConn, toTarget) })
	copying.Go(func() { p.copyOneWay(c, targetConn, clientConn, fromTarget) })
	copying.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, c)
}

// close closes both directions, and ends the wait of a black-holed connection.
func (c *connection) close() {
	_ = c.clientConn.Close()
	_ = c.targetConn.Close()
	c.closeOnce.Do(func() { close(c.closed) })
}

// copyOneWay copies in one direction until an end closes.
func (p *Proxy) copyOneWay(c *connection, from, to net.Conn, d direction) {
	defer c.closeAfterCopy()
	const chunkBytes = 32 << 10
	buf := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buf)
		if err != nil || !p.awaitForwarding(c, d) {
			return
		}
		if wait := p.reserveLink(d, n); wait > 0 && !p.timer.Sleep(c.closed, wait) {
			return
		}
		if _, err = to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// closeAfterCopy closes both directions once the copying in one of them has ended. A black-holed connection stays open until
// ResetConnections or SetDisconnected closes it, since neither end may notice the fault.
func (c *connection) closeAfterCopy() {
	select {
	case <-c.blackholed:
		<-c.closed
	default:
	}
	c.close()
}

// awaitForwarding waits while the faults stall or delay a direction. It returns false if its bytes must not be forwarded, because
// the connection is black-holed or closed.
func (p *Proxy) awaitForwarding(c *connection, d direction) bool {
	for {
		faults, changed, _ := p.currentFaults()
		select {
		case <-c.blackholed:
			return false
		default:
		}
		switch {
		case d == toTarget && faults.StallTo, d == fromTarget && faults.StallFrom:
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
