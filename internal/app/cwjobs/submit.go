package cwjobs

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"currantward/internal/app/cwjobstore"
	"currantward/internal/app/cwledger"
	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwjob"
	"currantward/internal/core/cwmodel"
)

// Submission is what a caller asks for, before a profile has made it a job.
type Submission struct {
	Request cwmodel.Request
	Tasks   int
}

// Submit accepts a job once its row is committed.
//
// It fails with Unavailable if the job was not accepted and never will be, with Indefinite if that is not
// known, and with Conflict if the idempotency key was used for another job.
func (j *Jobs) Submit(ctx context.Context, s Submission) (job *cwjob.Job, err error) {
	defer func() { err = eris.Wrap(err, "submit job") }()
	if job, err = j.prepare(s); err != nil {
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

// prepare makes a job of a submission, or says what is wrong with it.
func (j *Jobs) prepare(s Submission) (job *cwjob.Job, err error) {
	cfg, r := j.opts.Configuration(), s.Request
	profile, ok := cfg.Profile(r.Profile)
	_, hasTeam := cfg.Team(r.Team)
	tasks := max(s.Tasks, 1)
	switch {
	case cfg.Version == 0:
		return nil, cwfault.New(cwfault.Unavailable, "not run: this host holds no configuration yet")
	case !ok:
		return nil, cwfault.New(cwfault.NotFound, "no profile %q", r.Profile)
	case !hasTeam:
		return nil, cwfault.New(cwfault.NotFound, "no team %q", r.Team)
	case profile.Kind == cwmodel.KindRequest:
		return nil, cwfault.New(cwfault.Invalid, "profile %q is for requests, not for jobs", r.Profile)
	case profile.Kind == cwmodel.KindGang && j.opts.SubmitGang == nil:
		return nil, cwfault.New(cwfault.NotSupported, "this host runs no gangs")
	case s.Tasks < 0 || tasks > cwjob.MaxTasks:
		return nil, cwfault.New(cwfault.Invalid, "tasks: %d is not from 1 to %d", s.Tasks, cwjob.MaxTasks)
	case r.Deadline < 0:
		return nil, cwfault.New(cwfault.Refused, "not run: the deadline has passed")
	}
	now := j.opts.Timer.Now()
	job = &cwjob.Job{
		Team: r.Team, Profile: r.Profile, Kind: profile.Kind, DataCentre: j.opts.DataCentre, Demand: profile.Demand, Lease: profile.Lease,
		MaxAttempts: profile.MaxAttempts, Repeatable: profile.Repeatable, Checkpointable: profile.Checkpointable,
		Arrived: now, Payload: r.Payload, Home: j.opts.Self, Tasks: make([]cwjob.Task, tasks),
	}
	for n := range job.Tasks {
		job.Tasks[n].Phase = cwjob.PhaseWaiting
	}
	if r.Demand != nil {
		job.Demand = *r.Demand
	}
	if limit := max(r.Deadline, 0); limit > 0 {
		job.Deadline = now.Add(limit)
	} else if profile.Deadline > 0 {
		job.Deadline = now.Add(profile.Deadline)
	}
	return job, identify(job, s)
}

// identify names a job; the same idempotency key of the same team always gives the same name.
func identify(job *cwjob.Job, s Submission) error {
	document, err := json.Marshal(s)
	if err != nil {
		return err
	}
	sum := sha256.Sum256(document)
	job.Digest = hex.EncodeToString(sum[:16])
	name := rand.Text()
	if key := s.Request.IdempotencyKey; key != "" {
		sum = sha256.Sum256([]byte(key))
		name = hex.EncodeToString(sum[:16])
	}
	job.ID = cwmodel.JobID(string(job.Team) + "." + name)
	return nil
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
	e.next, e.busy = a.job, true
	e.flight = []change{{done: func(bool) {}}}
	e.applied = []bool{true}
	e.job = &cwjob.Job{ID: id}
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
			"job-id": e.id, "profile": e.next.Profile, "team": e.next.Team, "tasks": len(e.next.Tasks),
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
	j.wish(ctx, j.entryOf(c.id), change{
		apply: func(now time.Time, job *cwjob.Job) bool { return job.Cancel(now) },
		done:  func(bool) { c.reply(cwledger.Committed) },
	})
}
