package cwexperiment

import (
	"fmt"
	"time"

	"currantward/internal/core/cwdecider"
	"currantward/internal/core/cwmodel"
)

// ablation compares runs of the decider with and without one of its features, in a situation in which the feature should help.
type ablation struct {
	situation   string // printed as the heading
	scenario    Scenario
	baseStreams int    // number of streams, from the first, whose tasks are counted; zero for all
	feature     string // name of the feature that the options in without disable
	with        cwdecider.Options
	without     cwdecider.Options
}

// measureAblations prints what each feature of the decider contributes.
func (e *experiment) measureAblations() {
	blackHole, outages := Nilecraft(), Nilecraft()
	blackHole.InjectFault, outages.InjectFault = failBlackHoles, failInOutages
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
		e.printAblation(Simulate(NewDecider("with", c.with), c.scenario, e.Seed, c.baseStreams, e.timer), c.feature)
		e.printAblation(Simulate(NewDecider("without", c.without), c.scenario, e.Seed, c.baseStreams, e.timer), c.feature)
	}
}

// printAblation prints one line that sums up all profiles of a report.
func (e *experiment) printAblation(r *Report, feature string) {
	requests, onTime := 0, 0
	for _, name := range r.profileNames() {
		p := r.ProfileStats(name)
		requests += p.Arrivals
		onTime += p.OnTime
	}
	fmt.Fprintf(e.w, "%-8s %-20s on-time %7d of %7d (%.2f%%) starts %7d on overfull workers %d\n", r.Engine, feature, onTime, requests, percent(onTime, requests), r.Starts, r.Overcommitted)
}

// failBlackHoles fails every attempt on three workers after a hundredth of its run time. Such workers are black holes: they are
// free again at once and so attract further tasks.
func failBlackHoles(worker cwmodel.HostID, _ cwmodel.ProfileName, _ time.Duration, _ float64) (float64, bool) {
	const fraction = 0.01
	return fraction, worker == "runner-0003" || worker == "runner-0017" || worker == "runner-0031"
}

// failInOutages fails every attempt that starts in the outage at the beginning of each period.
func failInOutages(_ cwmodel.HostID, _ cwmodel.ProfileName, elapsed time.Duration, _ float64) (float64, bool) {
	const period, outage, fraction = 3 * time.Second, 300 * time.Millisecond, 0.01
	return fraction, elapsed%period < outage
}
