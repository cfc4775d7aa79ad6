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

// TestDayBoundsFollowDaylightSaving asserts the length of days on which clocks change, also where midnight does not exist or
// the last hour occurs twice.
func TestDayBoundsFollowDaylightSaving(t *testing.T) {
	cases := []struct {
		zone string
		day  string
		want time.Duration
	}{
		{"Africa/Cairo", "2026-03-01", 24 * time.Hour},
		{"Africa/Cairo", "2026-04-24", 23 * time.Hour}, // 00:00 does not exist
		{"Africa/Cairo", "2026-10-29", 25 * time.Hour}, // 23:00 occurs twice
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

// TestSumsCountResponses asserts the totals of responses with each outcome on both sides of midnight.
func TestSumsCountResponses(t *testing.T) {
	is := is.New(t)
	counters := cwaccounting.New(time.UTC)
	at := time.Date(2026, 12, 4, 23, 59, 59, 0, time.UTC)
	for n, outcome := range cwmodel.Outcomes() {
		response := cwmodel.Response{Outcome: outcome, Attempts: 1, WaitTime: time.Second, RunTime: time.Hour}
		if outcome == cwmodel.OutcomeNotRun {
			response = cwmodel.Response{Outcome: outcome}
		}
		counters.Count(cwaccounting.Event{
			At: at.Add(time.Duration(n/4) * time.Second), Profile: "p", Team: "t", Response: response, Latency: time.Hour + 3*time.Second,
			Demand: cwmodel.Resources{MilliProcessors: 500, MemoryBytes: 2 << 30, Accelerators: 1},
		})
	}
	rows, all := counters.TakeDirty(1)
	is.Equal(rows, []cwaccounting.RowKey{{Day: "2026-12-04", Profile: "p"}})
	is.True(!all)
	s := counters.Lines(rows[0])[0].Sums
	is.Equal(s.Requests, int64(4))
	is.Equal(s.Outcomes, cwaccounting.Outcomes{Done: 1, Failed: 1, NotRun: 1, Cancelled: 1})
	is.Equal(s.Allocated, cwaccounting.ResourceHours{ProcessorHours: 1.5, MemoryGiBHours: 6, AcceleratorHours: 3})
	is.Equal(s.Overhead, 6*time.Second)
	is.Equal(s.WaitTimes.Count(), int64(3)) // a task that never started has no wait time
	median := s.WaitTimes.Quantile(0.5)
	is.True(math.Abs(median.Seconds()-1) <= cwsketch.Accuracy+1e-6) // the conversion to seconds loses a nanosecond
	is.Equal(counters.Lines(cwaccounting.RowKey{Day: "2026-12-05", Profile: "p"})[0].Sums.Outcomes, cwaccounting.Outcomes{Unknown: 1})
}

// TestFindIncompleteReportsWritersWithoutFinalFlush asserts that a writer counts as incomplete only if it is neither closed nor
// has flushed recently or after the day.
func TestFindIncompleteReportsWritersWithoutFinalFlush(t *testing.T) {
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	dayEnd := time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)
	cases := []struct {
		name    string
		writer  cwaccounting.Writer
		missing bool
	}{
		{"flushes regularly", cwaccounting.Writer{FlushedAt: now.Add(-2 * time.Second)}, false},
		{"closed long ago", cwaccounting.Writer{FlushedAt: now.Add(-time.Hour), Closed: true}, false},
		{"stopped flushing without closing", cwaccounting.Writer{FlushedAt: now.Add(-11 * time.Second)}, true},
		{"flushed after the day", cwaccounting.Writer{FlushedAt: dayEnd}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			incomplete, _ := cwaccounting.FindIncomplete([]cwaccounting.Writer{c.writer}, dayEnd, now, 10*time.Second)
			is.Equal(len(incomplete) == 1, c.missing)
		})
	}
}
