// Package cwentry assembles an entry host from its duties, listeners and ports.
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

// minSpillTime is the minimum time left before its deadline for a request to be forwarded to (spill over to) another data centre.
const minSpillTime = 50 * time.Millisecond

// lameDuckPeriod is how long callers are still served after the health check reports that this host is draining.
const lameDuckPeriod = 2 * time.Second

// drainPollInterval is how often a shutdown checks for requests in flight.
const drainPollInterval = 50 * time.Millisecond

// orderTriesPerStartWindow is how many calls for a start order, each with its own timeout, fit into the start window.
const orderTriesPerStartWindow = 4

// Limits of one configuration change.
const (
	changeTimeout    = 5 * time.Second
	commitRetryPause = 100 * time.Millisecond // after a commit whose effect is unknown
)

// maxMissedFlushes is how many flushes a writer of totals may miss before its process counts as dead.
const maxMissedFlushes = 3

// Options configure an EntryHost.
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

// Traffic holds the byte counters of the connections with workers and with the platform. There is no metric for a nil counter.
type Traffic struct {
	Workers  *cwhttp.ByteCounter
	Platform *cwhttp.ByteCounter
}

// EntryHost is a running entry host.
type EntryHost struct {
	CallersAddr    netip.AddrPort // bound address of the listener for callers
	OperatorsAddr  netip.AddrPort // bound address of the listener for operators
	PeersAddr      netip.AddrPort // bound address of the listener for peers
	DrainRequested chan struct{}  // closed once a graceful shutdown is requested; the creator must then call the stop function

	opts         Options
	cleanup      cwduty.Cleanup
	pool         *ants.Pool
	metrics      *cwmetric.Metrics
	scheduler    *cwscheduler.Scheduler
	claimer      *cwclaimer.Claimer
	dispatcher   *cwdispatch.Dispatcher
	membership   *cwmembership.Membership
	watcher      *cwconfigsync.Watcher
	totals       *cwtotals.Totals
	configStore  *cwconfigstore.Store
	ingress      *cwingress.Ingress
	tableWriter  *cwtablewriter.Writer
	jobs         *cwjobs.Jobs
	jobAPI       *cwjobapi.API
	deduplicator *cwintent.Deduplicator
	peers        cwport.Peers
	peerTraffic  *cwhttp.ByteCounter // bytes of all connections with peers
	drainOnce    sync.Once
	healthChecks atomic.Int64  // health checks by a load balancer so far
	started      chan struct{} // closed by New once all fields are set; duties that start earlier check it before they use later ones
}

// New starts an entry host and returns it with the function that shuts it down gracefully. On an error, all that was started is stopped.
func New(opts Options) (started *EntryHost, stop func(), err error) {
	defer func() { err = eris.Wrap(err, "start entry host") }()
	e := &EntryHost{opts: opts, DrainRequested: make(chan struct{}), started: make(chan struct{}), metrics: cwmetric.New(opts.Settings.MaxMetricLabels), peerTraffic: &cwhttp.ByteCounter{}}
	defer func() {
		if err != nil {
			e.cleanup.Run()
		}
	}()
	if e.pool, err = ants.NewPool(opts.Settings.PoolSize, ants.WithNonblocking(true)); err != nil {
		return nil, nil, err
	}
	e.cleanup.Add(e.pool.Release)
	e.startTotals()
	e.startScheduling()
	e.startJobs()
	if err = e.startPeers(); err != nil {
		return nil, nil, err
	}
	if err = e.startListeners(); err != nil {
		return nil, nil, err
	}
	e.registerMetrics()
	e.registerWriterMetrics()
	close(e.started)
	opts.Log.WithFields(logrus.Fields{
		"host-id": opts.Settings.HostID, "data-centre": opts.Settings.DataCentre, "callers": e.CallersAddr, "operators": e.OperatorsAddr, "peers": e.PeersAddr,
	}).Info("entry-host-started")
	return e, e.shutDown, nil
}

// startTotals starts the duties that count the responses and write the totals to the table.
func (e *EntryHost) startTotals() {
	o := e.opts
	totals, stop := cwtotals.New(cwtotals.Options{
		Timer: o.Timer, Log: o.Log, Table: o.Table, TimeZone: o.Settings.TimeZone, FlushEvery: o.Settings.TotalsEvery, InboxSize: o.Settings.InboxSize,
		Host: o.Settings.HostID, WriterID: fmt.Sprintf("%s-%d", o.Settings.HostID, o.Timer.Now().UnixNano()),
	})
	e.totals = totals
	e.cleanup.Add(stop)
}

// startScheduling starts the scheduler, the dispatcher, the claimer, the configuration watcher and the configuration store.
func (e *EntryHost) startScheduling() {
	o := e.opts
	scheduler, stopScheduler := cwscheduler.New(cwscheduler.Options{
		Timer: o.Timer, Log: o.Log, InboxSize: o.Settings.InboxSize, TickEvery: o.Settings.TickEvery, SendOrder: e.sendOrder,
		OnDurable: e.handleDurable,
	})
	e.scheduler = scheduler
	e.cleanup.Add(stopScheduler)

	dispatcher, stopDispatcher := cwdispatch.New(cwdispatch.Options{
		Timer: o.Timer, Log: o.Log, Workers: o.Workers, Pool: e.pool,
		OrderTimeout: min(o.Settings.OrderTimeout, o.Settings.StartWindow/orderTriesPerStartWindow), StartWindow: o.Settings.StartWindow,
		PollWait: o.Settings.CompletionWait, HandleResult: e.handleResult, OnStaleEpoch: e.onStaleEpoch,
	})
	e.dispatcher = dispatcher
	e.cleanup.Add(stopDispatcher)

	claims := cwclaim.DefaultOptions(o.Settings.HostID, o.Settings.ClaimTTL)
	claims.Seed = uint64(o.Timer.Now().UnixNano())
	claims.RequestWindow = o.Settings.StartWindow
	claimer, stopClaimer := cwclaimer.New(cwclaimer.Options{
		Timer: o.Timer, Log: o.Log, Workers: o.Workers, Pool: e.pool, Claims: claims, CallTimeout: o.Settings.OrderTimeout,
		OnAcquired: e.addWorker, OnExtended: dispatcher.ExtendClaim, OnLost: e.removeWorker, OnUsage: scheduler.UpdateUsage, OnDrain: scheduler.DrainWorker, OnCordon: scheduler.CordonWorker, OpenRequests: dispatcher.OpenRequests,
	})
	e.claimer = claimer
	e.cleanup.Add(stopClaimer)

	watcher, stopWatcher := cwconfigsync.New(cwconfigsync.Options{
		Timer: o.Timer, Log: o.Log, Table: o.Table, DataCentre: o.Settings.DataCentre, PollEvery: o.Settings.ConfigurationEvery, ReadTimeout: o.Settings.PeerTimeout,
		ApplyToScheduler: e.configureScheduler, LoadReports: e.loadReports, ReadPeer: e.readPeerConfiguration,
	})
	e.watcher = watcher
	e.configStore = cwconfigstore.New(cwconfigstore.Options{
		Timer: o.Timer, Log: o.Log, Table: o.Table, Timeout: changeTimeout, RetryPause: commitRetryPause, OnCommitted: watcher.HandleCommitted,
	})
	e.cleanup.Add(stopWatcher)
}

// startPeers starts the client for peers, the ingress, the listener for peers and the membership duty.
func (e *EntryHost) startPeers() error {
	o := e.opts
	peers, stopClient := cwpeer.New(cwpeer.ClientOptions{Timer: o.Timer, Timeout: o.Settings.PeerTimeout, MaxConnsPerPeer: 256, Traffic: e.peerTraffic})
	e.peers = peers
	e.cleanup.Add(stopClient)
	ingress, stopIngress := cwingress.New(cwingress.Options{
		Timer: o.Timer, Log: o.Log, Peers: peers, Route: e.routeOptions(),
		Configuration: e.watcher.Current, Submit: e.scheduler.Submit, Cancel: e.scheduler.Cancel,
		HasCapacity: func(demand cwmodel.Resources) bool { return demand.FitsIn(e.scheduler.Load().LargestFree) },
		LoadReports: e.loadReports, RunOnce: e.deduplicator.Run, OnResponse: e.countResponse,
	})
	e.ingress = ingress
	e.cleanup.Add(stopIngress)
	bound, stopServer, err := cwpeer.Serve(cwpeer.ServerOptions{
		Listen: o.Settings.ListenPeers, Timer: o.Timer, Log: o.Log, ShutdownTimeout: o.Settings.DrainTimeout, Traffic: e.peerTraffic,
		ExchangeLoad: e.exchangeLoad, Forward: e.ingress.RunForwarded, Configuration: func() cwpolicy.Configuration { return *e.watcher.Current() },
	})
	if err != nil {
		return err
	}
	e.PeersAddr = bound
	e.cleanup.Add(stopServer)
	membership, stopMembership := cwmembership.New(cwmembership.Options{
		Timer: o.Timer, Log: o.Log, Pool: e.pool, HostList: o.HostList, Peers: peers, Self: o.Settings.HostID, DataCentre: o.Settings.DataCentre,
		ListEvery: o.Settings.HostListEvery, ExchangeEvery: o.Settings.ExchangeEvery, UnreachableAfter: o.Settings.SilenceLimit, LoadReport: e.loadReport, UpdateHosts: e.updateHosts,
	})
	e.membership = membership
	e.cleanup.Add(stopMembership)
	return nil
}

// routeOptions returns the options for routing requests to peers.
func (e *EntryHost) routeOptions() cwroute.Options {
	s := e.opts.Settings
	// SentLoadTTL covers two load-report periods, so that requests forwarded to a peer still count as its load if one report is late.
	return cwroute.Options{
		Seed: uint64(e.opts.Timer.Now().UnixNano()), DataCentre: s.DataCentre, MinSpillTime: minSpillTime, SentLoadTTL: 2 * s.ExchangeEvery,
	}
}

// sendOrder sends the scheduler's order to the worker through the dispatcher. An order for a task of a job is passed to the jobs duty instead,
// which commits it to the table before it is sent.
func (e *EntryHost) sendOrder(action cwdecider.Action) {
	if action.Task.Durable {
		e.jobs.HandleAction(action)
		return
	}
	e.dispatcher.SendOrder(action)
}

// onStaleEpoch notifies the claimer that worker w has granted a claim with an epoch larger than n, the epoch of a rejected call.
func (e *EntryHost) onStaleEpoch(w cwmodel.HostID, n cwmodel.Epoch) { e.claimer.HandleStaleEpoch(w, n) }

// addWorker passes a claimed worker to the dispatcher, the jobs duty and the scheduler.
func (e *EntryHost) addWorker(ctx context.Context, inventory cwport.Inventory, validity cwclaim.Validity) error {
	e.dispatcher.AddWorker(inventory, validity)
	if err := e.jobs.AddWorker(ctx, inventory); err != nil {
		return err
	}
	return e.scheduler.AddWorker(ctx, inventory)
}

// removeWorker removes a worker whose claim has ended from the dispatcher, the jobs duty and the scheduler. No lease
// under the claim was started or renewed after lastRenewal.
func (e *EntryHost) removeWorker(ctx context.Context, worker cwmodel.HostID, lastRenewal time.Time) error {
	e.dispatcher.RemoveWorker(worker)
	if err := e.jobs.RemoveWorker(ctx, worker); err != nil {
		return err
	}
	return e.scheduler.LoseWorkerAt(ctx, worker, lastRenewal)
}

// loadReports returns the latest load reports of the reachable peers. While New still runs there is no membership duty, and it returns none.
func (e *EntryHost) loadReports() []cwport.LoadReport {
	select {
	case <-e.started:
		return e.membership.LoadReports()
	default:
		return nil
	}
}

// configureScheduler passes the active configuration to the scheduler. It then sends the peers a load report with its version at once, unless New
// still runs.
func (e *EntryHost) configureScheduler(ctx context.Context, cfg cwpolicy.Configuration) error {
	if err := e.scheduler.Configure(ctx, cfg); err != nil {
		return err
	}
	select {
	case <-e.started:
		e.membership.ExchangeNow()
	default:
	}
	return nil
}

// readPeerConfiguration returns the active configuration of a peer.
func (e *EntryHost) readPeerConfiguration(ctx context.Context, peer cwport.LoadReport) (cwpolicy.Configuration, error) {
	return e.peers.Configuration(ctx, peer.Address)
}

// loadReport returns the current load report of this host.
func (e *EntryHost) loadReport(context.Context) cwport.LoadReport {
	load := e.scheduler.Load()
	return cwport.LoadReport{
		Host: e.opts.Settings.HostID, DataCentre: e.opts.Settings.DataCentre, Address: e.PeersAddr,
		ConfigurationVersion: e.watcher.Current().Version, Workers: load.Workers, Free: load.Free, LargestFree: load.LargestFree,
		Waiting: load.Waiting, Draining: e.ingress.Draining(), Teams: e.scheduler.TeamUsage(),
	}
}

// exchangeLoad handles a peer's load report and returns that of this host; it blocks until New is done. If the peer has a newer configuration,
// the watcher polls for it.
func (e *EntryHost) exchangeLoad(theirs cwport.LoadReport) cwport.LoadReport {
	<-e.started
	e.membership.Receive(theirs)
	e.watcher.HandleLoadReport(theirs)
	return e.loadReport(context.Background())
}

// countResponse counts one response in the metrics and the totals before it is sent to its caller.
//
// Names that are not in the configuration are counted as "unknown", so that callers cannot create metric labels.
func (e *EntryHost) countResponse(request cwmodel.Request, response cwmodel.Response, latency time.Duration) {
	event := cwaccounting.Event{At: e.opts.Timer.Now(), Profile: request.Profile, Team: request.Team, Response: response, Latency: latency}
	cfg := e.watcher.Current()
	profile, ok := cfg.Profile(request.Profile)
	event.Demand = profile.Demand
	if !ok {
		event.Profile = "unknown"
	}
	if request.Demand != nil {
		event.Demand = *request.Demand
	}
	if _, ok = cfg.Team(request.Team); !ok {
		event.Team = "unknown"
	}
	e.metrics.ObserveResponse(event, profile.Class)
	e.totals.Count(context.Background(), event)
}

// dayTotals returns the totals of one day over all hosts, as they are in the table. It first flushes the totals of this host, so that its
// latest responses are included. An empty day means today. A writer that has not flushed for WriterTimeout counts as dead.
func (e *EntryHost) dayTotals(ctx context.Context, day string) (d cwaccounting.Day, err error) {
	now := e.opts.Timer.Now()
	if day == "" {
		day = cwaccounting.DayOf(now, e.opts.Settings.TimeZone)
	}
	if err = e.totals.Flush(ctx); err != nil {
		return d, err
	}
	reader := cwtotals.Reader{Table: e.opts.Table, TimeZone: e.opts.Settings.TimeZone, WriterTimeout: maxMissedFlushes*e.opts.Settings.TotalsEvery + e.opts.Settings.OrderTimeout}
	return reader.Day(ctx, day, e.opts.Timer.Now())
}

// registerMetrics registers the metrics of the traffic, the scheduler and the dispatcher, and those of registerStateMetrics.
func (e *EntryHost) registerMetrics() {
	e.registerStateMetrics()
	e.metrics.RegisterTraffic("peers", e.peerTraffic)
	if e.opts.Traffic.Workers != nil {
		e.metrics.RegisterTraffic("workers", e.opts.Traffic.Workers)
	}
	if e.opts.Traffic.Platform != nil {
		e.metrics.RegisterTraffic("platform", e.opts.Traffic.Platform)
	}
	e.metrics.RegisterGauge("currantward_owned_workers", "Workers that this host owns.", func() float64 { return float64(e.scheduler.Load().Workers) })
	e.metrics.RegisterGauge("currantward_waiting_tasks", "Tasks that wait at this host.", func() float64 { return float64(e.scheduler.Load().Waiting) })
	e.metrics.RegisterGauge("currantward_running_tasks", "Tasks that run for this host.", func() float64 { return float64(e.scheduler.Load().Running) })
	e.metrics.RegisterGauge("currantward_decision_violations", "Invariants of decisions that were found broken.", func() float64 { return float64(e.scheduler.InvariantViolations()) })
	e.metrics.RegisterGauge("currantward_orders_repeated", "Orders sent again because their answer was lost.", func() float64 { return float64(e.dispatcher.Stats().Retries) })
	e.metrics.RegisterGauge("currantward_orders_dropped", "Orders given up because their worker was not reached in time.", func() float64 { return float64(e.dispatcher.Stats().Dropped) })
	e.metrics.RegisterGauge("currantward_orphan_results", "Results of requests that no entry host waits for any more.", func() float64 { return float64(e.dispatcher.Stats().OrphanedResults) })
	e.metrics.RegisterGauge("currantward_inbox_refusals", "Events that found the scheduler's inbox full.", func() float64 { return float64(e.scheduler.Rejected()) })
}
