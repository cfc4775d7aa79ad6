package cwcell

import (
	"github.com/bits-and-blooms/bitset"
)

// freedCapacity records which workers have more free capacity than at the last placement pass, so that an incremental pass
// considers only the groups that may fit on them. Each worker has one bit in the sets.
type freedCapacity struct {
	workers    []*worker     // by bit; nil for an evicted worker
	unusedBits []uint        // bits of evicted workers, for reuse
	freed      bitset.BitSet // workers freed since the present pass began
	thisPass   bitset.BitSet // workers freed before the present pass, which considers them
}

// addWorker assigns a bit in the sets to a worker, one of an evicted worker if available.
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

// removeWorker frees the bit of a worker. Groups whose tickets still refer to the bit are at worst considered needlessly.
func (x *freedCapacity) removeWorker(w *worker) {
	x.workers[w.bit] = nil
	x.unusedBits = append(x.unusedBits, w.bit)
}

// beginPass makes the workers freed since the last pass began those of the present pass, and starts an empty set of freed
// workers.
func (x *freedCapacity) beginPass() {
	x.freed, x.thisPass = x.thisPass, x.freed
	x.freed.ClearAll()
}

// mayFit reports whether one of the freed workers of the present pass may run the group: any worker if the group needs no
// advice, else an eligible one. It does not compare the group's demand with the free capacity.
func (x *freedCapacity) mayFit(g *group) bool {
	if g.advice == nil {
		return x.thisPass.Any()
	}
	return x.thisPass.IntersectionCardinality(&g.advice.bits) > 0
}

// markNewCapacity records that a worker may offer more capacity than before, for example because a run has ended or the
// worker has become usable. The next decision then runs a placement pass.
func (c *Cell) markNewCapacity(w *worker) {
	c.freedCapacity.freed.Set(w.bit)
	c.placementDue = true
}
