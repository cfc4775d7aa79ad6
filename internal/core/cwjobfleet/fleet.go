// Package cwjobfleet holds what an entry host knows of the workers and the peers that matter to its jobs.
package cwjobfleet

import (
	"net/netip"
	"slices"
	"time"

	"currantward/internal/core/cwclaim"
	"currantward/internal/core/cwjob"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwowner"
)

// Worker is a worker that this host may start work on, as its claim found it.
type Worker struct {
	Address netip.AddrPort
	Epoch   cwmodel.Epoch
	booted  time.Time
	running map[cwmodel.TaskID]int // number of the attempt
}

// NewWorker returns a worker that was claimed under an epoch while it ran some tasks.
func NewWorker(addr netip.AddrPort, epoch cwmodel.Epoch, booted time.Time, running []cwmodel.RunningTask) *Worker {
	w := &Worker{Address: addr, Epoch: epoch, booted: booted, running: map[cwmodel.TaskID]int{}}
	for _, r := range running {
		w.running[r.Attempt.Task] = r.Attempt.Number
	}
	return w
}

// WasRunning reports whether the worker ran an attempt when it was claimed.
func (w *Worker) WasRunning(a cwmodel.Attempt) bool { return w.running[a.Task] == a.Number }

// HasRecord reports whether the worker can tell what became of an attempt.
func (w *Worker) HasRecord(a cwmodel.Attempt) bool {
	return w.WasRunning(a) || cwclaim.RetainsEpoch(a.Epoch, w.Epoch, w.booted)
}

// listing is what the host list says of one worker.
type listing struct {
	addr    netip.AddrPort
	missing time.Time // when it was first seen to be gone; zero while it is listed
}

// Fleet holds the workers and peers of one data centre.
type Fleet struct {
	self   cwjob.Coordinator
	goneBy time.Duration // without a sign of life after which a peer counts as gone
	owned  map[cwmodel.HostID]*Worker
	listed map[cwmodel.HostID]*listing  // workers that the host list shows or has shown
	peers  map[cwmodel.HostID]time.Time // entry hosts, by when they were last live
}

// New returns a fleet without workers or peers; a peer counts as gone once it was not seen for goneBy.
func New(self cwjob.Coordinator, goneBy time.Duration) *Fleet {
	return &Fleet{
		self: self, goneBy: goneBy, owned: map[cwmodel.HostID]*Worker{},
		listed: map[cwmodel.HostID]*listing{}, peers: map[cwmodel.HostID]time.Time{},
	}
}

// AddOwned takes a worker that was claimed.
func (f *Fleet) AddOwned(id cwmodel.HostID, w *Worker) { f.owned[id] = w }

// RemoveOwned takes a worker away whose claim has ended.
func (f *Fleet) RemoveOwned(id cwmodel.HostID) { delete(f.owned, id) }

// Owned returns a worker that this host owns.
func (f *Fleet) Owned(id cwmodel.HostID) (w *Worker, ok bool) {
	w, ok = f.owned[id]
	return w, ok
}

// UpdateHosts notes which workers the host list shows and which entry hosts are live.
func (f *Fleet) UpdateHosts(now time.Time, workers []cwmodel.Host, hosts []cwmodel.HostID) {
	for _, host := range hosts {
		f.peers[host] = now
	}
	if len(workers) == 0 {
		return
	}
	present := map[cwmodel.HostID]bool{}
	for _, w := range workers {
		present[w.ID] = true
		f.listed[w.ID] = &listing{addr: w.Address}
	}
	for id, l := range f.listed {
		if !present[id] && l.missing.IsZero() {
			l.missing = now
		}
	}
}

// Address returns the last listed address of a worker.
func (f *Fleet) Address(id cwmodel.HostID) (addr netip.AddrPort, ok bool) {
	l, ok := f.listed[id]
	if !ok {
		return addr, false
	}
	return l.addr, l.addr.IsValid()
}

// IsMissing reports whether a worker that this host does not own has been missing from the list for longer than d.
func (f *Fleet) IsMissing(now time.Time, id cwmodel.HostID, d time.Duration) bool {
	if _, isOwned := f.owned[id]; isOwned || len(f.listed) == 0 {
		return false
	}
	l, ok := f.listed[id]
	if !ok {
		l = &listing{missing: now}
		f.listed[id] = l
	}
	return !l.missing.IsZero() && now.Sub(l.missing) > d
}

// LivePeers returns the entry hosts that were live until lately.
func (f *Fleet) LivePeers(now time.Time) (hosts []cwmodel.HostID) {
	for host, at := range f.peers {
		if now.Sub(at) <= f.goneBy {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// ExpirePeers drops the peers that are gone and reports whether there were any.
func (f *Fleet) ExpirePeers(now time.Time) (isAny bool) {
	for host, at := range f.peers {
		if now.Sub(at) > f.goneBy {
			delete(f.peers, host)
			isAny = true
		}
	}
	return isAny
}

// MayAdopt reports whether the home of a job is gone and this host is the one to take over.
func (f *Fleet) MayAdopt(now time.Time, job *cwjob.Job) bool {
	if job.Coordinator.Host == f.self.Host {
		return job.Coordinator.Incarnation < f.self.Incarnation
	}
	live := append(f.LivePeers(now), f.self.Host)
	if slices.Contains(live, job.Coordinator.Host) {
		return false
	}
	return cwowner.Preferred(cwmodel.HostID(job.ID), live) == f.self.Host
}

// NeedsReconcile reports whether an attempt on a worker of this host may have to be settled or stopped.
func (f *Fleet) NeedsReconcile(job *cwjob.Job) bool {
	return slices.ContainsFunc(job.Tasks, func(t cwjob.Task) bool {
		w, ok := f.owned[t.Attempt.Worker]
		return ok && t.Phase == cwjob.PhaseDispatched && (job.IsStopping() || w.Epoch != t.Attempt.Epoch)
	})
}
