// Package cwpeer is the client and the server of the calls between entry hosts, over twirp.
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

// ClientOptions configure the client.
type ClientOptions struct {
	Timer           *cwtimer.Service
	Timeout         time.Duration // of a load exchange, a configuration read and a dial
	MaxConnsPerPeer int
	Traffic         *cwhttp.ByteCounter // nil: not counted
}

// client calls peers. It keeps one twirp client for each address.
type client struct {
	opts    ClientOptions
	http    *http.Client
	mu      sync.Mutex
	clients map[netip.AddrPort]cwpeerwire.Peer
}

// New returns the port to peers and a function that closes its connections.
func New(opts ClientOptions) (port cwport.Peers, stop func()) {
	httpClient, stop := cwrpc.NewClient(cwrpc.ClientOptions{DialTimeout: opts.Timeout, MaxConnsPerPeer: opts.MaxConnsPerPeer, Traffic: opts.Traffic})
	c := &client{opts: opts, http: httpClient, clients: map[netip.AddrPort]cwpeerwire.Peer{}}
	return cwport.Peers{ExchangeLoad: c.exchangeLoad, Forward: c.forward, Configuration: c.readConfiguration}, stop
}

// peer returns the twirp client of an address.
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

func (c *client) exchangeLoad(ctx context.Context, addr netip.AddrPort, ours cwport.LoadReport) (theirs cwport.LoadReport, err error) {
	defer func() { err = eris.Wrap(err, "exchange load reports") }()
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	response, err := c.peer(addr).Exchange(ctx, loadReportToWire(ours))
	if err != nil {
		return theirs, fromTwirpError(err)
	}
	return loadReportFromWire(response)
}

func (c *client) forward(ctx context.Context, addr netip.AddrPort, task cwmodel.Task, hops int) (response cwmodel.Response, err error) {
	defer func() { err = eris.Wrap(err, "forward request") }()
	out, err := c.peer(addr).Forward(ctx, forwardToWire(task, hops, c.opts.Timer.Now()))
	if err != nil {
		return response, fromTwirpError(err)
	}
	return responseFromWire(task.ID, out)
}

// readConfiguration returns the configuration that is active on the peer at addr.
func (c *client) readConfiguration(ctx context.Context, addr netip.AddrPort) (cfg cwpolicy.Configuration, err error) {
	defer func() { err = eris.Wrap(err, "read peer configuration") }()
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	out, err := c.peer(addr).GetConfiguration(ctx, &cwpeerwire.ConfigurationRequest{})
	if err != nil {
		return cfg, fromTwirpError(err)
	}
	return cwcodec.DecodeConfiguration(out.GetDocument())
}

// fromTwirpError maps a twirp error to a typed one: Unavailable if the dial failed or the peer itself refused the call, so that the
// call certainly had no effect, and Indefinite otherwise.
func fromTwirpError(err error) error {
	if cwrpc.IsDialError(err) {
		return cwfault.New(cwfault.Unavailable, "%v", err)
	}
	var remote twirp.Error
	if eris.As(err, &remote) && remote.Code() == twirp.FailedPrecondition {
		return cwfault.New(cwfault.Unavailable, "%s", remote.Msg())
	}
	return cwfault.New(cwfault.Indefinite, "%v", err)
}
