package cwdecider

import (
	"slices"
	"time"

	"currantward/internal/core/cwmodel"
)

// hold is capacity allocated for part of a gang until the hold is committed, is released or expires.
type hold struct {
	tasks     []*task
	workers   []*worker // the worker of each task
	expiresAt time.Time
}

// Hold allocates capacity for the first tasks, up to one that is tracked already, is rejected or does not fit, and keeps it
// until expiresAt. It returns the number of tasks with capacity.
//
// A gang that spans several owners is held at each of them, then committed at all or released at all.
// A second hold for the same job replaces the first.
func (d *Decider) Hold(now time.Time, job cwmodel.JobID, tasks []cwmodel.Task, expiresAt time.Time) (held int) {
	d.ReleaseHold(now, job)
	h := &hold{expiresAt: expiresAt}
	for _, spec := range tasks {
		if d.HasTask(spec.ID) || d.admit(now, spec, spec.Demand) != cwmodel.ReasonNone {
			break
		}
		h.tasks = append(h.tasks, d.newTask(spec))
	}
	h.workers = d.allocatePrefix(h.tasks, d.findNode)
	h.tasks = h.tasks[:len(h.workers)]
	if len(h.tasks) > 0 {
		d.holds[job] = h
	}
	return len(h.tasks)
}

// CommitHold starts all held tasks of a job. It returns false if there is no hold or it has expired.
func (d *Decider) CommitHold(now time.Time, job cwmodel.JobID) bool {
	h, ok := d.holds[job]
	if !ok || !now.Before(h.expiresAt) {
		d.ReleaseHold(now, job)
		return false
	}
	delete(d.holds, job)
	g := &gang{members: h.tasks}
	for n, t := range h.tasks {
		t.gang = g
		d.tasks[t.ID] = t
		d.charge(t, h.workers[n], -1)
		d.start(now, t, h.workers[n], t.allocated)
	}
	return true
}

// ReleaseHold releases the held capacity of a job, if any, and schedules waiting tasks on it.
func (d *Decider) ReleaseHold(now time.Time, job cwmodel.JobID) {
	h, ok := d.holds[job]
	if !ok {
		return
	}
	delete(d.holds, job)
	d.releaseAll(h.tasks, h.workers)
	d.schedule(now)
}

// expireHolds releases the holds whose time has passed.
func (d *Decider) expireHolds(now time.Time) {
	for _, job := range d.heldJobs() {
		if !now.Before(d.holds[job].expiresAt) {
			d.ReleaseHold(now, job)
		}
	}
}

// releaseHoldsOn releases every hold with capacity on a worker that is no longer owned.
func (d *Decider) releaseHoldsOn(w *worker) {
	for _, job := range d.heldJobs() {
		h := d.holds[job]
		if slices.Contains(h.workers, w) {
			delete(d.holds, job)
			d.releaseAll(h.tasks, h.workers)
		}
	}
}

// heldJobs returns the jobs with holds, sorted to keep the decider deterministic.
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
