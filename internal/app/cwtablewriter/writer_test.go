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

func startLedger(t testing.TB, opts Options, seed uint64) (*Writer, *cwmemory.Table, *cwmemory.FaultInjector) {
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
	l, stop := New(opts)
	t.Cleanup(stop)
	return l, table, faulty
}

func TestLedgerThroughOutages(t *testing.T) {
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
		{"slow beyond a deadline", cwmemory.Faults{Delay: 300 * time.Millisecond}, 20 * time.Millisecond, false, nil}, // which entries were still unsent at the deadline depends on the batch
		{"answers lost", cwmemory.Faults{ResponseLossRate: 0.5}, 0, false, []WriteResult{Committed}},
		{"calls lost", cwmemory.Faults{RequestLossRate: 0.5}, 0, false, []WriteResult{Committed}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			opts := DefaultOptions()
			opts.MinBackoff, opts.MaxBackoff = 2*time.Millisecond, 10*time.Millisecond
			l, table, faulty := startLedger(t, opts, 7)
			faulty.SetFaults(c.faults)
			const entries = 20
			verdicts := make([]chan WriteResult, entries)
			for n := range entries {
				verdicts[n] = make(chan WriteResult, 3)
				e := Write{Puts: []cwport.Put{{Key: fmt.Sprintf("row/%d", n)}}, Done: func(v WriteResult) { verdicts[n] <- v }}
				e.Checks = []cwport.Precondition{{Key: e.Puts[0].Key}}
				if c.deadline > 0 {
					e.Deadline = l.opts.Timer.Now().Add(c.deadline)
				}
				l.Write(e)
			}
			if c.recovers {
				l.opts.Timer.Sleep(nil, 50*time.Millisecond)
				is.Equal(len(verdicts[0]), 0) // nobody is told anything while the table is away
				faulty.SetFaults(cwmemory.Faults{})
			}
			for n := range entries {
				got := finalOf(verdicts[n])
				if c.want != nil {
					is.Equal(got, c.want[len(c.want)-1])
				}
				written := table.Read(fmt.Sprintf("row/%d", n)).Version == 1
				is.Equal(written, got == Committed)
			}
		})
	}
}

// finalOf returns the verdict that follows any unknown.
func finalOf(verdicts <-chan WriteResult) WriteResult {
	for {
		if verdict := <-verdicts; verdict != Unknown {
			return verdict
		}
	}
}

func TestFullLedgerRefuses(t *testing.T) {
	is := is.New(t)
	opts := DefaultOptions()
	opts.InboxSize, opts.MaxWrites = 4, 8
	l, table, faulty := startLedger(t, opts, 7)
	faulty.SetFaults(cwmemory.Faults{Down: true})
	const entries = 200
	verdicts := make(chan WriteResult, entries)
	for n := range entries {
		l.Write(Write{Puts: []cwport.Put{{Key: fmt.Sprintf("row/%d", n)}}, Done: func(v WriteResult) { verdicts <- v }})
	}
	for range entries - opts.MaxWrites - opts.InboxSize {
		is.Equal(<-verdicts, Refused)
	}
	is.Equal(len(table.Scan("row/", "", entries)), 0)
}

// BenchmarkLedger offers writes as fast as they are settled, over a table that answers after 2 ms.
func BenchmarkLedger(b *testing.B) {
	l, _, faulty := startLedger(b, DefaultOptions(), 7)
	faulty.SetFaults(cwmemory.Faults{Delay: 2 * time.Millisecond})
	settled := make(chan WriteResult, 256)
	began := l.opts.Timer.Now()
	for n := range b.N {
		if n >= cap(settled) {
			<-settled
		}
		l.Write(Write{Puts: []cwport.Put{{Key: fmt.Sprintf("row/%d", n)}}, Done: func(v WriteResult) { settled <- v }})
	}
	for range min(b.N, cap(settled)) {
		<-settled
	}
	stats, took := l.Stats(), l.opts.Timer.Now().Sub(began).Seconds()
	b.ReportMetric(float64(stats.Writes)/float64(stats.Transactions), "entries/transaction")
	b.ReportMetric(float64(stats.Transactions)/took, "transactions/s")
}
