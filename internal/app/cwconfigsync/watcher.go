// Package cwconfigsync keeps the active configuration of an entry host up to date.
//
// It polls the table, reads from peers while the table is unavailable, activates newer versions and passes them to the scheduler.
package cwconfigsync

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/base/cwduty"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwring"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
	"currantward/internal/port/cwport"
)

// Keys of the rows that hosts read.
const (
	KeyConfiguration = "config/current" // the whole configuration
	KeyVersion       = "config/version" // its version, small enough to poll
)

// inboxSize is enough for one request to poll and for the configurations that are committed through this host.
const inboxSize = 64

// Options configure a Watcher.
type Options struct {
	Timer       *cwtimer.Service
	Log         *logrus.Logger
	Table       cwport.Table
	DataCentre  cwmodel.DataCentre
	PollEvery   time.Duration
	ReadTimeout time.Duration // timeout of one read from the table or from a peer

	// ApplyToScheduler passes a newly activated configuration to the scheduler. After an error, it is called again at the next poll.
	ApplyToScheduler func(ctx context.Context, cfg cwpolicy.Configuration) error
	// LoadReports returns the latest load reports of the reachable peers.
	LoadReports func() []cwport.LoadReport
	// ReadPeer returns the active configuration of a peer.
	ReadPeer func(ctx context.Context, peer cwport.LoadReport) (cwpolicy.Configuration, error)
}

// event carries a configuration that is known to be committed; nil requests a poll of the table.
type event struct{ committed *cwpolicy.Configuration }

// Watcher is the duty that owns the active configuration of one entry host.
type Watcher struct {
	opts              Options
	inbox             *cwring.Ring[event]
	pollQueued        atomic.Bool                       // a poll is in the inbox
	hintedPeer        atomic.Pointer[cwport.LoadReport] // latest peer whose load report showed a newer version; nil if there is none
	current           atomic.Pointer[cwpolicy.Configuration]
	schedulerOutdated bool // the scheduler has not accepted the current configuration yet
	pollFailing       bool // the last poll of the table failed
	tableBehind       bool // the table had an older version than the active one at the last poll
	versionReverts    atomic.Uint64
}

// New starts the duty and returns the function that stops it.
func New(opts Options) (w *Watcher, stop func()) {
	w = newWatcher(opts)
	w.Poll()
	cancel := opts.Timer.Every(opts.PollEvery, func(time.Time) { w.Poll() })
	stopDuty := cwduty.Start("configuration-watcher", w.run)
	return w, func() {
		cancel()
		stopDuty()
	}
}

// newWatcher returns a Watcher without its goroutine and its polls; its active configuration is empty.
func newWatcher(opts Options) *Watcher {
	w := &Watcher{opts: opts, inbox: cwring.New[event](inboxSize)}
	w.current.Store(&cwpolicy.Configuration{})
	return w
}

// Poll requests a poll of the table and returns at once. It does nothing if a poll is already in the inbox.
func (w *Watcher) Poll() {
	if w.pollQueued.CompareAndSwap(false, true) && !w.inbox.Offer(event{}) {
		w.pollQueued.Store(false)
	}
}

// HandleCommitted enqueues a configuration that is known to be committed, for activation. If the inbox is full it is dropped, and the next poll
// finds it in the table.
func (w *Watcher) HandleCommitted(cfg cwpolicy.Configuration) { w.inbox.Offer(event{committed: &cfg}) }

// HandleLoadReport requests a poll if the load report of a peer shows a newer version.
func (w *Watcher) HandleLoadReport(peer cwport.LoadReport) {
	if peer.ConfigurationVersion > w.Current().Version {
		w.hintedPeer.Store(&peer)
		w.Poll()
	}
}

// Current returns the active configuration. Version zero means that there is none yet.
func (w *Watcher) Current() *cwpolicy.Configuration { return w.current.Load() }

// VersionReverts returns how often the active version decreased, which would violate an invariant.
func (w *Watcher) VersionReverts() uint64 { return w.versionReverts.Load() }

// InboxLen returns the number of events in the inbox.
func (w *Watcher) InboxLen() int { return w.inbox.Len() }

// Rejected returns how many events were rejected because the inbox was full.
func (w *Watcher) Rejected() uint64 { return w.inbox.Rejected() }

// run handles the events in the inbox until ctx ends.
func (w *Watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		e, ok := w.inbox.Take(ctx)
		if !ok {
			return
		}
		w.handle(ctx, e)
	}
}

// handle activates a committed configuration. A nil one requests a poll: handle reads the table or, if that fails, a peer, and retries a failed
// update of the scheduler.
func (w *Watcher) handle(ctx context.Context, e event) {
	if e.committed != nil {
		w.activate(ctx, *e.committed, "operator")
		return
	}
	w.pollQueued.Store(false)
	err := w.pollTable(ctx)
	w.logOutage(err)
	if err != nil {
		w.fetchFromPeer(ctx)
	}
	w.applyToScheduler(ctx)
}

// logOutage takes the error of a poll of the table, nil for success. It logs the first failure and the first success after it, but not each
// failed poll.
func (w *Watcher) logOutage(err error) {
	switch failing := err != nil; {
	case failing && !w.pollFailing:
		w.opts.Log.WithFields(logrus.Fields{"error": cwfault.MessageOf(err), "version": w.Current().Version}).Warn("configuration-poll-failed")
	case !failing && w.pollFailing:
		w.opts.Log.WithFields(logrus.Fields{"version": w.Current().Version}).Info("configuration-poll-recovered")
	}
	w.pollFailing = err != nil
}

// pollTable reads the version row and, if its version is newer, reads the whole configuration and activates it.
func (w *Watcher) pollTable(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, w.opts.ReadTimeout)
	defer cancel()
	row, err := w.opts.Table.Read(ctx, KeyVersion)
	if err != nil || row.Version == 0 {
		return err
	}
	version, err := cwcodec.DecodeVersion(row.Value)
	if err != nil {
		return err
	}
	w.checkTableVersion(version)
	if version <= w.Current().Version {
		return nil
	}
	if row, err = w.opts.Table.Read(ctx, KeyConfiguration); err != nil {
		return err
	}
	cfg, err := cwcodec.DecodeConfiguration(row.Value)
	if err != nil {
		return err
	}
	w.activate(ctx, cfg, "table")
	return nil
}

// checkTableVersion logs an error once if the table has an older version than the active one.
func (w *Watcher) checkTableVersion(table cwpolicy.Version) {
	behind := table < w.Current().Version
	if behind && !w.tableBehind {
		w.opts.Log.WithFields(logrus.Fields{"table-version": table, "version": w.Current().Version}).Error("configuration-table-behind")
	}
	w.tableBehind = behind
}

// fetchFromPeer reads the configuration of the peer with the newest version, and activates it. It is used while the table is unavailable.
func (w *Watcher) fetchFromPeer(ctx context.Context) {
	peer, ok := w.newestPeer()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, w.opts.ReadTimeout)
	defer cancel()
	cfg, err := w.opts.ReadPeer(ctx, peer)
	if err != nil {
		w.opts.Log.WithFields(logrus.Fields{"peer": peer.Host, "error": cwfault.MessageOf(err)}).Warn("configuration-peer-failed")
		return
	}
	w.activate(ctx, cfg, string(peer.Host))
}

// newestPeer returns the peer with the newest version above the active one; ok is false if there is none. On a tie it prefers a peer of this data
// centre. It also considers the peer that HandleLoadReport noted last.
func (w *Watcher) newestPeer() (best cwport.LoadReport, ok bool) {
	version := w.Current().Version
	peers := w.opts.LoadReports()
	if hinted := w.hintedPeer.Swap(nil); hinted != nil {
		peers = append(slices.Clip(peers), *hinted)
	}
	for _, p := range peers {
		isTieInOwnDataCentre := ok && p.ConfigurationVersion == version && p.DataCentre == w.opts.DataCentre && best.DataCentre != w.opts.DataCentre
		if p.ConfigurationVersion > version || isTieInOwnDataCentre {
			best, ok, version = p, true, p.ConfigurationVersion
		}
	}
	return best, ok
}

// activate makes a configuration the active one if it is newer, and passes it to the scheduler. The source is for the log.
func (w *Watcher) activate(ctx context.Context, cfg cwpolicy.Configuration, source string) {
	if cfg.Version <= w.Current().Version {
		return
	}
	before := w.current.Swap(&cfg)
	if before.Version > cfg.Version { // only possible if another goroutine activates a version after the check above
		w.versionReverts.Add(1)
		w.opts.Log.WithFields(logrus.Fields{"before": before.Version, "after": cfg.Version}).Error("invariant-violated-configuration-reverted")
	}
	w.schedulerOutdated = true
	w.opts.Log.WithFields(logrus.Fields{"version": cfg.Version, "profiles": len(cfg.Profiles), "source": source}).Info("configuration-applied")
	w.applyToScheduler(ctx)
}

// applyToScheduler passes the active configuration to the scheduler unless the scheduler has it. After a failure, the next poll retries it.
func (w *Watcher) applyToScheduler(ctx context.Context) {
	if !w.schedulerOutdated {
		return
	}
	if err := w.opts.ApplyToScheduler(ctx, *w.Current()); err != nil {
		w.opts.Log.WithFields(logrus.Fields{"error": cwfault.MessageOf(err)}).Warn("configuration-apply-failed")
		return
	}
	w.schedulerOutdated = false
}
