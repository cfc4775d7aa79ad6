package cwaccounting

import (
	"sort"
	"time"

	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwmodel"
)

// Day is the totals of one day, summed over all hosts.
type Day struct {
	Day        string    // as 2006-01-02
	From       time.Time // the first instant of the day
	To         time.Time // the first instant of the next day
	AsOf       time.Time // oldest flush time among the live hosts
	Lines      []Line
	Incomplete []IncompleteWriter // processes whose last responses may be missing
}

// IncompleteWriter identifies a process that ended without writing its last responses.
type IncompleteWriter struct {
	Host   cwmodel.HostID
	Writer string
	Since  time.Time // responses after this may be missing
}

// Writer is the state of one process's rows of one day.
type Writer struct {
	Name      string // host and incarnation
	Host      cwmodel.HostID
	FlushedAt time.Time // all earlier responses are written
	Closed    bool      // the process ended after writing everything
}

// FindIncomplete returns the writers that have not flushed for longer than lateAfter, so that their last responses of the day
// may be missing, and the oldest flush time among the other writers. Writers that have flushed the whole day or are closed
// are complete.
func FindIncomplete(writers []Writer, dayEnd, now time.Time, lateAfter time.Duration) (incomplete []IncompleteWriter, asOf time.Time) {
	asOf = now
	for _, w := range writers {
		switch {
		case w.Closed || !w.FlushedAt.Before(dayEnd):
		case now.Sub(w.FlushedAt) > lateAfter:
			incomplete = append(incomplete, IncompleteWriter{Host: w.Host, Writer: w.Name, Since: w.FlushedAt})
		case w.FlushedAt.Before(asOf):
			asOf = w.FlushedAt
		}
	}
	return incomplete, asOf
}

// DayOf returns the date of now in zone as 2006-01-02.
func DayOf(now time.Time, zone *time.Location) string {
	return now.In(zone).Format(time.DateOnly)
}

// DayBounds returns the first instant of a day in zone and that of the next day, respecting daylight saving time.
func DayBounds(day string, zone *time.Location) (from, to time.Time, err error) {
	noon, err := time.ParseInLocation(time.DateOnly+" 15", day+" 12", zone)
	if err != nil {
		return from, to, cwfault.New(cwfault.Invalid, "day: %q is not a date such as 2006-01-02", day)
	}
	return firstInstant(noon, zone), firstInstant(noon.AddDate(0, 0, 1), zone), nil
}

// firstInstant searches for the start of the day: where clocks change at midnight, 00:00 does not exist or occurs twice.
func firstInstant(noon time.Time, zone *time.Location) time.Time {
	const span = 15 * time.Hour
	day, earliest := DayOf(noon, zone), noon.Add(-span)
	seconds := sort.Search(int(span/time.Second), func(n int) bool {
		return DayOf(earliest.Add(time.Duration(n)*time.Second), zone) >= day
	})
	return earliest.Add(time.Duration(seconds) * time.Second)
}
