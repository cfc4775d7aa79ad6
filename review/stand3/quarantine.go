package main

import (
	"fmt"
	"time"
)

// Limits of rule LOST on a job without a run while there is capacity: 3 s for one that lasts, at any calm time, taken with 7 s to spare; 3 s after
// finish_s (14 s) from the end of the traffic for another one.
const (
	longestWaitLasting = 10 * time.Second
	longestWaitPlain   = 17 * time.Second
)

// quarantine hands in ordinary jobs, of which one can never be done, waits until that one has failed and all has been calm for a while, and hands
// in one ordinary job and one that lasts. It checks whether these get a run while all runners are up and empty.
func quarantine(o *options) (broken bool, err error) {
	const runners = 8
	if _, err := o.startAll(runners, 3000); err != nil {
		return false, err
	}
	hopeless := taskSpec{RunMS: 1500, Fails: o.trouble}
	for n := range 20 {
		id := fmt.Sprintf("00000000000001%02x", n)
		spec, s := taskSpec{RunMS: 300}, step{Count: 2, CPU: 3900, MemMB: 8000, EstimateMS: 300}
		if n == 10 {
			spec, s = hopeless, step{Count: 40, CPU: 12000, MemMB: 12000, EstimateMS: 1500}
		}
		if err := o.d.submit(id, spec, s); err != nil {
			return false, err
		}
		time.Sleep(150 * time.Millisecond)
	}
	lastPoison := time.Now()
	time.Sleep(8 * time.Second)
	o.rec.note("calm", "since-last-hopeless-job", time.Since(lastPoison).Seconds(), "state", o.d.state("000000000000010a"))
	plain, lasting := "00000000000002aa", "00000000000002bb"
	sentAt := time.Now()
	if err := o.d.submit(plain, taskSpec{RunMS: 300}, step{Count: 1, CPU: 3900, MemMB: 8000, EstimateMS: 300}); err != nil {
		return false, err
	}
	if err := o.d.submit(lasting, taskSpec{Lasts: true}, step{Count: 1, CPU: 3900, MemMB: 8000, EstimateMS: 300, LongRunning: true}); err != nil {
		return false, err
	}
	for end := time.Now().Add(50 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if len(o.rec.startsOf(plain+".0.0.0")) > 0 && len(o.rec.startsOf(lasting+".0.0.0")) > 0 {
			break
		}
		o.d.state(plain)
		o.d.state(lasting)
	}
	for _, id := range []string{plain, lasting} {
		waited := time.Since(sentAt)
		if list := o.rec.startsOf(id + ".0.0.0"); len(list) > 0 {
			waited = list[0].At.Sub(sentAt)
		}
		o.rec.note("waited", "job", id, "seconds", waited.Seconds())
		broken = broken || (id == lasting && waited > longestWaitLasting) || (id == plain && waited > longestWaitPlain)
	}
	return broken, nil
}
