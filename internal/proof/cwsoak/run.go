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

	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwtimer"
	"currantward/internal/proof/cwprocess"
	"currantward/platform/cwstandin"
)

// Arguments are the command-line options of a soak.
type Arguments struct {
	Seed          uint64        `arg:"--seed" help:"seed of the first run; drawn afresh if left out"`
	Seeds         int           `arg:"--seeds" default:"50" help:"runs, each with a fleet of its own"`
	Limit         time.Duration `arg:"--limit" default:"30m" help:"start no further run after this time"`
	FaultDuration time.Duration `arg:"--faulty" default:"15s" help:"time for which faults come in each run"`
	Nodes         int           `arg:"--nodes" default:"5" help:"entry hosts"`
	Racks         int           `arg:"--racks" default:"4" help:"processes of runners"`
	Runners       int           `arg:"--runners" default:"3" help:"runners in each rack"`
	Callers       int           `arg:"--callers" default:"10" help:"callers at once"`
	Faults        FaultSet      `arg:"--faults" default:"all" help:"all, takeovers (only restarts of runners around takeovers) or others"`
	Logs          string        `arg:"--logs" default:"soak-logs" help:"folder for the logs of runs with violations"`
}

// FaultSet is a set of faults.
type FaultSet string

// Sets of faults.
const (
	AllFaults      FaultSet = "all"
	TakeoverFaults FaultSet = "takeovers" // only restarts of runners around takeovers
	OtherFaults    FaultSet = "others"    // all but these
)

// UnmarshalText sets the set to the one with a name, and fails if there is none.
func (f *FaultSet) UnmarshalText(name []byte) error {
	switch *f = FaultSet(name); *f {
	case AllFaults, TakeoverFaults, OtherFaults:
		return nil
	}
	return cwfault.New(cwfault.Invalid, "%q is no set of faults", name)
}

// Bounds of one run.
const (
	startTimeout  = 30 * time.Second
	faultTimeout  = 3 * time.Minute  // for the faults of a run to end
	settleTimeout = 60 * time.Second // after the faults, for every accepted job to end and every node to use the newest configuration
	stopTimeout   = 5 * time.Second  // for runs of ended jobs to stop
)

// Changes of the configuration after the faults of a run, each of which must be in force in time.
const (
	largeConfigurationQueues = 5000 // 1.3 MB, 1 s on a narrow link
	calmChanges              = 4
	calmChangePause          = 600 * time.Millisecond
)

// RunSeeds runs one seed after the other and fails at the first one with a violation.
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
	startedAt := timer.Now()
	for n := 0; n < a.Seeds && timer.Now().Sub(startedAt) < a.Limit; n++ {
		seed := a.Seed + uint64(n)
		report, faults, err := Run(a, programs, timer, seed)
		if err != nil {
			return eris.Wrapf(err, "seed %d after faults %v", seed, faults)
		}
		fmt.Fprintf(out, "seed=%d jobs=%d accepted=%d runs=%d violations=%d faults=%v\n",
			seed, report.Jobs, report.Accepted, report.Runs, len(report.Violations), faults)
		if err = report.Err(); err != nil {
			return eris.Wrapf(err, "seed %d", seed)
		}
	}
	return nil
}

// Run runs one seed. It saves the logs of all processes if the run fails or finds a violation.
func Run(a Arguments, programs cwprocess.Programs, timer *cwtimer.Service, seed uint64) (report *Report, faults []string, err error) {
	folder, err := os.MkdirTemp("", "currantward-soak-run")
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	cluster, stop, err := StartCluster(ctx, Options{Programs: programs, Folder: folder, Timer: timer, Nodes: a.Nodes, NarrowNodes: a.Nodes / 2, Racks: a.Racks, Runners: a.Runners})
	if err != nil {
		return nil, nil, err
	}
	defer stop()
	defer func() {
		if err != nil || len(report.Violations) > 0 {
			err = errors.Join(err, cluster.SaveLogs(filepath.Join(a.Logs, fmt.Sprint(seed))))
		}
	}()
	load, stopLoad := startLoad(cluster, a.Callers, seed)
	i := &injector{cluster: cluster, load: load, rand: rand.New(rand.NewPCG(seed, 1)), takeoverRand: rand.New(rand.NewPCG(seed, 3))}
	faultCtx, cancelFaults := context.WithTimeout(context.Background(), faultTimeout)
	defer cancelFaults()
	err = i.run(faultCtx, a.FaultDuration, a.Faults)
	stopLoad()
	if err != nil {
		return &Report{}, i.injected, err
	}
	outdated := load.awaitSettled()
	report = checkGuarantees(cluster, load)
	report.Violations = append(report.Violations, append(load.callerViolations, outdated...)...)
	cluster.bulkQueues.Store(largeConfigurationQueues)
	late, err := cluster.changeConfiguration(calmChanges, calmChangePause)
	report.Violations = append(report.Violations, late...)
	return report, i.injected, err
}

// awaitSettled waits until every accepted job has ended, every node uses the newest configuration and the runs of ended jobs have
// stopped. It first cancels jobs that run forever, and repeats earlier cancellations, which may not have been acknowledged. It returns
// a text for each node that still uses an older configuration when settleTimeout has elapsed.
func (l *load) awaitSettled() (outdated []string) {
	timer := l.cluster.opts.Timer
	r := rand.New(rand.NewPCG(l.seed, 2)) // chooses the nodes to call
	client, stop := newClient(1)
	defer stop()
	l.http = client
	deadline := timer.Now().Add(settleTimeout)
	for _, j := range l.allJobs() {
		if j.spec.RunForever || !j.cancelledAt.IsZero() {
			l.cancel(j, r)
		}
	}
	for _, j := range sortJobs(l.allJobs()) {
		l.awaitEnd(j, deadline, r)
	}
	for _, n := range l.cluster.currentNodes() {
		// Only the newest version has this queue. A lookup in it that names no job succeeds once the node uses that version.
		versionClient := &cwstandin.Client{HTTP: l.http, Host: queueHostname, Prefix: versionPrefix(l.cluster.newestVersion.Load()), Timeout: callTimeout}
		status := 0
		for isFirst := true; isFirst || timer.Now().Before(deadline); isFirst = false {
			if status = versionClient.Lookup(n.settings.CallerListen, "").Status; status == fasthttp.StatusOK {
				break
			}
			timer.Sleep(nil, 50*time.Millisecond)
		}
		if status != fasthttp.StatusOK {
			outdated = append(outdated, fmt.Sprintf("%s does not use configuration %d, lookup in its queue returned status %d", n.name, l.cluster.newestVersion.Load(), status))
		}
	}
	timer.Sleep(nil, stopTimeout) // cancelled runs may take this long to stop
	return outdated
}

// awaitEnd looks an accepted job up until it has ended or the deadline has passed, but at least once, so that a job that does not end does not hide
// the states of the others.
func (l *load) awaitEnd(j *job, deadline time.Time, r *rand.Rand) {
	timer := l.cluster.opts.Timer
	for isFirst := true; !j.acceptedAt.IsZero() && !j.state.IsFinal() && (isFirst || timer.Now().Before(deadline)); isFirst = false {
		if response := l.lookup(j, l.anyNode(r)); !response.Succeeded() || !response.State.IsFinal() {
			timer.Sleep(nil, 50*time.Millisecond)
		}
	}
}
