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

// follow looks after the present owner, takes the lease if there is none, and returns when to look again.
func (k *Elector) follow() (wait time.Duration) {
	if !k.storeOK.Load() && k.lease.DataCentre == k.opts.Self.DataCentre {
		k.askPeers() // the owner's answers do not tell whether this data centre is cut off
	}
	if k.version == 0 && !k.readLease() {
		return retryPeriod
	}
	switch {
	case k.leaving.Load():
		k.pulse()
		return pulsePeriod
	case k.version == 0:
		return k.takeFirst()
	case !k.lease.Released && k.lease.Holder == k.opts.Self.ID && k.lease.Address == k.opts.Self.Address:
		k.take("own-earlier-life")
		return retryPeriod
	case k.lease.Released:
		return k.takeReleased()
	}
	if k.pulse() {
		return pulsePeriod
	}
	return k.takeStale()
}

// pulse reports whether the owner answered and is well.
func (k *Elector) pulse() bool {
	answer, err := k.opts.Peers.Heartbeat(k.lease.Address, k.ownPulse())
	now := k.opts.Timer.Now()
	if err != nil {
		if k.failed++; k.failed == 1 {
			k.opts.Log.WithFields(cwlog.Fields{"owner": k.lease.Holder, "error": err.Error()}).Warn("owner-silent")
		}
		return false
	}
	k.RecordContact(k.lease.DataCentre)
	if k.failed > 0 {
		k.opts.Log.WithFields(cwlog.Fields{"owner": k.lease.Holder, "pulses": k.failed}).Info("owner-answers")
		k.failed = 0
	}
	if !answer.IsOwner {
		if !k.readLease() {
			k.learnOwner(answer)
		}
		return false
	}
	if answer.LeaseVersion > k.version {
		k.version, k.seen = answer.LeaseVersion, now
	}
	if answer.Cells > k.lease.Cells {
		k.lease.Cells = answer.Cells
		k.noteCells()
	}
	k.opts.ResponseReceived(answer)
	if answer.RenewalFailing {
		if fence := k.lease.Fence; k.waitsFor() == 0 && k.readLease() && k.lease.Fence == fence && k.sinceReturn() >= staleAfter {
			k.take("owner-unwell")
		}
		return false
	}
	return true
}

// takeReleased takes a lease that its holder has given up, unless the named successor does so first.
func (k *Elector) takeReleased() time.Duration {
	k.readLease()
	if k.version > 0 && k.lease.Released && k.opts.Timer.Now().Sub(k.seen) >= retryPeriod {
		k.take("released")
	}
	return retryPeriod
}

// takeFirst takes the lease where nobody ever had one; slow hosts let faster ones do so.
func (k *Elector) takeFirst() time.Duration {
	now := k.opts.Timer.Now()
	if k.vacant.IsZero() {
		k.vacant = now
	}
	if left := k.slowness() + k.burden() + k.spread() - now.Sub(k.vacant); left > 0 {
		return left
	}
	k.take("no-owner")
	return retryPeriod
}

// spread sets the hosts apart that hear of a new cell at the same time, and the cells that one host hears of.
func (k *Elector) spread() time.Duration {
	if k.opts.Cell == 0 {
		return 0
	}
	return time.Duration(cwlayout.Hash(k.opts.Cell.RowName(string(k.opts.Self.ID)))) * time.Millisecond % firstSpread
}

// slowness is how much longer than the fastest host this one waits before it takes a lease.
func (k *Elector) slowness() time.Duration {
	return time.Duration(float64(slowestDelay) * max(0, 1-k.opts.Capacity))
}

// waitsFor is how long this host lets others take a lease first. The fastest host of each data centre that the last owner
// knew to reach the store does not wait, so that slow ones take it only where those are gone.
func (k *Elector) waitsFor() time.Duration {
	for _, p := range k.opts.Successors() {
		switch {
		case p.ID == k.opts.Self.ID:
			return k.burden()
		case p.DataCentre == k.opts.Self.DataCentre:
			return followerDelay + k.burden()
		}
	}
	return k.slowness() + k.burden()
}

// burden is how much longer a host waits that owns other cells.
func (k *Elector) burden() time.Duration { return time.Duration(k.opts.OtherCells()) * burdenDelay }

// takeStale takes a lease whose row has stood still for too long, and returns when to look again.
func (k *Elector) takeStale() time.Duration {
	if !k.readLease() {
		k.askPeers()
		return retryPeriod
	}
	left := staleAfter + k.waitsFor() - min(k.opts.Timer.Now().Sub(k.seen), k.sinceReturn())
	if left <= 0 && k.version > 0 && !k.holding {
		k.take("owner-stale")
	}
	return max(shortestWait, min(left, retryPeriod))
}

// sinceReturn is how long ago this host has regained the store after an outage. The owner's row stands still in an outage of
// the store, which says nothing about the owner: it renews the lease as soon as it can, and a takeover would cost far more.
func (k *Elector) sinceReturn() time.Duration {
	return k.opts.Timer.Now().Sub(time.Unix(0, k.back.Load()))
}

// askPeers looks for the owner through another entry host, of another data centre if there is one, for a host that the store
// refuses.
func (k *Elector) askPeers() {
	peers := k.opts.Successors()
	if elsewhere := slices.DeleteFunc(slices.Clone(peers), func(p cwcellport.EntryHost) bool {
		return p.DataCentre == k.opts.Self.DataCentre
	}); len(elsewhere) > 0 {
		peers = elsewhere
	}
	if len(peers) == 0 {
		return
	}
	k.asked++
	peer := peers[k.asked%len(peers)]
	answer, err := k.opts.Peers.Heartbeat(peer.Address, k.ownPulse())
	if err != nil {
		k.opts.Log.WithFields(cwlog.Fields{"peer": peer.ID, "error": err.Error()}).Debug("peer-silent")
		return
	}
	k.RecordContact(peer.DataCentre)
	k.learnOwner(answer)
}

// learnOwner takes a peer's word on who owns the cell if that is newer than what is known here.
func (k *Elector) learnOwner(answer cwcellport.HeartbeatResponse) {
	if answer.Owner.ID == "" || answer.LeaseVersion <= k.version {
		return
	}
	k.lease = cwcellcodec.Lease{
		Holder: answer.Owner.ID, DataCentre: answer.Owner.DataCentre, Address: answer.Owner.Address, Fence: answer.Fence, Term: k.lease.Term,
		Cells: max(answer.Cells, k.lease.Cells),
	}
	k.noteCells()
	k.version, k.seen = answer.LeaseVersion, k.opts.Timer.Now()
	k.opts.Log.WithFields(cwlog.Fields{"owner": answer.Owner.ID, "fence": answer.Fence}).Info("owner-learned")
}

func (k *Elector) ownPulse() cwcellport.Heartbeat {
	return cwcellport.Heartbeat{
		Cell: k.opts.Cell, From: k.opts.Self, Owned: k.opts.OtherCells(),
		Leaving: k.leaving.Load(), StoreOK: k.storeOK.Load(), Capacity: k.opts.Capacity,
	}
}

// readLease reads the lease's row and reports whether the store answered.
func (k *Elector) readLease() bool {
	key := k.row(RowLease)
	rows, _, err := k.opts.Store.Read(key.Table, key.Partition, key.Key, key.Key+"\x00", callTimeout)
	k.RecordStoreResult(err)
	if err != nil {
		return false
	}
	if len(rows) == 0 {
		k.version, k.lease = 0, cwcellcodec.Lease{}
		return true
	}
	return k.seeLease(rows[0])
}

// seeLease takes the present row and notes if another host holds the lease.
func (k *Elector) seeLease(row cwcellport.Row) bool {
	lease, err := cwcellcodec.DecodeLease(row.Value)
	if err != nil {
		k.opts.Log.WithFields(cwlog.Fields{"version": row.Version, "error": err.Error()}).Error("lease-unreadable")
		return false
	}
	if lease.Fence == 0 {
		lease.Fence = row.Version
	}
	now := k.opts.Timer.Now()
	if row.Version != k.version {
		k.version, k.seen = row.Version, now
	}
	if k.holding && lease.Fence != k.fence {
		k.lose(lease)
	}
	if lease.Holder != k.lease.Holder {
		k.opts.Log.WithFields(cwlog.Fields{"owner": lease.Holder, "fence": lease.Fence, "version": row.Version}).Info("owner-changed")
	}
	k.lease = lease
	k.noteCells()
	return true
}

// noteCells tells the host if the deployment has several cells.
func (k *Elector) noteCells() {
	if k.lease.Cells > 1 {
		k.opts.CellsChanged(k.lease.Cells)
	}
}

func (k *Elector) lose(later cwcellcodec.Lease) {
	k.opts.Log.WithFields(cwlog.Fields{"fence": k.fence, "later-owner": later.Holder, "later-fence": later.Fence}).Warn("lease-lost")
	k.holding = false
	k.publish()
	k.opts.Lost()
}

// RecordStoreResult takes the outcome of a call to the store.
func (k *Elector) RecordStoreResult(err error) {
	code := cwfault.CodeOf(err)
	ok := err == nil || code == cwfault.Conflict || code == cwfault.NotFound
	if k.storeOK.Swap(ok) == ok {
		return
	}
	now := k.opts.Timer.Now().UnixNano()
	if !ok {
		k.lost.Store(now)
		k.opts.Log.WithField("error", err.Error()).Warn("store-lost")
		return
	}
	if since := k.lost.Load(); since > 0 && time.Duration(now-since) >= outage {
		k.back.Store(now)
	}
	k.opts.Log.Info("store-regained")
}
