// Package cwintent keeps requests that may not be repeated to one run for each idempotency key.
//
// An intent row is committed before such a request is dispatched. Whoever finds a row under its key never
// runs the request, but waits for the first outcome.
package cwintent

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/app/cwtablewriter"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwjob"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
)

// Prefix starts the keys of all intent rows; the team and a digest of the key follow.
const Prefix = "intent/"

// Options set up the intents of one entry host.
type Options struct {
	Timer        *cwtimer.Service
	Log          *logrus.Logger
	Table        cwport.Table
	Objects      cwport.ObjectStore
	Self         cwjob.Coordinator
	WriteTimeout time.Duration // how long a request waits for its intent
	PollEvery    time.Duration // between looks for the first outcome
	CallTimeout  time.Duration // of one call to the table or the object store
	InlineSize   int           // larger answers go to the object store

	// Write hands one entry to the ledger.
	Write func(e cwtablewriter.Write)
	// Go runs work that may block; it fails if there is no room for it.
	Go func(work func()) error
	// IsLive reports whether an entry host is there.
	IsLive func(host cwmodel.HostID) bool
}

// DefaultOptions returns the bounds that suit an entry host.
func DefaultOptions() Options {
	return Options{WriteTimeout: 2 * time.Second, PollEvery: 100 * time.Millisecond, CallTimeout: 2 * time.Second, InlineSize: 4 << 10}
}

// Deduplicator runs keyed requests at most once.
type Deduplicator struct{ opts Options }

// New returns the intents of one entry host.
func New(opts Options) *Deduplicator { return &Deduplicator{opts: opts} }

// Run calls run unless the key of the request was used before; then it returns the first outcome.
func (i *Deduplicator) Run(ctx context.Context, request cwmodel.Request, task cwmodel.Task, run func() cwmodel.Response) cwmodel.Response {
	intent, err := i.intentOf(request, task)
	if err != nil {
		return refusal(task.ID, cwmodel.ReasonStoreUnavailable, err.Error())
	}
	key := keyOf(request)
	verdicts := make(chan cwtablewriter.WriteResult, 2)
	i.opts.Write(i.entryOf(key, 0, intent, i.limit(task), func(verdict cwtablewriter.WriteResult) { verdicts <- verdict }))
	switch <-verdicts {
	case cwtablewriter.Committed:
		answer := run()
		i.conclude(key, intent, answer)
		return answer
	case cwtablewriter.Conflict:
		return i.await(ctx, key, intent, task)
	case cwtablewriter.Unknown:
		i.withdraw(key, intent, verdicts)
	}
	return refusal(task.ID, cwmodel.ReasonStoreUnavailable, "the intent could not be committed")
}

func (i *Deduplicator) limit(task cwmodel.Task) time.Time {
	limit := i.opts.Timer.Now().Add(i.opts.WriteTimeout)
	if !task.Deadline.IsZero() && task.Deadline.Before(limit) {
		return task.Deadline
	}
	return limit
}

// intentOf returns the row of a request that has no outcome yet.
func (i *Deduplicator) intentOf(request cwmodel.Request, task cwmodel.Task) (intent cwcodec.Intent, err error) {
	request.Deadline = 0 // the same request may be tried again with less time left
	document, err := json.Marshal(request)
	if err != nil {
		return intent, err
	}
	sum := sha256.Sum256(document)
	return cwcodec.Intent{
		Digest: hex.EncodeToString(sum[:16]), RequestID: string(task.ID), Host: string(i.opts.Self.Host),
		Incarnation: i.opts.Self.Incarnation, RecordedAt: i.opts.Timer.Now(),
	}, nil
}

func keyOf(request cwmodel.Request) string {
	sum := sha256.Sum256([]byte(request.IdempotencyKey))
	return Prefix + string(request.Team) + "/" + hex.EncodeToString(sum[:16])
}

func (i *Deduplicator) entryOf(key string, version cwport.RowVersion, intent cwcodec.Intent, deadline time.Time, done func(cwtablewriter.WriteResult)) cwtablewriter.Write {
	value, _ := json.Marshal(intent) // a struct of plain fields always encodes
	return cwtablewriter.Write{
		Checks: []cwport.Precondition{{Key: key, Version: version}}, Puts: []cwport.Put{{Key: key, Value: value}}, Deadline: deadline, Done: done,
	}
}

// conclude writes the first outcome; while the table is away it waits in the ledger.
func (i *Deduplicator) conclude(key string, intent cwcodec.Intent, answer cwmodel.Response) {
	intent = intent.WithResponse(answer)
	if len(intent.Payload) <= i.opts.InlineSize {
		i.opts.Write(i.entryOf(key, 1, intent, time.Time{}, i.noted(key)))
		return
	}
	payload := intent.Payload
	intent.Payload, intent.PayloadKey = nil, key+"/"+intent.RequestID
	store := func() {
		ctx, cancel := context.WithTimeout(context.Background(), i.opts.CallTimeout)
		defer cancel()
		if err := i.opts.Objects.Put(ctx, intent.PayloadKey, payload); err != nil {
			i.opts.Log.WithFields(logrus.Fields{"request-id": intent.RequestID, "error": cwfault.MessageOf(err)}).Warn("answer-not-kept")
			intent.PayloadKey, intent.Message = "", "the answer was given once and could not be kept"
		}
		i.opts.Write(i.entryOf(key, 1, intent, time.Time{}, i.noted(key)))
	}
	if i.opts.Go(store) != nil {
		i.opts.Log.WithFields(logrus.Fields{"request-id": intent.RequestID}).Warn("answer-not-kept")
	}
}

func (i *Deduplicator) noted(key string) func(cwtablewriter.WriteResult) {
	return func(verdict cwtablewriter.WriteResult) {
		if verdict != cwtablewriter.Committed {
			i.opts.Log.WithFields(logrus.Fields{"key": key, "verdict": verdict}).Warn("first-outcome-not-written")
		}
	}
}

// withdraw lets an intent that may turn out committed say that nothing was run.
func (i *Deduplicator) withdraw(key string, intent cwcodec.Intent, verdicts <-chan cwtablewriter.WriteResult) {
	go func() {
		if <-verdicts == cwtablewriter.Committed {
			i.conclude(key, intent, refusal(cwmodel.TaskID(intent.RequestID), cwmodel.ReasonStoreUnavailable, "the intent was committed too late"))
		}
	}()
}

// await returns the first outcome under a key, or unknown if it does not come before the deadline.
func (i *Deduplicator) await(ctx context.Context, key string, mine cwcodec.Intent, task cwmodel.Task) cwmodel.Response {
	for {
		first, ok := i.read(ctx, key)
		switch {
		case ok && first.Digest != mine.Digest:
			return refusal(task.ID, cwmodel.ReasonKeyReused, "the idempotency key was used for another request")
		case ok && first.Outcome != "":
			return i.answerOf(ctx, first)
		case ok && !i.isRunning(first):
			return unknown(cwmodel.TaskID(first.RequestID), "the host that ran the first request is gone")
		}
		now := i.opts.Timer.Now()
		if !task.Deadline.IsZero() && !now.Add(i.opts.PollEvery).Before(task.Deadline) {
			return unknown(task.ID, "the first request under this key has no outcome yet")
		}
		if !i.opts.Timer.Sleep(ctx.Done(), i.opts.PollEvery) {
			return unknown(task.ID, "the first request under this key has no outcome yet")
		}
	}
}

func (i *Deduplicator) read(ctx context.Context, key string) (intent cwcodec.Intent, ok bool) {
	callCtx, cancel := context.WithTimeout(ctx, i.opts.CallTimeout)
	defer cancel()
	row, err := i.opts.Table.Read(callCtx, key)
	if err != nil || row.Version == 0 {
		return intent, false
	}
	return intent, json.Unmarshal(row.Value, &intent) == nil
}

func (i *Deduplicator) answerOf(ctx context.Context, first cwcodec.Intent) cwmodel.Response {
	answer, err := first.Response()
	if err == nil && first.PayloadKey != "" {
		callCtx, cancel := context.WithTimeout(ctx, i.opts.CallTimeout)
		defer cancel()
		answer.Payload, err = i.opts.Objects.Get(callCtx, first.PayloadKey)
	}
	if err != nil {
		return unknown(answer.Task, "the first outcome cannot be read: "+cwfault.MessageOf(err))
	}
	return answer
}

// isRunning reports whether the process that wrote an intent may still give its outcome.
func (i *Deduplicator) isRunning(first cwcodec.Intent) bool {
	if host := cwmodel.HostID(first.Host); host != i.opts.Self.Host {
		return i.opts.IsLive(host)
	}
	return first.Incarnation == i.opts.Self.Incarnation
}

func refusal(id cwmodel.TaskID, reason cwmodel.Reason, message string) cwmodel.Response {
	return cwmodel.Response{Task: id, Outcome: cwmodel.OutcomeNotRun, Reason: reason, Message: message}
}

func unknown(id cwmodel.TaskID, message string) cwmodel.Response {
	return cwmodel.Response{Task: id, Outcome: cwmodel.OutcomeUnknown, Message: message}
}

// Expired reports whether an intent is older than keep, and which object belongs to it.
func Expired(now time.Time, value []byte, keep time.Duration) (objects []string, ok bool) {
	var intent cwcodec.Intent
	if json.Unmarshal(value, &intent) != nil || now.Sub(intent.RecordedAt) < keep {
		return nil, false
	}
	if intent.PayloadKey != "" {
		objects = append(objects, intent.PayloadKey)
	}
	return objects, true
}
