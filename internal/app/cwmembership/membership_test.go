package cwmembership_test

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/panjf2000/ants/v2"

	"currantward/internal/app/cwmembership"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
)

// hostUpdate is one call of UpdateHosts.
type hostUpdate struct {
	workers []cwmodel.Host
	hosts   []cwmodel.HostID
}

// entry returns an entry host of this data centre with a state.
func entry(id cwmodel.HostID, state cwmodel.HostState) cwmodel.Host {
	return cwmodel.Host{ID: id, Role: cwmodel.RoleEntryHost, State: state, DataCentre: "here", Address: netip.MustParseAddrPort("127.0.0.1:1")}
}

// worker returns a live worker of this data centre.
func worker(id cwmodel.HostID) cwmodel.Host {
	return cwmodel.Host{ID: id, Role: cwmodel.RoleWorker, State: cwmodel.HostLive, DataCentre: "here"}
}

// TestUpdateHosts guards against wrong host updates: an unreachable peer that counts as live because the lagging host list has it,
// and workers or peers that are lost because the platform is unavailable or returns a list without workers.
func TestUpdateHosts(t *testing.T) {
	live := cwport.LoadReport{Host: "b", DataCentre: "here"}
	draining := cwport.LoadReport{Host: "b", DataCentre: "here", Draining: true}
	both := []cwmodel.Host{worker("w"), entry("a", cwmodel.HostLive), entry("b", cwmodel.HostLive)}
	cases := []struct {
		name    string
		lists   [][]cwmodel.Host   // nil: the platform is unavailable
		report  *cwport.LoadReport // sent by the peer
		silence time.Duration      // time without reports before the update is checked
		workers int
		hosts   []cwmodel.HostID
	}{
		{"a peer that sent a report is live", [][]cwmodel.Host{both}, &live, 0, 1, []cwmodel.HostID{"a", "b"}},
		{"a peer that sent no report is not live", [][]cwmodel.Host{both}, nil, 0, 1, []cwmodel.HostID{"a"}},
		{"a peer without recent report is not live, though listed", [][]cwmodel.Host{both}, &live, 4 * time.Second, 1, []cwmodel.HostID{"a"}},
		{"a peer drains by its report, though listed as live", [][]cwmodel.Host{both}, &draining, 0, 1, []cwmodel.HostID{"a"}},
		{"a peer leaves by the host list", [][]cwmodel.Host{{worker("w"), entry("b", cwmodel.HostLeaving)}}, &live, 0, 1, []cwmodel.HostID{"a"}},
		{"the last list stays while the platform is unavailable", [][]cwmodel.Host{both, nil}, &live, 0, 1, []cwmodel.HostID{"a", "b"}},
		{"a list without any worker is ignored", [][]cwmodel.Host{both, {entry("b", cwmodel.HostLive)}}, &live, 0, 1, []cwmodel.HostID{"a", "b"}},
		{"a worker that is not listed any more is removed", [][]cwmodel.Host{{worker("v"), worker("w")}, {worker("w")}}, &live, 0, 1, []cwmodel.HostID{"a", "b"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			clock := cwtimer.NewManual(time.Unix(1000, 0))
			pool, err := ants.NewPool(8, ants.WithNonblocking(true))
			is.NoErr(err)
			defer pool.Release()
			var mu sync.Mutex
			listed := 0
			views := make(chan hostUpdate, 1000)
			m, stop := cwmembership.New(cwmembership.Options{
				Timer: clock.Service, Log: cwlog.Discard(), Pool: pool, Self: "a", DataCentre: "here",
				ListEvery: 100 * time.Millisecond, ExchangeEvery: 500 * time.Millisecond, UnreachableAfter: 3 * time.Second,
				HostList: cwport.HostList{List: func(context.Context) ([]cwmodel.Host, error) {
					mu.Lock()
					defer mu.Unlock()
					n := min(listed, len(c.lists)-1)
					listed++
					if c.lists[n] == nil {
						return nil, cwfault.New(cwfault.Unavailable, "down")
					}
					return c.lists[n], nil
				}},
				Peers: cwport.Peers{ExchangeLoad: func(context.Context, netip.AddrPort, cwport.LoadReport) (cwport.LoadReport, error) {
					return cwport.LoadReport{}, cwfault.New(cwfault.Indefinite, "lost")
				}},
				LoadReport:  func(context.Context) cwport.LoadReport { return cwport.LoadReport{Host: "a", DataCentre: "here"} },
				UpdateHosts: func(workers []cwmodel.Host, hosts []cwmodel.HostID) { views <- hostUpdate{workers, hosts} },
			})
			defer stop()
			for range c.lists { // each list causes an update
				<-views
				clock.Advance(100 * time.Millisecond)
			}
			last := <-views
			if c.report != nil {
				m.Receive(*c.report)
				last = <-views
			}
			clock.Advance(c.silence)
			for deadline := time.After(5 * time.Second); !matchesUpdate(last, c.workers, c.hosts); {
				select {
				case last = <-views:
				case <-deadline:
					is.Equal(last.hosts, c.hosts)
					is.Equal(len(last.workers), c.workers)
					return
				}
			}
		})
	}
}

// matchesUpdate reports whether an update has the expected number of workers and exactly the expected hosts.
func matchesUpdate(v hostUpdate, workers int, hosts []cwmodel.HostID) bool {
	if len(v.workers) != workers || len(v.hosts) != len(hosts) {
		return false
	}
	for n := range hosts {
		if v.hosts[n] != hosts[n] {
			return false
		}
	}
	return true
}
