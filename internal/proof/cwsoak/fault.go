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

// injector injects random, overlapping faults into a cluster under load.
type injector struct {
	cluster *Cluster
	load    *load
	running sync.WaitGroup
	// Each source is used only by the goroutine that draws faults from it.
	rand         *rand.Rand
	takeoverRand *rand.Rand // of the restarts around a takeover

	exclusiveMu sync.RWMutex // locked for reading by each fault, and for writing by an exclusive one
	mu          sync.Mutex
	injected    []string // names and times of the faults so far
	errs        []error
	storeFaults cwstandin.Faults // that the store injects now
}

// faultKind is one kind of fault. inject injects it, keeps it for a random time if it lasts, and then undoes it.
type faultKind struct {
	name        string
	inject      func(ctx context.Context, r *rand.Rand) error
	isExclusive bool // takes the exclusive lock itself, so that no other fault is active
}

// randomDuration returns a random duration from least up to, but not including, most.
func randomDuration(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)))
}

// faultKinds returns the kinds of faults, which occur equally often. A kind that is listed twice occurs twice as often.
func (i *injector) faultKinds() []faultKind {
	return []faultKind{
		{name: "kill-node", inject: i.killNode}, {name: "kill-node", inject: i.killNode}, {name: "terminate-node", inject: i.terminateNode}, {name: "terminate-node", inject: i.terminateNode},
		{name: "pause-node", inject: i.pauseNode}, {name: "pause-node", inject: i.pauseNode}, {name: "replace-node", inject: i.replaceNode}, {name: "kill-all-nodes", inject: i.killAllNodes},
		{name: "reload-node", inject: i.reloadNode}, {name: "terminate-node-alone", inject: i.terminateNodeAlone, isExclusive: true},
		{name: "store-down", inject: i.storeFault(func(*rand.Rand) cwstandin.Faults { return cwstandin.Faults{Down: true} })},
		{name: "store-slow", inject: i.storeFault(func(r *rand.Rand) cwstandin.Faults {
			return cwstandin.Faults{Delay: randomDuration(r, 30*time.Millisecond, 400*time.Millisecond)}
		})},
		{name: "store-loses-answers", inject: i.storeFault(func(r *rand.Rand) cwstandin.Faults { return cwstandin.Faults{ResponseLossRate: 0.1 + 0.3*r.Float64()} })},
		{name: "store-compacts", inject: func(context.Context, *rand.Rand) error {
			return i.cluster.sendCommand(i.cluster.platformControlAddr, cwstandin.PathCompact, nil)
		}},
		{name: "node-cut-from-store", inject: i.nodeNetworkFault(func(*rand.Rand) cwprocess.NetFaults { return cwprocess.NetFaults{RefuseConnections: true} })},
		{name: "node-one-way-to-store", inject: i.nodeNetworkFault(stallOneWay)},
		{name: "node-slow-to-store", inject: i.nodeNetworkFault(delayBothWays)},
		{name: "node-silent-to-store", inject: i.nodeConnectionFault(func(n *node) { n.storeProxy.BlackholeConnections() })},
		{name: "node-reset-to-store", inject: i.nodeConnectionFault(func(n *node) { n.storeProxy.ResetConnections() })},
		{name: "callers-reset", inject: i.nodeConnectionFault(func(n *node) { n.callerProxy.ResetConnections() })},
		{name: "callers-silent", inject: i.nodeConnectionFault(func(n *node) { n.callerProxy.BlackholeConnections() })},
		{name: "kill-rack", inject: i.killRack}, {name: "kill-rack", inject: i.killRack},
		{name: "rack-cut", inject: i.rackNetworkFault(func(*rand.Rand) cwprocess.NetFaults { return cwprocess.NetFaults{StallTo: true, StallFrom: true} })},
		{name: "rack-one-way", inject: i.rackNetworkFault(stallOneWay)},
		{name: "rack-slow", inject: i.rackNetworkFault(delayBothWays)},
		{name: "rack-silent", inject: i.rackConnectionFault((*cwprocess.Proxy).BlackholeConnections)},
		{name: "rack-reset", inject: i.rackConnectionFault((*cwprocess.Proxy).ResetConnections)},
		{name: "restart-rack", inject: i.restartRack}, {name: "restart-rack", inject: i.restartRack},
		{name: "late-orders", inject: i.rackFault(cwstandin.RunnerFaults{LateRate: 0.3})},
		{name: "failing-rack", inject: i.rackFault(cwstandin.RunnerFaults{FailTasks: true})},
		{name: "hanging-rack", inject: i.rackFault(cwstandin.RunnerFaults{HangTasks: true})},
		{name: "unhealthy-rack", inject: i.rackFault(cwstandin.RunnerFaults{Unhealthy: true})},
		{name: "draining-rack", inject: i.rackFault(cwstandin.RunnerFaults{Draining: true})},
		{name: "configuration", inject: i.changeConfiguration},
		{name: "burst", inject: func(_ context.Context, r *rand.Rand) error { i.load.submitBurst(40, r); return nil }},
		{name: "cancel-wave", inject: func(_ context.Context, r *rand.Rand) error { i.load.cancelWave(r); return nil }},
	}
}

// stallOneWay stalls one direction, chosen at random.
func stallOneWay(r *rand.Rand) cwprocess.NetFaults {
	forward := r.IntN(2) == 0
	return cwprocess.NetFaults{StallTo: forward, StallFrom: !forward}
}

// delayBothWays delays both directions by the same random time.
func delayBothWays(r *rand.Rand) cwprocess.NetFaults {
	return cwprocess.NetFaults{Delay: randomDuration(r, 20*time.Millisecond, 300*time.Millisecond)}
}

// run injects the faults of a set for a time, waits until all of them have been undone, and returns the first error. The restarts around a takeover come in a
// series of their own, beside the other faults.
func (i *injector) run(ctx context.Context, d time.Duration, set FaultSet) error {
	end := i.cluster.opts.Timer.Now().Add(d)
	var series sync.WaitGroup
	if set != OtherFaults {
		series.Go(func() {
			takeover := []faultKind{{name: "restart-rack-and-kill-owner", inject: i.restartRackAndKillOwner}}
			i.runSeries(ctx, end, takeover, i.takeoverRand, 5*time.Second)
		})
	}
	if set != TakeoverFaults {
		i.runSeries(ctx, end, i.faultKinds(), i.rand, 1500*time.Millisecond)
	}
	series.Wait()
	i.running.Wait()
	if len(i.errs) > 0 {
		return i.errs[0]
	}
	return nil
}

// runSeries starts random faults of the given kinds until end, with a pause of up to maxPause after each. It does not wait for the last ones.
func (i *injector) runSeries(ctx context.Context, end time.Time, kinds []faultKind, r *rand.Rand, maxPause time.Duration) {
	timer := i.cluster.opts.Timer
	for timer.Now().Before(end) && ctx.Err() == nil {
		kind, faultRand := kinds[r.IntN(len(kinds))], rand.New(rand.NewPCG(r.Uint64(), 0))
		i.mu.Lock()
		i.injected = append(i.injected, fmt.Sprintf("%s@%s", kind.name, cwtimer.WallTime().Format("05.000")))
		i.mu.Unlock()
		i.running.Go(func() {
			if !kind.isExclusive {
				i.exclusiveMu.RLock()
				defer i.exclusiveMu.RUnlock()
			}
			if err := kind.inject(ctx, faultRand); err != nil {
				i.mu.Lock()
				defer i.mu.Unlock()
				i.errs = append(i.errs, fmt.Errorf("%s: %w", kind.name, err))
			}
		})
		timer.Sleep(ctx.Done(), randomDuration(r, 100*time.Millisecond, maxPause))
	}
}

// sleep waits for the duration of a fault, or until ctx ends.
func (i *injector) sleep(ctx context.Context, d time.Duration) {
	i.cluster.opts.Timer.Sleep(ctx.Done(), d)
}

// lockNode locks a random node that no other fault is stopping or starting. It returns nil if there is none;
// otherwise the caller unlocks it.
func (i *injector) lockNode(r *rand.Rand) *node {
	nodes := i.cluster.currentNodes()
	for _, index := range r.Perm(len(nodes)) {
		if nodes[index].lockToStop() {
			return nodes[index]
		}
	}
	return nil
}

// withNode runs a fault on a random node that no other fault is stopping or starting. It does nothing if there is none.
func (i *injector) withNode(r *rand.Rand, fault func(n *node) error) error {
	n := i.lockNode(r)
	if n == nil {
		return nil
	}
	defer n.mu.Unlock()
	return fault(n)
}

// killNode kills a random node and restarts it later.
func (i *injector) killNode(ctx context.Context, r *rand.Rand) error {
	return i.withNode(r, func(n *node) error {
		n.Kill()
		i.sleep(ctx, randomDuration(r, 0, 2*time.Second))
		return i.cluster.startNode(ctx, n)
	})
}

// terminateNode shuts a random node down gracefully and restarts it.
func (i *injector) terminateNode(ctx context.Context, r *rand.Rand) error {
	return i.withNode(r, func(n *node) error {
		if _, err := n.Terminate(ctx); err != nil {
			return err
		}
		return i.cluster.startNode(ctx, n)
	})
}

// terminateNodeAlone shuts a random node down gracefully while no other fault is active, asserts that each call to it receives a
// response, and restarts it.
func (i *injector) terminateNodeAlone(ctx context.Context, r *rand.Rand) error {
	i.exclusiveMu.Lock()
	defer i.exclusiveMu.Unlock()
	return i.withNode(r, func(n *node) error {
		n.bypassProxy.Store(true)
		defer n.bypassProxy.Store(false)
		i.sleep(ctx, recoveryTime)
		stop := i.load.startLookups(n)
		i.sleep(ctx, lookupLeadTime)
		from := cwtimer.WallTime()
		_, err := n.Terminate(ctx)
		stop()
		if err != nil {
			return err
		}
		i.load.requireResponses(n, from.Add(-lookupLeadTime), from.Add(drainServeTime))
		return i.cluster.startNode(ctx, n)
	})
}

const (
	// recoveryTime is how long the effects of earlier faults may last after their end.
	recoveryTime = 4 * time.Second
	// lookupLeadTime is how long callers call a node continuously before its graceful shutdown begins.
	lookupLeadTime = 100 * time.Millisecond
	// drainServeTime is how long a node in a graceful shutdown must respond to every call. The load balancer still sends calls to it
	// for up to two seconds.
	drainServeTime = 2 * time.Second
)

// pauseNode pauses a random node, often until its leases and claims have expired.
func (i *injector) pauseNode(ctx context.Context, r *rand.Rand) error {
	return i.withNode(r, func(n *node) error {
		if err := n.Pause(); err != nil {
			return err
		}
		i.sleep(ctx, randomDuration(r, 100*time.Millisecond, 6*time.Second))
		return n.Resume()
	})
}

// replaceNode adds a node at a new address, then kills a random older one permanently.
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

// killAllNodes kills every node that no other fault is stopping or starting, and restarts them later.
func (i *injector) killAllNodes(ctx context.Context, r *rand.Rand) error {
	var killed []*node
	for _, n := range i.cluster.currentNodes() {
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

// reloadNode makes a random node read its settings again.
func (i *injector) reloadNode(_ context.Context, r *rand.Rand) error {
	return i.withNode(r, func(n *node) error { return n.Reload() })
}

// changeConfiguration writes the next version of the configuration, which is large in one case of three.
func (i *injector) changeConfiguration(_ context.Context, r *rand.Rand) error {
	i.cluster.bulkQueues.Store([]int64{0, 0, largeConfigurationQueues}[r.IntN(3)])
	return i.cluster.putNextConfiguration()
}

// storeFault returns a function that injects the faults of the store that choose returns, for a random time. Overlapping faults are
// combined, and the first to end clears all of them.
func (i *injector) storeFault(choose func(r *rand.Rand) cwstandin.Faults) func(context.Context, *rand.Rand) error {
	return func(ctx context.Context, r *rand.Rand) error {
		chosen := choose(r)
		if err := i.setStoreFaults(func(s *cwstandin.Faults) {
			s.Down, s.Delay, s.ResponseLossRate = s.Down || chosen.Down, max(s.Delay, chosen.Delay), max(s.ResponseLossRate, chosen.ResponseLossRate)
		}); err != nil {
			return err
		}
		i.sleep(ctx, randomDuration(r, 300*time.Millisecond, 5*time.Second))
		return i.setStoreFaults(func(s *cwstandin.Faults) { *s = cwstandin.Faults{} })
	}
}

// setStoreFaults changes the faults that the store injects.
func (i *injector) setStoreFaults(change func(*cwstandin.Faults)) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	change(&i.storeFaults)
	body, err := json.Marshal(i.storeFaults)
	if err != nil {
		return err
	}
	return i.cluster.sendCommand(i.cluster.platformControlAddr, cwstandin.PathFaults, body)
}

// nodeNetworkFault returns a function that injects the network faults that choose returns, between a random node and the store, for
// a random time. Overlapping faults of the same node replace each other, and the first to end clears them.
func (i *injector) nodeNetworkFault(choose func(*rand.Rand) cwprocess.NetFaults) func(context.Context, *rand.Rand) error {
	return func(ctx context.Context, r *rand.Rand) error {
		nodes := i.cluster.currentNodes()
		n, faults := nodes[r.IntN(len(nodes))], choose(r)
		n.storeProxy.SetFaults(faults)
		if faults.RefuseConnections {
			n.storeProxy.ResetConnections()
		}
		i.sleep(ctx, randomDuration(r, 300*time.Millisecond, 6*time.Second))
		n.storeProxy.SetFaults(cwprocess.NetFaults{})
		return nil
	}
}

// nodeConnectionFault returns a function that applies a fault to a random node's open connections once. It has no end to undo.
func (i *injector) nodeConnectionFault(fault func(n *node)) func(context.Context, *rand.Rand) error {
	return func(_ context.Context, r *rand.Rand) error {
		nodes := i.cluster.currentNodes()
		fault(nodes[r.IntN(len(nodes))])
		return nil
	}
}

func (i *injector) anyRack(r *rand.Rand) *rack { return i.cluster.racks[r.IntN(len(i.cluster.racks))] }

// killRack kills the process of a random rack's runners and restarts it later. It does nothing if another fault is stopping or
// starting that process.
func (i *injector) killRack(ctx context.Context, r *rand.Rand) error {
	rk := i.anyRack(r)
	if !rk.mu.TryLock() {
		return nil
	}
	defer rk.mu.Unlock()
	rk.Kill()
	rk.KilledAt = cwtimer.WallTime()
	i.sleep(ctx, randomDuration(r, 0, 4*time.Second))
	return i.cluster.startRack(ctx, rk)
}

// rackNetworkFault returns a function that injects the network faults that choose returns, between the nodes and some or all runners
// of a random rack, for a random time.
func (i *injector) rackNetworkFault(choose func(*rand.Rand) cwprocess.NetFaults) func(context.Context, *rand.Rand) error {
	return func(ctx context.Context, r *rand.Rand) error {
		proxies, faults := i.anyRack(r).proxies, choose(r)
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

// rackConnectionFault returns a function that applies a fault to the open connections of each runner of a random rack once.
func (i *injector) rackConnectionFault(fault func(*cwprocess.Proxy)) func(context.Context, *rand.Rand) error {
	return func(_ context.Context, r *rand.Rand) error {
		for _, p := range i.anyRack(r).proxies {
			fault(p)
		}
		return nil
	}
}

// restartRack makes all runners of a random rack restart under their identifiers while some of their orders are carried out late, and often cuts the
// rack off soon afterwards. It does nothing if another fault is stopping or starting the rack's process.
func (i *injector) restartRack(ctx context.Context, r *rand.Rand) error {
	rk := i.anyRack(r)
	if !rk.mu.TryLock() {
		return nil
	}
	defer rk.mu.Unlock()
	rk.restarts++
	for _, faults := range []cwstandin.RunnerFaults{{LateRate: 0.3}, {LateRate: 0.3, Restarts: rk.restarts}, {Restarts: rk.restarts}} {
		if err := i.cluster.setRunnerFaults(rk, faults); err != nil {
			return err
		}
		i.sleep(ctx, randomDuration(r, 200*time.Millisecond, 1200*time.Millisecond))
	}
	if r.IntN(3) == 0 {
		return nil
	}
	for _, faults := range []cwprocess.NetFaults{{StallTo: true, StallFrom: true}, {}} {
		for _, p := range rk.proxies {
			p.SetFaults(faults)
		}
		if faults.StallTo {
			i.sleep(ctx, randomDuration(r, 2*time.Second, 9*time.Second))
		}
	}
	return nil
}

// rackFault returns a function that injects faults into all runners of a random rack for a random time. Afterwards it keeps the rack
// free of other faults of this kind for a random time. It does nothing if another fault is stopping or starting the rack's process.
func (i *injector) rackFault(faults cwstandin.RunnerFaults) func(context.Context, *rand.Rand) error {
	return func(ctx context.Context, r *rand.Rand) error {
		rk := i.anyRack(r)
		if !rk.mu.TryLock() {
			return nil
		}
		defer rk.mu.Unlock()
		for _, faults := range []cwstandin.RunnerFaults{faults, {}} {
			if err := i.cluster.setRunnerFaults(rk, faults); err != nil {
				return err
			}
			i.sleep(ctx, randomDuration(r, 500*time.Millisecond, 5*time.Second))
		}
		return nil
	}
}
