// Package cwcapacity measures what an entry host costs for each worker, peer, running task and start.
//
// Entry hosts run as processes of their own; the stand-ins and the load run in the measuring process. Costs are read
// from the hosts' own metrics: processor seconds, resident memory and bytes of each link.
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

// Point is one size at which a cost is measured.
type Point struct {
	Hosts        int // entry hosts
	DataCentres  int // data centres
	Workers      int // over all data centres
	RunningTasks int // tasks that run throughout
	StartRate    int // starts a second over all hosts
}

// Cost is what one entry host spends on average at a point.
type Cost struct {
	CPUShare        float64 // share of one core, 0 to 1
	MemoryBytes     float64 // resident
	HeapBytes       float64 // live objects of the Go heap
	WorkerTraffic   float64 // bytes a second with workers, both ways
	PeerTraffic     float64 // bytes a second with peers, both ways
	PlatformTraffic float64 // bytes a second with the platform, both ways
}

// Sample is a point with its cost and what changes of the configuration took there.
type Sample struct {
	Point       Point
	Cost        Cost
	RolloutTime time.Duration // the longest time from an accepted change to its being in force on all hosts
}

// points returns the sizes that give the slopes: workers, hosts, running tasks and starts, each varied alone.
func points(a Arguments) []Point {
	letter := Point{Hosts: 12, DataCentres: 4, Workers: 700, RunningTasks: 4300, StartRate: 45}
	if a.Letter {
		return []Point{letter}
	}
	base := Point{Hosts: 3, DataCentres: 1, Workers: 51}
	if a.Quick {
		return []Point{base, {Hosts: 3, DataCentres: 1, Workers: 99}}
	}
	return []Point{
		base,
		{Hosts: 3, DataCentres: 1, Workers: 201},
		{Hosts: 3, DataCentres: 1, Workers: 699},
		{Hosts: 6, DataCentres: 2, Workers: 102},
		{Hosts: 12, DataCentres: 4, Workers: 204},
		{Hosts: 3, DataCentres: 1, Workers: 51, RunningTasks: 150},
		{Hosts: 3, DataCentres: 1, Workers: 51, RunningTasks: 300},
		{Hosts: 3, DataCentres: 1, Workers: 51, StartRate: 45},
		{Hosts: 3, DataCentres: 1, Workers: 51, StartRate: 300},
		letter,
	}
}

// Run measures every point and prints the costs and their slopes.
func Run(a Arguments, w io.Writer) error {
	printHeader(w)
	var samples []Sample
	for _, point := range points(a) {
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
