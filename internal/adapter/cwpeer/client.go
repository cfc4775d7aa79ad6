// Package cwpeer joins the entry hosts by twirp.
package cwpeer

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/adapter/cwpeerwire"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwhttp"
	"currantward/internal/base/cwrpc"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
	"currantward/internal/port/cwport"
)

// ClientOptions bound the calls to peers.
type ClientOptions struct {
	Timer           *cwtimer.Service
	Timeout         time.Duration // of an exchange
	MaxConnsPerPeer int
	Traffic         *cwhttp.ByteCounter // nil: not counted
}

// client calls peers.
type client struct {
	opts    ClientOptions
	http    *http.Client
	mu      sync.Mutex
	clients map[netip.AddrPort]cwpeerwire.Peer
}

// New returns the port to peers and the function that closes its connections.
func New(opts ClientOptions) (port cwport.Peers, stop func()) {
	web, stop := cwrpc.NewClient(cwrpc.ClientOptions{DialTimeout: opts.Timeout, MaxConnsPerPeer: opts.MaxConnsPerPeer, Traffic: opts.Traffic})
	c := &client{opts: opts, http: web, clients: map[netip.AddrPort]cwpeerwire.Peer{}}
	return cwport.Peers{ExchangeLoad: c.exchange, Forward: c.forward, Configuration: c.configuration}, stop
}

func (c *client) peer(addr netip.AddrPort) cwpeerwire.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	peer, ok := c.clients[addr]
	if !ok {
		peer = cwpeerwire.NewPeerProtobufClient("http://"+addr.String(), c.http)
		c.clients[addr] = peer
	}
	return peer
}

func (c *client) exchange(ctx context.Context, addr netip.AddrPort, digest cwport.LoadReport) (theirs cwport.LoadReport, err error) {
	defer func() { err = eris.Wrap(err, "exchange digests") }()
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	answer, err := c.peer(addr).Exchange(ctx, digestToWire(digest))
	if err != nil {
		return theirs, typed(err)
	}
	return digestFromWire(answer)
}

func (c *client) forward(ctx context.Context, addr netip.AddrPort, task cwmodel.Task, hops int) (answer cwmodel.Response, err error) {
	defer func() { err = eris.Wrap(err, "forward request") }()
	reply, err := c.peer(addr).Forward(ctx, forwardToWire(task, hops, c.opts.Timer.Now()))
	if err != nil {
		return answer, typed(err)
	}
	return answerFromWire(task.ID, reply)
}

func (c *client) configuration(ctx context.Context, addr netip.AddrPort) (cfg cwpolicy.Configuration, err error) {
	defer func() { err = eris.Wrap(err, "read a peer's configuration") }()
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	reply, err := c.peer(addr).GetConfiguration(ctx, &cwpeerwire.ConfigurationRequest{})
	if err != nil {
		return cfg, typed(err)
	}
	return cwcodec.DecodeConfiguration(reply.GetDocument())
}

// typed maps an error of the transport: only a refusal by the peer itself or a failure to connect is certain to have done nothing.
func typed(err error) error {
	if cwrpc.IsDialError(err) {
		return cwfault.New(cwfault.Unavailable, "%v", err)
	}
	var remote twirp.Error
	if eris.As(err, &remote) && remote.Code() == twirp.FailedPrecondition {
		return cwfault.New(cwfault.Unavailable, "%s", remote.Msg())
	}
	return cwfault.New(cwfault.Indefinite, "%v", err)
}
