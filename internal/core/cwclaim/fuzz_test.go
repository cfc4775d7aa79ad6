package cwclaim_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"currantward/internal/adapter/cwmemory"
	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwclaim"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
)

// TestMain fixes the seed unless it is set on the command line.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "400")
	_ = flag.Set("rapid.steps", "150")
	flag.Parse()
	fmt.Println("seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

const (
	fuzzSlots  = 3
	fuzzWorker = cwmodel.HostID("worker-1")
)

// fuzzHost is an entry host; pausing it delays all its events.
type fuzzHost struct {
	id       cwmodel.HostID
	machine  *cwclaim.Machine
	offset   time.Duration // of its clock
	paused   bool
	owned    bool
	epoch    cwmodel.Epoch
	validity cwclaim.Validity
}

// message is a call in transit: first the request, then its response.
type message struct {
	from    *fuzzHost
	kind    cwclaim.ActionKind
	sent    time.Time // by the sender's clock
	call    func() (cwclaim.CallResult, error)
	epoch   cwmodel.Epoch
	result  cwclaim.CallResult
	arrived bool
}

// expiry is a host's conclusion that no task of an epoch runs after a time.
type expiry struct {
	host    *fuzzHost
	epoch   cwmodel.Epoch
	certain time.Time
}

// simulation connects three hosts and one worker by a network that delays, reorders, repeats and loses messages.
type simulation struct {
	now       time.Time
	window    time.Duration // in which requests are valid
	lease     time.Duration // of tasks
	drift     int64         // of the worker's clock, in parts per thousand
	startedAt time.Time
	hosts     []*fuzzHost
	worker    *cwmemory.Worker
	network   []*message
	owner     *fuzzHost // of the latest claim that the worker granted
	epoch     cwmodel.Epoch
	expiries  []expiry
	tasks     int
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{now: time.Unix(100000, 0), drift: rapid.Int64Range(-5, 5).Draw(t, "drift")}
	w.startedAt = w.now
	w.window = rapid.SampledFrom([]time.Duration{ttl / 3, 3 * ttl}).Draw(t, "window")
	w.lease = time.Duration(rapid.IntRange(1, 10).Draw(t, "lease")) * time.Second
	w.worker = cwmemory.NewWorker(cwmemory.WorkerOptions{
		Worker: cwmodel.Worker{ID: fuzzWorker, Capacity: cwmodel.Resources{Slots: fuzzSlots}}, Now: w.workerClock,
		Execute: func(cwmodel.Task) cwmemory.Execution { return cwmemory.Execution{} },
	})
	for n, id := range []cwmodel.HostID{"a", "b", "c"} {
		opts := cwclaim.DefaultOptions(id, ttl)
		opts.Seed, opts.RequestWindow = uint64(n), w.window
		offset := time.Duration(rapid.Int64Range(-3600, 3600).Draw(t, "offset")) * time.Second
		w.hosts = append(w.hosts, &fuzzHost{id: id, machine: cwclaim.New(opts), offset: offset})
	}
	return w
}

func (w *simulation) workerClock() time.Time {
	elapsed := w.now.Sub(w.startedAt)
	return w.now.Add(17*time.Minute + elapsed*time.Duration(w.drift)/1000)
}

func (w *simulation) clock(h *fuzzHost) time.Time { return w.now.Add(h.offset) }

// execute sends the calls of a host and applies its other actions.
func (w *simulation) execute(h *fuzzHost) {
	for _, a := range h.machine.Actions() {
		switch a.Kind {
		case cwclaim.ActionClaim:
			w.send(h, a.Kind, 0, w.claimBy(h))
		case cwclaim.ActionRenew:
			heartbeat := cwport.Heartbeat{Epoch: a.Epoch, TTL: ttl, NotAfter: a.NotAfter}
			w.send(h, a.Kind, a.Epoch, func() (cwclaim.CallResult, error) {
				renewal, err := w.worker.Renew(heartbeat)
				return cwclaim.CallResult{Clock: renewal.Clock}, err
			})
		case cwclaim.ActionRelease:
			epoch := a.Epoch
			w.send(h, a.Kind, epoch, func() (cwclaim.CallResult, error) { return cwclaim.CallResult{}, w.worker.Release(epoch) })
		case cwclaim.ActionAcquired:
			h.owned, h.epoch, h.validity = true, a.Epoch, a.Validity
		case cwclaim.ActionExtended:
			h.validity = a.Validity
		case cwclaim.ActionLost:
			h.owned = false
			w.expiries = append(w.expiries, expiry{h, a.Epoch, cwclaim.LeaseExpiryBound(a.LastRenewal, w.lease)})
		}
	}
}

// claimBy performs the first call of a claim, an inspection, and returns the second.
func (w *simulation) claimBy(h *fuzzHost) func() (cwclaim.CallResult, error) {
	inventory := w.worker.Inspect()
	epoch := cwclaim.NextEpoch(inventory.Epoch, inventory.Clock)
	return func() (cwclaim.CallResult, error) {
		inventory, err := w.worker.Claim(cwport.Claim{Owner: h.id, Epoch: epoch, TTL: ttl})
		if err == nil {
			w.owner, w.epoch = h, epoch
		}
		return cwclaim.CallResult{Epoch: inventory.Epoch, Clock: inventory.Clock}, err
	}
}

func (w *simulation) send(h *fuzzHost, kind cwclaim.ActionKind, epoch cwmodel.Epoch, call func() (cwclaim.CallResult, error)) {
	w.network = append(w.network, &message{from: h, kind: kind, sent: w.clock(h), call: call, epoch: epoch})
}

// sendStart sends a start request if the host considers its claim valid.
func (w *simulation) sendStart(t *rapid.T, h *fuzzHost) {
	now := w.clock(h)
	if !h.owned || !now.Before(h.validity.Until) {
		return
	}
	w.tasks++
	attempt := cwmodel.Attempt{Task: cwmodel.TaskID(fmt.Sprint(w.tasks)), Number: 1, Worker: fuzzWorker, Epoch: h.epoch}
	latest := now.Add(w.window)
	request := cwport.StartRequest{
		Task:    cwmodel.Task{ID: attempt.Task, Demand: cwmodel.Resources{Slots: 1}, Lease: w.lease},
		Attempt: attempt, NotAfter: h.validity.Clock.Earliest(latest),
	}
	w.send(h, "start", h.epoch, func() (cwclaim.CallResult, error) {
		before := w.worker.Begun()
		_, err := w.worker.Start(request)
		if w.worker.Begun() == before {
			return cwclaim.CallResult{}, err
		}
		if w.owner != h || w.epoch != attempt.Epoch {
			t.Fatalf("%s started a task under epoch %d while %s owns the worker under %d", h.id, attempt.Epoch, w.owner.id, w.epoch)
		}
		if w.clock(h).After(latest) {
			t.Fatalf("%s started a task %v after its latest start time", h.id, w.clock(h).Sub(latest))
		}
		return cwclaim.CallResult{}, err
	})
}

// deliver delivers a request to the worker, or a response to the sender.
func (w *simulation) deliver(t *rapid.T, n int) {
	m := w.network[n]
	if !m.arrived {
		result, err := m.call()
		result.Code = cwfault.CodeOf(err)
		m.result, m.arrived = result, true
		return
	}
	w.network = append(w.network[:n:n], w.network[n+1:]...)
	w.handleResponse(m)
	w.check(t)
}

func (w *simulation) handleResponse(m *message) {
	now := w.clock(m.from)
	m.result.Sent, m.result.Received = m.sent, now
	switch m.kind {
	case cwclaim.ActionClaim:
		m.from.machine.HandleClaim(now, fuzzWorker, m.result)
	case cwclaim.ActionRenew:
		m.from.machine.HandleRenewal(now, fuzzWorker, m.epoch, m.result)
	case cwclaim.ActionRelease:
		m.from.machine.HandleRelease(now, fuzzWorker)
	}
	w.execute(m.from)
}

// loseResponse drops a response: the sender times out, while the request itself may still arrive later.
func (w *simulation) loseResponse(t *rapid.T, n int) {
	m := w.network[n]
	lost := *m
	lost.result = cwclaim.CallResult{Code: cwfault.Indefinite}
	if m.arrived || rapid.Bool().Draw(t, "order lost too") {
		w.network = append(w.network[:n:n], w.network[n+1:]...)
	} else {
		m.kind = "forgotten"
	}
	w.handleResponse(&lost)
}

// run runs all hosts that are not paused for some rounds over a network without faults.
func (w *simulation) run(t *rapid.T, rounds int) {
	for range rounds {
		w.now = w.now.Add(300 * time.Millisecond)
		for _, h := range w.hosts {
			if h.paused {
				continue
			}
			h.machine.Tick(w.clock(h))
			w.execute(h)
			w.sendStart(t, h)
		}
		for n := len(w.network) - 1; n >= 0; n-- {
			if m := w.network[n]; !m.from.paused && m.kind != "forgotten" {
				w.deliver(t, n)
			}
		}
		w.check(t)
	}
}

// updateHosts reports the worker's state and a random subset of the other hosts to a host.
func (w *simulation) updateHosts(t *rapid.T, h *fuzzHost) {
	live := []cwmodel.HostID{h.id}
	for _, other := range w.hosts {
		if other != h && rapid.Bool().Draw(t, "live") {
			live = append(live, other.id)
		}
	}
	state := rapid.SampledFrom([]cwmodel.HostState{cwmodel.HostLive, cwmodel.HostLive, cwmodel.HostLeaving}).Draw(t, "state")
	h.machine.UpdateHosts(w.clock(h), []cwmodel.Host{{ID: fuzzWorker, State: state}}, live)
	w.execute(h)
}

// check asserts the safety invariants.
func (w *simulation) check(t *rapid.T) {
	holders := 0
	for _, h := range w.hosts {
		if h.owned && w.clock(h).Before(h.validity.Until) {
			holders++
		}
	}
	if holders > 1 {
		t.Fatalf("%d hosts have a valid claim on the worker, want at most 1", holders)
	}
	running := w.worker.Inspect().Running
	if len(running) > fuzzSlots {
		t.Fatalf("%d tasks run on %d slots", len(running), fuzzSlots)
	}
	for _, r := range running {
		for _, e := range w.expiries {
			if e.epoch == r.Attempt.Epoch && !w.clock(e.host).Before(e.certain) {
				t.Fatalf("task %s of epoch %d still runs after its lease has certainly expired", r.Attempt.Task, e.epoch)
			}
		}
	}
}

// TestClaimsUnderDelaysLossesAndPauses guards against two hosts that hold a worker at the same time, starts outside their window
// or epoch, and tasks that outlive their leases, under arbitrary delays, losses, pauses and clock offsets.
func TestClaimsUnderDelaysLossesAndPauses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		host := rapid.SampledFrom(w.hosts)
		for _, h := range w.hosts {
			w.updateHosts(t, h)
		}
		t.Repeat(map[string]func(*rapid.T){
			"": w.check,
			"pass time": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.Int64Range(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"run":   func(t *rapid.T) { w.run(t, rapid.IntRange(1, 30).Draw(t, "rounds")) },
			"pause": func(t *rapid.T) { h := host.Draw(t, "host"); h.paused = !h.paused },
			"view":  func(t *rapid.T) { w.updateHosts(t, host.Draw(t, "host")) },
			"place": func(t *rapid.T) { w.sendStart(t, host.Draw(t, "host")) },
			"deliver": func(t *rapid.T) {
				if len(w.network) > 0 {
					w.deliver(t, rapid.IntRange(0, len(w.network)-1).Draw(t, "message"))
				}
			},
			"deliver oldest": func(t *rapid.T) {
				if len(w.network) > 0 {
					w.deliver(t, 0)
				}
			},
			"lose": func(t *rapid.T) {
				if len(w.network) > 0 {
					w.loseResponse(t, rapid.IntRange(0, len(w.network)-1).Draw(t, "message"))
				}
			},
		})
	})
}
