// Package cwprocess_test tests entry hosts, workers and the platform as separate processes.
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

// testCluster is a cluster with its load.
type testCluster struct {
	*cwprocess.Cluster
	load       *cwprocess.Load
	timer      *cwtimer.Service
	shutdownAt map[cwmodel.HostID]time.Time
}

const (
	testTimeout           = 90 * time.Second // for one test; it has no influence while the system makes progress
	seed                  = 1
	callers               = 24
	requestsBetweenFaults = 200 // done requests between faults
)

func newTestCluster(ctx context.Context, t *testing.T, dataCentres int) *testCluster {
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
	return &testCluster{Cluster: cluster, timer: timer, shutdownAt: map[cwmodel.HostID]time.Time{}}
}

// busiestHost returns the running entry host that owns the most workers.
func (b *testCluster) busiestHost(ctx context.Context) (host *cwprocess.EntryHost) {
	most := -1
	for _, h := range b.Hosts {
		if status, err := b.Status(ctx, h); err == nil && !h.IsEnded() && status.OwnedWorkers > most {
			host, most = h, status.OwnedWorkers
		}
	}
	return host
}

func (b *testCluster) killBusiestHost(ctx context.Context) error {
	b.Kill(b.busiestHost(ctx).Process)
	return b.AwaitReady(ctx)
}

// pauseRack pauses workers until the leases of their tasks have expired.
func (b *testCluster) pauseRack(ctx context.Context) error {
	if err := b.Racks[0].Pause(); err != nil {
		return err
	}
	const pastLease = 3 * time.Second
	b.timer.Sleep(ctx.Done(), pastLease)
	if err := b.Racks[0].Resume(); err != nil {
		return err
	}
	return b.AwaitReady(ctx)
}

func (b *testCluster) pauseBusiestHost(ctx context.Context) error {
	host := b.busiestHost(ctx)
	if err := host.Pause(); err != nil {
		return err
	}
	const pastClaim = 5 * time.Second // the claim, the liveness timeout and a margin
	b.timer.Sleep(ctx.Done(), pastClaim)
	if err := host.Resume(); err != nil {
		return err
	}
	return b.AwaitReady(ctx)
}

func (b *testCluster) injectPlatformFaults(ctx context.Context) error {
	for _, faults := range []cwstore.Faults{
		{Down: true}, {Delay: cwcodec.Duration(500 * time.Millisecond)}, {LostResponses: 5}, {},
	} {
		if err := b.SetFaults(ctx, faults); err != nil {
			return err
		}
		if err := b.load.AwaitDone(ctx, requestsBetweenFaults); err != nil {
			return err
		}
	}
	return nil
}

// pauseHostDuringOutage pauses an owner until its claims have expired, while the platform is down.
func (b *testCluster) pauseHostDuringOutage(ctx context.Context) error {
	if err := b.SetFaults(ctx, cwstore.Faults{Down: true}); err != nil {
		return err
	}
	if err := b.pauseBusiestHost(ctx); err != nil {
		return err
	}
	return b.SetFaults(ctx, cwstore.Faults{LostResponses: 5})
}

func (b *testCluster) disconnectPlatform(ctx context.Context) error {
	for _, cut := range []bool{true, false, true, false} {
		for _, host := range b.Hosts {
			host.PlatformProxy.SetDisconnected(cut)
		}
		if err := b.load.AwaitDone(ctx, requestsBetweenFaults); err != nil {
			return err
		}
	}
	return nil
}

func (b *testCluster) killRack(ctx context.Context) error {
	b.Kill(b.Racks[0].Process)
	return b.load.AwaitDone(ctx, requestsBetweenFaults)
}

// drainBusiestHost drains a host while long requests of its callers run.
func (b *testCluster) drainBusiestHost(ctx context.Context) error {
	host := b.busiestHost(ctx)
	const longRequests = 4
	digests := map[string]bool{}
	for n := range longRequests {
		payload := fmt.Sprintf(`{"case":"long-%d","simulate":{"run":"1500ms"}}`, n)
		digests[cwrunner.NewOutput("", []byte(payload)).PayloadHash] = true
		b.load.SendRequest(host, "filing", payload)
	}
	hasStarted := func(context.Context) string {
		for _, a := range b.AttemptRecords() {
			if digests[a.PayloadDigest] {
				return ""
			}
		}
		return "no long request has begun"
	}
	if err := b.AwaitCondition(ctx, hasStarted); err != nil {
		return err
	}
	b.shutdownAt[host.ID] = b.timer.Now()
	if err := b.Drain(ctx, host); err != nil {
		return err
	}
	return b.AwaitReady(ctx)
}

// TestGuaranteesUnderFaults guards against tasks that run twice, workers above their capacity, and wrong or missing responses, while
// hosts, workers and the platform fail under load.
func TestGuaranteesUnderFaults(t *testing.T) {
	cases := []struct {
		name        string
		dataCentres int
		faults      []func(b *testCluster, ctx context.Context) error
	}{
		{"three data centres under load", 3, nil},
		{"an entry host is killed", 1, []func(*testCluster, context.Context) error{(*testCluster).killBusiestHost}},
		{"an owner is paused past its claim", 1, []func(*testCluster, context.Context) error{(*testCluster).pauseBusiestHost}},
		{"the platform is down, slow and loses answers", 1, []func(*testCluster, context.Context) error{(*testCluster).injectPlatformFaults}},
		{"the sockets to the platform are cut twice", 1, []func(*testCluster, context.Context) error{(*testCluster).disconnectPlatform}},
		{"a rack of workers is killed", 2, []func(*testCluster, context.Context) error{(*testCluster).killRack}},
		{"a rack of workers is paused past its leases", 1, []func(*testCluster, context.Context) error{(*testCluster).pauseRack}},
		{"an entry host drains", 1, []func(*testCluster, context.Context) error{(*testCluster).drainBusiestHost}},
		{"an owner is paused while the platform is down, twice", 1, []func(*testCluster, context.Context) error{(*testCluster).pauseHostDuringOutage, (*testCluster).pauseHostDuringOutage}},
		{"an entry host is killed and another is paused", 2, []func(*testCluster, context.Context) error{(*testCluster).killBusiestHost, (*testCluster).pauseBusiestHost}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			b := newTestCluster(ctx, t, c.dataCentres)
			b.load = cwprocess.StartLoad(b.Cluster, callers, seed)
			err := b.load.AwaitDone(ctx, requestsBetweenFaults)
			for _, fault := range c.faults {
				if err == nil {
					err = fault(b, ctx)
				}
				if err == nil {
					err = b.load.AwaitDone(ctx, requestsBetweenFaults)
				}
			}
			exchanges := b.load.Stop()
			is.NoErr(err)
			report := cwprocess.Check(b.Cluster, exchanges, b.shutdownAt)
			t.Logf("seed %d: %d requests, %v, %d without an answer, %d attempts", seed, report.Exchanges, report.Outcomes, report.NoResponse, report.Attempts)
			is.NoErr(report.Err())
			is.NoErr(b.checkInFlight(exchanges))
		})
	}
}

// checkInFlight returns an error if a request that was in flight when the drain of its host began is not done.
func (b *testCluster) checkInFlight(exchanges []cwprocess.Exchange) error {
	for _, e := range exchanges {
		drainedAt, ok := b.shutdownAt[e.Host]
		if ok && e.SentAt.Before(drainedAt) && e.RespondedAt.After(drainedAt) && e.Response.Outcome != string(cwmodel.OutcomeDone) {
			return fmt.Errorf("%s request in flight at the shutdown of %s received the response %+v after %v, expected done", e.Profile, e.Host, e.Response, e.RespondedAt.Sub(e.SentAt))
		}
	}
	return nil
}
