package cwconfigsync_test

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"currantward/internal/adapter/cwcodec"
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

// init fixes the seed, so that each run gives the same result. Use -rapid.seed for another one.
func init() {
	for _, f := range []struct{ name, value string }{{"rapid.seed", "20261204"}, {"rapid.checks", "400"}, {"rapid.steps", "40"}} {
		if err := flag.Set(f.name, f.value); err != nil {
			panic(err)
		}
	}
}

// fault is the fault of the next commit.
type fault string

const (
	faultNone         fault = "none"
	faultResponseLost fault = "answer"  // it takes effect, but its response is lost
	faultRequestLost  fault = "request" // it has no effect, which the client cannot tell
	faultDelay        fault = "delay"   // it takes effect later or never
	faultOutage       fault = "outage"  // it takes effect, but its response is lost and the table becomes unavailable
)

// cluster is a group of entry hosts that share one table with faults.
type cluster struct {
	t       *rapid.T
	is      *is.I
	timer   *cwtimer.Service
	table   *cwmemory.Table
	down    bool
	fault   fault
	race    func() // concurrent change, runs once before the next commit
	delayed []cwport.Txn
	hosts   []*host
	edits   map[cwconfigchange.ID]cwconfigchange.Edit
	results map[cwconfigchange.ID]error
	changes int
}

// host is one entry host; a restart replaces its watcher.
type host struct {
	watcher        *cwconfigsync.Watcher
	store          *cwconfigstore.Store
	reports        []cwport.LoadReport // load reports received so far, stale or not
	appliedVersion cwpolicy.Version
}

// newCluster returns a cluster of the given number of hosts without a configuration.
func newCluster(t *rapid.T, timer *cwtimer.Service, hosts int) *cluster {
	c := &cluster{
		t: t, is: is.New(t), timer: timer, table: cwmemory.NewTable(), fault: faultNone,
		edits: map[cwconfigchange.ID]cwconfigchange.Edit{}, results: map[cwconfigchange.ID]error{},
	}
	for range hosts {
		c.hosts = append(c.hosts, &host{})
	}
	for n := range c.hosts {
		c.restart(n)
	}
	return c
}

// restart replaces the process of a host by one without any state.
func (c *cluster) restart(n int) {
	h := c.hosts[n]
	h.appliedVersion, h.reports = 0, nil
	h.watcher = cwconfigsync.NewIdle(cwconfigsync.Options{
		Timer: c.timer, Log: cwlog.Discard(), Table: c.port(), ReadTimeout: time.Second,
		ApplyToScheduler: func(_ context.Context, cfg cwpolicy.Configuration) error { return c.applied(h, cfg) },
		LoadReports:      func() []cwport.LoadReport { return h.reports },
		ReadPeer: func(_ context.Context, peer cwport.LoadReport) (cwpolicy.Configuration, error) {
			return *c.hosts[peer.Workers].watcher.Current(), nil // this test puts the index of the host into Workers
		},
	})
	h.store = cwconfigstore.New(cwconfigstore.Options{
		Timer: c.timer, Log: cwlog.Discard(), Table: c.port(), Timeout: 10 * time.Millisecond, RetryPause: time.Millisecond,
		OnCommitted: h.watcher.HandleCommitted,
	})
}

// applied records the version that a host passes to its scheduler, which must never decrease.
func (c *cluster) applied(h *host, cfg cwpolicy.Configuration) error {
	if cfg.Version < h.appliedVersion {
		c.t.Fatalf("configuration reverted from version %d to %d", h.appliedVersion, cfg.Version)
	}
	h.appliedVersion = cfg.Version
	return nil
}

// port returns the port of the shared table with the outage, the concurrent change and the commit fault that are set.
func (c *cluster) port() cwport.Table {
	port := c.table.Port()
	read, commit := port.Read, port.Commit
	port.Read = func(ctx context.Context, key string) (cwport.Row, error) {
		if c.down {
			return cwport.Row{}, cwfault.New(cwfault.Unavailable, "down")
		}
		return read(ctx, key)
	}
	port.Commit = func(ctx context.Context, txn cwport.Txn) error {
		if race := c.race; race != nil {
			c.race = nil
			race()
		}
		return c.commit(func() error { return commit(ctx, txn) }, txn)
	}
	return port
}

// commit commits a transaction with the fault that is set for the next commit.
func (c *cluster) commit(commit func() error, txn cwport.Txn) error {
	if c.down {
		return cwfault.New(cwfault.Unavailable, "down")
	}
	kind := c.fault
	c.fault = faultNone
	switch kind {
	case faultResponseLost, faultOutage:
		_ = commit()
		c.down = kind == faultOutage
		return cwfault.New(cwfault.Indefinite, "answer lost")
	case faultDelay:
		c.delayed = append(c.delayed, txn)
		return cwfault.New(cwfault.Indefinite, "request late")
	case faultRequestLost:
		return cwfault.New(cwfault.Indefinite, "request lost")
	}
	return commit()
}

// randomChange makes one random edit through one host.
func (c *cluster) randomChange(label string) {
	h := c.hosts[rapid.IntRange(0, len(c.hosts)-1).Draw(c.t, label+"host")]
	id := cwconfigchange.ID(fmt.Sprintf("change-%d", c.changes))
	c.changes++
	opts := cwconfigchange.Options{Change: id, Actor: "tester"}
	if rapid.Bool().Draw(c.t, label+"expects") {
		v := cwpolicy.Version(rapid.IntRange(0, 3).Draw(c.t, label+"back"))
		expected := h.watcher.Current().Version - min(v, h.watcher.Current().Version)
		opts.Expected = &expected
	}
	c.edits[id] = drawEdit(c.t, label)
	_, c.results[id] = h.store.Change(context.Background(), c.edits[id], opts)
}

// drawEdit draws an edit of one of three profiles or teams, or a replacement of the whole configuration.
func drawEdit(t *rapid.T, label string) cwconfigchange.Edit {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, label+"name")
	weight := float64(rapid.IntRange(1, 1000).Draw(t, label+"weight"))
	switch rapid.IntRange(0, 3).Draw(t, label+"edit") {
	case 0:
		return cwconfigchange.DeleteProfile(cwmodel.ProfileName(name))
	case 1:
		return cwconfigchange.PutTeam(cwpolicy.Team{Name: cwmodel.TeamName(name), Weight: weight})
	case 2:
		return cwconfigchange.Replace(cwpolicy.Configuration{Profiles: []cwpolicy.Profile{profile(name, weight)}})
	}
	return cwconfigchange.PutProfile(profile(name, weight))
}

// profile returns a valid profile with the given name and weight.
func profile(name string, weight float64) cwpolicy.Profile {
	return cwpolicy.Profile{
		Name: cwmodel.ProfileName(name), Kind: cwmodel.KindBatch, Class: cwmodel.ClassBatch, Weight: weight, Ceiling: 1, QueueLimit: 1,
		Lease: time.Minute, MaxAttempts: 1, Demand: cwmodel.Resources{Slots: 1},
	}
}

// check replays the audit records: it asserts that each accepted change is recorded once, no refused change is, and nothing else changed.
func (c *cluster) check() {
	c.down, c.fault, c.race = false, faultNone, nil
	store := c.hosts[0].store
	records, err := store.History(context.Background())
	c.is.NoErr(err)
	recorded := map[cwconfigchange.ID]cwpolicy.Version{}
	var replayed cwpolicy.Configuration
	for _, r := range records {
		c.is.Equal(recorded[r.Change], cwpolicy.Version(0)) // a change was accepted twice
		recorded[r.Change] = r.Version
		replayed, err = c.edits[r.Change].Apply(replayed)
		c.is.NoErr(err)
		replayed.Version++
		c.is.Equal(replayed.Version, r.Version)
	}
	for id, err := range c.results {
		switch code := cwfault.CodeOf(err); {
		case code == "" && recorded[id] == 0:
			c.t.Fatalf("change %s was accepted but has no audit record", id)
		case code != "" && code != cwfault.Indefinite && recorded[id] != 0:
			c.t.Fatalf("change %s was refused (%v) but has an audit record", id, err)
		}
	}
	current, err := store.Configuration(context.Background())
	c.is.NoErr(err)
	c.is.Equal(len(cwcodec.Diff(replayed, current).Differences), 0)
	for _, h := range c.hosts {
		h.watcher.Poll()
		h.watcher.Step(context.Background())
		c.is.Equal(h.watcher.Current().Version, current.Version)
		c.is.Equal(h.watcher.VersionReverts(), uint64(0))
	}
}

// sendReport sends the load report of one host to another, which keeps it however stale it becomes.
func (c *cluster) sendReport(to, from int) {
	h, version := c.hosts[to], c.hosts[from].watcher.Current().Version
	peer := cwport.LoadReport{Host: cwmodel.HostID(fmt.Sprint(from)), ConfigurationVersion: version, Workers: from}
	h.reports = append(h.reports, peer)
	h.watcher.HandleLoadReport(peer)
}

// TestAcceptedChangesNeverRevert guards against an accepted change that is lost, applied twice or reverted on a host.
// Such faults arise if commits are lost, delayed or raced, the table is unavailable, hosts restart or peers' load reports are stale.
func TestAcceptedChangesNeverRevert(t *testing.T) {
	timer, stop := cwtimer.New()
	defer stop()
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, timer, 3)
		index := rapid.IntRange(0, len(c.hosts)-1)
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) { c.t = t; c.randomChange("") },
			"racing-change": func(t *rapid.T) {
				c.t = t
				c.race = func() { c.randomChange("other-") }
				c.randomChange("")
				c.race = nil
			},
			"lose": func(t *rapid.T) {
				c.fault = rapid.SampledFrom([]fault{faultResponseLost, faultRequestLost, faultDelay, faultOutage}).Draw(t, "loss")
			},
			"outage":  func(t *rapid.T) { c.down = rapid.Bool().Draw(t, "down") },
			"restart": func(t *rapid.T) { c.t = t; c.restart(index.Draw(t, "host")) },
			"gossip":  func(t *rapid.T) { c.sendReport(index.Draw(t, "to"), index.Draw(t, "from")) },
			"poll": func(t *rapid.T) {
				c.t = t
				h := c.hosts[index.Draw(t, "host")]
				h.watcher.Poll()
				h.watcher.Step(context.Background())
			},
			"late-request": func(t *rapid.T) {
				if len(c.delayed) == 0 || c.down {
					t.Skip("nothing is late")
				}
				_ = c.table.Commit(c.delayed[0])
				c.delayed = c.delayed[1:]
			},
		})
		c.t = t
		c.check()
	})
}
