package cwconfigsync_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/adapter/cwmemory"
	"currantward/internal/app/cwconfigstore"
	"currantward/internal/app/cwconfigsync"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwconfigchange"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
	"currantward/internal/port/cwport"
)

// fixture is one Watcher with a table and a peer, whose state each case sets.
type fixture struct {
	table      *cwmemory.Table
	down       bool
	reports    []cwport.LoadReport
	peer       cwpolicy.Configuration
	readPeers  []cwmodel.HostID
	applyFails bool // the scheduler rejects each configuration
	applied    []cwpolicy.Version
	watcher    *cwconfigsync.Watcher
	store      *cwconfigstore.Store
}

// newFixture returns a fixture with an empty table and without peers. The store commits to the table without notifying the watcher.
func newFixture() *fixture {
	f := &fixture{table: cwmemory.NewTable()}
	port := f.table.Port()
	read := port.Read
	port.Read = func(ctx context.Context, key string) (cwport.Row, error) {
		if f.down {
			return cwport.Row{}, cwfault.New(cwfault.Unavailable, "down")
		}
		return read(ctx, key)
	}
	f.watcher = cwconfigsync.NewIdle(cwconfigsync.Options{
		Log: cwlog.Discard(), Table: port, DataCentre: "cairo-1", ReadTimeout: time.Second,
		ApplyToScheduler: func(_ context.Context, cfg cwpolicy.Configuration) error {
			if f.applyFails {
				return cwfault.New(cwfault.Unavailable, "full")
			}
			f.applied = append(f.applied, cfg.Version)
			return nil
		},
		LoadReports: func() []cwport.LoadReport { return f.reports },
		ReadPeer: func(_ context.Context, peer cwport.LoadReport) (cwpolicy.Configuration, error) {
			f.readPeers = append(f.readPeers, peer.Host)
			return f.peer, nil
		},
	})
	f.store = cwconfigstore.New(cwconfigstore.Options{
		Timer: cwtimer.NewManual(time.Unix(1000, 0)).Service, Log: cwlog.Discard(), Table: port, Timeout: time.Second, RetryPause: time.Millisecond,
		OnCommitted: func(cwpolicy.Configuration) {},
	})
	return f
}

// commit commits n changes to the table, each of which adds one to the version.
func (f *fixture) commit(n int) {
	for range n {
		_, _ = f.store.Change(context.Background(), cwconfigchange.PutTeam(cwpolicy.Team{Name: "riders", Weight: 1}), cwconfigchange.Options{})
	}
}

// poll makes the watcher poll and handles all events in its inbox.
func (f *fixture) poll() {
	f.watcher.Poll()
	f.watcher.Step(context.Background())
}

// loadReport returns the load report of a peer with the given active version.
func loadReport(host cwmodel.HostID, dc cwmodel.DataCentre, v cwpolicy.Version) cwport.LoadReport {
	return cwport.LoadReport{Host: host, DataCentre: dc, ConfigurationVersion: v}
}

// TestActiveConfiguration guards against a host that runs without the newest committed configuration that it can reach, or goes back
// to an older one. Outages, restarted peers, reordered commits and a restored table can cause this.
func TestActiveConfiguration(t *testing.T) {
	cases := []struct {
		name string
		run  func(f *fixture)
		want []cwpolicy.Version // applied versions in order
	}{
		{"a new host uses that of the table", func(f *fixture) { f.commit(2); f.poll() }, []cwpolicy.Version{2}},
		{"a repeated poll changes nothing", func(f *fixture) { f.commit(1); f.poll(); f.poll() }, []cwpolicy.Version{1}},
		{"none is applied if there is none", func(f *fixture) { f.poll() }, nil},
		{"a new host uses that of the newest peer in an outage", func(f *fixture) {
			f.down, f.peer = true, cwpolicy.Configuration{Version: 5}
			f.reports = []cwport.LoadReport{loadReport("a", "cairo-1", 4), loadReport("b", "cairo-2", 5)}
			f.poll()
		}, []cwpolicy.Version{5}},
		{"a load report selects the peer to read in an outage", func(f *fixture) {
			f.down, f.peer = true, cwpolicy.Configuration{Version: 5}
			f.watcher.HandleLoadReport(loadReport("a", "cairo-2", 5))
			f.watcher.Step(context.Background())
		}, []cwpolicy.Version{5}},
		{"a peer is not read while the table is available", func(f *fixture) {
			f.commit(1)
			f.peer = cwpolicy.Configuration{Version: 9}
			f.reports = []cwport.LoadReport{loadReport("a", "cairo-1", 9)}
			f.poll()
		}, []cwpolicy.Version{1}},
		{"a restarted peer returns an older version than it reported", func(f *fixture) {
			f.commit(3)
			f.poll()
			f.down, f.peer = true, cwpolicy.Configuration{Version: 2}
			f.reports = []cwport.LoadReport{loadReport("a", "cairo-1", 7)}
			f.poll()
		}, []cwpolicy.Version{3}},
		{"a committed version older than that of the table", func(f *fixture) {
			f.commit(3)
			f.poll()
			f.watcher.HandleCommitted(cwpolicy.Configuration{Version: 2})
			f.poll()
		}, []cwpolicy.Version{3}},
		{"a committed version is applied without the table", func(f *fixture) {
			f.down = true
			f.watcher.HandleCommitted(cwpolicy.Configuration{Version: 2})
			f.poll()
		}, []cwpolicy.Version{2}},
		{"a table restored to an older version does not revert it", func(f *fixture) {
			f.commit(3)
			f.poll()
			version := []byte(`{"version":1}`)
			_ = f.table.Commit(cwport.Txn{Puts: []cwport.Put{{Key: cwconfigsync.KeyVersion, Value: version}}})
			f.poll()
		}, []cwpolicy.Version{3}},
		{"a failed application is retried", func(f *fixture) {
			f.commit(1)
			f.applyFails = true
			f.poll()
			f.applyFails = false
			f.poll()
		}, []cwpolicy.Version{1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			c.run(f)
			is.Equal(f.applied, c.want)
			is.Equal(f.watcher.VersionReverts(), uint64(0))
		})
	}
}

// TestLocalPeerIsReadFirst guards against reads across data centres while a local peer has the same version.
func TestLocalPeerIsReadFirst(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.down, f.peer = true, cwpolicy.Configuration{Version: 5}
	f.reports = []cwport.LoadReport{loadReport("far", "cairo-2", 5), loadReport("near", "cairo-1", 5)}
	f.poll()
	is.Equal(f.readPeers, []cwmodel.HostID{"near"})
}
