package cwsimulation_test

import (
	"testing"

	"github.com/matryer/is"

	"currantward/internal/core/cwmodel"
	"currantward/internal/proof/cwsimulation"
)

func TestSchedulesKeepEveryPromise(t *testing.T) {
	is := is.New(t)
	const firstSeed, seeds = 1, 60
	outcomes := map[cwmodel.Outcome]int{}
	for seed := uint64(firstSeed); seed < firstSeed+seeds; seed++ {
		report := cwsimulation.Run(seed)
		for _, violation := range report.Violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
		for outcome, n := range report.Outcomes {
			outcomes[outcome] += n
		}
	}
	t.Logf("seeds %d to %d: %v", firstSeed, firstSeed+seeds-1, outcomes)
	for _, outcome := range cwmodel.Outcomes() {
		is.True(outcomes[outcome] > 0) // every outcome occurs
	}
}

func TestSeedGivesTheSameRun(t *testing.T) {
	is := is.New(t)
	is.Equal(cwsimulation.Run(7), cwsimulation.Run(7))
}
