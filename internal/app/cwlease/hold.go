package cwlease

import (
	"time"

	"currantward/internal/adapter/cwcellcodec"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwlog"
	"currantward/internal/core/cwclock"
	"currantward/internal/core/cwlayout"
	"currantward/internal/port/cwcellport"
)

// acquire tries to acquire the lease, which succeeds only if its row still has the known version. The same transaction changes
// the chain row, so that later writes of the previous owner fail. reason is logged.
func (e *Elector) acquire(reason string) { e.acquireForCells(reason, max(e.lease.Cells, e.opts.Cells)) }

// acquireForCells tries to acquire the lease and to record the given number of cells in it. After a conflict it applies the
// current row. It does nothing if this host is the owner.
func (e *Elector) acquireForCells(reason string, cells int) {
	if e.isOwner {
		return
	}
	previous, previousVersion, seenAt := e.lease, e.rowVersion, e.versionSeenAt
	lease := cwcellcodec.Lease{
		Holder: e.opts.Self.ID, DataCentre: e.opts.Self.DataCentre, Address: e.opts.Self.Address, Term: previous.Term + 1,
		Cells: cells,
	}
	sentAt := e.opts.Timer.Now()
	priorLeaseExpiry := sentAt
	if previousVersion > 0 {
		priorLeaseExpiry = e.priorLeaseExpiry(previous, seenAt, sentAt)
	}
	formerOwners := e.formerOwnersAfter(previous, priorLeaseExpiry, seenAt, sentAt)
	lease.SetPriorLeases(priorLeaseExpiry.Sub(sentAt))
	lease.SetFormerOwners(formerOwners, sentAt)
	version, current, err := e.commitLease(lease, previousVersion, true)
	if err != nil {
		e.opts.Log.WithFields(cwlog.Fields{"why": reason, "version": previousVersion, "error": err.Error()}).Info("lease-not-taken")
		if len(current) > 0 {
			e.applyLease(current[0])
		}
		return
	}
	lease.Fence = version
	e.lease, e.rowVersion, e.versionSeenAt = lease, version, sentAt
	e.isOwner, e.fence, e.validUntil, e.renewedAt, e.priorExpiry = true, version, sentAt.Add(TTL), sentAt, priorLeaseExpiry
	e.formerOwners = formerOwners
	e.failedHeartbeats, e.nextRenewalAt = 0, sentAt.Add(renewPeriod)
	g := Grant{Fence: version, Term: lease.Term, ChainVersion: version, PriorLeaseExpiry: priorLeaseExpiry, FormerOwners: formerOwners, Layout: cwlayout.Layout{Cells: cells}}
	e.opts.Log.WithFields(cwlog.Fields{
		"why": reason, "cell": e.opts.Cell, "fence": version, "term": lease.Term, "former-owner": previous.Holder, "former-version": previousVersion,
	}).Info("lease-taken")
	e.publishView()
	e.notifyCellCount()
	e.opts.OnLeaseAcquired(g)
}

// priorLeaseExpiry returns the time by which every run that previous owners may have left on an unreachable worker has ended.
// seenAt is when this host first read the version of the lease's row, which is after the owner's last renewal. The owner
// acted until TTL after that renewal at most. The last runs that it ordered started within StartWindow. Their leases are longer
// than that, so the longer of the two bounds counts, extended for slow clocks. The runs of the owners before it may last longer: the
// row says how long.
func (e *Elector) priorLeaseExpiry(previous cwcellcodec.Lease, seenAt, now time.Time) time.Time {
	ownerStopsAt := now
	ownRestart := previous.Holder == e.opts.Self.ID && previous.Address == e.opts.Self.Address
	if end := seenAt.Add(TTL); !previous.Released && !ownRestart && end.After(ownerStopsAt) {
		ownerStopsAt = end
	}
	expiry := ownerStopsAt.Add(time.Duration(float64(max(e.opts.TaskLease, e.opts.StartWindow)) * (1 + 2*cwclock.Drift)))
	if earlier := previous.PriorLeasesAfter(seenAt); earlier.After(expiry) {
		return earlier
	}
	return expiry
}

// formerOwnersAfter returns the owners before a new one, with the bounds of their calls. That of the last one follows from priorLeaseExpiry, after which
// it has sent none. Those of the owners before it are read from its row, so that they do not move with each change of the owner.
func (e *Elector) formerOwnersAfter(previous cwcellcodec.Lease, priorLeaseExpiry, seenAt, now time.Time) cwclock.FormerOwners {
	if previous.Term == 0 {
		return nil
	}
	last := cwclock.FormerOwner{Term: previous.Term, CallsExpiry: cwclock.CallsExpiry(priorLeaseExpiry, cwclock.LongestLease(e.opts.MaxTaskLease))}
	return previous.FormerOwnersAfter(seenAt).With(last, now)
}

// setPriorBounds sets in a row of this host's lease how long the leases and calls of the owners before it may last.
func (e *Elector) setPriorBounds(lease *cwcellcodec.Lease, now time.Time) {
	lease.SetPriorLeases(e.priorExpiry.Sub(now))
	lease.SetFormerOwners(e.formerOwners, now)
}

// commitLease writes the lease's row if the row still has the expected version, or does not exist if that is 0. If acquiring is set,
// the transaction also changes the chain row; renewals and releases leave it as it is. It returns the row's new version, or after a
// conflict the current row.
func (e *Elector) commitLease(lease cwcellcodec.Lease, expected uint64, acquiring bool) (uint64, []cwcellport.Row, error) {
	value, err := cwcellcodec.EncodeLease(lease)
	if err != nil {
		return 0, nil, err
	}
	key := e.rowKey(RowLease)
	t := cwcellport.Transaction{
		Preconditions: []cwcellport.Precondition{{RowKey: key, Version: expected}},
		Put:           []cwcellport.Row{{RowKey: key, Value: value}},
	}
	if acquiring {
		t.Put = append(t.Put, cwcellport.Row{RowKey: e.rowKey(RowChain), Value: []byte(lease.Holder)})
	}
	version, current, err := e.opts.Store.Commit(t, storeTimeout)
	e.RecordStoreResult(err)
	return version, current, err
}

// renew renews this host's lease if that is due, and returns the time until the next attempt. If another host has acquired the lease,
// it ends the ownership.
func (e *Elector) renew() (wait time.Duration) {
	sentAt := e.opts.Timer.Now()
	if sentAt.Before(e.nextRenewalAt) {
		return e.nextRenewalAt.Sub(sentAt)
	}
	e.nextRenewalAt = sentAt.Add(retryPeriod)
	lease := e.lease
	lease.Fence = e.fence
	lease.Renewal++
	e.setPriorBounds(&lease, sentAt)
	version, current, err := e.commitLease(lease, e.rowVersion, false)
	switch {
	case err == nil:
		if gap := sentAt.Sub(e.renewedAt); gap > 2*renewPeriod {
			e.opts.Log.WithFields(cwlog.Fields{"fence": e.fence, "since": gap}).Warn("lease-renewed-late")
		}
		e.lease, e.rowVersion, e.versionSeenAt, e.renewedAt, e.validUntil = lease, version, sentAt, sentAt, sentAt.Add(TTL)
		e.nextRenewalAt = sentAt.Add(renewPeriod)
		return max(0, e.nextRenewalAt.Sub(e.opts.Timer.Now()))
	case cwfault.CodeOf(err) == cwfault.Conflict && len(current) > 0:
		// An earlier renewal without a response may have succeeded: this host then still holds the lease, at a later version.
		e.applyLease(current[0])
	default:
		e.opts.Log.WithFields(cwlog.Fields{"fence": e.fence, "error": err.Error()}).Warn("lease-not-renewed")
	}
	return retryPeriod
}

// release makes this host stop acting as the owner, then marks the lease's row as released, so that another host may acquire it at
// once. If that write fails, other hosts acquire the lease only when it is stale.
func (e *Elector) release() {
	e.isOwner = false
	e.publishView()
	e.opts.OnLeaseLost()
	lease := e.lease
	lease.Fence, lease.Released = e.fence, true
	e.setPriorBounds(&lease, e.opts.Timer.Now())
	version, _, err := e.commitLease(lease, e.rowVersion, false)
	if err != nil {
		e.opts.Log.WithFields(cwlog.Fields{"fence": e.fence, "error": err.Error()}).Warn("lease-not-released")
		return
	}
	e.lease, e.rowVersion, e.versionSeenAt = lease, version, e.opts.Timer.Now()
	e.opts.Log.WithField("fence", e.fence).Info("lease-released")
}

// divide makes this host stop acting as the owner, then acquires the lease again with the requested number of cells. If that write
// fails, the row is unchanged, and follow acquires the lease like one that this host held before a restart.
func (e *Elector) divide() {
	e.isOwner = false
	e.publishView()
	e.opts.OnLeaseLost()
	e.acquireForCells("divided", int(e.requestedCells.Load()))
}

// rowKey returns the key of one of the cell's rows.
func (e *Elector) rowKey(name string) cwcellport.RowKey {
	return cwcellport.RowKey{Table: TableCell, Key: e.opts.Cell.RowName(name)}
}
