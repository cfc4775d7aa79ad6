package cwschedule

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

// Arguments are the options of a long run.
type Arguments struct {
	Seeds    int    `arg:"--seeds" default:"10000" help:"schedules to run"`
	Minutes  int    `arg:"--minutes" default:"30" help:"start no further schedule after this time"`
	Seed     uint64 `arg:"--seed" help:"first seed; drawn afresh if left out"`
	Parallel int    `arg:"--parallel" default:"4" help:"schedules at once"`
}

// RunSeeds runs many schedules, prints each violation with its seed and step, and fails if there was one.
func RunSeeds(a Arguments, out io.Writer) error {
	timer, stop := cwtimer.New()
	defer stop()
	if a.Seed == 0 {
		a.Seed = freshSeed()
	}
	began := timer.Now()
	next := make(chan uint64)
	reports := make(chan Report)
	go func() {
		defer close(next)
		for n := range a.Seeds {
			if timer.Now().Sub(began) > time.Duration(a.Minutes)*time.Minute {
				return
			}
			next <- a.Seed + uint64(n)
		}
	}()
	var runs sync.WaitGroup
	for range max(a.Parallel, 1) {
		runs.Go(func() {
			for seed := range next {
				reports <- Run(seed)
			}
		})
	}
	go func() {
		runs.Wait()
		close(reports)
	}()
	return summarise(a, reports, out)
}

func summarise(a Arguments, reports <-chan Report, out io.Writer) error {
	schedules, steps, begun, violations := 0, 0, 0, 0
	outcomes := map[cwmodel.Outcome]int{}
	for r := range reports {
		schedules++
		steps += r.Steps
		begun += r.StartedAttempts
		for outcome, n := range r.Outcomes {
			outcomes[outcome] += n
		}
		for _, violation := range r.Violations {
			violations++
			fmt.Fprintf(out, "violation seed=%d %s\n", r.Seed, violation)
		}
	}
	fmt.Fprintf(out, "schedules=%d first-seed=%d steps=%d attempts=%d violations=%d outcomes=%v\n", schedules, a.Seed, steps, begun, violations, outcomes)
	if violations > 0 {
		return fmt.Errorf("%d violations", violations)
	}
	return nil
}

// freshSeed returns a seed of at most 32 bits, so that it is short to pass on.
func freshSeed() uint64 {
	var bytes [4]byte
	_, _ = rand.Read(bytes[:])
	return uint64(binary.BigEndian.Uint32(bytes[:]))
}
