package cwprocess

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwmodel"
	"currantward/internal/standin/cwstore"
)

// Arguments are the command-line options of a run.
type Arguments struct {
	Minutes int    `arg:"--minutes" default:"5" help:"start no further round after this time"`
	Rounds  int    `arg:"--rounds" default:"1000" help:"rounds at most, each with a cluster of its own"`
	Seed    uint64 `arg:"--seed" help:"seed of the first round; drawn afresh if left out"`
	Callers int    `arg:"--callers" default:"24" help:"requests in flight at once"`
	Faults  int    `arg:"--faults" default:"4" help:"faults in each round"`
}

// roundTimeout bounds one round. A round that takes longer is stuck.
const roundTimeout = 3 * time.Minute

// RunRounds runs rounds of random faults on separate processes and fails at the first violation.
func RunRounds(a Arguments, out io.Writer) (err error) {
	defer func() { err = eris.Wrap(err, "run rounds of random faults on processes") }()
	timer, stop := cwtimer.New()
	defer stop()
	folder, err := os.MkdirTemp("", "currantward-proof")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	programs, err := Build(folder)
	if err != nil {
		return err
	}
	if a.Seed == 0 {
		a.Seed = uint64(rand.Uint32())
	}
	startedAt := timer.Now()
	for n := 0; n < a.Rounds && timer.Now().Sub(startedAt) < time.Duration(a.Minutes)*time.Minute; n++ {
		seed := a.Seed + uint64(n)
		report, faults, err := runRound(a, Options{
			Programs: programs, Folder: folder, Timer: timer, DataCentreCount: 3, EntryHostsPerDataCentre: 2, WorkersPerDataCentre: 4,
			Capacity:      cwcodec.Resources{Processors: 4, MemoryMiB: 4096, Slots: 4, Connections: 8},
			Configuration: TestConfiguration().ToModel(), ClaimTTL: time.Second,
		}, seed)
		if err != nil {
			return eris.Wrapf(err, "seed %d after faults %v", seed, faults)
		}
		fmt.Fprintf(out, "seed=%d faults=%v requests=%d outcomes=%v no-answer=%d attempts=%d violations=%d\n",
			seed, faults, report.Exchanges, report.Outcomes, report.NoResponse, report.Attempts, len(report.Violations))
		if err = report.Err(); err != nil {
			return eris.Wrapf(err, "seed %d", seed)
		}
	}
	return nil
}

// runRound starts a cluster under load, injects random faults and checks the result. It returns the names of the injected faults also
// with an error.
func runRound(a Arguments, opts Options, seed uint64) (report *Report, faults []string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), roundTimeout)
	defer cancel()
	cluster, stop, err := StartCluster(ctx, opts)
	if err != nil {
		return nil, nil, err
	}
	defer stop()
	load := StartLoad(cluster, a.Callers, seed)
	i := &injector{cluster: cluster, rand: rand.New(rand.NewPCG(seed, 1)), drainStartedAt: map[cwmodel.HostID]time.Time{}}
	const requestsBetweenFaults = 100
	for n := 0; n < a.Faults && err == nil; n++ {
		var name string
		name, err = i.inject(ctx)
		faults = append(faults, name)
		if err == nil {
			err = load.AwaitDone(ctx, requestsBetweenFaults)
		}
	}
	exchanges := load.Stop()
	if err != nil {
		return nil, faults, err
	}
	return Check(cluster, exchanges, i.drainStartedAt), faults, nil
}

// injector injects random faults into one cluster.
type injector struct {
	cluster        *Cluster
	rand           *rand.Rand
	endedHosts     int                          // number of entry hosts that were killed or drained
	drainStartedAt map[cwmodel.HostID]time.Time // of the hosts that were drained
}

// inject injects one random fault and returns its name.
func (i *injector) inject(ctx context.Context) (name string, err error) {
	kinds := []struct {
		name string
		run  func(ctx context.Context) error
	}{
		{"kill-host", i.killHost}, {"drain-host", i.drainHost}, {"pause-host", i.pauseHost}, {"pause-rack", i.pauseRack},
		{"kill-rack", i.killRack}, {"platform-fault", i.setPlatformFault}, {"cut-platform", i.setPlatformPartition},
	}
	kind := kinds[i.rand.IntN(len(kinds))]
	return kind.name, kind.run(ctx)
}

// chooseHostToEnd returns a random entry host that the caller must kill or drain. It returns nil if the chosen host has ended
// already, or if half of all hosts have been killed or drained.
func (i *injector) chooseHostToEnd() *EntryHost {
	host := i.cluster.Hosts[i.rand.IntN(len(i.cluster.Hosts))]
	if host.IsEnded() || i.endedHosts >= len(i.cluster.Hosts)/2 {
		return nil
	}
	i.endedHosts++
	return host
}

// killHost kills a random entry host, if one may end.
func (i *injector) killHost(context.Context) error {
	if host := i.chooseHostToEnd(); host != nil {
		i.cluster.Kill(host.Process)
	}
	return nil
}

// drainHost drains a random entry host, if one may end, and waits until its process has ended.
func (i *injector) drainHost(ctx context.Context) error {
	host := i.chooseHostToEnd()
	if host == nil {
		return nil
	}
	i.drainStartedAt[host.ID] = i.cluster.opts.Timer.Now()
	return i.cluster.Drain(ctx, host)
}

// pauseHost pauses a random entry host for a random time.
func (i *injector) pauseHost(ctx context.Context) error {
	return i.pauseProcess(ctx, i.cluster.Hosts[i.rand.IntN(len(i.cluster.Hosts))].Process)
}

// pauseRack pauses all workers of a random data centre for a random time.
func (i *injector) pauseRack(ctx context.Context) error {
	return i.pauseProcess(ctx, i.cluster.Racks[i.rand.IntN(len(i.cluster.Racks))].Process)
}

// pauseProcess pauses a process for up to 6 s, often until its leases and claims have expired.
func (i *injector) pauseProcess(ctx context.Context, p *Process) error {
	if p.IsEnded() {
		return nil
	}
	if err := p.Pause(); err != nil {
		return err
	}
	i.cluster.opts.Timer.Sleep(ctx.Done(), time.Duration(i.rand.IntN(6000))*time.Millisecond)
	return p.Resume()
}

// killRack kills all workers of the first data centre. Those of the others keep running.
func (i *injector) killRack(context.Context) error {
	if rack := i.cluster.Racks[0]; !rack.IsEnded() {
		i.cluster.Kill(rack.Process)
	}
	return nil
}

// setPlatformFault replaces the fault of the platform by a random one, or by none. It remains until the next platform fault.
func (i *injector) setPlatformFault(ctx context.Context) error {
	faults := []cwstore.Faults{
		{Down: true}, {Delay: cwcodec.Duration(time.Second)}, {LostResponses: 3}, {HostLag: cwcodec.Duration(5 * time.Second)}, {},
	}
	return i.cluster.SetFaults(ctx, faults[i.rand.IntN(len(faults))])
}

// setPlatformPartition disconnects all hosts from the platform, or reconnects them, each with probability 1/2. They stay so until
// the next fault of this kind.
func (i *injector) setPlatformPartition(context.Context) error {
	disconnected := i.rand.IntN(2) == 0
	for _, host := range i.cluster.Hosts {
		host.PlatformProxy.SetDisconnected(disconnected)
	}
	return nil
}
