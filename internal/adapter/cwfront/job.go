package cwfront

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwhttp"
	"currantward/internal/core/cwjob"
	"currantward/internal/core/cwmodel"
)

// PathJobs is the path of all jobs; the identifier of one job follows it after a slash.
const PathJobs = "/v1/jobs"

// listLimit bounds the jobs of one list.
const listLimit = 1000

func isJobPath(path string) bool { return path == PathJobs || strings.HasPrefix(path, PathJobs+"/") }

// handleJobs answers what callers ask about jobs.
func (f *front) handleJobs(ctx *fasthttp.RequestCtx, path, method string) {
	id := cwmodel.JobID(strings.TrimPrefix(strings.TrimPrefix(path, PathJobs), "/"))
	switch {
	case id == "" && method == fasthttp.MethodPost:
		f.handleSubmitJob(ctx)
	case id == "" && method == fasthttp.MethodGet:
		f.handleListJobs(ctx)
	case id != "" && method == fasthttp.MethodGet:
		job, err := f.opts.GetJob(ctx, id)
		writeJob(ctx, fasthttp.StatusOK, job, err)
	case id != "" && method == fasthttp.MethodDelete:
		job, err := f.opts.CancelJob(context.WithoutCancel(ctx), id)
		writeJob(ctx, fasthttp.StatusOK, job, err)
	default:
		cwhttp.WriteError(ctx, cwfault.New(cwfault.NotSupported, "%s does not take %s", path, method))
	}
}

func (f *front) handleSubmitJob(ctx *fasthttp.RequestCtx) {
	request, tasks, err := decodeJob(ctx.PostBody())
	if err != nil {
		cwhttp.WriteError(ctx, err)
		return
	}
	if !f.opts.Ready() {
		cwhttp.WriteError(ctx, cwfault.New(cwfault.Unavailable, "not run: this host takes no jobs at present"))
		return
	}
	job, err := f.opts.SubmitJob(context.WithoutCancel(ctx), request, tasks)
	writeJob(ctx, fasthttp.StatusCreated, job, err)
}

func (f *front) handleListJobs(ctx *fasthttp.RequestCtx) {
	team := cwmodel.TeamName(ctx.QueryArgs().Peek("team"))
	if team == "" {
		cwhttp.WriteError(ctx, cwfault.New(cwfault.Invalid, "team: missing"))
		return
	}
	jobs, err := f.opts.ListJobs(ctx, team, listLimit)
	if err != nil {
		cwhttp.WriteError(ctx, err)
		return
	}
	document := cwcodec.JobList{Jobs: []cwcodec.JobView{}}
	for _, job := range jobs {
		document.Jobs = append(document.Jobs, cwcodec.JobViewOf(job))
	}
	cwhttp.WriteJSON(ctx, fasthttp.StatusOK, document)
}

// writeJob answers with a job, or with an error that names the job where its outcome is not known.
func writeJob(ctx *fasthttp.RequestCtx, status int, job *cwjob.Job, err error) {
	if err != nil {
		cwhttp.WriteError(ctx, err)
		return
	}
	cwhttp.WriteJSON(ctx, status, cwcodec.JobViewOf(job))
}

func decodeJob(body []byte) (request cwmodel.Request, tasks int, err error) {
	var document cwcodec.JobSubmission
	if err = cwhttp.DecodeStrict(body, &document); err != nil {
		return request, 0, err
	}
	request = cwmodel.Request{
		Profile: cwmodel.ProfileName(document.Profile), Team: cwmodel.TeamName(document.Team), Deadline: time.Duration(document.Deadline),
		IdempotencyKey: document.IdempotencyKey, Payload: append([]byte(nil), document.Payload...),
	}
	if document.Demand != nil {
		demand := document.Demand.Core()
		request.Demand = &demand
	}
	return request, document.Tasks, errors.Join(checkJob(request)...)
}

func checkJob(request cwmodel.Request) (faults []error) {
	if request.Profile == "" {
		faults = append(faults, cwfault.New(cwfault.Invalid, "profile: missing"))
	}
	if request.Team == "" {
		faults = append(faults, cwfault.New(cwfault.Invalid, "team: missing"))
	}
	if request.Demand != nil && !request.Demand.IsNonNegative() {
		faults = append(faults, cwfault.New(cwfault.Invalid, "demand: a resource is negative"))
	}
	return faults
}
