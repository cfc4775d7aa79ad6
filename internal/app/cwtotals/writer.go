package cwtotals

import (
	"context"
	"time"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/core/cwaccounting"
	"currantward/internal/port/cwport"
)

// keyPrefix is the prefix of the keys of all totals. The day and the kind of row follow.
const keyPrefix = "totals/"

// linesPrefix returns the prefix of the keys of the rows of counters of one day.
func linesPrefix(day string) string { return keyPrefix + day + "/lines/" }

// writersPrefix returns the prefix of the keys of the writers' own rows of one day.
func writersPrefix(day string) string { return keyPrefix + day + "/writers/" }

// rowLines is one row of counters with its lines (the totals of a day, profile and team), to be written as a whole.
type rowLines struct {
	row   cwaccounting.RowKey
	lines []cwaccounting.Line
}

// batch is one transaction: changed rows of counters, and the writer's own row for each open day.
type batch struct {
	startedAt       time.Time
	days            []string
	rows            []rowLines
	flushedUntil    time.Time // all responses before this time are written once this batch is
	leavesNoneDirty bool      // no dirty row is left for another batch
	marksClosed     bool      // the final batch before shutdown, which marks the writer as closed
	puts            []cwport.Put
}

// encode returns the batch with its puts: one for each row of counters, and one for the writer's own row of each open day. Each batch writes the writer's own rows, since the preconditions of the next batch depend on them.
func (b batch) encode(opts Options) (batch, error) {
	for _, r := range b.rows {
		value, err := cwcodec.EncodeCounters(r.lines)
		if err != nil {
			return b, err
		}
		key := linesPrefix(r.row.Day) + opts.WriterID + "/" + string(r.row.Profile)
		b.puts = append(b.puts, cwport.Put{Key: key, Value: value})
	}
	for _, day := range b.days {
		w := cwaccounting.Writer{Name: opts.WriterID, Host: opts.Host, FlushedAt: b.flushedUntil, Closed: b.marksClosed}
		value, err := cwcodec.EncodeWriter(w)
		if err != nil {
			return b, err
		}
		b.puts = append(b.puts, cwport.Put{Key: writersPrefix(day) + opts.WriterID, Value: value})
	}
	return b, nil
}

// runWriter is the duty that writes one batch at a time, so that counting continues while the table is slow.
func (t *Totals) runWriter(ctx context.Context) {
	for ctx.Err() == nil {
		b, ok := t.batches.Take(ctx)
		if !ok {
			return
		}
		_ = t.inbox.Put(ctx, event{kind: eventWritten, batch: b, err: t.write(ctx, b)})
	}
}

// write commits a batch if the writer's own rows are unchanged since it read them. This rejects an earlier batch whose response was
// lost and whose request arrives late. Rows are written whole, so a retry is safe.
func (t *Totals) write(ctx context.Context, b batch) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	txn := cwport.Txn{Puts: b.puts}
	for _, day := range b.days {
		key := writersPrefix(day) + t.opts.WriterID
		row, err := t.opts.Table.Read(ctx, key)
		if err != nil {
			return err
		}
		txn.Preconditions = append(txn.Preconditions, cwport.Precondition{Key: key, Version: row.Version})
	}
	return t.opts.Table.Commit(ctx, txn)
}
