package cwsimulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
)

// Report is the result of one scenario.
type Report struct {
	Seed            uint64
	Steps           int
	Requests        int
	StartedAttempts int
	Outcomes        map[cwmodel.Outcome]int // number of responses by outcome
	Violations      []string                // each with the step in which it was found
}

// Sizes and durations of a scenario.
const (
	hostCount   = 3
	workerCount = 6
	activeTime  = 15 * time.Second // in which requests and faults are injected
	settleTime  = 30 * time.Second // after activeTime; then every request must have a response
	waveCount   = 12               // bursts of requests
	faultCount  = 8
)

// Run runs the scenario of one seed and stops at the first violation. A panic counts as a violation.
func Run(seed uint64) (report Report) {
	s := &simulation{rand: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1_000_000, 0), injectsFaults: true}
	s.oracle = &oracle{sim: s, requests: map[cwmodel.TaskID]*request{}}
	defer func() {
		if reason := recover(); reason != nil {
			s.oracle.addViolation("panic: %v", reason)
		}
		report = s.buildReport(seed)
	}()
	s.populate()
	s.drawEvents()
	end := s.now.Add(activeTime + settleTime)
	s.schedule(activeTime, func() {
		s.injectsFaults = false
		s.endWhenRequestsEnded(&end)
	})
	for len(s.queue) > 0 && len(s.oracle.violations) == 0 {
		next := heap.Pop(&s.queue).(event)
		if next.at.After(end) {
			s.oracle.checkAllResponded()
			break
		}
		s.now = next.at
		s.step++
		next.run()
		s.oracle.checkRunningTasks()
	}
	return report
}

// endWhenRequestsEnded checks each second whether all requests have ended, and then sets an earlier end of the run. That end leaves
// time for the messages that are still in flight.
func (s *simulation) endWhenRequestsEnded(end *time.Time) {
	if s.oracle.allRequestsEnded() {
		*end = s.now.Add(maxDelay + callTimeout)
		return
	}
	s.schedule(time.Second, func() { s.endWhenRequestsEnded(end) })
}

// buildReport counts the attempts and outcomes of all requests.
func (s *simulation) buildReport(seed uint64) Report {
	r := Report{Seed: seed, Steps: s.step, Requests: len(s.oracle.inSubmissionOrder), Outcomes: map[cwmodel.Outcome]int{}, Violations: s.oracle.violations}
	for _, req := range s.oracle.inSubmissionOrder {
		r.StartedAttempts += req.startedAttempts
		if req.hasResponse {
			r.Outcomes[req.outcome]++
		}
	}
	return r
}

// populate adds the workers and the entry hosts, and starts the hosts.
func (s *simulation) populate() {
	for n := range workerCount {
		s.addWorker(n)
	}
	for n := range hostCount {
		h := &host{sim: s, id: cwmodel.HostID(fmt.Sprintf("entry-%d", n)), cfg: configuration()}
		s.hosts = append(s.hosts, h)
		h.start()
	}
}

// liveHosts returns the entry hosts that their peers consider live.
func (s *simulation) liveHosts() (ids []cwmodel.HostID) {
	for _, h := range s.hosts {
		if s.now.Sub(h.lastHeartbeatAt) <= livenessTimeout {
			ids = append(ids, h.id)
		}
	}
	return ids
}

// drawEvents schedules a random set of requests and faults.
func (s *simulation) drawEvents() {
	for n := range waveCount {
		size := 1 + s.rand.IntN(12)
		if s.randomBool(0.15) {
			size *= 8 // overload
		}
		s.schedule(s.randomDuration(0, activeTime), func() { s.submitWave(n, size) })
	}
	kinds := []func(){s.crashHost, s.pauseHost, s.failWorker, s.disconnectWorker, s.drainWorker, s.cancelWave}
	for range faultCount {
		fault := kinds[s.rand.IntN(len(kinds))]
		s.schedule(s.randomDuration(time.Second, activeTime), fault)
	}
}

// submitWave submits random requests, each to a random host. Requests to a host that is down are left out.
func (s *simulation) submitWave(wave, size int) {
	for n := range size {
		h := s.hosts[s.rand.IntN(len(s.hosts))]
		if !h.isUp {
			continue
		}
		id := cwmodel.TaskID(fmt.Sprintf("task-%d-%d", wave, n))
		profile := h.cfg.Profiles[s.rand.IntN(len(h.cfg.Profiles))]
		t := cwmodel.Task{
			ID: id, NextAttempt: 1, Profile: profile.Name, Team: "intake", Kind: profile.Kind, ArrivedAt: s.now,
			Deadline: s.now.Add(s.randomDuration(100*time.Millisecond, 18*time.Second)), Lease: profile.Lease,
			MaxAttempts: profile.MaxAttempts, Repeatable: profile.Repeatable, Demand: profile.Demand.Scale(1 + s.rand.Int64N(3)),
		}
		r := &request{task: t, runTime: s.drawRunTime(), endKind: cwmodel.EndDone, host: h, incarnation: h.incarnation, sentAt: s.now}
		if s.randomBool(0.1) {
			r.endKind = []cwmodel.EndKind{cwmodel.EndFailed, cwmodel.EndTransient}[s.rand.IntN(2)]
		}
		s.oracle.requests[id] = r
		s.oracle.inSubmissionOrder = append(s.oracle.inSubmissionOrder, r)
		h.runStep(func() { h.submit(t) })
	}
}

// drawRunTime draws a run time that is short for most requests and long for some.
func (s *simulation) drawRunTime() time.Duration {
	switch draw := s.rand.Float64(); {
	case draw < 0.1:
		return s.randomDuration(3*time.Second, 15*time.Second) // longer than a change of owner takes
	case draw < 0.3:
		return s.randomDuration(200*time.Millisecond, 3*time.Second)
	}
	return s.randomDuration(time.Millisecond, 200*time.Millisecond)
}

func (s *simulation) anyHost() *host     { return s.hosts[s.rand.IntN(len(s.hosts))] }
func (s *simulation) anyWorker() *worker { return s.workers[s.rand.IntN(len(s.workers))] }

// crashHost crashes a random host and restarts it later, unless the host is down already.
func (s *simulation) crashHost() {
	h := s.anyHost()
	if !h.isUp {
		return
	}
	h.crash()
	s.schedule(s.randomDuration(100*time.Millisecond, 5*time.Second), h.start)
}

// pauseHost pauses a random entry host, often until its claims have expired.
func (s *simulation) pauseHost() {
	h := s.anyHost()
	h.pausedUntil = latest(h.pausedUntil, s.now.Add(s.randomDuration(100*time.Millisecond, 8*time.Second)))
}

// latest returns the latest of the times.
func latest(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }

// failWorker makes a random worker fail permanently, unless only one has not failed.
func (s *simulation) failWorker() {
	running := 0
	for _, w := range s.workers {
		if !w.isDead {
			running++
		}
	}
	if running > 1 {
		s.anyWorker().isDead = true
	}
}

// disconnectWorker makes a random worker unreachable for a while. Its tasks keep running.
func (s *simulation) disconnectWorker() {
	w := s.anyWorker()
	w.offlineUntil = latest(w.offlineUntil, s.now.Add(s.randomDuration(100*time.Millisecond, 6*time.Second)))
}

// drainWorker starts the drain of a random worker, unless it drains already.
func (s *simulation) drainWorker() {
	w := s.anyWorker()
	if w.drainingSince.IsZero() {
		w.Drain()
		w.drainingSince = s.now
	}
}

// cancelWave cancels about half of the requests that have no response yet.
func (s *simulation) cancelWave() {
	for _, r := range s.oracle.inSubmissionOrder {
		if !r.hasResponse && s.randomBool(0.5) {
			h, id := r.host, r.task.ID
			h.runStep(func() { h.updateDecider(func(now time.Time) { h.decider.Cancel(now, id) }) })
		}
	}
}

// configuration returns the configuration of the scenarios, with one team and three profiles.
//
// The profile "filing" is not repeatable although it allows three attempts. A decider that retries such a task, because it considers
// only MaxAttempts, violates the check in planExecution.
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
