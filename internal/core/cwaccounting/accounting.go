// Package cwaccounting totals responses and allocated resources by day, profile and team.
package cwaccounting

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"currantward/internal/core/cwmodel"
)

// Event is a response to a caller with the figures that are added to the totals.
type Event struct {
	At       time.Time // when the response was sent
	Profile  cwmodel.ProfileName
	Team     cwmodel.TeamName
	Response cwmodel.Response
	Demand   cwmodel.Resources // allocated to the task while it ran
	Latency  time.Duration     // from arrival to response
}

// Key identifies a line of the totals: those of one day, profile and team.
type Key struct {
	Day     string // in the deployment's time zone, as 2006-01-02
	Profile cwmodel.ProfileName
	Team    cwmodel.TeamName
}

// RowKey identifies the lines that are stored as one row: those of one day and profile.
type RowKey struct {
	Day     string
	Profile cwmodel.ProfileName
}

// Line is the totals of one day, profile and team.
type Line struct {
	Key  Key
	Sums Sums
}

// Counters are the totals of one process. They are not safe for concurrent use.
type Counters struct {
	zone  *time.Location
	lines map[Key]*Sums
	dirty map[RowKey]bool
}

// New returns empty counters whose days begin at midnight in zone.
func New(zone *time.Location) *Counters {
	return &Counters{zone: zone, lines: map[Key]*Sums{}, dirty: map[RowKey]bool{}}
}

// Count adds a response to the day on which it was sent.
func (c *Counters) Count(e Event) {
	key := Key{Day: DayOf(e.At, c.zone), Profile: e.Profile, Team: e.Team}
	sums, ok := c.lines[key]
	if !ok {
		sums = &Sums{}
		c.lines[key] = sums
	}
	sums.count(e)
	c.dirty[RowKey{key.Day, key.Profile}] = true
}

// Lines returns the lines of a row, sorted by team. Their histograms are shared with the counters.
func (c *Counters) Lines(row RowKey) (lines []Line) {
	for key, sums := range c.lines {
		if key.Day == row.Day && key.Profile == row.Profile {
			lines = append(lines, Line{Key: key, Sums: *sums})
		}
	}
	SortLines(lines)
	return lines
}

// TakeDirty returns up to limit rows that changed since they were last taken, sorted, and whether these are all.
func (c *Counters) TakeDirty(limit int) (rows []RowKey, all bool) {
	for row := range c.dirty {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b RowKey) int {
		return cmp.Or(strings.Compare(a.Day, b.Day), strings.Compare(string(a.Profile), string(b.Profile)))
	})
	all = len(rows) <= limit
	rows = rows[:min(len(rows), limit)]
	for _, row := range rows {
		delete(c.dirty, row)
	}
	return rows, all
}

// MarkDirty marks rows that could not be written as changed.
func (c *Counters) MarkDirty(rows []RowKey) {
	for _, row := range rows {
		c.dirty[row] = true
	}
}

// DropDay removes the lines of a day.
func (c *Counters) DropDay(day string) {
	for key := range c.lines {
		if key.Day == day {
			delete(c.lines, key)
		}
	}
	for row := range c.dirty {
		if row.Day == day {
			delete(c.dirty, row)
		}
	}
}

// Merge sums lines with the same key and returns the result sorted.
func Merge(lines []Line) (merged []Line, err error) {
	sums := map[Key]*Sums{}
	for _, line := range lines {
		s, ok := sums[line.Key]
		if !ok {
			s = &Sums{}
			sums[line.Key] = s
		}
		if err = s.add(line.Sums); err != nil {
			return nil, err
		}
	}
	for key, s := range sums {
		merged = append(merged, Line{Key: key, Sums: *s})
	}
	SortLines(merged)
	return merged, nil
}

// SortLines sorts lines by day, profile and team.
func SortLines(lines []Line) {
	slices.SortFunc(lines, func(a, b Line) int {
		return cmp.Or(
			strings.Compare(a.Key.Day, b.Key.Day),
			strings.Compare(string(a.Key.Profile), string(b.Key.Profile)),
			strings.Compare(string(a.Key.Team), string(b.Key.Team)),
		)
	})
}
