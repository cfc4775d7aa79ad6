// Package cwplacement keeps what each worker has free and finds the tightest worker that holds a demand.
package cwplacement

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"currantward/internal/core/cwmodel"
)

// Node is one worker with its free and used capacity.
type Node struct {
	worker      cwmodel.Worker
	free        cwmodel.Resources
	used        cwmodel.Resources
	schedulable bool

	score       float64           // the order in the tree
	most        cwmodel.Resources // largest free capacity in each dimension over the subtree
	priority    uint64
	left, right *Node
}

// NewNode returns a worker that runs nothing and takes nothing yet.
func NewNode(w cwmodel.Worker) *Node {
	return &Node{worker: w, free: w.Capacity, priority: xxhash.Sum64String(string(w.ID))}
}

// Worker returns the worker.
func (n *Node) Worker() *cwmodel.Worker { return &n.worker }

// Free returns what is free; it is negative where running tasks have outgrown the worker.
func (n *Node) Free() cwmodel.Resources { return n.free }

// Used returns what is reserved.
func (n *Node) Used() cwmodel.Resources { return n.used }

// IsSchedulable reports whether the worker takes new work.
func (n *Node) IsSchedulable() bool { return n.schedulable }

// Fleet indexes all open workers by how full they are.
type Fleet struct {
	plain       *Node // tree of open workers without accelerators
	accelerated *Node // tree of open workers with accelerators
	total       cwmodel.Resources
	free        cwmodel.Resources // over open workers
	shapes      []shape

	// AcceleratorReserve is the part of a free accelerator's proportional processors and memory
	// that work without accelerators leaves alone, from 0 to 1.
	AcceleratorReserve float64
	// OnViolation is told of a broken invariant.
	OnViolation func(message string)
}

// shape counts the workers of one capacity.
type shape struct {
	capacity cwmodel.Resources
	workers  int
}

// Add takes a worker into the totals; it stays closed.
func (f *Fleet) Add(n *Node) {
	f.total = f.total.Add(n.worker.Capacity)
	for i := range f.shapes {
		if f.shapes[i].capacity == n.worker.Capacity {
			f.shapes[i].workers++
			return
		}
	}
	f.shapes = append(f.shapes, shape{capacity: n.worker.Capacity, workers: 1})
}

// Remove takes a worker out of the totals.
func (f *Fleet) Remove(n *Node) {
	f.Cordon(n)
	f.total = f.total.Sub(n.worker.Capacity)
	for i := range f.shapes {
		if f.shapes[i].capacity == n.worker.Capacity {
			f.shapes[i].workers--
		}
	}
}

// Total returns the capacity of all workers.
func (f *Fleet) Total() cwmodel.Resources { return f.total }

// Free returns what open workers have free.
func (f *Fleet) Free() cwmodel.Resources { return f.free }

// LargestFree returns what the emptiest open worker has free.
func (f *Fleet) LargestFree() (free cwmodel.Resources) {
	emptiest := last(f.plain)
	if other := last(f.accelerated); emptiest == nil || (other != nil && other.score > emptiest.score) {
		emptiest = other
	}
	if emptiest == nil {
		return free
	}
	return emptiest.free
}

// CanEverFit reports whether any worker, when empty, holds the demand.
func (f *Fleet) CanEverFit(demand cwmodel.Resources) bool {
	for _, s := range f.shapes {
		if s.workers > 0 && demand.FitsIn(s.capacity) {
			return true
		}
	}
	return false
}

// Uncordon lets a worker take new work.
func (f *Fleet) Uncordon(n *Node) {
	if n.schedulable {
		return
	}
	n.schedulable = true
	f.free = f.free.Add(n.free)
	f.link(n)
}

// Cordon keeps new work away from a worker.
func (f *Fleet) Cordon(n *Node) {
	if !n.schedulable {
		return
	}
	f.unlink(n)
	f.free = f.free.Sub(n.free)
	n.schedulable = false
}

// Allocate reserves a demand, which has to fit.
func (f *Fleet) Allocate(n *Node, demand cwmodel.Resources) {
	if !demand.FitsIn(n.free) {
		f.violated(n, "is given more than it has free")
	}
	f.Adjust(n, demand)
}

// Release returns a reservation.
func (f *Fleet) Release(n *Node, demand cwmodel.Resources) {
	if !demand.FitsIn(n.used) {
		f.violated(n, "gets back more than was reserved")
	}
	f.Adjust(n, cwmodel.Resources{}.Sub(demand))
}

// Adjust changes the reservations of a worker by what is known to run there, even if that does not fit.
func (f *Fleet) Adjust(n *Node, delta cwmodel.Resources) {
	if n.schedulable {
		f.unlink(n)
		f.free = f.free.Sub(delta)
	}
	n.free = n.free.Sub(delta)
	n.used = n.used.Add(delta)
	if n.free.Add(n.used) != n.worker.Capacity {
		f.violated(n, "has free and used capacity that do not add up")
	}
	if n.schedulable {
		f.link(n)
	}
}

// Find returns the fullest open worker that holds the demand and that accept, if given, agrees to.
func (f *Fleet) Find(demand cwmodel.Resources, accept func(*Node) bool) *Node {
	if demand.Accelerators > 0 {
		return find(f.accelerated, demand, accept)
	}
	if n := find(f.plain, demand, accept); n != nil {
		return n
	}
	return f.findBesideAccelerators(demand, accept)
}

// findBesideAccelerators returns an accelerated worker whose free accelerators stay usable beside the demand.
func (f *Fleet) findBesideAccelerators(demand cwmodel.Resources, accept func(*Node) bool) *Node {
	if f.AcceleratorReserve <= 0 {
		return find(f.accelerated, demand, accept)
	}
	return find(f.accelerated, demand, func(n *Node) bool {
		return f.leavesAccelerators(n, n.free, demand) && (accept == nil || accept(n))
	})
}

// WouldFit reports whether a worker would take a demand if it had that much free.
func (f *Fleet) WouldFit(n *Node, free, demand cwmodel.Resources) bool {
	if !demand.FitsIn(free) {
		return false
	}
	return demand.Accelerators > 0 || n.worker.Capacity.Accelerators == 0 || f.leavesAccelerators(n, free, demand)
}

func (f *Fleet) leavesAccelerators(n *Node, free, demand cwmodel.Resources) bool {
	part := f.AcceleratorReserve * float64(free.Accelerators) / float64(n.worker.Capacity.Accelerators)
	left := free.Sub(demand)
	return float64(left.MilliProcessors) >= part*float64(n.worker.Capacity.MilliProcessors) &&
		float64(left.MemoryBytes) >= part*float64(n.worker.Capacity.MemoryBytes)
}

func (f *Fleet) violated(n *Node, what string) {
	f.OnViolation(fmt.Sprintf("worker %s %s", n.worker.ID, what))
}

func (f *Fleet) link(n *Node) {
	n.score = freeScore(n)
	if n.worker.Capacity.Accelerators > 0 {
		f.accelerated = insert(f.accelerated, n)
		return
	}
	f.plain = insert(f.plain, n)
}

func (f *Fleet) unlink(n *Node) {
	if n.worker.Capacity.Accelerators > 0 {
		f.accelerated = remove(f.accelerated, n)
		return
	}
	f.plain = remove(f.plain, n)
}

// freeScore adds up the free shares of the dimensions in which a worker has capacity.
func freeScore(n *Node) float64 {
	free, all := &n.free, &n.worker.Capacity
	return share(free.MilliProcessors, all.MilliProcessors) + share(free.MemoryBytes, all.MemoryBytes) +
		share(free.Accelerators, all.Accelerators) + share(free.Slots, all.Slots)
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// LeastAllocated returns the emptiest open worker that could hold the demand once it is empty, or nil.
func (f *Fleet) LeastAllocated(demand cwmodel.Resources) *Node {
	if demand.Accelerators == 0 {
		if n := emptiest(f.plain, demand); n != nil {
			return n
		}
	}
	return emptiest(f.accelerated, demand)
}

// CanEverFitAll reports whether an empty fleet holds all demands at once when the largest are placed first.
func (f *Fleet) CanEverFitAll(demands []cwmodel.Resources) bool {
	sorted := slices.Clone(demands)
	slices.SortStableFunc(sorted, func(a, b cwmodel.Resources) int {
		return cmp.Compare(b.DominantShare(f.total), a.DominantShare(f.total))
	})
	var partial []*Node // used workers
	unused := slices.Clone(f.shapes)
	for _, demand := range sorted {
		if n := fullest(partial, demand); n != nil {
			n.free = n.free.Sub(demand)
			continue
		}
		at := slices.IndexFunc(unused, func(s shape) bool { return s.workers > 0 && demand.FitsIn(s.capacity) })
		if at < 0 {
			return false
		}
		unused[at].workers--
		n := NewNode(cwmodel.Worker{Capacity: unused[at].capacity})
		n.free = n.free.Sub(demand)
		partial = append(partial, n)
	}
	return true
}

// fullest returns the node with the least free score that holds the demand, or nil.
func fullest(nodes []*Node, demand cwmodel.Resources) (best *Node) {
	for _, n := range nodes {
		if demand.FitsIn(n.free) && (best == nil || freeScore(n) < freeScore(best)) {
			best = n
		}
	}
	return best
}
