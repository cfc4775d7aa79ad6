package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	longestHold = 6 * time.Second // hold_max_ms
	maxWait     = 2 * time.Second
	maxEnds     = 500
)

// taskRun is a run on a runner.
type taskRun struct {
	number int
	cancel func() bool
}

// endRow is an ended run: number, task, run, how, saved.
type endRow [5]any

// runner is a stand-in of one life of a runner.
type runner struct {
	id      string
	service string
	address string
	born    time.Time
	rec     *recorder

	mu      sync.Mutex
	fence   uint64
	expiry  time.Duration // of all leases, on the runner's clock
	running map[string]*taskRun
	highest map[string]int // highest run of a task that was stopped or ended here
	ended   []endRow
	lastEnd uint64
	wake    chan struct{}
	seq     int
	server  *http.Server
	crashed bool
}

// newRunner starts a runner on a loopback address of its own port.
func newRunner(id, service string, rec *recorder) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{
		id: id, service: service, address: listener.Addr().String(), born: time.Now(), rec: rec,
		running: map[string]*taskRun{}, highest: map[string]int{}, wake: make(chan struct{}),
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
	go r.expireLeases()
	return r, nil
}

// entry returns what the runner says of itself.
func (r *runner) entry() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	return map[string]any{
		"service": r.service, "address": r.address, "zone": "z1", "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": r.seq,
		"born": r.born.UnixMilli(), "labels": []string{"a", "r1"}, "capacity": map[string]int{"cpu": 64000, "mem_mb": 262144, "gpu": 0},
	}
}

// report registers the runner in the store, through the control address of the stand-in, each heartbeat.
func (r *runner) report(control string) {
	client := &http.Client{Timeout: 8 * time.Second}
	for !r.hasCrashed() {
		body, _ := json.Marshal(r.entry())
		request, err := http.NewRequest(http.MethodPut, "http://"+control+"/rows/servers/"+r.id, bytes.NewReader(body))
		if err == nil {
			if response, err := client.Do(request); err == nil {
				_ = response.Body.Close()
			}
		}
		time.Sleep(heartbeat)
	}
}

// clock returns the runner's clock.
func (r *runner) clock() time.Duration { return time.Since(r.born) }

// order is the body of an order.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fence"`
	AckCursor  uint64 `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
}

// taskSpec is the spec of the jobs of the scenarios.
type taskSpec struct {
	WorkMS int64 `json:"work_ms"`           // after which it ends done
	FailMS int64 `json:"fail_ms,omitempty"` // after which it fails; 0: it does not
	First  bool  `json:"first,omitempty"`   // only the first run fails; the others last
}

// ServeHTTP carries out an order.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if want := req.Header.Get("X-Expect-Instance"); want != "" && want != r.id {
		r.answer(w, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	var o order
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		r.answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	switch req.URL.Path {
	case "/v1/run-start":
		if reason := r.start(&o); reason != "" {
			r.answer(w, http.StatusConflict, map[string]any{"reason": reason})
			return
		}
		r.answer(w, http.StatusOK, map[string]any{})
	case "/v1/run-stop":
		if !r.stop(&o) {
			r.answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
			return
		}
		r.answer(w, http.StatusOK, map[string]any{})
	case "/v1/hold":
		r.hold(w, req, &o)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// answer responds with the clock and the runner's life.
func (r *runner) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"], body["born"] = r.clock().Milliseconds(), r.born.UnixMilli()
	writeJSON(w, status, body)
}

// extend extends the leases, after those that have run out. The caller holds mu.
func (r *runner) extend(deadlineMS int64) {
	r.killLapsed()
	until := min(time.Duration(deadlineMS)*time.Millisecond, r.clock()+longestHold)
	r.expiry = max(r.expiry, until)
}

// start starts a run and returns the reason if it is refused.
func (r *runner) start(o *order) (reason string) {
	var spec taskSpec
	_ = json.Unmarshal([]byte(o.Spec), &spec) // another spec is a task without work
	r.mu.Lock()
	defer r.mu.Unlock()
	switch present := r.running[o.Task]; {
	case o.Fence < r.fence:
		return "fence"
	case time.Duration(o.DeadlineMS)*time.Millisecond < r.clock():
		return "late"
	case present != nil && present.number == o.Run:
		r.fence = o.Fence
		r.extend(o.DeadlineMS)
		return ""
	case present != nil || o.Run <= r.highest[o.Task]:
		r.fence = o.Fence
		r.extend(o.DeadlineMS)
		return "old"
	}
	r.fence = o.Fence
	r.extend(o.DeadlineMS)
	run := &taskRun{number: o.Run}
	r.running[o.Task] = run
	how, after := "done", spec.WorkMS
	if spec.FailMS > 0 && (!spec.First || o.Run == 1) {
		how, after = "failed", spec.FailMS
	}
	run.cancel = time.AfterFunc(time.Duration(after)*time.Millisecond, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.end(o.Task, run, how)
	}).Stop
	r.rec.began(r.id, o.Task, o.Run)
	return ""
}

// end lists the end of a run, unless it has ended before. The caller holds mu.
func (r *runner) end(task string, run *taskRun, how string) {
	if r.running[task] != run {
		return
	}
	run.cancel()
	delete(r.running, task)
	r.highest[task] = max(r.highest[task], run.number)
	r.lastEnd++
	r.ended = append(r.ended, endRow{r.lastEnd, task, run.number, how, ""})
	close(r.wake)
	r.wake = make(chan struct{})
	r.rec.over(r.id, task, run.number, how)
}

// stop ends a run and returns false if the fence is too low.
func (r *runner) stop(o *order) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Fence < r.fence {
		return false
	}
	r.fence = o.Fence
	r.highest[o.Task] = max(r.highest[o.Task], o.Run)
	if run := r.running[o.Task]; run != nil && run.number <= o.Run {
		r.end(o.Task, run, "stopped")
	}
	return true
}

// hold extends the leases, forgets acknowledged ends and responds with both lists.
func (r *runner) hold(w http.ResponseWriter, req *http.Request, o *order) {
	r.mu.Lock()
	if o.Fence < r.fence {
		r.mu.Unlock()
		r.answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	r.fence = o.Fence
	if o.DeadlineMS > 0 {
		r.extend(o.DeadlineMS)
	}
	for len(r.ended) > 0 && r.ended[0][0].(uint64) <= o.AckCursor {
		r.rec.noted(r.id, r.ended[0])
		r.ended = r.ended[1:]
	}
	wake, pending := r.wake, len(r.ended)
	r.mu.Unlock()
	if pending == 0 && o.WaitMS > 0 {
		select {
		case <-wake:
		case <-time.After(min(time.Duration(o.WaitMS)*time.Millisecond, maxWait)):
		case <-req.Context().Done():
		}
	}
	r.mu.Lock()
	running := [][5]any{}
	for task, run := range r.running {
		running = append(running, [5]any{task, run.number, "", 0, 0})
	}
	ended := append([]endRow{}, r.ended[:min(len(r.ended), maxEnds)]...)
	r.mu.Unlock()
	r.answer(w, http.StatusOK, map[string]any{"running": running, "ended": ended})
}

// expireLeases kills everything once its lease has expired.
func (r *runner) expireLeases() {
	for {
		time.Sleep(20 * time.Millisecond)
		r.mu.Lock()
		r.killLapsed()
		r.mu.Unlock()
	}
}

// killLapsed kills everything if the lease has expired, and records that for the ends that were not taken note of. The caller holds mu.
func (r *runner) killLapsed() {
	if r.clock() <= r.expiry {
		return
	}
	for task, run := range r.running {
		r.end(task, run, "lapsed")
	}
	for _, e := range r.ended {
		r.rec.lapsed(r.id, e)
	}
}

// isRunning reports whether the runner runs a task.
func (r *runner) isRunning(task string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running[task] != nil
}

// counts returns how many runs there are and how many ends were not taken note of.
func (r *runner) counts() (running, unacknowledged int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running), len(r.ended)
}

// String names the runner.
func (r *runner) String() string { return fmt.Sprintf("%s at %s", r.id, r.address) }

// crash ends the runner for good: it closes its connections, runs nothing and says nothing of itself any more.
func (r *runner) crash() {
	_ = r.server.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashed = true
	for task, run := range r.running {
		run.cancel()
		delete(r.running, task)
		r.rec.over(r.id, task, run.number, "crashed")
	}
	r.ended = nil
}

// hasCrashed reports whether the runner has crashed.
func (r *runner) hasCrashed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashed
}
