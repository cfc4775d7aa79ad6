package cwcellowner

import (
	"encoding/base64"
	"math"

	"currantward/internal/adapter/cwcellcodec"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwlog"
	"currantward/internal/core/cwcell"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
	"currantward/internal/port/cwcellport"
)

// maxRowBytes returns the store's limit on the value of a row.
func (o *Owner) maxRowBytes() int {
	if limit := o.opts.Store.MaxRowBytes; limit > 0 {
		return limit
	}
	return math.MaxInt
}

// storedBytes returns the size of a value in a transaction.
func storedBytes(value []byte) int { return base64.StdEncoding.EncodedLen(len(value)) }

// encodeWrite returns the value of a job's row: the final state of an ended job, else its progress. A job whose progress cannot be stored
// fails, and ok is false.
func (s *session) encodeWrite(w *cwcell.JobWrite) (value []byte, ok bool) {
	var err error
	if w.State != "" {
		value, err = cwcellcodec.EncodeFinalState(cwcellcodec.FinalState{State: w.State, At: s.wallTime()})
	} else {
		value, err = s.encodeProgress(w)
	}
	if err != nil {
		s.cell.FailUnstorable(w.Job, err.Error())
		return nil, false
	}
	return value, true
}

// encodeProgress returns the value of a progress row. Progress above the limit of the store is encoded without its lost runs, which are
// evidence against tasks and no truth about them.
func (s *session) encodeProgress(w *cwcell.JobWrite) (value []byte, err error) {
	limit := s.owner.maxRowBytes()
	value, err = cwcellcodec.EncodeProgress(w.Progress)
	if err == nil && len(value) > limit {
		s.owner.opts.Log.WithFields(cwlog.Fields{"job": w.Job, "bytes": len(value), "limit": limit}).Warn("losses-not-stored")
		value, err = cwcellcodec.EncodeProgress(withoutLosses(w.Progress))
	}
	if err == nil && len(value) > limit {
		return nil, cwfault.New(cwfault.TooLarge, "the progress has %d bytes, above the limit of %d", len(value), limit)
	}
	return value, err
}

// withoutLosses returns a job's progress without its lost runs.
func withoutLosses(p *cwwork.Progress) *cwwork.Progress {
	reduced := *p
	reduced.Steps = nil
	for _, step := range p.Steps {
		step.Lost = nil
		reduced.Steps = append(reduced.Steps, step)
	}
	return &reduced
}

// addWrite adds the rows of one job to a transaction: its progress, or its final state, and then removes its other rows.
func (s *session) addWrite(tx *cwcellport.Transaction, w *cwcell.JobWrite, value []byte) {
	name := s.partitionOf(w.Job).name
	row := func(table string) cwcellport.RowKey {
		return cwcellport.RowKey{Table: table, Partition: name, Key: string(w.Job)}
	}
	table := TableProgress
	if w.State != "" {
		table = TableEnded
		s.removeActiveRows(tx, w.Job, row)
	} else {
		s.commits.hasProgressRow[w.Job] = struct{}{}
	}
	tx.Put = append(tx.Put, cwcellport.Row{RowKey: row(table), Value: value})
}

// removeActiveRows adds to a transaction the removal of the rows that a job has only until it ends: its submission, and its
// progress and its cancellation if it has these. row returns the key of the job's row in a table.
func (s *session) removeActiveRows(tx *cwcellport.Transaction, id cwmodel.JobID, row func(table string) cwcellport.RowKey) {
	tx.Remove = append(tx.Remove, row(TableJobs))
	if _, ok := s.commits.hasProgressRow[id]; ok {
		tx.Remove = append(tx.Remove, row(TableProgress))
	}
	if _, ok := s.commits.cancellationVersions[id]; ok {
		cancellation := row(TableJobs)
		cancellation.Key += CancelSuffix
		tx.Remove = append(tx.Remove, cancellation)
	}
}
