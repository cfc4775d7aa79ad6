package cwdecider

import (
	"slices"
	"time"

	"currantward/internal/core/cwmodel"
)

// hold is capacity that is reserved for part of a gang until it is committed, released or expired.
type hold struct {
	tasks   []*task
	places  []*worker
	expires time.Time
}

// Hold reserves capacity until a time for as many of the tasks, from the first on, as fit, and returns their number.
//
// A gang over several owners is held at each of them, then committed at all or released at all. A second
// hold for the same job replaces the first.
func (d *Decider) Hold(now time.Time, job cwmodel.JobID, tasks []cwmodel.Task, expires time.Time) (held int) {
	d.ReleaseHold(now, job)
	h := &hold{expires: expires}
	for _, t := range tasks {
		if d.HasTask(t.ID) || d.admit(now, t, t.Demand) != cwmodel.ReasonNone {
			break
		}
		h.tasks = append(h.tasks, d.record(t))
	}
	h.places = d.takeUpTo(h.tasks, d.findNode)
	h.tasks = h.tasks[:len(h.places)]
	if len(h.tasks) > 0 {
		d.holds[job] = h
	}
	return len(h.tasks)
}

// CommitHold starts all tasks that are held for a job and reports whether the hold was still there.
func (d *Decider) CommitHold(now time.Time, job cwmodel.JobID) bool {
	h, ok := d.holds[job]
	if !ok || !now.Before(h.expires) {
		d.ReleaseHold(now, job)
		return false
	}
	delete(d.holds, job)
	g := &gang{members: h.tasks}
	for n, state := range h.tasks {
		state.gang = g
		d.tasks[state.ID] = state
		d.charge(state, h.places[n], -1)
		d.start(now, state, h.places[n], state.reserved)
	}
	return true
}

// ReleaseHold gives back what is held for a job.
func (d *Decider) ReleaseHold(now time.Time, job cwmodel.JobID) {
	h, ok := d.holds[job]
	if !ok {
		return
	}
	delete(d.holds, job)
	d.giveBack(h.tasks, h.places)
	d.place(now)
}

func (d *Decider) expireHolds(now time.Time) {
	for _, job := range d.heldJobs() {
		if !now.Before(d.holds[job].expires) {
			d.ReleaseHold(now, job)
		}
	}
}

// dropHoldsOn releases every hold that has a part on a worker which is no longer owned.
func (d *Decider) dropHoldsOn(w *worker) {
	for _, job := range d.heldJobs() {
		h := d.holds[job]
		if slices.Contains(h.places, w) {
			delete(d.holds, job)
			d.giveBack(h.tasks, h.places)
		}
	}
}

// heldJobs returns the jobs with holds in a fixed order.
func (d *Decider) heldJobs() (jobs []cwmodel.JobID) {
	if len(d.holds) == 0 {
		return nil
	}
	for job := range d.holds {
		jobs = append(jobs, job)
	}
	slices.Sort(jobs)
	return jobs
}
