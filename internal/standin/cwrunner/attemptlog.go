package cwrunner

import (
	"time"

	"github.com/sirupsen/logrus"

	"currantward/internal/adapter/cwmemory"
	"currantward/internal/core/cwmodel"
)

// Log events of attempts.
const (
	EventAttemptStarted = "attempt-began"
	EventAttemptEnded   = "attempt-ended"
)

// attemptLog logs the start and the end of each attempt, so that a checker can still read them after the worker was killed.
type attemptLog struct {
	worker cwmodel.HostID
	now    func() time.Time
	log    *logrus.Logger
}

// planAndLogStart returns the execution plan of an attempt that starts now, and logs the start.
func (l attemptLog) planAndLogStart(t cwmodel.Task) cwmemory.ExecutionPlan {
	l.log.WithFields(logrus.Fields{
		"worker": l.worker, "task": t.ID, "number": t.NextAttempt, "repeatable": t.Repeatable, "at": l.now().Format(time.RFC3339Nano),
		"milli-processors": t.Demand.MilliProcessors, "memory-bytes": t.Demand.MemoryBytes, "slots": t.Demand.Slots,
		"connections": t.Demand.Connections, "digest": NewOutput(t.ID, t.Payload).PayloadHash,
	}).Info(EventAttemptStarted)
	return PlanExecution(t)
}

// logEnd logs the end of an attempt.
func (l attemptLog) logEnd(r cwmodel.Result) {
	l.log.WithFields(logrus.Fields{
		"worker": l.worker, "task": r.Attempt.Task, "number": r.Attempt.Number, "end": r.End, "at": r.EndedAt.Format(time.RFC3339Nano),
	}).Info(EventAttemptEnded)
}
