package cwcellowner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/core/cwcell"
)

// TestAdviceRequestOrder checks which request the next free host receives. A renewal is first, since capacity stays reserved
// until its response. The request of a job that has missed its objective must not delay one that can still meet it.
func TestAdviceRequestOrder(t *testing.T) {
	cases := []struct {
		name          string
		first, second pendingRequest
	}{
		{
			"a renewal before a new question",
			pendingRequest{request: cwcell.AdviceRequest{ID: 2, Priority: 1, Renewal: true}, pastObjective: true}, pendingRequest{request: cwcell.AdviceRequest{ID: 1}},
		},
		{
			"in time before late",
			pendingRequest{request: cwcell.AdviceRequest{ID: 2, Priority: 1}}, pendingRequest{request: cwcell.AdviceRequest{ID: 1}, pastObjective: true},
		},
		{
			"urgent before the others",
			pendingRequest{request: cwcell.AdviceRequest{ID: 2}}, pendingRequest{request: cwcell.AdviceRequest{ID: 1, Priority: 1}},
		},
		{
			"older before newer",
			pendingRequest{request: cwcell.AdviceRequest{ID: 1}}, pendingRequest{request: cwcell.AdviceRequest{ID: 2}},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			a := newAdviceDispatcher(&session{})
			a.enqueue(&tc.second)
			a.enqueue(&tc.first)
			is.Equal(a.shortQueue.Min(), &tc.first)
		})
	}
}

// TestLongRequestsHaveTheirOwnQueue guards against long advice requests that delay short ones in a common queue.
func TestLongRequestsHaveTheirOwnQueue(t *testing.T) {
	is := is.New(t)
	a := newAdviceDispatcher(&session{})
	a.enqueue(&pendingRequest{request: cwcell.AdviceRequest{ID: 1, Cost: longRequestCost}})
	a.enqueue(&pendingRequest{request: cwcell.AdviceRequest{ID: 2, Cost: longRequestCost - time.Millisecond}})
	is.Equal(a.shortQueue.Len(), 1)
	is.Equal(a.longQueue.Len(), 1)
}
