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

// fuzz drives a simulation and compares it with what a simple oracle knows.
type fuzz struct {
	*sim
	accepted map[cwmodel.JobID]bool
	jobs     int
	ended    map[string]string // rows of ended jobs as first seen
}

// TestJobsUnderRandomFaults covers at most once, no overlapping attempts, no lost job and truthful outcomes.
func TestJobsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fuzz{
			sim:      newSim(rapid.Uint64().Draw(t, "seed"), 3, 3),
			accepted: map[cwmodel.JobID]bool{}, ended: map[string]string{},
		}
		f.clock.Advance(5 * time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"submit": f.submitJob, "cancel": f.cancelJob, "place": f.placeTask, "place-2": f.placeTask, "send": f.sendOrder, "send-2": f.sendOrder,
			"write": f.writeRow, "write-2": f.writeRow, "call": f.runCall, "call-2": f.runCall, "call-3": f.runCall,
			"poll": f.pollWorkers, "claim": f.claimWorker, "claim-2": f.claimWorker, "tick": f.tick, "tick-2": f.tick, "view": f.changeView,
			"fault": f.injectFault, "": func(t *rapid.T) { f.check(t) },
		})
		f.heal(t)
	})
}

// orderFirst claims a worker and commits the first attempt of the only job, whose start order is then ready to be sent.
func (h *simHost) orderFirst(w *simWorker) {
	h.claim(w)
	h.pump()
	h.write("") // the job is accepted
	h.pump()
	h.place(0)
	h.pump()
	h.write("") // the attempt is committed
	h.pump()
}

// TestJobsEndAfter holds failures that the fuzz test has found.
func TestJobsEndAfter(t *testing.T) {
	cases := []struct {
		name    string
		profile cwmodel.ProfileName
		play    func(f *fuzz)
	}{
		{"a home without workers", "filings", func(f *fuzz) { f.hosts[1].claim(f.workers[0]) }},
		{"an adoption while the start order of the former home is lost", "filings", func(f *fuzz) {
			former, next := f.hosts[0], f.hosts[1]
			former.orderFirst(f.workers[0])
			next.view(nil)
			f.advance(5 * time.Second)
			next.drain() // the job is adopted, as the former home is not seen
			former.send(0, "order")
			former.send(0, "order") // nor does the stop order arrive
		}},
		{"a home that dies before the result is written", "filings", func(f *fuzz) {
			former := f.hosts[0]
			former.orderFirst(f.workers[0])
			former.send(0, "")
			for range 25 {
				f.advance(time.Second)
			}
			former.poll() // hands the result over
			former.pump()
			former.poll() // drops what is acknowledged
			former.die()
		}},
		{"a worker that has restarted and is claimed again", "filings", func(f *fuzz) {
			former := f.hosts[0]
			former.orderFirst(f.workers[0])
			former.send(0, "") // the attempt begins
			f.advance(time.Second)
			f.restart(f.workers[0])
			former.die()
			f.advance(time.Second)
		}},
		{"a cancellation of what runs since the moment in which its worker restarted", "portal", func(f *fuzz) {
			former := f.hosts[0]
			f.restart(f.workers[0])
			former.orderFirst(f.workers[0])
			former.send(0, "")
			former.die()
			f.advance(3 * time.Second)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &fuzz{sim: newSim(1, 2, 1), accepted: map[cwmodel.JobID]bool{}, ended: map[string]string{}}
			f.clock.Advance(5 * time.Second)
			f.accept(t, f.hosts[0], c.profile, 1)
			c.play(f)
			f.heal(t)
		})
	}
}

func (f *fuzz) host(t *rapid.T) *simHost {
	return f.hosts[rapid.IntRange(0, len(f.hosts)-1).Draw(t, "host")]
}

func (f *fuzz) submitJob(t *rapid.T) {
	h := f.host(t)
	profile := rapid.SampledFrom([]cwmodel.ProfileName{"bundles", "filings", "portal"}).Draw(t, "profile")
	tasks := rapid.IntRange(1, 2).Draw(t, "tasks")
	if !h.alive || len(f.accepted) > 6 {
		return
	}
	f.accept(t, h, profile, tasks)
}

// accept submits a job to one host.
func (f *fuzz) accept(t rapid.TB, h *simHost, profile cwmodel.ProfileName, tasks int) {
	builder := cwsubmission.Builder{
		Self: h.jobs.opts.Self, DataCentre: h.jobs.opts.DataCentre, Configuration: func() *cwpolicy.Configuration { return &simConfiguration },
	}
	job, err := builder.Build(f.clock.Now(), cwsubmission.Submission{Request: cwmodel.Request{Profile: profile, Team: "riders"}, Tasks: tasks})
	if err != nil {
		t.Fatal(err)
	}
	f.jobs++
	id := cwmodel.JobID(fmt.Sprintf("riders.%03d", f.jobs))
	job.ID = id
	h.jobs.deliver(event{kind: eventAccept, job: job, reply: func(verdict cwtablewriter.WriteResult) {
		if verdict == cwtablewriter.Committed {
			f.accepted[id] = true
		}
	}})
	h.pump()
}

func (f *fuzz) cancelJob(t *rapid.T) {
	h := f.host(t)
	ids := sortedKeys(f.accepted)
	if !h.alive || len(ids) == 0 || rapid.IntRange(0, 4).Draw(t, "rarely") != 0 {
		return
	}
	id := ids[rapid.IntRange(0, len(ids)-1).Draw(t, "job")]
	h.jobs.deliver(event{kind: eventCancel, id: id, reply: func(cwtablewriter.WriteResult) {}})
	h.pump()
}

func (f *fuzz) step(t *rapid.T, do func(h *simHost, pick int)) {
	h, pick := f.host(t), rapid.IntRange(0, 5).Draw(t, "pick")
	if h.alive {
		do(h, pick)
		h.pump()
	}
}

func (f *fuzz) placeTask(t *rapid.T) { f.step(t, (*simHost).place) }
func (f *fuzz) runCall(t *rapid.T)   { f.step(t, (*simHost).call) }
func (f *fuzz) pollWorkers(t *rapid.T) {
	f.step(t, func(h *simHost, _ int) { h.poll() })
}

func (f *fuzz) sendOrder(t *rapid.T) {
	lost := rapid.SampledFrom([]string{"", "", "", "", "order", "answer"}).Draw(t, "lost")
	f.step(t, func(h *simHost, pick int) { h.send(pick, lost) })
}

func (f *fuzz) writeRow(t *rapid.T) {
	fault := rapid.SampledFrom([]string{"", "", "", "", "refused", "unknown"}).Draw(t, "fault")
	f.step(t, func(h *simHost, _ int) { h.write(fault) })
}

func (f *fuzz) claimWorker(t *rapid.T) {
	f.step(t, func(h *simHost, pick int) { h.claim(f.workers[pick%len(f.workers)]) })
}

func (f *fuzz) tick(t *rapid.T) {
	f.advance(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
}

func (f *fuzz) advance(d time.Duration) {
	f.clock.Advance(d)
	for _, h := range f.hosts {
		if h.alive {
			h.renew()
			h.jobs.deliver(event{kind: eventTick})
			h.pump()
		}
	}
}

// changeView shows a host a view of its peers that may be wrong.
func (f *fuzz) changeView(t *rapid.T) {
	seen := rapid.IntRange(0, 7).Draw(t, "seen")
	f.step(t, func(h *simHost, _ int) {
		var live []cwmodel.HostID
		for n, peer := range f.hosts {
			if seen&(1<<n) != 0 {
				live = append(live, peer.id)
			}
		}
		h.view(live)
	})
}

func (f *fuzz) injectFault(t *rapid.T) {
	fault := rapid.SampledFrom([]string{"kill", "kill", "boot", "boot", "boot", "table", "table", "ghost", "ghost", "worker", "restart"}).Draw(t, "fault")
	h := f.host(t)
	switch {
	case fault == "kill" && h.alive:
		h.die()
	case fault == "boot" && !h.alive:
		h.boot()
	case fault == "table":
		f.down = !f.down
	case fault == "ghost" && len(f.ghosts) > 0:
		f.sendGhost()
	case fault == "restart":
		f.restart(f.workers[rapid.IntRange(0, len(f.workers)-1).Draw(t, "restarted")])
	case fault == "worker" && rapid.IntRange(0, 5).Draw(t, "rarely") == 0:
		f.workers[2].gone, f.workers[2].listed = true, false
	}
}

// sendGhost lets a paused process wake and send a start order late.
func (f *fuzz) sendGhost() {
	order := f.ghosts[0]
	f.ghosts = f.ghosts[1:]
	if w := f.worker(order.Attempt.Worker); !w.gone {
		_ = f.start(w, order)
	}
}

func (f *fuzz) check(t rapid.TB) {
	running := map[cwmodel.TaskID]int{}
	for _, w := range f.workers {
		if w.gone {
			continue
		}
		for _, r := range w.Inspect().Running {
			running[r.Attempt.Task]++
		}
	}
	for _, id := range sortedKeys(running) {
		if running[id] > 1 {
			t.Fatalf("task %s runs %d times at once", id, running[id])
		}
	}
	for _, row := range f.table.Scan(cwjobstore.PrefixEnded, "", 1000) {
		f.checkEnded(t, row.Key, string(row.Value))
	}
	for _, id := range sortedKeys(f.over) {
		if told := f.over[id]; told > 1 || f.table.Read(cwjobstore.KeyEnded(id)).Version == 0 {
			t.Fatalf("the end of job %s was told %d times, its ended row has version %d", id, told, f.table.Read(cwjobstore.KeyEnded(id)).Version)
		}
	}
	for _, id := range sortedKeys(f.accepted) {
		live, ended := f.table.Read(cwjobstore.KeyLive(id)).Version, f.table.Read(cwjobstore.KeyEnded(id)).Version
		if (live > 0) == (ended > 0) {
			t.Fatalf("job %s has a live row of version %d and an ended row of version %d", id, live, ended)
		}
	}
}

func (f *fuzz) checkEnded(t rapid.TB, key, value string) {
	if first, ok := f.ended[key]; ok {
		if first != value {
			t.Fatalf("the outcome of %s changed", key)
		}
		return
	}
	f.ended[key] = value
	job, err := cwcodec.DecodeJob([]byte(value))
	if err != nil {
		t.Fatal(err)
	}
	for n, task := range job.Tasks {
		begun := f.started[cwjob.TaskID(job.ID, n)]
		isTrue := begun > 0 || (task.Outcome != cwmodel.OutcomeDone && task.Outcome != cwmodel.OutcomeFailed)
		if !isTrue || (task.Outcome == cwmodel.OutcomeNotRun && begun > 0) {
			t.Fatalf("task %d of %s began %d times and is told %s (%s)", n, key, begun, task.Outcome, task.Reason)
		}
		if !job.Repeatable && begun > 1 {
			t.Fatalf("task %d of %s may not be repeated and began %d times", n, key, begun)
		}
	}
}

// heal ends all faults and demands that every accepted job ends.
func (f *fuzz) heal(t rapid.TB) {
	const rounds = 400
	f.down = false
	for _, h := range f.hosts {
		if !h.alive {
			h.boot()
		}
	}
	for range rounds {
		f.round()
		f.check(t)
		if f.cancelServices() {
			return
		}
	}
	for _, row := range f.table.Scan(cwjobstore.PrefixLive, "", 100) {
		t.Logf("%s", row.Value)
	}
	for _, h := range f.hosts {
		t.Logf("%s owns %v, queue %d, calls %d, writes %d, orders %d, entries %d, scan %+v", h.id, h.owned, len(h.queue), len(h.calls), len(h.writes), len(h.orders), len(h.jobs.entries), h.jobs.scan)
		for id, e := range h.jobs.entries {
			t.Logf("  %s busy %v stale %v retry %v changes %d job %+v", id, e.busy, e.stale, e.retryAt.Sub(f.clock.Now()), e.PendingCount(), e.Job)
		}
	}
	t.Fatalf("%d jobs have not ended", len(f.table.Scan(cwjobstore.PrefixLive, "", 100)))
}

// round lets every host do everything that it can.
func (f *fuzz) round() {
	f.advance(700 * time.Millisecond)
	for len(f.ghosts) > 0 {
		f.sendGhost()
	}
	ids := []cwmodel.HostID{}
	for _, h := range f.hosts {
		ids = append(ids, h.id)
	}
	for _, h := range f.hosts {
		h.view(append([]cwmodel.HostID{}, ids...))
		for _, w := range f.workers {
			if epoch, ok := h.owned[w.id]; !ok || w.Inspect().Epoch != epoch {
				h.claim(w)
			}
		}
		for n := range 6 {
			h.pump()
			h.place(n)
			h.drain()
		}
		h.poll()
		h.pump()
	}
}

func (h *simHost) drain() {
	for range 200 {
		h.pump()
		if len(h.calls)+len(h.writes)+len(h.orders) == 0 {
			return
		}
		h.call(0)
		h.write("")
		h.send(0, "")
	}
}

// cancelServices cancels what would run for ever and reports whether no live job is left.
func (f *fuzz) cancelServices() bool {
	rows := f.table.Scan(cwjobstore.PrefixLive, "", 100)
	for _, row := range rows {
		job, err := cwcodec.DecodeJob(row.Value)
		if err == nil && job.Kind == cwmodel.KindService && !job.Cancelled {
			id := cwmodel.JobID(strings.TrimPrefix(row.Key, cwjobstore.PrefixLive))
			f.hosts[0].jobs.deliver(event{kind: eventCancel, id: id, reply: func(cwtablewriter.WriteResult) {}})
			f.hosts[0].pump()
		}
	}
	return len(rows) == 0
}
