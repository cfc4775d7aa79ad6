package cwcellpeer

import (
	"context"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/types/known/durationpb"

	"currantward/internal/adapter/cwcellcodec"
	"currantward/internal/adapter/cwcellwire"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwrpc"
	"currantward/internal/core/cwcell"
	"currantward/internal/core/cwlayout"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
	"currantward/internal/port/cwcellport"
)

// ServerOptions configure the server and its handlers, which answer the calls of cwcellport.Peers. A handler returns an error with
// the code NotSupported if this host is not the owner.
type ServerOptions struct {
	Listen          netip.AddrPort
	Log             *logrus.Logger
	ShutdownTimeout time.Duration

	Heartbeat       func(p cwcellport.Heartbeat) cwcellport.HeartbeatResponse
	NotifyJob       func(s *cwwork.Submission, version, fence uint64) error
	Lookup          func(id cwmodel.JobID) (state cwwork.JobState, known bool, err error)
	Cancel          func(id cwmodel.JobID) (known bool, err error)
	RequestAdvice   func(q *cwcell.AdviceRequest) (eligible []cwcell.EligibleWorker, validity time.Duration, err error)
	StoreSubmission func(s *cwwork.Submission) cwcellport.SubmitResult
	TakeOver        func(cell cwlayout.Cell)

	ConfigurationDifference func(version uint64) (*cwcellport.ConfigurationDifference, error)
}

// server converts the calls of peers between the wire format and the handlers. Its methods have the names of the protocol.
type server struct{ opts ServerOptions }

// Serve starts the listener for peers and returns its bound address. The stop function shuts it down gracefully.
func Serve(opts ServerOptions) (bound netip.AddrPort, stop func(), err error) {
	return cwrpc.Serve(cwcellwire.NewCellServer(&server{opts: opts}), cwrpc.ServerOptions{
		Listen: opts.Listen, Log: opts.Log, ShutdownTimeout: opts.ShutdownTimeout,
	})
}

// Pulse answers a peer's heartbeat: whether this host owns the cell, and what it knows of the owner, the queues and the peers.
func (s *server) Pulse(_ context.Context, r *cwcellwire.PulseRequest) (*cwcellwire.PulseReply, error) {
	from, err := hostFromWire(r.GetFrom())
	if err != nil {
		return nil, toTwirpError(err)
	}
	response := s.opts.Heartbeat(cwcellport.Heartbeat{
		Cell: cwlayout.Cell(r.GetCell()), From: from, OwnedCells: int(r.GetOwned()),
		Draining: r.GetLeaving(), StoreOK: r.GetStoreOk(), Capacity: r.GetCapacity(), ConfigurationVersion: r.GetConfiguration(),
	})
	reply := &cwcellwire.PulseReply{
		IsOwner: response.IsOwner, Unwell: response.RenewalFailing, LeaseVersion: response.LeaseVersion, Configuration: response.ConfigurationVersion, StoreVersion: response.StoreVersion,
		Counted: response.QueuesComplete, Cells: int32(response.Cells),
	}
	if response.Owner.ID != "" {
		reply.Owner, reply.Fence = hostToWire(response.Owner), response.Fence
	}
	for _, q := range response.Queues {
		reply.Queues = append(reply.Queues, &cwcellwire.QueueLength{Queue: string(q.Queue), Waiting: int32(q.Waiting)})
	}
	for _, p := range response.Peers {
		reply.Peers = append(reply.Peers, hostToWire(p))
	}
	return reply, nil
}

// Offer receives the notification of a job that was accepted under this host's fence.
func (s *server) Offer(_ context.Context, r *cwcellwire.OfferRequest) (*cwcellwire.OfferReply, error) {
	submission, err := cwcellcodec.DecodeSubmission(cwmodel.JobID(r.GetId()), r.GetSubmission())
	if err != nil {
		return nil, toTwirpError(cwfault.New(cwfault.Invalid, "%v", err))
	}
	if err := s.opts.NotifyJob(submission, r.GetVersion(), r.GetFence()); err != nil {
		return nil, toTwirpError(err)
	}
	return &cwcellwire.OfferReply{}, nil
}

// Look answers a peer's lookup of a job's state.
func (s *server) Look(_ context.Context, r *cwcellwire.LookRequest) (*cwcellwire.LookReply, error) {
	state, known, err := s.opts.Lookup(cwmodel.JobID(r.GetId()))
	if err != nil {
		return nil, toTwirpError(err)
	}
	return &cwcellwire.LookReply{Known: known, State: string(state)}, nil
}

// Cancel cancels a job for a peer. Known is false in the response if this host, as the owner, has no such job.
func (s *server) Cancel(_ context.Context, r *cwcellwire.CancelRequest) (*cwcellwire.CancelReply, error) {
	known, err := s.opts.Cancel(cwmodel.JobID(r.GetId()))
	if err != nil {
		return nil, toTwirpError(err)
	}
	return &cwcellwire.CancelReply{Known: known}, nil
}

// Ask sends a peer's advice request to the advice service from this host.
func (s *server) Ask(_ context.Context, r *cwcellwire.AskRequest) (*cwcellwire.AskReply, error) {
	q := &cwcell.AdviceRequest{
		Step: cwwork.StepKey{Job: cwmodel.JobID(r.GetJob()), Occurrence: int(r.GetOccurrence()), Step: int(r.GetStep())},
		Cost: r.GetCost().AsDuration(),
	}
	for _, id := range r.GetWorkers() {
		q.Workers = append(q.Workers, cwmodel.HostID(id))
	}
	eligible, validity, err := s.opts.RequestAdvice(q)
	if err != nil {
		return nil, toTwirpError(err)
	}
	reply := &cwcellwire.AskReply{Validity: durationpb.New(validity)}
	for _, g := range eligible {
		reply.Good = append(reply.Good, &cwcellwire.GoodWorker{Id: string(g.ID), Ticket: g.Ticket})
	}
	return reply, nil
}

// Store writes a job to the platform's store for a peer whose own writes the store refuses.
func (s *server) Store(_ context.Context, r *cwcellwire.StoreRequest) (*cwcellwire.StoreReply, error) {
	submission, err := cwcellcodec.DecodeSubmission(cwmodel.JobID(r.GetId()), r.GetSubmission())
	if err != nil {
		return nil, toTwirpError(cwfault.New(cwfault.Invalid, "%v", err))
	}
	return &cwcellwire.StoreReply{Verdict: string(s.opts.StoreSubmission(submission))}, nil
}

// TakeOver receives a peer's request that this host become the owner of a cell.
func (s *server) TakeOver(_ context.Context, r *cwcellwire.TakeOverRequest) (*cwcellwire.TakeOverReply, error) {
	s.opts.TakeOver(cwlayout.Cell(r.GetCell()))
	return &cwcellwire.TakeOverReply{}, nil
}

// toTwirpError maps a typed error to a twirp error. It is the inverse of fromTwirpError for NotSupported and Unavailable.
func toTwirpError(err error) error {
	switch cwfault.CodeOf(err) {
	case cwfault.NotSupported:
		return twirp.NewError(twirp.FailedPrecondition, cwfault.MessageOf(err))
	case cwfault.Unavailable:
		return twirp.NewError(twirp.Unavailable, cwfault.MessageOf(err))
	case cwfault.Invalid:
		return twirp.NewError(twirp.InvalidArgument, cwfault.MessageOf(err))
	}
	return twirp.NewError(twirp.Internal, cwfault.MessageOf(err))
}
