package cwjobs

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"currantward/internal/app/cwjobrow"
	"currantward/internal/app/cwjobstore"
	"currantward/internal/app/cwledger"
	"currantward/internal/app/cwsubmission"
	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwjob"
	"currantward/internal/core/cwmodel"
)

// Submit accepts a job once its row is committed.
//
// It fails with Unavailable if the job was not accepted and never will be, with Indefinite if that is not
// known, and with Conflict if the idempotency key was used for another job.
func (j *Jobs) Submit(ctx context.Context, s cwsubmission.Submission) (job *cwjob.Job, err error) {
	defer func() { err = eris.Wrap(err, "submit job") }()
	if job, err = j.builder.Build(j.opts.Timer.Now(), s); err != nil {
		return nil, err
	}
	if len(job.Payload) > j.opts.InlineSize {
		job.PayloadKey = cwjobstore.KeyPayload(job)
		if err = j.opts.Objects.Put(ctx, job.PayloadKey, job.Payload); err != nil {
			return nil, cwfault.New(cwfault.Unavailable, "not run: the payload could not be stored: %s", cwfault.MessageOf(err))
		}
		job.Payload = nil
	}
	verdicts := make(chan cwledger.Verdict, 3)
	e := event{kind: eventAccept, job: job, reply: func(verdict cwledger.Verdict) { verdicts <- verdict }}
	if !j.inbox.Offer(e) {
		return nil, cwfault.New(cwfault.Unavailable, "not run: this host has no room for events")
	}
	switch verdict := <-verdicts; verdict {
	case cwledger.Committed:
		return job, nil
	case cwledger.Conflict:
		return j.same(ctx, job)
	case cwledger.Unknown:
		return job, cwfault.New(cwfault.Indefinite, "whether job %s is accepted is not known yet", job.ID)
	}
	return nil, cwfault.New(cwfault.Unavailable, "not run: the table could not be written or this host holds too many jobs")
}

// same returns the job that was accepted under the same key if it is the same job.
func (j *Jobs) same(ctx context.Context, job *cwjob.Job) (*cwjob.Job, error) {
	first, err := j.Get(ctx, job.ID)
	if cwfault.CodeOf(err) == cwfault.NotFound {
		return nil, cwfault.New(cwfault.Indefinite, "job %s is just being accepted", job.ID)
	}
	if err != nil {
		return nil, err
	}
	if first.Digest != job.Digest {
		return nil, cwfault.New(cwfault.Conflict, "the idempotency key was used for another job")
	}
	return first, nil
}

func (j *Jobs) accept(a event) {
	write, err := cwjobstore.Create(a.job)
	if err != nil || len(j.entries) >= j.opts.MaxJobs || j.entries[a.job.ID] != nil {
		verdict := cwledger.Refused
		if j.entries[a.job.ID] != nil {
			verdict = cwledger.Conflict
		}
		a.reply(verdict)
		return
	}
	id := a.job.ID
	e := j.entryOf(id)
	e.busy = true
	e.Create(a.job)
	write.Deadline = j.opts.Timer.Now().Add(j.opts.WriteLimit)
	write.Done = func(verdict cwledger.Verdict) {
		j.deliver(event{kind: eventAccepted, id: id, verdict: verdict, reply: a.reply})
	}
	j.opts.Write(write)
}

// accepted takes the verdict on the first write of a job.
func (j *Jobs) accepted(ctx context.Context, back event) {
	e := j.entries[back.id]
	switch back.verdict {
	case cwledger.Committed:
		e.busy = false
		j.opts.Log.WithFields(logrus.Fields{
			"job-id": e.id, "profile": e.Next().Profile, "team": e.Next().Team, "tasks": len(e.Next().Tasks),
		}).Info("job-accepted")
		j.committed(ctx, e)
		back.reply(back.verdict)
		j.advance(ctx, e)
	case cwledger.Unknown:
		back.reply(back.verdict)
	default:
		j.forget(ctx, e)
		back.reply(back.verdict)
	}
}

// Get returns a job, whoever is its home.
func (j *Jobs) Get(ctx context.Context, id cwmodel.JobID) (*cwjob.Job, error) {
	return j.store.Get(ctx, id)
}

// List returns up to limit jobs of a team, the live ones first, without large answers.
func (j *Jobs) List(ctx context.Context, team cwmodel.TeamName, limit int) ([]*cwjob.Job, error) {
	return j.store.List(ctx, team, limit)
}

// Cancel forbids further starts of a job and stops what runs; it is idempotent and any host can carry it out.
func (j *Jobs) Cancel(ctx context.Context, id cwmodel.JobID) (job *cwjob.Job, err error) {
	defer func() { err = eris.Wrap(err, "cancel job") }()
	if job, err = j.Get(ctx, id); err != nil || job.IsOver() || job.Cancelled {
		return job, err
	}
	verdicts := make(chan cwledger.Verdict, 1)
	e := event{kind: eventCancel, id: id, reply: func(verdict cwledger.Verdict) { verdicts <- verdict }}
	if !j.inbox.Offer(e) {
		return nil, cwfault.New(cwfault.Unavailable, "this host has no room for events")
	}
	late := make(chan struct{})
	stop := j.opts.Timer.After(j.opts.WriteLimit, func(time.Time) { close(late) })
	defer stop()
	select {
	case <-verdicts:
		return j.Get(ctx, id)
	case <-late:
	}
	return nil, cwfault.New(cwfault.Indefinite, "the table does not answer; the cancellation is kept and carried out when it does")
}

func (j *Jobs) cancel(ctx context.Context, c event) {
	j.wish(ctx, j.entryOf(c.id), cwjobrow.Change{
		Apply: func(now time.Time, job *cwjob.Job) bool { return job.Cancel(now) },
		Done:  func(bool) { c.reply(cwledger.Committed) },
	})
}
