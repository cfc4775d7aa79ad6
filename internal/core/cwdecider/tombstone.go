package cwdecider

import "currantward/internal/core/cwmodel"

// tombstones records the latest cancellations that arrived before their tasks, so that a late submission is rejected.
type tombstones struct {
	ids  map[cwmodel.TaskID]struct{}
	ring []cwmodel.TaskID // the same identifiers in order of arrival
	next int              // index in ring of the oldest, which the next one replaces once the ring is full
}

// maxTombstones bounds the memory of early cancellations.
const maxTombstones = 4096

// add records a cancellation and forgets the oldest one if there are too many.
func (t *tombstones) add(id cwmodel.TaskID) {
	if t.ids == nil {
		t.ids = make(map[cwmodel.TaskID]struct{}, maxTombstones)
	}
	if _, ok := t.ids[id]; ok {
		return
	}
	t.ids[id] = struct{}{}
	if len(t.ring) < maxTombstones {
		t.ring = append(t.ring, id)
		return
	}
	delete(t.ids, t.ring[t.next])
	t.ring[t.next] = id
	t.next = (t.next + 1) % maxTombstones
}

// has reports whether a task was cancelled before it was submitted.
func (t *tombstones) has(id cwmodel.TaskID) bool {
	_, ok := t.ids[id]
	return ok
}
