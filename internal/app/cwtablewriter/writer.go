// Package cwtablewriter batches many small writes into few transactions of the platform's table.
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

// WriteResult is the result of one write, passed to its Done function.
type WriteResult string

// The closed set of results; all but Unknown are final.
const (
	Committed WriteResult = "committed"
	Conflict  WriteResult = "conflict" // a precondition of this write failed; nothing was written
	Refused   WriteResult = "refused"  // not written, and never will be
	Unknown   WriteResult = "unknown"  // past its deadline and possibly written; a final result follows
)

// Write is one small write with its own preconditions.
type Write struct {
	Checks   []cwport.Precondition // preconditions: all must hold, or nothing is written and the result is Conflict
	Puts     []cwport.Put
	Deletes  []string
	Deadline time.Time // time of the result at the latest; zero for a write that waits as long as the table is unavailable
	// Done is called with the final result, and with Unknown before it if the deadline passes while the write is in flight.
	// It runs on the writer's goroutine, or on the caller's if the inbox is full, and must not block.
	Done func(result WriteResult)
}

// Options configures a Writer.
type Options struct {
	Timer            *cwtimer.Service
	Log              *logrus.Logger
	Table            cwport.Table
	Pool             *ants.Pool
	WriterID         string // identifies this process and its incarnation
	Seed             uint64 // of the backoff jitter
	InboxSize        int
	MaxPendingWrites int // writes without a final result; more are refused
	MaxPendingBytes  int // of their keys and values
	MaxGroupSize     int // writes per transaction
	CallTimeout      time.Duration
	MinBackoff       time.Duration
	MaxBackoff       time.Duration
}

// DefaultOptions returns the limits and timeouts for an entry host.
func DefaultOptions() Options {
	return Options{
		InboxSize: 4096, MaxPendingWrites: 4096, MaxPendingBytes: 4 << 20, MaxGroupSize: 64,
		CallTimeout: 2 * time.Second, MinBackoff: 50 * time.Millisecond, MaxBackoff: time.Second,
	}
}

// Stats holds the counters of a Writer.
type Stats struct {
	Writes uint64 // committed
	Calls  uint64 // to the table: commits, fences and read-backs, also those that the full pool refused
	Rows   uint64 // written or deleted by committed transactions
}

// eventKind is the type of an event.
type eventKind string

const (
	eventWrite          eventKind = "entry"
	eventCommitResponse eventKind = "answered"
	eventReadBack       eventKind = "read"
	eventWake           eventKind = "wake"
)

// event is one item of the inbox; its kind determines which fields are set.
type event struct {
	kind  eventKind
	write Write
	row   cwport.Row
	code  cwfault.Code
	rows  int
}

// Writer is the duty that writes to the table for one process. The batcher decides what to send; the Writer makes the calls.
type Writer struct {
	opts       Options
	inbox      *cwring.Ring[event]
	batcher    *batcher
	cancelWake func()
	wakeAt     time.Time

	committedCount, callCount, rowCount atomic.Uint64
	isTableUnavailable                  atomic.Bool
}

// New starts the duty and returns the function that stops it; writes still pending at the stop get no result.
func New(opts Options) (w *Writer, stop func()) {
	w = &Writer{
		opts: opts, inbox: cwring.New[event](opts.InboxSize), cancelWake: func() {},
		batcher: newBatcher(opts.WriterID, opts.Seed, limits{
			pendingWrites: opts.MaxPendingWrites, pendingBytes: opts.MaxPendingBytes, groupSize: opts.MaxGroupSize, minBackoff: opts.MinBackoff, maxBackoff: opts.MaxBackoff,
		}),
	}
	stopDuty := cwduty.Start("ledger", w.run)
	return w, stopDuty
}

// Write enqueues one write; if the inbox is full, it calls Done with Refused on the caller's goroutine.
func (w *Writer) Write(write Write) {
	if !w.inbox.Offer(event{kind: eventWrite, write: write}) {
		write.Done(Refused)
	}
}

// Stats returns the current counters.
func (w *Writer) Stats() Stats {
	return Stats{Writes: w.committedCount.Load(), Calls: w.callCount.Load(), Rows: w.rowCount.Load()}
}

// InboxLen returns the number of events in the inbox.
func (w *Writer) InboxLen() int { return w.inbox.Len() }

// Rejected returns the number of events that a full inbox rejected.
func (w *Writer) Rejected() uint64 { return w.inbox.Rejected() }

// IsTableUnavailable reports whether the latest call to the table failed with an error other than a conflict.
func (w *Writer) IsTableUnavailable() bool { return w.isTableUnavailable.Load() }

// run handles the events of the inbox in batches until ctx is cancelled, and makes at most one call to the table after each batch.
func (w *Writer) run(ctx context.Context) {
	var batch []event
	for ctx.Err() == nil {
		batch = w.inbox.Drain(ctx, batch[:0])
		for _, e := range batch {
			w.handle(e)
		}
		clear(batch)
		w.advance(ctx)
	}
	w.cancelWake()
}

// handle passes one event to the batcher, and updates the counters and the availability of the table. A wake-up has no other effect, since
// advance follows each batch of events.
func (w *Writer) handle(e event) {
	now := w.opts.Timer.Now()
	switch e.kind {
	case eventWrite:
		w.add(e.write)
	case eventCommitResponse:
		w.recordReachability(e.code)
		if e.code == "" {
			w.rowCount.Add(uint64(e.rows))
		}
		w.batcher.handleCommitResponse(now, e.code)
	case eventReadBack:
		w.recordReachability(e.code)
		w.batcher.handleReadBack(now, e.row, e.code)
	case eventWake:
		w.wakeAt = time.Time{}
	}
}

// add passes one write to the batcher, which may refuse it, and counts the write once it is committed.
func (w *Writer) add(write Write) {
	done := write.Done
	write.Done = func(result WriteResult) {
		if result == Committed {
			w.committedCount.Add(1)
		}
		done(result)
	}
	if !w.batcher.add(write) {
		done(Refused)
	}
}

// recordReachability records by the code of a response whether the table is available, and logs each change. An empty code is a success;
// a conflict shows that the table is available too.
func (w *Writer) recordReachability(code cwfault.Code) {
	isUnavailable := code != "" && code != cwfault.Conflict
	if w.isTableUnavailable.Swap(isUnavailable) != isUnavailable {
		w.opts.Log.WithFields(logrus.Fields{"away": isUnavailable, "code": code, "held": w.batcher.pendingWrites}).Warn("table-reachability-changed")
	}
}

// advance makes the next call, if there is one, and sets the timer of the next wake-up.
func (w *Writer) advance(ctx context.Context) {
	now := w.opts.Timer.Now()
	if c, ok := w.batcher.nextCall(now); ok {
		w.send(ctx, c)
	}
	w.scheduleWake(now)
}

// send makes one call on the pool: it reads the writer's row or commits a transaction, and puts the response into the inbox. If the pool
// is full, the batcher is notified and no response follows.
func (w *Writer) send(ctx context.Context, c call) {
	w.callCount.Add(1)
	work := func() {
		callCtx, cancel := context.WithTimeout(ctx, w.opts.CallTimeout)
		defer cancel()
		if c.phase == phaseRead {
			row, err := w.opts.Table.Read(callCtx, c.key)
			_ = w.inbox.Put(ctx, event{kind: eventReadBack, row: row, code: cwfault.CodeOf(err)})
			return
		}
		err := w.opts.Table.Commit(callCtx, c.txn)
		_ = w.inbox.Put(ctx, event{kind: eventCommitResponse, code: cwfault.CodeOf(err), rows: len(c.txn.Puts) + len(c.txn.Deletes)})
	}
	if w.opts.Pool.Submit(work) == nil {
		return
	}
	w.batcher.handleNotSent(w.opts.Timer.Now())
}

// scheduleWake sets the timer that wakes the duty for the end of a back-off or the deadline of a write, unless it is set to an earlier
// time already.
func (w *Writer) scheduleWake(now time.Time) {
	at, ok := w.batcher.nextWake()
	if !ok || (!w.wakeAt.IsZero() && !at.Before(w.wakeAt)) {
		return
	}
	w.cancelWake()
	w.wakeAt = at
	w.cancelWake = w.opts.Timer.After(max(at.Sub(now), time.Millisecond), func(time.Time) { w.inbox.Offer(event{kind: eventWake}) })
}
