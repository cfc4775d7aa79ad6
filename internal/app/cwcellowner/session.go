package cwcellowner

import (
	"time"

	"currantward/internal/app/cwlease"
	"currantward/internal/base/cwduty"
	"currantward/internal/base/cwlog"
	"currantward/internal/core/cwcell"
	"currantward/internal/core/cwlayout"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
	"currantward/internal/port/cwcellport"
)

// session is the state of one period of ownership. Only the owner's duty accesses it.
type session struct {
	owner           *Owner
	grant           cwlease.Grant
	cell            *cwcell.Cell
	workersLoaded   bool
	jobsLoaded      bool // in all partitions
	partitions      map[string]*partition
	partitionNames  []string // keys of partitions, sorted
	division        division
	progress        map[cwmodel.JobID]*cwwork.Progress // of the partition that is being applied; nil otherwise
	links           map[cwmodel.HostID]*workerLink
	idleLinks       []*workerLink // links without a call in flight
	advice          adviceDispatcher
	commits         commitState
	cancelWaiters   map[cwmodel.JobID][]func()
	cleanup         cwduty.Cleanup
	closed          bool
	maintainedAt    time.Time
	nextDecisionAt  time.Time // earliest next decision
	waitersLoggedAt time.Time // last log of waiting tasks
	startedAt       time.Time
}

// deferredJob is a job, with the version of its row, that arrived before its partition was loaded.
type deferredJob struct {
	submission *cwwork.Submission
	version    uint64
}

// newSession starts a session and the read of the workers, which is followed by the calls to them.
func newSession(o *Owner, g cwlease.Grant, now time.Time) *session {
	s := &session{
		owner:         o,
		grant:         g,
		links:         map[cwmodel.HostID]*workerLink{},
		cancelWaiters: map[cwmodel.JobID][]func(){},
		partitions:    map[string]*partition{},
		commits: commitState{
			cellPartition: partition{loaded: true, chainVersion: g.ChainVersion, chainRow: o.opts.Cell.RowName(cwlease.RowChain)},
			withProgress:  map[cwmodel.JobID]struct{}{}, withCancellation: map[cwmodel.JobID]struct{}{},
		},
		startedAt: now,
	}
	for n := range o.opts.Store.Partitions {
		if name := cwlayout.PartitionName(n); g.Layout.CellOfPartition(n) == o.opts.Cell {
			s.partitions[name] = &partition{name: name, chainRow: keyChain}
			s.partitionNames = append(s.partitionNames, name)
		}
	}
	s.cell = cwcell.New(cwcell.Options{
		Seed:             o.opts.Seed ^ g.Fence,
		RunNumberBase:    (g.Term - 1) * runsPerTerm,
		PriorLeaseExpiry: g.PriorLeaseExpiry,
		StatusRetention:  o.opts.StatusRetention,
		StopTimeout:      o.opts.StopTimeout,
		Policy:           o.opts.Policy,
		LeaseExpiry:      o.opts.Workers.LeaseExpiry,
	})
	s.advice = newAdviceDispatcher(s)
	s.cleanup.Add(o.opts.Timer.Every(tickPeriod, func(time.Time) { o.inbox.Offer(func(time.Time) {}) }))
	s.cleanup.Add(cwduty.Start("load-workers", s.loadWorkers))
	return s
}

// runsPerTerm separates the run numbers of one owner from those of the next; no owner starts a task that often.
const runsPerTerm = 1000

// close ends the session. Calls in flight are not cancelled; their results are dropped.
func (s *session) close() {
	s.closed = true
	s.owner.opts.Log.WithFields(cwlog.Fields{"cell": s.owner.opts.Cell, "fence": s.grant.Fence, "after": s.owner.opts.Timer.Now().Sub(s.startedAt)}).Info("cell-left")
	for id := range s.links {
		s.dropLink(id)
	}
	// Not awaited here: the session's duties may block on the inbox, which this duty drains.
	go s.cleanup.Run()
}

// post sends an event of this session to the owner's duty, which drops it if the session has ended.
func (s *session) post(handle func(now time.Time)) {
	s.owner.post(func(now time.Time) {
		if !s.closed {
			handle(now)
		}
	})
}

// runOnPool runs a blocking call on the pool and reports whether the pool accepted it.
func (s *session) runOnPool(what string, call func()) bool {
	if err := s.owner.opts.Pool.Submit(call); err != nil {
		s.owner.opts.Log.WithFields(cwlog.Fields{"call": what, "error": err.Error()}).Warn("pool-full")
		return false
	}
	return true
}

// step makes a decision if one is due, and sends the writes, advice requests and worker calls that are due.
func (s *session) step(now time.Time) {
	if !s.workersLoaded {
		return
	}
	holdsLease := s.owner.opts.HoldsLease(now)
	if holdsLease && !now.Before(s.nextDecisionAt) {
		effects := s.cell.Decide(now, s.wall())
		took := s.owner.opts.Timer.Now().Sub(now)
		s.nextDecisionAt = now.Add(min(decisionTimeShare*took, maxDecisionPause))
		s.applyEffects(effects, now)
	}
	s.commit(now)
	s.advice.dispatch(now)
	s.pollWorkers(now, holdsLease)
	s.maintain(now)
}

func (s *session) wall() time.Time { return wallClock() }

// applyEffects logs a decision and sends its orders and advice requests.
func (s *session) applyEffects(e cwcell.Effects, now time.Time) {
	for n := range e.LogEntries {
		s.logDecision(&e.LogEntries[n])
	}
	for _, b := range e.StartedJobs {
		s.owner.opts.Observe(Observation{Event: EventStarted, Queue: b.Queue, Duration: s.wall().Sub(b.AcceptedAt)})
	}
	for n := range e.Stops {
		s.sendStop(&e.Stops[n])
	}
	s.sendStarts(e.Starts)
	for n := range e.AdviceRequests {
		s.advice.enqueue(&pendingRequest{request: e.AdviceRequests[n], requestedAt: now})
	}
}

// logDecision writes one log entry of a decision.
func (s *session) logDecision(n *cwcell.LogEntry) {
	fields := cwlog.Fields{"fence": s.grant.Fence}
	if n.Job != "" {
		fields["job"] = n.Job
	}
	if n.Task.Job != "" {
		fields["task"] = n.Task.String()
	}
	if n.Worker != "" {
		fields["worker"] = n.Worker
	}
	if n.Run != 0 {
		fields["run"] = n.Run
	}
	if n.Detail != "" {
		fields["detail"] = n.Detail
	}
	s.owner.opts.Log.WithFields(fields).Info(n.Event)
	s.owner.opts.Observe(Observation{Event: n.Event})
}

// maintain updates the queue lengths for the peers, and does the other periodic tasks.
func (s *session) maintain(now time.Time) {
	if now.Sub(s.maintainedAt) < maintenancePeriod {
		return
	}
	s.maintainedAt = now
	if s.jobsLoaded {
		list := []cwcellport.QueueLength{}
		for queue, n := range s.cell.QueueLengths() {
			list = append(list, cwcellport.QueueLength{Queue: queue, Waiting: n})
		}
		s.owner.queueLengths.Store(&list)
	}
	s.logWaitingTasks(now)
	s.considerDivision(now)
	for _, id := range s.cell.EvictableWorkers(now) {
		s.dropLink(id)
		s.cell.EvictWorker(id)
	}
}

const (
	// decisionTimeShare is the reciprocal of the largest share of processor time that decisions take.
	decisionTimeShare = 3
	// maxDecisionPause bounds the latency that this limit adds; it is shorter than a tick.
	maxDecisionPause = 40 * time.Millisecond
)

// Limits of the log lines about waiting tasks.
const (
	minLoggedWait   = 5 * time.Second
	waiterLogPeriod = 5 * time.Second
	maxWaiterLines  = 10
)

// logWaitingTasks logs the tasks that have waited longest and what they wait for.
func (s *session) logWaitingTasks(now time.Time) {
	if now.Sub(s.waitersLoggedAt) < waiterLogPeriod {
		return
	}
	s.waitersLoggedAt = now
	jobs, waiting, workers := s.cell.Counts(now)
	for _, w := range s.cell.LongWaitingGroups(minLoggedWait, maxWaiterLines, now) {
		s.owner.opts.Log.WithFields(cwlog.Fields{
			"step": w.Step.String(), "tasks": w.Tasks, "need": w.Demand.String(), "requires": w.RequiredLabel, "waited": now.Sub(w.WaitingSince), "good-workers": w.EligibleWorkers,
			"asking": w.AdvicePending, "settled": w.RunsReconciled, "jobs": jobs, "waiting-steps": waiting, "usable-workers": workers,
		}).Info("tasks-waiting")
	}
}

// admit adds a job that was accepted under this owner. A job older than the fence row was read when its partition was loaded,
// or has ended.
func (s *session) admit(j *cwwork.Submission, version uint64, now time.Time) {
	p := s.partitionOf(j.ID)
	if p == nil {
		return // belongs to another cell
	}
	if !p.loaded {
		p.deferredJobs = append(p.deferredJobs, deferredJob{j, version})
		return
	}
	if version > p.fenceVersion && s.cell.Admit(j, nil, false, now, s.wall()) {
		s.owner.opts.Log.WithFields(cwlog.Fields{
			"job": j.ID, "queue": j.Queue, "version": version, "age": s.wall().Sub(j.AcceptedAt),
		}).Info("job-admitted")
	}
}
