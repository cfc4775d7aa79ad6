package cwtotals_test

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"currantward/internal/adapter/cwmemory"
	"currantward/internal/app/cwtotals"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwaccounting"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
)

// init fixes the seed, so that each run reaches the same verdict; -rapid.seed draws another one.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

const (
	flushEvery = 2 * time.Second
	lateAfter  = 10 * time.Second
)

// loss says what becomes of the next commit.
type loss string

const (
	lossNone   loss = "none"
	lossAnswer loss = "answer" // it takes effect, its answer is lost
	lossDelay  loss = "delay"  // it takes effect later, or never
)

// fleet is several writers on one table with faults.
type fleet struct {
	is      *is.I
	clock   *cwtimer.Manual
	table   *cwmemory.Table
	every   time.Duration // between flushes
	mu      sync.Mutex    // guards the faults
	down    bool
	loss    loss
	delayed []cwport.Txn
	writers []*writer
	stops   []func()
}

// writer is one process with what it was told to count.
type writer struct {
	totals  *cwtotals.Totals
	stop    func()
	team    cwmodel.TeamName // its own, so that its sums can be told apart
	counted int64
	flushed int64 // counted when the last flush was known to have succeeded
	dead    bool
	closed  bool
}

func newFleet(t is.T, start time.Time) *fleet {
	return &fleet{is: is.New(t), clock: cwtimer.NewManual(start), table: cwmemory.NewTable(), every: flushEvery, loss: lossNone}
}

func (f *fleet) add() *writer {
	n := len(f.writers)
	w := &writer{team: cwmodel.TeamName(fmt.Sprintf("team-%d", n))}
	w.totals, w.stop = cwtotals.New(cwtotals.Options{
		Timer: f.clock.Service, Log: cwlog.Discard(), Table: f.port(w), Host: cwmodel.HostID(fmt.Sprintf("entry-%d", n)),
		Writer: fmt.Sprintf("entry-%d-1", n), Zone: time.UTC, FlushEvery: f.every, InboxSize: 64,
	})
	f.writers, f.stops = append(f.writers, w), append(f.stops, w.stop)
	return w
}

func (f *fleet) stop() {
	for n, w := range f.writers {
		if !w.closed {
			f.stops[n]()
		}
	}
}

func (f *fleet) port(w *writer) cwport.Table {
	port := f.table.Port()
	read := port.Read
	port.Read = func(ctx context.Context, key string) (cwport.Row, error) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.down || w.dead {
			return cwport.Row{}, cwfault.New(cwfault.Unavailable, "down")
		}
		return read(ctx, key)
	}
	port.Commit = func(_ context.Context, txn cwport.Txn) error {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.down || w.dead {
			return cwfault.New(cwfault.Unavailable, "down")
		}
		kind := f.loss
		f.loss = lossNone
		switch kind {
		case lossAnswer:
			_ = f.table.Commit(txn)
			return cwfault.New(cwfault.Indefinite, "answer lost")
		case lossDelay:
			f.delayed = append(f.delayed, txn)
			return cwfault.New(cwfault.Indefinite, "request late")
		}
		return f.table.Commit(txn)
	}
	return port
}

// set changes the faults.
func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fleet) count(w *writer, profile string) {
	w.totals.Count(context.Background(), cwaccounting.Event{
		At: f.clock.Now(), Profile: cwmodel.ProfileName(profile), Team: w.team, Response: cwmodel.Response{Outcome: cwmodel.OutcomeDone, Attempts: 1, RunTime: time.Second},
	})
	w.counted++
}

func (f *fleet) flush(w *writer) error {
	err := w.totals.Flush(context.Background())
	if err == nil {
		w.flushed = w.counted
	}
	return err
}

// day returns the sums of each team and the hosts that are named as incomplete.
func (f *fleet) day(day string) (sums map[cwmodel.TeamName]int64, incomplete []cwmodel.HostID) {
	d, err := cwtotals.Reader{Table: f.table.Port(), Zone: time.UTC, WriterTimeout: lateAfter}.Day(context.Background(), day, f.clock.Now())
	f.is.NoErr(err)
	sums = map[cwmodel.TeamName]int64{}
	for _, line := range d.Lines {
		sums[line.Key.Team] += line.Sums.Requests
	}
	for _, i := range d.Incomplete {
		incomplete = append(incomplete, i.Host)
	}
	return sums, incomplete
}

// TestRandomWritersAgreeWithWhatCallersWereTold kills writers, loses and delays commits and takes the table down.
func TestRandomWritersAgreeWithWhatCallersWereTold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC))
		defer f.stop()
		for range 4 {
			f.is.NoErr(f.flush(f.add()))
		}
		alive := func(t *rapid.T) *writer {
			w := f.writers[rapid.IntRange(0, len(f.writers)-1).Draw(t, "writer")]
			if w.dead || w.closed {
				t.Skip("the writer has ended")
			}
			return w
		}
		t.Repeat(map[string]func(*rapid.T){
			"count": func(t *rapid.T) { f.count(alive(t), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "profile")) },
			"flush": func(t *rapid.T) { _ = f.flush(alive(t)) },
			"lose":  func(t *rapid.T) { f.loss = rapid.SampledFrom([]loss{lossAnswer, lossDelay}).Draw(t, "loss") },
			"outage": func(t *rapid.T) {
				down := rapid.Bool().Draw(t, "down")
				f.set(func() { f.down = down })
			},
			"kill": func(t *rapid.T) {
				w := alive(t)
				f.set(func() { w.dead = true })
			},
			"close": func(t *rapid.T) {
				w := alive(t)
				f.set(func() { f.down, f.loss = false, lossNone })
				w.stop()
				w.closed = true
			},
			"late-request": func(*rapid.T) {
				f.set(func() {
					if len(f.delayed) > 0 {
						_ = f.table.Commit(f.delayed[0])
						f.delayed = f.delayed[1:]
					}
				})
			},
		})
		f.check()
	})
}

// check compares the report with what each writer was told to count.
func (f *fleet) check() {
	f.set(func() { f.down, f.loss = false, lossNone })
	f.clock.Advance(lateAfter + time.Second)
	for _, w := range f.writers {
		if !w.dead && !w.closed {
			f.is.NoErr(f.flush(w))
		}
	}
	sums, incomplete := f.day("2026-12-04")
	var dead []cwmodel.HostID
	for n, w := range f.writers {
		if !w.dead {
			f.is.Equal(sums[w.team], w.counted) // a writer that lives or was closed is whole
			continue
		}
		dead = append(dead, cwmodel.HostID(fmt.Sprintf("entry-%d", n)))
		f.is.True(sums[w.team] >= w.flushed && sums[w.team] <= w.counted) // a dead one misses only what it had not flushed
	}
	f.is.Equal(incomplete, dead)
}

func TestTotalsOverDays(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, time.Date(2026, 12, 4, 23, 59, 50, 0, time.UTC))
	defer f.stop()
	w := f.add()
	f.count(w, "a")
	f.set(func() { f.down = true })
	is.True(f.flush(w) != nil) // an outage is told
	f.clock.Advance(15 * time.Second)
	f.count(w, "a")
	f.set(func() { f.down = false })
	is.NoErr(f.flush(w))
	for _, day := range []string{"2026-12-04", "2026-12-05"} {
		sums, incomplete := f.day(day)
		is.Equal(sums, map[cwmodel.TeamName]int64{w.team: 1})
		is.Equal(len(incomplete), 0)
	}
	before := f.table.Read("totals/2026-12-04/writers/entry-0-1").Version
	f.clock.Advance(10 * time.Second)
	is.NoErr(f.flush(w)) // the last write of the old day
	after := f.table.Read("totals/2026-12-04/writers/entry-0-1").Version
	is.True(after > before)
	f.count(w, "a")
	is.NoErr(f.flush(w))
	is.Equal(f.table.Read("totals/2026-12-04/writers/entry-0-1").Version, after) // an old day is not written again
	is.Equal(f.table.Read("totals/2026-12-04/lines/entry-0-1/a").Version, cwport.RowVersion(1))
}

func TestLongOutageIsBounded(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC))
	f.every = time.Hour
	defer f.stop()
	w := f.add()
	is.NoErr(f.flush(w))
	f.set(func() { f.down = true })
	for range 12 {
		f.count(w, "a")
		_ = f.flush(w)
		f.clock.Advance(24 * time.Hour)
	}
	is.True(w.totals.DroppedDays() > 0)
	f.set(func() { f.down = false })
	is.NoErr(f.flush(w))
	_, incomplete := f.day("2026-12-04")
	is.Equal(incomplete, []cwmodel.HostID{"entry-0"}) // the answer says what is missing
	is.Equal(w.totals.LostResponses(), uint64(0))
}
