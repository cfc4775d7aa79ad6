package cwdeployment_test

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
	"currantward/internal/app/cwdeployment"
	"currantward/internal/base/cwhttp"
	"currantward/internal/base/cwtimer"
)

// TestJobIsServedFromEndToEnd asserts the outcome of each task of jobs that end, never fit, are cancelled or are invalid. A second
// cancellation must succeed like the first.
func TestJobIsServedFromEndToEnd(t *testing.T) {
	d := startDeployment(t)
	client, stop := cwhttp.NewClient(cwhttp.DefaultClientOptions())
	defer stop()
	large := strings.Repeat("x", 20<<10)
	cases := []struct {
		name    string
		body    string
		status  int
		cancel  bool
		outcome string
	}{
		{"batch of three", `{"profile":"bundles","team":"riders","tasks":3,"payload":{"bundle":1}}`, 201, false, "done"},
		{"gang of five", `{"profile":"all-at-once","team":"riders","tasks":5,"payload":{"simulate":{"run":"20ms"}}}`, 201, false, "done"},
		{"gang that fits nowhere", `{"profile":"all-at-once","team":"riders","tasks":200}`, 201, false, "not-run"},
		{"large payload", `{"profile":"bundles","team":"riders","payload":{"bundle":"` + large + `"}}`, 201, false, "done"},
		{"fails for good", `{"profile":"bundles","team":"riders","payload":{"simulate":{"end":"failed"}}}`, 201, false, "failed"},
		{"never fits", `{"profile":"bundles","team":"riders","demand":{"processors":99}}`, 201, false, "not-run"},
		{"service cancelled", `{"profile":"portal","team":"riders","payload":{"simulate":{"run-time":"1h"}}}`, 201, true, "cancelled"},
		{"profile of requests", `{"profile":"diagnostics","team":"riders"}`, 400, false, ""},
		{"unknown profile", `{"profile":"nothing","team":"riders"}`, 404, false, ""},
		{"unknown team", `{"profile":"bundles","team":"nobody"}`, 404, false, ""},
		{"no team", `{"profile":"bundles"}`, 400, false, ""},
		{"too many tasks", `{"profile":"bundles","team":"riders","tasks":257}`, 400, false, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			status, body, err := client.Do(context.Background(), "POST", d.EntryHost.CallersAddr, cwfront.PathJobs, []byte(c.body))
			is.NoErr(err)
			is.Equal(status, c.status)
			if c.outcome == "" {
				return
			}
			var view cwcodec.JobView
			is.NoErr(json.Unmarshal(body, &view))
			path := cwfront.PathJobs + "/" + view.ID
			if c.cancel {
				for range 2 {
					status, _, err = client.Do(context.Background(), "DELETE", d.EntryHost.CallersAddr, path, nil)
					is.NoErr(err)
					is.Equal(status, 200)
				}
			}
			for !view.Finished {
				time.Sleep(10 * time.Millisecond)
				is.NoErr(client.Call(context.Background(), "GET", d.EntryHost.CallersAddr, path, nil, &view))
			}
			for _, task := range view.Tasks {
				is.Equal(task.Outcome, c.outcome)
				is.Equal(len(task.Output) > 0, c.outcome == "done")
			}
			var list cwcodec.JobList
			is.NoErr(client.Call(context.Background(), "GET", d.EntryHost.CallersAddr, cwfront.PathJobs+"?team=riders", nil, &list))
			is.True(len(list.Jobs) > 0)
		})
	}
}

// TestIdempotencyKeyCreatesOneJob asserts that a repeated submission returns the first job and that another body under the same key
// is a conflict.
func TestIdempotencyKeyCreatesOneJob(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t)
	client, stop := cwhttp.NewClient(cwhttp.DefaultClientOptions())
	defer stop()
	cases := []struct {
		name, body string
		status     int
	}{
		{"first", `{"profile":"bundles","team":"riders","idempotency-key":"k","payload":1}`, 201},
		{"again", `{"profile":"bundles","team":"riders","idempotency-key":"k","payload":1}`, 201},
		{"another body", `{"profile":"bundles","team":"riders","idempotency-key":"k","payload":2}`, 409},
	}
	ids := map[string]bool{}
	for _, c := range cases {
		status, body, err := client.Do(context.Background(), "POST", d.EntryHost.CallersAddr, cwfront.PathJobs, []byte(c.body))
		is.NoErr(err)
		is.Equal(status, c.status)
		var view cwcodec.JobView
		if status == 201 {
			is.NoErr(json.Unmarshal(body, &view))
			ids[view.ID] = true
		}
	}
	is.Equal(len(ids), 1)
}

// BenchmarkJobStarts submits jobs at the peak rate of 45 task starts a second; -benchtime 450x takes ten seconds for each case.
func BenchmarkJobStarts(b *testing.B) {
	cases := []struct {
		name  string
		tasks int
	}{{"one task a job", 1}, {"ten tasks a job", 10}}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) { benchmarkJobStarts(b, c.tasks) })
	}
}

// benchmarkJobStarts submits b.N tasks in jobs of the given size and reports the rows and transactions of the table writer.
func benchmarkJobStarts(b *testing.B, tasks int) {
	const starts = 45
	d := startDeployment(b)
	client, stop := cwhttp.NewClient(cwhttp.DefaultClientOptions())
	defer stop()
	timer, stopTimer := cwtimer.New()
	defer stopTimer()
	jobs := max(b.N/tasks, 1)
	body := json.RawMessage(fmt.Sprintf(`{"profile":"bundles","team":"riders","tasks":%d,"payload":{"bundle":1}}`, tasks))
	before, began := d.EntryHost.TableWriterStats(), timer.Now()
	accepted := make(chan error, jobs)
	for range jobs {
		go func() {
			accepted <- client.Call(context.Background(), "POST", d.EntryHost.CallersAddr, cwfront.PathJobs, body, nil)
		}()
		timer.Sleep(nil, time.Duration(tasks)*time.Second/starts)
	}
	for range jobs {
		if err := <-accepted; err != nil {
			b.Fatal(err)
		}
	}
	for finished := allFinished(b, client, d); !finished; finished = allFinished(b, client, d) {
		timer.Sleep(nil, 10*time.Millisecond)
	}
	stats, took := d.EntryHost.TableWriterStats(), timer.Now().Sub(began).Seconds()
	rows, transactions := float64(stats.Rows-before.Rows), float64(stats.Calls-before.Calls)
	b.ReportMetric(rows/float64(jobs*tasks), "rows/start")
	b.ReportMetric(transactions/float64(jobs*tasks), "transactions/start")
	b.ReportMetric(rows/took, "rows/s")
	b.ReportMetric(transactions/took, "transactions/s")
}

// allFinished reports whether every listed job is finished.
func allFinished(b *testing.B, client *cwhttp.Client, d *cwdeployment.Deployment) bool {
	b.Helper()
	var list cwcodec.JobList
	if err := client.Call(context.Background(), "GET", d.EntryHost.CallersAddr, cwfront.PathJobs+"?team=riders", nil, &list); err != nil {
		b.Fatal(err)
	}
	return !slices.ContainsFunc(list.Jobs, func(j cwcodec.JobView) bool { return !j.Finished })
}
