// Package cwworker is the HTTP client of the workers.
package cwworker

import (
	"context"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/base/cwhttp"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
)

// client sends requests to workers, each with the fencing epoch of the owner.
type client struct{ http *cwhttp.Client }

// New returns the port to workers and a function that closes its connections.
func New(opts cwhttp.ClientOptions) (port cwport.Workers, stop func()) {
	http, stop := cwhttp.NewClient(opts)
	c := &client{http: http}
	return cwport.Workers{
		Inspect:     c.inspect,
		Claim:       c.claim,
		Heartbeat:   c.heartbeat,
		Release:     c.release,
		Start:       c.start,
		Stop:        c.stop,
		Completions: c.completions,
	}, stop
}

func (c *client) inspect(ctx context.Context, addr netip.AddrPort) (inventory cwport.Inventory, err error) {
	defer func() { err = eris.Wrap(err, "inspect worker") }()
	var document cwcodec.Inventory
	err = c.http.Call(ctx, fasthttp.MethodGet, addr, cwcodec.PathInspect, nil, &document)
	return document.ToModel(), err
}

func (c *client) claim(ctx context.Context, addr netip.AddrPort, claim cwport.Claim) (inventory cwport.Inventory, err error) {
	defer func() { err = eris.Wrap(err, "claim worker") }()
	in := cwcodec.ClaimRequest{Owner: string(claim.Owner), Epoch: uint64(claim.Epoch), TTL: cwcodec.Duration(claim.TTL)}
	var document cwcodec.Inventory
	err = c.http.Call(ctx, fasthttp.MethodPost, addr, cwcodec.PathClaim, in, &document)
	return document.ToModel(), err
}

// heartbeat renews a claim. Its body is a ClaimRequest without an owner.
func (c *client) heartbeat(ctx context.Context, addr netip.AddrPort, h cwport.Heartbeat) (response cwport.HeartbeatResponse, err error) {
	defer func() { err = eris.Wrap(err, "renew claim") }()
	in := cwcodec.ClaimRequest{Epoch: uint64(h.Epoch), TTL: cwcodec.Duration(h.TTL), NotAfter: h.NotAfter}
	var document cwcodec.HeartbeatResponse
	err = c.http.Call(ctx, fasthttp.MethodPost, addr, cwcodec.PathHeartbeat, in, &document)
	return document.ToModel(), err
}

func (c *client) release(ctx context.Context, addr netip.AddrPort, epoch cwmodel.Epoch) (err error) {
	defer func() { err = eris.Wrap(err, "release claim") }()
	return c.http.Call(ctx, fasthttp.MethodPost, addr, cwcodec.PathRelease, cwcodec.ClaimRequest{Epoch: uint64(epoch)}, nil)
}

func (c *client) start(ctx context.Context, addr netip.AddrPort, request cwport.StartRequest) (err error) {
	defer func() { err = eris.Wrap(err, "start task") }()
	return c.http.Call(ctx, fasthttp.MethodPost, addr, cwcodec.PathStart, cwcodec.StartRequestOf(request), nil)
}

// stop ends, checkpoints or throttles an attempt. A throttled attempt continues, so that its result has no end.
func (c *client) stop(ctx context.Context, addr netip.AddrPort, attempt cwmodel.Attempt, mode cwmodel.StopMode) (result cwmodel.Result, err error) {
	defer func() { err = eris.Wrap(err, "stop task") }()
	in := cwcodec.StopRequest{Attempt: cwcodec.AttemptOf(attempt), Mode: string(mode)}
	if mode == cwmodel.StopThrottle { // the attempt continues, so there is no result
		return cwmodel.Result{Attempt: attempt}, c.http.Call(ctx, fasthttp.MethodPost, addr, cwcodec.PathStop, in, nil)
	}
	var document cwcodec.Result
	if err = c.http.Call(ctx, fasthttp.MethodPost, addr, cwcodec.PathStop, in, &document); err != nil {
		return result, err
	}
	return document.ToModel()
}

// completions long-polls for results. The call may take responseMargin longer than the worker waits.
func (c *client) completions(ctx context.Context, addr netip.AddrPort, poll cwport.Poll) (results []cwmodel.Result, err error) {
	defer func() { err = eris.Wrap(err, "read completions") }()
	const responseMargin = time.Second
	ctx, cancel := context.WithTimeout(ctx, poll.Wait+responseMargin)
	defer cancel()
	in := cwcodec.CompletionsRequest{
		Epoch: uint64(poll.Epoch), Acks: cwcodec.AttemptsOf(poll.Acks), Retained: cwcodec.AttemptsOf(poll.Retained), Wait: cwcodec.Duration(poll.Wait),
	}
	var document cwcodec.CompletionsResponse
	if err = c.http.Call(ctx, fasthttp.MethodPost, addr, cwcodec.PathCompletions, in, &document); err != nil {
		return nil, err
	}
	for _, row := range document.Results {
		result, err := row.ToModel()
		if err != nil {
			return nil, err
		}
		results = append(results, result)
	}
	return results, nil
}
