package cwcellowner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
	"currantward/internal/port/cwcellport"
)

// TestRefusedWriteCostsItsOwnJobAlone guards against a cell that comes to a standstill because the store refuses the row of one job for good:
// the writes of all others in the same transaction or partition must be stored, and their ends acknowledged.
func TestRefusedWriteCostsItsOwnJobAlone(t *testing.T) {
	cases := []struct {
		name       string
		partitions int
		refuses    func(row cwcellport.Row) bool
		badState   cwwork.JobState // final state of job 0
		allRefused bool            // the other jobs are not stored either, so that none may be failed for it
	}{
		{"progress refused, one partition", 1, func(r cwcellport.Row) bool { return r.Table == TableProgress && r.Key == jobID(0) }, cwwork.StateFailed, false},
		{"progress refused, many partitions", 8, func(r cwcellport.Row) bool { return r.Table == TableProgress && r.Key == jobID(0) }, cwwork.StateFailed, false},
		{"nothing refused", 1, func(cwcellport.Row) bool { return false }, cwwork.StateRunning, false},
		{"every row refused", 1, func(cwcellport.Row) bool { return true }, cwwork.StateRunning, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s := newTestSession(t, tc.partitions)
			s.onCommit = func(tx cwcellport.Transaction) error {
				if slices.ContainsFunc(tx.Put, tc.refuses) {
					return cwfault.New(cwfault.Refused, "the store answered 400")
				}
				return nil
			}
			const jobs = 12
			for n := range jobs {
				s.admitJob(cwmodel.JobID(jobID(n)), 2)
				s.finish(cwmodel.JobID(jobID(n)), 0)
			}
			s.drive(10 * time.Second)
			for n := 1; n < jobs; n++ {
				is.Equal(s.hasRow(TableProgress, cwmodel.JobID(jobID(n))), !tc.allRefused)
			}
			state, _ := s.cell.JobState(cwmodel.JobID(jobID(0)))
			is.Equal(state, tc.badState)
			_, allDurable := s.cell.AckWatermark("a")
			is.Equal(allDurable, !tc.allRefused)
			if tc.allRefused {
				s.onCommit = nil
				s.drive(maxRefusalBackoff + time.Second) // the store is well again
				is.True(s.hasRow(TableProgress, cwmodel.JobID(jobID(0))))
			}
		})
	}
}

// jobID returns the identifier of the n-th job of a test.
func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// TestTransactionsStayWithinTheLimitsOfTheStore guards against writes that the store refuses because several large rows together exceed the size
// of a transaction, and against a job whose progress alone does: it fails, and the others are stored.
func TestTransactionsStayWithinTheLimitsOfTheStore(t *testing.T) {
	const jobs = 40
	is := is.New(t)
	s := newTestSession(t, 4)
	refused := 0
	s.onCommit = func(tx cwcellport.Transaction) error {
		for _, row := range tx.Put {
			if len(row.Value) > s.owner.maxRowBytes() {
				refused++
			}
		}
		return nil
	}
	s.owner.opts.Store.MaxRowBytes = 2000 // below the progress of the largest job, whose bitmap alone has more
	s.admitJob("large", cwwork.MaxTasks)
	for index := 0; index < cwwork.MaxTasks; index += 3 {
		s.finish("large", index)
	}
	for n := range jobs {
		s.admitJob(cwmodel.JobID(jobID(n)), 2)
		s.finish(cwmodel.JobID(jobID(n)), 0)
	}
	s.drive(3 * time.Second)
	is.Equal(refused, 0)
	state, _ := s.cell.JobState("large")
	is.Equal(state, cwwork.StateFailed)
	for n := range jobs {
		is.True(s.hasRow(TableProgress, cwmodel.JobID(jobID(n))))
	}
	_, allDurable := s.cell.AckWatermark("a")
	is.True(allDurable)
}
