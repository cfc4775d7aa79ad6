// Package cwsoak is a fault soak: it runs entry hosts as separate processes on stand-ins of the users' platform, injects faults from
// outside, and checks the scheduler's guarantees from what callers and runners observe.
package cwsoak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"currantward/internal/adapter/cwcellmemory"
	"currantward/internal/base/cwduty"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwhttp"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
	"currantward/internal/port/cwcellport"
	"currantward/internal/proof/cwprocess"
	"currantward/platform/cwboot"
	"currantward/platform/cwrows"
	"currantward/platform/cwstandin"
)

// Options configure a cluster. A node is an entry host, a rack is a process that simulates several runners, and a runner is a worker.
type Options struct {
	Programs cwprocess.Programs
	Folder   string // where the settings files are written
	Timer    *cwtimer.Service
	Nodes    int
	Racks    int // each is one process
	Runners  int // in each rack
	// NarrowNodes is how many of the first nodes reach the store over a link of narrowLinkBytesPerSec.
	NarrowNodes int
	// Clocks are the first readings of the clocks of each runner's processes, one after the other; further ones are drawn.
	Clocks []time.Duration
}

// Capacity of a runner, and names and bounds in the configuration.
const (
	runnerProcessors = 8
	runnerMemoryMiB  = 16 << 10
	serviceName      = "portal"
	queueHostname    = "jobs.example"
	maxAttempts      = 3
	// shrinkPeriod is the time for which a runner has all of its processors. It then has half for three times as long.
	shrinkPeriod = 3 * time.Second
)

// narrowLinkBytesPerSec is the capacity of a narrow link, 10 Mbit/s.
const narrowLinkBytesPerSec = 10_000_000 / 8

// node is one entry host. A restart replaces its process; its addresses stay.
type node struct {
	*cwprocess.Process
	cluster      *Cluster
	name         string
	settings     cwboot.Settings
	settingsPath string
	storeProxy   *cwprocess.Proxy // between the node and the platform's store and advice services
	callerProxy  *cwprocess.Proxy // between callers and the node
	bypassProxy  atomic.Bool      // whether callers connect without callerProxy
	mu           sync.Mutex       // held by the fault that stops or starts the process
	isReplaced   bool             // has ended permanently
}

// address returns the address at which callers reach the node. It is that of the proxy, or that of the node itself while a call without
// a response is a violation, since a proxy fault would look like one.
func (n *node) address() netip.AddrPort {
	if n.bypassProxy.Load() {
		return n.settings.CallerListen
	}
	return n.callerProxy.Address
}

// process returns the current process of the node.
func (n *node) process() *cwprocess.Process {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.Process
}

// rack is several runners in one process. A restart replaces the process; the runners keep their identifiers.
type rack struct {
	*cwprocess.Process
	name          string
	label         string
	incarnations  []*cwprocess.Process
	proxies       []*cwprocess.Proxy // between the nodes and each runner
	controlAddr   netip.AddrPort
	clockSlowdown float64
	restarts      int        // ordered restarts of the runners in the present process
	mu            sync.Mutex // held by the fault that stops or starts the process
}

// Cluster is the stand-in of the platform, the racks and the nodes of one run, each in a process of its own.
type Cluster struct {
	opts                Options
	client              *cwhttp.Client
	cleanup             cwduty.Cleanup
	platformAddr        netip.AddrPort // where nodes reach the stand-in of the platform
	platformControlAddr netip.AddrPort // where the soak sets the configuration and the faults of that stand-in
	subnet              [2]byte        // of the nodes' addresses, random so that concurrent runs do not collide
	racks               []*rack
	newestVersion       atomic.Uint64 // of the configuration
	bulkQueues          atomic.Int64  // number of queues without jobs that each further version of the configuration has
	configurationMu     sync.Mutex    // held while a configuration is written

	mu        sync.Mutex
	nodes     []*node
	nodeCount int
	processes []*cwprocess.Process
}

// StartCluster starts a cluster, waits until it is ready and returns the function that stops it. On an error the cluster is stopped
// already.
func StartCluster(ctx context.Context, opts Options) (c *Cluster, stop func(), err error) {
	defer func() { err = eris.Wrap(err, "start cluster") }()
	c = &Cluster{opts: opts, subnet: [2]byte{byte(64 + rand.IntN(128)), byte(rand.IntN(256))}}
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
	for n := range opts.Racks {
		if err = c.addRack(ctx, n); err != nil {
			return nil, nil, err
		}
	}
	for range opts.Nodes {
		if err = c.addNode(ctx); err != nil {
			return nil, nil, err
		}
	}
	return c, c.cleanup.Run, c.awaitReady(ctx)
}

// startProcess starts a program, which is killed when the cluster is stopped.
func (c *Cluster) startProcess(name, program string, args ...string) (*cwprocess.Process, error) {
	p, err := cwprocess.StartProcess(name, program, args...)
	if err == nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.processes = append(c.processes, p)
		c.cleanup.Add(p.Kill)
	}
	return p, err
}

// startPlatform starts the process that is the stand-in of the platform, and stores the first version of the configuration.
func (c *Cluster) startPlatform(ctx context.Context) error {
	p, err := c.startProcess("service", c.opts.Programs.StandIn, "service", "--listen", "127.0.0.1:0", "--control", "127.0.0.1:0")
	if err != nil {
		return err
	}
	line, err := p.AwaitEvent(ctx, "service-started")
	if err != nil {
		return err
	}
	if c.platformAddr, err = netip.ParseAddrPort(line.Get("address")); err != nil {
		return err
	}
	if c.platformControlAddr, err = netip.ParseAddrPort(line.Get("control")); err != nil {
		return err
	}
	return c.putNextConfiguration()
}

// putNextConfiguration stores the next version of the configuration. Each version has a queue of its own in place of that of the version
// before, so that a lookup in that queue tells whether a node uses the version. Versions are written one at a time, as an operator does.
func (c *Cluster) putNextConfiguration() error {
	c.configurationMu.Lock()
	defer c.configurationMu.Unlock()
	version := c.newestVersion.Add(1)
	advice := cwwork.Advice{Base: 10 * time.Millisecond, PerWorker: time.Millisecond, Validity: 1500 * time.Millisecond}
	cfg := &cwcellport.Configuration{Version: version}
	for _, q := range []cwcellport.Queue{
		{Prefix: prefixPlain, Policy: cwwork.QueuePolicy{Priority: 0}},
		{Prefix: prefixAdvised, Policy: cwwork.QueuePolicy{Priority: 1, Advice: advice}},
		{Prefix: versionPrefix(version), Policy: cwwork.QueuePolicy{Priority: 2}},
	} {
		q.Host, q.Policy.Service, q.Policy.MaxAttempts, q.Policy.Stretch, q.Policy.TargetLatency = queueHostname, serviceName, maxAttempts, 2, time.Second
		cfg.Queues = append(cfg.Queues, q)
	}
	for v := uint64(1); v <= version; v++ {
		cfg.Queues = append(cfg.Queues, bulkQueue(addedPrefix(v)))
	}
	for n := range c.bulkQueues.Load() {
		cfg.Queues = append(cfg.Queues, bulkQueue(fmt.Sprintf("/bulk-%d/", n)))
	}
	body, err := cwrows.EncodeConfiguration(cfg)
	if err != nil {
		return err
	}
	return c.sendCommand(c.platformControlAddr, cwstandin.PathConfiguration, body)
}

// bulkQueue returns a queue that receives no jobs.
func bulkQueue(prefix string) cwcellport.Queue {
	return cwcellport.Queue{
		Host: queueHostname, Prefix: prefix,
		Policy: cwwork.QueuePolicy{Service: serviceName, Priority: 2, MaxAttempts: maxAttempts, Stretch: 2, TargetLatency: time.Second},
	}
}

// addedPrefix returns the path prefix of the queue that a version of the configuration adds, and that all later ones keep.
func addedPrefix(version uint64) string { return fmt.Sprintf("/added-%d/", version) }

// versionPrefix returns the path prefix of the queue that exists only in one version of the configuration.
func versionPrefix(version uint64) string { return fmt.Sprintf("/version-%d/", version) }

// sendCommand sends a command to the control address of a stand-in.
func (c *Cluster) sendCommand(addr netip.AddrPort, path string, body []byte) error {
	const timeout = 5 * time.Second
	status, response, err := c.client.RoundTrip(fasthttp.MethodPost, addr, path, body, timeout)
	if err == nil && status != fasthttp.StatusOK {
		err = cwfault.New(cwfault.Refused, "command %s returned status %d: %s", path, status, response)
	}
	return err
}

// setRunnerFaults sets the faults of all runners of a rack.
func (c *Cluster) setRunnerFaults(rk *rack, faults cwstandin.RunnerFaults) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	return c.sendCommand(rk.controlAddr, "/", body)
}

// addRack adds a rack and starts it. Each second rack has the label "fast" and a slow clock.
func (c *Cluster) addRack(ctx context.Context, n int) error {
	rk := &rack{name: fmt.Sprintf("r%d", n+1), label: []string{"plain", "fast"}[n%2], clockSlowdown: 0.02 * float64(n%2)}
	for range c.opts.Runners {
		proxy, stop, err := cwprocess.NewProxy(c.opts.Timer, netip.AddrPort{})
		if err != nil {
			return err
		}
		c.cleanup.Add(stop)
		rk.proxies = append(rk.proxies, proxy)
	}
	c.racks = append(c.racks, rk)
	return c.startRack(ctx, rk)
}

// startRack starts a new process for a rack's runners. The runners advertise the addresses of the proxies, so that calls to them pass
// through the proxies.
func (c *Cluster) startRack(ctx context.Context, rk *rack) error {
	args := []string{
		"runners", "--platform", c.platformControlAddr.String(), "--data-centre", "z1", "--service", serviceName, "--rack", rk.name, "--kind", rk.label,
		"--count", fmt.Sprint(c.opts.Runners), "--processors", fmt.Sprint(runnerProcessors), "--memory-mib", fmt.Sprint(runnerMemoryMiB),
		"--slow-clock", fmt.Sprint(rk.clockSlowdown), "--shrinks", shrinkPeriod.String(),
	}
	if len(c.opts.Clocks) > 0 {
		args = append(args, "--clocks")
		for _, reading := range c.opts.Clocks {
			args = append(args, reading.String())
		}
	}
	args = append(args, "--addresses")
	for _, proxy := range rk.proxies {
		args = append(args, proxy.Address.String())
	}
	p, err := c.startProcess(fmt.Sprintf("%s-%d", rk.name, len(rk.incarnations)+1), c.opts.Programs.StandIn, args...)
	if err != nil {
		return err
	}
	allStarted, err := p.AwaitEvent(ctx, "runners-started")
	if err != nil {
		return err
	}
	if rk.controlAddr, err = netip.ParseAddrPort(allStarted.Get("control")); err != nil {
		return err
	}
	for n, runnerStarted := range p.EventLines("runner-started") {
		addr, err := netip.ParseAddrPort(runnerStarted.Get("address"))
		if err != nil {
			return err
		}
		rk.proxies[n].SetTarget(addr)
	}
	rk.Process, rk.restarts, rk.incarnations = p, 0, append(rk.incarnations, p)
	return nil
}

// addNode adds a node at a new address and starts it.
func (c *Cluster) addNode(ctx context.Context) error {
	c.mu.Lock()
	c.nodeCount++
	number := c.nodeCount
	c.mu.Unlock()
	n := &node{cluster: c, name: fmt.Sprintf("front-%d", number)}
	storeProxy, stopStoreProxy, err := cwprocess.NewProxy(c.opts.Timer, c.platformAddr)
	if err != nil {
		return err
	}
	c.cleanup.Add(stopStoreProxy)
	if number <= c.opts.NarrowNodes {
		storeProxy.SetBandwidth(narrowLinkBytesPerSec)
	}
	ip := netip.AddrFrom4([4]byte{127, c.subnet[0], c.subnet[1], byte(number)})
	n.storeProxy = storeProxy
	n.settings = cwboot.Settings{
		Node: cwmodel.HostID(n.name), DataCentre: cwmodel.DataCentre(fmt.Sprintf("z%d", number%3+1)), IP: ip,
		CallerListen: netip.AddrPortFrom(ip, 8161), ReadinessListen: netip.AddrPortFrom(ip, 8167), PeerListen: netip.AddrPortFrom(ip, 7720),
		Processors: []float64{0.4, 0.4, 0.8}[number%3], MemoryBytes: 284 << 20, Advice: storeProxy.Address,
		Store:  cwboot.Store{Address: storeProxy.Address, CrossPartition: true, MaxRowBytes: cwcellmemory.MaxRowBytes},
		Bounds: cwboot.Bounds{MaxTaskLease: 6 * time.Second, StopTimeout: 200 * time.Millisecond, StatusRetention: 2 * time.Minute},
	}
	callerProxy, stopCallerProxy, err := cwprocess.NewProxy(c.opts.Timer, n.settings.CallerListen)
	if err != nil {
		return err
	}
	c.cleanup.Add(stopCallerProxy)
	n.callerProxy = callerProxy
	n.settingsPath = filepath.Join(c.opts.Folder, n.name+".conf")
	if err = os.WriteFile(n.settingsPath, n.settings.Format(), 0o600); err != nil {
		return err
	}
	if err = c.startNode(ctx, n); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes = append(c.nodes, n)
	return nil
}

// startNode starts a new process for a node.
func (c *Cluster) startNode(ctx context.Context, n *node) error {
	p, err := c.startProcess(n.name, c.opts.Programs.Currantward, "node", n.settingsPath)
	if err != nil {
		return err
	}
	if _, err = p.AwaitEvent(ctx, "starting"); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	n.Process = p
	return nil
}

// currentNodes returns the nodes that have not been replaced. A fault may have stopped their processes for a while.
func (c *Cluster) currentNodes() (current []*node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		if !n.isReplaced {
			current = append(current, n)
		}
	}
	return current
}

// awaitReady waits until every node reports that it is ready.
func (c *Cluster) awaitReady(ctx context.Context) error {
	for _, n := range c.currentNodes() {
		for {
			status, _, err := c.client.RoundTrip(fasthttp.MethodGet, n.settings.ReadinessListen, "/v1/ready", nil, time.Second)
			if err == nil && status == fasthttp.StatusOK {
				break
			}
			if !c.opts.Timer.Sleep(ctx.Done(), 50*time.Millisecond) {
				return cwfault.New(cwfault.Unavailable, "%s is not ready in time", n.name)
			}
		}
	}
	return nil
}

// SaveLogs writes the log of each process to a file of its own.
func (c *Cluster) SaveLogs(folder string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	for n, p := range c.processes {
		if err := os.WriteFile(filepath.Join(folder, fmt.Sprintf("%02d-%s.log", n, p.Name)), p.Log(), 0o600); err != nil {
			return err
		}
	}
	return nil
}
