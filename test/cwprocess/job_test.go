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

// submitJobs submits each job by two hosts under one key and returns its identifier.
func submitJobs(ctx context.Context, is *is.I, client *cwhttp.Client, hosts []*cwprocess.EntryHost, jobs int) (ids []string) {
	for n := range jobs {
		submission := cwcodec.JobSubmission{
			Profile: []string{"archive", "transfer"}[n%2], Team: "intake", Tasks: 3, IdempotencyKey: fmt.Sprint("job-", n),
			Payload: json.RawMessage(fmt.Sprintf(`{"case":"job-%d","simulate":{"run":"700ms"}}`, n)),
		}
		var first, second cwcodec.JobView
		is.NoErr(client.Call(ctx, fasthttp.MethodPost, hosts[n%len(hosts)].Callers, cwfront.PathJobs, submission, &first))
		is.NoErr(client.Call(ctx, fasthttp.MethodPost, hosts[(n+1)%len(hosts)].Callers, cwfront.PathJobs, submission, &second))
		is.Equal(first.ID, second.ID) // one key, one job
		ids = append(ids, first.ID)
	}
	return ids
}

// awaitJob waits until a job is over and returns it.
func awaitJob(ctx context.Context, b *bench, client *cwhttp.Client, host *cwprocess.EntryHost, id string) (view cwcodec.JobView, err error) {
	err = b.AwaitCondition(ctx, func(ctx context.Context) string {
		view = cwcodec.JobView{}
		err := client.Call(ctx, fasthttp.MethodGet, host.Callers, cwfront.PathJobs+"/"+id, nil, &view)
		if err != nil || !view.Finished {
			return fmt.Sprintf("job %s is not over: %v, tasks %+v", id, err, view.Tasks)
		}
		return ""
	})
	return view, err
}

func TestJobsOutliveTheirHosts(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		fault func(b *bench, ctx context.Context) error
	}{
		{"nothing fails", func(*bench, context.Context) error { return nil }},
		{"the host of some jobs is killed", (*bench).killHost},
		{"the platform is down for a while", func(b *bench, ctx context.Context) error {
			if err := b.SetFaults(ctx, cwstore.Faults{Down: true}); err != nil {
				return err
			}
			b.timer.Sleep(ctx.Done(), 2*time.Second)
			return b.SetFaults(ctx, cwstore.Faults{LostResponses: 5})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			defer cancel()
			b := newBench(ctx, t, 1)
			client, stop := cwhttp.NewClient(cwhttp.DefaultClientOptions())
			t.Cleanup(stop)
			const jobs = 8
			ids := submitJobs(ctx, is, client, b.Hosts, jobs)
			is.NoErr(c.fault(b, ctx))
			survivor := b.busiest(ctx)
			outcomes := map[string]int{}
			for _, id := range ids {
				view, err := awaitJob(ctx, b, client, survivor, id)
				is.NoErr(err)
				checkJob(t, b, view, outcomes)
			}
			report := cwprocess.Check(b.Cluster, nil, nil)
			t.Logf("%d jobs, tasks %v, %d attempts", jobs, outcomes, report.Attempts)
			is.NoErr(report.Err())
		})
	}
}

// checkJob compares what a caller sees of a job with the workers' journals.
func checkJob(t *testing.T, b *bench, view cwcodec.JobView, outcomes map[string]int) {
	began := map[string]int{}
	for _, s := range b.AttemptRecords() {
		began[s.Task]++
	}
	for n, task := range view.Tasks {
		outcomes[view.Profile+" "+task.Outcome]++
		id := fmt.Sprintf("%s/%d", view.ID, n)
		var answer cwrunner.Output
		switch cwmodel.Outcome(task.Outcome) {
		case cwmodel.OutcomeDone:
			if json.Unmarshal(task.Output, &answer) != nil || answer.Task != id {
				t.Errorf("task %s is done with the answer %s", id, task.Output)
			}
		case cwmodel.OutcomeNotRun:
			if began[id] > 0 {
				t.Errorf("task %s was said not to have run but began", id)
			}
		default:
			if view.Profile == "archive" {
				t.Errorf("task %s is repeatable but %s (%s)", id, task.Outcome, task.Reason)
			}
		}
	}
}

func TestKeyedRequestsBeginOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	b := newBench(ctx, t, 2)
	client, stop := cwhttp.NewClient(cwhttp.ClientOptions{Timeout: 20 * time.Second, MaxConnsPerHost: 64, MaxResponseBytes: 1 << 20})
	t.Cleanup(stop)
	const keys = 30
	answers := make([][]cwcodec.Response, keys)
	var mu sync.Mutex
	var sent sync.WaitGroup
	is.NoErr(b.SetFaults(ctx, cwstore.Faults{LostResponses: 20}))
	for n := range keys {
		for _, host := range b.Hosts {
			sent.Go(func() {
				submission := cwcodec.Submission{
					Profile: "filing", Team: "intake", IdempotencyKey: fmt.Sprint("key-", n),
					Payload: json.RawMessage(fmt.Sprintf(`{"case":"key-%d","simulate":{"run":"20ms"}}`, n)),
				}
				body, _ := json.Marshal(submission)
				var answer cwcodec.Response
				if _, data, err := client.Do(ctx, fasthttp.MethodPost, host.Callers, cwfront.PathRequests, body); err == nil {
					_ = json.Unmarshal(data, &answer)
				}
				mu.Lock()
				defer mu.Unlock()
				answers[n] = append(answers[n], answer)
			})
		}
	}
	sent.Wait()
	begun := map[string]int{}
	for _, s := range b.AttemptRecords() {
		begun[s.PayloadDigest]++
	}
	outcomes := map[string]int{}
	for n := range keys {
		digest := cwrunner.NewOutput("", fmt.Appendf(nil, `{"case":"key-%d","simulate":{"run":"20ms"}}`, n)).PayloadHash
		is.True(begun[digest] <= 1) // a key runs at most once
		first := ""
		for _, answer := range answers[n] {
			outcomes[answer.Outcome]++
			if answer.Outcome != string(cwmodel.OutcomeDone) {
				continue
			}
			is.Equal(begun[digest], 1)
			is.True(first == "" || first == string(answer.Output)) // every caller gets the first outcome
			first = string(answer.Output)
		}
	}
	t.Logf("%d keys by %d hosts each: %v", keys, len(b.Hosts), outcomes)
	is.True(outcomes[string(cwmodel.OutcomeDone)] > 0)
}
