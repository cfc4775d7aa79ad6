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

// follow monitors the current owner, acquires the lease if there is none, and returns the time until the next check.
func (e *Elector) follow() (wait time.Duration) {
	if !e.storeOK.Load() && e.lease.DataCentre == e.opts.Self.DataCentre {
		e.queryPeer() // an owner in the same data centre is no evidence that the data centre is connected
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

// heartbeat sends a heartbeat and reports whether the owner responded and can renew its lease.
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
		e.reportCells()
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

// acquireReleased acquires a released lease, unless the designated successor does so first.
func (e *Elector) acquireReleased() time.Duration {
	e.readLease()
	if e.rowVersion > 0 && e.lease.Released && e.opts.Timer.Now().Sub(e.versionSeenAt) >= retryPeriod {
		e.acquire("released")
	}
	return retryPeriod
}

// acquireVacant acquires a lease that nobody has held yet; slower hosts wait so that faster ones acquire it.
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

// vacantJitter separates the attempts of hosts that learn of a new cell at the same time, and of one host for several cells.
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

// acquireDelay returns how long this host waits for others to acquire the lease first. In each data centre the fastest host
// that the last owner knew to reach the store does not wait, so slower hosts acquire the lease only if that one is down.
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

// cellsDelay returns the extra wait of a host that owns other cells.
func (e *Elector) cellsDelay() time.Duration { return time.Duration(e.opts.OtherCells()) * cellDelay }

// acquireStale acquires a lease whose row has not changed for too long, and returns the time until the next check.
func (e *Elector) acquireStale() time.Duration {
	if !e.readLease() {
		e.queryPeer()
		return retryPeriod
	}
	remaining := staleAfter + e.acquireDelay() - min(e.opts.Timer.Now().Sub(e.versionSeenAt), e.sinceOutage())
	if remaining <= 0 && e.rowVersion > 0 && !e.holding {
		e.acquire("owner-stale")
	}
	return max(minWait, min(remaining, retryPeriod))
}

// sinceOutage returns the time since this host reached the store again after an outage. During an outage of the store the
// lease's row does not change, which says nothing about the owner: it renews the lease as soon as it can, and a takeover
// would cost far more.
func (e *Elector) sinceOutage() time.Duration {
	return e.opts.Timer.Now().Sub(time.Unix(0, e.storeRestoredAt.Load()))
}

// queryPeer asks another entry host for the owner when the store is unreachable, preferably one of another data centre.
func (e *Elector) queryPeer() {
	peers := e.opts.Successors()
	if remote := slices.DeleteFunc(slices.Clone(peers), func(p cwcellport.EntryHost) bool {
		return p.DataCentre == e.opts.Self.DataCentre
	}); len(remote) > 0 {
		peers = remote
	}
	if len(peers) == 0 {
		return
	}
	e.peerQueries++
	peer := peers[e.peerQueries%len(peers)]
	response, err := e.opts.Peers.Heartbeat(peer.Address, e.ownHeartbeat())
	if err != nil {
		e.opts.Log.WithFields(cwlog.Fields{"peer": peer.ID, "error": err.Error()}).Debug("peer-silent")
		return
	}
	e.RecordContact(peer.DataCentre)
	e.adoptOwner(response)
}

// adoptOwner updates the owner from a peer's response if that is newer than the known lease.
func (e *Elector) adoptOwner(response cwcellport.HeartbeatResponse) {
	if response.Owner.ID == "" || response.LeaseVersion <= e.rowVersion {
		return
	}
	e.lease = cwcellcodec.Lease{
		Holder: response.Owner.ID, DataCentre: response.Owner.DataCentre, Address: response.Owner.Address, Fence: response.Fence, Term: e.lease.Term,
		Cells: max(response.Cells, e.lease.Cells),
	}
	e.reportCells()
	e.rowVersion, e.versionSeenAt = response.LeaseVersion, e.opts.Timer.Now()
	e.opts.Log.WithFields(cwlog.Fields{"owner": response.Owner.ID, "fence": response.Fence}).Info("owner-learned")
}

func (e *Elector) ownHeartbeat() cwcellport.Heartbeat {
	return cwcellport.Heartbeat{
		Cell: e.opts.Cell, From: e.opts.Self, OwnedCells: e.opts.OtherCells(),
		Draining: e.resigned.Load(), StoreOK: e.storeOK.Load(), Capacity: e.opts.Capacity,
	}
}

// readLease reads the lease's row and reports whether that succeeded.
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

// applyLease updates the state from the current row and ends the ownership if another host holds the lease.
func (e *Elector) applyLease(row cwcellport.Row) bool {
	lease, err := cwcellcodec.DecodeLease(row.Value)
	if err != nil {
		e.opts.Log.WithFields(cwlog.Fields{"version": row.Version, "error": err.Error()}).Error("lease-unreadable")
		return false
	}
	if lease.Fence == 0 {
		lease.Fence = row.Version
	}
	now := e.opts.Timer.Now()
	if row.Version != e.rowVersion {
		e.rowVersion, e.versionSeenAt = row.Version, now
	}
	if e.holding && lease.Fence != e.fence {
		e.loseLease(lease)
	}
	if lease.Holder != e.lease.Holder {
		e.opts.Log.WithFields(cwlog.Fields{"owner": lease.Holder, "fence": lease.Fence, "version": row.Version}).Info("owner-changed")
	}
	e.lease = lease
	e.reportCells()
	return true
}

// reportCells notifies the host if the deployment has several cells.
func (e *Elector) reportCells() {
	if e.lease.Cells > 1 {
		e.opts.OnCellCount(e.lease.Cells)
	}
}

func (e *Elector) loseLease(later cwcellcodec.Lease) {
	e.opts.Log.WithFields(cwlog.Fields{"fence": e.fence, "later-owner": later.Holder, "later-fence": later.Fence}).Warn("lease-lost")
	e.holding = false
	e.publishView()
	e.opts.OnLeaseLost()
}

// RecordStoreResult records the outcome of a call to the store.
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
