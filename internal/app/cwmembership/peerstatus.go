package cwmembership

import (
	"slices"
	"strings"
	"time"

	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
)

// PeerStatus is what this host knows of another entry host.
type PeerStatus struct {
	Host       cwmodel.HostID
	DataCentre cwmodel.DataCentre
	Listed     bool              // it is in the platform's latest host list
	State      cwmodel.HostState // in the host list; empty if it was never listed
	Report     cwport.LoadReport // latest load report; zero if there was none
	ReceivedAt time.Time         // arrival of that report; zero if there was none
	Reachable  bool              // its latest report is younger than Options.UnreachableAfter
}

// Peers returns all other entry hosts that are listed or reachable, sorted by host. The slice must not be changed.
func (m *Membership) Peers() []PeerStatus {
	if statuses := m.statuses.Load(); statuses != nil {
		return *statuses
	}
	return nil
}

// ExchangeNow requests an exchange of load reports with all listed live peers, without waiting for the next one that is due.
func (m *Membership) ExchangeNow() { m.inbox.Offer(event{kind: eventExchangeNow}) }

// ListedAt returns when the latest host list arrived. It is zero if there was none; Peers may then lack existing hosts.
func (m *Membership) ListedAt() time.Time {
	if at := m.listedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// recordList records the arrival of the latest host list and its entry hosts.
func (m *Membership) recordList(hosts []cwmodel.Host) {
	now := m.opts.Timer.Now()
	m.listedAt.Store(&now)
	m.listedPeers = map[cwmodel.HostID]bool{}
	for _, host := range hosts {
		if host.Role == cwmodel.RoleEntryHost {
			m.listedPeers[host.ID] = true
		}
	}
}

// publishStatuses stores the statuses that Peers returns.
func (m *Membership) publishStatuses(now time.Time) {
	var all []PeerStatus
	for id, p := range m.peers {
		status := PeerStatus{
			Host: id, DataCentre: p.host.DataCentre, Listed: m.listedPeers[id], State: p.host.State, Report: p.report, ReceivedAt: p.receivedAt,
			Reachable: m.isReachable(now, p),
		}
		if status.DataCentre == "" {
			status.DataCentre = p.report.DataCentre
		}
		if status.Listed || status.Reachable {
			all = append(all, status)
		}
	}
	slices.SortFunc(all, func(a, b PeerStatus) int { return strings.Compare(string(a.Host), string(b.Host)) })
	m.statuses.Store(&all)
}
