package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of a runner, as the users' protocol states them.
const (
	maxLease     = 6 * time.Second        // hold_max_ms
	maxEnds      = 500                    // ends in one response
	maxWait      = 2 * time.Second        // wait_ms
	heartbeat    = time.Second            // heartbeat_ms
	leasePeriod  = 20 * time.Millisecond  // pause between two checks of the leases
	runnerMemory = 64 << 10               // mem_mb
	orderTimeout = 500 * time.Millisecond // of the registration
)

// span is the time in which one run of a task was at work.
type span struct {
	task    string
	run     int
	runner  string
	began   time.Duration
	ended   time.Duration // valid if how is not empty
	how     string        // how it ended; "crash" if its runner crashed; empty while it runs
	ackedAt time.Duration // when its end was acknowledged; zero: not yet
}

// spans lists all runs of all runners.
type spans struct {
	mu  sync.Mutex
	all []*span
}

// add appends a run that begins now.
func (s *spans) add(r *span) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, r)
}

// finish sets how and when a run ended.
func (s *spans) finish(r *span, how string, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.how, r.ended = how, at
}

// snapshot returns copies of all runs.
func (s *spans) snapshot() (list []span) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.all {
		list = append(list, *r)
	}
	return list
}

// runner is a stand-in of one runner. A crash ends its life; a restart begins the next one under the same id.
type runner struct {
	id         string
	kind       string
	rack       string
	milliCores int
	control    string // control address of the stand-in of the store
	gate       *gate
	record     *record
	spans      *spans

	mu        sync.Mutex
	life      *life
	wallShift time.Duration // how far the time of day of its machine is ahead
	shedding  bool          // it answers each start with 503
}

// life is one incarnation of a runner.
type life struct {
	runner    *runner
	born      int64
	startedAt time.Time
	server    *http.Server
	stopped   chan struct{}

	mu       sync.Mutex
	dead     bool
	fence    uint64
	lease    time.Duration // end of all leases on this life's clock
	sequence uint64
	seq      int
	runs     map[string]*activeRun
	highest  map[string]int // highest run of each task that ended or was stopped
	ended    []endedRun
	changed  chan struct{} // closed and replaced when a run ends
}

// activeRun is a run that is at work.
type activeRun struct {
	span  *span
	timer *time.Timer
}

// endedRun is a run whose end has not been acknowledged.
type endedRun struct {
	sequence uint64
	span     *span
	how      string
}

// order is the body of every call to a runner.
type order struct {
	Task       string  `json:"task"`
	Run        int     `json:"run"`
	Spec       *string `json:"spec"`
	DeadlineMS *int64  `json:"deadline_ms"`
	Fence      uint64  `json:"fence"`
	AckCursor  uint64  `json:"ack_cursor"`
	WaitMS     int64   `json:"wait_ms"`
}

// start begins a life. It registers at once, as a starting runner does.
func (r *runner) start() error {
	r.mu.Lock()
	l := &life{
		runner: r, born: time.Now().Add(r.wallShift).UnixMilli(), startedAt: time.Now(), stopped: make(chan struct{}),
		runs: map[string]*activeRun{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
	r.life = l
	r.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", l.serve(l.runStart))
	mux.HandleFunc("POST /v1/run-stop", l.serve(l.runStop))
	mux.HandleFunc("POST /v1/hold", l.serve(l.hold))
	l.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	listener, err := r.gate.open()
	if err != nil {
		return err
	}
	go func() { _ = l.server.Serve(listener) }()
	r.record.add("runner %s started, born %d", r.id, l.born)
	go l.beat()
	return nil
}

// crash ends the present life: its runs end without a trace.
func (r *runner) crash() {
	r.mu.Lock()
	l := r.life
	r.mu.Unlock()
	l.mu.Lock()
	l.dead = true
	close(l.stopped)
	for _, a := range l.runs {
		a.timer.Stop()
		r.spans.finish(a.span, "crash", r.record.now())
	}
	n := len(l.runs)
	l.runs = map[string]*activeRun{}
	l.mu.Unlock()
	r.gate.shut()
	_ = l.server.Close()
	r.record.add("runner %s crashed with %d runs", r.id, n)
}

// shiftWall changes how far the time of day of the runner's machine is ahead.
func (r *runner) shiftWall(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wallShift = d
	r.record.add("time of day on the machine of runner %s is now %s ahead", r.id, d)
}

// setShedding makes the runner answer each start with 503, or ends that.
func (r *runner) setShedding(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shedding = on
	r.record.add("runner %s refuses starts with 503: %t", r.id, on)
}

// beat registers the runner in the store and expires leases until the life ends.
func (l *life) beat() {
	l.register()
	beats, checks := time.NewTicker(heartbeat), time.NewTicker(leasePeriod)
	defer beats.Stop()
	defer checks.Stop()
	for {
		select {
		case <-l.stopped:
			return
		case <-beats.C:
			l.register()
		case <-checks.C:
			l.expire()
		}
	}
}

// register writes the runner's entry.
func (l *life) register() {
	r := l.runner
	l.mu.Lock()
	l.seq++
	entry := map[string]any{
		"service": serviceName, "address": r.gate.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": l.seq,
		"born": l.born, "capacity": map[string]int{"cpu": r.milliCores, "mem_mb": runnerMemory, "gpu": 0}, "labels": []string{r.kind, r.rack},
	}
	l.mu.Unlock()
	body, err := json.Marshal(entry)
	if err == nil {
		err = put("http://"+r.control+"/workers/"+r.id, body, orderTimeout)
	}
	if err != nil {
		r.record.add("runner %s is not registered: %v", r.id, err)
	}
}

// clock returns the reading of the life's clock.
func (l *life) clock() time.Duration { return time.Since(l.startedAt) }

// serve decodes a call for this runner and writes the answer of handle.
func (l *life) serve(handle func(*order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		if q.Header.Get("X-Expect-Instance") != l.runner.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o order
		status, answer := http.StatusBadRequest, map[string]any{}
		if err := json.NewDecoder(q.Body).Decode(&o); err == nil {
			status, answer = handle(&o)
		} else {
			l.runner.record.add("runner %s answers 400 to %s: %v", l.runner.id, q.URL.Path, err)
		}
		answer["clock_ms"] = l.clock().Milliseconds()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(answer)
	}
}

// refuse returns the answer 409 with a reason.
func refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// acceptFence records the fence of an order, and returns false if a higher one was seen.
func (l *life) acceptFence(fence uint64) bool {
	if fence < l.fence {
		return false
	}
	l.fence = fence
	return true
}

// extend extends all leases to the deadline of an order, to maxLease from now at most.
func (l *life) extend(o *order) {
	if o.DeadlineMS != nil {
		l.lease = max(l.lease, min(time.Duration(*o.DeadlineMS)*time.Millisecond, l.clock()+maxLease))
	}
}

// isShedding reports whether the runner refuses starts.
func (r *runner) isShedding() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shedding
}

// specFails is the word in a spec whose tasks end as failed.
const specFails = "fails"

// runTime returns the run time in milliseconds that a spec begins with.
func runTime(spec string) time.Duration {
	ms, err := strconv.Atoi(strings.SplitN(spec, " ", 2)[0])
	if err != nil {
		ms = 100
	}
	return time.Duration(ms) * time.Millisecond
}

// runStart starts a run.
func (l *life) runStart(o *order) (int, map[string]any) {
	if o.Spec == nil || o.DeadlineMS == nil || o.Task == "" {
		return http.StatusBadRequest, map[string]any{}
	}
	if l.runner.isShedding() {
		l.runner.record.add("runner %s answers 503 to the start of %s run %d", l.runner.id, o.Task, o.Run)
		return http.StatusServiceUnavailable, map[string]any{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.dead:
		return http.StatusServiceUnavailable, map[string]any{}
	case !l.acceptFence(o.Fence):
		return refuse("fence")
	case time.Duration(*o.DeadlineMS)*time.Millisecond < l.clock():
		return refuse("late")
	}
	l.extend(o)
	active := l.runs[o.Task]
	switch {
	case active != nil && active.span.run == o.Run:
		return http.StatusOK, map[string]any{}
	case active != nil || o.Run <= l.highest[o.Task]:
		return refuse("old")
	}
	s := &span{task: o.Task, run: o.Run, runner: l.runner.id, began: l.runner.record.now()}
	l.runner.spans.add(s)
	a := &activeRun{span: s}
	l.runs[o.Task] = a
	how := "done"
	if strings.Contains(*o.Spec, specFails) {
		how = "failed"
	}
	a.timer = time.AfterFunc(runTime(*o.Spec), func() { l.end(o.Task, a, how) })
	l.runner.record.add("runner %s (born %d) starts %s run %d, fence %d", l.runner.id, l.born, o.Task, o.Run, o.Fence)
	return http.StatusOK, map[string]any{}
}

// runStop ends a run.
func (l *life) runStop(o *order) (int, map[string]any) {
	l.mu.Lock()
	if !l.acceptFence(o.Fence) {
		l.mu.Unlock()
		return refuse("fence")
	}
	l.highest[o.Task] = max(l.highest[o.Task], o.Run)
	a := l.runs[o.Task]
	l.mu.Unlock()
	if a != nil && a.span.run <= o.Run {
		l.end(o.Task, a, "stopped")
	}
	return http.StatusOK, map[string]any{}
}

// end ends a run and lists its end.
func (l *life) end(task string, a *activeRun, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead || l.runs[task] != a {
		return
	}
	a.timer.Stop()
	delete(l.runs, task)
	l.sequence++
	l.highest[task] = max(l.highest[task], a.span.run)
	l.ended = append(l.ended, endedRun{l.sequence, a.span, how})
	l.runner.spans.finish(a.span, how, l.runner.record.now())
	l.runner.record.add("runner %s ends %s run %d: %s", l.runner.id, task, a.span.run, how)
	close(l.changed)
	l.changed = make(chan struct{})
}

// expire ends all runs if the leases have expired.
func (l *life) expire() {
	l.mu.Lock()
	lapsed := map[string]*activeRun{}
	if l.clock() > l.lease {
		for task, a := range l.runs {
			lapsed[task] = a
		}
	}
	l.mu.Unlock()
	for task, a := range lapsed {
		l.end(task, a, "lapsed")
	}
}

// hold extends the leases, forgets acknowledged ends and lists the runs.
func (l *life) hold(o *order) (int, map[string]any) {
	deadline := time.Now().Add(min(time.Duration(o.WaitMS)*time.Millisecond, maxWait))
	for {
		l.mu.Lock()
		if !l.acceptFence(o.Fence) {
			l.mu.Unlock()
			return refuse("fence")
		}
		l.acknowledge(o.AckCursor)
		l.extend(o)
		if len(l.ended) > 0 || !time.Now().Before(deadline) {
			defer l.mu.Unlock()
			return http.StatusOK, l.lists()
		}
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-l.stopped:
			return http.StatusServiceUnavailable, map[string]any{}
		case <-time.After(time.Until(deadline)):
		}
	}
}

// acknowledge forgets the ends up to a number. A number that this life has not given out yet belongs to an earlier one.
func (l *life) acknowledge(sequence uint64) {
	if sequence > l.sequence {
		return
	}
	for len(l.ended) > 0 && l.ended[0].sequence <= sequence {
		e := l.ended[0]
		l.ended = l.ended[1:]
		l.runner.record.add("end of %s run %d on runner %s is taken note of", e.span.task, e.span.run, l.runner.id)
		l.runner.spans.mu.Lock()
		e.span.ackedAt = l.runner.record.now()
		l.runner.spans.mu.Unlock()
	}
}

// lists returns the runs and the ends.
func (l *life) lists() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for task, a := range l.runs {
		running = append(running, []any{task, a.span.run, "", 0, 0})
	}
	for _, e := range l.ended[:min(len(l.ended), maxEnds)] {
		ended = append(ended, []any{e.sequence, e.span.task, e.span.run, e.how, ""})
	}
	return map[string]any{"born": l.born, "running": running, "ended": ended}
}

// overlaps returns a line for each pair of runs of one task that were at work at the same time.
func overlaps(list []span, end time.Duration) (lines []string) {
	byTask := map[string][]span{}
	for _, s := range list {
		if s.how == "" {
			s.ended = end
		}
		byTask[s.task] = append(byTask[s.task], s)
	}
	for task, runs := range byTask {
		for n := range runs {
			for m := n + 1; m < len(runs); m++ {
				a, b := runs[n], runs[m]
				if from, to := max(a.began, b.began), min(a.ended, b.ended); from < to {
					lines = append(lines, fmt.Sprintf("%s: run %d on %s (%.3f to %.3f, %s) and run %d on %s (%.3f to %.3f, %s) at the same time for %d ms",
						task, a.run, a.runner, a.began.Seconds(), a.ended.Seconds(), a.how, b.run, b.runner, b.began.Seconds(), b.ended.Seconds(), b.how, (to-from).Milliseconds()))
				}
			}
		}
	}
	return lines
}
