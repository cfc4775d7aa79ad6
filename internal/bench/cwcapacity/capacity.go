// Package cwcapacity measures the resources that an entry host uses for each worker, peer, running task and task start.
//
// Each entry host runs in its own process; the stand-ins and the load generator run in the measuring process. Costs are
// read from the metrics of the hosts: processor seconds, resident memory and bytes sent and received by kind of peer.
package cwcapacity

import (
	"fmt"
	"io"
	"time"
)

// Arguments are the options of the measurement.
type Arguments struct {
	Window time.Duration `arg:"--window" default:"15s" help:"length of each measured window"`
	Quick  bool          `arg:"--quick" help:"only the smallest point of each slope"`
	Letter bool          `arg:"--letter" help:"only the letter's size: 12 entry hosts, 700 workers, 4,300 running"`
}

// LoadPoint is a cluster size with a load, at which costs are measured.
type LoadPoint struct {
	Hosts        int // entry hosts
	DataCentres  int // data centres
	Workers      int // in all data centres
	RunningTasks int // long tasks that run during the whole measurement
	StartRate    int // short tasks started each second, on all hosts together
}

// Cost is the mean resource use of one entry host at a load point.
type Cost struct {
	CPUShare        float64 // share of one core, 0 to 1
	MemoryBytes     float64 // resident
	HeapBytes       float64 // allocated objects on the Go heap
	WorkerTraffic   float64 // bytes a second to and from workers
	PeerTraffic     float64 // bytes a second to and from peers
	PlatformTraffic float64 // bytes a second to and from the platform
}

// Sample is a load point with the cost and the rollout time measured at it.
type Sample struct {
	Point       LoadPoint
	Cost        Cost
	RolloutTime time.Duration // longest time from the commit of a configuration until it is in force on all hosts
}

// loadPoints returns the load points to measure. Workers, hosts, running tasks and starts are each varied alone, for the regressions.
// --letter selects only the size that the users require.
func loadPoints(a Arguments) []LoadPoint {
	targetScale := LoadPoint{Hosts: 12, DataCentres: 4, Workers: 700, RunningTasks: 4300, StartRate: 45}
	if a.Letter {
		return []LoadPoint{targetScale}
	}
	base := LoadPoint{Hosts: 3, DataCentres: 1, Workers: 51}
	if a.Quick {
		return []LoadPoint{base, {Hosts: 3, DataCentres: 1, Workers: 99}}
	}
	return []LoadPoint{
		base,
		{Hosts: 3, DataCentres: 1, Workers: 201},
		{Hosts: 3, DataCentres: 1, Workers: 699},
		{Hosts: 6, DataCentres: 2, Workers: 102},
		{Hosts: 12, DataCentres: 4, Workers: 204},
		{Hosts: 3, DataCentres: 1, Workers: 51, RunningTasks: 150},
		{Hosts: 3, DataCentres: 1, Workers: 51, RunningTasks: 300},
		{Hosts: 3, DataCentres: 1, Workers: 51, StartRate: 45},
		{Hosts: 3, DataCentres: 1, Workers: 51, StartRate: 300},
		targetScale,
	}
}

// Run measures every load point and prints its cost. It then prints the slopes, which are the costs of one more worker, peer, running task and start
// a second, unless --letter selects a single point, which has no slope.
func Run(a Arguments, w io.Writer) error {
	printHeader(w)
	var samples []Sample
	for _, point := range loadPoints(a) {
		sample, err := measure(point, a.Window)
		if err != nil {
			return fmt.Errorf("measure %+v: %w", point, err)
		}
		printSample(w, sample)
		samples = append(samples, sample)
	}
	if !a.Letter {
		printSlopes(w, samples)
	}
	return nil
}
