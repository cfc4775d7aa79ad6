package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// taskSpec says, as the payload of a job, how its tasks behave.
type taskSpec struct {
	RunMS   int  `json:"run_ms"`             // work of a task
	Fails   bool `json:"fails,omitempty"`    // every run fails at the end of its work
	Lasts   bool `json:"lasts,omitempty"`    // runs until it is stopped
	Gang    int  `json:"gang,omitempty"`     // number of tasks that work only together; 0: none
	CrashMS int  `json:"crash_ms,omitempty"` // task 0 crashes its runner after that much work; 0: it does not
}

// Bounds of the small deployment.
const (
	maxHold     = 6 * time.Second
	stopTime    = 50 * time.Millisecond
	gangTimeout = 3 * time.Second
	heartbeat   = time.Second
	maxEnds     = 500
	runnerCores = 64
)

// fleet is the runners of one service. One lock guards them all, since the tasks of a gang act together.
type fleet struct {
	mu      sync.Mutex
	rec     *recorder
	service string
	report  func(id string, entry []byte) error // writes the entry of a runner to the platform's store
	runners []*runner
	backMS  int              // time after a crash until the runner is back
	late    float64          // share of the start orders that get no answer and are carried out late
	noted   map[string]int64 // tasks of which an end done was taken note of, and the life of the runner that had it
}

// run is one run of a task on a runner.
type run struct {
	task      string
	number    int
	spec      taskSpec
	arrivedAt time.Time
	workingAt time.Time // zero: a gang's run that waits for the others
	timer     *time.Timer
}

// end is an ended run that was not acknowledged yet.
type end struct {
	sequence int
	task     string
	number   int
	how      string
	at       time.Time
}

// runner is a stand-in of one runner. It has one life after the other under the same identifier and address.
type runner struct {
	f         *fleet
	id, rack  string
	address   string
	server    *http.Server
	listener  *powerListener
	up        bool
	dark      bool // it has no power: calls to it get no answer
	born      int64
	startedAt time.Time
	clockBase int64
	fence     uint64
	hold      int64     // on the runner's clock, when the leases lapse
	lapsedAt  time.Time // when its lease was last seen to be over
	runs      map[string]*run
	ended     []end
	sequence  int
	highest   map[string]int // highest run of each task that was stopped or has ended here
	changed   chan struct{}
	seq       int
	started   int // runs, in all lives
}

// start begins a life of the runner. The caller holds the lock, unless nothing else knows the runner yet.
func (r *runner) start() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.listener = &powerListener{Listener: listener, off: make(chan struct{})}
	r.address = listener.Addr().String()
	r.up, r.born, r.startedAt, r.clockBase = true, time.Now().UnixMilli(), time.Now(), rand.Int64N(1000)
	r.fence, r.hold, r.sequence, r.ended = 0, 0, 0, nil
	r.runs, r.highest, r.changed = map[string]*run{}, map[string]int{}, make(chan struct{})
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: 5 * time.Second}
	server, accepting := r.server, r.listener
	go func() { _ = server.Serve(accepting) }()
	r.f.rec.note("runner-up", "runner", r.id, "born", r.born, "clock", r.clockBase)
	return nil
}

// crash ends a life of the runner with all that it runs; its sockets are closed by its system. It is back after a while. The caller holds the
// lock.
func (r *runner) crash(cause string) {
	if !r.up {
		return
	}
	r.up = false
	lost := r.runs
	r.runs = map[string]*run{}
	_ = r.server.Close()
	r.f.rec.note("runner-crashed", "runner", r.id, "born", r.born, "under", cause)
	for _, x := range lost {
		x.stopTimer()
		r.f.breakGang(x, r)
	}
	time.AfterFunc(time.Duration(r.f.backMS)*time.Millisecond, func() {
		r.f.mu.Lock()
		err := r.start()
		r.f.mu.Unlock()
		if err != nil {
			r.f.rec.note("runner-not-back", "runner", r.id, "error", err)
		}
		r.beat()
	})
}

// clock is the reading of the runner's clock in milliseconds.
func (r *runner) clock() int64 { return r.clockBase + time.Since(r.startedAt).Milliseconds() }

// beat writes the runner's entry to the store.
func (r *runner) beat() {
	r.f.mu.Lock()
	if !r.up {
		r.f.mu.Unlock()
		return
	}
	r.seq++
	entry, _ := json.Marshal(map[string]any{
		"service": r.f.service, "address": r.address, "zone": "cairo-1", "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"seq": r.seq, "born": r.born, "capacity": map[string]int{"cpu": runnerCores * 1000, "mem_mb": 262144, "gpu": 0}, "labels": []string{"a", r.rack},
	})
	r.f.mu.Unlock()
	if err := r.f.report(r.id, entry); err != nil {
		r.f.rec.note("beat-lost", "runner", r.id, "error", err)
	}
}

// order is the body of each call to a runner.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fence"`
	AckCursor  int    `json:"ack_cursor"`
	WaitMS     int    `json:"wait_ms"`
}

// serve answers a call. Without power it answers nothing.
func (r *runner) serve(w http.ResponseWriter, req *http.Request) {
	r.f.mu.Lock()
	dark := r.dark
	r.f.mu.Unlock()
	if dark {
		select {} // nor does it close the connection
	}
	if req.Header.Get("X-Expect-Instance") != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var status int
	var body map[string]any
	if req.URL.Path == "/v1/run-start" && r.f.isLate() {
		r.f.rec.note("order-late", "runner", r.id, "task", o.Task, "run", o.Run)
		time.AfterFunc(lateFrom+rand.N(lateTo-lateFrom), func() { r.startLate(&o) })
		<-req.Context().Done()
		return
	}
	switch req.URL.Path {
	case "/v1/run-start":
		status, body = r.runStart(&o)
	case "/v1/run-stop":
		status, body = r.runStop(&o)
	case "/v1/hold":
		status, body = r.holdAll(&o)
	default:
		status = http.StatusNotFound
	}
	if body == nil {
		body = map[string]any{}
	}
	r.f.mu.Lock()
	body["clock_ms"] = r.clock()
	r.f.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// conflict is the answer to a refused call.
func conflict(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// extend extends the leases to a deadline; they never get shorter. The caller holds the lock.
func (r *runner) extend(deadline int64) {
	r.hold = max(r.hold, min(deadline, r.clock()+maxHold.Milliseconds()))
}

// runStart starts a run.
func (r *runner) runStart(o *order) (int, map[string]any) {
	var spec taskSpec
	if json.Unmarshal([]byte(o.Spec), &spec) != nil {
		return http.StatusBadRequest, nil
	}
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	if o.Fence < r.fence {
		return conflict("fence")
	}
	r.fence = o.Fence
	if o.DeadlineMS < r.clock() {
		return conflict("late")
	}
	r.extend(o.DeadlineMS)
	if x, ok := r.runs[o.Task]; ok && x.number == o.Run {
		return http.StatusOK, nil
	} else if ok || o.Run <= r.highest[o.Task] {
		return conflict("old")
	}
	x := &run{task: o.Task, number: o.Run, spec: spec, arrivedAt: time.Now()}
	r.runs[o.Task] = x
	r.started++
	if born, ok := r.f.noted[o.Task]; ok {
		r.f.rec.note("started-after-done", "runner", r.id, "born", r.born, "task", o.Task, "run", o.Run, "done-in-life", born)
	}
	r.f.rec.start(startNote{Runner: r.id, Born: r.born, Task: o.Task, Run: o.Run})
	if spec.Gang == 0 {
		r.work(x)
	} else {
		r.f.joinGang(r, x)
	}
	return http.StatusOK, nil
}

// work lets a run begin to work. The caller holds the lock.
func (r *runner) work(x *run) {
	x.workingAt = time.Now()
	after, done := time.Duration(x.spec.RunMS)*time.Millisecond, func() { r.f.finish(r, x) }
	if x.spec.CrashMS > 0 && strings.HasSuffix(x.task, ".0") {
		after, done = time.Duration(x.spec.CrashMS)*time.Millisecond, func() { r.crash(x.task) }
	} else if x.spec.Lasts {
		return
	}
	x.timer = time.AfterFunc(after, func() {
		r.f.mu.Lock()
		defer r.f.mu.Unlock()
		if r.runs[x.task] == x {
			done()
		}
	})
}

// stopTimer cancels what the run would do next.
func (x *run) stopTimer() {
	if x.timer != nil {
		x.timer.Stop()
	}
}

// stepOf returns the step of a task, the part of its name before the index.
func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// members calls visit for each run of the same gang. The caller holds the lock.
func (f *fleet) members(x *run, visit func(r *runner, m *run)) {
	for _, r := range f.runners {
		for _, m := range r.runs {
			if m.spec.Gang > 0 && m.number == x.number && stepOf(m.task) == stepOf(x.task) {
				visit(r, m)
			}
		}
	}
}

// joinGang lets the tasks of a gang work once all are there; a task that has waited too long ends alone. The caller holds the lock.
func (f *fleet) joinGang(r *runner, x *run) {
	present := 0
	f.members(x, func(*runner, *run) { present++ })
	if present == x.spec.Gang {
		f.members(x, func(r *runner, m *run) {
			m.stopTimer()
			r.work(m)
		})
		return
	}
	x.timer = time.AfterFunc(gangTimeout, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if r.runs[x.task] == x && x.workingAt.IsZero() {
			r.end(x, "alone")
		}
	})
}

// finish ends a run whose work is over, and with it the whole gang.
func (f *fleet) finish(r *runner, x *run) {
	how := "done"
	if x.spec.Fails {
		how = "failed"
	}
	if x.spec.Gang > 0 && how == "done" {
		f.members(x, func(r *runner, m *run) { r.end(m, how) })
		return
	}
	r.end(x, how)
	f.breakGang(x, r)
}

// breakGang ends the other runs of a gang of which one has ended. The caller holds the lock.
func (f *fleet) breakGang(x *run, where *runner) {
	if x.spec.Gang == 0 {
		return
	}
	f.members(x, func(r *runner, m *run) {
		if r != where || m != x {
			r.end(m, "broken")
		}
	})
}

// end records the end of a run. The caller holds the lock.
func (r *runner) end(x *run, how string) {
	x.stopTimer()
	delete(r.runs, x.task)
	r.highest[x.task] = max(r.highest[x.task], x.number)
	r.sequence++
	r.ended = append(r.ended, end{r.sequence, x.task, x.number, how, time.Now()})
	close(r.changed)
	r.changed = make(chan struct{})
	r.f.rec.note("run-ended", "runner", r.id, "task", x.task, "run", x.number, "how", how)
}

// runStop stops a run, and refuses runs of the task up to that number from then on.
func (r *runner) runStop(o *order) (int, map[string]any) {
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	if o.Fence < r.fence {
		return conflict("fence")
	}
	r.fence = o.Fence
	r.highest[o.Task] = max(r.highest[o.Task], o.Run)
	if x, ok := r.runs[o.Task]; ok && x.number == o.Run {
		x.stopTimer()
		x.timer = time.AfterFunc(stopTime, func() {
			r.f.mu.Lock()
			defer r.f.mu.Unlock()
			if r.runs[x.task] == x {
				r.end(x, "stopped")
				r.f.breakGang(x, r)
			}
		})
	}
	return http.StatusOK, nil
}

// holdAll extends the leases, forgets the acknowledged ends, and lists what runs and has ended. Without an end it waits for one.
func (r *runner) holdAll(o *order) (int, map[string]any) {
	deadline := time.Now().Add(min(time.Duration(o.WaitMS)*time.Millisecond, 2*time.Second))
	for {
		status, body, changed := r.holdOnce(o, time.Until(deadline) <= 0)
		if changed == nil {
			return status, body
		}
		select {
		case <-changed:
		case <-time.After(max(time.Until(deadline), 10*time.Millisecond)):
		}
	}
}

// holdOnce does the same without a wait. It returns a channel that is closed by the next end if there is none to list yet.
func (r *runner) holdOnce(o *order, isLast bool) (status int, body map[string]any, changed <-chan struct{}) {
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	if r.dark {
		return 0, nil, make(chan struct{}) // the answer never leaves
	}
	if !r.up || o.Fence < r.fence {
		status, body = conflict("fence")
		return status, body, nil
	}
	r.fence = o.Fence
	r.noteLapse()
	if o.DeadlineMS > 0 {
		r.extend(o.DeadlineMS)
	}
	for len(r.ended) > 0 && r.ended[0].sequence <= o.AckCursor {
		// An end isn't taken note of if the lease lapsed between the two.
		if e := r.ended[0]; e.how == "done" && e.at.After(r.lapsedAt) {
			r.f.noted[e.task] = r.born
		}
		r.ended = r.ended[1:]
	}
	if len(r.ended) > 0 || isLast {
		return http.StatusOK, r.lists(), nil
	}
	return 0, nil, r.changed
}

// lists returns what runs and what has ended. The caller holds the lock.
func (r *runner) lists() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for _, x := range r.runs {
		percent := 0
		if !x.workingAt.IsZero() {
			percent = 100
			if !x.spec.Lasts {
				percent = min(99, int(100*time.Since(x.workingAt).Milliseconds())/max(1, x.spec.RunMS))
			}
		}
		running = append(running, []any{x.task, x.number, "", percent, 0})
	}
	for _, e := range r.ended[:min(len(r.ended), maxEnds)] {
		ended = append(ended, []any{e.sequence, e.task, e.number, e.how, ""})
	}
	return map[string]any{"born": r.born, "running": running, "ended": ended}
}

// noteLapse reports and notes whether the runner's lease is over. The caller holds the lock.
func (r *runner) noteLapse() bool {
	if r.clock() < r.hold {
		return false
	}
	r.lapsedAt = time.Now()
	return true
}

// lapse ends what runs on runners whose leases are over.
func (f *fleet) lapse() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.runners {
		if !r.up || !r.noteLapse() {
			continue
		}
		for _, x := range r.runs {
			r.end(x, "lapsed")
			f.breakGang(x, r)
		}
	}
}

// newFleet starts runners at free ports of one loopback address, and the duties that write their entries and check their leases.
func newFleet(rec *recorder, host, service string, count, backMS int, report func(id string, entry []byte) error) (*fleet, error) {
	f := &fleet{noted: map[string]int64{}, rec: rec, service: service, report: report, backMS: backMS}
	for n := range count {
		r := &runner{f: f, id: "w-" + strconv.Itoa(n), rack: fmt.Sprintf("r-%d", n/8), address: net.JoinHostPort(host, "0")}
		if err := r.start(); err != nil {
			return nil, err
		}
		f.runners = append(f.runners, r)
	}
	go func() {
		for {
			for _, r := range f.runners {
				r.beat()
			}
			time.Sleep(heartbeat)
		}
	}()
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			f.lapse()
		}
	}()
	return f, nil
}

// Bounds of the delay of an order that is carried out late.
const (
	lateFrom = 2 * time.Second
	lateTo   = 12 * time.Second
)

// isLate draws whether an order gets no answer and is carried out late.
func (f *fleet) isLate() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return rand.Float64() < f.late
}

// startLate carries out an order that got no answer, in the life that the runner has by then.
func (r *runner) startLate(o *order) {
	r.f.mu.Lock()
	up := r.up
	r.f.mu.Unlock()
	if !up {
		return
	}
	status, body := r.runStart(o)
	r.f.rec.note("late-order-carried-out", "runner", r.id, "task", o.Task, "run", o.Run, "status", status, "reason", body["reason"])
}
