// Package cwsweep removes rows that have expired, a few at a time.
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

// Rule says which rows under a prefix have expired.
type Rule struct {
	Prefix string
	// Expired reports whether a row has expired and which objects belong to it.
	Expired func(now time.Time, value []byte) (objects []string, ok bool)
}

// Options set up a sweep.
type Options struct {
	Timer       *cwtimer.Service
	Log         *logrus.Logger
	Table       cwport.Table
	Objects     cwport.ObjectStore
	Rules       []Rule
	Every       time.Duration // between two pages
	PageSize    int           // rows read, and at most removed, at a time
	CallTimeout time.Duration

	// Write hands one entry to the ledger.
	Write func(e cwtablewriter.Write)
}

// Sweeper goes round the rows of all rules, one page at a time.
type Sweeper struct {
	opts  Options
	inbox *cwring.Ring[time.Time]
	rule  int
	after string
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

func (s *Sweeper) run(ctx context.Context) {
	for {
		now, ok := s.inbox.Take(ctx)
		if !ok {
			return
		}
		s.sweep(ctx, now)
	}
}

// sweep looks at one page and removes what has expired there.
func (s *Sweeper) sweep(ctx context.Context, now time.Time) {
	rule := s.opts.Rules[s.rule]
	callCtx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer cancel()
	rows, err := s.opts.Table.Scan(callCtx, rule.Prefix, s.after, s.opts.PageSize)
	if err != nil {
		s.opts.Log.WithFields(logrus.Fields{"prefix": rule.Prefix, "error": cwfault.MessageOf(err)}).Debug("sweep-failed")
		return
	}
	for _, row := range rows {
		s.after = row.Key
		if objects, ok := rule.Expired(now, row.Value); ok {
			s.remove(callCtx, row, objects)
		}
	}
	if len(rows) < s.opts.PageSize {
		s.rule, s.after = (s.rule+1)%len(s.opts.Rules), ""
	}
}

// remove deletes the objects first, so that no row that names them is left behind without them unnoticed.
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
