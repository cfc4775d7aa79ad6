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

// jobBench is a cluster with the jobs that were accepted by its first host.
type jobBench struct {
	*cwprocess.Cluster
	client *cwhttp.Client
	timer  *cwtimer.Service
	jobs   []string
}

// jobConfiguration adds profiles of jobs to those of the proofs.
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

func newJobBench(ctx context.Context, t *testing.T) *jobBench {
	is := is.New(t)
	timer, stopTimer := cwtimer.New()
	t.Cleanup(stopTimer)
	cluster, stop, err := cwprocess.StartCluster(ctx, cwprocess.Options{
		Programs: programs, Folder: t.TempDir(), Timer: timer, DataCentres: 1, EntryHosts: 3, Workers: 6,
		Capacity:      cwcodec.Resources{Processors: 4, MemoryMiB: 4096, Slots: 4, Connections: 8},
		Configuration: jobConfiguration().ToModel(), ClaimTTL: time.Second,
	})
	is.NoErr(err)
	t.Cleanup(stop)
	client, stopClient := cwhttp.NewClient(cwhttp.DefaultClientOptions())
	t.Cleanup(stopClient)
	return &jobBench{Cluster: cluster, client: client, timer: timer}
}

// submit has a job accepted by the first host.
func (b *jobBench) submit(ctx context.Context, body string) (view cwcodec.JobView, err error) {
	err = b.client.Call(ctx, "POST", b.Hosts[0].Callers, cwfront.PathJobs, json.RawMessage(body), &view)
	b.jobs = append(b.jobs, view.ID)
	return view, err
}

// await asks the last host until a job is as wanted.
func (b *jobBench) await(ctx context.Context, id string, is func(view cwcodec.JobView) bool) (view cwcodec.JobView, err error) {
	host := b.Hosts[len(b.Hosts)-1]
	err = b.AwaitCondition(ctx, func(ctx context.Context) string {
		callErr := b.client.Call(ctx, "GET", host.Callers, cwfront.PathJobs+"/"+id, nil, &view)
		if callErr != nil || !is(view) {
			return fmt.Sprintf("job %s: %v, %+v", id, callErr, view)
		}
		return ""
	})
	return view, err
}

func isOver(view cwcodec.JobView) bool { return view.Finished }

func isOrdered(view cwcodec.JobView) bool {
	for _, task := range view.Tasks {
		if task.Phase == "waiting" {
			return false
		}
	}
	return true
}

// TestJobsOutliveTheirHome covers recovery from the table and the inventories alone, with nothing run twice.
func TestJobsOutliveTheirHome(t *testing.T) {
	cases := []struct {
		name  string
		fault func(ctx context.Context, b *jobBench) error
	}{
		{"home killed", func(_ context.Context, b *jobBench) error {
			b.Kill(b.Hosts[0].Process)
			return nil
		}},
		{"home drained", func(ctx context.Context, b *jobBench) error { return b.Drain(ctx, b.Hosts[0]) }},
		{"home paused and woken", func(_ context.Context, b *jobBench) error {
			err := b.Hosts[0].Pause()
			b.timer.After(6*time.Second, func(time.Time) { _ = b.Hosts[0].Resume() })
			return err
		}},
		{"home killed while the platform is down", func(ctx context.Context, b *jobBench) error {
			b.Kill(b.Hosts[0].Process)
			return b.SetFaults(ctx, cwstore.Faults{DownFor: cwcodec.Duration(3 * time.Second)})
		}},
		{"answers lost and home killed", func(ctx context.Context, b *jobBench) error {
			b.Kill(b.Hosts[0].Process)
			return b.SetFaults(ctx, cwstore.Faults{ResponseLossRate: 0.3, Seed: seed})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			defer cancel()
			b := newJobBench(ctx, t)
			service, err := b.submit(ctx, `{"profile":"portal","team":"intake"}`)
			is.NoErr(err)
			for n := range 8 {
				profile := []string{"batch-check", "batch-filing"}[n%2]
				_, err = b.submit(ctx, fmt.Sprintf(`{"profile":%q,"team":"intake","tasks":2,"payload":{"simulate":{"run":"%dms"}}}`, profile, 500+700*n))
				is.NoErr(err)
			}
			_, err = b.submit(ctx, `{"profile":"batch-check","team":"intake","tasks":12,"demand":{"processors":3},"payload":{"simulate":{"run":"500ms"}}}`)
			is.NoErr(err) // most of its tasks wait for room until the others are over
			_, err = b.await(ctx, service.ID, isOrdered)
			is.NoErr(err)
			is.NoErr(c.fault(ctx, b))
			for _, id := range b.jobs[1:] {
				view, err := b.await(ctx, id, isOver)
				is.NoErr(err)
				for _, task := range view.Tasks {
					is.Equal(task.Outcome, "done")
				}
			}
			is.NoErr(b.client.Call(ctx, "DELETE", b.Hosts[1].Callers, cwfront.PathJobs+"/"+service.ID, nil, nil))
			view, err := b.await(ctx, service.ID, isOver)
			is.NoErr(err)
			is.Equal(view.Tasks[0].Outcome, "cancelled")
			is.Equal(view.Tasks[0].Attempts, 1) // the service ran on through the loss of its home
			report := cwprocess.Check(b.Cluster, nil, nil)
			t.Logf("%d jobs, %d attempts", len(b.jobs), report.Attempts)
			is.NoErr(report.Err())
		})
	}
}
