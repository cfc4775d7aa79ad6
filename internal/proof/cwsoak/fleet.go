// Package cwsoak runs entry hosts of the users' platform as separate processes over stand-ins of it, injects faults from
// outside and checks, from what callers and runners see, what must always hold.
package cwsoak

import (
	"context"
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

// Options set up a fleet.
type Options struct {
	Programs cwprocess.Programs
	Folder   string // of settings and logs
	Timer    *cwtimer.Service
	Nodes    int
	Racks    int // each of them one process
	Runners  int // in each rack
}

// Capacities of the stand-ins.
const (
	runnerProcessors = 8
	runnerMemoryMiB  = 16 << 10
	service          = "portal"
	queueHost        = "jobs.example"
	maxAttempts      = 3
)

// node is one entry host; a restart gives it another process at the same address.
type node struct {
	*cwprocess.Process
	fleet    *Cluster
	name     string
	settings cwboot.Settings
	path     string
	store    *cwprocess.Proxy // its way to the store and to advice
	front    *cwprocess.Proxy // its callers' way
	direct   atomic.Bool      // callers do without the relay
	mu       sync.Mutex       // held by the fault that stops or starts it
	removed  bool
}

// address returns where callers reach the host: through the relay, or without it while a closed relay must not be taken for a
// host that gives no answer.
func (n *node) address() netip.AddrPort {
	if n.direct.Load() {
		return n.settings.CallerListen
	}
	return n.front.Address
}

// process returns the present life of the host.
func (n *node) process() *cwprocess.Process {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return n.Process
}

// rack is one process of runners; a restart gives it new lives under the same identifiers.
type rack struct {
	*cwprocess.Process
	name    string
	kind    string
	lives   []*cwprocess.Process
	ways    []*cwprocess.Proxy // of the hosts, one to each runner
	control netip.AddrPort
	slow    float64
	mu      sync.Mutex // held by the fault that stops or starts it
}

// Cluster is the stand-ins and the entry hosts, each a process of its own.
type Cluster struct {
	opts     Options
	client   *cwhttp.Client
	cleanup  cwduty.Cleanup
	service  netip.AddrPort // for hosts
	control  netip.AddrPort // for proofs
	network  [2]byte        // of the hosts' addresses, so that runs beside each other do not meet
	racks    []*rack
	version  atomic.Uint64 // of the configuration
	operator sync.Mutex    // held while a configuration is written

	mu      sync.Mutex
	nodes   []*node
	started int
	history []*cwprocess.Process
}

// StartCluster starts a fleet, waits until it serves and returns the function that ends it.
func StartCluster(ctx context.Context, opts Options) (f *Cluster, stop func(), err error) {
	defer func() { err = eris.Wrap(err, "start fleet") }()
	f = &Cluster{opts: opts, network: [2]byte{byte(64 + rand.IntN(128)), byte(rand.IntN(256))}}
	defer func() {
		if err != nil {
			f.cleanup.Run()
		}
	}()
	client, stopClient := cwhttp.NewClient(cwhttp.DefaultClientOptions())
	f.client = client
	f.cleanup.Add(stopClient)
	if err = f.startService(ctx); err != nil {
		return nil, nil, err
	}
	for n := range opts.Racks {
		if err = f.addRack(ctx, n); err != nil {
			return nil, nil, err
		}
	}
	for range opts.Nodes {
		if err = f.addNode(ctx); err != nil {
			return nil, nil, err
		}
	}
	return f, f.cleanup.Run, f.awaitReady(ctx)
}

func (f *Cluster) start(name, program string, args ...string) (*cwprocess.Process, error) {
	p, err := cwprocess.StartProcess(name, program, args...)
	if err == nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.history = append(f.history, p)
		f.cleanup.Add(p.Kill)
	}
	return p, err
}

func (f *Cluster) startService(ctx context.Context) error {
	p, err := f.start("service", f.opts.Programs.StandIn, "service", "--listen", "127.0.0.1:0", "--control", "127.0.0.1:0")
	if err != nil {
		return err
	}
	line, err := p.AwaitEvent(ctx, "service-started")
	if err != nil {
		return err
	}
	if f.service, err = netip.ParseAddrPort(line.Get("address")); err != nil {
		return err
	}
	if f.control, err = netip.ParseAddrPort(line.Get("control")); err != nil {
		return err
	}
	return f.configure()
}

// configure puts the next version of the configuration in force. Each version adds a queue and drops an older one. An operator
// writes one after the other.
func (f *Cluster) configure() error {
	f.operator.Lock()
	defer f.operator.Unlock()
	version := f.version.Add(1)
	advice := cwwork.Advice{Base: 10 * time.Millisecond, PerWorker: time.Millisecond, Validity: 1500 * time.Millisecond}
	cfg := &cwcellport.Configuration{Version: version}
	for _, q := range []cwcellport.Queue{
		{Prefix: prefixPlain, Policy: cwwork.QueuePolicy{Priority: 0}},
		{Prefix: prefixAdvised, Policy: cwwork.QueuePolicy{Priority: 1, Advice: advice}},
		{Prefix: versionPrefix(version), Policy: cwwork.QueuePolicy{Priority: 2}},
	} {
		q.Host, q.Policy.Service, q.Policy.MaxAttempts, q.Policy.Stretch, q.Policy.TargetLatency = queueHost, service, maxAttempts, 2, time.Second
		cfg.Queues = append(cfg.Queues, q)
	}
	body, err := cwrows.EncodeConfiguration(cfg)
	if err != nil {
		return err
	}
	return f.command(f.control, cwstandin.PathConfiguration, body)
}

// versionPrefix returns the path prefix of the queue that only one version of the configuration has.
func versionPrefix(version uint64) string { return fmt.Sprintf("/version-%d/", version) }

// command sends one command to a stand-in.
func (f *Cluster) command(addr netip.AddrPort, path string, body []byte) error {
	const patience = 5 * time.Second
	status, answer, err := f.client.RoundTrip(fasthttp.MethodPost, addr, path, body, patience)
	if err == nil && status != fasthttp.StatusOK {
		err = cwfault.New(cwfault.Refused, "%s answered %d: %s", path, status, answer)
	}
	return err
}

func (f *Cluster) addRack(ctx context.Context, n int) error {
	r := &rack{name: fmt.Sprintf("r%d", n+1), kind: []string{"plain", "fast"}[n%2], slow: 0.02 * float64(n%2)}
	for range f.opts.Runners {
		way, stop, err := cwprocess.NewProxy(f.opts.Timer, netip.AddrPort{})
		if err != nil {
			return err
		}
		f.cleanup.Add(stop)
		r.ways = append(r.ways, way)
	}
	f.racks = append(f.racks, r)
	return f.startRack(ctx, r)
}

// startRack starts a life of a rack's runners.
func (f *Cluster) startRack(ctx context.Context, r *rack) error {
	args := []string{
		"runners", "--platform", f.control.String(), "--data-centre", "z1", "--service", service, "--rack", r.name, "--kind", r.kind,
		"--count", fmt.Sprint(f.opts.Runners), "--processors", fmt.Sprint(runnerProcessors), "--memory-mib", fmt.Sprint(runnerMemoryMiB),
		"--slow-clock", fmt.Sprint(r.slow), "--addresses",
	}
	for _, way := range r.ways {
		args = append(args, way.Address.String())
	}
	p, err := f.start(fmt.Sprintf("%s-%d", r.name, len(r.lives)+1), f.opts.Programs.StandIn, args...)
	if err != nil {
		return err
	}
	line, err := p.AwaitEvent(ctx, "runners-started")
	if err != nil {
		return err
	}
	if r.control, err = netip.ParseAddrPort(line.Get("control")); err != nil {
		return err
	}
	for n, line := range p.EventLines("runner-started") {
		addr, err := netip.ParseAddrPort(line.Get("address"))
		if err != nil {
			return err
		}
		r.ways[n].SetTarget(addr)
	}
	r.Process, r.lives = p, append(r.lives, p)
	return nil
}

// addNode adds an entry host at a new address.
func (f *Cluster) addNode(ctx context.Context) error {
	f.mu.Lock()
	f.started++
	number := f.started
	f.mu.Unlock()
	n := &node{fleet: f, name: fmt.Sprintf("front-%d", number)}
	store, stopStore, err := cwprocess.NewProxy(f.opts.Timer, f.service)
	if err != nil {
		return err
	}
	f.cleanup.Add(stopStore)
	ip := netip.AddrFrom4([4]byte{127, f.network[0], f.network[1], byte(number)})
	n.store = store
	n.settings = cwboot.Settings{
		Node: cwmodel.HostID(n.name), DataCentre: cwmodel.DataCentre(fmt.Sprintf("z%d", number%3+1)), IP: ip,
		CallerListen: netip.AddrPortFrom(ip, 8161), ReadinessListen: netip.AddrPortFrom(ip, 8167), PeerListen: netip.AddrPortFrom(ip, 7720),
		Processors: []float64{0.4, 0.4, 0.8}[number%3], MemoryBytes: 284 << 20, Advice: store.Address,
		Store:  cwboot.Store{Address: store.Address, CrossPartition: true},
		Bounds: cwboot.Bounds{MaxTaskLease: 6 * time.Second, StopTimeout: 200 * time.Millisecond, StatusRetention: 2 * time.Minute},
	}
	front, stopFront, err := cwprocess.NewProxy(f.opts.Timer, n.settings.CallerListen)
	if err != nil {
		return err
	}
	f.cleanup.Add(stopFront)
	n.front = front
	n.path = filepath.Join(f.opts.Folder, n.name+".conf")
	if err = os.WriteFile(n.path, n.settings.Format(), 0o600); err != nil {
		return err
	}
	if err = f.startNode(ctx, n); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes = append(f.nodes, n)
	return nil
}

// startNode starts a life of an entry host.
func (f *Cluster) startNode(ctx context.Context, n *node) error {
	p, err := f.start(n.name, f.opts.Programs.Currantward, "node", n.path)
	if err != nil {
		return err
	}
	if _, err = p.AwaitEvent(ctx, "starting"); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	n.Process = p
	return nil
}

// live returns the entry hosts that have not been removed for good.
func (f *Cluster) live() (list []*node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if !n.removed {
			list = append(list, n)
		}
	}
	return list
}

// awaitReady waits until every entry host says that it serves.
func (f *Cluster) awaitReady(ctx context.Context) error {
	for _, n := range f.live() {
		for {
			status, _, err := f.client.RoundTrip(fasthttp.MethodGet, n.settings.ReadinessListen, "/v1/ready", nil, time.Second)
			if err == nil && status == fasthttp.StatusOK {
				break
			}
			if !f.opts.Timer.Sleep(ctx.Done(), 50*time.Millisecond) {
				return cwfault.New(cwfault.Unavailable, "%s is not ready in time", n.name)
			}
		}
	}
	return nil
}

// SaveLogs writes what every process has logged to files.
func (f *Cluster) SaveLogs(folder string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	for n, p := range f.history {
		if err := os.WriteFile(filepath.Join(folder, fmt.Sprintf("%02d-%s.log", n, p.Name)), p.Log(), 0o600); err != nil {
			return err
		}
	}
	return nil
}
