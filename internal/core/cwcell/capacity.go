package cwcell

import (
	"github.com/bits-and-blooms/bitset"
)

// capacityIndex tells which workers may take more than at the last decision, so that a decision looks only at the groups that
// one of them may run.
type capacityIndex struct {
	workers   []*worker // by slot; nil where the worker was dropped
	freeSlots []uint    // slots of dropped workers
	freed     bitset.BitSet
	current   bitset.BitSet // what the present pass looks at
}

// add gives a worker its slot.
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

// remove gives the slot of a worker back. Groups whose good workers still name the slot are looked at needlessly at worst.
func (x *capacityIndex) remove(w *worker) {
	x.workers[w.slot] = nil
	x.freeSlots = append(x.freeSlots, w.slot)
}

// beginPass begins a pass over what was gained since the last one.
func (x *capacityIndex) beginPass() {
	x.freed, x.current = x.current, x.freed
	x.freed.ClearAll()
}

// affects reports whether a group may run on a worker that has gained room.
func (x *capacityIndex) affects(g *group) bool {
	if g.advice == nil {
		return x.current.Any()
	}
	return x.current.IntersectionCardinality(&g.advice.slots) > 0
}

// markFreed notes that a worker may take more than before.
func (c *Cell) markFreed(w *worker) {
	c.capacity.freed.Set(w.slot)
	c.placementDue = true
}
