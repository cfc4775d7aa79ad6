package cwcellowner

import (
	"context"
	"time"

	"currantward/internal/adapter/cwcellcodec"
	"currantward/internal/base/cwlog"
	"currantward/internal/port/cwcellport"
)

const (
	// sweepPeriod is the time between two parts, so that the whole table is read every quarter of an hour.
	sweepPeriod = 30 * time.Second
	// sweepMargin keeps final states longer than callers may ask for them, as clocks of hosts differ.
	sweepMargin = time.Minute
)

// sweep removes the final states that nobody may ask for any more, one part at a time, until ctx ends.
func (s *session) sweep(ctx context.Context) {
	for n := 0; s.owner.opts.Timer.Sleep(ctx.Done(), sweepPeriod); n++ {
		name := s.partNames[n%len(s.partNames)]
		removed, err := s.sweepPart(name, s.wall().Add(-s.owner.opts.StatusRetention-sweepMargin))
		if err != nil {
			s.owner.opts.Log.WithFields(cwlog.Fields{"part": name, "error": err.Error()}).Warn("sweep-failed")
			continue
		}
		if removed > 0 {
			s.owner.opts.Log.WithFields(cwlog.Fields{"part": name, "removed": removed}).Info("states-swept")
		}
	}
}

// sweepPart removes the final states of a part from before a time. Rows that have changed meanwhile stay.
func (s *session) sweepPart(name string, before time.Time) (removed int, err error) {
	rows, _, err := s.owner.opts.Store.Read(TableEnded, name, "", "", loadTimeout)
	if err != nil {
		return 0, err
	}
	var t cwcellport.Transaction
	flush := func() error {
		if len(t.Remove) == 0 {
			return nil
		}
		if _, _, err := s.owner.opts.Store.Commit(t, loadTimeout); err != nil {
			return err
		}
		removed += len(t.Remove)
		t = cwcellport.Transaction{}
		return nil
	}
	for _, row := range rows {
		ending, err := cwcellcodec.DecodeFinalState(row.Value)
		if err != nil {
			s.unreadable(row, err)
			continue
		}
		if !ending.At.Before(before) {
			continue
		}
		t.Preconditions = append(t.Preconditions, cwcellport.Precondition{RowKey: row.RowKey, Version: row.Version})
		t.Remove = append(t.Remove, row.RowKey)
		if len(t.Remove) == cwcellport.MaxTransactionRows/2 {
			if err := flush(); err != nil {
				return removed, err
			}
		}
	}
	return removed, flush()
}
