package cwentry

import (
	"context"
	"time"

	"currantward/internal/core/cwaccounting"
	"currantward/internal/core/cwjob"
	"currantward/internal/core/cwmodel"
)

// jobOver counts the outcome of each task of a job whose end is committed.
func (e *EntryHost) jobOver(job *cwjob.Job) {
	profile, _ := e.watcher.Current().Profile(job.Profile)
	for _, t := range job.Tasks {
		counted := cwaccounting.Event{
			At: e.opts.Timer.Now(), Profile: job.Profile, Team: job.Team, Demand: job.Demand, Response: answerOf(job, t), Latency: t.EndedAt.Sub(job.ArrivedAt),
		}
		e.metrics.ObserveResponse(counted, profile.Class)
		e.totals.Count(context.Background(), counted)
	}
}

// answerOf returns what the caller of a job is told of one task; times are those of its last attempt.
func answerOf(job *cwjob.Job, t cwjob.Task) cwmodel.Response {
	answer := cwmodel.Response{Outcome: t.Outcome, Reason: t.Reason, Attempts: t.StartedAttempts}
	if t.StartedAt.IsZero() {
		answer.Attempts = 0
		return answer
	}
	answer.WaitTime = max(t.StartedAt.Sub(job.ArrivedAt), time.Duration(0))
	answer.RunTime = max(t.EndedAt.Sub(t.StartedAt), time.Duration(0))
	return answer
}
