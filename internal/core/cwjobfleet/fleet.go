// Package cwjobfleet tracks the workers and peers that an entry host needs to run its jobs.
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

// Worker is a worker that this host has claimed, with its state at the time of the claim.
type Worker struct {
	Address  netip.AddrPort
	Epoch    cwmodel.Epoch
	bootedAt time.Time              // start of its process; zero if not reported
	running  map[cwmodel.TaskID]int // numbers of the attempts that ran at the time of the claim
}

// NewWorker returns a worker that was claimed under an epoch, with the tasks that it was running.
func NewWorker(addr netip.AddrPort, epoch cwmodel.Epoch, bootedAt time.Time, running []cwmodel.RunningTask) *Worker {
	w := &Worker{Address: addr, Epoch: epoch, bootedAt: bootedAt, running: map[cwmodel.TaskID]int{}}
	for _, r := range running {
		w.running[r.Attempt.Task] = r.Attempt.Number
	}
	return w
}

// WasRunning reports whether the worker was running an attempt when it was claimed.
func (w *Worker) WasRunning(a cwmodel.Attempt) bool { return w.running[a.Task] == a.Number }

// HasRecord reports whether the worker still has the record of an attempt, running or ended.
func (w *Worker) HasRecord(a cwmodel.Attempt) bool {
	return w.WasRunning(a) || cwclaim.RetainsEpoch(a.Epoch, w.Epoch, w.bootedAt)
}

// knownWorker is a worker's entry in the host list.
type knownWorker struct {
	addr         netip.AddrPort
	missingSince time.Time // when it was first absent from the list; zero while it is listed
}

// Fleet tracks the workers and peers of one data centre.
type Fleet struct {
	self        cwjob.Coordinator
	peerTimeout time.Duration // time after which a peer that was not seen counts as gone
	owned       map[cwmodel.HostID]*Worker
	known       map[cwmodel.HostID]*knownWorker // workers that are or were on the host list, or were passed to IsMissing
	peers       map[cwmodel.HostID]time.Time    // entry hosts and when they were last seen live
}

// New returns an empty fleet; a peer counts as gone when it has not been seen for peerTimeout.
func New(self cwjob.Coordinator, peerTimeout time.Duration) *Fleet {
	return &Fleet{
		self: self, peerTimeout: peerTimeout, owned: map[cwmodel.HostID]*Worker{},
		known: map[cwmodel.HostID]*knownWorker{}, peers: map[cwmodel.HostID]time.Time{},
	}
}

// AddOwned adds a worker that this host has claimed.
func (f *Fleet) AddOwned(id cwmodel.HostID, w *Worker) { f.owned[id] = w }

// RemoveOwned removes a worker whose claim has ended.
func (f *Fleet) RemoveOwned(id cwmodel.HostID) { delete(f.owned, id) }

// Owned returns a worker that this host owns, if it does.
func (f *Fleet) Owned(id cwmodel.HostID) (w *Worker, ok bool) {
	w, ok = f.owned[id]
	return w, ok
}

// UpdateHosts records the listed workers and the live entry hosts. An empty list of workers is ignored.
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
		f.known[w.ID] = &knownWorker{addr: w.Address}
	}
	for id, worker := range f.known {
		if !present[id] && worker.missingSince.IsZero() {
			worker.missingSince = now
		}
	}
}

// Address returns the last known address of a worker.
func (f *Fleet) Address(id cwmodel.HostID) (addr netip.AddrPort, ok bool) {
	worker, ok := f.known[id]
	if !ok {
		return addr, false
	}
	return worker.addr, worker.addr.IsValid()
}

// IsMissing reports whether a worker that this host does not own has been absent from the host list for longer than d. A
// worker that was never listed counts as absent from the first call about it, whose time IsMissing records. The result is
// false while no host list has arrived.
func (f *Fleet) IsMissing(now time.Time, id cwmodel.HostID, d time.Duration) bool {
	if _, isOwned := f.owned[id]; isOwned || len(f.known) == 0 {
		return false
	}
	worker, ok := f.known[id]
	if !ok {
		worker = &knownWorker{missingSince: now}
		f.known[id] = worker
	}
	return !worker.missingSince.IsZero() && now.Sub(worker.missingSince) > d
}

// LivePeers returns the entry hosts seen live within peerTimeout.
func (f *Fleet) LivePeers(now time.Time) (hosts []cwmodel.HostID) {
	for host, at := range f.peers {
		if now.Sub(at) <= f.peerTimeout {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// ExpirePeers removes peers not seen within peerTimeout and reports whether there were any.
func (f *Fleet) ExpirePeers(now time.Time) (expired bool) {
	for host, at := range f.peers {
		if now.Sub(at) > f.peerTimeout {
			delete(f.peers, host)
			expired = true
		}
	}
	return expired
}

// ShouldAdopt reports whether this host must take over a job: its coordinator is an earlier process of this host, or is gone
// while this host is the preferred owner of the job. The job's ID is the hash key.
func (f *Fleet) ShouldAdopt(now time.Time, job *cwjob.Job) bool {
	if job.Coordinator.Host == f.self.Host {
		return job.Coordinator.Incarnation < f.self.Incarnation
	}
	live := append(f.LivePeers(now), f.self.Host)
	if slices.Contains(live, job.Coordinator.Host) {
		return false
	}
	return cwowner.Preferred(cwmodel.HostID(job.ID), live) == f.self.Host
}

// NeedsReconcile reports whether a dispatched attempt of a job on an owned worker may have to be stopped, or was dispatched
// under another epoch and may have to be resolved.
func (f *Fleet) NeedsReconcile(job *cwjob.Job) bool {
	return slices.ContainsFunc(job.Tasks, func(t cwjob.Task) bool {
		w, ok := f.owned[t.LatestAttempt.Worker]
		return ok && t.Phase == cwjob.PhaseDispatched && (job.IsStopping() || w.Epoch != t.LatestAttempt.Epoch)
	})
}
