package cwprocess

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"currantward/internal/adapter/cwadmin"
	"currantward/internal/adapter/cwcodec"
	"currantward/internal/app/cwdeployment"
	"currantward/internal/app/cwsettings"
	"currantward/internal/base/cwduty"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwhttp"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
	"currantward/internal/standin/cwstore"
)

// Options configure a cluster of processes.
type Options struct {
	Programs                Programs
	Folder                  string // where the settings files are written
	Timer                   *cwtimer.Service
	DataCentreCount         int
	EntryHostsPerDataCentre int // in each data centre
	WorkersPerDataCentre    int // in each data centre, all in one process
	Capacity                cwcodec.Resources
	Configuration           cwpolicy.Configuration
	ClaimTTL                time.Duration
}

// EntryHost is the process of one entry host.
type EntryHost struct {
	*Process
	ID            cwmodel.HostID
	DataCentre    cwmodel.DataCentre
	CallerAddr    netip.AddrPort
	OperatorAddr  netip.AddrPort
	PlatformProxy *Proxy // between the host and the platform
}

// Rack is the process that runs all workers of a data centre.
type Rack struct {
	*Process
	DataCentre cwmodel.DataCentre
}

// Cluster is a stand-in of the platform, one rack in each data centre and the entry hosts, each in a process of its own.
type Cluster struct {
	opts         Options
	client       *cwhttp.Client
	cleanup      cwduty.Cleanup
	platformAddr netip.AddrPort
	Hosts        []*EntryHost
	Racks        []*Rack
}

// StartCluster starts a cluster, waits until it is ready and returns the function that stops it. On an error the cluster is stopped
// already.
func StartCluster(ctx context.Context, opts Options) (started *Cluster, stop func(), err error) {
	defer func() { err = eris.Wrap(err, "start cluster") }()
	c := &Cluster{opts: opts}
	defer func() {
		if err != nil {
			c.cleanup.Run()
		}
	}()
	client, stopClient := cwhttp.NewClient(cwhttp.DefaultClientOptions())
	c.client = client
	c.cleanup.Add(stopClient)
	if err = c.startPlatform(ctx); err != nil {
		return nil, nil, err
	}
	for n := range opts.DataCentreCount {
		dataCentre := cwmodel.DataCentre(fmt.Sprintf("khomas-%d", n+1))
		if err = c.startRack(ctx, dataCentre); err != nil {
			return nil, nil, err
		}
		for k := range opts.EntryHostsPerDataCentre {
			if err = c.startHost(ctx, dataCentre, cwmodel.HostID(fmt.Sprintf("%s-entry-%d", dataCentre, k+1))); err != nil {
				return nil, nil, err
			}
		}
	}
	if err = cwdeployment.PutConfiguration(ctx, c.Hosts[0].OperatorAddr, client, opts.Configuration); err != nil {
		return nil, nil, err
	}
	return c, c.cleanup.Run, c.AwaitReady(ctx)
}

// startProcess starts a program, which is killed when the cluster is stopped.
func (c *Cluster) startProcess(name, program string, args ...string) (*Process, error) {
	p, err := StartProcess(name, program, args...)
	if err == nil {
		c.cleanup.Add(p.Kill)
	}
	return p, err
}

// startPlatform starts the stand-in of the platform and records its address.
func (c *Cluster) startPlatform(ctx context.Context) error {
	p, err := c.startProcess("platform", c.opts.Programs.StandIn, "platform", "--listen", "127.0.0.1:0")
	if err != nil {
		return err
	}
	line, err := p.AwaitEvent(ctx, "platform-started")
	if err != nil {
		return err
	}
	c.platformAddr, err = netip.ParseAddrPort(line.Get("address"))
	return err
}

// startRack starts all workers of a data centre in one process.
func (c *Cluster) startRack(ctx context.Context, dataCentre cwmodel.DataCentre) error {
	capacity := c.opts.Capacity
	p, err := c.startProcess("rack-"+string(dataCentre), c.opts.Programs.StandIn, "workers", "--platform", c.platformAddr.String(),
		"--data-centre", string(dataCentre), "--count", fmt.Sprint(c.opts.WorkersPerDataCentre), "--prefix", string(dataCentre)+"-worker",
		"--processors", fmt.Sprint(capacity.Processors), "--memory-mib", fmt.Sprint(capacity.MemoryMiB),
		"--slots", fmt.Sprint(capacity.Slots), "--connections", fmt.Sprint(capacity.Connections))
	if err != nil {
		return err
	}
	c.Racks = append(c.Racks, &Rack{Process: p, DataCentre: dataCentre})
	_, err = p.AwaitEvent(ctx, "worker-started")
	return err
}

// startHost starts an entry host whose calls to the platform pass through a proxy, and registers it at the platform.
func (c *Cluster) startHost(ctx context.Context, dataCentre cwmodel.DataCentre, id cwmodel.HostID) error {
	proxy, stop, err := NewProxy(c.opts.Timer, c.platformAddr)
	if err != nil {
		return err
	}
	c.cleanup.Add(stop)
	settings := cwsettings.Defaults()
	settings.HostID, settings.DataCentre, settings.Platform = string(id), string(dataCentre), proxy.Address.String()
	settings.ListenCallers, settings.ListenOperators, settings.ListenPeers = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	settings.ClaimTTL = cwcodec.Duration(c.opts.ClaimTTL)
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(c.opts.Folder, string(id)+".json")
	if err = os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	p, err := c.startProcess(string(id), c.opts.Programs.Currantward, "serve", path)
	if err != nil {
		return err
	}
	line, err := p.AwaitEvent(ctx, "entry-host-started")
	if err != nil {
		return err
	}
	host := &EntryHost{Process: p, ID: id, DataCentre: dataCentre, PlatformProxy: proxy}
	var peers netip.AddrPort
	for _, address := range []struct {
		key string
		to  *netip.AddrPort
	}{{"callers", &host.CallerAddr}, {"operators", &host.OperatorAddr}, {"peers", &peers}} {
		if *address.to, err = netip.ParseAddrPort(line.Get(address.key)); err != nil {
			return err
		}
	}
	c.Hosts = append(c.Hosts, host)
	row := cwmodel.Host{ID: id, Role: cwmodel.RoleEntryHost, State: cwmodel.HostLive, Address: peers, DataCentre: dataCentre}
	return c.client.Call(ctx, fasthttp.MethodPost, c.platformAddr, cwstore.PathRegister, cwcodec.HostOf(row), nil)
}

// Kill kills a process and records the time, which Check needs.
func (c *Cluster) Kill(p *Process) {
	p.KilledAt = c.opts.Timer.Now()
	p.Kill()
}

// SetFaults replaces the faults that the platform injects. The zero value ends all faults.
func (c *Cluster) SetFaults(ctx context.Context, faults cwstore.Faults) error {
	return c.client.Call(ctx, fasthttp.MethodPost, c.platformAddr, cwstore.PathFaults, faults, nil)
}

// Status returns the status that an entry host reports.
func (c *Cluster) Status(ctx context.Context, host *EntryHost) (status cwadmin.Status, err error) {
	err = c.client.Call(ctx, fasthttp.MethodGet, host.OperatorAddr, cwadmin.PathStatus, nil, &status)
	return status, err
}

// Drain starts a graceful shutdown of an entry host and waits until its process has ended.
func (c *Cluster) Drain(ctx context.Context, host *EntryHost) error {
	if err := c.client.Call(ctx, fasthttp.MethodPost, host.OperatorAddr, cwadmin.PathDrain, struct{}{}, nil); err != nil {
		return err
	}
	code, err := host.Wait(ctx)
	if err == nil && code != 0 {
		err = fmt.Errorf("%s exited with code %d after its drain", host.ID, code)
	}
	return err
}

// AwaitReady waits until every running entry host has a configuration and every running worker has an owner.
func (c *Cluster) AwaitReady(ctx context.Context) error { return c.AwaitCondition(ctx, c.notReady) }

// AwaitConfiguration waits until every running entry host uses at least the given version.
func (c *Cluster) AwaitConfiguration(ctx context.Context, version cwpolicy.Version) error {
	return c.AwaitCondition(ctx, func(ctx context.Context) string {
		for _, host := range c.Hosts {
			if status, err := c.Status(ctx, host); !host.IsEnded() && (err != nil || status.ConfigurationVersion < uint64(version)) {
				return fmt.Sprintf("%s has configuration %d", host.ID, status.ConfigurationVersion)
			}
		}
		return ""
	})
}

// AwaitCondition polls a condition until it is met: describeUnmet returns "" then, and otherwise the text for the error message.
// AwaitCondition fails when ctx ends.
func (c *Cluster) AwaitCondition(ctx context.Context, describeUnmet func(ctx context.Context) (missing string)) error {
	const pollInterval = 50 * time.Millisecond
	for {
		missing := describeUnmet(ctx)
		if missing == "" {
			return nil
		}
		if !c.opts.Timer.Sleep(ctx.Done(), pollInterval) {
			return cwfault.New(cwfault.Unavailable, "condition not met in time: %s", missing)
		}
	}
}

// notReady describes what the cluster still lacks to be ready. It returns "" if the cluster is ready.
func (c *Cluster) notReady(ctx context.Context) string {
	owned := map[cwmodel.DataCentre]int{}
	for _, host := range c.Hosts {
		if host.IsEnded() {
			continue
		}
		status, err := c.Status(ctx, host)
		if err != nil || status.ConfigurationVersion == 0 {
			return fmt.Sprintf("%s has no configuration: %v", host.ID, err)
		}
		owned[host.DataCentre] += status.OwnedWorkers
	}
	for _, rack := range c.Racks {
		if !rack.IsEnded() && owned[rack.DataCentre] != c.opts.WorkersPerDataCentre {
			return fmt.Sprintf("%d of %d workers of %s are owned", owned[rack.DataCentre], c.opts.WorkersPerDataCentre, rack.DataCentre)
		}
	}
	return ""
}
