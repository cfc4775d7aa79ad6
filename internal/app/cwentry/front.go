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

// startFronts starts the listeners for callers and operators.
func (e *EntryHost) startFronts() (err error) {
	o := e.opts
	limits := e.limits("callers")
	bound, stop, err := cwfront.New(cwfront.Options{
		Listen: o.Settings.ListenCallers, Limits: limits, Log: o.Log, RunRequest: e.run, Ready: e.checked, Draining: e.leaving,
		SubmitJob: e.submitJob, GetJob: e.callers.Get, ListJobs: e.callers.List, CancelJob: e.callers.Cancel,
	})
	if err != nil {
		return err
	}
	e.Callers = bound
	e.cleanup.Add(stop)
	bound, stop, err = cwadmin.New(cwadmin.Options{
		Listen: o.Settings.ListenOperators, Limits: e.limits("operators"), Timer: o.Timer, Log: o.Log, Metrics: e.metrics.Handler(),
		Operators: o.Settings.Operators, Configuration: e.operator.Configuration, Change: e.operator.Change, History: e.operator.History,
		Versions: e.operator.Versions, Totals: e.totalsOf, Status: e.status, Drain: e.Drain,
	})
	if err != nil {
		return err
	}
	e.Operators = bound
	e.cleanup.Add(stop)
	if len(o.Settings.Operators) == 0 {
		o.Log.WithFields(logrus.Fields{"operators": bound}).Warn("operators-listener-without-tokens")
	}
	return nil
}

// limits returns what the settings allow on one listener.
func (e *EntryHost) limits(name string) cwhttp.ServerOptions {
	s := e.opts.Settings
	return cwhttp.ServerOptions{
		Name: name, MaxBodyBytes: s.MaxBodyBytes, MaxHeaderBytes: s.MaxHeaderBytes, MaxConnections: s.MaxConnections,
		ReadTimeout: s.ReadTimeout, IdleTimeout: s.IdleTimeout, ShutdownTimeout: s.DrainTimeout, Log: e.opts.Log,
		OnResponse: func(status int) { e.metrics.CountHTTPResponse(name, status) },
	}
}

func (e *EntryHost) run(ctx context.Context, request cwmodel.Request) cwmodel.Response {
	return e.intake.Run(ctx, request)
}

func (e *EntryHost) leaving() bool { return e.intake.Draining() }

// ready reports whether this host holds a configuration and is not leaving.
func (e *EntryHost) ready() bool { return e.watcher.Current().Version > 0 && !e.intake.Draining() }

// Drain begins a graceful shutdown: the owner of this entry host is to call its clean-up function.
func (e *EntryHost) Drain() {
	e.drain.Do(func() {
		e.intake.BeginDrain()
		close(e.Drained)
	})
}

// checked notes that a balancer has asked for the health of this host.
func (e *EntryHost) checked() bool {
	e.checks.Add(1)
	return e.ready()
}

// shutDown announces the shutdown, finishes what is in flight and ends all duties.
//
// Where a balancer asks for the health, callers are still served until it has had time to notice.
func (e *EntryHost) shutDown() {
	e.Drain()
	o, began := e.opts, e.opts.Timer.Now()
	log := o.Log.WithField("host-id", o.Settings.HostID)
	log.WithField("in-flight", e.intake.InFlight()).Info("entry-host-draining")
	if e.checks.Load() > 0 {
		o.Timer.Sleep(nil, min(lameDuck, o.Settings.DrainTimeout/4))
	}
	e.intake.Close()
	for e.intake.InFlight() > 0 && o.Timer.Now().Sub(began) < o.Settings.DrainTimeout {
		o.Timer.Sleep(nil, drainCheck)
	}
	left := e.intake.InFlight()
	e.cleanup.Run()
	log.WithFields(logrus.Fields{"took": o.Timer.Now().Sub(began).Round(time.Millisecond), "cut-off": left}).Info("entry-host-stopped")
}

func (e *EntryHost) status(context.Context) (cwadmin.Status, error) {
	load := e.scheduler.Load()
	status := cwadmin.Status{
		Host: string(e.opts.Settings.HostID), DataCentre: string(e.opts.Settings.DataCentre),
		Ready: e.ready(), Configuration: uint64(e.watcher.Current().Version), Leaving: e.intake.Draining(),
		Workers: load.Workers, Waiting: load.Waiting, Running: load.Running, Free: cwcodec.ResourcesOf(load.Free),
		Peers: []cwadmin.PeerStatus{},
	}
	if at := e.member.ListedAt(); !at.IsZero() {
		age := cwcodec.Duration(e.opts.Timer.Now().Sub(at))
		status.HostListAge = &age
	}
	for _, k := range e.member.Peers() {
		peer := cwadmin.PeerStatus{
			Host: string(k.Host), DataCentre: string(k.DataCentre), Reachable: k.Reachable, Configuration: uint64(k.Report.Configuration),
			Workers: k.Report.Workers, Leaving: k.Report.Draining || k.State == cwmodel.HostLeaving,
		}
		if !k.ReceivedAt.IsZero() {
			peer.Age = cwcodec.Duration(e.opts.Timer.Now().Sub(k.ReceivedAt))
		}
		status.Peers = append(status.Peers, peer)
	}
	return status, nil
}
