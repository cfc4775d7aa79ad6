// Package cwroute decides which entry host a request is handed to, from what the hosts last said of their load.
//
// A Router is deterministic for a seed and is used by one goroutine at a time.
package cwroute

import (
	"math/rand/v2"
	"time"

	"currantward/internal/core/cwmodel"
)

// Peer is what another entry host last said of itself.
type Peer struct {
	Host        cwmodel.HostID
	DataCentre  cwmodel.DataCentre
	Workers     int
	Free        cwmodel.Resources // over all its workers
	LargestFree cwmodel.Resources // of its emptiest worker
	Waiting     int
	Leaving     bool
}

// Options set up a router.
type Options struct {
	Seed       uint64
	DataCentre cwmodel.DataCentre
	// MinSpillTime is how much time a request must have left to be sent to another data centre.
	MinSpillTime time.Duration
	// SentLoadTTL is how long what was sent to a peer counts against what it said before.
	SentLoadTTL time.Duration
}

// belief is what was sent to a peer since it told of its load.
type belief struct {
	said  Peer
	since time.Time
	sent  cwmodel.Resources
}

// Router remembers what it has sent where.
type Router struct {
	opts    Options
	random  *rand.Rand
	beliefs map[cwmodel.HostID]*belief
}

// New returns a router that has sent nothing.
func New(opts Options) *Router {
	return &Router{opts: opts, random: rand.New(rand.NewPCG(opts.Seed, 1)), beliefs: map[cwmodel.HostID]*belief{}}
}

// Choose returns a peer at which a task of this demand would start at once, and counts the task against its room.
//
// Peers of the own data centre come first. Of two drawn at random the one with more room is taken, so that
// hosts which act on the same digests do not all choose the same peer.
func (r *Router) Choose(now time.Time, peers []Peer, demand cwmodel.Resources, left time.Duration, tried []cwmodel.HostID) (host cwmodel.HostID, ok bool) {
	r.forget(now, peers)
	var home, abroad []Peer
	for _, p := range peers {
		if p.Leaving || contains(tried, p.Host) || !r.hasRoom(now, p, demand) {
			continue
		}
		if p.DataCentre == r.opts.DataCentre {
			home = append(home, p)
		} else {
			abroad = append(abroad, p)
		}
	}
	candidates := home
	if len(home) == 0 && left >= r.opts.MinSpillTime {
		candidates = abroad
	}
	if len(candidates) == 0 {
		return "", false
	}
	chosen := r.better(now, r.draw(candidates), r.draw(candidates))
	b := r.beliefOf(now, chosen)
	b.sent = b.sent.Add(demand)
	return chosen.Host, true
}

// LeastLoaded returns the peer of the own data centre whose workers have the least waiting work, for a host without workers.
func (r *Router) LeastLoaded(peers []Peer, tried []cwmodel.HostID) (host cwmodel.HostID, ok bool) {
	var best Peer
	for _, p := range peers {
		if p.Leaving || p.Workers == 0 || p.DataCentre != r.opts.DataCentre || contains(tried, p.Host) {
			continue
		}
		if !ok || p.Waiting*best.Workers < best.Waiting*p.Workers {
			best, ok = p, true
		}
	}
	return best.Host, ok
}

func (r *Router) draw(peers []Peer) Peer { return peers[r.random.IntN(len(peers))] }

func (r *Router) better(now time.Time, a, b Peer) Peer {
	if r.room(now, b).Slots > r.room(now, a).Slots {
		return b
	}
	return a
}

// room returns what a peer has free after what was sent to it since it told so.
func (r *Router) room(now time.Time, p Peer) cwmodel.Resources {
	return p.Free.Sub(r.beliefOf(now, p).sent)
}

func (r *Router) hasRoom(now time.Time, p Peer, demand cwmodel.Resources) bool {
	return p.Workers > 0 && demand.FitsIn(p.LargestFree) && demand.FitsIn(r.room(now, p))
}

// beliefOf returns what is believed of a peer; a new digest or time ends it.
func (r *Router) beliefOf(now time.Time, p Peer) *belief {
	b, ok := r.beliefs[p.Host]
	if !ok || b.said != p || now.Sub(b.since) >= r.opts.SentLoadTTL {
		b = &belief{said: p, since: now}
		r.beliefs[p.Host] = b
	}
	return b
}

// forget drops what is believed of peers that are gone.
func (r *Router) forget(now time.Time, peers []Peer) {
	if len(r.beliefs) <= 2*len(peers) {
		return
	}
	for host, b := range r.beliefs {
		if now.Sub(b.since) >= r.opts.SentLoadTTL {
			delete(r.beliefs, host)
		}
	}
}

func contains(hosts []cwmodel.HostID, host cwmodel.HostID) bool {
	for _, h := range hosts {
		if h == host {
			return true
		}
	}
	return false
}
