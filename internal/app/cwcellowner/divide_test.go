package cwcellowner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwcell"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
	"currantward/internal/port/cwcellport"
)

// TestDivisionWaitsForRuns checks that an owner divides its cell only when no task runs, and that it does not pause the start
// of other tasks while a long-running task runs.
func TestDivisionWaitsForRuns(t *testing.T) {
	cases := []struct {
		name    string
		cells   int
		step    *cwwork.Step // its task runs when the division is considered; nil: no task runs
		ends    bool         // the task ends after a second
		paused  bool         // task starts are paused at that time
		divided int          // requested number of cells; 0: no division
	}{
		{"not needed", 1, nil, false, false, 0},
		{"idle", 2, nil, false, true, 2},
		{"a task ends", 2, &cwwork.Step{Count: 1, Estimate: time.Second}, true, true, 2},
		{"a task takes long", 2, &cwwork.Step{Count: 1, Estimate: time.Hour}, false, true, 0},
		{"a task lasts", 2, &cwwork.Step{Count: 1, LongRunning: true}, false, false, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			timer := cwtimer.NewManual(time.Unix(1000, 0))
			start := timer.Now()
			divided := 0
			policy := cwwork.QueuePolicy{Service: "portal", MaxAttempts: 3}
			s := &session{
				owner: &Owner{opts: Options{
					Store: cwcellport.Store{Partitions: 4}, Timer: timer.Service, Log: cwlog.Discard(),
					RequiredCells: func(int, int) int { return tc.cells }, Divide: func(cells int) { divided = cells },
				}},
				cell: cwcell.New(cwcell.Options{
					Policy: func(cwwork.QueueName) (cwwork.QueuePolicy, bool) { return policy, true }, StatusRetention: time.Minute,
					LeaseExpiry: func(cwmodel.HostID) time.Time { return time.Time{} },
				}),
				links: map[cwmodel.HostID]*workerLink{"a": {}}, partitions: map[string]*partition{}, jobsLoaded: true,
			}
			s.cell.MarkJobsLoaded()
			s.cell.UpdateWorker(cwcell.WorkerInfo{ID: "a", Service: "portal", Capacity: cwmodel.Resources{MilliProcessors: 1000}, Incarnation: start}, start)
			s.cell.MarkMembersDurable([]cwmodel.HostID{"a"})
			report := &cwcell.Report{Worker: "a", Incarnation: start, RequestedAt: start}
			s.cell.HandleReport(report, start)
			if tc.step != nil {
				s.cell.Admit(&cwwork.Submission{ID: "job", Queue: "q", Policy: policy, Steps: []cwwork.Step{*tc.step}, AcceptedAt: start}, nil, false, start, start)
				o := s.cell.Decide(start, start).Starts[0]
				s.cell.HandleStartResult(&o, cwcell.StartAccepted, start)
				report.Running = []cwcell.RunStatus{{Task: o.Task, Run: o.Run}}
			}
			for n := range 100 { // 25 s
				if n == 4 {
					is.Equal(!s.division.phaseStartedAt.IsZero(), tc.paused)
				}
				if n == 4 && tc.ends {
					report.Ended = []cwcell.RunEnd{{Sequence: 1, Task: report.Running[0].Task, Run: 1, Kind: cwcell.EndDone}}
					report.Running = nil
				}
				timer.Advance(250 * time.Millisecond)
				report.RequestedAt = timer.Now()
				s.cell.HandleReport(report, timer.Now())
				s.cell.CompleteWrites(s.cell.NextWrites(9, func(cwmodel.JobID) bool { return true }), true, timer.Now())
				s.considerCellDivision(timer.Now())
				s.cell.Decide(timer.Now(), timer.Now())
			}
			is.Equal(divided, tc.divided)
		})
	}
}
