// Package cwprocess_test holds the whole-process tests.
package cwprocess_test

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwmodel"
	"currantward/internal/proof/cwprocess"
	"currantward/internal/standin/cwrunner"
	"currantward/internal/standin/cwstore"
)

var programs cwprocess.Programs

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "currantward-programs")
	if err == nil {
		defer func() { _ = os.RemoveAll(folder) }()
		programs, err = cwprocess.Build(folder)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// bench is a cluster under load.
type bench struct {
	*cwprocess.Cluster
	load      *cwprocess.Load
	timer     *cwtimer.Service
	shutdowns map[cwmodel.HostID]time.Time
}

const (
	limit   = 90 * time.Second // of one test; it decides nothing while the system makes progress
	seed    = 1
	callers = 24
	batch   = 200 // answers between faults
)

func newBench(ctx context.Context, t *testing.T, dataCentres int) *bench {
	is := is.New(t)
	timer, stopTimer := cwtimer.New()
	t.Cleanup(stopTimer)
	cluster, stop, err := cwprocess.StartCluster(ctx, cwprocess.Options{
		Programs: programs, Folder: t.TempDir(), Timer: timer, DataCentres: dataCentres, EntryHosts: 2, Workers: 6,
		Capacity:      cwcodec.Resources{Processors: 4, MemoryMiB: 4096, Slots: 4, Connections: 8},
		Configuration: cwprocess.TestConfiguration().ToModel(), ClaimTTL: time.Second,
	})
	is.NoErr(err)
	t.Cleanup(stop)
	return &bench{Cluster: cluster, timer: timer, shutdowns: map[cwmodel.HostID]time.Time{}}
}

// busiest returns the running entry host that owns the most workers.
func (b *bench) busiest(ctx context.Context) (host *cwprocess.EntryHost) {
	most := -1
	for _, h := range b.Hosts {
		if status, err := b.Status(ctx, h); err == nil && !h.IsEnded() && status.Workers > most {
			host, most = h, status.Workers
		}
	}
	return host
}

func (b *bench) killHost(ctx context.Context) error {
	b.Kill(b.busiest(ctx).Process)
	return b.AwaitWorkersOwned(ctx)
}

// pauseRack stops workers past the leases of their tasks.
func (b *bench) pauseRack(ctx context.Context) error {
	if err := b.Racks[0].Pause(); err != nil {
		return err
	}
	const pastLease = 3 * time.Second
	b.timer.Sleep(ctx.Done(), pastLease)
	if err := b.Racks[0].Resume(); err != nil {
		return err
	}
	return b.AwaitWorkersOwned(ctx)
}

func (b *bench) pauseHost(ctx context.Context) error {
	host := b.busiest(ctx)
	if err := host.Pause(); err != nil {
		return err
	}
	const pastClaim = 5 * time.Second // the claim, the silence limit and a margin
	b.timer.Sleep(ctx.Done(), pastClaim)
	if err := host.Resume(); err != nil {
		return err
	}
	return b.AwaitWorkersOwned(ctx)
}

func (b *bench) platformFaults(ctx context.Context) error {
	for _, faults := range []cwstore.Faults{
		{Down: true}, {Delay: cwcodec.Duration(500 * time.Millisecond)}, {LostResponses: 5}, {},
	} {
		if err := b.SetFaults(ctx, faults); err != nil {
			return err
		}
		if err := b.load.AwaitDone(ctx, batch); err != nil {
			return err
		}
	}
	return nil
}

// pauseInOutage pauses an owner past its claim while the platform is down.
func (b *bench) pauseInOutage(ctx context.Context) error {
	if err := b.SetFaults(ctx, cwstore.Faults{Down: true}); err != nil {
		return err
	}
	if err := b.pauseHost(ctx); err != nil {
		return err
	}
	return b.SetFaults(ctx, cwstore.Faults{LostResponses: 5})
}

func (b *bench) cutPlatform(ctx context.Context) error {
	for _, cut := range []bool{true, false, true, false} {
		for _, host := range b.Hosts {
			host.PlatformProxy.SetDisconnected(cut)
		}
		if err := b.load.AwaitDone(ctx, batch); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) killRack(ctx context.Context) error {
	b.Kill(b.Racks[0].Process)
	return b.load.AwaitDone(ctx, batch)
}

// drainHost shuts a host down while long requests of its own callers run.
func (b *bench) drainHost(ctx context.Context) error {
	host := b.busiest(ctx)
	const long = 4
	digests := map[string]bool{}
	for n := range long {
		payload := fmt.Sprintf(`{"case":"long-%d","simulate":{"run":"1500ms"}}`, n)
		digests[cwrunner.NewOutput("", []byte(payload)).PayloadHash] = true
		b.load.SendRequest(host, "filing", payload)
	}
	begun := func(context.Context) string {
		for _, s := range b.AttemptRecords() {
			if digests[s.PayloadDigest] {
				return ""
			}
		}
		return "no long request has begun"
	}
	if err := b.AwaitCondition(ctx, begun); err != nil {
		return err
	}
	b.shutdowns[host.ID] = b.timer.Now()
	if err := b.Drain(ctx, host); err != nil {
		return err
	}
	return b.AwaitWorkersOwned(ctx)
}

func TestPromisesUnderFaults(t *testing.T) {
	cases := []struct {
		name        string
		dataCentres int
		faults      []func(b *bench, ctx context.Context) error
	}{
		{"three data centres under load", 3, nil},
		{"an entry host is killed", 1, []func(*bench, context.Context) error{(*bench).killHost}},
		{"an owner is paused past its claim", 1, []func(*bench, context.Context) error{(*bench).pauseHost}},
		{"the platform is down, slow and loses answers", 1, []func(*bench, context.Context) error{(*bench).platformFaults}},
		{"the sockets to the platform are cut twice", 1, []func(*bench, context.Context) error{(*bench).cutPlatform}},
		{"a rack of workers is killed", 2, []func(*bench, context.Context) error{(*bench).killRack}},
		{"a rack of workers is paused past its leases", 1, []func(*bench, context.Context) error{(*bench).pauseRack}},
		{"an entry host drains", 1, []func(*bench, context.Context) error{(*bench).drainHost}},
		{"an owner is paused while the platform is down, twice", 1, []func(*bench, context.Context) error{(*bench).pauseInOutage, (*bench).pauseInOutage}},
		{"an entry host is killed and another is paused", 2, []func(*bench, context.Context) error{(*bench).killHost, (*bench).pauseHost}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			defer cancel()
			b := newBench(ctx, t, c.dataCentres)
			b.load = cwprocess.StartLoad(b.Cluster, callers, seed)
			err := b.load.AwaitDone(ctx, batch)
			for _, fault := range c.faults {
				if err == nil {
					err = fault(b, ctx)
				}
				if err == nil {
					err = b.load.AwaitDone(ctx, batch)
				}
			}
			exchanges := b.load.Stop()
			is.NoErr(err)
			report := cwprocess.Check(b.Cluster, exchanges, b.shutdowns)
			t.Logf("seed %d: %d requests, %v, %d without an answer, %d attempts", seed, report.Exchanges, report.Outcomes, report.NoResponse, report.Attempts)
			is.NoErr(report.Err())
			is.NoErr(b.cutOff(exchanges))
		})
	}
}

// cutOff returns an error for a request that was in flight when its host began to shut down and did not end well.
func (b *bench) cutOff(exchanges []cwprocess.Exchange) error {
	for _, e := range exchanges {
		shutdown, ok := b.shutdowns[e.Host]
		if ok && e.SentAt.Before(shutdown) && e.RespondedAt.After(shutdown) && e.Response.Outcome != string(cwmodel.OutcomeDone) {
			return fmt.Errorf("a %s request in flight at the shutdown of %s was answered %+v after %v", e.Profile, e.Host, e.Response, e.RespondedAt.Sub(e.SentAt))
		}
	}
	return nil
}
