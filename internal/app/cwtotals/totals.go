// Package cwtotals counts the responses of each day: one duty counts, another writes the totals to the table.
package cwtotals

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"currantward/internal/base/cwduty"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwring"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwaccounting"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
)

// Limits of the totals.
const (
	maxRowsPerBatch = 200                    // rows of counters in one transaction
	maxOpenDays     = 8                      // days kept in memory while the table is unavailable
	countTimeout    = 100 * time.Millisecond // how long Count waits while the inbox is full
	writeTimeout    = 5 * time.Second        // for one batch
	stopTimeout     = 5 * time.Second        // for the last flush
	dayGrace        = 10 * time.Second       // time after midnight in which responses of the previous day may still be counted
)

// Options configure the Totals of one process.
type Options struct {
	Timer      *cwtimer.Service
	Log        *logrus.Logger
	Table      cwport.Table
	Host       cwmodel.HostID
	WriterID   string // identifies this process and its incarnation
	TimeZone   *time.Location
	FlushEvery time.Duration
	InboxSize  int
}

// eventKind is the kind of an event in the inbox.
type eventKind string

const (
	eventCount   eventKind = "count"
	eventFlush   eventKind = "flush"
	eventClose   eventKind = "close"
	eventWritten eventKind = "written"
)

// event is one item of the inbox. Its kind determines which fields are set.
type event struct {
	kind     eventKind
	response cwaccounting.Event // the response to count
	done     chan<- error       // gets the result of a requested flush; nil for a periodic one
	batch    batch              // the batch that the writer has finished
	err      error              // why it failed; nil if it was committed
}

// Totals is the duty that owns the counters of one process. A second duty writes its batches.
type Totals struct {
	opts           Options
	inbox          *cwring.Ring[event]
	batches        *cwring.Ring[batch]
	counters       *cwaccounting.Counters
	flushFailing   bool           // the last batch failed, and this is logged
	flushedUntil   time.Time      // all responses before this time are written
	openDays       []string       // open days, which may still change in the table, sorted
	batchInFlight  bool           // the writer has a batch
	isClosing      bool           // the next batch that leaves no dirty row marks the writer as closed
	pendingFlushes []chan<- error // callers of requested flushes that join flushWaiters when the next batch starts
	flushWaiters   []chan<- error // callers of requested flushes, which wait until a batch leaves no dirty row or fails
	lostResponses  atomic.Uint64
	droppedDays    atomic.Uint64
}

// New starts the duties and returns the function that flushes the totals and stops the duties.
func New(opts Options) (t *Totals, stop func()) {
	t = &Totals{
		opts: opts, inbox: cwring.New[event](opts.InboxSize), batches: cwring.New[batch](1), counters: cwaccounting.New(opts.TimeZone),
		openDays: []string{cwaccounting.DayOf(opts.Timer.Now(), opts.TimeZone)}, flushedUntil: opts.Timer.Now(),
	}
	t.inbox.Offer(event{kind: eventFlush}) // records this process in the table before it counts
	cancel := opts.Timer.Every(opts.FlushEvery, func(time.Time) { t.inbox.Offer(event{kind: eventFlush}) })
	stopDuty := cwduty.Start("totals", t.run)
	stopWriter := cwduty.Start("totals-writer", t.runWriter)
	return t, func() {
		cancel()
		ctx, cancelClose := context.WithTimeout(context.Background(), stopTimeout)
		defer cancelClose()
		if err := t.requestFlush(ctx, eventClose); err != nil {
			opts.Log.WithFields(logrus.Fields{"error": cwfault.MessageOf(err)}).Error("totals-not-flushed")
		}
		stopWriter()
		stopDuty()
	}
}

// Count counts one response. If the inbox stays full for countTimeout, the response is missing from the totals and counted as lost.
func (t *Totals) Count(ctx context.Context, response cwaccounting.Event) {
	e := event{kind: eventCount, response: response}
	if t.inbox.Offer(e) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, countTimeout)
	defer cancel()
	if t.inbox.Put(ctx, e) != nil {
		t.lostResponses.Add(1)
	}
}

// InboxLen returns the number of events in the inbox.
func (t *Totals) InboxLen() int { return t.inbox.Len() }

// Rejected returns how often the inbox was full when an event was offered. Count retries a rejected response, so it need not be lost.
func (t *Totals) Rejected() uint64 { return t.inbox.Rejected() }

// LostResponses returns how many responses are missing from the totals because the inbox was full.
func (t *Totals) LostResponses() uint64 { return t.lostResponses.Load() }

// DroppedDays returns how many days were dropped without being written because the table was unavailable for too long.
func (t *Totals) DroppedDays() uint64 { return t.droppedDays.Load() }

// Flush writes the totals to the table. It returns once all responses counted so far are written, or with an error
// if the write fails or ctx ends first.
func (t *Totals) Flush(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "flush totals") }()
	return t.requestFlush(ctx, eventFlush)
}

// requestFlush enqueues a flush or the final one (eventClose) and awaits its result.
func (t *Totals) requestFlush(ctx context.Context, kind eventKind) error {
	done := make(chan error, 1)
	if err := t.inbox.Put(ctx, event{kind: kind, done: done}); err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return cwfault.New(cwfault.Unavailable, "the totals were not written in time")
	}
}

// run handles the events in the inbox until ctx ends.
func (t *Totals) run(ctx context.Context) {
	var events []event
	for ctx.Err() == nil {
		events = t.inbox.Drain(ctx, events[:0])
		for _, e := range events {
			t.handle(e)
		}
		clear(events)
	}
}

// handle handles one event. A count only updates the counters. A flush or close starts a batch, that is a write of dirty rows to the table,
// unless a batch is in flight. The end of a batch starts the next one only if a flush was requested in the meantime.
func (t *Totals) handle(e event) {
	switch e.kind {
	case eventCount:
		t.counters.Count(e.response)
		return
	case eventWritten:
		t.handleWritten(e)
	case eventClose:
		t.isClosing = true
	}
	if e.done != nil {
		t.pendingFlushes = append(t.pendingFlushes, e.done)
	}
	if !t.batchInFlight && (e.kind != eventWritten || len(t.pendingFlushes) > 0) {
		t.startBatch(t.opts.Timer.Now())
	}
}

// startBatch passes the dirty rows, up to maxRowsPerBatch, to the writer. The flushes requested so far wait until a batch has left no dirty
// row or has failed; until then flushWaiters carries them from batch to batch.
func (t *Totals) startBatch(now time.Time) {
	t.flushWaiters, t.pendingFlushes = append(t.flushWaiters, t.pendingFlushes...), nil
	t.openDay(now)
	b := batch{startedAt: now, days: t.openDays}
	rows, leavesNoneDirty := t.counters.TakeDirty(maxRowsPerBatch)
	for _, row := range rows {
		b.rows = append(b.rows, rowLines{row, t.counters.Lines(row)})
	}
	b.leavesNoneDirty, b.marksClosed, b.flushedUntil = leavesNoneDirty, leavesNoneDirty && t.isClosing, t.flushedUntil
	if leavesNoneDirty {
		b.flushedUntil = now
	}
	encoded, err := b.encode(t.opts)
	if err != nil {
		t.handleWritten(event{batch: b, err: err})
		return
	}
	t.batchInFlight = t.batches.Offer(encoded)
}

// openDay adds the current day to the open days if it is missing, and drops the oldest days above maxOpenDays.
func (t *Totals) openDay(now time.Time) {
	today := cwaccounting.DayOf(now, t.opts.TimeZone)
	if len(t.openDays) == 0 || t.openDays[len(t.openDays)-1] < today {
		t.openDays = append(t.openDays[:len(t.openDays):len(t.openDays)], today)
	}
	for len(t.openDays) > maxOpenDays {
		t.opts.Log.WithFields(logrus.Fields{"day": t.openDays[0]}).Error("totals-day-dropped")
		t.droppedDays.Add(1)
		t.dropDay(t.openDays[0])
	}
}

// dropDay removes a day and its counters from memory.
func (t *Totals) dropDay(day string) {
	t.counters.DropDay(day)
	var remaining []string
	for _, d := range t.openDays {
		if d != day {
			remaining = append(remaining, d)
		}
	}
	t.openDays = remaining
}

// handleWritten handles the end of a batch. If dirty rows are left, it starts the next batch. Otherwise it closes days that have ended and
// sends nil to the waiting flushes. After a failed batch it marks the rows dirty again and sends the error to the waiting flushes.
func (t *Totals) handleWritten(e event) {
	t.batchInFlight = false
	switch {
	case e.err != nil:
		t.logOutageChange(e.err)
		for _, r := range e.batch.rows {
			t.counters.MarkDirty([]cwaccounting.RowKey{r.row})
		}
	case !e.batch.leavesNoneDirty:
		t.startBatch(t.opts.Timer.Now())
		return
	default:
		t.logOutageChange(nil)
		t.closeDays(e.batch)
	}
	for _, done := range t.flushWaiters {
		done <- e.err
	}
	t.flushWaiters = nil
}

// logOutageChange takes the error of a batch, nil for success. It logs the first failure and the first success after it, but not each failed batch.
func (t *Totals) logOutageChange(err error) {
	switch failing := err != nil; {
	case failing && !t.flushFailing:
		t.opts.Log.WithFields(logrus.Fields{"error": cwfault.MessageOf(err)}).Warn("totals-flush-failed")
	case !failing && t.flushFailing:
		t.opts.Log.WithFields(logrus.Fields{"written-to": t.flushedUntil}).Info("totals-flush-recovered")
	}
	t.flushFailing = err != nil
}

// closeDays is called after a batch that left no dirty row. It drops the days that ended at least dayGrace before the batch started, since
// their counters cannot change any more.
func (t *Totals) closeDays(b batch) {
	t.flushedUntil = b.flushedUntil
	for _, day := range b.days {
		if _, end, err := cwaccounting.DayBounds(day, t.opts.TimeZone); err == nil && b.startedAt.Sub(end) >= dayGrace {
			t.dropDay(day)
		}
	}
}
