// Package cwadmin is the HTTP listener for operators.
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

// Paths of the operators' protocol.
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

// Options set up the listener.
type Options struct {
	Listen    netip.AddrPort
	Limits    cwhttp.ServerOptions
	Timer     *cwtimer.Service
	Log       *logrus.Logger
	Metrics   http.Handler
	Operators []Operator // empty for a listener that asks for no token

	// Configuration returns the configuration in the table.
	Configuration func(ctx context.Context) (cwpolicy.Configuration, error)
	// Change commits one edit.
	Change func(ctx context.Context, edit cwconfigchange.Edit, terms cwconfigchange.Options) (cwconfigchange.Result, error)
	// History returns the records of the latest changes.
	History func(ctx context.Context) ([]cwconfigchange.AuditRecord, error)
	// Versions returns two kept versions.
	Versions func(ctx context.Context, from, to cwpolicy.Version) (before, after cwpolicy.Configuration, err error)
	// Totals returns the sums of one day; an empty day is today.
	Totals func(ctx context.Context, day string) (cwaccounting.Day, error)
	// Status returns what this host says of itself.
	Status func(ctx context.Context) (Status, error)
	// Drain begins a graceful shutdown.
	Drain func()
}

// admin answers operators.
type admin struct {
	opts    Options
	metrics fasthttp.RequestHandler
	routes  []route
}

// route is one operation; a path that ends in a slash is followed by a name.
type route struct {
	method string
	path   string
	role   Role
	handle func(c call)
}

// call is one request of an operator.
type call struct {
	*fasthttp.RequestCtx
	who  string
	name string // what follows the path of the route
}

// New starts the listener and returns its address and the function that ends it.
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
	return cwhttp.Serve(opts.Listen, a.handle, opts.Limits)
}

// handle authorises, carries out and logs one request.
func (a *admin) handle(ctx *fasthttp.RequestCtx) {
	began := a.opts.Timer.Now()
	id := rand.Text()
	ctx.Response.Header.Set("X-Request-Id", id)
	who := a.serve(ctx)
	a.opts.Log.WithFields(logrus.Fields{
		"request-id": id, "who": who, "method": string(ctx.Method()), "path": string(ctx.Path()),
		"status": ctx.Response.StatusCode(), "from": ctx.RemoteAddr().String(), "took": a.opts.Timer.Now().Sub(began),
	}).Log(levelOf(ctx), "operator-answered")
}

// levelOf returns the level at which an answer is logged; scrapes are too frequent for info.
func levelOf(ctx *fasthttp.RequestCtx) logrus.Level {
	switch {
	case ctx.Response.StatusCode() == fasthttp.StatusUnauthorized:
		return logrus.WarnLevel
	case string(ctx.Path()) == PathMetrics:
		return logrus.DebugLevel
	}
	return logrus.InfoLevel
}

func (a *admin) serve(ctx *fasthttp.RequestCtx) (who string) {
	who, role, err := a.authorise(ctx)
	if err != nil {
		cwhttp.WriteError(ctx, err)
		return who
	}
	r, name, err := a.find(string(ctx.Method()), string(ctx.Path()))
	if err == nil && !role.Covers(r.role) {
		err = cwfault.New(cwfault.Unauthorized, "%s has the role %s; this operation needs %s", who, role, r.role)
	}
	if err != nil {
		cwhttp.WriteError(ctx, err)
		return who
	}
	r.handle(call{RequestCtx: ctx, who: who, name: name})
	return who
}

func (a *admin) find(method, path string) (found route, name string, err error) {
	known := false
	for _, r := range a.routes {
		rest, ok := strings.CutPrefix(path, r.path)
		if !ok || strings.HasSuffix(r.path, "/") != (rest != "") {
			continue
		}
		if known = true; r.method == method {
			return r, rest, nil
		}
	}
	if known {
		return found, "", cwfault.New(cwfault.NotSupported, "%s has no method %s", path, method)
	}
	return found, "", cwfault.New(cwfault.NotFound, "no such operation %s %s", method, path)
}

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
