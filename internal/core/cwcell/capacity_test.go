package cwcell

import (
	"fmt"
	"math/rand/v2"
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

// TestCapacityThatChangesIsKeptTo guards against workers that are overfilled because their owner goes by a capacity that they had before: the
// capacities of busy workers shrink and grow all the time. Jobs that fit on no worker for a while must still end.
func TestCapacityThatChangesIsKeptTo(t *testing.T) {
	cases := []struct {
		name      string
		takeOvers time.Duration // period of changes of the owner; zero: none
		faults    bool          // calls to the workers fail at random
	}{
		{"one owner", 0, false},
		{"owners that follow each other", 4 * time.Second, false},
		{"calls that fail", 0, true},
	}
	for _, tc := range cases {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%s, seed %d", tc.name, seed), func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 31))
				c := newCluster(6, crashPolicy, random.IntN)
				c.crashes.noFailures = true
				c.takeOver()
				c.advance(2 * time.Second)
				c.faults = tc.faults
				for n := range 300 {
					c.submit(c.crashingJob(cwmodel.JobID(fmt.Sprintf("job%03d", n)), 1+n%6, n%9 == 0, 0))
					if n%10 == 0 {
						c.resize(c.workers[random.IntN(len(c.workers))], 1000*int64(1+random.IntN(8)))
					}
					if tc.takeOvers > 0 && (time.Duration(n+1)*submitPeriod)%tc.takeOvers == 0 {
						c.takeOver()
					}
					c.advance(submitPeriod)
				}
				c.faults = false
				c.advance(60 * time.Second)
				c.checkOutcomes(t)
			})
		}
	}
}
