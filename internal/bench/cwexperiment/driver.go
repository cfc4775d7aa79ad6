package cwexperiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwdecider"
	"currantward/internal/core/cwmodel"
)

// start is the time at which each run begins.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Periods of the driver.
const (
	tickEvery       = 25 * time.Millisecond
	checkpointDelay = 200 * time.Millisecond // from a stop order to the end of the attempt
)

// moment is one future event.
type moment struct {
	at      time.Time
	number  int // breaks ties in the order of creation
	source  *source
	attempt cwmodel.Attempt
	end     cwmodel.EndKind
}

type agenda []moment

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].number < a[j].number
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push adds a moment; it is called by package heap.
func (a *agenda) Push(x any) { *a = append(*a, x.(moment)) }

// Pop removes the last moment; it is called by package heap.
func (a *agenda) Pop() any {
	last := len(*a) - 1
	m := (*a)[last]
	*a = (*a)[:last]
	return m
}

// running is an attempt in the driver's fleet.
type running struct {
	demand cwmodel.Resources // reserved
	inUse  cwmodel.Resources
	began  time.Time
	ends   time.Time
}

// load is what the tasks on one worker really use.
type load struct{ capacity, inUse cwmodel.Resources }

// driver runs one engine on one deployment with a manual clock.
type driver struct {
	engine  Engine
	timer   *cwtimer.Service // wall time, for the cost of decisions
	now     time.Time
	agenda  agenda
	number  int
	runs    map[cwmodel.TaskID]time.Duration // true run times that are left
	tasks   map[cwmodel.TaskID]cwmodel.Task
	live    map[cwmodel.Attempt]running
	total   cwmodel.Resources
	used    cwmodel.Resources
	counted time.Time
	report  *Report
	random  *rand.Rand // of faults
	workers map[cwmodel.HostID]*load
	streams map[cwmodel.ProfileName]Stream
	fault   func(on cwmodel.HostID, profile cwmodel.ProfileName, at time.Duration, draw float64) (part float64, fails bool)
}

// faultStream keeps the draws of faults apart from those of the streams.
const faultStream = 1 << 32

// Simulate runs one engine on a deployment and returns what was measured of its first streams; zero means all.
func Simulate(engine Engine, d Scenario, seed uint64, streams int, timer *cwtimer.Service) *Report {
	r := &driver{
		engine: engine, timer: timer, now: start, runs: map[cwmodel.TaskID]time.Duration{}, tasks: map[cwmodel.TaskID]cwmodel.Task{},
		live: map[cwmodel.Attempt]running{}, counted: start.Add(d.WarmUp), report: newReport(engine.Name),
	}
	r.workers, r.streams = map[cwmodel.HostID]*load{}, map[cwmodel.ProfileName]Stream{}
	r.random, r.fault = rand.New(rand.NewPCG(seed, faultStream)), d.InjectFault
	r.report.streams, r.report.window = streams, d.Duration-d.WarmUp
	engine.Configure(r.now, d.configuration())
	for _, w := range d.Workers {
		r.total = r.total.Add(w.Capacity)
		engine.AddWorker(r.now, w)
		r.workers[w.ID] = &load{capacity: w.Capacity}
	}
	for n, stream := range d.Streams {
		r.streams[stream.Profile.Name] = stream
		s := &source{Stream: stream, number: n, teams: d.Teams, random: rand.New(rand.NewPCG(seed, uint64(n)))}
		r.add(moment{at: start.Add(stream.From + s.gap()), source: s})
	}
	r.run(start.Add(d.Duration), start.Add(d.Duration+d.Cooldown))
	return r.report
}

func (r *driver) add(m moment) {
	r.number++
	m.number = r.number
	heap.Push(&r.agenda, m)
}

// run lets tasks arrive until a time and then goes on until the end.
func (r *driver) run(until, end time.Time) {
	nextTick := start
	for len(r.agenda) > 0 && nextTick.Before(end) {
		m := r.agenda[0]
		if m.at.After(nextTick) {
			r.moveTo(nextTick)
			nextTick = nextTick.Add(tickEvery)
			r.decide(func() { r.engine.Tick(r.now) }, false)
			continue
		}
		heap.Pop(&r.agenda)
		if m.source != nil && m.at.After(until) {
			continue
		}
		r.moveTo(m.at)
		if m.source != nil {
			r.arrive(m.source)
			continue
		}
		r.end(m)
	}
	r.report.finish()
}

// moveTo advances the clock and adds up what was used meanwhile.
func (r *driver) moveTo(at time.Time) {
	if r.now.After(r.counted) && !r.now.After(r.counted.Add(r.report.window)) {
		r.report.use(at.Sub(r.now), r.used, r.total)
	}
	r.now = at
}

func (r *driver) arrive(s *source) {
	if s.To == 0 || r.now.Before(start.Add(s.To)) {
		r.add(moment{at: r.now.Add(s.gap()), source: s})
	}
	if s.GangSize > 0 {
		r.arriveGang(s)
		return
	}
	t, run := s.next(r.now)
	r.remember(t, run, s.number)
	r.decide(func() { r.engine.Submit(r.now, t) }, true)
}

func (r *driver) arriveGang(s *source) {
	var tasks []cwmodel.Task
	for range s.GangSize {
		t, run := s.next(r.now)
		t.Job = cwmodel.JobID(fmt.Sprintf("gang-%d-%d", s.number, s.count/s.GangSize))
		t.Team = teamName(s.count / s.GangSize % s.teams)
		if len(tasks) > 0 {
			t.Job, t.Team = tasks[0].Job, tasks[0].Team
		}
		r.remember(t, run, s.number)
		tasks = append(tasks, t)
	}
	r.decide(func() { r.engine.SubmitGang(r.now, tasks) }, true)
}

func (r *driver) remember(t cwmodel.Task, run time.Duration, stream int) {
	r.tasks[t.ID] = t
	r.runs[t.ID] = run
	if !t.ArrivedAt.Before(r.counted) {
		r.report.ask(t, stream)
	}
}

// end reports the end of an attempt unless it ended before.
func (r *driver) end(m moment) {
	state, ok := r.live[m.attempt]
	if !ok {
		return
	}
	delete(r.live, m.attempt)
	r.used = r.used.Sub(state.demand)
	on := r.workers[m.attempt.Worker]
	on.inUse = on.inUse.Sub(state.inUse)
	if m.end == cwmodel.EndCheckpointed {
		r.runs[m.attempt.Task] = max(state.ends.Sub(r.now), time.Millisecond)
	}
	result := cwmodel.Result{Attempt: m.attempt, End: m.end, StartedAt: state.began, EndedAt: r.now, PeakUsage: state.inUse}
	r.decide(func() { r.engine.HandleResult(r.now, result) }, true)
}

// decide hands one event to the engine, times it and carries out its actions.
func (r *driver) decide(event func(), timed bool) {
	began := r.timer.Now()
	event()
	actions := r.engine.Actions()
	took := r.timer.Now().Sub(began)
	if r.now.After(r.counted) {
		r.report.spend(took, timed)
	}
	for _, a := range actions {
		r.carryOut(a)
	}
}

func (r *driver) carryOut(a cwdecider.Action) {
	switch a.Kind {
	case cwdecider.ActionStart:
		r.start(a)
	case cwdecider.ActionStop:
		r.stop(a)
	case cwdecider.ActionRespond:
		t := r.tasks[a.Response.Task]
		delete(r.tasks, a.Response.Task)
		delete(r.runs, a.Response.Task)
		r.report.answer(t, a.Response, r.now)
	case cwdecider.ActionLost, cwdecider.ActionOrphan:
	}
}

func (r *driver) start(a cwdecider.Action) {
	t := r.tasks[a.Attempt.Task]
	ends := r.now.Add(r.runs[t.ID])
	inUse := r.streams[t.Profile].inUse(t.Demand)
	on := r.workers[a.Attempt.Worker]
	on.inUse = on.inUse.Add(inUse)
	if !on.inUse.FitsIn(on.capacity) && r.now.After(r.counted) {
		r.report.Overcommitted++
	}
	r.live[a.Attempt] = running{demand: a.Task.Demand, inUse: inUse, began: r.now, ends: ends}
	r.used = r.used.Add(a.Task.Demand)
	if !r.used.FitsIn(r.total) {
		panic("the fleet is given more than it has")
	}
	r.report.start(t, r.now)
	end := cwmodel.EndDone
	if r.fault != nil {
		if part, fails := r.fault(a.Attempt.Worker, t.Profile, r.now.Sub(start), r.random.Float64()); fails {
			ends, end = r.now.Add(time.Duration(part*float64(r.runs[t.ID]))), cwmodel.EndTransient
		}
	}
	if !t.Deadline.IsZero() && ends.After(t.Deadline) {
		ends, end = t.Deadline, cwmodel.EndStopped
	}
	r.add(moment{at: ends, attempt: a.Attempt, end: end})
}

func (r *driver) stop(a cwdecider.Action) {
	switch a.Mode {
	case cwmodel.StopCheckpoint:
		r.add(moment{at: r.now.Add(checkpointDelay), attempt: a.Attempt, end: cwmodel.EndCheckpointed})
	case cwmodel.StopNow:
		r.add(moment{at: r.now.Add(time.Millisecond), attempt: a.Attempt, end: cwmodel.EndStopped})
	case cwmodel.StopThrottle:
	}
}
