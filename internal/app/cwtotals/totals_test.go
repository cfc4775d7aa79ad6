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

// init fixes the seed, so that each run gives the same result. Use -rapid.seed for another one.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

const (
	flushEvery    = 2 * time.Second
	writerTimeout = 10 * time.Second
)

// fault is the fault of the next commit.
type fault string

const (
	faultNone         fault = "none"
	faultResponseLost fault = "answer" // it takes effect, but its response is lost
	faultDelay        fault = "delay"  // it takes effect later or never
)

// harness is a group of writers that share one table with faults.
type harness struct {
	is         *is.I
	clock      *cwtimer.Manual
	table      *cwmemory.Table
	flushEvery time.Duration // between flushes
	mu         sync.Mutex    // guards the faults
	down       bool
	fault      fault
	delayed    []cwport.Txn
	writers    []*writer
	stops      []func()
}

// writer is one process with the number of responses that it counted.
type writer struct {
	totals  *cwtotals.Totals
	stop    func()
	team    cwmodel.TeamName // unique, so that the totals of each writer can be distinguished
	counted int64
	flushed int64 // value of counted at the last successful flush
	dead    bool  // killed: it reaches the table no more
	closed  bool  // stopped gracefully
}

// newHarness returns a harness without writers whose clock shows start.
func newHarness(t is.T, start time.Time) *harness {
	return &harness{is: is.New(t), clock: cwtimer.NewManual(start), table: cwmemory.NewTable(), flushEvery: flushEvery, fault: faultNone}
}

// add starts a writer with its own host and team.
func (h *harness) add() *writer {
	n := len(h.writers)
	w := &writer{team: cwmodel.TeamName(fmt.Sprintf("team-%d", n))}
	w.totals, w.stop = cwtotals.New(cwtotals.Options{
		Timer: h.clock.Service, Log: cwlog.Discard(), Table: h.port(w), Host: cwmodel.HostID(fmt.Sprintf("entry-%d", n)),
		WriterID: fmt.Sprintf("entry-%d-1", n), TimeZone: time.UTC, FlushEvery: h.flushEvery, InboxSize: 64,
	})
	h.writers, h.stops = append(h.writers, w), append(h.stops, w.stop)
	return w
}

// stop stops all writers that are not closed yet, dead ones included.
func (h *harness) stop() {
	for n, w := range h.writers {
		if !w.closed {
			h.stops[n]()
		}
	}
}

// port returns the port of the shared table for one writer. It fails in an outage or once the writer is dead, and injects the fault of the next
// commit.
func (h *harness) port(w *writer) cwport.Table {
	port := h.table.Port()
	read := port.Read
	port.Read = func(ctx context.Context, key string) (cwport.Row, error) {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.down || w.dead {
			return cwport.Row{}, cwfault.New(cwfault.Unavailable, "down")
		}
		return read(ctx, key)
	}
	port.Commit = func(_ context.Context, txn cwport.Txn) error {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.down || w.dead {
			return cwfault.New(cwfault.Unavailable, "down")
		}
		kind := h.fault
		h.fault = faultNone
		switch kind {
		case faultResponseLost:
			_ = h.table.Commit(txn)
			return cwfault.New(cwfault.Indefinite, "answer lost")
		case faultDelay:
			h.delayed = append(h.delayed, txn)
			return cwfault.New(cwfault.Indefinite, "request late")
		}
		return h.table.Commit(txn)
	}
	return port
}

// setFaults calls change, which sets faults, with the lock that guards them.
func (h *harness) setFaults(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

// count makes a writer count one response of a profile.
func (h *harness) count(w *writer, profile string) {
	w.totals.Count(context.Background(), cwaccounting.Event{
		At: h.clock.Now(), Profile: cwmodel.ProfileName(profile), Team: w.team, Response: cwmodel.Response{Outcome: cwmodel.OutcomeDone, Attempts: 1, RunTime: time.Second},
	})
	w.counted++
}

// flush flushes the totals of a writer; after a success, its counted responses count as flushed.
func (h *harness) flush(w *writer) error {
	err := w.totals.Flush(context.Background())
	if err == nil {
		w.flushed = w.counted
	}
	return err
}

// day returns the totals of each team and the hosts that are reported as incomplete.
func (h *harness) day(day string) (sums map[cwmodel.TeamName]int64, incomplete []cwmodel.HostID) {
	d, err := cwtotals.Reader{Table: h.table.Port(), TimeZone: time.UTC, WriterTimeout: writerTimeout}.Day(context.Background(), day, h.clock.Now())
	h.is.NoErr(err)
	sums = map[cwmodel.TeamName]int64{}
	for _, line := range d.Lines {
		sums[line.Key.Team] += line.Sums.Requests
	}
	for _, i := range d.Incomplete {
		incomplete = append(incomplete, i.Host)
	}
	return sums, incomplete
}

// TestTotalsMatchCountedResponses guards against totals that miss responses or count them twice without saying so.
// Such faults arise if a writer dies, a commit is lost or delayed, or the table is unavailable.
func TestTotalsMatchCountedResponses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t, time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC))
		defer h.stop()
		for range 4 {
			h.is.NoErr(h.flush(h.add()))
		}
		alive := func(t *rapid.T) *writer {
			w := h.writers[rapid.IntRange(0, len(h.writers)-1).Draw(t, "writer")]
			if w.dead || w.closed {
				t.Skip("the writer has ended")
			}
			return w
		}
		t.Repeat(map[string]func(*rapid.T){
			"count": func(t *rapid.T) { h.count(alive(t), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "profile")) },
			"flush": func(t *rapid.T) { _ = h.flush(alive(t)) },
			"lose":  func(t *rapid.T) { h.fault = rapid.SampledFrom([]fault{faultResponseLost, faultDelay}).Draw(t, "loss") },
			"outage": func(t *rapid.T) {
				down := rapid.Bool().Draw(t, "down")
				h.setFaults(func() { h.down = down })
			},
			"kill": func(t *rapid.T) {
				w := alive(t)
				h.setFaults(func() { w.dead = true })
			},
			"close": func(t *rapid.T) {
				w := alive(t)
				h.setFaults(func() { h.down, h.fault = false, faultNone })
				w.stop()
				w.closed = true
			},
			"late-request": func(*rapid.T) {
				h.setFaults(func() {
					if len(h.delayed) > 0 {
						_ = h.table.Commit(h.delayed[0])
						h.delayed = h.delayed[1:]
					}
				})
			},
		})
		h.check()
	})
}

// check compares the totals with the responses that each writer counted.
func (h *harness) check() {
	h.setFaults(func() { h.down, h.fault = false, faultNone })
	h.clock.Advance(writerTimeout + time.Second)
	for _, w := range h.writers {
		if !w.dead && !w.closed {
			h.is.NoErr(h.flush(w))
		}
	}
	sums, incomplete := h.day("2026-12-04")
	var dead []cwmodel.HostID
	for n, w := range h.writers {
		if !w.dead {
			h.is.Equal(sums[w.team], w.counted) // a live or closed writer is complete
			continue
		}
		dead = append(dead, cwmodel.HostID(fmt.Sprintf("entry-%d", n)))
		h.is.True(sums[w.team] >= w.flushed && sums[w.team] <= w.counted) // a dead writer misses at most the responses since its last flush
	}
	h.is.Equal(incomplete, dead)
}

// TestTotalsAcrossMidnight guards against responses that are counted on the wrong day or missing, if the table is unavailable
// at midnight, and against further writes to a past day.
func TestTotalsAcrossMidnight(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, time.Date(2026, 12, 4, 23, 59, 50, 0, time.UTC))
	defer h.stop()
	w := h.add()
	h.count(w, "a")
	h.setFaults(func() { h.down = true })
	is.True(h.flush(w) != nil) // an outage is reported
	h.clock.Advance(15 * time.Second)
	h.count(w, "a")
	h.setFaults(func() { h.down = false })
	is.NoErr(h.flush(w))
	for _, day := range []string{"2026-12-04", "2026-12-05"} {
		sums, incomplete := h.day(day)
		is.Equal(sums, map[cwmodel.TeamName]int64{w.team: 1})
		is.Equal(len(incomplete), 0)
	}
	before := h.table.Read("totals/2026-12-04/writers/entry-0-1").Version
	h.clock.Advance(10 * time.Second)
	is.NoErr(h.flush(w)) // the last write of the old day
	after := h.table.Read("totals/2026-12-04/writers/entry-0-1").Version
	is.True(after > before)
	h.count(w, "a")
	is.NoErr(h.flush(w))
	is.Equal(h.table.Read("totals/2026-12-04/writers/entry-0-1").Version, after) // a closed day is not written again
	is.Equal(h.table.Read("totals/2026-12-04/lines/entry-0-1/a").Version, cwport.RowVersion(1))
}

// TestLongOutageDropsOldestDays guards against memory use that grows with the length of an outage, and against dropped days
// that are reported as complete.
func TestLongOutageDropsOldestDays(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC))
	h.flushEvery = time.Hour
	defer h.stop()
	w := h.add()
	is.NoErr(h.flush(w))
	h.setFaults(func() { h.down = true })
	for range 12 {
		h.count(w, "a")
		_ = h.flush(w)
		h.clock.Advance(24 * time.Hour)
	}
	is.True(w.totals.DroppedDays() > 0)
	h.setFaults(func() { h.down = false })
	is.NoErr(h.flush(w))
	_, incomplete := h.day("2026-12-04")
	is.Equal(incomplete, []cwmodel.HostID{"entry-0"}) // the totals name the host with missing responses
	is.Equal(w.totals.LostResponses(), uint64(0))
}
