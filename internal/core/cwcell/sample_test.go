package cwcell

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// TestAdviceRequestsPreferUsefulWorkers checks which workers a group requests advice about.
func TestAdviceRequestsPreferUsefulWorkers(t *testing.T) {
	cases := []struct {
		name   string
		step   cwwork.Step
		full   int // workers without free capacity
		idle   int
		names  int // workers in the first request
		filled int // those of them without free capacity
	}{
		{"tasks skip full workers", step(1, 4000, false), 30, minRequestWorkers, minRequestWorkers, 0},
		{"tasks request advice once although all workers are full", step(1, 4000, false), 20, 0, minRequestWorkers, minRequestWorkers},
		{"many tasks request advice about more workers", step(16, 4000, false), 0, 40, 16 * taskCapacityFactor, 0},
		{"a gang requests advice about full workers large enough for it", step(8, 4000, true), 30, 0, 24, 24},
		{"a gang prefers workers with free capacity", step(8, 4000, true), 30, 10, 24, 14},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var ids []cwmodel.HostID
			for n := range tc.full {
				ids = append(ids, cwmodel.HostID(fmt.Sprintf("full%02d", n)))
			}
			f := newFixture(ids, plainPolicy)
			f.admit(step(tc.full+1, 8000, false)) // one task waits
			is.Equal(len(f.decide().Starts), tc.full)
			for n := range tc.idle {
				f.join(cwmodel.HostID(fmt.Sprintf("idle%02d", n)))
			}
			f.opts.Policy = func(cwwork.QueueName) (cwwork.QueuePolicy, bool) { return advisedPolicy, true }
			f.queue("q").eligibleShare = eligibleShare{eligible: 900, evaluated: 1800 - priorWeight}
			s := &cwwork.Submission{ID: "asks", Queue: "q", Steps: []cwwork.Step{tc.step}, AcceptedAt: f.now, Policy: advisedPolicy}
			f.dequeueGroup(f.waitingGroups[0])
			f.Admit(s, nil, false, f.now, f.now)
			requests := f.decide().AdviceRequests
			is.Equal(len(requests), 1)
			is.Equal(len(requests[0].Workers), tc.names)
			filled := 0
			for _, id := range requests[0].Workers {
				if id[0] == 'f' {
					filled++
				}
			}
			is.Equal(filled, tc.filled)
		})
	}
}

// TestGangRequestsFurtherAdvicePeriodically asserts that a gang whose eligible workers could hold it several times
// requests further advice only after gangRequestPeriod.
func TestGangRequestsFurtherAdvicePeriodically(t *testing.T) {
	is := is.New(t)
	var ids []cwmodel.HostID
	for n := range 40 {
		ids = append(ids, cwmodel.HostID(fmt.Sprintf("w%02d", n)))
	}
	f := newFixture(ids, plainPolicy)
	f.admit(step(len(ids), 8000, false))
	f.decide()
	f.opts.Policy = func(cwwork.QueueName) (cwwork.QueuePolicy, bool) { return advisedPolicy, true }
	s := &cwwork.Submission{ID: "gang", Queue: "q", Steps: []cwwork.Step{step(4, 4000, true)}, AcceptedAt: f.now, Policy: advisedPolicy}
	f.Admit(s, nil, false, f.now, f.now)
	req := f.decide().AdviceRequests[0]
	var eligible []EligibleWorker
	for _, id := range req.Workers {
		eligible = append(eligible, EligibleWorker{ID: id, Ticket: "t"})
	}
	f.HandleAdvice(req.ID, eligible, true, f.now.Add(time.Hour), f.now)
	is.Equal(len(f.decide().AdviceRequests), 0)
	is.Equal(len(f.decideAfter(gangRequestPeriod).AdviceRequests), 1)
}
