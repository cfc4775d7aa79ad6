// Package cwtotals keeps the day's totals: a duty counts answers and flushes its sums to the table.
package cwtotals

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/base/cwduty"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwring"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwtally"
	"currantward/internal/port/cwport"
)

// keyPrefix starts the keys of all rows of totals; the day and the writer follow.
const keyPrefix = "totals/"

// Options set up the totals of one process.
type Options struct {
	Timer      *cwtimer.Service
	Log        *logrus.Logger
	Table      cwport.Table
	Writer     string // names this process and its incarnation
	Zone       *time.Location
	FlushEvery time.Duration
	InboxSize  int
}

// event is one item of the inbox: an answer to count, or a demand to flush.
type event struct {
	at      time.Time
	profile cwmodel.ProfileName
	team    cwmodel.TeamName
	answer  cwmodel.Answer
	flushed chan<- error // set for a flush on demand
	flush   bool
}

// Totals owns the tally of one process.
type Totals struct {
	opts  Options
	inbox *cwring.Ring[event]
	tally *cwtally.Tally
	dirty bool
}

// New starts the duty and returns the function that flushes and stops it.
func New(opts Options) (t *Totals, stop func()) {
	t = &Totals{opts: opts, inbox: cwring.New[event](opts.InboxSize), tally: cwtally.New(opts.Zone)}
	cancel := opts.Timer.Every(opts.FlushEvery, func(time.Time) { t.inbox.Offer(event{flush: true}) })
	stopDuty := cwduty.Start("totals", t.run)
	return t, func() {
		cancel()
		ctx, end := context.WithTimeout(context.Background(), 5*time.Second)
		defer end()
		if err := t.Flush(ctx); err != nil {
			opts.Log.WithFields(logrus.Fields{"error": cwfault.MessageOf(err)}).Error("totals-not-flushed")
		}
		stopDuty()
	}
}

// Count adds one answer and blocks while the inbox is full.
func (t *Totals) Count(ctx context.Context, profile cwmodel.ProfileName, team cwmodel.TeamName, answer cwmodel.Answer) {
	_ = t.inbox.Put(ctx, event{at: t.opts.Timer.Now(), profile: profile, team: team, answer: answer})
}

// Flush writes the sums to the table and waits for the end of it.
func (t *Totals) Flush(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "flush totals") }()
	flushed := make(chan error, 1)
	if err = t.inbox.Put(ctx, event{flush: true, flushed: flushed}); err != nil {
		return err
	}
	select {
	case err = <-flushed:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (t *Totals) run(ctx context.Context) {
	var batch []event
	for ctx.Err() == nil {
		batch = t.inbox.Drain(ctx, batch[:0])
		for _, e := range batch {
			t.handle(ctx, e)
		}
	}
}

func (t *Totals) handle(ctx context.Context, e event) {
	if !e.flush {
		t.tally.Count(e.at, e.profile, e.team, e.answer)
		t.dirty = true
		return
	}
	err := t.write(ctx)
	if err != nil {
		t.opts.Log.WithFields(logrus.Fields{"error": cwfault.MessageOf(err)}).Warn("totals-flush-failed")
	}
	if e.flushed != nil {
		e.flushed <- err
	}
}

// write replaces this writer's rows; repeating it is harmless.
func (t *Totals) write(ctx context.Context) error {
	if !t.dirty {
		return nil
	}
	var txn cwport.Txn
	for _, day := range t.tally.Days() {
		value, err := json.Marshal(cwcodec.TotalsOf(t.tally.Lines(day)))
		if err != nil {
			return err
		}
		txn.Puts = append(txn.Puts, cwport.Put{Key: keyPrefix + day + "/" + t.opts.Writer, Value: value})
	}
	if err := t.opts.Table.Commit(ctx, txn); err != nil {
		return err
	}
	t.dirty = false
	return nil
}

// Read returns the sums of one day over all writers.
func Read(ctx context.Context, table cwport.Table, day string) (lines []cwtally.Line, err error) {
	defer func() { err = eris.Wrap(err, "read totals") }()
	const page = 100
	prefix, after := keyPrefix+day+"/", ""
	for {
		rows, err := table.Scan(ctx, prefix, after, page)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			var document cwcodec.Totals
			if err = json.Unmarshal(row.Value, &document); err != nil {
				return nil, cwfault.New(cwfault.Internal, "row %s: %v", row.Key, err)
			}
			lines = append(lines, document.Core()...)
			after = row.Key
		}
		if len(rows) < page {
			return cwtally.Merge(lines), nil
		}
	}
}
