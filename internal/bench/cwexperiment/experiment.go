// Package cwexperiment measures the decider alone against baselines, in a discrete-event simulation with a manual clock.
//
// Workers and callers are simulated only as far as the decider observes them; it is not a general cluster simulator.
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

// experiment runs the measurements, each of which is one part of the command line, and prints their tables.
type experiment struct {
	Arguments
	w     io.Writer
	timer *cwtimer.Service
}

// Run runs the part that the arguments choose, or all, and prints the tables. The part "cost" measures decision
// times; the part "faults" is the ablation study.
func Run(a Arguments, w io.Writer) error {
	timer, stop := cwtimer.New()
	defer stop()
	e := &experiment{Arguments: a, w: w, timer: timer}
	parts := []struct {
		name string
		run  func()
	}{
		{"load", e.measureLoad}, {"packing", e.measurePacking}, {"flood", e.measureFloods}, {"cost", e.measureDecisionTimes}, {"faults", e.measureAblations},
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

// newEngines returns new instances of the decider and of both baselines, since an engine keeps state from its run.
func (e *experiment) newEngines() []Engine {
	return []Engine{
		NewDecider("currantward", cwdecider.Options{Seed: e.Seed}), NewFirstFit(), NewPowerOfTwoChoices(e.Seed),
	}
}

// measureLoad prints waiting times and the share of on-time tasks under the base load.
func (e *experiment) measureLoad() {
	for _, sc := range []Scenario{Nilecraft(), Kameelboom(), TargetScale()} {
		fmt.Fprintf(e.w, "\n%s, usual load\n%-14s %-16s %8s %8s %10s %10s %8s\n", sc.Name, "engine", "profile", "asked", "on-time", "wait-p50", "wait-p99", "not-run")
		for _, engine := range e.newEngines() {
			r := Simulate(engine, sc, e.Seed, 0, e.timer)
			e.printProfiles(r)
			e.printUtilisation(r)
		}
	}
}

// printProfiles prints one line for each profile in a report.
func (e *experiment) printProfiles(r *Report) {
	for _, name := range r.profileNames() {
		p := r.ProfileStats(name)
		fmt.Fprintf(e.w, "%-14s %-16s %8d %7.1f%% %10s %10s %8d\n",
			r.Engine, name, p.Arrivals, percent(p.OnTime, p.Arrivals), round(p.WaitQuantile(0.5)), round(p.WaitQuantile(0.99)), p.NotRun)
	}
}

// profileNames returns the names of the counted profiles in sorted order.
func (r *Report) profileNames() (names []cwmodel.ProfileName) {
	for name := range r.profiles {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// percent returns part as a percentage of whole, and 0 for a whole of 0.
func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(whole, 1)) }

// round rounds a duration to milliseconds, or to microseconds if it is shorter than one millisecond.
func round(d time.Duration) time.Duration {
	if d < time.Millisecond {
		return d.Round(time.Microsecond)
	}
	return d.Round(time.Millisecond)
}

// measurePacking prints the utilisation of a saturated fleet. No placement uses more than 1.0 of its bottleneck dimension.
func (e *experiment) measurePacking() {
	sc := MixedDemands()
	fmt.Fprintf(e.w, "\n%s, saturated: mean use by dimension; the fractional bound of the bottleneck is 1.000\n", sc.Name)
	for _, engine := range e.newEngines() {
		e.printUtilisation(Simulate(engine, sc, e.Seed, 0, e.timer))
	}
}

// printUtilisation prints the mean utilisation of each dimension in a report.
func (e *experiment) printUtilisation(r *Report) {
	u := r.MeanUtilisation()
	fmt.Fprintf(e.w, "%-14s use: bottleneck %.3f processors %.3f memory %.3f accelerators %.3f slots %.3f\n",
		r.Engine, u.bottleneck(), u.processors, u.memory, u.accelerators, u.slots)
}

// measureFloods prints which share of its on-time tasks each profile retains during a flood, in which one profile demands
// a multiple (--times) of the fleet's capacity. The flood is the last stream of its scenario; both runs count only the tasks of
// the base streams, so that they compare the same tasks.
func (e *experiment) measureFloods() {
	cases := []struct {
		scenario     Scenario
		floodProfile cwmodel.ProfileName
	}{
		{Kameelboom(), "page-renders"}, {Kameelboom(), "draft-checks"},
		{Nilecraft(), "fleet-analysis"}, {Nilecraft(), "diagnostics"},
		{TargetScale(), "batch"}, {TargetScale(), "urgent"},
	}
	for _, c := range cases {
		flooded := c.scenario.WithFlood(c.floodProfile, e.Times)
		flood := flooded.Streams[len(flooded.Streams)-1]
		fmt.Fprintf(e.w, "\n%s, flood of %s at %.0f times the fleet for %s (%.0f a second): on-time work kept\n",
			c.scenario.Name, c.floodProfile, e.Times, round(flood.To-flood.From), flood.ArrivalRate)
		baseEngines, floodEngines := e.newEngines(), e.newEngines()
		for n := range baseEngines {
			baseStreams := len(c.scenario.Streams)
			baseReport := Simulate(baseEngines[n], c.scenario, e.Seed, baseStreams, e.timer)
			floodReport := Simulate(floodEngines[n], flooded, e.Seed, baseStreams, e.timer)
			for _, name := range baseReport.profileNames() {
				baseStats, floodStats := baseReport.ProfileStats(name), floodReport.ProfileStats(name)
				fmt.Fprintf(e.w, "%-14s %-16s on-time %6d -> %6d kept %6.1f%%  wait-p99 %8s -> %8s\n",
					baseReport.Engine, name, baseStats.OnTime, floodStats.OnTime, percent(floodStats.OnTime, baseStats.OnTime), round(baseStats.WaitQuantile(0.99)), round(floodStats.WaitQuantile(0.99)))
			}
		}
	}
}

// measureDecisionTimes prints the time that the engines take for one event at three fleet sizes, under a load proportional to the fleet.
func (e *experiment) measureDecisionTimes() {
	fmt.Fprintf(e.w, "\ncost of events, on one core\n%-14s %8s %12s %10s %10s %10s\n", "engine", "workers", "events/s", "p50", "p99", "max")
	for _, count := range []int{50, 700, 7000} {
		for _, engine := range e.newEngines() {
			r := Simulate(engine, scaledScenario(count), e.Seed, 0, e.timer)
			fmt.Fprintf(e.w, "%-14s %8d %12.0f %10s %10s %10s\n", r.Engine, count, r.EventsPerSecond(), r.DecisionTimeQuantile(0.5), r.DecisionTimeQuantile(0.99), r.DecisionTimeQuantile(1))
		}
	}
}

// scaledScenario returns the target scale with another number of workers, about six running tasks on each, and run times of at
// most 20 s. Services arrive during the warm-up only and run until the end.
func scaledScenario(workers int) Scenario {
	sc := TargetScale()
	factor := float64(workers) / float64(len(sc.Workers))
	plain := workers * 505 / 700
	sc.Workers = append(newWorkers("plain", plain, resources(64, 256, 0, 64, 240)), newWorkers("accel", workers-plain, resources(64, 256, 4, 64, 240))...)
	sc.Duration, sc.WarmUp, sc.Cooldown = 40*time.Second, 20*time.Second, 0
	const maxRunTime = 20 * time.Second
	for n := range sc.Streams {
		s := &sc.Streams[n]
		runTimeFactor := min(1, maxRunTime.Seconds()/s.RunTime.Seconds())
		s.RunTime = time.Duration(float64(s.RunTime) * runTimeFactor)
		s.ArrivalRate *= factor / runTimeFactor
		if s.Profile.Kind == cwmodel.KindService {
			s.ArrivalRate, s.RunTime, s.To = 43*factor, 1000*time.Hour, 20*time.Second
		}
	}
	return sc
}
