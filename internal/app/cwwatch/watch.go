// Package cwwatch keeps the configuration in force: it polls the table and applies what is newer.
package cwwatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/base/cwduty"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwring"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwpolicy"
	"currantward/internal/port/cwport"
)

// KeyConfiguration is the row that holds the whole configuration.
const KeyConfiguration = "config/current"

// Options set up a watcher.
type Options struct {
	Timer     *cwtimer.Service
	Log       *logrus.Logger
	Table     cwport.Table
	PollEvery time.Duration

	// Apply takes each newer configuration.
	Apply func(ctx context.Context, cfg cwpolicy.Configuration) error
}

// Watcher owns the configuration in force.
type Watcher struct {
	opts    Options
	inbox   *cwring.Ring[struct{}]
	present atomic.Pointer[cwpolicy.Configuration]
}

// New starts the duty and returns the function that stops it.
func New(opts Options) (w *Watcher, stop func()) {
	w = &Watcher{opts: opts, inbox: cwring.New[struct{}](1)}
	w.present.Store(&cwpolicy.Configuration{})
	w.Poll()
	cancel := opts.Timer.Every(opts.PollEvery, func(time.Time) { w.Poll() })
	stopDuty := cwduty.Start("configuration-watcher", w.run)
	return w, func() {
		cancel()
		stopDuty()
	}
}

// Poll asks for a look at the table soon.
func (w *Watcher) Poll() { w.inbox.Offer(struct{}{}) }

// Present returns the configuration in force; version zero means that there is none yet.
func (w *Watcher) Present() *cwpolicy.Configuration { return w.present.Load() }

func (w *Watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		if _, ok := w.inbox.Take(ctx); !ok {
			return
		}
		if err := w.refresh(ctx); err != nil {
			w.opts.Log.WithFields(logrus.Fields{"error": cwfault.MessageOf(err)}).Warn("configuration-poll-failed")
		}
	}
}

func (w *Watcher) refresh(ctx context.Context) error {
	row, err := w.opts.Table.Read(ctx, KeyConfiguration)
	if err != nil || row.Version == 0 {
		return err
	}
	cfg, err := cwcodec.DecodeConfiguration(row.Value)
	if err != nil {
		return err
	}
	if cfg.Version <= w.Present().Version {
		return nil
	}
	w.present.Store(&cfg)
	w.opts.Log.WithFields(logrus.Fields{"version": cfg.Version, "profiles": len(cfg.Profiles)}).Info("configuration-applied")
	return w.opts.Apply(ctx, cfg)
}
