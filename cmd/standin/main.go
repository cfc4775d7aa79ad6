// Command standin runs the stand-ins for the platform and for workers.
package main

import (
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/sirupsen/logrus"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/base/cwduty"
	"currantward/internal/base/cwhttp"
	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwcell"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwcellport"
	"currantward/internal/standin/cwrunner"
	"currantward/internal/standin/cwstore"
	"currantward/platform/cwstandin"
)

type platformArgs struct {
	Listen netip.AddrPort `arg:"--listen" default:"127.0.0.1:9000" help:"address to listen on"`
	Hosts  string         `arg:"--hosts" help:"JSON file with the hosts that the list begins with"`
}

// workersArgs are the options of workers. All workers of a process have the same capacity.
type workersArgs struct {
	Platform     netip.AddrPort `arg:"--platform,required" help:"address of the platform to register with"`
	DataCentre   string         `arg:"--data-centre,required" help:"data centre of the workers"`
	Count        int            `arg:"--count" default:"1" help:"workers in this process"`
	Prefix       string         `arg:"--prefix" default:"worker" help:"start of the workers' names"`
	PerRack      int            `arg:"--per-rack" default:"8" help:"workers in a rack"`
	Processors   float64        `arg:"--processors" default:"16" help:"processors of each worker"`
	MemoryMiB    int64          `arg:"--memory-mib" default:"65536" help:"memory of each worker"`
	Accelerators int64          `arg:"--accelerators" default:"0" help:"accelerators of each worker"`
	Slots        int64          `arg:"--slots" default:"8" help:"slots of each worker"`
	Connections  int64          `arg:"--connections" default:"60" help:"connections of each worker"`
}

type serviceArgs struct {
	Listen        netip.AddrPort `arg:"--listen" default:"127.0.0.1:8169" help:"address for entry hosts"`
	Control       netip.AddrPort `arg:"--control" default:"127.0.0.1:8170" help:"address for operators and runners"`
	Configuration string         `arg:"--configuration" help:"file with the first configuration, as operators write it"`
}

// runnersArgs are the options of runners. All runners of a process have the same capacity.
type runnersArgs struct {
	Platform   netip.AddrPort   `arg:"--platform" default:"127.0.0.1:8170" help:"control address of the stand-in to register with"`
	Control    netip.AddrPort   `arg:"--control" default:"127.0.0.1:0" help:"address for faults"`
	DataCentre string           `arg:"--data-centre,required" help:"data centre of the runners"`
	Service    string           `arg:"--service,required" help:"service that the runners belong to"`
	Rack       string           `arg:"--rack" default:"r1" help:"rack of the runners"`
	Kind       string           `arg:"--kind" default:"plain" help:"kind of the runners, a label of theirs"`
	Count      int              `arg:"--count" default:"1" help:"runners in this process"`
	Processors int64            `arg:"--processors" default:"64" help:"processors of each runner"`
	MemoryMiB  int64            `arg:"--memory-mib" default:"262144" help:"memory of each runner"`
	SlowClock  float64          `arg:"--slow-clock" help:"part by which their clocks are slow"`
	Shrinks    time.Duration    `arg:"--shrinks" help:"they have all of their processors in the first of four periods of this length, then half"`
	Addresses  []netip.AddrPort `arg:"--addresses" help:"addresses that they register, in place of their own"`
	Clocks     []time.Duration  `arg:"--clocks" help:"first readings of the clocks of each runner's processes, one after the other; further ones are drawn"`
}

type arguments struct {
	Platform *platformArgs `arg:"subcommand:platform" help:"run a stand-in platform"`
	Workers  *workersArgs  `arg:"subcommand:workers" help:"run stand-in workers"`
	Service  *serviceArgs  `arg:"subcommand:service" help:"run a stand-in of the users' platform: its store and its advice"`
	Runners  *runnersArgs  `arg:"subcommand:runners" help:"run stand-ins of the users' runners"`
}

func main() {
	var a arguments
	parser := arg.MustParse(&a)
	timer, stop := cwtimer.New()
	defer stop()
	log := cwlog.New(os.Stderr, logrus.InfoLevel)
	var err error
	switch {
	case a.Platform != nil:
		err = runPlatform(a.Platform, timer, log)
	case a.Workers != nil:
		err = runWorkers(a.Workers, timer, log)
	case a.Service != nil:
		err = runService(a.Service, timer, log)
	case a.Runners != nil:
		err = runRunners(a.Runners, timer, log)
	default:
		parser.Fail("a subcommand is needed")
	}
	if err != nil {
		log.WithFields(logrus.Fields{"error": err.Error()}).Error("stand-in-failed")
		os.Exit(1)
	}
}

// awaitSignal blocks until the process receives an interrupt or termination signal.
func awaitSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
}

// runPlatform runs a stand-in platform until a signal arrives.
func runPlatform(a *platformArgs, timer *cwtimer.Service, log *logrus.Logger) error {
	store, addr, stop, err := cwstore.New(cwstore.Options{Listen: a.Listen, Timer: timer, Log: log})
	if err != nil {
		return err
	}
	defer stop()
	if err = registerHosts(store, a.Hosts); err != nil {
		return err
	}
	log.WithFields(logrus.Fields{"address": addr}).Info("platform-started")
	awaitSignal()
	return nil
}

// registerHosts adds the hosts in a file to the host list. An empty path adds none.
func registerHosts(store *cwstore.Platform, path string) error {
	if path == "" {
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var document cwcodec.HostsResponse
	if err = cwhttp.DecodeStrict(data, &document); err != nil {
		return err
	}
	for _, listed := range document.Hosts {
		host, err := listed.ToModel()
		if err != nil {
			return err
		}
		store.Register(host)
	}
	return nil
}

// runWorkers runs stand-in workers, which register with the platform, until a signal arrives.
func runWorkers(a *workersArgs, timer *cwtimer.Service, log *logrus.Logger) error {
	capacity := cwcodec.Resources{
		Processors: a.Processors, MemoryMiB: a.MemoryMiB, Accelerators: a.Accelerators, Slots: a.Slots, Connections: a.Connections,
	}
	listen := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
	var stops []func()
	defer func() { cwduty.Concurrent(stops)() }()
	for n := range a.Count {
		worker := cwmodel.Worker{
			ID: cwmodel.HostID(fmt.Sprintf("%s-%03d", a.Prefix, n)), DataCentre: cwmodel.DataCentre(a.DataCentre),
			Rack: fmt.Sprintf("rack-%02d", n/max(a.PerRack, 1)), Capacity: capacity.ToModel(),
		}
		_, addr, stop, err := cwrunner.New(cwrunner.Options{Listen: listen, PlatformAddress: a.Platform, Worker: worker, Timer: timer, Log: log})
		if err != nil {
			return err
		}
		stops = append(stops, stop)
		log.WithFields(logrus.Fields{"worker": worker.ID, "address": addr}).Info("worker-started")
	}
	awaitSignal()
	return nil
}

// runService runs the stand-in of the users' platform, with its store and its advice service, until a signal arrives. Entry hosts call its
// listen address; operators, tests and the stand-in runners (workers of that platform) call its control address.
func runService(a *serviceArgs, timer *cwtimer.Service, log *logrus.Logger) (err error) {
	var configuration []byte
	if a.Configuration != "" {
		if configuration, err = os.ReadFile(a.Configuration); err != nil {
			return err
		}
	}
	addr, controlAddr, stop, err := cwstandin.Serve(cwstandin.ServiceOptions{
		Listen: a.Listen, Control: a.Control, Configuration: configuration, Timer: timer, Log: log,
	})
	if err != nil {
		return err
	}
	defer stop()
	log.WithFields(logrus.Fields{"address": addr, "control": controlAddr}).Info("service-started")
	awaitSignal()
	return nil
}

// firstReadings returns a function that returns the given first readings of a runner's clock, one for each of its processes, and drawn ones after
// the last.
func firstReadings(readings []time.Duration) func(former time.Duration) time.Duration {
	return func(former time.Duration) time.Duration {
		if len(readings) == 0 {
			return cwstandin.DrawFirstReading(former)
		}
		reading := readings[0]
		readings = readings[1:]
		return reading
	}
}

// runRunners runs stand-ins of the users' runners until a signal arrives. They share one control listener, which sets their faults.
func runRunners(a *runnersArgs, timer *cwtimer.Service, log *logrus.Logger) error {
	var stops []func()
	defer func() { cwduty.Concurrent(stops)() }()
	controlAddr, faults, stop, err := cwstandin.ServeRunnerFaults(a.Control, log)
	if err != nil {
		return err
	}
	stops = append(stops, stop)
	client, closeClient := cwhttp.NewClient(cwhttp.DefaultClientOptions())
	stops = append(stops, closeClient)
	for n := range a.Count {
		entry := cwcellport.WorkerEntry{WorkerInfo: cwcell.WorkerInfo{
			ID: cwmodel.HostID(fmt.Sprintf("%s-%d", a.Rack, n)), Service: a.Service, DataCentre: cwmodel.DataCentre(a.DataCentre), Rack: a.Rack,
			Capacity: cwmodel.Resources{MilliProcessors: a.Processors * 1000, MemoryBytes: a.MemoryMiB << 20},
		}}
		if n < len(a.Addresses) {
			entry.Address = a.Addresses[n]
		}
		addr, stop, err := cwstandin.NewRestartingRunner(cwstandin.RunnerOptions{
			Entry: entry, Kind: a.Kind, Listen: netip.AddrPortFrom(controlAddr.Addr(), 0), PlatformControl: a.Platform, Client: client,
			ClockDrift: a.SlowClock, FirstReading: firstReadings(a.Clocks), ShrinkPeriod: a.Shrinks, Faults: faults, Timer: timer, Log: log,
		})
		if err != nil {
			return err
		}
		stops = append(stops, stop)
		log.WithFields(logrus.Fields{"worker": entry.ID, "address": addr}).Info("runner-started")
	}
	log.WithFields(logrus.Fields{"control": controlAddr}).Info("runners-started")
	awaitSignal()
	return nil
}
