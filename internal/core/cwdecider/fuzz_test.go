package cwdecider_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"currantward/internal/core/cwdecider"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// execution is an attempt in the oracle's world.
type execution struct {
	attempt cwmodel.Attempt
	demand  cwmodel.Resources
	durable bool
	began   time.Time
	lost    bool
	over    time.Time // when a lost attempt ends by its lease
}

// record is what the oracle knows of one task.
type record struct {
	task      cwmodel.Task
	cancelled bool
	answers   int
	started   int
	mayHave   bool // an attempt may have run
	handed    bool // handed back as lost
}

// world is the oracle: workers, attempts and callers.
type world struct {
	t       *rapid.T
	now     time.Time
	d, twin *cwdecider.Decider
	epochs  map[cwmodel.HostID]cwmodel.Epoch
	owned   map[cwmodel.HostID]bool
	live    []*execution
	tasks   map[cwmodel.TaskID]*record
	gangs   [][]cwmodel.TaskID
	held    map[cwmodel.JobID][]cwmodel.Task
	next    int
}

var capacity = cwmodel.Resources{MilliProcessors: 8000, MemoryBytes: 16, Accelerators: 1, Slots: 8, Connections: 16}

func profile(name string, kind cwmodel.Kind, class cwmodel.Class) cwpolicy.Profile {
	return cwpolicy.Profile{
		Name: cwmodel.ProfileName(name), Kind: kind, Class: class, Weight: 1, Ceiling: 1, QueueLimit: 6, Deadline: 2 * time.Second,
		Lease: 2 * time.Second, MaxAttempts: 3, Repeatable: true, Demand: cwmodel.Resources{MilliProcessors: 1000, Slots: 1},
	}
}

func configuration() cwpolicy.Configuration {
	best := profile("best", cwmodel.KindBatch, cwmodel.ClassBestEffort)
	best.Checkpointable, best.Ceiling = true, 0.9
	bundles := profile("bundles", cwmodel.KindRequest, cwmodel.ClassStandard)
	bundles.GuaranteedShare = 0.3
	return cwpolicy.Configuration{
		Version: 1,
		Profiles: []cwpolicy.Profile{
			best, bundles, profile("gangs", cwmodel.KindGang, cwmodel.ClassBatch), profile("urgent", cwmodel.KindRequest, cwmodel.ClassUrgent),
		},
		Teams: []cwpolicy.Team{{Name: "a", Weight: 1}, {Name: "b", Weight: 2, Quota: cwmodel.Resources{MilliProcessors: 9000}}},
	}
}

func newWorld(t *rapid.T) *world {
	opts := cwdecider.Options{Seed: 7, OnViolation: func(message string) { t.Fatalf("invariant: %s", message) }}
	w := &world{
		t: t, now: epoch, d: cwdecider.New(opts), twin: cwdecider.New(opts), epochs: map[cwmodel.HostID]cwmodel.Epoch{},
		owned: map[cwmodel.HostID]bool{}, tasks: map[cwmodel.TaskID]*record{}, held: map[cwmodel.JobID][]cwmodel.Task{},
	}
	w.do(func(d *cwdecider.Decider) { d.Configure(w.now, configuration()) })
	w.addWorker("w1")
	return w
}

// do carries out one event on the decider and on its twin, and checks what they decide.
func (w *world) do(event func(d *cwdecider.Decider)) {
	event(w.d)
	event(w.twin)
	actions := slices.Clone(w.d.Actions())
	if twin := w.twin.Actions(); fmt.Sprint(twin) != fmt.Sprint(actions) {
		w.t.Fatalf("the same events led to different actions:\n%v\n%v", actions, twin)
	}
	for _, a := range actions {
		w.check(a)
	}
	for _, ids := range w.gangs {
		started := 0
		for _, id := range ids {
			started += min(w.tasks[id].started, 1)
		}
		if started != 0 && started != len(ids) {
			w.t.Fatalf("%d of %d tasks of a gang were started", started, len(ids))
		}
	}
	if broken := w.d.Verify(); broken != "" {
		w.t.Fatalf("verify: %s", broken)
	}
}

func (w *world) check(a cwdecider.Action) {
	switch a.Kind {
	case cwdecider.ActionStart:
		w.checkStart(a)
	case cwdecider.ActionRespond:
		w.checkAnswer(a.Response)
	case cwdecider.ActionLost:
		r := w.tasks[a.Task.ID]
		if r.answers > 0 || r.handed || !a.Task.Durable {
			w.t.Fatalf("task %s is handed back though answered or not durable", a.Task.ID)
		}
		r.handed = true
	case cwdecider.ActionStop, cwdecider.ActionOrphan:
	}
}

func (w *world) checkStart(a cwdecider.Action) {
	r, on := w.tasks[a.Task.ID], a.Attempt.Worker
	if r.answers > 0 || r.cancelled || r.handed {
		w.t.Fatalf("task %s is started after its answer or its cancellation", a.Task.ID)
	}
	if !w.owned[on] || a.Attempt.Epoch != w.epochs[on] {
		w.t.Fatalf("task %s is started on worker %s which is not owned", a.Task.ID, on)
	}
	used := a.Task.Demand
	for _, e := range w.live {
		if e.attempt.Task == a.Task.ID && (!e.lost || e.over.After(w.now)) {
			w.t.Fatalf("task %s is started as %v while %v may run", a.Task.ID, a.Attempt, e.attempt)
		}
		if e.attempt.Worker == on && !e.lost {
			used = used.Add(e.demand)
		}
	}
	if !used.FitsIn(capacity) {
		w.t.Fatalf("worker %s is given %+v", on, used)
	}
	r.started++
	w.live = append(w.live, &execution{attempt: a.Attempt, demand: a.Task.Demand, durable: a.Task.Durable, began: w.now})
}

func (w *world) checkAnswer(answer cwmodel.Response) {
	r := w.tasks[answer.Task]
	r.answers++
	if r.answers > 1 {
		w.t.Fatalf("task %s is answered %d times", answer.Task, r.answers)
	}
	if answer.Outcome != cwmodel.OutcomeNotRun {
		return
	}
	runs := slices.ContainsFunc(w.live, func(e *execution) bool { return e.attempt.Task == answer.Task })
	if r.mayHave || runs {
		w.t.Fatalf("task %s is answered not-run but may have run", answer.Task)
	}
}

func (w *world) addWorker(id cwmodel.HostID) {
	w.epochs[id]++
	w.owned[id] = true
	var running []cwmodel.RunningTask
	kept := w.live[:0]
	for _, e := range w.live {
		if e.attempt.Worker == id && (!e.lost || e.over.After(w.now)) {
			r := w.tasks[e.attempt.Task]
			e.lost = false
			running = append(running, cwmodel.RunningTask{
				Attempt: e.attempt, Profile: r.task.Profile, Team: r.task.Team, Kind: r.task.Kind, Demand: e.demand, StartedAt: e.began,
				Lease: r.task.Lease, Repeatable: r.task.Repeatable, Durable: e.durable,
			})
			r.handed = r.handed && !e.durable
		}
		if e.attempt.Worker == id && e.lost {
			w.tasks[e.attempt.Task].mayHave = true
			continue
		}
		kept = append(kept, e)
	}
	w.live = kept
	worker := cwmodel.Worker{ID: id, Rack: "r" + string(id[1:]), Capacity: capacity}
	w.do(func(d *cwdecider.Decider) { d.AddWorker(w.now, worker, w.epochs[id], running) })
}

func (w *world) loseWorker(id cwmodel.HostID) {
	w.owned[id] = false
	for _, e := range w.live {
		if e.attempt.Worker == id && !e.lost {
			e.lost, e.over = true, w.now.Add(w.tasks[e.attempt.Task].task.Lease)
		}
	}
	w.do(func(d *cwdecider.Decider) { d.LoseWorker(w.now, id, w.now) })
}

func (w *world) newTask(name cwmodel.ProfileName) cwmodel.Task {
	w.next++
	p, _ := (&cwpolicy.Configuration{Profiles: configuration().Profiles}).Profile(name)
	t := cwmodel.Task{
		ID: cwmodel.TaskID(fmt.Sprint("t", w.next)), Attempt: 1, Profile: name, Team: rapid.SampledFrom([]cwmodel.TeamName{"a", "b"}).Draw(w.t, "team"),
		Kind: p.Kind, ArrivedAt: w.now, Lease: p.Lease, MaxAttempts: p.MaxAttempts, Repeatable: p.Repeatable, Checkpointable: p.Checkpointable,
		Demand: cwmodel.Resources{
			MilliProcessors: int64(rapid.IntRange(1, 9).Draw(w.t, "processors")) * 1000, MemoryBytes: int64(rapid.IntRange(0, 17).Draw(w.t, "memory")), Slots: 1,
		},
	}
	if p.Kind == cwmodel.KindRequest {
		t.Deadline = w.now.Add(rapid.SampledFrom([]time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second}).Draw(w.t, "deadline"))
		t.Repeatable = rapid.Bool().Draw(w.t, "repeatable")
	}
	return t
}

func (w *world) track(t cwmodel.Task) { w.tasks[t.ID] = &record{task: t} }

// end reports the end of a live attempt, lost ones included.
func (w *world) end(at int, end cwmodel.EndKind) {
	e := w.live[at]
	w.live = slices.Delete(w.live, at, at+1)
	if end != cwmodel.EndNotStarted {
		w.tasks[e.attempt.Task].mayHave = true
	}
	began := w.now.Add(-10 * time.Millisecond)
	w.do(func(d *cwdecider.Decider) {
		d.HandleResult(w.now, cwmodel.Result{Attempt: e.attempt, End: end, StartedAt: began, EndedAt: w.now, PeakUsage: e.demand})
	})
}

func (w *world) tick(by time.Duration) {
	w.now = w.now.Add(by)
	w.do(func(d *cwdecider.Decider) { d.Tick(w.now) })
}

// settleAll brings back all workers and lets all time pass; every task has to be answered then.
func (w *world) settleAll() {
	for _, id := range []cwmodel.HostID{"w1", "w2", "w3"} {
		w.addWorker(id)
	}
	for range 400 {
		for len(w.live) > 0 {
			w.end(0, cwmodel.EndDone)
		}
		w.tick(time.Second)
	}
	for id, r := range w.tasks {
		if r.answers != 1 && !r.handed {
			w.t.Fatalf("task %s was answered %d times: %+v", id, r.answers, r.task)
		}
	}
}

func hostID(t *rapid.T) cwmodel.HostID {
	return rapid.SampledFrom([]cwmodel.HostID{"w1", "w2", "w3"}).Draw(t, "worker")
}

// TestDeciderKeepsItsPromises drives a decider with random events against the oracle.
//
// Promises: capacity is never exceeded, a task runs in one place, a gang starts whole or not at all,
// every task is answered once, not-run is true, and no start overtakes a cancellation.
func TestDeciderKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		ends := []cwmodel.EndKind{cwmodel.EndDone, cwmodel.EndFailed, cwmodel.EndTransient, cwmodel.EndStopped, cwmodel.EndNotStarted, cwmodel.EndCheckpointed}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				task := w.newTask(rapid.SampledFrom([]cwmodel.ProfileName{"best", "bundles", "urgent"}).Draw(t, "profile"))
				task.Durable = task.Kind == cwmodel.KindBatch && rapid.Bool().Draw(t, "durable")
				w.track(task)
				w.do(func(d *cwdecider.Decider) { d.Submit(w.now, task) })
			},
			"gang": func(t *rapid.T) {
				var tasks []cwmodel.Task
				var ids []cwmodel.TaskID
				for range rapid.IntRange(1, 4).Draw(t, "size") {
					task := w.newTask("gangs")
					task.Job, task.Team = cwmodel.JobID("job-"+string(task.ID)), "a"
					w.track(task)
					tasks, ids = append(tasks, task), append(ids, task.ID)
				}
				w.gangs = append(w.gangs, ids)
				w.do(func(d *cwdecider.Decider) { d.SubmitGang(w.now, tasks) })
			},
			"cancel": func(t *rapid.T) {
				id := cwmodel.TaskID(fmt.Sprint("t", rapid.IntRange(1, w.next+1).Draw(t, "task")))
				if r, ok := w.tasks[id]; ok {
					r.cancelled = true
				}
				w.do(func(d *cwdecider.Decider) { d.Cancel(w.now, id) })
				if _, ok := w.tasks[id]; !ok {
					w.next++
				}
			},
			"end": func(t *rapid.T) {
				if len(w.live) > 0 {
					w.end(rapid.IntRange(0, len(w.live)-1).Draw(t, "attempt"), rapid.SampledFrom(ends).Draw(t, "end"))
				}
			},
			"tick": func(t *rapid.T) {
				w.tick(rapid.SampledFrom([]time.Duration{time.Millisecond, 30 * time.Millisecond, 600 * time.Millisecond, 6 * time.Second}).Draw(t, "by"))
			},
			"add":  func(t *rapid.T) { w.addWorker(hostID(t)) },
			"lose": func(t *rapid.T) { w.loseWorker(hostID(t)) },
			"drain": func(t *rapid.T) {
				id := hostID(t)
				w.do(func(d *cwdecider.Decider) { d.DrainWorker(id) })
			},
			"hold": func(*rapid.T) {
				first := w.newTask("gangs")
				second := w.newTask("gangs")
				job := cwmodel.JobID("held-" + string(first.ID))
				held := 0
				w.do(func(d *cwdecider.Decider) {
					held = d.Hold(w.now, job, []cwmodel.Task{first, second}, w.now.Add(time.Second))
				})
				w.held[job] = []cwmodel.Task{first, second}[:held]
			},
			"commit": func(t *rapid.T) {
				if job, ok := w.drawHold(t); ok {
					w.commit(job)
				}
			},
			"release": func(t *rapid.T) {
				if job, ok := w.drawHold(t); ok {
					delete(w.held, job)
					w.do(func(d *cwdecider.Decider) { d.ReleaseHold(w.now, job) })
				}
			},
		})
		w.settleAll()
	})
}

func (w *world) drawHold(t *rapid.T) (job cwmodel.JobID, ok bool) {
	var jobs []cwmodel.JobID
	for job := range w.held {
		jobs = append(jobs, job)
	}
	if len(jobs) == 0 {
		return job, false
	}
	slices.SortFunc(jobs, func(a, b cwmodel.JobID) int { return strings.Compare(string(a), string(b)) })
	return rapid.SampledFrom(jobs).Draw(t, "hold"), true
}

func (w *world) commit(job cwmodel.JobID) {
	tasks := w.held[job]
	delete(w.held, job)
	for _, t := range tasks {
		w.track(t)
	}
	committed := false
	w.do(func(d *cwdecider.Decider) { committed = d.CommitHold(w.now, job) })
	if !committed {
		for _, t := range tasks {
			delete(w.tasks, t.ID)
		}
	}
}
