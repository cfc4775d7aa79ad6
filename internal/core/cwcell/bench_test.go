package cwcell

import (
	"fmt"
	"testing"
	"time"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// BenchmarkDecide measures one decision on a full cell with many waiting gangs and batches, for the capacity page.
func BenchmarkDecide(b *testing.B) {
	cases := []struct{ workers, waiting int }{{48, 20}, {48, 200}, {350, 20}, {350, 200}, {700, 200}}
	for _, tc := range cases {
		b.Run(fmt.Sprintf("workers=%d/waiting=%d", tc.workers, tc.waiting), func(b *testing.B) {
			f := fullCell(tc.workers, tc.waiting)
			for b.Loop() {
				f.placementDue = true
				f.decide()
			}
		})
	}
}

// fullCell returns a cell whose workers are all busy, with waiting groups whose eligible workers are known.
func fullCell(workers, waiting int) *fixture {
	var ids []cwmodel.HostID
	for n := range workers {
		ids = append(ids, cwmodel.HostID(fmt.Sprintf("w%03d", n)))
	}
	f := newFixture(ids, advisedPolicy)
	add := func(id string, s cwwork.Step) {
		f.Admit(&cwwork.Submission{ID: cwmodel.JobID(id), Queue: "q", Steps: []cwwork.Step{s}, AcceptedAt: f.now, Policy: advisedPolicy}, nil, false, f.now, f.now)
	}
	answer := func() {
		for range 10 {
			for _, req := range f.decide().AdviceRequests {
				var eligible []EligibleWorker
				for n, id := range req.Workers {
					if n%4 == 0 {
						eligible = append(eligible, EligibleWorker{ID: id, Ticket: "t"})
					}
				}
				f.HandleAdvice(req.ID, eligible, true, f.now.Add(time.Hour), f.now)
			}
		}
	}
	for n := range 4 * workers {
		add(fmt.Sprintf("fill%d", n), step(2, 1900, false))
		if n%50 == 0 {
			answer()
		}
	}
	for n := range waiting {
		add(fmt.Sprintf("wait%d", n), step(10, 3000, n%2 == 0))
	}
	answer()
	return f
}
