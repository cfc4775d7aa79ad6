package cwcapacity

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"currantward/internal/app/cwsettings"
	"currantward/internal/base/cwduty"
	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwmodel"
	"currantward/internal/standin/cwrunner"
	"currantward/internal/standin/cwstore"
)

// anyPort lets the system choose a loopback port.
var anyPort = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)

// meetTime lets the entry hosts hear of each other before there are workers to share out.
const meetTime = 3 * time.Second

// host is one entry host in a process of its own.
type host struct {
	callers, operators, peers netip.AddrPort
}

// fleet is a deployment: stand-ins in this process and entry hosts in their own.
type fleet struct {
	timer    *cwtimer.Service
	store    *cwstore.Platform
	platform netip.AddrPort
	folder   string
	hosts    []host
}

// startFleet starts everything that a point asks for and returns the function that stops it.
func startFleet(point Point) (started *fleet, stop func(), err error) {
	var cleanup cwduty.Cleanup
	defer func() {
		if err != nil {
			cleanup.Run()
		}
	}()
	f := &fleet{}
	f.timer, stop = cwtimer.New()
	cleanup.Add(stop)
	if f.store, f.platform, stop, err = cwstore.New(cwstore.Options{Listen: anyPort, Timer: f.timer, Log: cwlog.Discard()}); err != nil {
		return nil, nil, err
	}
	cleanup.Add(stop)
	if f.folder, err = os.MkdirTemp("", "capacity"); err != nil {
		return nil, nil, err
	}
	cleanup.Add(func() { _ = os.RemoveAll(f.folder) })
	var workers, hosts []func()
	cleanup.Add(func() { cwduty.Concurrent(workers)() })
	cleanup.Add(func() { cwduty.Concurrent(hosts)() })
	for n := range point.Hosts {
		if stop, err = f.startHost(n, point); err != nil {
			return nil, nil, err
		}
		hosts = append(hosts, stop)
	}
	f.timer.Sleep(nil, meetTime)
	for n := range point.Workers {
		if stop, err = f.startWorker(n, point); err != nil {
			return nil, nil, err
		}
		workers = append(workers, stop)
	}
	return f, cleanup.Run, nil
}

func centreOf(n int, point Point) cwmodel.DataCentre {
	return cwmodel.DataCentre(fmt.Sprintf("centre-%d", n%point.DataCentres+1))
}

func (f *fleet) startWorker(n int, point Point) (stop func(), err error) {
	worker := cwmodel.Worker{
		ID: cwmodel.HostID(fmt.Sprintf("worker-%04d", n)), DataCentre: centreOf(n, point), Rack: fmt.Sprintf("rack-%03d", n/8),
		Capacity: cwmodel.Resources{MilliProcessors: 64_000, MemoryBytes: 256 << 30, Accelerators: 2, Slots: 64, Connections: 64},
	}
	_, bound, stop, err := cwrunner.New(cwrunner.Options{Listen: anyPort, Worker: worker, Timer: f.timer, Log: cwlog.Discard()})
	if err != nil {
		return nil, err
	}
	f.store.Register(cwmodel.Host{
		ID: worker.ID, Role: cwmodel.RoleWorker, State: cwmodel.HostLive, Address: bound, DataCentre: worker.DataCentre, Rack: worker.Rack,
	})
	return stop, nil
}

// startHost runs this executable again as an entry host and reads the bound addresses from its log.
func (f *fleet) startHost(n int, point Point) (stop func(), err error) {
	id := cwmodel.HostID(fmt.Sprintf("entry-%02d", n))
	settings := cwsettings.Defaults()
	settings.HostID, settings.DataCentre, settings.Platform = string(id), string(centreOf(n, point)), f.platform.String()
	settings.ListenCallers, settings.ListenOperators, settings.ListenPeers = anyPort.String(), anyPort.String(), anyPort.String()
	document, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(f.folder, string(id)+".json")
	if err = os.WriteFile(path, document, 0o600); err != nil {
		return nil, err
	}
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	process := exec.Command(executable, "entry-host", path)
	log, err := process.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err = process.Start(); err != nil {
		return nil, err
	}
	stop = func() {
		_ = process.Process.Signal(syscall.SIGTERM)
		_ = process.Wait()
	}
	started, err := readAddresses(log)
	if err != nil {
		stop()
		return nil, err
	}
	f.hosts = append(f.hosts, started)
	f.store.Register(cwmodel.Host{ID: id, Role: cwmodel.RoleEntryHost, State: cwmodel.HostLive, Address: started.peers, DataCentre: centreOf(n, point)})
	return stop, nil
}

// readAddresses waits for the line that names the bound addresses and goes on discarding the log.
func readAddresses(log io.Reader) (h host, err error) {
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		if !strings.Contains(lines.Text(), "entry-host-started") {
			continue
		}
		for _, field := range strings.Fields(lines.Text()) {
			key, value, _ := strings.Cut(field, "=")
			addr, err := netip.ParseAddrPort(strings.Trim(value, `"`))
			switch {
			case err != nil:
			case key == "callers":
				h.callers = addr
			case key == "operators":
				h.operators = addr
			case key == "peers":
				h.peers = addr
			}
		}
		go func() { _, _ = io.Copy(io.Discard, log) }()
		return h, nil
	}
	return h, fmt.Errorf("the entry host ended before it had started: %w", io.ErrUnexpectedEOF)
}
