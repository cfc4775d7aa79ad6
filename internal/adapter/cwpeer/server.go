package cwpeer

import (
	"context"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/adapter/cwpeerwire"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwhttp"
	"currantward/internal/base/cwrpc"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
	"currantward/internal/port/cwport"
)

// ServerOptions configure the server.
type ServerOptions struct {
	Listen          netip.AddrPort
	Timer           *cwtimer.Service
	Log             *logrus.Logger
	ShutdownTimeout time.Duration
	Traffic         *cwhttp.ByteCounter // nil: not counted

	// ExchangeLoad receives a peer's load report and returns ours.
	ExchangeLoad func(theirs cwport.LoadReport) cwport.LoadReport
	// Forward runs a request that a peer forwarded. hops is the number of forwards so far. An error with the code Unavailable means
	// that the request was not run.
	Forward func(ctx context.Context, task cwmodel.Task, hops int) (cwmodel.Response, error)
	// Configuration returns the active configuration.
	Configuration func() cwpolicy.Configuration
}

// server converts the calls of peers between the wire format and the handlers. Its methods have the names of the protocol.
type server struct{ opts ServerOptions }

// Serve starts the listener for peers and returns its bound address and a function that shuts it down gracefully.
func Serve(opts ServerOptions) (bound netip.AddrPort, stop func(), err error) {
	return cwrpc.Serve(cwpeerwire.NewPeerServer(&server{opts: opts}), cwrpc.ServerOptions{
		Listen: opts.Listen, Log: opts.Log, ShutdownTimeout: opts.ShutdownTimeout, Traffic: opts.Traffic,
	})
}

// Exchange passes a peer's load report on and responds with the load report of this host.
func (s *server) Exchange(_ context.Context, in *cwpeerwire.Digest) (*cwpeerwire.Digest, error) {
	report, err := loadReportFromWire(in)
	if err != nil {
		return nil, twirp.InvalidArgumentError("address", err.Error())
	}
	return loadReportToWire(s.opts.ExchangeLoad(report)), nil
}

// Forward runs a request that a peer forwarded and responds with its outcome. The time left is relative, so the deadline is counted
// from the arrival of the call, on this host's clock.
func (s *server) Forward(ctx context.Context, in *cwpeerwire.ForwardRequest) (*cwpeerwire.ForwardAnswer, error) {
	task := cwmodel.Task{
		ID: cwmodel.TaskID(in.GetTask()), Profile: cwmodel.ProfileName(in.GetProfile()), Team: cwmodel.TeamName(in.GetTeam()),
		Demand: resourcesFromWire(in.GetDemand()), ArrivedAt: in.GetArrived().AsTime(),
		Deadline: s.opts.Timer.Now().Add(in.GetTimeLeft().AsDuration()), Payload: in.GetPayload(),
	}
	response, err := s.opts.Forward(ctx, task, int(in.GetHops()))
	if cwfault.CodeOf(err) == cwfault.Unavailable {
		return nil, twirp.NewError(twirp.FailedPrecondition, cwfault.MessageOf(err))
	}
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return responseToWire(response), nil
}

// GetConfiguration responds with the active configuration of this host.
func (s *server) GetConfiguration(context.Context, *cwpeerwire.ConfigurationRequest) (*cwpeerwire.ConfigurationAnswer, error) {
	document, err := cwcodec.EncodeConfiguration(s.opts.Configuration())
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &cwpeerwire.ConfigurationAnswer{Document: document}, nil
}
