package cwtotals

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/core/cwaccounting"
	"currantward/internal/port/cwport"
)

// Reader reads the totals that all processes have written to the table.
type Reader struct {
	Table         cwport.Table
	TimeZone      *time.Location
	WriterTimeout time.Duration // a writer whose last flush is older counts as dead
}

// Day returns the totals of one day over all writers. It also lists the writers that count as dead without having written the whole day, since
// their last responses may be missing, and the oldest flush time among the others.
func (r Reader) Day(ctx context.Context, day string, now time.Time) (d cwaccounting.Day, err error) {
	defer func() { err = eris.Wrap(err, "read totals") }()
	d.Day = day
	if d.From, d.To, err = cwaccounting.DayBounds(day, r.TimeZone); err != nil {
		return d, err
	}
	var writers []cwaccounting.Writer
	err = r.scan(ctx, writersPrefix(day), func(value []byte) error {
		w, err := cwcodec.DecodeWriter(value)
		writers = append(writers, w)
		return err
	})
	if err != nil {
		return d, err
	}
	d.Incomplete, d.AsOf = cwaccounting.FindIncomplete(writers, d.To, now, r.WriterTimeout)
	var lines []cwaccounting.Line
	err = r.scan(ctx, linesPrefix(day), func(value []byte) error {
		more, err := cwcodec.DecodeCounters(value)
		lines = append(lines, more...)
		return err
	})
	if err != nil {
		return d, err
	}
	d.Lines, err = cwaccounting.Merge(lines)
	return d, err
}

// scan calls visit with the value of each row whose key has the prefix, in the order of the keys, and stops at the first error.
func (r Reader) scan(ctx context.Context, prefix string, visit func(value []byte) error) error {
	const page = 100
	after := ""
	for {
		rows, err := r.Table.Scan(ctx, prefix, after, page)
		if err != nil {
			return err
		}
		for _, row := range rows {
			if err = visit(row.Value); err != nil {
				return eris.Wrapf(err, "row %s", row.Key)
			}
			after = row.Key
		}
		if len(rows) < page {
			return nil
		}
	}
}
