package cwcell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// scheduled returns a job with occurrences of one step of two tasks, one each second, the first of which is due now.
func (f *fixture) scheduled(repeats int) *cwwork.Submission {
	return &cwwork.Submission{
		ID: "job", Queue: "q", Steps: []cwwork.Step{step(2, 1000, false)}, Repeats: repeats, FirstDue: f.now, Interval: time.Second, AcceptedAt: f.now, Policy: plainPolicy,
	}
}

// TestStateOfAScheduledJobIsBounded guards against a row that outgrows the limit of the store, and against memory and time that grow with
// each occurrence: what is kept of finished occurrences must not depend on their number.
func TestStateOfAScheduledJobIsBounded(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a"}, plainPolicy)
	f.Admit(f.scheduled(1000), nil, false, f.now, f.now)
	var sequence uint64
	for range 300 {
		report := &Report{Worker: "a", Incarnation: time.Unix(1000, 0), RequestedAt: f.now}
		for _, o := range f.decideAfter(time.Second).Starts {
			f.HandleStartResult(&o, StartAccepted, f.now)
			sequence++
			report.Ended = append(report.Ended, RunEnd{Sequence: sequence, Task: o.Task, Run: o.Run, Kind: EndDone})
		}
		f.HandleReport(report, f.now)
		writes := f.NextWrites(10, func(cwmodel.JobID) bool { return true })
		is.Equal(len(writes), 1)
		is.True(len(writes[0].Progress.Steps) <= 1)
		f.CompleteWrites(writes, true, f.now)
	}
	j := f.jobs["job"]
	is.True(j.nextOccurrence >= 300)
	is.True(len(j.occurrences) <= 2)
	is.True(j.snapshot().FinishedBelow >= 300)
}

// TestFinishedOccurrencesSurviveATakeover guards against occurrences that run again, or never, because the next owner reads from the stored
// progress that they are unfinished, or finished.
func TestFinishedOccurrencesSurviveATakeover(t *testing.T) {
	cases := []struct {
		name     string
		repeats  int
		progress cwwork.Progress
		starts   []string // occurrence and task of each start
	}{
		{"none finished", 2, cwwork.Progress{}, []string{"0.0", "0.1", "1.0", "1.1"}},
		{"a prefix finished", 4, cwwork.Progress{FinishedBelow: 3}, []string{"3.0", "3.1"}},
		{"one before the last finished one unfinished", 4, cwwork.Progress{FinishedBelow: 3, Unfinished: []int{1}}, []string{"1.0", "1.1", "3.0", "3.1"}},
		{"one with a done task", 4, cwwork.Progress{FinishedBelow: 3, Unfinished: []int{1}, Steps: []cwwork.StepProgress{{Occurrence: 1, Done: []int{1}}}}, []string{"1.0", "3.0", "3.1"}},
		{"progress beyond the finished ones", 4, cwwork.Progress{FinishedBelow: 2, Steps: []cwwork.StepProgress{{Occurrence: 3, Done: []int{0}}}}, []string{"2.0", "2.1", "3.1"}},
		{"all finished", 3, cwwork.Progress{FinishedBelow: 3}, nil},
		{"all but one finished", 3, cwwork.Progress{FinishedBelow: 3, Unfinished: []int{0}}, []string{"0.0", "0.1"}},
		{"stored by an older program", 3, cwwork.Progress{Steps: []cwwork.StepProgress{{Occurrence: 0, Done: []int{0, 1}}, {Occurrence: 1, Done: []int{0}}}}, []string{"1.1", "2.0", "2.1"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture([]cwmodel.HostID{"a"}, plainPolicy)
			job := f.scheduled(tc.repeats)
			f.now = f.now.Add(time.Hour)
			f.Admit(job, &tc.progress, true, f.now, f.now)
			var starts []string
			for _, o := range f.decide().Starts {
				starts = append(starts, fmt.Sprintf("%d.%d", o.Task.Occurrence, o.Task.Index))
			}
			slices.Sort(starts)
			is.Equal(starts, tc.starts)
			if tc.starts == nil {
				is.Equal(f.NextWrites(1, func(cwmodel.JobID) bool { return true })[0].State, cwwork.StateCompleted)
				return
			}
			// What is stored next leaves the same to do.
			stored := *f.jobs["job"].snapshot()
			is.Equal(stored.FinishedBelow, max(tc.progress.FinishedBelow, f.jobs["job"].finishedBelow))
			is.Equal(stored.Unfinished, tc.progress.Unfinished)
		})
	}
}

// TestUnfinishedOccurrencesFitInTheProgress guards against a job that opens more occurrences than its progress row can hold. The others are
// opened once these are done.
func TestUnfinishedOccurrencesFitInTheProgress(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a"}, plainPolicy)
	f.opts.MaxStoredOccurrences = func(*cwwork.Submission) int { return 3 }
	job := f.scheduled(10)
	f.now = f.now.Add(time.Hour)
	f.Admit(job, nil, false, f.now, f.now)
	orders := f.decide().Starts
	is.Equal(len(orders), 6)
	report := &Report{Worker: "a", Incarnation: time.Unix(1000, 0), RequestedAt: f.now}
	for n := range orders[:2] {
		f.HandleStartResult(&orders[n], StartAccepted, f.now)
		report.Ended = append(report.Ended, RunEnd{Sequence: uint64(n + 1), Task: orders[n].Task, Run: 1, Kind: EndDone})
	}
	f.HandleReport(report, f.now)
	is.Equal(len(f.decide().Starts), 2)
}

// TestFailedRunsOfLastingTasksAreNotStored guards against a row that grows with each failure of a task that is restarted for ever.
func TestFailedRunsOfLastingTasksAreNotStored(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a", "b"}, plainPolicy)
	lasting := step(1, 1000, false)
	lasting.LongRunning = true
	f.admit(lasting)
	for run := range 20 {
		orders := f.decideAfter(time.Minute).Starts
		is.Equal(len(orders), 1)
		f.HandleStartResult(&orders[0], StartAccepted, f.now)
		f.now = f.now.Add(2 * longRunningProbation)
		f.HandleReport(&Report{Worker: orders[0].Worker, Incarnation: time.Unix(1000, 0), RequestedAt: f.now, Ended: []RunEnd{
			{Sequence: uint64(run + 1), Task: orders[0].Task, Run: orders[0].Run, Kind: EndFailed},
		}}, f.now)
	}
	is.Equal(f.PendingWrites(), 0)
	is.Equal(len(f.jobs["job"].snapshot().Steps), 0)
	is.True(len(f.jobs["job"].occurrences[0].groups[0].tasks[0].avoidWorkers) <= 2)
}
