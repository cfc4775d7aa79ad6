// Package cwconfigstore reads and changes the configuration in the table for operators. Each change is one transaction.
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

// Limits of one change.
const (
	maxRebases       = 20 // how often an edit is applied to a later version after a conflict
	maxListedChanges = 5  // most changes that a conflict error lists
)

// Options configure a Store.
type Options struct {
	Timer *cwtimer.Service
	Log   *logrus.Logger
	Table cwport.Table

	Timeout    time.Duration // timeout of one change
	RetryPause time.Duration // between two attempts to commit after a lost response

	// OnCommitted receives each configuration that is known to be committed.
	OnCommitted func(cfg cwpolicy.Configuration)
}

// Store reads and changes the configuration in the table.
type Store struct{ opts Options }

// New returns a Store.
func New(opts Options) *Store { return &Store{opts: opts} }

// Configuration returns the configuration in the table; version zero means that there is none.
func (s *Store) Configuration(ctx context.Context) (cfg cwpolicy.Configuration, err error) {
	defer func() { err = eris.Wrap(err, "read configuration") }()
	snap, err := s.readSnapshot(ctx)
	return snap.cfg, err
}

// Change commits one edit, or fails and leaves the configuration unchanged. A dry run returns the result without a commit. A change ID that is
// already among the audit records is not committed again: its version is returned.
//
// With an expected version, the edit applies to that version only. Without one, it is applied again to a later
// version as long as the objects that it replaces are unchanged. After an Indefinite error the change may still
// be accepted: the history shows it, and a retry with the same change ID is safe.
func (s *Store) Change(ctx context.Context, edit cwconfigchange.Edit, opts cwconfigchange.Options) (r cwconfigchange.Result, err error) {
	defer func() { err = eris.Wrap(err, "change configuration") }()
	ctx, cancel := context.WithTimeout(ctx, s.opts.Timeout)
	defer cancel()
	if opts.Change == "" {
		opts.Change = cwconfigchange.ID(rand.Text())
	}
	base, err := s.readSnapshot(ctx)
	if err != nil {
		return r, err
	}
	if record, ok := base.findRecord(opts.Change); ok {
		return cwconfigchange.Result{Version: record.Version, Change: record.Change}, nil
	}
	if opts.Expected != nil && *opts.Expected != base.cfg.Version {
		return r, conflict(base, *opts.Expected)
	}
	return s.commitWithRebase(ctx, edit, opts, base)
}

// commitWithRebase commits the edit on base. After a conflict, it returns success if the change turns out to be committed already. Otherwise it
// tries again on the later version, at most maxRebases times in all, unless the two changes conflict or a version was expected.
func (s *Store) commitWithRebase(ctx context.Context, edit cwconfigchange.Edit, opts cwconfigchange.Options, base snapshot) (r cwconfigchange.Result, err error) {
	first := base.cfg
	for range maxRebases {
		r, err = s.applyEdit(ctx, edit, opts, base)
		if cwfault.CodeOf(err) != cwfault.Conflict {
			return r, err
		}
		latest, err := s.readSnapshot(ctx)
		if err != nil {
			return r, outcomeUnknown(opts.Change, err)
		}
		if record, ok := latest.findRecord(opts.Change); ok {
			return s.publishCommitted(record, base.cfg, latest.cfg), nil
		}
		if opts.Expected != nil || edit.Conflicts(first, latest.cfg) {
			return r, conflict(latest, first.Version)
		}
		base = latest
	}
	return r, conflict(base, first.Version)
}

// applyEdit applies the edit to base and commits the result, or returns it uncommitted for a dry run.
func (s *Store) applyEdit(ctx context.Context, edit cwconfigchange.Edit, opts cwconfigchange.Options, base snapshot) (r cwconfigchange.Result, err error) {
	next, err := edit.Apply(base.cfg)
	if err != nil {
		return r, err
	}
	next.Version = base.cfg.Version + 1
	if err = next.Validate(); err != nil {
		return r, err
	}
	record := cwconfigchange.AuditRecord{Version: next.Version, Change: opts.Change, Actor: opts.Actor, At: s.opts.Timer.Now(), Summary: edit.Summary}
	if opts.DryRun {
		return cwconfigchange.Result{Version: next.Version, Change: opts.Change, DryRun: true, Before: base.cfg, After: next}, nil
	}
	txn, err := base.transaction(next, record)
	if err != nil {
		return r, err
	}
	if err = s.commit(ctx, opts.Change, txn); err != nil {
		return r, err
	}
	return s.publishCommitted(record, base.cfg, next), nil
}

// publishCommitted logs a committed change, calls OnCommitted and returns the result.
func (s *Store) publishCommitted(record cwconfigchange.AuditRecord, before, after cwpolicy.Configuration) cwconfigchange.Result {
	s.opts.Log.WithFields(logrus.Fields{
		"version": record.Version, "change-id": record.Change, "who": record.Actor, "what": record.Summary,
	}).Info("configuration-changed")
	s.opts.OnCommitted(after)
	return cwconfigchange.Result{Version: record.Version, Change: record.Change, Before: before, After: after}
}

// commit commits the transaction and repeats it while its effect is unknown, until ctx ends. The preconditions make this safe: a repetition
// after a success conflicts. Once an attempt may have been committed, Unavailable is retried too, since it says nothing about that attempt.
func (s *Store) commit(ctx context.Context, id cwconfigchange.ID, txn cwport.Txn) (err error) {
	mayBeCommitted := false
	for {
		err = s.opts.Table.Commit(ctx, txn)
		code := cwfault.CodeOf(err)
		mayBeCommitted = mayBeCommitted || code == cwfault.Indefinite
		if code != cwfault.Indefinite && (code != cwfault.Unavailable || !mayBeCommitted) {
			return err
		}
		if !s.opts.Timer.Sleep(ctx.Done(), s.opts.RetryPause) {
			return outcomeUnknown(id, err)
		}
	}
}

// outcomeUnknown returns the Indefinite error of a change that may have been committed.
func outcomeUnknown(id cwconfigchange.ID, err error) error {
	return cwfault.New(cwfault.Indefinite, "the change %s may or may not be accepted, the history tells: %s", id, cwfault.MessageOf(err))
}

// conflict returns the Conflict error of a change made on the expected version. Its message lists up to maxListedChanges changes since then.
func conflict(snap snapshot, expected cwpolicy.Version) error {
	var since []string
	for _, r := range snap.records {
		if r.Version > expected {
			since = append(since, fmt.Sprintf("version %d by %s at %s: %s", r.Version, r.Actor, r.At.UTC().Format(time.RFC3339), r.Summary))
		}
	}
	if omitted := len(since) - maxListedChanges; omitted > 0 {
		since = append([]string{fmt.Sprintf("%d earlier changes", omitted)}, since[omitted:]...)
	}
	if len(since) == 0 {
		since = []string{"no change on record"}
	}
	return cwfault.New(cwfault.Conflict, "the present version is %d, the change was made on %d; since then: %s",
		snap.cfg.Version, expected, strings.Join(since, "; "))
}
