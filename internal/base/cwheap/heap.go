// Package cwheap provides a binary heap whose items store their index, so that any item can be removed.
package cwheap

// Heap is a priority queue of pointers with the least item first.
type Heap[T any] struct {
	items []*T

	// Less reports whether a sorts before b.
	Less func(a, b *T) bool
	// Index returns the field of an item that stores its index; it is -1 while the item is in no heap.
	Index func(item *T) *int
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.items) }

// Min returns the least item, or nil if the heap is empty.
func (h *Heap[T]) Min() *T {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

// Last returns the item at the last index, which has no children, or nil if the heap is empty. It is not necessarily the
// greatest item.
func (h *Heap[T]) Last() *T {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[len(h.items)-1]
}

// Push adds an item.
func (h *Heap[T]) Push(item *T) {
	h.items = append(h.items, item)
	*h.Index(item) = len(h.items) - 1
	h.up(len(h.items) - 1)
}

// Remove removes an item, which must be in the heap.
func (h *Heap[T]) Remove(item *T) {
	at, last := *h.Index(item), len(h.items)-1
	h.swap(at, last)
	h.items[last] = nil
	h.items = h.items[:last]
	*h.Index(item) = -1
	if at < last {
		h.down(at)
		h.up(at)
	}
}

// swap exchanges the items at two indexes and updates the indexes that they store.
func (h *Heap[T]) swap(a, b int) {
	h.items[a], h.items[b] = h.items[b], h.items[a]
	*h.Index(h.items[a]) = a
	*h.Index(h.items[b]) = b
}

// up moves an item towards the root while it sorts before its parent.
func (h *Heap[T]) up(at int) {
	for at > 0 {
		parent := (at - 1) / 2
		if !h.Less(h.items[at], h.items[parent]) {
			return
		}
		h.swap(at, parent)
		at = parent
	}
}

// down moves an item away from the root while a child sorts before it.
func (h *Heap[T]) down(at int) {
	for {
		least := at
		for child := 2*at + 1; child <= 2*at+2 && child < len(h.items); child++ {
			if h.Less(h.items[child], h.items[least]) {
				least = child
			}
		}
		if least == at {
			return
		}
		h.swap(at, least)
		at = least
	}
}
