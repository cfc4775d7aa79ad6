// Package cwaccounting counts what callers were told, by day, profile and team.
package cwaccounting

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"currantward/internal/core/cwmodel"
)

// Event is one answer with what the totals need of it.
type Event struct {
	At      time.Time
	Profile cwmodel.ProfileName
	Team    cwmodel.TeamName
	Answer  cwmodel.Response
	Demand  cwmodel.Resources // what the task had reserved while it ran
	Latency time.Duration     // from arrival to answer
}

// Key names one line of the totals.
type Key struct {
	Day     string // in the deployment's time zone, as 2006-01-02
	Profile cwmodel.ProfileName
	Team    cwmodel.TeamName
}

// RowKey is what is written as one row: the lines of one day and profile.
type RowKey struct {
	Day     string
	Profile cwmodel.ProfileName
}

// Line is one key with its sums.
type Line struct {
	Key  Key
	Sums Sums
}

// Counters holds the lines of one process; one goroutine uses it.
type Counters struct {
	zone    *time.Location
	lines   map[Key]*Sums
	changed map[RowKey]bool
}

// New returns an empty tally whose days begin at midnight in zone.
func New(zone *time.Location) *Counters {
	return &Counters{zone: zone, lines: map[Key]*Sums{}, changed: map[RowKey]bool{}}
}

// Count adds one answer to the day on which it was given.
func (t *Counters) Count(e Event) {
	key := Key{Day: DayOf(e.At, t.zone), Profile: e.Profile, Team: e.Team}
	sums, ok := t.lines[key]
	if !ok {
		sums = &Sums{}
		t.lines[key] = sums
	}
	sums.count(e)
	t.changed[RowKey{key.Day, key.Profile}] = true
}

// Lines returns the lines of one part, sorted by team; their histograms stay those of the tally.
func (t *Counters) Lines(p RowKey) (lines []Line) {
	for key, sums := range t.lines {
		if key.Day == p.Day && key.Profile == p.Profile {
			lines = append(lines, Line{Key: key, Sums: *sums})
		}
	}
	SortLines(lines)
	return lines
}

// TakeDirty returns up to limit parts that changed since they were taken last, sorted, and whether that is all.
func (t *Counters) TakeDirty(limit int) (parts []RowKey, all bool) {
	for part := range t.changed {
		parts = append(parts, part)
	}
	slices.SortFunc(parts, func(a, b RowKey) int {
		return cmp.Or(strings.Compare(a.Day, b.Day), strings.Compare(string(a.Profile), string(b.Profile)))
	})
	all = len(parts) <= limit
	parts = parts[:min(len(parts), limit)]
	for _, part := range parts {
		delete(t.changed, part)
	}
	return parts, all
}

// MarkDirty puts parts back that could not be written.
func (t *Counters) MarkDirty(parts []RowKey) {
	for _, part := range parts {
		t.changed[part] = true
	}
}

// DropDay forgets one day.
func (t *Counters) DropDay(day string) {
	for key := range t.lines {
		if key.Day == day {
			delete(t.lines, key)
		}
	}
	for part := range t.changed {
		if part.Day == day {
			delete(t.changed, part)
		}
	}
}

// Merge adds up lines of the same key and returns them sorted.
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

// SortLines sorts by day, profile and team.
func SortLines(lines []Line) {
	slices.SortFunc(lines, func(a, b Line) int {
		return cmp.Or(
			strings.Compare(a.Key.Day, b.Key.Day),
			strings.Compare(string(a.Key.Profile), string(b.Key.Profile)),
			strings.Compare(string(a.Key.Team), string(b.Key.Team)),
		)
	})
}
