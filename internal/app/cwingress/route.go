package cwingress

import (
	"context"

	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
)

// Modes of a forwarded request, which state what the peer may do. They are sent in its hops field, but count nothing: a peer never forwards the
// request again.
const (
	modeStartNow = 1 // the peer refuses the request unless it can start at once
	modeMayQueue = 2 // the peer may queue the request
)

// maxForwards bounds how many peers are tried in each mode.
const maxForwards = 3

// route runs a task here or forwards it to a peer with free capacity.
//
// Without free capacity here, a peer that can start the task at once is tried first, then the queue of this host. A host without workers, or
// whose workers are all too small, forwards the task to a peer that may queue it.
func (i *Ingress) route(ctx context.Context, task cwmodel.Task) cwmodel.Response {
	if i.opts.HasCapacity(task.Demand) {
		return i.runLocally(task)
	}
	tried := []cwmodel.HostID{}
	if response, ok := i.forward(ctx, task, modeStartNow, &tried); ok {
		return response
	}
	response := i.runLocally(task)
	if response.Outcome != cwmodel.OutcomeNotRun || (response.Reason != cwmodel.ReasonNoWorkers && response.Reason != cwmodel.ReasonTooLarge) {
		return response
	}
	tried = tried[:0]
	if forwarded, ok := i.forward(ctx, task, modeMayQueue, &tried); ok {
		return forwarded
	}
	return response
}

// forward forwards a task in the given mode to one peer after another, at most maxForwards, until one accepts it or its effect is unknown. It adds
// the peers to tried. If ok is false, no peer has run the task.
func (i *Ingress) forward(ctx context.Context, task cwmodel.Task, mode int, tried *[]cwmodel.HostID) (response cwmodel.Response, ok bool) {
	for len(*tried) < maxForwards {
		timeLeft := task.Deadline.Sub(i.opts.Timer.Now())
		to, ok := i.router.choose(ctx, routeRequest{demand: task.Demand, timeLeft: timeLeft, tried: *tried, mayQueue: mode == modeMayQueue})
		if !ok {
			return response, false
		}
		*tried = append(*tried, to.Host)
		if response, ok = i.forwardTo(ctx, to, task, mode); ok {
			return response, true
		}
	}
	return response, false
}

// forwardTo forwards a task to a peer. It returns ok false if the peer has surely not run the task, so that another peer may be tried.
// Only a refusal by the peer itself, or a call that was not sent, proves that.
//
// After a lost response the outcome is unknown even for repeatable tasks, since this host cannot tell when the peer's attempt ends.
func (i *Ingress) forwardTo(ctx context.Context, to cwport.LoadReport, task cwmodel.Task, mode int) (response cwmodel.Response, ok bool) {
	// The peer itself responds until responseGrace after the deadline; the second responseGrace is for the way back.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), task.Deadline.Add(2*responseGrace))
	defer cancel()
	response, err := i.opts.Peers.Forward(ctx, to.Address, task, mode)
	if err == nil {
		refused := response.Outcome == cwmodel.OutcomeNotRun && (response.Reason == cwmodel.ReasonNoWorkers || response.Reason == cwmodel.ReasonTooLarge)
		return response, !refused
	}
	if cwfault.CodeOf(err) == cwfault.Unavailable {
		return response, false
	}
	return cwmodel.Response{Task: task.ID, Outcome: cwmodel.OutcomeUnknown, Message: cwfault.MessageOf(err)}, true
}

// RunForwarded runs a request that a peer forwarded in the given mode and returns its response. An Unavailable error refuses the request, so that
// the peer can try another host. A task that was forwarded to this host before is Indefinite, since it may have run.
func (i *Ingress) RunForwarded(_ context.Context, task cwmodel.Task, mode int) (response cwmodel.Response, err error) {
	i.inFlight.Add(1)
	defer i.inFlight.Add(-1)
	cfg := i.opts.Configuration()
	profile, ok := cfg.Profile(task.Profile)
	switch {
	case i.draining.Load():
		return response, cwfault.New(cwfault.Unavailable, "this host is shutting down")
	case mode < modeStartNow || mode > modeMayQueue:
		return response, cwfault.New(cwfault.Unavailable, "%d hops", mode)
	case !ok:
		return response, cwfault.New(cwfault.Unavailable, "no profile %s at version %d", task.Profile, cfg.Version)
	case mode == modeStartNow && !i.opts.HasCapacity(task.Demand):
		return response, cwfault.New(cwfault.Unavailable, "no room")
	case !i.forwarded.add(i.opts.Timer.Now(), task.ID):
		return response, cwfault.New(cwfault.Indefinite, "task %s was taken before", task.ID)
	}
	return i.runLocally(withProfile(task, profile)), nil
}
