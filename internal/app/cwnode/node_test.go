package cwnode

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/adapter/cwcellmemory"
	"currantward/internal/adapter/cwcellpeer"
	"currantward/internal/app/cwcellowner"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwcell"
	"currantward/internal/core/cwlayout"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
	"currantward/internal/port/cwcellport"
)

// cluster is several nodes in one process over an in-memory store and in-memory workers.
type cluster struct {
	t             *testing.T
	timer         *cwtimer.Service
	store         *cwcellmemory.Store
	fleet         *cwcellmemory.Fleet
	mu            sync.Mutex
	nodes         map[netip.AddrPort]*testNode
	storeDown     atomic.Bool // the store fails every call
	fault         atomic.Pointer[func(cwcellport.Transaction) cwcellmemory.Fault]
	requiredCells atomic.Int64 // number of cells that the nodes require; 0 counts as 1
}

// testNode is one node of a cluster.
type testNode struct {
	node       *Node
	stop       func()
	server     cwcellpeer.ServerOptions
	storeFails bool // the store fails the calls of this node
	stopped    bool
}

const service = "portal"

var policy = cwwork.QueuePolicy{Service: service, MaxAttempts: 3, Stretch: 2, TargetLatency: time.Second}

// newCluster starts a cluster of nodes with equal processor shares, and of workers on which every task takes runTime.
func newCluster(t *testing.T, nodes, workers int, runTime time.Duration) *cluster {
	timer, stop := cwtimer.NewMonotonic()
	c := &cluster{t: t, timer: timer, store: cwcellmemory.NewStore(timer), nodes: map[netip.AddrPort]*testNode{}}
	c.store.Down = c.storeDown.Load
	c.store.InjectFault = func(t cwcellport.Transaction) cwcellmemory.Fault {
		if injectFault := c.fault.Load(); injectFault != nil {
			return (*injectFault)(t)
		}
		return cwcellmemory.FaultNone
	}
	c.fleet = cwcellmemory.NewFleet(workers, service, cwmodel.Resources{MilliProcessors: 8000, MemoryBytes: 8 << 30}, runTime, timer)
	for n := range nodes {
		c.add(n, 1)
	}
	t.Cleanup(func() {
		for _, m := range c.nodes {
			m.stop()
		}
		stop()
	})
	return c
}

// add starts node number n with the given processor share.
func (c *cluster) add(n int, capacity float64) *testNode {
	addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(20000+n))
	m := &testNode{}
	source := cwcellport.ConfigurationSource{
		Read: func(time.Duration) (*cwcellport.Configuration, uint64, error) {
			return &cwcellport.Configuration{Version: 1, Queues: []cwcellport.Queue{{Host: "h", Prefix: "/q/", Policy: policy}}}, 1, c.storeError(m)
		},
		Watch: func(after uint64, wait time.Duration) (*cwcellport.Configuration, uint64, error) {
			c.timer.Sleep(nil, min(wait, 50*time.Millisecond))
			return nil, after, c.storeError(m)
		},
		Probe: func(time.Duration) error { return c.storeError(m) },
	}
	c.mu.Lock()
	c.nodes[addr] = m
	c.mu.Unlock()
	node, stop, err := Start(Options{
		Self:     cwcellport.EntryHost{ID: cwmodel.HostID(fmt.Sprintf("host-%d", n)), DataCentre: "dc", Address: addr},
		PeerBind: netip.MustParseAddrPort("127.0.0.1:0"), Capacity: capacity, Seed: uint64(n), Timer: c.timer, Log: cwlog.Discard(),
		Store: c.storeOf(m), Registry: c.fleet.Registry(), Workers: c.fleet.Workers(), ConfigSource: source, Peers: c.peersOf(m),
		MaxTaskLease: 6 * time.Second, StopTimeout: 200 * time.Millisecond, StatusRetention: time.Minute,
		Observe:       func(cwcellowner.Observation) {},
		RequiredCells: func(int, int) int { return max(int(c.requiredCells.Load()), 1) },
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.mu.Lock()
	m.node, m.stop, m.server = node, stop, node.peerOptions()
	c.mu.Unlock()
	return m
}

// storeError returns the error of a node's store calls while the store fails them.
func (c *cluster) storeError(m *testNode) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.storeFails || c.storeDown.Load() {
		return cwfault.New(cwfault.Unavailable, "refused")
	}
	return nil
}

// storeOf returns the port of a node to the common store; its calls fail while storeError does.
func (c *cluster) storeOf(m *testNode) cwcellport.Store {
	port := c.store.Port(4)
	return cwcellport.Store{
		Partitions: port.Partitions,
		Commit: func(t cwcellport.Transaction, timeout time.Duration) (uint64, []cwcellport.Row, error) {
			if err := c.storeError(m); err != nil {
				return 0, nil, err
			}
			return port.Commit(t, timeout)
		},
		Read: func(table, partition, from, to string, timeout time.Duration) ([]cwcellport.Row, uint64, error) {
			if err := c.storeError(m); err != nil {
				return nil, 0, err
			}
			return port.Read(table, partition, from, to, timeout)
		},
		Watch: func(table string, after uint64, wait time.Duration) ([]cwcellport.Row, uint64, error) {
			if err := c.storeError(m); err != nil {
				return nil, 0, err
			}
			return port.Watch(table, after, wait)
		},
	}
}

// peer returns the server at an address if both nodes run.
func (c *cluster) peer(from *testNode, addr netip.AddrPort) (cwcellpeer.ServerOptions, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.nodes[addr]
	if !ok || m.stopped || m.node == nil || from.stopped {
		return cwcellpeer.ServerOptions{}, cwfault.New(cwfault.Unavailable, "no such host")
	}
	return m.server, nil
}

// peersOf returns the port of a node to the others, which calls their handlers directly.
func (c *cluster) peersOf(from *testNode) cwcellport.Peers {
	return cwcellport.Peers{
		Heartbeat: func(addr netip.AddrPort, p cwcellport.Heartbeat) (cwcellport.HeartbeatResponse, error) {
			s, err := c.peer(from, addr)
			if err != nil {
				return cwcellport.HeartbeatResponse{}, err
			}
			return s.Heartbeat(p), nil
		},
		NotifyJob: func(addr netip.AddrPort, s *cwwork.Submission, version, fence uint64) error {
			server, err := c.peer(from, addr)
			if err != nil {
				return err
			}
			return server.NotifyJob(s, version, fence)
		},
		Lookup: func(addr netip.AddrPort, id cwmodel.JobID) (cwwork.JobState, bool, error) {
			s, err := c.peer(from, addr)
			if err != nil {
				return "", false, err
			}
			return s.Lookup(id)
		},
		Cancel: func(addr netip.AddrPort, id cwmodel.JobID) (bool, error) {
			s, err := c.peer(from, addr)
			if err != nil {
				return false, err
			}
			return s.Cancel(id)
		},
		RequestAdvice: func(netip.AddrPort, *cwcell.AdviceRequest) ([]cwcell.EligibleWorker, time.Duration, error) {
			return nil, 0, cwfault.New(cwfault.NotSupported, "no advice here")
		},
		StoreSubmission: func(addr netip.AddrPort, s *cwwork.Submission) (cwcellport.SubmitResult, error) {
			server, err := c.peer(from, addr)
			if err != nil {
				return cwcellport.SubmitRefused, err
			}
			return server.StoreSubmission(s), nil
		},
		ConfigurationDifference: func(addr netip.AddrPort, version uint64) (*cwcellport.ConfigurationDifference, error) {
			s, err := c.peer(from, addr)
			if err != nil {
				return nil, err
			}
			return s.ConfigurationDifference(version)
		},
		TakeOver: func(addr netip.AddrPort, cell cwlayout.Cell) error {
			s, err := c.peer(from, addr)
			if err != nil {
				return err
			}
			s.TakeOver(cell)
			return nil
		},
	}
}

// waitUntil polls a condition until it is met.
func (c *cluster) waitUntil(what string, met func() bool) {
	c.t.Helper()
	const limit = 20 * time.Second
	for start := c.timer.Now(); !met(); c.timer.Sleep(nil, 10*time.Millisecond) {
		if c.timer.Now().Sub(start) > limit {
			c.t.Fatalf("timed out after %s waiting for %s", limit, what)
		}
	}
}

// owner waits until a running node owns the first cell.
func (c *cluster) owner() *testNode {
	c.t.Helper()
	return c.ownerOf(0)
}

// ownerOf waits until a running node owns a cell.
func (c *cluster) ownerOf(cell cwlayout.Cell) (owner *testNode) {
	c.t.Helper()
	c.waitUntil("an owner", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		owner = nil
		for _, m := range c.nodes {
			if m.stopped || m.node == nil {
				continue
			}
			if r := m.node.role(cell); r != nil && r.elector.HoldsLease(c.timer.Now()) {
				owner = m
			}
		}
		return owner != nil
	})
	return owner
}

// kill stops a node without a hand-over, as if it had failed.
func (c *cluster) kill(m *testNode) {
	c.mu.Lock()
	m.stopped = true
	c.mu.Unlock()
	m.stop()
	m.stop = func() {}
}

// nonOwner returns a running node that does not own the first cell.
func (c *cluster) nonOwner() *testNode {
	owner := c.owner()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.nodes {
		if m != owner && !m.stopped && !m.storeFails {
			return m
		}
	}
	return nil
}

// submission returns job number n, of a step with 3 tasks (a gang if n is even) and a dependent step with 2 tasks.
func submission(n int) *cwwork.Submission {
	return &cwwork.Submission{
		ID: cwmodel.JobID(fmt.Sprintf("%016x", n)), Queue: "h/q/", Policy: policy, AcceptedAt: cwtimer.WallTime(),
		Steps: []cwwork.Step{
			{Count: 3, Demand: cwmodel.Resources{MilliProcessors: 1000}, Estimate: 50 * time.Millisecond, Gang: n%2 == 0},
			{Count: 2, Demand: cwmodel.Resources{MilliProcessors: 500}, Estimate: 50 * time.Millisecond, DependsOn: []int{0}},
		},
	}
}

// submit submits the jobs with numbers from <= n < to to a node, each until it is accepted.
func (c *cluster) submit(m *testNode, from, to int) {
	c.t.Helper()
	for n := from; n < to; n++ {
		c.waitUntil("an acceptance", func() bool { return m.node.Submit(submission(n)) == cwcellport.SubmitAccepted })
	}
}

// awaitCompletion waits until a node reports the jobs as completed.
func (c *cluster) awaitCompletion(m *testNode, from, to int) {
	c.t.Helper()
	for n := from; n < to; n++ {
		id := submission(n).ID
		c.waitUntil("the end of job "+string(id), func() bool {
			state, err := m.node.State(id)
			return err == nil && state == cwwork.StateCompleted
		})
	}
}

// TestJobsSurviveTheirOwner ends the ownership of a cell while jobs run, in each way in which it can end. It guards against
// lost jobs, leftover rows, and tasks that the next owner starts again although they run or have ended.
func TestJobsSurviveTheirOwner(t *testing.T) {
	cases := []struct {
		name string
		end  func(c *cluster, owner *testNode)
	}{
		{"it dies", (*cluster).kill},
		{"it leaves", func(_ *cluster, owner *testNode) { owner.node.Drain() }},
		{"the store refuses it", func(c *cluster, owner *testNode) {
			c.mu.Lock()
			owner.storeFails = true
			c.mu.Unlock()
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 3, 4, 300*time.Millisecond)
			owner, entry := c.owner(), c.nonOwner()
			c.submit(entry, 0, 6)
			tc.end(c, owner)
			c.submit(entry, 6, 10)
			c.awaitCompletion(entry, 0, 10)
			is.Equal(len(c.store.Keys(cwcellowner.TableJobs)), 0)     // no active job is left
			is.Equal(len(c.store.Keys(cwcellowner.TableProgress)), 0) // no progress is left
			for key, n := range c.fleet.Starts() {
				if n > 1 {
					t.Errorf("task %s was started %d times, expected at most once", key, n)
				}
			}
		})
	}
}

// TestNodesStartBesideAnOwner guards against a panic of a node whose first heartbeat is answered before the node knows its role in the first
// cell.
func TestNodesStartBesideAnOwner(t *testing.T) {
	c := newCluster(t, 1, 0, time.Hour)
	c.waitUntil("an owner", func() bool { return c.owner() != nil })
	for n := range 20 {
		m := c.add(n+1, 1)
		c.waitUntil("a response of the owner", func() bool { return m.node.firstRole().elector.View().OwnerKnown })
	}
}

// TestQueueLengthDuringATakeover checks that a host still reports the previous owner's last complete counts while the next
// owner loads the jobs.
func TestQueueLengthDuringATakeover(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 0, time.Hour)
	owner, entry := c.owner(), c.nonOwner()
	c.submit(entry, 0, 4)
	reportsCount := func(n int) func() bool {
		return func() bool {
			waiting, known := entry.node.QueueLength(submission(0).Queue)
			return known && waiting == n
		}
	}
	c.waitUntil("a count", reportsCount(4))
	c.kill(owner)
	c.waitUntil("a count of the new owner", func() bool {
		is.True(reportsCount(4)())
		_, complete := entry.node.firstRole().owner.QueueLengths()
		return complete
	})
	c.submit(entry, 4, 5)
	c.waitUntil("a newer count", reportsCount(5))
}

// TestQueueLengthOfASilentOwner guards against a count of waiting jobs that is as old as the last response of an owner that is gone, while
// no other host can take over.
func TestQueueLengthOfASilentOwner(t *testing.T) {
	c := newCluster(t, 2, 1, time.Hour)
	owner, entry := c.owner(), c.nonOwner()
	queue := submission(0).Queue
	c.waitUntil("the count of the owner", func() bool {
		_, known := entry.node.QueueLength(queue)
		return known
	})
	c.storeDown.Store(true)
	c.mu.Lock()
	owner.stopped = true
	c.mu.Unlock()
	c.waitUntil("the count to expire", func() bool {
		_, known := entry.node.QueueLength(queue)
		return !known
	})
}

// TestCellsAreDivided checks that a deployment with too many workers for one owner is divided into cells with different owners.
// Jobs of all cells must end, each task must start once, and another host must take over a cell whose owner fails.
func TestCellsAreDivided(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 0, 8, 200*time.Millisecond)
	entry := c.add(0, 1)
	c.submit(entry, 100, 104) // run during the division
	c.requiredCells.Store(2)
	for n := range 3 {
		c.add(n+1, 1)
	}
	c.submit(entry, 104, 108)
	c.waitUntil("two cells", func() bool { return c.ownerOf(0).node.role(1) != nil })
	first, second := c.ownerOf(0), c.ownerOf(1)
	is.True(first != second) // cells spread over hosts
	for _, m := range c.nodes {
		if m != first && m != second {
			entry = m
		}
	}
	c.awaitCompletion(entry, 100, 108)
	c.waitUntil("a complete count", func() bool {
		waiting, known := entry.node.QueueLength(submission(0).Queue)
		return known && waiting == 0
	})
	c.submit(entry, 0, 16)
	c.awaitCompletion(entry, 0, 16)
	c.submit(entry, 16, 24)
	c.kill(second)
	c.submit(entry, 24, 32)
	c.awaitCompletion(entry, 16, 32)
	is.True(c.ownerOf(1) != second)
	for key, n := range c.fleet.Starts() {
		if n > 1 {
			t.Errorf("task %s was started %d times, expected at most once", key, n)
		}
	}
	cells := map[cwlayout.Cell]bool{}
	for key := range c.fleet.Starts() {
		cells[entry.node.roleForJob(key.Job).cell] = true
	}
	is.Equal(len(cells), 2) // both had jobs
	is.Equal(len(c.store.Keys(cwcellowner.TableJobs)), 0)
}

// TestDrainHandsOverEachCell checks that a host that owns several cells hands over all of them.
func TestDrainHandsOverEachCell(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 0, 8, 100*time.Millisecond)
	c.requiredCells.Store(3)
	alone := c.add(0, 1)
	for cell := range 3 {
		is.Equal(c.ownerOf(cwlayout.Cell(cell)), alone)
	}
	other := c.add(1, 1)
	c.waitUntil("the other host's cells", func() bool { return len(*other.node.roles.Load()) == 3 })
	c.waitUntil("peers that reach the store", func() bool { return len(alone.node.firstRole().peers.withStoreAccess()) > 0 })
	c.submit(other, 0, 6)
	alone.node.Drain()
	for cell := range 3 {
		c.waitUntil("a hand-over", func() bool { return c.ownerOf(cwlayout.Cell(cell)) == other })
	}
	c.submit(other, 6, 12)
	c.awaitCompletion(other, 0, 12)
}

// TestSlowOwnerStepsDown checks that a cell moves to a host with a much larger processor share, and that jobs survive it.
func TestSlowOwnerStepsDown(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 0, 4, 300*time.Millisecond)
	slow := c.add(0, 0.2)
	is.Equal(c.owner(), slow)
	c.submit(slow, 0, 4)
	fast := c.add(1, 0.8)
	c.waitUntil("a hand-over", func() bool { return c.owner() == fast })
	c.submit(slow, 4, 8)
	c.awaitCompletion(slow, 0, 8)
}

// TestSubmissionsWhileTheStoreFails checks the results of submissions: a job is accepted if its row exists, even if a peer has
// written it, and refused only if it is not stored.
func TestSubmissionsWhileTheStoreFails(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 2, 50*time.Millisecond)
	c.owner()
	entry := c.nonOwner()
	c.submit(entry, 0, 1)

	is.Equal(entry.node.Submit(submission(0)), cwcellport.SubmitAccepted) // a duplicate of an active job
	c.awaitCompletion(entry, 0, 1)
	is.Equal(entry.node.Submit(submission(0)), cwcellport.SubmitAccepted) // a duplicate of an ended job
	is.Equal(c.fleet.Starts()[cwwork.TaskKey{StepKey: cwwork.StepKey{Job: submission(0).ID}}], 1)

	c.waitUntil("peers that reach the store", func() bool { return len(entry.node.relayPeers()) > 0 })
	c.mu.Lock()
	entry.storeFails = true
	c.mu.Unlock()
	c.submit(entry, 1, 2) // through a peer
	c.awaitCompletion(entry, 1, 2)

	c.storeDown.Store(true)
	is.Equal(entry.node.Submit(submission(2)), cwcellport.SubmitRefused)
	c.storeDown.Store(false)
	_, err := c.nonOwner().node.State(submission(2).ID)
	is.Equal(cwfault.CodeOf(err), cwfault.NotFound) // a refused job is not stored
}

// TestLostResponsesOfWrites drops the requests of some writes and the responses of others, and checks that every job ends and
// that no task starts twice.
func TestLostResponsesOfWrites(t *testing.T) {
	c := newCluster(t, 2, 3, 20*time.Millisecond)
	c.owner()
	entry := c.nonOwner()
	// Faults are random, since with a fixed sequence the same write could fail at each attempt.
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(1, 1))
	randomFault := func(cwcellport.Transaction) cwcellmemory.Fault {
		mu.Lock()
		defer mu.Unlock()
		return []cwcellmemory.Fault{cwcellmemory.FaultNone, cwcellmemory.FaultResponseLost, cwcellmemory.FaultNone, cwcellmemory.FaultRequestLost}[random.IntN(4)]
	}
	c.fault.Store(&randomFault)
	c.submit(entry, 0, 8)
	c.awaitCompletion(entry, 0, 8)
	for key, n := range c.fleet.Starts() {
		if n > 1 {
			t.Errorf("task %s was started %d times, expected at most once", key, n)
		}
	}
}

// TestCancelIsDurable checks that a job cancelled through another node is reported as cancelled, and that a repeated cancel and
// one of an unknown job return the right results.
func TestCancelIsDurable(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 1, time.Hour)
	c.owner()
	entry := c.nonOwner()
	c.submit(entry, 0, 1)
	c.waitUntil("a start", func() bool { return len(c.fleet.Starts()) > 0 })
	is.NoErr(entry.node.Cancel(submission(0).ID))
	state, err := entry.node.State(submission(0).ID)
	is.NoErr(err)
	is.Equal(state, cwwork.StateCancelled)
	is.NoErr(entry.node.Cancel(submission(0).ID)) // again
	is.Equal(cwfault.CodeOf(entry.node.Cancel(submission(1).ID)), cwfault.NotFound)
}
