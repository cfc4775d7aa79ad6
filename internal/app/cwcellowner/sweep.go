package cwcellowner

import (
	"context"
	"slices"
	"time"

	"currantward/internal/adapter/cwcellcodec"
	"currantward/internal/base/cwlog"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwcellport"
)

const (
	// sweepPeriod is the time between the sweeps of two partitions, which spreads a sweep of the whole table over a quarter of
	// an hour. A sweep of a partition deletes its expired final states.
	sweepPeriod = 30 * time.Second
	// sweepMargin is the additional time for which final states are kept, since the clocks of hosts differ.
	sweepMargin = time.Minute
)

// sweep deletes the rows with the final states of jobs that ended longer than StatusRetention ago, and the cancellations that ended jobs have
// left, one partition in each sweepPeriod, until ctx ends.
func (s *session) sweep(ctx context.Context) {
	for n := 0; s.owner.opts.Timer.Sleep(ctx.Done(), sweepPeriod); n++ {
		name := s.partitionNames[n%len(s.partitionNames)]
		removed, err := s.sweepPartition(name, s.wallTime().Add(-s.owner.opts.StatusRetention-sweepMargin))
		if err != nil {
			s.owner.opts.Log.WithFields(cwlog.Fields{"part": name, "error": err.Error()}).Warn("sweep-failed")
			continue
		}
		cancellations, err := s.sweepCancellations(name)
		if err != nil {
			s.owner.opts.Log.WithFields(cwlog.Fields{"part": name, "error": err.Error()}).Warn("sweep-failed")
			continue
		}
		if removed += cancellations; removed > 0 {
			s.owner.opts.Log.WithFields(cwlog.Fields{"part": name, "removed": removed}).Info("states-swept")
		}
	}
}

// sweepPartition deletes the final states in a partition that were recorded before a time, and returns their number.
func (s *session) sweepPartition(name string, before time.Time) (removed int, err error) {
	rows, _, err := s.owner.opts.Store.Read(TableEnded, name, "", "", loadTimeout)
	if err != nil {
		return 0, err
	}
	return s.removeRows(slices.DeleteFunc(rows, func(row cwcellport.Row) bool {
		final, err := cwcellcodec.DecodeFinalState(row.Value)
		if err != nil {
			s.logUnreadableRow(row, err)
		}
		return err != nil || !final.At.Before(before)
	}))
}

// sweepCancellations deletes the cancellations in a partition whose jobs have ended, and returns their number: one that is written while the end
// of its job is under way stays behind.
func (s *session) sweepCancellations(name string) (removed int, err error) {
	rows, _, err := s.owner.opts.Store.Read(TableJobs, name, "", "", loadTimeout)
	if err != nil {
		return 0, err
	}
	isActive := map[cwmodel.JobID]bool{}
	for _, row := range rows {
		isActive[cwmodel.JobID(row.Key)] = true
	}
	return s.removeRows(slices.DeleteFunc(rows, func(row cwcellport.Row) bool {
		id, isCancellation := cancelledJob(row.Key)
		return !isCancellation || isActive[id]
	}))
}

// removeRows deletes rows, and returns their number. A row that has changed since it was read is kept: its transaction fails, and the rows
// after it are kept with that error.
func (s *session) removeRows(rows []cwcellport.Row) (removed int, err error) {
	for batch := range slices.Chunk(rows, cwcellport.MaxTransactionRows/2) {
		var tx cwcellport.Transaction
		for _, row := range batch {
			tx.Preconditions = append(tx.Preconditions, cwcellport.Precondition{RowKey: row.RowKey, Version: row.Version})
			tx.Remove = append(tx.Remove, row.RowKey)
		}
		if _, _, err = s.owner.opts.Store.Commit(tx, loadTimeout); err != nil {
			return removed, err
		}
		removed += len(batch)
	}
	return removed, nil
}
