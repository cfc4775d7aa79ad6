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
func (j *Jobs) reconcile(ctx context.Context, now time.Time, e *entry) {
	j.reconcileAttempts(ctx, e)
	if j.relocate(ctx, now, e) {
		return
	}
	ready := 0
	for n := range e.Job.Tasks {
		t, h := &e.Job.Tasks[n], e.task(n)
		switch t.Phase {
		case cwjob.PhaseEnded:
			if h.generation > 0 {
				h.generation = 0
				_ = j.opts.CancelTask(ctx, cwjob.TaskID(e.id, n))
			}
		case cwjob.PhaseDispatched:
			j.checkLost(ctx, now, e, n)
		case cwjob.PhaseWaiting:
			if h.generation == 0 && !now.Before(h.retryAt) {
				ready++
			}
		}
	}
	if ready > 0 && !e.Job.IsStopping() && j.ensurePayload(ctx, e) {
		j.submit(now, e, ready)
	}
}

// submit submits the waiting tasks to the scheduler; a gang is submitted as a whole or not at all.
func (j *Jobs) submit(now time.Time, e *entry, ready int) {
	if e.Job.Kind == cwmodel.KindGang {
		if ready == len(e.Job.Tasks) {
			j.submitGang(now, e)
		}
		return
	}
	for n := range e.Job.Tasks {
		h := e.task(n)
		if e.Job.Tasks[n].Phase != cwjob.PhaseWaiting || h.generation > 0 || now.Before(h.retryAt) {
			continue
		}
		j.generation++
		h.generation = j.generation
		if !j.opts.Submit(e.schedulerTask(n), j.responseHandler(e.id, n, h.generation)) {
			h.generation, h.retryAt = 0, now.Add(j.opts.RetryAfter)
		}
	}
}

func (j *Jobs) submitGang(now time.Time, e *entry) {
	j.generation++
	generation := j.generation
	tasks := make([]cwmodel.Task, 0, len(e.Job.Tasks))
	for n := range e.Job.Tasks {
		e.task(n).generation = generation
		tasks = append(tasks, e.schedulerTask(n))
	}
	id := e.id
	reply := func(response cwmodel.Response) {
		if _, n, ok := cwjob.ParseTaskID(response.Task); ok {
			j.responseHandler(id, n, generation)(response)
		}
	}
	if j.opts.SubmitGang != nil && j.opts.SubmitGang(tasks, reply) {
		return
	}
	for n := range e.Job.Tasks {
		h := e.task(n)
		h.generation, h.retryAt = 0, now.Add(j.opts.RetryAfter)
	}
}

func (j *Jobs) responseHandler(id cwmodel.JobID, n int, generation uint64) func(cwmodel.Response) {
	return func(response cwmodel.Response) {
		j.deliver(event{kind: eventResponse, id: id, task: n, generation: generation, response: response})
	}
}

// schedulerTask returns task n as the scheduler gets it for the next attempt.
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

// ensurePayload reports whether the payload is in memory, and starts to fetch it if not.
func (j *Jobs) ensurePayload(ctx context.Context, e *entry) bool {
	if e.Job.PayloadKey == "" || e.payload != nil {
		return true
	}
	if e.fetchingPayload {
		return false
	}
	id, key := e.id, e.Job.PayloadKey
	e.fetchingPayload = j.startCall(ctx, func(ctx context.Context) event {
		body, err := j.opts.Objects.Get(ctx, key)
		return event{kind: eventPayload, id: id, payload: body, err: err}
	})
	return false
}

func (j *Jobs) handlePayload(ctx context.Context, ev event) {
	e, ok := j.entries[ev.id]
	if !ok {
		return
	}
	e.fetchingPayload = false
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

// handleResponse handles the scheduler's response for a task; only the row records which attempts ran.
func (j *Jobs) handleResponse(ctx context.Context, ev event) {
	e, ok := j.entries[ev.id]
	if !ok || !j.isCoordinator(e) || e.task(ev.task).generation != ev.generation {
		return
	}
	h := e.task(ev.task)
	h.generation = 0
	if ev.response.Outcome != cwmodel.OutcomeNotRun {
		j.advance(ctx, e)
		return
	}
	now := j.opts.Timer.Now()
	h.retryAt = now.Add(j.opts.RetryAfter)
	isLate := !e.Job.Deadline.IsZero() && !now.Before(e.Job.Deadline)
	isTooLarge := ev.response.Reason == cwmodel.ReasonTooLarge
	if isTooLarge && j.tryOtherHost(ctx, e) {
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

// tryOtherHost hands a job that fits no worker of this host over to a live host that has not tried it, and reports whether there is one.
func (j *Jobs) tryOtherHost(ctx context.Context, e *entry) bool {
	for _, host := range j.fleet.LivePeers(j.opts.Timer.Now()) {
		if host != j.opts.Self.Host && !slices.Contains(e.Job.TriedHosts, host) {
			j.handOver(ctx, e, host, true)
			return true
		}
	}
	return false
}

// relocate hands a job that has waited too long over to a peer with free capacity, and reports whether there is one.
func (j *Jobs) relocate(ctx context.Context, now time.Time, e *entry) bool {
	isWaiting := !slices.ContainsFunc(e.Job.Tasks, func(t cwjob.Task) bool { return t.Phase == cwjob.PhaseDispatched })
	if !isWaiting || e.waitingSince.IsZero() {
		e.waitingSince = time.Time{}
		if isWaiting {
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
