// Package cwgateway serves the requests of callers to an entry host: it submits, looks up and cancels jobs.
package cwgateway

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"currantward/internal/adapter/cwcellcodec"
	"currantward/internal/app/cwcellowner"
	"currantward/internal/app/cwlease"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwlayout"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
	"currantward/internal/port/cwcellport"
)

// Options configure a gateway.
type Options struct {
	Self  cwcellport.EntryHost
	Store cwcellport.Store
	Peers cwcellport.Peers
	Timer *cwtimer.Service
	Log   *logrus.Logger

	// Owner returns this host's owner duty for the cell of a job, which may be inactive, and its view of the cell's lease.
	Owner func(id cwmodel.JobID) (*cwcellowner.Owner, cwlease.View)
	// RelayPeers returns peers that may reach the store, in order of preference.
	RelayPeers func() []cwcellport.EntryHost
	// RunAsync runs a call on the pool; it returns false, without running it, if the pool is full.
	RunAsync func(call func()) bool
}

// Bounds of the gateway's calls.
const (
	// storeTimeout bounds one read; a slow store takes 50 times its usual 4 ms.
	storeTimeout = 700 * time.Millisecond
	// writeTimeout bounds one write, which the store may queue behind up to a second of other writes.
	writeTimeout = 1400 * time.Millisecond
	// maxWriteTries bounds the attempts to write one job, which are repeated only if the owner has changed.
	maxWriteTries = 3
	// breakerThreshold is the number of consecutive failed writes from which submissions are refused without an attempt, except
	// one in each probePeriod.
	breakerThreshold = 2
	// probePeriod is the time between attempted writes from then on, until one succeeds.
	probePeriod = 250 * time.Millisecond
	// maxNotifyTries bounds the notifications of the owner about an accepted job; the owner's watch finds the job too.
	maxNotifyTries = 2
)

// Gateway serves callers; it is safe for concurrent use.
type Gateway struct {
	opts         Options
	fences       fenceCache
	failedWrites atomic.Int32 // consecutive failed writes
	lastProbeAt  atomic.Int64 // last attempt after breakerThreshold failures, in Unix nanoseconds
}

// New returns a gateway.
func New(opts Options) *Gateway { return &Gateway{opts: opts} }

// writeResult is the outcome of the write of a job's row.
type writeResult struct {
	result     cwcellport.SubmitResult
	submission *cwwork.Submission // as stored; that of an earlier request if the job already existed
	version    uint64             // of the row; 0 if the owner reads the row without a notification, or the job has ended
	fence      fence              // that the row was written under
}

// Submit makes a job durable, through a peer if this host cannot, and notifies the cell's owner. A repeated submission of a job
// is accepted again.
func (g *Gateway) Submit(s *cwwork.Submission) cwcellport.SubmitResult {
	r := g.write(s)
	if r.result != cwcellport.SubmitAccepted && g.relay(s, &r.result) {
		return r.result
	}
	g.notifyOwner(r)
	return r.result
}

// CheckStorable returns an error if the store cannot hold a job or the progress of one of its occurrences.
func (g *Gateway) CheckStorable(s *cwwork.Submission) error {
	limit := g.opts.Store.MaxRowBytes
	if limit == 0 {
		return nil
	}
	value, err := cwcellcodec.EncodeSubmission(s)
	switch {
	case err != nil:
		return err
	case len(value) > limit:
		return cwfault.New(cwfault.Invalid, "the stored form of the job has %d bytes, above the limit of %d", len(value), limit)
	case cwcellcodec.MaxStoredOccurrences(s, limit) < 1:
		return cwfault.New(cwfault.Invalid, "the progress of %d steps with %d tasks does not fit in the limit of %d bytes", len(s.Steps), s.Tasks(), limit)
	}
	return nil
}

// SubmitForPeer makes a job durable for a peer that cannot reach the store. It relays the job to no other peer.
func (g *Gateway) SubmitForPeer(s *cwwork.Submission) cwcellport.SubmitResult {
	r := g.write(s)
	g.notifyOwner(r)
	return r.result
}

// write writes the row of a job, in a new attempt if the owner has changed since its fence was cached. The result is SubmitRefused if
// nothing was written and SubmitUnknown if the row may have been.
func (g *Gateway) write(s *cwwork.Submission) (r writeResult) {
	r.result = cwcellport.SubmitRefused
	if !g.allowWrite() {
		return r
	}
	value, err := cwcellcodec.EncodeSubmission(s)
	if err != nil {
		g.opts.Log.WithFields(cwlog.Fields{"job": s.ID, "error": err.Error()}).Error("job-not-encoded")
		return r
	}
	key := g.rowKey(cwcellowner.TableJobs, s.ID)
	r.submission = s
	for try := range maxWriteTries {
		if r.fence, err = g.fences.get(g.opts.Store, key.Partition); err == nil {
			err = g.tryWrite(key, value, &r)
		}
		g.recordWriteResult(err)
		switch cwfault.CodeOf(err) {
		case "":
			r.result = cwcellport.SubmitAccepted
			return r
		case cwfault.Conflict:
			continue // the owner has changed; its fence is read again
		case cwfault.Indefinite:
			r.result = cwcellport.SubmitUnknown
		}
		g.opts.Log.WithFields(cwlog.Fields{"job": s.ID, "try": try, "error": err.Error()}).Warn("job-not-written")
		return r
	}
	return r
}

// tryWrite writes the row of a job if the fence in r is still current, and sets r.version. It fails with Conflict if the owner has
// changed, and then drops the cached fence. If the job already has a row, active or ended, it succeeds.
func (g *Gateway) tryWrite(key cwcellport.RowKey, value []byte, r *writeResult) error {
	ended := key
	ended.Table = cwcellowner.TableEnded
	version, current, err := g.opts.Store.Commit(cwcellport.Transaction{
		Preconditions: []cwcellport.Precondition{{RowKey: key}, {RowKey: ended}, {RowKey: fenceKey(key.Partition), Version: r.fence.version}},
		Put:           []cwcellport.Row{{RowKey: key, Value: value}},
	}, writeTimeout)
	if cwfault.CodeOf(err) != cwfault.Conflict {
		r.version = version
		return err
	}
	for _, row := range current {
		if row.Table == key.Table || row.Table == ended.Table {
			g.setExisting(r, row, current)
			return nil
		}
	}
	g.fences.invalidate(key.Partition)
	return err
}

// setExisting sets the result for a job that already has a row. The host that wrote the row may not have notified the owner, since it
// notifies only after the store's response. An owner that took over after the row was written has read it.
func (g *Gateway) setExisting(r *writeResult, row cwcellport.Row, current []cwcellport.Row) {
	r.version = 0
	isCurrentFence := slices.ContainsFunc(current, func(other cwcellport.Row) bool {
		return other.RowKey == fenceKey(row.Partition) && other.Version == r.fence.version
	})
	if row.Table != cwcellowner.TableJobs || !isCurrentFence || row.Version < r.fence.version {
		return
	}
	stored, err := cwcellcodec.DecodeSubmission(cwmodel.JobID(row.Key), row.Value)
	if err != nil {
		g.opts.Log.WithFields(cwlog.Fields{"job": row.Key, "version": row.Version, "error": err.Error()}).Error("row-unreadable")
		return
	}
	r.submission, r.version = stored, row.Version
}

// allowWrite reports whether a write may be attempted: always after fewer than breakerThreshold consecutive failures, otherwise
// once in probePeriod. The true result counts as that attempt.
func (g *Gateway) allowWrite() bool {
	if g.failedWrites.Load() < breakerThreshold {
		return true
	}
	now, last := g.opts.Timer.Now().UnixNano(), g.lastProbeAt.Load()
	return time.Duration(now-last) >= probePeriod && g.lastProbeAt.CompareAndSwap(last, now)
}

// recordWriteResult counts consecutive failed writes. Success resets the count, and so does a conflict, which is a response of a
// store that works.
func (g *Gateway) recordWriteResult(err error) {
	if err == nil || cwfault.CodeOf(err) == cwfault.Conflict {
		g.failedWrites.Store(0)
		return
	}
	g.failedWrites.Add(1)
}

// relay sends a submission to one peer after another until one has stored it or may have stored it. It then sets result and returns
// true. If every peer refuses, or there is none, it returns false and leaves result unchanged.
func (g *Gateway) relay(s *cwwork.Submission, result *cwcellport.SubmitResult) bool {
	for _, peer := range g.opts.RelayPeers() {
		verdict, err := g.opts.Peers.StoreSubmission(peer.Address, s)
		fields := cwlog.Fields{"job": s.ID, "through": peer.ID, "verdict": verdict}
		if err != nil {
			fields["error"] = err.Error()
		}
		g.opts.Log.WithFields(fields).Info("job-relayed")
		switch verdict {
		case cwcellport.SubmitAccepted:
			*result = verdict
			return true
		case cwcellport.SubmitUnknown:
			*result = verdict
			return true
		case cwcellport.SubmitRefused:
		}
	}
	return false
}

// notifyOwner notifies the owner of an accepted job asynchronously, so that the caller does not wait.
func (g *Gateway) notifyOwner(r writeResult) {
	if r.result != cwcellport.SubmitAccepted || r.version == 0 {
		return
	}
	if !g.opts.RunAsync(func() { g.notifyWithRetry(r) }) {
		g.opts.Log.WithField("job", r.submission.ID).Warn("job-not-offered")
	}
}

// notifyWithRetry notifies the owner under whose fence the job was accepted, which may be this host, up to maxNotifyTries times. An
// owner that has been replaced needs no notification.
func (g *Gateway) notifyWithRetry(r writeResult) {
	var err error
	s := r.submission
	for range maxNotifyTries {
		if r.fence.owner.ID == g.opts.Self.ID {
			owner, _ := g.opts.Owner(s.ID)
			err = owner.NotifyJob(s, r.version, r.fence.token)
		} else {
			err = g.opts.Peers.NotifyJob(r.fence.owner.Address, s, r.version, r.fence.token)
		}
		if err == nil || cwfault.CodeOf(err) == cwfault.NotSupported {
			return // a later owner reads the job from the store
		}
	}
	g.opts.Log.WithFields(cwlog.Fields{"job": s.ID, "error": err.Error()}).Warn("job-not-offered")
}

// rowKey returns the key of the row of a job in a table.
func (g *Gateway) rowKey(table string, id cwmodel.JobID) cwcellport.RowKey {
	return cwcellport.RowKey{Table: table, Partition: cwlayout.PartitionName(cwlayout.PartitionOf(id, g.opts.Store.Partitions)), Key: string(id)}
}

// State returns the state of a job from the cell's owner, or from the store if the owner does not know the job or does not
// respond. It fails with NotFound only if the store has no row of the job.
func (g *Gateway) State(id cwmodel.JobID) (state cwwork.JobState, err error) {
	owner, view := g.opts.Owner(id)
	known := false
	switch {
	case view.IsOwner:
		state, known, err = owner.Lookup(id)
	case view.OwnerKnown:
		state, known, err = g.opts.Peers.Lookup(view.Owner.Address, id)
	}
	if err == nil && known {
		return state, nil
	}
	return g.storedState(id)
}

// storedState returns the state of a job from its rows; an active job counts as queued. A job that ends moves from the table of
// active jobs to that of ended jobs, so the former is read first.
func (g *Gateway) storedState(id cwmodel.JobID) (cwwork.JobState, error) {
	active, err := g.readRow(cwcellowner.TableJobs, id)
	if err != nil {
		return "", err
	}
	if active != nil {
		return cwwork.StateQueued, nil
	}
	row, err := g.readRow(cwcellowner.TableEnded, id)
	if err != nil {
		return "", err
	}
	if row == nil {
		return "", cwfault.New(cwfault.NotFound, "there is no job %s", id)
	}
	final, err := cwcellcodec.DecodeFinalState(row.Value)
	return final.State, err
}

// readRow returns the row of a job in a table, or nil if there is none.
func (g *Gateway) readRow(table string, id cwmodel.JobID) (row *cwcellport.Row, err error) {
	key := g.rowKey(table, id)
	rows, _, err := g.opts.Store.Read(table, key.Partition, key.Key, key.Key+"\x00", storeTimeout)
	if err != nil || len(rows) == 0 {
		return nil, err
	}
	return &rows[0], nil
}

// Cancel cancels a job durably, through the cell's owner or else by a row in the store. It fails with NotFound only if the
// store has no row of the job.
func (g *Gateway) Cancel(id cwmodel.JobID) (err error) {
	owner, view := g.opts.Owner(id)
	known := false
	switch {
	case view.IsOwner:
		known, err = owner.Cancel(id)
	case view.OwnerKnown:
		known, err = g.opts.Peers.Cancel(view.Owner.Address, id)
	}
	if err == nil && known {
		return nil
	}
	return g.writeCancellation(id)
}

// writeCancellation writes the row that cancels an active job, which the owner's watch finds. It writes nothing for a job that has
// ended, and fails with NotFound if there is no such job.
func (g *Gateway) writeCancellation(id cwmodel.JobID) error {
	active, err := g.readRow(cwcellowner.TableJobs, id)
	if err != nil {
		return err
	}
	if active == nil {
		_, err = g.storedState(id)
		return err
	}
	cancellation := active.RowKey
	cancellation.Key += cwcellowner.CancelSuffix
	_, _, err = g.opts.Store.Commit(cwcellport.Transaction{
		Preconditions: []cwcellport.Precondition{{RowKey: active.RowKey, Version: active.Version}},
		Put:           []cwcellport.Row{{RowKey: cancellation, Value: []byte("{}")}},
	}, storeTimeout)
	if cwfault.CodeOf(err) == cwfault.Conflict {
		_, err = g.storedState(id) // the job has ended since the read
	}
	return err
}
