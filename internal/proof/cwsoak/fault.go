package cwsoak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"currantward/internal/base/cwtimer"
	"currantward/internal/proof/cwprocess"
	"currantward/platform/cwstandin"
)

// faulter injects faults that overlap.
type faulter struct {
	fleet *Cluster
	load  *load
	rand  *rand.Rand // of the duty that draws faults
	ended sync.WaitGroup

	calm   sync.RWMutex // held for reading by each fault, and for writing by one that wants no other beside it
	mu     sync.Mutex
	names  []string
	errs   []error
	active cwstandin.Faults // of the store
}

// kind is one kind of fault. It lasts for a drawn time and leaves all as it was.
type kind struct {
	name  string
	run   func(ctx context.Context, r *rand.Rand) error
	alone bool // takes care by itself that no other fault is beside it
}

// between returns a drawn time.
func between(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)))
}

func (f *faulter) kinds() []kind {
	return []kind{
		{name: "kill-node", run: f.killNode}, {name: "kill-node", run: f.killNode}, {name: "terminate-node", run: f.terminateNode}, {name: "terminate-node", run: f.terminateNode},
		{name: "pause-node", run: f.pauseNode}, {name: "pause-node", run: f.pauseNode}, {name: "replace-node", run: f.replaceNode}, {name: "kill-all-nodes", run: f.killAllNodes},
		{name: "reload-node", run: f.reloadNode}, {name: "terminate-node-alone", run: f.terminateAlone, alone: true},
		{name: "store-down", run: f.storeFault(func(*rand.Rand) cwstandin.Faults { return cwstandin.Faults{Down: true} })},
		{name: "store-slow", run: f.storeFault(func(r *rand.Rand) cwstandin.Faults {
			return cwstandin.Faults{Delay: between(r, 30*time.Millisecond, 400*time.Millisecond)}
		})},
		{name: "store-loses-answers", run: f.storeFault(func(r *rand.Rand) cwstandin.Faults { return cwstandin.Faults{ResponseLossRate: 0.1 + 0.3*r.Float64()} })},
		{name: "store-compacts", run: func(context.Context, *rand.Rand) error {
			return f.fleet.command(f.fleet.control, cwstandin.PathCompact, nil)
		}},
		{name: "node-cut-from-store", run: f.nodeWay(func(*rand.Rand) cwprocess.ProxyFaults { return cwprocess.ProxyFaults{RefuseConnections: true} })},
		{name: "node-one-way-to-store", run: f.nodeWay(oneWay)},
		{name: "node-slow-to-store", run: f.nodeWay(slowWay)},
		{name: "node-silent-to-store", run: f.nodeRelay(func(n *node) { n.store.BlackholeConnections() })},
		{name: "node-reset-to-store", run: f.nodeRelay(func(n *node) { n.store.ResetConnections() })},
		{name: "callers-reset", run: f.nodeRelay(func(n *node) { n.front.ResetConnections() })},
		{name: "callers-silent", run: f.nodeRelay(func(n *node) { n.front.BlackholeConnections() })},
		{name: "kill-rack", run: f.killRack}, {name: "kill-rack", run: f.killRack},
		{name: "rack-cut", run: f.rackWay(func(*rand.Rand) cwprocess.ProxyFaults {
			return cwprocess.ProxyFaults{BlockForward: true, BlockBackward: true}
		})},
		{name: "rack-one-way", run: f.rackWay(oneWay)},
		{name: "rack-slow", run: f.rackWay(slowWay)},
		{name: "rack-silent", run: f.rackRelay((*cwprocess.Proxy).BlackholeConnections)},
		{name: "rack-reset", run: f.rackRelay((*cwprocess.Proxy).ResetConnections)},
		{name: "late-orders", run: f.rackFault(cwstandin.RunnerFaults{LateRate: 0.3})},
		{name: "failing-rack", run: f.rackFault(cwstandin.RunnerFaults{FailTasks: true})},
		{name: "hanging-rack", run: f.rackFault(cwstandin.RunnerFaults{HangTasks: true})},
		{name: "unhealthy-rack", run: f.rackFault(cwstandin.RunnerFaults{Unhealthy: true})},
		{name: "draining-rack", run: f.rackFault(cwstandin.RunnerFaults{Draining: true})},
		{name: "configuration", run: func(context.Context, *rand.Rand) error { return f.fleet.configure() }},
		{name: "burst", run: func(_ context.Context, r *rand.Rand) error { f.load.burst(40, r); return nil }},
		{name: "cancel-wave", run: func(_ context.Context, r *rand.Rand) error { f.load.cancelWave(r); return nil }},
	}
}

func oneWay(r *rand.Rand) cwprocess.ProxyFaults {
	forward := r.IntN(2) == 0
	return cwprocess.ProxyFaults{BlockForward: forward, BlockBackward: !forward}
}

func slowWay(r *rand.Rand) cwprocess.ProxyFaults {
	return cwprocess.ProxyFaults{Delay: between(r, 20*time.Millisecond, 300*time.Millisecond)}
}

// run injects faults for a time and returns once each of them is over.
func (f *faulter) run(ctx context.Context, d time.Duration) error {
	kinds := f.kinds()
	timer := f.fleet.opts.Timer
	for end := timer.Now().Add(d); timer.Now().Before(end) && ctx.Err() == nil; {
		k, own := kinds[f.rand.IntN(len(kinds))], rand.New(rand.NewPCG(f.rand.Uint64(), 0))
		f.mu.Lock()
		f.names = append(f.names, fmt.Sprintf("%s@%s", k.name, cwtimer.WallTime().Format("05.000")))
		f.mu.Unlock()
		f.ended.Go(func() {
			if !k.alone {
				f.calm.RLock()
				defer f.calm.RUnlock()
			}
			if err := k.run(ctx, own); err != nil {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.errs = append(f.errs, fmt.Errorf("%s: %w", k.name, err))
			}
		})
		timer.Sleep(ctx.Done(), between(f.rand, 100*time.Millisecond, 1500*time.Millisecond))
	}
	f.ended.Wait()
	if len(f.errs) > 0 {
		return f.errs[0]
	}
	return nil
}

// sleep waits for the time that a fault lasts.
func (f *faulter) sleep(ctx context.Context, d time.Duration) {
	f.fleet.opts.Timer.Sleep(ctx.Done(), d)
}

// lock takes a node that no other fault stops or starts, nil if there is none.
func (f *faulter) lock(r *rand.Rand) *node {
	nodes := f.fleet.live()
	for _, at := range r.Perm(len(nodes)) {
		n := nodes[at]
		if !n.mu.TryLock() {
			continue
		}
		if !n.removed {
			return n
		}
		n.mu.Unlock()
	}
	return nil
}

// withNode runs a fault on a node that is not part of another one.
func (f *faulter) withNode(r *rand.Rand, fault func(n *node) error) error {
	n := f.lock(r)
	if n == nil {
		return nil
	}
	defer n.mu.Unlock()
	return fault(n)
}

func (f *faulter) killNode(ctx context.Context, r *rand.Rand) error {
	return f.withNode(r, func(n *node) error {
		n.Kill()
		f.sleep(ctx, between(r, 0, 2*time.Second))
		return f.fleet.startNode(ctx, n)
	})
}

func (f *faulter) terminateNode(ctx context.Context, r *rand.Rand) error {
	return f.withNode(r, func(n *node) error {
		if _, err := n.Terminate(ctx); err != nil {
			return err
		}
		return f.fleet.startNode(ctx, n)
	})
}

// terminateAlone ends a host gracefully while nothing else is wrong, and demands that each call to it is answered.
func (f *faulter) terminateAlone(ctx context.Context, r *rand.Rand) error {
	f.calm.Lock()
	defer f.calm.Unlock()
	return f.withNode(r, func(n *node) error {
		n.direct.Store(true)
		defer n.direct.Store(false)
		f.sleep(ctx, calmTime)
		stop := f.load.press(n)
		f.sleep(ctx, pressTime)
		from := cwtimer.WallTime()
		_, err := n.Terminate(ctx)
		stop()
		if err != nil {
			return err
		}
		f.load.demandAnswers(n, from.Add(-pressTime), from.Add(serveTime))
		return f.fleet.startNode(ctx, n)
	})
}

const (
	// calmTime lets what was wrong before pass.
	calmTime = 4 * time.Second
	// pressTime is how long callers press a host before it is told to leave.
	pressTime = 100 * time.Millisecond
	// serveTime is how long a host that leaves has to answer every call: the balancer sends callers for up to two seconds.
	serveTime = 2 * time.Second
)

func (f *faulter) pauseNode(ctx context.Context, r *rand.Rand) error {
	return f.withNode(r, func(n *node) error {
		if err := n.Pause(); err != nil {
			return err
		}
		f.sleep(ctx, between(r, 100*time.Millisecond, 6*time.Second))
		return n.Resume()
	})
}

// replaceNode removes a node for good; a new one comes at another address.
func (f *faulter) replaceNode(ctx context.Context, r *rand.Rand) error {
	return f.withNode(r, func(n *node) error {
		if err := f.fleet.addNode(ctx); err != nil {
			return err
		}
		n.Kill()
		f.fleet.mu.Lock()
		defer f.fleet.mu.Unlock()
		n.removed = true
		return nil
	})
}

func (f *faulter) killAllNodes(ctx context.Context, r *rand.Rand) error {
	var down []*node
	for _, n := range f.fleet.live() {
		if n.mu.TryLock() {
			n.Kill()
			down = append(down, n)
		}
	}
	f.sleep(ctx, between(r, 100*time.Millisecond, time.Second))
	var failed error
	for _, n := range down {
		if err := f.fleet.startNode(ctx, n); err != nil {
			failed = err
		}
		n.mu.Unlock()
	}
	return failed
}

func (f *faulter) reloadNode(_ context.Context, r *rand.Rand) error {
	return f.withNode(r, func(n *node) error { return n.Reload() })
}

// storeFault returns a fault of the store; several that overlap add up.
func (f *faulter) storeFault(draw func(r *rand.Rand) cwstandin.Faults) func(context.Context, *rand.Rand) error {
	return func(ctx context.Context, r *rand.Rand) error {
		drawn := draw(r)
		if err := f.setStore(func(s *cwstandin.Faults) {
			s.Down, s.Delay, s.ResponseLossRate = s.Down || drawn.Down, max(s.Delay, drawn.Delay), max(s.ResponseLossRate, drawn.ResponseLossRate)
		}); err != nil {
			return err
		}
		f.sleep(ctx, between(r, 300*time.Millisecond, 5*time.Second))
		return f.setStore(func(s *cwstandin.Faults) { *s = cwstandin.Faults{} })
	}
}

func (f *faulter) setStore(change func(*cwstandin.Faults)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.active)
	body, err := json.Marshal(f.active)
	if err != nil {
		return err
	}
	return f.fleet.command(f.fleet.control, cwstandin.PathFaults, body)
}

// nodeWay returns a fault of one node's way to the store.
func (f *faulter) nodeWay(draw func(*rand.Rand) cwprocess.ProxyFaults) func(context.Context, *rand.Rand) error {
	return func(ctx context.Context, r *rand.Rand) error {
		nodes := f.fleet.live()
		n, behaviour := nodes[r.IntN(len(nodes))], draw(r)
		n.store.SetFaults(behaviour)
		if behaviour.RefuseConnections {
			n.store.ResetConnections()
		}
		f.sleep(ctx, between(r, 300*time.Millisecond, 6*time.Second))
		n.store.SetFaults(cwprocess.ProxyFaults{})
		return nil
	}
}

// nodeRelay returns a fault of the connections that one node has open.
func (f *faulter) nodeRelay(harm func(n *node)) func(context.Context, *rand.Rand) error {
	return func(_ context.Context, r *rand.Rand) error {
		nodes := f.fleet.live()
		harm(nodes[r.IntN(len(nodes))])
		return nil
	}
}

func (f *faulter) anyRack(r *rand.Rand) *rack { return f.fleet.racks[r.IntN(len(f.fleet.racks))] }

func (f *faulter) killRack(ctx context.Context, r *rand.Rand) error {
	k := f.anyRack(r)
	if !k.mu.TryLock() {
		return nil
	}
	defer k.mu.Unlock()
	k.Kill()
	k.KilledAt = cwtimer.WallTime()
	f.sleep(ctx, between(r, 0, 4*time.Second))
	return f.fleet.startRack(ctx, k)
}

// rackWay returns a fault of the ways to one rack's runners, or to some of them.
func (f *faulter) rackWay(draw func(*rand.Rand) cwprocess.ProxyFaults) func(context.Context, *rand.Rand) error {
	return func(ctx context.Context, r *rand.Rand) error {
		ways, behaviour := f.anyRack(r).ways, draw(r)
		ways = ways[r.IntN(len(ways)):]
		for _, w := range ways {
			w.SetFaults(behaviour)
		}
		f.sleep(ctx, between(r, 300*time.Millisecond, 8*time.Second))
		for _, w := range ways {
			w.SetFaults(cwprocess.ProxyFaults{})
		}
		return nil
	}
}

// rackRelay returns a fault of the connections that are open to one rack.
func (f *faulter) rackRelay(harm func(*cwprocess.Proxy)) func(context.Context, *rand.Rand) error {
	return func(_ context.Context, r *rand.Rand) error {
		for _, w := range f.anyRack(r).ways {
			harm(w)
		}
		return nil
	}
}

// rackFault returns a fault of one rack's runners.
func (f *faulter) rackFault(faults cwstandin.RunnerFaults) func(context.Context, *rand.Rand) error {
	return func(ctx context.Context, r *rand.Rand) error {
		k := f.anyRack(r)
		if !k.mu.TryLock() {
			return nil
		}
		defer k.mu.Unlock()
		for _, faults := range []cwstandin.RunnerFaults{faults, {}} {
			body, err := json.Marshal(faults)
			if err != nil {
				return err
			}
			if err = f.fleet.command(k.control, "/", body); err != nil {
				return err
			}
			f.sleep(ctx, between(r, 500*time.Millisecond, 5*time.Second))
		}
		return nil
	}
}
