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

// view is what a member hands on.
type view struct {
	workers []cwmodel.Host
	hosts   []cwmodel.HostID
}

func entry(id cwmodel.HostID, state cwmodel.HostState) cwmodel.Host {
	return cwmodel.Host{ID: id, Role: cwmodel.RoleEntryHost, State: state, DataCentre: "here", Address: netip.MustParseAddrPort("127.0.0.1:1")}
}

func worker(id cwmodel.HostID) cwmodel.Host {
	return cwmodel.Host{ID: id, Role: cwmodel.RoleWorker, State: cwmodel.HostLive, DataCentre: "here"}
}

func TestView(t *testing.T) {
	live := cwport.LoadReport{Host: "b", DataCentre: "here"}
	leaving := cwport.LoadReport{Host: "b", DataCentre: "here", Leaving: true}
	both := []cwmodel.Host{worker("w"), entry("a", cwmodel.HostLive), entry("b", cwmodel.HostLive)}
	cases := []struct {
		name    string
		lists   [][]cwmodel.Host   // nil: the platform is down
		digest  *cwport.LoadReport // that the peer sends
		silent  time.Duration      // before the view is looked at
		workers int
		hosts   []cwmodel.HostID
	}{
		{"a peer that was heard is live", [][]cwmodel.Host{both}, &live, 0, 1, []cwmodel.HostID{"a", "b"}},
		{"a peer that was not heard is not", [][]cwmodel.Host{both}, nil, 0, 1, []cwmodel.HostID{"a"}},
		{"a silent peer is not live, though listed", [][]cwmodel.Host{both}, &live, 4 * time.Second, 1, []cwmodel.HostID{"a"}},
		{"a peer leaves by its digest, though listed as live", [][]cwmodel.Host{both}, &leaving, 0, 1, []cwmodel.HostID{"a"}},
		{"a peer leaves by the list", [][]cwmodel.Host{{worker("w"), entry("b", cwmodel.HostLeaving)}}, &live, 0, 1, []cwmodel.HostID{"a"}},
		{"the last list stays while the platform is down", [][]cwmodel.Host{both, nil}, &live, 0, 1, []cwmodel.HostID{"a", "b"}},
		{"a list without any worker is not believed", [][]cwmodel.Host{both, {entry("b", cwmodel.HostLive)}}, &live, 0, 1, []cwmodel.HostID{"a", "b"}},
		{"a worker that is gone from the list goes", [][]cwmodel.Host{{worker("v"), worker("w")}, {worker("w")}}, &live, 0, 1, []cwmodel.HostID{"a", "b"}},
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
			views := make(chan view, 1000)
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
				UpdateHosts: func(workers []cwmodel.Host, hosts []cwmodel.HostID) { views <- view{workers, hosts} },
			})
			defer stop()
			for range c.lists { // each list gives a view
				<-views
				clock.Advance(100 * time.Millisecond)
			}
			last := <-views
			if c.digest != nil {
				m.Receive(*c.digest)
				last = <-views
			}
			clock.Advance(c.silent)
			for deadline := time.After(5 * time.Second); !matches(last, c.workers, c.hosts); {
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

func matches(v view, workers int, hosts []cwmodel.HostID) bool {
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
