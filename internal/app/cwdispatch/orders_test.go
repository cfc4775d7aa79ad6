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

func TestWhatFollowsAnOrder(t *testing.T) {
	cases := []struct {
		name     string
		stop     bool
		code     cwfault.Code
		received bool
		late     bool
		want     verdict
	}{
		{"start succeeded", false, "", false, false, verdictSettled},
		{"repeated start succeeded", false, "", true, true, verdictSettled},
		{"start refused", false, cwfault.Refused, false, false, verdictNeverBegan},
		{"start refused after a lost answer", false, cwfault.Refused, true, false, verdictStop},
		{"start not sent", false, cwfault.Unavailable, false, false, verdictNeverBegan},
		{"start not sent again", false, cwfault.Unavailable, true, false, verdictRepeat},
		{"start not sent again in time", false, cwfault.Unavailable, true, true, verdictStop},
		{"start stale", false, cwfault.StaleEpoch, false, false, verdictNeverBegan},
		{"start stale after a lost answer", false, cwfault.StaleEpoch, true, false, verdictDrop},
		{"start lost", false, cwfault.Indefinite, false, false, verdictRepeat},
		{"start lost for too long", false, cwfault.Indefinite, true, true, verdictStop},
		{"start not understood", false, cwfault.Invalid, false, true, verdictStop},
		{"stop succeeded", true, "", false, false, verdictSettled},
		{"stop of what is over and acknowledged", true, cwfault.NotFound, false, false, verdictSettled},
		{"stop lost", true, cwfault.Indefinite, false, false, verdictRepeat},
		{"stop not sent", true, cwfault.Unavailable, false, false, verdictRepeat},
		{"stop lost until the lease has ended", true, cwfault.Indefinite, false, true, verdictDrop},
		{"stop stale", true, cwfault.StaleEpoch, false, false, verdictDrop},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			if c.stop {
				is.Equal(afterStop(c.code, c.late), c.want)
				return
			}
			is.Equal(afterStart(c.code, c.received, c.late), c.want)
		})
	}
}

// network loses the first calls of each kind, before or after they have reached the worker.
type network struct {
	worker *cwmemory.Worker
	mu     sync.Mutex
	losses losses
}

// losses counts the calls that are still to be lost.
type losses struct {
	startOrders  int
	startAnswers int
	stopAnswers  int
}

// take reports whether n is above zero and counts it down.
func (w *network) take(n *int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

func (w *network) ports() cwport.Workers {
	lost := cwfault.New(cwfault.Indefinite, "lost")
	return cwport.Workers{
		Start: func(_ context.Context, _ netip.AddrPort, order cwport.StartRequest) error {
			if w.take(&w.losses.startOrders) {
				return lost
			}
			_, err := w.worker.Start(order)
			defer w.worker.Advance() // ends a task that runs for a moment only
			if w.take(&w.losses.startAnswers) {
				return lost
			}
			return err
		},
		Stop: func(_ context.Context, _ netip.AddrPort, attempt cwmodel.Attempt, mode cwmodel.StopMode) (cwmodel.Result, error) {
			result, err := w.worker.Stop(attempt, mode)
			if w.take(&w.losses.stopAnswers) {
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
	many       = 1 << 20
	testWindow = 150 * time.Millisecond
)

func TestOrdersAreSettled(t *testing.T) {
	cases := []struct {
		name     string
		losses   losses
		lapsed   bool // the claim has lapsed
		runsOn   bool // the task runs until it is stopped
		stop     bool // a stop order follows
		fullPool bool
		end      cwmodel.EndKind
		begun    int
	}{
		{name: "start whose answer is lost is repeated and begins once", losses: losses{startAnswers: 3}, end: cwmodel.EndDone, begun: 1},
		{name: "start that is lost begins by its repetition", losses: losses{startOrders: 2}, end: cwmodel.EndDone, begun: 1},
		{name: "start that never arrives is known never to have begun", losses: losses{startOrders: many}, end: cwmodel.EndNotStarted},
		{name: "start whose answers are all lost is stopped", losses: losses{startAnswers: many}, runsOn: true, end: cwmodel.EndStopped, begun: 1},
		{name: "start whose answers are all lost is stopped though stops are lost too", losses: losses{startAnswers: many, stopAnswers: 4}, runsOn: true, end: cwmodel.EndStopped, begun: 1},
		{name: "stop is repeated until it is confirmed", losses: losses{stopAnswers: 5}, runsOn: true, stop: true, end: cwmodel.EndStopped, begun: 1},
		{name: "start under a lapsed claim is not sent", lapsed: true, end: cwmodel.EndNotStarted},
		{name: "start that finds the pool full for too long never begins", fullPool: true, end: cwmodel.EndNotStarted},
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
			began := make(chan struct{}, 1)
			w := &network{losses: c.losses, worker: cwmemory.NewWorker(cwmemory.WorkerOptions{
				Worker: cwmodel.Worker{ID: "worker-1", Capacity: capacity}, Now: timer.Now,
				PlanExecution: func(cwmodel.Task) cwmemory.ExecutionPlan { began <- struct{}{}; return run },
			})}
			pool, err := ants.NewPool(2, ants.WithNonblocking(true))
			is.NoErr(err)
			defer pool.Release()
			results := make(chan cwmodel.Result, 100)
			links, stop := New(Options{
				Timer: timer, Log: cwlog.Discard(), Workers: w.ports(), Pool: pool,
				OrderTimeout: time.Second, StartWindow: testWindow, PollWait: time.Second,
				HandleResult: func(_ context.Context, r cwmodel.Result) (bool, error) { results <- r; return true, nil },
				OnStaleEpoch: func(cwmodel.HostID, cwmodel.Epoch) {},
			})
			defer stop()
			inventory, err := w.worker.Claim(cwport.Claim{Owner: "self", Epoch: 1, TTL: time.Hour})
			is.NoErr(err)
			hold := cwclaim.Validity{Until: timer.Now().Add(time.Hour), Clock: cwclaim.NewClockBounds(timer.Now(), timer.Now(), timer.Now())}
			if c.lapsed {
				hold.Until = timer.Now()
			}
			links.AddWorker(inventory, hold)
			release := make(chan struct{})
			defer close(release)
			for c.fullPool && pool.Submit(func() { <-release }) == nil {
			}
			task := cwmodel.Task{ID: "task", Demand: capacity, Lease: time.Minute}
			attempt := cwmodel.Attempt{Task: "task", Number: 1, Worker: "worker-1", Epoch: 1}
			links.SendOrder(cwdecider.Action{Kind: cwdecider.ActionStart, Task: task, Attempt: attempt})
			if c.stop {
				<-began
				links.SendOrder(cwdecider.Action{Kind: cwdecider.ActionStop, Task: task, Attempt: attempt})
			}
			result := <-results
			is.Equal(result.Attempt, attempt)
			is.Equal(result.End, c.end)
			is.Equal(w.worker.StartedAttempts(), c.begun)
			is.Equal(links.OpenRequests("worker-1"), 0)
		})
	}
}
