// Command harness plays one case of the review: it starts nodes as separate processes beside stand-ins of the store and of the
// runners, and checks what clients and runners see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// cases lists the cases by name. Each returns what breaks the rule; trouble is false if the disruption is left out.
var cases = map[string]func(c *cluster, trouble bool) (broken []string, err error){
	"reboot":  playReboot,
	"born":    playBorn,
	"pending": playPending,
	"spec":    playSpec,
	"lasting": playLasting,
}

func main() { os.Exit(run()) }

// run plays the case that the arguments name and returns the exit code.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		return exitCannotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer func() { _ = rec.close() }()
	rec.add("case %s, with trouble: %t", os.Args[1], trouble)
	c, err := newCluster(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer c.close()
	broken, err := play(c, cases[os.Args[1]], trouble)
	if err != nil {
		rec.add("the case can't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	for _, line := range broken {
		rec.add("BROKEN %s", line)
		fmt.Println("BROKEN", line)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	rec.add("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// longest is the time after which a case is given up.
const longest = 110 * time.Second

// play plays a case until it has a result, the time is over or a signal arrives.
func play(c *cluster, run func(*cluster, bool) ([]string, error), trouble bool) (broken []string, err error) {
	signals, done := make(chan os.Signal, 1), make(chan struct{})
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		defer close(done)
		broken, err = run(c, trouble)
	}()
	select {
	case <-done:
		return broken, err
	case s := <-signals:
		return nil, fmt.Errorf("ended by the signal %s", s)
	case <-time.After(longest):
		return nil, fmt.Errorf("no result within %s", longest)
	}
}
