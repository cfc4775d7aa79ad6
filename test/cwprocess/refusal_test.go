package cwprocess_test

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/adapter/cwfront"
	"currantward/internal/base/cwhttp"
	"currantward/internal/base/cwtimer"
	"currantward/internal/proof/cwprocess"
)

// TestRejectedRequestsDoNotRun guards against a host that accepts an invalid request and starts it on a worker, and against a
// rejection without the documented status and error.
func TestRejectedRequestsDoNotRun(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	cluster := newTestCluster(ctx, t, 1)
	client, stop := cwhttp.NewClient(cwhttp.DefaultClientOptions())
	t.Cleanup(stop)
	cases := []struct {
		name   string
		body   string
		status int
		want   string // in the response
	}{
		{"malformed JSON", `{"profile":`, fasthttp.StatusBadRequest, `"error":"invalid"`},
		{"unknown key", `{"profile":"check","team":"intake","colour":"red"}`, fasthttp.StatusBadRequest, `"error":"invalid"`},
		{"two documents", `{"profile":"check","team":"intake"}{}`, fasthttp.StatusBadRequest, `"error":"invalid"`},
		{"no profile", `{"team":"intake"}`, fasthttp.StatusBadRequest, `"error":"invalid"`},
		{"unknown profile", `{"profile":"none","team":"intake"}`, fasthttp.StatusNotFound, `"reason":"unknown-profile"`},
		{"unknown team", `{"profile":"check","team":"none"}`, fasthttp.StatusNotFound, `"reason":"unknown-team"`},
		{"oversized body", `{"profile":"check","team":"intake","payload":"` + strings.Repeat("x", 2<<20) + `"}`, fasthttp.StatusRequestEntityTooLarge, `"error":"too-large"`},
		{"passed deadline", `{"profile":"check","team":"intake","deadline":"-1s"}`, fasthttp.StatusRequestTimeout, `"reason":"deadline-passed"`},
		{"task too large", `{"profile":"check","team":"intake","demand":{"processors":1000}}`, fasthttp.StatusUnprocessableEntity, `"reason":"too-large"`},
		{"negative demand", `{"profile":"check","team":"intake","demand":{"processors":-1}}`, fasthttp.StatusBadRequest, `"error":"invalid"`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			status, response, err := client.Do(ctx, fasthttp.MethodPost, cluster.busiestHost(ctx).CallerAddr, cwfront.PathRequests, []byte(c.body))
			is.NoErr(err)
			is.Equal(status, c.status)
			is.True(strings.Contains(string(response), c.want)) // the documented error or reason
		})
	}
	is.Equal(len(cluster.AttemptRecords()), 0) // no request was started
}

// TestExampleRequestsAllSucceed guards against an example whose requests are rejected, fail or run more than once, although one of the
// four entry hosts in its two data centres has been drained.
func TestExampleRequestsAllSucceed(t *testing.T) {
	t.Parallel()
	for _, example := range []struct {
		folder   string
		capacity cwcodec.Resources
	}{
		{"nilecraft", cwcodec.Resources{Processors: 64, MemoryMiB: 256 << 10, Slots: 8, Connections: 60}},
		{"kameelboom", cwcodec.Resources{Processors: 16, MemoryMiB: 64 << 10, Slots: 8, Connections: 60}},
	} {
		t.Run(example.folder, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			folder := filepath.Join("..", "..", "examples", example.folder)
			data, err := os.ReadFile(filepath.Join(folder, "configuration.json"))
			is.NoErr(err)
			cfg, err := cwcodec.DecodeConfiguration(data)
			is.NoErr(err)
			timer, stopTimer := cwtimer.New()
			t.Cleanup(stopTimer)
			cluster, stop, err := cwprocess.StartCluster(ctx, cwprocess.Options{
				Programs: programs, Folder: t.TempDir(), Timer: timer, DataCentreCount: 2, EntryHostsPerDataCentre: 2, WorkersPerDataCentre: 8,
				Capacity: example.capacity, Configuration: cfg, ClaimTTL: 2 * time.Second,
			})
			is.NoErr(err)
			t.Cleanup(stop)
			is.NoErr(cluster.Drain(ctx, cluster.Hosts[3])) // three hosts remain
			is.NoErr(cluster.AwaitReady(ctx))
			requests, err := os.ReadFile(filepath.Join(folder, "requests.jsonl"))
			is.NoErr(err)
			exchanges := cwprocess.SendRequestFile(cluster, cluster.Hosts[:3], requests)
			report := cwprocess.Check(cluster, exchanges, nil)
			t.Logf("%d requests, %v, %d attempts", report.Exchanges, report.Outcomes, report.Attempts)
			is.NoErr(report.Err())
			is.Equal(report.Outcomes["done"], bytes.Count(requests, []byte("\n")))
			is.Equal(report.Attempts, report.Exchanges)
		})
	}
}

// TestReadmeCommands guards against a README whose commands fail or print something else. They go out of date when the command line
// changes.
func TestReadmeCommands(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	cluster := newTestCluster(ctx, t, 1)
	callers, operators := cluster.Hosts[0].CallerAddr.String(), cluster.Hosts[0].OperatorAddr.String()
	example := filepath.Join("..", "..", "examples", "nilecraft")
	cases := []struct {
		name string
		args []string
		want string // in the output
	}{
		{"check-settings", []string{"check-settings", filepath.Join(example, "entry-1.json")}, "settings of cairo-1-entry-1 are valid"},
		{"import", []string{"import", filepath.Join(example, "configuration.json"), "--operators", operators}, `{"version":2}`},
		{"submit", []string{"submit", filepath.Join(example, "requests.jsonl"), "--callers", callers, "--parallel", "8"}, `"outcome":"done"`},
		{"totals", []string{"totals", "--operators", operators}, "day,profile,team,asked,done,failed,not-run,cancelled,unknown"},
		{"status", []string{"status", "--operators", operators}, `"host":"khomas-1-entry-1"`},
		{"drain", []string{"drain", "--operators", operators}, "{}"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			command := exec.CommandContext(ctx, programs.Currantward, c.args...)
			out, err := command.Output()
			is.NoErr(err)
			is.True(strings.Contains(string(out), c.want)) // the command prints the documented output
			if c.name == "import" {
				is.NoErr(cluster.AwaitConfiguration(ctx, 2))
			}
		})
	}
	code, err := cluster.Hosts[0].Wait(ctx)
	is.NoErr(err)
	is.Equal(code, 0)
	readme, err := os.ReadFile(filepath.Join("..", "..", "README.md"))
	is.NoErr(err)
	for _, c := range cases {
		is.True(strings.Contains(string(readme), "bin/currantward "+c.name)) // the README contains the command
	}
}
