package cwentry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"currantward/internal/adapter/cwadmin"
	"currantward/internal/adapter/cwcodec"
	"currantward/internal/adapter/cwfront"
	"currantward/internal/base/cwhttp"
	"currantward/internal/core/cwmodel"
)

// startListeners starts the listeners for callers and operators, and warns if the operators' listener requires no token.
func (e *EntryHost) startListeners() (err error) {
	o := e.opts
	serverOptions := e.serverOptions("callers")
	bound, stop, err := cwfront.New(cwfront.Options{
		Listen: o.Settings.ListenCallers, ServerOptions: serverOptions, Log: o.Log, RunRequest: e.runRequest, Ready: e.checkReadiness, Draining: e.isDraining,
		SubmitJob: e.submitJob, GetJob: e.jobAPI.Get, ListJobs: e.jobAPI.List, CancelJob: e.jobAPI.Cancel,
	})
	if err != nil {
		return err
	}
	e.CallersAddr = bound
	e.cleanup.Add(stop)
	bound, stop, err = cwadmin.New(cwadmin.Options{
		Listen: o.Settings.ListenOperators, ServerOptions: e.serverOptions("operators"), Timer: o.Timer, Log: o.Log, Metrics: e.metrics.Handler(),
		Operators: o.Settings.Operators, Configuration: e.configStore.Configuration, Change: e.configStore.Change, History: e.configStore.History,
		Versions: e.configStore.Versions, Totals: e.dayTotals, Status: e.status, Drain: e.Drain,
	})
	if err != nil {
		return err
	}
	e.OperatorsAddr = bound
	e.cleanup.Add(stop)
	if len(o.Settings.Operators) == 0 {
		o.Log.WithFields(logrus.Fields{"operators": bound}).Warn("operators-listener-without-tokens")
	}
	return nil
}

// serverOptions returns the options of the HTTP server of one listener: its limits by the settings, and the metric of its responses.
func (e *EntryHost) serverOptions(name string) cwhttp.ServerOptions {
	s := e.opts.Settings
	return cwhttp.ServerOptions{
		Name: name, MaxBodyBytes: s.MaxBodyBytes, MaxHeaderBytes: s.MaxHeaderBytes, MaxConnections: s.MaxConnections,
		ReadTimeout: s.ReadTimeout, IdleTimeout: s.IdleTimeout, ShutdownTimeout: s.DrainTimeout, Log: e.opts.Log,
		OnResponse: func(status int) { e.metrics.CountHTTPResponse(name, status) },
	}
}

// runRequest runs one request of a caller through the ingress and returns its response.
func (e *EntryHost) runRequest(ctx context.Context, request cwmodel.Request) cwmodel.Response {
	return e.ingress.Run(ctx, request)
}

// isDraining reports whether this host has begun to drain.
func (e *EntryHost) isDraining() bool { return e.ingress.Draining() }

// isReady reports whether this host accepts requests: it has a configuration and is not draining.
func (e *EntryHost) isReady() bool { return e.watcher.Current().Version > 0 && !e.ingress.Draining() }

// Drain begins a graceful shutdown and closes DrainRequested; the creator of this entry host must then call its stop function.
func (e *EntryHost) Drain() {
	e.drainOnce.Do(func() {
		e.ingress.BeginDrain()
		close(e.DrainRequested)
	})
}

// checkReadiness reports to a load balancer whether this host is ready, and counts the check.
func (e *EntryHost) checkReadiness() bool {
	e.healthChecks.Add(1)
	return e.isReady()
}

// shutDown announces the shutdown, waits at most DrainTimeout for the requests in flight and stops all duties.
//
// If a load balancer checks the health, callers are still served until the balancer has had time to notice the shutdown.
func (e *EntryHost) shutDown() {
	e.Drain()
	o, startedAt := e.opts, e.opts.Timer.Now()
	log := o.Log.WithField("host-id", o.Settings.HostID)
	log.WithField("in-flight", e.ingress.InFlight()).Info("entry-host-draining")
	if e.healthChecks.Load() > 0 {
		o.Timer.Sleep(nil, min(lameDuckPeriod, o.Settings.DrainTimeout/4)) // leaves most of the time-out to the requests in flight
	}
	e.ingress.Close()
	for e.ingress.InFlight() > 0 && o.Timer.Now().Sub(startedAt) < o.Settings.DrainTimeout {
		o.Timer.Sleep(nil, drainPollInterval)
	}
	remaining := e.ingress.InFlight()
	e.cleanup.Run()
	log.WithFields(logrus.Fields{"took": o.Timer.Now().Sub(startedAt).Round(time.Millisecond), "cut-off": remaining}).Info("entry-host-stopped")
}

// status returns the state of this host and of its peers for operators.
func (e *EntryHost) status(context.Context) (cwadmin.Status, error) {
	load := e.scheduler.Load()
	status := cwadmin.Status{
		Host: string(e.opts.Settings.HostID), DataCentre: string(e.opts.Settings.DataCentre),
		Ready: e.isReady(), ConfigurationVersion: uint64(e.watcher.Current().Version), Draining: e.ingress.Draining(),
		OwnedWorkers: load.Workers, Waiting: load.Waiting, Running: load.Running, Free: cwcodec.ResourcesOf(load.Free),
		Peers: []cwadmin.PeerStatus{},
	}
	if at := e.membership.ListedAt(); !at.IsZero() {
		age := cwcodec.Duration(e.opts.Timer.Now().Sub(at))
		status.HostListAge = &age
	}
	for _, p := range e.membership.Peers() {
		peer := cwadmin.PeerStatus{
			Host: string(p.Host), DataCentre: string(p.DataCentre), Reachable: p.Reachable, ConfigurationVersion: uint64(p.Report.ConfigurationVersion),
			OwnedWorkers: p.Report.Workers, Draining: p.Report.Draining || p.State == cwmodel.HostLeaving,
		}
		if !p.ReceivedAt.IsZero() {
			peer.Age = cwcodec.Duration(e.opts.Timer.Now().Sub(p.ReceivedAt))
		}
		status.Peers = append(status.Peers, peer)
	}
	return status, nil
}
