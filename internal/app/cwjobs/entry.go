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

// entry is one job in memory: its row and the volatile state of its processing.
type entry struct {
	cwjobrow.Row
	id                 cwmodel.JobID
	callPending        bool // a read or write of the row is in progress
	isStale            bool // the row may have changed and has to be read again
	reconcileRequested bool // its coordinator asked this host to query its attempts here
	retryAt            time.Time
	tasks              map[int]*taskHandle
	payload            []byte
	fetchingPayload    bool
	waitingSince       time.Time // since when no task is dispatched; zero otherwise
}

// taskHandle is the volatile state of one task in this process.
type taskHandle struct {
	generation   uint64 // of the current submission; zero if the scheduler does not have the task
	retryAt      time.Time
	attempt      int // number of the attempt that the fields below refer to
	trackedSince time.Time
	nextStopAt   time.Time // when the next stop is sent
	nextQueryAt  time.Time // when its worker is queried next
	isVerified   bool      // its worker has reported it as running under the current epoch
}

func (e *entry) task(n int) *taskHandle {
	h, ok := e.tasks[n]
	if !ok {
		h = &taskHandle{}
		e.tasks[n] = h
	}
	return h
}

func (j *Jobs) ensureEntry(id cwmodel.JobID) *entry {
	e, ok := j.entries[id]
	if !ok {
		e = &entry{id: id, tasks: map[int]*taskHandle{}}
		j.entries[id] = e
	}
	return e
}

func (j *Jobs) isCoordinator(e *entry) bool { return e.Job != nil && e.Job.Coordinator == j.opts.Self }

// enqueue adds a change, to be written as soon as no other call for this job is in progress.
func (j *Jobs) enqueue(ctx context.Context, e *entry, c cwjobrow.Change) {
	e.Enqueue(c)
	j.advance(ctx, e)
}

// advance takes the next step for a job: it reads the row, writes its changes, or reconciles its tasks.
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

func (j *Jobs) startRead(ctx context.Context, e *entry) {
	id := e.id
	e.callPending = j.startCall(ctx, func(ctx context.Context) event {
		job, version, err := j.store.ReadLive(ctx, id)
		return event{kind: eventRead, id: id, job: job, version: version, err: err}
	})
	if !e.callPending {
		e.retryAt = j.opts.Timer.Now().Add(j.opts.RetryAfter)
	}
}

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
	e.Load(ev.job, ev.version)
	if wasCoordinator && !j.isCoordinator(e) {
		j.stopCoordinating(ctx, e)
	}
	if e.Job.Coordinator.Host == j.opts.Self.Host && j.fleet.ShouldAdopt(j.opts.Timer.Now(), e.Job) {
		j.adopt(ctx, e)
		return
	}
	j.advance(ctx, e)
}

// drop removes a job that has ended or was never committed.
func (j *Jobs) drop(ctx context.Context, e *entry) {
	delete(j.entries, e.id)
	j.withdrawTasks(ctx, e)
	e.DropPending()
}

// stopCoordinating withdraws the tasks of a job that another host now coordinates; running attempts continue.
func (j *Jobs) stopCoordinating(ctx context.Context, e *entry) {
	j.opts.Log.WithFields(logrus.Fields{"job-id": e.id, "home": e.Job.Coordinator.Host}).Info("job-has-another-home")
	j.withdrawTasks(ctx, e)
	e.tasks = map[int]*taskHandle{}
}

func (j *Jobs) withdrawTasks(ctx context.Context, e *entry) {
	for _, n := range slices.Sorted(maps.Keys(e.tasks)) {
		if h := e.tasks[n]; h.generation > 0 {
			h.generation = 0
			_ = j.opts.CancelTask(ctx, cwjob.TaskID(e.id, n))
		}
	}
}

// startWrite applies the pending changes to a copy and passes the row to the table writer.
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
	default:
		e.retryAt = j.opts.Timer.Now().Add(j.opts.RetryAfter / 4)
		e.Requeue()
		e.ExpirePending(j.opts.Timer.Now())
	}
	if _, ok = j.entries[ev.id]; ok {
		j.advance(ctx, e)
	}
}

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

// handleAction handles an action of the scheduler for a durable task.
func (j *Jobs) handleAction(ctx context.Context, a cwdecider.Action) {
	id, n, ok := cwjob.ParseTaskID(a.Attempt.Task)
	e, isKnown := j.entries[id]
	switch a.Kind {
	case cwdecider.ActionStart:
	case cwdecider.ActionLost:
		if isKnown {
			e.task(n).generation = 0
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

// sendStart sends the start order of a committed attempt, or reports to the scheduler that the attempt was not started.
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

// reportNotStarted reports to the scheduler that a start order was not sent.
func (j *Jobs) reportNotStarted(ctx context.Context, a cwmodel.Attempt, cause error) {
	_ = j.opts.ReportResult(ctx, cwmodel.Result{
		Attempt: a, End: cwmodel.EndNotStarted, Message: cwfault.MessageOf(cause), EndedAt: j.opts.Timer.Now(),
	})
}

// handleResult records the end of an attempt, whichever host coordinates its job, and acknowledges it once the row is committed.
func (j *Jobs) handleResult(ctx context.Context, r cwmodel.Result) {
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

// storeOutput puts a large output into the object store before its result is recorded.
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

func (j *Jobs) handleOutputStored(ctx context.Context, ev event) {
	if ev.err == nil {
		j.enqueue(ctx, j.ensureEntry(ev.id), ev.change)
		return
	}
	if ev.isRetry {
		j.storeOutput(ctx, j.ensureEntry(ev.id), ev.result, ev.change)
		return
	}
	ev.isRetry = true
	j.retryLater(ev)
}
