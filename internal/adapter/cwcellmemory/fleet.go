package cwcellmemory

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwcell"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
	"currantward/internal/port/cwcellport"
)

// Fleet is a set of in-memory workers on which every task takes the same time. Their capacity is not enforced.
type Fleet struct {
	timer    *cwtimer.Service
	runTime  time.Duration // of every task
	mu       sync.Mutex
	workers  map[cwmodel.HostID]*worker
	runEnded chan struct{}          // closed and replaced when a run of any worker ends
	starts   map[cwwork.TaskKey]int // number of starts of each task
}

// worker is an in-memory worker.
type worker struct {
	entry           cwcellport.WorkerEntry
	fence           uint64                 // highest fencing token received
	leaseExpiry     time.Time              // when every lease granted so far has expired
	lastEndSequence uint64                 // sequence number of the latest run end
	runs            map[cwwork.TaskKey]int // run number of each running task
	ended           []cwcell.RunEnd        // not acknowledged
	down            bool                   // unreachable
}

// rackCount is the number of racks over which the workers are distributed.
const rackCount = 4

// NewFleet returns n workers of one service, on which every task takes runTime.
func NewFleet(n int, service string, capacity cwmodel.Resources, runTime time.Duration, timer *cwtimer.Service) *Fleet {
	f := &Fleet{timer: timer, runTime: runTime, workers: map[cwmodel.HostID]*worker{}, runEnded: make(chan struct{}), starts: map[cwwork.TaskKey]int{}}
	incarnation := timer.Now()
	for k := range n {
		id := cwmodel.HostID("w" + string(rune('a'+k)))
		f.workers[id] = &worker{
			runs: map[cwwork.TaskKey]int{},
			entry: cwcellport.WorkerEntry{
				WorkerInfo: cwcell.WorkerInfo{ID: id, Service: service, Rack: fmt.Sprintf("r%d", k%rackCount), Capacity: capacity, Incarnation: incarnation},
				Address:    netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+k)),
			},
		}
	}
	return f
}

// Workers returns the port to the workers.
func (f *Fleet) Workers() cwcellport.Workers {
	return cwcellport.Workers{
		RenewLeases: f.renewLeases, Start: f.start, Stop: f.stop,
		LeaseExpiry: func(id cwmodel.HostID) time.Time {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.workers[id].leaseExpiry
		},
		Evict: func(cwmodel.HostID) {},
	}
}

// Registry returns the port to the list of workers, which never changes.
func (f *Fleet) Registry() cwcellport.Registry {
	return cwcellport.Registry{
		List: func(time.Duration) (list []cwcellport.WorkerEntry, version uint64, err error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			for _, w := range f.workers {
				list = append(list, w.entry)
			}
			return list, 1, nil
		},
		Watch: func(after uint64, wait time.Duration) ([]cwcellport.WorkerEntry, uint64, error) {
			f.timer.Sleep(nil, wait)
			return nil, after, nil
		},
	}
}

// SetDown makes a worker unreachable if down is true, or reachable again. Its tasks continue.
func (f *Fleet) SetDown(id cwmodel.HostID, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].down = down
}

// Starts returns how often each task was started, on any worker.
func (f *Fleet) Starts() map[cwwork.TaskKey]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	starts := make(map[cwwork.TaskKey]int, len(f.starts))
	for key, n := range f.starts {
		starts[key] = n
	}
	return starts
}

// renewLeases applies a renewal, and repeats it until there is a run end to report or renewal.Wait has elapsed.
func (f *Fleet) renewLeases(w cwcellport.WorkerEntry, renewal cwcellport.LeaseRenewal) (*cwcell.Report, error) {
	requestedAt := f.timer.Now()
	for {
		report, runEnded, err := f.applyRenewal(w.ID, renewal, requestedAt)
		if err != nil || len(report.Ended) > 0 || f.timer.Now().Sub(requestedAt) >= renewal.Wait {
			return report, err
		}
		f.timer.Sleep(runEnded, min(renewal.Wait, 20*time.Millisecond))
	}
}

// applyRenewal records the fence, extends the leases, drops the acknowledged run ends and returns the worker's report. The channel is
// closed when the next run of any worker ends.
func (f *Fleet) applyRenewal(id cwmodel.HostID, renewal cwcellport.LeaseRenewal, requestedAt time.Time) (*cwcell.Report, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	switch {
	case w.down:
		return nil, nil, cwfault.New(cwfault.Indefinite, "no answer")
	case renewal.Fence < w.fence:
		return nil, nil, cwfault.New(cwfault.StaleEpoch, "a later owner has called")
	}
	w.fence = renewal.Fence
	if expiry := requestedAt.Add(renewal.TaskLease); renewal.TaskLease > 0 && expiry.After(w.leaseExpiry) {
		w.leaseExpiry = expiry
	}
	w.ended = slices.DeleteFunc(w.ended, func(e cwcell.RunEnd) bool { return e.Sequence <= renewal.Acknowledged })
	report := &cwcell.Report{Worker: id, Incarnation: w.entry.Incarnation, RequestedAt: requestedAt, Ended: slices.Clone(w.ended)}
	for key, run := range w.runs {
		report.Running = append(report.Running, cwcell.RunStatus{Task: key, Run: run})
	}
	return report, f.runEnded, nil
}

func (f *Fleet) start(w cwcellport.WorkerEntry, o *cwcell.StartOrder, fence uint64, _ time.Duration) (result cwcell.StartResult, earlierLeaseExpiry time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	target := f.workers[w.ID]
	switch {
	case target.down:
		return cwcell.StartNotSent, earlierLeaseExpiry
	case fence < target.fence:
		return cwcell.StartStaleFence, earlierLeaseExpiry
	}
	target.fence = fence
	target.runs[o.Task] = o.Run
	f.starts[o.Task]++
	f.timer.After(f.runTime, func(time.Time) { f.endRun(target, o.Task, o.Run, cwcell.EndDone) })
	return cwcell.StartAccepted, f.timer.Now()
}

// stop ends a run whatever the fence, even on a worker that is down.
func (f *Fleet) stop(w cwcellport.WorkerEntry, o *cwcell.StopOrder, _ uint64) error {
	f.endRun(f.workers[w.ID], o.Task, o.Run, cwcell.EndStopped)
	return nil
}

// endRun ends a run, unless the task is not running or is running under another run number.
func (f *Fleet) endRun(w *worker, task cwwork.TaskKey, run int, kind cwcell.EndKind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.runs[task] != run {
		return
	}
	delete(w.runs, task)
	w.lastEndSequence++
	w.ended = append(w.ended, cwcell.RunEnd{Sequence: w.lastEndSequence, Task: task, Run: run, Kind: kind})
	close(f.runEnded)
	f.runEnded = make(chan struct{})
}
