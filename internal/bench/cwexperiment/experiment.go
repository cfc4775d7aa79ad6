// Package cwexperiment measures the decider alone against baselines, with a manual clock.
//
// It stands in for workers and callers only so far as the decider sees them; it is no cluster simulator.
package cwexperiment

import (
	"fmt"
	"io"
	"slices"
	"time"

	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwdecider"
	"currantward/internal/core/cwmodel"
)

// Arguments are the options of the measurement.
type Arguments struct {
	Seed  uint64  `arg:"--seed" default:"1" help:"of all random draws"`
	Part  string  `arg:"--part" default:"all" help:"load, packing, flood, cost, faults or all"`
	Times float64 `arg:"--times" default:"10" help:"size of a flood in fleets"`
}

// experiment prints its tables to one writer.
type experiment struct {
	Arguments
	w     io.Writer
	timer *cwtimer.Service
}

// Run runs the chosen part and prints its tables.
func Run(a Arguments, w io.Writer) error {
	timer, stop := cwtimer.New()
	defer stop()
	e := &experiment{Arguments: a, w: w, timer: timer}
	parts := []struct {
		name string
		run  func()
	}{
		{"load", e.load}, {"packing", e.packing}, {"flood", e.floods}, {"cost", e.cost}, {"faults", e.faults},
	}
	known := a.Part == "all"
	fmt.Fprintf(w, "seed %d\n", a.Seed)
	for _, p := range parts {
		if a.Part == "all" || a.Part == p.name {
			known = true
			p.run()
		}
	}
	if !known {
		return fmt.Errorf("unknown part %q", a.Part)
	}
	return nil
}

// engines returns the decider and the baselines, all fresh.
func (e *experiment) engines() []Engine {
	return []Engine{
		NewDecider("currantward", cwdecider.Options{Seed: e.Seed}), NewFirstFit(), NewPowerOfTwoChoices(e.Seed),
	}
}

// load prints waiting times and on-time work under the usual load.
func (e *experiment) load() {
	for _, d := range []Scenario{Nilecraft(), Kameelboom(), TargetScale()} {
		fmt.Fprintf(e.w, "\n%s, usual load\n%-14s %-16s %8s %8s %10s %10s %8s\n", d.Name, "engine", "profile", "asked", "on-time", "wait-p50", "wait-p99", "not-run")
		for _, engine := range e.engines() {
			r := Simulate(engine, d, e.Seed, 0, e.timer)
			e.printLines(r)
			e.printPacking(r)
		}
	}
}

func (e *experiment) printLines(r *Report) {
	for _, name := range r.names() {
		l := r.ProfileStats(name)
		fmt.Fprintf(e.w, "%-14s %-16s %8d %7.1f%% %10s %10s %8d\n",
			r.Engine, name, l.Requests, percent(l.OnTime, l.Requests), round(l.WaitQuantile(0.5)), round(l.WaitQuantile(0.99)), l.NotRun)
	}
}

func (r *Report) names() (names []cwmodel.ProfileName) {
	for name := range r.lines {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(whole, 1)) }

func round(d time.Duration) time.Duration {
	if d < time.Millisecond {
		return d.Round(time.Microsecond)
	}
	return d.Round(time.Millisecond)
}

// packing prints the use of a saturated fleet; no placement uses more than all of its bottleneck.
func (e *experiment) packing() {
	d := Mixed()
	fmt.Fprintf(e.w, "\n%s, saturated: mean use by dimension; the fractional bound of the bottleneck is 1.000\n", d.Name)
	for _, engine := range e.engines() {
		e.printPacking(Simulate(engine, d, e.Seed, 0, e.timer))
	}
}

func (e *experiment) printPacking(r *Report) {
	u := r.MeanUtilisation()
	fmt.Fprintf(e.w, "%-14s use: bottleneck %.3f processors %.3f memory %.3f accelerators %.3f slots %.3f\n",
		r.Engine, u.bottleneck(), u.processors, u.memory, u.accelerators, u.slots)
}

// floods prints what the other profiles keep of their on-time work while one asks for many fleets.
func (e *experiment) floods() {
	cases := []struct {
		deployment Scenario
		flooding   cwmodel.ProfileName
	}{
		{Kameelboom(), "page-renders"}, {Kameelboom(), "draft-checks"},
		{Nilecraft(), "fleet-analysis"}, {Nilecraft(), "diagnostics"},
		{TargetScale(), "batch"}, {TargetScale(), "urgent"},
	}
	for _, c := range cases {
		flooded := c.deployment.WithFlood(c.flooding, e.Times)
		flood := flooded.Streams[len(flooded.Streams)-1]
		fmt.Fprintf(e.w, "\n%s, flood of %s at %.0f times the fleet for %s (%.0f a second): on-time work kept\n",
			c.deployment.Name, c.flooding, e.Times, round(flood.To-flood.From), flood.ArrivalRate)
		calm, busy := e.engines(), e.engines()
		for n := range calm {
			usual := len(c.deployment.Streams)
			without := Simulate(calm[n], c.deployment, e.Seed, usual, e.timer)
			with := Simulate(busy[n], flooded, e.Seed, usual, e.timer)
			for _, name := range without.names() {
				a, b := without.ProfileStats(name), with.ProfileStats(name)
				fmt.Fprintf(e.w, "%-14s %-16s on-time %6d -> %6d kept %6.1f%%  wait-p99 %8s -> %8s\n",
					without.Engine, name, a.OnTime, b.OnTime, percent(b.OnTime, a.OnTime), round(a.WaitQuantile(0.99)), round(b.WaitQuantile(0.99)))
			}
		}
	}
}

// cost prints the time of one event at three sizes, under a load that grows with the fleet.
func (e *experiment) cost() {
	fmt.Fprintf(e.w, "\ncost of events, on one core\n%-14s %8s %12s %10s %10s %10s\n", "engine", "workers", "events/s", "p50", "p99", "max")
	for _, count := range []int{50, 700, 7000} {
		for _, engine := range e.engines() {
			r := Simulate(engine, scaled(count), e.Seed, 0, e.timer)
			fmt.Fprintf(e.w, "%-14s %8d %12.0f %10s %10s %10s\n", r.Engine, count, r.EventsPerSecond(), r.CostQuantile(0.5), r.CostQuantile(0.99), r.CostQuantile(1))
		}
	}
}

// scaled returns a deployment of count workers at about six tasks running on each.
func scaled(count int) Scenario {
	d := TargetScale()
	factor := float64(count) / float64(len(d.Workers))
	plain := count * 505 / 700
	d.Workers = append(fleet("plain", plain, resources(64, 256, 0, 64, 240)), fleet("accel", count-plain, resources(64, 256, 4, 64, 240))...)
	d.Duration, d.WarmUp, d.Cooldown = 40*time.Second, 20*time.Second, 0
	const quick = 20 * time.Second
	for n := range d.Streams {
		s := &d.Streams[n]
		shorter := min(1, quick.Seconds()/s.RunTime.Seconds())
		s.RunTime = time.Duration(float64(s.RunTime) * shorter)
		s.ArrivalRate *= factor / shorter
		if s.Profile.Kind == cwmodel.KindService {
			s.ArrivalRate, s.RunTime, s.To = 43*factor, 1000*time.Hour, 20*time.Second
		}
	}
	return d
}
