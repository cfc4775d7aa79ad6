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

// commitState tracks the transactions that make the cell's state durable. A transaction covers all healthy partitions without
// one in flight; changes that arrive meanwhile form the next one, which is sent at once if it holds a full batch. A partition
// that fails is committed separately, so that it does not delay the others.
type commitState struct {
	cellPartition    partition // holds the cell's own rows
	number           int
	multiInFlight    int       // multi-partition transactions in flight
	nextMultiAt      time.Time // earliest start of the next multi-partition transaction
	lastPending      int       // pending jobs when the last further transaction was deferred
	indefinite       []*inflightCommit
	withProgress     map[cwmodel.JobID]struct{} // jobs with a progress row
	withCancellation map[cwmodel.JobID]struct{} // jobs with a cancellation row
}

// inflightCommit is one transaction without a response, or whose outcome is unknown.
type inflightCommit struct {
	writes         []cwcell.JobWrite
	members        []cwmodel.HostID // workers that the transaction records for later owners
	partitions     []*partition
	tx             cwcellport.Transaction
	token          string // value of the chain rows, unique to the transaction
	multiPartition bool
	startedAt      time.Time
}

const (
	// commitTimeout bounds one transaction; a slow store takes 50 times its usual 8 ms.
	commitTimeout = 900 * time.Millisecond
	// minCommitBackoff and maxCommitBackoff bound the backoff of a partition after a failed transaction.
	minCommitBackoff = 100 * time.Millisecond
	maxCommitBackoff = 800 * time.Millisecond
	// separateDuration is how long a partition is committed separately after a failed or slow transaction.
	separateDuration = 2 * time.Second
	// slowCommitTime is the duration of a multi-partition transaction from which the store counts as slow. A transaction on one
	// partition then takes half of that and delays no other partition.
	slowCommitTime = 100 * time.Millisecond
	// normalCommitTime is the duration of a transaction while the store is healthy.
	normalCommitTime = 30 * time.Millisecond
	// rowsPerEndedJob is the number of rows that the end of a job changes.
	rowsPerEndedJob = 4
	// maxCommitJobs leaves space for the chain row of each job's partition, which is a precondition and a write.
	maxCommitJobs = cwcellport.MaxTransactionRows / (rowsPerEndedJob + 2)
	// maxMultiCommits bounds the concurrent multi-partition transactions.
	maxMultiCommits = 4
	// fullBatchJobs is the number of jobs that justifies a transaction while another one is in flight.
	fullBatchJobs = maxCommitJobs / 2
	// commitPause batches jobs that end at about the same time. A slow store gets a pause as long as the last transaction,
	// so that job submissions can use its partitions.
	commitPause = 12 * time.Millisecond
	// maxIndefiniteCommits bounds the transactions with unknown outcome that are kept.
	maxIndefiniteCommits = 64
)

// commit sends the pending writes.
func (s *session) commit(now time.Time) {
	if s.cell.MembersDirty() && !s.commits.cellPartition.writing && !now.Before(s.commits.cellPartition.retryAt) {
		s.sendCommit(s.buildMembersCommit(now))
	}
	pending := s.cell.PendingWrites()
	multiDue := s.multiPartitionDue(pending, now)
	if pending == 0 || (!multiDue && !s.anySeparate(now)) {
		return
	}
	separate := map[*partition]struct{}{}
	joint := 0
	s.cell.EachPendingWrite(func(id cwmodel.JobID) {
		switch p := s.partitionOf(id); {
		case !p.loaded || p.writing || now.Before(p.retryAt):
		case now.Before(p.separateUntil):
			separate[p] = struct{}{}
		default:
			joint++
		}
	})
	s.commits.lastPending = pending
	if multiDue && (joint >= fullBatchJobs || (joint > 0 && s.commits.multiInFlight == 0)) {
		s.commits.multiInFlight++
		s.commits.lastPending = 0
		c := s.buildCommit(now, func(p *partition) bool {
			return p.loaded && !p.writing && !now.Before(p.retryAt) && !now.Before(p.separateUntil)
		})
		c.multiPartition = true
		s.sendCommit(c)
	}
	for p := range separate {
		s.sendCommit(s.buildCommit(now, func(other *partition) bool { return other == p }))
	}
}

// multiPartitionDue reports whether a multi-partition transaction may be sent: the first one at once, a further one when enough
// more jobs are pending.
func (s *session) multiPartitionDue(pending int, now time.Time) bool {
	switch {
	case now.Before(s.commits.nextMultiAt):
		return false
	case s.commits.multiInFlight == 0:
		return true
	}
	return s.commits.multiInFlight < maxMultiCommits && pending >= s.commits.lastPending+fullBatchJobs
}

// anySeparate reports whether a partition is committed separately.
func (s *session) anySeparate(now time.Time) bool {
	for _, p := range s.partitions {
		if now.Before(p.separateUntil) {
			return true
		}
	}
	return false
}

// sendCommit sends one transaction, with the chain row of each of its partitions.
func (s *session) sendCommit(c *inflightCommit) {
	for _, p := range c.partitions {
		p.writing = true
		key := p.chainKey()
		c.tx.Preconditions = append(c.tx.Preconditions, cwcellport.Precondition{RowKey: key, Version: p.chainVersion})
		c.tx.Put = append(c.tx.Put, cwcellport.Row{RowKey: key, Value: []byte(c.token)})
	}
	sent := s.runOnPool("commit", func() {
		version, present, err := s.owner.opts.Store.Commit(c.tx, commitTimeout)
		s.post(func(now time.Time) { s.handleCommitResult(c, version, present, err, now) })
	})
	if !sent {
		s.commitFailed(c, cwfault.New(cwfault.Unavailable, "call pool is full"), c.startedAt)
	}
}

func (s *session) newCommit(now time.Time) *inflightCommit {
	s.commits.number++
	return &inflightCommit{token: fmt.Sprintf("%d/%d", s.grant.Fence, s.commits.number), startedAt: now}
}

// buildCommit returns a transaction with the pending writes of the partitions that satisfy pass.
func (s *session) buildCommit(now time.Time, pass func(*partition) bool) *inflightCommit {
	c := s.newCommit(now)
	c.writes = s.cell.NextWrites(maxCommitJobs, func(id cwmodel.JobID) bool { return pass(s.partitionOf(id)) })
	for _, w := range c.writes {
		if p := s.partitionOf(w.Job); !slices.Contains(c.partitions, p) {
			c.partitions = append(c.partitions, p)
		}
		s.addWrite(&c.tx, w)
	}
	return c
}

// buildMembersCommit returns a transaction that records which workers may run tasks. A later owner calls them even if their
// entries in the platform's registry have expired.
func (s *session) buildMembersCommit(now time.Time) *inflightCommit {
	c := s.newCommit(now)
	c.partitions = []*partition{&s.commits.cellPartition}
	c.members = s.cell.Members()
	var members [memberRowCount][]cwcellcodec.Member
	for _, id := range c.members {
		if l, ok := s.links[id]; ok {
			n := memberRowIndex(id)
			members[n] = append(members[n], cwcellcodec.Member{ID: id, Address: l.entry.Address, Rack: l.entry.Rack})
		}
	}
	for n := range members {
		value, err := cwcellcodec.EncodeMembers(members[n])
		if err != nil {
			s.owner.opts.Log.WithField("error", err.Error()).Error("members-not-encoded")
			return c
		}
		c.tx.Put = append(c.tx.Put, cwcellport.Row{RowKey: s.membersKey(strconv.Itoa(n)), Value: value})
	}
	return c
}

// memberRowCount is the number of rows that list the workers of a cell. The store takes 64 KiB a row, about 1,400 workers.
const memberRowCount = 8

// memberRowIndex returns the index of the row that lists a worker.
func memberRowIndex(id cwmodel.HostID) int { return int(cwlayout.Hash(string(id)) % memberRowCount) }

// membersKey returns the key of one of the rows that list the workers that may run tasks.
func (s *session) membersKey(row string) cwcellport.RowKey {
	return cwcellport.RowKey{Table: cwlease.TableCell, Key: s.owner.opts.Cell.RowName("members") + "." + row}
}

// addWrite adds the rows of one job to a transaction.
func (s *session) addWrite(tx *cwcellport.Transaction, w cwcell.JobWrite) {
	name := s.partitionOf(w.Job).name
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
		s.commits.withProgress[w.Job] = struct{}{}
	}
	if err != nil {
		s.owner.opts.Log.WithFields(cwlog.Fields{"job": w.Job, "table": table, "error": err.Error()}).Error("row-not-encoded")
		return
	}
	tx.Put = append(tx.Put, cwcellport.Row{RowKey: row(table), Value: value})
}

// removeRows removes the rows of an active job.
func (s *session) removeRows(tx *cwcellport.Transaction, id cwmodel.JobID, row func(table string) cwcellport.RowKey) {
	tx.Remove = append(tx.Remove, row(TableJobs))
	if _, ok := s.commits.withProgress[id]; ok {
		tx.Remove = append(tx.Remove, row(TableProgress))
	}
	if _, ok := s.commits.withCancellation[id]; ok {
		cancellation := row(TableJobs)
		cancellation.Key += CancelSuffix
		tx.Remove = append(tx.Remove, cancellation)
	}
}

// handleCommitResult processes the response to a transaction.
func (s *session) handleCommitResult(c *inflightCommit, version uint64, present []cwcellport.Row, err error, now time.Time) {
	switch {
	case err == nil:
		s.commitSucceeded(c, version, now)
		s.owner.opts.Observe(Observation{Event: EventCommit, Duration: now.Sub(c.startedAt)})
	case cwfault.CodeOf(err) == cwfault.Conflict:
		s.resolveConflict(c, present, now)
	default:
		s.commitFailed(c, err, now)
	}
}

// releasePartitions allows the next transaction on the partitions of c.
func (s *session) releasePartitions(c *inflightCommit) {
	if c.multiPartition {
		s.commits.multiInFlight--
		s.commits.lastPending = 0
	}
	for _, p := range c.partitions {
		p.writing = false
	}
}

// commitSucceeded records that a transaction was applied.
func (s *session) commitSucceeded(c *inflightCommit, version uint64, now time.Time) {
	s.releasePartitions(c)
	pause := max(commitPause, now.Sub(c.startedAt)-normalCommitTime)
	slow := now.Sub(c.startedAt) > slowCommitTime
	for _, p := range c.partitions {
		p.chainVersion, p.failures, p.retryAt = version, 0, now.Add(pause)
		if slow {
			p.separateUntil = now.Add(separateDuration)
		}
	}
	if c.multiPartition {
		s.commits.nextMultiAt = now.Add(pause)
	}
	s.cell.MarkMembersDurable(c.members)
	for _, w := range s.cell.CompleteWrites(c.writes, true, now) {
		s.jobEnded(w)
	}
	// Earlier transactions with unknown outcome had the old chain rows as precondition, so those not applied yet never will be.
	s.commits.indefinite = slices.DeleteFunc(s.commits.indefinite, func(d *inflightCommit) bool {
		return slices.ContainsFunc(d.partitions, func(p *partition) bool { return slices.Contains(c.partitions, p) })
	})
}

// resolveConflict processes the changed chain rows that a transaction met: either an earlier transaction with unknown outcome
// was applied, or a later owner has written.
func (s *session) resolveConflict(c *inflightCommit, present []cwcellport.Row, now time.Time) {
	s.releasePartitions(c)
	s.cell.CompleteWrites(c.writes, false, now)
	resolved := false
	for _, row := range present {
		p, ok := s.partitions[row.Partition]
		if row.Partition == "" {
			p, ok = &s.commits.cellPartition, true
		}
		if !ok || row.Key != p.chainRow || row.Version == p.chainVersion {
			continue
		}
		i := slices.IndexFunc(s.commits.indefinite, func(d *inflightCommit) bool { return d.token == string(row.Value) })
		if i < 0 {
			continue
		}
		resolved = true
		applied := s.commits.indefinite[i]
		s.commits.indefinite = slices.Delete(s.commits.indefinite, i, i+1)
		for _, q := range applied.partitions {
			q.chainVersion = row.Version
		}
		s.cell.MarkMembersDurable(applied.members)
		for _, w := range s.cell.CompleteWrites(applied.writes, true, now) {
			s.jobEnded(w)
		}
	}
	if !resolved {
		s.owner.opts.Log.WithFields(cwlog.Fields{"fence": s.grant.Fence, "mark": c.token}).Warn("commit-fenced-off")
		for _, p := range c.partitions {
			p.retryAt = now.Add(maxCommitBackoff)
		}
		s.owner.opts.OnSuperseded()
	}
}

// commitFailed schedules a retry for a transaction that failed or whose outcome is unknown, each partition separately.
func (s *session) commitFailed(c *inflightCommit, err error, now time.Time) {
	s.owner.opts.Log.WithFields(cwlog.Fields{
		"mark": c.token, "jobs": len(c.writes), "parts": len(c.partitions), "error": err.Error(),
	}).Warn("commit-failed")
	s.releasePartitions(c)
	s.cell.CompleteWrites(c.writes, false, now)
	if code := cwfault.CodeOf(err); code != cwfault.Unavailable && code != cwfault.Refused && len(s.commits.indefinite) < maxIndefiniteCommits {
		s.commits.indefinite = append(s.commits.indefinite, c)
	}
	for _, p := range c.partitions {
		p.separateUntil = now.Add(separateDuration)
		if len(c.partitions) == 1 {
			p.retryAt = now.Add(min(minCommitBackoff<<min(p.failures, 3), maxCommitBackoff))
			p.failures++
		}
	}
}

// jobEnded logs the durable end of a job and notifies the callers that wait for its cancellation.
func (s *session) jobEnded(w cwcell.JobWrite) {
	delete(s.commits.withProgress, w.Job)
	delete(s.commits.withCancellation, w.Job)
	s.owner.opts.Log.WithFields(cwlog.Fields{"job": w.Job, "state": w.State, "fence": s.grant.Fence}).Info("job-ended")
	s.owner.opts.Observe(Observation{Event: EventEnded, Queue: w.Queue, State: w.State, Duration: s.wall().Sub(w.AcceptedAt)})
	if w.State == cwwork.StateCancelled || len(s.cancelWaiters[w.Job]) > 0 {
		for _, respond := range s.cancelWaiters[w.Job] {
			respond()
		}
		delete(s.cancelWaiters, w.Job)
	}
}
