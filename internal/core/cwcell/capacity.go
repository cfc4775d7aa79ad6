package cwcell

import (
	"github.com/bits-and-blooms/bitset"
)

// freedCapacity records which workers have more free capacity than at the last pass, so that a pass considers only the
// groups that can run on them.
type freedCapacity struct {
	workers    []*worker // by slot; nil for an evicted worker
	unusedBits []uint    // slots of evicted workers
	freed      bitset.BitSet
	thisPass   bitset.BitSet // the workers of the present pass
}

// addWorker assigns a slot to a worker.
func (x *freedCapacity) addWorker(w *worker) {
	if n := len(x.unusedBits); n > 0 {
		w.bit = x.unusedBits[n-1]
		x.unusedBits = x.unusedBits[:n-1]
		x.workers[w.bit] = w
		return
	}
	w.bit = uint(len(x.workers))
	x.workers = append(x.workers, w)
}

// removeWorker frees the slot of a worker. Groups whose tickets still refer to the slot are at worst considered needlessly.
func (x *freedCapacity) removeWorker(w *worker) {
	x.workers[w.bit] = nil
	x.unusedBits = append(x.unusedBits, w.bit)
}

// beginPass makes the workers freed since the last pass the current ones.
func (x *freedCapacity) beginPass() {
	x.freed, x.thisPass = x.thisPass, x.freed
	x.freed.ClearAll()
}

// mayFit reports whether a group may run on one of the current workers.
func (x *freedCapacity) mayFit(g *group) bool {
	if g.advice == nil {
		return x.thisPass.Any()
	}
	return x.thisPass.IntersectionCardinality(&g.advice.bits) > 0
}

// markFreed records that a worker may have more free capacity than before.
func (c *Cell) markFreed(w *worker) {
	c.freedCapacity.freed.Set(w.bit)
	c.placementDue = true
}
