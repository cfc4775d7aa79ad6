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

// peerTable holds the latest heartbeat of each other entry host that considers this host the owner of a cell.
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

// record replaces the heartbeat of the sending host by a new one.
func (t *peerTable) record(h cwcellport.Heartbeat) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.records == nil {
		t.records = map[cwmodel.HostID]peerRecord{}
	}
	t.records[h.From.ID] = peerRecord{Heartbeat: h, receivedAt: t.timer.Now()}
}

// list returns the hosts with a recent heartbeat for which include returns true: those that own fewer cells first, then the
// faster ones. It removes hosts without a heartbeat within peerExpiry from the table.
func (t *peerTable) list(include func(cwcellport.Heartbeat) bool) (hosts []cwcellport.EntryHost) {
	now := t.timer.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []cwcellport.Heartbeat
	for id, r := range t.records {
		switch {
		case now.Sub(r.receivedAt) > peerExpiry:
			delete(t.records, id)
		case include(r.Heartbeat):
			found = append(found, r.Heartbeat)
		}
	}
	slices.SortFunc(found, func(a, b cwcellport.Heartbeat) int {
		return cmp.Or(cmp.Compare(a.OwnedCells, b.OwnedCells), -cmp.Compare(a.Capacity, b.Capacity), cmp.Compare(a.From.ID, b.From.ID))
	})
	for _, h := range found {
		hosts = append(hosts, h.From)
	}
	return hosts
}

// live returns the hosts with a recent heartbeat that are not draining.
func (t *peerTable) live() []cwcellport.EntryHost {
	return t.list(func(h cwcellport.Heartbeat) bool { return !h.Draining })
}

// maxAdvertisedPerDataCentre bounds the hosts of each data centre in an owner's heartbeat responses. Hosts need a few of them
// to know which ones precede them as the next owner and to relay submissions, even while one fails. The full list would be most
// of the traffic between the entry hosts of a large deployment.
const maxAdvertisedPerDataCentre = 3

// advertised returns up to maxAdvertisedPerDataCentre hosts of each data centre for an owner's heartbeat responses: the preferred
// ones among the live hosts that reach the store. If no host reaches the store,
// as in an outage, it chooses from all live hosts, since fast hosts must precede the others after the outage.
func (t *peerTable) advertised() (hosts []cwcellport.EntryHost) {
	best := t.withStoreAccess()
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

// withStoreAccess returns the live hosts that report that they reach the store.
func (t *peerTable) withStoreAccess() []cwcellport.EntryHost {
	return t.list(func(h cwcellport.Heartbeat) bool { return !h.Draining && h.StoreOK })
}
