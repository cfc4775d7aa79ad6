// Package cwrunner is the stand-in for a worker: it runs tasks under leases over HTTP.
package cwrunner

import (
	"context"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/adapter/cwmemory"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwhttp"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
	"currantward/internal/standin/cwstore"
)

// leaseCheckInterval is the interval between checks for expired leases while no request arrives.
const leaseCheckInterval = 250 * time.Millisecond

// Options configure a stand-in worker.
type Options struct {
	Listen          netip.AddrPort
	PlatformAddress netip.AddrPort // of the stand-in platform; zero: the worker does not register itself
	Worker          cwmodel.Worker // description of the worker; New sets its address to the bound one
	Timer           *cwtimer.Service
	Log             *logrus.Logger
}

// Runner is a stand-in worker.
type Runner struct {
	worker *cwmemory.Worker
	timer  *cwtimer.Service
}

// New starts a stand-in worker, which registers itself if opts.PlatformAddress is set. It returns the bound address and a function
// that stops the worker; stop must be called even if the registration fails.
func New(opts Options) (r *Runner, bound netip.AddrPort, stop func(), err error) {
	r = &Runner{timer: opts.Timer}
	attempts := attemptLog{worker: opts.Worker.ID, now: opts.Timer.Now, log: opts.Log}
	r.worker = cwmemory.NewWorker(cwmemory.WorkerOptions{
		Worker: opts.Worker, Now: opts.Timer.Now, PlanExecution: attempts.planAndLogStart, OnEnd: attempts.logEnd,
	})
	serverOptions := cwhttp.DefaultServerOptions("worker-stand-in", opts.Log)
	serverOptions.MaxBodyBytes = 4 << 20
	bound, stopServer, err := cwhttp.Serve(opts.Listen, r.handle, serverOptions)
	if err != nil {
		return nil, bound, nil, err
	}
	opts.Worker.Address = bound
	r.worker.SetWorker(opts.Worker)
	cancel := opts.Timer.Every(leaseCheckInterval, func(time.Time) { r.worker.Advance() })
	stop = func() {
		cancel()
		stopServer()
	}
	if opts.PlatformAddress.IsValid() {
		err = registerWithPlatform(opts)
	}
	return r, bound, stop, err
}

// Worker returns the in-memory worker behind the HTTP API.
func (r *Runner) Worker() *cwmemory.Worker { return r.worker }

// registerWithPlatform registers this worker with the stand-in platform.
func registerWithPlatform(opts Options) error {
	client, stop := cwhttp.NewClient(cwhttp.DefaultClientOptions())
	defer stop()
	host := cwmodel.Host{
		ID: opts.Worker.ID, Role: cwmodel.RoleWorker, State: cwmodel.HostLive, Address: opts.Worker.Address,
		DataCentre: opts.Worker.DataCentre, Rack: opts.Worker.Rack,
	}
	return client.Call(context.Background(), fasthttp.MethodPost, opts.PlatformAddress, cwstore.PathRegister, cwcodec.HostOf(host), nil)
}

func (r *Runner) handle(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); path {
	case cwcodec.PathInspect:
		cwhttp.WriteJSON(ctx, fasthttp.StatusOK, cwcodec.InventoryOf(r.worker.Inspect()))
	case cwcodec.PathClaim:
		r.handleClaim(ctx)
	case cwcodec.PathHeartbeat:
		r.handleHeartbeat(ctx)
	case cwcodec.PathRelease:
		r.handleRelease(ctx)
	case cwcodec.PathStart:
		r.handleStart(ctx)
	case cwcodec.PathStop:
		r.handleStop(ctx)
	case cwcodec.PathCompletions:
		r.handleCompletions(ctx)
	case cwcodec.PathDrain:
		r.worker.Drain()
		cwhttp.WriteJSON(ctx, fasthttp.StatusOK, struct{}{})
	default:
		cwhttp.WriteError(ctx, cwfault.New(cwfault.NotFound, "no such path %s", path))
	}
}

// decodeBody parses the request's body into in. On failure it writes the error as the response and returns false.
func decodeBody(ctx *fasthttp.RequestCtx, in any) bool {
	if err := cwhttp.DecodeStrict(ctx.PostBody(), in); err != nil {
		cwhttp.WriteError(ctx, err)
		return false
	}
	return true
}

// respond writes document as the response, or err if it is not nil.
func respond(ctx *fasthttp.RequestCtx, document any, err error) {
	if err != nil {
		cwhttp.WriteError(ctx, err)
		return
	}
	cwhttp.WriteJSON(ctx, fasthttp.StatusOK, document)
}

func (r *Runner) handleClaim(ctx *fasthttp.RequestCtx) {
	var in cwcodec.ClaimRequest
	if !decodeBody(ctx, &in) {
		return
	}
	claim := cwport.Claim{Owner: cwmodel.HostID(in.Owner), Epoch: cwmodel.Epoch(in.Epoch), TTL: time.Duration(in.TTL)}
	inventory, err := r.worker.Claim(claim)
	respond(ctx, cwcodec.InventoryOf(inventory), err)
}

// handleHeartbeat renews the claim of the owner whose heartbeat this is. The body is that of a claim.
func (r *Runner) handleHeartbeat(ctx *fasthttp.RequestCtx) {
	var in cwcodec.ClaimRequest
	if !decodeBody(ctx, &in) {
		return
	}
	response, err := r.worker.Heartbeat(cwport.Heartbeat{Epoch: cwmodel.Epoch(in.Epoch), TTL: time.Duration(in.TTL), NotAfter: in.NotAfter})
	respond(ctx, cwcodec.HeartbeatResponseOf(response), err)
}

func (r *Runner) handleRelease(ctx *fasthttp.RequestCtx) {
	var in cwcodec.ClaimRequest
	if !decodeBody(ctx, &in) {
		return
	}
	respond(ctx, struct{}{}, r.worker.Release(cwmodel.Epoch(in.Epoch)))
}

// handleStart starts an attempt. A timer ends it when its planned run time has elapsed.
func (r *Runner) handleStart(ctx *fasthttp.RequestCtx) {
	var in cwcodec.StartRequest
	if !decodeBody(ctx, &in) {
		return
	}
	runTime, err := r.worker.Start(in.ToModel())
	if err == nil && runTime > 0 {
		r.timer.After(runTime, func(time.Time) { r.worker.Advance() })
	}
	respond(ctx, struct{}{}, err)
}

func (r *Runner) handleStop(ctx *fasthttp.RequestCtx) {
	var in cwcodec.StopRequest
	if !decodeBody(ctx, &in) {
		return
	}
	result, err := r.worker.Stop(in.Attempt.ToModel(), cwmodel.StopMode(in.Mode))
	respond(ctx, cwcodec.ResultOf(result), err)
}

// handleCompletions applies acknowledgements and returns the other results. If there are none it waits for one.
func (r *Runner) handleCompletions(ctx *fasthttp.RequestCtx) {
	var in cwcodec.CompletionsRequest
	if !decodeBody(ctx, &in) {
		return
	}
	poll := cwport.Poll{
		Epoch: cwmodel.Epoch(in.Epoch), Acks: cwcodec.AttemptsToModel(in.Acks), Retained: cwcodec.AttemptsToModel(in.Retained), Wait: time.Duration(in.Wait),
	}
	results, resultAdded, err := r.worker.Completions(poll)
	if err == nil && len(results) == 0 {
		r.waitForResult(ctx, resultAdded, poll.Wait)
		results, _, err = r.worker.Completions(poll)
	}
	response := cwcodec.CompletionsResponse{Results: []cwcodec.Result{}}
	for _, result := range results {
		response.Results = append(response.Results, cwcodec.ResultOf(result))
	}
	respond(ctx, response, err)
}

// waitForResult blocks until resultAdded is closed, wait elapses or the server stops.
func (r *Runner) waitForResult(ctx *fasthttp.RequestCtx, resultAdded <-chan struct{}, wait time.Duration) {
	timedOut := make(chan struct{})
	cancel := r.timer.After(wait, func(time.Time) { close(timedOut) })
	defer cancel()
	select {
	case <-resultAdded:
	case <-timedOut:
	case <-ctx.Done():
	}
}
