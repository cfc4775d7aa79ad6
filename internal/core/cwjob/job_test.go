package cwjob

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"currantward/internal/core/cwmodel"
)

// The seed and the number of checks are fixed unless set on the command line.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "2000")
}

var start = time.Unix(1000, 0)

func newJob(kind cwmodel.Kind, repeatable bool, attempts, tasks int) *Job {
	j := &Job{ID: "riders.A", Kind: kind, Repeatable: repeatable, MaxAttempts: attempts, Deadline: start.Add(time.Hour)}
	for range tasks {
		j.Tasks = append(j.Tasks, Task{Phase: PhaseWaiting})
	}
	return j
}

// TestResultsLeadToOutcomes asserts the phase and outcome of a task after the ends of successive attempts.
func TestResultsLeadToOutcomes(t *testing.T) {
	cases := []struct {
		name       string
		kind       cwmodel.Kind
		repeatable bool
		attempts   int
		ends       []cwmodel.EndKind // of successive attempts; "" marks a lost one
		phase      Phase
		outcome    cwmodel.Outcome
		reason     cwmodel.Reason
	}{
		{"done", cwmodel.KindBatch, false, 3, []cwmodel.EndKind{cwmodel.EndDone}, PhaseEnded, cwmodel.OutcomeDone, ""},
		{"permanent failure", cwmodel.KindBatch, true, 3, []cwmodel.EndKind{cwmodel.EndFailed}, PhaseEnded, cwmodel.OutcomeFailed, cwmodel.ReasonTaskFailed},
		{"transient, then done", cwmodel.KindBatch, true, 3, []cwmodel.EndKind{cwmodel.EndTransient, cwmodel.EndDone}, PhaseEnded, cwmodel.OutcomeDone, ""},
		{"attempts exhausted", cwmodel.KindBatch, true, 2, []cwmodel.EndKind{cwmodel.EndTransient, cwmodel.EndLeaseExpired}, PhaseEnded, cwmodel.OutcomeFailed, cwmodel.ReasonAttemptsExhausted},
		{"not repeatable, transient", cwmodel.KindBatch, false, 3, []cwmodel.EndKind{cwmodel.EndTransient}, PhaseEnded, cwmodel.OutcomeFailed, cwmodel.ReasonTaskFailed},
		{"not repeatable, lost", cwmodel.KindBatch, false, 3, []cwmodel.EndKind{""}, PhaseEnded, cwmodel.OutcomeUnknown, cwmodel.ReasonWorkerLost},
		{"repeatable, lost", cwmodel.KindBatch, true, 3, []cwmodel.EndKind{""}, PhaseWaiting, "", ""},
		{"refused starts do not count as attempts", cwmodel.KindBatch, false, 1, []cwmodel.EndKind{cwmodel.EndNotStarted, cwmodel.EndNotStarted, cwmodel.EndDone}, PhaseEnded, cwmodel.OutcomeDone, ""},
		{"service restarts", cwmodel.KindService, true, 1, []cwmodel.EndKind{cwmodel.EndDone, cwmodel.EndFailed, ""}, PhaseWaiting, "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			j := newJob(c.kind, c.repeatable, c.attempts, 1)
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

// TestParseTaskID asserts that only identifiers of a job's tasks are parsed.
func TestParseTaskID(t *testing.T) {
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

// model applies random events to a job and tracks running attempts and outcomes in plain maps as the reference model.
type model struct {
	job      *Job
	task     *rapid.Generator[int]
	running  map[int]cwmodel.Attempt
	started  map[int]int
	outcomes map[int]cwmodel.Outcome
}

// TestAttemptsNeverOverlap asserts under random events that a task has at most one running attempt and, outside gangs, keeps its
// final outcome.
func TestAttemptsNeverOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom([]cwmodel.Kind{cwmodel.KindBatch, cwmodel.KindGang, cwmodel.KindService}).Draw(t, "kind")
		j := newJob(kind, rapid.Bool().Draw(t, "repeatable"), rapid.IntRange(1, 3).Draw(t, "attempts"), rapid.IntRange(1, 4).Draw(t, "tasks"))
		m := &model{
			job: j, task: rapid.IntRange(0, len(j.Tasks)-1),
			running: map[int]cwmodel.Attempt{}, started: map[int]int{}, outcomes: map[int]cwmodel.Outcome{},
		}
		t.Repeat(map[string]func(*rapid.T){"order": m.dispatch, "end": m.end, "late": m.deliverLate, "lose": m.lose, "cancel": m.cancel, "": m.check})
	})
}

func (m *model) dispatch(t *rapid.T) {
	n := m.task.Draw(t, "task")
	number := m.job.Tasks[n].LatestAttempt.Number + rapid.SampledFrom([]int{1, 1, 1, 1, 0, 2}).Draw(t, "step")
	a := cwmodel.Attempt{Task: TaskID(m.job.ID, n), Number: number, Worker: "w-1"}
	if m.job.Dispatch(start, n, a) != nil {
		return
	}
	if _, isRunning := m.running[n]; isRunning || m.job.Cancelled || m.outcomes[n] == cwmodel.OutcomeFailed {
		t.Fatalf("task %d was dispatched while running, cancelled or failed", n)
	}
	m.running[n] = a
	m.started[n]++
}

func (m *model) end(t *rapid.T) {
	ends := []cwmodel.EndKind{cwmodel.EndDone, cwmodel.EndFailed, cwmodel.EndTransient, cwmodel.EndStopped, cwmodel.EndLeaseExpired, cwmodel.EndNotStarted}
	n, end := m.task.Draw(t, "task"), rapid.SampledFrom(ends).Draw(t, "end")
	a, wasRunning := m.running[n]
	if !wasRunning {
		a = m.job.Tasks[n].LatestAttempt
	}
	if changed := m.job.ApplyResult(start, n, cwmodel.Result{Attempt: a, End: end}); changed != wasRunning {
		t.Fatalf("result for task %d changed the job: %v, want %v", n, changed, wasRunning)
	}
	if wasRunning && end == cwmodel.EndNotStarted {
		m.started[n]--
	}
	delete(m.running, n)
}

// deliverLate delivers a result of the attempt before the latest one.
func (m *model) deliverLate(t *rapid.T) {
	n := m.task.Draw(t, "task")
	old := m.job.Tasks[n].LatestAttempt
	old.Number--
	if m.job.ApplyResult(start, n, cwmodel.Result{Attempt: old, End: cwmodel.EndDone}) {
		t.Fatalf("the result of attempt %d of task %d was applied to its successor", old.Number, n)
	}
}

func (m *model) lose(t *rapid.T) {
	n := m.task.Draw(t, "task")
	if rapid.IntRange(0, 3).Draw(t, "seldom") == 0 && m.job.MarkLost(start, n, m.job.Tasks[n].LatestAttempt.Number) {
		delete(m.running, n)
	}
}

func (m *model) cancel(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 {
		m.job.Cancel(start)
	}
}

func (m *model) check(t *rapid.T) {
	for n := range m.job.Tasks {
		m.checkTask(t, n)
	}
	if m.job.IsEnded() == m.job.EndedAt.IsZero() {
		t.Fatalf("job finished: %v, but end time %v", m.job.IsEnded(), m.job.EndedAt)
	}
	if m.job.IsEnded() && len(m.running) > 0 {
		t.Fatalf("job finished while %d tasks run", len(m.running))
	}
}

func (m *model) checkTask(t *rapid.T, n int) {
	started, outcome, previous := m.started[n], m.job.Tasks[n].Outcome, m.outcomes[n]
	switch {
	case !m.job.Repeatable && started > 1, m.job.Kind != cwmodel.KindService && started > m.job.MaxAttempts:
		t.Fatalf("task %d started %d times, limit %d, repeatable: %v", n, started, m.job.MaxAttempts, m.job.Repeatable)
	case outcome == cwmodel.OutcomeNotRun && started > 0:
		t.Fatalf("task %d ran but its outcome is not-run", n)
	case previous != "" && previous != outcome && m.job.Kind != cwmodel.KindGang:
		t.Fatalf("the outcome of task %d changed from %s to %s", n, previous, outcome)
	}
	m.outcomes[n] = outcome
}
