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

// TestMain fixes the seed unless the command line states one.
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

// fuzzHost is one entry host: it may be paused, which delays whatever it handles.
type fuzzHost struct {
	id      cwmodel.HostID
	machine *cwclaim.Machine
	offset  time.Duration // of its clock
	paused  bool
	owned   bool
	epoch   cwmodel.Epoch
	hold    cwclaim.Validity
}

// message is one call on its way: first the order, then its answer.
type message struct {
	from    *fuzzHost
	kind    cwclaim.ActionKind
	sent    time.Time // by the clock of its sender
	order   func() (cwclaim.CallResult, error)
	epoch   cwmodel.Epoch
	answer  cwclaim.CallResult
	arrived bool
}

// ending is the word of a host that no task of an epoch runs after a time.
type ending struct {
	host    *fuzzHost
	epoch   cwmodel.Epoch
	certain time.Time
}

// world joins three hosts and one worker by a network that delays, reorders, repeats and loses messages.
type world struct {
	now     time.Time
	window  time.Duration // of orders
	lease   time.Duration // of tasks
	drift   int64         // parts in a thousand by which the worker's clock is fast
	began   time.Time
	hosts   []*fuzzHost
	worker  *cwmemory.Worker
	network []*message
	owner   *fuzzHost // of the newest claim that the worker granted
	epoch   cwmodel.Epoch
	endings []ending
	tasks   int
}

func newWorld(t *rapid.T) *world {
	w := &world{now: time.Unix(100000, 0), drift: rapid.Int64Range(-5, 5).Draw(t, "drift")}
	w.began = w.now
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

func (w *world) workerClock() time.Time {
	elapsed := w.now.Sub(w.began)
	return w.now.Add(17*time.Minute + elapsed*time.Duration(w.drift)/1000)
}

func (w *world) clock(h *fuzzHost) time.Time { return w.now.Add(h.offset) }

// carryOut puts the calls of a host on the network and applies what it decided.
func (w *world) carryOut(h *fuzzHost) {
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
			h.owned, h.epoch, h.hold = true, a.Epoch, a.Validity
		case cwclaim.ActionExtended:
			h.hold = a.Validity
		case cwclaim.ActionLost:
			h.owned = false
			w.endings = append(w.endings, ending{h, a.Epoch, cwclaim.LeaseExpiryBound(a.LastRenewal, w.lease)})
		}
	}
}

// claimBy returns the two calls of a claim: the second follows the answer of the first.
func (w *world) claimBy(h *fuzzHost) func() (cwclaim.CallResult, error) {
	seen := w.worker.Inspect()
	epoch := cwclaim.NextEpoch(seen.Epoch, seen.Clock)
	return func() (cwclaim.CallResult, error) {
		inventory, err := w.worker.Claim(cwport.Claim{Owner: h.id, Epoch: epoch, TTL: ttl})
		if err == nil {
			w.owner, w.epoch = h, epoch
		}
		return cwclaim.CallResult{Epoch: inventory.Epoch, Clock: inventory.Clock}, err
	}
}

func (w *world) send(h *fuzzHost, kind cwclaim.ActionKind, epoch cwmodel.Epoch, order func() (cwclaim.CallResult, error)) {
	w.network = append(w.network, &message{from: h, kind: kind, sent: w.clock(h), order: order, epoch: epoch})
}

// place sends a start order if the host believes that its claim holds.
func (w *world) place(t *rapid.T, h *fuzzHost) {
	now := w.clock(h)
	if !h.owned || !now.Before(h.hold.Until) {
		return
	}
	w.tasks++
	attempt := cwmodel.Attempt{Task: cwmodel.TaskID(fmt.Sprint(w.tasks)), Number: 1, Worker: fuzzWorker, Epoch: h.epoch}
	latest := now.Add(w.window)
	order := cwport.StartRequest{
		Task:    cwmodel.Task{ID: attempt.Task, Demand: cwmodel.Resources{Slots: 1}, Lease: w.lease},
		Attempt: attempt, NotAfter: h.hold.Clock.Earliest(latest),
	}
	w.send(h, "start", h.epoch, func() (cwclaim.CallResult, error) {
		before := w.worker.Begun()
		_, err := w.worker.Start(order)
		if w.worker.Begun() == before {
			return cwclaim.CallResult{}, err
		}
		if w.owner != h || w.epoch != attempt.Epoch {
			t.Fatalf("%s began a task under epoch %d while %s owns the worker under %d", h.id, attempt.Epoch, w.owner.id, w.epoch)
		}
		if w.clock(h).After(latest) {
			t.Fatalf("%s began a task %v after its latest time", h.id, w.clock(h).Sub(latest))
		}
		return cwclaim.CallResult{}, err
	})
}

// deliver moves one message on: to the worker, or its answer back to the sender.
func (w *world) deliver(t *rapid.T, n int) {
	m := w.network[n]
	if !m.arrived {
		answer, err := m.order()
		answer.Code = cwfault.CodeOf(err)
		m.answer, m.arrived = answer, true
		return
	}
	w.network = append(w.network[:n:n], w.network[n+1:]...)
	w.finish(m)
	w.check(t)
}

func (w *world) finish(m *message) {
	now := w.clock(m.from)
	m.answer.Sent, m.answer.Received = m.sent, now
	switch m.kind {
	case cwclaim.ActionClaim:
		m.from.machine.HandleClaim(now, fuzzWorker, m.answer)
	case cwclaim.ActionRenew:
		m.from.machine.HandleRenewal(now, fuzzWorker, m.epoch, m.answer)
	case cwclaim.ActionRelease:
		m.from.machine.HandleRelease(now, fuzzWorker)
	}
	w.carryOut(m.from)
}

// lose drops an answer; its sender sees a timeout, and the order itself may still arrive later.
func (w *world) lose(t *rapid.T, n int) {
	m := w.network[n]
	lost := *m
	lost.answer = cwclaim.CallResult{Code: cwfault.Indefinite}
	if m.arrived || rapid.Bool().Draw(t, "order lost too") {
		w.network = append(w.network[:n:n], w.network[n+1:]...)
	} else {
		m.kind = "forgotten"
	}
	w.finish(&lost)
}

// run lets all hosts that are not paused work for a while over a good network.
func (w *world) run(t *rapid.T, rounds int) {
	for range rounds {
		w.now = w.now.Add(300 * time.Millisecond)
		for _, h := range w.hosts {
			if h.paused {
				continue
			}
			h.machine.Tick(w.clock(h))
			w.carryOut(h)
			w.place(t, h)
		}
		for n := len(w.network) - 1; n >= 0; n-- {
			if m := w.network[n]; !m.from.paused && m.kind != "forgotten" {
				w.deliver(t, n)
			}
		}
		w.check(t)
	}
}

// view shows a host some of the others and the state of the worker.
func (w *world) view(t *rapid.T, h *fuzzHost) {
	live := []cwmodel.HostID{h.id}
	for _, other := range w.hosts {
		if other != h && rapid.Bool().Draw(t, "live") {
			live = append(live, other.id)
		}
	}
	state := rapid.SampledFrom([]cwmodel.HostState{cwmodel.HostLive, cwmodel.HostLive, cwmodel.HostLeaving}).Draw(t, "state")
	h.machine.UpdateHosts(w.clock(h), []cwmodel.Host{{ID: fuzzWorker, State: state}}, live)
	w.carryOut(h)
}

// check asserts what must hold whatever happens.
func (w *world) check(t *rapid.T) {
	holders := 0
	for _, h := range w.hosts {
		if h.owned && w.clock(h).Before(h.hold.Until) {
			holders++
		}
	}
	if holders > 1 {
		t.Fatalf("%d hosts hold the worker", holders)
	}
	running := w.worker.Inspect().Running
	if len(running) > fuzzSlots {
		t.Fatalf("%d tasks run on %d slots", len(running), fuzzSlots)
	}
	for _, r := range running {
		for _, e := range w.endings {
			if e.epoch == r.Attempt.Epoch && !w.clock(e.host).Before(e.certain) {
				t.Fatalf("task %s of epoch %d runs after its end was certain", r.Attempt.Task, e.epoch)
			}
		}
	}
}

func TestClaimsUnderDelaysLossesAndPauses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		host := rapid.SampledFrom(w.hosts)
		for _, h := range w.hosts {
			w.view(t, h)
		}
		t.Repeat(map[string]func(*rapid.T){
			"": w.check,
			"pass time": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.Int64Range(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"run":   func(t *rapid.T) { w.run(t, rapid.IntRange(1, 30).Draw(t, "rounds")) },
			"pause": func(t *rapid.T) { h := host.Draw(t, "host"); h.paused = !h.paused },
			"view":  func(t *rapid.T) { w.view(t, host.Draw(t, "host")) },
			"place": func(t *rapid.T) { w.place(t, host.Draw(t, "host")) },
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
					w.lose(t, rapid.IntRange(0, len(w.network)-1).Draw(t, "message"))
				}
			},
		})
	})
}
