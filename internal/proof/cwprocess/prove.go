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

// Arguments are the options of a long run.
type Arguments struct {
	Minutes int    `arg:"--minutes" default:"5" help:"start no further round after this time"`
	Rounds  int    `arg:"--rounds" default:"1000" help:"rounds at most, each with a cluster of its own"`
	Seed    uint64 `arg:"--seed" help:"seed of the first round; drawn afresh if left out"`
	Callers int    `arg:"--callers" default:"24" help:"requests in flight at once"`
	Faults  int    `arg:"--faults" default:"4" help:"faults in each round"`
}

// roundLimit bounds one round; a round that takes longer has stopped making progress.
const roundLimit = 3 * time.Minute

// RunRounds runs rounds of random faults on separate processes, and fails at the first violation.
func RunRounds(a Arguments, out io.Writer) (err error) {
	defer func() { err = eris.Wrap(err, "prove processes") }()
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
	began := timer.Now()
	for n := 0; n < a.Rounds && timer.Now().Sub(began) < time.Duration(a.Minutes)*time.Minute; n++ {
		seed := a.Seed + uint64(n)
		report, faults, err := round(a, Options{
			Programs: programs, Folder: folder, Timer: timer, DataCentres: 3, EntryHosts: 2, Workers: 4,
			Capacity:      cwcodec.Resources{Processors: 4, MemoryMiB: 4096, Slots: 4, Connections: 8},
			Configuration: TestConfiguration().ToModel(), ClaimTTL: time.Second,
		}, seed)
		if err != nil {
			return eris.Wrapf(err, "seed %d after %v", seed, faults)
		}
		fmt.Fprintf(out, "seed=%d faults=%v requests=%d outcomes=%v no-answer=%d attempts=%d violations=%d\n",
			seed, faults, report.Exchanges, report.Outcomes, report.NoResponse, report.Attempts, len(report.Violations))
		if err = report.Err(); err != nil {
			return eris.Wrapf(err, "seed %d", seed)
		}
	}
	return nil
}

// round runs one cluster under load through random faults and checks it.
func round(a Arguments, opts Options, seed uint64) (report *Report, faults []string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), roundLimit)
	defer cancel()
	cluster, stop, err := StartCluster(ctx, opts)
	if err != nil {
		return nil, nil, err
	}
	defer stop()
	load := StartLoad(cluster, a.Callers, seed)
	f := &faulter{cluster: cluster, rand: rand.New(rand.NewPCG(seed, 1)), shutdowns: map[cwmodel.HostID]time.Time{}}
	const answersBetween = 100
	for n := 0; n < a.Faults && err == nil; n++ {
		var name string
		name, err = f.inject(ctx)
		faults = append(faults, name)
		if err == nil {
			err = load.AwaitDone(ctx, answersBetween)
		}
	}
	exchanges := load.Stop()
	if err != nil {
		return nil, faults, err
	}
	return Check(cluster, exchanges, f.shutdowns), faults, nil
}

// faulter draws faults for one cluster.
type faulter struct {
	cluster   *Cluster
	rand      *rand.Rand
	ended     int // entry hosts that were killed or drained
	shutdowns map[cwmodel.HostID]time.Time
}

// inject carries out one random fault and returns its name.
func (f *faulter) inject(ctx context.Context) (name string, err error) {
	kinds := []struct {
		name string
		run  func(ctx context.Context) error
	}{
		{"kill-host", f.killHost}, {"drain-host", f.drainHost}, {"pause-host", f.pauseHost}, {"pause-rack", f.pauseRack},
		{"kill-rack", f.killRack}, {"platform-fault", f.platformFault}, {"cut-platform", f.cutPlatform},
	}
	kind := kinds[f.rand.IntN(len(kinds))]
	return kind.name, kind.run(ctx)
}

// expendable returns a running entry host, or nil if half of them have ended.
func (f *faulter) expendable() *EntryHost {
	host := f.cluster.Hosts[f.rand.IntN(len(f.cluster.Hosts))]
	if host.IsEnded() || f.ended >= len(f.cluster.Hosts)/2 {
		return nil
	}
	f.ended++
	return host
}

func (f *faulter) killHost(context.Context) error {
	if host := f.expendable(); host != nil {
		f.cluster.Kill(host.Process)
	}
	return nil
}

func (f *faulter) drainHost(ctx context.Context) error {
	host := f.expendable()
	if host == nil {
		return nil
	}
	f.shutdowns[host.ID] = f.cluster.opts.Timer.Now()
	return f.cluster.Drain(ctx, host)
}

func (f *faulter) pauseHost(ctx context.Context) error {
	return f.pause(ctx, f.cluster.Hosts[f.rand.IntN(len(f.cluster.Hosts))].Process)
}

func (f *faulter) pauseRack(ctx context.Context) error {
	return f.pause(ctx, f.cluster.Racks[f.rand.IntN(len(f.cluster.Racks))].Process)
}

// pause stops a process for a time that may pass its leases and claims.
func (f *faulter) pause(ctx context.Context, p *Process) error {
	if p.IsEnded() {
		return nil
	}
	if err := p.Pause(); err != nil {
		return err
	}
	f.cluster.opts.Timer.Sleep(ctx.Done(), time.Duration(f.rand.IntN(6000))*time.Millisecond)
	return p.Resume()
}

// killRack ends the workers of the first data centre; the others go on.
func (f *faulter) killRack(context.Context) error {
	if rack := f.cluster.Racks[0]; !rack.IsEnded() {
		f.cluster.Kill(rack.Process)
	}
	return nil
}

func (f *faulter) platformFault(ctx context.Context) error {
	faults := []cwstore.Faults{
		{Down: true}, {Delay: cwcodec.Duration(time.Second)}, {LostResponses: 3}, {HostLag: cwcodec.Duration(5 * time.Second)}, {},
	}
	return f.cluster.SetFaults(ctx, faults[f.rand.IntN(len(faults))])
}

func (f *faulter) cutPlatform(context.Context) error {
	cut := f.rand.IntN(2) == 0
	for _, host := range f.cluster.Hosts {
		host.PlatformProxy.SetDisconnected(cut)
	}
	return nil
}
