package cwcellowner

import (
	"slices"
	"time"

	"currantward/internal/adapter/cwcellcodec"
	"currantward/internal/app/cwlease"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwlog"
	"currantward/internal/port/cwcellport"
)

// markUnsettled records that the outcome of a transaction is unknown, unless a chain row has moved on meanwhile.
func (c *inflightCommit) markUnsettled() {
	if slices.ContainsFunc(c.partitions, c.isOutdated) {
		return
	}
	for _, p := range c.partitions {
		if !slices.Contains(p.unsettled, c) {
			p.unsettled = append(p.unsettled, c)
		}
	}
}

// clearUnsettled records that a transaction was not applied and never will be.
func (c *inflightCommit) clearUnsettled() {
	for _, p := range c.partitions {
		p.unsettled = slices.DeleteFunc(p.unsettled, func(d *inflightCommit) bool { return d == c })
	}
}

// settle forgets the unsettled transactions on partitions whose chain rows have moved on: each of them was applied, or never will be,
// as it expects an earlier version of a chain row.
func settle(partitions []*partition) {
	for _, p := range partitions {
		for _, c := range slices.Clone(p.unsettled) {
			c.clearUnsettled()
		}
	}
}

// unsettledAlone returns the unsettled transaction on this partition alone, or nil if there is none.
func (p *partition) unsettledAlone() *inflightCommit {
	if at := slices.IndexFunc(p.unsettled, (*inflightCommit).isAlone); at >= 0 {
		return p.unsettled[at]
	}
	return nil
}

// hasUnsettled reports whether the outcome of some transaction is unknown.
func (s *session) hasUnsettled() bool {
	if len(s.commits.cellPartition.unsettled) > 0 {
		return true
	}
	for _, p := range s.partitions {
		if len(p.unsettled) > 0 {
			return true
		}
	}
	return false
}

// resendUnsettled sends the unsettled transactions on single partitions again, each once its partition's backoff is over.
func (s *session) resendUnsettled(now time.Time) {
	resend := func(p *partition) {
		if c := p.unsettledAlone(); c != nil && !p.busy && !now.Before(p.nextAt) {
			c.startedAt, c.multiPartition = now, false // one that covers a single partition may have been counted before
			s.transmit(c)
		}
	}
	resend(&s.commits.cellPartition)
	for _, name := range s.partitionNames {
		resend(s.partitions[name])
	}
}

// resolveConflict handles a transaction that failed because a chain row had changed; its writes become pending again. If the
// row holds the token of an unsettled transaction, that one was applied: its writes are marked as durable. That may have become known
// while this transaction was in flight. A row with another token was written by a later owner, or from outside, so the partition's rows
// are read again.
func (s *session) resolveConflict(c *inflightCommit, current []cwcellport.Row, now time.Time) {
	s.releasePartitions(c)
	s.cell.CompleteWrites(c.writes, false, now) // false: not applied by this call, so the writes become pending again
	isResolved := slices.ContainsFunc(c.partitions, c.isOutdated)
	for n := range current {
		row := &current[n]
		p := s.partitionOfRow(row)
		if p == nil || row.Key != p.chainRowName || row.Version == p.chainVersion {
			continue
		}
		if at := slices.IndexFunc(p.unsettled, func(d *inflightCommit) bool { return d.token == string(row.Value) }); at >= 0 {
			isResolved = true
			s.recordApplied(p.unsettled[at], row.Version, now)
		}
	}
	c.clearUnsettled() // a chain row has moved on
	if isResolved {
		return
	}
	s.owner.opts.Log.WithFields(cwlog.Fields{"fence": s.grant.Fence, "mark": c.token}).Warn("commit-fenced-off")
	s.owner.opts.OnSuperseded()
	for _, p := range c.partitions {
		p.nextAt = now.Add(maxCommitBackoff)
		s.rereadChain(p)
	}
}

// isOutdated reports whether the transaction expects an earlier version of a partition's chain row than the one that is known now.
func (c *inflightCommit) isOutdated(p *partition) bool {
	return !slices.Contains(c.tx.Preconditions, cwcellport.Precondition{RowKey: p.chainKey(), Version: p.chainVersion})
}

// recordApplied records that an unsettled transaction was applied, with the version of its rows.
func (s *session) recordApplied(c *inflightCommit, version uint64, now time.Time) {
	for _, p := range c.partitions {
		p.chainVersion = version
	}
	settle(c.partitions)
	s.cell.MarkMembersDurable(c.members)
	for _, w := range s.cell.CompleteWrites(c.writes, true, now) {
		s.recordJobEnd(w)
	}
}

// partitionOfRow returns the partition of a row, or nil if it is not one of this cell's.
func (s *session) partitionOfRow(row *cwcellport.Row) *partition {
	if row.Partition == s.commits.cellPartition.name {
		return &s.commits.cellPartition
	}
	return s.partitions[row.Partition]
}

// rereadChain reads a partition's chain row after a conflict that no transaction of this owner explains. If this owner's fence is still in
// force, it goes on from the row's present version, so that no partition is lost to it while it holds the lease.
func (s *session) rereadChain(p *partition) {
	p.busy = true
	sent := s.runOnPool("reread-chain", func() {
		version, err := s.readChain(p.chainKey())
		s.post(func(now time.Time) { s.handleChain(p, version, err, now) })
	})
	if !sent {
		p.busy = false
	}
}

// handleChain processes the result of rereadChain.
func (s *session) handleChain(p *partition, version uint64, err error, now time.Time) {
	p.busy = false
	fields := cwlog.Fields{"fence": s.grant.Fence, "part": p.name, "from": p.chainVersion, "version": version}
	switch {
	case err != nil:
		fields["error"] = err.Error()
		s.owner.opts.Log.WithFields(fields).Warn("chain-not-read")
	case version == p.chainVersion:
	default:
		s.owner.opts.Log.WithFields(fields).Warn("chain-reread")
		p.chainVersion, p.nextAt = version, now
		settle([]*partition{p})
	}
}

// readChain returns the version of a chain row; 0: there is none. It fails with StaleEpoch if the fence of its partition is another
// owner's.
func (s *session) readChain(key cwcellport.RowKey) (version uint64, err error) {
	rows, _, err := s.owner.opts.Store.Read(key.Table, key.Partition, "", "", loadTimeout)
	if err != nil {
		return 0, err
	}
	fenceKey := KeyFence
	if key.Partition == s.commits.cellPartition.name {
		fenceKey = s.owner.opts.Cell.RowName(cwlease.RowLease)
	}
	isFenced := false
	for _, row := range rows {
		switch row.Key {
		case key.Key:
			version = row.Version
		case fenceKey:
			lease, err := cwcellcodec.DecodeLease(row.Value)
			if err != nil {
				return 0, err
			}
			isFenced = lease.Fence == s.grant.Fence || (lease.Fence == 0 && row.Version == s.grant.Fence)
		}
	}
	if !isFenced {
		return 0, cwfault.New(cwfault.StaleEpoch, "partition %q belongs to another owner", key.Partition)
	}
	return version, nil
}
