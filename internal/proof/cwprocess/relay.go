package cwprocess

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"currantward/internal/base/cwtimer"
)

// ProxyFaults is what a relay does to the bytes that it passes on; its zero value passes all.
type ProxyFaults struct {
	RefuseConnections bool          // new connections are closed at once
	Delay             time.Duration // of each piece, either way
	BlockForward      bool          // bytes towards the target wait until this ends
	BlockBackward     bool          // bytes from the target wait until this ends
}

// Proxy passes TCP connections on to a target and can harm them from outside either end.
type Proxy struct {
	Address netip.AddrPort
	timer   *cwtimer.Service
	target  netip.AddrPort
	mu      sync.Mutex
	present ProxyFaults
	changed chan struct{} // closed and replaced when the behaviour changes
	open    map[*link]struct{}
}

// link is one connection with its two ends.
type link struct {
	from, to net.Conn
	silent   chan struct{} // closed once nothing passes any more
	mute     sync.Once
	closed   chan struct{}
	end      sync.Once
}

// NewProxy starts a relay on a port that the system chooses and returns the function that stops it.
func NewProxy(timer *cwtimer.Service, target netip.AddrPort) (r *Proxy, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	r = &Proxy{
		Address: netip.MustParseAddrPort(listener.Addr().String()), timer: timer, target: target,
		changed: make(chan struct{}), open: map[*link]struct{}{},
	}
	go r.accept(listener)
	return r, func() {
		_ = listener.Close()
		r.SetDisconnected(true)
	}, nil
}

// SetTarget has new connections lead to another address, such as that of a process that was started again.
func (r *Proxy) SetTarget(target netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// SetFaults replaces the behaviour, for open connections too.
func (r *Proxy) SetFaults(b ProxyFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.present = b
	close(r.changed)
	r.changed = make(chan struct{})
}

// SetDisconnected closes all connections and refuses new ones, or lets them through again.
func (r *Proxy) SetDisconnected(cut bool) {
	r.SetFaults(ProxyFaults{RefuseConnections: cut})
	if cut {
		r.ResetConnections()
	}
}

// ResetConnections ends all open connections with a reset; new ones pass.
func (r *Proxy) ResetConnections() {
	for _, l := range r.links() {
		for _, conn := range []net.Conn{l.from, l.to} {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		}
		l.close()
	}
}

// BlackholeConnections has the connections that are open now pass nothing any more, without a reset; new ones pass.
func (r *Proxy) BlackholeConnections() {
	for _, l := range r.links() {
		l.mute.Do(func() { close(l.silent) })
	}
}

func (r *Proxy) links() (list []*link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.open {
		list = append(list, l)
	}
	return list
}

func (r *Proxy) behaviour() (b ProxyFaults, changed <-chan struct{}, target netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.present, r.changed, r.target
}

func (r *Proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go r.join(conn)
	}
}

// join copies both ways until either side ends.
func (r *Proxy) join(from net.Conn) {
	b, _, target := r.behaviour()
	if b.RefuseConnections {
		_ = from.Close()
		return
	}
	to, err := net.Dial("tcp", target.String())
	if err != nil {
		_ = from.Close()
		return
	}
	l := &link{from: from, to: to, silent: make(chan struct{}), closed: make(chan struct{})}
	r.mu.Lock()
	r.open[l] = struct{}{}
	r.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { r.pump(l, from, to, func(b ProxyFaults) bool { return b.BlockForward }) })
	copies.Go(func() { r.pump(l, to, from, func(b ProxyFaults) bool { return b.BlockBackward }) })
	copies.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, l)
}

// close ends both ends of a connection.
func (l *link) close() {
	_ = l.from.Close()
	_ = l.to.Close()
	l.end.Do(func() { close(l.closed) })
}

// pump copies one way, as the present behaviour has it.
func (r *Proxy) pump(l *link, from, to net.Conn, holds func(ProxyFaults) bool) {
	defer l.finish()
	const piece = 32 << 10
	buf := make([]byte, piece)
	for {
		n, err := from.Read(buf)
		if err != nil || !r.pass(l, holds) {
			return
		}
		if _, err = to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// finish ends a connection; one that is silent stays open until the relay is cut or reset, as its ends see nothing.
func (l *link) finish() {
	select {
	case <-l.silent:
		<-l.closed
	default:
	}
	l.close()
}

// pass waits as long as bytes are held or delayed, and reports false if they never pass.
func (r *Proxy) pass(l *link, holds func(ProxyFaults) bool) bool {
	for {
		b, changed, _ := r.behaviour()
		select {
		case <-l.silent:
			return false
		default:
		}
		switch {
		case holds(b):
			select {
			case <-changed:
			case <-l.closed:
				return false
			case <-l.silent:
			}
		case b.Delay > 0:
			return r.timer.Sleep(l.closed, b.Delay)
		default:
			return true
		}
	}
}
