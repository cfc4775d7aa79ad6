package cwcellowner

import (
	"fmt"
	"time"

	"currantward/internal/adapter/cwcellcodec"
	"currantward/internal/app/cwtenure"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwlog"
	"currantward/internal/core/cwcell"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
	"currantward/internal/port/cwcellport"
)

// commits is the one write at a time that makes the cell's state durable. What comes up meanwhile makes the next one.
//
// Every write moves the chain row by one version, so that a write of a former owner, or an unanswered one that the store
// carries out late, finds the row changed and does nothing.
type commits struct {
	chain     uint64 // version of the chain row
	number    int
	flying    *flight
	retryAt   time.Time
	written   map[cwmodel.JobID]struct{} // jobs that have a row of progress
	cancelled map[cwmodel.JobID]struct{} // jobs that have a row of cancellation
}

// flight is a write that has not been answered for certain.
type flight struct {
	writes []cwcell.Write
	enrols []cwmodel.HostID // workers that the write makes known to later owners
	tx     cwcellport.Transaction
	mark   string // value of the chain row
	sent   bool
	began  time.Time
}

const (
	// commitTimeout bounds one write; a slow store takes 50 times its 8 ms.
	commitTimeout = 900 * time.Millisecond
	// commitRetry is the pause after a write that failed.
	commitRetry = 150 * time.Millisecond
	// rowsPerEnd is how many rows the end of a job changes.
	rowsPerEnd = 4
)

// commit sends the next write if none is under way.
func (s *session) commit(now time.Time) {
	c := &s.commits
	if c.flying == nil {
		if !s.cell.EnrolmentDue() && !s.cell.WritesDue() {
			return
		}
		c.flying = s.build(now)
	}
	if c.flying.sent || now.Before(c.retryAt) {
		return
	}
	f := c.flying
	f.sent = true
	s.submit("commit", func() {
		version, present, err := s.owner.opts.Store.Commit(f.tx, commitTimeout)
		s.post(func(now time.Time) { s.committed(f, version, present, err, now) })
	})
}

// build makes one transaction of the writes that are due.
func (s *session) build(now time.Time) *flight {
	c := &s.commits
	c.number++
	f := &flight{
		writes: s.cell.NextWrites((cwcellport.MaxTransactionRows - 2) / rowsPerEnd),
		mark:   fmt.Sprintf("%d/%d", s.tenure.Fence, c.number),
		began:  now,
	}
	chain := cwcellport.RowKey{Table: cwtenure.TableCell, Key: cwtenure.KeyChain}
	f.tx.Expected = []cwcellport.Expectation{{RowKey: chain, Version: c.chain}}
	f.tx.Put = []cwcellport.Row{{RowKey: chain, Value: []byte(f.mark)}}
	if s.cell.EnrolmentDue() {
		s.addMembers(f, s.cell.Members())
	}
	for _, w := range f.writes {
		s.addWrite(&f.tx, w)
	}
	return f
}

// addMembers writes which workers may run tasks. A later owner calls them though their entries in the platform's list may
// have lapsed.
func (s *session) addMembers(f *flight, ids []cwmodel.HostID) {
	members := make([]cwcellcodec.Member, 0, len(ids))
	for _, id := range ids {
		if l, ok := s.links[id]; ok {
			members = append(members, cwcellcodec.Member{ID: id, Address: l.entry.Address})
		}
	}
	value, err := cwcellcodec.EncodeMembers(members)
	if err != nil {
		s.owner.opts.Log.WithField("error", err.Error()).Error("members-not-encoded")
		return
	}
	f.enrols = ids
	f.tx.Put = append(f.tx.Put, cwcellport.Row{RowKey: membersKey, Value: value})
}

// membersKey names the row of the workers that may run tasks.
var membersKey = cwcellport.RowKey{Table: cwtenure.TableCell, Key: "members"}

func (s *session) addWrite(tx *cwcellport.Transaction, w cwcell.Write) {
	part := PartOf(w.Job, s.owner.opts.Store.Parts)
	row := func(table string) cwcellport.RowKey {
		return cwcellport.RowKey{Table: table, Part: part, Key: string(w.Job)}
	}
	if w.State != "" {
		value, err := cwcellcodec.EncodeEnding(cwcellcodec.Ending{State: w.State, At: s.wall()})
		if err != nil {
			s.owner.opts.Log.WithFields(cwlog.Fields{"job": w.Job, "error": err.Error()}).Error("ending-not-encoded")
			return
		}
		tx.Put = append(tx.Put, cwcellport.Row{RowKey: row(TableEnded), Value: value})
		if _, ok := s.commits.cancelled[w.Job]; ok {
			mark := row(TableJobs)
			mark.Key += CancelSuffix
			tx.Remove = append(tx.Remove, mark)
		}
		tx.Remove = append(tx.Remove, row(TableJobs))
		if _, ok := s.commits.written[w.Job]; ok {
			tx.Remove = append(tx.Remove, row(TableProgress))
		}
		return
	}
	value, err := cwcellcodec.EncodeProgress(w.Progress)
	if err != nil {
		s.owner.opts.Log.WithFields(cwlog.Fields{"job": w.Job, "error": err.Error()}).Error("progress-not-encoded")
		return
	}
	s.commits.written[w.Job] = struct{}{}
	tx.Put = append(tx.Put, cwcellport.Row{RowKey: row(TableProgress), Value: value})
}

// committed takes the answer of a write.
func (s *session) committed(f *flight, version uint64, present []cwcellport.Row, err error, now time.Time) {
	c := &s.commits
	if cwfault.CodeOf(err) == cwfault.Conflict {
		if len(present) == 0 || string(present[0].Value) != f.mark {
			s.owner.opts.Log.WithFields(cwlog.Fields{"fence": s.tenure.Fence, "mark": f.mark}).Warn("commit-fenced-off")
			c.retryAt, f.sent = now.Add(commitRetry), false
			s.owner.opts.Deposed()
			return
		}
		version, err = present[0].Version, nil // an earlier try was done and its answer lost
	}
	if err != nil {
		s.owner.opts.Log.WithFields(cwlog.Fields{"mark": f.mark, "jobs": len(f.writes), "error": err.Error()}).Warn("commit-failed")
		c.retryAt, f.sent = now.Add(commitRetry), false
		return
	}
	c.chain, c.flying = version, nil
	s.cell.Enrolled(f.enrols)
	for _, w := range s.cell.Committed(f.writes, true, now) {
		s.concluded(w)
	}
	s.owner.opts.Observed(Observation{Event: "commit", Took: now.Sub(f.began)})
}

// concluded tells the callers that wait for the end of a job.
func (s *session) concluded(w cwcell.Write) {
	delete(s.commits.written, w.Job)
	delete(s.commits.cancelled, w.Job)
	s.owner.opts.Log.WithFields(cwlog.Fields{"job": w.Job, "state": w.State, "fence": s.tenure.Fence}).Info("job-ended")
	s.owner.opts.Observed(Observation{Event: "job-" + string(w.State)})
	if w.State == cwwork.StateCancelled || len(s.cancels[w.Job]) > 0 {
		for _, answer := range s.cancels[w.Job] {
			answer()
		}
		delete(s.cancels, w.Job)
	}
}
