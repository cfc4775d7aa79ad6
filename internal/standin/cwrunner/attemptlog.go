package cwrunner

import (
	"time"

	"github.com/sirupsen/logrus"

	"currantward/internal/adapter/cwmemory"
	"currantward/internal/core/cwmodel"
)

// Events and keys of a worker's journal in its log.
const (
	EventAttemptStarted = "attempt-began"
	EventAttemptEnded   = "attempt-ended"
)

// journal logs each attempt that begins or ends, so that a checker can read them after the worker was killed.
type journal struct {
	worker cwmodel.HostID
	now    func() time.Time
	log    *logrus.Logger
}

// begin logs an attempt that begins and returns how it will go.
func (j journal) begin(t cwmodel.Task) cwmemory.ExecutionPlan {
	j.log.WithFields(logrus.Fields{
		"worker": j.worker, "task": t.ID, "number": t.Attempt, "repeatable": t.Repeatable, "at": j.now().Format(time.RFC3339Nano),
		"milli-processors": t.Demand.MilliProcessors, "memory-bytes": t.Demand.MemoryBytes, "slots": t.Demand.Slots,
		"connections": t.Demand.Connections, "digest": NewOutput(t.ID, t.Payload).Digest,
	}).Info(EventAttemptStarted)
	return PlanExecution(t)
}

// end logs an attempt that has ended.
func (j journal) end(r cwmodel.Result) {
	j.log.WithFields(logrus.Fields{
		"worker": j.worker, "task": r.Attempt.Task, "number": r.Attempt.Number, "end": r.End, "at": r.EndedAt.Format(time.RFC3339Nano),
	}).Info(EventAttemptEnded)
}
