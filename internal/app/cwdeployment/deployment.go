// Package cwdeployment starts entry hosts and runs whole deployments in one process over loopback TCP.
package cwdeployment

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"currantward/internal/adapter/cwplatform"
	"currantward/internal/adapter/cwworker"
	"currantward/internal/app/cwentry"
	"currantward/internal/app/cwsettings"
	"currantward/internal/base/cwduty"
	"currantward/internal/base/cwhttp"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
	"currantward/internal/standin/cwrunner"
	"currantward/internal/standin/cwstore"
)

// Options configure a deployment in one process.
type Options struct {
	Timer          *cwtimer.Service
	Log            *logrus.Logger
	Settings       cwsettings.Settings    // of the entry host; the platform's address is replaced
	Configuration  cwpolicy.Configuration // committed as the first version
	Workers        int                    // number of stand-in workers
	Capacity       cwmodel.Resources      // of each worker
	WorkersPerRack int                    // zero means 1
}

// Deployment is a running deployment of one entry host, a stand-in platform and stand-in workers.
type Deployment struct {
	EntryHost       *cwentry.EntryHost
	PlatformAddress netip.AddrPort
}

// anyPort is a loopback address with a port that the system chooses.
var anyPort = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)

// New starts the stand-in platform (cwstore), the stand-in workers and one entry host. The returned function stops them all.
func New(opts Options) (d *Deployment, stop func(), err error) {
	defer func() { err = eris.Wrap(err, "start deployment") }()
	var cleanup cwduty.Cleanup
	defer func() {
		if err != nil {
			cleanup.Run()
		}
	}()
	_, platformAddr, stopStore, err := cwstore.New(cwstore.Options{Listen: anyPort, Timer: opts.Timer, Log: opts.Log})
	if err != nil {
		return nil, nil, err
	}
	cleanup.Add(stopStore)
	if err = startWorkers(opts, platformAddr, &cleanup); err != nil {
		return nil, nil, err
	}
	opts.Settings.Platform = platformAddr
	entryHost, stopEntryHost, err := StartEntryHost(opts.Settings, opts.Timer, opts.Log)
	if err != nil {
		return nil, nil, err
	}
	cleanup.Add(stopEntryHost)
	client, stopClient := cwhttp.NewClient(cwhttp.DefaultClientOptions())
	cleanup.Add(stopClient)
	if err = Provision(entryHost.OperatorsAddr, client, opts); err != nil {
		return nil, nil, err
	}
	return &Deployment{EntryHost: entryHost, PlatformAddress: platformAddr}, cleanup.Run, nil
}

// StartEntryHost starts one entry host with the adapters for workers and for the platform in its settings. It counts the bytes that
// both adapters send and receive.
func StartEntryHost(settings cwsettings.Settings, timer *cwtimer.Service, log *logrus.Logger) (e *cwentry.EntryHost, stop func(), err error) {
	var traffic cwentry.Traffic
	platformOpts, workerOpts := cwhttp.DefaultClientOptions(), cwhttp.DefaultClientOptions()
	traffic.Platform, traffic.Workers = &cwhttp.ByteCounter{}, &cwhttp.ByteCounter{}
	platformOpts.Traffic, workerOpts.Traffic = traffic.Platform, traffic.Workers
	platform, stopPlatform := cwplatform.New(settings.Platform, platformOpts)
	workers, stopWorkers := cwworker.New(workerOpts)
	entryHost, stopEntryHost, err := cwentry.New(cwentry.Options{
		Settings: settings, Timer: timer, Log: log, Table: platform.Table(), Objects: platform.ObjectStore(), HostList: platform.HostList(), Workers: workers, Traffic: traffic,
	})
	if err != nil {
		stopWorkers()
		stopPlatform()
		return nil, nil, err
	}
	return entryHost, func() {
		stopEntryHost()
		stopWorkers()
		stopPlatform()
	}, nil
}

// startWorkers starts the stand-in workers in the data centre of the entry host. They register with the platform themselves. The
// function adds their stop functions to cleanup even if it fails.
func startWorkers(opts Options, platformAddr netip.AddrPort, cleanup *cwduty.Cleanup) (err error) {
	var stops []func()
	defer func() { cleanup.Add(cwduty.Concurrent(stops)) }()
	for n := range opts.Workers {
		worker := cwmodel.Worker{
			ID: cwmodel.HostID(fmt.Sprintf("worker-%03d", n)), DataCentre: opts.Settings.DataCentre,
			Rack: fmt.Sprintf("rack-%02d", n/max(opts.WorkersPerRack, 1)), Capacity: opts.Capacity,
		}
		_, _, stop, err := cwrunner.New(cwrunner.Options{Listen: anyPort, PlatformAddress: platformAddr, Worker: worker, Timer: opts.Timer, Log: opts.Log})
		if err != nil {
			return err
		}
		stops = append(stops, stop)
	}
	return nil
}

// Provision commits the first configuration and waits until the entry host has claimed all workers.
func Provision(operatorsAddr netip.AddrPort, client *cwhttp.Client, opts Options) (err error) {
	defer func() { err = eris.Wrap(err, "provision deployment") }()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if err = PutConfiguration(ctx, operatorsAddr, client, opts.Configuration); err != nil {
		return err
	}
	return AwaitWorkers(ctx, operatorsAddr, client, opts.Timer, opts.Workers)
}
