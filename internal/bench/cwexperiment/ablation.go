package cwexperiment

import (
	"fmt"
	"time"

	"currantward/internal/core/cwdecider"
	"currantward/internal/core/cwmodel"
)

// ablation compares runs with and without one part of the policy, in a situation that the part is for.
type ablation struct {
	situation       string
	scenario        Scenario
	measuredStreams int // number of streams whose tasks are counted; zero for all
	feature         string
	with            cwdecider.Options
	without         cwdecider.Options
}

// measureAblations prints what each part of the policy contributes.
func (e *experiment) measureAblations() {
	blackHole, outages := Nilecraft(), Nilecraft()
	blackHole.InjectFault, outages.InjectFault = blackHoles, briefOutages
	cases := []ablation{
		{"nilecraft, 3 of 50 workers fail everything at once", blackHole, 0, "breaker", cwdecider.Options{}, cwdecider.Options{DisableBreaker: true}},
		{"nilecraft, every attempt fails at once for 300 ms, each 3 s", outages, 0, "decorrelated jitter", cwdecider.Options{DisableBreaker: true}, cwdecider.Options{DisableBreaker: true, DisableJitter: true}},
		{"the same with the breaker", outages, 0, "breaker", cwdecider.Options{}, cwdecider.Options{DisableBreaker: true}},
		{"nilecraft, 3 times the fleet in diagnostics", Nilecraft().WithFlood("diagnostics", 3), len(Nilecraft().Streams), "learned estimates", cwdecider.Options{}, cwdecider.Options{DisableEstimates: true}},
		{"mixed, tasks use half of what they declare", MixedDemands().WithUsageRatio(0.5), 0, "learned sizes", cwdecider.Options{}, cwdecider.Options{DisableEstimates: true}},
		{"mixed, tasks use 1.5 times what they declare", MixedDemands().WithUsageRatio(1.5), 0, "learned sizes", cwdecider.Options{}, cwdecider.Options{DisableEstimates: true}},
		{"kameelboom, 10 times the fleet in draft-checks", Kameelboom().WithFlood("draft-checks", 10), len(Kameelboom().Streams), "floors", cwdecider.Options{}, cwdecider.Options{DisableFloors: true}},
	}
	for _, c := range cases {
		fmt.Fprintf(e.w, "\n%s\n", c.situation)
		c.with.Seed, c.without.Seed = e.Seed, e.Seed
		e.printAblation(Simulate(NewDecider("with", c.with), c.scenario, e.Seed, c.measuredStreams, e.timer), c.feature)
		e.printAblation(Simulate(NewDecider("without", c.without), c.scenario, e.Seed, c.measuredStreams, e.timer), c.feature)
	}
}

func (e *experiment) printAblation(r *Report, feature string) {
	requests, onTime := 0, 0
	for _, name := range r.profileNames() {
		p := r.ProfileStats(name)
		requests += p.Arrivals
		onTime += p.OnTime
	}
	fmt.Fprintf(e.w, "%-8s %-20s on-time %7d of %7d (%.2f%%) starts %7d on overfull workers %d\n", r.Engine, feature, onTime, requests, percent(onTime, requests), r.Starts, r.Overcommitted)
}

// blackHoles fails every attempt on three workers after a hundredth of its run time.
func blackHoles(on cwmodel.HostID, _ cwmodel.ProfileName, _ time.Duration, _ float64) (float64, bool) {
	const fraction = 0.01
	return fraction, on == "runner-0003" || on == "runner-0017" || on == "runner-0031"
}

// briefOutages fails every attempt that starts in the outage at the beginning of each period.
func briefOutages(_ cwmodel.HostID, _ cwmodel.ProfileName, at time.Duration, _ float64) (float64, bool) {
	const period, outage, fraction = 3 * time.Second, 300 * time.Millisecond, 0.01
	return fraction, at%period < outage
}
