package cwjobs

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"currantward/internal/app/cwjobrow"
	"currantward/internal/core/cwjob"
	"currantward/internal/core/cwmodel"
)

// reconcile acts on the committed state of a job that this host coordinates.
//
// It queries or stops the dispatched attempts at their workers, and then may hand the whole job over to a peer. Otherwise, it cancels
// submissions of ended tasks, marks attempts as lost whose worker is missing for too long, and submits the waiting tasks to the
// scheduler.
func (j *Jobs) reconcile(ctx context.Context, now time.Time, e *entry) {
	j.reconcileAttempts(ctx, e)
	if j.handOverIfWaiting(ctx, now, e) {
		return
	}
	readyTasks := 0
	for n := range e.Job.Tasks {
		t, state := &e.Job.Tasks[n], e.stateOf(n)
		switch t.Phase {
		case cwjob.PhaseEnded:
			if state.submissionID > 0 {
				state.submissionID = 0
				_ = j.opts.CancelTask(ctx, cwjob.TaskID(e.id, n))
			}
		case cwjob.PhaseDispatched:
			j.markLostIfWorkerMissing(ctx, now, e, n)
		case cwjob.PhaseWaiting:
			if state.submissionID == 0 && !now.Before(state.retryAt) {
				readyTasks++
			}
		}
	}
	if readyTasks > 0 && !e.Job.IsStopping() && j.ensurePayload(ctx, e) {
		j.submit(now, e, readyTasks)
	}
}

// submit submits the waiting tasks that the scheduler does not have yet; ready is the number of those that are due. A gang is submitted as
// one unit once all its tasks are due. If the scheduler's inbox is full, a task is submitted again after RetryAfter.
func (j *Jobs) submit(now time.Time, e *entry, ready int) {
	if e.Job.Kind == cwmodel.KindGang {
		if ready == len(e.Job.Tasks) {
			j.submitGang(now, e)
		}
		return
	}
	for n := range e.Job.Tasks {
		state := e.stateOf(n)
		if e.Job.Tasks[n].Phase != cwjob.PhaseWaiting || state.submissionID > 0 || now.Before(state.retryAt) {
			continue
		}
		j.lastSubmissionID++
		state.submissionID = j.lastSubmissionID
		if !j.opts.Submit(e.schedulerTask(n), j.replyFunc(e.id, n, state.submissionID)) {
			state.submissionID, state.retryAt = 0, now.Add(j.opts.RetryAfter)
		}
	}
}

// submitGang submits all tasks of a gang as one submission. It delays all of them by RetryAfter if the scheduler's inbox is full or gangs
// are not supported.
func (j *Jobs) submitGang(now time.Time, e *entry) {
	j.lastSubmissionID++
	submissionID := j.lastSubmissionID
	tasks := make([]cwmodel.Task, 0, len(e.Job.Tasks))
	for n := range e.Job.Tasks {
		e.stateOf(n).submissionID = submissionID
		tasks = append(tasks, e.schedulerTask(n))
	}
	id := e.id
	reply := func(response cwmodel.Response) {
		if _, n, ok := cwjob.ParseTaskID(response.Task); ok {
			j.replyFunc(id, n, submissionID)(response)
		}
	}
	if j.opts.SubmitGang != nil && j.opts.SubmitGang(tasks, reply) {
		return
	}
	for n := range e.Job.Tasks {
		state := e.stateOf(n)
		state.submissionID, state.retryAt = 0, now.Add(j.opts.RetryAfter)
	}
}

// replyFunc returns the function that enqueues the scheduler's response to the given submission of task n.
func (j *Jobs) replyFunc(id cwmodel.JobID, n int, submissionID uint64) func(cwmodel.Response) {
	return func(response cwmodel.Response) {
		j.deliver(event{kind: eventTaskResponse, id: id, task: n, submissionID: submissionID, response: response})
	}
}

// schedulerTask returns task n in the form in which it is submitted to the scheduler for its next attempt.
//
// MaxAttempts is 1, since the committed row determines whether another attempt follows.
func (e *entry) schedulerTask(n int) cwmodel.Task {
	job := e.Job
	payload := job.Payload
	if job.PayloadKey != "" {
		payload = e.payload
	}
	return cwmodel.Task{
		ID: cwjob.TaskID(job.ID, n), Job: job.ID, NextAttempt: job.Tasks[n].LatestAttempt.Number + 1, Profile: job.Profile, Team: job.Team,
		Kind: job.Kind, Demand: job.Demand, ArrivedAt: job.ArrivedAt, Deadline: job.Deadline, Lease: job.Lease,
		MaxAttempts: 1, Repeatable: job.Repeatable, Checkpointable: job.Checkpointable, Durable: true, Payload: payload,
	}
}

// ensurePayload reports whether the payload is in memory; a small one is part of the row. It starts to fetch a missing large one from the
// object store, unless the pool is full; a later reconcile tries again then.
func (j *Jobs) ensurePayload(ctx context.Context, e *entry) bool {
	if e.Job.PayloadKey == "" || e.payload != nil {
		return true
	}
	if e.isFetchingPayload {
		return false
	}
	id, key := e.id, e.Job.PayloadKey
	e.isFetchingPayload = j.startCall(ctx, func(ctx context.Context) event {
		body, err := j.opts.Objects.Get(ctx, key)
		return event{kind: eventPayload, id: id, payload: body, err: err}
	})
	return false
}

// handlePayload keeps a fetched payload and advances the job; after an error, the job is retried after RetryAfter.
func (j *Jobs) handlePayload(ctx context.Context, ev event) {
	e, ok := j.entries[ev.id]
	if !ok {
		return
	}
	e.isFetchingPayload = false
	if ev.err != nil {
		e.retryAt = j.opts.Timer.Now().Add(j.opts.RetryAfter)
		return
	}
	e.payload = ev.payload
	j.advance(ctx, e)
}

// permanentReasons are the reasons for which no host will ever be able to start the task.
var permanentReasons = map[cwmodel.Reason]bool{
	cwmodel.ReasonUnknownProfile: true, cwmodel.ReasonUnknownTeam: true,
	cwmodel.ReasonOverQuota: true, cwmodel.ReasonDeadlinePassed: true, cwmodel.ReasonNoTimeLeft: true,
}

// handleTaskResponse handles the scheduler's response to a submission; a response to an earlier submission is ignored.
//
// A response with any outcome but not-run only advances the job, since the outcome of an attempt that ran is taken from the row. A task
// that did not run is submitted again after RetryAfter, with these exceptions: If it is too large for all workers of this host, its job
// is handed over to a host that has not tried it. If there is no such host, the deadline has passed or the reason is permanent, the task
// is recorded as rejected in the row.
func (j *Jobs) handleTaskResponse(ctx context.Context, ev event) {
	e, ok := j.entries[ev.id]
	if !ok || !j.isCoordinator(e) || e.stateOf(ev.task).submissionID != ev.submissionID {
		return
	}
	state := e.stateOf(ev.task)
	state.submissionID = 0
	if ev.response.Outcome != cwmodel.OutcomeNotRun {
		j.advance(ctx, e)
		return
	}
	now := j.opts.Timer.Now()
	state.retryAt = now.Add(j.opts.RetryAfter)
	isLate := !e.Job.Deadline.IsZero() && !now.Before(e.Job.Deadline)
	isTooLarge := ev.response.Reason == cwmodel.ReasonTooLarge
	if isTooLarge && j.handOverToUntriedHost(ctx, e) {
		return
	}
	if !isLate && !isTooLarge && !permanentReasons[ev.response.Reason] {
		return
	}
	j.enqueue(ctx, e, cwjobrow.Change{
		Apply: func(now time.Time, job *cwjob.Job) bool {
			return job.Coordinator == j.opts.Self && job.Reject(now, ev.task, ev.response.Reason)
		},
		Done: func(bool) {},
	})
}

// handOverToUntriedHost hands a job that fits no worker of this host over to a live host that has not tried it, and reports
// whether there is such a host.
func (j *Jobs) handOverToUntriedHost(ctx context.Context, e *entry) bool {
	for _, host := range j.fleet.LivePeers(j.opts.Timer.Now()) {
		if host != j.opts.Self.Host && !slices.Contains(e.Job.TriedHosts, host) {
			j.handOver(ctx, e, host, true)
			return true
		}
	}
	return false
}

// handOverIfWaiting hands a job over to a peer with free capacity if none of its tasks was dispatched for HandOverAfter, and reports
// whether there is such a peer. Without one, the next lookup follows after another HandOverAfter. A stopping job stays here.
func (j *Jobs) handOverIfWaiting(ctx context.Context, now time.Time, e *entry) bool {
	noneDispatched := !slices.ContainsFunc(e.Job.Tasks, func(t cwjob.Task) bool { return t.Phase == cwjob.PhaseDispatched })
	if !noneDispatched || e.waitingSince.IsZero() {
		e.waitingSince = time.Time{}
		if noneDispatched {
			e.waitingSince = now
		}
		return false
	}
	if e.Job.IsStopping() || now.Sub(e.waitingSince) < j.opts.HandOverAfter {
		return false
	}
	e.waitingSince = now
	host, ok := j.opts.PeerWithCapacity(e.Job.Demand)
	if ok {
		j.handOver(ctx, e, host, false)
	}
	return ok
}

// handOver enqueues the change that makes another host the coordinator of a job. If isTooLarge is set, the row also records this host as
// tried, so that the job does not return here.
func (j *Jobs) handOver(ctx context.Context, e *entry, to cwmodel.HostID, isTooLarge bool) {
	j.enqueue(ctx, e, cwjobrow.Change{
		Deadline: j.opts.Timer.Now().Add(j.opts.WriteTimeout),
		Apply: func(_ time.Time, job *cwjob.Job) bool {
			if job.Coordinator != j.opts.Self || !job.Reassign(to) {
				return false
			}
			if isTooLarge {
				job.TriedHosts = append(job.TriedHosts, j.opts.Self.Host)
			}
			return true
		},
		Done: func(applied bool) {
			j.opts.Log.WithFields(logrus.Fields{"job-id": e.id, "to": to, "moved": applied}).Info("job-handed-over")
		},
	})
}
