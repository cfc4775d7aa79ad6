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

// injector injects overlapping faults.
type injector struct {
	cluster *Cluster
	load    *load
	rand    *rand.Rand // used only by the goroutine that draws the faults
	running sync.WaitGroup

	exclusiveLock sync.RWMutex // locked for reading by each fault, and for writing by an exclusive one
	mu            sync.Mutex
	injected      []string
	errs          []error
	storeFaults   cwstandin.Faults // currently injected by the store
}

// faultKind is one kind of fault. It lasts for a random time and is undone at its end.
type faultKind struct {
	name      string
	run       func(ctx context.Context, r *rand.Rand) error
	exclusive bool // takes the exclusive lock itself, so that no other fault is active
}

// randomDuration returns a random duration from least up to, but not including, most.
func randomDuration(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)))
}

func (i *injector) kinds() []faultKind {
	return []faultKind{
		{name: "kill-node", run: i.killNode}, {name: "kill-node", run: i.killNode}, {name: "terminate-node", run: i.terminateNode}, {name: "terminate-node", run: i.terminateNode},
		{name: "pause-node", run: i.pauseNode}, {name: "pause-node", run: i.pauseNode}, {name: "replace-node", run: i.replaceNode}, {name: "kill-all-nodes", run: i.killAllNodes},
		{name: "reload-node", run: i.reloadNode}, {name: "terminate-node-alone", run: i.terminateNodeAlone, exclusive: true},
		{name: "store-down", run: i.storeFault(func(*rand.Rand) cwstandin.Faults { return cwstandin.Faults{Down: true} })},
		{name: "store-slow", run: i.storeFault(func(r *rand.Rand) cwstandin.Faults {
			return cwstandin.Faults{Delay: randomDuration(r, 30*time.Millisecond, 400*time.Millisecond)}
		})},
		{name: "store-loses-answers", run: i.storeFault(func(r *rand.Rand) cwstandin.Faults { return cwstandin.Faults{ResponseLossRate: 0.1 + 0.3*r.Float64()} })},
		{name: "store-compacts", run: func(context.Context, *rand.Rand) error {
			return i.cluster.sendCommand(i.cluster.controlAddr, cwstandin.PathCompact, nil)
		}},
		{name: "node-cut-from-store", run: i.nodeNetworkFault(func(*rand.Rand) cwprocess.NetFaults { return cwprocess.NetFaults{RefuseConnections: true} })},
		{name: "node-one-way-to-store", run: i.nodeNetworkFault(blockOneWay)},
		{name: "node-slow-to-store", run: i.nodeNetworkFault(delayBothWays)},
		{name: "node-silent-to-store", run: i.nodeConnectionFault(func(n *node) { n.storeProxy.BlackholeConnections() })},
		{name: "node-reset-to-store", run: i.nodeConnectionFault(func(n *node) { n.storeProxy.ResetConnections() })},
		{name: "callers-reset", run: i.nodeConnectionFault(func(n *node) { n.callerProxy.ResetConnections() })},
		{name: "callers-silent", run: i.nodeConnectionFault(func(n *node) { n.callerProxy.BlackholeConnections() })},
		{name: "kill-rack", run: i.killRack}, {name: "kill-rack", run: i.killRack},
		{name: "rack-cut", run: i.rackNetworkFault(func(*rand.Rand) cwprocess.NetFaults { return cwprocess.NetFaults{HoldForward: true, HoldBack: true} })},
		{name: "rack-one-way", run: i.rackNetworkFault(blockOneWay)},
		{name: "rack-slow", run: i.rackNetworkFault(delayBothWays)},
		{name: "rack-silent", run: i.rackConnectionFault((*cwprocess.Proxy).BlackholeConnections)},
		{name: "rack-reset", run: i.rackConnectionFault((*cwprocess.Proxy).ResetConnections)},
		{name: "late-orders", run: i.rackFault(cwstandin.RunnerFaults{LateRate: 0.3})},
		{name: "failing-rack", run: i.rackFault(cwstandin.RunnerFaults{FailTasks: true})},
		{name: "hanging-rack", run: i.rackFault(cwstandin.RunnerFaults{HangTasks: true})},
		{name: "unhealthy-rack", run: i.rackFault(cwstandin.RunnerFaults{Unhealthy: true})},
		{name: "draining-rack", run: i.rackFault(cwstandin.RunnerFaults{Draining: true})},
		{name: "configuration", run: func(context.Context, *rand.Rand) error { return i.cluster.putNextConfiguration() }},
		{name: "burst", run: func(_ context.Context, r *rand.Rand) error { i.load.submitBurst(40, r); return nil }},
		{name: "cancel-wave", run: func(_ context.Context, r *rand.Rand) error { i.load.cancelWave(r); return nil }},
	}
}

func blockOneWay(r *rand.Rand) cwprocess.NetFaults {
	forward := r.IntN(2) == 0
	return cwprocess.NetFaults{HoldForward: forward, HoldBack: !forward}
}

func delayBothWays(r *rand.Rand) cwprocess.NetFaults {
	return cwprocess.NetFaults{Delay: randomDuration(r, 20*time.Millisecond, 300*time.Millisecond)}
}

// run injects faults for a time and returns when each of them has been undone.
func (i *injector) run(ctx context.Context, d time.Duration) error {
	kinds := i.kinds()
	timer := i.cluster.opts.Timer
	for end := timer.Now().Add(d); timer.Now().Before(end) && ctx.Err() == nil; {
		k, own := kinds[i.rand.IntN(len(kinds))], rand.New(rand.NewPCG(i.rand.Uint64(), 0))
		i.mu.Lock()
		i.injected = append(i.injected, fmt.Sprintf("%s@%s", k.name, cwtimer.WallTime().Format("05.000")))
		i.mu.Unlock()
		i.running.Go(func() {
			if !k.exclusive {
				i.exclusiveLock.RLock()
				defer i.exclusiveLock.RUnlock()
			}
			if err := k.run(ctx, own); err != nil {
				i.mu.Lock()
				defer i.mu.Unlock()
				i.errs = append(i.errs, fmt.Errorf("%s: %w", k.name, err))
			}
		})
		timer.Sleep(ctx.Done(), randomDuration(i.rand, 100*time.Millisecond, 1500*time.Millisecond))
	}
	i.running.Wait()
	if len(i.errs) > 0 {
		return i.errs[0]
	}
	return nil
}

// sleep waits for the duration of a fault.
func (i *injector) sleep(ctx context.Context, d time.Duration) {
	i.cluster.opts.Timer.Sleep(ctx.Done(), d)
}

// lockNode locks a random node that no other fault stops or starts. It returns nil if there is none.
func (i *injector) lockNode(r *rand.Rand) *node {
	nodes := i.cluster.liveNodes()
	for _, at := range r.Perm(len(nodes)) {
		n := nodes[at]
		if !n.mu.TryLock() {
			continue
		}
		if !n.isReplaced {
			return n
		}
		n.mu.Unlock()
	}
	return nil
}

// withNode runs a fault on a random node that no other fault stops or starts.
func (i *injector) withNode(r *rand.Rand, fault func(n *node) error) error {
	n := i.lockNode(r)
	if n == nil {
		return nil
	}
	defer n.mu.Unlock()
	return fault(n)
}

func (i *injector) killNode(ctx context.Context, r *rand.Rand) error {
	return i.withNode(r, func(n *node) error {
		n.Kill()
		i.sleep(ctx, randomDuration(r, 0, 2*time.Second))
		return i.cluster.startNode(ctx, n)
	})
}

func (i *injector) terminateNode(ctx context.Context, r *rand.Rand) error {
	return i.withNode(r, func(n *node) error {
		if _, err := n.Terminate(ctx); err != nil {
			return err
		}
		return i.cluster.startNode(ctx, n)
	})
}

// terminateNodeAlone shuts a host down gracefully while no other fault is active, and asserts that each call to it receives a
// response.
func (i *injector) terminateNodeAlone(ctx context.Context, r *rand.Rand) error {
	i.exclusiveLock.Lock()
	defer i.exclusiveLock.Unlock()
	return i.withNode(r, func(n *node) error {
		n.bypassProxy.Store(true)
		defer n.bypassProxy.Store(false)
		i.sleep(ctx, quietTime)
		stop := i.load.startPressure(n)
		i.sleep(ctx, pressureTime)
		from := cwtimer.WallTime()
		_, err := n.Terminate(ctx)
		stop()
		if err != nil {
			return err
		}
		i.load.requireResponses(n, from.Add(-pressureTime), from.Add(drainServeTime))
		return i.cluster.startNode(ctx, n)
	})
}

const (
	// quietTime is how long the effects of earlier faults may last.
	quietTime = 4 * time.Second
	// pressureTime is how long callers call a host continuously before its graceful shutdown begins.
	pressureTime = 100 * time.Millisecond
	// drainServeTime is how long a draining host must respond to every call: the load balancer still sends calls for up to two seconds.
	drainServeTime = 2 * time.Second
)

func (i *injector) pauseNode(ctx context.Context, r *rand.Rand) error {
	return i.withNode(r, func(n *node) error {
		if err := n.Pause(); err != nil {
			return err
		}
		i.sleep(ctx, randomDuration(r, 100*time.Millisecond, 6*time.Second))
		return n.Resume()
	})
}

// replaceNode removes a node permanently and adds a new one at another address.
func (i *injector) replaceNode(ctx context.Context, r *rand.Rand) error {
	return i.withNode(r, func(n *node) error {
		if err := i.cluster.addNode(ctx); err != nil {
			return err
		}
		n.Kill()
		i.cluster.mu.Lock()
		defer i.cluster.mu.Unlock()
		n.isReplaced = true
		return nil
	})
}

func (i *injector) killAllNodes(ctx context.Context, r *rand.Rand) error {
	var killed []*node
	for _, n := range i.cluster.liveNodes() {
		if n.mu.TryLock() {
			n.Kill()
			killed = append(killed, n)
		}
	}
	i.sleep(ctx, randomDuration(r, 100*time.Millisecond, time.Second))
	var failed error
	for _, n := range killed {
		if err := i.cluster.startNode(ctx, n); err != nil {
			failed = err
		}
		n.mu.Unlock()
	}
	return failed
}

func (i *injector) reloadNode(_ context.Context, r *rand.Rand) error {
	return i.withNode(r, func(n *node) error { return n.Reload() })
}

// storeFault returns a fault of the store. Overlapping faults are combined.
func (i *injector) storeFault(draw func(r *rand.Rand) cwstandin.Faults) func(context.Context, *rand.Rand) error {
	return func(ctx context.Context, r *rand.Rand) error {
		drawn := draw(r)
		if err := i.setStoreFaults(func(s *cwstandin.Faults) {
			s.Down, s.Delay, s.ResponseLossRate = s.Down || drawn.Down, max(s.Delay, drawn.Delay), max(s.ResponseLossRate, drawn.ResponseLossRate)
		}); err != nil {
			return err
		}
		i.sleep(ctx, randomDuration(r, 300*time.Millisecond, 5*time.Second))
		return i.setStoreFaults(func(s *cwstandin.Faults) { *s = cwstandin.Faults{} })
	}
}

func (i *injector) setStoreFaults(change func(*cwstandin.Faults)) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	change(&i.storeFaults)
	body, err := json.Marshal(i.storeFaults)
	if err != nil {
		return err
	}
	return i.cluster.sendCommand(i.cluster.controlAddr, cwstandin.PathFaults, body)
}

// nodeNetworkFault returns a network fault between one node and the store.
func (i *injector) nodeNetworkFault(draw func(*rand.Rand) cwprocess.NetFaults) func(context.Context, *rand.Rand) error {
	return func(ctx context.Context, r *rand.Rand) error {
		nodes := i.cluster.liveNodes()
		n, faults := nodes[r.IntN(len(nodes))], draw(r)
		n.storeProxy.SetFaults(faults)
		if faults.RefuseConnections {
			n.storeProxy.ResetConnections()
		}
		i.sleep(ctx, randomDuration(r, 300*time.Millisecond, 6*time.Second))
		n.storeProxy.SetFaults(cwprocess.NetFaults{})
		return nil
	}
}

// nodeConnectionFault returns a fault of the open connections of one node.
func (i *injector) nodeConnectionFault(fault func(n *node)) func(context.Context, *rand.Rand) error {
	return func(_ context.Context, r *rand.Rand) error {
		nodes := i.cluster.liveNodes()
		fault(nodes[r.IntN(len(nodes))])
		return nil
	}
}

func (i *injector) anyRack(r *rand.Rand) *rack { return i.cluster.racks[r.IntN(len(i.cluster.racks))] }

func (i *injector) killRack(ctx context.Context, r *rand.Rand) error {
	k := i.anyRack(r)
	if !k.mu.TryLock() {
		return nil
	}
	defer k.mu.Unlock()
	k.Kill()
	k.KilledAt = cwtimer.WallTime()
	i.sleep(ctx, randomDuration(r, 0, 4*time.Second))
	return i.cluster.startRack(ctx, k)
}

// rackNetworkFault returns a network fault between the hosts and some or all runners of one rack.
func (i *injector) rackNetworkFault(draw func(*rand.Rand) cwprocess.NetFaults) func(context.Context, *rand.Rand) error {
	return func(ctx context.Context, r *rand.Rand) error {
		proxies, faults := i.anyRack(r).proxies, draw(r)
		proxies = proxies[r.IntN(len(proxies)):]
		for _, p := range proxies {
			p.SetFaults(faults)
		}
		i.sleep(ctx, randomDuration(r, 300*time.Millisecond, 8*time.Second))
		for _, p := range proxies {
			p.SetFaults(cwprocess.NetFaults{})
		}
		return nil
	}
}

// rackConnectionFault returns a fault of the open connections to one rack.
func (i *injector) rackConnectionFault(fault func(*cwprocess.Proxy)) func(context.Context, *rand.Rand) error {
	return func(_ context.Context, r *rand.Rand) error {
		for _, p := range i.anyRack(r).proxies {
			fault(p)
		}
		return nil
	}
}

// rackFault returns a fault of the runners of one rack.
func (i *injector) rackFault(faults cwstandin.RunnerFaults) func(context.Context, *rand.Rand) error {
	return func(ctx context.Context, r *rand.Rand) error {
		k := i.anyRack(r)
		if !k.mu.TryLock() {
			return nil
		}
		defer k.mu.Unlock()
		for _, faults := range []cwstandin.RunnerFaults{faults, {}} {
			body, err := json.Marshal(faults)
			if err != nil {
				return err
			}
			if err = i.cluster.sendCommand(k.controlAddr, "/", body); err != nil {
				return err
			}
			i.sleep(ctx, randomDuration(r, 500*time.Millisecond, 5*time.Second))
		}
		return nil
	}
}
