package cwexperiment

import (
	"fmt"
	"time"

	"currantward/internal/core/cwdecider"
	"currantward/internal/core/cwmodel"
)

// variant is one part of the policy with a situation that it is meant for.
type variant struct {
	situation  string
	deployment Scenario
	streams    int // that are counted; zero for all
	part       string
	with       cwdecider.Options
	without    cwdecider.Options
}

// faults prints what each part of the policy adds, by runs with and without it.
func (e *experiment) faults() {
	holes, short := Nilecraft(), Nilecraft()
	holes.InjectFault, short.InjectFault = blackHoles, blips
	variants := []variant{
		{"nilecraft, 3 of 50 workers fail everything at once", holes, 0, "breaker", cwdecider.Options{}, cwdecider.Options{DisableBreaker: true}},
		{"nilecraft, every attempt fails at once for 300 ms, each 3 s", short, 0, "decorrelated jitter", cwdecider.Options{DisableBreaker: true}, cwdecider.Options{DisableBreaker: true, DisableJitter: true}},
		{"the same with the breaker", short, 0, "breaker", cwdecider.Options{}, cwdecider.Options{DisableBreaker: true}},
		{"nilecraft, 3 times the fleet in diagnostics", Nilecraft().WithFlood("diagnostics", 3), len(Nilecraft().Streams), "learned estimates", cwdecider.Options{}, cwdecider.Options{DisableEstimates: true}},
		{"mixed, tasks use half of what they declare", Mixed().WithUsageRatio(0.5), 0, "learned sizes", cwdecider.Options{}, cwdecider.Options{DisableEstimates: true}},
		{"mixed, tasks use 1.5 times what they declare", Mixed().WithUsageRatio(1.5), 0, "learned sizes", cwdecider.Options{}, cwdecider.Options{DisableEstimates: true}},
		{"kameelboom, 10 times the fleet in draft-checks", Kameelboom().WithFlood("draft-checks", 10), len(Kameelboom().Streams), "floors", cwdecider.Options{}, cwdecider.Options{DisableFloors: true}},
	}
	for _, v := range variants {
		fmt.Fprintf(e.w, "\n%s\n", v.situation)
		v.with.Seed, v.without.Seed = e.Seed, e.Seed
		e.printFaults(Simulate(NewDecider("with", v.with), v.deployment, e.Seed, v.streams, e.timer), v.part)
		e.printFaults(Simulate(NewDecider("without", v.without), v.deployment, e.Seed, v.streams, e.timer), v.part)
	}
}

func (e *experiment) printFaults(r *Report, part string) {
	asked, onTime := 0, 0
	for _, name := range r.names() {
		l := r.ProfileStats(name)
		asked += l.Requests
		onTime += l.OnTime
	}
	fmt.Fprintf(e.w, "%-8s %-20s on-time %7d of %7d (%.2f%%) starts %7d on overfull workers %d\n", r.Engine, part, onTime, asked, percent(onTime, asked), r.Starts, r.Overcommitted)
}

// blackHoles fails every attempt on three workers soon after its start.
func blackHoles(on cwmodel.HostID, _ cwmodel.ProfileName, _ time.Duration, _ float64) (float64, bool) {
	const soon = 0.01
	return soon, on == "runner-0003" || on == "runner-0017" || on == "runner-0031"
}

// blips fails every attempt that starts in a short part of each period.
func blips(_ cwmodel.HostID, _ cwmodel.ProfileName, at time.Duration, _ float64) (float64, bool) {
	const period, lasts, soon = 3 * time.Second, 300 * time.Millisecond, 0.01
	return soon, at%period < lasts
}
