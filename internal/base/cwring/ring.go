// Package cwring provides the bounded rings that connect the duties of a process.
package cwring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded FIFO queue with many producers and one consumer.
//
// Slots hold pointers, so an unused slot takes only eight bytes.
type Ring[T any] struct {
	slots    chan *T
	rejected atomic.Uint64
}

// New returns an empty ring with the given capacity, at least one.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{slots: make(chan *T, max(capacity, 1))}
}

// Offer adds v without blocking and reports whether it did. If the ring is full, v is rejected and counted.
func (r *Ring[T]) Offer(v T) bool {
	select {
	case r.slots <- &v:
		return true
	default:
		r.rejected.Add(1)
		return false
	}
}

// Put adds v, blocking while the ring is full; it returns the error of ctx if ctx ends first.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	select {
	case r.slots <- &v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Take removes the oldest item, blocking while the ring is empty; ok is false if ctx ends first.
func (r *Ring[T]) Take(ctx context.Context) (v T, ok bool) {
	select {
	case p := <-r.slots:
		return *p, true
	case <-ctx.Done():
		return v, false
	}
}

// Drain blocks for one item, then appends it and all other available items to buf, up to the capacity of the ring. If ctx ends first, it returns
// buf unchanged.
func (r *Ring[T]) Drain(ctx context.Context, buf []T) []T {
	v, ok := r.Take(ctx)
	if !ok {
		return buf
	}
	return r.DrainReady(append(buf, v))
}

// DrainReady appends the available items to buf without blocking: at most as many as the capacity of the ring, so that it
// returns even while producers keep adding.
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

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.slots) }

// Cap returns the capacity.
func (r *Ring[T]) Cap() int { return cap(r.slots) }

// Rejected returns the number of items that Offer rejected.
func (r *Ring[T]) Rejected() uint64 { return r.rejected.Load() }
