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

// TestDivisionWaitsForRuns holds when an owner divides its cell: once nothing runs, and not at all while tasks last, for which it
// must not hold up the others.
func TestDivisionWaitsForRuns(t *testing.T) {
	cases := []struct {
		name    string
		cells   int
		step    *cwwork.Step // that runs
		ends    bool         // after a second
		paused  bool         // before that
		divided int
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
			born := timer.Now()
			divided := 0
			policy := cwwork.QueuePolicy{Service: "portal", MaxAttempts: 3}
			s := &session{
				owner: &Owner{opts: Options{
					Store: cwcellport.Store{Partitions: 4}, Timer: timer.Service, Log: cwlog.Discard(),
					CellsFor: func(int, int) int { return tc.cells }, Divide: func(cells int) { divided = cells },
				}},
				cell: cwcell.New(cwcell.Options{
					Policy: func(cwwork.QueueName) (cwwork.QueuePolicy, bool) { return policy, true }, StatusRetention: time.Minute,
					LeaseExpiry: func(cwmodel.HostID) time.Time { return time.Time{} },
				}),
				links: map[cwmodel.HostID]*link{"a": {}}, parts: map[string]*part{}, counted: true,
			}
			s.cell.CompleteRecovery()
			s.cell.UpdateWorker(cwcell.WorkerInfo{ID: "a", Service: "portal", Capacity: cwmodel.Resources{MilliProcessors: 1000}, Incarnation: born}, born)
			s.cell.MarkMembersDurable([]cwmodel.HostID{"a"})
			report := &cwcell.Report{Worker: "a", Incarnation: born, RequestedAt: born}
			s.cell.HandleReport(report, born)
			if tc.step != nil {
				s.cell.Admit(&cwwork.Submission{ID: "job", Queue: "q", Policy: policy, Steps: []cwwork.Step{*tc.step}, AcceptedAt: born}, nil, false, born, born)
				o := s.cell.Decide(born, born).Starts[0]
				s.cell.HandleStartResult(&o, cwcell.StartAccepted, born)
				report.Running = []cwcell.RunStatus{{Task: o.Task, Run: o.Run}}
			}
			for n := range 100 { // 25 s
				if n == 4 {
					is.Equal(!s.division.paused.IsZero(), tc.paused)
				}
				if n == 4 && tc.ends {
					report.Ended = []cwcell.RunEnd{{Sequence: 1, Task: report.Running[0].Task, Run: 1, Kind: cwcell.EndDone}}
					report.Running = nil
				}
				timer.Advance(250 * time.Millisecond)
				report.RequestedAt = timer.Now()
				s.cell.HandleReport(report, timer.Now())
				s.cell.CompleteWrites(s.cell.NextWrites(9, func(cwmodel.JobID) bool { return true }), true, timer.Now())
				s.considerDividing(timer.Now())
				s.cell.Decide(timer.Now(), timer.Now())
			}
			is.Equal(divided, tc.divided)
		})
	}
}
