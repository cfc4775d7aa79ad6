package cwcell

import (
	"github.com/bits-and-blooms/bitset"
)

// capacityIndex records which workers have more free capacity than at the last pass, so that a pass considers only the
// groups that can run on them.
type capacityIndex struct {
	workers   []*worker // by slot; nil for an evicted worker
	freeSlots []uint    // slots of evicted workers
	freed     bitset.BitSet
	current   bitset.BitSet // the workers of the present pass
}

// add assigns a slot to a worker.
func (x *capacityIndex) add(w *worker) {
	if n := len(x.freeSlots); n > 0 {
		w.slot = x.freeSlots[n-1]
		x.freeSlots = x.freeSlots[:n-1]
		x.workers[w.slot] = w
		return
	}
	w.slot = uint(len(x.workers))
	x.workers = append(x.workers, w)
}

// remove frees the slot of a worker. Groups whose tickets still refer to the slot are at worst considered needlessly.
func (x *capacityIndex) remove(w *worker) {
	x.workers[w.slot] = nil
	x.freeSlots = append(x.freeSlots, w.slot)
}

// beginPass makes the workers freed since the last pass the current ones.
func (x *capacityIndex) beginPass() {
	x.freed, x.current = x.current, x.freed
	x.freed.ClearAll()
}

// affects reports whether a group may run on one of the current workers.
func (x *capacityIndex) affects(g *group) bool {
	if g.advice == nil {
		return x.current.Any()
	}
	return x.current.IntersectionCardinality(&g.advice.slots) > 0
}

// markFreed records that a worker may have more free capacity than before.
func (c *Cell) markFreed(w *worker) {
	c.capacity.freed.Set(w.slot)
	c.placementDue = true
}
