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

// commitState tracks the transactions that make the cell's state durable. A multi-partition transaction covers every partition
// without a transaction in flight. Later changes form the next transaction, which does not wait for the first if it covers a
// full batch of jobs. A partition whose transaction failed or was slow is committed alone for a while, in transactions of its
// own, so that it does not delay the others. A transaction on one partition whose outcome is unknown is sent again, unchanged, until the
// store responds, so that a partition never has more than two of them: this one, and a multi-partition one before it.
type commitState struct {
	cellPartition       partition                  // holds the cell's own rows
	sequence            int                        // number of the last transaction, which makes its token unique
	multiInFlight       int                        // multi-partition transactions in flight
	nextMultiAt         time.Time                  // earliest start of the next multi-partition transaction
	pendingWhenDeferred int                        // pending jobs when one was last deferred; 0 if one was sent or ended since
	hasProgressRow      map[cwmodel.JobID]struct{} // jobs with a progress row
	// cancellationVersions has the versions of the cancellation rows by job, also of jobs that are not admitted yet.
	cancellationVersions map[cwmodel.JobID]uint64
	refusals             map[cwmodel.JobID]*refusal // jobs of which the store has refused a write
	succeededAt          time.Time                  // latest successful transaction with writes of jobs; zero: none
}

// newCommitState returns a state without transactions; cellPartition holds the cell's own rows.
func newCommitState(cellPartition partition) commitState {
	return commitState{
		cellPartition: cellPartition, hasProgressRow: map[cwmodel.JobID]struct{}{}, cancellationVersions: map[cwmodel.JobID]uint64{},
		refusals: map[cwmodel.JobID]*refusal{},
	}
}

// inflightCommit is one transaction that has no response yet or whose outcome is unknown.
type inflightCommit struct {
	writes         []cwcell.JobWrite
	members        []cwmodel.HostID // workers that the transaction records for later owners; nil in other transactions
	partitions     []*partition
	tx             cwcellport.Transaction
	token          string // value that the transaction writes to its chain rows; unique to it
	multiPartition bool   // counted in multiInFlight; false for a partition committed alone and for the cell's rows
	startedAt      time.Time
}

// isAlone reports whether the transaction is on one partition only.
func (c *inflightCommit) isAlone() bool { return len(c.partitions) == 1 }

const (
	// commitTimeout bounds one transaction; a slow store takes 50 times its usual 8 ms.
	commitTimeout = 900 * time.Millisecond
	// minCommitBackoff and maxCommitBackoff bound the backoff of a partition after a failed transaction.
	minCommitBackoff = 100 * time.Millisecond
	maxCommitBackoff = 800 * time.Millisecond
	// soloDuration is how long a partition is committed alone after a failed or slow transaction.
	soloDuration = 2 * time.Second
	// slowCommitTime is the duration of a transaction from which its partitions are committed alone. A transaction on one
	// partition takes half as long as one on several while the store is slow, and delays no other partition.
	slowCommitTime = 100 * time.Millisecond
	// normalCommitTime is the duration of a transaction while the store is healthy.
	normalCommitTime = 30 * time.Millisecond
	// rowsPerEndedJob is the number of rows that the end of a job changes.
	rowsPerEndedJob = 4
	// maxCommitJobs bounds the jobs of one transaction. Each job may be in a partition of its own, whose chain row counts twice
	// among the rows of the transaction: as a precondition and as a write.
	maxCommitJobs = cwcellport.MaxTransactionRows / (rowsPerEndedJob + 2)
	// maxMultiCommits bounds the concurrent multi-partition transactions.
	maxMultiCommits = 4
	// maxCommitBytes bounds the values of one transaction, in base64. The rest is for keys and chain rows.
	maxCommitBytes = cwcellport.MaxTransactionBytes * 3 / 4
	// fullBatchJobs is the number of jobs that justifies a transaction while another one is in flight.
	fullBatchJobs = maxCommitJobs / 2
	// commitPause is the pause between two transactions on a partition, which batches jobs that end at about the same time.
	// While the store is slow the pause is about as long as the last transaction, so that submissions can use the partitions.
	commitPause = 12 * time.Millisecond
)

// commit sends the transactions that are due: one that records the cell's workers if they have changed, a multi-partition one,
// and one for each partition that is committed alone and has pending writes. A partition gets none before it is loaded, while it
// has a transaction in flight, or before its nextAt.
func (s *session) commit(now time.Time) {
	s.resendUnsettled(now)
	if s.cell.MembersDirty(now) && s.commits.cellPartition.isReady(now) {
		s.sendCommit(s.buildMembersCommit(now))
	}
	pending := s.cell.PendingWrites()
	if pending == 0 {
		return
	}
	s.commitRefused(now)
	multiDue := s.multiPartitionDue(pending, now)
	if !multiDue && !s.anySolo(now) {
		return
	}
	soloPartitions := map[*partition]struct{}{}
	jointJobs := 0
	s.cell.EachPendingWrite(func(id cwmodel.JobID) {
		_, refused := s.commits.refusals[id]
		switch p := s.partitionOf(id); {
		case refused || !p.isReady(now):
			// The job gets no transaction with others, or its partition gets none now.
		case p.isSolo(now):
			soloPartitions[p] = struct{}{}
		default:
			jointJobs++
		}
	})
	s.commits.pendingWhenDeferred = pending // unless a multi-partition transaction is sent now
	if multiDue && (jointJobs >= fullBatchJobs || (jointJobs > 0 && s.commits.multiInFlight == 0)) {
		c := s.buildCommit(now, func(p *partition) bool { return p.isReady(now) && !p.isSolo(now) })
		if len(c.writes) > 0 {
			s.commits.multiInFlight++
			s.commits.pendingWhenDeferred = 0
			c.multiPartition = true
			s.sendCommit(c)
		}
	}
	for p := range soloPartitions {
		if c := s.buildCommit(now, func(other *partition) bool { return other == p }); len(c.writes) > 0 {
			s.sendCommit(c)
		}
	}
}

// isReady reports whether a new transaction on the partition may be sent.
func (p *partition) isReady(now time.Time) bool {
	return p.loaded && !p.busy && p.unsettledAlone() == nil && !now.Before(p.nextAt)
}

// isSolo reports whether the partition is committed alone.
func (p *partition) isSolo(now time.Time) bool { return len(p.unsettled) > 0 || now.Before(p.soloEnd) }

// multiPartitionDue reports whether a multi-partition transaction may be sent, given the number of pending jobs. None may be sent
// before nextMultiAt. With none in flight it may then be sent at once. With some in flight, but fewer than maxMultiCommits, a
// further one is due when a full batch of jobs has become pending since the last one was sent or deferred.
func (s *session) multiPartitionDue(pending int, now time.Time) bool {
	switch {
	case now.Before(s.commits.nextMultiAt):
		return false
	case s.commits.multiInFlight == 0:
		return true
	}
	return s.commits.multiInFlight < maxMultiCommits && pending >= s.commits.pendingWhenDeferred+fullBatchJobs
}

// anySolo reports whether a partition is committed alone now.
func (s *session) anySolo(now time.Time) bool {
	for _, p := range s.partitions {
		if p.isSolo(now) {
			return true
		}
	}
	return false
}

// sendCommit adds the chain row of each partition to a transaction and sends it.
func (s *session) sendCommit(c *inflightCommit) {
	for _, p := range c.partitions {
		key := p.chainKey()
		c.tx.Preconditions = append(c.tx.Preconditions, cwcellport.Precondition{RowKey: key, Version: p.chainVersion})
		c.tx.Put = append(c.tx.Put, cwcellport.Row{RowKey: key, Value: []byte(c.token)})
	}
	s.transmit(c)
}

// transmit sends a transaction with its chain rows. The partitions are busy until the result arrives. A full call pool counts as a failed
// transaction.
func (s *session) transmit(c *inflightCommit) {
	for _, p := range c.partitions {
		p.busy = true
	}
	sent := s.runOnPool("commit", func() {
		version, current, err := s.owner.opts.Store.Commit(c.tx, commitTimeout)
		s.post(func(now time.Time) { s.handleCommitResult(c, version, current, err, now) })
	})
	if !sent {
		s.handleCommitFailure(c, cwfault.New(cwfault.Unavailable, "call pool is full"), c.startedAt)
	}
}

// newCommit returns an empty transaction with a token of its own.
func (s *session) newCommit(now time.Time) *inflightCommit {
	s.commits.sequence++
	return &inflightCommit{token: fmt.Sprintf("%d/%d", s.grant.Fence, s.commits.sequence), startedAt: now}
}

// buildCommit returns a transaction with the pending writes of at most maxCommitJobs jobs, from the partitions for which include
// returns true. These writes are no longer pending.
func (s *session) buildCommit(now time.Time, include func(*partition) bool) *inflightCommit {
	return s.buildJobsCommit(now, func(id cwmodel.JobID) bool {
		_, refused := s.commits.refusals[id]
		return !refused && include(s.partitionOf(id))
	})
}

// buildJobsCommit returns a transaction with the pending writes of at most maxCommitJobs jobs for which include returns true, as far as
// they fit in it. These writes are no longer pending.
func (s *session) buildJobsCommit(now time.Time, include func(cwmodel.JobID) bool) *inflightCommit {
	c := s.newCommit(now)
	writes := s.cell.NextWrites(maxCommitJobs, include)
	size := 0
	for n := range writes {
		w := &writes[n]
		value, ok := s.encodeWrite(w)
		switch {
		case !ok:
			s.cell.CompleteWrites(writes[n:n+1], false, now) // its final state is pending now
			continue
		case size > 0 && size+storedBytes(value) > maxCommitBytes:
			s.cell.CompleteWrites(writes[n:], false, now)
			return c
		}
		size += storedBytes(value)
		c.writes = append(c.writes, *w)
		if p := s.partitionOf(w.Job); !slices.Contains(c.partitions, p) {
			c.partitions = append(c.partitions, p)
		}
		s.addWrite(&c.tx, w, value)
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
			members[n] = append(members[n], cwcellcodec.Member{ID: id, Address: l.entry.Address, Rack: l.entry.Rack, Incarnation: s.cell.MemberIncarnation(id, now)})
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

// memberRowCount is the number of rows that list the workers of a cell. The store limits a row to 64 KiB, about 1,400 workers.
const memberRowCount = 8

// memberRowIndex returns the index of the row that lists a worker.
func memberRowIndex(id cwmodel.HostID) int { return int(cwlayout.Hash(string(id)) % memberRowCount) }

// membersKey returns the key of one of the rows that list the cell's workers; row is the row's index as a string.
func (s *session) membersKey(row string) cwcellport.RowKey {
	return cwcellport.RowKey{Table: cwlease.TableCell, Key: s.owner.opts.Cell.RowName("members") + "." + row}
}

// handleCommitResult processes the response to a transaction. version is that of the written rows after a success; current holds
// the present rows of the preconditions after a conflict.
func (s *session) handleCommitResult(c *inflightCommit, version uint64, current []cwcellport.Row, err error, now time.Time) {
	switch {
	case err == nil:
		s.handleCommitSuccess(c, version, now)
		s.owner.opts.Observe(Observation{Event: EventCommit, Duration: now.Sub(c.startedAt)})
	case cwfault.CodeOf(err) == cwfault.Conflict:
		s.resolveConflict(c, current, now)
	default:
		s.handleCommitFailure(c, err, now)
	}
}

// releasePartitions records that a transaction is no longer in flight, so that its partitions may get the next one.
func (s *session) releasePartitions(c *inflightCommit) {
	if c.multiPartition {
		s.commits.multiInFlight--
		s.commits.pendingWhenDeferred = 0
	}
	for _, p := range c.partitions {
		p.busy = false
	}
}

// handleCommitSuccess marks the writes of an applied transaction as durable, records the jobs that have thus ended, and sets when
// the next transaction on its partitions may start. After a slow transaction these are committed alone for soloDuration.
func (s *session) handleCommitSuccess(c *inflightCommit, version uint64, now time.Time) {
	s.releasePartitions(c)
	pause := max(commitPause, now.Sub(c.startedAt)-normalCommitTime)
	slow := now.Sub(c.startedAt) > slowCommitTime
	for _, p := range c.partitions {
		p.chainVersion, p.failures, p.nextAt = version, 0, now.Add(pause)
		if slow {
			p.soloEnd = now.Add(soloDuration)
		}
	}
	if c.multiPartition {
		s.commits.nextMultiAt = now.Add(pause)
	}
	s.cell.MarkMembersDurable(c.members)
	s.clearRefusals(c.writes, now)
	for _, w := range s.cell.CompleteWrites(c.writes, true, now) {
		s.recordJobEnd(w)
	}
	settle(c.partitions)
}

// handleCommitFailure handles a transaction that failed or whose outcome is unknown: its writes become pending again. For
// soloDuration each of its partitions is committed in transactions of its own. A partition that failed on its own also gets a
// backoff, which doubles with each such failure. With Unavailable and Refused nothing was written; a refused write is isolated from
// those of other jobs. After other errors the transaction may still be applied, so it is unsettled.
func (s *session) handleCommitFailure(c *inflightCommit, err error, now time.Time) {
	s.owner.opts.Log.WithFields(cwlog.Fields{
		"mark": c.token, "jobs": len(c.writes), "parts": len(c.partitions), "error": err.Error(),
	}).Warn("commit-failed")
	s.releasePartitions(c)
	s.cell.CompleteWrites(c.writes, false, now) // false: not known to be applied, so the writes become pending again
	switch cwfault.CodeOf(err) {
	case cwfault.Refused:
		c.clearUnsettled() // the same call was refused before
		if len(c.writes) > 0 {
			s.recordRefusal(c, now)
			return
		}
	case cwfault.Unavailable:
	default:
		c.markUnsettled()
	}
	for _, p := range c.partitions {
		p.soloEnd = now.Add(soloDuration)
		if c.isAlone() {
			p.nextAt = now.Add(min(minCommitBackoff<<min(p.failures, 3), maxCommitBackoff))
			p.failures++
		}
	}
}

// recordJobEnd logs the durable end of a job, reports it to the metrics, and responds to the callers that wait for the job's
// cancellation, even if the job has ended in another state.
func (s *session) recordJobEnd(w cwcell.JobWrite) {
	delete(s.commits.hasProgressRow, w.Job)
	delete(s.commits.cancellationVersions, w.Job)
	s.owner.opts.Log.WithFields(cwlog.Fields{"job": w.Job, "state": w.State, "fence": s.grant.Fence}).Info("job-ended")
	s.owner.opts.Observe(Observation{Event: EventEnded, Queue: w.Queue, State: w.State, Duration: s.wallTime().Sub(w.AcceptedAt)})
	if w.State == cwwork.StateCancelled || len(s.cancelWaiters[w.Job]) > 0 {
		for _, respond := range s.cancelWaiters[w.Job] {
			respond()
		}
		delete(s.cancelWaiters, w.Job)
	}
}
