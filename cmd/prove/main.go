// Command prove runs randomised proofs of what must always hold and prints the seed of each violation.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"currantward/internal/proof/cwprocess"
	"currantward/internal/proof/cwschedule"
)

type arguments struct {
	Schedules *cwschedule.Arguments `arg:"subcommand:schedules" help:"seeded failure schedules of the in-process state machines"`
	Processes *cwprocess.Arguments  `arg:"subcommand:processes" help:"separate processes under load and random faults"`
}

func main() {
	var a arguments
	parser := arg.MustParse(&a)
	var err error
	switch {
	case a.Schedules != nil:
		err = cwschedule.Prove(*a.Schedules, os.Stdout)
	case a.Processes != nil:
		err = cwprocess.Prove(*a.Processes, os.Stdout)
	default:
		parser.Fail("a subcommand is needed")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}
