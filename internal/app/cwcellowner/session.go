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

// session is the state of one tenure. All of it belongs to the owner's duty.
type session struct {
	owner     *Owner
	tenure    cwlease.Grant
	cell      *cwcell.Cell
	loaded    bool
	counted   bool // every job is known
	parts     map[string]*part
	partNames []string // keys of parts, in order
	division  division
	progress  map[cwmodel.JobID]*cwwork.Progress // of the part that is being read; nil otherwise
	links     map[cwmodel.HostID]*link
	ready     []*link // links that wait for their next call
	advice    advisers
	commits   commits
	cancels   map[cwmodel.JobID][]func()
	cleanup   cwduty.Cleanup
	closed    bool
	status    time.Time
	decideAt  time.Time // when the next decision may be made
	waiters   time.Time // when the log last named the work that waits
	began     time.Time
}

// offered is one job with the version of its row.
type offered struct {
	submission *cwwork.Submission
	version    uint64
}

// newSession begins a tenure: it reads the store, then calls the workers.
func newSession(o *Owner, t cwlease.Grant, now time.Time) *session {
	s := &session{
		owner:   o,
		tenure:  t,
		links:   map[cwmodel.HostID]*link{},
		cancels: map[cwmodel.JobID][]func(){},
		parts:   map[string]*part{},
		commits: commits{
			cell:    part{loaded: true, chain: t.ChainVersion, chainRow: o.opts.Cell.RowName(cwlease.RowChain)},
			written: map[cwmodel.JobID]struct{}{}, cancelled: map[cwmodel.JobID]struct{}{},
		},
		began: now,
	}
	for n := range o.opts.Store.Partitions {
		if name := cwlayout.PartitionName(n); t.Layout.CellOfPartition(n) == o.opts.Cell {
			s.parts[name] = &part{name: name, chainRow: keyChain}
			s.partNames = append(s.partNames, name)
		}
	}
	s.cell = cwcell.New(cwcell.Options{
		Seed:             o.opts.Seed ^ t.Fence,
		RunNumberBase:    (t.Term - 1) * runsPerTerm,
		PriorLeaseExpiry: t.PriorLeaseExpiry,
		StatusRetention:  o.opts.StatusRetention,
		StopTimeout:      o.opts.StopTimeout,
		Policy:           o.opts.Policy,
		LeaseExpiry:      o.opts.Workers.LeaseExpiry,
	})
	s.advice = newAdvisers(s)
	s.cleanup.Add(o.opts.Timer.Every(tickPeriod, func(time.Time) { o.inbox.Offer(func(time.Time) {}) }))
	s.cleanup.Add(cwduty.Start("load-workers", s.load))
	return s
}

// runsPerTerm separates the run numbers of one owner from those of the next; no task is started as often by one owner.
const runsPerTerm = 1000

// close ends the tenure. Calls that are under way end by themselves; what they bring is dropped.
func (s *session) close() {
	s.closed = true
	s.owner.opts.Log.WithFields(cwlog.Fields{"cell": s.owner.opts.Cell, "fence": s.tenure.Fence, "after": s.owner.opts.Timer.Now().Sub(s.began)}).Info("cell-left")
	for id := range s.links {
		s.dropLink(id)
	}
	// Duties of the session may wait for the inbox, which this duty drains.
	go s.cleanup.Run()
}

// post hands an event of this session to the owner's duty; it is dropped once the session has ended.
func (s *session) post(handle func(now time.Time)) {
	s.owner.post(func(now time.Time) {
		if !s.closed {
			handle(now)
		}
	})
}

// submit runs a call that may block on the pool.
func (s *session) submit(what string, call func()) bool {
	if err := s.owner.opts.Pool.Submit(call); err != nil {
		s.owner.opts.Log.WithFields(cwlog.Fields{"call": what, "error": err.Error()}).Warn("pool-full")
		return false
	}
	return true
}

// step carries out what the events since the last step have led to.
func (s *session) step(now time.Time) {
	if !s.loaded {
		return
	}
	holds := s.owner.opts.HoldsLease(now)
	if holds && !now.Before(s.decideAt) {
		effects := s.cell.Decide(now, s.wall())
		took := s.owner.opts.Timer.Now().Sub(now)
		s.decideAt = now.Add(min(decideShare*took, longestDecidePause))
		s.carryOut(effects, now)
	}
	s.commit(now)
	s.advice.dispatch(now)
	s.poll(now, holds)
	s.publish(now)
}

func (s *session) wall() time.Time { return wallClock() }

// carryOut sends the orders of a decision.
func (s *session) carryOut(e cwcell.Effects, now time.Time) {
	for n := range e.LogEntries {
		s.logNote(&e.LogEntries[n])
	}
	for _, b := range e.StartedJobs {
		s.owner.opts.Observe(Observation{Event: EventStarted, Queue: b.Queue, Took: s.wall().Sub(b.AcceptedAt)})
	}
	for n := range e.Stops {
		s.sendStop(&e.Stops[n])
	}
	s.sendStarts(e.Starts)
	for n := range e.AdviceRequests {
		s.advice.add(&asked{question: e.AdviceRequests[n], since: now})
	}
}

// logNote writes one decision to the log.
func (s *session) logNote(n *cwcell.LogEntry) {
	fields := cwlog.Fields{"fence": s.tenure.Fence}
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

// publish tells the peers how many jobs wait.
func (s *session) publish(now time.Time) {
	if now.Sub(s.status) < statusPeriod {
		return
	}
	s.status = now
	if s.counted {
		list := []cwcellport.QueueLength{}
		for queue, n := range s.cell.QueueLengths() {
			list = append(list, cwcellport.QueueLength{Queue: queue, Waiting: n})
		}
		s.owner.waiting.Store(&list)
	}
	s.logWaiters(now)
	s.considerDividing(now)
	for _, id := range s.cell.EvictableWorkers(now) {
		s.dropLink(id)
		s.cell.EvictWorker(id)
	}
}

const (
	// decideShare bounds the part of the processor that decisions take: one in so many moments.
	decideShare = 3
	// longestDecidePause bounds what that costs in latency; a tick comes later than this.
	longestDecidePause = 40 * time.Millisecond
)

// Bounds of the lines about work that waits.
const (
	waiterAge    = 5 * time.Second
	waiterPeriod = 5 * time.Second
	waiterLines  = 10
)

// logWaiters names the work that has waited for long and what keeps it.
func (s *session) logWaiters(now time.Time) {
	if now.Sub(s.waiters) < waiterPeriod {
		return
	}
	s.waiters = now
	jobs, waiting, workers := s.cell.Counts(now)
	for _, w := range s.cell.LongWaitingGroups(waiterAge, waiterLines, now) {
		s.owner.opts.Log.WithFields(cwlog.Fields{
			"step": w.Step.String(), "tasks": w.Tasks, "need": w.Need.String(), "requires": w.Label, "waited": now.Sub(w.Since), "good-workers": w.Eligible,
			"asking": w.AdvicePending, "settled": w.Recovered, "jobs": jobs, "waiting-steps": waiting, "usable-workers": workers,
		}).Info("tasks-waiting")
	}
}

// admit adds a job that was accepted under this owner. One from before the fence moved was read with its part, or has ended.
func (s *session) admit(j *cwwork.Submission, version uint64, now time.Time) {
	p := s.partOf(j.ID)
	if p == nil {
		return // of another cell
	}
	if !p.loaded {
		p.offers = append(p.offers, offered{j, version})
		return
	}
	if version > p.fenced && s.cell.Admit(j, nil, false, now, s.wall()) {
		s.owner.opts.Log.WithFields(cwlog.Fields{
			"job": j.ID, "queue": j.Queue, "version": version, "age": s.wall().Sub(j.AcceptedAt),
		}).Info("job-admitted")
	}
}
