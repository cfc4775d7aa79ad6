package cwconfigwatch

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwwork"
	"currantward/internal/port/cwcellport"
)

// queue returns a queue whose policy depends on its priority alone.
func queue(name string, priority int) cwcellport.Queue {
	return cwcellport.Queue{Host: "h", Prefix: "/" + name + "/", Policy: cwwork.QueuePolicy{Service: "s", Priority: priority, MaxAttempts: 2, Stretch: 1.5}}
}

// TestDifferenceYieldsTheLaterVersion guards against a host that gets another configuration through differences than the operator wrote:
// queues that stay after their removal, that miss, or that keep an older policy, also over several versions at once.
func TestDifferenceYieldsTheLaterVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var versions []*indexedConfig
		var current *indexedConfig
		for version := range uint64(rapid.IntRange(1, 40).Draw(t, "versions")) {
			cfg := &cwcellport.Configuration{Version: 10 * (version + 1), MaxBodyBytes: rapid.IntRange(1, 3).Draw(t, "max body")}
			priorities := rapid.MapOf(rapid.IntRange(0, 12), rapid.IntRange(0, 2)).Draw(t, "queues")
			for n, priority := range priorities {
				cfg.Queues = append(cfg.Queues, queue(fmt.Sprint(n), priority))
			}
			current = newIndexedConfig(cfg, current)
			versions = append(versions, current)
		}
		for _, base := range append(versions, newIndexedConfig(&cwcellport.Configuration{Version: 7}, nil)) {
			got, err := applyDifference(base, current.since(base.Version))
			if err != nil {
				t.Fatalf("from version %d: %v", base.Version, err)
			}
			requireEqual(t, got, current)
		}
	})
}

// requireEqual fails the test unless two configurations have the same version, limit and queues.
func requireEqual(t *rapid.T, got, want *indexedConfig) {
	if got.Version != want.Version || got.MaxBodyBytes != want.MaxBodyBytes || len(got.byName) != len(want.byName) {
		t.Fatalf("version %d with %d queues, want version %d with %d", got.Version, len(got.byName), want.Version, len(want.byName))
	}
	for name, q := range want.byName {
		if other, ok := got.byName[name]; !ok || *other != *q {
			t.Fatalf("queue %s differs in version %d", name, got.Version)
		}
	}
}

// TestDifferenceIsSmall guards against a transfer of the whole configuration where a host lacks only a few queues.
func TestDifferenceIsSmall(t *testing.T) {
	var queues []cwcellport.Queue
	for n := range 1000 {
		queues = append(queues, queue(fmt.Sprint("bulk-", n), 1))
	}
	first := newIndexedConfig(&cwcellport.Configuration{Version: 1, Queues: queues}, nil)
	second := newIndexedConfig(&cwcellport.Configuration{Version: 2, Queues: append(queues[:1000:1000], queue("new", 1))}, first)
	third := newIndexedConfig(&cwcellport.Configuration{Version: 3, Queues: append(queues[1:1000:1000], queue("new", 2))}, second)
	cases := []struct {
		name         string
		version      uint64
		put, removed int
	}{
		{"one version behind", 2, 1, 1},
		{"two versions behind", 1, 1, 1},
		{"the same version", 3, 0, 0},
		{"without a configuration", 0, 1000, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			d := third.since(tc.version)
			is.Equal(d.Base, tc.version)
			is.Equal(len(d.Put), tc.put)
			is.Equal(len(d.Removed), tc.removed)
		})
	}
}

// TestHistoryIsBounded guards against a history that grows with each change of the configuration.
func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	var current *indexedConfig
	for version := range uint64(5 * maxHistory) {
		cfg := &cwcellport.Configuration{Version: version + 1}
		for n := range 100 {
			cfg.Queues = append(cfg.Queues, queue(fmt.Sprint(n), n/99*int(version)))
		}
		current = newIndexedConfig(cfg, current)
	}
	is.Equal(len(current.history), maxHistory)
	cfg := &cwcellport.Configuration{Version: 1000}
	for n := range 100 {
		cfg.Queues = append(cfg.Queues, queue(fmt.Sprint(n), -1)) // every queue changes
	}
	is.Equal(len(newIndexedConfig(cfg, current).history), 1)
}

// TestWrongDifferenceIsRejected guards against a configuration that is put together from parts that do not belong together.
func TestWrongDifferenceIsRejected(t *testing.T) {
	first := newIndexedConfig(&cwcellport.Configuration{Version: 1, Queues: []cwcellport.Queue{queue("a", 1), queue("b", 1)}}, nil)
	second := newIndexedConfig(&cwcellport.Configuration{Version: 2, Queues: []cwcellport.Queue{queue("a", 1), queue("b", 2)}}, first)
	cases := []struct {
		name   string
		change func(d *cwcellport.ConfigurationDifference)
		want   cwfault.Code
	}{
		{"unchanged", func(*cwcellport.ConfigurationDifference) {}, ""},
		{"of another version", func(d *cwcellport.ConfigurationDifference) { d.Base = 7 }, cwfault.Conflict},
		{"a queue is missing", func(d *cwcellport.ConfigurationDifference) { d.Put = nil }, cwfault.Invalid},
		{"a policy is another", func(d *cwcellport.ConfigurationDifference) { d.Put[0].Policy.Stretch = 9 }, cwfault.Invalid},
		{"a queue is removed", func(d *cwcellport.ConfigurationDifference) { d.Removed = []cwwork.QueueName{"h/a/"} }, cwfault.Invalid},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			d := second.since(1)
			tc.change(d)
			_, err := applyDifference(first, d)
			is.Equal(cwfault.CodeOf(err), tc.want)
		})
	}
}
