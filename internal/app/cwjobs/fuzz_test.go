package cwjobs

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/app/cwjobstore"
	"currantward/internal/app/cwsubmission"
	"currantward/internal/app/cwtablewriter"
	"currantward/internal/core/cwjob"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
)

// The seed and the number of checks are fixed unless the command line names others.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "200")
	_ = flag.Set("rapid.steps", "120")
}

// fuzz applies random steps to a simulation and checks the invariants of its table and workers.
type fuzz struct {
	*sim
	accepted  map[cwmodel.JobID]bool // jobs whose submission was committed
	submitted int
	endedRows map[string]string // rows of ended jobs when first read
}

// TestJobsUnderRandomFaults covers at-most-once runs, no overlapping attempts, no lost job and correct outcomes, with crashes,
// lost orders and responses, table outages, stale views of the hosts and worker restarts.
func TestJobsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fuzz{
			sim:      newSim(rapid.Uint64().Draw(t, "seed"), 3, 3),
			accepted: map[cwmodel.JobID]bool{}, endedRows: map[string]string{},
		}
		f.clock.Advance(5 * time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"submit": f.submitJob, "cancel": f.cancelJob, "place": f.placeTask, "place-2": f.placeTask, "send": f.sendOrder, "send-2": f.sendOrder,
			"write": f.writeRow, "write-2": f.writeRow, "call": f.runCall, "call-2": f.runCall, "call-3": f.runCall,
			"poll": f.pollWorkers, "claim": f.claimWorker, "claim-2": f.claimWorker, "tick": f.tick, "tick-2": f.tick, "view": f.changeHosts,
			"fault": f.injectFault, "": func(t *rapid.T) { f.checkInvariants(t) },
		})
		f.checkRecovery(t)
	})
}

// dispatchFirstAttempt claims a worker and commits the first attempt of the only job, so that its start order can be sent.
func (h *simHost) dispatchFirstAttempt(w *simWorker) {
	h.claim(w)
	h.processInbox()
	h.completeWrite("") // the job is accepted
	h.processInbox()
	h.placeTask(0)
	h.processInbox()
	h.completeWrite("") // the attempt is committed
	h.processInbox()
}

// TestJobsEndAfterFaults replays fault sequences after which a job once did not end, as found by TestJobsUnderRandomFaults.
func TestJobsEndAfterFaults(t *testing.T) {
	cases := []struct {
		name    string
		profile cwmodel.ProfileName
		play    func(f *fuzz)
	}{
		{"a home without workers", "filings", func(f *fuzz) { f.hosts[1].claim(f.workers[0]) }},
		{"an adoption while the start order of the former home is lost", "filings", func(f *fuzz) {
			former, successor := f.hosts[0], f.hosts[1]
			former.dispatchFirstAttempt(f.workers[0])
			successor.updateHosts(nil)
			f.advanceClock(5 * time.Second)
			successor.runUntilIdle() // the job is adopted, as the former coordinator is not listed as live
			former.sendOrder(0, "order")
			former.sendOrder(0, "order") // the stop order is lost too
		}},
		{"a home that dies before the result is written", "filings", func(f *fuzz) {
			former := f.hosts[0]
			former.dispatchFirstAttempt(f.workers[0])
			former.sendOrder(0, "")
			for range 25 {
				f.advanceClock(time.Second)
			}
			former.pollResults() // delivers the result
			former.processInbox()
			former.pollResults() // acknowledges the result, so the worker drops it
			former.crash()
		}},
		{"a worker that has restarted and is claimed again", "filings", func(f *fuzz) {
			former := f.hosts[0]
			former.dispatchFirstAttempt(f.workers[0])
			former.sendOrder(0, "") // the attempt starts
			f.advanceClock(time.Second)
			f.restart(f.workers[0])
			former.crash()
			f.advanceClock(time.Second)
		}},
		{"a cancellation of what runs since the moment in which its worker restarted", "portal", func(f *fuzz) {
			former := f.hosts[0]
			f.restart(f.workers[0])
			former.dispatchFirstAttempt(f.workers[0])
			former.sendOrder(0, "")
			former.crash()
			f.advanceClock(3 * time.Second)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &fuzz{sim: newSim(1, 2, 1), accepted: map[cwmodel.JobID]bool{}, endedRows: map[string]string{}}
			f.clock.Advance(5 * time.Second)
			f.accept(t, f.hosts[0], c.profile, 1)
			c.play(f)
			f.checkRecovery(t)
		})
	}
}

// pickHost draws one host, alive or not.
func (f *fuzz) pickHost(t *rapid.T) *simHost {
	return f.hosts[rapid.IntRange(0, len(f.hosts)-1).Draw(t, "host")]
}

// submitJob submits a job of a drawn profile with one or two tasks to a drawn host, unless there are more than six accepted jobs.
func (f *fuzz) submitJob(t *rapid.T) {
	h := f.pickHost(t)
	profile := rapid.SampledFrom([]cwmodel.ProfileName{"bundles", "filings", "portal"}).Draw(t, "profile")
	tasks := rapid.IntRange(1, 2).Draw(t, "tasks")
	if !h.isAlive || len(f.accepted) > 6 {
		return
	}
	f.accept(t, h, profile, tasks)
}

// accept submits a job to one host and, once its row is committed, records it as accepted.
func (f *fuzz) accept(t rapid.TB, h *simHost, profile cwmodel.ProfileName, tasks int) {
	builder := cwsubmission.Builder{
		Self: h.jobs.opts.Self, DataCentre: h.jobs.opts.DataCentre, Configuration: func() *cwpolicy.Configuration { return &simConfiguration },
	}
	job, err := builder.Build(f.clock.Now(), cwsubmission.Submission{Request: cwmodel.Request{Profile: profile, Team: "riders"}, Tasks: tasks})
	if err != nil {
		t.Fatal(err)
	}
	f.submitted++
	id := cwmodel.JobID(fmt.Sprintf("riders.%03d", f.submitted))
	job.ID = id
	h.jobs.deliver(event{kind: eventAccept, job: job, reply: func(result cwtablewriter.WriteResult) {
		if result == cwtablewriter.Committed {
			f.accepted[id] = true
		}
	}})
	h.processInbox()
}

// cancelJob cancels a drawn accepted job at a drawn host in one of five steps.
func (f *fuzz) cancelJob(t *rapid.T) {
	h := f.pickHost(t)
	ids := sortedKeys(f.accepted)
	if !h.isAlive || len(ids) == 0 || rapid.IntRange(0, 4).Draw(t, "rarely") != 0 {
		return
	}
	id := ids[rapid.IntRange(0, len(ids)-1).Draw(t, "job")]
	h.jobs.deliver(event{kind: eventCancel, id: id, reply: func(cwtablewriter.WriteResult) {}})
	h.processInbox()
}

// onLiveHost draws a host and, if it is alive, makes one step there and handles the events that follow. The step takes pick, a drawn
// number, to select a task, call, order or worker.
func (f *fuzz) onLiveHost(t *rapid.T, do func(h *simHost, pick int)) {
	h, pick := f.pickHost(t), rapid.IntRange(0, 5).Draw(t, "pick")
	if h.isAlive {
		do(h, pick)
		h.processInbox()
	}
}

func (f *fuzz) placeTask(t *rapid.T) { f.onLiveHost(t, (*simHost).placeTask) }
func (f *fuzz) runCall(t *rapid.T)   { f.onLiveHost(t, (*simHost).runCall) }

// pollWorkers lets a drawn host read the results of its workers.
func (f *fuzz) pollWorkers(t *rapid.T) {
	f.onLiveHost(t, func(h *simHost, _ int) { h.pollResults() })
}

// sendOrder lets a drawn host send one order, which may be lost, as may its response.
func (f *fuzz) sendOrder(t *rapid.T) {
	lost := rapid.SampledFrom([]string{"", "", "", "", "order", "answer"}).Draw(t, "lost")
	f.onLiveHost(t, func(h *simHost, pick int) { h.sendOrder(pick, lost) })
}

// writeRow completes the oldest write of a drawn host, which may be refused or end with Unknown.
func (f *fuzz) writeRow(t *rapid.T) {
	fault := rapid.SampledFrom([]string{"", "", "", "", "refused", "unknown"}).Draw(t, "fault")
	f.onLiveHost(t, func(h *simHost, _ int) { h.completeWrite(fault) })
}

// claimWorker lets a drawn host try to claim a worker.
func (f *fuzz) claimWorker(t *rapid.T) {
	f.onLiveHost(t, func(h *simHost, pick int) { h.claim(f.workers[pick%len(f.workers)]) })
}

// tick advances the clock by up to 4 s.
func (f *fuzz) tick(t *rapid.T) {
	f.advanceClock(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
}

// advanceClock advances the clock, renews the claims of all hosts that are alive and ticks their duties.
func (f *fuzz) advanceClock(d time.Duration) {
	f.clock.Advance(d)
	for _, h := range f.hosts {
		if h.isAlive {
			h.renewClaims()
			h.jobs.deliver(event{kind: eventTick})
			h.processInbox()
		}
	}
}

// changeHosts passes a drawn set of live hosts, which may be wrong, to a drawn host.
func (f *fuzz) changeHosts(t *rapid.T) {
	mask := rapid.IntRange(0, 7).Draw(t, "seen")
	f.onLiveHost(t, func(h *simHost, _ int) {
		var live []cwmodel.HostID
		for n, peer := range f.hosts {
			if mask&(1<<n) != 0 {
				live = append(live, peer.id)
			}
		}
		h.updateHosts(live)
	})
}

// injectFault crashes or boots a host, changes the availability of the table, sends a delayed order, restarts a worker or removes one.
func (f *fuzz) injectFault(t *rapid.T) {
	fault := rapid.SampledFrom([]string{"kill", "kill", "boot", "boot", "boot", "table", "table", "ghost", "ghost", "worker", "restart"}).Draw(t, "fault")
	h := f.pickHost(t)
	switch {
	case fault == "kill" && h.isAlive:
		h.crash()
	case fault == "boot" && !h.isAlive:
		h.boot()
	case fault == "table":
		f.tableDown = !f.tableDown
	case fault == "ghost" && len(f.delayedOrders) > 0:
		f.sendDelayedOrder()
	case fault == "restart":
		f.restart(f.workers[rapid.IntRange(0, len(f.workers)-1).Draw(t, "restarted")])
	case fault == "worker" && rapid.IntRange(0, 5).Draw(t, "rarely") == 0:
		f.workers[2].isRemoved, f.workers[2].isListed = true, false
	}
}

// sendDelayedOrder sends a start order late, as a process that resumes after a pause does.
func (f *fuzz) sendDelayedOrder() {
	order := f.delayedOrders[0]
	f.delayedOrders = f.delayedOrders[1:]
	if w := f.worker(order.Attempt.Worker); !w.isRemoved {
		_ = f.startAttempt(w, order)
	}
}

// checkInvariants checks that no task runs twice at once, that each accepted job has exactly one row, and that each end is reported once.
func (f *fuzz) checkInvariants(t rapid.TB) {
	running := map[cwmodel.TaskID]int{}
	for _, w := range f.workers {
		if w.isRemoved {
			continue
		}
		for _, r := range w.Inspect().Running {
			running[r.Attempt.Task]++
		}
	}
	for _, id := range sortedKeys(running) {
		if running[id] > 1 {
			t.Fatalf("task %s runs on %d workers at once, want at most one", id, running[id])
		}
	}
	for _, row := range f.table.Scan(cwjobstore.PrefixEnded, "", 1000) {
		f.checkEndedRow(t, row.Key, string(row.Value))
	}
	for _, id := range sortedKeys(f.jobEndReports) {
		if reports := f.jobEndReports[id]; reports > 1 || f.table.Read(cwjobstore.KeyEnded(id)).Version == 0 {
			t.Fatalf("the end of job %s was reported %d times, want once, and its ended row has version %d", id, reports, f.table.Read(cwjobstore.KeyEnded(id)).Version)
		}
	}
	for _, id := range sortedKeys(f.accepted) {
		live, ended := f.table.Read(cwjobstore.KeyLive(id)).Version, f.table.Read(cwjobstore.KeyEnded(id)).Version
		if (live > 0) == (ended > 0) {
			t.Fatalf("job %s has a live row of version %d and an ended row of version %d, want exactly one row", id, live, ended)
		}
	}
}

// checkEndedRow checks that the row of an ended job never changes and that its outcomes match the starts that the workers counted.
func (f *fuzz) checkEndedRow(t rapid.TB, key, value string) {
	if first, ok := f.endedRows[key]; ok {
		if first != value {
			t.Fatalf("the row of ended job %s changed", key)
		}
		return
	}
	f.endedRows[key] = value
	job, err := cwcodec.DecodeJob([]byte(value))
	if err != nil {
		t.Fatal(err)
	}
	for n, task := range job.Tasks {
		starts := f.started[cwjob.TaskID(job.ID, n)]
		isConsistent := starts > 0 || (task.Outcome != cwmodel.OutcomeDone && task.Outcome != cwmodel.OutcomeFailed)
		if !isConsistent || (task.Outcome == cwmodel.OutcomeNotRun && starts > 0) {
			t.Fatalf("task %d of %s started %d times, which contradicts its outcome %s (%s)", n, key, starts, task.Outcome, task.Reason)
		}
		if !job.Repeatable && starts > 1 {
			t.Fatalf("task %d of %s is not repeatable but started %d times", n, key, starts)
		}
	}
}

// checkRecovery ends all faults and checks that every accepted job ends.
func (f *fuzz) checkRecovery(t rapid.TB) {
	const rounds = 400
	f.tableDown = false
	for _, h := range f.hosts {
		if !h.isAlive {
			h.boot()
		}
	}
	for range rounds {
		f.runRound()
		f.checkInvariants(t)
		if f.cancelServices() {
			return
		}
	}
	for _, row := range f.table.Scan(cwjobstore.PrefixLive, "", 100) {
		t.Logf("%s", row.Value)
	}
	for _, h := range f.hosts {
		t.Logf("%s owns %v; queued tasks %d, pending calls %d, writes %d, orders %d, jobs %d, scan %+v", h.id, h.owned, len(h.scheduled), len(h.calls), len(h.writes), len(h.orders), len(h.jobs.entries), h.jobs.jobScan)
		for id, e := range h.jobs.entries {
			t.Logf("  job %s: call pending %v, stale %v, retry in %v, %d pending changes, row %+v", id, e.callPending, e.isStale, e.retryAt.Sub(f.clock.Now()), e.PendingChanges(), e.Job)
		}
	}
	t.Fatalf("%d jobs have not ended after all faults were ended", len(f.table.Scan(cwjobstore.PrefixLive, "", 100)))
}

// runRound lets every host handle all its events, calls, writes and orders.
func (f *fuzz) runRound() {
	f.advanceClock(700 * time.Millisecond)
	for len(f.delayedOrders) > 0 {
		f.sendDelayedOrder()
	}
	ids := []cwmodel.HostID{}
	for _, h := range f.hosts {
		ids = append(ids, h.id)
	}
	for _, h := range f.hosts {
		h.updateHosts(append([]cwmodel.HostID{}, ids...))
		for _, w := range f.workers {
			if epoch, ok := h.owned[w.id]; !ok || w.Inspect().Epoch != epoch {
				h.claim(w)
			}
		}
		for n := range 6 {
			h.processInbox()
			h.placeTask(n)
			h.runUntilIdle()
		}
		h.pollResults()
		h.processInbox()
	}
}

// runUntilIdle handles all events, calls, writes and orders of a host without faults.
func (h *simHost) runUntilIdle() {
	for range 200 {
		h.processInbox()
		if len(h.calls)+len(h.writes)+len(h.orders) == 0 {
			return
		}
		h.runCall(0)
		h.completeWrite("")
		h.sendOrder(0, "")
	}
}

// cancelServices cancels services, which never end by themselves, and reports whether no live job is left.
func (f *fuzz) cancelServices() bool {
	rows := f.table.Scan(cwjobstore.PrefixLive, "", 100)
	for _, row := range rows {
		job, err := cwcodec.DecodeJob(row.Value)
		if err == nil && job.Kind == cwmodel.KindService && !job.Cancelled {
			id := cwmodel.JobID(strings.TrimPrefix(row.Key, cwjobstore.PrefixLive))
			f.hosts[0].jobs.deliver(event{kind: eventCancel, id: id, reply: func(cwtablewriter.WriteResult) {}})
			f.hosts[0].processInbox()
		}
	}
	return len(rows) == 0
}
