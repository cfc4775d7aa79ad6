package cwcellowner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwcell"
)

// TestSlowStoreCommitsPartitionsSeparately checks that after a slow multi-partition transaction each of its partitions is
// committed alone. A slow multi-partition transaction occupies its partitions twice as long as one on a single partition, and
// job submissions wait for it.
func TestSlowStoreCommitsPartitionsSeparately(t *testing.T) {
	cases := []struct {
		name     string
		took     time.Duration
		separate bool
	}{
		{"as usual", normalCommitTime, false},
		{"slow", slowCommitTime + time.Millisecond, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			timer := cwtimer.NewManual(time.Unix(1000, 0))
			s := &session{owner: &Owner{opts: Options{Timer: timer.Service}}, cell: cwcell.New(cwcell.Options{}), commits: commitState{multiInFlight: 1}}
			p := &partition{name: "p00", busy: true}
			startedAt := timer.Now()
			timer.Advance(tc.took)
			s.handleCommitSuccess(&inflightCommit{partitions: []*partition{p}, multiPartition: true, startedAt: startedAt}, 7, timer.Now())
			is.Equal(p.chainVersion, uint64(7))
			is.True(!p.busy)
			is.Equal(s.commits.multiInFlight, 0)
			is.Equal(timer.Now().Before(p.soloEnd), tc.separate)
		})
	}
}
