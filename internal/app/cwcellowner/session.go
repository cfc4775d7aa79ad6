package cwcellowner

import (
	"sync/atomic"
	"time"

	"currantward/internal/adapter/cwcellcodec"
	"currantward/internal/app/cwlease"
	"currantward/internal/base/cwduty"
	"currantward/internal/base/cwlog"
	"currantward/internal/core/cwcell"
	"currantward/internal/core/cwclock"
	"currantward/internal/core/cwlayout"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
	"currantward/internal/port/cwcellport"
)

// session is the state of an owner under one lease, from its acquisition to its loss. Only the owner's duty accesses it.
type session struct {
	owner           *Owner
	grant           cwlease.Grant
	cell            *cwcell.Cell
	workersLoaded   bool // the workers have been read
	jobsLoaded      bool // the jobs of all partitions have been read
	partitions      map[string]*partition
	partitionNames  []string // keys of partitions, sorted
	division        division
	registrySentAt  time.Time                          // when the latest successful call for the platform's registry was sent
	paused          bool                               // the cell starts no tasks
	jobProgress     map[cwmodel.JobID]*cwwork.Progress // of the jobs of the partition that is being applied; nil at other times
	unconfirmedJobs []unconfirmedJob                   // jobs from rows that await a renewal of the lease
	links           map[cwmodel.HostID]*workerLink
	idleLinks       []*workerLink // links without a call in flight
	advice          adviceDispatcher
	commits         commitState
	cancelWaiters   map[cwmodel.JobID][]func() // called when the end of a cancelled job is durable
	reconnecting    atomic.Int32               // links that call a worker again and again until it is back
	cleanup         cwduty.Cleanup
	closed          bool      // the session has ended; its events are dropped
	maintainedAt    time.Time // last call of runMaintenance that was due
	nextDecisionAt  time.Time // earliest next decision
	waitersLoggedAt time.Time // last time at which waiting tasks were logged
	startedAt       time.Time
}

// deferredJob is a job whose notification arrived before its partition was loaded, with the version of its row.
type deferredJob struct {
	submission *cwwork.Submission
	version    uint64
}

// newSession returns a session and starts to read the workers; startRecovery continues when they have been read.
func newSession(o *Owner, g cwlease.Grant, now time.Time) *session {
	s := &session{
		owner:         o,
		grant:         g,
		links:         map[cwmodel.HostID]*workerLink{},
		cancelWaiters: map[cwmodel.JobID][]func(){},
		partitions:    map[string]*partition{},
		commits:       newCommitState(partition{loaded: true, chainVersion: g.ChainVersion, chainRowName: o.opts.Cell.RowName(cwlease.RowChain)}),
		startedAt:     now,
	}
	for n := range o.opts.Store.Partitions {
		if name := cwlayout.PartitionName(n); g.Layout.CellOfPartition(n) == o.opts.Cell {
			s.partitions[name] = &partition{name: name, chainRowName: keyChain}
			s.partitionNames = append(s.partitionNames, name)
		}
	}
	s.cell = cwcell.New(cwcell.Options{
		Seed:             o.opts.Seed ^ g.Fence,
		RunNumberBase:    (g.Term - 1) * runsPerTerm,
		PriorLeaseExpiry: g.PriorLeaseExpiry,
		Term:             g.Term,
		FormerOwners:     g.FormerOwners,
		StatusRetention:  o.opts.StatusRetention,
		TaskLease:        o.opts.TaskLease,
		MaxTaskLease:     cwclock.LongestLease(o.opts.MaxTaskLease),
		StopTimeout:      o.opts.StopTimeout,
		Policy:           o.opts.Policy,
		LeaseExpiry:      o.opts.Workers.LeaseExpiry,
		OwnedUntil:       func() time.Time { return o.opts.OwnedUntil(g.Fence) },
		RegistryReadAt:   func() time.Time { return s.registrySentAt },
		MaxStoredOccurrences: func(j *cwwork.Submission) int {
			return cwcellcodec.MaxStoredOccurrences(j, o.maxRowBytes())
		},
	})
	s.advice = newAdviceDispatcher(s)
	// An event without an action makes the owner's duty call step at each tick.
	s.cleanup.Add(o.opts.Timer.Every(tickPeriod, func(time.Time) { o.inbox.Offer(func(time.Time) {}) }))
	s.cleanup.Add(cwduty.Start("load-workers", s.loadWorkers))
	return s
}

// runsPerTerm is the number of run numbers of a task that each owner may use. No owner starts a task that often, so the runs of
// different owners differ in their numbers.
const runsPerTerm = 1000

// close ends the session. Calls in flight are not cancelled; their results are dropped.
func (s *session) close() {
	s.closed = true
	s.owner.opts.Log.WithFields(cwlog.Fields{"cell": s.owner.opts.Cell, "fence": s.grant.Fence, "after": s.owner.opts.Timer.Now().Sub(s.startedAt)}).Info("cell-left")
	for id := range s.links {
		s.dropLink(id)
	}
	// This duty must not wait for the session's duties to end: they may block on its inbox, which it drains.
	go s.cleanup.Run()
}

// post sends an event of this session to the owner's duty, which ignores it if the session has ended by then.
func (s *session) post(handle func(now time.Time)) {
	s.owner.post(func(now time.Time) {
		if !s.closed {
			handle(now)
		}
	})
}

// holdsLease reports whether this host holds the valid lease of this session now. Calls check it again right before they are sent,
// since the host may have been suspended after the decision, or the session may have ended: a call under its fence is refused only by
// workers that a later owner has called. Any goroutine may call it.
func (s *session) holdsLease() bool {
	o := &s.owner.opts
	return o.HoldsLease(o.Timer.Now()) && !o.OwnedUntil(s.grant.Fence).IsZero()
}

// runOnPool runs a blocking call on the pool and reports whether the pool accepted it.
func (s *session) runOnPool(what string, call func()) bool {
	if err := s.owner.opts.Pool.Submit(call); err != nil {
		s.owner.opts.Log.WithFields(cwlog.Fields{"call": what, "error": err.Error()}).Warn("pool-full")
		return false
	}
	return true
}

// step makes a scheduling decision if one is due, sends the writes, advice requests and worker calls that are due, and runs the
// maintenance. Without a valid lease it makes no decision. Before the workers have been read, it does nothing.
func (s *session) step(now time.Time) {
	if !s.workersLoaded {
		return
	}
	s.admitConfirmedJobs(now)
	s.updatePause(now)
	holdsLease := s.owner.opts.HoldsLease(now)
	if holdsLease && !now.Before(s.nextDecisionAt) {
		effects := s.cell.Decide(now, s.wallTime())
		took := s.owner.opts.Timer.Now().Sub(now)
		s.nextDecisionAt = now.Add(min(decisionPauseFactor*took, maxDecisionPause))
		s.applyEffects(effects, now)
	}
	s.commit(now)
	s.advice.dispatch(now)
	s.pollWorkers(now, holdsLease)
	s.runMaintenance(now)
}

// maxRegistryAge is how old the state of the workers in the platform's registry may be for a start: they may drain, or have less capacity.
const maxRegistryAge = 3 * time.Second

// updatePause suspends the start of tasks during a division, and while the registry was not read for maxRegistryAge.
func (s *session) updatePause(now time.Time) {
	isStale := now.Sub(s.registrySentAt) > maxRegistryAge
	paused := isStale || !s.division.phaseStartedAt.IsZero()
	if paused == s.paused {
		return
	}
	s.paused = paused
	s.cell.SetPaused(paused)
	s.owner.opts.Log.WithFields(cwlog.Fields{
		"cell": s.owner.opts.Cell, "paused": paused, "registry-age": now.Sub(s.registrySentAt), "division": !s.division.phaseStartedAt.IsZero(),
	}).Info("starts-paused")
}

// wallTime returns the wall-clock time, for the times that jobs record; all other times are readings of the host's timer.
func (s *session) wallTime() time.Time { return wallClock() }

// applyEffects carries out a decision: it logs its entries, sends its stop and start orders and queues its advice requests.
func (s *session) applyEffects(e cwcell.Effects, now time.Time) {
	for n := range e.LogEntries {
		s.logDecision(&e.LogEntries[n])
	}
	for _, job := range e.StartedJobs {
		s.owner.opts.Observe(Observation{Event: EventStarted, Queue: job.Queue, Duration: s.wallTime().Sub(job.AcceptedAt)})
	}
	for n := range e.Stops {
		s.sendStop(&e.Stops[n])
	}
	s.sendStarts(e.Starts)
	for n := range e.AdviceRequests {
		s.advice.enqueue(&pendingRequest{request: e.AdviceRequests[n], requestedAt: now})
	}
}

// logDecision logs one entry of a decision, without the fields that are empty, and reports it to the metrics.
func (s *session) logDecision(entry *cwcell.LogEntry) {
	fields := cwlog.Fields{"fence": s.grant.Fence}
	if entry.Job != "" {
		fields["job"] = entry.Job
	}
	if entry.Task.Job != "" {
		fields["task"] = entry.Task.String()
	}
	if entry.Worker != "" {
		fields["worker"] = entry.Worker
	}
	if entry.Run != 0 {
		fields["run"] = entry.Run
	}
	if entry.Detail != "" {
		fields["detail"] = entry.Detail
	}
	if !entry.Incarnation.IsZero() {
		fields["incarnation"] = entry.Incarnation.UnixMilli()
	}
	if entry.Survived != nil {
		fields["survived"] = *entry.Survived
	}
	s.owner.opts.Log.WithFields(fields).Info(entry.Event)
	s.owner.opts.Observe(Observation{Event: entry.Event})
}

// runMaintenance does the periodic work, once in maintenancePeriod: it updates the queue lengths for the peers, logs the tasks
// that wait long, considers a division of the cell and evicts unlisted, unreachable workers without runs.
func (s *session) runMaintenance(now time.Time) {
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
	s.considerCellDivision(now)
	for _, id := range s.cell.EvictableWorkers(now) {
		s.dropLink(id)
		s.cell.EvictWorker(id)
	}
}

const (
	// decisionPauseFactor is the shortest time between the starts of two decisions, in durations of the first one. Decisions
	// thus take at most a third of one processor.
	decisionPauseFactor = 3
	// maxDecisionPause bounds the time between two decisions that decisionPauseFactor requires; it is shorter than a
	// tick. Decisions that take longer than a third of it thus take a larger share.
	maxDecisionPause = 40 * time.Millisecond
)

// Limits of the log lines about waiting tasks.
const (
	minLoggedWait   = 5 * time.Second // shorter waits are not logged
	waiterLogPeriod = 5 * time.Second
	maxWaiterLines  = 10 // in each period
)

// logWaitingTasks logs, once in waiterLogPeriod, up to maxWaiterLines groups of tasks that have waited for minLoggedWait or
// longer, and what they need.
func (s *session) logWaitingTasks(now time.Time) {
	if now.Sub(s.waitersLoggedAt) < waiterLogPeriod {
		return
	}
	s.waitersLoggedAt = now
	jobs, waiting, workers := s.cell.Counts(now)
	for _, w := range s.cell.LongWaitingGroups(minLoggedWait, maxWaiterLines, now) {
		s.owner.opts.Log.WithFields(cwlog.Fields{
			"step": w.Step.String(), "tasks": w.Tasks, "need": w.Demand.String(), "requires": w.RequiredLabel, "waited": now.Sub(w.WaitingSince), "good-workers": w.EligibleWorkers,
			"asking": w.AdvicePending, "unproven": w.Unproven, "settled": w.RunsReconciled, "jobs": jobs, "waiting-steps": waiting, "usable-workers": workers,
		}).Info("tasks-waiting")
	}
}

// admit adds a job that was accepted under this owner; version is that of its row. A row that is not newer than the fence row
// is ignored: its job was read when the partition was loaded, or has ended. A job of a partition that is not loaded is
// deferred.
func (s *session) admit(j *cwwork.Submission, version uint64, now time.Time) {
	p := s.partitionOf(j.ID)
	if p == nil {
		return // belongs to another cell
	}
	if !p.loaded {
		p.deferredJobs = append(p.deferredJobs, deferredJob{j, version})
		return
	}
	if version > p.fenceVersion && s.admitToCell(j, version, nil, false, now) {
		s.owner.opts.Log.WithFields(cwlog.Fields{
			"job": j.ID, "queue": j.Queue, "version": version, "age": s.wallTime().Sub(j.AcceptedAt),
		}).Info("job-admitted")
	}
}
