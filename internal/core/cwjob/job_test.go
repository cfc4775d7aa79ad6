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
		ends       []cwmodel.End // of successive attempts; "" is a lost one
		phase      Phase
		outcome    cwmodel.Outcome
		reason     cwmodel.Reason
	}{
		{"done", cwmodel.KindBatch, false, 3, []cwmodel.End{cwmodel.EndDone}, PhaseOver, cwmodel.OutcomeDone, ""},
		{"failed for good", cwmodel.KindBatch, true, 3, []cwmodel.End{cwmodel.EndFailed}, PhaseOver, cwmodel.OutcomeFailed, cwmodel.ReasonTaskFailed},
		{"transient, then done", cwmodel.KindBatch, true, 3, []cwmodel.End{cwmodel.EndTransient, cwmodel.EndDone}, PhaseOver, cwmodel.OutcomeDone, ""},
		{"attempts spent", cwmodel.KindBatch, true, 2, []cwmodel.End{cwmodel.EndTransient, cwmodel.EndLapsed}, PhaseOver, cwmodel.OutcomeFailed, cwmodel.ReasonAttemptsSpent},
		{"not repeatable, transient", cwmodel.KindBatch, false, 3, []cwmodel.End{cwmodel.EndTransient}, PhaseOver, cwmodel.OutcomeFailed, cwmodel.ReasonTaskFailed},
		{"not repeatable, lost", cwmodel.KindBatch, false, 3, []cwmodel.End{""}, PhaseOver, cwmodel.OutcomeUnknown, cwmodel.ReasonWorkerLost},
		{"repeatable, lost", cwmodel.KindBatch, true, 3, []cwmodel.End{""}, PhaseWaiting, "", ""},
		{"never began costs no attempt", cwmodel.KindBatch, false, 1, []cwmodel.End{cwmodel.EndNeverBegan, cwmodel.EndNeverBegan, cwmodel.EndDone}, PhaseOver, cwmodel.OutcomeDone, ""},
		{"service restarts", cwmodel.KindService, true, 1, []cwmodel.End{cwmodel.EndDone, cwmodel.EndFailed, ""}, PhaseWaiting, "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			j := jobOf(c.kind, c.repeatable, c.attempts, 1)
			for n, end := range c.ends {
				a := cwmodel.Attempt{Task: TaskID(j.ID, 0), Number: n + 1, Worker: "w-1", Epoch: 1}
				is.NoErr(j.Order(start, 0, a))
				if end == "" {
					is.True(j.Lose(start, 0, n+1))
				} else {
					is.True(j.Record(start, 0, cwmodel.Result{Attempt: a, End: end}))
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

// TestAttemptsNeverOverlap drives a job by random events and counts what runs in a plain map.
func TestAttemptsNeverOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom([]cwmodel.Kind{cwmodel.KindBatch, cwmodel.KindGang, cwmodel.KindService}).Draw(t, "kind")
		j := jobOf(kind, rapid.Bool().Draw(t, "repeatable"), rapid.IntRange(1, 3).Draw(t, "attempts"), rapid.IntRange(1, 4).Draw(t, "tasks"))
		running := map[int]cwmodel.Attempt{}
		begun := map[int]int{}
		outcomes := map[int]cwmodel.Outcome{}
		ends := []cwmodel.End{cwmodel.EndDone, cwmodel.EndFailed, cwmodel.EndTransient, cwmodel.EndStopped, cwmodel.EndLapsed, cwmodel.EndNeverBegan}
		task := rapid.IntRange(0, len(j.Tasks)-1)
		t.Repeat(map[string]func(*rapid.T){
			"order": func(t *rapid.T) {
				n := task.Draw(t, "task")
				a := cwmodel.Attempt{Task: TaskID(j.ID, n), Number: j.Tasks[n].Attempt.Number + rapid.SampledFrom([]int{1, 1, 1, 1, 0, 2}).Draw(t, "step"), Worker: "w-1"}
				if j.Order(start, n, a) != nil {
					return
				}
				if _, runs := running[n]; runs || j.Cancelled || outcomes[n] == cwmodel.OutcomeFailed {
					t.Fatalf("task %d is ordered though it runs or may not", n)
				}
				running[n] = a
				begun[n]++
			},
			"end": func(t *rapid.T) {
				n := task.Draw(t, "task")
				a, runs := running[n]
				if !runs {
					a = j.Tasks[n].Attempt
				}
				end := rapid.SampledFrom(ends).Draw(t, "end")
				if changed := j.Record(start, n, cwmodel.Result{Attempt: a, End: end}); changed != runs {
					t.Fatalf("a result for task %d changed: %v, ran: %v", n, changed, runs)
				}
				if runs && end == cwmodel.EndNeverBegan {
					begun[n]--
				}
				delete(running, n)
			},
			"late": func(t *rapid.T) {
				n := task.Draw(t, "task")
				old := j.Tasks[n].Attempt
				old.Number--
				if j.Record(start, n, cwmodel.Result{Attempt: old, End: cwmodel.EndDone}) {
					t.Fatalf("the result of attempt %d of task %d was taken for that of the next", old.Number, n)
				}
			},
			"lose": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "seldom") != 0 {
					return
				}
				n := task.Draw(t, "task")
				if j.Lose(start, n, j.Tasks[n].Attempt.Number) {
					delete(running, n)
				}
			},
			"cancel": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 {
					j.Cancel(start)
				}
			},
			"": func(t *rapid.T) {
				for n := range j.Tasks {
					if !j.Repeatable && begun[n] > 1 {
						t.Fatalf("task %d began %d times", n, begun[n])
					}
					if kind != cwmodel.KindService && begun[n] > j.MaxAttempts {
						t.Fatalf("task %d began %d of %d times", n, begun[n], j.MaxAttempts)
					}
					if j.Tasks[n].Outcome == cwmodel.OutcomeNotRun && begun[n] > 0 {
						t.Fatalf("task %d ran and is told not-run", n)
					}
					if before := outcomes[n]; before != "" && before != j.Tasks[n].Outcome && kind != cwmodel.KindGang {
						t.Fatalf("the outcome of task %d changed from %s to %s", n, before, j.Tasks[n].Outcome)
					}
					outcomes[n] = j.Tasks[n].Outcome
				}
				if j.IsOver() == j.Ended.IsZero() {
					t.Fatalf("over: %v, ended: %v", j.IsOver(), j.Ended)
				}
				if j.IsOver() && len(running) > 0 {
					t.Fatalf("over while %d tasks run", len(running))
				}
			},
		})
	})
}
