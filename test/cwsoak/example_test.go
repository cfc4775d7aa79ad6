package cwsoak_test

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"currantward/internal/base/cwhttp"
	"currantward/internal/base/cwtimer"
	"currantward/internal/proof/cwprocess"
)

// TestPlatformExample guards against a README whose commands for a deployment on the users' platform fail, and against an example that
// does not run a job. They go out of date when the command line or the settings change.
func TestPlatformExample(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	timer, stopTimer := cwtimer.New()
	defer stopTimer()
	programs, err := cwprocess.Build(t.TempDir())
	is.NoErr(err)
	example := filepath.Join("..", "..", "examples", "platform")
	file := func(name string) string { return filepath.Join(example, name) }
	cases := []struct {
		name    string
		program string
		args    []string
		await   string // event that the program logs once it has started
	}{
		{"service", programs.StandIn, []string{"service", "--configuration", file("operator.json")}, "service-started"},
		{"runners", programs.StandIn, []string{"runners", "--data-centre", "cairo-1", "--service", "repair-portal", "--count", "8"}, "runners-started"},
		{"front-1", programs.Currantward, []string{"node", file("front-1.conf")}, "starting"},
		{"front-2", programs.Currantward, []string{"node", file("front-2.conf")}, "starting"},
		{"front-3", programs.Currantward, []string{"node", file("front-3.conf")}, "starting"},
	}
	readme, err := os.ReadFile(filepath.Join("..", "..", "README.md"))
	is.NoErr(err)
	for _, tc := range cases {
		p, err := cwprocess.StartProcess(tc.name, tc.program, tc.args...)
		is.NoErr(err)
		defer p.Kill()
		_, err = p.AwaitEvent(ctx, tc.await)
		is.NoErr(err)
		command := strings.ReplaceAll(strings.Join(tc.args, " "), example, "examples/platform")
		is.True(strings.Contains(string(readme), command)) // the README contains the command
	}
	client, stopClient := cwhttp.NewClient(cwhttp.DefaultClientOptions())
	defer stopClient()
	job, err := os.ReadFile(file("job.json"))
	is.NoErr(err)
	call := func(method, host string, body []byte) string {
		addr := netip.MustParseAddrPort(host + ":8161")
		status, response, err := client.RoundTrip(method, addr, "/motor-diag/5c0e7a21d94b36f8", body, time.Second, cwhttp.Header{Name: fasthttp.HeaderHost, Value: "jobs.example"})
		return fmt.Sprint(status, " ", strings.TrimSpace(string(response)), " ", err)
	}
	awaitResponse := func(method, host string, body []byte, want string) {
		t.Helper()
		response := ""
		for !strings.HasPrefix(response, want) {
			is.True(timer.Sleep(ctx.Done(), 50*time.Millisecond)) // the wanted response arrives in time
			response = call(method, host, body)
		}
	}
	awaitResponse(fasthttp.MethodPost, "127.0.1.1", job, "200")
	awaitResponse(fasthttp.MethodGet, "127.0.1.2", nil, `200 {"state":"completed"}`)
}
