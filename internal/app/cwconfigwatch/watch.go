// Package cwconfigwatch keeps the operator's latest configuration in force on one entry host.
//
// A host watches the store. Where the store's response with the whole configuration takes long, because the host's link is narrow for the
// size of the configuration, it follows the owner instead: it fetches the difference between two versions from it.
package cwconfigwatch

import (
	"context"
	"net/netip"
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
	// FetchDifference returns the difference between a version and the one in force at a peer.
	FetchDifference func(addr netip.AddrPort, version uint64) (*cwcellport.ConfigurationDifference, error)
	Timer           *cwtimer.Service
	Log             *logrus.Logger
}

// Timing of the watcher: a configuration is in force within 2 s of its acknowledgement to the operator, even if a connection
// stalls.
const (
	readTimeout = 700 * time.Millisecond // for the first byte of the response
	watchWait   = time.Second
	retryPause  = 200 * time.Millisecond
	// maxTransferTime is the time that the store's response with the whole configuration may take on a host that watches the store. Longer
	// ones would take up the link for much of the time between changes.
	maxTransferTime = 250 * time.Millisecond
	// transferTimeExpiry is how long the measured time of a transfer counts. A host that was slow for a while then watches the store again.
	transferTimeExpiry = 10 * time.Minute
	// ownerExpiry is how long a host relies on the owner after its last report. It exceeds two heartbeats.
	ownerExpiry = 1200 * time.Millisecond
	// distrustTime is how long a host watches the store after a difference could not be fetched from a peer or applied.
	distrustTime = 2 * time.Second
	// storePrecedence is how long a host that watches the store waits for it, before it asks a peer for a version that the peer has reported.
	storePrecedence = 300 * time.Millisecond
)

// Watcher keeps the latest configuration. One duty watches its source, another fetches versions that peers have reported.
type Watcher struct {
	opts    Options
	current atomic.Pointer[indexedConfig] // nil before the first configuration
	reports *cwring.Ring[report]          // of newer versions at peers

	reportedVersion      atomic.Uint64 // the latest one in force at a peer
	confirmedVersion     atomic.Uint64 // of the store: it has no later configuration up to this version
	transferTimePerQueue atomic.Int64  // of the last response of the store with a configuration, in nanoseconds
	transferMeasuredAt   atomic.Int64  // in Unix nanoseconds
	ownerReportedAt      atomic.Int64  // in Unix nanoseconds
	distrustedUntil      atomic.Int64  // in Unix nanoseconds
}

// report is the version of the configuration in force at a peer.
type report struct {
	version uint64
	peer    netip.AddrPort
}

// New returns a watcher without a configuration; Start makes it read one.
func New(opts Options) *Watcher { return &Watcher{opts: opts, reports: cwring.New[report](4)} }

// Start runs the watcher and returns the function that stops it.
func (w *Watcher) Start() (stop func()) {
	stopWatch := cwduty.Start("configuration-watch", w.watch)
	stopReports := cwduty.Start("configuration-reports", w.fetchReported)
	return cwduty.Concurrent([]func(){stopWatch, stopReports})
}

// Version returns the version in force, or 0 before the first configuration.
func (w *Watcher) Version() uint64 {
	if c := w.current.Load(); c != nil {
		return c.Version
	}
	return 0
}

// Confirmed returns the version in force, and a version of the store up to which there is no later configuration.
func (w *Watcher) Confirmed() (version, storeVersion uint64) {
	storeVersion = w.confirmedVersion.Load() // before the configuration, which may be replaced meanwhile
	return w.Version(), storeVersion
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

// Route returns the queue with the longest prefix of a path, or nil if no prefix matches. ready is false if this host can't tell: before
// the first configuration, and if no prefix matches but a peer has a later version, which may have the queue.
func (w *Watcher) Route(host, path string) (q *cwcellport.Queue, ready bool) {
	c := w.current.Load()
	if c == nil {
		return nil, false
	}
	q = c.route(host, path)
	return q, q != nil || c.Version >= w.reportedVersion.Load()
}

// MaxBodyBytes returns the largest body that the configuration allows, or 0 before the first one.
func (w *Watcher) MaxBodyBytes() int {
	if c := w.current.Load(); c != nil {
		return c.MaxBodyBytes
	}
	return 0
}

// Difference returns the difference between a version at a peer and the configuration in force. It fails with NotSupported if this host
// has no later one.
func (w *Watcher) Difference(version uint64) (*cwcellport.ConfigurationDifference, error) {
	storeVersion := w.confirmedVersion.Load() // before the configuration, which may be replaced meanwhile
	c := w.current.Load()
	if c == nil || c.Version <= version {
		return nil, cwfault.New(cwfault.NotSupported, "there is no configuration later than version %d", version)
	}
	d := c.since(version)
	d.StoreVersion = storeVersion
	return d, nil
}

// ReportPeer makes the watcher fetch the configuration of a peer if it has a later version.
func (w *Watcher) ReportPeer(version uint64, peer netip.AddrPort) {
	if version > w.Version() {
		raise(&w.reportedVersion, version)
		w.reports.Offer(report{version, peer})
	}
}

// ReportOwner is ReportPeer for the owner of the first cell, which this host may follow. storeVersion is a version of the store up to which
// there is no later configuration than the reported one.
func (w *Watcher) ReportOwner(version, storeVersion uint64, owner netip.AddrPort) {
	w.ownerReportedAt.Store(w.opts.Timer.Now().UnixNano())
	if version == w.Version() {
		w.confirm(storeVersion)
	}
	w.ReportPeer(version, owner)
}

// confirm records that the store has no later configuration than the one in force, up to a version of the store.
func (w *Watcher) confirm(storeVersion uint64) { raise(&w.confirmedVersion, storeVersion) }

// raise sets a version unless it is at least as large already.
func raise(version *atomic.Uint64, to uint64) {
	for {
		current := version.Load()
		if to <= current || version.CompareAndSwap(current, to) {
			return
		}
	}
}

// followsOwner reports whether this host gets changes from the owner instead of the store: the store's responses take too long, and the
// owner reports its version regularly.
func (w *Watcher) followsOwner() bool {
	c, now := w.current.Load(), w.opts.Timer.Now().UnixNano()
	isSlow := c != nil && time.Duration(w.transferTimePerQueue.Load()*int64(len(c.Queues))) > maxTransferTime &&
		now-w.transferMeasuredAt.Load() < int64(transferTimeExpiry)
	return isSlow && now-w.ownerReportedAt.Load() < int64(ownerExpiry) && now > w.distrustedUntil.Load()
}

// watch applies each new configuration of the store until ctx ends. While this host follows the owner, it only probes the store, so that
// the host knows whether it reaches the store.
func (w *Watcher) watch(ctx context.Context) {
	synced := false // the store is known to have the changes after the confirmed version
	var probedAt time.Time
	for ctx.Err() == nil {
		var err error
		if !w.followsOwner() {
			if synced, err = w.fetchFromStore(synced); err == nil {
				continue
			}
		} else if now := w.opts.Timer.Now(); now.Sub(probedAt) >= watchWait {
			probedAt = now
			if err = w.opts.Source.Probe(readTimeout); err != nil {
				w.logFailure(err, cwlog.Fields{"call": "probe"})
			}
		}
		if !w.opts.Timer.Sleep(ctx.Done(), retryPause) {
			return
		}
	}
}

// fetchFromStore waits for a configuration that was written after the confirmed version, or if synced is false reads the latest one, and
// applies it. It returns whether the next call can wait.
func (w *Watcher) fetchFromStore(synced bool) (stillSynced bool, err error) {
	call, startedAt := "read", w.opts.Timer.Now()
	var cfg *cwcellport.Configuration
	var storeVersion uint64
	if synced {
		call = "watch"
		cfg, storeVersion, err = w.opts.Source.Watch(w.confirmedVersion.Load(), watchWait)
	} else {
		cfg, storeVersion, err = w.opts.Source.Read(readTimeout)
	}
	if cwfault.CodeOf(err) == cwfault.NotFound {
		return false, err // no configuration yet, or the store has dropped the history
	}
	if err != nil {
		w.logFailure(err, cwlog.Fields{"call": call, "elapsed": w.opts.Timer.Now().Sub(startedAt)})
		return synced, err
	}
	if cfg != nil {
		if cfg.TransferTime > 0 {
			w.transferTimePerQueue.Store(int64(cfg.TransferTime) / int64(max(len(cfg.Queues), 1)))
			w.transferMeasuredAt.Store(w.opts.Timer.Now().UnixNano())
		}
		index := func(current *indexedConfig) (*indexedConfig, error) { return newIndexedConfig(cfg, current), nil }
		if err = w.apply(index, cfg.Version, call); err != nil {
			return synced, err
		}
	}
	w.confirm(storeVersion)
	return true, nil
}

// fetchReported fetches later versions that peers have reported, until ctx ends.
func (w *Watcher) fetchReported(ctx context.Context) {
	for {
		r, ok := w.reports.Take(ctx)
		if !ok {
			return
		}
		if r.version > w.Version() && !w.followsOwner() {
			w.opts.Timer.Sleep(ctx.Done(), storePrecedence)
		}
		for superseded := true; superseded && r.version > w.Version() && ctx.Err() == nil; {
			superseded = w.fetchFromPeer(r.peer)
		}
	}
}

// fetchFromPeer applies the difference between the version in force and that of a peer. It returns true if another version has come into
// force meanwhile. After a failure this host watches the store for a while, since the peer may be unable to help it.
func (w *Watcher) fetchFromPeer(peer netip.AddrPort) (superseded bool) {
	startedAt := w.opts.Timer.Now()
	d, err := w.opts.FetchDifference(peer, w.Version())
	if err == nil {
		err = w.apply(func(current *indexedConfig) (*indexedConfig, error) { return applyDifference(current, d) }, d.Version, "difference")
	}
	switch {
	case cwfault.CodeOf(err) == cwfault.Conflict:
		return true
	case err != nil:
		w.distrustedUntil.Store(w.opts.Timer.Now().Add(distrustTime).UnixNano())
		w.logFailure(err, cwlog.Fields{"call": "difference", "peer": peer, "elapsed": w.opts.Timer.Now().Sub(startedAt)})
	default:
		w.confirm(d.StoreVersion)
	}
	return false
}

// apply puts the configuration that next makes of the current one in force, unless the current one is at least as new as version.
func (w *Watcher) apply(next func(current *indexedConfig) (*indexedConfig, error), version uint64, call string) error {
	for {
		current := w.current.Load()
		if current != nil && current.Version >= version {
			return nil
		}
		indexed, err := next(current)
		if err != nil {
			return err
		}
		if w.current.CompareAndSwap(current, indexed) {
			w.opts.Log.WithFields(cwlog.Fields{"version": version, "queues": len(indexed.Queues), "call": call}).Info("configuration-applied")
			return nil
		}
	}
}

// logFailure logs that a configuration could not be fetched or applied, with the version that stays in force.
func (w *Watcher) logFailure(err error, fields cwlog.Fields) {
	w.opts.Log.WithFields(fields).WithFields(cwlog.Fields{"version": w.Version(), "error": err.Error()}).Warn("configuration-not-fetched")
}
