package cwlease

import (
	"time"

	"currantward/internal/adapter/cwcellcodec"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwlog"
	"currantward/internal/core/cwlayout"
	"currantward/internal/port/cwcellport"
)

// acquire tries to acquire the lease at the known version of its row. The same transaction changes the chain row, which
// fences off writes of the previous owner.
func (e *Elector) acquire(reason string) { e.acquireForCells(reason, max(e.lease.Cells, e.opts.Cells)) }

// acquireForCells acquires the lease and records the given number of cells in it.
func (e *Elector) acquireForCells(reason string, cells int) {
	if e.holding {
		return
	}
	previous, previousVersion, seen := e.lease, e.rowVersion, e.versionSeenAt
	lease := cwcellcodec.Lease{
		Holder: e.opts.Self.ID, DataCentre: e.opts.Self.DataCentre, Address: e.opts.Self.Address, Term: previous.Term + 1,
		Cells: cells,
	}
	sent := e.opts.Timer.Now()
	version, present, err := e.commitLease(lease, previousVersion, true)
	if err != nil {
		e.opts.Log.WithFields(cwlog.Fields{"why": reason, "version": previousVersion, "error": err.Error()}).Info("lease-not-taken")
		if len(present) > 0 {
			e.applyLease(present[0])
		}
		return
	}
	lease.Fence = version
	e.lease, e.rowVersion, e.versionSeenAt = lease, version, sent
	e.holding, e.fence, e.validUntil, e.renewedAt = true, version, sent.Add(TTL), sent
	e.failedHeartbeats, e.nextRenewalAt = 0, sent.Add(renewPeriod)
	g := Grant{Fence: version, Term: lease.Term, ChainVersion: version, PriorLeaseExpiry: sent, Layout: cwlayout.Layout{Cells: cells}}
	if previousVersion > 0 {
		g.PriorLeaseExpiry = e.priorLeaseExpiry(previous, seen)
	}
	e.opts.Log.WithFields(cwlog.Fields{
		"why": reason, "cell": e.opts.Cell, "fence": version, "term": lease.Term, "former-owner": previous.Holder, "former-version": previousVersion,
	}).Info("lease-taken")
	e.publishView()
	e.reportCells()
	e.opts.OnLeaseAcquired(g)
}

// priorLeaseExpiry returns the time by which every run that the previous owner may have left on an unreachable worker has
// ended. That owner acted at most until its lease expired, and its last renewal was before this host first read the row's
// version. The last runs that it ordered started within the start window and hold leases that are longer than that.
func (e *Elector) priorLeaseExpiry(previous cwcellcodec.Lease, seen time.Time) time.Time {
	ownerStop := e.opts.Timer.Now()
	ownRestart := previous.Holder == e.opts.Self.ID && previous.Address == e.opts.Self.Address
	if end := seen.Add(TTL); !previous.Released && !ownRestart && end.After(ownerStop) {
		ownerStop = end
	}
	return ownerStop.Add(time.Duration(float64(max(e.opts.TaskLease, e.opts.StartWindow)) * (1 + 2*ClockDrift)))
}

// commitLease writes the lease's row if the row still has the given version.
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
	version, present, err := e.opts.Store.Commit(t, storeTimeout)
	e.RecordStoreResult(err)
	return version, present, err
}

// renew renews the lease and returns the time until the next renewal.
func (e *Elector) renew() (wait time.Duration) {
	sent := e.opts.Timer.Now()
	if sent.Before(e.nextRenewalAt) {
		return e.nextRenewalAt.Sub(sent)
	}
	e.nextRenewalAt = sent.Add(retryPeriod)
	lease := e.lease
	lease.Fence = e.fence
	lease.Renewal++
	version, present, err := e.commitLease(lease, e.rowVersion, false)
	switch {
	case err == nil:
		if gap := sent.Sub(e.renewedAt); gap > 2*renewPeriod {
			e.opts.Log.WithFields(cwlog.Fields{"fence": e.fence, "since": gap}).Warn("lease-renewed-late")
		}
		e.lease, e.rowVersion, e.renewedAt, e.validUntil = lease, version, sent, sent.Add(TTL)
		e.nextRenewalAt = sent.Add(renewPeriod)
		return max(0, e.nextRenewalAt.Sub(e.opts.Timer.Now()))
	case cwfault.CodeOf(err) == cwfault.Conflict && len(present) > 0:
		// An earlier renewal without a response may have succeeded: this host then still holds the lease, at a later version.
		e.applyLease(present[0])
	default:
		e.opts.Log.WithFields(cwlog.Fields{"fence": e.fence, "error": err.Error()}).Warn("lease-not-renewed")
	}
	return retryPeriod
}

// release releases the lease after this host has stopped acting as the owner.
func (e *Elector) release() {
	e.holding = false
	e.publishView()
	e.opts.OnLeaseLost()
	lease := e.lease
	lease.Fence, lease.Released = e.fence, true
	version, _, err := e.commitLease(lease, e.rowVersion, false)
	if err != nil {
		e.opts.Log.WithFields(cwlog.Fields{"fence": e.fence, "error": err.Error()}).Warn("lease-not-released")
		return
	}
	e.lease, e.rowVersion, e.versionSeenAt = lease, version, e.opts.Timer.Now()
	e.opts.Log.WithField("fence", e.fence).Info("lease-released")
}

// divide ends the ownership and acquires the lease again with the requested number of cells. If that write fails, nothing has
// changed: the lease is acquired again like one held before a restart.
func (e *Elector) divide() {
	e.holding = false
	e.publishView()
	e.opts.OnLeaseLost()
	e.acquireForCells("divided", int(e.requestedCells.Load()))
}

// rowKey returns the key of one of the cell's rows.
func (e *Elector) rowKey(name string) cwcellport.RowKey {
	return cwcellport.RowKey{Table: TableCell, Key: e.opts.Cell.RowName(name)}
}
