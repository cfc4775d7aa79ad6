// Package cwconfigwatch keeps the operator's newest configuration in force on one entry host.
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

// Bounds of the watcher: a configuration is in force within 2 s of its acknowledgement, also where a connection goes silent.
const (
	readTimeout = 700 * time.Millisecond
	watchWait   = time.Second
	retryPause  = 200 * time.Millisecond
)

// Watcher is the duty that follows the configuration.
type Watcher struct {
	opts    Options
	present atomic.Pointer[table]
	hints   *cwring.Ring[uint64]
}

// table is one configuration with its look-ups.
type table struct {
	*cwcellport.Configuration
	byName map[cwwork.QueueName]*cwcellport.Queue
	byHost map[string][]*cwcellport.Queue
}

// New returns a watcher that has read nothing yet.
func New(opts Options) *Watcher { return &Watcher{opts: opts, hints: cwring.New[uint64](4)} }

// Start runs the watcher and returns the function that stops it.
func (w *Watcher) Start() (stop func()) {
	stopWatch := cwduty.Start("configuration-watch", w.watch)
	stopHints := cwduty.Start("configuration-hints", w.followHints)
	return cwduty.Concurrent([]func(){stopWatch, stopHints})
}

// Version returns the version in force; 0 before the first one was read.
func (w *Watcher) Version() uint64 {
	if t := w.present.Load(); t != nil {
		return t.Version
	}
	return 0
}

// Policy returns the present policy of a queue, false if there is none.
func (w *Watcher) Policy(name cwwork.QueueName) (cwwork.QueuePolicy, bool) {
	t := w.present.Load()
	if t == nil {
		return cwwork.QueuePolicy{}, false
	}
	q, ok := t.byName[name]
	if !ok {
		return cwwork.QueuePolicy{}, false
	}
	return q.Policy, true
}

// Route returns the queue with the longest prefix that a path begins with, nil if there is none; ready is false before the
// first configuration.
func (w *Watcher) Route(host, path string) (q *cwcellport.Queue, ready bool) {
	t := w.present.Load()
	if t == nil {
		return nil, false
	}
	for _, candidate := range t.byHost[host] {
		if strings.HasPrefix(path, candidate.Prefix) && (q == nil || len(candidate.Prefix) > len(q.Prefix)) {
			q = candidate
		}
	}
	return q, true
}

// MaxBodyBytes returns the largest body that the configuration allows; 0 before the first one.
func (w *Watcher) MaxBodyBytes() int {
	if t := w.present.Load(); t != nil {
		return t.MaxBodyBytes
	}
	return 0
}

// Hint tells the watcher that a peer has seen a version.
func (w *Watcher) Hint(version uint64) {
	if version > w.Version() {
		w.hints.Offer(version)
	}
}

// watch follows the source until ctx ends.
func (w *Watcher) watch(ctx context.Context) {
	after, read := uint64(0), false
	for ctx.Err() == nil {
		cfg, version, err := w.next(after, read)
		switch {
		case err == nil:
			after, read = max(after, version), true
			w.apply(cfg)
			continue
		case cwfault.CodeOf(err) == cwfault.NotFound:
			read = false // no configuration yet, or its history was dropped
		}
		if !w.opts.Timer.Sleep(ctx.Done(), retryPause) {
			return
		}
	}
}

func (w *Watcher) next(after uint64, read bool) (*cwcellport.Configuration, uint64, error) {
	if read {
		return w.opts.Source.Watch(after, watchWait)
	}
	return w.opts.Source.Read(readTimeout)
}

// followHints reads the configuration where a peer has a newer one, as when the own feed's connection is silent.
func (w *Watcher) followHints(ctx context.Context) {
	for {
		version, ok := w.hints.Take(ctx)
		if !ok {
			return
		}
		if version <= w.Version() {
			continue
		}
		if cfg, _, err := w.opts.Source.Read(readTimeout); err == nil {
			w.apply(cfg)
		}
	}
}

// apply puts a configuration in force unless a newer one is.
func (w *Watcher) apply(cfg *cwcellport.Configuration) {
	if cfg == nil {
		return
	}
	t := &table{Configuration: cfg, byName: map[cwwork.QueueName]*cwcellport.Queue{}, byHost: map[string][]*cwcellport.Queue{}}
	for n := range cfg.Queues {
		q := &cfg.Queues[n]
		t.byName[q.Name()] = q
		t.byHost[q.Host] = append(t.byHost[q.Host], q)
	}
	for {
		present := w.present.Load()
		if present != nil && present.Version >= cfg.Version {
			return
		}
		if w.present.CompareAndSwap(present, t) {
			w.opts.Log.WithFields(cwlog.Fields{"version": cfg.Version, "queues": len(cfg.Queues)}).Info("configuration-applied")
			return
		}
	}
}
