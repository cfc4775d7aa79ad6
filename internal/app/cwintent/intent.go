// Package cwintent deduplicates non-repeatable requests: the request of an idempotency key runs at most once.
//
// An intent row is committed before such a request is dispatched. An entry host that finds a row under the
// key never runs the request, but waits for the outcome of the first one.
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

// Prefix is the key prefix of all intent rows; the team and a digest of the idempotency key follow.
const Prefix = "intent/"

// Options configures a Deduplicator.
type Options struct {
	Timer        *cwtimer.Service
	Log          *logrus.Logger
	Table        cwport.Table
	Objects      cwport.ObjectStore
	Self         cwjob.Coordinator
	WriteTimeout time.Duration // how long a request waits for the commit of its intent
	PollEvery    time.Duration // interval between reads while a request waits for the outcome of the first one under its key
	CallTimeout  time.Duration // of one call to the table or the object store
	InlineSize   int           // bytes; larger payloads go to the object store

	// Write passes one write to the table writer.
	Write func(write cwtablewriter.Write)
	// RunOnPool runs work that may block on a goroutine of a pool; it returns an error if the pool is full.
	RunOnPool func(work func()) error
	// IsLive reports whether another entry host is live, so that it may still record an outcome.
	IsLive func(host cwmodel.HostID) bool
}

// DefaultOptions returns the timeouts and limits for an entry host.
func DefaultOptions() Options {
	return Options{WriteTimeout: 2 * time.Second, PollEvery: 100 * time.Millisecond, CallTimeout: 2 * time.Second, InlineSize: 4 << 10}
}

// Deduplicator runs requests with an idempotency key at most once.
type Deduplicator struct{ opts Options }

// New returns the Deduplicator of one entry host.
func New(opts Options) *Deduplicator { return &Deduplicator{opts: opts} }

// Run calls run if the idempotency key of the request is new, and otherwise returns the outcome of the first request.
//
// If the intent is not known to be committed in time, the request is not run, even if the intent is committed later.
func (d *Deduplicator) Run(ctx context.Context, request cwmodel.Request, task cwmodel.Task, run func() cwmodel.Response) cwmodel.Response {
	intent, err := d.newIntent(request, task)
	if err != nil {
		return notRunResponse(task.ID, cwmodel.ReasonStoreUnavailable, err.Error())
	}
	key := keyOf(request)
	results := make(chan cwtablewriter.WriteResult, 2) // Unknown and the final result that follows it
	d.opts.Write(d.intentWrite(key, 0, intent, d.writeDeadline(task), func(result cwtablewriter.WriteResult) { results <- result }))
	switch <-results {
	case cwtablewriter.Committed:
		response := run()
		d.recordOutcome(key, intent, response)
		return response
	case cwtablewriter.Conflict:
		return d.awaitOutcome(ctx, key, intent, task)
	case cwtablewriter.Unknown:
		d.recordNotRunIfCommitted(key, intent, results)
	}
	return notRunResponse(task.ID, cwmodel.ReasonStoreUnavailable, "the intent could not be committed")
}

// writeDeadline returns when a request stops waiting for its intent: after WriteTimeout, and no later than its own deadline.
func (d *Deduplicator) writeDeadline(task cwmodel.Task) time.Time {
	limit := d.opts.Timer.Now().Add(d.opts.WriteTimeout)
	if !task.Deadline.IsZero() && task.Deadline.Before(limit) {
		return task.Deadline
	}
	return limit
}

// newIntent returns the intent of a request, with a hash of the request and this process as its writer, but without an outcome.
func (d *Deduplicator) newIntent(request cwmodel.Request, task cwmodel.Task) (intent cwcodec.Intent, err error) {
	request.Deadline = 0 // a retry of the same request may have less time left
	document, err := json.Marshal(request)
	if err != nil {
		return intent, err
	}
	sum := sha256.Sum256(document)
	return cwcodec.Intent{
		SubmissionHash: hex.EncodeToString(sum[:16]), RequestID: string(task.ID), Host: string(d.opts.Self.Host),
		Incarnation: d.opts.Self.Incarnation, RecordedAt: d.opts.Timer.Now(),
	}, nil
}

// keyOf returns the key of the intent row of a request.
func keyOf(request cwmodel.Request) string {
	sum := sha256.Sum256([]byte(request.IdempotencyKey))
	return Prefix + string(request.Team) + "/" + hex.EncodeToString(sum[:16])
}

// intentWrite returns the write of an intent over the row with the given version; version zero means that there must be no row.
func (d *Deduplicator) intentWrite(key string, version cwport.RowVersion, intent cwcodec.Intent, deadline time.Time, done func(cwtablewriter.WriteResult)) cwtablewriter.Write {
	value, _ := json.Marshal(intent) // encoding a struct of plain fields cannot fail
	return cwtablewriter.Write{
		Checks: []cwport.Precondition{{Key: key, Version: version}}, Puts: []cwport.Put{{Key: key, Value: value}}, Deadline: deadline, Done: done,
	}
}

// recordOutcome adds the outcome to the intent of the first request. It returns at once; the write has no deadline, so it waits in the
// table writer while the table is unavailable.
//
// The write expects version 1 of the row, the one that the intent write created. If a large payload cannot be stored, the outcome is
// recorded without it. If the pool is full, an outcome with a large payload is not recorded at all.
func (d *Deduplicator) recordOutcome(key string, intent cwcodec.Intent, response cwmodel.Response) {
	intent = intent.WithResponse(response)
	if len(intent.Payload) <= d.opts.InlineSize {
		d.opts.Write(d.intentWrite(key, 1, intent, time.Time{}, d.failureLogger(key)))
		return
	}
	payload := intent.Payload
	intent.Payload, intent.PayloadKey = nil, key+"/"+intent.RequestID
	store := func() {
		ctx, cancel := context.WithTimeout(context.Background(), d.opts.CallTimeout)
		defer cancel()
		if err := d.opts.Objects.Put(ctx, intent.PayloadKey, payload); err != nil {
			d.opts.Log.WithFields(logrus.Fields{"request-id": intent.RequestID, "error": cwfault.MessageOf(err)}).Warn("answer-not-kept")
			intent.PayloadKey, intent.Message = "", "the answer was given once and could not be kept"
		}
		d.opts.Write(d.intentWrite(key, 1, intent, time.Time{}, d.failureLogger(key)))
	}
	if d.opts.RunOnPool(store) != nil {
		d.opts.Log.WithFields(logrus.Fields{"request-id": intent.RequestID}).Warn("answer-not-kept")
	}
}

// failureLogger returns the Done function for the write of an outcome; it logs any result but Committed.
func (d *Deduplicator) failureLogger(key string) func(cwtablewriter.WriteResult) {
	return func(result cwtablewriter.WriteResult) {
		if result != cwtablewriter.Committed {
			d.opts.Log.WithFields(logrus.Fields{"key": key, "verdict": result}).Warn("first-outcome-not-written")
		}
	}
}

// recordNotRunIfCommitted waits in the background for the final result of an intent write that was Unknown at its deadline. If the
// intent is committed after all, it records the outcome not run, so that other requests under the key need not wait for one.
func (d *Deduplicator) recordNotRunIfCommitted(key string, intent cwcodec.Intent, results <-chan cwtablewriter.WriteResult) {
	go func() {
		if <-results == cwtablewriter.Committed {
			d.recordOutcome(key, intent, notRunResponse(cwmodel.TaskID(intent.RequestID), cwmodel.ReasonStoreUnavailable, "the intent was committed too late"))
		}
	}()
}

// awaitOutcome polls for the outcome of the first request under a key and returns it.
//
// It returns not run if the key was first used for a different request (by the hash). It returns unknown if the process that ran the first
// request is gone, the deadline passes or the caller cancels ctx. If the process is gone, the response carries the ID of the first request,
// the one that may have run.
func (d *Deduplicator) awaitOutcome(ctx context.Context, key string, own cwcodec.Intent, task cwmodel.Task) cwmodel.Response {
	for {
		first, ok := d.readIntent(ctx, key)
		switch {
		case ok && first.SubmissionHash != own.SubmissionHash:
			return notRunResponse(task.ID, cwmodel.ReasonKeyReused, "the idempotency key was used for another request")
		case ok && first.Outcome != "":
			return d.firstResponse(ctx, first)
		case ok && !d.isProcessAlive(first):
			return unknownResponse(cwmodel.TaskID(first.RequestID), "the host that ran the first request is gone")
		}
		now := d.opts.Timer.Now()
		if !task.Deadline.IsZero() && !now.Add(d.opts.PollEvery).Before(task.Deadline) {
			return unknownResponse(task.ID, "the first request under this key has no outcome yet")
		}
		if !d.opts.Timer.Sleep(ctx.Done(), d.opts.PollEvery) {
			return unknownResponse(task.ID, "the first request under this key has no outcome yet")
		}
	}
}

// readIntent reads an intent. It returns ok false if there is none, and also after an error, which the next poll retries.
func (d *Deduplicator) readIntent(ctx context.Context, key string) (intent cwcodec.Intent, ok bool) {
	callCtx, cancel := context.WithTimeout(ctx, d.opts.CallTimeout)
	defer cancel()
	row, err := d.opts.Table.Read(callCtx, key)
	if err != nil || row.Version == 0 {
		return intent, false
	}
	return intent, json.Unmarshal(row.Value, &intent) == nil
}

// firstResponse returns the response in the recorded outcome of the first request, with its payload from the object store if it is large.
func (d *Deduplicator) firstResponse(ctx context.Context, first cwcodec.Intent) cwmodel.Response {
	response, err := first.Response()
	if err == nil && first.PayloadKey != "" {
		callCtx, cancel := context.WithTimeout(ctx, d.opts.CallTimeout)
		defer cancel()
		response.Payload, err = d.opts.Objects.Get(callCtx, first.PayloadKey)
	}
	if err != nil {
		return unknownResponse(response.Task, "the first outcome cannot be read: "+cwfault.MessageOf(err))
	}
	return response
}

// isProcessAlive reports whether the process that wrote an intent may still run, so that it can record the outcome. If another host wrote
// it, that host must be live; if this host did, it must not have restarted since.
func (d *Deduplicator) isProcessAlive(first cwcodec.Intent) bool {
	if host := cwmodel.HostID(first.Host); host != d.opts.Self.Host {
		return d.opts.IsLive(host)
	}
	return first.Incarnation == d.opts.Self.Incarnation
}

// notRunResponse returns the response for a request that was not run.
func notRunResponse(id cwmodel.TaskID, reason cwmodel.Reason, message string) cwmodel.Response {
	return cwmodel.Response{Task: id, Outcome: cwmodel.OutcomeNotRun, Reason: reason, Message: message}
}

// unknownResponse returns the response for a request of which it is unknown whether it ran.
func unknownResponse(id cwmodel.TaskID, message string) cwmodel.Response {
	return cwmodel.Response{Task: id, Outcome: cwmodel.OutcomeUnknown, Message: message}
}

// Expired decodes the row of an intent, reports whether the intent is at least as old as the retention period, and returns the key of its
// object.
//
// It returns ok false for a row that cannot be decoded.
func Expired(now time.Time, rowValue []byte, retention time.Duration) (objects []string, ok bool) {
	var intent cwcodec.Intent
	if json.Unmarshal(rowValue, &intent) != nil || now.Sub(intent.RecordedAt) < retention {
		return nil, false
	}
	if intent.PayloadKey != "" {
		objects = append(objects, intent.PayloadKey)
	}
	return objects, true
}
