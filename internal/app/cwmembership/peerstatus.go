package cwmembership

import (
	"slices"
	"strings"
	"time"

	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
)

// PeerStatus is what this host knows of one other entry host, reachable or not.
type PeerStatus struct {
	Host       cwmodel.HostID
	DataCentre cwmodel.DataCentre
	Listed     bool              // the platform's latest list has it
	State      cwmodel.HostState // in that list; empty if it was never listed
	Report     cwport.LoadReport // the latest one; zero if there was none
	ReceivedAt time.Time         // when that digest came; zero if there was none
	Reachable  bool              // it was heard within the silence limit
}

// Peers returns every entry host that is listed or reachable, sorted by host; the slice must not be changed.
func (m *Membership) Peers() []PeerStatus {
	if known := m.known.Load(); known != nil {
		return *known
	}
	return nil
}

// ExchangeNow tells all peers our digest without waiting for the period.
func (m *Membership) ExchangeNow() { m.inbox.Offer(event{kind: eventExchangeNow}) }

// ListedAt returns when the latest list came; zero if there was none, and then hosts may exist that Known lacks.
func (m *Membership) ListedAt() time.Time {
	if at := m.listedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// noteListed remembers which entry hosts the latest list has.
func (m *Membership) noteListed(hosts []cwmodel.Host) {
	now := m.opts.Timer.Now()
	m.listedAt.Store(&now)
	m.listedHosts = map[cwmodel.HostID]bool{}
	for _, host := range hosts {
		if host.Role == cwmodel.RoleEntryHost {
			m.listedHosts[host.ID] = true
		}
	}
}

// publishKnown replaces what Known returns.
func (m *Membership) publishKnown(now time.Time) {
	var all []PeerStatus
	for id, p := range m.peers {
		k := PeerStatus{
			Host: id, DataCentre: p.host.DataCentre, Listed: m.listedHosts[id], State: p.host.State, Report: p.digest, ReceivedAt: p.heard,
			Reachable: m.isLive(now, p),
		}
		if k.DataCentre == "" {
			k.DataCentre = p.digest.DataCentre
		}
		if k.Listed || k.Reachable {
			all = append(all, k)
		}
	}
	slices.SortFunc(all, func(a, b PeerStatus) int { return strings.Compare(string(a.Host), string(b.Host)) })
	m.known.Store(&all)
}
