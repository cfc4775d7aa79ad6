package cwmemory

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
)

// ExecutionPlan is how one task will go.
type ExecutionPlan struct {
	RunTime time.Duration // zero or below: until it is stopped
	End     cwmodel.EndKind
	Message string
	Output  []byte
	Used    cwmodel.Resources
}

// WorkerOptions set up a worker in memory.
type WorkerOptions struct {
	Worker        cwmodel.Worker
	Now           func() time.Time
	PlanExecution func(t cwmodel.Task) ExecutionPlan // nil: ends at once as done
	OnEnd         func(r cwmodel.Result)             // nil: nobody is told; it must not block
}

// MaxStartWindow is how far ahead the latest time to begin of a start order may lie.
const MaxStartWindow = time.Minute

// Worker is a worker in memory: it runs tasks under leases and refuses what is stale or does not fit.
type Worker struct {
	opts      WorkerOptions
	booted    time.Time
	mu        sync.Mutex
	owner     cwmodel.HostID
	epoch     cwmodel.Epoch
	claimEnds time.Time
	usageAt   time.Time // of the latest report of usage
	leaving   bool
	running   map[cwmodel.TaskID]*execution
	seen      attempts         // highest attempt of each task, whether begun or refused
	results   []cwmodel.Result // not acknowledged, in order of their ends
	used      cwmodel.Resources
	changed   chan struct{} // closed and replaced when a result is added
	begun     int
}

// execution is a running task.
type execution struct {
	cwmodel.RunningTask
	plan ExecutionPlan
	ends time.Time // zero: until it is stopped
}

// NewWorker returns a worker that runs nothing and has no owner.
func NewWorker(opts WorkerOptions) *Worker {
	if opts.PlanExecution == nil {
		opts.PlanExecution = func(cwmodel.Task) ExecutionPlan { return ExecutionPlan{RunTime: 1, End: cwmodel.EndDone} }
	}
	now := opts.Now()
	return &Worker{
		opts:    opts,
		booted:  now,
		running: map[cwmodel.TaskID]*execution{},
		seen:    newAttempts(now),
		changed: make(chan struct{}),
	}
}

// SetWorker states the address that the inventory names.
func (w *Worker) SetWorker(worker cwmodel.Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.opts.Worker = worker
}

// Drain marks the worker as leaving.
func (w *Worker) Drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

// StartedAttempts returns how many attempts have begun.
func (w *Worker) StartedAttempts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.begun
}

// Inspect returns the inventory.
func (w *Worker) Inspect() cwport.Inventory {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return w.inventory()
}

// Claim grants ownership under a larger epoch once the earlier claim has ended.
func (w *Worker) Claim(claim cwport.Claim) (inventory cwport.Inventory, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	now := w.opts.Now()
	if claim.Epoch <= w.epoch {
		return inventory, cwfault.New(cwfault.StaleEpoch, "epoch %d is not above %d", claim.Epoch, w.epoch)
	}
	if w.owner != "" && w.owner != claim.Owner && now.Before(w.claimEnds) {
		return inventory, cwfault.New(cwfault.Conflict, "%s owns this worker under epoch %d", w.owner, w.epoch)
	}
	w.owner, w.epoch, w.claimEnds = claim.Owner, claim.Epoch, now.Add(claim.TTL)
	w.renewLeases(now)
	return w.inventory(), nil
}

// Renew extends the claim, the leases of durable tasks and those of tasks of this epoch.
func (w *Worker) Renew(heartbeat cwport.Heartbeat) (renewal cwport.HeartbeatResponse, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if err = w.checkEpoch(heartbeat.Epoch); err != nil {
		return renewal, err
	}
	now := w.opts.Now()
	if now.After(heartbeat.NotAfter) {
		return renewal, cwfault.New(cwfault.Refused, "the heartbeat is late")
	}
	w.claimEnds = now.Add(heartbeat.TTL)
	w.renewLeases(now)
	renewal = cwport.HeartbeatResponse{Clock: now, Leaving: w.leaving, RunningCount: len(w.running)}
	renewal.Usage = w.usage(now)
	return renewal, nil
}

// usageEvery is how often a worker reports what its tasks use.
const usageEvery = 10 * time.Second

// usage returns what the tasks use, or nothing if that was reported lately.
func (w *Worker) usage(now time.Time) (uses []cwmodel.Usage) {
	if now.Sub(w.usageAt) < usageEvery {
		return nil
	}
	w.usageAt = now
	for _, e := range w.inOrder() {
		uses = append(uses, cwmodel.Usage{Task: e.Attempt.Task, Used: e.plan.Used, At: now})
	}
	return uses
}

// Release ends the claim.
func (w *Worker) Release(epoch cwmodel.Epoch) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if err := w.checkEpoch(epoch); err != nil {
		return err
	}
	w.owner = ""
	return nil
}

// Start begins one attempt and returns its planned run time; a repeated order for a running attempt succeeds.
func (w *Worker) Start(order cwport.StartRequest) (runTime time.Duration, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if err = w.checkEpoch(order.Attempt.Epoch); err != nil {
		return 0, err
	}
	if e, ok := w.running[order.Attempt.Task]; ok && e.Attempt == order.Attempt {
		return e.plan.RunTime, nil
	}
	if reason := w.refusal(order); reason != "" {
		w.seen.refuse(order.Attempt)
		return 0, cwfault.New(cwfault.Refused, "%s", reason)
	}
	return w.begin(order), nil
}

// ReasonNoCapacity is the reason of a refusal for lack of capacity.
const ReasonNoCapacity = "the demand does not fit in what is free"

func (w *Worker) refusal(order cwport.StartRequest) string {
	now := w.opts.Now()
	_, runs := w.running[order.Attempt.Task]
	switch {
	case order.Attempt.Worker != w.opts.Worker.ID:
		return "the order is for another worker"
	case runs:
		return "another attempt of this task is running"
	case order.Attempt.Number <= w.seen.highest(order.Attempt.Task):
		return "this attempt is over or was refused"
	case now.After(order.NotAfter):
		return "the latest time to begin has passed"
	case order.NotAfter.Sub(now) > MaxStartWindow:
		return "the latest time to begin is too far ahead"
	case w.leaving:
		return "the worker is leaving"
	case !order.Task.Demand.FitsIn(w.opts.Worker.Capacity.Sub(w.used)):
		return ReasonNoCapacity
	}
	return ""
}

func (w *Worker) begin(order cwport.StartRequest) time.Duration {
	now, t := w.opts.Now(), order.Task
	e := &execution{
		RunningTask: cwmodel.RunningTask{
			Attempt: order.Attempt, Job: t.Job, Profile: t.Profile, Team: t.Team, Kind: t.Kind, Demand: t.Demand,
			StartedAt: now, Deadline: t.Deadline, Lease: t.Lease, LeaseExpiry: now.Add(t.Lease), Repeatable: t.Repeatable, Durable: t.Durable,
		},
		plan: w.opts.PlanExecution(t),
	}
	if e.plan.RunTime > 0 {
		e.ends = now.Add(e.plan.RunTime)
	}
	w.running[t.ID] = e
	w.seen.note(order.Attempt)
	w.used = w.used.Add(t.Demand)
	w.begun++
	w.check()
	return e.plan.RunTime
}

// Stop ends an attempt; one that never began is refused for good from then on.
//
// The epoch of attempt is the fencing token of the sender; the attempt itself may have begun under an earlier one.
func (w *Worker) Stop(attempt cwmodel.Attempt, mode cwmodel.StopMode) (result cwmodel.Result, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if err = w.checkEpoch(attempt.Epoch); err != nil {
		return result, err
	}
	now := w.opts.Now()
	if e, ok := w.running[attempt.Task]; ok && e.Attempt.Number == attempt.Number {
		if mode == cwmodel.StopThrottle {
			return cwmodel.Result{Attempt: e.Attempt}, nil
		}
		end := cwmodel.EndStopped
		if mode == cwmodel.StopCheckpoint {
			end = cwmodel.EndCheckpointed
		}
		return w.end(e, now, end, string(mode), nil), nil
	}
	for _, r := range w.results {
		if r.Attempt.Task == attempt.Task && r.Attempt.Number == attempt.Number {
			return r, nil
		}
	}
	if attempt.Number <= w.seen.highest(attempt.Task) && !w.seen.isRefused(attempt) {
		return result, cwfault.New(cwfault.NotFound, "attempt %d of %s is over and acknowledged", attempt.Number, attempt.Task)
	}
	w.seen.refuse(attempt)
	return cwmodel.Result{Attempt: attempt, End: cwmodel.EndNotStarted, EndedAt: now}, nil
}

// Completions drops acknowledged results and returns those not held with a channel that closes on the next one.
func (w *Worker) Completions(poll cwport.Poll) (results []cwmodel.Result, changed <-chan struct{}, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if err = w.checkEpoch(poll.Epoch); err != nil {
		return nil, nil, err
	}
	w.results = slices.DeleteFunc(w.results, func(r cwmodel.Result) bool {
		return slices.Contains(poll.Acks, r.Attempt)
	})
	for _, r := range w.results {
		if !slices.Contains(poll.Retained, r.Attempt) {
			results = append(results, r)
		}
	}
	return results, w.changed, nil
}

// Advance ends what is due at the present time.
func (w *Worker) Advance() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
}

func (w *Worker) advance() {
	now := w.opts.Now()
	w.forget(now)
	for _, e := range w.inOrder() {
		isDue := !e.ends.IsZero() && !e.ends.After(now)
		lapsed := !e.LeaseExpiry.After(now)
		switch {
		case isDue && (!lapsed || !e.LeaseExpiry.Before(e.ends)):
			w.end(e, e.ends, e.plan.End, e.plan.Message, e.plan.Output)
		case lapsed:
			w.end(e, e.LeaseExpiry, cwmodel.EndLeaseExpired, "the lease ended", nil)
		}
	}
}

func (w *Worker) end(e *execution, at time.Time, end cwmodel.EndKind, message string, answer []byte) cwmodel.Result {
	delete(w.running, e.Attempt.Task)
	w.used = w.used.Sub(e.Demand)
	result := cwmodel.Result{
		Attempt: e.Attempt, End: end, Message: message, Output: answer, StartedAt: e.StartedAt, EndedAt: at, PeakUsage: e.plan.Used,
	}
	w.results = append(w.results, result)
	if w.opts.OnEnd != nil {
		w.opts.OnEnd(result)
	}
	close(w.changed)
	w.changed = make(chan struct{})
	return result
}

func (w *Worker) checkEpoch(epoch cwmodel.Epoch) error {
	if epoch != w.epoch || w.owner == "" {
		return cwfault.New(cwfault.StaleEpoch, "epoch %d is not that of the present owner %q, %d", epoch, w.owner, w.epoch)
	}
	return nil
}

// renewLeases extends the leases of durable tasks and of those that began under the present epoch.
//
// Any other task belongs to an earlier owner, which counts on its end once the lease has passed.
func (w *Worker) renewLeases(now time.Time) {
	for _, e := range w.running {
		if e.Durable || e.Attempt.Epoch == w.epoch {
			e.LeaseExpiry = now.Add(e.Lease)
		}
	}
}

// forget drops attempts that no order can name any more, but keeps those that run or are not acknowledged.
func (w *Worker) forget(now time.Time) {
	if !w.seen.rotate(now) {
		return
	}
	for _, e := range w.running {
		w.seen.note(e.Attempt)
	}
	for _, r := range w.results {
		w.seen.note(r.Attempt)
	}
}

// check asserts that what runs never exceeds the capacity and that the sum of demands is right.
func (w *Worker) check() {
	var sum cwmodel.Resources
	for _, e := range w.running {
		sum = sum.Add(e.Demand)
	}
	if sum != w.used || !sum.FitsIn(w.opts.Worker.Capacity) {
		panic(fmt.Sprintf("worker %s runs %+v, counts %+v and holds %+v", w.opts.Worker.ID, sum, w.used, w.opts.Worker.Capacity))
	}
}

func (w *Worker) inventory() cwport.Inventory {
	inventory := cwport.Inventory{
		Worker: w.opts.Worker, Owner: w.owner, Epoch: w.epoch, Clock: w.opts.Now(), BootedAt: w.booted, Leaving: w.leaving,
	}
	for _, e := range w.inOrder() {
		inventory.Running = append(inventory.Running, e.RunningTask)
	}
	return inventory
}

func (w *Worker) inOrder() []*execution {
	list := make([]*execution, 0, len(w.running))
	for _, e := range w.running {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *execution) int {
		return strings.Compare(string(a.Attempt.Task), string(b.Attempt.Task))
	})
	return list
}
