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
	s := &simulation{now: time.Unix(100000, 0), drift: rapid.Int64Range(-5, 5).Draw(t, "drift")}
	s.startedAt = s.now
	s.window = rapid.SampledFrom([]time.Duration{ttl / 3, 3 * ttl}).Draw(t, "window")
	s.lease = time.Duration(rapid.IntRange(1, 10).Draw(t, "lease")) * time.Second
	s.worker = cwmemory.NewWorker(cwmemory.WorkerOptions{
		Worker: cwmodel.Worker{ID: fuzzWorker, Capacity: cwmodel.Resources{Slots: fuzzSlots}}, Now: s.workerClock,
		PlanExecution: func(cwmodel.Task) cwmemory.ExecutionPlan { return cwmemory.ExecutionPlan{} },
	})
	for n, id := range []cwmodel.HostID{"a", "b", "c"} {
		opts := cwclaim.DefaultOptions(id, ttl)
		opts.Seed, opts.RequestWindow = uint64(n), s.window
		offset := time.Duration(rapid.Int64Range(-3600, 3600).Draw(t, "offset")) * time.Second
		s.hosts = append(s.hosts, &fuzzHost{id: id, machine: cwclaim.New(opts), offset: offset})
	}
	return s
}

func (s *simulation) workerClock() time.Time {
	elapsed := s.now.Sub(s.startedAt)
	return s.now.Add(17*time.Minute + elapsed*time.Duration(s.drift)/1000)
}

func (s *simulation) clock(h *fuzzHost) time.Time { return s.now.Add(h.offset) }

// execute sends the calls of a host and applies its other actions.
func (s *simulation) execute(h *fuzzHost) {
	for _, a := range h.machine.Actions() {
		switch a.Kind {
		case cwclaim.ActionClaim:
			s.send(h, a.Kind, 0, s.claimBy(h))
		case cwclaim.ActionRenew:
			heartbeat := cwport.Heartbeat{Epoch: a.Epoch, TTL: ttl, NotAfter: a.NotAfter}
			s.send(h, a.Kind, a.Epoch, func() (cwclaim.CallResult, error) {
				renewal, err := s.worker.Heartbeat(heartbeat)
				return cwclaim.CallResult{Clock: renewal.Clock}, err
			})
		case cwclaim.ActionRelease:
			epoch := a.Epoch
			s.send(h, a.Kind, epoch, func() (cwclaim.CallResult, error) { return cwclaim.CallResult{}, s.worker.Release(epoch) })
		case cwclaim.ActionAcquired:
			h.owned, h.epoch, h.validity = true, a.Epoch, a.Validity
		case cwclaim.ActionExtended:
			h.validity = a.Validity
		case cwclaim.ActionLost:
			h.owned = false
			s.expiries = append(s.expiries, expiry{h, a.Epoch, cwclaim.LeaseExpiryBound(a.LastRenewal, s.lease)})
		}
	}
}

// claimBy performs the first call of a claim, an inspection, and returns the second.
func (s *simulation) claimBy(h *fuzzHost) func() (cwclaim.CallResult, error) {
	inventory := s.worker.Inspect()
	epoch := cwclaim.NextEpoch(inventory.Epoch, inventory.Clock)
	return func() (cwclaim.CallResult, error) {
		inventory, err := s.worker.Claim(cwport.Claim{Owner: h.id, Epoch: epoch, TTL: ttl})
		if err == nil {
			s.owner, s.epoch = h, epoch
		}
		return cwclaim.CallResult{Epoch: inventory.Epoch, Clock: inventory.Clock}, err
	}
}

func (s *simulation) send(h *fuzzHost, kind cwclaim.ActionKind, epoch cwmodel.Epoch, call func() (cwclaim.CallResult, error)) {
	s.network = append(s.network, &message{from: h, kind: kind, sent: s.clock(h), call: call, epoch: epoch})
}

// sendStart sends a start request if the host considers its claim valid.
func (s *simulation) sendStart(t *rapid.T, h *fuzzHost) {
	now := s.clock(h)
	if !h.owned || !now.Before(h.validity.Until) {
		return
	}
	s.tasks++
	attempt := cwmodel.Attempt{Task: cwmodel.TaskID(fmt.Sprint(s.tasks)), Number: 1, Worker: fuzzWorker, Epoch: h.epoch}
	latest := now.Add(s.window)
	request := cwport.StartRequest{
		Task:    cwmodel.Task{ID: attempt.Task, Demand: cwmodel.Resources{Slots: 1}, Lease: s.lease},
		Attempt: attempt, NotAfter: h.validity.Clock.Earliest(latest),
	}
	s.send(h, "start", h.epoch, func() (cwclaim.CallResult, error) {
		before := s.worker.StartedAttempts()
		_, err := s.worker.Start(request)
		if s.worker.StartedAttempts() == before {
			return cwclaim.CallResult{}, err
		}
		if s.owner != h || s.epoch != attempt.Epoch {
			t.Fatalf("%s started a task under epoch %d while %s owns the worker under %d", h.id, attempt.Epoch, s.owner.id, s.epoch)
		}
		if s.clock(h).After(latest) {
			t.Fatalf("%s started a task %v after its latest start time", h.id, s.clock(h).Sub(latest))
		}
		return cwclaim.CallResult{}, err
	})
}

// deliver delivers a request to the worker, or a response to the sender.
func (s *simulation) deliver(t *rapid.T, n int) {
	m := s.network[n]
	if !m.arrived {
		result, err := m.call()
		result.Code = cwfault.CodeOf(err)
		m.result, m.arrived = result, true
		return
	}
	s.network = append(s.network[:n:n], s.network[n+1:]...)
	s.handleResponse(m)
	s.check(t)
}

func (s *simulation) handleResponse(m *message) {
	now := s.clock(m.from)
	m.result.Sent, m.result.Received = m.sent, now
	switch m.kind {
	case cwclaim.ActionClaim:
		m.from.machine.HandleClaim(now, fuzzWorker, m.result)
	case cwclaim.ActionRenew:
		m.from.machine.HandleRenewal(now, fuzzWorker, m.epoch, m.result)
	case cwclaim.ActionRelease:
		m.from.machine.HandleRelease(now, fuzzWorker)
	}
	s.execute(m.from)
}

// loseResponse drops a response: the sender times out, while the request itself may still arrive later.
func (s *simulation) loseResponse(t *rapid.T, n int) {
	m := s.network[n]
	lost := *m
	lost.result = cwclaim.CallResult{Code: cwfault.Indefinite}
	if m.arrived || rapid.Bool().Draw(t, "order lost too") {
		s.network = append(s.network[:n:n], s.network[n+1:]...)
	} else {
		m.kind = "forgotten"
	}
	s.handleResponse(&lost)
}

// run runs all hosts that are not paused for some rounds over a network without faults.
func (s *simulation) run(t *rapid.T, rounds int) {
	for range rounds {
		s.now = s.now.Add(300 * time.Millisecond)
		for _, h := range s.hosts {
			if h.paused {
				continue
			}
			h.machine.Tick(s.clock(h))
			s.execute(h)
			s.sendStart(t, h)
		}
		for n := len(s.network) - 1; n >= 0; n-- {
			if m := s.network[n]; !m.from.paused && m.kind != "forgotten" {
				s.deliver(t, n)
			}
		}
		s.check(t)
	}
}

// updateHosts reports the worker's state and a random subset of the other hosts to a host.
func (s *simulation) updateHosts(t *rapid.T, h *fuzzHost) {
	live := []cwmodel.HostID{h.id}
	for _, other := range s.hosts {
		if other != h && rapid.Bool().Draw(t, "live") {
			live = append(live, other.id)
		}
	}
	state := rapid.SampledFrom([]cwmodel.HostState{cwmodel.HostLive, cwmodel.HostLive, cwmodel.HostLeaving}).Draw(t, "state")
	h.machine.UpdateHosts(s.clock(h), []cwmodel.Host{{ID: fuzzWorker, State: state}}, live)
	s.execute(h)
}

// check asserts the safety invariants.
func (s *simulation) check(t *rapid.T) {
	holders := 0
	for _, h := range s.hosts {
		if h.owned && s.clock(h).Before(h.validity.Until) {
			holders++
		}
	}
	if holders > 1 {
		t.Fatalf("%d hosts have a valid claim on the worker, want at most 1", holders)
	}
	running := s.worker.Inspect().Running
	if len(running) > fuzzSlots {
		t.Fatalf("%d tasks run on %d slots", len(running), fuzzSlots)
	}
	for _, r := range running {
		for _, e := range s.expiries {
			if e.epoch == r.Attempt.Epoch && !s.clock(e.host).Before(e.certain) {
				t.Fatalf("task %s of epoch %d still runs after its lease has certainly expired", r.Attempt.Task, e.epoch)
			}
		}
	}
}

// TestClaimsUnderDelaysLossesAndPauses guards against two hosts that hold a worker at the same time, starts outside their window
// or epoch, and tasks that outlive their leases, under arbitrary delays, losses, pauses and clock offsets.
func TestClaimsUnderDelaysLossesAndPauses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		host := rapid.SampledFrom(s.hosts)
		for _, h := range s.hosts {
			s.updateHosts(t, h)
		}
		t.Repeat(map[string]func(*rapid.T){
			"": s.check,
			"pass time": func(t *rapid.T) {
				s.now = s.now.Add(time.Duration(rapid.Int64Range(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"run":   func(t *rapid.T) { s.run(t, rapid.IntRange(1, 30).Draw(t, "rounds")) },
			"pause": func(t *rapid.T) { h := host.Draw(t, "host"); h.paused = !h.paused },
			"view":  func(t *rapid.T) { s.updateHosts(t, host.Draw(t, "host")) },
			"place": func(t *rapid.T) { s.sendStart(t, host.Draw(t, "host")) },
			"deliver": func(t *rapid.T) {
				if len(s.network) > 0 {
					s.deliver(t, rapid.IntRange(0, len(s.network)-1).Draw(t, "message"))
				}
			},
			"deliver oldest": func(t *rapid.T) {
				if len(s.network) > 0 {
					s.deliver(t, 0)
				}
			},
			"lose": func(t *rapid.T) {
				if len(s.network) > 0 {
					s.loseResponse(t, rapid.IntRange(0, len(s.network)-1).Draw(t, "message"))
				}
			},
		})
	})
}
