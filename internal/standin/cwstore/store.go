// Package cwstore is the stand-in for the platform: a table, an object store and a host list served over HTTP.
package cwstore

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/adapter/cwmemory"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwhttp"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwmodel"
)

// Paths on which tests control the stand-in. The real platform does not have them.
const (
	PathRegister = "/control/hosts"
	PathFaults   = "/control/faults"
)

// Faults are the faults that the stand-in injects.
type Faults struct {
	Down             bool             `json:"down,omitempty"`        // every call fails
	Delay            cwcodec.Duration `json:"delay,omitempty"`       // added to every call
	LostResponses    int              `json:"lose-answer,omitempty"` // number of further commits that take effect but return an error
	ResponseLossRate float64          `json:"lose-rate,omitempty"`   // fraction of the commits that take effect but return an error
	Seed             uint64           `json:"seed,omitempty"`        // of the random choices at ResponseLossRate
	DownFor          cwcodec.Duration `json:"down-for,omitempty"`    // length of an outage that starts at once
	HostLag          cwcodec.Duration `json:"host-lag,omitempty"`    // delay until a registration appears in the host list
}

// Options configure a stand-in platform.
type Options struct {
	Listen netip.AddrPort
	Timer  *cwtimer.Service
	Log    *logrus.Logger
}

// Platform is a stand-in platform.
type Platform struct {
	table     *cwmemory.Table
	objects   *cwmemory.ObjectStore
	timer     *cwtimer.Service
	mu        sync.Mutex
	faults    Faults
	random    *rand.Rand // nil until SetFaults is called
	downUntil time.Time  // end of the timed outage
	hosts     map[cwmodel.HostID]cwmodel.Host
	version   uint64 // of the host list
}

// New starts a stand-in platform and returns its bound address and a function that stops it.
func New(opts Options) (p *Platform, bound netip.AddrPort, stop func(), err error) {
	p = &Platform{
		table: cwmemory.NewTable(), objects: cwmemory.NewObjectStore(), timer: opts.Timer,
		hosts: map[cwmodel.HostID]cwmodel.Host{},
	}
	serverOptions := cwhttp.DefaultServerOptions("platform-stand-in", opts.Log)
	serverOptions.MaxBodyBytes = 16 << 20
	bound, stop, err = cwhttp.Serve(opts.Listen, p.handle, serverOptions)
	return p, bound, stop, err
}

// Register adds a host to the host list, or replaces it. The change takes effect after the HostLag of the faults.
func (p *Platform) Register(host cwmodel.Host) {
	p.mu.Lock()
	lag := time.Duration(p.faults.HostLag)
	p.mu.Unlock()
	apply := func(time.Time) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.hosts[host.ID] = host
		p.version++
	}
	if lag <= 0 {
		apply(time.Time{})
		return
	}
	p.timer.After(lag, apply)
}

// SetFaults replaces the faults, restarts the random choices from the seed, and starts an outage of length DownFor.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	p.random = rand.New(rand.NewPCG(faults.Seed, faults.Seed))
	p.downUntil = p.timer.Now().Add(time.Duration(faults.DownFor))
}

func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case PathRegister:
		p.handleRegister(ctx)
		return
	case PathFaults:
		p.handleFaults(ctx)
		return
	}
	faults := p.currentFaults()
	if faults.Down {
		cwhttp.WriteError(ctx, cwfault.New(cwfault.Unavailable, "the platform is down"))
		return
	}
	if faults.Delay > 0 {
		p.timer.Sleep(ctx.Done(), time.Duration(faults.Delay))
	}
	switch {
	case path == cwcodec.PathTableRead:
		p.handleRead(ctx)
	case path == cwcodec.PathTableScan:
		p.handleScan(ctx)
	case path == cwcodec.PathTableCommit:
		p.handleCommit(ctx)
	case path == cwcodec.PathHosts:
		p.handleHosts(ctx)
	case strings.HasPrefix(path, cwcodec.PathObject):
		p.handleObject(ctx, strings.TrimPrefix(path, cwcodec.PathObject))
	default:
		cwhttp.WriteError(ctx, cwfault.New(cwfault.NotFound, "no such path %s", path))
	}
}

// currentFaults returns the faults, with Down also set during a timed outage.
func (p *Platform) currentFaults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	faults := p.faults
	faults.Down = faults.Down || p.timer.Now().Before(p.downUntil)
	return faults
}

func (p *Platform) handleRegister(ctx *fasthttp.RequestCtx) {
	var document cwcodec.Host
	if err := cwhttp.DecodeStrict(ctx.PostBody(), &document); err != nil {
		cwhttp.WriteError(ctx, err)
		return
	}
	host, err := document.ToModel()
	if err != nil {
		cwhttp.WriteError(ctx, err)
		return
	}
	p.Register(host)
	cwhttp.WriteJSON(ctx, fasthttp.StatusOK, document)
}

func (p *Platform) handleFaults(ctx *fasthttp.RequestCtx) {
	var faults Faults
	if err := cwhttp.DecodeStrict(ctx.PostBody(), &faults); err != nil {
		cwhttp.WriteError(ctx, err)
		return
	}
	p.SetFaults(faults)
	cwhttp.WriteJSON(ctx, fasthttp.StatusOK, faults)
}

func (p *Platform) handleRead(ctx *fasthttp.RequestCtx) {
	var in cwcodec.ReadRequest
	if err := cwhttp.DecodeStrict(ctx.PostBody(), &in); err != nil {
		cwhttp.WriteError(ctx, err)
		return
	}
	cwhttp.WriteJSON(ctx, fasthttp.StatusOK, cwcodec.RowOf(p.table.Read(in.Key)))
}

func (p *Platform) handleScan(ctx *fasthttp.RequestCtx) {
	var in cwcodec.ScanRequest
	if err := cwhttp.DecodeStrict(ctx.PostBody(), &in); err != nil {
		cwhttp.WriteError(ctx, err)
		return
	}
	response := cwcodec.ScanResponse{Rows: []cwcodec.Row{}}
	for _, row := range p.table.Scan(in.Prefix, in.After, in.Limit) {
		response.Rows = append(response.Rows, cwcodec.RowOf(row))
	}
	cwhttp.WriteJSON(ctx, fasthttp.StatusOK, response)
}

func (p *Platform) handleCommit(ctx *fasthttp.RequestCtx) {
	var in cwcodec.CommitRequest
	if err := cwhttp.DecodeStrict(ctx.PostBody(), &in); err != nil {
		cwhttp.WriteError(ctx, err)
		return
	}
	if err := p.table.Commit(in.ToModel()); err != nil {
		cwhttp.WriteError(ctx, err)
		return
	}
	if p.takeResponseLoss() {
		cwhttp.WriteError(ctx, cwfault.New(cwfault.Indefinite, "the answer was lost"))
		return
	}
	cwhttp.WriteJSON(ctx, fasthttp.StatusOK, struct{}{})
}

// takeResponseLoss reports whether to lose the response to the current commit. It uses up one of LostResponses if it reports true
// because of them.
func (p *Platform) takeResponseLoss() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.ResponseLossRate > 0 && p.random.Float64() < p.faults.ResponseLossRate {
		return true
	}
	if p.faults.LostResponses <= 0 {
		return false
	}
	p.faults.LostResponses--
	return true
}

// handleHosts returns the host list, or only its version if the client already has this version.
func (p *Platform) handleHosts(ctx *fasthttp.RequestCtx) {
	knownVersion, _ := ctx.QueryArgs().GetUint(cwcodec.ParamKnownVersion)
	p.mu.Lock()
	response := cwcodec.HostsResponse{Version: p.version}
	if knownVersion > 0 && uint64(knownVersion) == p.version {
		p.mu.Unlock()
		response.Unchanged = true
		cwhttp.WriteJSON(ctx, fasthttp.StatusOK, response)
		return
	}
	for _, host := range p.hosts {
		response.Hosts = append(response.Hosts, cwcodec.HostOf(host))
	}
	p.mu.Unlock()
	slices.SortFunc(response.Hosts, func(a, b cwcodec.Host) int { return strings.Compare(a.ID, b.ID) })
	cwhttp.WriteJSON(ctx, fasthttp.StatusOK, response)
}

func (p *Platform) handleObject(ctx *fasthttp.RequestCtx, key string) {
	switch string(ctx.Method()) {
	case fasthttp.MethodPut:
		p.objects.Put(key, ctx.PostBody())
	case fasthttp.MethodDelete:
		p.objects.Delete(key)
	default:
		body, err := p.objects.Get(key)
		if err != nil {
			cwhttp.WriteError(ctx, err)
			return
		}
		ctx.SetBody(body)
	}
}
