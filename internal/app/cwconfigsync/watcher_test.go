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

// bench is one watcher with a table and a peer whose state a case sets.
type bench struct {
	table    *cwmemory.Table
	down     bool
	digests  []cwport.LoadReport
	peer     cwpolicy.Configuration
	asked    []cwmodel.HostID
	refuses  bool // the scheduler takes no configuration
	applied  []cwpolicy.Version
	watcher  *cwconfigsync.Watcher
	operator *cwconfigstore.Store
}

func newBench() *bench {
	b := &bench{table: cwmemory.NewTable()}
	port := b.table.Port()
	read := port.Read
	port.Read = func(ctx context.Context, key string) (cwport.Row, error) {
		if b.down {
			return cwport.Row{}, cwfault.New(cwfault.Unavailable, "down")
		}
		return read(ctx, key)
	}
	b.watcher = cwconfigsync.NewIdle(cwconfigsync.Options{
		Log: cwlog.Discard(), Table: port, DataCentre: "cairo-1", ReadTimeout: time.Second,
		Apply: func(_ context.Context, cfg cwpolicy.Configuration) error {
			if b.refuses {
				return cwfault.New(cwfault.Unavailable, "full")
			}
			b.applied = append(b.applied, cfg.Version)
			return nil
		},
		LoadReports: func() []cwport.LoadReport { return b.digests },
		ReadPeer: func(_ context.Context, peer cwport.LoadReport) (cwpolicy.Configuration, error) {
			b.asked = append(b.asked, peer.Host)
			return b.peer, nil
		},
	})
	b.operator = cwconfigstore.New(cwconfigstore.Options{
		Timer: cwtimer.NewManual(time.Unix(1000, 0)).Service, Log: cwlog.Discard(), Table: port, Timeout: time.Second, RetryPause: time.Millisecond,
		OnCommitted: func(cwpolicy.Configuration) {},
	})
	return b
}

func (b *bench) commit(n int) {
	for range n {
		_, _ = b.operator.Change(context.Background(), cwconfigchange.PutTeam(cwpolicy.Team{Name: "riders", Weight: 1}), cwconfigchange.Options{})
	}
}

func (b *bench) poll() {
	b.watcher.Poll()
	b.watcher.Step(context.Background())
}

func digest(host cwmodel.HostID, dc cwmodel.DataCentre, v cwpolicy.Version) cwport.LoadReport {
	return cwport.LoadReport{Host: host, DataCentre: dc, Configuration: v}
}

func TestConfigurationInForce(t *testing.T) {
	cases := []struct {
		name string
		run  func(b *bench)
		want []cwpolicy.Version // versions in the order in which they came into force
	}{
		{"a new host takes the table's", func(b *bench) { b.commit(2); b.poll() }, []cwpolicy.Version{2}},
		{"a repeated poll changes nothing", func(b *bench) { b.commit(1); b.poll(); b.poll() }, []cwpolicy.Version{1}},
		{"no host serves without one", func(b *bench) { b.poll() }, nil},
		{"a new host in an outage takes the newest peer's", func(b *bench) {
			b.down, b.peer = true, cwpolicy.Configuration{Version: 5}
			b.digests = []cwport.LoadReport{digest("a", "cairo-1", 4), digest("b", "cairo-2", 5)}
			b.poll()
		}, []cwpolicy.Version{5}},
		{"a hint names the peer to ask in an outage", func(b *bench) {
			b.down, b.peer = true, cwpolicy.Configuration{Version: 5}
			b.watcher.HandleLoadReport(digest("a", "cairo-2", 5))
			b.watcher.Step(context.Background())
		}, []cwpolicy.Version{5}},
		{"a peer is not asked while the table answers", func(b *bench) {
			b.commit(1)
			b.peer = cwpolicy.Configuration{Version: 9}
			b.digests = []cwport.LoadReport{digest("a", "cairo-1", 9)}
			b.poll()
		}, []cwpolicy.Version{1}},
		{"a peer that was restarted answers less than its digest said", func(b *bench) {
			b.commit(3)
			b.poll()
			b.down, b.peer = true, cwpolicy.Configuration{Version: 2}
			b.digests = []cwport.LoadReport{digest("a", "cairo-1", 7)}
			b.poll()
		}, []cwpolicy.Version{3}},
		{"an operator's commit that is overtaken by the table", func(b *bench) {
			b.commit(3)
			b.poll()
			b.watcher.HandleCommitted(cwpolicy.Configuration{Version: 2})
			b.poll()
		}, []cwpolicy.Version{3}},
		{"an operator's commit is in force without the table", func(b *bench) {
			b.down = true
			b.watcher.HandleCommitted(cwpolicy.Configuration{Version: 2})
			b.poll()
		}, []cwpolicy.Version{2}},
		{"a table that was set back does not revert it", func(b *bench) {
			b.commit(3)
			b.poll()
			version := []byte(`{"version":1}`)
			_ = b.table.Commit(cwport.Txn{Puts: []cwport.Put{{Key: cwconfigsync.KeyVersion, Value: version}}})
			b.poll()
		}, []cwpolicy.Version{3}},
		{"what the scheduler refused is tried again", func(b *bench) {
			b.commit(1)
			b.refuses = true
			b.poll()
			b.refuses = false
			b.poll()
		}, []cwpolicy.Version{1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench()
			c.run(b)
			is.Equal(b.applied, c.want)
			is.Equal(b.watcher.Violations(), uint64(0))
		})
	}
}

func TestPeerOfOwnDataCentreIsAskedFirst(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.down, b.peer = true, cwpolicy.Configuration{Version: 5}
	b.digests = []cwport.LoadReport{digest("far", "cairo-2", 5), digest("near", "cairo-1", 5)}
	b.poll()
	is.Equal(b.asked, []cwmodel.HostID{"near"})
}
