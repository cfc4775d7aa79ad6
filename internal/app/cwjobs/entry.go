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

// entry is one job in memory: its row and what is under way for it.
type entry struct {
	cwjobrow.Row
	id       cwmodel.JobID
	busy     bool // a call is out
	stale    bool // the row may have changed
	hinted   bool // its home asks this host to look after it
	retryAt  time.Time
	tasks    map[int]*handling
	payload  []byte
	fetching bool
	waiting  time.Time // since when every task waits; zero otherwise
}

// handling is what this process does for one task.
type handling struct {
	generation uint64 // of the present submission; zero if the scheduler does not hold the task
	retryAt    time.Time
	attempt    int // number of the attempt that the fields below speak of
	since      time.Time
	stopAt     time.Time // when a stop is sent again
	settleAt   time.Time // when its worker is asked about it again
	isVerified bool      // its worker has shown it as running under the present epoch
}

func (e *entry) task(n int) *handling {
	h, ok := e.tasks[n]
	if !ok {
		h = &handling{}
		e.tasks[n] = h
	}
	return h
}

func (j *Jobs) entryOf(id cwmodel.JobID) *entry {
	e, ok := j.entries[id]
	if !ok {
		e = &entry{id: id, tasks: map[int]*handling{}}
		j.entries[id] = e
	}
	return e
}

func (j *Jobs) isHome(e *entry) bool { return e.Job != nil && e.Job.Coordinator == j.opts.Self }

// enqueue adds a change and sends it as soon as nothing is under way for this job.
func (j *Jobs) enqueue(ctx context.Context, e *entry, c cwjobrow.Change) {
	e.Enqueue(c)
	j.advance(ctx, e)
}

// advance does the next thing for a job: read it, write its changes, or drive its tasks.
func (j *Jobs) advance(ctx context.Context, e *entry) {
	now := j.opts.Timer.Now()
	switch {
	case e.busy || now.Before(e.retryAt):
	case e.Job == nil || e.stale:
		j.startRead(ctx, e)
	case e.PendingCount() > 0:
		j.startWrite(ctx, now, e)
	case j.isHome(e):
		j.drive(ctx, now, e)
	default:
		j.attend(ctx, e)
		delete(j.entries, e.id)
	}
}

func (j *Jobs) startRead(ctx context.Context, e *entry) {
	id := e.id
	e.busy = j.call(ctx, func(ctx context.Context) event {
		job, version, err := j.store.ReadLive(ctx, id)
		return event{kind: eventRead, id: id, job: job, version: version, err: err}
	})
	if !e.busy {
		e.retryAt = j.opts.Timer.Now().Add(j.opts.RetryAfter)
	}
}

func (j *Jobs) read(ctx context.Context, back event) {
	e := j.entryOf(back.id)
	e.busy = false
	switch {
	case back.err != nil:
		e.retryAt = j.opts.Timer.Now().Add(j.opts.RetryAfter)
		return
	case back.job == nil:
		j.forget(ctx, e)
		return
	}
	e.stale = false
	wasHome := j.isHome(e)
	e.Load(back.job, back.version)
	if wasHome && !j.isHome(e) {
		j.displaced(ctx, e)
	}
	if e.Job.Coordinator.Host == j.opts.Self.Host && j.fleet.MayAdopt(j.opts.Timer.Now(), e.Job) {
		j.adopt(ctx, e)
		return
	}
	j.advance(ctx, e)
}

// forget drops a job that is over or was never committed.
func (j *Jobs) forget(ctx context.Context, e *entry) {
	delete(j.entries, e.id)
	j.withdraw(ctx, e)
	e.DropPending()
}

// displaced drops what another home does from now on; running attempts go on.
func (j *Jobs) displaced(ctx context.Context, e *entry) {
	j.opts.Log.WithFields(logrus.Fields{"job-id": e.id, "home": e.Job.Coordinator.Host}).Info("job-has-another-home")
	j.withdraw(ctx, e)
	e.tasks = map[int]*handling{}
}

func (j *Jobs) withdraw(ctx context.Context, e *entry) {
	for _, n := range slices.Sorted(maps.Keys(e.tasks)) {
		if h := e.tasks[n]; h.generation > 0 {
			h.generation = 0
			_ = j.opts.Withdraw(ctx, cwjob.TaskID(e.id, n))
		}
	}
}

// startWrite makes the waiting changes on a copy and hands the row to the ledger.
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
	e.busy = true
	id := e.id
	write.Deadline = deadline
	write.Done = func(verdict cwtablewriter.WriteResult) {
		j.deliver(event{kind: eventWritten, id: id, verdict: verdict})
	}
	j.opts.Write(write)
}

func (j *Jobs) written(ctx context.Context, back event) {
	e, ok := j.entries[back.id]
	if !ok || !e.busy || back.verdict == cwtablewriter.Unknown {
		return
	}
	e.busy = false
	switch back.verdict {
	case cwtablewriter.Committed:
		j.committed(ctx, e)
	case cwtablewriter.Conflict:
		e.stale = true
		e.Requeue()
	default:
		e.retryAt = j.opts.Timer.Now().Add(j.opts.RetryAfter / 4)
		e.Requeue()
		e.ExpirePending(j.opts.Timer.Now())
	}
	if _, ok = j.entries[back.id]; ok {
		j.advance(ctx, e)
	}
}

func (j *Jobs) committed(ctx context.Context, e *entry) {
	wasHome := j.isHome(e)
	e.Commit()
	if wasHome && !j.isHome(e) {
		j.displaced(ctx, e)
	}
	if e.Job.IsFinished() {
		j.opts.Log.WithFields(logrus.Fields{"job-id": e.id, "profile": e.Job.Profile, "team": e.Job.Team, "tasks": len(e.Job.Tasks)}).Info("job-ended")
		if j.opts.OnJobEnded != nil {
			j.opts.OnJobEnded(e.Job)
		}
		j.forget(ctx, e)
	}
}

// action takes an order of the scheduler for a durable task.
func (j *Jobs) action(ctx context.Context, a cwdecider.Action) {
	id, n, ok := cwjob.ParseTaskID(a.Attempt.Task)
	e, known := j.entries[id]
	switch a.Kind {
	case cwdecider.ActionStart:
	case cwdecider.ActionLost:
		if known {
			e.task(n).generation = 0
		}
		return
	default:
		if ok && known && a.Kind == cwdecider.ActionStop && j.isHome(e) && e.Job.Tasks[n].Phase == cwjob.PhaseDispatched && e.Job.Tasks[n].Attempt == a.Attempt {
			j.opts.SendOrder(a)
		}
		return
	}
	if !ok || !known || !j.isHome(e) || n >= len(e.Job.Tasks) {
		j.neverBegan(ctx, a.Attempt, cwfault.New(cwfault.Refused, "this host is not the home of the job"))
		return
	}
	var refused error
	j.enqueue(ctx, e, cwjobrow.Change{
		Deadline: j.opts.Timer.Now().Add(j.opts.WriteTimeout),
		Apply: func(now time.Time, job *cwjob.Job) bool {
			if job.Coordinator != j.opts.Self {
				refused = cwfault.New(cwfault.Refused, "another host is the home of the job")
				return false
			}
			refused = job.Dispatch(now, n, a.Attempt)
			return refused == nil
		},
		Done: func(applied bool) { j.ordered(ctx, e, a, applied, refused) },
	})
}

// ordered sends a start order whose attempt is committed.
func (j *Jobs) ordered(ctx context.Context, e *entry, a cwdecider.Action, applied bool, refused error) {
	if applied {
		j.opts.SendOrder(a)
		return
	}
	if refused == nil {
		refused = cwfault.New(cwfault.Unavailable, "the attempt could not be committed")
	}
	j.opts.Log.WithFields(logrus.Fields{"job-id": e.id, "task": a.Attempt.Task, "error": cwfault.MessageOf(refused)}).Debug("start-not-committed")
	j.neverBegan(ctx, a.Attempt, refused)
}

// neverBegan tells the scheduler that a start order was not sent.
func (j *Jobs) neverBegan(ctx context.Context, a cwmodel.Attempt, cause error) {
	_ = j.opts.ReportResult(ctx, cwmodel.Result{
		Attempt: a, End: cwmodel.EndNotStarted, Message: cwfault.MessageOf(cause), EndedAt: j.opts.Timer.Now(),
	})
}

// result records the end of an attempt, whoever is the home of its job, and acknowledges it once that is committed.
func (j *Jobs) result(ctx context.Context, r cwmodel.Result) {
	id, n, ok := cwjob.ParseTaskID(r.Attempt.Task)
	_ = j.opts.ReportResult(ctx, r)
	if !ok {
		return
	}
	e := j.entryOf(id)
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
	j.storeAnswer(ctx, e, r, c)
}

// storeAnswer puts a large answer into the object store before its result is recorded.
func (j *Jobs) storeAnswer(ctx context.Context, e *entry, r cwmodel.Result, c cwjobrow.Change) {
	stored := j.call(ctx, func(ctx context.Context) event {
		return event{kind: eventStored, id: e.id, result: r, change: c, err: j.opts.Objects.Put(ctx, cwjobstore.KeyOutput(r.Attempt), r.Output)}
	})
	if !stored {
		j.later(event{kind: eventStored, id: e.id, result: r, change: c, err: errNoRoom})
	}
}

var errNoRoom = cwfault.New(cwfault.Unavailable, "the pool for calls is full")

// later brings an event back after a while.
func (j *Jobs) later(e event) {
	j.opts.Timer.After(j.opts.RetryAfter, func(time.Time) { j.deliver(e) })
}

func (j *Jobs) stored(ctx context.Context, back event) {
	if back.err == nil {
		j.enqueue(ctx, j.entryOf(back.id), back.change)
		return
	}
	if back.again {
		j.storeAnswer(ctx, j.entryOf(back.id), back.result, back.change)
		return
	}
	back.again = true
	j.later(back)
}
