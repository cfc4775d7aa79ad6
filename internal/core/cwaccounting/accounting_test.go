package cwaccounting_test

import (
	"math"
	"testing"
	"time"
	_ "time/tzdata"

	"github.com/matryer/is"

	"currantward/internal/base/cwsketch"
	"currantward/internal/core/cwaccounting"
	"currantward/internal/core/cwmodel"
)

func TestBoundsFollowSummerTime(t *testing.T) {
	cases := []struct {
		zone string
		day  string
		want time.Duration
	}{
		{"Africa/Cairo", "2026-03-01", 24 * time.Hour},
		{"Africa/Cairo", "2026-04-24", 23 * time.Hour}, // 00:00 does not exist
		{"Africa/Cairo", "2026-10-29", 25 * time.Hour}, // 23:00 comes twice
		{"Africa/Windhoek", "2026-04-24", 24 * time.Hour},
		{"UTC", "2024-02-29", 24 * time.Hour},
	}
	for _, c := range cases {
		t.Run(c.zone+" "+c.day, func(t *testing.T) {
			is := is.New(t)
			zone, err := time.LoadLocation(c.zone)
			is.NoErr(err)
			from, to, err := cwaccounting.DayBounds(c.day, zone)
			is.NoErr(err)
			is.Equal(to.Sub(from), c.want)
			is.Equal(cwaccounting.DayOf(from, zone), c.day)
			is.True(cwaccounting.DayOf(from.Add(-time.Nanosecond), zone) < c.day)
			is.Equal(cwaccounting.DayOf(to.Add(-time.Nanosecond), zone), c.day)
			is.True(cwaccounting.DayOf(to, zone) > c.day)
		})
	}
	_, _, err := cwaccounting.DayBounds("2026-02-30", time.UTC)
	is.New(t).True(err != nil)
}

func TestSumsCountWhatCallersWereTold(t *testing.T) {
	is := is.New(t)
	tally := cwaccounting.New(time.UTC)
	at := time.Date(2026, 12, 4, 23, 59, 59, 0, time.UTC)
	for n, outcome := range cwmodel.Outcomes() {
		answer := cwmodel.Response{Outcome: outcome, Attempts: 1, WaitTime: time.Second, RunTime: time.Hour}
		if outcome == cwmodel.OutcomeNotRun {
			answer = cwmodel.Response{Outcome: outcome}
		}
		tally.Count(cwaccounting.Event{
			At: at.Add(time.Duration(n/4) * time.Second), Profile: "p", Team: "t", Answer: answer, Latency: time.Hour + 3*time.Second,
			Demand: cwmodel.Resources{MilliProcessors: 500, MemoryBytes: 2 << 30, Accelerators: 1},
		})
	}
	parts, all := tally.TakeDirty(1)
	is.Equal(parts, []cwaccounting.RowKey{{Day: "2026-12-04", Profile: "p"}})
	is.True(!all)
	s := tally.Lines(parts[0])[0].Sums
	is.Equal(s.Requests, int64(4))
	is.Equal(s.Outcomes, cwaccounting.Outcomes{Done: 1, Failed: 1, NotRun: 1, Cancelled: 1})
	is.Equal(s.Allocated, cwaccounting.ResourceHours{ProcessorHours: 1.5, MemoryGiBHours: 6, AcceleratorHours: 3})
	is.Equal(s.Overhead, 6*time.Second)
	is.Equal(s.WaitTimes.Count(), int64(3)) // what never started did not wait for a start
	median := s.WaitTimes.Quantile(0.5)
	is.True(math.Abs(median.Seconds()-1) <= cwsketch.Accuracy+1e-6) // a nanosecond is lost in the conversion
	is.Equal(tally.Lines(cwaccounting.RowKey{Day: "2026-12-05", Profile: "p"})[0].Sums.Outcomes, cwaccounting.Outcomes{Unknown: 1})
}

func TestJudgeNamesHostsWhoseLastAnswersMayBeMissing(t *testing.T) {
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	dayEnds := time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)
	cases := []struct {
		name    string
		writer  cwaccounting.Writer
		missing bool
	}{
		{"writes", cwaccounting.Writer{FlushedAt: now.Add(-2 * time.Second)}, false},
		{"closed long ago", cwaccounting.Writer{FlushedAt: now.Add(-time.Hour), Closed: true}, false},
		{"silent and not closed", cwaccounting.Writer{FlushedAt: now.Add(-11 * time.Second)}, true},
		{"wrote after the day", cwaccounting.Writer{FlushedAt: dayEnds}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			incomplete, _ := cwaccounting.FindIncomplete([]cwaccounting.Writer{c.writer}, dayEnds, now, 10*time.Second)
			is.Equal(len(incomplete) == 1, c.missing)
		})
	}
}
