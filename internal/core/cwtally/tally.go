// Package cwtally counts what callers were told, by day, profile and team.
package cwtally

import (
	"slices"
	"strings"
	"time"

	"currantward/internal/core/cwmodel"
)

// Key names one line of the totals.
type Key struct {
	Day     string // in the deployment's time zone, as 2006-01-02
	Profile cwmodel.ProfileName
	Team    cwmodel.TeamName
}

// Sums are the counts of one line.
type Sums struct {
	Asked    int64
	Outcomes Outcomes
	Waited   time.Duration
	Ran      time.Duration
}

// Outcomes counts the answers of each outcome.
type Outcomes struct {
	Done, Failed, NotRun, Cancelled, Unknown int64
}

// Plus returns s + o.
func (s Sums) Plus(o Sums) Sums {
	s.Asked += o.Asked
	s.Outcomes.Done += o.Outcomes.Done
	s.Outcomes.Failed += o.Outcomes.Failed
	s.Outcomes.NotRun += o.Outcomes.NotRun
	s.Outcomes.Cancelled += o.Outcomes.Cancelled
	s.Outcomes.Unknown += o.Outcomes.Unknown
	s.Waited += o.Waited
	s.Ran += o.Ran
	return s
}

// Line is one key with its sums.
type Line struct {
	Key  Key
	Sums Sums
}

// Tally holds the lines of one process; one goroutine uses it.
type Tally struct {
	zone  *time.Location
	lines map[Key]Sums
}

// New returns an empty tally whose days begin at midnight in zone.
func New(zone *time.Location) *Tally {
	return &Tally{zone: zone, lines: map[Key]Sums{}}
}

// Count adds one answer to the day on which it was given.
func (t *Tally) Count(now time.Time, profile cwmodel.ProfileName, team cwmodel.TeamName, answer cwmodel.Answer) {
	key := Key{Day: DayOf(now, t.zone), Profile: profile, Team: team}
	sums := t.lines[key]
	sums.Asked++
	switch answer.Outcome {
	case cwmodel.OutcomeDone:
		sums.Outcomes.Done++
	case cwmodel.OutcomeFailed:
		sums.Outcomes.Failed++
	case cwmodel.OutcomeNotRun:
		sums.Outcomes.NotRun++
	case cwmodel.OutcomeCancelled:
		sums.Outcomes.Cancelled++
	case cwmodel.OutcomeUnknown:
		sums.Outcomes.Unknown++
	}
	sums.Waited += answer.Waited
	sums.Ran += answer.Ran
	t.lines[key] = sums
}

// Lines returns the lines of one day, sorted by profile and team.
func (t *Tally) Lines(day string) (lines []Line) {
	for key, sums := range t.lines {
		if key.Day == day {
			lines = append(lines, Line{Key: key, Sums: sums})
		}
	}
	SortLines(lines)
	return lines
}

// Days returns the days that have lines, sorted.
func (t *Tally) Days() (days []string) {
	for key := range t.lines {
		if !slices.Contains(days, key.Day) {
			days = append(days, key.Day)
		}
	}
	slices.Sort(days)
	return days
}

// Merge adds up lines of the same key and returns them sorted.
func Merge(lines []Line) (merged []Line) {
	sums := map[Key]Sums{}
	for _, line := range lines {
		sums[line.Key] = sums[line.Key].Plus(line.Sums)
	}
	for key, s := range sums {
		merged = append(merged, Line{Key: key, Sums: s})
	}
	SortLines(merged)
	return merged
}

// SortLines sorts by day, profile and team.
func SortLines(lines []Line) {
	slices.SortFunc(lines, func(a, b Line) int {
		if c := strings.Compare(a.Key.Day, b.Key.Day); c != 0 {
			return c
		}
		if c := strings.Compare(string(a.Key.Profile), string(b.Key.Profile)); c != 0 {
			return c
		}
		return strings.Compare(string(a.Key.Team), string(b.Key.Team))
	})
}

// DayOf returns the day of now in zone as 2006-01-02.
func DayOf(now time.Time, zone *time.Location) string {
	return now.In(zone).Format(time.DateOnly)
}
