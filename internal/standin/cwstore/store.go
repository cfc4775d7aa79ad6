// Package cwstore is the stand-in for the platform: a table, an object store and a host list over HTTP.
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

// Paths that only the stand-in has.
const (
	PathRegister = "/control/hosts"
	PathFaults   = "/control/faults"
)

// Faults are the ways in which the stand-in misbehaves.
type Faults struct {
	Down             bool             `json:"down,omitempty"`
	Delay            cwcodec.Duration `json:"delay,omitempty"`
	LostResponses    int              `json:"lose-answer,omitempty"` // this many commits take effect but answer an error
	ResponseLossRate float64          `json:"lose-rate,omitempty"`   // part of the commits that take effect but answer an error
	Seed             uint64           `json:"seed,omitempty"`        // of the commits whose answers are lost at that rate
	DownFor          cwcodec.Duration `json:"down-for,omitempty"`    // down until this much later
	HostLag          cwcodec.Duration `json:"host-lag,omitempty"`    // changes of the host list show this much later
}

// Options set up a stand-in platform.
type Options struct {
	Listen netip.AddrPort
	Timer  *cwtimer.Service
	Log    *logrus.Logger
}

// Platform is a stand-in platform.
type Platform struct {
	table   *cwmemory.Table
	objects *cwmemory.ObjectStore
	timer   *cwtimer.Service
	mu      sync.Mutex
	faults  Faults
	random  *rand.Rand
	downTo  time.Time
	hosts   map[cwmodel.HostID]cwmodel.Host
	version uint64 // of the host list
}

// New starts a stand-in platform and returns its address and the function that stops it.
func New(opts Options) (s *Platform, bound netip.AddrPort, stop func(), err error) {
	s = &Platform{
		table: cwmemory.NewTable(), objects: cwmemory.NewObjectStore(), timer: opts.Timer,
		hosts: map[cwmodel.HostID]cwmodel.Host{},
	}
	limits := cwhttp.DefaultServerOptions("platform-stand-in", opts.Log)
	limits.MaxBodyBytes = 16 << 20
	bound, stop, err = cwhttp.Serve(opts.Listen, s.handle, limits)
	return s, bound, stop, err
}

// Register adds or replaces a host; it shows in the list after the lag.
func (s *Platform) Register(host cwmodel.Host) {
	s.mu.Lock()
	lag := time.Duration(s.faults.HostLag)
	s.mu.Unlock()
	apply := func(time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.hosts[host.ID] = host
		s.version++
	}
	if lag <= 0 {
		apply(time.Time{})
		return
	}
	s.timer.After(lag, apply)
}

// SetFaults replaces the faults.
func (s *Platform) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.random = rand.New(rand.NewPCG(faults.Seed, faults.Seed))
	s.downTo = s.timer.Now().Add(time.Duration(faults.DownFor))
}

func (s *Platform) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case PathRegister:
		s.handleRegister(ctx)
		return
	case PathFaults:
		s.handleFaults(ctx)
		return
	}
	faults := s.present()
	if faults.Down {
		cwhttp.WriteError(ctx, cwfault.New(cwfault.Unavailable, "the platform is down"))
		return
	}
	if faults.Delay > 0 {
		s.timer.Sleep(ctx.Done(), time.Duration(faults.Delay))
	}
	switch {
	case path == cwcodec.PathTableRead:
		s.handleRead(ctx)
	case path == cwcodec.PathTableScan:
		s.handleScan(ctx)
	case path == cwcodec.PathTableCommit:
		s.handleCommit(ctx)
	case path == cwcodec.PathHosts:
		s.handleHosts(ctx)
	case strings.HasPrefix(path, cwcodec.PathObject):
		s.handleObject(ctx, strings.TrimPrefix(path, cwcodec.PathObject))
	default:
		cwhttp.WriteError(ctx, cwfault.New(cwfault.NotFound, "no such path %s", path))
	}
}

func (s *Platform) present() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := s.faults
	faults.Down = faults.Down || s.timer.Now().Before(s.downTo)
	return faults
}

func (s *Platform) handleRegister(ctx *fasthttp.RequestCtx) {
	var document cwcodec.Host
	if err := cwhttp.DecodeStrict(ctx.PostBody(), &document); err != nil {
		cwhttp.WriteError(ctx, err)
		return
	}
	host, err := document.Core()
	if err != nil {
		cwhttp.WriteError(ctx, err)
		return
	}
	s.Register(host)
	cwhttp.WriteJSON(ctx, fasthttp.StatusOK, document)
}

func (s *Platform) handleFaults(ctx *fasthttp.RequestCtx) {
	var faults Faults
	if err := cwhttp.DecodeStrict(ctx.PostBody(), &faults); err != nil {
		cwhttp.WriteError(ctx, err)
		return
	}
	s.SetFaults(faults)
	cwhttp.WriteJSON(ctx, fasthttp.StatusOK, faults)
}

func (s *Platform) handleRead(ctx *fasthttp.RequestCtx) {
	var in cwcodec.ReadRequest
	if err := cwhttp.DecodeStrict(ctx.PostBody(), &in); err != nil {
		cwhttp.WriteError(ctx, err)
		return
	}
	cwhttp.WriteJSON(ctx, fasthttp.StatusOK, cwcodec.RowOf(s.table.Read(in.Key)))
}

func (s *Platform) handleScan(ctx *fasthttp.RequestCtx) {
	var in cwcodec.ScanRequest
	if err := cwhttp.DecodeStrict(ctx.PostBody(), &in); err != nil {
		cwhttp.WriteError(ctx, err)
		return
	}
	answer := cwcodec.ScanResponse{Rows: []cwcodec.Row{}}
	for _, row := range s.table.Scan(in.Prefix, in.After, in.Limit) {
		answer.Rows = append(answer.Rows, cwcodec.RowOf(row))
	}
	cwhttp.WriteJSON(ctx, fasthttp.StatusOK, answer)
}

func (s *Platform) handleCommit(ctx *fasthttp.RequestCtx) {
	var in cwcodec.CommitRequest
	if err := cwhttp.DecodeStrict(ctx.PostBody(), &in); err != nil {
		cwhttp.WriteError(ctx, err)
		return
	}
	if err := s.table.Commit(in.Core()); err != nil {
		cwhttp.WriteError(ctx, err)
		return
	}
	if s.losesAnswer() {
		cwhttp.WriteError(ctx, cwfault.New(cwfault.Indefinite, "the answer was lost"))
		return
	}
	cwhttp.WriteJSON(ctx, fasthttp.StatusOK, struct{}{})
}

func (s *Platform) losesAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.ResponseLossRate > 0 && s.random.Float64() < s.faults.ResponseLossRate {
		return true
	}
	if s.faults.LostResponses <= 0 {
		return false
	}
	s.faults.LostResponses--
	return true
}

func (s *Platform) handleHosts(ctx *fasthttp.RequestCtx) {
	known, _ := ctx.QueryArgs().GetUint(cwcodec.ParamKnownVersion)
	s.mu.Lock()
	answer := cwcodec.HostsResponse{Version: s.version}
	if known > 0 && uint64(known) == s.version {
		s.mu.Unlock()
		answer.Unchanged = true
		cwhttp.WriteJSON(ctx, fasthttp.StatusOK, answer)
		return
	}
	for _, host := range s.hosts {
		answer.Hosts = append(answer.Hosts, cwcodec.HostOf(host))
	}
	s.mu.Unlock()
	slices.SortFunc(answer.Hosts, func(a, b cwcodec.Host) int { return strings.Compare(a.ID, b.ID) })
	cwhttp.WriteJSON(ctx, fasthttp.StatusOK, answer)
}

func (s *Platform) handleObject(ctx *fasthttp.RequestCtx, key string) {
	switch string(ctx.Method()) {
	case fasthttp.MethodPut:
		s.objects.Put(key, ctx.PostBody())
	case fasthttp.MethodDelete:
		s.objects.Delete(key)
	default:
		body, err := s.objects.Get(key)
		if err != nil {
			cwhttp.WriteError(ctx, err)
			return
		}
		ctx.SetBody(body)
	}
}
