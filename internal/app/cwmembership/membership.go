// Package cwmembership keeps the view of the hosts: the platform's lagging list joined with what peers say themselves.
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

// Options set up membership.
type Options struct {
	Timer            *cwtimer.Service
	Log              *logrus.Logger
	Pool             *ants.Pool
	HostList         cwport.HostList
	Peers            cwport.Peers
	Self             cwmodel.HostID
	DataCentre       cwmodel.DataCentre
	ListEvery        time.Duration
	ExchangeEvery    time.Duration
	UnreachableAfter time.Duration // a peer that is silent for longer is not live

	// LoadReport returns our own digest.
	LoadReport func(ctx context.Context) cwport.LoadReport
	// UpdateHosts takes the workers and live entry hosts of this data centre.
	UpdateHosts func(workers []cwmodel.Host, hosts []cwmodel.HostID)
}

// eventKind names what an event tells the duty.
type eventKind string

const (
	eventList     eventKind = "list"
	eventListed   eventKind = "listed"
	eventExchange eventKind = "exchange"
	// eventExchangeNow calls all peers, whether it is their turn or not.
	eventExchangeNow eventKind = "exchange-now"
	eventDigest      eventKind = "digest"
)

// event is one item of the inbox.
type event struct {
	kind   eventKind
	hosts  []cwmodel.Host
	digest cwport.LoadReport
	err    error
}

// peer is what is known of one other entry host.
type peer struct {
	host   cwmodel.Host
	digest cwport.LoadReport
	heard  time.Time
	called time.Time
}

// Membership owns the view of one entry host.
type Membership struct {
	opts    Options
	inbox   *cwring.Ring[event]
	workers []cwmodel.Host
	peers   map[cwmodel.HostID]*peer
	digests atomic.Pointer[[]cwport.LoadReport]
	known   atomic.Pointer[[]PeerStatus]

	listedAt    atomic.Pointer[time.Time]
	listedHosts map[cwmodel.HostID]bool // entry hosts of the latest list
}

const (
	inboxSize = 1024
	// abroadPerSilence is how often in the silence limit a peer of another data centre is called.
	abroadPerSilence = 3
	// goneAfter is how long an entry host that is not listed is remembered after its last digest.
	goneAfter = time.Minute
	// ticksPerExchange is how often in a period the duty looks which exchanges are due.
	ticksPerExchange = 2
)

// New starts the duty and returns the function that stops it.
func New(opts Options) (m *Membership, stop func()) {
	m = &Membership{opts: opts, inbox: cwring.New[event](inboxSize), peers: map[cwmodel.HostID]*peer{}}
	m.digests.Store(&[]cwport.LoadReport{})
	m.inbox.Offer(event{kind: eventList})
	cancelList := opts.Timer.Every(opts.ListEvery, func(time.Time) { m.inbox.Offer(event{kind: eventList}) })
	cancelExchange := opts.Timer.Every(opts.ExchangeEvery/ticksPerExchange, func(time.Time) { m.inbox.Offer(event{kind: eventExchange}) })
	stopDuty := cwduty.Start("membership", m.run)
	return m, func() {
		cancelList()
		cancelExchange()
		stopDuty()
	}
}

// Receive takes a digest that a peer sent.
func (m *Membership) Receive(digest cwport.LoadReport) {
	m.inbox.Offer(event{kind: eventDigest, digest: digest})
}

// LoadReports returns the latest digests of live peers, sorted by host; the slice must not be changed.
func (m *Membership) LoadReports() []cwport.LoadReport { return *m.digests.Load() }

func (m *Membership) run(ctx context.Context) {
	for ctx.Err() == nil {
		e, ok := m.inbox.Take(ctx)
		if !ok {
			return
		}
		m.handle(ctx, e)
	}
}

func (m *Membership) handle(ctx context.Context, e event) {
	switch e.kind {
	case eventList:
		m.call(func() event {
			hosts, err := m.opts.HostList.List(ctx)
			return event{kind: eventListed, hosts: hosts, err: err}
		})
	case eventListed:
		m.listed(e)
		m.publish()
	case eventExchange, eventExchangeNow:
		m.exchange(ctx, e.kind == eventExchangeNow)
		m.publish()
	case eventDigest:
		if m.heard(e.digest) {
			m.publish()
		} else {
			m.publishDigests()
		}
	}
}

func (m *Membership) call(call func() event) {
	_ = m.opts.Pool.Submit(func() { m.inbox.Offer(call()) })
}

// listed applies the platform's list; while the platform is down the last list stays.
func (m *Membership) listed(e event) {
	if e.err != nil {
		m.opts.Log.WithFields(logrus.Fields{"error": cwfault.MessageOf(e.err)}).Warn("host-list-failed")
		return
	}
	m.noteListed(e.hosts)
	var workers []cwmodel.Host
	for _, host := range e.hosts {
		switch {
		case host.Role == cwmodel.RoleWorker && host.DataCentre == m.opts.DataCentre:
			workers = append(workers, host)
		case host.Role == cwmodel.RoleEntryHost && host.ID != m.opts.Self:
			m.peerOf(host.ID).host = host
		}
	}
	m.forgetGone()
	if len(workers) == 0 && len(m.workers) > 0 {
		m.opts.Log.WithFields(logrus.Fields{"workers": len(m.workers)}).Warn("host-list-without-workers")
		return // a list that has lost every worker at once is not believed
	}
	m.workers = workers
}

// forgetGone drops entry hosts that are neither listed nor heard of any more.
func (m *Membership) forgetGone() {
	now := m.opts.Timer.Now()
	for id, p := range m.peers {
		if !m.listedHosts[id] && now.Sub(p.heard) > goneAfter {
			delete(m.peers, id)
		}
	}
}

func (m *Membership) peerOf(id cwmodel.HostID) *peer {
	p, ok := m.peers[id]
	if !ok {
		p = &peer{}
		m.peers[id] = p
	}
	return p
}

// exchange sends our digest to the peers whose turn it is, or to all.
func (m *Membership) exchange(ctx context.Context, all bool) {
	now := m.opts.Timer.Now()
	ours := m.opts.LoadReport(ctx)
	for id, p := range m.peers {
		if p.host.State != cwmodel.HostLive || !all && !m.isDue(now, id, p) {
			continue
		}
		p.called = now
		addr := p.host.Address
		_ = m.opts.Pool.Submit(func() {
			if theirs, err := m.opts.Peers.ExchangeLoad(ctx, addr, ours); err == nil {
				m.Receive(theirs)
			}
		})
	}
}

// isDue reports whether a peer is to be called: an exchange tells both sides, so one of a pair calls and the
// other only if it has heard nothing for twice as long. Peers of other data centres are called less often.
func (m *Membership) isDue(now time.Time, id cwmodel.HostID, p *peer) bool {
	period := m.opts.ExchangeEvery
	if m.isAbroad(p) {
		period = max(period, m.opts.UnreachableAfter/abroadPerSilence)
	}
	if m.opts.Self > id {
		period *= 2
	}
	last := p.called
	if p.heard.After(last) {
		last = p.heard
	}
	slack := m.opts.ExchangeEvery / (2 * ticksPerExchange)
	return now.Sub(last) >= period-slack
}

func (m *Membership) isAbroad(p *peer) bool {
	dataCentre := p.host.DataCentre
	if dataCentre == "" {
		dataCentre = p.digest.DataCentre
	}
	return dataCentre != m.opts.DataCentre
}

// isLive reports whether a peer was heard of lately.
func (m *Membership) isLive(now time.Time, p *peer) bool {
	return !p.heard.IsZero() && now.Sub(p.heard) <= m.opts.UnreachableAfter
}

// heard takes a digest and reports whether it changes who is live or leaves.
func (m *Membership) heard(digest cwport.LoadReport) bool {
	if digest.Host == m.opts.Self {
		return false
	}
	p := m.peerOf(digest.Host)
	now := m.opts.Timer.Now()
	changed := !m.isLive(now, p) || p.digest.Leaving != digest.Leaving
	p.digest, p.heard = digest, now
	return changed
}

// publish hands the view on.
func (m *Membership) publish() {
	hosts := m.publishDigests()
	m.publishKnown(m.opts.Timer.Now())
	m.opts.UpdateHosts(slices.Clone(m.workers), hosts)
}

// publishDigests replaces what Digests returns, and returns the live entry hosts of this data centre.
func (m *Membership) publishDigests() []cwmodel.HostID {
	now := m.opts.Timer.Now()
	live := []cwport.LoadReport{}
	hosts := []cwmodel.HostID{m.opts.Self}
	for id, p := range m.peers {
		if !m.isLive(now, p) {
			continue
		}
		digest := p.digest
		digest.Leaving = digest.Leaving || p.host.State == cwmodel.HostLeaving
		live = append(live, digest)
		if digest.DataCentre == m.opts.DataCentre && !digest.Leaving {
			hosts = append(hosts, id)
		}
	}
	slices.SortFunc(live, func(a, b cwport.LoadReport) int { return strings.Compare(string(a.Host), string(b.Host)) })
	slices.Sort(hosts)
	m.digests.Store(&live)
	return hosts
}
