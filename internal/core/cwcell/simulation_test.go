package cwcell

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// Bounds of the model, in the proportions of the users' deployments.
const (
	simLease       = 3 * time.Second
	simStartWindow = 2 * time.Second
	simOwnerTTL    = 3 * time.Second
	simPollPeriod  = 200 * time.Millisecond
)

// fault says what becomes of one call to a worker.
type fault string

const (
	faultNone        fault = "none"
	faultRequestLost fault = "lost"   // never carried out
	faultAnswerLost  fault = "mute"   // carried out, the answer is lost
	faultDelayed     fault = "late"   // no answer, carried out seconds later
	faultNotSent     fault = "refuse" // certainly not sent
)

// simRun is one run on a model worker.
type simRun struct {
	number int
	endsAt time.Time
	fails  bool
	stopAt time.Time
}

// simWorker is a worker as its users describe it.
type simWorker struct {
	info           WorkerInfo
	alive          bool
	partitioned    bool
	fence          uint64
	lease          time.Time
	runs           map[cwwork.TaskKey]*simRun
	ended          []RunEnd
	lastSequence   uint64
	ackSequence    uint64
	highestStopped map[cwwork.TaskKey]int
}

// delayedCall is an order that is carried out late.
type delayedCall struct {
	at   time.Time
	call func()
}

// simOwner is one owner with its cell and what its adapters would keep.
type simOwner struct {
	cell        *Cell
	fence       uint64
	leaseUntil  time.Time
	loadAt      time.Time // when it reads the store
	loaded      bool
	priorJobs   map[cwmodel.JobID]bool // jobs that were accepted before it came
	leaseExpiry map[cwmodel.HostID]time.Time
	polledAt    map[cwmodel.HostID]time.Time
	writing     []JobWrite
	commitAt    time.Time // when the write under way is answered
	deposed     bool
}

// simulation holds workers, owners and the store, and checks what must always hold.
type simulation struct {
	now          time.Time
	workers      []*simWorker
	owners       []*simOwner
	jobs         map[cwmodel.JobID]*cwwork.Submission
	progress     map[cwmodel.JobID]*cwwork.Progress
	ended        map[cwmodel.JobID]cwwork.State
	ackedDone    map[cwwork.TaskKey]bool // ends as done that were acknowledged
	failures     map[cwwork.TaskKey]map[int]bool
	delayedCalls []delayedCall
	term         int
	policy       cwwork.Policy
	intN         func(n int) int // chooses one of n
	faults       bool
	violations   []string
	history      []string // what happened, for the report of a failure
}

func newSimulation(workers int, policy cwwork.Policy, draw func(int) int) *simulation {
	w := &simulation{
		now:       time.Unix(1_000_000, 0),
		jobs:      map[cwmodel.JobID]*cwwork.Submission{},
		progress:  map[cwmodel.JobID]*cwwork.Progress{},
		ended:     map[cwmodel.JobID]cwwork.State{},
		ackedDone: map[cwwork.TaskKey]bool{},
		failures:  map[cwwork.TaskKey]map[int]bool{},
		policy:    policy,
		intN:      draw,
	}
	for n := range workers {
		w.workers = append(w.workers, &simWorker{
			info: WorkerInfo{
				ID: cwmodel.HostID(fmt.Sprintf("w%02d", n)), Service: policy.Service, Rack: fmt.Sprintf("r%d", n/4),
				Capacity: cwmodel.Resources{MilliProcessors: 8000, MemoryBytes: 8 << 30}, Incarnation: w.now,
			},
			alive: true, runs: map[cwwork.TaskKey]*simRun{}, highestStopped: map[cwwork.TaskKey]int{},
		})
	}
	return w
}

// takeOver makes a new owner; the former ones act until their leases are over or a worker refuses them.
func (w *simulation) takeOver() {
	w.term++
	w.record("owner %d takes over", w.term*100)
	o := &simOwner{
		fence: uint64(w.term * 100), leaseUntil: w.now.Add(simOwnerTTL),
		priorJobs: map[cwmodel.JobID]bool{}, leaseExpiry: map[cwmodel.HostID]time.Time{}, polledAt: map[cwmodel.HostID]time.Time{},
	}
	superseded := w.now
	if w.term > 1 {
		superseded = w.now.Add(simOwnerTTL)
	}
	o.cell = New(Options{
		Seed: uint64(w.term), RunNumberBase: (w.term - 1) * 1000, PriorLeaseExpiry: superseded.Add(simLease * 102 / 100), StatusRetention: time.Minute, StopTimeout: 200 * time.Millisecond,
		Policy:      func(cwwork.QueueName) (cwwork.Policy, bool) { return w.policy, true },
		LeaseExpiry: func(id cwmodel.HostID) time.Time { return o.leaseExpiry[id] },
	})
	if w.term == 1 {
		o.cell.opts.PriorLeaseExpiry = w.now
	}
	for id := range w.jobs {
		o.priorJobs[id] = true
	}
	o.loadAt = w.now.Add(time.Duration(w.intN(1500)) * time.Millisecond)
	for _, m := range w.workers {
		o.cell.RestoreMember(m.info.ID, w.now)
		if w.term == 1 || w.intN(3) > 0 {
			o.cell.UpdateWorker(m.info, w.now)
			continue
		}
		// The entry has lapsed with the store and comes back a moment later.
		w.delayedCalls = append(w.delayedCalls, delayedCall{w.now.Add(time.Duration(w.intN(2000)) * time.Millisecond), func() { o.cell.UpdateWorker(m.info, w.now) }})
	}
	w.owners = append(w.owners, o)
}

func (w *simulation) currentOwner() *simOwner { return w.owners[len(w.owners)-1] }

// loadJobs has an owner read the jobs that were accepted before it came.
func (w *simulation) loadJobs(o *simOwner) {
	o.loaded = true
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		if _, over := w.ended[id]; !over && o.priorJobs[id] {
			o.cell.Admit(w.jobs[id], w.progress[id], true, w.now, w.now)
		}
	}
	o.cell.CompleteRecovery()
}

// submit accepts a job; the owner hears of it at once or a moment later.
func (w *simulation) submit(s *cwwork.Submission) {
	s.Policy, s.Accepted = w.policy, w.now
	w.jobs[s.ID] = s
	// A former owner cannot hear of it: the acceptance expects the fence of the present one.
	o := w.currentOwner()
	if w.intN(2) == 0 {
		o.cell.Admit(s, nil, false, w.now, w.now)
		return
	}
	w.delayedCalls = append(w.delayedCalls, delayedCall{w.now.Add(time.Duration(w.intN(1500)) * time.Millisecond), func() {
		if _, over := w.ended[s.ID]; !over {
			o.cell.Admit(s, nil, false, w.now, w.now)
		}
	}})
}

// advance lets time pass in small steps.
func (w *simulation) advance(d time.Duration) {
	const step = 20 * time.Millisecond
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		w.runDelayed()
		for _, m := range w.workers {
			w.runWorker(m)
		}
		for _, o := range w.owners {
			w.runOwner(o)
		}
	}
}

func (w *simulation) runDelayed() {
	waiting := w.delayedCalls[:0]
	var due []delayedCall
	for _, d := range w.delayedCalls {
		if w.now.Before(d.at) {
			waiting = append(waiting, d)
		} else {
			due = append(due, d)
		}
	}
	w.delayedCalls = waiting
	for _, d := range due {
		d.call()
	}
}

// runWorker ends what is over on a worker.
func (w *simulation) runWorker(m *simWorker) {
	if !m.alive {
		return
	}
	keys := slices.SortedFunc(maps.Keys(m.runs), compareTaskKeys)
	for _, key := range keys {
		r, ok := m.runs[key]
		switch {
		case !ok:
		case w.now.After(m.lease):
			w.finish(m, key, EndLeaseExpired)
		case !r.stopAt.IsZero() && !w.now.Before(r.stopAt):
			w.finish(m, key, EndStopped)
		case !r.endsAt.IsZero() && !w.now.Before(r.endsAt):
			w.complete(m, key, r)
		}
	}
}

// complete ends a run by itself. The members of a gang end together, once all are present.
func (w *simulation) complete(m *simWorker, key cwwork.TaskKey, r *simRun) {
	if !w.jobs[key.Job].Steps[key.Step].Gang {
		w.finish(m, key, outcome(r.fails))
		return
	}
	members, failed := w.runMembers(key, r.number)
	if len(members) < w.jobs[key.Job].Steps[key.Step].Count {
		return
	}
	for at, member := range members {
		kind := EndDone
		if failed {
			kind = EndGangBroken
			if member.runs[at].fails {
				kind = EndFailed
			}
		}
		w.finish(member, at, kind)
	}
}

func (w *simulation) runMembers(key cwwork.TaskKey, number int) (map[cwwork.TaskKey]*simWorker, bool) {
	members, failed := map[cwwork.TaskKey]*simWorker{}, false
	for _, m := range w.workers {
		for k, r := range m.runs {
			if m.alive && k.StepKey == key.StepKey && r.number == number {
				members[k] = m
				failed = failed || r.fails
			}
		}
	}
	return members, failed
}

func outcome(fails bool) EndKind {
	if fails {
		return EndFailed
	}
	return EndDone
}

func (w *simulation) finish(m *simWorker, key cwwork.TaskKey, kind EndKind) {
	w.record("%s: %s run %d ends %s", m.info.ID, key, m.runs[key].number, kind)
	r := m.runs[key]
	delete(m.runs, key)
	m.lastSequence++
	m.ended = append(m.ended, RunEnd{Sequence: m.lastSequence, Task: key, Run: r.number, Kind: kind})
	m.highestStopped[key] = max(m.highestStopped[key], r.number)
	if kind == EndLeaseExpired || kind == EndGangBroken || kind == EndStopped {
		w.breakGang(m, key, r.number)
	}
}

// breakGang ends the other members of a gang's run.
func (w *simulation) breakGang(from *simWorker, key cwwork.TaskKey, number int) {
	if s := w.jobs[key.Job]; s == nil || !s.Steps[key.Step].Gang {
		return
	}
	for _, m := range w.workers {
		for _, k := range slices.SortedFunc(maps.Keys(m.runs), compareTaskKeys) {
			if r := m.runs[k]; m != from && m.alive && r != nil && k.StepKey == key.StepKey && r.number == number && r.stopAt.IsZero() {
				r.stopAt = w.now
			}
		}
	}
}

// crash restarts a worker under its name.
func (w *simulation) crash(m *simWorker) {
	w.record("%s: crashes", m.info.ID)
	m.runs, m.ended, m.highestStopped = map[cwwork.TaskKey]*simRun{}, nil, map[cwwork.TaskKey]int{}
	m.lastSequence, m.ackSequence, m.fence, m.lease = 0, 0, 0, time.Time{}
	m.info.Incarnation = w.now
	for _, o := range w.owners {
		if !o.deposed {
			o.cell.UpdateWorker(m.info, w.now)
		}
	}
}

// runOwner carries out what an owner decides, as the application's duties do.
func (w *simulation) runOwner(o *simOwner) {
	if o == w.currentOwner() {
		o.leaseUntil = w.now.Add(simOwnerTTL)
	}
	if o.deposed || !w.now.Before(o.leaseUntil) {
		return
	}
	for _, m := range w.workers {
		if w.now.Sub(o.polledAt[m.info.ID]) >= simPollPeriod {
			o.polledAt[m.info.ID] = w.now
			w.poll(o, m)
		}
	}
	if !o.loaded && !w.now.Before(o.loadAt) {
		w.loadJobs(o)
	}
	w.commit(o)
	e := o.cell.Decide(w.now, w.now)
	for _, n := range e.LogEntries {
		w.record("owner %d: %s %s %s run %d %s", o.fence, n.Event, n.Task, n.Worker, n.Run, n.Detail)
	}
	for n := range e.Stops {
		w.sendStop(o, &e.Stops[n])
	}
	for n := range e.Starts {
		w.sendStart(o, &e.Starts[n])
	}
}

// commit makes writes durable a step later, unless a later owner has come.
func (w *simulation) commit(o *simOwner) {
	if o.writing != nil && !w.now.Before(o.commitAt) {
		if o != w.currentOwner() {
			o.deposed = true
			return
		}
		for _, write := range o.writing {
			if write.State != "" {
				w.ended[write.Job] = write.State
			} else {
				w.progress[write.Job] = write.Progress
			}
		}
		o.cell.CompleteWrites(o.writing, true, w.now)
		o.writing = nil
	}
	if o.writing == nil && o.cell.PendingWrites() > 0 {
		o.writing = o.cell.NextWrites(20, func(cwmodel.JobID) bool { return true })
		o.commitAt = w.now.Add(20 * time.Millisecond)
	}
}

// drawFault draws what becomes of a call.
func (w *simulation) drawFault(m *simWorker) fault {
	switch {
	case !m.alive || m.partitioned:
		return faultRequestLost
	case !w.faults:
		return faultNone
	}
	return []fault{faultNone, faultNone, faultNone, faultNone, faultNone, faultNone, faultRequestLost, faultAnswerLost, faultDelayed, faultNotSent}[w.intN(10)]
}

func (w *simulation) poll(o *simOwner, m *simWorker) {
	ack, _ := o.cell.AckWatermark(m.info.ID)
	var deadline time.Time
	if o.cell.MayRenewLease(m.info.ID) {
		deadline = w.now.Add(simLease)
		o.leaseExpiry[m.info.ID] = latest(o.leaseExpiry[m.info.ID], deadline)
	}
	born := m.info.Incarnation
	call := func() (*Report, bool) {
		if !m.alive || !m.info.Incarnation.Equal(born) {
			return nil, false
		}
		return w.handlePoll(o, m, ack, deadline)
	}
	switch w.drawFault(m) {
	case faultNone:
		report, ok := call()
		if !ok {
			o.deposed = true
			return
		}
		o.cell.HandleReport(report, w.now)
		o.cell.ResendStops(m.info.ID, w.now)
		return
	case faultAnswerLost:
		call()
	case faultDelayed:
		w.delayedCalls = append(w.delayedCalls, delayedCall{w.delayedUntil(), func() { call() }})
	case faultRequestLost, faultNotSent:
	}
	o.cell.MarkUnreachable(m.info.ID, w.now)
}

func (w *simulation) delayedUntil() time.Time {
	return w.now.Add(time.Duration(2+w.intN(10)) * time.Second)
}

// handlePoll is the worker's side of a poll; it reports false where it has seen a later owner.
func (w *simulation) handlePoll(o *simOwner, m *simWorker, ack uint64, deadline time.Time) (*Report, bool) {
	if o.fence < m.fence {
		return nil, false
	}
	m.fence = o.fence
	m.lease = latest(m.lease, deadline)
	for _, e := range m.ended {
		if e.Sequence <= ack && e.Sequence > m.ackSequence {
			w.recordAcked(e)
		}
	}
	m.ackSequence = max(m.ackSequence, ack)
	m.ended = slices.DeleteFunc(m.ended, func(e RunEnd) bool { return e.Sequence <= ack })
	report := &Report{Worker: m.info.ID, Incarnation: m.info.Incarnation, RequestedAt: w.now, Ended: slices.Clone(m.ended)}
	for _, key := range slices.SortedFunc(maps.Keys(m.runs), compareTaskKeys) {
		report.Running = append(report.Running, RunStatus{Task: key, Run: m.runs[key].number})
	}
	return report, true
}

// recordAcked takes an end as acknowledged: it must be durable by then.
func (w *simulation) recordAcked(e RunEnd) {
	switch e.Kind {
	case EndDone:
		w.ackedDone[e.Task] = true
	case EndFailed:
		if w.failures[e.Task] == nil {
			w.failures[e.Task] = map[int]bool{}
		}
		w.failures[e.Task][e.Run] = true
	case EndStopped, EndLeaseExpired, EndGangBroken, EndGangTimeout:
	}
}

func (w *simulation) sendStart(o *simOwner, order *StartOrder) {
	m := w.worker(order.Worker)
	deadline := w.now.Add(simStartWindow)
	o.leaseExpiry[m.info.ID] = latest(o.leaseExpiry[m.info.ID], deadline)
	born := m.info.Incarnation
	call := func() StartResult {
		if !m.alive || !m.info.Incarnation.Equal(born) {
			return StartWorkerRestarted
		}
		return w.handleStart(o, m, order, deadline)
	}
	result := StartUnanswered
	switch w.drawFault(m) {
	case faultNone:
		result = call()
	case faultAnswerLost:
		call()
	case faultDelayed:
		w.delayedCalls = append(w.delayedCalls, delayedCall{w.delayedUntil(), func() { call() }})
	case faultNotSent:
		result = StartNotSent
	case faultRequestLost:
	}
	if result == StartStaleFence {
		o.deposed = true
		return
	}
	o.cell.HandleStartResult(order, result, w.now)
}

// handleStart is the worker's side of a start order, with the checks of what must always hold.
func (w *simulation) handleStart(o *simOwner, m *simWorker, order *StartOrder, deadline time.Time) StartResult {
	switch {
	case o.fence < m.fence:
		return StartStaleFence
	case w.now.After(deadline):
		return StartDeadlineExceeded
	}
	m.fence = o.fence
	m.lease = latest(m.lease, deadline)
	if r, ok := m.runs[order.Task]; ok && r.number == order.Run {
		return StartAccepted
	}
	if order.Run <= m.highestStopped[order.Task] {
		return StartSupersededRun
	}
	w.record("%s: starts %s run %d of owner %d", m.info.ID, order.Task, order.Run, o.fence)
	w.checkStart(o, m, order)
	step := w.jobs[order.Task.Job].Steps[order.Task.Step]
	r := &simRun{number: order.Run, endsAt: w.now.Add(step.Estimate), fails: w.intN(20) == 0}
	if _, there := m.runs[order.Task]; there {
		w.finish(m, order.Task, EndStopped)
	}
	m.runs[order.Task] = r
	return StartAccepted
}

func (w *simulation) checkStart(o *simOwner, m *simWorker, order *StartOrder) {
	s := w.jobs[order.Task.Job]
	step := &s.Steps[order.Task.Step]
	if w.ackedDone[order.Task] {
		w.violate("twice: %s starts after its end as done was acknowledged", order.Task)
	}
	if n := len(w.failures[order.Task]); n >= w.policy.MaxAttempts && !step.Gang {
		w.violate("budget: %s starts after %d failures", order.Task, n)
	}
	// A former owner may not know yet that its successor has ended a job; what it may not do is checked above.
	if _, over := w.ended[s.ID]; over && o == w.currentOwner() {
		w.violate("unasked: %s starts after its job has ended", order.Task)
	}
	for _, before := range step.After {
		for index := range s.Steps[before].Count {
			key := cwwork.TaskKey{StepKey: cwwork.StepKey{Job: s.ID, Occurrence: order.Task.Occurrence, Step: before}, Index: index}
			if !w.isDone(key) {
				w.violate("order: %s starts before %s is done", order.Task, key)
			}
		}
	}
	w.checkRoom(m, order, step)
	for _, other := range w.workers {
		if _, there := other.runs[order.Task]; there && other != m && other.alive {
			w.violate("twice: %s starts on %s and runs on %s", order.Task, m.info.ID, other.info.ID)
		}
	}
}

// checkRoom holds that a start does not overfill its worker.
func (w *simulation) checkRoom(m *simWorker, order *StartOrder, step *cwwork.Step) {
	used, same := step.Need, 0
	for key := range m.runs {
		if other := w.jobs[key.Job].Steps[key.Step]; (other.Fills && step.TailLimit > 0) || (other.TailLimit > 0 && step.Fills) {
			w.violate("harm: %s starts beside %s on %s", order.Task, key, m.info.ID)
		}
		used = used.Plus(w.jobs[key.Job].Steps[key.Step].Need)
		if key.StepKey == order.Task.StepKey {
			same++
		}
	}
	if !used.FitsIn(m.info.Capacity) {
		w.violate("limit: %s on %s needs %s", order.Task, m.info.ID, used)
	}
	if step.AntiAffinity > 0 && same >= step.AntiAffinity {
		w.violate("anti-affinity: %s on %s", order.Task, m.info.ID)
	}
}

// isDone reports whether a task, or a member of its gang, has ended as done, durably or on a worker's list.
func (w *simulation) isDone(key cwwork.TaskKey) bool {
	gang := w.jobs[key.Job].Steps[key.Step].Gang
	match := func(k cwwork.TaskKey) bool { return k == key || (gang && k.StepKey == key.StepKey) }
	for k := range w.ackedDone {
		if match(k) {
			return true
		}
	}
	if w.isDurable(key, gang) {
		return true
	}
	for _, m := range w.workers {
		for _, e := range m.ended {
			if e.Kind == EndDone && match(e.Task) {
				return true
			}
		}
	}
	return false
}

// isDurable reports whether the store holds that a task is done.
func (w *simulation) isDurable(key cwwork.TaskKey, gang bool) bool {
	p := w.progress[key.Job]
	return p != nil && slices.ContainsFunc(p.Steps, func(s cwwork.StepProgress) bool {
		return s.Occurrence == key.Occurrence && s.Step == key.Step && (slices.Contains(s.Done, key.Index) || (gang && len(s.Done) > 0))
	})
}

func (w *simulation) record(format string, args ...any) {
	w.history = append(w.history, w.now.Format("05.000 ")+fmt.Sprintf(format, args...))
}

func (w *simulation) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%s: ", w.now.Format("05.000"))+fmt.Sprintf(format, args...))
}

func (w *simulation) worker(id cwmodel.HostID) *simWorker {
	for _, m := range w.workers {
		if m.info.ID == id {
			return m
		}
	}
	panic("no worker " + string(id))
}

func (w *simulation) sendStop(o *simOwner, order *StopOrder) {
	m := w.worker(order.Worker)
	call := func() bool {
		if !m.alive || o.fence < m.fence {
			return false
		}
		m.fence = o.fence
		m.highestStopped[order.Task] = max(m.highestStopped[order.Task], order.Run)
		if r, ok := m.runs[order.Task]; ok && r.number <= order.Run && r.stopAt.IsZero() {
			r.stopAt = w.now.Add(100 * time.Millisecond)
		}
		return true
	}
	ok := false
	switch w.drawFault(m) {
	case faultNone:
		ok = call()
	case faultAnswerLost:
		call()
	case faultDelayed:
		w.delayedCalls = append(w.delayedCalls, delayedCall{w.delayedUntil(), func() { call() }})
	case faultRequestLost, faultNotSent:
	}
	o.cell.HandleStopResult(order, ok, w.now)
}
