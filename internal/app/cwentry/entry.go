// Package cwentry wires one entry host: its duties, its listeners and its ports.
package cwentry

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"currantward/internal/adapter/cwmetric"
	"currantward/internal/adapter/cwpeer"
	"currantward/internal/app/cwintake"
	"currantward/internal/app/cwjobs"
	"currantward/internal/app/cwkeeper"
	"currantward/internal/app/cwledger"
	"currantward/internal/app/cwlink"
	"currantward/internal/app/cwmember"
	"currantward/internal/app/cwoperator"
	"currantward/internal/app/cwscheduler"
	"currantward/internal/app/cwsettings"
	"currantward/internal/app/cwtotals"
	"currantward/internal/app/cwwatch"
	"currantward/internal/base/cwduty"
	"currantward/internal/base/cwhttp"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
	"currantward/internal/core/cwtally"
	"currantward/internal/port/cwport"
)

// Sizes and periods of the duties.
const (
	poolSize      = 1024
	inboxSize     = 16384
	tickEvery     = 25 * time.Millisecond
	startWindow   = 2 * time.Second
	orderTimeout  = 2 * time.Second
	pollWait      = 5 * time.Second
	listEvery     = time.Second
	exchangeEvery = 500 * time.Millisecond
	silenceLimit  = 3 * time.Second
	configEvery   = time.Second
	flushEvery    = 2 * time.Second
	peerTimeout   = time.Second
	drainCheck    = 50 * time.Millisecond
)

// Options set up an entry host.
type Options struct {
	Settings cwsettings.Settings
	Timer    *cwtimer.Service
	Log      *logrus.Logger
	Table    cwport.Table
	Objects  cwport.Objects
	HostList cwport.HostList
	Workers  cwport.Workers
	Traffic  Traffic
}

// Traffic counts the bytes of each link; a nil field is not published.
type Traffic struct {
	Workers  *cwhttp.Traffic
	Platform *cwhttp.Traffic
}

// Entry is a running entry host.
type Entry struct {
	Callers   netip.AddrPort // bound address of the listener for callers
	Operators netip.AddrPort // bound address of the listener for operators
	Peers     netip.AddrPort // bound address of the listener for peers
	Drained   chan struct{}  // closed once a graceful shutdown is asked for

	opts      Options
	cleanup   cwduty.Cleanup
	pool      *ants.Pool
	metrics   *cwmetric.Metrics
	scheduler *cwscheduler.Scheduler
	keeper    *cwkeeper.Keeper
	links     *cwlink.Links
	member    *cwmember.Member
	watcher   *cwwatch.Watcher
	totals    *cwtotals.Totals
	operator  *cwoperator.Operator
	intake    *cwintake.Intake
	ledger    *cwledger.Ledger
	jobs      *cwjobs.Jobs
	peers     cwport.Peers
	traffic   *cwhttp.Traffic // of all connections with peers
	drain     sync.Once
	started   chan struct{} // closed once all parts are set
}

// New starts an entry host and returns the function that shuts it down gracefully.
func New(opts Options) (e *Entry, stop func(), err error) {
	defer func() { err = eris.Wrap(err, "start entry host") }()
	e = &Entry{opts: opts, Drained: make(chan struct{}), started: make(chan struct{}), metrics: cwmetric.New(), traffic: &cwhttp.Traffic{}}
	defer func() {
		if err != nil {
			e.cleanup.Run()
		}
	}()
	if e.pool, err = ants.NewPool(poolSize, ants.WithNonblocking(true)); err != nil {
		return nil, nil, err
	}
	e.cleanup.Add(e.pool.Release)
	e.startState()
	e.startPlacement()
	e.startJobs()
	if err = e.startPeers(); err != nil {
		return nil, nil, err
	}
	if err = e.startFronts(); err != nil {
		return nil, nil, err
	}
	e.publishGauges()
	close(e.started)
	opts.Log.WithFields(logrus.Fields{
		"host-id": opts.Settings.HostID, "data-centre": opts.Settings.DataCentre, "callers": e.Callers, "operators": e.Operators, "peers": e.Peers,
	}).Info("entry-host-started")
	return e, e.shutDown, nil
}

// startState starts the duties that keep what the platform holds: totals and configuration.
func (e *Entry) startState() {
	o := e.opts
	totals, stop := cwtotals.New(cwtotals.Options{
		Timer: o.Timer, Log: o.Log, Table: o.Table, Zone: o.Settings.Zone, FlushEvery: flushEvery, InboxSize: inboxSize,
		Writer: fmt.Sprintf("%s-%d", o.Settings.HostID, o.Timer.Now().UnixNano()),
	})
	e.totals = totals
	e.cleanup.Add(stop)
}

// startPlacement starts the scheduler, the links to workers and the lease keeper.
func (e *Entry) startPlacement() {
	o := e.opts
	scheduler, stopScheduler := cwscheduler.New(cwscheduler.Options{
		Timer: o.Timer, Log: o.Log, InboxSize: inboxSize, TickEvery: tickEvery, Order: e.order,
	})
	e.scheduler = scheduler
	e.cleanup.Add(stopScheduler)

	links, stopLinks := cwlink.New(cwlink.Options{
		Timer: o.Timer, Log: o.Log, Workers: o.Workers, Pool: e.pool,
		OrderTimeout: orderTimeout, StartWindow: startWindow, PollWait: pollWait,
		Ended: e.ended, IsDurable: isDurable, Stale: e.stale,
	})
	e.links = links
	e.cleanup.Add(stopLinks)

	keeper, stopKeeper := cwkeeper.New(cwkeeper.Options{
		Timer: o.Timer, Log: o.Log, Workers: o.Workers, Pool: e.pool, Self: o.Settings.HostID,
		ClaimTTL: o.Settings.ClaimTTL, RenewEvery: o.Settings.ClaimTTL / 3, CallLimit: orderTimeout,
		Owned: e.owned, Lost: e.lost, Draining: scheduler.Draining,
	})
	e.keeper = keeper
	e.cleanup.Add(stopKeeper)

	watcher, stopWatcher := cwwatch.New(cwwatch.Options{
		Timer: o.Timer, Log: o.Log, Table: o.Table, PollEvery: configEvery, Apply: scheduler.Configure,
	})
	e.watcher = watcher
	e.operator = cwoperator.New(o.Table, watcher.Poll)
	e.cleanup.Add(stopWatcher)
}

// startPeers starts the listener for peers and membership.
func (e *Entry) startPeers() error {
	o := e.opts
	peers, stopClient := cwpeer.New(cwpeer.ClientOptions{Timer: o.Timer, Timeout: peerTimeout, MaxConnsPerPeer: 256, Traffic: e.traffic})
	e.peers = peers
	e.cleanup.Add(stopClient)
	e.intake = cwintake.New(cwintake.Options{
		Timer: o.Timer, Log: o.Log, Peers: peers, Self: o.Settings.HostID,
		Configuration: e.watcher.Present, Submit: e.scheduler.Submit, Cancel: e.scheduler.Cancel,
		HasRoom: func(demand cwmodel.Resources) bool { return demand.FitsIn(e.scheduler.Load().LargestFree) },
		Digests: e.digests, Told: e.told,
	})
	bound, stopServer, err := cwpeer.Serve(cwpeer.ServerOptions{
		Listen: o.Settings.ListenPeers, Timer: o.Timer, Log: o.Log, ShutdownTimeout: o.Settings.DrainTimeout, Traffic: e.traffic,
		Exchange: e.exchange, Forward: e.intake.Accept, Configuration: func() cwpolicy.Configuration { return *e.watcher.Present() },
	})
	if err != nil {
		return err
	}
	e.Peers = bound
	e.cleanup.Add(stopServer)
	member, stopMember := cwmember.New(cwmember.Options{
		Timer: o.Timer, Log: o.Log, Pool: e.pool, HostList: o.HostList, Peers: peers, Self: o.Settings.HostID, DataCentre: o.Settings.DataCentre,
		ListEvery: listEvery, ExchangeEvery: exchangeEvery, SilenceLimit: silenceLimit, Digest: e.digest, View: e.view,
	})
	e.member = member
	e.cleanup.Add(stopMember)
	return nil
}

func (e *Entry) order(action actionOf) {
	if action.Task.Durable {
		e.jobs.Action(action)
		return
	}
	e.links.Order(action)
}

func (e *Entry) stale(worker cwmodel.HostID, epoch cwmodel.Epoch) { e.keeper.Stale(worker, epoch) }

func (e *Entry) owned(ctx context.Context, inventory cwport.Inventory) error {
	e.links.Open(inventory.Worker, inventory.Epoch)
	if err := e.jobs.Owned(ctx, inventory); err != nil {
		return err
	}
	return e.scheduler.Owned(ctx, inventory)
}

func (e *Entry) lost(ctx context.Context, worker cwmodel.HostID) error {
	e.links.Close(worker)
	if err := e.jobs.Lost(ctx, worker); err != nil {
		return err
	}
	return e.scheduler.Lost(ctx, worker)
}

func (e *Entry) digests() []cwport.Digest { return e.member.Digests() }

func (e *Entry) digest(context.Context) cwport.Digest {
	load := e.scheduler.Load()
	return cwport.Digest{
		Host: e.opts.Settings.HostID, DataCentre: e.opts.Settings.DataCentre, Address: e.Peers,
		Configuration: e.watcher.Present().Version, Workers: load.Workers, Free: load.Free, LargestFree: load.LargestFree,
		Waiting: load.Waiting, Leaving: e.intake.Leaving(),
	}
}

// exchange takes a peer's digest, looks for a newer configuration if the peer has one, and returns ours.
func (e *Entry) exchange(theirs cwport.Digest) cwport.Digest {
	<-e.started
	e.member.Heard(theirs)
	if theirs.Configuration > e.watcher.Present().Version {
		e.watcher.Poll()
	}
	return e.digest(context.Background())
}

func (e *Entry) told(request cwmodel.Request, answer cwmodel.Answer, took time.Duration) {
	profile, team := request.Profile, request.Team
	if _, ok := e.watcher.Present().Profile(profile); !ok {
		profile = "unknown"
	}
	if _, ok := e.watcher.Present().Team(team); !ok {
		team = "unknown"
	}
	e.metrics.Observe(profile, team, answer, took)
	e.totals.Count(context.Background(), profile, team, answer)
}

// totalsOf returns the sums of one day, this host's latest included.
func (e *Entry) totalsOf(ctx context.Context, day string) ([]cwtally.Line, error) {
	if day == "" {
		day = cwtally.DayOf(e.opts.Timer.Now(), e.opts.Settings.Zone)
	}
	if err := e.totals.Flush(ctx); err != nil {
		return nil, err
	}
	return cwtotals.Read(ctx, e.opts.Table, day)
}

func (e *Entry) publishGauges() {
	e.metrics.Traffic("peers", e.traffic)
	if e.opts.Traffic.Workers != nil {
		e.metrics.Traffic("workers", e.opts.Traffic.Workers)
	}
	if e.opts.Traffic.Platform != nil {
		e.metrics.Traffic("platform", e.opts.Traffic.Platform)
	}
	e.metrics.Gauge("currantward_owned_workers", "Workers that this host owns.", func() float64 { return float64(e.scheduler.Load().Workers) })
	e.metrics.Gauge("currantward_waiting_tasks", "Tasks that wait at this host.", func() float64 { return float64(e.scheduler.Load().Waiting) })
	e.metrics.Gauge("currantward_running_tasks", "Tasks that run for this host.", func() float64 { return float64(e.scheduler.Load().Running) })
	e.metrics.Gauge("currantward_inbox_refusals", "Events that found the scheduler's inbox full.", func() float64 { return float64(e.scheduler.Refused()) })
}
