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

// inboxSize bounds the requests that wait for the choice of a peer. If the inbox is full, a request is not forwarded.
const inboxSize = 4096

// routeRequest asks the router for a peer to forward a request to.
type routeRequest struct {
	demand   cwmodel.Resources
	timeLeft time.Duration       // until the deadline
	tried    []cwmodel.HostID    // peers that must not be chosen again
	mayQueue bool                // a peer without free capacity is acceptable
	reply    chan cwmodel.HostID // gets the chosen peer, or an empty ID if there is none
}

// router is the duty that chooses the peers to which requests are forwarded.
type router struct {
	opts     Options
	inbox    *cwring.Ring[routeRequest]
	selector *cwroute.Router
}

// newRouter starts the router and returns it with the function that stops it.
func newRouter(opts Options) (r *router, stop func()) {
	r = &router{opts: opts, inbox: cwring.New[routeRequest](inboxSize), selector: cwroute.New(opts.Route)}
	return r, cwduty.Start("router", r.run)
}

// choose asks the duty for the peer to forward a request to and returns its load report. ok is false if there is none, if the inbox is full or
// if ctx ends first.
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

// loadReportOf returns the load report of a peer, which has its address; ok is false if the peer is not reachable any more.
func (r *router) loadReportOf(host cwmodel.HostID) (to cwport.LoadReport, ok bool) {
	for _, d := range r.opts.LoadReports() {
		if d.Host == host {
			return d, true
		}
	}
	return to, false
}

// run responds to the requests in the inbox until ctx ends.
func (r *router) run(ctx context.Context) {
	for ctx.Err() == nil {
		if req, ok := r.inbox.Take(ctx); ok {
			req.reply <- r.choosePeer(req)
		}
	}
}

// choosePeer returns a peer with free capacity or, if the peer may queue the request, the least loaded one. It returns an empty ID if there
// is none.
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
