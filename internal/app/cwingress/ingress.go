// Package cwingress accepts requests of callers and peers: it builds the task from the profile, runs it here or forwards it to a peer, and
// awaits the response.
package cwingress

import (
	"context"
	"crypto/rand"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
	"currantward/internal/core/cwroute"
	"currantward/internal/port/cwport"
)

// responseGrace is how long after the deadline of a request its response is still awaited.
const responseGrace = 100 * time.Millisecond

// Options configure an Ingress.
type Options struct {
	Timer *cwtimer.Service
	Log   *logrus.Logger
	Peers cwport.Peers
	Route cwroute.Options

	// Configuration returns the active configuration; version zero means that there is none yet.
	Configuration func() *cwpolicy.Configuration
	// Submit submits a task to the scheduler. It returns false if the scheduler's inbox is full.
	Submit func(t cwmodel.Task, reply func(cwmodel.Response)) bool
	// Cancel cancels a task in the scheduler.
	Cancel func(ctx context.Context, id cwmodel.TaskID) error
	// HasCapacity reports whether a task of this demand could start at once on a worker of this host.
	HasCapacity func(demand cwmodel.Resources) bool
	// LoadReports returns the latest load reports of the reachable peers.
	LoadReports func() []cwport.LoadReport
	// RunOnce calls run at most once for the idempotency key of a request, or returns the response to the first request under the key.
	RunOnce func(ctx context.Context, request cwmodel.Request, task cwmodel.Task, run func() cwmodel.Response) cwmodel.Response
	// OnResponse is called once for each response to a caller of this host.
	OnResponse func(request cwmodel.Request, response cwmodel.Response, latency time.Duration)
}

// Ingress accepts the requests of one entry host.
type Ingress struct {
	opts      Options
	router    *router
	forwarded recentTasks
	draining  atomic.Bool  // requests of peers are refused
	closed    atomic.Bool  // requests of callers are refused too
	inFlight  atomic.Int64 // requests without a response yet
}

// New returns an Ingress and the function that stops its router.
func New(opts Options) (i *Ingress, stop func()) {
	i = &Ingress{opts: opts}
	i.router, stop = newRouter(opts)
	return i, stop
}

// BeginDrain makes this host refuse requests from peers, since it is about to shut down. Callers are still served.
func (i *Ingress) BeginDrain() { i.draining.Store(true) }

// Close makes this host refuse all further requests.
func (i *Ingress) Close() {
	i.draining.Store(true)
	i.closed.Store(true)
}

// Draining reports whether this host has begun to drain.
func (i *Ingress) Draining() bool { return i.draining.Load() }

// InFlight returns the number of requests without a response yet, including those from peers.
func (i *Ingress) InFlight() int { return int(i.inFlight.Load()) }

// Run handles one request of a caller from its arrival to its response, which it also counts and logs.
func (i *Ingress) Run(ctx context.Context, request cwmodel.Request) cwmodel.Response {
	i.inFlight.Add(1)
	defer i.inFlight.Add(-1)
	arrivedAt := i.opts.Timer.Now()
	response := i.runOrRefuse(ctx, request, arrivedAt)
	latency := i.opts.Timer.Now().Sub(arrivedAt)
	i.opts.OnResponse(request, response, latency)
	i.opts.Log.WithFields(logrus.Fields{
		"request-id": response.Task, "profile": request.Profile, "team": request.Team, "outcome": response.Outcome,
		"reason": response.Reason, "attempts": response.Attempts, "worker": response.Worker, "took": latency,
	}).Info("request-answered")
	return response
}

// runOrRefuse runs a request of a caller, or responds with the reason why it is refused. A request with an idempotency key whose task is not
// repeatable runs through RunOnce.
func (i *Ingress) runOrRefuse(ctx context.Context, request cwmodel.Request, arrivedAt time.Time) cwmodel.Response {
	id := cwmodel.TaskID(rand.Text())
	if i.closed.Load() {
		return notRunResponse(id, cwmodel.ReasonShuttingDown)
	}
	task, reason := i.newTask(id, request, arrivedAt)
	if reason != cwmodel.ReasonNone {
		return notRunResponse(id, reason)
	}
	if request.IdempotencyKey != "" && !task.Repeatable {
		return i.opts.RunOnce(ctx, request, task, func() cwmodel.Response { return i.route(ctx, task) })
	}
	return i.route(ctx, task)
}

// newTask returns the task of a request, or the reason why the request is refused; the reason is ReasonNone if it is accepted.
//
// A demand or deadline in the request replaces that of the profile; a negative deadline has passed already.
func (i *Ingress) newTask(id cwmodel.TaskID, request cwmodel.Request, arrivedAt time.Time) (t cwmodel.Task, reason cwmodel.Reason) {
	cfg := i.opts.Configuration()
	if cfg.Version == 0 {
		return t, cwmodel.ReasonNoConfiguration
	}
	profile, ok := cfg.Profile(request.Profile)
	if !ok {
		return t, cwmodel.ReasonUnknownProfile
	}
	if _, ok = cfg.Team(request.Team); !ok {
		return t, cwmodel.ReasonUnknownTeam
	}
	t = withProfile(cwmodel.Task{ID: id, Team: request.Team, Demand: profile.Demand, ArrivedAt: arrivedAt, Payload: request.Payload}, profile)
	if request.Demand != nil {
		t.Demand = *request.Demand
	}
	deadline := request.Deadline
	if deadline == 0 {
		deadline = profile.Deadline
	}
	t.Deadline = arrivedAt.Add(deadline)
	if deadline < 0 {
		return t, cwmodel.ReasonDeadlinePassed
	}
	return t, cwmodel.ReasonNone
}

// withProfile returns a task with the settings of its profile, about to start its first attempt.
func withProfile(t cwmodel.Task, p cwpolicy.Profile) cwmodel.Task {
	t.NextAttempt = 1
	t.Profile, t.Kind = p.Name, p.Kind
	t.Lease, t.MaxAttempts = p.Lease, p.MaxAttempts
	t.Repeatable, t.Checkpointable = p.Repeatable, p.Checkpointable
	return t
}

// runLocally runs a task through this host's own scheduler and awaits its response until responseGrace after the deadline; then it cancels
// the task, and the outcome is unknown.
func (i *Ingress) runLocally(task cwmodel.Task) cwmodel.Response {
	responses := make(chan cwmodel.Response, 1)
	if !i.opts.Submit(task, func(r cwmodel.Response) { responses <- r }) {
		return notRunResponse(task.ID, cwmodel.ReasonOverloaded)
	}
	timedOut := make(chan struct{})
	cancel := i.opts.Timer.After(task.Deadline.Sub(i.opts.Timer.Now())+responseGrace, func(time.Time) { close(timedOut) })
	defer cancel()
	select {
	case response := <-responses:
		return response
	case <-timedOut:
	}
	// The scheduler normally responds before this timeout. The task is cancelled even if the caller has disconnected.
	ctx, release := context.WithTimeout(context.Background(), time.Second)
	defer release()
	_ = i.opts.Cancel(ctx, task.ID)
	return cwmodel.Response{Task: task.ID, Outcome: cwmodel.OutcomeUnknown, Reason: cwmodel.ReasonDeadlineExceeded}
}

// notRunResponse returns the response for a task that was not run.
func notRunResponse(id cwmodel.TaskID, reason cwmodel.Reason) cwmodel.Response {
	return cwmodel.Response{Task: id, Outcome: cwmodel.OutcomeNotRun, Reason: reason}
}
