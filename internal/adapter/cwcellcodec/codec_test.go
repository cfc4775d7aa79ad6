package cwcellcodec

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/core/cwclock"
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
			{TaskRun: cwwork.TaskRun{Index: 4, Run: 1003}, Worker: "i-2", Incarnation: time.UnixMilli(1_700_000_004_000), Early: true, Alone: true, Started: true, Crashed: true, Term: 3},
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

// TestDurationsAreStoredInMilliseconds guards against rows that programs of different versions read differently.
func TestDurationsAreStoredInMilliseconds(t *testing.T) {
	cases := []struct {
		name     string
		interval time.Duration
		stored   string
		decoded  time.Duration
	}{
		{"whole", 1500 * time.Millisecond, `"interval":1500`, 1500 * time.Millisecond},
		{"fraction", 1500*time.Millisecond + 700*time.Microsecond, `"interval":1500`, 1500 * time.Millisecond},
		{"none", 0, `"steps":[{"count":1}],"accepted"`, 0}, // left out
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			data, err := EncodeSubmission(&cwwork.Submission{ID: "job", Queue: "q", Steps: []cwwork.Step{{Count: 1}}, Interval: tc.interval, AcceptedAt: time.UnixMilli(5)})
			is.NoErr(err)
			is.True(strings.Contains(string(data), tc.stored))
			s, err := DecodeSubmission("job", data)
			is.NoErr(err)
			is.Equal(s.Interval, tc.decoded)
		})
	}
}

// TestFormerOwnersSurviveEncoding guards against a successor that takes the late calls of a former owner for carried out too early, or of all
// owners for those of the last one.
func TestFormerOwnersSurviveEncoding(t *testing.T) {
	now, read := time.Unix(10, 0), time.Unix(500, 0) // the clocks of two hosts
	cases := []struct {
		name   string
		stored []time.Duration // until the calls of the owners of the terms 1, 2 and so on have no effect any more
		read   []time.Duration
	}{
		{"none", nil, nil},
		{"one", []time.Duration{1500*time.Millisecond + time.Nanosecond}, []time.Duration{1501 * time.Millisecond}},
		{"one has passed", []time.Duration{-time.Second, time.Second}, []time.Duration{0, time.Second}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var list cwclock.FormerOwners
			for n, d := range tc.stored {
				list = append(list, cwclock.FormerOwner{Term: n + 1, CallsExpiry: now.Add(d)})
			}
			var l Lease
			l.SetFormerOwners(list, now)
			data, err := EncodeLease(l)
			is.NoErr(err)
			decoded, err := DecodeLease(data)
			is.NoErr(err)
			var expected cwclock.FormerOwners
			for n, d := range tc.read {
				expected = append(expected, cwclock.FormerOwner{Term: n + 1, CallsExpiry: read.Add(d)})
			}
			is.Equal(decoded.FormerOwnersAfter(read), expected)
		})
	}
}

// TestPriorLeasesAreRoundedUp guards against a successor that takes leases for expired a moment too early.
func TestPriorLeasesAreRoundedUp(t *testing.T) {
	is := is.New(t)
	var l Lease
	l.SetPriorLeases(1500*time.Millisecond + time.Nanosecond)
	data, err := EncodeLease(l)
	is.NoErr(err)
	decoded, err := DecodeLease(data)
	is.NoErr(err)
	is.Equal(decoded, l)
	is.Equal(decoded.PriorLeasesAfter(time.Unix(1, 0)), time.Unix(1, 0).Add(1501*time.Millisecond))
}
