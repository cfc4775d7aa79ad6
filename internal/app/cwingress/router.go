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

// inboxSize bounds the requests that wait for a route. If the inbox is full, a request runs on this host.
const inboxSize = 4096

// routeRequest asks the router for a peer to forward a request to.
type routeRequest struct {
	demand   cwmodel.Resources
	timeLeft time.Duration // until the deadline
	tried    []cwmodel.HostID
	mayQueue bool // a peer without free capacity is acceptable
	reply    chan cwmodel.HostID
}

// router is the duty that owns the routing state.
type router struct {
	opts     Options
	inbox    *cwring.Ring[routeRequest]
	selector *cwroute.Router
}

func newRouter(opts Options) (r *router, stop func()) {
	r = &router{opts: opts, inbox: cwring.New[routeRequest](inboxSize), selector: cwroute.New(opts.Route)}
	return r, cwduty.Start("router", r.run)
}

// choose returns the peer to forward a request to and reports whether there is one.
func (r *router) choose(ctx context.Context, req routeRequest) (to cwport.LoadReport, ok bool) {
	req.reply = make(chan cwmodel.HostID, 1)
	if !r.inbox.Offer(req) {
		return to, false
	}
	select {
	case host := <-req.reply:
		return r.loadReportOf(host)
	case <-ctx.Done():
		return to, false
	}
}

func (r *router) loadReportOf(host cwmodel.HostID) (to cwport.LoadReport, ok bool) {
	for _, d := range r.opts.LoadReports() {
		if d.Host == host {
			return d, true
		}
	}
	return to, false
}

func (r *router) run(ctx context.Context) {
	for ctx.Err() == nil {
		if req, ok := r.inbox.Take(ctx); ok {
			req.reply <- r.choosePeer(req)
		}
	}
}

func (r *router) choosePeer(req routeRequest) cwmodel.HostID {
	var peers []cwroute.Peer
	for _, d := range r.opts.LoadReports() {
		peers = append(peers, cwroute.Peer{
			Host: d.Host, DataCentre: d.DataCentre, Workers: d.Workers, Free: d.Free, LargestFree: d.LargestFree, Waiting: d.Waiting, Draining: d.Draining,
		})
	}
	host, ok := r.selector.Choose(r.opts.Timer.Now(), peers, req.demand, req.timeLeft, req.tried)
	if !ok && req.mayQueue {
		host, _ = r.selector.LeastLoaded(peers, req.tried)
	}
	return host
}
