package cwcell

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/core/cwmodel"
)

// TestCapacityShrinksWhileTicketsAreRenewed guards against a worker that is overfilled because its capacity has shrunk while a planned task
// waited for its ticket: the capacity must be looked at again when the task is ordered.
func TestCapacityShrinksWhileTicketsAreRenewed(t *testing.T) {
	cases := []struct {
		name   string
		gang   bool
		shrunk int64 // capacity at the response, in thousandths of a processor
		starts int
	}{
		{"task that still fits", false, 7000, 1},
		{"task that does not fit any more", false, 4000, 0},
		{"gang that still fits", true, 7000, 1},
		{"gang that does not fit any more", true, 4000, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture([]cwmodel.HostID{"a"}, advisedPolicy)
			ticket := []EligibleWorker{{ID: "a", Ticket: "t"}}
			f.admit(step(1, 6000, tc.gang))
			req := f.decide().AdviceRequests[0]
			f.HandleAdvice(req.ID, ticket, true, f.now, f.now) // a ticket that has expired
			renewal := f.decide().AdviceRequests
			is.Equal(len(renewal), 1)
			info := f.workers["a"].WorkerInfo
			info.Capacity.MilliProcessors = tc.shrunk
			f.UpdateWorker(info, f.now)
			f.HandleAdvice(renewal[0].ID, ticket, true, f.now.Add(time.Second), f.now)
			is.Equal(len(f.decideAfter(time.Millisecond).Starts), tc.starts)
			info.Capacity.MilliProcessors = 8000
			f.UpdateWorker(info, f.now)
			is.Equal(len(f.decideAfter(time.Millisecond).Starts), 1-tc.starts) // it starts once the capacity has grown again
		})
	}
}
