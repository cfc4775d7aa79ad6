package cwlease

import (
	"slices"
	"time"

	"currantward/internal/adapter/cwcellcodec"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwlog"
	"currantward/internal/core/cwlayout"
	"currantward/internal/port/cwcellport"
)

// follow monitors the current owner, acquires the lease if there is none or it may be taken over, and returns the time until
// the next check. A rowVersion of 0 means that the lease's row has not been read, or after a successful read that it does not
// exist.
func (e *Elector) follow() (wait time.Duration) {
	if !e.storeOK.Load() && e.lease.DataCentre == e.opts.Self.DataCentre {
		// The store is unreachable, and a local owner's heartbeat does not prove that this data centre is connected to the
		// others, so a peer elsewhere is queried.
		e.queryPeerForOwner()
	}
	if e.rowVersion == 0 && !e.readLease() {
		return retryPeriod
	}
	switch {
	case e.resigned.Load():
		e.heartbeat()
		return heartbeatPeriod
	case e.rowVersion == 0:
		return e.acquireVacant()
	case !e.lease.Released && e.lease.Holder == e.opts.Self.ID && e.lease.Address == e.opts.Self.Address:
		// This host held the lease before a restart or a failed division.
		e.acquire("own-earlier-life")
		return retryPeriod
	case e.lease.Released:
		return e.acquireReleased()
	}
	if e.heartbeat() {
		return heartbeatPeriod
	}
	return e.acquireStale()
}

// heartbeat sends a heartbeat to the known owner and reports whether it responded, is still the owner and can renew its lease.
// An owner whose renewals fail requests a takeover: a host without an acquireDelay then acquires the lease at once, unless an
// outage of the store has only just ended.
func (e *Elector) heartbeat() bool {
	response, err := e.opts.Peers.Heartbeat(e.lease.Address, e.ownHeartbeat())
	now := e.opts.Timer.Now()
	if err != nil {
		if e.failedHeartbeats++; e.failedHeartbeats == 1 {
			e.opts.Log.WithFields(cwlog.Fields{"owner": e.lease.Holder, "error": err.Error()}).Warn("owner-silent")
		}
		return false
	}
	e.RecordContact(e.lease.DataCentre)
	if e.failedHeartbeats > 0 {
		e.opts.Log.WithFields(cwlog.Fields{"owner": e.lease.Holder, "pulses": e.failedHeartbeats}).Info("owner-answers")
		e.failedHeartbeats = 0
	}
	if !response.IsOwner {
		// The recipient names the owner that it knows, which counts only if the store cannot be read.
		if !e.readLease() {
			e.adoptOwner(response)
		}
		return false
	}
	if response.LeaseVersion > e.rowVersion {
		e.rowVersion, e.versionSeenAt = response.LeaseVersion, now
	}
	if response.Cells > e.lease.Cells {
		e.lease.Cells = response.Cells
		e.notifyCellCount()
	}
	e.opts.OnHeartbeatResponse(response)
	if response.RenewalFailing {
		if fence := e.lease.Fence; e.acquireDelay() == 0 && e.readLease() && e.lease.Fence == fence && e.sinceOutage() >= staleAfter {
			e.acquire("owner-unwell")
		}
		return false
	}
	return true
}

// acquireReleased acquires a lease that has been released for retryPeriod, in which the host that it was released for can
// acquire it first.
func (e *Elector) acquireReleased() time.Duration {
	e.readLease()
	if e.rowVersion > 0 && e.lease.Released && e.opts.Timer.Now().Sub(e.versionSeenAt) >= retryPeriod {
		e.acquire("released")
	}
	return retryPeriod
}

// acquireVacant acquires a lease that no host has held yet, and returns the time until the next check. Slower hosts, and hosts
// that own other cells, wait longer, so that others acquire it first.
func (e *Elector) acquireVacant() time.Duration {
	now := e.opts.Timer.Now()
	if e.vacantSince.IsZero() {
		e.vacantSince = now
	}
	if remaining := e.capacityDelay() + e.cellsDelay() + e.vacantJitter() - now.Sub(e.vacantSince); remaining > 0 {
		return remaining
	}
	e.acquire("no-owner")
	return retryPeriod
}

// vacantJitter returns an extra wait, up to maxVacantJitter, that depends on host and cell; for the first cell it is 0. It separates
// the attempts of hosts that are notified of a new cell at the same time, and those of one host for several cells.
func (e *Elector) vacantJitter() time.Duration {
	if e.opts.Cell == 0 {
		return 0
	}
	return time.Duration(cwlayout.Hash(e.opts.Cell.RowName(string(e.opts.Self.ID)))) * time.Millisecond % maxVacantJitter
}

// capacityDelay returns how much longer than the fastest host this one waits before it acquires a lease.
func (e *Elector) capacityDelay() time.Duration {
	return time.Duration(float64(maxCapacityDelay) * max(0, 1-e.opts.Capacity))
}

// acquireDelay returns how long this host waits so that better hosts can acquire the lease first. Of the successors that the last
// owner has advertised, the first one in this data centre waits only if it owns other cells. The other hosts here wait
// slowerHostDelay longer, so they acquire the lease only if that host is down. Without a successor in this data centre the delay
// depends on the capacity of this host.
func (e *Elector) acquireDelay() time.Duration {
	for _, p := range e.opts.Successors() {
		switch {
		case p.ID == e.opts.Self.ID:
			return e.cellsDelay()
		case p.DataCentre == e.opts.Self.DataCentre:
			return slowerHostDelay + e.cellsDelay()
		}
	}
	return e.capacityDelay() + e.cellsDelay()
}

// cellsDelay returns the extra wait of a host that owns other cells: cellDelay for each of them.
func (e *Elector) cellsDelay() time.Duration { return time.Duration(e.opts.OtherCells()) * cellDelay }

// acquireStale acquires a lease whose owner does not respond or cannot renew it, once its row has not changed for staleAfter.
// It returns the time until the next check.
func (e *Elector) acquireStale() time.Duration {
	if !e.readLease() {
		e.queryPeerForOwner()
		return retryPeriod
	}
	remaining := staleAfter + e.acquireDelay() - min(e.opts.Timer.Now().Sub(e.versionSeenAt), e.sinceOutage())
	if remaining <= 0 && e.rowVersion > 0 && !e.isOwner {
		e.acquire("owner-stale")
	}
	return max(minWait, min(remaining, retryPeriod))
}

// sinceOutage returns the time since this host reached the store again after an outage. During an outage the lease's row does
// not change, which is no evidence that the owner has failed. After it, the owner renews the lease as soon as it can, which
// costs far less than a takeover.
func (e *Elector) sinceOutage() time.Duration {
	return e.opts.Timer.Now().Sub(time.Unix(0, e.storeRestoredAt.Load()))
}

// queryPeerForOwner requests the current owner from a peer when the store is unreachable, preferably from one in another data
// centre. Successive queries go to different peers.
func (e *Elector) queryPeerForOwner() {
	peers := e.opts.Successors()
	if remote := slices.DeleteFunc(slices.Clone(peers), func(p cwcellport.EntryHost) bool {
		return p.DataCentre == e.opts.Self.DataCentre
	}); len(remote) > 0 {
		peers = remote
	}
	if len(peers) == 0 {
		return
	}
	e.peerQueryCount++
	peer := peers[e.peerQueryCount%len(peers)]
	response, err := e.opts.Peers.Heartbeat(peer.Address, e.ownHeartbeat())
	if err != nil {
		e.opts.Log.WithFields(cwlog.Fields{"peer": peer.ID, "error": err.Error()}).Debug("peer-silent")
		return
	}
	e.RecordContact(peer.DataCentre)
	e.adoptOwner(response)
}

// adoptOwner replaces the known lease by the one that a peer's response describes, if that names an owner and has a newer version.
func (e *Elector) adoptOwner(response cwcellport.HeartbeatResponse) {
	if response.Owner.ID == "" || response.LeaseVersion <= e.rowVersion {
		return
	}
	e.lease = cwcellcodec.Lease{
		Holder: response.Owner.ID, DataCentre: response.Owner.DataCentre, Address: response.Owner.Address, Fence: response.Fence, Term: e.lease.Term,
		Cells: max(response.Cells, e.lease.Cells),
	}
	e.notifyCellCount()
	e.rowVersion, e.versionSeenAt = response.LeaseVersion, e.opts.Timer.Now()
	e.opts.Log.WithFields(cwlog.Fields{"owner": response.Owner.ID, "fence": response.Fence}).Info("owner-learned")
}

// ownHeartbeat returns the heartbeat that this host sends to an owner or peer.
func (e *Elector) ownHeartbeat() cwcellport.Heartbeat {
	return cwcellport.Heartbeat{
		Cell: e.opts.Cell, From: e.opts.Self, OwnedCells: e.opts.OtherCells(),
		Draining: e.resigned.Load(), StoreOK: e.storeOK.Load(), Capacity: e.opts.Capacity,
		ConfigurationVersion: e.opts.ConfigurationVersion(),
	}
}

// readLease reads the lease's row and reports whether that succeeded, also if there is no row; rowVersion is then 0.
func (e *Elector) readLease() bool {
	key := e.rowKey(RowLease)
	rows, _, err := e.opts.Store.Read(key.Table, key.Partition, key.Key, key.Key+"\x00", storeTimeout)
	e.RecordStoreResult(err)
	if err != nil {
		return false
	}
	if len(rows) == 0 {
		e.rowVersion, e.lease = 0, cwcellcodec.Lease{}
		return true
	}
	return e.applyLease(rows[0])
}

// applyLease updates the known lease from its row and reports whether the row could be decoded. If this host is the owner but the
// row has another fence, it stops being the owner.
func (e *Elector) applyLease(row cwcellport.Row) bool {
	lease, err := cwcellcodec.DecodeLease(row.Value)
	if err != nil {
		e.opts.Log.WithFields(cwlog.Fields{"version": row.Version, "error": err.Error()}).Error("lease-unreadable")
		return false
	}
	// The write that acquires a lease cannot contain its own version, which becomes the fence; renewals contain it.
	if lease.Fence == 0 {
		lease.Fence = row.Version
	}
	now := e.opts.Timer.Now()
	if row.Version != e.rowVersion {
		e.rowVersion, e.versionSeenAt = row.Version, now
	}
	if e.isOwner && lease.Fence != e.fence {
		e.loseLease(lease)
	}
	if lease.Holder != e.lease.Holder {
		e.opts.Log.WithFields(cwlog.Fields{"owner": lease.Holder, "fence": lease.Fence, "version": row.Version}).Info("owner-changed")
	}
	e.lease = lease
	e.notifyCellCount()
	return true
}

// notifyCellCount reports the number of cells in the known lease to the host if the lease records several.
func (e *Elector) notifyCellCount() {
	if e.lease.Cells > 1 {
		e.opts.OnCellCount(e.lease.Cells)
	}
}

// loseLease makes this host stop acting as the owner because of a later owner; newLease is that owner's, or zero if it is unknown.
func (e *Elector) loseLease(newLease cwcellcodec.Lease) {
	e.opts.Log.WithFields(cwlog.Fields{"fence": e.fence, "later-owner": newLease.Holder, "later-fence": newLease.Fence}).Warn("lease-lost")
	e.isOwner = false
	e.publishView()
	e.opts.OnLeaseLost()
}

// RecordStoreResult records from the result of a call whether the store is reachable. Conflict and NotFound are responses of a
// store that works.
func (e *Elector) RecordStoreResult(err error) {
	code := cwfault.CodeOf(err)
	ok := err == nil || code == cwfault.Conflict || code == cwfault.NotFound
	if e.storeOK.Swap(ok) == ok {
		return
	}
	now := e.opts.Timer.Now().UnixNano()
	if !ok {
		e.storeLostAt.Store(now)
		e.opts.Log.WithField("error", err.Error()).Warn("store-lost")
		return
	}
	if since := e.storeLostAt.Load(); since > 0 && time.Duration(now-since) >= minOutage {
		e.storeRestoredAt.Store(now)
	}
	e.opts.Log.Info("store-regained")
}
