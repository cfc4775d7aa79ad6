// Command prove runs randomised tests of the invariants and prints the seed of each violation.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"currantward/internal/proof/cwprocess"
	"currantward/internal/proof/cwsimulation"
	"currantward/internal/proof/cwsoak"
)

// arguments has one field for each subcommand. Schedules runs the state machines in one process on simulated time, with failures drawn from a
// seed. Processes runs rounds of random faults on separate processes under load. Soak runs separate processes, for each seed, over stand-ins of
// the users' platform, with overlapping faults.
type arguments struct {
	Schedules *cwsimulation.Arguments `arg:"subcommand:schedules" help:"seeded failure schedules of the in-process state machines"`
	Soak      *cwsoak.Arguments       `arg:"subcommand:soak" help:"separate processes over stand-ins of the users' platform, under overlapping faults"`
	Processes *cwprocess.Arguments    `arg:"subcommand:processes" help:"separate processes under load and random faults"`
}

func main() {
	var a arguments
	parser := arg.MustParse(&a)
	var err error
	switch {
	case a.Schedules != nil:
		err = cwsimulation.RunSeeds(*a.Schedules, os.Stdout)
	case a.Processes != nil:
		err = cwprocess.RunRounds(*a.Processes, os.Stdout)
	case a.Soak != nil:
		err = cwsoak.RunSeeds(*a.Soak, os.Stdout)
	default:
		parser.Fail("a subcommand is needed")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}
