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

// execution is an attempt that may be running on a worker of the oracle.
type execution struct {
	attempt        cwmodel.Attempt
	demand         cwmodel.Resources
	durable        bool
	startedAt      time.Time
	lost           bool      // its worker is no longer owned
	leaseExpiresAt time.Time // when the lease of a lost attempt expires
}

// record is what the oracle has recorded of one task.
type record struct {
	task         cwmodel.Task
	cancelled    bool
	responses    int
	starts       int
	mayHaveRun   bool // an attempt of it may have run
	reportedLost bool // reported with ActionLost
}

// oracle simulates the workers, attempts and callers around a decider, and checks the decider's actions against them.
type oracle struct {
	t          *rapid.T
	now        time.Time
	d, replica *cwdecider.Decider
	epochs     map[cwmodel.HostID]cwmodel.Epoch
	owned      map[cwmodel.HostID]bool
	live       []*execution
	tasks      map[cwmodel.TaskID]*record
	gangs      [][]cwmodel.TaskID
	held       map[cwmodel.JobID][]cwmodel.Task
	next       int
}

// capacity is that of every worker in the tests.
var capacity = cwmodel.Resources{MilliProcessors: 8000, MemoryBytes: 16, Accelerators: 1, Slots: 8, Connections: 16}

// profile returns a profile with equal weights and limits, of the given kind and class.
func profile(name string, kind cwmodel.Kind, class cwmodel.Class) cwpolicy.Profile {
	return cwpolicy.Profile{
		Name: cwmodel.ProfileName(name), Kind: kind, Class: class, Weight: 1, Ceiling: 1, QueueLimit: 6, Deadline: 2 * time.Second,
		Lease: 2 * time.Second, MaxAttempts: 3, Repeatable: true, Demand: cwmodel.Resources{MilliProcessors: 1000, Slots: 1},
	}
}

// configuration returns a configuration with one profile of each class and two teams, of which b has a quota.
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

// newOracle returns an oracle with one worker, whose decider stops the test at a broken invariant.
func newOracle(t *rapid.T) *oracle {
	opts := cwdecider.Options{Seed: 7, OnInvariantViolation: func(message string) { t.Fatalf("broken invariant: %s", message) }}
	o := &oracle{
		t: t, now: epoch, d: cwdecider.New(opts), replica: cwdecider.New(opts), epochs: map[cwmodel.HostID]cwmodel.Epoch{},
		owned: map[cwmodel.HostID]bool{}, tasks: map[cwmodel.TaskID]*record{}, held: map[cwmodel.JobID][]cwmodel.Task{},
	}
	o.do(func(d *cwdecider.Decider) { d.Configure(o.now, configuration()) })
	o.addWorker("w1")
	return o
}

// do applies one event to the decider and to its replica, and checks the actions of both.
func (o *oracle) do(event func(d *cwdecider.Decider)) {
	event(o.d)
	event(o.replica)
	actions := slices.Clone(o.d.Actions())
	if other := o.replica.Actions(); fmt.Sprint(other) != fmt.Sprint(actions) {
		o.t.Fatalf("the same events led to different actions of the decider and its replica:\n%v\n%v", actions, other)
	}
	for _, a := range actions {
		o.check(a)
	}
	for _, ids := range o.gangs {
		started := 0
		for _, id := range ids {
			started += min(o.tasks[id].starts, 1)
		}
		if started != 0 && started != len(ids) {
			o.t.Fatalf("%d of %d tasks of a gang were started, expected all or none", started, len(ids))
		}
	}
	if broken := o.d.Verify(); broken != "" {
		o.t.Fatalf("Verify found a broken invariant: %s", broken)
	}
}

// check checks one action of the decider and records its effect.
func (o *oracle) check(a cwdecider.Action) {
	switch a.Kind {
	case cwdecider.ActionStart:
		o.checkStart(a)
	case cwdecider.ActionRespond:
		o.checkResponse(a.Response)
	case cwdecider.ActionLost:
		r := o.tasks[a.Task.ID]
		if r.responses > 0 || r.reportedLost || !a.Task.Durable {
			o.t.Fatalf("task %s is reported lost, but it has had a response, is already reported lost, or is not durable", a.Task.ID)
		}
		r.reportedLost = true
	case cwdecider.ActionStop, cwdecider.ActionOrphan:
	}
}

// checkStart checks that a task may start on the worker, and records the attempt as live.
func (o *oracle) checkStart(a cwdecider.Action) {
	r, on := o.tasks[a.Task.ID], a.Attempt.Worker
	if r.responses > 0 || r.cancelled || r.reportedLost {
		o.t.Fatalf("task %s is started after its response, cancellation or report as lost", a.Task.ID)
	}
	if !o.owned[on] || a.Attempt.Epoch != o.epochs[on] {
		o.t.Fatalf("task %s is started on worker %s, which is not owned under that epoch", a.Task.ID, on)
	}
	used := a.Task.Demand
	for _, e := range o.live {
		if e.attempt.Task == a.Task.ID && (!e.lost || e.leaseExpiresAt.After(o.now)) {
			o.t.Fatalf("task %s is started as attempt %v while attempt %v may still be running", a.Task.ID, a.Attempt, e.attempt)
		}
		if e.attempt.Worker == on && !e.lost {
			used = used.Add(e.demand)
		}
	}
	if !used.FitsIn(capacity) {
		o.t.Fatalf("worker %s is allocated %+v, more than its capacity", on, used)
	}
	r.starts++
	o.live = append(o.live, &execution{attempt: a.Attempt, demand: a.Task.Demand, durable: a.Task.Durable, startedAt: o.now})
}

// checkResponse checks that a task gets one response, and the outcome not-run only if no attempt of it may have run.
func (o *oracle) checkResponse(response cwmodel.Response) {
	r := o.tasks[response.Task]
	r.responses++
	if r.responses > 1 {
		o.t.Fatalf("task %s got %d responses, expected 1", response.Task, r.responses)
	}
	if response.Outcome != cwmodel.OutcomeNotRun {
		return
	}
	runs := slices.ContainsFunc(o.live, func(e *execution) bool { return e.attempt.Task == response.Task })
	if r.mayHaveRun || runs {
		o.t.Fatalf("task %s has the outcome not-run, but an attempt of it may have run", response.Task)
	}
}

// addWorker adds a worker under a new epoch, with the attempts whose leases have not expired as its running tasks.
func (o *oracle) addWorker(id cwmodel.HostID) {
	o.epochs[id]++
	o.owned[id] = true
	var running []cwmodel.RunningTask
	kept := o.live[:0]
	for _, e := range o.live {
		if e.attempt.Worker == id && (!e.lost || e.leaseExpiresAt.After(o.now)) {
			r := o.tasks[e.attempt.Task]
			e.lost = false
			running = append(running, cwmodel.RunningTask{
				Attempt: e.attempt, Profile: r.task.Profile, Team: r.task.Team, Kind: r.task.Kind, Demand: e.demand, StartedAt: e.startedAt,
				Lease: r.task.Lease, Repeatable: r.task.Repeatable, Durable: e.durable,
			})
			r.reportedLost = r.reportedLost && !e.durable
		}
		if e.attempt.Worker == id && e.lost {
			o.tasks[e.attempt.Task].mayHaveRun = true
			continue
		}
		kept = append(kept, e)
	}
	o.live = kept
	worker := cwmodel.Worker{ID: id, Rack: "r" + string(id[1:]), Capacity: capacity}
	o.do(func(d *cwdecider.Decider) { d.AddWorker(o.now, worker, o.epochs[id], running) })
}

// loseWorker removes a worker. Its attempts may run until their leases expire.
func (o *oracle) loseWorker(id cwmodel.HostID) {
	o.owned[id] = false
	for _, e := range o.live {
		if e.attempt.Worker == id && !e.lost {
			e.lost, e.leaseExpiresAt = true, o.now.Add(o.tasks[e.attempt.Task].task.Lease)
		}
	}
	o.do(func(d *cwdecider.Decider) { d.LoseWorker(o.now, id, o.now) })
}

// newTask returns a random task of a profile.
func (o *oracle) newTask(name cwmodel.ProfileName) cwmodel.Task {
	o.next++
	p, _ := (&cwpolicy.Configuration{Profiles: configuration().Profiles}).Profile(name)
	t := cwmodel.Task{
		ID: cwmodel.TaskID(fmt.Sprint("t", o.next)), NextAttempt: 1, Profile: name, Team: rapid.SampledFrom([]cwmodel.TeamName{"a", "b"}).Draw(o.t, "team"),
		Kind: p.Kind, ArrivedAt: o.now, Lease: p.Lease, MaxAttempts: p.MaxAttempts, Repeatable: p.Repeatable, Checkpointable: p.Checkpointable,
		Demand: cwmodel.Resources{
			MilliProcessors: int64(rapid.IntRange(1, 9).Draw(o.t, "processors")) * 1000, MemoryBytes: int64(rapid.IntRange(0, 17).Draw(o.t, "memory")), Slots: 1,
		},
	}
	if p.Kind == cwmodel.KindRequest {
		t.Deadline = o.now.Add(rapid.SampledFrom([]time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second}).Draw(o.t, "deadline"))
		t.Repeatable = rapid.Bool().Draw(o.t, "repeatable")
	}
	return t
}

// track records a task, to which a response is due.
func (o *oracle) track(t cwmodel.Task) { o.tasks[t.ID] = &record{task: t} }

// end reports the end of a live attempt, which may be a lost one.
func (o *oracle) end(at int, end cwmodel.EndKind) {
	e := o.live[at]
	o.live = slices.Delete(o.live, at, at+1)
	if end != cwmodel.EndNotStarted {
		o.tasks[e.attempt.Task].mayHaveRun = true
	}
	startedAt := o.now.Add(-10 * time.Millisecond)
	o.do(func(d *cwdecider.Decider) {
		d.HandleResult(o.now, cwmodel.Result{Attempt: e.attempt, End: end, StartedAt: startedAt, EndedAt: o.now, PeakUsage: e.demand})
	})
}

// tick advances the clock and calls Tick.
func (o *oracle) tick(by time.Duration) {
	o.now = o.now.Add(by)
	o.do(func(d *cwdecider.Decider) { d.Tick(o.now) })
}

// drainAll adds all workers again, ends all attempts and advances the clock; every task must then have one response
// or be reported lost.
func (o *oracle) drainAll() {
	for _, id := range []cwmodel.HostID{"w1", "w2", "w3"} {
		o.addWorker(id)
	}
	for range 400 {
		for len(o.live) > 0 {
			o.end(0, cwmodel.EndDone)
		}
		o.tick(time.Second)
	}
	for id, r := range o.tasks {
		if r.responses != 1 && !r.reportedLost {
			o.t.Fatalf("task %s got %d responses, expected 1: %+v", id, r.responses, r.task)
		}
	}
}

// hostID draws one of the three workers.
func hostID(t *rapid.T) cwmodel.HostID {
	return rapid.SampledFrom([]cwmodel.HostID{"w1", "w2", "w3"}).Draw(t, "worker")
}

// TestDeciderInvariants applies random events to a decider and checks its actions against the oracle.
//
// It asserts that no worker is allocated more than its capacity, a task has at most one running attempt, a gang starts
// all at once or not at all, every task gets one response, a task with the outcome not-run never ran, and no task
// starts after its cancellation.
func TestDeciderInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(t)
		ends := []cwmodel.EndKind{cwmodel.EndDone, cwmodel.EndFailed, cwmodel.EndTransient, cwmodel.EndStopped, cwmodel.EndNotStarted, cwmodel.EndCheckpointed}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				task := o.newTask(rapid.SampledFrom([]cwmodel.ProfileName{"best", "bundles", "urgent"}).Draw(t, "profile"))
				task.Durable = task.Kind == cwmodel.KindBatch && rapid.Bool().Draw(t, "durable")
				o.track(task)
				o.do(func(d *cwdecider.Decider) { d.Submit(o.now, task) })
			},
			"gang": func(t *rapid.T) {
				var tasks []cwmodel.Task
				var ids []cwmodel.TaskID
				for range rapid.IntRange(1, 4).Draw(t, "size") {
					task := o.newTask("gangs")
					task.Job, task.Team = cwmodel.JobID("job-"+string(task.ID)), "a"
					o.track(task)
					tasks, ids = append(tasks, task), append(ids, task.ID)
				}
				o.gangs = append(o.gangs, ids)
				o.do(func(d *cwdecider.Decider) { d.SubmitGang(o.now, tasks) })
			},
			"cancel": func(t *rapid.T) {
				id := cwmodel.TaskID(fmt.Sprint("t", rapid.IntRange(1, o.next+1).Draw(t, "task")))
				if r, ok := o.tasks[id]; ok {
					r.cancelled = true
				}
				o.do(func(d *cwdecider.Decider) { d.Cancel(o.now, id) })
				if _, ok := o.tasks[id]; !ok {
					o.next++
				}
			},
			"end": func(t *rapid.T) {
				if len(o.live) > 0 {
					o.end(rapid.IntRange(0, len(o.live)-1).Draw(t, "attempt"), rapid.SampledFrom(ends).Draw(t, "end"))
				}
			},
			"tick": func(t *rapid.T) {
				o.tick(rapid.SampledFrom([]time.Duration{time.Millisecond, 30 * time.Millisecond, 600 * time.Millisecond, 6 * time.Second}).Draw(t, "by"))
			},
			"add":  func(t *rapid.T) { o.addWorker(hostID(t)) },
			"lose": func(t *rapid.T) { o.loseWorker(hostID(t)) },
			"drain": func(t *rapid.T) {
				id := hostID(t)
				o.do(func(d *cwdecider.Decider) { d.DrainWorker(id) })
			},
			"hold": func(*rapid.T) {
				first := o.newTask("gangs")
				second := o.newTask("gangs")
				job := cwmodel.JobID("held-" + string(first.ID))
				held := 0
				o.do(func(d *cwdecider.Decider) {
					held = d.Hold(o.now, job, []cwmodel.Task{first, second}, o.now.Add(time.Second))
				})
				o.held[job] = []cwmodel.Task{first, second}[:held]
			},
			"commit": func(t *rapid.T) {
				if job, ok := o.drawHold(t); ok {
					o.commit(job)
				}
			},
			"release": func(t *rapid.T) {
				if job, ok := o.drawHold(t); ok {
					delete(o.held, job)
					o.do(func(d *cwdecider.Decider) { d.ReleaseHold(o.now, job) })
				}
			},
		})
		o.drainAll()
	})
}

// drawHold draws a job with a hold; ok is false if there is none.
func (o *oracle) drawHold(t *rapid.T) (job cwmodel.JobID, ok bool) {
	var jobs []cwmodel.JobID
	for job := range o.held {
		jobs = append(jobs, job)
	}
	if len(jobs) == 0 {
		return job, false
	}
	slices.SortFunc(jobs, func(a, b cwmodel.JobID) int { return strings.Compare(string(a), string(b)) })
	return rapid.SampledFrom(jobs).Draw(t, "hold"), true
}

// commit commits a hold, and no longer tracks its tasks if the hold has expired.
func (o *oracle) commit(job cwmodel.JobID) {
	tasks := o.held[job]
	delete(o.held, job)
	for _, t := range tasks {
		o.track(t)
	}
	committed := false
	o.do(func(d *cwdecider.Decider) { committed = d.CommitHold(o.now, job) })
	if !committed {
		for _, t := range tasks {
			delete(o.tasks, t.ID)
		}
	}
}
