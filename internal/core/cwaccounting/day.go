package cwaccounting

import (
	"sort"
	"time"

	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwmodel"
)

// Day is the sums of one day over all hosts.
type Day struct {
	Day        string
	From       time.Time // the first instant of the day
	To         time.Time // the first instant of the next day
	AsOf       time.Time // no live host's latest write is older
	Lines      []Line
	Incomplete []Incomplete
}

// Incomplete names a process that ended without writing its last answers.
type Incomplete struct {
	Host   cwmodel.HostID
	Writer string
	Since  time.Time // its answers after this may be missing
}

// Writer is what one process says of its rows of one day.
type Writer struct {
	Name      string // the host and its incarnation
	Host      cwmodel.HostID
	FlushedAt time.Time // all answers before this are written
	Closed    bool      // the process ended after it had written all
}

// FindIncomplete returns the writers whose last answers may be missing at now, and the oldest write of a live one.
func FindIncomplete(writers []Writer, dayEnds, now time.Time, lateAfter time.Duration) (incomplete []Incomplete, asOf time.Time) {
	asOf = now
	for _, w := range writers {
		switch {
		case w.Closed || !w.FlushedAt.Before(dayEnds):
		case now.Sub(w.FlushedAt) > lateAfter:
			incomplete = append(incomplete, Incomplete{Host: w.Host, Writer: w.Name, Since: w.FlushedAt})
		case w.FlushedAt.Before(asOf):
			asOf = w.FlushedAt
		}
	}
	return incomplete, asOf
}

// DayOf returns the day of now in zone as 2006-01-02.
func DayOf(now time.Time, zone *time.Location) string {
	return now.In(zone).Format(time.DateOnly)
}

// DayBounds returns the first instant of a day in zone and that of the next day, summer time included.
func DayBounds(day string, zone *time.Location) (from, to time.Time, err error) {
	noon, err := time.ParseInLocation(time.DateOnly+" 15", day+" 12", zone)
	if err != nil {
		return from, to, cwfault.New(cwfault.Invalid, "day: %q is not a date such as 2006-01-02", day)
	}
	return firstInstant(noon, zone), firstInstant(noon.AddDate(0, 0, 1), zone), nil
}

// firstInstant searches for midnight, since where clocks change at midnight it does not exist or comes twice.
func firstInstant(noon time.Time, zone *time.Location) time.Time {
	const span = 15 * time.Hour
	day, earliest := DayOf(noon, zone), noon.Add(-span)
	seconds := sort.Search(int(span/time.Second), func(n int) bool {
		return DayOf(earliest.Add(time.Duration(n)*time.Second), zone) >= day
	})
	return earliest.Add(time.Duration(seconds) * time.Second)
}
