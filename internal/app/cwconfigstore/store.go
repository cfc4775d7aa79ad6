// Package cwconfigstore carries out what operators ask: changes of the configuration, each one transaction.
package cwconfigstore

import (
	"context"
	"crypto/rand"
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwconfigchange"
	"currantward/internal/core/cwpolicy"
	"currantward/internal/port/cwport"
)

// Bounds of one change.
const (
	maxRebases   = 20 // how often an edit is made anew on a later version
	namedRecords = 5  // how many records a conflict error names
)

// Options set up an operator.
type Options struct {
	Timer *cwtimer.Service
	Log   *logrus.Logger
	Table cwport.Table

	Timeout    time.Duration // of one change
	RetryPause time.Duration // between two tries of a commit whose answer was lost

	// OnCommitted takes each configuration that this operator knows to be committed.
	OnCommitted func(cfg cwpolicy.Configuration)
}

// Store changes the configuration in the table.
type Store struct{ opts Options }

// New returns an operator.
func New(opts Options) *Store { return &Store{opts: opts} }

// Configuration returns the configuration in the table.
func (o *Store) Configuration(ctx context.Context) (cfg cwpolicy.Configuration, err error) {
	defer func() { err = eris.Wrap(err, "read configuration") }()
	s, err := o.read(ctx)
	return s.cfg, err
}

// Change commits one edit, or fails and leaves the configuration as it was.
//
// With an expected version the edit is made on that version alone. Without one it is made anew on a later
// version as long as what it replaces has stayed the same. An Indefinite error means that the change may
// still be accepted; the history tells, and a repetition with the same change ID is safe.
func (o *Store) Change(ctx context.Context, edit cwconfigchange.Edit, terms cwconfigchange.Options) (a cwconfigchange.Result, err error) {
	defer func() { err = eris.Wrap(err, "change configuration") }()
	ctx, cancel := context.WithTimeout(ctx, o.opts.Timeout)
	defer cancel()
	if terms.Change == "" {
		terms.Change = cwconfigchange.ID(rand.Text())
	}
	base, err := o.read(ctx)
	if err != nil {
		return a, err
	}
	if record, ok := base.find(terms.Change); ok {
		return cwconfigchange.Result{Version: record.Version, Change: record.Change}, nil
	}
	if terms.Expected != nil && *terms.Expected != base.cfg.Version {
		return a, conflict(base, *terms.Expected)
	}
	return o.rebase(ctx, edit, terms, base)
}

// rebase makes the edit on base, and on later versions while it collides with nothing.
func (o *Store) rebase(ctx context.Context, edit cwconfigchange.Edit, terms cwconfigchange.Options, base snapshot) (a cwconfigchange.Result, err error) {
	first := base.cfg
	for range maxRebases {
		a, err = o.attempt(ctx, edit, terms, base)
		if cwfault.CodeOf(err) != cwfault.Conflict {
			return a, err
		}
		fresh, err := o.read(ctx)
		if err != nil {
			return a, undecided(terms.Change, err)
		}
		if record, ok := fresh.find(terms.Change); ok {
			return o.accept(record, base.cfg, fresh.cfg), nil
		}
		if terms.Expected != nil || edit.Conflicts(first, fresh.cfg) {
			return a, conflict(fresh, first.Version)
		}
		base = fresh
	}
	return a, conflict(base, first.Version)
}

// attempt makes the edit on base and commits it.
func (o *Store) attempt(ctx context.Context, edit cwconfigchange.Edit, terms cwconfigchange.Options, base snapshot) (a cwconfigchange.Result, err error) {
	next, err := edit.Apply(base.cfg)
	if err != nil {
		return a, err
	}
	next.Version = base.cfg.Version + 1
	if err = next.Validate(); err != nil {
		return a, err
	}
	record := cwconfigchange.AuditRecord{Version: next.Version, Change: terms.Change, Actor: terms.Actor, At: o.opts.Timer.Now(), Summary: edit.Summary}
	if terms.DryRun {
		return cwconfigchange.Result{Version: next.Version, Change: terms.Change, DryRun: true, Before: base.cfg, After: next}, nil
	}
	txn, err := base.transaction(next, record)
	if err != nil {
		return a, err
	}
	if err = o.commit(ctx, terms.Change, txn); err != nil {
		return a, err
	}
	return o.accept(record, base.cfg, next), nil
}

// accept hands a committed configuration on.
func (o *Store) accept(record cwconfigchange.AuditRecord, before, after cwpolicy.Configuration) cwconfigchange.Result {
	o.opts.Log.WithFields(logrus.Fields{
		"version": record.Version, "change-id": record.Change, "who": record.Actor, "what": record.Summary,
	}).Info("configuration-changed")
	o.opts.OnCommitted(after)
	return cwconfigchange.Result{Version: record.Version, Change: record.Change, Before: before, After: after}
}

// commit repeats the transaction while its effect is not known; its checks make that harmless.
func (o *Store) commit(ctx context.Context, id cwconfigchange.ID, txn cwport.Txn) (err error) {
	doubtful := false
	for {
		err = o.opts.Table.Commit(ctx, txn)
		code := cwfault.CodeOf(err)
		doubtful = doubtful || code == cwfault.Indefinite
		if code != cwfault.Indefinite && (code != cwfault.Unavailable || !doubtful) {
			return err
		}
		if !o.opts.Timer.Sleep(ctx.Done(), o.opts.RetryPause) {
			return undecided(id, err)
		}
	}
}

func undecided(id cwconfigchange.ID, err error) error {
	return cwfault.New(cwfault.Indefinite, "the change %s may or may not be accepted, the history tells: %s", id, cwfault.MessageOf(err))
}

// conflict names the changes that were accepted after the version that the operator saw.
func conflict(s snapshot, expected cwpolicy.Version) error {
	var since []string
	for _, r := range s.records {
		if r.Version > expected {
			since = append(since, fmt.Sprintf("version %d by %s at %s: %s", r.Version, r.Actor, r.At.UTC().Format(time.RFC3339), r.Summary))
		}
	}
	if omitted := len(since) - namedRecords; omitted > 0 {
		since = append([]string{fmt.Sprintf("%d earlier changes", omitted)}, since[omitted:]...)
	}
	if len(since) == 0 {
		since = []string{"no change on record"}
	}
	return cwfault.New(cwfault.Conflict, "the present version is %d, the change was made on %d; since then: %s",
		s.cfg.Version, expected, strings.Join(since, "; "))
}
