// Package cwingress takes requests in: it looks up the profile, routes the task and waits for the answer.
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

// answerGrace is how long after its deadline a running request may still be answered.
const answerGrace = 100 * time.Millisecond

// Options set up an intake.
type Options struct {
	Timer *cwtimer.Service
	Log   *logrus.Logger
	Peers cwport.Peers
	Route cwroute.Options

	// Configuration returns the configuration in force.
	Configuration func() *cwpolicy.Configuration
	// Submit hands a task to the scheduler; it returns false if there is no room.
	Submit func(t cwmodel.Task, reply func(cwmodel.Response)) bool
	// Cancel ends a task.
	Cancel func(ctx context.Context, id cwmodel.TaskID) error
	// HasCapacity reports whether a task of this demand would start here at once.
	HasCapacity func(demand cwmodel.Resources) bool
	// LoadReports returns the latest digests of live peers.
	LoadReports func() []cwport.LoadReport
	// RunOnce runs a keyed request that may not be repeated at most once for its key.
	RunOnce func(ctx context.Context, request cwmodel.Request, task cwmodel.Task, run func() cwmodel.Response) cwmodel.Response
	// OnResponse is called once for each answer that a caller of this host is given.
	OnResponse func(request cwmodel.Request, answer cwmodel.Response, took time.Duration)
}

// Ingress takes requests in at one entry host.
type Ingress struct {
	opts      Options
	router    *router
	accepted  accepted
	announced atomic.Bool
	closed    atomic.Bool
	inFlight  atomic.Int64
}

// New returns an intake and the function that stops its routing.
func New(opts Options) (i *Ingress, stop func()) {
	i = &Ingress{opts: opts}
	i.router, stop = newRouter(opts)
	return i, stop
}

// BeginDrain says that this host is leaving: peers are refused, callers are still served.
func (i *Ingress) BeginDrain() { i.announced.Store(true) }

// Close refuses all further requests.
func (i *Ingress) Close() {
	i.announced.Store(true)
	i.closed.Store(true)
}

// Draining reports whether this host has announced that it leaves.
func (i *Ingress) Draining() bool { return i.announced.Load() }

// InFlight returns how many requests are not answered yet, those of peers included.
func (i *Ingress) InFlight() int { return int(i.inFlight.Load()) }

// Run takes one request of a caller from its arrival to its answer.
func (i *Ingress) Run(ctx context.Context, request cwmodel.Request) cwmodel.Response {
	i.inFlight.Add(1)
	defer i.inFlight.Add(-1)
	arrived := i.opts.Timer.Now()
	answer := i.run(ctx, request, arrived)
	took := i.opts.Timer.Now().Sub(arrived)
	i.opts.OnResponse(request, answer, took)
	i.opts.Log.WithFields(logrus.Fields{
		"request-id": answer.Task, "profile": request.Profile, "team": request.Team, "outcome": answer.Outcome,
		"reason": answer.Reason, "attempts": answer.Attempts, "worker": answer.Worker, "took": took,
	}).Info("request-answered")
	return answer
}

func (i *Ingress) run(ctx context.Context, request cwmodel.Request, arrived time.Time) cwmodel.Response {
	id := cwmodel.TaskID(rand.Text())
	if i.closed.Load() {
		return refusal(id, cwmodel.ReasonShuttingDown)
	}
	task, reason := i.prepare(id, request, arrived)
	if reason != cwmodel.ReasonNone {
		return refusal(id, reason)
	}
	if request.IdempotencyKey != "" && !task.Repeatable {
		return i.opts.RunOnce(ctx, request, task, func() cwmodel.Response { return i.route(ctx, task) })
	}
	return i.route(ctx, task)
}

// prepare makes a task of a request, or returns why that cannot be.
func (i *Ingress) prepare(id cwmodel.TaskID, request cwmodel.Request, arrived time.Time) (t cwmodel.Task, reason cwmodel.Reason) {
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
	t = withProfile(cwmodel.Task{ID: id, Team: request.Team, Demand: profile.Demand, ArrivedAt: arrived, Payload: request.Payload}, profile)
	if request.Demand != nil {
		t.Demand = *request.Demand
	}
	deadline := request.Deadline
	if deadline == 0 {
		deadline = profile.Deadline
	}
	t.Deadline = arrived.Add(deadline)
	if deadline < 0 {
		return t, cwmodel.ReasonDeadlinePassed
	}
	return t, cwmodel.ReasonNone
}

func withProfile(t cwmodel.Task, p cwpolicy.Profile) cwmodel.Task {
	t.Attempt = 1
	t.Profile, t.Kind = p.Name, p.Kind
	t.Lease, t.MaxAttempts = p.Lease, p.MaxAttempts
	t.Repeatable, t.Checkpointable = p.Repeatable, p.Checkpointable
	return t
}

// place runs a task by this host's own scheduler and waits for its answer.
func (i *Ingress) place(task cwmodel.Task) cwmodel.Response {
	replies := make(chan cwmodel.Response, 1)
	if !i.opts.Submit(task, func(answer cwmodel.Response) { replies <- answer }) {
		return refusal(task.ID, cwmodel.ReasonOverloaded)
	}
	late := make(chan struct{})
	cancel := i.opts.Timer.After(task.Deadline.Sub(i.opts.Timer.Now())+answerGrace, func(time.Time) { close(late) })
	defer cancel()
	select {
	case answer := <-replies:
		return answer
	case <-late:
	}
	// The scheduler answers before that; it is told although the caller may be gone.
	ctx, release := context.WithTimeout(context.Background(), time.Second)
	defer release()
	_ = i.opts.Cancel(ctx, task.ID)
	return cwmodel.Response{Task: task.ID, Outcome: cwmodel.OutcomeUnknown, Reason: cwmodel.ReasonDeadlineExceeded}
}

func refusal(id cwmodel.TaskID, reason cwmodel.Reason) cwmodel.Response {
	return cwmodel.Response{Task: id, Outcome: cwmodel.OutcomeNotRun, Reason: reason}
}
