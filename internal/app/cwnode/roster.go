package cwnode

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwcellport"
)

// roster is what the owner of a cell knows of the other entry hosts from their pulses.
type roster struct {
	timer *cwtimer.Service
	mu    sync.Mutex
	seen  map[cwmodel.HostID]sighting
}

// sighting is the latest pulse of a host.
type sighting struct {
	cwcellport.Heartbeat
	at time.Time
}

func (r *roster) note(p cwcellport.Heartbeat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.seen == nil {
		r.seen = map[cwmodel.HostID]sighting{}
	}
	r.seen[p.From.ID] = sighting{Heartbeat: p, at: r.timer.Now()}
}

// list returns the hosts that were heard of lately and pass the filter: those that own fewer cells first, then the fastest.
func (r *roster) list(pass func(cwcellport.Heartbeat) bool) (hosts []cwcellport.EntryHost) {
	now := r.timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []cwcellport.Heartbeat
	for id, s := range r.seen {
		switch {
		case now.Sub(s.at) > rosterAge:
			delete(r.seen, id)
		case pass(s.Heartbeat):
			found = append(found, s.Heartbeat)
		}
	}
	slices.SortFunc(found, func(a, b cwcellport.Heartbeat) int {
		return cmp.Or(cmp.Compare(a.Owned, b.Owned), -cmp.Compare(a.Capacity, b.Capacity), cmp.Compare(a.From.ID, b.From.ID))
	})
	for _, p := range found {
		hosts = append(hosts, p.From)
	}
	return hosts
}

// live returns the hosts that were heard of lately.
func (r *roster) live() []cwcellport.EntryHost {
	return r.list(func(p cwcellport.Heartbeat) bool { return !p.Leaving })
}

// toldPerDataCentre is how many hosts of each data centre an owner tells the others of: enough for them to know who comes
// before them, and to find a relay while one of these fails. All of them would be most of what a large deployment sends.
const toldPerDataCentre = 3

// told returns the best hosts of each data centre. In an outage of the store none reaches it, and yet the fast ones come first
// once it is back.
func (r *roster) told() (hosts []cwcellport.EntryHost) {
	best := r.reachable()
	if len(best) == 0 {
		best = r.live()
	}
	counts := map[cwmodel.DataCentre]int{}
	for _, h := range best {
		if counts[h.DataCentre]++; counts[h.DataCentre] <= toldPerDataCentre {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// reachable returns the live hosts that reach the store.
func (r *roster) reachable() []cwcellport.EntryHost {
	return r.list(func(p cwcellport.Heartbeat) bool { return !p.Leaving && p.StoreOK })
}
