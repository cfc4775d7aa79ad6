// Package cwmember keeps the view of the hosts: the platform's lagging list joined with what peers say themselves.
package cwmember

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
	Timer         *cwtimer.Service
	Log           *logrus.Logger
	Pool          *ants.Pool
	HostList      cwport.HostList
	Peers         cwport.Peers
	Self          cwmodel.HostID
	DataCentre    cwmodel.DataCentre
	ListEvery     time.Duration
	ExchangeEvery time.Duration
	SilenceLimit  time.Duration // a peer that is silent for longer is not live

	// Digest returns our own digest.
	Digest func(ctx context.Context) cwport.Digest
	// View takes the workers and live entry hosts of this data centre.
	View func(workers []cwmodel.Host, hosts []cwmodel.HostID)
}

// eventKind names what an event tells the duty.
type eventKind string

const (
	eventList     eventKind = "list"
	eventListed   eventKind = "listed"
	eventExchange eventKind = "exchange"
	eventDigest   eventKind = "digest"
)

// event is one item of the inbox.
type event struct {
	kind   eventKind
	hosts  []cwmodel.Host
	digest cwport.Digest
	err    error
}

// peer is what is known of one other entry host.
type peer struct {
	host   cwmodel.Host
	digest cwport.Digest
	heard  time.Time
}

// Member owns the view of one entry host.
type Member struct {
	opts    Options
	inbox   *cwring.Ring[event]
	workers []cwmodel.Host
	peers   map[cwmodel.HostID]*peer
	digests atomic.Pointer[[]cwport.Digest]
	known   atomic.Pointer[[]Known]

	listedAt    atomic.Pointer[time.Time]
	listedHosts map[cwmodel.HostID]bool // entry hosts of the latest list
}

const inboxSize = 1024

// New starts the duty and returns the function that stops it.
func New(opts Options) (m *Member, stop func()) {
	m = &Member{opts: opts, inbox: cwring.New[event](inboxSize), peers: map[cwmodel.HostID]*peer{}}
	m.digests.Store(&[]cwport.Digest{})
	m.inbox.Offer(event{kind: eventList})
	cancelList := opts.Timer.Every(opts.ListEvery, func(time.Time) { m.inbox.Offer(event{kind: eventList}) })
	cancelExchange := opts.Timer.Every(opts.ExchangeEvery, func(time.Time) { m.inbox.Offer(event{kind: eventExchange}) })
	stopDuty := cwduty.Start("membership", m.run)
	return m, func() {
		cancelList()
		cancelExchange()
		stopDuty()
	}
}

// Heard takes a digest that a peer sent.
func (m *Member) Heard(digest cwport.Digest) { m.inbox.Offer(event{kind: eventDigest, digest: digest}) }

// Digests returns the latest digests of live peers, sorted by host; the slice must not be changed.
func (m *Member) Digests() []cwport.Digest { return *m.digests.Load() }

func (m *Member) run(ctx context.Context) {
	for ctx.Err() == nil {
		e, ok := m.inbox.Take(ctx)
		if !ok {
			return
		}
		m.handle(ctx, e)
	}
}

func (m *Member) handle(ctx context.Context, e event) {
	switch e.kind {
	case eventList:
		m.call(func() event {
			hosts, err := m.opts.HostList.List(ctx)
			return event{kind: eventListed, hosts: hosts, err: err}
		})
	case eventListed:
		m.listed(e)
	case eventExchange:
		m.exchange(ctx)
	case eventDigest:
		m.heard(e.digest)
	}
	m.publish()
}

func (m *Member) call(call func() event) {
	_ = m.opts.Pool.Submit(func() { m.inbox.Offer(call()) })
}

// listed applies the platform's list; while the platform is down the last list stays.
func (m *Member) listed(e event) {
	if e.err != nil {
		m.opts.Log.WithFields(logrus.Fields{"error": cwfault.MessageOf(e.err)}).Warn("host-list-failed")
		return
	}
	m.noteListed(e.hosts)
	m.workers = m.workers[:0:0]
	for _, host := range e.hosts {
		switch {
		case host.Role == cwmodel.RoleWorker && host.DataCentre == m.opts.DataCentre:
			m.workers = append(m.workers, host)
		case host.Role == cwmodel.RoleEntryHost && host.ID != m.opts.Self:
			m.peerOf(host.ID).host = host
		}
	}
}

func (m *Member) peerOf(id cwmodel.HostID) *peer {
	p, ok := m.peers[id]
	if !ok {
		p = &peer{}
		m.peers[id] = p
	}
	return p
}

func (m *Member) exchange(ctx context.Context) {
	ours := m.opts.Digest(ctx)
	for _, p := range m.peers {
		if p.host.State != cwmodel.HostLive {
			continue
		}
		addr := p.host.Address
		_ = m.opts.Pool.Submit(func() {
			if theirs, err := m.opts.Peers.Exchange(ctx, addr, ours); err == nil {
				m.Heard(theirs)
			}
		})
	}
}

func (m *Member) heard(digest cwport.Digest) {
	if digest.Host == m.opts.Self {
		return
	}
	p := m.peerOf(digest.Host)
	p.digest, p.heard = digest, m.opts.Timer.Now()
}

// publish hands the view on.
func (m *Member) publish() {
	now := m.opts.Timer.Now()
	live := []cwport.Digest{}
	hosts := []cwmodel.HostID{m.opts.Self}
	for id, p := range m.peers {
		if p.heard.IsZero() || now.Sub(p.heard) > m.opts.SilenceLimit {
			continue
		}
		live = append(live, p.digest)
		if p.digest.DataCentre == m.opts.DataCentre && !p.digest.Leaving {
			hosts = append(hosts, id)
		}
	}
	slices.SortFunc(live, func(a, b cwport.Digest) int { return strings.Compare(string(a.Host), string(b.Host)) })
	slices.Sort(hosts)
	m.digests.Store(&live)
	m.publishKnown(now)
	m.opts.View(slices.Clone(m.workers), hosts)
}
