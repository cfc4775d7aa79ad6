package cwcell

import (
	"cmp"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// TestMalformedOrderDoesNotQuarantineItsWorker guards against one job that takes one sound worker after the other out of service,
// because each rejects its start order as malformed.
func TestMalformedOrderDoesNotQuarantineItsWorker(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a", "b"}, plainPolicy)
	f.admit(step(1, 1000, false))
	tries := 0
	for f.now.Before(time.Unix(1060, 0)) {
		for _, o := range f.decide().Starts {
			f.HandleStartResult(&o, StartMalformed, f.now)
			tries++
		}
	}
	is.True(tries >= 2) // it is tried again
	is.True(tries <= 8) // after a delay that doubles
	_, _, usable := f.Counts(f.now)
	is.Equal(usable, 2)
	s := &cwwork.Submission{ID: "other", Queue: "q", Steps: []cwwork.Step{step(2, 8000, false)}, AcceptedAt: f.now, Policy: plainPolicy}
	f.Admit(s, nil, false, f.now, f.now)
	is.Equal(len(f.decide().Starts), 2)
}

// TestJobsThatHaveNotStartedAreCounted guards against a job that its callers see as running, and that is left out of the number of
// waiting jobs, although no worker has started a task of it.
func TestJobsThatHaveNotStartedAreCounted(t *testing.T) {
	running := func(o *StartOrder) *Report {
		return &Report{Running: []RunStatus{{Task: o.Task, Run: o.Run}}}
	}
	stopped := func(o *StartOrder) *Report {
		return &Report{Ended: []RunEnd{{Sequence: 1, Task: o.Task, Run: o.Run, Kind: EndStopped}}}
	}
	cases := []struct {
		result  StartResult
		report  func(*StartOrder) *Report // the worker's next report; nil: none
		waiting bool
	}{
		{"", nil, true}, // no result yet
		{"", running, false},
		{StartAccepted, nil, false},
		{StartUnanswered, nil, true},
		{StartUnanswered, running, false},
		{StartUnanswered, stopped, false},
		{StartNotSent, nil, true},
		{StartStaleFence, nil, true},
		{StartSupersededRun, nil, true},
		{StartDeadlineExceeded, nil, true},
		{StartNoCapacity, nil, true},
		{StartInvalidTicket, nil, true},
		{StartMalformed, nil, true},
		{StartUnhealthy, nil, true},
		{StartWorkerRestarted, nil, true},
	}
	for _, tc := range cases {
		t.Run(cmp.Or(string(tc.result), "no result"), func(t *testing.T) {
			is := is.New(t)
			f := newFixture([]cwmodel.HostID{"a"}, plainPolicy)
			incarnation := f.now
			f.admit(step(1, 1000, false))
			is.Equal(f.QueueLengths()["q"], 1)
			o := f.decide().Starts[0]
			if tc.result != "" {
				f.HandleStartResult(&o, tc.result, f.now)
			}
			if tc.report != nil {
				rep := tc.report(&o)
				rep.Worker, rep.Incarnation, rep.RequestedAt = "a", incarnation, f.now
				f.HandleReport(rep, f.now)
			}
			state, _ := f.JobState("job")
			is.Equal(state == cwwork.StateQueued, tc.waiting)
			is.Equal(f.QueueLengths()["q"] == 1, tc.waiting)
		})
	}
}

// lostOnly returns the progress of a job with one lost run.
func lostOnly(l cwwork.LostRun) *cwwork.Progress {
	l.Run, l.Worker, l.Early = 1, "gone", true
	return &cwwork.Progress{Steps: []cwwork.StepProgress{{Lost: []cwwork.LostRun{l}}}}
}

// TestAdoptedJobHasStartedIfItHasProgress guards against a job that is counted as waiting again after a takeover, although tasks of it
// have ended, and against one that is not counted although only an order that got no answer was sent for it.
func TestAdoptedJobHasStartedIfItHasProgress(t *testing.T) {
	cases := []struct {
		name     string
		progress *cwwork.Progress
		waiting  int
	}{
		{"no progress", nil, 1},
		{"empty progress", &cwwork.Progress{}, 1},
		{"done task", &cwwork.Progress{Steps: []cwwork.StepProgress{{Done: []int{1}}}}, 0},
		{"failed run", &cwwork.Progress{Steps: []cwwork.StepProgress{{Failed: []cwwork.TaskRun{{Index: 0, Run: 1}}}}}, 0},
		{"lost run", lostOnly(cwwork.LostRun{Started: true}), 0},
		{"order without an answer", lostOnly(cwwork.LostRun{}), 1},
		{"order without an answer, to a worker that has crashed", lostOnly(cwwork.LostRun{Crashed: true}), 1},
		{"isolated order without an answer, in doubt", lostOnly(cwwork.LostRun{Alone: true, Started: true}), 1},
		{"isolated order, to a worker that has crashed", lostOnly(cwwork.LostRun{Alone: true, Started: true, Crashed: true}), 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture([]cwmodel.HostID{"a"}, plainPolicy)
			s := &cwwork.Submission{ID: "job", Queue: "q", Steps: []cwwork.Step{step(2, 1000, false)}, AcceptedAt: f.now, Policy: plainPolicy}
			f.Admit(s, tc.progress, true, f.now, f.now)
			is.Equal(f.QueueLengths()["q"], tc.waiting)
		})
	}
}

// TestWorkerThatRejectsSoundOrdersIsQuarantined guards against a worker that rejects every order as malformed and goes on
// receiving tasks, since it always has free capacity.
func TestWorkerThatRejectsSoundOrdersIsQuarantined(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a", "b"}, plainPolicy)
	f.admit(step(1, 1000, false))
	o := f.decide().Starts[0]
	is.Equal(o.Worker, cwmodel.HostID("a"))
	f.HandleStartResult(&o, StartMalformed, f.now)
	is.Equal(len(f.decide().Starts), 0) // delayed
	o = f.decideAfter(time.Second).Starts[0]
	is.Equal(o.Worker, cwmodel.HostID("b"))
	f.HandleStartResult(&o, StartAccepted, f.now)
	_, _, usable := f.Counts(f.now)
	is.Equal(usable, 1)
}

// TestStepThatNamesADependencyTwice guards against a step that never starts because it names an earlier one more than once.
func TestStepThatNamesADependencyTwice(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a"}, plainPolicy)
	after := step(1, 1000, false)
	after.DependsOn = []int{0, 0}
	f.admit(step(1, 1000, false), after)
	o := f.decide().Starts[0]
	f.HandleReport(&Report{
		Worker: "a", Incarnation: time.Unix(1000, 0), RequestedAt: f.now, Ended: []RunEnd{{Sequence: 1, Task: o.Task, Run: o.Run, Kind: EndDone}},
	}, f.now)
	starts := f.decide().Starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Task.Step, 1)
}

// TestOverdueOccurrencesAreOpenedInParts guards against a repeated job that is long overdue and exhausts the owner's memory at once.
func TestOverdueOccurrencesAreOpenedInParts(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a"}, plainPolicy)
	s := &cwwork.Submission{
		ID: "job", Queue: "q", Steps: []cwwork.Step{step(cwwork.MaxTasks/4, 100000, false)}, Repeats: 1_000_000, FirstDue: time.Unix(1, 0), Interval: time.Millisecond,
		AcceptedAt: f.now, Policy: plainPolicy,
	}
	is.NoErr(s.Validate())
	f.Admit(s, nil, false, f.now, f.now.Add(time.Hour))
	is.Equal(len(f.jobs["job"].occurrences), 4)
}

// TestEndOfATaskWithAPlannedRun guards against a panic of the owner: a task is done while a run of it is planned, which is removed from
// the list of its runs, and another run of it is being stopped.
func TestEndOfATaskWithAPlannedRun(t *testing.T) {
	is := is.New(t)
	f := newFixture([]cwmodel.HostID{"a", "b"}, advisedPolicy)
	f.admit(step(2, 1000, false))
	request := f.decide().AdviceRequests[0]
	f.HandleAdvice(request.ID, []EligibleWorker{{ID: "a", Ticket: "t"}}, true, f.now.Add(time.Millisecond), f.now)
	f.decide() // the ticket has expired, so the run is planned until it is renewed
	task := cwwork.TaskKey{StepKey: cwwork.StepKey{Job: "job"}}
	is.Equal(len(f.group(task.StepKey).tasks[0].runs), 1)
	f.HandleReport(&Report{Worker: "b", Incarnation: time.Unix(1000, 0), RequestedAt: f.now, Running: []RunStatus{{Task: task, Run: 5}}}, f.now)
	f.HandleReport(&Report{
		Worker: "b", Incarnation: time.Unix(1000, 0), RequestedAt: f.now, Ended: []RunEnd{{Sequence: 1, Task: task, Run: 5, Kind: EndDone}},
	}, f.now)
	is.Equal(f.group(task.StepKey).unfinished, 1)
}
