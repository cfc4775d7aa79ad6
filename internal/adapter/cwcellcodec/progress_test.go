package cwcellcodec

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// TestProgressOfTheLargestJobs guards against a job whose progress outgrows a row of the store, which then refuses every write of it.
func TestProgressOfTheLargestJobs(t *testing.T) {
	const rowBytes = 65536
	everySecond := func(count int) (list []int) {
		for n := 0; n < count; n += 2 {
			list = append(list, n)
		}
		return list
	}
	failed := func(count, runs int) (list []cwwork.TaskRun) {
		for n := range count {
			for run := range runs {
				list = append(list, cwwork.TaskRun{Index: n, Run: run + 1})
			}
		}
		return list
	}
	lost := func(count, crashes int) (list []cwwork.LostRun) {
		for n := range count {
			list = append(list, cwwork.LostRun{
				TaskRun: cwwork.TaskRun{Index: n, Run: 1}, Worker: cwmodel.HostID("i-0123456789"), Incarnation: time.UnixMilli(1_700_000_000_000 + int64(n%crashes)), Early: true, Crashed: true,
			})
		}
		return list
	}
	largest := &cwwork.Submission{Steps: []cwwork.Step{{Count: cwwork.MaxTasks}}}
	steps := &cwwork.Submission{Repeats: 1 << 30}
	for range cwwork.MaxSteps {
		steps.Steps = append(steps.Steps, cwwork.Step{Count: 3})
	}
	cases := []struct {
		name     string
		job      *cwwork.Submission
		progress func(occurrences int) cwwork.Progress // with as many unfinished occurrences as may be open
	}{
		{"every second task done", largest, func(int) cwwork.Progress {
			return cwwork.Progress{Steps: []cwwork.StepProgress{{Done: everySecond(cwwork.MaxTasks)}}}
		}},
		{"every task failed twice and every second done", largest, func(int) cwwork.Progress {
			return cwwork.Progress{Steps: []cwwork.StepProgress{{Done: everySecond(cwwork.MaxTasks), Failed: failed(cwwork.MaxTasks, 2)}}}
		}},
		{"a thousand tasks lost in ten crashes", largest, func(int) cwwork.Progress {
			return cwwork.Progress{Steps: []cwwork.StepProgress{{Done: everySecond(cwwork.MaxTasks), Lost: lost(1000, 10)}}}
		}},
		{"many occurrences, every second unfinished", &cwwork.Submission{Repeats: 1 << 30, Steps: []cwwork.Step{{Count: 2}}}, func(occurrences int) (p cwwork.Progress) {
			const first = 1_000_000_000
			p.FinishedBelow = first + 2*occurrences
			for n := range occurrences {
				p.Unfinished = append(p.Unfinished, first+2*n)
				p.Steps = append(p.Steps, cwwork.StepProgress{Occurrence: first + 2*n, Done: []int{1}})
			}
			return p
		}},
		{"occurrences of many steps", steps, func(occurrences int) (p cwwork.Progress) {
			for n := range occurrences {
				for step := range cwwork.MaxSteps {
					p.Steps = append(p.Steps, cwwork.StepProgress{Occurrence: 1_000_000_000 + n, Step: step, Done: []int{0, 2}})
				}
			}
			return p
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			occurrences := MaxStoredOccurrences(tc.job, rowBytes)
			is.True(occurrences >= 1)
			p := tc.progress(occurrences)
			data, err := EncodeProgress(&p)
			is.NoErr(err)
			t.Logf("%d unfinished occurrences, %d bytes", occurrences, len(data))
			is.True(len(data) <= rowBytes)
			decoded, err := DecodeProgress(data)
			is.NoErr(err)
			is.Equal(*decoded, p)
		})
	}
}

// TestIndexSets guards against progress that the next owner reads differently from what was written.
func TestIndexSets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfNDistinct(rapid.IntRange(0, rapid.SampledFrom([]int{40, 400, 1 << 40}).Draw(t, "range")), 0, 30, rapid.ID[int]).Draw(t, "numbers")
		slices.Sort(list)
		data, err := json.Marshal(indexSet(list))
		if err != nil {
			t.Fatal(err)
		}
		var decoded indexSet
		if err := json.Unmarshal(data, &decoded); err != nil || !slices.Equal(decoded, list) {
			t.Fatalf("%v is read as %v: %v", list, decoded, err)
		}
	})
}

// TestDamagedIndexSets checks that a damaged row is refused and does not exhaust the memory.
func TestDamagedIndexSets(t *testing.T) {
	cases := []struct {
		name string
		text string
	}{
		{"no number", `"a"`},
		{"range backwards", `"7-3"`},
		{"range beyond the limit", `"0-99999999999"`},
		{"empty part", `"1,,2"`},
		{"bitmap without a start", `":AQ=="`},
		{"bitmap that is not base64", `"0:?"`},
		{"number", `7`},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var decoded indexSet
			is.True(json.Unmarshal([]byte(tc.text), &decoded) != nil)
		})
	}
}
