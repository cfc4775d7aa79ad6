package cwscheduler

import (
	"context"
	"time"

	"currantward/internal/core/cwmodel"
)

// SubmitGang hands over tasks that start all at once or not at all; it returns false if the inbox is full.
//
// Their answers go to the reply if there is one, else, for durable tasks, to Options.Durable.
func (s *Scheduler) SubmitGang(tasks []cwmodel.Task, reply func(cwmodel.Response)) bool {
	return s.inbox.Offer(event{kind: eventGang, tasks: tasks, reply: reply})
}

// UpdateUsage hands over what running tasks use; it returns false if the inbox is full.
func (s *Scheduler) UpdateUsage(usage []cwmodel.Usage) bool {
	return s.inbox.Offer(event{kind: eventUsage, usage: usage})
}

// Hold reserves capacity until expires for as many of a job's tasks, from the first on, as fit;
// held is told their number on the scheduler's goroutine and must not block.
func (s *Scheduler) Hold(ctx context.Context, job cwmodel.JobID, tasks []cwmodel.Task, expires time.Time, held func(count int)) error {
	return s.inbox.Put(ctx, event{kind: eventHold, job: job, tasks: tasks, at: expires, held: held})
}

// CommitHold starts what is held for a job; committed is told on the scheduler's goroutine whether the hold was still there.
func (s *Scheduler) CommitHold(ctx context.Context, job cwmodel.JobID, committed func(ok bool)) error {
	return s.inbox.Put(ctx, event{kind: eventCommit, job: job, committed: committed})
}

// ReleaseHold gives back what is held for a job.
func (s *Scheduler) ReleaseHold(ctx context.Context, job cwmodel.JobID) error {
	return s.inbox.Put(ctx, event{kind: eventRelease, job: job})
}

// SetRemoteUsage states what each team uses on the workers of other owners; one that finds the inbox full is superseded.
func (s *Scheduler) SetRemoteUsage(uses []cwmodel.TeamUsage) {
	s.inbox.Offer(event{kind: eventElsewhere, uses: uses})
}

// TeamUsage returns what the teams with a quota used at the latest tick.
func (s *Scheduler) TeamUsage() []cwmodel.TeamUsage { return *s.uses.Load() }

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
		e.held(s.decider.Hold(now, e.job, e.tasks, e.at))
	case eventCommit:
		e.committed(s.decider.CommitHold(now, e.job))
	case eventRelease:
		s.decider.ReleaseHold(now, e.job)
	}
}
