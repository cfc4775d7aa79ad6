package cwring_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"currantward/internal/base/cwring"
)

// TestRingKeepsOrderAndBound asserts that items leave in the order of their arrival, and that Offer rejects and counts items
// beyond the capacity.
func TestRingKeepsOrderAndBound(t *testing.T) {
	cases := []struct {
		name     string
		capacity int
		offers   int
		want     []int
		refused  uint64
	}{
		{"all fit", 4, 3, []int{0, 1, 2}, 0},
		{"offers beyond the capacity are rejected", 2, 5, []int{0, 1}, 3},
		{"a capacity below one is one", 0, 2, []int{0}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := cwring.New[int](c.capacity)
			for n := range c.offers {
				r.Offer(n)
			}
			is.Equal(r.Drain(context.Background(), nil), c.want)
			is.Equal(r.Rejected(), c.refused)
		})
	}
}

// TestRingTakeEndsWithContext asserts that Take on an empty ring and Put on a full one return once their context has ended.
func TestRingTakeEndsWithContext(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r := cwring.New[int](1)
	_, ok := r.Take(ctx)
	is.True(!ok)
	is.NoErr(r.Put(context.Background(), 1))
	is.True(r.Put(ctx, 2) != nil)
}
