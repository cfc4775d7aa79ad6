// Package cwgateway carries out what callers ask of an entry host: submit, look up and cancel jobs.
package cwgateway

import (
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

	// Owner returns this host's owner of the cell that decides about a job, and what the host believes about its lease.
	Owner func(id cwmodel.JobID) (*cwcellowner.Owner, cwlease.View)
	// RelayPeers returns peers that reach the store, the nearest first.
	RelayPeers func() []cwcellport.EntryHost
	// RunAsync runs a call on the pool; it reports false if the pool is full.
	RunAsync func(call func()) bool
}

// Bounds of the gateway's calls to the store.
const (
	// storeTimeout bounds one read; a slow store takes 50 times its 4 ms.
	storeTimeout = 700 * time.Millisecond
	// writeTimeout bounds one write, for which the store may let up to a second of others go first.
	writeTimeout = 1400 * time.Millisecond
	// storeTries is how often a write is tried where the owner has changed meanwhile.
	storeTries = 3
	// brokenAfter is how many calls in a row must fail before submissions are refused without a try.
	brokenAfter = 2
	// probePeriod is how often a submission is tried all the same.
	probePeriod = 250 * time.Millisecond
	// offerTries is how often the owner is told of an accepted job; the owner's feed finds it too.
	offerTries = 2
)

// Gateway serves callers; it is safe for concurrent use.
type Gateway struct {
	opts    Options
	fences  fences
	failing atomic.Int32 // writes in a row that the store did not answer
	probed  atomic.Int64 // time of the last try while failing
}

// New returns a gateway.
func New(opts Options) *Gateway { return &Gateway{opts: opts} }

// receipt is what is known of a write of a job.
type receipt struct {
	verdict cwcellport.SubmitResult
	version uint64 // of the row; 0 if the job was there before
	fence   fence
}

// Submit makes a job durable and tells the owner of it.
func (g *Gateway) Submit(s *cwwork.Submission) cwcellport.SubmitResult {
	r := g.write(s)
	if r.verdict != cwcellport.SubmitAccepted && g.relay(s, &r.verdict) {
		return r.verdict
	}
	g.announce(s, r)
	return r.verdict
}

// SubmitForPeer makes a job durable for a peer that the store refuses.
func (g *Gateway) SubmitForPeer(s *cwwork.Submission) cwcellport.SubmitResult {
	r := g.write(s)
	g.announce(s, r)
	return r.verdict
}

// write commits the row of a job.
func (g *Gateway) write(s *cwwork.Submission) (r receipt) {
	r.verdict = cwcellport.SubmitRefused
	if !g.mayTry() {
		return r
	}
	value, err := cwcellcodec.EncodeSubmission(s)
	if err != nil {
		g.opts.Log.WithFields(cwlog.Fields{"job": s.ID, "error": err.Error()}).Error("job-not-encoded")
		return r
	}
	key := g.row(cwcellowner.TableJobs, s.ID)
	for try := range storeTries {
		if r.fence, err = g.fences.get(g.opts.Store, key.Partition); err == nil {
			err = g.tryWrite(key, value, &r)
		}
		g.count(err)
		switch cwfault.CodeOf(err) {
		case "":
			r.verdict = cwcellport.SubmitAccepted
			return r
		case cwfault.Conflict:
			continue // the owner has changed; its fence is known now
		case cwfault.Indefinite:
			r.verdict = cwcellport.SubmitUnknown
		}
		g.opts.Log.WithFields(cwlog.Fields{"job": s.ID, "try": try, "error": err.Error()}).Warn("job-not-written")
		return r
	}
	return r
}

// tryWrite commits the row of a job under the present owner. Conflict says that the owner has changed; a row of the job
// itself says that the job is there.
func (g *Gateway) tryWrite(key cwcellport.RowKey, value []byte, r *receipt) error {
	ended := key
	ended.Table = cwcellowner.TableEnded
	version, present, err := g.opts.Store.Commit(cwcellport.Transaction{
		Preconditions: []cwcellport.Precondition{{RowKey: key}, {RowKey: ended}, {RowKey: fenceKey(key.Partition), Version: r.fence.version}},
		Put:           []cwcellport.Row{{RowKey: key, Value: value}},
	}, writeTimeout)
	if cwfault.CodeOf(err) != cwfault.Conflict {
		r.version = version
		return err
	}
	for _, row := range present {
		if row.Table == key.Table || row.Table == ended.Table {
			r.version = 0
			return nil
		}
	}
	g.fences.drop(key.Partition)
	return err
}

// mayTry reports whether a write to the store is worth a try.
func (g *Gateway) mayTry() bool {
	if g.failing.Load() < brokenAfter {
		return true
	}
	now, last := g.opts.Timer.Now().UnixNano(), g.probed.Load()
	return time.Duration(now-last) >= probePeriod && g.probed.CompareAndSwap(last, now)
}

func (g *Gateway) count(err error) {
	if err == nil || cwfault.CodeOf(err) == cwfault.Conflict {
		g.failing.Store(0)
		return
	}
	g.failing.Add(1)
}

// relay hands a submission to a peer that reaches the store and reports whether that settled it.
func (g *Gateway) relay(s *cwwork.Submission, verdict *cwcellport.SubmitResult) bool {
	for _, peer := range g.opts.RelayPeers() {
		v, err := g.opts.Peers.StoreSubmission(peer.Address, s)
		fields := cwlog.Fields{"job": s.ID, "through": peer.ID, "verdict": v}
		if err != nil {
			fields["error"] = err.Error()
		}
		g.opts.Log.WithFields(fields).Info("job-relayed")
		switch v {
		case cwcellport.SubmitAccepted:
			*verdict = v
			return true
		case cwcellport.SubmitUnknown:
			*verdict = v
			return true
		case cwcellport.SubmitRefused:
		}
	}
	return false
}

// announce tells the owner of an accepted job without making the caller wait.
func (g *Gateway) announce(s *cwwork.Submission, r receipt) {
	if r.verdict != cwcellport.SubmitAccepted || r.version == 0 {
		return
	}
	if !g.opts.RunAsync(func() { g.offer(s, r) }) {
		g.opts.Log.WithField("job", s.ID).Warn("job-not-offered")
	}
}

// offer tells the owner under which the job was accepted.
func (g *Gateway) offer(s *cwwork.Submission, r receipt) {
	var err error
	for range offerTries {
		if r.fence.owner.ID == g.opts.Self.ID {
			owner, _ := g.opts.Owner(s.ID)
			err = owner.NotifyJob(s, r.version, r.fence.number)
		} else {
			err = g.opts.Peers.NotifyJob(r.fence.owner.Address, s, r.version, r.fence.number)
		}
		if err == nil || cwfault.CodeOf(err) == cwfault.NotSupported {
			return // a later owner reads the job from the store
		}
	}
	g.opts.Log.WithFields(cwlog.Fields{"job": s.ID, "error": err.Error()}).Warn("job-not-offered")
}

func (g *Gateway) row(table string, id cwmodel.JobID) cwcellport.RowKey {
	return cwcellport.RowKey{Table: table, Partition: cwlayout.PartitionName(cwlayout.PartitionOf(id, g.opts.Store.Partitions)), Key: string(id)}
}

// State returns the state of a job; NotFound only on the store's word.
func (g *Gateway) State(id cwmodel.JobID) (state cwwork.JobState, err error) {
	owner, view := g.opts.Owner(id)
	known := false
	switch {
	case view.IsOwner:
		state, known, err = owner.Lookup(id)
	case view.Known:
		state, known, err = g.opts.Peers.Lookup(view.Owner.Address, id)
	}
	if err == nil && known {
		return state, nil
	}
	return g.stored(id)
}

// stored returns the state of a job as the store knows it. A job moves from one table to the other, so the live one is
// read first.
func (g *Gateway) stored(id cwmodel.JobID) (cwwork.JobState, error) {
	live, err := g.read(cwcellowner.TableJobs, id)
	if err != nil {
		return "", err
	}
	if live != nil {
		return cwwork.StateQueued, nil
	}
	row, err := g.read(cwcellowner.TableEnded, id)
	if err != nil {
		return "", err
	}
	if row == nil {
		return "", cwfault.New(cwfault.NotFound, "there is no job %s", id)
	}
	ending, err := cwcellcodec.DecodeFinalState(row.Value)
	return ending.State, err
}

// read returns the row of a job, nil if there is none.
func (g *Gateway) read(table string, id cwmodel.JobID) (row *cwcellport.Row, err error) {
	key := g.row(table, id)
	rows, _, err := g.opts.Store.Read(table, key.Partition, key.Key, key.Key+"\x00", storeTimeout)
	if err != nil || len(rows) == 0 {
		return nil, err
	}
	return &rows[0], nil
}

// Cancel ends a job durably; NotFound only on the store's word.
func (g *Gateway) Cancel(id cwmodel.JobID) (err error) {
	owner, view := g.opts.Owner(id)
	known := false
	switch {
	case view.IsOwner:
		known, err = owner.Cancel(id)
	case view.Known:
		known, err = g.opts.Peers.Cancel(view.Owner.Address, id)
	}
	if err == nil && known {
		return nil
	}
	return g.markCancelled(id)
}

// markCancelled writes the wish to cancel where the owner finds it.
func (g *Gateway) markCancelled(id cwmodel.JobID) error {
	live, err := g.read(cwcellowner.TableJobs, id)
	if err != nil {
		return err
	}
	if live == nil {
		_, err = g.stored(id)
		return err
	}
	mark := live.RowKey
	mark.Key += cwcellowner.CancelSuffix
	_, _, err = g.opts.Store.Commit(cwcellport.Transaction{
		Preconditions: []cwcellport.Precondition{{RowKey: live.RowKey, Version: live.Version}},
		Put:           []cwcellport.Row{{RowKey: mark, Value: []byte("{}")}},
	}, storeTimeout)
	if cwfault.CodeOf(err) == cwfault.Conflict {
		_, err = g.stored(id) // it has ended meanwhile
	}
	return err
}
