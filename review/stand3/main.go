// Command stand3 plays the script cases of the review: it starts the project's programs as separate processes, runs stand-ins of the runners by
// the users' protocol, acts as the client, and checks one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// options are what each case gets.
type options struct {
	trouble bool
	d       *deployment
	rec     *recorder
}

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(o *options) (broken bool, err error){
	"gang-crash": gangCrash,
	"quarantine": quarantine,
	"suspect":    suspect,
	"late-tries": lateTries,
	"pending":    pending,
}

func main() {
	name := flag.String("case", "", "case to play")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	bin := flag.String("bin", "", "program of the entry hosts")
	standin := flag.String("standin", "", "program of the stand-ins")
	keep := flag.Bool("keep", false, "keep the temporary folder with the logs")
	flag.Parse()
	broken, err := play(*name, *record, *bin, *standin, *keep)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "could not run:", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

// play plays one case.
func play(name, record, bin, standin string, keep bool) (broken bool, err error) {
	check, ok := cases[name]
	if !ok {
		return false, errors.New("no such case")
	}
	file, err := os.Create(record)
	if err != nil {
		return false, err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	dir, err := os.MkdirTemp("", "stand3-")
	if err != nil {
		return false, err
	}
	if keep {
		fmt.Println("logs in", dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	rec := &recorder{out: file, begin: time.Now()}
	d := &deployment{rec: rec, dir: dir, bin: bin, standin: standin, client: &http.Client{}, starter: newStarter()}
	defer d.stop()
	go endEarly(d, dir, keep)
	o := &options{trouble: os.Getenv("TROUBLE") != "0", d: d, rec: rec}
	broken, err = check(o)
	rec.note("verdict", "case", name, "trouble", o.trouble, "broken", broken)
	return broken, err
}

// longestRun bounds a case.
const longestRun = 115 * time.Second

// endEarly ends the case, with all that it has started, at a signal or after longestRun: it could not run.
func endEarly(d *deployment, dir string, keep bool) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(longestRun):
	}
	d.stop()
	if !keep {
		_ = os.RemoveAll(dir)
	}
	os.Exit(2)
}

// route is a queue of the operator's configuration.
func route(prefix string) map[string]any {
	return map[string]any{
		"host": "jobs.example", "path_prefix": prefix, "service": "repair-portal", "priority": 1, "max_attempts": 3, "stretch": 2.2,
		"target_latency_ms": 1000,
	}
}

// startAll starts the store, three entry hosts and the runners, and waits until a job has been done.
func (o *options) startAll(runners, backMS int) (f *fleet, err error) {
	configuration := map[string]any{
		"version": 1, "routes": []any{route(queuePrefix)}, "services": []any{map[string]any{"name": "repair-portal"}},
		"limits": map[string]int{"max_body_bytes": 262144},
	}
	if err := o.d.startStore(configuration); err != nil {
		return nil, err
	}
	if f, err = newFleet(o.rec, "127.0.0.1", "repair-portal", runners, backMS, o.d.report); err != nil {
		return nil, err
	}
	if err := o.d.startFronts(3); err != nil {
		return nil, err
	}
	if err := o.d.submit("00000000000000aa", taskSpec{RunMS: 200}, step{Count: runners, CPU: 1000, MemMB: 100, EstimateMS: 200}); err != nil {
		return nil, err
	}
	return f, o.d.await("the first job", func() bool { return o.d.state("00000000000000aa") == "completed" })
}
