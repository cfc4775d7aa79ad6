// Command stand2 plays the scenarios of the second review: it starts the store's stand-in and the entry hosts as processes of their
// own, holds runners and clients itself, and checks what runners and clients see.
package main

import (
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime"
	"syscall"
)

// init keeps the main goroutine on its thread: the processes that it starts end with that thread.
func init() { runtime.LockOSThread() }

func main() {
	program := flag.String("program", "", "the program of the deploy file")
	recordPath := flag.String("record", "record.txt", "file for the record")
	hosts := flag.String("hosts", "", "store: address for entry hosts")
	control := flag.String("control", "", "store: address for the scenario")
	flag.Parse()
	if flag.Arg(0) == "store" {
		fmt.Fprintln(os.Stderr, runStore(*hosts, *control))
		os.Exit(exitNotRun)
	}
	scenario, ok := scenarios[flag.Arg(0)]
	if !ok || *program == "" {
		fmt.Fprintln(os.Stderr, "usage: stand2 --program PROGRAM [--record FILE] SCENARIO")
		os.Exit(exitNotRun)
	}
	os.Exit(play(scenario, *program, *recordPath, os.Getenv("TROUBLE") != "0"))
}

// Exit codes of a scenario.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// runStore serves the store's stand-in until the process ends.
func runStore(hosts, control string) error {
	a, err := net.Listen("tcp", hosts)
	if err != nil {
		return err
	}
	b, err := net.Listen("tcp", control)
	if err != nil {
		return err
	}
	return newStore().serve(a, b)
}

// stopOnSignal ends all processes of the deployment and this one when it is told to end.
func (c *cluster) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	c.stop()
	c.rec.close()
	os.Exit(exitNotRun)
}

// play runs one scenario and returns its exit code.
func play(scenario func(*cluster, bool) error, program, recordPath string, trouble bool) int {
	rec, err := newRecorder(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	c, err := startCluster(program, rec)
	if c != nil {
		defer c.stop()
	}
	if c != nil {
		go c.stopOnSignal()
	}
	if err == nil {
		rec.printf("trouble: %v", trouble)
		err = scenario(c, trouble)
	}
	if err != nil {
		rec.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitNotRun
	}
	n := rec.violations()
	fmt.Printf("%d violations\n", n)
	rec.printf("violations: %d", n)
	if n > 0 {
		return exitBroken
	}
	return exitHeld
}
