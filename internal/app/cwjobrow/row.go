// Package cwjobrow makes changes to the row of one job, one write at a time.
//
// A change is made on a copy of the committed job and is concluded once that copy is committed.
package cwjobrow

import (
	"slices"
	"time"

	"currantward/internal/core/cwjob"
	"currantward/internal/port/cwport"
)

// Change is one pending change of a job; it is applied to the committed state.
type Change struct {
	Apply    func(now time.Time, job *cwjob.Job) bool
	Done     func(applied bool) // called once the change is committed, or can never be
	Deadline time.Time          // zero for none; past it a change that is not sent is given up
}

// Row is the committed state of a job with the changes that wait or are being written.
type Row struct {
	Job     *cwjob.Job // committed; nil until it is read
	Version cwport.RowVersion
	waiting []Change
	flight  []Change // in the write under way
	applied []bool   // which of the flight took effect on next
	next    *cwjob.Job
}

// Load takes the job as it was read.
func (r *Row) Load(job *cwjob.Job, version cwport.RowVersion) { r.Job, r.Version = job, version }

// Enqueue lets a change wait for the next write.
func (r *Row) Enqueue(c Change) { r.waiting = append(r.waiting, c) }

// PendingCount returns how many changes wait for the next write.
func (r *Row) PendingCount() int { return len(r.waiting) }

// Next returns the job as the write under way will leave it.
func (r *Row) Next() *cwjob.Job { return r.next }

// BeginCreate begins the first write of a job.
func (r *Row) BeginCreate(job *cwjob.Job) {
	r.Job = &cwjob.Job{ID: job.ID}
	r.next, r.flight, r.applied = job, nil, nil
}

// BeginWrite makes the waiting changes on a copy; it returns whether there is anything to write and by when.
func (r *Row) BeginWrite(now time.Time) (deadline time.Time, isChanged bool) {
	r.next, r.flight, r.waiting = r.Job.Clone(), r.waiting, nil
	r.applied = make([]bool, len(r.flight))
	for n, c := range r.flight {
		r.applied[n] = c.Apply(now, r.next)
		isChanged = isChanged || r.applied[n]
		if !c.Deadline.IsZero() && (deadline.IsZero() || c.Deadline.Before(deadline)) {
			deadline = c.Deadline
		}
	}
	return deadline, isChanged
}

// Commit makes the written copy the committed state and concludes its changes.
func (r *Row) Commit() {
	r.Job, r.Version = r.next, r.Version+1
	r.Complete()
}

// Complete tells each change of the flight whether it took effect.
func (r *Row) Complete() {
	flight, applied := r.flight, r.applied
	r.land()
	for n, c := range flight {
		c.Done(applied[n])
	}
}

// Fail concludes the changes of the flight as ones that can never be made.
func (r *Row) Fail() {
	clear(r.applied)
	r.Complete()
}

// Requeue puts the changes of the flight back in front of the waiting ones.
func (r *Row) Requeue() {
	r.waiting = append(r.flight, r.waiting...)
	r.land()
}

func (r *Row) land() { r.flight, r.next, r.applied = nil, nil, nil }

// ExpirePending gives up waiting changes whose deadline has passed.
func (r *Row) ExpirePending(now time.Time) {
	var late []Change
	r.waiting = slices.DeleteFunc(r.waiting, func(c Change) bool {
		isLate := !c.Deadline.IsZero() && !now.Before(c.Deadline)
		if isLate {
			late = append(late, c)
		}
		return isLate
	})
	for _, c := range late {
		c.Done(false)
	}
}

// DropPending gives up every waiting change, as the job is over or was never committed.
func (r *Row) DropPending() {
	for _, c := range r.waiting {
		c.Done(false)
	}
}
