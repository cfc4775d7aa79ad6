// Package cwjobapi carries out what callers ask of jobs: to submit, get, list and cancel them.
package cwjobapi

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"currantward/internal/app/cwjobstore"
	"currantward/internal/app/cwsubmission"
	"currantward/internal/app/cwtablewriter"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwjob"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
)

// Options set up the callers' operations of one entry host.
type Options struct {
	Timer        *cwtimer.Service
	Objects      cwport.ObjectStore
	Store        *cwjobstore.Store
	Builder      *cwsubmission.Builder
	WriteTimeout time.Duration // how long a caller waits for a commit
	InlineSize   int           // larger payloads go to the object store

	// Accept asks for the first write of a job; it returns false if there is no room.
	Accept func(job *cwjob.Job, reply func(cwtablewriter.WriteResult)) bool
	// Cancel asks for the cancellation of a job; it returns false if there is no room.
	Cancel func(id cwmodel.JobID, reply func(cwtablewriter.WriteResult)) bool
}

// API carries out the operations of callers.
type API struct {
	opts Options
}

// New returns the callers' operations.
func New(opts Options) *API { return &API{opts: opts} }

// Submit accepts a job once its row is committed.
//
// It fails with Unavailable if the job was not accepted and never will be, with Indefinite if that is not
// known, and with Conflict if the idempotency key was used for another job.
func (c *API) Submit(ctx context.Context, s cwsubmission.Submission) (job *cwjob.Job, err error) {
	defer func() { err = eris.Wrap(err, "submit job") }()
	if job, err = c.opts.Builder.Build(c.opts.Timer.Now(), s); err != nil {
		return nil, err
	}
	if len(job.Payload) > c.opts.InlineSize {
		job.PayloadKey = cwjobstore.KeyPayload(job)
		if err = c.opts.Objects.Put(ctx, job.PayloadKey, job.Payload); err != nil {
			return nil, cwfault.New(cwfault.Unavailable, "not run: the payload could not be stored: %s", cwfault.MessageOf(err))
		}
		job.Payload = nil
	}
	verdicts := make(chan cwtablewriter.WriteResult, 3)
	if !c.opts.Accept(job, func(verdict cwtablewriter.WriteResult) { verdicts <- verdict }) {
		return nil, cwfault.New(cwfault.Unavailable, "not run: this host has no room for events")
	}
	switch verdict := <-verdicts; verdict {
	case cwtablewriter.Committed:
		return job, nil
	case cwtablewriter.Conflict:
		return c.same(ctx, job)
	case cwtablewriter.Unknown:
		return job, cwfault.New(cwfault.Indefinite, "whether job %s is accepted is not known yet", job.ID)
	}
	return nil, cwfault.New(cwfault.Unavailable, "not run: the table could not be written or this host holds too many jobs")
}

// same returns the job that was accepted under the same key if it is the same job.
func (c *API) same(ctx context.Context, job *cwjob.Job) (*cwjob.Job, error) {
	first, err := c.Get(ctx, job.ID)
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

// Get returns a job, whoever is its home.
func (c *API) Get(ctx context.Context, id cwmodel.JobID) (*cwjob.Job, error) {
	return c.opts.Store.Get(ctx, id)
}

// List returns up to limit jobs of a team, the live ones first, without large answers.
func (c *API) List(ctx context.Context, team cwmodel.TeamName, limit int) ([]*cwjob.Job, error) {
	return c.opts.Store.List(ctx, team, limit)
}

// Cancel forbids further starts of a job and stops what runs; it is idempotent and any host can carry it out.
func (c *API) Cancel(ctx context.Context, id cwmodel.JobID) (job *cwjob.Job, err error) {
	defer func() { err = eris.Wrap(err, "cancel job") }()
	if job, err = c.Get(ctx, id); err != nil || job.IsFinished() || job.Cancelled {
		return job, err
	}
	taken := make(chan cwtablewriter.WriteResult, 1)
	if !c.opts.Cancel(id, func(verdict cwtablewriter.WriteResult) { taken <- verdict }) {
		return nil, cwfault.New(cwfault.Unavailable, "this host has no room for events")
	}
	late := make(chan struct{})
	stop := c.opts.Timer.After(c.opts.WriteTimeout, func(time.Time) { close(late) })
	defer stop()
	select {
	case <-taken:
		return c.Get(ctx, id)
	case <-late:
	}
	return nil, cwfault.New(cwfault.Indefinite, "the table does not answer; the cancellation is kept and carried out when it does")
}
