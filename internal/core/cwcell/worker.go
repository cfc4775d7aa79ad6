package cwcell

import (
	"slices"
	"time"

	"currantward/internal/core/cwevidence"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// WorkerInfo is a worker's entry in the platform's list.
type WorkerInfo struct {
	ID         cwmodel.HostID
	Service    string
	DataCentre cwmodel.DataCentre
	Rack       string
	Labels     []string
	Capacity   cwmodel.Resources
	Draining   bool
	// Incarnation is the start time of its process, by the time of day of its host. It identifies the incarnation: that of a later
	// one may be lower. Zero: the entry does not name it.
	Incarnation time.Time
}

// worker is the cell's state of one worker.
type worker struct {
	WorkerInfo
	bit               uint // in the bit sets of Cell.freedCapacity and of eligibility
	allocated         cwmodel.Resources
	runs              map[cwwork.TaskKey]*run
	listedIncarnation time.Time // incarnation in the platform's list, which may be older or newer than the one that reported
	listed            bool      // in the platform's list
	unlistedAt        time.Time // when it left the list; valid while listed is false
	hasReported       bool      // its present incarnation has answered a poll of this owner, and is settled
	unsettled         bool      // calls that were meant for an earlier incarnation may still have an effect
	settledAt         time.Time // when the first settled report of the present incarnation arrived; zero: there is none
	storedIncarnation time.Time // in the stored list of members: the first one, or one that is not young; zero: none is known
	// storingIncarnation is the same in the transaction that stores the list; it is the stored one once that is durable.
	storingIncarnation time.Time
	endsUnread         bool      // its latest report was truncated: it lists ends that this owner has not read
	unreachable        bool      // did not answer the last call
	pollFailedAt       time.Time // first poll without a response since the latest report; zero: there is none
	lastContact        time.Time // time of the latest report, or when the worker was added
	lastResponse       time.Time // time of the latest response of its present incarnation to any call, or of its end; zero: there is none
	priorLastResponse  time.Time // the same of the incarnation before; zero: there is none
	lateOrdersUntil    time.Time // when the orders of this owner that got no answer have been carried out at the latest; zero: there is none
	replaced           bool      // the process of another worker answers at its address
	lastSequence       uint64    // sequence number of the latest end that was processed
	ackSequence        uint64    // sequence number of the latest end whose effect is durable
	firstListedEnd     uint64    // sequence number of the first end in the latest report; zero: it has none
	pendingEnds        []pendingEnd
	breaker            breaker
	heldBy             *run        // the run of a suspect, beside which nothing is started on the worker; nil: there is none
	cordonedFor        *group      // the worker is kept for a suspect of this group; nil: it is not
	inStoredMembers    bool        // in the stored list of members, so that a later owner polls it
	evicted            bool        // removed from the cell
	latencySensitive   int         // number of runs whose step has a tail latency limit
	opportunistic      int         // number of runs that use idle processors and slow latency-sensitive ones
	foreignRuns        int         // number of runs in the latest report that this owner does not track; their demands are unknown
	unresolvedRuns     []RunStatus // reported runs of jobs that are not loaded yet
}

// pendingEnd is an end to be acknowledged once the state of its job is durable.
type pendingEnd struct {
	sequence        uint64
	job             *job // nil: the end changed nothing that must be written
	requiredVersion int
	// unresolved is the end itself if its job is not loaded yet.
	unresolved *RunEnd
}

// advanceAck raises the acknowledged sequence number past the ends whose effect is durable.
func (w *worker) advanceAck() {
	for len(w.pendingEnds) > 0 {
		e := w.pendingEnds[0]
		if e.unresolved != nil || (e.job != nil && e.job.durableVersion < e.requiredVersion) {
			return
		}
		w.ackSequence = e.sequence
		w.pendingEnds = w.pendingEnds[1:]
	}
}

// usable reports whether new tasks may be started on the worker: it is a stored member, has reported, is reachable, is not
// draining, lists no foreign runs, its breaker is not open, and its capacity and labels are not those of another incarnation. An
// unlisted worker stays usable for unlistedGrace.
func (w *worker) usable(now time.Time) bool {
	if !w.listed && now.Sub(w.unlistedAt) > unlistedGrace {
		return false
	}
	if !w.listedIncarnation.IsZero() && !w.listedIncarnation.Equal(w.Incarnation) {
		return false
	}
	return w.inStoredMembers && w.foreignRuns == 0 && !w.Draining && w.hasReported && !w.unsettled && !w.unreachable && !w.breaker.isOpen(now)
}

// mayOrder reports whether planned runs may be ordered on the worker: it is usable, and its capacity has not shrunk below what is allocated.
func (w *worker) mayOrder(now time.Time) bool { return w.usable(now) && w.allocated.FitsIn(w.Capacity) }

// free returns the capacity that is not allocated.
func (w *worker) free() cwmodel.Resources { return w.Capacity.Sub(w.allocated) }

// allocate allocates the worker's capacity for a run and adds the run to its task.
func (w *worker) allocate(r *run) {
	w.allocated = w.allocated.Add(r.group.step.Demand)
	w.runs[r.key()] = r
	w.countRun(r.group.step, 1)
	t := &r.group.tasks[r.taskIndex]
	if len(t.runs) == 0 && !t.done {
		r.group.waiting--
	}
	t.runs = append(t.runs, r)
}

// UpdateWorker processes a worker's entry in the platform's list: it adds the worker or updates it. An entry of another incarnation
// than the known one may be newer or older than the worker's last report, so the next report decides: until then the worker
// gets no tasks.
func (c *Cell) UpdateWorker(info WorkerInfo, now time.Time) {
	w, ok := c.workers[info.ID]
	if ok && w.listed && w.hasSameInfo(info) {
		return // a heartbeat without changes
	}
	if !ok {
		w = c.addWorker(info.ID, now)
	}
	incarnation := w.Incarnation
	switch {
	case incarnation.IsZero():
		incarnation = info.Incarnation
	case !info.Incarnation.Equal(w.listedIncarnation) && !info.Incarnation.Equal(incarnation):
		c.setReported(w, false)
	}
	draining := w.Draining
	w.WorkerInfo = info
	w.Incarnation, w.listedIncarnation = incarnation, info.Incarnation
	w.listed = true
	c.fleetVersion++
	c.markNewCapacity(w)
	if info.Draining && !draining {
		c.log(LogEntry{Event: "worker-draining", Worker: w.ID})
	}
}

// RestoreMember adds a worker from the stored list of members, which an earlier owner has written, with the incarnation in that list.
// The platform may not list the worker: entries expire while the store is unavailable. A worker that the cell already has is only marked
// as a stored member.
func (c *Cell) RestoreMember(id cwmodel.HostID, incarnation, now time.Time) {
	w, ok := c.workers[id]
	if !ok {
		w = c.addWorker(id, now)
		w.unlistedAt = now
	}
	w.inStoredMembers, w.storedIncarnation = true, incarnation
}

// MemberIncarnation returns the incarnation of a worker to store in the list of members: the first one that was known. A later one takes its
// place once it is not young any more, so that a later owner can tell a worker that has restarted a short time ago. Its age isn't read from its start
// time: the times of day of hosts differ.
func (c *Cell) MemberIncarnation(id cwmodel.HostID, now time.Time) time.Time {
	w, ok := c.workers[id]
	if !ok {
		return time.Time{}
	}
	w.storingIncarnation = w.storedIncarnation
	if w.storedIncarnation.IsZero() || !c.isYoung(w, now) {
		w.storingIncarnation = w.Incarnation
	}
	return w.storingIncarnation
}

// setUnsettled sets whether calls that were meant for an earlier incarnation may still have an effect.
func (w *worker) setUnsettled(unsettled bool, now time.Time) {
	w.unsettled = unsettled
	if !unsettled && w.settledAt.IsZero() {
		w.settledAt = now
	}
}

// isYoung reports whether leases on the worker may have been extended by calls that were meant for an earlier incarnation: it has refused them since it
// was settled.
func (c *Cell) isYoung(w *worker, now time.Time) bool {
	return w.settledAt.IsZero() || now.Sub(w.settledAt) < c.opts.MaxTaskLease
}

// addWorker adds a worker that has not reported yet.
func (c *Cell) addWorker(id cwmodel.HostID, now time.Time) *worker {
	w := &worker{WorkerInfo: WorkerInfo{ID: id}, runs: map[cwwork.TaskKey]*run{}, lastContact: now}
	c.workers[id] = w
	c.awaitingReport++
	c.freedCapacity.addWorker(w)
	c.sortedWorkersCache = nil
	return w
}

// MembersDirty reports whether the members differ from the stored list that a later owner would read.
func (c *Cell) MembersDirty(now time.Time) bool {
	if c.membersRemoved {
		return true
	}
	for _, w := range c.workers {
		if !w.inStoredMembers || (!w.storedIncarnation.Equal(w.Incarnation) && !c.isYoung(w, now)) {
			return true
		}
	}
	return false
}

// Members returns the workers to store as the list of members, sorted. MembersDirty no longer counts earlier evictions.
func (c *Cell) Members() (ids []cwmodel.HostID) {
	c.membersRemoved = false
	for _, w := range c.sortedWorkers() {
		ids = append(ids, w.ID)
	}
	return ids
}

// MarkMembersDurable records that workers are in the stored list of members, so that tasks may be started on them.
func (c *Cell) MarkMembersDurable(ids []cwmodel.HostID) {
	for _, id := range ids {
		if w, ok := c.workers[id]; ok {
			w.inStoredMembers, w.storedIncarnation = true, w.storingIncarnation
			c.markNewCapacity(w)
		}
	}
	c.fleetVersion++
}

// hasSameInfo reports whether an entry of the platform's list changes nothing.
func (w *worker) hasSameInfo(info WorkerInfo) bool {
	return w.Service == info.Service && w.Draining == info.Draining && w.Capacity == info.Capacity && w.Rack == info.Rack &&
		info.Incarnation.Equal(w.listedIncarnation) && slices.Equal(w.Labels, info.Labels)
}

// UnlistWorker marks a worker as no longer listed by the platform. Its runs continue while it answers.
func (c *Cell) UnlistWorker(id cwmodel.HostID, now time.Time) {
	if w, ok := c.workers[id]; ok && w.listed {
		w.listed = false
		w.unlistedAt = now
		c.log(LogEntry{Event: "worker-unlisted", Worker: id})
	}
}

// EvictableWorkers returns the workers that are unreachable, have no runs and left the platform's list more than evictAfter
// ago. There are none until the leases of earlier owners have expired, since an unreachable worker may still run their tasks.
func (c *Cell) EvictableWorkers(now time.Time) (ids []cwmodel.HostID) {
	exclusive := c.exclusiveUntil(now)
	if exclusive.Before(c.opts.PriorLeaseExpiry) {
		return nil
	}
	for id, w := range c.workers {
		if !w.listed && w.unreachable && len(w.runs) == 0 && now.Sub(w.unlistedAt) > evictAfter && c.priorRunsEnded(w, exclusive) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// EvictWorker removes a worker without runs (see EvictableWorkers) from the cell and from the members to store. The cell no
// longer waits for its first report.
func (c *Cell) EvictWorker(id cwmodel.HostID) {
	if w, ok := c.workers[id]; ok {
		w.evicted = true
		c.setReported(w, true) // excludes it from the count in Cell.awaitingReport
		c.setEndsUnread(w, false)
		c.freedCapacity.removeWorker(w)
	}
	delete(c.workers, id)
	c.sortedWorkersCache, c.membersRemoved = nil, true
}

// unlistedGrace is how long the platform may take to list a live worker again after an outage of its store.
const unlistedGrace = 2500 * time.Millisecond

// evictAfter is longer than the platform takes to list a live worker again after an outage.
const evictAfter = 5 * time.Second

// handleRestart processes the restart of a worker's process: its earlier ends need no acknowledgement any more, and the worker must be
// polled again. The runs of the earlier process have ended, but the new one takes calls that were meant for it: loseEarlierRuns
// releases them once that is over.
func (c *Cell) handleRestart(w *worker, incarnation, now time.Time) {
	c.log(LogEntry{Event: "worker-restarted", Worker: w.ID, Incarnation: incarnation})
	w.Incarnation = incarnation
	w.lastSequence, w.ackSequence, w.firstListedEnd, w.pendingEnds = 0, 0, 0, nil
	w.priorLastResponse, w.lastResponse, w.settledAt = w.lastResponse, time.Time{}, time.Time{}
	c.setReported(w, false)
	c.setEndsUnread(w, false)
	w.breaker = breaker{}
	for _, r := range w.sortedRuns() {
		if r.state == runPlanned {
			c.releaseRun(r, now)
		}
	}
}

// loseEarlierRuns releases the runs of earlier incarnations of a settled worker, after it has reported its runs. A run whose order may
// still have been carried out by the present one is kept: its result, the stop of it, or a later report tells.
func (c *Cell) loseEarlierRuns(w *worker, now time.Time) {
	for _, r := range w.sortedRuns() {
		if r.belongsToEarlierIncarnation() && !r.mayBelongToNextIncarnation() {
			c.loseRun(r, lostWorkerRestarted, now)
		}
	}
}

// sortedRuns returns the runs of a worker ordered by key.
func (w *worker) sortedRuns() []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return compareTaskKeys(a.key(), b.key()) })
	return runs
}

// compareTaskKeys orders task keys by job, occurrence, step and index.
func compareTaskKeys(a, b cwwork.TaskKey) int {
	switch {
	case a.Job != b.Job:
		if a.Job < b.Job {
			return -1
		}
		return 1
	case a.Occurrence != b.Occurrence:
		return a.Occurrence - b.Occurrence
	case a.Step != b.Step:
		return a.Step - b.Step
	}
	return a.Index - b.Index
}

// releaseRun releases the capacity of a run that has certainly ended or was never ordered. Its task waits again unless the
// task is done or has another run.
func (c *Cell) releaseRun(r *run, now time.Time) {
	w, g := r.worker, r.group
	if w.runs[r.key()] != r {
		return
	}
	c.endHold(r)
	if !r.lost {
		c.dropLoss(g, r.taskIndex, r.number)
	}
	if w.breaker.probe == r {
		w.breaker.probe = nil
	}
	delete(w.runs, r.key())
	w.allocated = w.allocated.Sub(g.step.Demand)
	w.countRun(g.step, -1)
	t := &g.tasks[r.taskIndex]
	if at := slices.Index(t.runs, r); at >= 0 {
		t.runs = slices.Delete(t.runs, at, at+1)
	}
	c.markNewCapacity(w)
	if !t.done && len(t.runs) == 0 {
		g.waiting++
		t.percent = 0
		if g.job.outcome == "" {
			c.enqueueGroup(g, now)
			c.markChanged(g)
		}
	}
	c.evictIfIdle(g.job)
}

// MarkUnreachable marks a worker that did not answer a call. Its runs are released once their leases have expired.
func (c *Cell) MarkUnreachable(id cwmodel.HostID, now time.Time) {
	w, ok := c.workers[id]
	if !ok {
		return
	}
	c.markSilent(w)
	if w.pollFailedAt.IsZero() {
		w.pollFailedAt = now
	}
	for _, r := range w.sortedRuns() {
		if !r.orderInFlight() && r.survived() < cwevidence.CrashWindow {
			c.recordLoss(r, now)
		}
	}
	c.expireLeases(w, now)
}

// markSilent marks a worker that did not answer a call, until it answers a poll.
func (c *Cell) markSilent(w *worker) {
	if !w.unreachable {
		w.unreachable = true
		c.log(LogEntry{Event: "worker-silent", Worker: w.ID})
	}
}

// MarkDisconnected marks a worker that ended the connection on which a call waited. Its process has lived until then, or has ended just now.
func (c *Cell) MarkDisconnected(id cwmodel.HostID, now time.Time) {
	if w, ok := c.workers[id]; ok && w.pollFailedAt.IsZero() {
		w.lastResponse = now
	}
	c.MarkUnreachable(id, now)
}

// MarkReplaced marks a worker at whose address the process of another worker answers: its own process has ended, and so have its runs,
// except those whose start order is in flight: its result decides.
func (c *Cell) MarkReplaced(id cwmodel.HostID, now time.Time) {
	w, ok := c.workers[id]
	if !ok {
		return
	}
	c.now = now
	if !w.replaced {
		w.replaced = true
		c.log(LogEntry{Event: "worker-replaced", Worker: id})
	}
	c.MarkUnreachable(id, now)
	for _, r := range w.sortedRuns() {
		if !r.orderInFlight() {
			c.loseRun(r, lostWorkerReplaced, now)
		}
	}
	c.setEndsUnread(w, false) // its ends are gone
	c.resolveLosses(w, now)
}

// AckWatermark returns the sequence number up to which a worker may drop its ends; all reports whether it covers all
// received ends. For an unknown worker it returns 0 and true. It acknowledges nothing to a worker that did not answer the last
// call: the next one may reach a later incarnation, which numbers its ends anew and would drop some that were never read. For the same reason it
// acknowledges no end again that the worker does not list any more.
func (c *Cell) AckWatermark(id cwmodel.HostID) (sequence uint64, all bool) {
	w, ok := c.workers[id]
	if !ok {
		return 0, true
	}
	if w.unreachable || w.firstListedEnd == 0 || w.ackSequence < w.firstListedEnd {
		return 0, len(w.pendingEnds) == 0
	}
	return w.ackSequence, len(w.pendingEnds) == 0
}

// setReported sets whether a worker's present incarnation has answered a poll of this owner, and updates the count in
// Cell.awaitingReport.
func (c *Cell) setReported(w *worker, reported bool) {
	switch {
	case reported && !w.hasReported:
		c.awaitingReport--
	case !reported && w.hasReported:
		c.awaitingReport++
	}
	w.hasReported = reported
}
