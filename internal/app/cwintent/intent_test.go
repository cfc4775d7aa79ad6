package cwintent_test

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/panjf2000/ants/v2"

	"currantward/internal/adapter/cwmemory"
	"currantward/internal/app/cwintent"
	"currantward/internal/app/cwtablewriter"
	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwjob"
	"currantward/internal/core/cwmodel"
)

// cell is two entry hosts on one table.
type cell struct {
	timer  *cwtimer.Service
	faulty *cwmemory.FaultInjector
	hosts  []*cwintent.Deduplicator
	gone   atomic.Bool // the first host is no longer live
	runs   atomic.Int64
}

func newCell(t *testing.T) *cell {
	t.Helper()
	is := is.New(t)
	c := &cell{}
	timer, stop := cwtimer.New()
	t.Cleanup(stop)
	pool, err := ants.NewPool(32, ants.WithNonblocking(true))
	is.NoErr(err)
	t.Cleanup(pool.Release)
	c.timer, c.faulty = timer, cwmemory.NewFaultInjector(timer, 1)
	table, objects := c.faulty.WrapTable(cwmemory.NewTable().Port()), cwmemory.NewObjectStore().Port()
	for _, host := range []cwmodel.HostID{"entry-1", "entry-2"} {
		l := cwtablewriter.DefaultOptions()
		l.Timer, l.Log, l.Table, l.Pool, l.WriterID = timer, cwlog.Discard(), table, pool, string(host)
		l.MinBackoff, l.MaxBackoff = time.Millisecond, 5*time.Millisecond
		ledger, stopLedger := cwtablewriter.New(l)
		t.Cleanup(stopLedger)
		o := cwintent.DefaultOptions()
		o.Timer, o.Log, o.Table, o.Objects, o.Self = timer, cwlog.Discard(), table, objects, cwjob.Coordinator{Host: host, Incarnation: 1}
		o.WriteTimeout, o.PollEvery = 100*time.Millisecond, time.Millisecond
		o.Write, o.Go = ledger.Write, pool.Submit
		o.IsLive = func(cwmodel.HostID) bool { return !c.gone.Load() }
		c.hosts = append(c.hosts, cwintent.New(o))
	}
	return c
}

// ask sends a keyed request to one host; run is what the request does there.
func (c *cell) ask(host int, body string, limit time.Duration, run func() cwmodel.Response) cwmodel.Response {
	request := cwmodel.Request{Profile: "filings", Team: "riders", IdempotencyKey: "key", Payload: []byte(body)}
	task := cwmodel.Task{ID: cwmodel.TaskID("t-" + body), Deadline: c.timer.Now().Add(limit)}
	return c.hosts[host].Run(context.Background(), request, task, func() cwmodel.Response {
		c.runs.Add(1)
		return run()
	})
}

func done(payload string) func() cwmodel.Response {
	return func() cwmodel.Response {
		return cwmodel.Response{Task: "t-first", Outcome: cwmodel.OutcomeDone, Payload: []byte(payload)}
	}
}

func TestOneRunForEachKey(t *testing.T) {
	large := strings.Repeat("x", 10<<10)
	cases := []struct {
		name          string
		body, payload string // of the second request and of the first answer
		before        func(c *cell)
		outcome       cwmodel.Outcome
		reason        cwmodel.Reason
	}{
		{"the same again", "first", "ok", func(*cell) {}, cwmodel.OutcomeDone, ""},
		{"a large answer", "first", large, func(*cell) {}, cwmodel.OutcomeDone, ""},
		{"another body", "second", "ok", func(*cell) {}, cwmodel.OutcomeNotRun, cwmodel.ReasonKeyReused},
		{"table down", "first", "ok", func(c *cell) { c.faulty.SetFaults(cwmemory.Faults{Down: true}) }, cwmodel.OutcomeNotRun, cwmodel.ReasonStoreUnavailable},
		{"answers lost", "first", "ok", func(c *cell) { c.faulty.SetFaults(cwmemory.Faults{ResponseLossRate: 0.9}) }, cwmodel.OutcomeDone, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cell := newCell(t)
			first := cell.ask(0, "first", time.Minute, done(c.payload))
			is.Equal(first.Outcome, cwmodel.OutcomeDone)
			c.before(cell)
			for _, host := range []int{0, 1} {
				again := cell.ask(host, c.body, time.Second, done("another"))
				is.Equal(again.Outcome, c.outcome)
				is.Equal(again.Reason, c.reason)
				if c.outcome == cwmodel.OutcomeDone {
					is.Equal(string(again.Payload), c.payload)
				}
			}
			is.Equal(cell.runs.Load(), int64(1))
		})
	}
}

func TestIntentWithoutOutcome(t *testing.T) {
	cases := []struct {
		name    string
		gone    bool
		limit   time.Duration
		ends    bool // the first request ends while the second waits
		outcome cwmodel.Outcome
	}{
		{"waits for the first outcome", false, time.Minute, true, cwmodel.OutcomeDone},
		{"the deadline passes first", false, 30 * time.Millisecond, false, cwmodel.OutcomeUnknown},
		{"the first host is gone", true, time.Minute, false, cwmodel.OutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cell := newCell(t)
			runs, end, over := make(chan struct{}), make(chan struct{}), make(chan struct{})
			go func() {
				defer close(over)
				cell.ask(0, "first", time.Minute, func() cwmodel.Response {
					close(runs)
					<-end
					return done("ok")()
				})
			}()
			<-runs
			cell.gone.Store(c.gone)
			if c.ends {
				close(end)
			}
			is.Equal(cell.ask(1, "first", c.limit, done("another")).Outcome, c.outcome)
			if !c.ends {
				close(end)
			}
			<-over
			is.Equal(cell.runs.Load(), int64(1))
		})
	}
}

// TestManyAskAtOnce covers "a request marked as not repeatable runs at most once" over lost calls and answers.
func TestManyAskAtOnce(t *testing.T) {
	cases := []struct {
		name   string
		faults cwmemory.Faults
	}{
		{"no faults", cwmemory.Faults{}},
		{"lost answers", cwmemory.Faults{ResponseLossRate: 0.5}},
		{"lost calls and answers", cwmemory.Faults{ResponseLossRate: 0.3, RequestLossRate: 0.3}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cell := newCell(t)
			cell.faulty.SetFaults(c.faults)
			var wait sync.WaitGroup
			var doneCount atomic.Int64
			for n := range 20 {
				wait.Add(1)
				go func() {
					defer wait.Done()
					if cell.ask(n%2, "first", time.Second, done("ok")).Outcome == cwmodel.OutcomeDone {
						doneCount.Add(1)
					}
				}()
			}
			wait.Wait()
			is.True(cell.runs.Load() <= 1)
			is.True(cell.runs.Load() == 1 || doneCount.Load() == 0) // done is said only of what ran
		})
	}
}
