package cwdeployment_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/adapter/cwfront"
	"currantward/internal/app/cwdeployment"
	"currantward/internal/base/cwhttp"
	"currantward/internal/standin/cwstore"
)

// TestOutageTable asserts what callers get during faults of the platform, as the table in docs/design/jobs.md specifies it.
func TestOutageTable(t *testing.T) {
	slow := cwstore.Faults{Delay: cwcodec.Duration(150 * time.Millisecond)}
	cases := []struct {
		name   string
		faults cwstore.Faults
		method string
		path   string
		body   string
		status int
		want   string // outcome of a response, or code of an error
	}{
		{"request, down", cwstore.Faults{Down: true}, "POST", cwfront.PathRequests, `{"profile":"diagnostics","team":"riders"}`, 200, "done"},
		{"keyed request, down", cwstore.Faults{Down: true}, "POST", cwfront.PathRequests, `{"profile":"orders","team":"riders","idempotency-key":"a"}`, 503, "not-run"},
		{"keyed request, slow", slow, "POST", cwfront.PathRequests, `{"profile":"orders","team":"riders","idempotency-key":"b"}`, 200, "done"},
		{"keyed request, answers lost", cwstore.Faults{LostResponses: 2}, "POST", cwfront.PathRequests, `{"profile":"orders","team":"riders","idempotency-key":"c"}`, 200, "done"},
		{"repeatable keyed request, down", cwstore.Faults{Down: true}, "POST", cwfront.PathRequests, `{"profile":"diagnostics","team":"riders","idempotency-key":"d"}`, 200, "done"},
		{"job accept, down", cwstore.Faults{Down: true}, "POST", cwfront.PathJobs, `{"profile":"bundles","team":"riders"}`, 503, "unavailable"},
		{"job accept, slow", slow, "POST", cwfront.PathJobs, `{"profile":"bundles","team":"riders"}`, 201, ""},
		{"job accept, answers lost", cwstore.Faults{LostResponses: 2}, "POST", cwfront.PathJobs, `{"profile":"bundles","team":"riders"}`, 201, ""},
		{"get, down", cwstore.Faults{Down: true}, "GET", cwfront.PathJobs + "/riders.none", "", 503, "unavailable"},
		{"list, down", cwstore.Faults{Down: true}, "GET", cwfront.PathJobs + "?team=riders", "", 503, "unavailable"},
		{"cancel, down", cwstore.Faults{Down: true}, "DELETE", cwfront.PathJobs + "/riders.none", "", 503, "unavailable"},
	}
	d := startDeployment(t)
	client, stop := cwhttp.NewClient(cwhttp.ClientOptions{Timeout: 20 * time.Second, MaxConnsPerHost: 10, MaxResponseBytes: 1 << 20})
	defer stop()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			setFaults(t, client, d, c.faults)
			defer setFaults(t, client, d, cwstore.Faults{})
			status, body, err := client.Do(context.Background(), c.method, d.EntryHost.CallersAddr, c.path, []byte(c.body))
			is.NoErr(err)
			is.Equal(status, c.status)
			var response struct{ Outcome, Error string }
			is.NoErr(json.Unmarshal(body, &response))
			is.Equal(response.Outcome+response.Error, c.want)
		})
	}
}

// setFaults makes the stand-in platform inject the given faults from now on; zero faults end them.
func setFaults(t *testing.T, client *cwhttp.Client, d *cwdeployment.Deployment, faults cwstore.Faults) {
	t.Helper()
	if err := client.Call(context.Background(), "POST", d.PlatformAddress, cwstore.PathFaults, faults, nil); err != nil {
		t.Fatal(err)
	}
}

// TestJobsSurviveOutages lets tasks end during faults of the store. Their ends must be recorded afterwards, with the output
// and without another attempt.
func TestJobsSurviveOutages(t *testing.T) {
	cases := []struct {
		name   string
		faults cwstore.Faults
	}{
		{"down", cwstore.Faults{DownFor: cwcodec.Duration(time.Second)}},
		{"answers lost", cwstore.Faults{ResponseLossRate: 0.4, Seed: 3}},
		{"slow", cwstore.Faults{Delay: cwcodec.Duration(100 * time.Millisecond)}},
	}
	d := startDeployment(t)
	client, stop := cwhttp.NewClient(cwhttp.ClientOptions{Timeout: 20 * time.Second, MaxConnsPerHost: 10, MaxResponseBytes: 1 << 20})
	defer stop()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var view cwcodec.JobView
			body := json.RawMessage(`{"profile":"bundles","team":"riders","tasks":3,"payload":{"simulate":{"run":"300ms"}}}`)
			is.NoErr(client.Call(context.Background(), "POST", d.EntryHost.CallersAddr, cwfront.PathJobs, body, &view))
			path := cwfront.PathJobs + "/" + view.ID
			for !allTasksDispatched(view) {
				is.NoErr(client.Call(context.Background(), "GET", d.EntryHost.CallersAddr, path, nil, &view))
			}
			setFaults(t, client, d, c.faults)
			defer setFaults(t, client, d, cwstore.Faults{})
			for !view.Finished {
				_ = client.Call(context.Background(), "GET", d.EntryHost.CallersAddr, path, nil, &view)
			}
			for _, task := range view.Tasks {
				is.Equal(task.Outcome, "done")
				is.Equal(task.Attempts, 1)
				is.True(len(task.Output) > 0)
			}
		})
	}
}

// allTasksDispatched reports whether each task of the job has an attempt that is dispatched.
func allTasksDispatched(view cwcodec.JobView) bool {
	for _, task := range view.Tasks {
		if task.Phase != "ordered" {
			return false
		}
	}
	return true
}
