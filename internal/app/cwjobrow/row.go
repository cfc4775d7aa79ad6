// Package cwjobrow applies changes to the row of one job, with at most one write in flight.
//
// A change is applied to a copy of the committed job and completes once that copy is committed.
package cwjobrow

import (
	"slices"
	"time"

	"currantward/internal/core/cwjob"
	"currantward/internal/port/cwport"
)

// Change is one change to a job that is not committed yet.
//
// Apply makes the change on a copy of the committed job and reports whether it had an effect. If the write fails, it is called again on a
// new copy.
type Change struct {
	Apply    func(now time.Time, job *cwjob.Job) bool
	Done     func(applied bool) // called once: true if the change is committed, false if it had no effect or was dropped
	Deadline time.Time          // a change that is in no write is dropped after it; zero for none
}

// Row is the committed state of a job with its pending changes and those in flight.
type Row struct {
	Job      *cwjob.Job // committed state; nil until it is read
	Version  cwport.RowVersion
	pending  []Change   // for the next write
	inFlight []Change   // in the current write
	applied  []bool     // which of the changes in flight took effect on next
	next     *cwjob.Job // the job that the current write commits; nil if there is none
}

// Load sets the committed state to a job and version read from the table.
func (r *Row) Load(job *cwjob.Job, version cwport.RowVersion) { r.Job, r.Version = job, version }

// Enqueue adds a change to the next write.
func (r *Row) Enqueue(c Change) { r.pending = append(r.pending, c) }

// PendingChanges returns the number of changes for the next write.
func (r *Row) PendingChanges() int { return len(r.pending) }

// Next returns the job that the current write commits, or nil if there is no write.
func (r *Row) Next() *cwjob.Job { return r.next }

// BeginCreate starts the first write of a job, which has no changes.
//
// Until it is committed, the committed state is a job that has only an ID.
func (r *Row) BeginCreate(job *cwjob.Job) {
	r.Job = &cwjob.Job{ID: job.ID}
	r.next, r.inFlight, r.applied = job, nil, nil
}

// BeginWrite moves the pending changes into the current write and applies them to a copy of the committed job.
//
// It returns the earliest deadline of the changes, zero for none, and whether any change had an effect.
func (r *Row) BeginWrite(now time.Time) (deadline time.Time, isChanged bool) {
	r.next, r.inFlight, r.pending = r.Job.Clone(), r.pending, nil
	r.applied = make([]bool, len(r.inFlight))
	for n, c := range r.inFlight {
		r.applied[n] = c.Apply(now, r.next)
		isChanged = isChanged || r.applied[n]
		if !c.Deadline.IsZero() && (deadline.IsZero() || c.Deadline.Before(deadline)) {
			deadline = c.Deadline
		}
	}
	return deadline, isChanged
}

// Commit makes the written copy the committed state and completes its changes. Each write increments the version of the row by one.
func (r *Row) Commit() {
	r.Job, r.Version = r.next, r.Version+1
	r.Complete()
}

// Complete ends the current write and calls Done of each change in it with whether the change had an effect.
func (r *Row) Complete() {
	inFlight, applied := r.inFlight, r.applied
	r.clearInFlight()
	for n, c := range inFlight {
		c.Done(applied[n])
	}
}

// Fail ends a write that can never succeed, and completes its changes as not applied.
func (r *Row) Fail() {
	clear(r.applied)
	r.Complete()
}

// Requeue ends a write that was not committed, and puts its changes back in front of the pending ones.
func (r *Row) Requeue() {
	r.pending = append(r.inFlight, r.pending...)
	r.clearInFlight()
}

// clearInFlight removes the current write without completing its changes.
func (r *Row) clearInFlight() { r.inFlight, r.next, r.applied = nil, nil, nil }

// ExpirePending drops the pending changes past their deadline and completes them as not applied.
func (r *Row) ExpirePending(now time.Time) {
	var expired []Change
	r.pending = slices.DeleteFunc(r.pending, func(c Change) bool {
		isExpired := !c.Deadline.IsZero() && !now.Before(c.Deadline)
		if isExpired {
			expired = append(expired, c)
		}
		return isExpired
	})
	for _, c := range expired {
		c.Done(false)
	}
}

// DropPending completes all pending changes as not applied, because the job has ended or was never committed. The row must not be used
// afterwards.
func (r *Row) DropPending() {
	for _, c := range r.pending {
		c.Done(false)
	}
}
