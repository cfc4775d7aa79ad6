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

// Fleet is a number of in-memory workers that run each task for its time.
type Fleet struct {
	timer    *cwtimer.Service
	runTime  time.Duration
	mu       sync.Mutex
	workers  map[cwmodel.HostID]*worker
	runEnded chan struct{}
	starts   map[cwwork.TaskKey]int
}

// worker is one worker.
type worker struct {
	entry       cwcellport.WorkerEntry
	fence       uint64
	leaseExpiry time.Time
	lastEnd     uint64
	runs        map[cwwork.TaskKey]int
	ended       []cwcell.RunEnd
	down        bool
}

// racks is how many racks the workers stand in.
const racks = 4

// NewFleet returns n workers of one service, on which every task takes runTime.
func NewFleet(n int, service string, capacity cwmodel.Resources, runTime time.Duration, timer *cwtimer.Service) *Fleet {
	f := &Fleet{timer: timer, runTime: runTime, workers: map[cwmodel.HostID]*worker{}, runEnded: make(chan struct{}), starts: map[cwwork.TaskKey]int{}}
	born := timer.Now()
	for k := range n {
		id := cwmodel.HostID("w" + string(rune('a'+k)))
		f.workers[id] = &worker{
			runs: map[cwwork.TaskKey]int{},
			entry: cwcellport.WorkerEntry{
				WorkerInfo: cwcell.WorkerInfo{ID: id, Service: service, Rack: fmt.Sprintf("r%d", k%racks), Capacity: capacity, Incarnation: born},
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

// Registry returns the list of the workers, which does not change.
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

// SetDown has a worker answer nothing, or answer again.
func (f *Fleet) SetDown(id cwmodel.HostID, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].down = down
}

// Starts returns how often each task was started.
func (f *Fleet) Starts() map[cwwork.TaskKey]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	starts := make(map[cwwork.TaskKey]int, len(f.starts))
	for key, n := range f.starts {
		starts[key] = n
	}
	return starts
}

func (f *Fleet) renewLeases(w cwcellport.WorkerEntry, h cwcellport.LeaseRenewal) (*cwcell.Report, error) {
	asked := f.timer.Now()
	for {
		report, wake, err := f.poll(w.ID, h, asked)
		if err != nil || len(report.Ended) > 0 || f.timer.Now().Sub(asked) >= h.Wait {
			return report, err
		}
		f.timer.Sleep(wake, min(h.Wait, 20*time.Millisecond))
	}
}

func (f *Fleet) poll(id cwmodel.HostID, h cwcellport.LeaseRenewal, asked time.Time) (*cwcell.Report, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.workers[id]
	switch {
	case t.down:
		return nil, nil, cwfault.New(cwfault.Indefinite, "no answer")
	case h.Fence < t.fence:
		return nil, nil, cwfault.New(cwfault.StaleEpoch, "a later owner has called")
	}
	t.fence = h.Fence
	if bound := asked.Add(h.Lease); h.Lease > 0 && bound.After(t.leaseExpiry) {
		t.leaseExpiry = bound
	}
	t.ended = slices.DeleteFunc(t.ended, func(e cwcell.RunEnd) bool { return e.Sequence <= h.Acknowledged })
	report := &cwcell.Report{Worker: id, Incarnation: t.entry.Incarnation, RequestedAt: asked, Ended: slices.Clone(t.ended)}
	for key, run := range t.runs {
		report.Running = append(report.Running, cwcell.RunStatus{Task: key, Run: run})
	}
	return report, f.runEnded, nil
}

func (f *Fleet) start(w cwcellport.WorkerEntry, o *cwcell.StartOrder, fence uint64, _ time.Duration) cwcell.StartResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.workers[w.ID]
	switch {
	case t.down:
		return cwcell.StartNotSent
	case fence < t.fence:
		return cwcell.StartStaleFence
	}
	t.fence = fence
	t.runs[o.Task] = o.Run
	f.starts[o.Task]++
	f.timer.After(f.runTime, func(time.Time) { f.endRun(t, o.Task, o.Run, cwcell.EndDone) })
	return cwcell.StartAccepted
}

func (f *Fleet) stop(w cwcellport.WorkerEntry, o *cwcell.StopOrder, _ uint64) error {
	f.endRun(f.workers[w.ID], o.Task, o.Run, cwcell.EndStopped)
	return nil
}

func (f *Fleet) endRun(t *worker, task cwwork.TaskKey, run int, kind cwcell.EndKind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.runs[task] != run {
		return
	}
	delete(t.runs, task)
	t.lastEnd++
	t.ended = append(t.ended, cwcell.RunEnd{Sequence: t.lastEnd, Task: task, Run: run, Kind: kind})
	close(f.runEnded)
	f.runEnded = make(chan struct{})
}
