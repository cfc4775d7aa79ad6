// Package cwattempt queries workers for the state of an attempt.
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

// State is the state of an attempt at its worker.
type State string

// The closed set of states.
const (
	StateRunning State = "running"
	StateEnded   State = "over"      // the attempt does not run and Status.Result is known
	StateLost    State = "forgotten" // its worker restarted since, so its result is lost
)

// Status is the state of an attempt with its result.
type Status struct {
	State  State
	Result cwmodel.Result // set if State is StateEnded
}

// Query returns the status of an attempt at a worker that this host has claimed under epoch. Unless the attempt runs, Query also makes
// sure that it never starts.
//
// Any running attempt of the same task counts as running. If there is none, Query sends a stop order. The worker then returns the result
// of an attempt that ended, and refuses one that did not start, even if its start order arrives later. A worker that restarted after the
// start order has no record of the attempt, so the attempt is lost. Query fails if the worker is unreachable or its epoch is another one.
func Query(ctx context.Context, workers cwport.Workers, addr netip.AddrPort, epoch cwmodel.Epoch, attempt cwmodel.Attempt) (s Status, err error) {
	inventory, err := workers.Inspect(ctx, addr)
	if err != nil || inventory.Epoch != epoch {
		return s, cwfault.New(cwfault.Unavailable, "the worker is unreachable or claimed under another epoch")
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
		return s, err
	}
	if result.End == cwmodel.EndNotStarted && !cwclaim.RetainsEpoch(attempt.Epoch, epoch, inventory.BootedAt) {
		return Status{State: StateLost}, nil
	}
	result.Attempt = attempt
	return Status{State: StateEnded, Result: result}, nil
}
