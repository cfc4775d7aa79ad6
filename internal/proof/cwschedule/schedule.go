package cwschedule

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
)

// Report is what one schedule did.
type Report struct {
	Seed            uint64
	Steps           int
	Requests        int
	StartedAttempts int
	Outcomes        map[cwmodel.Outcome]int
	Violations      []string // each with its step
}

// Sizes and times of a schedule.
const (
	hostCount   = 3
	workerCount = 6
	activeTime  = 15 * time.Second // while faults and requests come
	settleTime  = 30 * time.Second // until everything must be answered
	waves       = 12
	faults      = 8
)

// Run carries out one schedule.
func Run(seed uint64) (report Report) {
	w := &world{rand: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1_000_000, 0), faulty: true}
	w.oracle = &oracle{world: w, requests: map[cwmodel.TaskID]*request{}}
	defer func() {
		if cause := recover(); cause != nil {
			w.oracle.violate("panic: %v", cause)
		}
		report = w.report(seed)
	}()
	w.populate()
	w.plan()
	end := w.now.Add(activeTime + settleTime)
	w.after(activeTime, func() {
		w.faulty = false
		w.awaitQuiet(&end)
	})
	for len(w.queue) > 0 && len(w.oracle.violations) == 0 {
		next := heap.Pop(&w.queue).(event)
		if next.at.After(end) {
			w.oracle.unanswered()
			break
		}
		w.now = next.at
		w.step++
		next.run()
		w.oracle.check()
	}
	return report
}

// awaitQuiet brings the end forward once all is answered and what is still under way has arrived.
func (w *world) awaitQuiet(end *time.Time) {
	if w.oracle.isQuiet() {
		*end = w.now.Add(longestDelay + orderTimeout)
		return
	}
	w.after(time.Second, func() { w.awaitQuiet(end) })
}

func (w *world) report(seed uint64) Report {
	r := Report{Seed: seed, Steps: w.step, Requests: len(w.oracle.order), Outcomes: map[cwmodel.Outcome]int{}, Violations: w.oracle.violations}
	for _, q := range w.oracle.order {
		r.StartedAttempts += q.begun
		if q.answered {
			r.Outcomes[q.outcome]++
		}
	}
	return r
}

// populate adds workers and entry hosts.
func (w *world) populate() {
	for n := range workerCount {
		w.newWorker(n)
	}
	for n := range hostCount {
		h := &host{world: w, id: cwmodel.HostID(fmt.Sprintf("entry-%d", n)), cfg: configuration()}
		w.hosts = append(w.hosts, h)
		h.start()
	}
}

// live returns the hosts that peers take for live.
func (w *world) live() (ids []cwmodel.HostID) {
	for _, h := range w.hosts {
		if w.now.Sub(h.heard) <= silenceLimit {
			ids = append(ids, h.id)
		}
	}
	return ids
}

// plan draws the requests and the faults of the schedule.
func (w *world) plan() {
	for n := range waves {
		size := 1 + w.rand.IntN(12)
		if w.chance(0.15) {
			size *= 8 // a flood
		}
		w.after(w.between(0, activeTime), func() { w.submitWave(n, size) })
	}
	kinds := []func(){w.crashHost, w.pauseHost, w.failWorker, w.cutWorker, w.drainWorker, w.cancelWave}
	for range faults {
		fault := kinds[w.rand.IntN(len(kinds))]
		w.after(w.between(time.Second, activeTime), fault)
	}
}

func (w *world) submitWave(wave, size int) {
	for n := range size {
		h := w.hosts[w.rand.IntN(len(w.hosts))]
		if !h.up {
			continue
		}
		id := cwmodel.TaskID(fmt.Sprintf("task-%d-%d", wave, n))
		profile := h.cfg.Profiles[w.rand.IntN(len(h.cfg.Profiles))]
		t := cwmodel.Task{
			ID: id, Attempt: 1, Profile: profile.Name, Team: "intake", Kind: profile.Kind, ArrivedAt: w.now,
			Deadline: w.now.Add(w.between(100*time.Millisecond, 18*time.Second)), Lease: profile.Lease,
			MaxAttempts: profile.MaxAttempts, Repeatable: profile.Repeatable, Demand: profile.Demand.Scale(1 + w.rand.Int64N(3)),
		}
		r := &request{task: t, runTime: w.runTime(), end: cwmodel.EndDone, host: h, life: h.life, sent: w.now}
		if w.chance(0.1) {
			r.end = []cwmodel.EndKind{cwmodel.EndFailed, cwmodel.EndTransient}[w.rand.IntN(2)]
		}
		w.oracle.requests[id] = r
		w.oracle.order = append(w.oracle.order, r)
		h.run(func() { h.submit(t) })
	}
}

// runTime is short for most requests and long for some.
func (w *world) runTime() time.Duration {
	switch draw := w.rand.Float64(); {
	case draw < 0.1:
		return w.between(3*time.Second, 15*time.Second) // outlives a change of owner
	case draw < 0.3:
		return w.between(200*time.Millisecond, 3*time.Second)
	}
	return w.between(time.Millisecond, 200*time.Millisecond)
}

func (w *world) anyHost() *host     { return w.hosts[w.rand.IntN(len(w.hosts))] }
func (w *world) anyWorker() *worker { return w.workers[w.rand.IntN(len(w.workers))] }

func (w *world) crashHost() {
	h := w.anyHost()
	if !h.up {
		return
	}
	h.crash()
	w.after(w.between(100*time.Millisecond, 5*time.Second), h.start)
}

// pauseHost stops an entry host, often past its claims.
func (w *world) pauseHost() {
	h := w.anyHost()
	h.pausedTo = latest(h.pausedTo, w.now.Add(w.between(100*time.Millisecond, 8*time.Second)))
}

func latest(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }

// failWorker ends a worker for good, but never the last one.
func (w *world) failWorker() {
	up := 0
	for _, other := range w.workers {
		if !other.down {
			up++
		}
	}
	if up > 1 {
		w.anyWorker().down = true
	}
}

func (w *world) cutWorker() {
	chosen := w.anyWorker()
	chosen.cutTo = latest(chosen.cutTo, w.now.Add(w.between(100*time.Millisecond, 6*time.Second)))
}

func (w *world) drainWorker() {
	chosen := w.anyWorker()
	if chosen.leaving.IsZero() {
		chosen.Drain()
		chosen.leaving = w.now
	}
}

// cancelWave cancels many requests at once.
func (w *world) cancelWave() {
	for _, r := range w.oracle.order {
		if !r.answered && w.chance(0.5) {
			h, id := r.host, r.task.ID
			h.run(func() { h.decide(func(now time.Time) { h.decider.Cancel(now, id) }) })
		}
	}
}

// configuration returns the profiles that schedules use; the attempts of filing tempt the decider to repeat it.
func configuration() cwpolicy.Configuration {
	demand := cwmodel.Resources{MilliProcessors: 500, MemoryBytes: 256 << 20, Slots: 1, Connections: 1}
	profile := cwpolicy.Profile{
		Kind: cwmodel.KindRequest, Weight: 1, Ceiling: 1, QueueLimit: 50, Deadline: 5 * time.Second, Lease: 2 * time.Second, Demand: demand,
	}
	cfg := cwpolicy.Configuration{Version: 1, Teams: []cwpolicy.Team{{Name: "intake", Weight: 1}}}
	for _, row := range []struct {
		name       cwmodel.ProfileName
		class      cwmodel.Class
		repeatable bool
		attempts   int
	}{
		{"check", cwmodel.ClassStandard, true, 3},
		{"filing", cwmodel.ClassUrgent, false, 3},
		{"render", cwmodel.ClassBestEffort, true, 2},
	} {
		profile.Name, profile.Class, profile.Repeatable, profile.MaxAttempts = row.name, row.class, row.repeatable, row.attempts
		cfg.Profiles = append(cfg.Profiles, profile)
	}
	return cfg
}
