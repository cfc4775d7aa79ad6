// Package cwadmin serves the operators' HTTP API.
package cwadmin

import (
	"context"
	"crypto/rand"
	"net/http"
	"net/netip"
	"strings"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwhttp"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwaccounting"
	"currantward/internal/core/cwconfigchange"
	"currantward/internal/core/cwpolicy"
)

// Paths of the operators' API.
const (
	PathConfiguration = "/v1/configuration"
	PathHistory       = "/v1/configuration/history"
	PathDiff          = "/v1/configuration/diff"
	PathProfiles      = "/v1/profiles/"
	PathTeams         = "/v1/teams/"
	PathTotals        = "/v1/totals"
	PathStatus        = "/v1/status"
	PathDrain         = "/v1/drain"
	PathMetrics       = "/metrics"
)

// Options configure the listener and the operations behind it.
type Options struct {
	Listen        netip.AddrPort
	ServerOptions cwhttp.ServerOptions
	Timer         *cwtimer.Service
	Log           *logrus.Logger
	Metrics       http.Handler
	Operators     []Operator // empty: requests need no token and may use every operation

	// Configuration returns the configuration stored in the table.
	Configuration func(ctx context.Context) (cwpolicy.Configuration, error)
	// Change commits one edit of the configuration.
	Change func(ctx context.Context, edit cwconfigchange.Edit, options cwconfigchange.Options) (cwconfigchange.Result, error)
	// History returns the audit records of the latest changes.
	History func(ctx context.Context) ([]cwconfigchange.AuditRecord, error)
	// Versions returns two retained versions of the configuration.
	Versions func(ctx context.Context, from, to cwpolicy.Version) (before, after cwpolicy.Configuration, err error)
	// Totals returns the accounting totals of one day, or of today if day is empty.
	Totals func(ctx context.Context, day string) (cwaccounting.Day, error)
	// Status returns the status of this host and of its peers as far as it knows them.
	Status func(ctx context.Context) (Status, error)
	// Drain starts a graceful shutdown of this host.
	Drain func()
}

// admin handles the requests of operators: it authorises each one and calls the handler of its route.
type admin struct {
	opts    Options
	metrics fasthttp.RequestHandler
	routes  []route
}

// route is one operation. If its path ends in a slash, the rest of the request's path is the argument.
type route struct {
	method string
	path   string
	role   Role // role that the operation requires
	handle func(c call)
}

// call is one request of an operator.
type call struct {
	*fasthttp.RequestCtx
	operator string // name of the operator
	arg      string // argument in the path; empty if the route has none
}

// New starts the listener and returns its bound address and a function that stops it.
func New(opts Options) (bound netip.AddrPort, stop func(), err error) {
	a := &admin{opts: opts, metrics: fasthttpadaptor.NewFastHTTPHandler(opts.Metrics)}
	a.routes = []route{
		{fasthttp.MethodGet, PathConfiguration, RoleRead, a.getConfiguration},
		{fasthttp.MethodPut, PathConfiguration, RoleWrite, a.putConfiguration},
		{fasthttp.MethodGet, PathHistory, RoleRead, a.getHistory},
		{fasthttp.MethodGet, PathDiff, RoleRead, a.getDiff},
		{fasthttp.MethodGet, PathProfiles, RoleRead, a.getProfile},
		{fasthttp.MethodPut, PathProfiles, RoleWrite, a.putProfile},
		{fasthttp.MethodDelete, PathProfiles, RoleWrite, a.deleteProfile},
		{fasthttp.MethodGet, PathTeams, RoleRead, a.getTeam},
		{fasthttp.MethodPut, PathTeams, RoleWrite, a.putTeam},
		{fasthttp.MethodDelete, PathTeams, RoleWrite, a.deleteTeam},
		{fasthttp.MethodGet, PathTotals, RoleRead, a.getTotals},
		{fasthttp.MethodGet, PathStatus, RoleRead, a.getStatus},
		{fasthttp.MethodPost, PathDrain, RoleWrite, a.drain},
		{fasthttp.MethodGet, PathMetrics, RoleRead, func(c call) { a.metrics(c.RequestCtx) }},
	}
	return cwhttp.Serve(opts.Listen, a.handle, opts.ServerOptions)
}

// handle authorises, executes and logs one request.
func (a *admin) handle(ctx *fasthttp.RequestCtx) {
	startedAt := a.opts.Timer.Now()
	id := rand.Text()
	ctx.Response.Header.Set("X-Request-Id", id)
	operator := a.dispatch(ctx)
	a.opts.Log.WithFields(logrus.Fields{
		"request-id": id, "who": operator, "method": string(ctx.Method()), "path": string(ctx.Path()),
		"status": ctx.Response.StatusCode(), "from": ctx.RemoteAddr().String(), "took": a.opts.Timer.Now().Sub(startedAt),
	}).Log(logLevel(ctx), "operator-answered")
}

// logLevel returns the log level for a request that was answered. Metric scrapes have debug level because they are frequent.
func logLevel(ctx *fasthttp.RequestCtx) logrus.Level {
	switch {
	case ctx.Response.StatusCode() == fasthttp.StatusUnauthorized:
		return logrus.WarnLevel
	case string(ctx.Path()) == PathMetrics:
		return logrus.DebugLevel
	}
	return logrus.InfoLevel
}

// dispatch authorises a request and calls the handler of its route. It returns the operator's name, or "" without a valid token.
func (a *admin) dispatch(ctx *fasthttp.RequestCtx) (operator string) {
	operator, role, err := a.authenticate(ctx)
	if err != nil {
		cwhttp.WriteError(ctx, err)
		return operator
	}
	r, arg, err := a.findRoute(string(ctx.Method()), string(ctx.Path()))
	if err == nil && !role.Covers(r.role) {
		err = cwfault.New(cwfault.Unauthorized, "%s has the role %s; this operation needs %s", operator, role, r.role)
	}
	if err != nil {
		cwhttp.WriteError(ctx, err)
		return operator
	}
	r.handle(call{RequestCtx: ctx, operator: operator, arg: arg})
	return operator
}

// findRoute returns the route of a request and the argument in its path.
func (a *admin) findRoute(method, path string) (found route, arg string, err error) {
	pathKnown := false
	for _, r := range a.routes {
		rest, ok := strings.CutPrefix(path, r.path)
		if !ok || strings.HasSuffix(r.path, "/") != (rest != "") {
			continue
		}
		if pathKnown = true; r.method == method {
			return r, rest, nil
		}
	}
	if pathKnown {
		return found, "", cwfault.New(cwfault.NotSupported, "%s has no method %s", path, method)
	}
	return found, "", cwfault.New(cwfault.NotFound, "no such operation %s %s", method, path)
}

// respond writes document as the response, or err if it is not nil.
func respond(c call, document any, err error) {
	if err != nil {
		cwhttp.WriteError(c.RequestCtx, err)
		return
	}
	cwhttp.WriteJSON(c.RequestCtx, fasthttp.StatusOK, document)
}

func (a *admin) getStatus(c call) {
	status, err := a.opts.Status(c)
	respond(c, status, err)
}

func (a *admin) drain(c call) {
	a.opts.Drain()
	respond(c, struct{}{}, nil)
}
