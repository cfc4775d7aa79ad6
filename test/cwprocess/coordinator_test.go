package cwprocess_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/adapter/cwfront"
	"currantward/internal/base/cwhttp"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwmodel"
	"currantward/internal/proof/cwprocess"
	"currantward/internal/standin/cwstore"
)

// jobCluster is a cluster with the jobs that its first host accepted. That host is their coordinator, which starts their tasks.
type jobCluster struct {
	*cwprocess.Cluster
	client *cwhttp.Client
	timer  *cwtimer.Service
	jobIDs []string
}

// jobConfiguration returns the common test configuration with three more profiles for jobs.
func jobConfiguration() cwcodec.Configuration {
	document := cwprocess.TestConfiguration()
	requests := document.Profiles
	document.Profiles = nil
	for _, p := range []cwcodec.Profile{
		{Name: "batch-check", Kind: string(cwmodel.KindBatch), Repeatable: true},
		{Name: "batch-filing", Kind: string(cwmodel.KindBatch)},
		{Name: "portal", Kind: string(cwmodel.KindService), Repeatable: true},
	} {
		p.Class, p.QueueLimit, p.MaxAttempts = string(cwmodel.ClassStandard), 1000, 1
		if p.Repeatable {
			p.MaxAttempts = 5
		}
		p.Lease, p.Demand = cwcodec.Duration(10*time.Second), cwcodec.Resources{Processors: 0.5, MemoryMiB: 128}
		document.Profiles = append(document.Profiles, p)
	}
	document.Profiles = append(document.Profiles, requests...)
	slices.SortFunc(document.Profiles, func(a, b cwcodec.Profile) int { return strings.Compare(a.Name, b.Name) })
	return document
}

// newJobCluster starts a cluster that is stopped when the test ends.
func newJobCluster(ctx context.Context, t *testing.T) *jobCluster {
	is := is.New(t)
	timer, stopTimer := cwtimer.New()
	t.Cleanup(stopTimer)
	cluster, stop, err := cwprocess.StartCluster(ctx, cwprocess.Options{
		Programs: programs, Folder: t.TempDir(), Timer: timer, DataCentreCount: 1, EntryHostsPerDataCentre: 3, WorkersPerDataCentre: 6,
		Capacity:      cwcodec.Resources{Processors: 4, MemoryMiB: 4096, Slots: 4, Connections: 8},
		Configuration: jobConfiguration().ToModel(), ClaimTTL: time.Second,
	})
	is.NoErr(err)
	t.Cleanup(stop)
	client, stopClient := cwhttp.NewClient(cwhttp.DefaultClientOptions())
	t.Cleanup(stopClient)
	return &jobCluster{Cluster: cluster, client: client, timer: timer}
}

// submit submits a job to the first host.
func (c *jobCluster) submit(ctx context.Context, body string) (view cwcodec.JobView, err error) {
	err = c.client.Call(ctx, "POST", c.Hosts[0].CallerAddr, cwfront.PathJobs, json.RawMessage(body), &view)
	c.jobIDs = append(c.jobIDs, view.ID)
	return view, err
}

// awaitJob polls the last host until a job meets a condition.
func (c *jobCluster) awaitJob(ctx context.Context, id string, isMet func(view cwcodec.JobView) bool) (view cwcodec.JobView, err error) {
	host := c.Hosts[len(c.Hosts)-1]
	err = c.AwaitCondition(ctx, func(ctx context.Context) string {
		callErr := c.client.Call(ctx, "GET", host.CallerAddr, cwfront.PathJobs+"/"+id, nil, &view)
		if callErr != nil || !isMet(view) {
			return fmt.Sprintf("job %s: %v, %+v", id, callErr, view)
		}
		return ""
	})
	return view, err
}

// isFinished reports whether a job has ended.
func isFinished(view cwcodec.JobView) bool { return view.Finished }

// isDispatched reports whether no task of a job still waits for a worker.
func isDispatched(view cwcodec.JobView) bool {
	for _, task := range view.Tasks {
		if task.Phase == "waiting" {
			return false
		}
	}
	return true
}

// TestJobsSurviveCoordinatorFaults guards against jobs that are lost, run twice or are interrupted when their coordinator is killed,
// drained or paused. Another host must then recover them from the table and the workers' inventories alone.
func TestJobsSurviveCoordinatorFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault func(ctx context.Context, cluster *jobCluster) error
	}{
		{"home killed", func(_ context.Context, cluster *jobCluster) error {
			cluster.Kill(cluster.Hosts[0].Process)
			return nil
		}},
		{"home drained", func(ctx context.Context, cluster *jobCluster) error { return cluster.Drain(ctx, cluster.Hosts[0]) }},
		{"home paused and woken", func(_ context.Context, cluster *jobCluster) error {
			err := cluster.Hosts[0].Pause()
			cluster.timer.After(6*time.Second, func(time.Time) { _ = cluster.Hosts[0].Resume() })
			return err
		}},
		{"home killed while the platform is down", func(ctx context.Context, cluster *jobCluster) error {
			cluster.Kill(cluster.Hosts[0].Process)
			return cluster.SetFaults(ctx, cwstore.Faults{DownFor: cwcodec.Duration(3 * time.Second)})
		}},
		{"answers lost and home killed", func(ctx context.Context, cluster *jobCluster) error {
			cluster.Kill(cluster.Hosts[0].Process)
			return cluster.SetFaults(ctx, cwstore.Faults{ResponseLossRate: 0.3, Seed: seed})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			cluster := newJobCluster(ctx, t)
			service, err := cluster.submit(ctx, `{"profile":"portal","team":"intake"}`)
			is.NoErr(err)
			for n := range 8 {
				profile := []string{"batch-check", "batch-filing"}[n%2]
				_, err = cluster.submit(ctx, fmt.Sprintf(`{"profile":%q,"team":"intake","tasks":2,"payload":{"simulate":{"run":"%dms"}}}`, profile, 500+700*n))
				is.NoErr(err)
			}
			_, err = cluster.submit(ctx, `{"profile":"batch-check","team":"intake","tasks":12,"demand":{"processors":3},"payload":{"simulate":{"run":"500ms"}}}`)
			is.NoErr(err) // most of its tasks are queued for free capacity until the others have ended
			_, err = cluster.awaitJob(ctx, service.ID, isDispatched)
			is.NoErr(err)
			is.NoErr(c.fault(ctx, cluster))
			for _, id := range cluster.jobIDs[1:] {
				view, err := cluster.awaitJob(ctx, id, isFinished)
				is.NoErr(err)
				for _, task := range view.Tasks {
					is.Equal(task.Outcome, "done")
				}
			}
			is.NoErr(cluster.client.Call(ctx, "DELETE", cluster.Hosts[1].CallerAddr, cwfront.PathJobs+"/"+service.ID, nil, nil))
			view, err := cluster.awaitJob(ctx, service.ID, isFinished)
			is.NoErr(err)
			is.Equal(view.Tasks[0].Outcome, "cancelled")
			is.Equal(view.Tasks[0].Attempts, 1) // the service kept running through the loss of its coordinator
			report := cwprocess.Check(cluster.Cluster, nil, nil)
			t.Logf("%d jobs, %d attempts", len(cluster.jobIDs), report.Attempts)
			is.NoErr(report.Err())
		})
	}
}
