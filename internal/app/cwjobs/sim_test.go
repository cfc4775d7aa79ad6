package cwjobs

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"currantward/internal/adapter/cwmemory"
	"currantward/internal/app/cwtablewriter"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwclaim"
	"currantward/internal/core/cwdecider"
	"currantward/internal/core/cwjob"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
	"currantward/internal/port/cwport"
)

// simConfiguration is the configuration of every simulation.
var simConfiguration = cwpolicy.Configuration{
	Version: 1, Teams: []cwpolicy.Team{{Name: "riders"}},
	Profiles: []cwpolicy.Profile{
		{Name: "bundles", Kind: cwmodel.KindBatch, Lease: 30 * time.Second, MaxAttempts: 3, Repeatable: true},
		{Name: "filings", Kind: cwmodel.KindBatch, Lease: 30 * time.Second, MaxAttempts: 3},
		{Name: "portal", Kind: cwmodel.KindService, Lease: 30 * time.Second, MaxAttempts: 3, Repeatable: true},
	},
}

// sim is a simulated data centre with hosts, workers, table and clock; the test chooses every step.
type sim struct {
	clock         *cwtimer.Manual
	table         *cwmemory.Table
	random        *rand.Rand
	tableDown     bool
	workers       []*simWorker
	hosts         []*simHost
	delayedOrders []cwdecider.Action // start orders that crashed hosts had not sent yet and may still send late
	started       map[cwmodel.TaskID]int
	jobEndReports map[cwmodel.JobID]int // number of reports of a job's end
}

// simWorker is a worker that can be removed for good.
type simWorker struct {
	*cwmemory.Worker
	id        cwmodel.HostID
	isRemoved bool
	isListed  bool
}

// simHost is one entry host: its Jobs duty with simulated ports, scheduler and table writer.
type simHost struct {
	sim         *sim
	id          cwmodel.HostID
	isAlive     bool
	jobs        *Jobs
	calls       []func()
	orders      []cwdecider.Action
	writes      []cwtablewriter.Write
	scheduled   map[cwmodel.TaskID]*simTask
	owned       map[cwmodel.HostID]cwmodel.Epoch
	delivered   map[cwmodel.Attempt]bool
	acks        []cwmodel.Attempt
	incarnation uint64
}

// simTask is a task in the scheduler of a host.
type simTask struct {
	task    cwmodel.Task
	reply   func(cwmodel.Response)
	attempt *cwmodel.Attempt
}

// newSim returns a simulation whose hosts have booted; no worker is claimed yet.
func newSim(seed uint64, hosts, workers int) *sim {
	s := &sim{
		clock: cwtimer.NewManual(time.Unix(100000, 0)), table: cwmemory.NewTable(), random: rand.New(rand.NewPCG(seed, seed)),
		started: map[cwmodel.TaskID]int{}, jobEndReports: map[cwmodel.JobID]int{},
	}
	for n := range workers {
		id := cwmodel.HostID(fmt.Sprintf("worker-%d", n))
		s.workers = append(s.workers, &simWorker{id: id, isListed: true})
		s.restart(s.workers[n])
	}
	for n := range hosts {
		s.hosts = append(s.hosts, &simHost{sim: s, id: cwmodel.HostID(fmt.Sprintf("entry-%d", n))})
		s.hosts[n].boot()
	}
	return s
}

// restart replaces the process of a worker: it runs no task and has no records.
func (s *sim) restart(w *simWorker) {
	w.Worker = cwmemory.NewWorker(cwmemory.WorkerOptions{
		Worker: cwmodel.Worker{ID: w.id, DataCentre: "cairo-1", Capacity: cwmodel.Resources{Slots: 100}}, Now: s.clock.Now, PlanExecution: s.planExecution,
	})
}

// planExecution counts the start of a task and draws its run time and end; a service runs until it is stopped.
func (s *sim) planExecution(t cwmodel.Task) cwmemory.ExecutionPlan {
	s.started[t.ID]++
	ends := []cwmodel.EndKind{cwmodel.EndDone, cwmodel.EndDone, cwmodel.EndDone, cwmodel.EndTransient, cwmodel.EndFailed}
	plan := cwmemory.ExecutionPlan{RunTime: time.Duration(1+s.random.IntN(20)) * time.Second, End: ends[s.random.IntN(len(ends))]}
	if t.Kind == cwmodel.KindService {
		plan.RunTime = 0
	}
	return plan
}

// worker returns the worker with an ID, which must exist.
func (s *sim) worker(id cwmodel.HostID) *simWorker {
	return s.workers[slices.IndexFunc(s.workers, func(w *simWorker) bool { return w.id == id })]
}

// boot starts a new process of a host, without any state of the former one.
func (h *simHost) boot() {
	h.incarnation++
	h.isAlive = true
	h.calls, h.orders, h.writes, h.acks = nil, nil, nil, nil
	h.scheduled, h.owned, h.delivered = map[cwmodel.TaskID]*simTask{}, map[cwmodel.HostID]cwmodel.Epoch{}, map[cwmodel.Attempt]bool{}
	opts := DefaultOptions()
	opts.Timer, opts.Log = h.sim.clock.Service, cwlog.Discard()
	opts.Table, opts.Objects, opts.Workers = h.tablePort(), cwmemory.NewObjectStore().Port(), h.workersPort()
	opts.Self, opts.DataCentre = cwjob.Coordinator{Host: h.id, Incarnation: h.incarnation}, "cairo-1"
	opts.RunOnPool = func(work func()) error { h.calls = append(h.calls, work); return nil }
	opts.Write = func(e cwtablewriter.Write) { h.writes = append(h.writes, e) }
	opts.Submit, opts.CancelTask, opts.ReportResult = h.submit, h.cancelTask, h.reportResult
	opts.PeerWithCapacity = h.peerWithCapacity
	opts.SendOrder = func(a cwdecider.Action) { h.orders = append(h.orders, a) }
	opts.Acknowledge = func(a cwmodel.Attempt) { h.acks = append(h.acks, a) }
	opts.OnJobEnded = func(job *cwjob.Job) { h.sim.jobEndReports[job.ID]++ }
	h.jobs = newJobs(opts)
}

// crash ends the process of a host; its start orders may still be sent late.
func (h *simHost) crash() {
	h.isAlive = false
	for _, order := range h.orders {
		if order.Kind == cwdecider.ActionStart {
			h.sim.delayedOrders = append(h.sim.delayedOrders, order)
		}
	}
}

// processInbox handles all events in the inbox of the duty.
func (h *simHost) processInbox() {
	for h.isAlive && h.jobs.inbox.Len() > 0 {
		for _, e := range h.jobs.inbox.DrainReady(nil) {
			h.jobs.handle(context.Background(), e)
		}
	}
}

// tablePort returns the port of the shared table, whose reads fail while the table is down.
func (h *simHost) tablePort() cwport.Table {
	port := h.sim.table.Port()
	check := func() error {
		if h.sim.tableDown {
			return cwfault.New(cwfault.Unavailable, "the table is down")
		}
		return nil
	}
	read, scan := port.Read, port.Scan
	port.Read = func(ctx context.Context, key string) (cwport.Row, error) {
		if err := check(); err != nil {
			return cwport.Row{}, err
		}
		return read(ctx, key)
	}
	port.Scan = func(ctx context.Context, prefix, after string, limit int) ([]cwport.Row, error) {
		if err := check(); err != nil {
			return nil, err
		}
		return scan(ctx, prefix, after, limit)
	}
	return port
}

// addressOf returns an address that encodes the index of a worker.
func addressOf(id cwmodel.HostID) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, id[len(id)-1] - '0'}), 1)
}

// workersPort returns a port to the simulated workers with Inspect and Stop, the only methods that Jobs calls.
func (h *simHost) workersPort() cwport.Workers {
	find := func(addr netip.AddrPort) (*simWorker, error) {
		w := h.sim.workers[addr.Addr().As4()[3]]
		if w.isRemoved {
			return nil, cwfault.New(cwfault.Unavailable, "the worker is gone")
		}
		return w, nil
	}
	return cwport.Workers{
		Inspect: func(_ context.Context, addr netip.AddrPort) (cwport.Inventory, error) {
			w, err := find(addr)
			if err != nil {
				return cwport.Inventory{}, err
			}
			return w.Inspect(), nil
		},
		Stop: func(_ context.Context, addr netip.AddrPort, a cwmodel.Attempt, mode cwmodel.StopMode) (cwmodel.Result, error) {
			w, err := find(addr)
			if err != nil {
				return cwmodel.Result{}, err
			}
			return w.Stop(a, mode)
		},
	}
}

// peerWithCapacity returns the first other live host that owns a worker, whatever the demand.
func (h *simHost) peerWithCapacity(cwmodel.Resources) (cwmodel.HostID, bool) {
	for _, peer := range h.sim.hosts {
		if peer != h && peer.isAlive && len(peer.owned) > 0 {
			return peer.id, true
		}
	}
	return "", false
}

// submit simulates the scheduler: it enqueues a task, and never returns false.
func (h *simHost) submit(t cwmodel.Task, reply func(cwmodel.Response)) bool {
	h.scheduled[t.ID] = &simTask{task: t, reply: reply}
	return true
}

// cancelTask simulates the scheduler: it responds to a waiting task and stops a dispatched one.
func (h *simHost) cancelTask(_ context.Context, id cwmodel.TaskID) error {
	t, ok := h.scheduled[id]
	switch {
	case !ok:
	case t.attempt == nil:
		delete(h.scheduled, id)
		t.reply(cwmodel.Response{Task: id, Outcome: cwmodel.OutcomeCancelled})
	default:
		h.jobs.HandleAction(cwdecider.Action{Kind: cwdecider.ActionStop, Task: t.task, Attempt: *t.attempt})
	}
	return nil
}

// reportResult simulates the scheduler at the end of an attempt: one that never started is placed again, any other gets a response.
func (h *simHost) reportResult(_ context.Context, r cwmodel.Result) error {
	t, ok := h.scheduled[r.Attempt.Task]
	if !ok || t.attempt == nil || *t.attempt != r.Attempt {
		return nil
	}
	if r.End == cwmodel.EndNotStarted {
		t.attempt = nil
		return nil
	}
	delete(h.scheduled, r.Attempt.Task)
	t.reply(cwmodel.Response{Task: r.Attempt.Task, Outcome: cwmodel.OutcomeFailed})
	return nil
}

// placeTask simulates the scheduler: it dispatches a waiting task to an owned worker. Pick selects the task and the worker.
func (h *simHost) placeTask(pick int) {
	ids := sortedKeys(h.scheduled)
	owned := sortedKeys(h.owned)
	if len(ids) == 0 || len(owned) == 0 {
		return
	}
	t := h.scheduled[ids[pick%len(ids)]]
	if t.attempt != nil {
		return
	}
	worker := owned[pick%len(owned)]
	t.attempt = &cwmodel.Attempt{Task: t.task.ID, Number: t.task.NextAttempt, Worker: worker, Epoch: h.owned[worker]}
	t.task.NextAttempt++
	h.jobs.HandleAction(cwdecider.Action{Kind: cwdecider.ActionStart, Task: t.task, Attempt: *t.attempt})
}

// sortedKeys returns the keys of a map in order, so that a run depends only on its seed.
func sortedKeys[K ~string, V any](m map[K]V) (keys []K) {
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// claim claims a worker if its former claim has expired.
func (h *simHost) claim(w *simWorker) {
	if w.isRemoved {
		return
	}
	current := w.Inspect()
	inventory, err := w.Claim(cwport.Claim{Owner: h.id, Epoch: cwclaim.NextEpoch(current.Epoch, current.Clock), TTL: 2 * time.Second})
	if err != nil {
		return
	}
	h.dropWorker(w.id)
	h.owned[w.id] = inventory.Epoch
	inventory.Worker.Address = addressOf(w.id)
	_ = h.jobs.AddWorker(context.Background(), inventory)
}

// renewClaims renews the claims of a host and removes the workers whose claim was lost.
func (h *simHost) renewClaims() {
	for _, id := range sortedKeys(h.owned) {
		w := h.sim.worker(id)
		if w.isRemoved {
			h.dropWorker(id)
			continue
		}
		if _, err := w.Heartbeat(cwport.Heartbeat{Epoch: h.owned[id], TTL: 2 * time.Second, NotAfter: w.Inspect().Clock}); err != nil {
			h.dropWorker(id)
		}
	}
}

// dropWorker removes a worker from the host's owned ones; its dispatched tasks get the outcome unknown, as from the scheduler.
func (h *simHost) dropWorker(worker cwmodel.HostID) {
	if _, ok := h.owned[worker]; !ok {
		return
	}
	delete(h.owned, worker)
	_ = h.jobs.RemoveWorker(context.Background(), worker)
	for _, id := range sortedKeys(h.scheduled) {
		if t := h.scheduled[id]; t.attempt != nil && t.attempt.Worker == worker {
			delete(h.scheduled, id)
			t.reply(cwmodel.Response{Task: id, Outcome: cwmodel.OutcomeUnknown, Reason: cwmodel.ReasonWorkerLost})
		}
	}
	h.delivered = map[cwmodel.Attempt]bool{}
}

// pollResults delivers new results and acknowledges committed ones.
func (h *simHost) pollResults() {
	for _, id := range sortedKeys(h.owned) {
		w := h.sim.worker(id)
		if w.isRemoved {
			continue
		}
		results, _, err := w.Completions(cwport.Poll{Epoch: h.owned[id], Acks: h.acks})
		if err != nil {
			h.dropWorker(id)
			continue
		}
		for _, r := range results {
			if !h.delivered[r.Attempt] {
				h.delivered[r.Attempt] = true
				_ = h.jobs.HandleResult(context.Background(), r)
			}
		}
	}
}

// updateHosts passes the listed workers and the given live hosts, which need not be right, to the duty.
func (h *simHost) updateHosts(live []cwmodel.HostID) {
	var workers []cwmodel.Host
	for _, w := range h.sim.workers {
		if w.isListed {
			workers = append(workers, cwmodel.Host{ID: w.id, Address: addressOf(w.id)})
		}
	}
	h.jobs.UpdateHosts(workers, append(live, h.id))
}

// sendOrder sends one order as the dispatcher does; lost is "order" if the order is lost, "answer" if its response is, else empty.
func (h *simHost) sendOrder(pick int, lost string) {
	if len(h.orders) == 0 {
		return
	}
	n := pick % len(h.orders)
	order := h.orders[n]
	h.orders = slices.Delete(h.orders, n, n+1)
	w := h.sim.worker(order.Attempt.Worker)
	_, isOwned := h.owned[w.id]
	if order.Kind == cwdecider.ActionStart {
		h.sendStart(order, w, isOwned, lost)
		return
	}
	if !isOwned || w.isRemoved || lost == "order" {
		return
	}
	result, err := w.Stop(order.Attempt, cwmodel.StopNow)
	switch {
	case lost == "answer":
	case err == nil:
		_ = h.jobs.HandleResult(context.Background(), result)
	case cwfault.CodeOf(err) == cwfault.NotFound:
		h.reportNotStarted(order.Attempt)
	}
}

// sendStart sends a start order. After a loss, a stop order is sent later to find out whether the attempt started.
func (h *simHost) sendStart(order cwdecider.Action, w *simWorker, isOwned bool, lost string) {
	if !isOwned || w.isRemoved {
		h.reportNotStarted(order.Attempt)
		return
	}
	if lost != "order" {
		err := h.sim.startAttempt(w, order)
		if err != nil && lost != "answer" {
			h.reportNotStarted(order.Attempt)
			return
		}
	}
	if lost != "" {
		h.orders = append(h.orders, cwdecider.Action{Kind: cwdecider.ActionStop, Attempt: order.Attempt, Mode: cwmodel.StopNow})
	}
}

// startAttempt sends a start order to a worker, which may start the attempt within one second.
func (s *sim) startAttempt(w *simWorker, order cwdecider.Action) error {
	_, err := w.Start(cwport.StartRequest{Task: order.Task, Attempt: order.Attempt, NotAfter: s.clock.Now().Add(time.Second)})
	return err
}

// reportNotStarted delivers the result of an attempt that never started.
func (h *simHost) reportNotStarted(a cwmodel.Attempt) {
	_ = h.jobs.HandleResult(context.Background(), cwmodel.Result{Attempt: a, End: cwmodel.EndNotStarted, EndedAt: h.sim.clock.Now()})
}

// completeWrite completes the oldest write as the table writer does; fault is "refused", "unknown" or empty. After "unknown", which only a
// write with a deadline can get, the write stays pending.
func (h *simHost) completeWrite(fault string) {
	if len(h.writes) == 0 {
		return
	}
	e := h.writes[0]
	if fault == "unknown" && !e.Deadline.IsZero() {
		e.Done(cwtablewriter.Unknown)
		return
	}
	h.writes = h.writes[1:]
	if fault == "refused" || h.sim.tableDown {
		e.Done(cwtablewriter.Refused)
		return
	}
	if h.sim.table.Commit(cwport.Txn{Preconditions: e.Checks, Puts: e.Puts, Deletes: e.Deletes}) != nil {
		e.Done(cwtablewriter.Conflict)
		return
	}
	e.Done(cwtablewriter.Committed)
}

// runCall makes one pending outbound call, selected by pick.
func (h *simHost) runCall(pick int) {
	if len(h.calls) == 0 {
		return
	}
	n := pick % len(h.calls)
	work := h.calls[n]
	h.calls = slices.Delete(h.calls, n, n+1)
	work()
}
