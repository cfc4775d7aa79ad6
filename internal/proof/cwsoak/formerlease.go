package cwsoak

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
	"currantward/internal/proof/cwprocess"
	"currantward/platform/cwstandin"
)

// FormerLeaseRun is a run in which a restarted runner grants a lease to a former owner, before the next owner reaches it and starts tasks there.
type FormerLeaseRun struct {
	FormerClock time.Duration // of the runner, at the start of its first process
	NextClock   time.Duration // the same of its second process
}

// Names and bounds of a FormerLeaseRun.
const (
	restartedRunner      = "r1-0"
	otherRunner          = "r2-0"
	formerLeaseTasks     = 4
	formerLeaseTaskTime  = 15 * time.Second
	formerLeaseStepLimit = 30 * time.Second // for each step, more than the longest wait for calls that are carried out late
)

// formerLeaseTest is the state of a FormerLeaseRun.
type formerLeaseTest struct {
	*Cluster
	ctx              context.Context
	restarted, other *rack
	node             *node
}

// RunFormerLease kills the only entry host, restarts a runner and lets it take calls of that host with deadlines for the clock of the process that has
// ended. It then starts the host again, cuts the runner off once it has tasks, and returns a text for each task that is started elsewhere before
// the runner has ended it, or not at all. It saves the logs of all processes in a folder if there is such a text.
func RunFormerLease(run FormerLeaseRun, programs cwprocess.Programs, timer *cwtimer.Service, folder, logs string) (violations []string, err error) {
	defer func() { err = eris.Wrap(err, "run a lease of a former owner") }()
	const limit = 2 * time.Minute
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	c, stop, err := StartCluster(ctx, Options{
		Programs: programs, Folder: folder, Timer: timer, Nodes: 1, Racks: 2, Runners: 1, Clocks: []time.Duration{run.FormerClock, run.NextClock},
	})
	if err != nil {
		return nil, err
	}
	defer stop()
	f := &formerLeaseTest{Cluster: c, ctx: ctx, restarted: c.racks[0], other: c.racks[1], node: c.nodes[0]}
	if err = f.restartBetweenOwners(run.FormerClock + maxCallDeadline); err == nil {
		err = f.startTasksAndCut()
	}
	if err == nil {
		violations = f.violations()
	}
	if err != nil || len(violations) > 0 {
		_ = c.SaveLogs(logs)
	}
	return violations, err
}

// maxCallDeadline is more than the time from the start of the runners to the deadlines of the former owner's calls.
const maxCallDeadline = time.Minute

// restartBetweenOwners kills the owner, restarts the runner under its identifier and starts the next owner. Until the runner has heard of that one, it
// takes calls of the former owner with the given deadline. The other runner drains meanwhile, so that it takes no tasks.
func (f *formerLeaseTest) restartBetweenOwners(deadline time.Duration) error {
	if err := f.setRunnerFaults(f.other, cwstandin.RunnerFaults{Draining: true}); err != nil {
		return err
	}
	if err := f.awaitLines(f.node.Process, "worker-draining", otherRunner, 1); err != nil {
		return err
	}
	if err := f.awaitLines(f.node.Process, "worker-contacted", restartedRunner, 1); err != nil {
		return err
	}
	f.node.Kill()
	if err := f.setRunnerFaults(f.restarted, cwstandin.RunnerFaults{Restarts: 1}); err != nil {
		return err
	}
	if err := f.awaitLines(f.restarted.Process, cwstandin.EventRunnerStarted, restartedRunner, 2); err != nil {
		return err
	}
	if status, err := f.holdAsFormerOwner(deadline); err != nil || status != fasthttp.StatusOK {
		return cwfault.New(cwfault.Unavailable, "the runner answered the former owner with status %d, error %v", status, err)
	}
	refused := make(chan struct{})
	go func() {
		defer close(refused)
		for status := fasthttp.StatusOK; status == fasthttp.StatusOK && f.ctx.Err() == nil; {
			status, _ = f.holdAsFormerOwner(deadline)
			f.opts.Timer.Sleep(f.ctx.Done(), 10*time.Millisecond)
		}
	}()
	if err := f.startNode(f.ctx, f.node); err != nil {
		return err
	}
	<-refused
	return f.awaitLines(f.node.Process, "worker-contacted", restartedRunner, 1)
}

// holdAsFormerOwner sends the restarted runner a lease renewal of the former owner and returns the status of the response.
func (f *formerLeaseTest) holdAsFormerOwner(deadline time.Duration) (status int, err error) {
	addr := f.restarted.EventLines("runner-started")[0].Get("address")
	target, err := netip.ParseAddrPort(addr)
	if err != nil {
		return 0, err
	}
	return cwstandin.RenewLeases(f.client, target, restartedRunner, 1, deadline, time.Second)
}

// startTasksAndCut submits a job whose tasks start on the restarted runner, cuts that runner off, and waits until the tasks have been started on the
// other one.
func (f *formerLeaseTest) startTasksAndCut() error {
	payload, err := json.Marshal(cwstandin.TaskSpec{Duration: formerLeaseTaskTime})
	if err != nil {
		return err
	}
	job := &cwwork.Submission{ID: "5c0e7a21d94b36f8", Payload: string(payload), Steps: []cwwork.Step{{
		Count: formerLeaseTasks, Demand: cwmodel.Resources{MilliProcessors: 250, MemoryBytes: 64 << 20}, Estimate: formerLeaseTaskTime,
	}}}
	caller := &cwstandin.Client{HTTP: f.client, Host: queueHostname, Prefix: prefixPlain, Timeout: callTimeout}
	for response := caller.Submit(f.node.settings.CallerListen, job); !response.Succeeded(); response = caller.Submit(f.node.settings.CallerListen, job) {
		if !f.opts.Timer.Sleep(f.ctx.Done(), 20*time.Millisecond) {
			return cwfault.New(cwfault.Unavailable, "the job was not accepted: status %d", response.Status)
		}
	}
	if err = f.awaitLines(f.restarted.Process, cwstandin.EventRunStarted, restartedRunner, formerLeaseTasks); err != nil {
		return err
	}
	f.restarted.proxies[0].SetFaults(cwprocess.NetFaults{StallTo: true, StallFrom: true})
	if err = f.setRunnerFaults(f.other, cwstandin.RunnerFaults{}); err != nil {
		return err
	}
	return f.awaitLines(f.other.Process, cwstandin.EventRunStarted, otherRunner, formerLeaseTasks)
}

// awaitLines waits until a process has logged an event of a runner so many times.
func (f *formerLeaseTest) awaitLines(p *cwprocess.Process, event, runner string, count int) error {
	for deadline := f.opts.Timer.Now().Add(formerLeaseStepLimit); ; {
		seen := 0
		for _, line := range p.EventLines(event) {
			if line.Get("worker") == runner {
				seen++
			}
		}
		if seen >= count {
			return nil
		}
		if f.opts.Timer.Now().After(deadline) || !f.opts.Timer.Sleep(f.ctx.Done(), 5*time.Millisecond) {
			return cwfault.New(cwfault.Unavailable, "%s has logged %s of %s %d times in place of %d", p.Name, event, runner, seen, count)
		}
	}
}

// violations returns a text for each task that was started on the other runner before its run on the restarted one had ended.
func (f *formerLeaseTest) violations() []string {
	c := &checker{Report: &Report{}, capacities: map[runnerKey][]capacityRecord{}}
	first := map[cwwork.TaskKey]runRecord{}
	for _, run := range c.readRuns(f.restarted, f.restarted.Process) {
		first[run.task] = run
	}
	for _, run := range c.readRuns(f.other, f.other.Process) {
		if former := first[run.task]; former.isRunning || former.endedAt.After(run.startedAt) {
			c.AddViolation("%s was started on %s at %s (run %d) while it ran on %s (run %d)",
				run.task, run.runner, run.startedAt.Format(clockLayout), run.runNumber, former.runner, former.runNumber)
		}
	}
	return c.Violations
}
