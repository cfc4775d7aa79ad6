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

// peerTable holds the latest heartbeats of the other entry hosts, as received by the owner of a cell.
type peerTable struct {
	timer   *cwtimer.Service
	mu      sync.Mutex
	records map[cwmodel.HostID]peerRecord
}

// peerRecord is the latest heartbeat of a host.
type peerRecord struct {
	cwcellport.Heartbeat
	receivedAt time.Time
}

func (t *peerTable) record(p cwcellport.Heartbeat) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.records == nil {
		t.records = map[cwmodel.HostID]peerRecord{}
	}
	t.records[p.From.ID] = peerRecord{Heartbeat: p, receivedAt: t.timer.Now()}
}

// list returns the hosts with a recent heartbeat that satisfy pass: those with fewer cells first, then the fastest.
func (t *peerTable) list(pass func(cwcellport.Heartbeat) bool) (hosts []cwcellport.EntryHost) {
	now := t.timer.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []cwcellport.Heartbeat
	for id, r := range t.records {
		switch {
		case now.Sub(r.receivedAt) > peerExpiry:
			delete(t.records, id)
		case pass(r.Heartbeat):
			found = append(found, r.Heartbeat)
		}
	}
	slices.SortFunc(found, func(a, b cwcellport.Heartbeat) int {
		return cmp.Or(cmp.Compare(a.OwnedCells, b.OwnedCells), -cmp.Compare(a.Capacity, b.Capacity), cmp.Compare(a.From.ID, b.From.ID))
	})
	for _, p := range found {
		hosts = append(hosts, p.From)
	}
	return hosts
}

// live returns the hosts with a recent heartbeat that are not draining.
func (t *peerTable) live() []cwcellport.EntryHost {
	return t.list(func(p cwcellport.Heartbeat) bool { return !p.Draining })
}

// maxAdvertisedPerDataCentre bounds the hosts of each data centre in an owner's responses. The others need a few of them to
// know which hosts precede them and to find a relay while one fails. The full list would be most of the peer traffic of a
// large deployment.
const maxAdvertisedPerDataCentre = 3

// advertised returns the preferred hosts of each data centre. In an outage of the store no host reaches it, but fast hosts
// must still precede the others after the outage.
func (t *peerTable) advertised() (hosts []cwcellport.EntryHost) {
	best := t.reachable()
	if len(best) == 0 {
		best = t.live()
	}
	counts := map[cwmodel.DataCentre]int{}
	for _, h := range best {
		if counts[h.DataCentre]++; counts[h.DataCentre] <= maxAdvertisedPerDataCentre {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// reachable returns the live hosts that reach the store.
func (t *peerTable) reachable() []cwcellport.EntryHost {
	return t.list(func(p cwcellport.Heartbeat) bool { return !p.Draining && p.StoreOK })
}
