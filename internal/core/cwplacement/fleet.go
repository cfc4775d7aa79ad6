// Package cwplacement tracks the free capacity of each worker and finds the best-fitting worker for a demand.
package cwplacement

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"currantward/internal/core/cwmodel"
)

// Node is a worker with its free and allocated capacity. A schedulable node is linked into one tree of a Fleet.
type Node struct {
	worker      cwmodel.Worker
	free        cwmodel.Resources
	used        cwmodel.Resources
	schedulable bool

	freeScore   float64           // position in the tree: the value of freeScore when it was linked
	maxFree     cwmodel.Resources // largest free capacity in each dimension over the subtree
	priority    uint64            // heap order in the tree: a hash of the worker's ID, to balance the tree
	left, right *Node
}

// NewNode returns the node of a worker, unused and cordoned.
func NewNode(w cwmodel.Worker) *Node {
	return &Node{worker: w, free: w.Capacity, priority: xxhash.Sum64String(string(w.ID))}
}

// Worker returns the worker.
func (n *Node) Worker() *cwmodel.Worker { return &n.worker }

// Free returns the free capacity, which is negative where the running tasks use more than the worker's capacity.
func (n *Node) Free() cwmodel.Resources { return n.free }

// Used returns the allocated capacity.
func (n *Node) Used() cwmodel.Resources { return n.used }

// IsSchedulable reports whether the worker accepts new tasks.
func (n *Node) IsSchedulable() bool { return n.schedulable }

// Fleet indexes all schedulable workers by their free capacity.
type Fleet struct {
	general        *Node // tree of schedulable workers without accelerators
	accelerated    *Node // tree of schedulable workers with accelerators
	total          cwmodel.Resources
	free           cwmodel.Resources // sum over schedulable workers
	capacityCounts []capacityCount

	// AcceleratorReserve is the part, from 0 to 1, of the processors and memory in proportion to the free
	// accelerators of a worker that tasks without accelerators must leave free.
	AcceleratorReserve float64
	// OnViolation is called with the description of a broken invariant.
	OnViolation func(message string)
}

// capacityCount is the number of workers with the same total capacity.
type capacityCount struct {
	capacity cwmodel.Resources
	workers  int
}

// Add adds a worker to the totals. It gets no tasks until it is uncordoned.
func (f *Fleet) Add(n *Node) {
	f.total = f.total.Add(n.worker.Capacity)
	for i := range f.capacityCounts {
		if f.capacityCounts[i].capacity == n.worker.Capacity {
			f.capacityCounts[i].workers++
			return
		}
	}
	f.capacityCounts = append(f.capacityCounts, capacityCount{capacity: n.worker.Capacity, workers: 1})
}

// Remove cordons a worker and removes it from the totals.
func (f *Fleet) Remove(n *Node) {
	f.Cordon(n)
	f.total = f.total.Sub(n.worker.Capacity)
	for i := range f.capacityCounts {
		if f.capacityCounts[i].capacity == n.worker.Capacity {
			f.capacityCounts[i].workers--
		}
	}
}

// Total returns the capacity of all workers.
func (f *Fleet) Total() cwmodel.Resources { return f.total }

// Free returns the free capacity of all schedulable workers.
func (f *Fleet) Free() cwmodel.Resources { return f.free }

// LargestFree returns the free capacity of the schedulable worker with the highest free score, or zero without workers.
func (f *Fleet) LargestFree() (free cwmodel.Resources) {
	best := rightmost(f.general)
	if other := rightmost(f.accelerated); best == nil || (other != nil && other.freeScore > best.freeScore) {
		best = other
	}
	if best == nil {
		return free
	}
	return best.free
}

// CanEverFit reports whether some worker, schedulable or not, is large enough for the demand when it is empty.
func (f *Fleet) CanEverFit(demand cwmodel.Resources) bool {
	for _, s := range f.capacityCounts {
		if s.workers > 0 && demand.FitsIn(s.capacity) {
			return true
		}
	}
	return false
}

// Uncordon makes a worker available to new tasks.
func (f *Fleet) Uncordon(n *Node) {
	if n.schedulable {
		return
	}
	n.schedulable = true
	f.free = f.free.Add(n.free)
	f.linkNode(n)
}

// Cordon makes a worker unavailable to new tasks; its running tasks stay.
func (f *Fleet) Cordon(n *Node) {
	if !n.schedulable {
		return
	}
	f.unlinkNode(n)
	f.free = f.free.Sub(n.free)
	n.schedulable = false
}

// Allocate allocates a demand on a worker, where it must fit.
func (f *Fleet) Allocate(n *Node, demand cwmodel.Resources) {
	if !demand.FitsIn(n.free) {
		f.reportViolation(n, "is given more than it has free")
	}
	f.Adjust(n, demand)
}

// Release releases a demand that is allocated on a worker.
func (f *Fleet) Release(n *Node, demand cwmodel.Resources) {
	if !demand.FitsIn(n.used) {
		f.reportViolation(n, "gets back more than was reserved")
	}
	f.Adjust(n, cwmodel.Resources{}.Sub(demand))
}

// Adjust adds delta to the allocations of a worker, even if it does not fit: it records usage that already exists.
func (f *Fleet) Adjust(n *Node, delta cwmodel.Resources) {
	if n.schedulable {
		f.unlinkNode(n)
		f.free = f.free.Sub(delta)
	}
	n.free = n.free.Sub(delta)
	n.used = n.used.Add(delta)
	if n.free.Add(n.used) != n.worker.Capacity {
		f.reportViolation(n, "has free and used capacity that do not add up")
	}
	if n.schedulable {
		f.linkNode(n)
	}
}

// Find returns a schedulable worker that fits the demand, or nil: of the most allocated ones, the worker whose remaining
// capacity would be the least fragmented. accept filters the workers; nil accepts all.
// A demand without accelerators gets a worker with accelerators only if no other worker fits it.
func (f *Fleet) Find(demand cwmodel.Resources, accept func(*Node) bool) *Node {
	if demand.Accelerators > 0 {
		return find(f.accelerated, demand, accept)
	}
	if n := find(f.general, demand, accept); n != nil {
		return n
	}
	return f.findOnAccelerated(demand, accept)
}

// findOnAccelerated returns a worker with accelerators for a demand without any, or nil. Unless AcceleratorReserve is zero,
// the worker keeps enough processors and memory for its free accelerators.
func (f *Fleet) findOnAccelerated(demand cwmodel.Resources, accept func(*Node) bool) *Node {
	if f.AcceleratorReserve <= 0 {
		return find(f.accelerated, demand, accept)
	}
	return find(f.accelerated, demand, func(n *Node) bool {
		return f.keepsAcceleratorReserve(n, n.free, demand) && (accept == nil || accept(n))
	})
}

// WouldFit reports whether a demand would fit a worker that had the given capacity free.
func (f *Fleet) WouldFit(n *Node, free, demand cwmodel.Resources) bool {
	if !demand.FitsIn(free) {
		return false
	}
	return demand.Accelerators > 0 || n.worker.Capacity.Accelerators == 0 || f.keepsAcceleratorReserve(n, free, demand)
}

// keepsAcceleratorReserve reports whether a worker that has the given capacity free keeps the accelerator reserve after a
// placement of the demand.
func (f *Fleet) keepsAcceleratorReserve(n *Node, free, demand cwmodel.Resources) bool {
	reserve := f.AcceleratorReserve * float64(free.Accelerators) / float64(n.worker.Capacity.Accelerators)
	left := free.Sub(demand)
	return float64(left.MilliProcessors) >= reserve*float64(n.worker.Capacity.MilliProcessors) &&
		float64(left.MemoryBytes) >= reserve*float64(n.worker.Capacity.MemoryBytes)
}

// reportViolation reports a broken invariant of a worker.
func (f *Fleet) reportViolation(n *Node, fault string) {
	f.OnViolation(fmt.Sprintf("worker %s %s", n.worker.ID, fault))
}

// linkNode inserts a node into its tree by its present free score.
func (f *Fleet) linkNode(n *Node) {
	n.freeScore = freeScore(n)
	if n.worker.Capacity.Accelerators > 0 {
		f.accelerated = insert(f.accelerated, n)
		return
	}
	f.general = insert(f.general, n)
}

// unlinkNode removes a node from its tree. Its free score must not have changed since it was linked.
func (f *Fleet) unlinkNode(n *Node) {
	if n.worker.Capacity.Accelerators > 0 {
		f.accelerated = remove(f.accelerated, n)
		return
	}
	f.general = remove(f.general, n)
}

// freeScore returns the sum of the free shares of processors, memory, accelerators and slots; the higher, the less is
// allocated. A dimension in which the worker has no capacity counts as 0.
func freeScore(n *Node) float64 {
	free, all := &n.free, &n.worker.Capacity
	return share(free.MilliProcessors, all.MilliProcessors) + share(free.MemoryBytes, all.MemoryBytes) +
		share(free.Accelerators, all.Accelerators) + share(free.Slots, all.Slots)
}

// share returns part/whole, or 0 if whole is not positive.
func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// LeastAllocated returns the schedulable worker with the highest free score whose total capacity is large enough for the
// demand, or nil. A demand without accelerators gets a worker with accelerators only if no other is large enough.
func (f *Fleet) LeastAllocated(demand cwmodel.Resources) *Node {
	if demand.Accelerators == 0 {
		if n := leastAllocated(f.general, demand); n != nil {
			return n
		}
	}
	return leastAllocated(f.accelerated, demand)
}

// CanEverFitAll reports whether all demands fit on the workers at once if all workers are empty and the largest demands are
// placed first.
func (f *Fleet) CanEverFitAll(demands []cwmodel.Resources) bool {
	sorted := slices.Clone(demands)
	slices.SortStableFunc(sorted, func(a, b cwmodel.Resources) int {
		return cmp.Compare(b.DominantShare(f.total), a.DominantShare(f.total))
	})
	var partial []*Node // workers with a demand placed on them
	unused := slices.Clone(f.capacityCounts)
	for _, demand := range sorted {
		if n := mostAllocated(partial, demand); n != nil {
			n.free = n.free.Sub(demand)
			continue
		}
		at := slices.IndexFunc(unused, func(s capacityCount) bool { return s.workers > 0 && demand.FitsIn(s.capacity) })
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

// mostAllocated returns the node with the lowest free score on which the demand fits, or nil.
func mostAllocated(nodes []*Node, demand cwmodel.Resources) (best *Node) {
	for _, n := range nodes {
		if demand.FitsIn(n.free) && (best == nil || freeScore(n) < freeScore(best)) {
			best = n
		}
	}
	return best
}
