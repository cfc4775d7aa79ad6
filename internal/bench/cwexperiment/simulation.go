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

// startTime is the simulated time at which each run starts.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Times of the simulation.
const (
	tickEvery       = 25 * time.Millisecond
	checkpointDelay = 200 * time.Millisecond // from a stop request to the end of the attempt
)

// event is one future event: the arrival of a task or gang from source, or the end of an attempt if source is nil.
type event struct {
	at       time.Time
	sequence int // orders events of the same time by creation
	source   *taskSource
	attempt  cwmodel.Attempt
	end      cwmodel.EndKind // how the attempt ends
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

// Len, Less and Swap implement sort.Interface, which heap.Interface includes.
func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// runningAttempt is an attempt that runs on a simulated worker.
type runningAttempt struct {
	allocated  cwmodel.Resources // declared demand
	usage      cwmodel.Resources // actual usage
	startedAt  time.Time
	finishesAt time.Time
}

// workerLoad is the capacity of one worker and the actual usage of the tasks on it.
type workerLoad struct{ capacity, usage cwmodel.Resources }

// simulation runs one engine on one scenario with a manual clock.
type simulation struct {
	engine      Engine
	timer       *cwtimer.Service // wall time, for the time of decisions
	now         time.Time
	events      eventQueue
	lastEvent   int                              // sequence number of the last scheduled event
	remaining   map[cwmodel.TaskID]time.Duration // actual run times that remain
	tasks       map[cwmodel.TaskID]cwmodel.Task
	running     map[cwmodel.Attempt]runningAttempt
	capacity    cwmodel.Resources
	allocated   cwmodel.Resources
	measureFrom time.Time
	report      *Report
	faultRandom *rand.Rand
	workers     map[cwmodel.HostID]*workerLoad
	streams     map[cwmodel.ProfileName]Stream
	injectFault func(worker cwmodel.HostID, profile cwmodel.ProfileName, elapsed time.Duration, draw float64) (fraction float64, fails bool)
}

// faultRandomStream seeds the draws of faults independently of those of the task streams, which use their index.
const faultRandomStream = 1 << 32

// Simulate runs one engine on a scenario. The report counts only tasks of the first baseStreams streams, which leaves out a flood
// in a later stream; zero counts all.
func Simulate(engine Engine, sc Scenario, seed uint64, baseStreams int, timer *cwtimer.Service) *Report {
	sim := &simulation{
		engine: engine, timer: timer, now: startTime, remaining: map[cwmodel.TaskID]time.Duration{}, tasks: map[cwmodel.TaskID]cwmodel.Task{},
		running: map[cwmodel.Attempt]runningAttempt{}, measureFrom: startTime.Add(sc.WarmUp), report: newReport(engine.Name),
	}
	sim.workers, sim.streams = map[cwmodel.HostID]*workerLoad{}, map[cwmodel.ProfileName]Stream{}
	sim.faultRandom, sim.injectFault = rand.New(rand.NewPCG(seed, faultRandomStream)), sc.InjectFault
	sim.report.baseStreams, sim.report.window = baseStreams, sc.Duration-sc.WarmUp
	engine.Configure(sim.now, sc.configuration())
	for _, w := range sc.Workers {
		sim.capacity = sim.capacity.Add(w.Capacity)
		engine.AddWorker(sim.now, w)
		sim.workers[w.ID] = &workerLoad{capacity: w.Capacity}
	}
	for n, stream := range sc.Streams {
		sim.streams[stream.Profile.Name] = stream
		s := &taskSource{Stream: stream, streamIndex: n, teams: sc.Teams, random: rand.New(rand.NewPCG(seed, uint64(n)))}
		sim.schedule(event{at: startTime.Add(stream.From + s.nextGap()), source: s})
	}
	sim.run(startTime.Add(sc.Duration), startTime.Add(sc.Duration+sc.Cooldown))
	return sim.report
}

// schedule adds a future event.
func (sim *simulation) schedule(e event) {
	sim.lastEvent++
	e.sequence = sim.lastEvent
	heap.Push(&sim.events, e)
}

// run processes events and ticks until end or until no event is left. No task arrives after lastArrival.
func (sim *simulation) run(lastArrival, end time.Time) {
	nextTick := startTime
	for len(sim.events) > 0 && nextTick.Before(end) {
		e := sim.events[0]
		if e.at.After(nextTick) {
			sim.advanceTo(nextTick)
			nextTick = nextTick.Add(tickEvery)
			sim.callEngine(func() { sim.engine.Tick(sim.now) }, false)
			continue
		}
		heap.Pop(&sim.events)
		if e.source != nil && e.at.After(lastArrival) {
			continue
		}
		sim.advanceTo(e.at)
		if e.source != nil {
			sim.handleArrival(e.source)
			continue
		}
		sim.handleEnd(e)
	}
	sim.report.finish()
}

// advanceTo advances the clock and, if it was within the measured window, records the allocation over the elapsed time.
func (sim *simulation) advanceTo(at time.Time) {
	if sim.now.After(sim.measureFrom) && !sim.now.After(sim.measureFrom.Add(sim.report.window)) {
		sim.report.recordUtilisation(at.Sub(sim.now), sim.allocated, sim.capacity)
	}
	sim.now = at
}

// handleArrival submits the next task or gang of a source and schedules the arrival after it.
func (sim *simulation) handleArrival(s *taskSource) {
	if s.To == 0 || sim.now.Before(startTime.Add(s.To)) {
		sim.schedule(event{at: sim.now.Add(s.nextGap()), source: s})
	}
	if s.GangSize > 0 {
		sim.handleGangArrival(s)
		return
	}
	t, runTime := s.nextTask(sim.now)
	sim.trackTask(t, runTime, s.streamIndex)
	sim.callEngine(func() { sim.engine.Submit(sim.now, t) }, true)
}

// handleGangArrival submits the tasks of one gang together. Each call of nextTask increases taskCount, so all members get the
// job and the team that were computed for the first one.
func (sim *simulation) handleGangArrival(s *taskSource) {
	var tasks []cwmodel.Task
	for range s.GangSize {
		t, runTime := s.nextTask(sim.now)
		t.Job = cwmodel.JobID(fmt.Sprintf("gang-%d-%d", s.streamIndex, s.taskCount/s.GangSize))
		t.Team = teamName(s.taskCount / s.GangSize % s.teams)
		if len(tasks) > 0 {
			t.Job, t.Team = tasks[0].Job, tasks[0].Team
		}
		sim.trackTask(t, runTime, s.streamIndex)
		tasks = append(tasks, t)
	}
	sim.callEngine(func() { sim.engine.SubmitGang(sim.now, tasks) }, true)
}

// trackTask records a new task and its actual run time. The report counts it unless it arrives during the warm-up.
func (sim *simulation) trackTask(t cwmodel.Task, runTime time.Duration, streamIndex int) {
	sim.tasks[t.ID] = t
	sim.remaining[t.ID] = runTime
	if !t.ArrivedAt.Before(sim.measureFrom) {
		sim.report.recordArrival(t, streamIndex)
	}
}

// handleEnd reports the end of an attempt to the engine unless the attempt has ended already.
func (sim *simulation) handleEnd(e event) {
	attempt, ok := sim.running[e.attempt]
	if !ok {
		return
	}
	delete(sim.running, e.attempt)
	sim.allocated = sim.allocated.Sub(attempt.allocated)
	worker := sim.workers[e.attempt.Worker]
	worker.usage = worker.usage.Sub(attempt.usage)
	if e.end == cwmodel.EndCheckpointed {
		sim.remaining[e.attempt.Task] = max(attempt.finishesAt.Sub(sim.now), time.Millisecond)
	}
	result := cwmodel.Result{Attempt: e.attempt, End: e.end, StartedAt: attempt.startedAt, EndedAt: sim.now, PeakUsage: attempt.usage}
	sim.callEngine(func() { sim.engine.HandleResult(sim.now, result) }, true)
}

// callEngine passes one event to the engine (the decider or a baseline), measures the time that the engine takes and applies its actions. A
// sampled time is part of the quantiles in the report; one that is not, as that of a tick, is part of the total only.
func (sim *simulation) callEngine(call func(), sampled bool) {
	startedAt := sim.timer.Now()
	call()
	actions := sim.engine.Actions()
	took := sim.timer.Now().Sub(startedAt)
	if sim.now.After(sim.measureFrom) {
		sim.report.recordDecisionTime(took, sampled)
	}
	for _, a := range actions {
		sim.applyAction(a)
	}
}

// applyAction carries out an action of the engine as the simulated workers and callers. Simulated workers never lose an attempt,
// so lost and orphaned attempts need no action.
func (sim *simulation) applyAction(a cwdecider.Action) {
	switch a.Kind {
	case cwdecider.ActionStart:
		sim.startAttempt(a)
	case cwdecider.ActionStop:
		sim.stopAttempt(a)
	case cwdecider.ActionRespond:
		t := sim.tasks[a.Response.Task]
		delete(sim.tasks, a.Response.Task)
		delete(sim.remaining, a.Response.Task)
		sim.report.recordResponse(t, a.Response, sim.now)
	case cwdecider.ActionLost, cwdecider.ActionOrphan:
	}
}

// startAttempt starts an attempt on a simulated worker and schedules its end: a fault, the task's deadline or the end of its run time. The
// running attempt records finishesAt, the end without interruption, from which handleEnd computes the time left after a checkpoint. It panics
// if the engine allocates more than the fleet has.
func (sim *simulation) startAttempt(a cwdecider.Action) {
	t := sim.tasks[a.Attempt.Task]
	endsAt := sim.now.Add(sim.remaining[t.ID])
	usage := sim.streams[t.Profile].usage(t.Demand)
	worker := sim.workers[a.Attempt.Worker]
	worker.usage = worker.usage.Add(usage)
	if !worker.usage.FitsIn(worker.capacity) && sim.now.After(sim.measureFrom) {
		sim.report.Overcommitted++
	}
	sim.running[a.Attempt] = runningAttempt{allocated: a.Task.Demand, usage: usage, startedAt: sim.now, finishesAt: endsAt}
	sim.allocated = sim.allocated.Add(a.Task.Demand)
	if !sim.allocated.FitsIn(sim.capacity) {
		panic("the engine allocated more than the capacity of the fleet")
	}
	sim.report.recordStart(t, sim.now)
	end := cwmodel.EndDone
	if sim.injectFault != nil {
		if fraction, fails := sim.injectFault(a.Attempt.Worker, t.Profile, sim.now.Sub(startTime), sim.faultRandom.Float64()); fails {
			endsAt, end = sim.now.Add(time.Duration(fraction*float64(sim.remaining[t.ID]))), cwmodel.EndTransient
		}
	}
	if !t.Deadline.IsZero() && endsAt.After(t.Deadline) {
		endsAt, end = t.Deadline, cwmodel.EndStopped
	}
	sim.schedule(event{at: endsAt, attempt: a.Attempt, end: end})
}

// stopAttempt schedules the end of an attempt that the engine stops. Throttling does not change the run time of a simulated task.
func (sim *simulation) stopAttempt(a cwdecider.Action) {
	switch a.Mode {
	case cwmodel.StopCheckpoint:
		sim.schedule(event{at: sim.now.Add(checkpointDelay), attempt: a.Attempt, end: cwmodel.EndCheckpointed})
	case cwmodel.StopNow:
		sim.schedule(event{at: sim.now.Add(time.Millisecond), attempt: a.Attempt, end: cwmodel.EndStopped})
	case cwmodel.StopThrottle:
	}
}
