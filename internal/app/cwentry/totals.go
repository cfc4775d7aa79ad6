package cwentry

import (
	"context"
	"time"

	"currantward/internal/core/cwaccounting"
	"currantward/internal/core/cwjob"
	"currantward/internal/core/cwmodel"
)

// countJobResponses counts one response for each task of a job whose end is committed, in the metrics and the totals.
func (e *EntryHost) countJobResponses(job *cwjob.Job) {
	profile, _ := e.watcher.Current().Profile(job.Profile)
	for _, t := range job.Tasks {
		event := cwaccounting.Event{
			At: e.opts.Timer.Now(), Profile: job.Profile, Team: job.Team, Demand: job.Demand, Response: responseOf(job, t), Latency: t.EndedAt.Sub(job.ArrivedAt),
		}
		e.metrics.ObserveResponse(event, profile.Class)
		e.totals.Count(context.Background(), event)
	}
}

// responseOf returns the response for one task of an ended job. Its times are those of the last attempt; they are zero if none started.
func responseOf(job *cwjob.Job, t cwjob.Task) cwmodel.Response {
	response := cwmodel.Response{Outcome: t.Outcome, Reason: t.Reason, Attempts: t.StartedAttempts}
	if t.StartedAt.IsZero() {
		response.Attempts = 0
		return response
	}
	response.WaitTime = max(t.StartedAt.Sub(job.ArrivedAt), time.Duration(0))
	response.RunTime = max(t.EndedAt.Sub(t.StartedAt), time.Duration(0))
	return response
}
