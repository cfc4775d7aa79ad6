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

// ExecutionPlan is the simulated execution of one task.
type ExecutionPlan struct {
	RunTime time.Duration   // 0 or less: the task runs until it is stopped
	End     cwmodel.EndKind // kind of the end after RunTime
	Message string
	Output  []byte
	Used    cwmodel.Resources // reported usage
}

// WorkerOptions configure a worker.
type WorkerOptions struct {
	Worker        cwmodel.Worker
	Now           func() time.Time
	PlanExecution func(t cwmodel.Task) ExecutionPlan // nil: every task ends at once as done
	OnEnd         func(r cwmodel.Result)             // called when an attempt ends; must not block; may be nil
}

// MaxStartWindow is how far ahead the NotAfter of a start request may be; the worker refuses the request otherwise.
const MaxStartWindow = time.Minute

// Worker is an in-memory worker: it runs tasks under leases, and refuses requests that are stale or exceed its free capacity.
type Worker struct {
	opts            WorkerOptions
	bootedAt        time.Time
	mu              sync.Mutex
	owner           cwmodel.HostID // empty: no owner
	epoch           cwmodel.Epoch  // largest epoch granted so far
	claimExpiry     time.Time
	usageReportedAt time.Time // time of the latest usage report; zero: none yet
	leaving         bool      // set by Drain: refuses every further attempt
	running         map[cwmodel.TaskID]*execution
	history         attemptHistory    // latest attempt of each task, started or refused
	results         []cwmodel.Result  // not acknowledged, ordered by their end times
	allocated       cwmodel.Resources // sum of the demands of the running tasks
	resultAdded     chan struct{}     // closed and replaced when a result is added
	startedAttempts int               // attempts started so far
}

// execution is a running task.
type execution struct {
	cwmodel.RunningTask
	plan       ExecutionPlan
	plannedEnd time.Time // zero: runs until it is stopped
}

// NewWorker returns an idle worker without an owner.
func NewWorker(opts WorkerOptions) *Worker {
	if opts.PlanExecution == nil {
		// The run time of 1 ns ends the task on the next call; 0 would let it run until it is stopped.
		opts.PlanExecution = func(cwmodel.Task) ExecutionPlan { return ExecutionPlan{RunTime: 1, End: cwmodel.EndDone} }
	}
	now := opts.Now()
	return &Worker{
		opts:        opts,
		bootedAt:    now,
		running:     map[cwmodel.TaskID]*execution{},
		history:     newAttemptHistory(now),
		resultAdded: make(chan struct{}),
	}
}

// SetWorker replaces the worker's description in the inventory. The address is known only once the listener is bound.
func (w *Worker) SetWorker(worker cwmodel.Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.opts.Worker = worker
}

// Drain makes the worker refuse further attempts and report that it is leaving. Running tasks continue.
func (w *Worker) Drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

// StartedAttempts returns the number of attempts started so far.
func (w *Worker) StartedAttempts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.startedAttempts
}

// Inspect returns the inventory and leaves the worker's claim unchanged.
func (w *Worker) Inspect() cwport.Inventory {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return w.inventory()
}

// Claim makes the sender the owner under a larger epoch, if no other owner has a claim that has not expired. It also extends the leases
// of the durable tasks.
func (w *Worker) Claim(claim cwport.Claim) (inventory cwport.Inventory, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	now := w.opts.Now()
	if claim.Epoch <= w.epoch {
		return inventory, cwfault.New(cwfault.StaleEpoch, "epoch %d is not above %d", claim.Epoch, w.epoch)
	}
	if w.owner != "" && w.owner != claim.Owner && now.Before(w.claimExpiry) {
		return inventory, cwfault.New(cwfault.Conflict, "%s owns this worker under epoch %d", w.owner, w.epoch)
	}
	w.owner, w.epoch, w.claimExpiry = claim.Owner, claim.Epoch, now.Add(claim.TTL)
	w.renewLeases(now)
	return w.inventory(), nil
}

// Heartbeat extends the claim and the leases of durable tasks and of tasks of this epoch.
func (w *Worker) Heartbeat(heartbeat cwport.Heartbeat) (response cwport.HeartbeatResponse, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if err = w.checkEpoch(heartbeat.Epoch); err != nil {
		return response, err
	}
	now := w.opts.Now()
	if now.After(heartbeat.NotAfter) {
		return response, cwfault.New(cwfault.Refused, "the heartbeat is late")
	}
	w.claimExpiry = now.Add(heartbeat.TTL)
	w.renewLeases(now)
	response = cwport.HeartbeatResponse{Clock: now, Leaving: w.leaving, RunningCount: len(w.running)}
	response.Usage = w.reportUsage(now)
	return response, nil
}

// usageInterval is the minimum interval between two usage reports.
const usageInterval = 10 * time.Second

// reportUsage returns the usage of the running tasks, or nil within usageInterval of the latest report.
func (w *Worker) reportUsage(now time.Time) (usage []cwmodel.Usage) {
	if now.Sub(w.usageReportedAt) < usageInterval {
		return nil
	}
	w.usageReportedAt = now
	for _, e := range w.sortedExecutions() {
		usage = append(usage, cwmodel.Usage{Task: e.Attempt.Task, Used: e.plan.Used, At: now})
	}
	return usage
}

// Release ends the claim of the given epoch, so that the worker has no owner.
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

// Start starts one attempt and returns its planned run time. A repeated request for a running attempt succeeds. A refused attempt
// never starts later.
func (w *Worker) Start(request cwport.StartRequest) (runTime time.Duration, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if err = w.checkEpoch(request.Attempt.Epoch); err != nil {
		return 0, err
	}
	if e, ok := w.running[request.Attempt.Task]; ok && e.Attempt == request.Attempt {
		return e.plan.RunTime, nil
	}
	if reason := w.refusalReason(request); reason != "" {
		w.history.recordRefusal(request.Attempt)
		return 0, cwfault.New(cwfault.Refused, "%s", reason)
	}
	return w.startAttempt(request), nil
}

// ReasonNoCapacity is the reason for a refusal if the demand exceeds the free capacity.
const ReasonNoCapacity = "the demand does not fit in what is free"

// refusalReason returns why a start request must be refused, or "" if it must not.
func (w *Worker) refusalReason(request cwport.StartRequest) string {
	now := w.opts.Now()
	_, isRunning := w.running[request.Attempt.Task]
	switch {
	case request.Attempt.Worker != w.opts.Worker.ID:
		return "the order is for another worker"
	case isRunning:
		return "another attempt of this task is running"
	case request.Attempt.Number <= w.history.latestNumber(request.Attempt.Task):
		return "this attempt is over or was refused"
	case now.After(request.NotAfter):
		return "the latest time to begin has passed"
	case request.NotAfter.Sub(now) > MaxStartWindow:
		return "the latest time to begin is too far ahead"
	case w.leaving:
		return "the worker is leaving"
	case !request.Task.Demand.FitsIn(w.opts.Worker.Capacity.Sub(w.allocated)):
		return ReasonNoCapacity
	}
	return ""
}

// startAttempt starts an attempt that is not refused, sets its lease and planned end, and returns its planned run time.
func (w *Worker) startAttempt(request cwport.StartRequest) time.Duration {
	now, t := w.opts.Now(), request.Task
	e := &execution{
		RunningTask: cwmodel.RunningTask{
			Attempt: request.Attempt, Job: t.Job, Profile: t.Profile, Team: t.Team, Kind: t.Kind, Demand: t.Demand,
			StartedAt: now, Deadline: t.Deadline, Lease: t.Lease, LeaseExpiry: now.Add(t.Lease), Repeatable: t.Repeatable, Durable: t.Durable,
		},
		plan: w.opts.PlanExecution(t),
	}
	if e.plan.RunTime > 0 {
		e.plannedEnd = now.Add(e.plan.RunTime)
	}
	w.running[t.ID] = e
	w.history.recordStart(request.Attempt)
	w.allocated = w.allocated.Add(t.Demand)
	w.startedAttempts++
	w.assertCapacity()
	return e.plan.RunTime
}

// Stop ends an attempt and returns its result, or that of an attempt that has ended. An attempt that never started is refused from
// then on. In the mode StopThrottle the attempt continues and the result has no end.
//
// attempt.Epoch is the fencing token of the sender. The attempt itself may have started under an earlier epoch.
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
		return w.endAttempt(e, now, end, string(mode), nil), nil
	}
	for _, r := range w.results {
		if r.Attempt.Task == attempt.Task && r.Attempt.Number == attempt.Number {
			return r, nil
		}
	}
	if attempt.Number <= w.history.latestNumber(attempt.Task) && !w.history.isRefused(attempt) {
		return result, cwfault.New(cwfault.NotFound, "attempt %d of %s is over and acknowledged", attempt.Number, attempt.Task)
	}
	w.history.recordRefusal(attempt)
	return cwmodel.Result{Attempt: attempt, End: cwmodel.EndNotStarted, EndedAt: now}, nil
}

// Completions deletes the acknowledged results and returns the others, except those in poll.Retained, which the owner has received but not
// yet acknowledged. resultAdded is closed when the next result is added.
func (w *Worker) Completions(poll cwport.Poll) (results []cwmodel.Result, resultAdded <-chan struct{}, err error) {
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
	return results, w.resultAdded, nil
}

// Advance ends the attempts whose planned end or lease expiry has passed.
func (w *Worker) Advance() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
}

// advance is Advance for a caller that holds mu. If both times of an attempt have passed, the earlier one determines how it ended.
func (w *Worker) advance() {
	now := w.opts.Now()
	w.expireHistory(now)
	for _, e := range w.sortedExecutions() {
		isDue := !e.plannedEnd.IsZero() && !e.plannedEnd.After(now)
		isExpired := !e.LeaseExpiry.After(now)
		switch {
		case isDue && (!isExpired || !e.LeaseExpiry.Before(e.plannedEnd)):
			w.endAttempt(e, e.plannedEnd, e.plan.End, e.plan.Message, e.plan.Output)
		case isExpired:
			w.endAttempt(e, e.LeaseExpiry, cwmodel.EndLeaseExpired, "the lease ended", nil)
		}
	}
}

// endAttempt ends a running attempt as of the time at, adds its result to those that await acknowledgement, and returns it.
func (w *Worker) endAttempt(e *execution, at time.Time, end cwmodel.EndKind, message string, output []byte) cwmodel.Result {
	delete(w.running, e.Attempt.Task)
	w.allocated = w.allocated.Sub(e.Demand)
	result := cwmodel.Result{
		Attempt: e.Attempt, End: end, Message: message, Output: output, StartedAt: e.StartedAt, EndedAt: at, PeakUsage: e.plan.Used,
	}
	w.results = append(w.results, result)
	if w.opts.OnEnd != nil {
		w.opts.OnEnd(result)
	}
	close(w.resultAdded)
	w.resultAdded = make(chan struct{})
	return result
}

// checkEpoch returns StaleEpoch unless epoch is that of the present claim.
func (w *Worker) checkEpoch(epoch cwmodel.Epoch) error {
	if epoch != w.epoch || w.owner == "" {
		return cwfault.New(cwfault.StaleEpoch, "epoch %d is not that of the present owner %q, %d", epoch, w.owner, w.epoch)
	}
	return nil
}

// renewLeases sets the lease expiry of durable tasks, and of tasks that started under the current epoch, to the task's lease duration
// from now.
//
// Any other task was started by an earlier owner, which assumes that the task ends when its lease expires.
func (w *Worker) renewLeases(now time.Time) {
	for _, e := range w.running {
		if e.Durable || e.Attempt.Epoch == w.epoch {
			e.LeaseExpiry = now.Add(e.Lease)
		}
	}
}

// expireHistory drops the attempts from the history that no valid request can refer to. Running and unacknowledged attempts stay.
func (w *Worker) expireHistory(now time.Time) {
	if !w.history.rotate(now) {
		return
	}
	for _, e := range w.running {
		w.history.recordStart(e.Attempt)
	}
	for _, r := range w.results {
		w.history.recordStart(r.Attempt)
	}
}

// assertCapacity panics if the demands of the running tasks exceed the capacity, or do not add up to w.allocated.
func (w *Worker) assertCapacity() {
	var sum cwmodel.Resources
	for _, e := range w.running {
		sum = sum.Add(e.Demand)
	}
	if sum != w.allocated || !sum.FitsIn(w.opts.Worker.Capacity) {
		panic(fmt.Sprintf("worker %s runs %+v, counts %+v and holds %+v", w.opts.Worker.ID, sum, w.allocated, w.opts.Worker.Capacity))
	}
}

// inventory returns the worker's description, its claim and its running tasks. The caller holds mu.
func (w *Worker) inventory() cwport.Inventory {
	inventory := cwport.Inventory{
		Worker: w.opts.Worker, Owner: w.owner, Epoch: w.epoch, Clock: w.opts.Now(), BootedAt: w.bootedAt, Leaving: w.leaving,
	}
	for _, e := range w.sortedExecutions() {
		inventory.Running = append(inventory.Running, e.RunningTask)
	}
	return inventory
}

// sortedExecutions returns the running tasks in the order of their IDs, since that of a map is random.
func (w *Worker) sortedExecutions() []*execution {
	list := make([]*execution, 0, len(w.running))
	for _, e := range w.running {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *execution) int {
		return strings.Compare(string(a.Attempt.Task), string(b.Attempt.Task))
	})
	return list
}
