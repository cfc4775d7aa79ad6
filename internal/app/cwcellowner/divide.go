package cwcellowner

import (
	"time"

	"currantward/internal/base/cwlog"
)

// division is the state of the transition from a single cell to several, which a deployment makes once, when it has too many
// workers for one owner. The owner first starts no more tasks and waits until none runs and all state is durable. Otherwise a
// run could remain whose worker belongs to one cell and whose job belongs to another.
type division struct {
	workers        int       // number of workers at the last check
	stableSince    time.Time // last change of the worker count: workers of a new deployment register one by one
	phaseStartedAt time.Time // start of the pause in task starts, then time of the last request to divide; zero: not paused
	retryAt        time.Time // earliest next attempt, after one that was abandoned
}

// Bounds of a division.
const (
	// workersStableTime is how long the worker count must be constant before a division. It exceeds the pause between two polls
	// of the registry.
	workersStableTime = workersWatchPause + 100*time.Millisecond
	// maxDivisionPause bounds the pause in task starts before the request to divide, and after the last one; most tasks run for
	// less.
	maxDivisionPause = 15 * time.Second
	// divisionRetryPeriod is the time between two attempts.
	divisionRetryPeriod = time.Minute
)

// considerCellDivision takes the next step of a division if there are too many workers for one owner: it pauses the start of
// tasks and, once nothing blocks the division, calls Divide. A division that stays blocked for maxDivisionPause, or is no longer
// needed, is abandoned: tasks start again, and the next attempt follows after divisionRetryPeriod. The owner of the first cell
// does this, and only while it is the single cell.
func (s *session) considerCellDivision(now time.Time) {
	d := &s.division
	if s.owner.opts.Cell != 0 || s.grant.Layout.Count() > 1 {
		return
	}
	if workers := len(s.links); workers != d.workers {
		d.workers, d.stableSince = workers, now
	}
	cells := s.owner.opts.RequiredCells(d.workers, s.owner.opts.Store.Partitions)
	log := s.owner.opts.Log.WithFields(cwlog.Fields{"workers": d.workers, "cells": cells})
	blocker := s.divisionBlocker()
	switch {
	case d.phaseStartedAt.IsZero() && (cells == 1 || now.Sub(d.stableSince) < workersStableTime || now.Before(d.retryAt)):
		// No division is due.
	case d.phaseStartedAt.IsZero() && s.cell.HasLongRunning():
		// Long-running tasks would not end, and a pause would only delay the others.
		log.WithField("why", "lasting-tasks").Warn("division-given-up")
		d.retryAt = now.Add(divisionRetryPeriod)
	case d.phaseStartedAt.IsZero():
		log.Info("division-begins")
		d.phaseStartedAt = now
	case blocker == "" && cells > 1:
		log.WithField("after", now.Sub(d.phaseStartedAt)).Info("cell-divided")
		d.phaseStartedAt = now // The division ends this session. Until then each call repeats the request.
		s.owner.opts.Divide(cells)
	case cells == 1 || now.Sub(d.phaseStartedAt) > maxDivisionPause:
		log.WithField("why", blocker).Warn("division-given-up")
		d.phaseStartedAt, d.retryAt = time.Time{}, now.Add(divisionRetryPeriod)
	}
}

// divisionBlocker returns why the store does not yet hold the complete state that the owners of the new cells will read, or ""
// if it does.
func (s *session) divisionBlocker() (blocker string) {
	switch {
	case !s.jobsLoaded:
		return "jobs-not-read"
	case s.commits.multiInFlight > 0 || s.commits.cellPartition.busy || s.hasUnsettled():
		return "writes"
	}
	for _, p := range s.partitions {
		if p.busy {
			return "writes"
		}
	}
	return s.cell.QuiescenceBlocker()
}
