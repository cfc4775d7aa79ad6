package cwingress

import (
	"context"

	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
)

// Hops of a request that is handed to a peer, which never hands it on.
const (
	hopsIfRoom  = 1 // the peer refuses it unless it would start at once
	hopsToQueue = 2 // the peer takes it into its queue
)

// maxForwards bounds the peers that are asked for one request.
const maxForwards = 3

// route places a task here or hands it to a peer with room.
//
// A host without workers hands it to a peer that may queue it. So does a host whose workers are all too small.
func (i *Ingress) route(ctx context.Context, task cwmodel.Task) cwmodel.Response {
	if i.opts.HasCapacity(task.Demand) {
		return i.place(task)
	}
	tried := []cwmodel.HostID{}
	if answer, ok := i.forward(ctx, task, hopsIfRoom, &tried); ok {
		return answer
	}
	answer := i.place(task)
	if answer.Outcome != cwmodel.OutcomeNotRun || (answer.Reason != cwmodel.ReasonNoWorkers && answer.Reason != cwmodel.ReasonTooLarge) {
		return answer
	}
	tried = tried[:0]
	if elsewhere, ok := i.forward(ctx, task, hopsToQueue, &tried); ok {
		return elsewhere
	}
	return answer
}

// forward hands a task to one peer after the other until one takes it; ok is false if none did and nothing was run.
func (i *Ingress) forward(ctx context.Context, task cwmodel.Task, hops int, tried *[]cwmodel.HostID) (answer cwmodel.Response, ok bool) {
	for len(*tried) < maxForwards {
		left := task.Deadline.Sub(i.opts.Timer.Now())
		to, ok := i.router.choose(ctx, ask{demand: task.Demand, left: left, tried: *tried, queue: hops == hopsToQueue})
		if !ok {
			return answer, false
		}
		*tried = append(*tried, to.Host)
		if answer, ok = i.send(ctx, to, task, hops); ok {
			return answer, true
		}
	}
	return answer, false
}

// send hands a task to a peer; only a refusal by the peer itself is known to have run nothing.
//
// A lost answer is unknown also for repeatable work: nobody here can tell when the peer's attempt is over.
func (i *Ingress) send(ctx context.Context, to cwport.LoadReport, task cwmodel.Task, hops int) (answer cwmodel.Response, ok bool) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), task.Deadline.Add(2*answerGrace))
	defer cancel()
	answer, err := i.opts.Peers.Forward(ctx, to.Address, task, hops)
	if err == nil {
		refused := answer.Outcome == cwmodel.OutcomeNotRun && (answer.Reason == cwmodel.ReasonNoWorkers || answer.Reason == cwmodel.ReasonTooLarge)
		return answer, !refused
	}
	if cwfault.CodeOf(err) == cwfault.Unavailable {
		return answer, false
	}
	return cwmodel.Response{Task: task.ID, Outcome: cwmodel.OutcomeUnknown, Message: cwfault.MessageOf(err)}, true
}

// RunForwarded runs a request that a peer handed over, at most once, or refuses it so that the peer can try elsewhere.
func (i *Ingress) RunForwarded(_ context.Context, task cwmodel.Task, hops int) (answer cwmodel.Response, err error) {
	i.inFlight.Add(1)
	defer i.inFlight.Add(-1)
	cfg := i.opts.Configuration()
	profile, known := cfg.Profile(task.Profile)
	switch {
	case i.announced.Load():
		return answer, cwfault.New(cwfault.Unavailable, "this host is shutting down")
	case hops < hopsIfRoom || hops > hopsToQueue:
		return answer, cwfault.New(cwfault.Unavailable, "%d hops", hops)
	case !known:
		return answer, cwfault.New(cwfault.Unavailable, "no profile %s at version %d", task.Profile, cfg.Version)
	case hops == hopsIfRoom && !i.opts.HasCapacity(task.Demand):
		return answer, cwfault.New(cwfault.Unavailable, "no room")
	case !i.accepted.add(i.opts.Timer.Now(), task.ID):
		return answer, cwfault.New(cwfault.Indefinite, "task %s was taken before", task.ID)
	}
	return i.place(withProfile(task, profile)), nil
}
