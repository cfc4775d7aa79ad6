// Package cwingress accepts requests of callers and peers: it looks up the profile, routes the task and awaits the response.
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

// responseGrace is how long after its deadline a running request may still get its response.
const responseGrace = 100 * time.Millisecond

// Options configure an Ingress.
type Options struct {
	Timer *cwtimer.Service
	Log   *logrus.Logger
	Peers cwport.Peers
	Route cwroute.Options

	// Configuration returns the active configuration.
	Configuration func() *cwpolicy.Configuration
	// Submit submits a task to the scheduler. It returns false if the scheduler's inbox is full.
	Submit func(t cwmodel.Task, reply func(cwmodel.Response)) bool
	// Cancel ends a task.
	Cancel func(ctx context.Context, id cwmodel.TaskID) error
	// HasCapacity reports whether a task of this demand could start here at once.
	HasCapacity func(demand cwmodel.Resources) bool
	// LoadReports returns the latest load reports of live peers.
	LoadReports func() []cwport.LoadReport
	// RunOnce runs a request that is not repeatable at most once for its idempotency key.
	RunOnce func(ctx context.Context, request cwmodel.Request, task cwmodel.Task, run func() cwmodel.Response) cwmodel.Response
	// OnResponse is called once for each response to a caller of this host.
	OnResponse func(request cwmodel.Request, response cwmodel.Response, latency time.Duration)
}

// Ingress accepts the requests of one entry host.
type Ingress struct {
	opts      Options
	router    *router
	forwarded recentTasks
	draining  atomic.Bool
	closed    atomic.Bool
	inFlight  atomic.Int64
}

// New returns an Ingress and the function that stops its router.
func New(opts Options) (i *Ingress, stop func()) {
	i = &Ingress{opts: opts}
	i.router, stop = newRouter(opts)
	return i, stop
}

// BeginDrain makes this host refuse requests from peers, since it is about to shut down. Callers are still served.
func (i *Ingress) BeginDrain() { i.draining.Store(true) }

// Close refuses all further requests.
func (i *Ingress) Close() {
	i.draining.Store(true)
	i.closed.Store(true)
}

// Draining reports whether this host has begun to drain.
func (i *Ingress) Draining() bool { return i.draining.Load() }

// InFlight returns the number of requests without a response yet, including those from peers.
func (i *Ingress) InFlight() int { return int(i.inFlight.Load()) }

// Run handles one request of a caller from its arrival to its response.
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

func (i *Ingress) runOrRefuse(ctx context.Context, request cwmodel.Request, arrivedAt time.Time) cwmodel.Response {
	id := cwmodel.TaskID(rand.Text())
	if i.closed.Load() {
		return notRun(id, cwmodel.ReasonShuttingDown)
	}
	task, reason := i.newTask(id, request, arrivedAt)
	if reason != cwmodel.ReasonNone {
		return notRun(id, reason)
	}
	if request.IdempotencyKey != "" && !task.Repeatable {
		return i.opts.RunOnce(ctx, request, task, func() cwmodel.Response { return i.route(ctx, task) })
	}
	return i.route(ctx, task)
}

// newTask returns the task of a request, or the reason why the request is refused.
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

func withProfile(t cwmodel.Task, p cwpolicy.Profile) cwmodel.Task {
	t.NextAttempt = 1
	t.Profile, t.Kind = p.Name, p.Kind
	t.Lease, t.MaxAttempts = p.Lease, p.MaxAttempts
	t.Repeatable, t.Checkpointable = p.Repeatable, p.Checkpointable
	return t
}

// runLocally runs a task through this host's own scheduler and awaits its response.
func (i *Ingress) runLocally(task cwmodel.Task) cwmodel.Response {
	responses := make(chan cwmodel.Response, 1)
	if !i.opts.Submit(task, func(r cwmodel.Response) { responses <- r }) {
		return notRun(task.ID, cwmodel.ReasonOverloaded)
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

func notRun(id cwmodel.TaskID, reason cwmodel.Reason) cwmodel.Response {
	return cwmodel.Response{Task: id, Outcome: cwmodel.OutcomeNotRun, Reason: reason}
}
