package cwcell

import (
	"slices"
	"time"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// WorkerInfo is what a worker says of itself in the platform's list.
type WorkerInfo struct {
	ID          cwmodel.HostID
	Service     string
	DataCentre  cwmodel.DataCentre
	Rack        string
	Labels      []string
	Capacity    cwmodel.Resources
	Draining    bool
	Incarnation time.Time // start of its present life
}

// worker is one worker as the cell sees it.
type worker struct {
	WorkerInfo
	slot      uint // place in the sets of the room index
	used      cwmodel.Resources
	runs      map[cwwork.TaskKey]*run
	listed    bool
	unlisted  time.Time
	known     bool // has answered under this owner's fencing token
	silent    bool // did not answer the last call
	contact   time.Time
	seen      uint64 // number of the latest end that was processed
	ack       uint64 // number of the latest end whose effect is durable
	ends      []pendingEnd
	breaker   breaker
	enrolled  bool        // a later owner will know of the worker
	forgotten bool        // dropped from the cell
	serving   int         // runs that serve users
	filling   int         // runs that would slow them
	foreign   int         // listed runs that are not ours; their room is not known
	strangers []RunStatus // runs of jobs that this owner has not read yet
}

// pendingEnd is an end that may be acknowledged once the state of its job is durable.
type pendingEnd struct {
	number  uint64
	job     *job // nil: nothing has to be written
	version int
	// stranger is the end itself where its job is not known yet.
	stranger *RunEnd
}

// advanceAck moves the acknowledged number past the ends whose effect is durable.
func (w *worker) advanceAck() {
	for len(w.ends) > 0 {
		e := w.ends[0]
		if e.stranger != nil || (e.job != nil && e.job.written < e.version) {
			return
		}
		w.ack = e.number
		w.ends = w.ends[1:]
	}
}

// usable reports whether new tasks may be started on the worker.
func (w *worker) usable(now time.Time) bool {
	if !w.listed && now.Sub(w.unlisted) > unlistedGrace {
		return false
	}
	return w.enrolled && w.foreign == 0 && !w.Draining && w.known && !w.silent && !w.breaker.open(now)
}

func (w *worker) free() cwmodel.Resources { return w.Capacity.Sub(w.used) }

// hold reserves room for a run.
func (w *worker) hold(r *run) {
	w.used = w.used.Add(r.group.step.Demand)
	w.runs[r.key()] = r
	w.countKind(r.group.step, 1)
	t := &r.group.tasks[r.index]
	if len(t.runs) == 0 && !t.done {
		r.group.waiting--
	}
	t.runs = append(t.runs, r)
}

// UpdateWorker adds a worker or takes what is new about it.
func (c *Cell) UpdateWorker(info WorkerInfo, now time.Time) {
	w, ok := c.workers[info.ID]
	if ok && w.listed && w.sameInfo(info) {
		return // only a heartbeat
	}
	if !ok {
		w = c.addWorker(info.ID, now)
	}
	if ok && info.Incarnation.After(w.Incarnation) {
		c.reborn(w, info.Incarnation, now)
	}
	born := w.Incarnation
	if !ok {
		born = info.Incarnation
	}
	draining := w.Draining
	w.WorkerInfo = info
	w.Incarnation = born
	w.listed = true
	c.fleet++
	c.gainRoom(w)
	if info.Draining && !draining {
		c.note(LogEntry{Event: "worker-draining", Worker: w.ID})
	}
}

// RestoreMember adds a worker that an earlier owner has used, though the platform may not list it: entries lapse while the
// store is away.
func (c *Cell) RestoreMember(id cwmodel.HostID, now time.Time) {
	if _, ok := c.workers[id]; ok {
		c.workers[id].enrolled = true
		return
	}
	w := c.addWorker(id, now)
	w.unlisted, w.enrolled = now, true
}

func (c *Cell) addWorker(id cwmodel.HostID, now time.Time) *worker {
	w := &worker{WorkerInfo: WorkerInfo{ID: id}, runs: map[cwwork.TaskKey]*run{}, contact: now}
	c.workers[id] = w
	c.unknown++
	c.room.add(w)
	c.inOrder = nil
	return w
}

// MembersDirty reports whether the list of workers differs from the one that a later owner would read.
func (c *Cell) MembersDirty() bool {
	if c.departed {
		return true
	}
	for _, w := range c.workers {
		if !w.enrolled {
			return true
		}
	}
	return false
}

// Members returns the workers that may run tasks.
func (c *Cell) Members() (ids []cwmodel.HostID) {
	c.departed = false
	for _, w := range c.sortedWorkers() {
		ids = append(ids, w.ID)
	}
	return ids
}

// MarkMembersDurable notes that a later owner will know of the workers, so that tasks may be started there.
func (c *Cell) MarkMembersDurable(ids []cwmodel.HostID) {
	for _, id := range ids {
		if w, ok := c.workers[id]; ok {
			w.enrolled = true
			c.gainRoom(w)
		}
	}
	c.fleet++
}

// sameInfo reports whether an entry says nothing new.
func (w *worker) sameInfo(info WorkerInfo) bool {
	return w.Service == info.Service && w.Draining == info.Draining && w.Capacity == info.Capacity && w.Rack == info.Rack &&
		!info.Incarnation.After(w.Incarnation) && slices.Equal(w.Labels, info.Labels)
}

// UnlistWorker notes that the platform no longer lists a worker; what runs there goes on while it answers.
func (c *Cell) UnlistWorker(id cwmodel.HostID, now time.Time) {
	if w, ok := c.workers[id]; ok && w.listed {
		w.listed = false
		w.unlisted = now
		c.note(LogEntry{Event: "worker-unlisted", Worker: id})
	}
}

// EvictableWorkers returns the workers that are not listed, hold nothing and are silent.
func (c *Cell) EvictableWorkers(now time.Time) (ids []cwmodel.HostID) {
	for id, w := range c.workers {
		if !w.listed && w.silent && len(w.runs) == 0 && now.Sub(w.unlisted) > forgetAfter {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// EvictWorker drops a worker.
func (c *Cell) EvictWorker(id cwmodel.HostID) {
	if w, ok := c.workers[id]; ok {
		w.forgotten = true
		c.setKnown(w, true)
		c.room.remove(w)
	}
	delete(c.workers, id)
	c.inOrder, c.departed = nil, true
}

// unlistedGrace is how long the platform may take to list a live worker again after an outage of its store.
const unlistedGrace = 2500 * time.Millisecond

// forgetAfter is longer than the platform takes to list a live worker again after an outage.
const forgetAfter = 5 * time.Second

// reborn notes that a worker has started anew: nothing of its former life runs.
func (c *Cell) reborn(w *worker, born, now time.Time) {
	c.note(LogEntry{Event: "worker-restarted", Worker: w.ID})
	w.Incarnation = born
	w.seen, w.ack, w.ends = 0, 0, nil
	c.setKnown(w, false)
	w.breaker = breaker{}
	for _, r := range w.sorted() {
		c.lose(r, lostRestarted, now)
	}
}

// sorted returns the runs of a worker in a fixed order.
func (w *worker) sorted() []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return compareKeys(a.key(), b.key()) })
	return runs
}

func compareKeys(a, b cwwork.TaskKey) int {
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

// release frees the room of a run that is certainly over; its task waits again unless it is done.
func (c *Cell) release(r *run, now time.Time) {
	w, g := r.worker, r.group
	if w.runs[r.key()] != r {
		return
	}
	delete(w.runs, r.key())
	w.used = w.used.Sub(g.step.Demand)
	w.countKind(g.step, -1)
	t := &g.tasks[r.index]
	if at := slices.Index(t.runs, r); at >= 0 {
		t.runs = slices.Delete(t.runs, at, at+1)
	}
	c.gainRoom(w)
	if !t.done && len(t.runs) == 0 {
		g.waiting++
		t.percent = 0
		if g.job.final == "" {
			c.openGroup(g, now)
			c.refresh(g)
		}
	}
	c.evict(g.job)
}

// MarkUnreachable notes that a worker did not answer; its runs count as over once their leases are.
func (c *Cell) MarkUnreachable(id cwmodel.HostID, now time.Time) {
	w, ok := c.workers[id]
	if !ok {
		return
	}
	if !w.silent {
		w.silent = true
		c.note(LogEntry{Event: "worker-silent", Worker: id})
	}
	c.lapse(w, now)
}

// lapseSlack is how long after the end of a lease its worker may take to end the task.
const lapseSlack = 100 * time.Millisecond

// lapse releases the runs of a silent worker whose leases are over.
func (c *Cell) lapse(w *worker, now time.Time) {
	if !w.silent || len(w.runs) == 0 || now.Before(c.opts.LeaseExpiry(w.ID).Add(lapseSlack)) {
		return
	}
	if !w.known && now.Before(c.opts.PriorLeaseExpiry) {
		return
	}
	c.note(LogEntry{Event: "worker-leases-over", Worker: w.ID})
	for _, r := range w.sorted() {
		if r.state == runOrdered {
			continue // its order may still be under way; the answer decides
		}
		c.lose(r, lostLeases, now)
	}
}

// AckWatermark returns the number up to which a worker may forget its ends, and whether all that were seen are.
func (c *Cell) AckWatermark(id cwmodel.HostID) (number uint64, all bool) {
	w, ok := c.workers[id]
	if !ok {
		return 0, true
	}
	return w.ack, len(w.ends) == 0
}

// MayRenewLease reports whether the leases on a worker may be extended. Those on a silent one have to run out: a call without
// an answer may have been carried out, so each further extension would put off the time at which its tasks are over.
func (c *Cell) MayRenewLease(id cwmodel.HostID) bool {
	w, ok := c.workers[id]
	return ok && !w.silent
}

// settled reports whether what earlier owners left of a job is known.
func (c *Cell) settled(j *job, now time.Time) bool {
	if !j.adopted || !now.Before(c.opts.PriorLeaseExpiry) {
		return true
	}
	return c.unknown == 0 && len(c.workers) > 0
}

// setKnown notes whether a worker has answered this owner in its present life.
func (c *Cell) setKnown(w *worker, known bool) {
	switch {
	case known && !w.known:
		c.unknown--
	case !known && w.known:
		c.unknown++
	}
	w.known = known
}
