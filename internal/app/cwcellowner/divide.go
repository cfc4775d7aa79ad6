package cwcellowner

import (
	"time"

	"currantward/internal/base/cwlog"
)

// division leads from one cell to several, once, where one owner cannot carry the workers. The owner starts nothing more
// until nothing runs and all is durable, so that no run is left that belongs to a worker of one cell and a job of another.
type division struct {
	workers int
	since   time.Time // when their number last changed: at the start of a deployment they come one after another
	paused  time.Time // since when nothing is started; zero while it is not divided
	notYet  time.Time // no try before, after one that took too long
}

// Bounds of a division.
const (
	// growthSettled is how long the number of workers must stand still: longer than the pause between two reads of their list.
	growthSettled = workersPause + 100*time.Millisecond
	// divisionPatience bounds how long nothing is started; it is longer than most tasks run.
	divisionPatience = 15 * time.Second
	// divisionPause is the time between two tries.
	divisionPause = time.Minute
)

// considerDividing asks for several cells where one owner cannot carry the workers.
func (s *session) considerDividing(now time.Time) {
	d := &s.division
	if s.owner.opts.Cell != 0 || s.tenure.Layout.Count() > 1 {
		return
	}
	if workers := len(s.links); workers != d.workers {
		d.workers, d.since = workers, now
	}
	cells := s.owner.opts.CellsFor(d.workers, s.owner.opts.Store.Partitions)
	line := s.owner.opts.Log.WithFields(cwlog.Fields{"workers": d.workers, "cells": cells})
	why := s.undivided()
	switch {
	case d.paused.IsZero() && (cells == 1 || now.Sub(d.since) < growthSettled || now.Before(d.notYet)):
	case d.paused.IsZero() && s.cell.HasLongRunning():
		// They would not end, and a pause would only hold up the others.
		line.WithField("why", "lasting-tasks").Warn("division-given-up")
		d.notYet = now.Add(divisionPause)
	case d.paused.IsZero():
		line.Info("division-begins")
		d.paused = now
		s.cell.SetPaused(true)
	case why == "" && cells > 1:
		line.WithField("after", now.Sub(d.paused)).Info("cell-divided")
		d.paused = now
		s.owner.opts.Divide(cells)
	case cells == 1 || now.Sub(d.paused) > divisionPatience:
		line.WithField("why", why).Warn("division-given-up")
		d.paused, d.notYet = time.Time{}, now.Add(divisionPause)
		s.cell.SetPaused(false)
	}
}

// undivided says why the store does not yet say all that the owners of several cells have to know, or nothing.
func (s *session) undivided() (why string) {
	switch {
	case !s.counted:
		return "jobs-not-read"
	case s.commits.shared > 0 || s.commits.cell.busy || len(s.commits.doubtful) > 0:
		return "writes"
	}
	for _, p := range s.parts {
		if p.busy {
			return "writes"
		}
	}
	return s.cell.QuiescenceBlocker()
}
