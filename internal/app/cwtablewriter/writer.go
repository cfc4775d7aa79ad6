// Package cwtablewriter groups many small writes into few transactions of the platform's table.
package cwtablewriter

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"

	"currantward/internal/base/cwduty"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwring"
	"currantward/internal/base/cwtimer"
	"currantward/internal/port/cwport"
)

// WriteResult is what the writer of an entry is told.
type WriteResult string

// The closed set of verdicts; unknown is the only one that another verdict follows.
const (
	Committed WriteResult = "committed"
	Conflict  WriteResult = "conflict" // a check of this entry does not hold; nothing was written
	Refused   WriteResult = "refused"  // not written and never will be
	Unknown   WriteResult = "unknown"  // past its deadline and perhaps written; the final verdict follows
)

// Write is one small write with its own checks.
type Write struct {
	Checks   []cwport.Precondition
	Puts     []cwport.Put
	Deletes  []string
	Deadline time.Time // zero: it waits for as long as the table is away
	// Done takes the verdict on the ledger's goroutine and must not block.
	Done func(verdict WriteResult)
}

// Options set up a ledger.
type Options struct {
	Timer        *cwtimer.Service
	Log          *logrus.Logger
	Table        cwport.Table
	Pool         *ants.Pool
	WriterID     string // names this process and its incarnation
	Seed         uint64 // of the jitter
	InboxSize    int
	MaxWrites    int // held at once
	MaxBytes     int // held at once
	MaxGroupSize int // entries of one transaction
	CallTimeout  time.Duration
	MinBackoff   time.Duration
	MaxBackoff   time.Duration
}

// DefaultOptions returns the bounds that suit an entry host.
func DefaultOptions() Options {
	return Options{
		InboxSize: 4096, MaxWrites: 4096, MaxBytes: 4 << 20, MaxGroupSize: 64,
		CallTimeout: 2 * time.Second, MinBackoff: 50 * time.Millisecond, MaxBackoff: time.Second,
	}
}

// Stats counts what a ledger has done.
type Stats struct {
	Writes       uint64 // settled as committed
	Transactions uint64 // sent, retries and fences included
	Rows         uint64 // written or deleted by committed transactions
}

// eventKind names what an event tells the duty.
type eventKind string

const (
	eventEntry    eventKind = "entry"
	eventAnswered eventKind = "answered"
	eventRead     eventKind = "read"
	eventWake     eventKind = "wake"
)

// event is one item of the inbox.
type event struct {
	kind  eventKind
	entry Write
	row   cwport.Row
	code  cwfault.Code
	rows  int
}

// Writer owns the writes of one process.
type Writer struct {
	opts       Options
	inbox      *cwring.Ring[event]
	machine    *machine
	cancelWake func()
	wakeAt     time.Time

	entries, transactions, rows atomic.Uint64
	isAway                      atomic.Bool
}

// New starts the duty and returns the function that stops it; entries not yet settled get no verdict then.
func New(opts Options) (l *Writer, stop func()) {
	l = &Writer{
		opts: opts, inbox: cwring.New[event](opts.InboxSize), cancelWake: func() {},
		machine: newMachine(opts.WriterID, opts.Seed, limits{
			entries: opts.MaxWrites, bytes: opts.MaxBytes, group: opts.MaxGroupSize, base: opts.MinBackoff, ceiling: opts.MaxBackoff,
		}),
	}
	stopDuty := cwduty.Start("ledger", l.run)
	return l, stopDuty
}

// Write hands over one entry; a ledger without room refuses it at once, on the caller's goroutine.
func (l *Writer) Write(e Write) {
	if !l.inbox.Offer(event{kind: eventEntry, entry: e}) {
		e.Done(Refused)
	}
}

// Stats returns the counts so far.
func (l *Writer) Stats() Stats {
	return Stats{Writes: l.entries.Load(), Transactions: l.transactions.Load(), Rows: l.rows.Load()}
}

// InboxLen returns how many events wait in the inbox.
func (l *Writer) InboxLen() int { return l.inbox.Len() }

// Rejected returns how many events found the inbox full.
func (l *Writer) Rejected() uint64 { return l.inbox.Rejected() }

// IsTableUnavailable reports whether the latest call to the table failed.
func (l *Writer) IsTableUnavailable() bool { return l.isAway.Load() }

func (l *Writer) run(ctx context.Context) {
	var batch []event
	for ctx.Err() == nil {
		batch = l.inbox.Drain(ctx, batch[:0])
		for _, e := range batch {
			l.handle(e)
		}
		clear(batch)
		l.advance(ctx)
	}
	l.cancelWake()
}

func (l *Writer) handle(e event) {
	now := l.opts.Timer.Now()
	switch e.kind {
	case eventEntry:
		l.take(e.entry)
	case eventAnswered:
		l.note(e.code)
		if e.code == "" {
			l.rows.Add(uint64(e.rows))
		}
		l.machine.answered(now, e.code)
	case eventRead:
		l.note(e.code)
		l.machine.readBack(now, e.row, e.code)
	case eventWake:
		l.wakeAt = time.Time{}
	}
}

func (l *Writer) take(e Write) {
	done := e.Done
	e.Done = func(verdict WriteResult) {
		if verdict == Committed {
			l.entries.Add(1)
		}
		done(verdict)
	}
	if !l.machine.add(e) {
		done(Refused)
	}
}

// note keeps whether the table can be reached and logs each change of it.
func (l *Writer) note(code cwfault.Code) {
	away := code != "" && code != cwfault.Conflict
	if l.isAway.Swap(away) != away {
		l.opts.Log.WithFields(logrus.Fields{"away": away, "code": code, "held": l.machine.held}).Warn("table-reachability-changed")
	}
}

func (l *Writer) advance(ctx context.Context) {
	now := l.opts.Timer.Now()
	if c, ok := l.machine.next(now); ok {
		l.send(ctx, c)
	}
	l.schedule(now)
}

// send carries out one call on the pool and brings its answer back to the inbox.
func (l *Writer) send(ctx context.Context, c call) {
	l.transactions.Add(1)
	work := func() {
		callCtx, cancel := context.WithTimeout(ctx, l.opts.CallTimeout)
		defer cancel()
		if c.phase == phaseRead {
			row, err := l.opts.Table.Read(callCtx, c.key)
			_ = l.inbox.Put(ctx, event{kind: eventRead, row: row, code: cwfault.CodeOf(err)})
			return
		}
		err := l.opts.Table.Commit(callCtx, c.txn)
		_ = l.inbox.Put(ctx, event{kind: eventAnswered, code: cwfault.CodeOf(err), rows: len(c.txn.Puts) + len(c.txn.Deletes)})
	}
	if l.opts.Pool.Submit(work) == nil {
		return
	}
	l.machine.notSent(l.opts.Timer.Now())
}

// schedule arranges for the next wake-up.
func (l *Writer) schedule(now time.Time) {
	at, ok := l.machine.wake()
	if !ok || (!l.wakeAt.IsZero() && !at.Before(l.wakeAt)) {
		return
	}
	l.cancelWake()
	l.wakeAt = at
	l.cancelWake = l.opts.Timer.After(max(at.Sub(now), time.Millisecond), func(time.Time) { l.inbox.Offer(event{kind: eventWake}) })
}
