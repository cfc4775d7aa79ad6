// Package cwsimulation is a deterministic simulation of entry hosts and workers under random failures.
//
// One goroutine runs all events in the order of a simulated clock, so that a seed gives the same run each time. Faults are injected
// where an entry host calls a worker or a peer.
package cwsimulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"currantward/internal/adapter/cwmemory"
	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwmodel"
)

// event is a function that runs at a simulated time.
type event struct {
	at  time.Time
	seq int // order of creation, for events of the same time
	run func()
}

// events is a heap, ordered by time and then by creation.
type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an event. Package heap calls it.
func (h *events) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes the last event. Package heap calls it.
func (h *events) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// worker is a simulated worker with its injected faults.
type worker struct {
	*cwmemory.Worker
	spec          cwmodel.Worker
	clockSkew     time.Duration // relative to the simulated clock
	grantedEpoch  cwmodel.Epoch // of the latest claim that it granted
	isDead        bool          // has failed permanently
	offlineUntil  time.Time     // unreachable before this time
	drainingSince time.Time     // zero: it does not drain
}

// simulation is a simulated data centre with its clock and event queue.
type simulation struct {
	rand          *rand.Rand
	now           time.Time
	queue         events
	lastSeq       int
	step          int
	hosts         []*host
	workers       []*worker
	oracle        *oracle
	injectsFaults bool // whether calls are delayed, lost, duplicated and refused at random; false once activeTime has elapsed
}

// schedule adds an event that runs after a delay.
func (s *simulation) schedule(d time.Duration, run func()) {
	s.lastSeq++
	heap.Push(&s.queue, event{at: s.now.Add(d), seq: s.lastSeq, run: run})
}

// findWorker returns the worker with an identifier, which must exist.
func (s *simulation) findWorker(id cwmodel.HostID) *worker {
	at := slices.IndexFunc(s.workers, func(o *worker) bool { return o.spec.ID == id })
	return s.workers[at]
}

// randomDuration returns a random duration from least to most, both included.
func (s *simulation) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(s.rand.Int64N(int64(most-least)+1))
}

// randomBool returns true with the given probability.
func (s *simulation) randomBool(p float64) bool { return s.rand.Float64() < p }

// Latencies and probabilities of the simulated network.
const (
	maxSkew              = 20 * time.Millisecond // of a worker's clock, in both directions
	minLatency           = 200 * time.Microsecond
	maxLatency           = 3 * time.Millisecond
	maxDelay             = 4 * time.Second // longer than the lease and the claim
	delayProbability     = 0.02
	dropProbability      = 0.02
	duplicateProbability = 0.02
	refusalProbability   = 0.01 // the connection is refused; nothing was sent
)

// latency returns the random latency of one message. While faults are injected, some messages are delayed beyond maxLatency.
func (s *simulation) latency() time.Duration {
	if s.injectsFaults && s.randomBool(delayProbability) {
		return s.randomDuration(maxLatency, maxDelay)
	}
	return s.randomDuration(minLatency, maxLatency)
}

// callWorker sends a call from a host to a worker. exec executes the call at the worker: once, twice if the network duplicates the
// call, or not at all if the call is lost. handleResponse runs once at the host, unless the host has crashed since.
//
// The code is cwfault.Unavailable if nothing was sent, cwfault.Indefinite if no response arrived within callTimeout, otherwise that of
// the worker's error, empty on success.
func callWorker[T any](h *host, w *worker, exec func() (T, error), handleResponse func(result T, code cwfault.Code)) {
	s := h.sim
	incarnation, isCompleted := h.incarnation, false
	finish := func(result T, code cwfault.Code) {
		h.runStepIn(incarnation, func() {
			if !isCompleted {
				isCompleted = true
				handleResponse(result, code)
			}
		})
	}
	var zero T
	if s.injectsFaults && s.randomBool(refusalProbability) {
		s.schedule(minLatency, func() { finish(zero, cwfault.Unavailable) })
		return
	}
	s.schedule(callTimeout, func() { finish(zero, cwfault.Indefinite) })
	if s.injectsFaults && s.randomBool(duplicateProbability) {
		s.schedule(s.randomDuration(maxLatency, maxDelay), func() {
			if s.isReachable(w) {
				_, _ = exec()
			}
		})
	}
	if s.injectsFaults && s.randomBool(dropProbability) {
		return
	}
	s.schedule(s.latency(), func() {
		if !s.isReachable(w) {
			return
		}
		result, err := exec()
		if s.injectsFaults && s.randomBool(dropProbability) {
			return
		}
		s.schedule(s.latency(), func() { finish(result, cwfault.CodeOf(err)) })
	})
}

// isReachable reports whether calls reach a worker now.
func (s *simulation) isReachable(w *worker) bool { return !w.isDead && !s.now.Before(w.offlineUntil) }

// addWorker adds worker number n to the simulation, with a random clock skew.
func (s *simulation) addWorker(n int) {
	w := &worker{clockSkew: s.randomDuration(-maxSkew, maxSkew)}
	w.spec = cwmodel.Worker{
		ID: cwmodel.HostID(fmt.Sprintf("worker-%d", n)), DataCentre: "khomas-1",
		Capacity: cwmodel.Resources{MilliProcessors: 4000, MemoryBytes: 4 << 30, Slots: 4, Connections: 8},
	}
	w.Worker = cwmemory.NewWorker(cwmemory.WorkerOptions{
		Worker: w.spec, Now: func() time.Time { return s.now.Add(w.clockSkew) },
		PlanExecution: func(t cwmodel.Task) cwmemory.ExecutionPlan { return s.oracle.planExecution(w, t) },
	})
	s.workers = append(s.workers, w)
}
