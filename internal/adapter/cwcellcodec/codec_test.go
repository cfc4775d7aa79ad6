package cwcellcodec

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/core/cwwork"
)

// TestProgressSurvivesEncoding guards against an owner that forgets what its predecessor has stored, so that a task which crashes its workers is
// counted from zero after each change of the owner.
func TestProgressSurvivesEncoding(t *testing.T) {
	cases := []struct {
		name     string
		progress cwwork.Progress
	}{
		{"done and failed", cwwork.Progress{Steps: []cwwork.StepProgress{{Occurrence: 2, Step: 1, Done: []int{0, 3}, Failed: []cwwork.TaskRun{{Index: 1, Run: 1004}}}}}},
		{"lost", cwwork.Progress{Steps: []cwwork.StepProgress{{Lost: []cwwork.LostRun{
			{TaskRun: cwwork.TaskRun{Index: 4, Run: 2}, Worker: "i-1", Incarnation: time.UnixMilli(1_700_000_000_123), Early: true},
			{TaskRun: cwwork.TaskRun{Index: 4, Run: 1003}, Worker: "i-2", Incarnation: time.UnixMilli(1_700_000_004_000), Early: true, Alone: true, Crashed: true},
		}}}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			data, err := EncodeProgress(&tc.progress)
			is.NoErr(err)
			decoded, err := DecodeProgress(data)
			is.NoErr(err)
			is.Equal(*decoded, tc.progress)
		})
	}
}

// TestProgressOfAnOlderProgram checks that a row without lost runs, as an older program writes it, is read.
func TestProgressOfAnOlderProgram(t *testing.T) {
	is := is.New(t)
	p, err := DecodeProgress([]byte(`{"steps":[{"done":[1],"failed":[[0,2]]}]}`))
	is.NoErr(err)
	is.Equal(*p, cwwork.Progress{Steps: []cwwork.StepProgress{{Done: []int{1}, Failed: []cwwork.TaskRun{{Run: 2}}}}})
}
