package cwjobs

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"currantward/internal/app/cwjobrow"
	"currantward/internal/app/cwjobstore"
	"currantward/internal/app/cwtablewriter"
	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwdecider"
	"currantward/internal/core/cwjob"
	"currantward/internal/core/cwmodel"
)

// entry is one job in memory: its row, and the state of its processing, which a restart loses.
type entry struct {
	cwjobrow.Row
	id                 cwmodel.JobID
	callPending        bool      // a read or write of the row is in progress
	isStale            bool      // the row may have changed in the table and must be read before the next step
	reconcileRequested bool      // its coordinator asked this host to query its attempts here
	retryAt            time.Time // no call is made before; zero if none is delayed
	tasks              map[int]*taskState
	payload            []byte // large payload from the object store; nil until it is fetched
	isFetchingPayload  bool
	waitingSince       time.Time // since when no task is dispatched; zero while one is
}

// taskState is the state of one task in this process, which a restart loses.
type taskState struct {
	submissionID uint64    // identifies the submission to the scheduler; zero while the scheduler does not have the task
	retryAt      time.Time // the task is not submitted before
	attempt      int       // number of the attempt that the fields below refer to
	trackedSince time.Time // when this host first found the attempt dispatched
	nextStopAt   time.Time // no stop order is sent before
	nextQueryAt  time.Time // its worker is not queried before
	isConfirmed  bool      // its worker has reported, under its current epoch, that the attempt runs; it is not queried again
}

// stateOf returns the state of task n and creates it if needed.
func (e *entry) stateOf(n int) *taskState {
	state, ok := e.tasks[n]
	if !ok {
		state = &taskState{}
		e.tasks[n] = state
	}
	return state
}

// ensureEntry returns the entry of a job and creates it if needed; the row of a new entry is not read yet.
func (j *Jobs) ensureEntry(id cwmodel.JobID) *entry {
	e, ok := j.entries[id]
	if !ok {
		e = &entry{id: id, tasks: map[int]*taskState{}}
		j.entries[id] = e
	}
	return e
}

// isCoordinator reports whether this host coordinates a job, by the committed row; it is false until the row is read.
func (j *Jobs) isCoordinator(e *entry) bool { return e.Job != nil && e.Job.Coordinator == j.opts.Self }

// enqueue adds a change to a job and advances the job; the change is written once no other call for the job is in progress.
func (j *Jobs) enqueue(ctx context.Context, e *entry, c cwjobrow.Change) {
	e.Enqueue(c)
	j.advance(ctx, e)
}

// advance takes the next step for a job, unless a call is in progress or delayed: it reads the row if it is missing or stale, else writes
// the pending changes, else reconciles the tasks.
//
// Only the coordinator submits tasks and keeps the job in memory. Another host only reconciles the attempts on its own workers and then
// drops the entry.
func (j *Jobs) advance(ctx context.Context, e *entry) {
	now := j.opts.Timer.Now()
	switch {
	case e.callPending || now.Before(e.retryAt):
	case e.Job == nil || e.isStale:
		j.startRead(ctx, e)
	case e.PendingChanges() > 0:
		j.startWrite(ctx, now, e)
	case j.isCoordinator(e):
		j.reconcile(ctx, now, e)
	default:
		j.reconcileAttempts(ctx, e)
		delete(j.entries, e.id)
	}
}

// startRead reads the row of a job on the pool; a full pool delays the read by RetryAfter.
func (j *Jobs) startRead(ctx context.Context, e *entry) {
	id := e.id
	e.callPending = j.startCall(ctx, func(ctx context.Context) event {
		job, version, err := j.store.ReadLive(ctx, id)
		return event{kind: eventRead, id: id, job: job, rowVersion: version, err: err}
	})
	if !e.callPending {
		e.retryAt = j.opts.Timer.Now().Add(j.opts.RetryAfter)
	}
}

// handleRead makes the row that was read the committed state of its job and advances the job. A failed read is repeated after RetryAfter.
//
// A job without a live row is dropped, and a job that an earlier process of this host coordinated is adopted.
func (j *Jobs) handleRead(ctx context.Context, ev event) {
	e := j.ensureEntry(ev.id)
	e.callPending = false
	switch {
	case ev.err != nil:
		e.retryAt = j.opts.Timer.Now().Add(j.opts.RetryAfter)
		return
	case ev.job == nil:
		j.drop(ctx, e)
		return
	}
	e.isStale = false
	wasCoordinator := j.isCoordinator(e)
	e.Load(ev.job, ev.rowVersion)
	if wasCoordinator && !j.isCoordinator(e) {
		j.stopCoordinating(ctx, e)
	}
	if e.Job.Coordinator.Host == j.opts.Self.Host && j.fleet.ShouldAdopt(j.opts.Timer.Now(), e.Job) {
		j.adopt(ctx, e)
		return
	}
	j.advance(ctx, e)
}

// drop removes a job that ended or was never committed from memory, cancels its submissions, and completes its pending changes as not
// applied.
func (j *Jobs) drop(ctx context.Context, e *entry) {
	delete(j.entries, e.id)
	j.cancelSubmissions(ctx, e)
	e.DropPending()
}

// stopCoordinating cancels the submissions of a job that another host now coordinates, and forgets the state of its tasks; running attempts
// continue.
func (j *Jobs) stopCoordinating(ctx context.Context, e *entry) {
	j.opts.Log.WithFields(logrus.Fields{"job-id": e.id, "home": e.Job.Coordinator.Host}).Info("job-has-another-home")
	j.cancelSubmissions(ctx, e)
	e.tasks = map[int]*taskState{}
}

// cancelSubmissions cancels those tasks of a job that the scheduler has; the row of the job does not change.
func (j *Jobs) cancelSubmissions(ctx context.Context, e *entry) {
	for _, n := range slices.Sorted(maps.Keys(e.tasks)) {
		if state := e.tasks[n]; state.submissionID > 0 {
			state.submissionID = 0
			_ = j.opts.CancelTask(ctx, cwjob.TaskID(e.id, n))
		}
	}
}

// startWrite applies the pending changes to a copy of the job and passes the new row to the table writer. If no change has an effect, it
// completes them without a write. If the row cannot be encoded, it completes them as not applied.
func (j *Jobs) startWrite(ctx context.Context, now time.Time, e *entry) {
	deadline, isChanged := e.BeginWrite(now)
	if !isChanged {
		e.Complete()
		j.advance(ctx, e)
		return
	}
	write, err := cwjobstore.ReplaceWrite(e.Job, e.Next(), e.Version, j.opts.Self.Host)
	if err != nil {
		j.opts.Log.WithFields(logrus.Fields{"job-id": e.id, "error": err.Error()}).Error("job-not-encoded")
		e.Fail()
		return
	}
	e.callPending = true
	id := e.id
	write.Deadline = deadline
	write.Done = func(r cwtablewriter.WriteResult) { j.deliver(event{kind: eventWritten, id: id, writeResult: r}) }
	j.opts.Write(write)
}

// handleWritten handles the result of a write: after a conflict the row is read again, and the changes are applied to the new state. A
// refused write is repeated after a pause. Unknown is ignored, since a final result follows.
func (j *Jobs) handleWritten(ctx context.Context, ev event) {
	e, ok := j.entries[ev.id]
	if !ok || !e.callPending || ev.writeResult == cwtablewriter.Unknown {
		return
	}
	e.callPending = false
	switch ev.writeResult {
	case cwtablewriter.Committed:
		j.applyCommit(ctx, e)
	case cwtablewriter.Conflict:
		e.isStale = true
		e.Requeue()
	default: // refused: nothing was written, and changes past their deadline are dropped
		e.retryAt = j.opts.Timer.Now().Add(j.opts.RetryAfter / 4)
		e.Requeue()
		e.ExpirePending(j.opts.Timer.Now())
	}
	if _, ok = j.entries[ev.id]; ok {
		j.advance(ctx, e)
	}
}

// applyCommit makes the written copy the committed state of a job, and drops a job whose end was committed.
func (j *Jobs) applyCommit(ctx context.Context, e *entry) {
	wasCoordinator := j.isCoordinator(e)
	e.Commit()
	if wasCoordinator && !j.isCoordinator(e) {
		j.stopCoordinating(ctx, e)
	}
	if e.Job.IsEnded() {
		j.opts.Log.WithFields(logrus.Fields{"job-id": e.id, "profile": e.Job.Profile, "team": e.Job.Team, "tasks": len(e.Job.Tasks)}).Info("job-ended")
		if j.opts.OnJobEnded != nil {
			j.opts.OnJobEnded(e.Job)
		}
		j.drop(ctx, e)
	}
}

// handleSchedulerAction handles an action of the scheduler for a durable task.
//
// ActionStart commits the attempt before its start order is sent, or reports that it was not started if this host does not coordinate the
// job. ActionStop sends a stop order if the attempt is the dispatched one. ActionLost records that the scheduler no longer has the task.
// Other actions have no effect.
func (j *Jobs) handleSchedulerAction(ctx context.Context, a cwdecider.Action) {
	id, n, ok := cwjob.ParseTaskID(a.Attempt.Task)
	e, isKnown := j.entries[id]
	switch a.Kind {
	case cwdecider.ActionStart:
	case cwdecider.ActionLost:
		if isKnown {
			e.stateOf(n).submissionID = 0
		}
		return
	default:
		if ok && isKnown && a.Kind == cwdecider.ActionStop && j.isCoordinator(e) && e.Job.Tasks[n].Phase == cwjob.PhaseDispatched && e.Job.Tasks[n].LatestAttempt == a.Attempt {
			j.opts.SendOrder(a)
		}
		return
	}
	if !ok || !isKnown || !j.isCoordinator(e) || n >= len(e.Job.Tasks) {
		j.reportNotStarted(ctx, a.Attempt, cwfault.New(cwfault.Refused, "this host is not the home of the job"))
		return
	}
	var cause error
	j.enqueue(ctx, e, cwjobrow.Change{
		Deadline: j.opts.Timer.Now().Add(j.opts.WriteTimeout),
		Apply: func(now time.Time, job *cwjob.Job) bool {
			if job.Coordinator != j.opts.Self {
				cause = cwfault.New(cwfault.Refused, "another host is the home of the job")
				return false
			}
			cause = job.Dispatch(now, n, a.Attempt)
			return cause == nil
		},
		Done: func(applied bool) { j.sendStart(ctx, e, a, applied, cause) },
	})
}

// sendStart sends the start order of a committed attempt. If the attempt was not committed (applied is false), it reports to the
// scheduler that the attempt was not started; a nil cause means that the write failed.
func (j *Jobs) sendStart(ctx context.Context, e *entry, a cwdecider.Action, applied bool, cause error) {
	if applied {
		j.opts.SendOrder(a)
		return
	}
	if cause == nil {
		cause = cwfault.New(cwfault.Unavailable, "the attempt could not be committed")
	}
	j.opts.Log.WithFields(logrus.Fields{"job-id": e.id, "task": a.Attempt.Task, "error": cwfault.MessageOf(cause)}).Debug("start-not-committed")
	j.reportNotStarted(ctx, a.Attempt, cause)
}

// reportNotStarted reports to the scheduler that the start order of an attempt was not sent.
func (j *Jobs) reportNotStarted(ctx context.Context, a cwmodel.Attempt, cause error) {
	_ = j.opts.ReportResult(ctx, cwmodel.Result{
		Attempt: a, End: cwmodel.EndNotStarted, Message: cwfault.MessageOf(cause), EndedAt: j.opts.Timer.Now(),
	})
}

// handleAttemptResult passes the result of an attempt to the scheduler and then records it in the job's row, whichever host coordinates the job.
//
// It acknowledges the result to the worker once the change is completed, whether or not the row needed a change. A large output is put
// into the object store before the row is written. A result whose task ID is not that of a job's task is only passed to the scheduler.
func (j *Jobs) handleAttemptResult(ctx context.Context, r cwmodel.Result) {
	id, n, ok := cwjob.ParseTaskID(r.Attempt.Task)
	_ = j.opts.ReportResult(ctx, r)
	if !ok {
		return
	}
	e := j.ensureEntry(id)
	c := cwjobrow.Change{
		Apply: func(now time.Time, job *cwjob.Job) bool {
			if n >= len(job.Tasks) {
				return false
			}
			isNew := job.ApplyResult(now, n, r)
			if isNew && len(r.Output) > j.opts.InlineSize {
				job.Tasks[n].Output, job.Tasks[n].OutputKey = nil, cwjobstore.KeyOutput(r.Attempt)
			}
			return isNew
		},
		Done: func(bool) { j.opts.Acknowledge(r.Attempt) },
	}
	if len(r.Output) <= j.opts.InlineSize {
		j.enqueue(ctx, e, c)
		return
	}
	j.storeOutput(ctx, e, r, c)
}

// storeOutput puts a large output into the object store on the pool; change c, which refers to the output, is enqueued after that. The end
// of the call arrives as eventOutputStored. A full pool counts as a failed call.
func (j *Jobs) storeOutput(ctx context.Context, e *entry, r cwmodel.Result, c cwjobrow.Change) {
	stored := j.startCall(ctx, func(ctx context.Context) event {
		return event{kind: eventOutputStored, id: e.id, result: r, change: c, err: j.opts.Objects.Put(ctx, cwjobstore.KeyOutput(r.Attempt), r.Output)}
	})
	if !stored {
		j.retryLater(event{kind: eventOutputStored, id: e.id, result: r, change: c, err: errPoolFull})
	}
}

var errPoolFull = cwfault.New(cwfault.Unavailable, "the pool for calls is full")

// retryLater delivers an event again after RetryAfter.
func (j *Jobs) retryLater(ev event) {
	j.opts.Timer.After(j.opts.RetryAfter, func(time.Time) { j.deliver(ev) })
}

// handleOutputStored records the result of an attempt once its output is in the object store.
//
// After a failure, the event is delivered again after RetryAfter with retryDue set, and then starts another try.
func (j *Jobs) handleOutputStored(ctx context.Context, ev event) {
	if ev.err == nil {
		j.enqueue(ctx, j.ensureEntry(ev.id), ev.change)
		return
	}
	if ev.retryDue {
		j.storeOutput(ctx, j.ensureEntry(ev.id), ev.result, ev.change)
		return
	}
	ev.retryDue = true
	j.retryLater(ev)
}
