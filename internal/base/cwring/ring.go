// Package cwring provides the bounded rings that join the duties of a process.
package cwring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded first-in-first-out queue with many producers and one consumer.
//
// Its slots hold pointers, so that a ring which is seldom full costs eight bytes a slot.
type Ring[T any] struct {
	slots   chan *T
	refused atomic.Uint64
}

// New returns an empty ring that holds at most capacity items; a capacity below one becomes one.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{slots: make(chan *T, max(capacity, 1))}
}

// Offer adds v without blocking and reports whether there was room; a refusal is counted.
func (r *Ring[T]) Offer(v T) bool {
	select {
	case r.slots <- &v:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Put adds v, blocks while the ring is full, and returns the error of ctx if that ends first.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	select {
	case r.slots <- &v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Take blocks until there is an item and returns false if ctx ends first.
func (r *Ring[T]) Take(ctx context.Context) (v T, ok bool) {
	select {
	case p := <-r.slots:
		return *p, true
	case <-ctx.Done():
		return v, false
	}
}

// Drain blocks for one item, then appends to buf what is ready, up to the capacity of the ring.
func (r *Ring[T]) Drain(ctx context.Context, buf []T) []T {
	v, ok := r.Take(ctx)
	if !ok {
		return buf
	}
	return r.DrainReady(append(buf, v))
}

// DrainReady appends to buf what can be taken without blocking, up to the capacity of the ring.
func (r *Ring[T]) DrainReady(buf []T) []T {
	for range cap(r.slots) {
		select {
		case p := <-r.slots:
			buf = append(buf, *p)
		default:
			return buf
		}
	}
	return buf
}

// Len returns the number of items waiting.
func (r *Ring[T]) Len() int { return len(r.slots) }

// Cap returns the number of items that the ring can hold.
func (r *Ring[T]) Cap() int { return cap(r.slots) }

// Rejected returns how many offers found the ring full.
func (r *Ring[T]) Rejected() uint64 { return r.refused.Load() }
