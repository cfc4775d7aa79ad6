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

// PathJobs is the path of all jobs. The path of one job is PathJobs, a slash and the job's ID.
const PathJobs = "/v1/jobs"

// maxListedJobs is the maximum number of jobs in one list.
const maxListedJobs = 1000

func isJobPath(path string) bool { return path == PathJobs || strings.HasPrefix(path, PathJobs+"/") }

// handleJobs routes a request about all jobs or about one job.
func (f *server) handleJobs(ctx *fasthttp.RequestCtx, path, method string) {
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

func (f *server) handleSubmitJob(ctx *fasthttp.RequestCtx) {
	request, tasks, err := decodeJobRequest(ctx.PostBody())
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

func (f *server) handleListJobs(ctx *fasthttp.RequestCtx) {
	team := cwmodel.TeamName(ctx.QueryArgs().Peek("team"))
	if team == "" {
		cwhttp.WriteError(ctx, cwfault.New(cwfault.Invalid, "team: missing"))
		return
	}
	jobs, err := f.opts.ListJobs(ctx, team, maxListedJobs)
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

// writeJob writes a job as the response, or err if it is not nil. The message of err names the job if it is not known whether the job
// was stored.
func writeJob(ctx *fasthttp.RequestCtx, status int, job *cwjob.Job, err error) {
	if err != nil {
		cwhttp.WriteError(ctx, err)
		return
	}
	cwhttp.WriteJSON(ctx, status, cwcodec.JobViewOf(job))
}

// decodeJobRequest decodes a job. tasks is 0 if the document does not state the number of tasks. The error lists every fault.
func decodeJobRequest(body []byte) (request cwmodel.Request, tasks int, err error) {
	var document cwcodec.JobSubmission
	if err = cwhttp.DecodeStrict(body, &document); err != nil {
		return request, 0, err
	}
	request = cwmodel.Request{
		Profile: cwmodel.ProfileName(document.Profile), Team: cwmodel.TeamName(document.Team), Deadline: time.Duration(document.Deadline),
		IdempotencyKey: document.IdempotencyKey, Payload: append([]byte(nil), document.Payload...),
	}
	if document.Demand != nil {
		demand := document.Demand.ToModel()
		request.Demand = &demand
	}
	return request, document.Tasks, errors.Join(validateJob(request)...)
}

func validateJob(request cwmodel.Request) (errs []error) {
	if request.Profile == "" {
		errs = append(errs, cwfault.New(cwfault.Invalid, "profile: missing"))
	}
	if request.Team == "" {
		errs = append(errs, cwfault.New(cwfault.Invalid, "team: missing"))
	}
	if request.Demand != nil && !request.Demand.IsNonNegative() {
		errs = append(errs, cwfault.New(cwfault.Invalid, "demand: a resource is negative"))
	}
	return errs
}
