package cwcellowner

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/panjf2000/ants/v2"

	"currantward/internal/adapter/cwcellmemory"
	"currantward/internal/app/cwlease"
	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwring"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwcell"
	"currantward/internal/core/cwlayout"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
	"currantward/internal/port/cwcellport"
)

// testSession is the session of an owner over an in-memory store, whose duty is the test itself.
type testSession struct {
	*session
	t          *testing.T
	memory     *cwcellmemory.Store
	timer      *cwtimer.Manual
	superseded int    // calls of OnSuperseded
	ends       uint64 // that the worker has reported
	// onCommit is called before each commit of the session; an error is its result, and then nothing is applied. It may be nil.
	onCommit func(t cwcellport.Transaction) error
	// fault returns the fault of a commit; nil injects none.
	fault func(t cwcellport.Transaction) cwcellmemory.Fault
}

// testFence is the fence of a testSession.
const testFence = 10

// newTestSession returns a session whose partitions are taken over and empty, with a worker "a".
func newTestSession(t *testing.T, partitions int) *testSession {
	t.Helper()
	s := &testSession{t: t, timer: cwtimer.NewManual(time.Unix(1000, 0))}
	s.memory = cwcellmemory.NewStore(s.timer.Service)
	s.memory.InjectFault = func(tx cwcellport.Transaction) cwcellmemory.Fault {
		if s.fault == nil {
			return cwcellmemory.FaultNone
		}
		return s.fault(tx)
	}
	pool, err := ants.NewPool(64)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(pool.Release)
	store := s.memory.Port(partitions)
	commit := store.Commit
	store.Commit = func(tx cwcellport.Transaction, timeout time.Duration) (uint64, []cwcellport.Row, error) {
		if s.onCommit != nil {
			if err := s.onCommit(tx); err != nil {
				return 0, nil, err
			}
		}
		return commit(tx, timeout)
	}
	policy := cwwork.QueuePolicy{Service: "portal", MaxAttempts: 2, Stretch: 2, TargetLatency: time.Second}
	s.session = &session{
		owner: &Owner{
			inbox: cwring.New[func(now time.Time)](inboxSlots),
			opts: Options{
				Store: store, Timer: s.timer.Service, Log: cwlog.Discard(), Pool: pool, Observe: func(Observation) {},
				OnSuperseded: func() { s.superseded++ }, OwnedUntil: func(uint64) time.Time { return s.timer.Now() },
				HoldsLease: func(time.Time) bool { return true }, Policy: func(cwwork.QueueName) (cwwork.QueuePolicy, bool) { return policy, true },
			},
		},
		grant:         cwlease.Grant{Fence: testFence, Layout: cwlayout.Layout{Cells: 1}},
		cancelWaiters: map[cwmodel.JobID][]func(){},
		partitions:    map[string]*partition{},
		commits:       newCommitState(partition{loaded: true, chainRowName: "chain-0"}),
		startedAt:     s.timer.Now(),
	}
	s.cell = cwcell.New(cwcell.Options{
		Policy:      s.owner.opts.Policy,
		LeaseExpiry: func(cwmodel.HostID) time.Time { return time.Time{} },
		OwnedUntil:  s.timer.Now,
	})
	for n := range partitions {
		name := cwlayout.PartitionName(n)
		p := &partition{name: name, chainRowName: keyChain}
		s.partitions[name], s.partitionNames = p, append(s.partitionNames, name)
		snapshot, err := s.takeOverPartition(name)
		if err != nil {
			t.Fatal(err)
		}
		s.applyPartition(name, snapshot, s.timer.Now())
	}
	s.cell.UpdateWorker(cwcell.WorkerInfo{ID: "a", Service: "portal", Capacity: cwmodel.Resources{MilliProcessors: 8000}}, s.timer.Now())
	return s
}

// admitJob admits a job of one step with the given number of tasks.
func (s *testSession) admitJob(id cwmodel.JobID, tasks int) {
	j := &cwwork.Submission{ID: id, Queue: "q", Steps: []cwwork.Step{{Count: tasks}}, Policy: cwwork.QueuePolicy{Service: "portal"}}
	s.cell.Admit(j, nil, false, s.timer.Now(), s.timer.Now())
}

// finish lets the worker report that a task of a job is done.
func (s *testSession) finish(id cwmodel.JobID, index int) {
	s.ends++
	end := cwcell.RunEnd{Sequence: s.ends, Task: cwwork.TaskKey{StepKey: cwwork.StepKey{Job: id}, Index: index}, Run: 1, Kind: cwcell.EndDone}
	s.cell.HandleReport(&cwcell.Report{Worker: "a", Incarnation: time.Unix(1000, 0), RequestedAt: s.timer.Now(), Ended: []cwcell.RunEnd{end}}, s.timer.Now())
}

// drive commits for a time, in steps of 20 ms, and applies the results of each step before the next one.
func (s *testSession) drive(d time.Duration) {
	for end := s.timer.Now().Add(d); s.timer.Now().Before(end); {
		s.timer.Advance(20 * time.Millisecond)
		s.commit(s.timer.Now())
		for s.isCommitting() {
			for _, handle := range s.owner.inbox.Drain(context.Background(), nil) {
				handle(s.timer.Now())
			}
		}
	}
}

// isCommitting reports whether some partition has a transaction in flight.
func (s *testSession) isCommitting() bool {
	for _, p := range s.partitions {
		if p.busy {
			return true
		}
	}
	return s.commits.cellPartition.busy
}

// hasRow reports whether a table has a row of a job.
func (s *testSession) hasRow(table string, id cwmodel.JobID) bool {
	return slices.ContainsFunc(s.memory.Keys(table), func(key string) bool { return strings.HasPrefix(key, string(id)) })
}
