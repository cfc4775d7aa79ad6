// Package cwjobapi implements the callers' operations on jobs: submit, get, list and cancel.
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

// Options configures an API.
type Options struct {
	Timer        *cwtimer.Service
	Objects      cwport.ObjectStore
	Store        *cwjobstore.Store
	Builder      *cwsubmission.Builder
	WriteTimeout time.Duration // how long Cancel waits for the commit
	InlineSize   int           // bytes; larger payloads go to the object store

	// Accept enqueues a new job for its first write and calls reply with the result. It returns false if the inbox is full.
	Accept func(job *cwjob.Job, reply func(cwtablewriter.WriteResult)) bool
	// Cancel enqueues the cancellation of a job and calls reply once it is committed. It returns false if the inbox is full.
	Cancel func(id cwmodel.JobID, reply func(cwtablewriter.WriteResult)) bool
}

// API implements the callers' operations on jobs at one entry host.
type API struct {
	opts Options
}

// New returns an API.
func New(opts Options) *API { return &API{opts: opts} }

// Submit builds a job and returns it once its row is committed.
//
// It fails with Unavailable if the job was not accepted and never will be, with Indefinite if that is not
// known, and with Conflict if the idempotency key was used for another job.
func (a *API) Submit(ctx context.Context, s cwsubmission.Submission) (job *cwjob.Job, err error) {
	defer func() { err = eris.Wrap(err, "submit job") }()
	if job, err = a.opts.Builder.Build(a.opts.Timer.Now(), s); err != nil {
		return nil, err
	}
	if len(job.Payload) > a.opts.InlineSize {
		job.PayloadKey = cwjobstore.KeyPayload(job)
		if err = a.opts.Objects.Put(ctx, job.PayloadKey, job.Payload); err != nil {
			return nil, cwfault.New(cwfault.Unavailable, "not run: the payload could not be stored: %s", cwfault.MessageOf(err))
		}
		job.Payload = nil
	}
	results := make(chan cwtablewriter.WriteResult, 3) // buffered, since a final result that follows Unknown is not read
	if !a.opts.Accept(job, func(result cwtablewriter.WriteResult) { results <- result }) {
		return nil, cwfault.New(cwfault.Unavailable, "not run: this host has no room for events")
	}
	switch result := <-results; result {
	case cwtablewriter.Committed:
		return job, nil
	case cwtablewriter.Conflict:
		return a.jobOfFirstSubmission(ctx, job)
	case cwtablewriter.Unknown:
		return job, cwfault.New(cwfault.Indefinite, "whether job %s is accepted is not known yet", job.ID)
	}
	return nil, cwfault.New(cwfault.Unavailable, "not run: the table could not be written or this host holds too many jobs")
}

// jobOfFirstSubmission returns the job that was accepted earlier under the same idempotency key.
//
// It fails with Conflict if the earlier submission differs (by its digest), and with Indefinite if its row is not readable yet.
func (a *API) jobOfFirstSubmission(ctx context.Context, job *cwjob.Job) (*cwjob.Job, error) {
	first, err := a.Get(ctx, job.ID)
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

// Get returns a job, whichever host coordinates it.
func (a *API) Get(ctx context.Context, id cwmodel.JobID) (*cwjob.Job, error) {
	return a.opts.Store.Get(ctx, id)
}

// List returns up to limit jobs of a team, live jobs first, without large outputs.
func (a *API) List(ctx context.Context, team cwmodel.TeamName, limit int) ([]*cwjob.Job, error) {
	return a.opts.Store.List(ctx, team, limit)
}

// Cancel prevents further starts of a job and stops its running tasks; it is idempotent and works on any host.
//
// It fails with Indefinite if the cancellation is not committed within WriteTimeout; the cancellation stays pending then.
func (a *API) Cancel(ctx context.Context, id cwmodel.JobID) (job *cwjob.Job, err error) {
	defer func() { err = eris.Wrap(err, "cancel job") }()
	if job, err = a.Get(ctx, id); err != nil || job.IsEnded() || job.Cancelled {
		return job, err
	}
	results := make(chan cwtablewriter.WriteResult, 1)
	if !a.opts.Cancel(id, func(result cwtablewriter.WriteResult) { results <- result }) {
		return nil, cwfault.New(cwfault.Unavailable, "this host has no room for events")
	}
	timeout := make(chan struct{})
	stop := a.opts.Timer.After(a.opts.WriteTimeout, func(time.Time) { close(timeout) })
	defer stop()
	select {
	case <-results:
		return a.Get(ctx, id)
	case <-timeout:
	}
	return nil, cwfault.New(cwfault.Indefinite, "the table does not answer; the cancellation is kept and carried out when it does")
}
