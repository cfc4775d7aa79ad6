package cwsimulation

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"io"
	"sync"
	"time"

	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwmodel"
)

// Arguments are the command-line options of a run.
type Arguments struct {
	Seeds    int    `arg:"--seeds" default:"10000" help:"schedules to run"`
	Minutes  int    `arg:"--minutes" default:"30" help:"start no further schedule after this time"`
	Seed     uint64 `arg:"--seed" help:"first seed; drawn afresh if left out"`
	Parallel int    `arg:"--parallel" default:"4" help:"schedules at once"`
}

// RunSeeds runs many scenarios, prints each violation with its seed and step, and fails if there was one.
func RunSeeds(a Arguments, out io.Writer) error {
	timer, stop := cwtimer.New()
	defer stop()
	if a.Seed == 0 {
		a.Seed = randomSeed()
	}
	startedAt := timer.Now()
	seeds := make(chan uint64)
	reports := make(chan Report)
	go func() {
		defer close(seeds)
		for n := range a.Seeds {
			if timer.Now().Sub(startedAt) > time.Duration(a.Minutes)*time.Minute {
				return
			}
			seeds <- a.Seed + uint64(n)
		}
	}()
	var workers sync.WaitGroup
	for range max(a.Parallel, 1) {
		workers.Go(func() {
			for seed := range seeds {
				reports <- Run(seed)
			}
		})
	}
	go func() {
		workers.Wait()
		close(reports)
	}()
	return printSummary(a, reports, out)
}

// printSummary prints each violation as it is reported, then the totals of all reports. It fails if there was a violation.
func printSummary(a Arguments, reports <-chan Report, out io.Writer) error {
	scenarios, steps, attempts, violations := 0, 0, 0, 0
	outcomes := map[cwmodel.Outcome]int{}
	for r := range reports {
		scenarios++
		steps += r.Steps
		attempts += r.StartedAttempts
		for outcome, n := range r.Outcomes {
			outcomes[outcome] += n
		}
		for _, violation := range r.Violations {
			violations++
			fmt.Fprintf(out, "violation seed=%d %s\n", r.Seed, violation)
		}
	}
	fmt.Fprintf(out, "schedules=%d first-seed=%d steps=%d attempts=%d violations=%d outcomes=%v\n", scenarios, a.Seed, steps, attempts, violations, outcomes)
	if violations > 0 {
		return fmt.Errorf("found %d violations", violations)
	}
	return nil
}

// randomSeed returns a seed of at most 32 bits, which is short enough to type.
func randomSeed() uint64 {
	var buf [4]byte
	_, _ = rand.Read(buf[:])
	return uint64(binary.BigEndian.Uint32(buf[:]))
}
