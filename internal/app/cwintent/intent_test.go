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

// cluster holds two entry hosts that share one table.
type cluster struct {
	timer    *cwtimer.Service
	faulty   *cwmemory.FaultInjector
	hosts    []*cwintent.Deduplicator
	hostDown atomic.Bool // the first host is no longer live
	runs     atomic.Int64
}

// newCluster returns a cluster without faults, whose hosts report each other as live.
func newCluster(t *testing.T) *cluster {
	t.Helper()
	is := is.New(t)
	c := &cluster{}
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
		writer, stopWriter := cwtablewriter.New(l)
		t.Cleanup(stopWriter)
		o := cwintent.DefaultOptions()
		o.Timer, o.Log, o.Table, o.Objects, o.Self = timer, cwlog.Discard(), table, objects, cwjob.Coordinator{Host: host, Incarnation: 1}
		o.WriteTimeout, o.PollEvery = 100*time.Millisecond, time.Millisecond
		o.Write, o.RunOnPool = writer.Write, pool.Submit
		o.IsLive = func(cwmodel.HostID) bool { return !c.hostDown.Load() }
		c.hosts = append(c.hosts, cwintent.New(o))
	}
	return c
}

// send sends a request with an idempotency key to one host, which calls run to execute it.
func (c *cluster) send(host int, body string, limit time.Duration, run func() cwmodel.Response) cwmodel.Response {
	request := cwmodel.Request{Profile: "filings", Team: "riders", IdempotencyKey: "key", Payload: []byte(body)}
	task := cwmodel.Task{ID: cwmodel.TaskID("t-" + body), Deadline: c.timer.Now().Add(limit)}
	return c.hosts[host].Run(context.Background(), request, task, func() cwmodel.Response {
		c.runs.Add(1)
		return run()
	})
}

// doneResponse returns a run function that responds with the outcome done and a payload.
func doneResponse(payload string) func() cwmodel.Response {
	return func() cwmodel.Response {
		return cwmodel.Response{Task: "t-first", Outcome: cwmodel.OutcomeDone, Payload: []byte(payload)}
	}
}

// TestOneRunPerKey guards against a second run when a request is repeated on either host, with or without table faults.
func TestOneRunPerKey(t *testing.T) {
	large := strings.Repeat("x", 10<<10)
	cases := []struct {
		name          string
		body, payload string // of the second request and of the first response
		before        func(c *cluster)
		outcome       cwmodel.Outcome
		reason        cwmodel.Reason
	}{
		{"the same again", "first", "ok", func(*cluster) {}, cwmodel.OutcomeDone, ""},
		{"a large answer", "first", large, func(*cluster) {}, cwmodel.OutcomeDone, ""},
		{"another body", "second", "ok", func(*cluster) {}, cwmodel.OutcomeNotRun, cwmodel.ReasonKeyReused},
		{"table down", "first", "ok", func(c *cluster) { c.faulty.SetFaults(cwmemory.Faults{Down: true}) }, cwmodel.OutcomeNotRun, cwmodel.ReasonStoreUnavailable},
		{"answers lost", "first", "ok", func(c *cluster) { c.faulty.SetFaults(cwmemory.Faults{ResponseLossRate: 0.9}) }, cwmodel.OutcomeDone, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			hosts := newCluster(t)
			first := hosts.send(0, "first", time.Minute, doneResponse(c.payload))
			is.Equal(first.Outcome, cwmodel.OutcomeDone)
			c.before(hosts)
			for _, host := range []int{0, 1} {
				again := hosts.send(host, c.body, time.Second, doneResponse("another"))
				is.Equal(again.Outcome, c.outcome)
				is.Equal(again.Reason, c.reason)
				if c.outcome == cwmodel.OutcomeDone {
					is.Equal(string(again.Payload), c.payload)
				}
			}
			is.Equal(hosts.runs.Load(), int64(1))
		})
	}
}

// TestIntentWithoutOutcome guards against a second run, or a wait without end, while the first request has no outcome.
func TestIntentWithoutOutcome(t *testing.T) {
	cases := []struct {
		name     string
		hostDown bool
		limit    time.Duration
		ends     bool // the first request ends while the second waits
		outcome  cwmodel.Outcome
	}{
		{"waits for the first outcome", false, time.Minute, true, cwmodel.OutcomeDone},
		{"the deadline passes first", false, 30 * time.Millisecond, false, cwmodel.OutcomeUnknown},
		{"the first host is gone", true, time.Minute, false, cwmodel.OutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			hosts := newCluster(t)
			started, end, finished := make(chan struct{}), make(chan struct{}), make(chan struct{})
			go func() {
				defer close(finished)
				hosts.send(0, "first", time.Minute, func() cwmodel.Response {
					close(started)
					<-end
					return doneResponse("ok")()
				})
			}()
			<-started
			hosts.hostDown.Store(c.hostDown)
			if c.ends {
				close(end)
			}
			is.Equal(hosts.send(1, "first", c.limit, doneResponse("another")).Outcome, c.outcome)
			if !c.ends {
				close(end)
			}
			<-finished
			is.Equal(hosts.runs.Load(), int64(1))
		})
	}
}

// TestConcurrentRequestsRunOnce covers "a request marked as not repeatable runs at most once" with lost calls and responses.
func TestConcurrentRequestsRunOnce(t *testing.T) {
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
			hosts := newCluster(t)
			hosts.faulty.SetFaults(c.faults)
			var wait sync.WaitGroup
			var doneCount atomic.Int64
			for n := range 20 {
				wait.Add(1)
				go func() {
					defer wait.Done()
					if hosts.send(n%2, "first", time.Second, doneResponse("ok")).Outcome == cwmodel.OutcomeDone {
						doneCount.Add(1)
					}
				}()
			}
			wait.Wait()
			is.True(hosts.runs.Load() <= 1)
			is.True(hosts.runs.Load() == 1 || doneCount.Load() == 0) // only a request that ran is reported as done
		})
	}
}
