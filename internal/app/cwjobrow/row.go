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

// Change is one pending change to a job; Apply makes it on a copy of the committed state.
type Change struct {
	Apply    func(now time.Time, job *cwjob.Job) bool
	Done     func(applied bool) // called once, when the change is committed or can never be
	Deadline time.Time          // zero for none; an unsent change is dropped after it
}

// Row is the committed state of a job with its pending changes and those in flight.
type Row struct {
	Job      *cwjob.Job // committed state; nil until it is read
	Version  cwport.RowVersion
	pending  []Change
	inFlight []Change // in the current write
	applied  []bool   // which of the changes in flight took effect on next
	next     *cwjob.Job
}

// Load sets the committed state to a job and version read from the table.
func (r *Row) Load(job *cwjob.Job, version cwport.RowVersion) { r.Job, r.Version = job, version }

// Enqueue adds a change to the next write.
func (r *Row) Enqueue(c Change) { r.pending = append(r.pending, c) }

// PendingChanges returns the number of changes for the next write.
func (r *Row) PendingChanges() int { return len(r.pending) }

// Next returns the job that the current write commits.
func (r *Row) Next() *cwjob.Job { return r.next }

// BeginCreate starts the first write of a job.
func (r *Row) BeginCreate(job *cwjob.Job) {
	r.Job = &cwjob.Job{ID: job.ID}
	r.next, r.inFlight, r.applied = job, nil, nil
}

// BeginWrite applies the pending changes to a copy and returns whether the copy differs and the earliest deadline.
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

// Commit makes the written copy the committed state and completes its changes.
func (r *Row) Commit() {
	r.Job, r.Version = r.next, r.Version+1
	r.Complete()
}

// Complete reports to each change in flight whether it took effect.
func (r *Row) Complete() {
	inFlight, applied := r.inFlight, r.applied
	r.clearInFlight()
	for n, c := range inFlight {
		c.Done(applied[n])
	}
}

// Fail completes the changes in flight as not applied, when the write can never succeed.
func (r *Row) Fail() {
	clear(r.applied)
	r.Complete()
}

// Requeue puts the changes in flight back in front of the pending ones.
func (r *Row) Requeue() {
	r.pending = append(r.inFlight, r.pending...)
	r.clearInFlight()
}

func (r *Row) clearInFlight() { r.inFlight, r.next, r.applied = nil, nil, nil }

// ExpirePending drops pending changes past their deadline.
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

// DropPending drops all pending changes, when the job has ended or was never committed.
func (r *Row) DropPending() {
	for _, c := range r.pending {
		c.Done(false)
	}
}
