package cwtotals

import (
	"context"
	"time"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/core/cwaccounting"
	"currantward/internal/port/cwport"
)

// keyPrefix starts the keys of all rows of totals; the day and the kind of row follow.
const keyPrefix = "totals/"

func linesPrefix(day string) string { return keyPrefix + day + "/lines/" }

func writersPrefix(day string) string { return keyPrefix + day + "/writers/" }

// partLines is one row to write.
type partLines struct {
	part  cwaccounting.RowKey
	lines []cwaccounting.Line
}

// batch is one transaction: rows of lines, and the writer's own row of each open day.
type batch struct {
	at       time.Time
	days     []string
	parts    []partLines
	flushed  time.Time // all answers before this are written once this is
	complete bool      // nothing else had changed
	closed   bool      // the process ends after this
	puts     []cwport.Put
}

// encode fills puts; every batch writes the writer's own rows, which the checks of the next one rest on.
func (b batch) encode(opts Options) (batch, error) {
	for _, p := range b.parts {
		value, err := cwcodec.EncodeCounters(p.lines)
		if err != nil {
			return b, err
		}
		key := linesPrefix(p.part.Day) + opts.Writer + "/" + string(p.part.Profile)
		b.puts = append(b.puts, cwport.Put{Key: key, Value: value})
	}
	for _, day := range b.days {
		w := cwaccounting.Writer{Name: opts.Writer, Host: opts.Host, FlushedAt: b.flushed, Closed: b.closed}
		value, err := cwcodec.EncodeWriter(w)
		if err != nil {
			return b, err
		}
		b.puts = append(b.puts, cwport.Put{Key: writersPrefix(day) + opts.Writer, Value: value})
	}
	return b, nil
}

// runWriter writes one batch at a time, so that counting goes on while the table is slow.
func (t *Totals) runWriter(ctx context.Context) {
	for ctx.Err() == nil {
		b, ok := t.batches.Take(ctx)
		if !ok {
			return
		}
		_ = t.inbox.Put(ctx, event{kind: eventWritten, batch: b, err: t.write(ctx, b)})
	}
}

// write commits a batch. Rows are written whole, so repeating it is harmless; the checks refuse an
// earlier batch that is still under way when its answer was lost.
func (t *Totals) write(ctx context.Context, b batch) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	txn := cwport.Txn{Puts: b.puts}
	for _, day := range b.days {
		key := writersPrefix(day) + t.opts.Writer
		row, err := t.opts.Table.Read(ctx, key)
		if err != nil {
			return err
		}
		txn.Preconditions = append(txn.Preconditions, cwport.Precondition{Key: key, Version: row.Version})
	}
	return t.opts.Table.Commit(ctx, txn)
}
