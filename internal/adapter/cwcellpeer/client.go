// Package cwcellpeer is the client and the server of the calls between the entry hosts of a deployment with cells, over twirp.
package cwcellpeer

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
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

// ClientOptions limit the calls to peers.
type ClientOptions struct {
	Timeout         time.Duration // of a call that does not wait for the store
	StoreTimeout    time.Duration // of a call that waits for the store
	MaxConnsPerPeer int
	UserTimeout     time.Duration // closes connections whose data is not acknowledged, as in a network partition
	StallTimeout    time.Duration // longest pause within a large response, or before it
}

// DefaultClientOptions returns limits that suit entry hosts of one region.
func DefaultClientOptions() ClientOptions {
	return ClientOptions{Timeout: 400 * time.Millisecond, StoreTimeout: 1500 * time.Millisecond, MaxConnsPerPeer: 32, UserTimeout: 2 * time.Second, StallTimeout: time.Second}
}

// client calls peers. It keeps one twirp client for each address.
type client struct {
	opts    ClientOptions
	http    *http.Client
	bulk    *http.Client // for large responses
	mu      sync.Mutex
	clients map[netip.AddrPort]cwcellwire.Cell // on http
}

// New returns the port to peers. The stop function closes its connections.
func New(opts ClientOptions) (port cwcellport.Peers, stop func()) {
	httpClient, stop := cwrpc.NewClient(cwrpc.ClientOptions{
		DialTimeout: opts.Timeout, MaxConnsPerPeer: opts.MaxConnsPerPeer, UserTimeout: opts.UserTimeout,
	})
	bulkClient, _ := cwrpc.NewClient(cwrpc.ClientOptions{
		DialTimeout: opts.Timeout, UserTimeout: opts.UserTimeout, StallTimeout: opts.StallTimeout,
	})
	c := &client{opts: opts, http: httpClient, bulk: bulkClient, clients: map[netip.AddrPort]cwcellwire.Cell{}}
	return cwcellport.Peers{
		Heartbeat:       c.heartbeat,
		NotifyJob:       c.notifyJob,
		Lookup:          c.lookup,
		Cancel:          c.cancel,
		RequestAdvice:   c.requestAdvice,
		StoreSubmission: c.storeSubmission,
		TakeOver:        c.takeOver,

		ConfigurationDifference: c.configurationDifference,
	}, stop
}

// peer returns the twirp client of an address.
func (c *client) peer(addr netip.AddrPort) cwcellwire.Cell {
	c.mu.Lock()
	defer c.mu.Unlock()
	peer, ok := c.clients[addr]
	if !ok {
		peer = cwcellwire.NewCellProtobufClient("http://"+addr.String(), c.http)
		c.clients[addr] = peer
	}
	return peer
}

// withTimeout returns a context that expires after d.
func withTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}

func (c *client) heartbeat(addr netip.AddrPort, h cwcellport.Heartbeat) (response cwcellport.HeartbeatResponse, err error) {
	defer func() { err = eris.Wrap(err, "send heartbeat") }()
	ctx, cancel := withTimeout(c.opts.Timeout)
	defer cancel()
	reply, err := c.peer(addr).Pulse(ctx, &cwcellwire.PulseRequest{
		From: hostToWire(h.From), Leaving: h.Draining, StoreOk: h.StoreOK, Capacity: h.Capacity, Cell: int32(h.Cell), Owned: int32(h.OwnedCells),
		Configuration: h.ConfigurationVersion,
	})
	if err != nil {
		return response, fromTwirpError(err)
	}
	response = cwcellport.HeartbeatResponse{
		IsOwner: reply.GetIsOwner(), RenewalFailing: reply.GetUnwell(), LeaseVersion: reply.GetLeaseVersion(), ConfigurationVersion: reply.GetConfiguration(), StoreVersion: reply.GetStoreVersion(),
		QueuesComplete: reply.GetCounted(), Cells: int(reply.GetCells()),
	}
	if reply.GetOwner() != nil {
		if response.Owner, err = hostFromWire(reply.GetOwner()); err != nil {
			return response, err
		}
		response.Fence = reply.GetFence()
	}
	for _, q := range reply.GetQueues() {
		response.Queues = append(response.Queues, cwcellport.QueueLength{Queue: cwwork.QueueName(q.GetQueue()), Waiting: int(q.GetWaiting())})
	}
	for _, p := range reply.GetPeers() {
		host, err := hostFromWire(p)
		if err != nil {
			return response, err
		}
		response.Peers = append(response.Peers, host)
	}
	return response, nil
}

func (c *client) notifyJob(addr netip.AddrPort, s *cwwork.Submission, version, fence uint64) (err error) {
	defer func() { err = eris.Wrap(err, "notify owner of job") }()
	data, err := cwcellcodec.EncodeSubmission(s)
	if err != nil {
		return err
	}
	ctx, cancel := withTimeout(c.opts.Timeout)
	defer cancel()
	_, err = c.peer(addr).Offer(ctx, &cwcellwire.OfferRequest{Id: string(s.ID), Submission: data, Version: version, Fence: fence})
	return fromTwirpError(err)
}

func (c *client) lookup(addr netip.AddrPort, id cwmodel.JobID) (state cwwork.JobState, known bool, err error) {
	defer func() { err = eris.Wrap(err, "look up job") }()
	ctx, cancel := withTimeout(c.opts.Timeout)
	defer cancel()
	reply, err := c.peer(addr).Look(ctx, &cwcellwire.LookRequest{Id: string(id)})
	if err != nil {
		return "", false, fromTwirpError(err)
	}
	if !reply.GetKnown() {
		return "", false, nil
	}
	state, err = cwwork.ParseJobState(reply.GetState())
	return state, err == nil, err
}

// cancel cancels a job at the cell's owner, which responds once the end of the job is stored; known is false if it has no such job.
func (c *client) cancel(addr netip.AddrPort, id cwmodel.JobID) (known bool, err error) {
	defer func() { err = eris.Wrap(err, "cancel job") }()
	ctx, cancel := withTimeout(c.opts.StoreTimeout)
	defer cancel()
	reply, err := c.peer(addr).Cancel(ctx, &cwcellwire.CancelRequest{Id: string(id)})
	return reply.GetKnown(), fromTwirpError(err)
}

func (c *client) requestAdvice(addr netip.AddrPort, q *cwcell.AdviceRequest) (eligible []cwcell.EligibleWorker, validity time.Duration, err error) {
	defer func() { err = eris.Wrap(err, "request advice through a peer") }()
	request := &cwcellwire.AskRequest{
		Job: string(q.Step.Job), Occurrence: int32(q.Step.Occurrence), Step: int32(q.Step.Step), Cost: durationpb.New(q.Cost),
	}
	for _, id := range q.Workers {
		request.Workers = append(request.Workers, string(id))
	}
	ctx, cancel := withTimeout(c.opts.Timeout + AdviceTimeout(q.Cost))
	defer cancel()
	reply, err := c.peer(addr).Ask(ctx, request)
	if err != nil {
		return nil, 0, fromTwirpError(err)
	}
	for _, g := range reply.GetGood() {
		eligible = append(eligible, cwcell.EligibleWorker{ID: cwmodel.HostID(g.GetId()), Ticket: g.GetTicket()})
	}
	return eligible, reply.GetValidity().AsDuration(), nil
}

// AdviceTimeout returns the timeout of an advice request of the given cost, which is the expected time of the service. It leaves room
// for a slower response of a loaded service.
func AdviceTimeout(cost time.Duration) time.Duration { return 2*cost + 500*time.Millisecond }

func (c *client) storeSubmission(addr netip.AddrPort, s *cwwork.Submission) (result cwcellport.SubmitResult, err error) {
	defer func() { err = eris.Wrap(err, "store job through a peer") }()
	data, err := cwcellcodec.EncodeSubmission(s)
	if err != nil {
		return cwcellport.SubmitRefused, err
	}
	ctx, cancel := withTimeout(c.opts.StoreTimeout)
	defer cancel()
	reply, err := c.peer(addr).Store(ctx, &cwcellwire.StoreRequest{Id: string(s.ID), Submission: data})
	if err != nil {
		if err = fromTwirpError(err); cwfault.CodeOf(err) == cwfault.Unavailable {
			return cwcellport.SubmitRefused, err
		}
		return cwcellport.SubmitUnknown, err
	}
	return parseSubmitResult(reply.GetVerdict()), nil
}

// parseSubmitResult returns SubmitUnknown for a result that this version does not know.
func parseSubmitResult(s string) cwcellport.SubmitResult {
	switch result := cwcellport.SubmitResult(s); result {
	case cwcellport.SubmitAccepted, cwcellport.SubmitRefused:
		return result
	case cwcellport.SubmitUnknown:
	}
	return cwcellport.SubmitUnknown
}

func (c *client) takeOver(addr netip.AddrPort, cell cwlayout.Cell) (err error) {
	defer func() { err = eris.Wrap(err, "hand over cell") }()
	ctx, cancel := withTimeout(c.opts.Timeout)
	defer cancel()
	_, err = c.peer(addr).TakeOver(ctx, &cwcellwire.TakeOverRequest{Cell: int32(cell)})
	return fromTwirpError(err)
}

func hostToWire(h cwcellport.EntryHost) *cwcellwire.EntryHost {
	return &cwcellwire.EntryHost{Id: string(h.ID), DataCentre: string(h.DataCentre), Address: h.Address.String()}
}

func hostFromWire(h *cwcellwire.EntryHost) (host cwcellport.EntryHost, err error) {
	addr, err := netip.ParseAddrPort(h.GetAddress())
	if err != nil {
		return host, cwfault.New(cwfault.Invalid, "address of entry host %q: %v", h.GetId(), err)
	}
	return cwcellport.EntryHost{ID: cwmodel.HostID(h.GetId()), DataCentre: cwmodel.DataCentre(h.GetDataCentre()), Address: addr}, nil
}

// fromTwirpError maps a twirp error to a typed one, and nil to nil. Only a failure to connect, or a refusal by the peer itself,
// guarantees that the call had no effect. Every other error is Indefinite.
func fromTwirpError(err error) error {
	if err == nil {
		return nil
	}
	if cwrpc.IsDialError(err) {
		return cwfault.New(cwfault.Unavailable, "%v", err)
	}
	var twirpErr twirp.Error
	if eris.As(err, &twirpErr) {
		switch twirpErr.Code() {
		case twirp.FailedPrecondition:
			return cwfault.New(cwfault.NotSupported, "%s", twirpErr.Msg())
		case twirp.Unavailable:
			return cwfault.New(cwfault.Unavailable, "%s", twirpErr.Msg())
		}
	}
	return cwfault.New(cwfault.Indefinite, "%v", err)
}
