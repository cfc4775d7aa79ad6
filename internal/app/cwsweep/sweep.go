// Package cwsweep garbage-collects expired rows and their objects, one page at a time.
package cwsweep

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"currantward/internal/app/cwtablewriter"
	"currantward/internal/base/cwduty"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwring"
	"currantward/internal/base/cwtimer"
	"currantward/internal/port/cwport"
)

// Rule selects the expired rows under a key prefix.
type Rule struct {
	Prefix string
	// Expired decodes the value of a row, reports whether the row has expired (ok), and returns the keys of the objects to delete with it.
	Expired func(now time.Time, value []byte) (objects []string, ok bool)
}

// Options configures a Sweeper.
type Options struct {
	Timer       *cwtimer.Service
	Log         *logrus.Logger
	Table       cwport.Table
	Objects     cwport.ObjectStore
	Rules       []Rule
	Every       time.Duration // interval between pages
	PageSize    int           // rows read, and at most removed, per page
	CallTimeout time.Duration // for one page with its objects, and for the write that deletes a row

	// Write passes one write to the table writer.
	Write func(write cwtablewriter.Write)
}

// Sweeper is the duty that cycles through the rows of all rules and removes expired ones, one page for each tick.
type Sweeper struct {
	opts      Options
	inbox     *cwring.Ring[time.Time] // each item is a tick; one that finds another one waiting is dropped
	ruleIndex int                     // of the rule whose rows are read next
	afterKey  string                  // the next page starts after this key; empty for the first page
}

// New starts the duty and returns the function that stops it.
func New(opts Options) (stop func()) {
	s := &Sweeper{opts: opts, inbox: cwring.New[time.Time](1)}
	cancel := opts.Timer.Every(opts.Every, func(now time.Time) { s.inbox.Offer(now) })
	stopDuty := cwduty.Start("sweep", s.run)
	return func() {
		cancel()
		stopDuty()
	}
}

// run sweeps one page for each tick until ctx is cancelled.
func (s *Sweeper) run(ctx context.Context) {
	for {
		now, ok := s.inbox.Take(ctx)
		if !ok {
			return
		}
		s.sweepPage(ctx, now)
	}
}

// sweepPage reads one page of the current rule and removes its expired rows; after the last page it switches to the next rule. After a
// failed read, the next tick reads the same page.
func (s *Sweeper) sweepPage(ctx context.Context, now time.Time) {
	rule := s.opts.Rules[s.ruleIndex]
	callCtx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer cancel()
	rows, err := s.opts.Table.Scan(callCtx, rule.Prefix, s.afterKey, s.opts.PageSize)
	if err != nil {
		s.opts.Log.WithFields(logrus.Fields{"prefix": rule.Prefix, "error": cwfault.MessageOf(err)}).Debug("sweep-failed")
		return
	}
	for _, row := range rows {
		s.afterKey = row.Key
		if objects, ok := rule.Expired(now, row.Value); ok {
			s.remove(callCtx, row, objects)
		}
	}
	if len(rows) < s.opts.PageSize {
		s.ruleIndex, s.afterKey = (s.ruleIndex+1)%len(s.opts.Rules), ""
	}
}

// remove deletes the objects of an expired row and then passes the deletion of the row to the table writer, so that no object is left
// without a row that names it.
//
// If an object cannot be deleted, the row stays for the next cycle. The same holds if the row has changed since it was read.
func (s *Sweeper) remove(ctx context.Context, row cwport.Row, objects []string) {
	for _, key := range objects {
		if err := s.opts.Objects.Delete(ctx, key); err != nil && cwfault.CodeOf(err) != cwfault.NotFound {
			return
		}
	}
	s.opts.Write(cwtablewriter.Write{
		Checks: []cwport.Precondition{{Key: row.Key, Version: row.Version}}, Deletes: []string{row.Key},
		Deadline: s.opts.Timer.Now().Add(s.opts.CallTimeout), Done: func(cwtablewriter.WriteResult) {},
	})
}
