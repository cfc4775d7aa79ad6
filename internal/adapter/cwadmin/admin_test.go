package cwadmin_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/csv"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"currantward/internal/adapter/cwadmin"
	"currantward/internal/adapter/cwcodec"
	"currantward/internal/adapter/cwmetric"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwhttp"
	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwaccounting"
	"currantward/internal/core/cwconfigchange"
	"currantward/internal/core/cwpolicy"
)

const (
	writerToken = "token-of-amal-5c1d"
	readerToken = "token-of-sem-9b77"
)

// logBuffer collects the log output of a listener.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// listen starts a listener whose operations are stubs. last points to the options of the latest change.
func listen(t *testing.T, operators []cwadmin.Operator) (addr netip.AddrPort, log *logBuffer, last *cwconfigchange.Options) {
	t.Helper()
	return listenWithin(t, operators, 300*time.Millisecond)
}

// listenWithin starts a listener like listen, with the given timeout for reading a request.
func listenWithin(t *testing.T, operators []cwadmin.Operator, readTimeout time.Duration) (addr netip.AddrPort, log *logBuffer, last *cwconfigchange.Options) {
	t.Helper()
	is := is.New(t)
	log, last = &logBuffer{}, &cwconfigchange.Options{}
	timer, stopTimer := cwtimer.New()
	t.Cleanup(stopTimer)
	serverOptions := cwhttp.ServerOptions{
		Name: "operators", MaxBodyBytes: 2048, MaxHeaderBytes: 2048, MaxConnections: 3, ReadTimeout: readTimeout,
		IdleTimeout: time.Second, ShutdownTimeout: time.Second, Log: cwlog.New(log, logrus.DebugLevel),
	}
	addr, stop, err := cwadmin.New(cwadmin.Options{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), ServerOptions: serverOptions, Timer: timer, Log: serverOptions.Log, Metrics: cwmetric.New(10).Handler(), Operators: operators,
		Configuration: func(context.Context) (cwpolicy.Configuration, error) { return cwpolicy.Configuration{Version: 4}, nil },
		Change: func(_ context.Context, _ cwconfigchange.Edit, options cwconfigchange.Options) (cwconfigchange.Result, error) {
			*last = options
			return cwconfigchange.Result{Version: 5}, nil
		},
		History: func(context.Context) ([]cwconfigchange.AuditRecord, error) { return nil, nil },
		Versions: func(context.Context, cwpolicy.Version, cwpolicy.Version) (a, b cwpolicy.Configuration, err error) {
			return a, b, nil
		},
		Totals: func(_ context.Context, day string) (cwaccounting.Day, error) { return cwaccounting.Day{Day: day}, nil },
		Status: func(context.Context) (cwadmin.Status, error) { return cwadmin.Status{}, nil },
		Drain:  func() {},
	})
	is.NoErr(err)
	t.Cleanup(stop)
	return addr, log, last
}

func operators() []cwadmin.Operator {
	return []cwadmin.Operator{
		{Name: "amal", Role: cwadmin.RoleWrite, TokenSHA256: sha256.Sum256([]byte(writerToken))},
		{Name: "sem", Role: cwadmin.RoleRead, TokenSHA256: sha256.Sum256([]byte(readerToken))},
	}
}

func call(t *testing.T, addr netip.AddrPort, token, method, path, body string) (status int, content string) {
	t.Helper()
	is := is.New(t)
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+addr.String()+path, strings.NewReader(body))
	is.NoErr(err)
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(request)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	return resp.StatusCode, string(data)
}

// TestAuthorisationAndValidation checks the status and the message for each fault of a request, and guards against an operation that a
// role does not cover and against a token in the log.
func TestAuthorisationAndValidation(t *testing.T) {
	addr, log, last := listen(t, operators())
	const team = `{"name":"riders","quota":{}}`
	cases := []struct {
		name   string
		token  string
		method string
		path   string
		body   string
		status int
		want   string
	}{
		{"no token", "", "GET", "/v1/status", "", 401, "a bearer token is needed"},
		{"unknown token", "guess", "GET", "/v1/status", "", 401, "the token is not known"},
		{"reader reads", readerToken, "GET", "/v1/status", "", 200, "configuration"},
		{"reader reads metrics", readerToken, "GET", "/metrics", "", 200, "process_cpu"},
		{"no token for metrics", "", "GET", "/metrics", "", 401, "token"},
		{"reader may not change", readerToken, "PUT", "/v1/teams/riders", team, 401, "sem has the role read; this operation needs write"},
		{"reader may not drain", readerToken, "POST", "/v1/drain", "", 401, "needs write"},
		{"writer changes", writerToken, "PUT", "/v1/teams/riders?expect-version=4&dry-run=true&change-id=c1", team, 200, `"version":5`},
		{"writer reads", writerToken, "GET", "/v1/configuration", "", 200, `"version":4`},
		{"every fault of the query", writerToken, "PUT", "/v1/teams/riders?expect-version=x&dry-run=maybe", team, 400, "expect-version: \\\"x\\\" is not a version; dry-run"},
		{"name differs from the path", writerToken, "PUT", "/v1/teams/clerks", team, 400, "is not the"},
		{"faulty team", writerToken, "PUT", "/v1/teams/x", `{"name":"X","weight":-1,"quota":{}}`, 400, "team.name"},
		{"no such operation", writerToken, "GET", "/v1/nothing", "", 404, "no such operation"},
		{"no such method", writerToken, "DELETE", "/v1/totals", "", 405, "has no method DELETE"},
		{"no such format", writerToken, "GET", "/v1/totals?format=xls", "", 400, "neither csv nor json"},
		{"body above the limit", writerToken, "PUT", "/v1/configuration", strings.Repeat(" ", 3000), 413, "above the limit of 2048"},
		{"header above the limit", strings.Repeat("x", 4000), "GET", "/v1/status", "", 413, "cannot read the request"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			status, body := call(t, addr, c.token, c.method, c.path, c.body)
			is.Equal(status, c.status)
			is.True(strings.Contains(body, c.want)) // the response names the fault
		})
	}
	is := is.New(t)
	expected := cwpolicy.Version(4)
	is.Equal(*last, cwconfigchange.Options{Change: "c1", Actor: "amal", Expected: &expected, DryRun: true})
	is.True(strings.Contains(log.String(), "who=amal"))
	for _, secret := range []string{writerToken, readerToken, "guess", "Bearer"} {
		is.True(!strings.Contains(log.String(), secret)) // no token is logged
	}
}

// TestListenerWithoutTokensActsAsLocalOperator checks that a change through a listener without tokens is recorded under the name local.
func TestListenerWithoutTokensActsAsLocalOperator(t *testing.T) {
	is := is.New(t)
	addr, _, last := listen(t, nil)
	status, _ := call(t, addr, "", "DELETE", "/v1/profiles/diagnostics", "")
	is.Equal(status, 200)
	is.Equal(last.Actor, "local")
}

// TestSlowConnectionsAreClosed guards against a client that never completes its request and so occupies a connection for ever.
func TestSlowConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	addr, _, _ := listen(t, operators())
	slow, err := net.Dial("tcp", addr.String())
	is.NoErr(err)
	defer func() { _ = slow.Close() }()
	_, err = slow.Write([]byte("GET /v1/status HTTP/1.1\r\nHost: x\r\n"))
	is.NoErr(err)
	response, err := io.ReadAll(slow) // returns when the listener closes the connection
	is.NoErr(err)
	is.True(strings.Contains(string(response), "cannot read the request"))
}

// TestSurplusConnectionsAreClosed asserts that a connection above MaxConnections is answered with 503. The read timeout exceeds
// the duration of the test: with the short one of TestSlowConnectionsAreClosed, a loaded machine closed the open connections
// before the surplus one arrived.
func TestSurplusConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	addr, _, _ := listenWithin(t, operators(), time.Minute)
	for range 3 {
		held, err := net.Dial("tcp", addr.String())
		is.NoErr(err)
		defer func() { _ = held.Close() }()
		_, err = held.Write([]byte("GET /v1/status HTTP/1.1\r\nHost: x\r\n"))
		is.NoErr(err)
	}
	surplus, err := net.Dial("tcp", addr.String())
	is.NoErr(err)
	defer func() { _ = surplus.Close() }()
	response, err := io.ReadAll(surplus)
	is.NoErr(err)
	is.True(strings.Contains(string(response), "503")) // Service Unavailable
}

// TestTotalsAsCSV checks quoting and line ends, and guards against a name that a spreadsheet would evaluate as a formula.
func TestTotalsAsCSV(t *testing.T) {
	is := is.New(t)
	document := cwcodec.Totals{
		Incomplete: []cwcodec.IncompleteHost{{Host: "entry-2", Writer: "entry-2-1"}, {Host: "entry-1"}, {Host: "entry-2", Writer: "entry-2-2"}},
		Lines: []cwcodec.TotalsLine{
			{Counts: cwcodec.Counts{Day: "2026-12-04", Profile: "=HYPERLINK(\"x\")", Team: "مرضى, \"القاهرة\"", Requests: 3, Done: 2, NotRun: 1, ProcessorHours: 0.5}},
		},
	}
	data := document.CSV()
	is.True(bytes.HasSuffix(data, []byte("\r\n")))
	rows, err := csv.NewReader(bytes.NewReader(data)).ReadAll()
	is.NoErr(err)
	is.Equal(len(rows), 2)
	is.Equal(rows[1][:9], []string{"2026-12-04", "'=HYPERLINK(\"x\")", "مرضى, \"القاهرة\"", "3", "2", "0", "1", "0", "0"})
	is.Equal(rows[1][len(rows[1])-1], "entry-1 entry-2")
}

// TestRolloutIgnoresStaleReports guards against a rollout that counts a host by its last report although the host is unreachable, or that
// is complete before any host list was read.
func TestRolloutIgnoresStaleReports(t *testing.T) {
	status := cwadmin.Status{Host: "a", ConfigurationVersion: 7, Peers: []cwadmin.PeerStatus{
		{Host: "b", Reachable: true, ConfigurationVersion: 7},
		{Host: "c", Reachable: true, ConfigurationVersion: 6},
		{Host: "d", Reachable: false, ConfigurationVersion: 7}, // stale report
		{Host: "e", Reachable: false, Draining: true},
	}}
	cases := []struct {
		version uint64
		want    string
	}{
		{6, `{"version":6,"everywhere":false,"hosts":["a","b","c"],"behind":[],"unreachable":["d"]}`},
		{7, `{"version":7,"everywhere":false,"hosts":["a","b"],"behind":["c"],"unreachable":["d"]}`},
	}
	for _, c := range cases {
		is := is.New(t)
		got, err := json.Marshal(status.Rollout(c.version))
		is.NoErr(err)
		is.Equal(string(got), c.want)
	}
	is := is.New(t)
	status.Peers = status.Peers[:1]
	is.True(!status.Rollout(7).Everywhere) // no host list was read yet
	age := cwcodec.Duration(time.Second)
	status.HostListAge = &age
	is.True(status.Rollout(7).Everywhere)
	_, err := cwadmin.ParseRole("root")
	is.Equal(cwfault.CodeOf(err), cwfault.Invalid)
}
