// Command measure runs the measurements behind the figures in docs/MEASUREMENTS.md and docs/CAPACITY.md.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"currantward/internal/app/cwcommand"
	"currantward/internal/bench/cwcapacity"
	"currantward/internal/bench/cwexperiment"
	"currantward/internal/bench/cwlatency"
)

// arguments has one field for each subcommand. Decisions runs the experiments that compare the decider with baselines. EntryHost is internal:
// the capacity measurement starts this program as each of its entry hosts.
type arguments struct {
	Decisions *cwexperiment.Arguments `arg:"subcommand:decisions" help:"waiting, packing, cost and floods of the decider against baselines"`
	Latency   *cwlatency.Arguments    `arg:"subcommand:latency" help:"added latency of a request as a ratio to calling the worker directly"`
	Capacity  *cwcapacity.Arguments   `arg:"subcommand:capacity" help:"cost of an entry host for each worker, peer, running task and start"`
	EntryHost *entryHostArgs          `arg:"subcommand:entry-host" help:"run one entry host; capacity uses it"`
}

type entryHostArgs struct {
	Settings string `arg:"positional,required" help:"JSON settings file"`
}

func main() {
	var a arguments
	parser := arg.MustParse(&a)
	var err error
	switch {
	case a.Decisions != nil:
		err = cwexperiment.Run(*a.Decisions, os.Stdout)
	case a.Latency != nil:
		err = cwlatency.Run(*a.Latency, os.Stdout)
	case a.Capacity != nil:
		err = cwcapacity.Run(*a.Capacity, os.Stdout)
	case a.EntryHost != nil:
		os.Exit(cwcommand.Run([]string{"serve", a.EntryHost.Settings}, os.Stdout, os.Stderr))
	default:
		parser.Fail("a subcommand is needed")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}
