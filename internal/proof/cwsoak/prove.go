package cwsoak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"currantward/internal/base/cwtimer"
	"currantward/internal/proof/cwprocess"
	"currantward/platform/cwstandin"
)

// Arguments are the options of a soak.
type Arguments struct {
	Seed          uint64        `arg:"--seed" help:"seed of the first run; drawn afresh if left out"`
	Seeds         int           `arg:"--seeds" default:"50" help:"runs, each with a fleet of its own"`
	Limit         time.Duration `arg:"--limit" default:"30m" help:"start no further run after this time"`
	FaultDuration time.Duration `arg:"--faulty" default:"15s" help:"time for which faults come in each run"`
	Nodes         int           `arg:"--nodes" default:"5" help:"entry hosts"`
	Racks         int           `arg:"--racks" default:"4" help:"processes of runners"`
	Runners       int           `arg:"--runners" default:"3" help:"runners in each rack"`
	Callers       int           `arg:"--callers" default:"10" help:"callers at once"`
	Logs          string        `arg:"--logs" default:"soak-logs" help:"folder for the logs of runs with violations"`
}

// Bounds of one run.
const (
	startLimit  = 30 * time.Second
	faultLimit  = 3 * time.Minute  // for the faults of a run to be over
	settleLimit = 60 * time.Second // for every accepted job to end once all faults are over
	stopLimit   = 5 * time.Second  // for what runs of ended jobs to be stopped
)

// RunSeeds runs one seed after the other and fails at the first violation.
func RunSeeds(a Arguments, out io.Writer) (err error) {
	defer func() { err = eris.Wrap(err, "soak") }()
	timer, stop := cwtimer.New()
	defer stop()
	folder, err := os.MkdirTemp("", "currantward-soak")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	programs, err := cwprocess.Build(folder)
	if err != nil {
		return err
	}
	if a.Seed == 0 {
		a.Seed = uint64(rand.Uint32())
	}
	began := timer.Now()
	for n := 0; n < a.Seeds && timer.Now().Sub(began) < a.Limit; n++ {
		seed := a.Seed + uint64(n)
		report, faults, err := Run(a, programs, timer, seed)
		if err != nil {
			return eris.Wrapf(err, "seed %d after %v", seed, faults)
		}
		fmt.Fprintf(out, "seed=%d jobs=%d accepted=%d runs=%d violations=%d faults=%v\n",
			seed, report.Jobs, report.Accepted, report.Runs, len(report.Violations), faults)
		if err = report.Err(); err != nil {
			return eris.Wrapf(err, "seed %d", seed)
		}
	}
	return nil
}

// Run plays one seed. The logs of all processes stay behind if something is wrong.
func Run(a Arguments, programs cwprocess.Programs, timer *cwtimer.Service, seed uint64) (report *Report, faults []string, err error) {
	folder, err := os.MkdirTemp("", "currantward-soak-run")
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	fleet, stop, err := StartCluster(ctx, Options{Programs: programs, Folder: folder, Timer: timer, Nodes: a.Nodes, Racks: a.Racks, Runners: a.Runners})
	if err != nil {
		return nil, nil, err
	}
	defer stop()
	defer func() {
		if err != nil || len(report.Violations) > 0 {
			err = errors.Join(err, fleet.SaveLogs(filepath.Join(a.Logs, fmt.Sprint(seed))))
		}
	}()
	load, stopLoad := startLoad(fleet, a.Callers, seed)
	f := &faulter{fleet: fleet, load: load, rand: rand.New(rand.NewPCG(seed, 1))}
	faultCtx, cancelFaults := context.WithTimeout(context.Background(), faultLimit)
	defer cancelFaults()
	err = f.run(faultCtx, a.FaultDuration)
	stopLoad()
	if err != nil {
		return &Report{}, f.names, err
	}
	missing := load.settle()
	report = check(fleet, load)
	report.Violations = append(report.Violations, append(load.wrong, missing...)...)
	return report, f.names, nil
}

// settle cancels what runs until it is cancelled, waits until every accepted job has ended and every host has the newest
// configuration, and says what is missing after too long.
func (l *load) settle() (missing []string) {
	timer := l.fleet.opts.Timer
	r := rand.New(rand.NewPCG(l.seed, 2))
	client, stop := newClient(1)
	defer stop()
	l.http = client
	limit := timer.Now().Add(settleLimit)
	for _, j := range l.list() {
		if j.work.RunForever || !j.cancelled.IsZero() {
			l.cancel(j, r) // again, where the first was not acknowledged
		}
	}
	for _, j := range sortJobs(l.list()) {
		for !j.accepted.IsZero() && !j.shown.IsFinal() && timer.Now().Before(limit) {
			if a := l.look(j, l.anyHost(r)); !a.Succeeded() || !a.State.IsFinal() {
				timer.Sleep(nil, 50*time.Millisecond)
			}
		}
	}
	for _, n := range l.fleet.live() {
		probe := &cwstandin.Client{HTTP: l.http, Host: queueHost, Prefix: versionPrefix(l.fleet.version.Load()), Timeout: callTimeout}
		status := 0
		for timer.Now().Before(limit) {
			if status = probe.Lookup(n.settings.CallerListen, "").Status; status == fasthttp.StatusOK {
				break
			}
			timer.Sleep(nil, 50*time.Millisecond)
		}
		if status != fasthttp.StatusOK {
			missing = append(missing, fmt.Sprintf("%s does not have configuration %d: %d", n.name, l.fleet.version.Load(), status))
		}
	}
	timer.Sleep(nil, stopLimit)
	return missing
}
