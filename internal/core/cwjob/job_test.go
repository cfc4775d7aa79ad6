package cwjob

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"currantward/internal/core/cwmodel"
)

// The seed and the number of checks are fixed unless the command line names others.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "2000")
}

var start = time.Unix(1000, 0)

func jobOf(kind cwmodel.Kind, repeatable bool, attempts, tasks int) *Job {
	j := &Job{ID: "riders.A", Kind: kind, Repeatable: repeatable, MaxAttempts: attempts, Deadline: start.Add(time.Hour)}
	for range tasks {
		j.Tasks = append(j.Tasks, Task{Phase: PhaseWaiting})
	}
	return j
}

func TestResultsLeadToOutcomes(t *testing.T) {
	cases := []struct {
		name       string
		kind       cwmodel.Kind
		repeatable bool
		attempts   int
		ends       []cwmodel.EndKind // of successive attempts; "" is a lost one
		phase      Phase
		outcome    cwmodel.Outcome
		reason     cwmodel.Reason
	}{
		{"done", cwmodel.KindBatch, false, 3, []cwmodel.EndKind{cwmodel.EndDone}, PhaseFinished, cwmodel.OutcomeDone, ""},
		{"failed for good", cwmodel.KindBatch, true, 3, []cwmodel.EndKind{cwmodel.EndFailed}, PhaseFinished, cwmodel.OutcomeFailed, cwmodel.ReasonTaskFailed},
		{"transient, then done", cwmodel.KindBatch, true, 3, []cwmodel.EndKind{cwmodel.EndTransient, cwmodel.EndDone}, PhaseFinished, cwmodel.OutcomeDone, ""},
		{"attempts spent", cwmodel.KindBatch, true, 2, []cwmodel.EndKind{cwmodel.EndTransient, cwmodel.EndLeaseExpired}, PhaseFinished, cwmodel.OutcomeFailed, cwmodel.ReasonAttemptsExhausted},
		{"not repeatable, transient", cwmodel.KindBatch, false, 3, []cwmodel.EndKind{cwmodel.EndTransient}, PhaseFinished, cwmodel.OutcomeFailed, cwmodel.ReasonTaskFailed},
		{"not repeatable, lost", cwmodel.KindBatch, false, 3, []cwmodel.EndKind{""}, PhaseFinished, cwmodel.OutcomeUnknown, cwmodel.ReasonWorkerLost},
		{"repeatable, lost", cwmodel.KindBatch, true, 3, []cwmodel.EndKind{""}, PhaseWaiting, "", ""},
		{"never began costs no attempt", cwmodel.KindBatch, false, 1, []cwmodel.EndKind{cwmodel.EndNotStarted, cwmodel.EndNotStarted, cwmodel.EndDone}, PhaseFinished, cwmodel.OutcomeDone, ""},
		{"service restarts", cwmodel.KindService, true, 1, []cwmodel.EndKind{cwmodel.EndDone, cwmodel.EndFailed, ""}, PhaseWaiting, "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			j := jobOf(c.kind, c.repeatable, c.attempts, 1)
			for n, end := range c.ends {
				a := cwmodel.Attempt{Task: TaskID(j.ID, 0), Number: n + 1, Worker: "w-1", Epoch: 1}
				is.NoErr(j.Dispatch(start, 0, a))
				if end == "" {
					is.True(j.MarkLost(start, 0, n+1))
				} else {
					is.True(j.ApplyResult(start, 0, cwmodel.Result{Attempt: a, End: end}))
				}
			}
			is.Equal(j.Tasks[0].Phase, c.phase)
			is.Equal(j.Tasks[0].Outcome, c.outcome)
			is.Equal(j.Tasks[0].Reason, c.reason)
		})
	}
}

func TestTaskIDs(t *testing.T) {
	cases := []struct {
		id  cwmodel.TaskID
		job cwmodel.JobID
		n   int
		ok  bool
	}{
		{"riders.ABC/7", "riders.ABC", 7, true}, {"ABC", "", 0, false}, {"riders.ABC/x", "", 0, false}, {"riders.ABC/256", "", 0, false}, {"riders.ABC/-1", "", 0, false},
	}
	for _, c := range cases {
		t.Run(string(c.id), func(t *testing.T) {
			is := is.New(t)
			job, n, ok := ParseTaskID(c.id)
			is.Equal(ok, c.ok)
			if ok {
				is.Equal(job, c.job)
				is.Equal(n, c.n)
			}
		})
	}
}

// fuzz drives a job by random events and counts in plain maps what runs.
type fuzz struct {
	job      *Job
	task     *rapid.Generator[int]
	running  map[int]cwmodel.Attempt
	begun    map[int]int
	outcomes map[int]cwmodel.Outcome
}

func TestAttemptsNeverOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom([]cwmodel.Kind{cwmodel.KindBatch, cwmodel.KindGang, cwmodel.KindService}).Draw(t, "kind")
		j := jobOf(kind, rapid.Bool().Draw(t, "repeatable"), rapid.IntRange(1, 3).Draw(t, "attempts"), rapid.IntRange(1, 4).Draw(t, "tasks"))
		f := &fuzz{
			job: j, task: rapid.IntRange(0, len(j.Tasks)-1),
			running: map[int]cwmodel.Attempt{}, begun: map[int]int{}, outcomes: map[int]cwmodel.Outcome{},
		}
		t.Repeat(map[string]func(*rapid.T){"order": f.order, "end": f.end, "late": f.late, "lose": f.lose, "cancel": f.cancel, "": f.check})
	})
}

func (f *fuzz) order(t *rapid.T) {
	n := f.task.Draw(t, "task")
	number := f.job.Tasks[n].Attempt.Number + rapid.SampledFrom([]int{1, 1, 1, 1, 0, 2}).Draw(t, "step")
	a := cwmodel.Attempt{Task: TaskID(f.job.ID, n), Number: number, Worker: "w-1"}
	if f.job.Dispatch(start, n, a) != nil {
		return
	}
	if _, runs := f.running[n]; runs || f.job.Cancelled || f.outcomes[n] == cwmodel.OutcomeFailed {
		t.Fatalf("task %d is ordered though it runs or may not", n)
	}
	f.running[n] = a
	f.begun[n]++
}

func (f *fuzz) end(t *rapid.T) {
	ends := []cwmodel.EndKind{cwmodel.EndDone, cwmodel.EndFailed, cwmodel.EndTransient, cwmodel.EndStopped, cwmodel.EndLeaseExpired, cwmodel.EndNotStarted}
	n, end := f.task.Draw(t, "task"), rapid.SampledFrom(ends).Draw(t, "end")
	a, runs := f.running[n]
	if !runs {
		a = f.job.Tasks[n].Attempt
	}
	if changed := f.job.ApplyResult(start, n, cwmodel.Result{Attempt: a, End: end}); changed != runs {
		t.Fatalf("a result for task %d changed: %v, ran: %v", n, changed, runs)
	}
	if runs && end == cwmodel.EndNotStarted {
		f.begun[n]--
	}
	delete(f.running, n)
}

// late hands over the result of the attempt before the present one.
func (f *fuzz) late(t *rapid.T) {
	n := f.task.Draw(t, "task")
	old := f.job.Tasks[n].Attempt
	old.Number--
	if f.job.ApplyResult(start, n, cwmodel.Result{Attempt: old, End: cwmodel.EndDone}) {
		t.Fatalf("the result of attempt %d of task %d was taken for that of the next", old.Number, n)
	}
}

func (f *fuzz) lose(t *rapid.T) {
	n := f.task.Draw(t, "task")
	if rapid.IntRange(0, 3).Draw(t, "seldom") == 0 && f.job.MarkLost(start, n, f.job.Tasks[n].Attempt.Number) {
		delete(f.running, n)
	}
}

func (f *fuzz) cancel(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 {
		f.job.Cancel(start)
	}
}

func (f *fuzz) check(t *rapid.T) {
	for n := range f.job.Tasks {
		f.checkTask(t, n)
	}
	if f.job.IsFinished() == f.job.EndedAt.IsZero() {
		t.Fatalf("over: %v, ended: %v", f.job.IsFinished(), f.job.EndedAt)
	}
	if f.job.IsFinished() && len(f.running) > 0 {
		t.Fatalf("over while %d tasks run", len(f.running))
	}
}

func (f *fuzz) checkTask(t *rapid.T, n int) {
	begun, outcome, before := f.begun[n], f.job.Tasks[n].Outcome, f.outcomes[n]
	switch {
	case !f.job.Repeatable && begun > 1, f.job.Kind != cwmodel.KindService && begun > f.job.MaxAttempts:
		t.Fatalf("task %d began %d of %d times, repeatable: %v", n, begun, f.job.MaxAttempts, f.job.Repeatable)
	case outcome == cwmodel.OutcomeNotRun && begun > 0:
		t.Fatalf("task %d ran and is told not-run", n)
	case before != "" && before != outcome && f.job.Kind != cwmodel.KindGang:
		t.Fatalf("the outcome of task %d changed from %s to %s", n, before, outcome)
	}
	f.outcomes[n] = outcome
}
