// Package cwsimulation runs the state machines of entry hosts and workers through seeded schedules of failures.
//
// One goroutine carries out all events in the order of a simulated clock, so that a seed gives the same
// run each time. Faults are injected where an entry host calls a worker or a peer.
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

// event is one thing that happens at a simulated time.
type event struct {
	at  time.Time
	seq int
	run func()
}

// events is a heap ordered by time, then by the order of their creation.
type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an event; it is called by package heap.
func (h *events) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes the last event; it is called by package heap.
func (h *events) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// worker is a worker with what the simulation knows of it.
type worker struct {
	*cwmemory.Worker
	about   cwmodel.Worker
	skew    time.Duration // of its clock
	granted cwmodel.Epoch // the largest that it granted
	down    bool          // failed for good
	cutTo   time.Time     // unreachable until then
	leaving time.Time     // zero unless it drains
}

// world is one simulated data centre.
type world struct {
	rand    *rand.Rand
	now     time.Time
	queue   events
	seq     int
	step    int
	hosts   []*host
	workers []*worker
	oracle  *oracle
	faulty  bool // whether calls fail at random
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now.Add(d), seq: w.seq, run: run})
}

func (w *world) workerOf(id cwmodel.HostID) *worker {
	at := slices.IndexFunc(w.workers, func(o *worker) bool { return o.about.ID == id })
	return w.workers[at]
}

// between returns a random duration.
func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.rand.Int64N(int64(most-least)+1))
}

// chance reports true with the given probability.
func (w *world) chance(p float64) bool { return w.rand.Float64() < p }

// Latencies and probabilities of the simulated network.
const (
	maxSkew       = 20 * time.Millisecond
	fastest       = 200 * time.Microsecond
	slowest       = 3 * time.Millisecond
	longestDelay  = 4 * time.Second // beyond the lease and the claim
	delayChance   = 0.02
	dropChance    = 0.02
	repeatChance  = 0.02
	refusedChance = 0.01 // the connection is refused; nothing was sent
)

func (w *world) latency() time.Duration {
	if w.faulty && w.chance(delayChance) {
		return w.between(slowest, longestDelay)
	}
	return w.between(fastest, slowest)
}

// call carries an order to a worker; exec runs there, reply runs at the sender, once.
//
// An order that was never sent fails with cwfault.Unavailable, a lost one with cwfault.Indefinite.
func call[T any](h *host, to *worker, exec func() (T, error), reply func(answer T, code cwfault.Code)) {
	w := h.world
	life, isOver := h.life, false
	finish := func(answer T, code cwfault.Code) {
		h.runIn(life, func() {
			if !isOver {
				isOver = true
				reply(answer, code)
			}
		})
	}
	var none T
	if w.faulty && w.chance(refusedChance) {
		w.after(fastest, func() { finish(none, cwfault.Unavailable) })
		return
	}
	w.after(orderTimeout, func() { finish(none, cwfault.Indefinite) })
	if w.faulty && w.chance(repeatChance) {
		w.after(w.between(slowest, longestDelay), func() {
			if w.reaches(to) {
				_, _ = exec()
			}
		})
	}
	if w.faulty && w.chance(dropChance) {
		return
	}
	w.after(w.latency(), func() {
		if !w.reaches(to) {
			return
		}
		answer, err := exec()
		if w.faulty && w.chance(dropChance) {
			return
		}
		w.after(w.latency(), func() { finish(answer, cwfault.CodeOf(err)) })
	})
}

// reaches reports whether orders get to a worker now.
func (w *world) reaches(to *worker) bool { return !to.down && !w.now.Before(to.cutTo) }

// newWorker adds a worker to the world.
func (w *world) newWorker(n int) {
	added := &worker{skew: w.between(-maxSkew, maxSkew)}
	added.about = cwmodel.Worker{
		ID: cwmodel.HostID(fmt.Sprintf("worker-%d", n)), DataCentre: "khomas-1",
		Capacity: cwmodel.Resources{MilliProcessors: 4000, MemoryBytes: 4 << 30, Slots: 4, Connections: 8},
	}
	added.Worker = cwmemory.NewWorker(cwmemory.WorkerOptions{
		Worker: added.about, Now: func() time.Time { return w.now.Add(added.skew) },
		PlanExecution: func(t cwmodel.Task) cwmemory.ExecutionPlan { return w.oracle.begin(added, t) },
	})
	w.workers = append(w.workers, added)
}
