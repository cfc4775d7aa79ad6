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

// anyPort is a loopback address with a port that the system chooses.
var anyPort = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)

// discoveryTime is the time in which the entry hosts discover each other, before any worker is registered that they would divide.
const discoveryTime = 3 * time.Second

// entryHost holds the listen addresses of one entry host, which runs in its own process.
type entryHost struct {
	callersAddr, operatorsAddr, peersAddr netip.AddrPort
}

// cluster is a deployment with stand-ins in this process and each entry host in its own process.
type cluster struct {
	timer        *cwtimer.Service
	store        *cwstore.Platform
	platformAddr netip.AddrPort
	folder       string
	hosts        []entryHost
}

// startCluster starts a cluster of the size of point, without load. The returned function stops it.
func startCluster(point LoadPoint) (started *cluster, stop func(), err error) {
	var cleanup cwduty.Cleanup
	defer func() {
		if err != nil {
			cleanup.Run()
		}
	}()
	c := &cluster{}
	c.timer, stop = cwtimer.New()
	cleanup.Add(stop)
	if c.store, c.platformAddr, stop, err = cwstore.New(cwstore.Options{Listen: anyPort, Timer: c.timer, Log: cwlog.Discard()}); err != nil {
		return nil, nil, err
	}
	cleanup.Add(stop)
	if c.folder, err = os.MkdirTemp("", "capacity"); err != nil {
		return nil, nil, err
	}
	cleanup.Add(func() { _ = os.RemoveAll(c.folder) })
	var workers, hosts []func()
	cleanup.Add(func() { cwduty.Concurrent(workers)() })
	cleanup.Add(func() { cwduty.Concurrent(hosts)() })
	for n := range point.Hosts {
		if stop, err = c.startHost(n, point); err != nil {
			return nil, nil, err
		}
		hosts = append(hosts, stop)
	}
	c.timer.Sleep(nil, discoveryTime)
	for n := range point.Workers {
		if stop, err = c.startWorker(n, point); err != nil {
			return nil, nil, err
		}
		workers = append(workers, stop)
	}
	return c, cleanup.Run, nil
}

// dataCentreOf returns the data centre of host or worker n; consecutive numbers take turns through the data centres.
func dataCentreOf(n int, point LoadPoint) cwmodel.DataCentre {
	return cwmodel.DataCentre(fmt.Sprintf("centre-%d", n%point.DataCentres+1))
}

// startWorker starts stand-in worker n in this process and adds it to the platform's host list.
func (c *cluster) startWorker(n int, point LoadPoint) (stop func(), err error) {
	worker := cwmodel.Worker{
		ID: cwmodel.HostID(fmt.Sprintf("worker-%04d", n)), DataCentre: dataCentreOf(n, point), Rack: fmt.Sprintf("rack-%03d", n/8),
		Capacity: cwmodel.Resources{MilliProcessors: 64_000, MemoryBytes: 256 << 30, Accelerators: 2, Slots: 64, Connections: 64},
	}
	_, addr, stop, err := cwrunner.New(cwrunner.Options{Listen: anyPort, Worker: worker, Timer: c.timer, Log: cwlog.Discard()})
	if err != nil {
		return nil, err
	}
	c.store.Register(cwmodel.Host{
		ID: worker.ID, Role: cwmodel.RoleWorker, State: cwmodel.HostLive, Address: addr, DataCentre: worker.DataCentre, Rack: worker.Rack,
	})
	return stop, nil
}

// startHost runs this executable as entry host n, reads the bound addresses from its log and adds it to the host list of
// c.store, the stand-in platform.
func (c *cluster) startHost(n int, point LoadPoint) (stop func(), err error) {
	id := cwmodel.HostID(fmt.Sprintf("entry-%02d", n))
	settings := cwsettings.Defaults()
	settings.HostID, settings.DataCentre, settings.Platform = string(id), string(dataCentreOf(n, point)), c.platformAddr.String()
	settings.ListenCallers, settings.ListenOperators, settings.ListenPeers = anyPort.String(), anyPort.String(), anyPort.String()
	document, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(c.folder, string(id)+".json")
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
	host, err := readAddresses(log)
	if err != nil {
		stop()
		return nil, err
	}
	c.hosts = append(c.hosts, host)
	c.store.Register(cwmodel.Host{ID: id, Role: cwmodel.RoleEntryHost, State: cwmodel.HostLive, Address: host.peersAddr, DataCentre: dataCentreOf(n, point)})
	return stop, nil
}

// readAddresses waits for the log line with the bound addresses, then discards the rest of the log so that the pipe never fills.
func readAddresses(log io.Reader) (h entryHost, err error) {
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
				h.callersAddr = addr
			case key == "operators":
				h.operatorsAddr = addr
			case key == "peers":
				h.peersAddr = addr
			}
		}
		go func() { _, _ = io.Copy(io.Discard, log) }()
		return h, nil
	}
	return h, fmt.Errorf("entry host exited before it logged its addresses: %w", io.ErrUnexpectedEOF)
}
