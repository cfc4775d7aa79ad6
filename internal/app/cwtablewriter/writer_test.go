package cwtablewriter

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/panjf2000/ants/v2"

	"currantward/internal/adapter/cwmemory"
	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwtimer"
	"currantward/internal/port/cwport"
)

// The seed of rapid is fixed unless the command line names another.
func init() { _ = flag.Set("rapid.seed", "1") }

// startWriter starts a writer on a table with injected faults.
func startWriter(t testing.TB, opts Options, seed uint64) (*Writer, *cwmemory.Table, *cwmemory.FaultInjector) {
	t.Helper()
	timer, stopTimer := cwtimer.New()
	t.Cleanup(stopTimer)
	pool, err := ants.NewPool(16, ants.WithNonblocking(true))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(pool.Release)
	table, faulty := cwmemory.NewTable(), cwmemory.NewFaultInjector(timer, seed)
	opts.Timer, opts.Log, opts.Pool, opts.Table = timer, cwlog.Discard(), pool, faulty.WrapTable(table.Port())
	opts.WriterID, opts.Seed = "entry-1-1", seed
	w, stop := New(opts)
	t.Cleanup(stop)
	return w, table, faulty
}

// TestWriterDuringOutages guards against results that contradict the table, if the table is down or slow or calls and responses are lost.
func TestWriterDuringOutages(t *testing.T) {
	cases := []struct {
		name     string
		faults   cwmemory.Faults
		deadline time.Duration
		recovers bool
		want     []WriteResult
	}{
		{"no fault", cwmemory.Faults{}, 0, false, []WriteResult{Committed}},
		{"down until a deadline", cwmemory.Faults{Down: true}, 30 * time.Millisecond, false, []WriteResult{Refused}},
		{"down for a while", cwmemory.Faults{Down: true}, 0, true, []WriteResult{Committed}},
		{"slow", cwmemory.Faults{Delay: 20 * time.Millisecond}, 0, false, []WriteResult{Committed}},
		{"slow beyond a deadline", cwmemory.Faults{Delay: 300 * time.Millisecond}, 20 * time.Millisecond, false, nil}, // which writes are unsent at the deadline depends on the batch
		{"answers lost", cwmemory.Faults{ResponseLossRate: 0.5}, 0, false, []WriteResult{Committed}},
		{"calls lost", cwmemory.Faults{RequestLossRate: 0.5}, 0, false, []WriteResult{Committed}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			opts := DefaultOptions()
			opts.MinBackoff, opts.MaxBackoff = 2*time.Millisecond, 10*time.Millisecond
			w, table, faulty := startWriter(t, opts, 7)
			faulty.SetFaults(c.faults)
			const writes = 20
			results := make([]chan WriteResult, writes)
			for n := range writes {
				results[n] = make(chan WriteResult, 3)
				write := Write{Puts: []cwport.Put{{Key: fmt.Sprintf("row/%d", n)}}, Done: func(v WriteResult) { results[n] <- v }}
				write.Checks = []cwport.Precondition{{Key: write.Puts[0].Key}}
				if c.deadline > 0 {
					write.Deadline = w.opts.Timer.Now().Add(c.deadline)
				}
				w.Write(write)
			}
			if c.recovers {
				w.opts.Timer.Sleep(nil, 50*time.Millisecond)
				is.Equal(len(results[0]), 0) // no write gets a result while the table is unavailable
				faulty.SetFaults(cwmemory.Faults{})
			}
			for n := range writes {
				got := finalResult(results[n])
				if c.want != nil {
					is.Equal(got, c.want[len(c.want)-1])
				}
				written := table.Read(fmt.Sprintf("row/%d", n)).Version == 1
				is.Equal(written, got == Committed)
			}
		})
	}
}

// finalResult returns the first result that is not Unknown.
func finalResult(results <-chan WriteResult) WriteResult {
	for {
		if result := <-results; result != Unknown {
			return result
		}
	}
}

// TestFullWriterRefuses guards against writes that get no result, or are written, if the writer is full during an outage.
func TestFullWriterRefuses(t *testing.T) {
	is := is.New(t)
	opts := DefaultOptions()
	opts.InboxSize, opts.MaxPendingWrites = 4, 8
	w, table, faulty := startWriter(t, opts, 7)
	faulty.SetFaults(cwmemory.Faults{Down: true})
	const writes = 200
	results := make(chan WriteResult, writes)
	for n := range writes {
		w.Write(Write{Puts: []cwport.Put{{Key: fmt.Sprintf("row/%d", n)}}, Done: func(v WriteResult) { results <- v }})
	}
	for range writes - opts.MaxPendingWrites - opts.InboxSize {
		is.Equal(<-results, Refused)
	}
	is.Equal(len(table.Scan("row/", "", writes)), 0)
}

// BenchmarkWriter keeps up to 256 writes pending, on a table with a latency of 2 ms.
func BenchmarkWriter(b *testing.B) {
	w, _, faulty := startWriter(b, DefaultOptions(), 7)
	faulty.SetFaults(cwmemory.Faults{Delay: 2 * time.Millisecond})
	results := make(chan WriteResult, 256)
	startedAt := w.opts.Timer.Now()
	for n := range b.N {
		if n >= cap(results) {
			<-results
		}
		w.Write(Write{Puts: []cwport.Put{{Key: fmt.Sprintf("row/%d", n)}}, Done: func(v WriteResult) { results <- v }})
	}
	for range min(b.N, cap(results)) {
		<-results
	}
	stats, elapsed := w.Stats(), w.opts.Timer.Now().Sub(startedAt).Seconds()
	b.ReportMetric(float64(stats.Writes)/float64(stats.Calls), "entries/transaction")
	b.ReportMetric(float64(stats.Calls)/elapsed, "transactions/s")
}
