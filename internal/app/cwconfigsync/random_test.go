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

// init fixes the seed, so that each run reaches the same verdict; -rapid.seed draws another one.
func init() {
	for _, f := range []struct{ name, value string }{{"rapid.seed", "20261204"}, {"rapid.checks", "400"}, {"rapid.steps", "40"}} {
		if err := flag.Set(f.name, f.value); err != nil {
			panic(err)
		}
	}
}

// loss says what becomes of the next commit.
type loss string

const (
	lossNone    loss = "none"
	lossAnswer  loss = "answer"  // it takes effect, its answer is lost
	lossRequest loss = "request" // it has no effect, and nobody can tell
	lossDelay   loss = "delay"   // it takes effect later, or never
	lossOutage  loss = "outage"  // it takes effect, its answer is lost and the table goes down
)

// cell is several entry hosts on one table with faults.
type cell struct {
	t       *rapid.T
	is      *is.I
	timer   *cwtimer.Service
	table   *cwmemory.Table
	down    bool
	loss    loss
	race    func() // runs once, before the next commit
	delayed []cwport.Txn
	hosts   []*host
	edits   map[cwconfigchange.ID]cwconfigchange.Edit
	answers map[cwconfigchange.ID]error
	made    int
}

// host is one entry host; a restart replaces its watcher.
type host struct {
	watcher  *cwconfigsync.Watcher
	operator *cwconfigstore.Store
	digests  []cwport.LoadReport // what it last heard, stale or not
	seen     cwpolicy.Version
}

func newCell(t *rapid.T, timer *cwtimer.Service, hosts int) *cell {
	c := &cell{
		t: t, is: is.New(t), timer: timer, table: cwmemory.NewTable(), loss: lossNone,
		edits: map[cwconfigchange.ID]cwconfigchange.Edit{}, answers: map[cwconfigchange.ID]error{},
	}
	for range hosts {
		c.hosts = append(c.hosts, &host{})
	}
	for n := range c.hosts {
		c.restart(n)
	}
	return c
}

// restart gives a host a new process that knows nothing.
func (c *cell) restart(n int) {
	h := c.hosts[n]
	h.seen, h.digests = 0, nil
	h.watcher = cwconfigsync.NewIdle(cwconfigsync.Options{
		Timer: c.timer, Log: cwlog.Discard(), Table: c.port(), ReadTimeout: time.Second,
		Apply:       func(_ context.Context, cfg cwpolicy.Configuration) error { return c.applied(h, cfg) },
		LoadReports: func() []cwport.LoadReport { return h.digests },
		ReadPeer: func(_ context.Context, peer cwport.LoadReport) (cwpolicy.Configuration, error) {
			return *c.hosts[peer.Workers].watcher.Current(), nil // the digest carries the index here
		},
	})
	h.operator = cwconfigstore.New(cwconfigstore.Options{
		Timer: c.timer, Log: cwlog.Discard(), Table: c.port(), Timeout: 10 * time.Millisecond, RetryPause: time.Millisecond,
		OnCommitted: h.watcher.HandleCommitted,
	})
}

func (c *cell) applied(h *host, cfg cwpolicy.Configuration) error {
	if cfg.Version < h.seen {
		c.t.Fatalf("reverted from version %d to %d", h.seen, cfg.Version)
	}
	h.seen = cfg.Version
	return nil
}

func (c *cell) port() cwport.Table {
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

func (c *cell) commit(commit func() error, txn cwport.Txn) error {
	if c.down {
		return cwfault.New(cwfault.Unavailable, "down")
	}
	kind := c.loss
	c.loss = lossNone
	switch kind {
	case lossAnswer, lossOutage:
		_ = commit()
		c.down = kind == lossOutage
		return cwfault.New(cwfault.Indefinite, "answer lost")
	case lossDelay:
		c.delayed = append(c.delayed, txn)
		return cwfault.New(cwfault.Indefinite, "request late")
	case lossRequest:
		return cwfault.New(cwfault.Indefinite, "request lost")
	}
	return commit()
}

// change makes one random edit at one host.
func (c *cell) change(label string) {
	h := c.hosts[rapid.IntRange(0, len(c.hosts)-1).Draw(c.t, label+"host")]
	id := cwconfigchange.ID(fmt.Sprintf("change-%d", c.made))
	c.made++
	terms := cwconfigchange.Options{Change: id, Actor: "tester"}
	if rapid.Bool().Draw(c.t, label+"expects") {
		v := cwpolicy.Version(rapid.IntRange(0, 3).Draw(c.t, label+"back"))
		expected := h.watcher.Current().Version - min(v, h.watcher.Current().Version)
		terms.Expected = &expected
	}
	c.edits[id] = drawEdit(c.t, label)
	_, c.answers[id] = h.operator.Change(context.Background(), c.edits[id], terms)
}

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

func profile(name string, weight float64) cwpolicy.Profile {
	return cwpolicy.Profile{
		Name: cwmodel.ProfileName(name), Kind: cwmodel.KindBatch, Class: cwmodel.ClassBatch, Weight: weight, Ceiling: 1, QueueLimit: 1,
		Lease: time.Minute, MaxAttempts: 1, Demand: cwmodel.Resources{Slots: 1},
	}
}

// check replays the records: each accepted change is there once, each refused one is not, and nothing else changed.
func (c *cell) check() {
	c.down, c.loss, c.race = false, lossNone, nil
	operator := c.hosts[0].operator
	records, err := operator.History(context.Background())
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
	for id, answer := range c.answers {
		switch code := cwfault.CodeOf(answer); {
		case code == "" && recorded[id] == 0:
			c.t.Fatalf("%s was accepted and is lost", id)
		case code != "" && code != cwfault.Indefinite && recorded[id] != 0:
			c.t.Fatalf("%s was refused (%v) and is in force", id, answer)
		}
	}
	present, err := operator.Configuration(context.Background())
	c.is.NoErr(err)
	c.is.Equal(len(cwcodec.Diff(replayed, present).Differences), 0)
	for _, h := range c.hosts {
		h.watcher.Poll()
		h.watcher.Step(context.Background())
		c.is.Equal(h.watcher.Current().Version, present.Version)
		c.is.Equal(h.watcher.Violations(), uint64(0))
	}
}

// gossip lets one host hear another; what it hears stays until the next time, however stale.
func (c *cell) gossip(to, from int) {
	h, version := c.hosts[to], c.hosts[from].watcher.Current().Version
	peer := cwport.LoadReport{Host: cwmodel.HostID(fmt.Sprint(from)), Configuration: version, Workers: from}
	h.digests = append(h.digests, peer)
	h.watcher.HandleLoadReport(peer)
}

// TestRandomOperatorsLoseNothingAndNeverRevert is the promise that an accepted configuration never reverts.
func TestRandomOperatorsLoseNothingAndNeverRevert(t *testing.T) {
	timer, stop := cwtimer.New()
	defer stop()
	rapid.Check(t, func(t *rapid.T) {
		c := newCell(t, timer, 3)
		index := rapid.IntRange(0, len(c.hosts)-1)
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) { c.t = t; c.change("") },
			"racing-change": func(t *rapid.T) {
				c.t = t
				c.race = func() { c.change("other-") }
				c.change("")
				c.race = nil
			},
			"lose": func(t *rapid.T) {
				c.loss = rapid.SampledFrom([]loss{lossAnswer, lossRequest, lossDelay, lossOutage}).Draw(t, "loss")
			},
			"outage":  func(t *rapid.T) { c.down = rapid.Bool().Draw(t, "down") },
			"restart": func(t *rapid.T) { c.t = t; c.restart(index.Draw(t, "host")) },
			"gossip":  func(t *rapid.T) { c.gossip(index.Draw(t, "to"), index.Draw(t, "from")) },
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
