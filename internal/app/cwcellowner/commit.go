package cwcellowner

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"currantward/internal/adapter/cwcellcodec"
	"currantward/internal/app/cwlease"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwlog"
	"currantward/internal/core/cwcell"
	"currantward/internal/core/cwlayout"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
	"currantward/internal/port/cwcellport"
)

// commits makes the cell's state durable. A write goes to all parts that are well and not busy; what comes up meanwhile makes
// the next one, which may leave at once if it is well filled. A part that fails is written by itself, so that it holds up no
// other.
type commits struct {
	cell      part // the part of the cell's own rows
	number    int
	shared    int       // writes to all parts that were well and are under way
	sharedAt  time.Time // when the next one may leave
	weighed   int       // jobs that waited when a further write was not worth it
	doubtful  []*flight
	written   map[cwmodel.JobID]struct{} // jobs that have a row of progress
	cancelled map[cwmodel.JobID]struct{} // jobs that have a row of cancellation
}

// flight is one write that is under way, or whose answer was lost.
type flight struct {
	writes []cwcell.JobWrite
	enrols []cwmodel.HostID // workers that the write makes known to later owners
	parts  []*part
	tx     cwcellport.Transaction
	mark   string // value of the chain rows
	shared bool
	began  time.Time
}

const (
	// commitTimeout bounds one write; a slow store takes 50 times its 8 ms.
	commitTimeout = 900 * time.Millisecond
	// shortestCommitPause and longestCommitPause bound the pause of a part after a write that failed.
	shortestCommitPause = 100 * time.Millisecond
	longestCommitPause  = 800 * time.Millisecond
	// aloneFor is how long a part is written by itself after a failure or a slow write.
	aloneFor = 2 * time.Second
	// slowCommit is how long a write to several parts takes once the store is slow. A write to one part takes half of that
	// and holds up no other part.
	slowCommit = 100 * time.Millisecond
	// usualCommit is what a write takes while the store is well.
	usualCommit = 30 * time.Millisecond
	// rowsPerEnd is how many rows the end of a job changes.
	rowsPerEnd = 4
	// mostJobs leaves room for the chain row of each job's part, which is expected and written.
	mostJobs = cwcellport.MaxTransactionRows / (rowsPerEnd + 2)
	// mostShared bounds the writes to several parts that are under way at a time.
	mostShared = 4
	// wellFilled is how many jobs make a write worth it while another one is under way.
	wellFilled = mostJobs / 2
	// commitPause gathers the ends that come up together. A slow store is left alone for as long as the last write took,
	// so that acceptances find room in its parts.
	commitPause = 12 * time.Millisecond
	// mostDoubtful bounds the writes that are remembered because their answers were lost.
	mostDoubtful = 64
)

// commit sends the writes that are due.
func (s *session) commit(now time.Time) {
	if s.cell.MembersDirty() && !s.commits.cell.busy && !now.Before(s.commits.cell.retryAt) {
		s.fly(s.membersFlight(now))
	}
	due := s.cell.PendingWrites()
	sharedDue := s.sharedDue(due, now)
	if due == 0 || (!sharedDue && !s.anyAlone(now)) {
		return
	}
	alone := map[*part]struct{}{}
	together := 0
	s.cell.EachPendingWrite(func(id cwmodel.JobID) {
		switch p := s.partOf(id); {
		case !p.loaded || p.busy || now.Before(p.retryAt):
		case now.Before(p.alone):
			alone[p] = struct{}{}
		default:
			together++
		}
	})
	s.commits.weighed = due
	if sharedDue && (together >= wellFilled || (together > 0 && s.commits.shared == 0)) {
		s.commits.shared++
		s.commits.weighed = 0
		f := s.build(now, func(p *part) bool { return p.loaded && !p.busy && !now.Before(p.retryAt) && !now.Before(p.alone) })
		f.shared = true
		s.fly(f)
	}
	for p := range alone {
		s.fly(s.build(now, func(other *part) bool { return other == p }))
	}
}

// sharedDue reports whether a write to several parts may leave: the first one at once, a further one once enough jobs have
// come up for it.
func (s *session) sharedDue(due int, now time.Time) bool {
	switch {
	case now.Before(s.commits.sharedAt):
		return false
	case s.commits.shared == 0:
		return true
	}
	return s.commits.shared < mostShared && due >= s.commits.weighed+wellFilled
}

// anyAlone reports whether a part is written by itself.
func (s *session) anyAlone(now time.Time) bool {
	for _, p := range s.parts {
		if now.Before(p.alone) {
			return true
		}
	}
	return false
}

// fly sends one write.
func (s *session) fly(f *flight) {
	for _, p := range f.parts {
		p.busy = true
		key := p.chainKey()
		f.tx.Preconditions = append(f.tx.Preconditions, cwcellport.Precondition{RowKey: key, Version: p.chain})
		f.tx.Put = append(f.tx.Put, cwcellport.Row{RowKey: key, Value: []byte(f.mark)})
	}
	sent := s.submit("commit", func() {
		version, present, err := s.owner.opts.Store.Commit(f.tx, commitTimeout)
		s.post(func(now time.Time) { s.committed(f, version, present, err, now) })
	})
	if !sent {
		s.failed(f, cwfault.New(cwfault.Unavailable, "the pool is full"), f.began)
	}
}

func (s *session) newFlight(now time.Time) *flight {
	s.commits.number++
	return &flight{mark: fmt.Sprintf("%d/%d", s.tenure.Fence, s.commits.number), began: now}
}

// build makes one write of what is due in the parts that pass.
func (s *session) build(now time.Time, pass func(*part) bool) *flight {
	f := s.newFlight(now)
	f.writes = s.cell.NextWrites(mostJobs, func(id cwmodel.JobID) bool { return pass(s.partOf(id)) })
	for _, w := range f.writes {
		if p := s.partOf(w.Job); !slices.Contains(f.parts, p) {
			f.parts = append(f.parts, p)
		}
		s.addWrite(&f.tx, w)
	}
	return f
}

// membersFlight writes which workers may run tasks. A later owner calls them though their entries in the platform's list
// may have lapsed.
func (s *session) membersFlight(now time.Time) *flight {
	f := s.newFlight(now)
	f.parts = []*part{&s.commits.cell}
	f.enrols = s.cell.Members()
	var members [memberRows][]cwcellcodec.Member
	for _, id := range f.enrols {
		if l, ok := s.links[id]; ok {
			n := memberRow(id)
			members[n] = append(members[n], cwcellcodec.Member{ID: id, Address: l.entry.Address, Rack: l.entry.Rack})
		}
	}
	for n := range members {
		value, err := cwcellcodec.EncodeMembers(members[n])
		if err != nil {
			s.owner.opts.Log.WithField("error", err.Error()).Error("members-not-encoded")
			return f
		}
		f.tx.Put = append(f.tx.Put, cwcellport.Row{RowKey: s.membersKey(strconv.Itoa(n)), Value: value})
	}
	return f
}

// memberRows is how many rows name the workers of a cell. The store takes 64 KiB a row, some 1,400 workers.
const memberRows = 8

// memberRow returns the row that names a worker.
func memberRow(id cwmodel.HostID) int { return int(cwlayout.Hash(string(id)) % memberRows) }

// membersKey returns the key of one of the rows that name the workers which may run tasks.
func (s *session) membersKey(row string) cwcellport.RowKey {
	return cwcellport.RowKey{Table: cwlease.TableCell, Key: s.owner.opts.Cell.RowName("members") + "." + row}
}

// addWrite adds the rows of one job to a transaction.
func (s *session) addWrite(tx *cwcellport.Transaction, w cwcell.JobWrite) {
	name := s.partOf(w.Job).name
	row := func(table string) cwcellport.RowKey {
		return cwcellport.RowKey{Table: table, Partition: name, Key: string(w.Job)}
	}
	var value []byte
	var err error
	table := TableProgress
	if w.State != "" {
		table = TableEnded
		value, err = cwcellcodec.EncodeFinalState(cwcellcodec.FinalState{State: w.State, At: s.wall()})
		s.removeRows(tx, w.Job, row)
	} else {
		value, err = cwcellcodec.EncodeProgress(w.Progress)
		s.commits.written[w.Job] = struct{}{}
	}
	if err != nil {
		s.owner.opts.Log.WithFields(cwlog.Fields{"job": w.Job, "table": table, "error": err.Error()}).Error("row-not-encoded")
		return
	}
	tx.Put = append(tx.Put, cwcellport.Row{RowKey: row(table), Value: value})
}

// removeRows removes the rows that a job has while it lives.
func (s *session) removeRows(tx *cwcellport.Transaction, id cwmodel.JobID, row func(table string) cwcellport.RowKey) {
	tx.Remove = append(tx.Remove, row(TableJobs))
	if _, ok := s.commits.written[id]; ok {
		tx.Remove = append(tx.Remove, row(TableProgress))
	}
	if _, ok := s.commits.cancelled[id]; ok {
		mark := row(TableJobs)
		mark.Key += CancelSuffix
		tx.Remove = append(tx.Remove, mark)
	}
}

// committed takes the answer of a write.
func (s *session) committed(f *flight, version uint64, present []cwcellport.Row, err error, now time.Time) {
	switch {
	case err == nil:
		s.land(f, version, now)
		s.owner.opts.Observe(Observation{Event: EventCommit, Took: now.Sub(f.began)})
	case cwfault.CodeOf(err) == cwfault.Conflict:
		s.resolve(f, present, now)
	default:
		s.failed(f, err, now)
	}
}

// release lets the parts of a write take the next one.
func (s *session) release(f *flight) {
	if f.shared {
		s.commits.shared--
		s.commits.weighed = 0
	}
	for _, p := range f.parts {
		p.busy = false
	}
}

// land notes that a write was done.
func (s *session) land(f *flight, version uint64, now time.Time) {
	s.release(f)
	pause := max(commitPause, now.Sub(f.began)-usualCommit)
	slow := now.Sub(f.began) > slowCommit
	for _, p := range f.parts {
		p.chain, p.failures, p.retryAt = version, 0, now.Add(pause)
		if slow {
			p.alone = now.Add(aloneFor)
		}
	}
	if f.shared {
		s.commits.sharedAt = now.Add(pause)
	}
	s.cell.MarkMembersDurable(f.enrols)
	for _, w := range s.cell.CompleteWrites(f.writes, true, now) {
		s.concluded(w)
	}
	// Writes with lost answers expected chain rows that have moved: those that were not done never will be.
	s.commits.doubtful = slices.DeleteFunc(s.commits.doubtful, func(d *flight) bool {
		return slices.ContainsFunc(d.parts, func(p *part) bool { return slices.Contains(f.parts, p) })
	})
}

// resolve takes the chain rows that a write found changed: an earlier write with a lost answer was done, or a later owner
// has come.
func (s *session) resolve(f *flight, present []cwcellport.Row, now time.Time) {
	s.release(f)
	s.cell.CompleteWrites(f.writes, false, now)
	known := false
	for _, row := range present {
		p, ok := s.parts[row.Partition]
		if row.Partition == "" {
			p, ok = &s.commits.cell, true
		}
		if !ok || row.Key != p.chainRow || row.Version == p.chain {
			continue
		}
		at := slices.IndexFunc(s.commits.doubtful, func(d *flight) bool { return d.mark == string(row.Value) })
		if at < 0 {
			continue
		}
		known = true
		done := s.commits.doubtful[at]
		s.commits.doubtful = slices.Delete(s.commits.doubtful, at, at+1)
		for _, q := range done.parts {
			q.chain = row.Version
		}
		s.cell.MarkMembersDurable(done.enrols)
		for _, w := range s.cell.CompleteWrites(done.writes, true, now) {
			s.concluded(w)
		}
	}
	if !known {
		s.owner.opts.Log.WithFields(cwlog.Fields{"fence": s.tenure.Fence, "mark": f.mark}).Warn("commit-fenced-off")
		for _, p := range f.parts {
			p.retryAt = now.Add(longestCommitPause)
		}
		s.owner.opts.Superseded()
	}
}

// failed has the jobs of a write that was not done, or whose answer was lost, written again, each part by itself.
func (s *session) failed(f *flight, err error, now time.Time) {
	s.owner.opts.Log.WithFields(cwlog.Fields{
		"mark": f.mark, "jobs": len(f.writes), "parts": len(f.parts), "error": err.Error(),
	}).Warn("commit-failed")
	s.release(f)
	s.cell.CompleteWrites(f.writes, false, now)
	if code := cwfault.CodeOf(err); code != cwfault.Unavailable && code != cwfault.Refused && len(s.commits.doubtful) < mostDoubtful {
		s.commits.doubtful = append(s.commits.doubtful, f)
	}
	for _, p := range f.parts {
		p.alone = now.Add(aloneFor)
		if len(f.parts) == 1 {
			p.retryAt = now.Add(min(shortestCommitPause<<min(p.failures, 3), longestCommitPause))
			p.failures++
		}
	}
}

// concluded tells the callers that wait for the end of a job.
func (s *session) concluded(w cwcell.JobWrite) {
	delete(s.commits.written, w.Job)
	delete(s.commits.cancelled, w.Job)
	s.owner.opts.Log.WithFields(cwlog.Fields{"job": w.Job, "state": w.State, "fence": s.tenure.Fence}).Info("job-ended")
	s.owner.opts.Observe(Observation{Event: EventEnded, Queue: w.Queue, State: w.State, Took: s.wall().Sub(w.Accepted)})
	if w.State == cwwork.StateCancelled || len(s.cancels[w.Job]) > 0 {
		for _, answer := range s.cancels[w.Job] {
			answer()
		}
		delete(s.cancels, w.Job)
	}
}
