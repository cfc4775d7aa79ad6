package cwdispatch

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/panjf2000/ants/v2"

	"currantward/internal/adapter/cwmemory"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwclaim"
	"currantward/internal/core/cwdecider"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
)

// TestDecisionAfterOrder guards against an attempt that is reported as not started although a lost order may have started it,
// and against orders that are dropped while another call could still settle them.
func TestDecisionAfterOrder(t *testing.T) {
	cases := []struct {
		name     string
		stop     bool
		code     cwfault.Code
		received bool
		late     bool
		want     decision
	}{
		{"start succeeded", false, "", false, false, decisionDone},
		{"repeated start succeeded", false, "", true, true, decisionDone},
		{"start refused", false, cwfault.Refused, false, false, decisionNotStarted},
		{"start refused after a lost response", false, cwfault.Refused, true, false, decisionStop},
		{"start not sent", false, cwfault.Unavailable, false, false, decisionNotStarted},
		{"repeated start not sent", false, cwfault.Unavailable, true, false, decisionRetry},
		{"repeated start not sent, too late", false, cwfault.Unavailable, true, true, decisionStop},
		{"start stale", false, cwfault.StaleEpoch, false, false, decisionNotStarted},
		{"start stale after a lost response", false, cwfault.StaleEpoch, true, false, decisionDrop},
		{"start lost", false, cwfault.Indefinite, false, false, decisionRetry},
		{"start lost, too late", false, cwfault.Indefinite, true, true, decisionStop},
		{"start invalid", false, cwfault.Invalid, false, true, decisionStop},
		{"stop succeeded", true, "", false, false, decisionDone},
		{"stop of an ended and acknowledged attempt", true, cwfault.NotFound, false, false, decisionDone},
		{"stop lost", true, cwfault.Indefinite, false, false, decisionRetry},
		{"stop not sent", true, cwfault.Unavailable, false, false, decisionRetry},
		{"stop lost until the lease has expired", true, cwfault.Indefinite, false, true, decisionDrop},
		{"stop stale", true, cwfault.StaleEpoch, false, false, decisionDrop},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			if c.stop {
				is.Equal(decideAfterStop(c.code, c.late), c.want)
				return
			}
			is.Equal(decideAfterStart(c.code, c.received, c.late), c.want)
		})
	}
}

// lossyNetwork loses the first requests or responses of each kind of call.
type lossyNetwork struct {
	worker *cwmemory.Worker
	mu     sync.Mutex
	losses losses
}

// losses counts the requests and responses still to be lost.
type losses struct {
	startRequests  int
	startResponses int
	stopResponses  int
}

// countDown reports whether n is positive and decrements it.
func (w *lossyNetwork) countDown(n *int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// ports returns a port to the worker that loses calls as configured; a lost call fails with Indefinite.
func (w *lossyNetwork) ports() cwport.Workers {
	lost := cwfault.New(cwfault.Indefinite, "lost")
	return cwport.Workers{
		Start: func(_ context.Context, _ netip.AddrPort, order cwport.StartRequest) error {
			if w.countDown(&w.losses.startRequests) {
				return lost
			}
			_, err := w.worker.Start(order)
			defer w.worker.Advance() // ends a task with a short run time
			if w.countDown(&w.losses.startResponses) {
				return lost
			}
			return err
		},
		Stop: func(_ context.Context, _ netip.AddrPort, attempt cwmodel.Attempt, mode cwmodel.StopMode) (cwmodel.Result, error) {
			result, err := w.worker.Stop(attempt, mode)
			if w.countDown(&w.losses.stopResponses) {
				return cwmodel.Result{}, lost
			}
			return result, err
		},
		Completions: func(ctx context.Context, _ netip.AddrPort, poll cwport.Poll) ([]cwmodel.Result, error) {
			w.worker.Advance()
			results, changed, err := w.worker.Completions(poll)
			if err != nil || len(results) > 0 {
				return results, err
			}
			select {
			case <-changed:
			case <-ctx.Done():
			}
			results, _, err = w.worker.Completions(poll)
			return results, err
		},
	}
}

const (
	many       = 1 << 20                // losses that outlast every retry
	testWindow = 150 * time.Millisecond // start window of an order
)

// TestOrdersReachDefiniteResult guards against attempts that start twice, start after they are reported as not started, or never get
// a result. These faults arise if a request or response is lost, the claim expires or the pool is full when an order is sent.
func TestOrdersReachDefiniteResult(t *testing.T) {
	cases := []struct {
		name     string
		losses   losses
		expired  bool // the claim has expired
		runsOn   bool // the task runs until it is stopped
		stop     bool // a stop order follows
		fullPool bool
		end      cwmodel.EndKind
		started  int
	}{
		{name: "start with lost response is retried and starts once", losses: losses{startResponses: 3}, end: cwmodel.EndDone, started: 1},
		{name: "lost start takes effect by a retry", losses: losses{startRequests: 2}, end: cwmodel.EndDone, started: 1},
		{name: "start that never arrives is reported as not started", losses: losses{startRequests: many}, end: cwmodel.EndNotStarted},
		{name: "start with all responses lost is stopped", losses: losses{startResponses: many}, runsOn: true, end: cwmodel.EndStopped, started: 1},
		{name: "start with all responses lost is stopped although stop responses are lost too", losses: losses{startResponses: many, stopResponses: 4}, runsOn: true, end: cwmodel.EndStopped, started: 1},
		{name: "stop is retried until confirmed", losses: losses{stopResponses: 5}, runsOn: true, stop: true, end: cwmodel.EndStopped, started: 1},
		{name: "start under an expired claim is not sent", expired: true, end: cwmodel.EndNotStarted},
		{name: "start with the pool full for too long never starts", fullPool: true, end: cwmodel.EndNotStarted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			timer, stopTimer := cwtimer.New()
			defer stopTimer()
			run := cwmemory.ExecutionPlan{RunTime: 1, End: cwmodel.EndDone}
			if c.runsOn {
				run = cwmemory.ExecutionPlan{}
			}
			capacity := cwmodel.Resources{Slots: 1}
			started := make(chan struct{}, 1)
			w := &lossyNetwork{losses: c.losses, worker: cwmemory.NewWorker(cwmemory.WorkerOptions{
				Worker: cwmodel.Worker{ID: "worker-1", Capacity: capacity}, Now: timer.Now,
				PlanExecution: func(cwmodel.Task) cwmemory.ExecutionPlan { started <- struct{}{}; return run },
			})}
			pool, err := ants.NewPool(2, ants.WithNonblocking(true))
			is.NoErr(err)
			defer pool.Release()
			results := make(chan cwmodel.Result, 100)
			dispatcher, stop := New(Options{
				Timer: timer, Log: cwlog.Discard(), Workers: w.ports(), Pool: pool,
				OrderTimeout: time.Second, StartWindow: testWindow, PollWait: time.Second,
				HandleResult: func(_ context.Context, r cwmodel.Result) (bool, error) { results <- r; return true, nil },
				OnStaleEpoch: func(cwmodel.HostID, cwmodel.Epoch) {},
			})
			defer stop()
			inventory, err := w.worker.Claim(cwport.Claim{Owner: "self", Epoch: 1, TTL: time.Hour})
			is.NoErr(err)
			validity := cwclaim.Validity{Until: timer.Now().Add(time.Hour), Clock: cwclaim.NewClockBounds(timer.Now(), timer.Now(), timer.Now())}
			if c.expired {
				validity.Until = timer.Now()
			}
			dispatcher.AddWorker(inventory, validity)
			release := make(chan struct{})
			defer close(release)
			for c.fullPool && pool.Submit(func() { <-release }) == nil {
			}
			task := cwmodel.Task{ID: "task", Demand: capacity, Lease: time.Minute}
			attempt := cwmodel.Attempt{Task: "task", Number: 1, Worker: "worker-1", Epoch: 1}
			dispatcher.SendOrder(cwdecider.Action{Kind: cwdecider.ActionStart, Task: task, Attempt: attempt})
			if c.stop {
				<-started
				dispatcher.SendOrder(cwdecider.Action{Kind: cwdecider.ActionStop, Task: task, Attempt: attempt})
			}
			result := <-results
			is.Equal(result.Attempt, attempt)
			is.Equal(result.End, c.end)
			is.Equal(w.worker.StartedAttempts(), c.started)
			is.Equal(dispatcher.OpenRequests("worker-1"), 0)
		})
	}
}
