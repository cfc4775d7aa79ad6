// Package cwadmin is the HTTP listener for operators.
package cwadmin

import (
	"bytes"
	"context"
	"encoding/csv"
	"net/http"
	"net/netip"
	"strconv"
	"strings"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwhttp"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
	"currantward/internal/core/cwtally"
)

// Paths of the operators' protocol.
const (
	PathConfiguration = "/v1/configuration"
	PathProfiles      = "/v1/profiles/"
	PathTotals        = "/v1/totals"
	PathStatus        = "/v1/status"
	PathDrain         = "/v1/drain"
	PathMetrics       = "/metrics"
)

// Status is what one entry host says of itself.
type Status struct {
	Host          string            `json:"host"`
	DataCentre    string            `json:"data-centre"`
	Configuration uint64            `json:"configuration"`
	Leaving       bool              `json:"leaving"`
	Workers       int               `json:"workers"`
	Waiting       int               `json:"waiting"`
	Running       int               `json:"running"`
	Free          cwcodec.Resources `json:"free"`
	Peers         []PeerStatus      `json:"peers"`
}

// PeerStatus is what is known of one live peer.
type PeerStatus struct {
	Host          string `json:"host"`
	DataCentre    string `json:"data-centre"`
	Configuration uint64 `json:"configuration"`
	Workers       int    `json:"workers"`
	Leaving       bool   `json:"leaving,omitempty"`
}

// Options set up the listener.
type Options struct {
	Listen  netip.AddrPort
	Limits  cwhttp.ServerOptions
	Log     *logrus.Logger
	Metrics http.Handler

	// Configuration returns the configuration in the table.
	Configuration func(ctx context.Context) (cwpolicy.Configuration, error)
	// Replace commits a whole configuration on top of the version before it.
	Replace func(ctx context.Context, cfg cwpolicy.Configuration) error
	// PutProfile commits one profile.
	PutProfile func(ctx context.Context, p cwpolicy.Profile) (cwpolicy.Version, error)
	// DeleteProfile commits the removal of one profile.
	DeleteProfile func(ctx context.Context, name cwmodel.ProfileName) (cwpolicy.Version, error)
	// Totals returns the sums of one day; an empty day is today.
	Totals func(ctx context.Context, day string) ([]cwtally.Line, error)
	// Status returns what this host says of itself.
	Status func(ctx context.Context) (Status, error)
	// Drain begins a graceful shutdown.
	Drain func()
}

// admin answers operators.
type admin struct {
	opts    Options
	metrics fasthttp.RequestHandler
}

// New starts the listener and returns its address and the function that ends it.
func New(opts Options) (bound netip.AddrPort, stop func(), err error) {
	a := &admin{opts: opts, metrics: fasthttpadaptor.NewFastHTTPHandler(opts.Metrics)}
	return cwhttp.Serve(opts.Listen, a.handle, opts.Limits)
}

func (a *admin) handle(ctx *fasthttp.RequestCtx) {
	path, method := string(ctx.Path()), string(ctx.Method())
	name, isProfile := strings.CutPrefix(path, PathProfiles)
	switch {
	case path == PathConfiguration && method == fasthttp.MethodGet:
		a.getConfiguration(ctx)
	case path == PathConfiguration && method == fasthttp.MethodPut:
		a.putConfiguration(ctx)
	case isProfile && method == fasthttp.MethodGet:
		a.getProfile(ctx, name)
	case isProfile && method == fasthttp.MethodPut:
		a.putProfile(ctx, name)
	case isProfile && method == fasthttp.MethodDelete:
		version, err := a.opts.DeleteProfile(ctx, cwmodel.ProfileName(name))
		respond(ctx, VersionAnswer{uint64(version)}, err)
	case path == PathTotals && method == fasthttp.MethodGet:
		a.getTotals(ctx)
	case path == PathStatus && method == fasthttp.MethodGet:
		status, err := a.opts.Status(ctx)
		respond(ctx, status, err)
	case path == PathDrain && method == fasthttp.MethodPost:
		a.opts.Drain()
		respond(ctx, struct{}{}, nil)
	case path == PathMetrics:
		a.metrics(ctx)
	default:
		cwhttp.WriteError(ctx, cwfault.New(cwfault.NotFound, "no such operation %s %s", method, path))
	}
}

// VersionAnswer names the version of an accepted change.
type VersionAnswer struct {
	Version uint64 `json:"version"`
}

func respond(ctx *fasthttp.RequestCtx, document any, err error) {
	if err != nil {
		cwhttp.WriteError(ctx, err)
		return
	}
	cwhttp.WriteJSON(ctx, fasthttp.StatusOK, document)
}

func (a *admin) getConfiguration(ctx *fasthttp.RequestCtx) {
	cfg, err := a.opts.Configuration(ctx)
	respond(ctx, cwcodec.ConfigurationOf(cfg), err)
}

func (a *admin) putConfiguration(ctx *fasthttp.RequestCtx) {
	cfg, err := cwcodec.DecodeConfiguration(ctx.PostBody())
	if err == nil {
		err = a.opts.Replace(ctx, cfg)
	}
	respond(ctx, VersionAnswer{uint64(cfg.Version)}, err)
}

func (a *admin) getProfile(ctx *fasthttp.RequestCtx, name string) {
	cfg, err := a.opts.Configuration(ctx)
	if err != nil {
		cwhttp.WriteError(ctx, err)
		return
	}
	profile, ok := cfg.Profile(cwmodel.ProfileName(name))
	if !ok {
		err = cwfault.New(cwfault.NotFound, "no profile %q", name)
	}
	respond(ctx, cwcodec.ProfileOf(profile), err)
}

func (a *admin) putProfile(ctx *fasthttp.RequestCtx, name string) {
	profile, err := cwcodec.DecodeProfile(ctx.PostBody())
	if err == nil && string(profile.Name) != name {
		err = cwfault.New(cwfault.Invalid, "name: %q is not the %q of the path", profile.Name, name)
	}
	if err != nil {
		cwhttp.WriteError(ctx, err)
		return
	}
	version, err := a.opts.PutProfile(ctx, profile)
	respond(ctx, VersionAnswer{uint64(version)}, err)
}

func (a *admin) getTotals(ctx *fasthttp.RequestCtx) {
	lines, err := a.opts.Totals(ctx, string(ctx.QueryArgs().Peek("day")))
	if err != nil {
		cwhttp.WriteError(ctx, err)
		return
	}
	if string(ctx.QueryArgs().Peek("format")) != "csv" {
		cwhttp.WriteJSON(ctx, fasthttp.StatusOK, cwcodec.TotalsOf(lines))
		return
	}
	ctx.SetContentType("text/csv; charset=utf-8")
	ctx.SetBody(TotalsCSV(lines))
}

// TotalsCSV returns lines as CSV with a header, as RFC 4180 has it.
func TotalsCSV(lines []cwtally.Line) []byte {
	var buf bytes.Buffer
	w := csv.NewWriter(&buf)
	w.UseCRLF = true
	_ = w.Write([]string{"day", "profile", "team", "asked", "done", "failed", "not-run", "cancelled", "unknown", "mean-wait-seconds", "mean-run-seconds"})
	for _, l := range lines {
		o := l.Sums.Outcomes
		row := []string{l.Key.Day, string(l.Key.Profile), string(l.Key.Team)}
		for _, n := range []int64{l.Sums.Asked, o.Done, o.Failed, o.NotRun, o.Cancelled, o.Unknown} {
			row = append(row, strconv.FormatInt(n, 10))
		}
		asked := float64(max(l.Sums.Asked, 1))
		row = append(row, strconv.FormatFloat(l.Sums.Waited.Seconds()/asked, 'f', 4, 64), strconv.FormatFloat(l.Sums.Ran.Seconds()/asked, 'f', 4, 64))
		_ = w.Write(row)
	}
	w.Flush()
	return buf.Bytes()
}
