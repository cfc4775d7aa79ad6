package cwlease

import (
	"time"

	"currantward/internal/adapter/cwcellcodec"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwlog"
	"currantward/internal/core/cwlayout"
	"currantward/internal/port/cwcellport"
)

// take tries to take the lease from the row that is known. The same transaction moves the chain row, which fences the
// writes of the former owner.
func (k *Elector) take(why string) { k.takeDivided(why, max(k.lease.Cells, k.opts.Cells)) }

// takeDivided takes the lease of a deployment of the given number of cells.
func (k *Elector) takeDivided(why string, cells int) {
	if k.holding {
		return
	}
	former, formerVersion, seen := k.lease, k.version, k.seen
	lease := cwcellcodec.Lease{
		Holder: k.opts.Self.ID, DataCentre: k.opts.Self.DataCentre, Address: k.opts.Self.Address, Term: former.Term + 1,
		Cells: cells,
	}
	sent := k.opts.Timer.Now()
	version, present, err := k.commitLease(lease, formerVersion, true)
	if err != nil {
		k.opts.Log.WithFields(cwlog.Fields{"why": why, "version": formerVersion, "error": err.Error()}).Info("lease-not-taken")
		if len(present) > 0 {
			k.seeLease(present[0])
		}
		return
	}
	lease.Fence = version
	k.lease, k.version, k.seen = lease, version, sent
	k.holding, k.fence, k.until, k.renewed = true, version, sent.Add(TTL), sent
	k.failed, k.nextRenewal = 0, sent.Add(renewPeriod)
	t := Grant{Fence: version, Term: lease.Term, ChainVersion: version, PriorLeaseExpiry: sent, Layout: cwlayout.Layout{Cells: cells}}
	if formerVersion > 0 {
		t.PriorLeaseExpiry = k.inherited(former, seen)
	}
	k.opts.Log.WithFields(cwlog.Fields{
		"why": why, "cell": k.opts.Cell, "fence": version, "term": lease.Term, "former-owner": former.Holder, "former-version": formerVersion,
	}).Info("lease-taken")
	k.publish()
	k.noteCells()
	k.opts.Acquired(t)
}

// inherited returns when everything that the former owner may have left on a worker that does not answer is over. It acted
// at most until its lease was over, which it last renewed before this host first saw the row's version. What it ordered
// last began within the window of starts and ran under leases that are longer than that.
func (k *Elector) inherited(former cwcellcodec.Lease, seen time.Time) time.Time {
	stopped := k.opts.Timer.Now()
	ownLife := former.Holder == k.opts.Self.ID && former.Address == k.opts.Self.Address
	if end := seen.Add(TTL); !former.Released && !ownLife && end.After(stopped) {
		stopped = end
	}
	return stopped.Add(time.Duration(float64(max(k.opts.TaskLease, k.opts.StartWindow)) * (1 + 2*ClockDrift)))
}

// commitLease writes the lease's row if that still has the given version.
func (k *Elector) commitLease(lease cwcellcodec.Lease, expected uint64, taking bool) (uint64, []cwcellport.Row, error) {
	value, err := cwcellcodec.EncodeLease(lease)
	if err != nil {
		return 0, nil, err
	}
	key := k.row(RowLease)
	t := cwcellport.Transaction{
		Preconditions: []cwcellport.Precondition{{RowKey: key, Version: expected}},
		Put:           []cwcellport.Row{{RowKey: key, Value: value}},
	}
	if taking {
		t.Put = append(t.Put, cwcellport.Row{RowKey: k.row(RowChain), Value: []byte(lease.Holder)})
	}
	version, present, err := k.opts.Store.Commit(t, callTimeout)
	k.RecordStoreResult(err)
	return version, present, err
}

// renew extends the lease and returns when to do so again.
func (k *Elector) renew() (wait time.Duration) {
	sent := k.opts.Timer.Now()
	if sent.Before(k.nextRenewal) {
		return k.nextRenewal.Sub(sent)
	}
	k.nextRenewal = sent.Add(retryPeriod)
	lease := k.lease
	lease.Fence = k.fence
	lease.Renewal++
	version, present, err := k.commitLease(lease, k.version, false)
	switch {
	case err == nil:
		if late := sent.Sub(k.renewed); late > 2*renewPeriod {
			k.opts.Log.WithFields(cwlog.Fields{"fence": k.fence, "since": late}).Warn("lease-renewed-late")
		}
		k.lease, k.version, k.renewed, k.until = lease, version, sent, sent.Add(TTL)
		k.nextRenewal = sent.Add(renewPeriod)
		return max(0, k.nextRenewal.Sub(k.opts.Timer.Now()))
	case cwfault.CodeOf(err) == cwfault.Conflict && len(present) > 0:
		// An unanswered renewal may have been done: then the row is still ours, at a later version.
		k.seeLease(present[0])
	default:
		k.opts.Log.WithFields(cwlog.Fields{"fence": k.fence, "error": err.Error()}).Warn("lease-not-renewed")
	}
	return retryPeriod
}

// release gives the lease up, after this host has stopped to act as the owner.
func (k *Elector) release() {
	k.holding = false
	k.publish()
	k.opts.Lost()
	lease := k.lease
	lease.Fence, lease.Released = k.fence, true
	version, _, err := k.commitLease(lease, k.version, false)
	if err != nil {
		k.opts.Log.WithFields(cwlog.Fields{"fence": k.fence, "error": err.Error()}).Warn("lease-not-released")
		return
	}
	k.lease, k.version, k.seen = lease, version, k.opts.Timer.Now()
	k.opts.Log.WithField("fence", k.fence).Info("lease-released")
}

// divide ends the tenure and begins one whose lease says that there are several cells. Until the row says so, nothing has
// changed: the lease is taken again as that of an earlier life.
func (k *Elector) divide() {
	k.holding = false
	k.publish()
	k.opts.Lost()
	k.takeDivided("divided", int(k.wanted.Load()))
}

// row returns the key of one of the cell's own rows.
func (k *Elector) row(name string) cwcellport.RowKey {
	return cwcellport.RowKey{Table: TableCell, Key: k.opts.Cell.RowName(name)}
}
