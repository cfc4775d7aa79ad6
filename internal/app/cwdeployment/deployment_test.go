package cwdeployment_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/adapter/cwfront"
	"currantward/internal/app/cwdeployment"
	"currantward/internal/app/cwsettings"
	"currantward/internal/base/cwhttp"
	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
	"currantward/internal/standin/cwrunner"
)

// startDeployment starts a deployment of four workers that stops at the end of the test.
func startDeployment(t testing.TB) *cwdeployment.Deployment {
	t.Helper()
	d, stop := startStoppableDeployment(t)
	t.Cleanup(stop)
	return d
}

// startStoppableDeployment starts a deployment of four workers that runs until stop is called.
func startStoppableDeployment(t testing.TB) (d *cwdeployment.Deployment, stop func()) {
	t.Helper()
	is := is.New(t)
	document := cwsettings.Defaults()
	document.HostID, document.DataCentre, document.Platform = "entry-1", "cairo-1", "127.0.0.1:9000"
	document.ListenCallers, document.ListenOperators, document.ListenPeers = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	settings, err := document.Validate()
	is.NoErr(err)
	timer, stopTimer := cwtimer.New()
	t.Cleanup(stopTimer)
	d, stop, err = cwdeployment.New(cwdeployment.Options{
		Timer: timer, Log: cwlog.Discard(), Settings: settings, Workers: 4,
		Capacity: cwmodel.Resources{MilliProcessors: 16000, MemoryBytes: 64 << 30, Slots: 8, Connections: 60},
		Configuration: cwpolicy.Configuration{
			Profiles: []cwpolicy.Profile{{
				Name: "diagnostics", Kind: cwmodel.KindRequest, Class: cwmodel.ClassUrgent, Weight: 1, Ceiling: 1, QueueLimit: 100,
				Deadline: 5 * time.Second, Lease: 10 * time.Second, MaxAttempts: 3, Repeatable: true,
				Demand: cwmodel.Resources{MilliProcessors: 1000, Slots: 1, Connections: 1},
			}, {
				Name: "bundles", Kind: cwmodel.KindBatch, Class: cwmodel.ClassBatch, Weight: 1, Ceiling: 1, QueueLimit: 100,
				Lease: 10 * time.Second, MaxAttempts: 2, Repeatable: true, Demand: cwmodel.Resources{MilliProcessors: 1000},
			}, {
				Name: "orders", Kind: cwmodel.KindRequest, Class: cwmodel.ClassUrgent, Weight: 1, Ceiling: 1, QueueLimit: 100,
				Deadline: 5 * time.Second, Lease: 10 * time.Second, MaxAttempts: 1, Demand: cwmodel.Resources{MilliProcessors: 1000, Slots: 1, Connections: 1},
			}, {
				Name: "all-at-once", Kind: cwmodel.KindGang, Class: cwmodel.ClassBatch, Weight: 1, Ceiling: 1, QueueLimit: 100,
				Lease: 10 * time.Second, MaxAttempts: 2, Repeatable: true, Demand: cwmodel.Resources{MilliProcessors: 1000},
			}, {
				Name: "portal", Kind: cwmodel.KindService, Class: cwmodel.ClassStandard, Weight: 1, Ceiling: 1, QueueLimit: 100,
				Lease: 10 * time.Second, MaxAttempts: 2, Repeatable: true, Demand: cwmodel.Resources{MilliProcessors: 1000},
			}},
			Teams: []cwpolicy.Team{{Name: "riders", Weight: 1}},
		},
	})
	is.NoErr(err)
	return d, stop
}

// TestRequestIsServedFromEndToEnd asserts the status and outcome of requests that are run, refused or invalid, and that a done request
// returns the output of its own payload.
func TestRequestIsServedFromEndToEnd(t *testing.T) {
	d := startDeployment(t)
	client, stop := cwhttp.NewClient(cwhttp.DefaultClientOptions())
	defer stop()
	cases := []struct {
		name    string
		body    string
		status  int
		outcome string
		reason  string
	}{
		{"done", `{"profile":"diagnostics","team":"riders","payload":{"scooter":"nc-1"}}`, 200, "done", ""},
		{"malformed JSON", `{"profile":`, 400, "", "invalid"},
		{"unknown key", `{"profile":"diagnostics","colour":"red"}`, 400, "", "invalid"},
		{"unknown profile", `{"profile":"nothing","team":"riders"}`, 404, "not-run", "unknown-profile"},
		{"unknown team", `{"profile":"diagnostics","team":"nobody"}`, 404, "not-run", "unknown-team"},
		{"deadline passed", `{"profile":"diagnostics","team":"riders","deadline":"-1s"}`, 408, "not-run", "deadline-passed"},
		{"too large for any worker", `{"profile":"diagnostics","team":"riders","demand":{"processors":17}}`, 422, "not-run", "too-large"},
		{"oversized body", `{"profile":"` + strings.Repeat("x", 2<<20) + `"}`, 413, "", "too-large"},
		{"task fails", `{"profile":"diagnostics","team":"riders","payload":{"simulate":{"end":"failed"}}}`, 502, "failed", "task-failed"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			status, body, err := client.Do(context.Background(), "POST", d.EntryHost.CallersAddr, cwfront.PathRequests, []byte(c.body))
			is.NoErr(err)
			is.Equal(status, c.status)
			var response cwcodec.Response
			if c.outcome == "" {
				var document cwhttp.ErrorDocument
				is.NoErr(json.Unmarshal(body, &document))
				is.Equal(string(document.Error), c.reason)
				return
			}
			is.NoErr(json.Unmarshal(body, &response))
			is.Equal(response.Outcome, c.outcome)
			is.Equal(response.Reason, c.reason)
			if c.outcome == "done" {
				var output cwrunner.Output
				is.NoErr(json.Unmarshal(response.Output, &output))
				is.Equal(output, cwrunner.NewOutput(cwmodel.TaskID(response.RequestID), []byte(`{"scooter":"nc-1"}`)))
			}
		})
	}
}
