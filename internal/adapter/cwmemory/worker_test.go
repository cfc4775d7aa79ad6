package cwmemory_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/adapter/cwmemory"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
)

// Operations of a step.
const (
	opClaim     = "claim"
	opHeartbeat = "renew"
	opRelease   = "release"
	opStart     = "start"
	opDurable   = "start durable"
	opStop      = "stop"
	opAck       = "acknowledge"
	opRunning   = "running" // checks the number of running tasks
	opStarted   = "begun"   // checks the number of attempts started so far
	opResults   = "results" // checks the number of unacknowledged results
	opDrain     = "drain"
)

// step is one operation with its expected result.
type step struct {
	op     string
	epoch  cwmodel.Epoch
	number int           // of the attempt, or the expected count
	wait   time.Duration // before the operation
	owner  cwmodel.HostID
	task   cwmodel.TaskID // default: "task"
	late   time.Duration  // time since NotAfter of the request
	slots  int64          // demand; default: 1
	code   cwfault.Code
	end    cwmodel.EndKind
}

const (
	claimTTL  = 6 * time.Second
	taskLease = 10 * time.Second
)

// TestWorkerStateMachine checks each rule of the worker's protocol: fencing epochs, claims, leases, refusals and acknowledgements. The
// schedulers' tests rely on an in-memory worker that keeps them all.
func TestWorkerStateMachine(t *testing.T) {
	claimed := step{op: opClaim, epoch: 1, owner: "a"}
	started := step{op: opStart, epoch: 1, number: 1}
	cases := []struct {
		name  string
		steps []step
	}{
		{"a stale epoch is refused", []step{
			claimed, started, {op: opClaim, epoch: 2, owner: "b", wait: claimTTL},
			{op: opStart, epoch: 1, number: 1, task: "other", code: cwfault.StaleEpoch},
			{op: opStop, epoch: 1, number: 1, code: cwfault.StaleEpoch},
			{op: opHeartbeat, epoch: 1, code: cwfault.StaleEpoch},
			{op: opRelease, epoch: 1, code: cwfault.StaleEpoch},
			{op: opAck, epoch: 1, number: 1, code: cwfault.StaleEpoch},
			{op: opClaim, epoch: 2, owner: "a", code: cwfault.StaleEpoch},
			{op: opStarted, number: 1},
		}},
		{"a claim conflicts while another holds", []step{
			claimed, {op: opClaim, epoch: 2, owner: "b", wait: claimTTL - time.Second, code: cwfault.Conflict},
			{op: opHeartbeat, epoch: 1}, {op: opClaim, epoch: 2, owner: "b", wait: claimTTL - 1, code: cwfault.Conflict},
			{op: opClaim, epoch: 2, owner: "b", wait: 1},
		}},
		{"the holder itself may claim again", []step{claimed, {op: opClaim, epoch: 2, owner: "a"}, {op: opHeartbeat, epoch: 2}}},
		{"a released claim is free at once", []step{claimed, {op: opRelease, epoch: 1}, {op: opClaim, epoch: 2, owner: "b"}}},
		{"orders after a release are stale until the next claim", []step{
			claimed, started, {op: opRelease, epoch: 1}, {op: opStart, epoch: 1, number: 1, task: "other", code: cwfault.StaleEpoch},
			{op: opHeartbeat, epoch: 1, code: cwfault.StaleEpoch}, {op: opClaim, epoch: 2, owner: "a"}, {op: opHeartbeat, epoch: 2},
		}},
		{"a late heartbeat extends nothing", []step{
			claimed, started, {op: opHeartbeat, epoch: 1, wait: taskLease - time.Second, late: 1, code: cwfault.Refused}, {op: opRunning, number: 0, wait: time.Second},
		}},
		{"a start after its latest time never begins", []step{
			claimed, {op: opStart, epoch: 1, number: 1, late: 1, code: cwfault.Refused},
			{op: opStart, epoch: 1, number: 1, code: cwfault.Refused}, {op: opStarted, number: 0},
			{op: opStart, epoch: 1, number: 2}, {op: opStarted, number: 1},
		}},
		{"a latest time too far ahead is refused", []step{
			claimed, {op: opStart, epoch: 1, number: 1, late: -cwmemory.MaxStartWindow - time.Second, code: cwfault.Refused},
		}},
		{"a repeated start of a running attempt succeeds and begins once", []step{claimed, started, started, {op: opStarted, number: 1}}},
		{"a second attempt of a running task is refused", []step{
			claimed, started, {op: opStart, epoch: 1, number: 2, code: cwfault.Refused}, {op: opStop, epoch: 1, number: 1, end: cwmodel.EndStopped},
		}},
		{"an attempt that is over never begins again", []step{
			claimed, started, {op: opStop, epoch: 1, number: 1, end: cwmodel.EndStopped}, {op: opStart, epoch: 1, number: 1, code: cwfault.Refused},
			{op: opAck, epoch: 1, number: 1}, {op: opStart, epoch: 1, number: 1, code: cwfault.Refused},
			{op: opStop, epoch: 1, number: 1, code: cwfault.NotFound}, {op: opStarted, number: 1},
		}},
		{"a stop of an unseen attempt refuses it for good", []step{
			claimed, {op: opStop, epoch: 1, number: 1, end: cwmodel.EndNotStarted}, {op: opStart, epoch: 1, number: 1, code: cwfault.Refused},
			{op: opStop, epoch: 1, number: 1, end: cwmodel.EndNotStarted}, {op: opStarted, number: 0},
		}},
		{"a later owner may stop what began earlier", []step{
			claimed, started, {op: opClaim, epoch: 2, owner: "b", wait: claimTTL}, {op: opStop, epoch: 2, number: 1, end: cwmodel.EndStopped},
		}},
		{"capacity is never exceeded", []step{
			claimed, {op: opStart, epoch: 1, number: 1, task: "big", slots: 3}, {op: opStart, epoch: 1, number: 1, task: "wide", slots: 2, code: cwfault.Refused},
			{op: opStart, epoch: 1, number: 1, task: "small"}, {op: opStart, epoch: 1, number: 1, task: "none", code: cwfault.Refused}, {op: opRunning, number: 2},
		}},
		{"results are kept until they are acknowledged, also for a later owner", []step{
			claimed, started, {op: opStop, epoch: 1, number: 1, end: cwmodel.EndStopped}, {op: opResults, epoch: 1, number: 1}, {op: opResults, epoch: 1, number: 1},
			{op: opClaim, epoch: 2, owner: "b", wait: time.Hour}, {op: opResults, epoch: 2, number: 1},
			{op: opAck, epoch: 2, number: 1}, {op: opResults, epoch: 2, number: 0},
		}},
		{"a renewal extends the lease of a task of its epoch", []step{
			claimed, started, {op: opHeartbeat, epoch: 1, wait: taskLease - time.Second}, {op: opRunning, number: 1, wait: taskLease - 1}, {op: opRunning, number: 0, wait: 1},
		}},
		{"a claim does not extend the lease of an earlier epoch's task", []step{
			claimed, started, {op: opClaim, epoch: 2, owner: "b", wait: claimTTL}, {op: opHeartbeat, epoch: 2, wait: time.Second},
			{op: opRunning, number: 0, wait: taskLease - claimTTL - time.Second},
		}},
		{"a claim and its renewals extend the lease of a durable task", []step{
			claimed, {op: opDurable, epoch: 1, number: 1}, {op: opClaim, epoch: 2, owner: "b", wait: taskLease - time.Second},
			{op: opHeartbeat, epoch: 2, wait: taskLease - time.Second}, {op: opRunning, number: 1, wait: taskLease - time.Second},
		}},
		{"a leaving worker begins nothing", []step{claimed, {op: opDrain}, {op: opStart, epoch: 1, number: 1, code: cwfault.Refused}, {op: opHeartbeat, epoch: 1}}},
		{"an unacknowledged attempt is remembered however long", []step{
			claimed, started, {op: opStop, epoch: 1, number: 1, end: cwmodel.EndStopped}, {op: opHeartbeat, epoch: 1, wait: time.Hour}, {op: opHeartbeat, epoch: 1, wait: time.Hour},
			{op: opStart, epoch: 1, number: 1, code: cwfault.Refused}, {op: opStarted, number: 1},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			clock := cwtimer.NewManual(time.Unix(1000, 0))
			w := cwmemory.NewWorker(cwmemory.WorkerOptions{
				Worker: cwmodel.Worker{ID: "worker-1", Capacity: cwmodel.Resources{Slots: 4}}, Now: clock.Now,
				PlanExecution: func(cwmodel.Task) cwmemory.ExecutionPlan { return cwmemory.ExecutionPlan{} },
			})
			for n, s := range c.steps {
				t.Logf("step %d: %+v", n, s)
				clock.Advance(s.wait)
				s.run(is, w, clock.Now())
			}
		})
	}
}

// run executes the step's operation on a worker and checks the error code and the number or end that the step states.
func (s step) run(is *is.I, w *cwmemory.Worker, now time.Time) {
	is.Helper()
	if s.task == "" {
		s.task = "task"
	}
	attempt := cwmodel.Attempt{Task: s.task, Number: s.number, Worker: "worker-1", Epoch: s.epoch}
	var err error
	switch s.op {
	case opClaim:
		_, err = w.Claim(cwport.Claim{Owner: s.owner, Epoch: s.epoch, TTL: claimTTL})
	case opHeartbeat:
		_, err = w.Heartbeat(cwport.Heartbeat{Epoch: s.epoch, TTL: claimTTL, NotAfter: now.Add(-s.late)})
	case opRelease:
		err = w.Release(s.epoch)
	case opStart, opDurable:
		task := cwmodel.Task{ID: s.task, Demand: cwmodel.Resources{Slots: max(s.slots, 1)}, Lease: taskLease, Durable: s.op == opDurable}
		_, err = w.Start(cwport.StartRequest{Task: task, Attempt: attempt, NotAfter: now.Add(-s.late)})
	case opStop:
		var result cwmodel.Result
		result, err = w.Stop(attempt, cwmodel.StopNow)
		is.Equal(result.End, s.end)
	case opAck:
		attempt.Epoch = 1
		_, _, err = w.Completions(cwport.Poll{Epoch: s.epoch, Acks: []cwmodel.Attempt{attempt}})
	case opResults:
		results, _, pollErr := w.Completions(cwport.Poll{Epoch: s.epoch})
		is.NoErr(pollErr)
		is.Equal(len(results), s.number)
	case opRunning:
		is.Equal(len(w.Inspect().Running), s.number)
	case opStarted:
		is.Equal(w.StartedAttempts(), s.number)
	case opDrain:
		w.Drain()
	}
	is.Equal(cwfault.CodeOf(err), s.code)
}

// TestWorkerMemoryIsBounded guards against a history of attempts that grows with every task that the worker has run.
func TestWorkerMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	clock := cwtimer.NewManual(time.Unix(1000, 0))
	w := cwmemory.NewWorker(cwmemory.WorkerOptions{Worker: cwmodel.Worker{ID: "worker-1", Capacity: cwmodel.Resources{Slots: 4}}, Now: clock.Now})
	_, err := w.Claim(cwport.Claim{Owner: "a", Epoch: 1, TTL: time.Hour})
	is.NoErr(err)
	maxRetained := 0
	for n := range 3600 {
		attempt := cwmodel.Attempt{Task: cwmodel.TaskID(time.Duration(n).String()), Number: 1, Worker: "worker-1", Epoch: 1}
		_, err = w.Start(cwport.StartRequest{Task: cwmodel.Task{ID: attempt.Task, Lease: taskLease}, Attempt: attempt, NotAfter: clock.Now()})
		is.NoErr(err)
		clock.Advance(time.Second)
		_, _, err = w.Completions(cwport.Poll{Epoch: 1, Acks: []cwmodel.Attempt{attempt}})
		is.NoErr(err)
		maxRetained = max(maxRetained, w.RetainedAttempts())
	}
	is.True(maxRetained <= 2*240+2) // two generations at one task a second
}
