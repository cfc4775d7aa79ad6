// Package cwconfigwatch applies the operator's latest configuration on one entry host.
package cwconfigwatch

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"currantward/internal/base/cwduty"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwring"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwwork"
	"currantward/internal/port/cwcellport"
)

// Options configure a watcher.
type Options struct {
	Source cwcellport.ConfigurationSource
	Timer  *cwtimer.Service
	Log    *logrus.Logger
}

// Timing of the watcher: a configuration is in force within 2 s of its acknowledgement to the operator, even if a connection
// stalls.
const (
	readTimeout = 700 * time.Millisecond
	watchWait   = time.Second
	retryPause  = 200 * time.Millisecond
)

// Watcher keeps the latest configuration. One duty watches its source, another reads it after a peer has reported a newer
// version.
type Watcher struct {
	opts             Options
	current          atomic.Pointer[indexedConfig] // nil before the first configuration
	reportedVersions *cwring.Ring[uint64]          // versions that peers have reported
	callsInProgress  atomic.Int32                  // calls to the source
}

// indexedConfig is one configuration with its queues indexed by name and by host.
type indexedConfig struct {
	*cwcellport.Configuration
	byName map[cwwork.QueueName]*cwcellport.Queue
	byHost map[string][]*cwcellport.Queue
}

// New returns a watcher without a configuration; Start makes it read one.
func New(opts Options) *Watcher { return &Watcher{opts: opts, reportedVersions: cwring.New[uint64](4)} }

// Start runs the watcher and returns the function that stops it.
func (w *Watcher) Start() (stop func()) {
	stopWatch := cwduty.Start("configuration-watch", w.watch)
	stopRefresh := cwduty.Start("configuration-hints", w.refreshOnReport)
	return cwduty.Concurrent([]func(){stopWatch, stopRefresh})
}

// Version returns the version in force, or 0 before the first configuration.
func (w *Watcher) Version() uint64 {
	if c := w.current.Load(); c != nil {
		return c.Version
	}
	return 0
}

// Policy returns the current policy of a queue, or false if the queue is not configured.
func (w *Watcher) Policy(name cwwork.QueueName) (cwwork.QueuePolicy, bool) {
	c := w.current.Load()
	if c == nil {
		return cwwork.QueuePolicy{}, false
	}
	q, ok := c.byName[name]
	if !ok {
		return cwwork.QueuePolicy{}, false
	}
	return q.Policy, true
}

// Route returns the queue with the longest prefix of a path, or nil if no prefix matches; ready is false before the first
// configuration.
func (w *Watcher) Route(host, path string) (q *cwcellport.Queue, ready bool) {
	c := w.current.Load()
	if c == nil {
		return nil, false
	}
	for _, candidate := range c.byHost[host] {
		if strings.HasPrefix(path, candidate.Prefix) && (q == nil || len(candidate.Prefix) > len(q.Prefix)) {
			q = candidate
		}
	}
	return q, true
}

// MaxBodyBytes returns the largest body that the configuration allows, or 0 before the first one.
func (w *Watcher) MaxBodyBytes() int {
	if c := w.current.Load(); c != nil {
		return c.MaxBodyBytes
	}
	return 0
}

// RefreshIfOlder makes the watcher read the configuration if the current one is older than version, which a peer has reported.
func (w *Watcher) RefreshIfOlder(version uint64) {
	if version > w.Version() {
		w.reportedVersions.Offer(version)
	}
}

// watch applies each new configuration of the source until ctx ends. While synced is false, it reads the configuration instead
// of waiting for a change after a known version.
func (w *Watcher) watch(ctx context.Context) {
	after, synced := uint64(0), false
	for ctx.Err() == nil {
		cfg, version, err := w.fetch(after, synced)
		switch {
		case err == nil:
			after, synced = max(after, version), true
			w.apply(cfg)
			continue
		case cwfault.CodeOf(err) == cwfault.NotFound:
			synced = false // no configuration yet, or the store has dropped the history
		}
		if !w.opts.Timer.Sleep(ctx.Done(), retryPause) {
			return
		}
	}
}

// fetch reads the configuration, or if synced is set waits for one that was written after a version.
func (w *Watcher) fetch(after uint64, synced bool) (*cwcellport.Configuration, uint64, error) {
	if synced {
		return w.call("watch", func() (*cwcellport.Configuration, uint64, error) { return w.opts.Source.Watch(after, watchWait) })
	}
	return w.read()
}

// read reads the configuration from its source.
func (w *Watcher) read() (*cwcellport.Configuration, uint64, error) {
	return w.call("read", func() (*cwcellport.Configuration, uint64, error) { return w.opts.Source.Read(readTimeout) })
}

// call calls the source, and logs a failure with the version that stays in force and the number of calls in progress.
func (w *Watcher) call(name string, fetch func() (*cwcellport.Configuration, uint64, error)) (*cwcellport.Configuration, uint64, error) {
	concurrent, startedAt := w.callsInProgress.Add(1), w.opts.Timer.Now()
	cfg, version, err := fetch()
	w.callsInProgress.Add(-1)
	if err != nil && cwfault.CodeOf(err) != cwfault.NotFound {
		w.opts.Log.WithFields(cwlog.Fields{
			"call": name, "elapsed": w.opts.Timer.Now().Sub(startedAt), "in-progress": concurrent, "version": w.Version(), "error": err.Error(),
		}).Warn("configuration-not-fetched")
	}
	return cfg, version, err
}

// refreshOnReport reads the configuration when a peer has reported a newer one, for instance if the watch's connection has
// stalled.
func (w *Watcher) refreshOnReport(ctx context.Context) {
	for {
		version, ok := w.reportedVersions.Take(ctx)
		if !ok {
			return
		}
		if version <= w.Version() {
			continue
		}
		if cfg, _, err := w.read(); err == nil {
			w.apply(cfg)
		}
	}
}

// apply puts a configuration in force unless the current one is at least as new. It ignores nil, which means no change.
func (w *Watcher) apply(cfg *cwcellport.Configuration) {
	if cfg == nil {
		return
	}
	indexed := &indexedConfig{Configuration: cfg, byName: map[cwwork.QueueName]*cwcellport.Queue{}, byHost: map[string][]*cwcellport.Queue{}}
	for n := range cfg.Queues {
		q := &cfg.Queues[n]
		indexed.byName[q.Name()] = q
		indexed.byHost[q.Host] = append(indexed.byHost[q.Host], q)
	}
	for {
		current := w.current.Load()
		if current != nil && current.Version >= cfg.Version {
			return
		}
		if w.current.CompareAndSwap(current, indexed) {
			w.opts.Log.WithFields(cwlog.Fields{"version": cfg.Version, "queues": len(cfg.Queues)}).Info("configuration-applied")
			return
		}
	}
}
