package cwprocess_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/adapter/cwfront"
	"currantward/internal/base/cwhttp"
	"currantward/internal/core/cwmodel"
	"currantward/internal/proof/cwprocess"
	"currantward/internal/standin/cwrunner"
	"currantward/internal/standin/cwstore"
)

// submitJobs submits each job to two hosts with the same idempotency key, asserts that both return the same job, and returns the
// identifiers.
func submitJobs(ctx context.Context, is *is.I, client *cwhttp.Client, hosts []*cwprocess.EntryHost, jobs int) (ids []string) {
	for n := range jobs {
		submission := cwcodec.JobSubmission{
			Profile: []string{"archive", "transfer"}[n%2], Team: "intake", Tasks: 3, IdempotencyKey: fmt.Sprint("job-", n),
			Payload: json.RawMessage(fmt.Sprintf(`{"case":"job-%d","simulate":{"run":"700ms"}}`, n)),
		}
		var first, second cwcodec.JobView
		is.NoErr(client.Call(ctx, fasthttp.MethodPost, hosts[n%len(hosts)].CallerAddr, cwfront.PathJobs, submission, &first))
		is.NoErr(client.Call(ctx, fasthttp.MethodPost, hosts[(n+1)%len(hosts)].CallerAddr, cwfront.PathJobs, submission, &second))
		is.Equal(first.ID, second.ID) // both submissions return the same job
		ids = append(ids, first.ID)
	}
	return ids
}

// awaitJob waits until a host reports that a job is finished, and returns the job.
func awaitJob(ctx context.Context, cluster *testCluster, client *cwhttp.Client, host *cwprocess.EntryHost, id string) (view cwcodec.JobView, err error) {
	err = cluster.AwaitCondition(ctx, func(ctx context.Context) string {
		view = cwcodec.JobView{}
		err := client.Call(ctx, fasthttp.MethodGet, host.CallerAddr, cwfront.PathJobs+"/"+id, nil, &view)
		if err != nil || !view.Finished {
			return fmt.Sprintf("job %s has not ended: %v, tasks %+v", id, err, view.Tasks)
		}
		return ""
	})
	return view, err
}

// TestJobsSurviveFaults guards against jobs that are accepted twice under one idempotency key, and against tasks that are lost or run
// twice when the host that coordinates them is killed or the platform is down for a while.
func TestJobsSurviveFaults(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		fault func(cluster *testCluster, ctx context.Context) error
	}{
		{"nothing fails", func(*testCluster, context.Context) error { return nil }},
		{"the host of some jobs is killed", (*testCluster).killBusiestHost},
		{"the platform is down for a while", func(cluster *testCluster, ctx context.Context) error {
			if err := cluster.SetFaults(ctx, cwstore.Faults{Down: true}); err != nil {
				return err
			}
			cluster.timer.Sleep(ctx.Done(), 2*time.Second)
			return cluster.SetFaults(ctx, cwstore.Faults{LostResponses: 5})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			cluster := newTestCluster(ctx, t, 1)
			client, stop := cwhttp.NewClient(cwhttp.DefaultClientOptions())
			t.Cleanup(stop)
			const jobs = 8
			ids := submitJobs(ctx, is, client, cluster.Hosts, jobs)
			is.NoErr(c.fault(cluster, ctx))
			survivor := cluster.busiestHost(ctx)
			outcomes := map[string]int{}
			for _, id := range ids {
				view, err := awaitJob(ctx, cluster, client, survivor, id)
				is.NoErr(err)
				checkTasks(t, cluster, view, outcomes)
			}
			report := cwprocess.Check(cluster.Cluster, nil, nil)
			t.Logf("%d jobs, tasks %v, %d attempts", jobs, outcomes, report.Attempts)
			is.NoErr(report.Err())
		})
	}
}

// checkTasks asserts that the task outcomes of a job agree with the attempts in the workers' logs, and that repeatable tasks are done
// or not run. It adds to outcomes the number of tasks by profile and outcome.
func checkTasks(t *testing.T, cluster *testCluster, view cwcodec.JobView, outcomes map[string]int) {
	started := map[string]int{}
	for _, a := range cluster.AttemptRecords() {
		started[a.Task]++
	}
	for n, task := range view.Tasks {
		outcomes[view.Profile+" "+task.Outcome]++
		id := fmt.Sprintf("%s/%d", view.ID, n)
		var output cwrunner.Output
		switch cwmodel.Outcome(task.Outcome) {
		case cwmodel.OutcomeDone:
			if json.Unmarshal(task.Output, &output) != nil || output.Task != id {
				t.Errorf("task %s is done with the output %s, expected its own", id, task.Output)
			}
		case cwmodel.OutcomeNotRun:
			if started[id] > 0 {
				t.Errorf("task %s is reported as not run but was started", id)
			}
		default:
			if view.Profile == "archive" {
				t.Errorf("task %s is repeatable but has the outcome %s (%s), expected done or not run", id, task.Outcome, task.Reason)
			}
		}
	}
}

// TestIdempotentRequestsStartOnce guards against a request that runs more than once when it is sent to all hosts at the same time with
// the same idempotency key, while the platform loses responses.
func TestIdempotentRequestsStartOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	cluster := newTestCluster(ctx, t, 2)
	client, stop := cwhttp.NewClient(cwhttp.ClientOptions{Timeout: 20 * time.Second, MaxConnsPerHost: 64, MaxResponseBytes: 1 << 20})
	t.Cleanup(stop)
	const keys = 30
	responses := make([][]cwcodec.Response, keys)
	var mu sync.Mutex
	var senders sync.WaitGroup
	is.NoErr(cluster.SetFaults(ctx, cwstore.Faults{LostResponses: 20}))
	for n := range keys {
		for _, host := range cluster.Hosts {
			senders.Go(func() {
				submission := cwcodec.Submission{
					Profile: "filing", Team: "intake", IdempotencyKey: fmt.Sprint("key-", n),
					Payload: json.RawMessage(fmt.Sprintf(`{"case":"key-%d","simulate":{"run":"20ms"}}`, n)),
				}
				body, _ := json.Marshal(submission)
				var response cwcodec.Response
				if _, data, err := client.Do(ctx, fasthttp.MethodPost, host.CallerAddr, cwfront.PathRequests, body); err == nil {
					_ = json.Unmarshal(data, &response)
				}
				mu.Lock()
				defer mu.Unlock()
				responses[n] = append(responses[n], response)
			})
		}
	}
	senders.Wait()
	started := map[string]int{}
	for _, a := range cluster.AttemptRecords() {
		started[a.PayloadHash]++
	}
	outcomes := map[string]int{}
	for n := range keys {
		hash := cwrunner.NewOutput("", fmt.Appendf(nil, `{"case":"key-%d","simulate":{"run":"20ms"}}`, n)).PayloadHash
		is.True(started[hash] <= 1) // each key starts at most once
		first := ""
		for _, response := range responses[n] {
			outcomes[response.Outcome]++
			if response.Outcome != string(cwmodel.OutcomeDone) {
				continue
			}
			is.Equal(started[hash], 1)
			is.True(first == "" || first == string(response.Output)) // all callers receive the same output
			first = string(response.Output)
		}
	}
	t.Logf("%d keys by %d hosts each: %v", keys, len(cluster.Hosts), outcomes)
	is.True(outcomes[string(cwmodel.OutcomeDone)] > 0)
}
