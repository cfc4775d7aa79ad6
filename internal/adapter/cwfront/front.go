// Package cwfront serves the callers' HTTP API.
package cwfront

import (
	"context"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwhttp"
	"currantward/internal/core/cwjob"
	"currantward/internal/core/cwmodel"
)

// Paths of the callers' API.
const (
	PathRequests = "/v1/requests"
	PathHealth   = "/v1/health"
)

// Options configure the listener and the operations behind it.
type Options struct {
	Listen        netip.AddrPort
	ServerOptions cwhttp.ServerOptions
	Log           *logrus.Logger

	// RunRequest runs one request and returns its response.
	RunRequest func(ctx context.Context, request cwmodel.Request) cwmodel.Response
	// SubmitJob stores a job with the given number of tasks durably and returns it; 0 tasks means the default of 1.
	SubmitJob func(ctx context.Context, request cwmodel.Request, tasks int) (*cwjob.Job, error)
	// GetJob returns one job.
	GetJob func(ctx context.Context, id cwmodel.JobID) (*cwjob.Job, error)
	// ListJobs returns at most limit jobs of a team.
	ListJobs func(ctx context.Context, team cwmodel.TeamName, limit int) ([]*cwjob.Job, error)
	// CancelJob cancels one job and returns it. A repeated call succeeds.
	CancelJob func(ctx context.Context, id cwmodel.JobID) (*cwjob.Job, error)
	// Ready reports whether this host accepts requests.
	Ready func() bool
	// Draining reports whether connections must be closed after their next response.
	Draining func() bool
}

// New starts the listener and returns its bound address and a function that shuts it down gracefully.
func New(opts Options) (bound netip.AddrPort, stop func(), err error) {
	f := &server{opts: opts}
	return cwhttp.Serve(opts.Listen, f.handle, opts.ServerOptions)
}

// server decodes the requests of callers, calls the operations and encodes their responses.
type server struct{ opts Options }

func (f *server) handle(ctx *fasthttp.RequestCtx) {
	defer func() {
		if f.opts.Draining() {
			ctx.SetConnectionClose()
		}
	}()
	path, method := string(ctx.Path()), string(ctx.Method())
	switch {
	case path == PathRequests && method == fasthttp.MethodPost:
		f.handleRequest(ctx)
	case path == PathRequests:
		cwhttp.WriteError(ctx, cwfault.New(cwfault.NotSupported, "%s takes POST only", path))
	case isJobPath(path):
		f.handleJobs(ctx, path, method)
	case path == PathHealth:
		f.handleReadiness(ctx)
	default:
		cwhttp.WriteError(ctx, cwfault.New(cwfault.NotFound, "no such path %s", path))
	}
}

// handleReadiness answers the health checks of load balancers: the host is healthy if it is ready for requests.
func (f *server) handleReadiness(ctx *fasthttp.RequestCtx) {
	if !f.opts.Ready() {
		cwhttp.WriteError(ctx, cwfault.New(cwfault.Unavailable, "this host takes no requests"))
		return
	}
	cwhttp.WriteJSON(ctx, fasthttp.StatusOK, struct {
		Status string `json:"status"`
	}{"ready"})
}

func (f *server) handleRequest(ctx *fasthttp.RequestCtx) {
	request, err := decodeRequest(ctx.PostBody())
	if err != nil {
		cwhttp.WriteError(ctx, err)
		return
	}
	// fasthttp cancels the context when the listener starts to shut down, but requests in flight must still complete.
	response := f.opts.RunRequest(context.WithoutCancel(ctx), request)
	cwhttp.WriteJSON(ctx, httpStatus(response), cwcodec.ResponseOf(response))
}

// decodeRequest decodes and validates a caller's request.
func decodeRequest(body []byte) (request cwmodel.Request, err error) {
	var document cwcodec.Submission
	if err = cwhttp.DecodeStrict(body, &document); err != nil {
		return request, err
	}
	if document.Profile == "" {
		return request, cwfault.New(cwfault.Invalid, "profile: missing")
	}
	request = cwmodel.Request{
		Profile:        cwmodel.ProfileName(document.Profile),
		Team:           cwmodel.TeamName(document.Team),
		Deadline:       time.Duration(document.Deadline),
		IdempotencyKey: document.IdempotencyKey,
		Payload:        append([]byte(nil), document.Payload...),
	}
	if document.Demand != nil {
		demand := document.Demand.ToModel()
		if !demand.IsNonNegative() {
			return request, cwfault.New(cwfault.Invalid, "demand: a resource is negative")
		}
		request.Demand = &demand
	}
	return request, nil
}

// httpStatus returns the HTTP status of a response by its outcome, and by its reason if the request was not run.
func httpStatus(response cwmodel.Response) int {
	switch response.Outcome {
	case cwmodel.OutcomeDone:
		return fasthttp.StatusOK
	case cwmodel.OutcomeFailed:
		return fasthttp.StatusBadGateway
	case cwmodel.OutcomeUnknown:
		return fasthttp.StatusGatewayTimeout
	case cwmodel.OutcomeCancelled:
		return fasthttp.StatusConflict
	}
	switch response.Reason {
	case cwmodel.ReasonUnknownProfile, cwmodel.ReasonUnknownTeam:
		return fasthttp.StatusNotFound
	case cwmodel.ReasonKeyReused:
		return fasthttp.StatusBadRequest
	case cwmodel.ReasonTooLarge, cwmodel.ReasonOverQuota:
		return fasthttp.StatusUnprocessableEntity
	case cwmodel.ReasonDeadlinePassed, cwmodel.ReasonNoTimeLeft:
		return fasthttp.StatusRequestTimeout
	case cwmodel.ReasonQueueFull:
		return fasthttp.StatusTooManyRequests
	}
	return fasthttp.StatusServiceUnavailable
}
