package cwcapacity

import (
	"fmt"
	"io"

	"gonum.org/v1/gonum/stat"
)

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

// printHeader prints the head of the table of samples.
func printHeader(w io.Writer) {
	fmt.Fprintf(w, "each cost is the mean of one entry host\n%5s %7s %7s %7s %5s | %7s %8s %8s %9s %9s %9s | %9s\n",
		"hosts", "centres", "workers", "running", "rate", "core %", "RSS MiB", "heap MiB", "worker kB", "peer kB", "table kB", "in force")
}

// printSample prints a load point with its cost and rollout time as one line of the table.
func printSample(w io.Writer, s Sample) {
	p, c := s.Point, s.Cost
	fmt.Fprintf(w, "%5d %7d %7d %7d %5d | %7.2f %8.1f %8.1f %9.2f %9.2f %9.2f | %9s\n",
		p.Hosts, p.DataCentres, p.Workers, p.RunningTasks, p.StartRate, c.CPUShare*100, c.MemoryBytes/mebibyte, c.HeapBytes/mebibyte,
		c.WorkerTraffic/1000, c.PeerTraffic/1000, c.PlatformTraffic/1000, s.RolloutTime)
}

// regression fits each cost as a straight line over one quantity, the predictor. It includes only load points at which the
// other quantities are constant.
type regression struct {
	name      string
	predictor func(p LoadPoint) float64
	includes  func(p LoadPoint) bool
}

// regressions returns one regression each over the owned workers, peers, running tasks and starts a second of one host. Their includes functions
// select from loadPoints the base point and the points that vary the one quantity only.
func regressions() []regression {
	perHost := func(n int, p LoadPoint) float64 { return float64(n) / float64(p.Hosts) }
	return []regression{
		{"owned worker", func(p LoadPoint) float64 { return perHost(p.Workers, p) }, func(p LoadPoint) bool { return p.Hosts == 3 && p.RunningTasks == 0 && p.StartRate == 0 }},
		{"peer", func(p LoadPoint) float64 { return float64(p.Hosts - 1) }, func(p LoadPoint) bool { return p.Workers == 17*p.Hosts && p.RunningTasks == 0 && p.StartRate == 0 }},
		{"running task", func(p LoadPoint) float64 { return perHost(p.RunningTasks, p) }, func(p LoadPoint) bool { return p.Hosts == 3 && p.Workers == 51 && p.StartRate == 0 }},
		{"start a second", func(p LoadPoint) float64 { return perHost(p.StartRate, p) }, func(p LoadPoint) bool { return p.Hosts == 3 && p.Workers == 51 && p.RunningTasks == 0 }},
	}
}

// printSlopes prints the least-squares slope of each cost over each quantity that has at least two load points.
func printSlopes(w io.Writer, samples []Sample) {
	fmt.Fprintf(w, "\n%-16s %12s %12s %12s %12s %12s\n", "for each", "core %", "RSS KiB", "worker B/s", "peer B/s", "table B/s")
	for _, r := range regressions() {
		var x []float64
		var costs []Cost
		for _, sample := range samples {
			if r.includes(sample.Point) {
				x = append(x, r.predictor(sample.Point))
				costs = append(costs, sample.Cost)
			}
		}
		if len(x) < 2 {
			continue
		}
		fmt.Fprintf(w, "%-16s %12.5f %12.2f %12.1f %12.1f %12.1f\n", r.name,
			100*slopeOf(x, costs, func(c Cost) float64 { return c.CPUShare }),
			slopeOf(x, costs, func(c Cost) float64 { return c.MemoryBytes })/kibibyte,
			slopeOf(x, costs, func(c Cost) float64 { return c.WorkerTraffic }),
			slopeOf(x, costs, func(c Cost) float64 { return c.PeerTraffic }),
			slopeOf(x, costs, func(c Cost) float64 { return c.PlatformTraffic }))
	}
}

// slopeOf returns the least-squares slope of one cost over x.
func slopeOf(x []float64, costs []Cost, costOf func(Cost) float64) float64 {
	y := make([]float64, len(costs))
	for n, c := range costs {
		y[n] = costOf(c)
	}
	_, beta := stat.LinearRegression(x, y, nil, false)
	return beta
}
