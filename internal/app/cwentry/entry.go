// Package cwentry wires one entry host: its duties, its listeners and its ports.
package cwentry

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"currantward/internal/adapter/cwmetric"
	"currantward/internal/adapter/cwpeer"
	"currantward/internal/app/cwclaimer"
	"currantward/internal/app/cwconfigstore"
	"currantward/internal/app/cwconfigsync"
	"currantward/internal/app/cwdispatch"
	"currantward/internal/app/cwingress"
	"currantward/internal/app/cwintent"
	"currantward/internal/app/cwjobapi"
	"currantward/internal/app/cwjobs"
	"currantward/internal/app/cwmembership"
	"currantward/internal/app/cwscheduler"
	"currantward/internal/app/cwsettings"
	"currantward/internal/app/cwtablewriter"
	"currantward/internal/app/cwtotals"
	"currantward/internal/base/cwduty"
	"currantward/internal/base/cwhttp"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwaccounting"
	"currantward/internal/core/cwclaim"
	"currantward/internal/core/cwdecider"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
	"currantward/internal/core/cwroute"
	"currantward/internal/port/cwport"
)

// spillTime is how much time a request must have left to be sent to another data centre.
const spillTime = 50 * time.Millisecond

// lameDuck is how long callers are still served after the health says that this host leaves.
const lameDuck = 2 * time.Second

// drainCheck is how often a shutdown looks whether anything is left.
const drainCheck = 50 * time.Millisecond

// orderTries is how often a start order can be sent within its window.
const orderTries = 4

// Bounds of one change of the configuration.
const (
	changeTimeout = 5 * time.Second
	settlePause   = 100 * time.Millisecond
)

// lateFlushes is how many periods a writer of totals may miss before its host is taken for dead.
const lateFlushes = 3

// Options set up an entry host.
type Options struct {
	Settings cwsettings.Settings
	Timer    *cwtimer.Service
	Log      *logrus.Logger
	Table    cwport.Table
	Objects  cwport.ObjectStore
	HostList cwport.HostList
	Workers  cwport.Workers
	Traffic  Traffic
}

// Traffic counts the bytes of each link; a nil field is not published.
type Traffic struct {
	Workers  *cwhttp.ByteCounter
	Platform *cwhttp.ByteCounter
}

// EntryHost is a running entry host.
type EntryHost struct {
	Callers   netip.AddrPort // bound address of the listener for callers
	Operators netip.AddrPort // bound address of the listener for operators
	Peers     netip.AddrPort // bound address of the listener for peers
	Drained   chan struct{}  // closed once a graceful shutdown is asked for

	opts      Options
	cleanup   cwduty.Cleanup
	pool      *ants.Pool
	metrics   *cwmetric.Metrics
	scheduler *cwscheduler.Scheduler
	keeper    *cwclaimer.Claimer
	links     *cwdispatch.Dispatcher
	member    *cwmembership.Membership
	watcher   *cwconfigsync.Watcher
	totals    *cwtotals.Totals
	operator  *cwconfigstore.Store
	intake    *cwingress.Ingress
	ledger    *cwtablewriter.Writer
	jobs      *cwjobs.Jobs
	callers   *cwjobapi.API
	intents   *cwintent.Deduplicator
	peers     cwport.Peers
	traffic   *cwhttp.ByteCounter // of all connections with peers
	drain     sync.Once
	checks    atomic.Int64  // of the health by a balancer
	started   chan struct{} // closed once all parts are set
}

// New starts an entry host and returns the function that shuts it down gracefully.
func New(opts Options) (started *EntryHost, stop func(), err error) {
	defer func() { err = eris.Wrap(err, "start entry host") }()
	e := &EntryHost{opts: opts, Drained: make(chan struct{}), started: make(chan struct{}), metrics: cwmetric.New(opts.Settings.MaxMetricLabels), traffic: &cwhttp.ByteCounter{}}
	defer func() {
		if err != nil {
			e.cleanup.Run()
		}
	}()
	if e.pool, err = ants.NewPool(opts.Settings.PoolSize, ants.WithNonblocking(true)); err != nil {
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
	e.publishLedger()
	close(e.started)
	opts.Log.WithFields(logrus.Fields{
		"host-id": opts.Settings.HostID, "data-centre": opts.Settings.DataCentre, "callers": e.Callers, "operators": e.Operators, "peers": e.Peers,
	}).Info("entry-host-started")
	return e, e.shutDown, nil
}

// startState starts the duties that keep what the platform holds: totals and configuration.
func (e *EntryHost) startState() {
	o := e.opts
	totals, stop := cwtotals.New(cwtotals.Options{
		Timer: o.Timer, Log: o.Log, Table: o.Table, Zone: o.Settings.TimeZone, FlushEvery: o.Settings.TotalsEvery, InboxSize: o.Settings.InboxSize,
		Host: o.Settings.HostID, Writer: fmt.Sprintf("%s-%d", o.Settings.HostID, o.Timer.Now().UnixNano()),
	})
	e.totals = totals
	e.cleanup.Add(stop)
}

// startPlacement starts the scheduler, the links to workers and the lease keeper.
func (e *EntryHost) startPlacement() {
	o := e.opts
	scheduler, stopScheduler := cwscheduler.New(cwscheduler.Options{
		Timer: o.Timer, Log: o.Log, InboxSize: o.Settings.InboxSize, TickEvery: o.Settings.TickEvery, SendOrder: e.order,
		OnDurable: e.handBack,
	})
	e.scheduler = scheduler
	e.cleanup.Add(stopScheduler)

	links, stopLinks := cwdispatch.New(cwdispatch.Options{
		Timer: o.Timer, Log: o.Log, Workers: o.Workers, Pool: e.pool,
		OrderTimeout: min(o.Settings.OrderTimeout, o.Settings.StartWindow/orderTries), StartWindow: o.Settings.StartWindow,
		PollWait: o.Settings.CompletionWait, HandleResult: e.ended, OnStaleEpoch: e.stale,
	})
	e.links = links
	e.cleanup.Add(stopLinks)

	claims := cwclaim.DefaultOptions(o.Settings.HostID, o.Settings.ClaimTTL)
	claims.Seed = uint64(o.Timer.Now().UnixNano())
	claims.RequestWindow = o.Settings.StartWindow
	keeper, stopKeeper := cwclaimer.New(cwclaimer.Options{
		Timer: o.Timer, Log: o.Log, Workers: o.Workers, Pool: e.pool, Claims: claims, CallTimeout: o.Settings.OrderTimeout,
		OnAcquired: e.owned, OnExtended: links.ExtendClaim, OnLost: e.lost, OnUsage: scheduler.UpdateUsage, OnDrain: scheduler.DrainWorker, OnCordon: scheduler.CordonWorker, OpenRequests: links.OpenRequests,
	})
	e.keeper = keeper
	e.cleanup.Add(stopKeeper)

	watcher, stopWatcher := cwconfigsync.New(cwconfigsync.Options{
		Timer: o.Timer, Log: o.Log, Table: o.Table, DataCentre: o.Settings.DataCentre, PollEvery: o.Settings.ConfigurationEvery, ReadTimeout: o.Settings.PeerTimeout,
		Apply: e.configure, LoadReports: e.digests, ReadPeer: e.peerConfiguration,
	})
	e.watcher = watcher
	e.operator = cwconfigstore.New(cwconfigstore.Options{
		Timer: o.Timer, Log: o.Log, Table: o.Table, Timeout: changeTimeout, RetryPause: settlePause, OnCommitted: watcher.HandleCommitted,
	})
	e.cleanup.Add(stopWatcher)
}

// startPeers starts the listener for peers and membership.
func (e *EntryHost) startPeers() error {
	o := e.opts
	peers, stopClient := cwpeer.New(cwpeer.ClientOptions{Timer: o.Timer, Timeout: o.Settings.PeerTimeout, MaxConnsPerPeer: 256, Traffic: e.traffic})
	e.peers = peers
	e.cleanup.Add(stopClient)
	intake, stopIntake := cwingress.New(cwingress.Options{
		Timer: o.Timer, Log: o.Log, Peers: peers, Route: e.routing(),
		Configuration: e.watcher.Current, Submit: e.scheduler.Submit, Cancel: e.scheduler.Cancel,
		HasCapacity: func(demand cwmodel.Resources) bool { return demand.FitsIn(e.scheduler.Load().LargestFree) },
		LoadReports: e.digests, RunOnce: e.intents.Run, OnResponse: e.told,
	})
	e.intake = intake
	e.cleanup.Add(stopIntake)
	bound, stopServer, err := cwpeer.Serve(cwpeer.ServerOptions{
		Listen: o.Settings.ListenPeers, Timer: o.Timer, Log: o.Log, ShutdownTimeout: o.Settings.DrainTimeout, Traffic: e.traffic,
		ExchangeLoad: e.exchange, Forward: e.intake.RunForwarded, Configuration: func() cwpolicy.Configuration { return *e.watcher.Current() },
	})
	if err != nil {
		return err
	}
	e.Peers = bound
	e.cleanup.Add(stopServer)
	member, stopMember := cwmembership.New(cwmembership.Options{
		Timer: o.Timer, Log: o.Log, Pool: e.pool, HostList: o.HostList, Peers: peers, Self: o.Settings.HostID, DataCentre: o.Settings.DataCentre,
		ListEvery: o.Settings.HostListEvery, ExchangeEvery: o.Settings.ExchangeEvery, UnreachableAfter: o.Settings.SilenceLimit, LoadReport: e.digest, UpdateHosts: e.view,
	})
	e.member = member
	e.cleanup.Add(stopMember)
	return nil
}

// routing returns how requests are handed to peers.
func (e *EntryHost) routing() cwroute.Options {
	s := e.opts.Settings
	return cwroute.Options{
		Seed: uint64(e.opts.Timer.Now().UnixNano()), DataCentre: s.DataCentre, MinSpillTime: spillTime, SentLoadTTL: 2 * s.ExchangeEvery,
	}
}

func (e *EntryHost) order(action cwdecider.Action) {
	if action.Task.Durable {
		e.jobs.HandleAction(action)
		return
	}
	e.links.SendOrder(action)
}

func (e *EntryHost) stale(worker cwmodel.HostID, epoch cwmodel.Epoch) {
	e.keeper.HandleStaleEpoch(worker, epoch)
}

func (e *EntryHost) owned(ctx context.Context, inventory cwport.Inventory, hold cwclaim.Validity) error {
	e.links.AddWorker(inventory, hold)
	if err := e.jobs.AddWorker(ctx, inventory); err != nil {
		return err
	}
	return e.scheduler.AddWorker(ctx, inventory)
}

func (e *EntryHost) lost(ctx context.Context, worker cwmodel.HostID, lastRenewal time.Time) error {
	e.links.RemoveWorker(worker)
	if err := e.jobs.RemoveWorker(ctx, worker); err != nil {
		return err
	}
	return e.scheduler.LoseWorkerAt(ctx, worker, lastRenewal)
}

// digests returns the latest digests of live peers; there are none before all parts are set.
func (e *EntryHost) digests() []cwport.LoadReport {
	select {
	case <-e.started:
		return e.member.LoadReports()
	default:
		return nil
	}
}

// configure puts a configuration in force and tells the peers at once.
func (e *EntryHost) configure(ctx context.Context, cfg cwpolicy.Configuration) error {
	if err := e.scheduler.Configure(ctx, cfg); err != nil {
		return err
	}
	select {
	case <-e.started:
		e.member.ExchangeNow()
	default:
	}
	return nil
}

func (e *EntryHost) peerConfiguration(ctx context.Context, peer cwport.LoadReport) (cwpolicy.Configuration, error) {
	return e.peers.Configuration(ctx, peer.Address)
}

func (e *EntryHost) digest(context.Context) cwport.LoadReport {
	load := e.scheduler.Load()
	return cwport.LoadReport{
		Host: e.opts.Settings.HostID, DataCentre: e.opts.Settings.DataCentre, Address: e.Peers,
		Configuration: e.watcher.Current().Version, Workers: load.Workers, Free: load.Free, LargestFree: load.LargestFree,
		Waiting: load.Waiting, Leaving: e.intake.Draining(), Teams: e.scheduler.TeamUsage(),
	}
}

// exchange takes a peer's digest, looks for a newer configuration if the peer has one, and returns ours.
func (e *EntryHost) exchange(theirs cwport.LoadReport) cwport.LoadReport {
	<-e.started
	e.member.Receive(theirs)
	e.watcher.HandleLoadReport(theirs)
	return e.digest(context.Background())
}

// told counts one answer before its caller is given it.
func (e *EntryHost) told(request cwmodel.Request, answer cwmodel.Response, took time.Duration) {
	counted := cwaccounting.Event{At: e.opts.Timer.Now(), Profile: request.Profile, Team: request.Team, Response: answer, Latency: took}
	cfg := e.watcher.Current()
	profile, ok := cfg.Profile(request.Profile)
	counted.Demand = profile.Demand
	if !ok {
		counted.Profile = "unknown"
	}
	if request.Demand != nil {
		counted.Demand = *request.Demand
	}
	if _, ok = cfg.Team(request.Team); !ok {
		counted.Team = "unknown"
	}
	e.metrics.ObserveResponse(counted, profile.Class)
	e.totals.Count(context.Background(), counted)
}

// totalsOf returns the sums of one day, this host's latest included.
func (e *EntryHost) totalsOf(ctx context.Context, day string) (d cwaccounting.Day, err error) {
	now := e.opts.Timer.Now()
	if day == "" {
		day = cwaccounting.DayOf(now, e.opts.Settings.TimeZone)
	}
	if err = e.totals.Flush(ctx); err != nil {
		return d, err
	}
	reader := cwtotals.Reader{Table: e.opts.Table, Zone: e.opts.Settings.TimeZone, WriterTimeout: lateFlushes*e.opts.Settings.TotalsEvery + e.opts.Settings.OrderTimeout}
	return reader.Day(ctx, day, e.opts.Timer.Now())
}

func (e *EntryHost) publishGauges() {
	e.publishState()
	e.metrics.RegisterTraffic("peers", e.traffic)
	if e.opts.Traffic.Workers != nil {
		e.metrics.RegisterTraffic("workers", e.opts.Traffic.Workers)
	}
	if e.opts.Traffic.Platform != nil {
		e.metrics.RegisterTraffic("platform", e.opts.Traffic.Platform)
	}
	e.metrics.RegisterGauge("currantward_owned_workers", "Workers that this host owns.", func() float64 { return float64(e.scheduler.Load().Workers) })
	e.metrics.RegisterGauge("currantward_waiting_tasks", "Tasks that wait at this host.", func() float64 { return float64(e.scheduler.Load().Waiting) })
	e.metrics.RegisterGauge("currantward_running_tasks", "Tasks that run for this host.", func() float64 { return float64(e.scheduler.Load().Running) })
	e.metrics.RegisterGauge("currantward_decision_violations", "Invariants of decisions that were found broken.", func() float64 { return float64(e.scheduler.Violations()) })
	e.metrics.RegisterGauge("currantward_orders_repeated", "Orders sent again because their answer was lost.", func() float64 { return float64(e.links.Counts().Retries) })
	e.metrics.RegisterGauge("currantward_orders_dropped", "Orders given up because their worker was not reached in time.", func() float64 { return float64(e.links.Counts().Dropped) })
	e.metrics.RegisterGauge("currantward_orphan_results", "Results of requests that no entry host waits for any more.", func() float64 { return float64(e.links.Counts().OrphanedResults) })
	e.metrics.RegisterGauge("currantward_inbox_refusals", "Events that found the scheduler's inbox full.", func() float64 { return float64(e.scheduler.Rejected()) })
}
