// Package cwtotals keeps the day's totals: one duty counts answers, another writes the sums to the table.
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

// Bounds of the totals.
const (
	maxParts     = 200 // rows in one transaction
	maxDays      = 8   // days kept in memory while the table can't be written
	countTimeout = 100 * time.Millisecond
	writeTimeout = 5 * time.Second
	stopTimeout  = 5 * time.Second
	dayGrace     = 10 * time.Second // how long after midnight answers of the day before may still be counted
)

// Options set up the totals of one process.
type Options struct {
	Timer      *cwtimer.Service
	Log        *logrus.Logger
	Table      cwport.Table
	Host       cwmodel.HostID
	Writer     string // names this process and its incarnation
	Zone       *time.Location
	FlushEvery time.Duration
	InboxSize  int
}

// eventKind names what an event asks of the duty.
type eventKind string

const (
	eventCount   eventKind = "count"
	eventFlush   eventKind = "flush"
	eventClose   eventKind = "close"
	eventWritten eventKind = "written"
)

// event is one item of the inbox; which fields are set depends on its kind.
type event struct {
	kind    eventKind
	answer  cwaccounting.Event
	flushed chan<- error // set for a flush on demand
	batch   batch
	err     error
}

// Totals owns the tally of one process.
type Totals struct {
	opts    Options
	inbox   *cwring.Ring[event]
	batches *cwring.Ring[batch]
	tally   *cwaccounting.Counters
	failing bool           // the last batch was not written
	flushed time.Time      // all answers before this are written
	days    []string       // days that are not yet written for good, sorted
	writing bool           // the writer holds a batch
	closing bool           // the next complete batch says that this process has ended
	waiting []chan<- error // flushes on demand that the next batch begins
	begun   []chan<- error // flushes on demand whose batches are being written
	lost    atomic.Uint64
	dropped atomic.Uint64
}

// New starts the duties and returns the function that flushes and stops them.
func New(opts Options) (t *Totals, stop func()) {
	t = &Totals{
		opts: opts, inbox: cwring.New[event](opts.InboxSize), batches: cwring.New[batch](1), tally: cwaccounting.New(opts.Zone),
		days: []string{cwaccounting.DayOf(opts.Timer.Now(), opts.Zone)}, flushed: opts.Timer.Now(),
	}
	t.inbox.Offer(event{kind: eventFlush}) // the table is to know of this process before it counts
	cancel := opts.Timer.Every(opts.FlushEvery, func(time.Time) { t.inbox.Offer(event{kind: eventFlush}) })
	stopDuty := cwduty.Start("totals", t.run)
	stopWriter := cwduty.Start("totals-writer", t.runWriter)
	return t, func() {
		cancel()
		ctx, end := context.WithTimeout(context.Background(), stopTimeout)
		defer end()
		if err := t.demand(ctx, eventClose); err != nil {
			opts.Log.WithFields(logrus.Fields{"error": cwfault.MessageOf(err)}).Error("totals-not-flushed")
		}
		stopWriter()
		stopDuty()
	}
}

// Count adds one answer; if the inbox stays full for long the answer is lost to the totals and counted as such.
func (t *Totals) Count(ctx context.Context, answer cwaccounting.Event) {
	e := event{kind: eventCount, answer: answer}
	if t.inbox.Offer(e) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, countTimeout)
	defer cancel()
	if t.inbox.Put(ctx, e) != nil {
		t.lost.Add(1)
	}
}

// InboxLen returns how many events wait in the inbox.
func (t *Totals) InboxLen() int { return t.inbox.Len() }

// Rejected returns how many events found the inbox full.
func (t *Totals) Rejected() uint64 { return t.inbox.Rejected() }

// LostResponses returns how many answers are missing from the totals because the inbox was full.
func (t *Totals) LostResponses() uint64 { return t.lost.Load() }

// DroppedDays returns how many days were forgotten unwritten because the table could not be written for too long.
func (t *Totals) DroppedDays() uint64 { return t.dropped.Load() }

// Flush writes the sums to the table and waits for the end of it.
func (t *Totals) Flush(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "flush totals") }()
	return t.demand(ctx, eventFlush)
}

func (t *Totals) demand(ctx context.Context, kind eventKind) error {
	flushed := make(chan error, 1)
	if err := t.inbox.Put(ctx, event{kind: kind, flushed: flushed}); err != nil {
		return err
	}
	select {
	case err := <-flushed:
		return err
	case <-ctx.Done():
		return cwfault.New(cwfault.Unavailable, "the totals were not written in time")
	}
}

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

func (t *Totals) handle(e event) {
	switch e.kind {
	case eventCount:
		t.tally.Count(e.answer)
		return
	case eventWritten:
		t.written(e)
	case eventClose:
		t.closing = true
	}
	if e.flushed != nil {
		t.waiting = append(t.waiting, e.flushed)
	}
	if !t.writing && (e.kind != eventWritten || len(t.waiting) > 0) {
		t.begin(t.opts.Timer.Now())
	}
}

// begin hands everything that changed to the writer; a demand that came before it is answered at its end.
func (t *Totals) begin(now time.Time) {
	t.begun, t.waiting = append(t.begun, t.waiting...), nil
	t.openDay(now)
	b := batch{at: now, days: t.days}
	parts, all := t.tally.TakeDirty(maxParts)
	for _, part := range parts {
		b.parts = append(b.parts, partLines{part, t.tally.Lines(part)})
	}
	b.complete, b.closed, b.flushed = all, all && t.closing, t.flushed
	if all {
		b.flushed = now
	}
	encoded, err := b.encode(t.opts)
	if err != nil {
		t.written(event{batch: b, err: err})
		return
	}
	t.writing = t.batches.Offer(encoded)
}

// openDay adds the present day and forgets the oldest ones past the bound.
func (t *Totals) openDay(now time.Time) {
	today := cwaccounting.DayOf(now, t.opts.Zone)
	if len(t.days) == 0 || t.days[len(t.days)-1] < today {
		t.days = append(t.days[:len(t.days):len(t.days)], today)
	}
	for len(t.days) > maxDays {
		t.opts.Log.WithFields(logrus.Fields{"day": t.days[0]}).Error("totals-day-dropped")
		t.dropped.Add(1)
		t.forget(t.days[0])
	}
}

func (t *Totals) forget(day string) {
	t.tally.DropDay(day)
	var left []string
	for _, d := range t.days {
		if d != day {
			left = append(left, d)
		}
	}
	t.days = left
}

// written takes the end of a batch, goes on with what is left of it and answers those who wait.
func (t *Totals) written(e event) {
	t.writing = false
	switch {
	case e.err != nil:
		t.noteFailing(e.err)
		for _, part := range e.batch.parts {
			t.tally.MarkDirty([]cwaccounting.RowKey{part.part})
		}
	case !e.batch.complete:
		t.begin(t.opts.Timer.Now())
		return
	default:
		t.noteFailing(nil)
		t.finish(e.batch)
	}
	for _, flushed := range t.begun {
		flushed <- e.err
	}
	t.begun = nil
}

// noteFailing logs the beginning and the end of an outage, and not each batch in it.
func (t *Totals) noteFailing(err error) {
	switch failing := err != nil; {
	case failing && !t.failing:
		t.opts.Log.WithFields(logrus.Fields{"error": cwfault.MessageOf(err)}).Warn("totals-flush-failed")
	case !failing && t.failing:
		t.opts.Log.WithFields(logrus.Fields{"written-to": t.flushed}).Info("totals-flush-recovered")
	}
	t.failing = err != nil
}

// finish forgets the days that a complete batch has written for good.
func (t *Totals) finish(b batch) {
	t.flushed = b.flushed
	for _, day := range b.days {
		if _, ends, err := cwaccounting.DayBounds(day, t.opts.Zone); err == nil && b.at.Sub(ends) >= dayGrace {
			t.forget(day)
		}
	}
}
