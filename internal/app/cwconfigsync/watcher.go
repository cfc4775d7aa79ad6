// Package cwconfigsync keeps the configuration in force: it polls the table, asks peers in an outage and applies what is newer.
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

// Rows that hosts read.
const (
	KeyConfiguration = "config/current" // the whole configuration
	KeyVersion       = "config/version" // its version, small enough to poll
)

// inboxSize holds a poll and the configurations that this host's own operators committed.
const inboxSize = 64

// Options set up a watcher.
type Options struct {
	Timer       *cwtimer.Service
	Log         *logrus.Logger
	Table       cwport.Table
	DataCentre  cwmodel.DataCentre
	PollEvery   time.Duration
	ReadTimeout time.Duration // of one read of the table or of a peer

	// Apply takes each newer configuration.
	Apply func(ctx context.Context, cfg cwpolicy.Configuration) error
	// LoadReports returns the latest digests of live peers.
	LoadReports func() []cwport.LoadReport
	// ReadPeer returns the configuration that a peer has in force.
	ReadPeer func(ctx context.Context, peer cwport.LoadReport) (cwpolicy.Configuration, error)
}

// event asks for a look at the table, or carries a configuration that is known to be committed.
type event struct{ committed *cwpolicy.Configuration }

// Watcher owns the configuration in force.
type Watcher struct {
	opts       Options
	inbox      *cwring.Ring[event]
	polling    atomic.Bool // a poll waits in the inbox
	hint       atomic.Pointer[cwport.LoadReport]
	present    atomic.Pointer[cwpolicy.Configuration]
	unapplied  bool // the scheduler has not taken the present configuration yet
	failing    bool // the last look at the table failed
	behind     bool // the table was seen to hold an older version than the one in force
	violations atomic.Uint64
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

func newWatcher(opts Options) *Watcher {
	w := &Watcher{opts: opts, inbox: cwring.New[event](inboxSize)}
	w.present.Store(&cwpolicy.Configuration{})
	return w
}

// Poll asks for a look at the table soon.
func (w *Watcher) Poll() {
	if w.polling.CompareAndSwap(false, true) && !w.inbox.Offer(event{}) {
		w.polling.Store(false)
	}
}

// HandleCommitted takes a configuration that is known to be committed; if there is no room the next poll finds it.
func (w *Watcher) HandleCommitted(cfg cwpolicy.Configuration) { w.inbox.Offer(event{committed: &cfg}) }

// HandleLoadReport takes the digest of a peer that may have a newer version in force.
func (w *Watcher) HandleLoadReport(peer cwport.LoadReport) {
	if peer.Configuration > w.Current().Version {
		w.hint.Store(&peer)
		w.Poll()
	}
}

// Current returns the configuration in force; version zero means that there is none yet.
func (w *Watcher) Current() *cwpolicy.Configuration { return w.present.Load() }

// Violations returns how often the version in force decreased; it stays at zero.
func (w *Watcher) Violations() uint64 { return w.violations.Load() }

// InboxLen returns how many events wait in the inbox.
func (w *Watcher) InboxLen() int { return w.inbox.Len() }

// Rejected returns how many events found the inbox full.
func (w *Watcher) Rejected() uint64 { return w.inbox.Rejected() }

func (w *Watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		e, ok := w.inbox.Take(ctx)
		if !ok {
			return
		}
		w.handle(ctx, e)
	}
}

func (w *Watcher) handle(ctx context.Context, e event) {
	if e.committed != nil {
		w.consider(ctx, *e.committed, "operator")
		return
	}
	w.polling.Store(false)
	err := w.refresh(ctx)
	w.noteFailing(err)
	if err != nil {
		w.askPeer(ctx)
	}
	w.apply(ctx)
}

// noteFailing logs the beginning and the end of an outage, and not each poll in it.
func (w *Watcher) noteFailing(err error) {
	switch failing := err != nil; {
	case failing && !w.failing:
		w.opts.Log.WithFields(logrus.Fields{"error": cwfault.MessageOf(err), "version": w.Current().Version}).Warn("configuration-poll-failed")
	case !failing && w.failing:
		w.opts.Log.WithFields(logrus.Fields{"version": w.Current().Version}).Info("configuration-poll-recovered")
	}
	w.failing = err != nil
}

// refresh reads the small row and, if that is newer, the whole configuration.
func (w *Watcher) refresh(ctx context.Context) error {
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
	w.noteBehind(version)
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
	w.consider(ctx, cfg, "table")
	return nil
}

// noteBehind raises an alarm once if the table holds an older version than the one in force.
func (w *Watcher) noteBehind(table cwpolicy.Version) {
	behind := table < w.Current().Version
	if behind && !w.behind {
		w.opts.Log.WithFields(logrus.Fields{"table-version": table, "version": w.Current().Version}).Error("configuration-table-behind")
	}
	w.behind = behind
}

// askPeer reads the newest configuration that a live peer has in force, while the table can't be read.
func (w *Watcher) askPeer(ctx context.Context) {
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
	w.consider(ctx, cfg, string(peer.Host))
}

// newestPeer returns the peer with the newest version above ours; on a tie, one of our own data centre.
func (w *Watcher) newestPeer() (best cwport.LoadReport, ok bool) {
	version := w.Current().Version
	peers := w.opts.LoadReports()
	if hint := w.hint.Swap(nil); hint != nil {
		peers = append(slices.Clip(peers), *hint)
	}
	for _, d := range peers {
		nearer := ok && d.Configuration == version && d.DataCentre == w.opts.DataCentre && best.DataCentre != w.opts.DataCentre
		if d.Configuration > version || nearer {
			best, ok, version = d, true, d.Configuration
		}
	}
	return best, ok
}

// consider puts a configuration in force if it is newer.
func (w *Watcher) consider(ctx context.Context, cfg cwpolicy.Configuration, source string) {
	if cfg.Version <= w.Current().Version {
		return
	}
	before := w.present.Swap(&cfg)
	if before.Version > cfg.Version {
		w.violations.Add(1)
		w.opts.Log.WithFields(logrus.Fields{"before": before.Version, "after": cfg.Version}).Error("invariant-violated-configuration-reverted")
	}
	w.unapplied = true
	w.opts.Log.WithFields(logrus.Fields{"version": cfg.Version, "profiles": len(cfg.Profiles), "source": source}).Info("configuration-applied")
	w.apply(ctx)
}

// apply hands the present configuration to the scheduler; what fails is tried again at the next poll.
func (w *Watcher) apply(ctx context.Context) {
	if !w.unapplied {
		return
	}
	if err := w.opts.Apply(ctx, *w.Current()); err != nil {
		w.opts.Log.WithFields(logrus.Fields{"error": cwfault.MessageOf(err)}).Warn("configuration-apply-failed")
		return
	}
	w.unapplied = false
}
