package cwingress

import (
	"context"
	"time"

	"currantward/internal/base/cwduty"
	"currantward/internal/base/cwring"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwroute"
	"currantward/internal/port/cwport"
)

// inboxSize bounds the requests that wait for a route; one that finds no room is placed here.
const inboxSize = 4096

// ask is a request that looks for a peer.
type ask struct {
	demand cwmodel.Resources
	left   time.Duration // until the deadline
	tried  []cwmodel.HostID
	queue  bool // a peer without room will do
	reply  chan cwmodel.HostID
}

// router is the duty that owns the routing state.
type router struct {
	opts    Options
	inbox   *cwring.Ring[ask]
	machine *cwroute.Router
}

func newRouter(opts Options) (r *router, stop func()) {
	r = &router{opts: opts, inbox: cwring.New[ask](inboxSize), machine: cwroute.New(opts.Route)}
	return r, cwduty.Start("router", r.run)
}

// choose returns the peer to hand a request to and reports whether there is one.
func (r *router) choose(ctx context.Context, a ask) (to cwport.LoadReport, ok bool) {
	a.reply = make(chan cwmodel.HostID, 1)
	if !r.inbox.Offer(a) {
		return to, false
	}
	select {
	case host := <-a.reply:
		return r.find(host)
	case <-ctx.Done():
		return to, false
	}
}

func (r *router) find(host cwmodel.HostID) (to cwport.LoadReport, ok bool) {
	for _, d := range r.opts.LoadReports() {
		if d.Host == host {
			return d, true
		}
	}
	return to, false
}

func (r *router) run(ctx context.Context) {
	for ctx.Err() == nil {
		if a, ok := r.inbox.Take(ctx); ok {
			a.reply <- r.decide(a)
		}
	}
}

func (r *router) decide(a ask) cwmodel.HostID {
	var peers []cwroute.Peer
	for _, d := range r.opts.LoadReports() {
		peers = append(peers, cwroute.Peer{
			Host: d.Host, DataCentre: d.DataCentre, Workers: d.Workers, Free: d.Free, LargestFree: d.LargestFree, Waiting: d.Waiting, Leaving: d.Leaving,
		})
	}
	host, ok := r.machine.Choose(r.opts.Timer.Now(), peers, a.demand, a.left, a.tried)
	if !ok && a.queue {
		host, _ = r.machine.LeastLoaded(peers, a.tried)
	}
	return host
}
