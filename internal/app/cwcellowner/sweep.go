package cwcellowner

import (
	"context"
	"time"

	"currantward/internal/adapter/cwcellcodec"
	"currantward/internal/base/cwlog"
	"currantward/internal/port/cwcellport"
)

const (
	// sweepPeriod is the time between the sweeps of two partitions, which spreads a sweep of the whole table over a quarter of
	// an hour. A sweep of a partition deletes its expired final states.
	sweepPeriod = 30 * time.Second
	// sweepMargin is the additional time for which final states are kept, since the clocks of hosts differ.
	sweepMargin = time.Minute
)

// sweep deletes the rows with the final states of jobs that ended longer than StatusRetention ago, one partition in each
// sweepPeriod, until ctx ends.
func (s *session) sweep(ctx context.Context) {
	for n := 0; s.owner.opts.Timer.Sleep(ctx.Done(), sweepPeriod); n++ {
		name := s.partitionNames[n%len(s.partitionNames)]
		removed, err := s.sweepPartition(name, s.wallTime().Add(-s.owner.opts.StatusRetention-sweepMargin))
		if err != nil {
			s.owner.opts.Log.WithFields(cwlog.Fields{"part": name, "error": err.Error()}).Warn("sweep-failed")
			continue
		}
		if removed > 0 {
			s.owner.opts.Log.WithFields(cwlog.Fields{"part": name, "removed": removed}).Info("states-swept")
		}
	}
}

// sweepPartition deletes the final states in a partition that were recorded before a time, and returns their number. A row that
// has changed since it was read is kept: its transaction fails, and the sweep of the partition ends with that error.
func (s *session) sweepPartition(name string, before time.Time) (removed int, err error) {
	rows, _, err := s.owner.opts.Store.Read(TableEnded, name, "", "", loadTimeout)
	if err != nil {
		return 0, err
	}
	var tx cwcellport.Transaction
	flush := func() error {
		if len(tx.Remove) == 0 {
			return nil
		}
		if _, _, err := s.owner.opts.Store.Commit(tx, loadTimeout); err != nil {
			return err
		}
		removed += len(tx.Remove)
		tx = cwcellport.Transaction{}
		return nil
	}
	for _, row := range rows {
		final, err := cwcellcodec.DecodeFinalState(row.Value)
		if err != nil {
			s.logUnreadableRow(row, err)
			continue
		}
		if !final.At.Before(before) {
			continue
		}
		tx.Preconditions = append(tx.Preconditions, cwcellport.Precondition{RowKey: row.RowKey, Version: row.Version})
		tx.Remove = append(tx.Remove, row.RowKey)
		if len(tx.Remove) == cwcellport.MaxTransactionRows/2 {
			if err := flush(); err != nil {
				return removed, err
			}
		}
	}
	return removed, flush()
}
