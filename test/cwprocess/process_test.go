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

// programs are built once for all tests.
var programs cwprocess.Programs

func TestMain(m *testing.M) { os.Exit(run(m)) }

// run builds the programs, runs the tests and returns the exit code.
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

// testCluster is a cluster with the load of a test.
type testCluster struct {
	*cwprocess.Cluster
	load           *cwprocess.Load
	timer          *cwtimer.Service
	drainStartedAt map[cwmodel.HostID]time.Time
}

const (
	testTimeout           = 90 * time.Second // bounds a test that makes no progress
	seed                  = 1
	callers               = 24
	requestsBetweenFaults = 200 // with the outcome done
)

// newTestCluster starts a cluster that is stopped when the test ends.
func newTestCluster(ctx context.Context, t *testing.T, dataCentres int) *testCluster {
	is := is.New(t)
	timer, stopTimer := cwtimer.New()
	t.Cleanup(stopTimer)
	cluster, stop, err := cwprocess.StartCluster(ctx, cwprocess.Options{
		Programs: programs, Folder: t.TempDir(), Timer: timer, DataCentreCount: dataCentres, EntryHostsPerDataCentre: 2, WorkersPerDataCentre: 6,
		Capacity:      cwcodec.Resources{Processors: 4, MemoryMiB: 4096, Slots: 4, Connections: 8},
		Configuration: cwprocess.TestConfiguration().ToModel(), ClaimTTL: time.Second,
	})
	is.NoErr(err)
	t.Cleanup(stop)
	return &testCluster{Cluster: cluster, timer: timer, drainStartedAt: map[cwmodel.HostID]time.Time{}}
}

// busiestHost returns the running entry host that owns the most workers, or nil if none responds.
func (c *testCluster) busiestHost(ctx context.Context) (host *cwprocess.EntryHost) {
	most := -1
	for _, h := range c.Hosts {
		if status, err := c.Status(ctx, h); err == nil && !h.IsEnded() && status.OwnedWorkers > most {
			host, most = h, status.OwnedWorkers
		}
	}
	return host
}

// killBusiestHost kills the busiest host and waits until others own its workers.
func (c *testCluster) killBusiestHost(ctx context.Context) error {
	c.Kill(c.busiestHost(ctx).Process)
	return c.AwaitReady(ctx)
}

// pauseRack pauses all workers of one data centre until the leases of their tasks have expired.
func (c *testCluster) pauseRack(ctx context.Context) error {
	if err := c.Racks[0].Pause(); err != nil {
		return err
	}
	const pastLease = 3 * time.Second
	c.timer.Sleep(ctx.Done(), pastLease)
	if err := c.Racks[0].Resume(); err != nil {
		return err
	}
	return c.AwaitReady(ctx)
}

// pauseBusiestHost pauses the busiest host until its claims have expired.
func (c *testCluster) pauseBusiestHost(ctx context.Context) error {
	host := c.busiestHost(ctx)
	if err := host.Pause(); err != nil {
		return err
	}
	const pastClaim = 5 * time.Second // the validity of a claim, the liveness timeout and a margin
	c.timer.Sleep(ctx.Done(), pastClaim)
	if err := host.Resume(); err != nil {
		return err
	}
	return c.AwaitReady(ctx)
}

// injectPlatformFaults makes the platform fail, respond late and lose responses, each until some requests are done.
func (c *testCluster) injectPlatformFaults(ctx context.Context) error {
	for _, faults := range []cwstore.Faults{
		{Down: true}, {Delay: cwcodec.Duration(500 * time.Millisecond)}, {LostResponses: 5}, {},
	} {
		if err := c.SetFaults(ctx, faults); err != nil {
			return err
		}
		if err := c.load.AwaitDone(ctx, requestsBetweenFaults); err != nil {
			return err
		}
	}
	return nil
}

// pauseHostDuringOutage pauses the busiest host until its claims have expired, while the platform is down.
func (c *testCluster) pauseHostDuringOutage(ctx context.Context) error {
	if err := c.SetFaults(ctx, cwstore.Faults{Down: true}); err != nil {
		return err
	}
	if err := c.pauseBusiestHost(ctx); err != nil {
		return err
	}
	return c.SetFaults(ctx, cwstore.Faults{LostResponses: 5})
}

// disconnectPlatform disconnects all hosts from the platform and reconnects them, twice, each until some requests are done.
func (c *testCluster) disconnectPlatform(ctx context.Context) error {
	for _, disconnected := range []bool{true, false, true, false} {
		for _, host := range c.Hosts {
			host.PlatformProxy.SetDisconnected(disconnected)
		}
		if err := c.load.AwaitDone(ctx, requestsBetweenFaults); err != nil {
			return err
		}
	}
	return nil
}

// killRack kills all workers of one data centre and waits until the others have done some requests.
func (c *testCluster) killRack(ctx context.Context) error {
	c.Kill(c.Racks[0].Process)
	return c.load.AwaitDone(ctx, requestsBetweenFaults)
}

// drainBusiestHost drains the busiest host while long requests of its callers run.
func (c *testCluster) drainBusiestHost(ctx context.Context) error {
	host := c.busiestHost(ctx)
	const longRequests = 4
	payloadHashes := map[string]bool{}
	for n := range longRequests {
		payload := fmt.Sprintf(`{"case":"long-%d","simulate":{"run":"1500ms"}}`, n)
		payloadHashes[cwrunner.NewOutput("", []byte(payload)).PayloadHash] = true
		c.load.SendRequest(host, "filing", payload)
	}
	describeNotStarted := func(context.Context) string {
		for _, a := range c.AttemptRecords() {
			if payloadHashes[a.PayloadHash] {
				return ""
			}
		}
		return "no worker has started a long request"
	}
	if err := c.AwaitCondition(ctx, describeNotStarted); err != nil {
		return err
	}
	c.drainStartedAt[host.ID] = c.timer.Now()
	if err := c.Drain(ctx, host); err != nil {
		return err
	}
	return c.AwaitReady(ctx)
}

// TestGuaranteesUnderFaults guards against tasks that run twice, workers above their capacity, and wrong or missing responses. They
// come about when hosts, workers or the platform fail under load and another host takes the workers over.
func TestGuaranteesUnderFaults(t *testing.T) {
	cases := []struct {
		name        string
		dataCentres int
		faults      []func(cluster *testCluster, ctx context.Context) error
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
			cluster := newTestCluster(ctx, t, c.dataCentres)
			cluster.load = cwprocess.StartLoad(cluster.Cluster, callers, seed)
			err := cluster.load.AwaitDone(ctx, requestsBetweenFaults)
			for _, fault := range c.faults {
				if err == nil {
					err = fault(cluster, ctx)
				}
				if err == nil {
					err = cluster.load.AwaitDone(ctx, requestsBetweenFaults)
				}
			}
			exchanges := cluster.load.Stop()
			is.NoErr(err)
			report := cwprocess.Check(cluster.Cluster, exchanges, cluster.drainStartedAt)
			t.Logf("seed %d: %d requests, %v, %d without a response, %d attempts", seed, report.Exchanges, report.Outcomes, report.NoResponse, report.Attempts)
			is.NoErr(report.Err())
			is.NoErr(cluster.checkInFlightAtDrain(exchanges))
		})
	}
}

// checkInFlightAtDrain returns an error if a request that was in flight when the drain of its host began is not done.
func (c *testCluster) checkInFlightAtDrain(exchanges []cwprocess.Exchange) error {
	for _, e := range exchanges {
		drainedAt, ok := c.drainStartedAt[e.Host]
		if ok && e.SentAt.Before(drainedAt) && e.RespondedAt.After(drainedAt) && e.Response.Outcome != string(cwmodel.OutcomeDone) {
			return fmt.Errorf("%s request in flight at the shutdown of %s received the response %+v after %v, expected done", e.Profile, e.Host, e.Response, e.RespondedAt.Sub(e.SentAt))
		}
	}
	return nil
}
