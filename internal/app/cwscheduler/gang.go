package cwscheduler

import (
	"context"
	"time"

	"currantward/internal/core/cwmodel"
)

// SubmitGang submits tasks that start all at once or not at all. It returns false if the inbox is full.
//
// It calls reply once for each task, on the scheduler's goroutine. Without reply, the responses to durable tasks go to Options.OnDurable.
func (s *Scheduler) SubmitGang(tasks []cwmodel.Task, reply func(cwmodel.Response)) bool {
	return s.inbox.Offer(event{kind: eventGang, tasks: tasks, reply: reply})
}

// UpdateUsage records the measured usage of running tasks. It returns false if the inbox is full.
func (s *Scheduler) UpdateUsage(usage []cwmodel.Usage) bool {
	return s.inbox.Offer(event{kind: eventUsage, usage: usage})
}

// Hold reserves capacity until expires for as many of a job's tasks as fit, from the first one on.
// It calls onHeld with their number on the scheduler's goroutine; onHeld must not block.
func (s *Scheduler) Hold(ctx context.Context, job cwmodel.JobID, tasks []cwmodel.Task, expires time.Time, onHeld func(count int)) error {
	return s.inbox.Put(ctx, event{kind: eventHold, job: job, tasks: tasks, lastRenewalOrExpiry: expires, onHeld: onHeld})
}

// CommitHold starts the tasks of a job for which Hold reserved capacity.
// It calls onCommitted on the scheduler's goroutine; ok is false if there was no hold or it had expired, and nothing was started then.
func (s *Scheduler) CommitHold(ctx context.Context, job cwmodel.JobID, onCommitted func(ok bool)) error {
	return s.inbox.Put(ctx, event{kind: eventCommitHold, job: job, onCommitted: onCommitted})
}

// ReleaseHold releases the capacity that is held for a job.
func (s *Scheduler) ReleaseHold(ctx context.Context, job cwmodel.JobID) error {
	return s.inbox.Put(ctx, event{kind: eventReleaseHold, job: job})
}

// SetRemoteUsage sets the usage of each team on the workers of other owners.
// If the inbox is full the update is dropped, since the next one replaces it.
func (s *Scheduler) SetRemoteUsage(usage []cwmodel.TeamUsage) {
	s.inbox.Offer(event{kind: eventRemoteUsage, teamUsage: usage})
}

// TeamUsage returns the usage of the teams with a quota at the latest tick.
func (s *Scheduler) TeamUsage() []cwmodel.TeamUsage { return *s.teamUsage.Load() }

// handleGang passes an event about a gang or a hold to the decider. A hold is capacity that is reserved for a job until it is committed,
// released or expires; lastRenewalOrExpiry is its expiry here.
func (s *Scheduler) handleGang(now time.Time, e event) {
	switch e.kind {
	case eventGang:
		if e.reply != nil {
			for _, t := range e.tasks {
				s.replies[t.ID] = e.reply
			}
		}
		s.decider.SubmitGang(now, e.tasks)
	case eventHold:
		e.onHeld(s.decider.Hold(now, e.job, e.tasks, e.lastRenewalOrExpiry))
	case eventCommitHold:
		e.onCommitted(s.decider.CommitHold(now, e.job))
	case eventReleaseHold:
		s.decider.ReleaseHold(now, e.job)
	}
}
