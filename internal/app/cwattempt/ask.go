// Package cwattempt asks workers what became of an attempt.
package cwattempt

import (
	"context"
	"net/netip"
	"slices"

	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwclaim"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
)

// State says what is known of an attempt.
type State string

// The closed set of states.
const (
	StateRunning State = "running"
	StateEnded   State = "over"      // its result is known
	StateLost    State = "forgotten" // its worker has restarted since, so that its result is lost
)

// Status is what a worker told of an attempt.
type Status struct {
	State  State
	Result cwmodel.Result // if it is over
}

// Query asks a worker that is owned under an epoch what became of an attempt.
//
// An attempt that is not running has a result at the worker, or has been refused, or is refused from now
// on. A worker that has restarted since the order remembers nothing of it.
func Query(ctx context.Context, workers cwport.Workers, addr netip.AddrPort, epoch cwmodel.Epoch, attempt cwmodel.Attempt) (f Status, err error) {
	inventory, err := workers.Inspect(ctx, addr)
	if err != nil || inventory.Epoch != epoch {
		return f, cwfault.New(cwfault.Unavailable, "the worker cannot be asked")
	}
	if slices.ContainsFunc(inventory.Running, func(r cwmodel.RunningTask) bool { return r.Attempt.Task == attempt.Task }) {
		return Status{State: StateRunning}, nil
	}
	stop := attempt
	stop.Epoch = epoch
	result, err := workers.Stop(ctx, addr, stop, cwmodel.StopNow)
	if cwfault.CodeOf(err) == cwfault.NotFound {
		result, err = cwmodel.Result{End: cwmodel.EndNotStarted, Message: "refused by the worker", EndedAt: inventory.Clock}, nil
	}
	if err != nil {
		return f, err
	}
	if result.End == cwmodel.EndNotStarted && !cwclaim.RetainsEpoch(attempt.Epoch, epoch, inventory.BootedAt) {
		return Status{State: StateLost}, nil
	}
	result.Attempt = attempt
	return Status{State: StateEnded, Result: result}, nil
}
