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

// drive does what the committed state of a job of this home asks for.
func (j *Jobs) drive(ctx context.Context, now time.Time, e *entry) {
	j.attend(ctx, e)
	if j.relocate(ctx, now, e) {
		return
	}
	ready := 0
	for n := range e.Job.Tasks {
		t, h := &e.Job.Tasks[n], e.task(n)
		switch t.Phase {
		case cwjob.PhaseFinished:
			if h.generation > 0 {
				h.generation = 0
				_ = j.opts.Withdraw(ctx, cwjob.TaskID(e.id, n))
			}
		case cwjob.PhaseDispatched:
			j.checkLost(ctx, now, e, n)
		case cwjob.PhaseWaiting:
			if h.generation == 0 && !now.Before(h.retryAt) {
				ready++
			}
		}
	}
	if ready > 0 && !e.Job.IsStopping() && j.hasPayload(ctx, e) {
		j.submit(now, e, ready)
	}
}

// submit hands the waiting tasks to the scheduler; a gang goes as a whole or not at all.
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
		if !j.opts.Submit(e.taskOf(n), j.replyTo(e.id, n, h.generation)) {
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
		tasks = append(tasks, e.taskOf(n))
	}
	id := e.id
	reply := func(answer cwmodel.Response) {
		if _, n, ok := cwjob.ParseTaskID(answer.Task); ok {
			j.replyTo(id, n, generation)(answer)
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

func (j *Jobs) replyTo(id cwmodel.JobID, n int, generation uint64) func(cwmodel.Response) {
	return func(answer cwmodel.Response) {
		j.deliver(event{kind: eventAnswered, id: id, task: n, generation: generation, answer: answer})
	}
}

// taskOf returns the next attempt of task n as the scheduler sees it.
//
// The scheduler is allowed no attempt beyond this one: what follows is decided from the committed row.
func (e *entry) taskOf(n int) cwmodel.Task {
	job := e.Job
	payload := job.Payload
	if job.PayloadKey != "" {
		payload = e.payload
	}
	return cwmodel.Task{
		ID: cwjob.TaskID(job.ID, n), Job: job.ID, Attempt: job.Tasks[n].Attempt.Number + 1, Profile: job.Profile, Team: job.Team,
		Kind: job.Kind, Demand: job.Demand, ArrivedAt: job.ArrivedAt, Deadline: job.Deadline, Lease: job.Lease,
		MaxAttempts: 1, Repeatable: job.Repeatable, Checkpointable: job.Checkpointable, Durable: true, Payload: payload,
	}
}

// hasPayload reports whether the payload is at hand and fetches it if not.
func (j *Jobs) hasPayload(ctx context.Context, e *entry) bool {
	if e.Job.PayloadKey == "" || e.payload != nil {
		return true
	}
	if e.fetching {
		return false
	}
	id, key := e.id, e.Job.PayloadKey
	e.fetching = j.call(ctx, func(ctx context.Context) event {
		body, err := j.opts.Objects.Get(ctx, key)
		return event{kind: eventPayload, id: id, payload: body, err: err}
	})
	return false
}

func (j *Jobs) fetched(ctx context.Context, back event) {
	e, ok := j.entries[back.id]
	if !ok {
		return
	}
	e.fetching = false
	if back.err != nil {
		e.retryAt = j.opts.Timer.Now().Add(j.opts.RetryAfter)
		return
	}
	e.payload = back.payload
	j.advance(ctx, e)
}

// lasting tells the reasons that will not pass anywhere from those that may.
var lasting = map[cwmodel.Reason]bool{
	cwmodel.ReasonUnknownProfile: true, cwmodel.ReasonUnknownTeam: true,
	cwmodel.ReasonOverQuota: true, cwmodel.ReasonDeadlinePassed: true, cwmodel.ReasonNoTimeLeft: true,
}

// answered takes what the scheduler says of a task; the row alone tells what has run.
func (j *Jobs) answered(ctx context.Context, back event) {
	e, ok := j.entries[back.id]
	if !ok || !j.isHome(e) || e.task(back.task).generation != back.generation {
		return
	}
	h := e.task(back.task)
	h.generation = 0
	if back.answer.Outcome != cwmodel.OutcomeNotRun {
		j.advance(ctx, e)
		return
	}
	now := j.opts.Timer.Now()
	h.retryAt = now.Add(j.opts.RetryAfter)
	isLate := !e.Job.Deadline.IsZero() && !now.Before(e.Job.Deadline)
	isTooLarge := back.answer.Reason == cwmodel.ReasonTooLarge
	if isTooLarge && j.tryElsewhere(ctx, e) {
		return
	}
	if !isLate && !isTooLarge && !lasting[back.answer.Reason] {
		return
	}
	j.enqueue(ctx, e, cwjobrow.Change{
		Apply: func(now time.Time, job *cwjob.Job) bool {
			return job.Coordinator == j.opts.Self && job.Reject(now, back.task, back.answer.Reason)
		},
		Done: func(bool) {},
	})
}

// tryElsewhere hands a job that fits no worker of ours to a live host that has not tried it, and reports whether there is one.
func (j *Jobs) tryElsewhere(ctx context.Context, e *entry) bool {
	for _, host := range j.fleet.LivePeers(j.opts.Timer.Now()) {
		if host != j.opts.Self.Host && !slices.Contains(e.Job.TriedHosts, host) {
			j.handOver(ctx, e, host, true)
			return true
		}
	}
	return false
}

// relocate hands a job that has waited for long to a peer that has room, and reports whether it does.
func (j *Jobs) relocate(ctx context.Context, now time.Time, e *entry) bool {
	isWaiting := !slices.ContainsFunc(e.Job.Tasks, func(t cwjob.Task) bool { return t.Phase == cwjob.PhaseDispatched })
	if !isWaiting || e.waiting.IsZero() {
		e.waiting = time.Time{}
		if isWaiting {
			e.waiting = now
		}
		return false
	}
	if e.Job.IsStopping() || now.Sub(e.waiting) < j.opts.HandOverAfter {
		return false
	}
	e.waiting = now
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
