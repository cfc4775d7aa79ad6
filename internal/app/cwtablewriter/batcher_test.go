package cwtablewriter

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"currantward/internal/adapter/cwmemory"
	"currantward/internal/base/cwfault"
	"currantward/internal/port/cwport"
)

var testLimits = limits{pendingWrites: 64, pendingBytes: 1 << 16, groupSize: 8, minBackoff: 10 * time.Millisecond, maxBackoff: time.Second}

// faultyTable injects the drawn fault into each commit; a delayed transaction may reach the table at any later time.
type faultyTable struct {
	table   *cwmemory.Table
	delayed []cwport.Txn
}

// commit commits a transaction with one of the faults of TestWriteResultMatchesTable; an empty fault means none.
func (f *faultyTable) commit(fault string, txn cwport.Txn) cwfault.Code {
	switch fault {
	case "down":
		return cwfault.Unavailable
	case "answer-lost":
		_ = f.table.Commit(txn)
		return cwfault.Indefinite
	case "request-lost":
		return cwfault.Indefinite
	case "request-delayed":
		f.delayed = append(f.delayed, txn)
		return cwfault.Indefinite
	}
	return cwfault.CodeOf(f.table.Commit(txn))
}

// fuzz drives a batcher over a faulty table and records the results of each write.
type fuzz struct {
	faultyTable
	batcher *batcher
	now     time.Time
	results map[string][]WriteResult
	added   int
}

// TestWriteResultMatchesTable covers the guarantee "when a caller is told a request was not run, it truly was not run" at the table.
// A lost response or a delayed transaction could otherwise give a refused write that is in the table, or the reverse.
func TestWriteResultMatchesTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fuzz{
			faultyTable: faultyTable{table: cwmemory.NewTable()}, now: time.Unix(1000, 0), results: map[string][]WriteResult{},
			batcher: newBatcher("w-1", rapid.Uint64().Draw(t, "seed"), testLimits),
		}
		t.Repeat(map[string]func(*rapid.T){"write": f.write, "call": f.call, "land": f.commitDelayed, "wait": f.advanceClock, "": f.checkBounds})
		f.finish()
		for n := range f.added {
			f.checkResult(t, valueOf(n))
		}
		if f.batcher.pendingWrites != 0 || f.batcher.pendingBytes != 0 {
			t.Fatalf("%d writes of %d bytes are still pending, want none", f.batcher.pendingWrites, f.batcher.pendingBytes)
		}
	})
}

// valueOf returns the value of the nth write, which is unique.
func valueOf(n int) string { return fmt.Sprintf("entry-%d", n) }

// write adds a write to a random row, with a marker row of its own that shows whether it was committed.
func (f *fuzz) write(t *rapid.T) {
	key := fmt.Sprintf("row/%d", rapid.IntRange(0, 4).Draw(t, "row"))
	value := valueOf(f.added)
	write := Write{
		Checks: []cwport.Precondition{{Key: key, Version: f.table.Read(key).Version}},
		Puts:   []cwport.Put{{Key: key, Value: []byte(value)}, {Key: "mark/" + value, Value: []byte(value)}},
		Done:   func(v WriteResult) { f.results[value] = append(f.results[value], v) },
	}
	if rapid.Bool().Draw(t, "deadline") {
		write.Deadline = f.now.Add(50 * time.Millisecond)
	}
	if f.batcher.add(write) {
		f.added++
	}
}

// call makes the next call of the batcher with a drawn fault, or with none.
func (f *fuzz) call(t *rapid.T) {
	f.step(rapid.SampledFrom([]string{"", "", "down", "answer-lost", "request-lost", "request-delayed"}).Draw(t, "fault"))
}

// step makes the next call of the batcher with one fault.
func (f *fuzz) step(fault string) {
	c, ok := f.batcher.nextCall(f.now)
	switch {
	case !ok:
	case c.phase == phaseRead && fault == "down":
		f.batcher.handleReadBack(f.now, cwport.Row{}, cwfault.Unavailable)
	case c.phase == phaseRead:
		f.batcher.handleReadBack(f.now, f.table.Read(c.key), "")
	default:
		f.batcher.handleCommitResponse(f.now, f.commit(fault, c.txn))
	}
}

// commitDelayed commits the oldest delayed transaction.
func (f *fuzz) commitDelayed(*rapid.T) {
	if len(f.delayed) > 0 {
		_ = f.table.Commit(f.delayed[0])
		f.delayed = f.delayed[1:]
	}
}

// advanceClock advances the time by up to 2 s, which is longer than the deadlines and the back-off.
func (f *fuzz) advanceClock(t *rapid.T) {
	f.now = f.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
}

// checkBounds checks the limits on pending writes.
func (f *fuzz) checkBounds(t *rapid.T) {
	if f.batcher.pendingWrites > testLimits.pendingWrites || f.batcher.pendingBytes > testLimits.pendingBytes {
		t.Fatalf("%d writes of %d bytes are pending, above the limits", f.batcher.pendingWrites, f.batcher.pendingBytes)
	}
}

// finish makes all calls without faults, then commits the delayed transactions.
func (f *fuzz) finish() {
	for range 1000 {
		f.now = f.now.Add(testLimits.maxBackoff)
		f.step("")
	}
	for len(f.delayed) > 0 {
		f.commitDelayed(nil)
	}
}

// checkResult checks that a write has exactly one final result, which matches its marker row in the table.
func (f *fuzz) checkResult(t *rapid.T, value string) {
	results := f.results[value]
	mark := f.table.Read("mark/" + value)
	final := results[len(results)-1]
	if len(results) > 2 || (len(results) == 2 && results[0] != Unknown) {
		t.Fatalf("results of %s are %v, want one final result after at most one unknown", value, results)
	}
	if final == Unknown || (final == Committed) != (mark.Version == 1) || mark.Version > 1 {
		t.Fatalf("results of %s are %v, but its marker row has version %d", value, results, mark.Version)
	}
}

// TestConflictFailsOnlyItsWrite guards against a failed precondition that fails all writes of the same transaction.
func TestConflictFailsOnlyItsWrite(t *testing.T) {
	cases := []struct {
		name   string
		stale  []int
		writes int
	}{
		{"none", nil, 8}, {"first", []int{0}, 8}, {"last", []int{7}, 8}, {"two", []int{2, 5}, 8}, {"single", []int{0}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := cwmemory.NewTable()
			b := newBatcher("w-1", 1, testLimits)
			got := make([]WriteResult, c.writes)
			want := make([]WriteResult, c.writes)
			for n := range c.writes {
				want[n] = Committed
				key := fmt.Sprintf("row/%d", n)
				b.add(Write{Checks: []cwport.Precondition{{Key: key}}, Puts: []cwport.Put{{Key: key}}, Done: func(v WriteResult) { got[n] = v }})
			}
			for _, n := range c.stale {
				want[n] = Conflict
				is.NoErr(table.Commit(cwport.Txn{Puts: []cwport.Put{{Key: fmt.Sprintf("row/%d", n)}}}))
			}
			port := table.Port()
			for {
				call, ok := b.nextCall(time.Unix(1, 0))
				if !ok {
					break
				}
				b.handleCommitResponse(time.Unix(1, 0), cwfault.CodeOf(port.Commit(context.Background(), call.txn)))
			}
			is.Equal(got, want)
		})
	}
}

// TestBackoffIsJitteredAndCapped guards against hosts that all retry at once after an outage, and against pauses beyond the limits.
func TestBackoffIsJitteredAndCapped(t *testing.T) {
	is := is.New(t)
	backoffs := map[time.Duration]bool{}
	for seed := range uint64(50) {
		b := newBatcher("w-1", seed, testLimits)
		now := time.Unix(1, 0)
		for range 20 {
			b.backOff(now)
			is.True(b.backoff >= testLimits.minBackoff && b.backoff <= testLimits.maxBackoff)
		}
		b.backoff = testLimits.maxBackoff / 3
		b.backOff(now)
		backoffs[b.backoff] = true
	}
	is.True(len(backoffs) > 40) // hosts retry at different times
}
