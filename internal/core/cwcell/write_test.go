package cwcell

import (
	"testing"

	"github.com/matryer/is"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// TestWriteThatWasAppliedAfterAll guards against a job whose end is written twice: the second time its rows are removed already.
func TestWriteThatWasAppliedAfterAll(t *testing.T) {
	cases := []struct {
		name    string
		change  bool // the job changes between the write and its result
		pending int
	}{
		{"no change since", false, 0},
		{"another change since", true, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture([]cwmodel.HostID{"a"}, plainPolicy)
			f.admit(step(1, 1000, false))
			f.Cancel("job")
			writes := f.NextWrites(1, func(cwmodel.JobID) bool { return true })
			is.Equal(writes[0].State, cwwork.StateCancelled)
			f.CompleteWrites(writes, false, f.now) // no response
			if tc.change {
				f.markDirty(f.jobs["job"])
			}
			f.CompleteWrites(writes, true, f.now)
			is.Equal(f.PendingWrites(), tc.pending)
		})
	}
}
