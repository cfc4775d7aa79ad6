package cwjobrow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/app/cwjobrow"
	"currantward/internal/core/cwjob"
	"currantward/internal/core/cwmodel"
)

// TestChangeCompletesOnce guards against a change whose Done is called twice or never, after a conflict, a failure or its deadline.
func TestChangeCompletesOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	cases := []struct {
		name    string
		run     func(r *cwjobrow.Row)
		done    []bool // values passed to Done
		team    cwmodel.TeamName
		pending int
	}{
		{"committed", func(r *cwjobrow.Row) { r.BeginWrite(start); r.Commit() }, []bool{true}, "b", 0},
		{"not yet committed", func(r *cwjobrow.Row) { r.BeginWrite(start) }, nil, "a", 0},
		{"in conflict, then committed", func(r *cwjobrow.Row) { r.BeginWrite(start); r.Requeue(); r.BeginWrite(start); r.Commit() }, []bool{true}, "b", 0},
		{"in conflict", func(r *cwjobrow.Row) { r.BeginWrite(start); r.Requeue() }, nil, "a", 1},
		{"not encoded", func(r *cwjobrow.Row) { r.BeginWrite(start); r.Fail() }, []bool{false}, "a", 0},
		{"past its deadline", func(r *cwjobrow.Row) { r.ExpirePending(start.Add(time.Minute)) }, []bool{false}, "a", 0},
		{"past its deadline while it is written", func(r *cwjobrow.Row) { r.BeginWrite(start); r.ExpirePending(start.Add(time.Minute)) }, nil, "a", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var done []bool
			r := &cwjobrow.Row{}
			r.Load(&cwjob.Job{ID: "job", Team: "a"}, 1)
			r.Enqueue(cwjobrow.Change{
				Apply:    func(_ time.Time, job *cwjob.Job) bool { job.Team = "b"; return true },
				Done:     func(applied bool) { done = append(done, applied) },
				Deadline: start.Add(time.Minute),
			})
			c.run(r)
			is.Equal(done, c.done)
			is.Equal(r.Job.Team, c.team)
			is.Equal(r.PendingChanges(), c.pending)
		})
	}
}
