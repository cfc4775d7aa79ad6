package cwsoak

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"currantward/internal/proof/cwprocess"
	"currantward/platform/cwstandin"
)

// restartRackAndKillOwner makes all runners of a random rack restart under their identifiers while some of their orders are carried out late, kills the
// present owner soon after their return and restarts it, and then cuts the rack off for longer than a lease. The owner that has seen the
// restart is away, and the next one has just read the new processes. It does nothing if another fault is stopping or starting the rack's process.
func (i *injector) restartRackAndKillOwner(ctx context.Context, r *rand.Rand) error {
	rk := i.anyRack(r)
	if !rk.mu.TryLock() {
		return nil
	}
	defer rk.mu.Unlock()
	lateTime := randomDuration(r, 500*time.Millisecond, 1500*time.Millisecond)
	killAfter := randomDuration(r, 400*time.Millisecond, 800*time.Millisecond)
	cutAfter := randomDuration(r, 500*time.Millisecond, 1500*time.Millisecond)
	downTime, cutTime := randomDuration(r, 0, time.Second), randomDuration(r, 7*time.Second, 10*time.Second)
	if r.IntN(2) == 0 {
		downTime = 0 // the owner is the next one too
	}

	rk.restarts++
	returned := len(rk.EventLines(cwstandin.EventRunnerStarted)) + len(rk.proxies)
	for _, faults := range []cwstandin.RunnerFaults{{LateRate: takeoverLateRate}, {LateRate: takeoverLateRate, Restarts: rk.restarts}} {
		if err := i.cluster.setRunnerFaults(rk, faults); err != nil {
			return err
		}
		if faults.Restarts == 0 {
			i.sleep(ctx, lateTime)
		}
	}
	timer := i.cluster.opts.Timer
	for deadline := timer.Now().Add(maxReturnTime); len(rk.EventLines(cwstandin.EventRunnerStarted)) < returned && timer.Now().Before(deadline); {
		i.sleep(ctx, 10*time.Millisecond)
	}
	if err := i.cluster.setRunnerFaults(rk, cwstandin.RunnerFaults{Restarts: rk.restarts}); err != nil {
		return err
	}
	i.sleep(ctx, killAfter)
	restarted := make(chan error, 1)
	if owner := i.cluster.owner(); owner != nil && owner.lockToStop() {
		owner.Kill()
		go func() {
			defer owner.mu.Unlock()
			i.sleep(ctx, downTime)
			restarted <- i.cluster.startNode(ctx, owner)
		}()
	} else {
		restarted <- nil // another fault is stopping or starting it
	}
	i.load.submitLongJobs(max(1, (len(rk.proxies)*len(i.cluster.racks)-smallFleet)/runnersPerLongJob), r)
	i.sleep(ctx, cutAfter)
	for _, p := range rk.proxies {
		p.SetFaults(cwprocess.NetFaults{StallTo: true, StallFrom: true})
	}
	i.sleep(ctx, cutTime)
	for _, p := range rk.proxies {
		p.SetFaults(cwprocess.NetFaults{})
	}
	return <-restarted
}

// lockToStop locks the node unless another fault is stopping or starting it, or it has ended permanently. If it reports true, the caller
// unlocks the node.
func (n *node) lockToStop() bool {
	if !n.mu.TryLock() {
		return false
	}
	if n.isReplaced {
		n.mu.Unlock()
		return false
	}
	return true
}

const (
	// takeoverLateRate is the fraction of the orders that are carried out late before the restart of a rack around a takeover.
	takeoverLateRate = 0.9
	// runnersPerLongJob is the number of runners beyond smallFleet for each job with long tasks that is submitted while no owner acts, so that the
	// next one starts them at once. A small fleet isolates few of the tasks at a time that were on several runners when these ended.
	runnersPerLongJob = 2
	smallFleet        = 4
)

// maxReturnTime bounds the wait for the return of runners that were ordered to restart. A crash of one of them delays its own return.
const maxReturnTime = time.Second

// owner returns the node whose process has taken the lease of a cell with the highest fence, as its log says, or nil if that process is gone.
func (c *Cluster) owner() (owner *node) {
	highest := uint64(0)
	for _, n := range c.currentNodes() {
		for _, line := range n.process().EventLines("lease-taken") {
			if fence, err := strconv.ParseUint(line.Get("fence"), 10, 64); err == nil && fence > highest {
				highest, owner = fence, n
			}
		}
	}
	return owner
}
