// Package cwroute selects the entry host that a request is forwarded to, based on the latest load reports of the hosts.
//
// A Router is deterministic for a given seed and is used by one goroutine at a time.
package cwroute

import (
	"math/rand/v2"
	"time"

	"currantward/internal/core/cwmodel"
)

// Peer is the latest load report of another entry host.
type Peer struct {
	Host        cwmodel.HostID
	DataCentre  cwmodel.DataCentre
	Workers     int
	Free        cwmodel.Resources // sum over its workers
	LargestFree cwmodel.Resources // largest over its workers
	Waiting     int               // waiting tasks
	Draining    bool
}

// Options configure a router.
type Options struct {
	Seed       uint64
	DataCentre cwmodel.DataCentre
	// MinSpillTime is the minimum time left before the deadline for a request to be sent to another data centre.
	MinSpillTime time.Duration
	// SentLoadTTL is how long load sent to a peer is subtracted from its last report.
	SentLoadTTL time.Duration
}

// sentLoad is the load sent to a peer since its last report.
type sentLoad struct {
	report Peer              // last report
	since  time.Time         // when the first load after that report was sent
	total  cwmodel.Resources // demands sent since then
}

// Router selects peers and tracks the load that it has sent to each.
type Router struct {
	opts      Options
	random    *rand.Rand
	sentLoads map[cwmodel.HostID]*sentLoad
}

// New returns a router without sent load.
func New(opts Options) *Router {
	return &Router{opts: opts, random: rand.New(rand.NewPCG(opts.Seed, 1)), sentLoads: map[cwmodel.HostID]*sentLoad{}}
}

// Choose returns a peer where a task with this demand can start at once, and records the demand as sent there. left is the
// time left before the task's deadline; peers in tried are skipped.
//
// Peers of the local data centre are preferred. The choice is the freer of two random candidates, so that hosts with the
// same load reports do not all choose the same peer.
func (r *Router) Choose(now time.Time, peers []Peer, demand cwmodel.Resources, timeLeft time.Duration, tried []cwmodel.HostID) (host cwmodel.HostID, ok bool) {
	r.evictExpired(now, peers)
	var local, remote []Peer
	for _, p := range peers {
		if p.Draining || contains(tried, p.Host) || !r.fits(now, p, demand) {
			continue
		}
		if p.DataCentre == r.opts.DataCentre {
			local = append(local, p)
		} else {
			remote = append(remote, p)
		}
	}
	candidates := local
	if len(local) == 0 && timeLeft >= r.opts.MinSpillTime {
		candidates = remote
	}
	if len(candidates) == 0 {
		return "", false
	}
	chosen := r.freer(now, r.draw(candidates), r.draw(candidates))
	s := r.sentLoadOf(now, chosen)
	s.total = s.total.Add(demand)
	return chosen.Host, true
}

// LeastLoaded returns the peer of the local data centre with the fewest waiting tasks per worker, for a host without workers.
func (r *Router) LeastLoaded(peers []Peer, tried []cwmodel.HostID) (host cwmodel.HostID, ok bool) {
	var best Peer
	for _, p := range peers {
		if p.Draining || p.Workers == 0 || p.DataCentre != r.opts.DataCentre || contains(tried, p.Host) {
			continue
		}
		if !ok || p.Waiting*best.Workers < best.Waiting*p.Workers {
			best, ok = p, true
		}
	}
	return best.Host, ok
}

// draw returns a random peer.
func (r *Router) draw(peers []Peer) Peer { return peers[r.random.IntN(len(peers))] }

// freer returns the peer with more free slots, a if they are equal.
func (r *Router) freer(now time.Time, a, b Peer) Peer {
	if r.free(now, b).Slots > r.free(now, a).Slots {
		return b
	}
	return a
}

// free returns the free capacity of a peer less the load sent to it since its report.
func (r *Router) free(now time.Time, p Peer) cwmodel.Resources {
	return p.Free.Sub(r.sentLoadOf(now, p).total)
}

// fits reports whether a task with this demand can start at once on a worker of a peer.
func (r *Router) fits(now time.Time, p Peer, demand cwmodel.Resources) bool {
	return p.Workers > 0 && demand.FitsIn(p.LargestFree) && demand.FitsIn(r.free(now, p))
}

// sentLoadOf returns the load sent to a peer; a new report or the end of SentLoadTTL resets it.
func (r *Router) sentLoadOf(now time.Time, p Peer) *sentLoad {
	s, ok := r.sentLoads[p.Host]
	if !ok || s.report != p || now.Sub(s.since) >= r.opts.SentLoadTTL {
		s = &sentLoad{report: p, since: now}
		r.sentLoads[p.Host] = s
	}
	return s
}

// evictExpired removes expired entries once there are more than twice as many as peers.
func (r *Router) evictExpired(now time.Time, peers []Peer) {
	if len(r.sentLoads) <= 2*len(peers) {
		return
	}
	for host, s := range r.sentLoads {
		if now.Sub(s.since) >= r.opts.SentLoadTTL {
			delete(r.sentLoads, host)
		}
	}
}

// contains reports whether hosts contains host.
func contains(hosts []cwmodel.HostID, host cwmodel.HostID) bool {
	for _, h := range hosts {
		if h == host {
			return true
		}
	}
	return false
}
