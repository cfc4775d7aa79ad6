package cwprocess

import (
	"io"
	"net"
	"net/netip"
	"sync"
)

// Relay passes TCP connections on to a target and can cut them all.
type Relay struct {
	Address netip.AddrPort
	target  netip.AddrPort
	mu      sync.Mutex
	cut     bool
	open    map[net.Conn]bool
}

// NewRelay starts a relay on a port that the system chooses and returns the function that stops it.
func NewRelay(target netip.AddrPort) (r *Relay, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	r = &Relay{Address: netip.MustParseAddrPort(listener.Addr().String()), target: target, open: map[net.Conn]bool{}}
	go r.accept(listener)
	return r, func() {
		_ = listener.Close()
		r.Cut(true)
	}, nil
}

// Cut closes all connections and refuses new ones, or lets them through again.
func (r *Relay) Cut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	if cut {
		for conn := range r.open {
			_ = conn.Close()
		}
	}
}

func (r *Relay) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go r.join(conn)
	}
}

// join copies both ways until either side ends.
func (r *Relay) join(from net.Conn) {
	to, err := net.Dial("tcp", r.target.String())
	if err != nil {
		_ = from.Close()
		return
	}
	if !r.keep(from, to) {
		return
	}
	var copies sync.WaitGroup
	for _, way := range [][2]net.Conn{{from, to}, {to, from}} {
		copies.Go(func() {
			_, _ = io.Copy(way[0], way[1])
			_ = from.Close()
			_ = to.Close()
		})
	}
	copies.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, from)
	delete(r.open, to)
}

// keep notes the two ends of a connection, or closes them if the relay is cut.
func (r *Relay) keep(ends ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range ends {
		if r.cut {
			_ = conn.Close()
			continue
		}
		r.open[conn] = true
	}
	return !r.cut
}
