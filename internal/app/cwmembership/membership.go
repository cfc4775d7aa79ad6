// Package cwmembership tracks which hosts exist and which entry hosts are reachable.
//
// It joins the platform's host list, which lags, with the load reports that entry hosts exchange.
package cwmembership

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"

	"currantward/internal/base/cwduty"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwring"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
)

// Options configure a Membership.
type Options struct {
	Timer            *cwtimer.Service
	Log              *logrus.Logger
	Pool             *ants.Pool
	HostList         cwport.HostList
	Peers            cwport.Peers
	Self             cwmodel.HostID
	DataCentre       cwmodel.DataCentre
	ListEvery        time.Duration // interval between reads of the host list
	ExchangeEvery    time.Duration // interval between exchanges of load reports with a peer
	UnreachableAfter time.Duration // a peer without a load report for longer is unreachable

	// LoadReport returns the load report of this host.
	LoadReport func(ctx context.Context) cwport.LoadReport
	// UpdateHosts receives the workers and the live entry hosts of this data centre, including this one. A live entry host is reachable
	// and not draining.
	UpdateHosts func(workers []cwmodel.Host, hosts []cwmodel.HostID)
}

// eventKind is the kind of an event in the inbox.
type eventKind string

const (
	eventListDue     eventKind = "list"
	eventListed      eventKind = "listed"
	eventExchangeDue eventKind = "exchange"
	// eventExchangeNow requests an exchange with all peers, also those that are not due.
	eventExchangeNow eventKind = "exchange-now"
	eventReport      eventKind = "digest"
)

// event is one item of the inbox; its kind determines which fields are set.
type event struct {
	kind   eventKind
	hosts  []cwmodel.Host
	report cwport.LoadReport
	err    error
}

// peer is the state of one other entry host.
type peer struct {
	host       cwmodel.Host
	report     cwport.LoadReport
	receivedAt time.Time // arrival of the report; zero if there was none
	calledAt   time.Time // start of the latest exchange by this host; zero if there was none
}

// Membership is the duty that tracks the hosts for one entry host.
type Membership struct {
	opts     Options
	inbox    *cwring.Ring[event]
	workers  []cwmodel.Host
	peers    map[cwmodel.HostID]*peer
	reports  atomic.Pointer[[]cwport.LoadReport]
	statuses atomic.Pointer[[]PeerStatus]

	listedAt    atomic.Pointer[time.Time]
	listedPeers map[cwmodel.HostID]bool // entry hosts of the latest host list
}

const (
	inboxSize = 1024 // events
	// remoteCallsPerTimeout is how often a peer of another data centre is called within UnreachableAfter.
	remoteCallsPerTimeout = 3
	// unlistedRetention is how long an unlisted entry host is kept after its last load report.
	unlistedRetention = time.Minute
	// ticksPerExchange is how often in an exchange period the duty checks for due exchanges.
	ticksPerExchange = 2
)

// New starts the duty and returns the function that stops it.
func New(opts Options) (m *Membership, stop func()) {
	m = &Membership{opts: opts, inbox: cwring.New[event](inboxSize), peers: map[cwmodel.HostID]*peer{}}
	m.reports.Store(&[]cwport.LoadReport{})
	m.inbox.Offer(event{kind: eventListDue})
	cancelList := opts.Timer.Every(opts.ListEvery, func(time.Time) { m.inbox.Offer(event{kind: eventListDue}) })
	cancelExchange := opts.Timer.Every(opts.ExchangeEvery/ticksPerExchange, func(time.Time) { m.inbox.Offer(event{kind: eventExchangeDue}) })
	stopDuty := cwduty.Start("membership", m.run)
	return m, func() {
		cancelList()
		cancelExchange()
		stopDuty()
	}
}

// Receive enqueues a load report that a peer sent. A full inbox drops it, since the next one replaces it.
func (m *Membership) Receive(r cwport.LoadReport) { m.inbox.Offer(event{kind: eventReport, report: r}) }

// LoadReports returns the latest load reports of the reachable peers, sorted by host. The slice must not be changed.
func (m *Membership) LoadReports() []cwport.LoadReport { return *m.reports.Load() }

// run handles the events of the inbox until ctx is cancelled.
func (m *Membership) run(ctx context.Context) {
	for ctx.Err() == nil {
		e, ok := m.inbox.Take(ctx)
		if !ok {
			return
		}
		m.handle(ctx, e)
	}
}

// handle handles one event: it reads the host list, applies one, exchanges load reports or stores one, and publishes what changed.
func (m *Membership) handle(ctx context.Context, e event) {
	switch e.kind {
	case eventListDue:
		m.runOnPool(func() event {
			hosts, err := m.opts.HostList.List(ctx)
			return event{kind: eventListed, hosts: hosts, err: err}
		})
	case eventListed:
		m.handleList(e)
		m.publish()
	case eventExchangeDue, eventExchangeNow:
		m.exchangeLoad(ctx, e.kind == eventExchangeNow)
		m.publish()
	case eventReport:
		if m.handleReport(e.report) {
			m.publish()
		} else {
			m.publishReports()
		}
	}
}

// runOnPool makes a call on the pool and enqueues its event. A full pool or inbox drops it; the next tick causes another call.
func (m *Membership) runOnPool(call func() event) {
	_ = m.opts.Pool.Submit(func() { m.inbox.Offer(call()) })
}

// handleList applies the platform's host list to the peers and workers. If it could not be read, the last list stays in use; if it has no
// worker, the last workers stay.
func (m *Membership) handleList(e event) {
	if e.err != nil {
		m.opts.Log.WithFields(logrus.Fields{"error": cwfault.MessageOf(e.err)}).Warn("host-list-failed")
		return
	}
	m.recordList(e.hosts)
	var workers []cwmodel.Host
	for _, host := range e.hosts {
		switch {
		case host.Role == cwmodel.RoleWorker && host.DataCentre == m.opts.DataCentre:
			workers = append(workers, host)
		case host.Role == cwmodel.RoleEntryHost && host.ID != m.opts.Self:
			m.ensurePeer(host.ID).host = host
		}
	}
	m.evictUnlisted()
	if len(workers) == 0 && len(m.workers) > 0 {
		m.opts.Log.WithFields(logrus.Fields{"workers": len(m.workers)}).Warn("host-list-without-workers")
		return // a list without any worker is treated as a fault of the platform
	}
	m.workers = workers
}

// evictUnlisted drops the state of entry hosts that are not in the host list and sent no load report within unlistedRetention.
func (m *Membership) evictUnlisted() {
	now := m.opts.Timer.Now()
	for id, p := range m.peers {
		if !m.listedPeers[id] && now.Sub(p.receivedAt) > unlistedRetention {
			delete(m.peers, id)
		}
	}
}

// ensurePeer returns the state of an entry host and creates it if needed.
func (m *Membership) ensurePeer(id cwmodel.HostID) *peer {
	p, ok := m.peers[id]
	if !ok {
		p = &peer{}
		m.peers[id] = p
	}
	return p
}

// exchangeLoad sends this host's load report to the peers that are due, or to all peers if all is set, and handles the reports they return.
// Peers that the host list does not show as live are not called.
func (m *Membership) exchangeLoad(ctx context.Context, all bool) {
	now := m.opts.Timer.Now()
	ours := m.opts.LoadReport(ctx)
	for id, p := range m.peers {
		if p.host.State != cwmodel.HostLive || !all && !m.isDue(now, id, p) {
			continue
		}
		p.calledAt = now
		addr := p.host.Address
		_ = m.opts.Pool.Submit(func() {
			if theirs, err := m.opts.Peers.ExchangeLoad(ctx, addr, ours); err == nil {
				m.Receive(theirs)
			}
		})
	}
}

// isDue reports whether a peer is due for an exchange. An exchange updates both sides, so the host with the smaller ID
// calls, and the other one only if no report arrived for two periods. Peers of other data centres are called less often.
func (m *Membership) isDue(now time.Time, id cwmodel.HostID, p *peer) bool {
	period := m.opts.ExchangeEvery
	if m.isRemote(p) {
		period = max(period, m.opts.UnreachableAfter/remoteCallsPerTimeout)
	}
	if m.opts.Self > id {
		period *= 2
	}
	last := p.calledAt
	if p.receivedAt.After(last) {
		last = p.receivedAt
	}
	// A check up to half a tick early counts as due, since the next check follows a whole tick later.
	slack := m.opts.ExchangeEvery / (2 * ticksPerExchange)
	return now.Sub(last) >= period-slack
}

// isRemote reports whether a peer is in another data centre, by the host list or else by its load report.
func (m *Membership) isRemote(p *peer) bool {
	dataCentre := p.host.DataCentre
	if dataCentre == "" {
		dataCentre = p.report.DataCentre
	}
	return dataCentre != m.opts.DataCentre
}

// isReachable reports whether a load report of the peer arrived within UnreachableAfter.
func (m *Membership) isReachable(now time.Time, p *peer) bool {
	return !p.receivedAt.IsZero() && now.Sub(p.receivedAt) <= m.opts.UnreachableAfter
}

// handleReport stores a peer's load report and reports whether the peer becomes reachable or starts or stops draining with it.
func (m *Membership) handleReport(r cwport.LoadReport) bool {
	if r.Host == m.opts.Self {
		return false
	}
	p := m.ensurePeer(r.Host)
	now := m.opts.Timer.Now()
	changed := !m.isReachable(now, p) || p.report.Draining != r.Draining
	p.report, p.receivedAt = r, now
	return changed
}

// publish updates the results of Peers and LoadReports, and passes the workers and the live entry hosts to UpdateHosts.
func (m *Membership) publish() {
	hosts := m.publishReports()
	m.publishStatuses(m.opts.Timer.Now())
	m.opts.UpdateHosts(slices.Clone(m.workers), hosts)
}

// publishReports stores the load reports that LoadReports returns, and returns the live entry hosts of this data centre.
func (m *Membership) publishReports() []cwmodel.HostID {
	now := m.opts.Timer.Now()
	live := []cwport.LoadReport{}
	hosts := []cwmodel.HostID{m.opts.Self}
	for id, p := range m.peers {
		if !m.isReachable(now, p) {
			continue
		}
		report := p.report
		report.Draining = report.Draining || p.host.State == cwmodel.HostLeaving
		live = append(live, report)
		if report.DataCentre == m.opts.DataCentre && !report.Draining {
			hosts = append(hosts, id)
		}
	}
	slices.SortFunc(live, func(a, b cwport.LoadReport) int { return strings.Compare(string(a.Host), string(b.Host)) })
	slices.Sort(hosts)
	m.reports.Store(&live)
	return hosts
}
