package cwcellowner

import (
	"time"

	"currantward/internal/base/cwlog"
	"currantward/internal/core/cwcell"
	"currantward/internal/core/cwmodel"
)

// refusal is the state of a job of which the store has refused a write for good, as a repetition would be refused again. Such a job is written
// in transactions of its own, so that it does not keep the others from being stored.
type refusal struct {
	firstAt time.Time // of the first refusal
	nextAt  time.Time // earliest next transaction of the job
	alone   int       // refused transactions with this job alone
}

const (
	// maxRefusals is the number of refused transactions with one job alone after which the job fails.
	maxRefusals = 5
	// minRefusalBackoff and maxRefusalBackoff bound the pause after such a transaction. It doubles with each.
	minRefusalBackoff = 100 * time.Millisecond
	maxRefusalBackoff = 10 * time.Second
)

// commitRefused sends a transaction for each job of which a write was refused, if one is due and its partition is free.
func (s *session) commitRefused(now time.Time) {
	if len(s.commits.refusals) == 0 {
		return
	}
	var due []cwmodel.JobID
	s.cell.EachPendingWrite(func(id cwmodel.JobID) {
		if r, ok := s.commits.refusals[id]; ok && !now.Before(r.nextAt) {
			due = append(due, id)
		}
	})
	for _, id := range due {
		if !s.partitionOf(id).isReady(now) {
			continue
		}
		if c := s.buildJobsCommit(now, func(other cwmodel.JobID) bool { return other == id }); len(c.writes) > 0 {
			s.sendCommit(c)
		}
	}
}

// recordRefusal records the jobs of a refused transaction. A live job that the store refuses alone, while it takes the writes of
// others, fails.
func (s *session) recordRefusal(c *inflightCommit, now time.Time) {
	for n := range c.writes {
		w := &c.writes[n]
		r, ok := s.commits.refusals[w.Job]
		if !ok {
			r = &refusal{firstAt: now}
			s.commits.refusals[w.Job] = r
		}
		if len(c.writes) > 1 {
			continue // any of them may be the cause
		}
		r.nextAt = now.Add(min(minRefusalBackoff<<min(r.alone, 7), maxRefusalBackoff))
		r.alone++
		s.owner.opts.Log.WithFields(cwlog.Fields{"job": w.Job, "mark": c.token, "refusals": r.alone}).Warn("job-write-refused")
		s.owner.opts.Observe(Observation{Event: "job-write-refused", Queue: w.Queue})
		if w.State == "" && r.alone >= maxRefusals && s.commits.succeededAt.After(r.firstAt) {
			s.cell.FailUnstorable(w.Job, "the store refuses its progress")
		}
	}
	for _, p := range c.partitions {
		p.nextAt = now.Add(commitPause)
	}
}

// clearRefusals forgets the refusals of jobs that were written.
func (s *session) clearRefusals(writes []cwcell.JobWrite, now time.Time) {
	if len(writes) > 0 {
		s.commits.succeededAt = now
	}
	for n := range writes {
		delete(s.commits.refusals, writes[n].Job)
	}
}
