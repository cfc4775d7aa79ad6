package main

import "time"

// Limits of rule BUDGET on a task that crashes the runners that start it.
const (
	crashesBefore = 3 // "after three runners have crashed under it"
	startsAfter   = 3 // "is started three times more"
)

// gangCrash hands in one gang of two tasks, of which the first crashes each runner on which it works, and counts its starts after three
// crashes under it. Without trouble the gang is done.
func gangCrash(o *options) (broken bool, err error) {
	const id, task = "00000000000000b1", "00000000000000b1.0.0.0"
	if _, err := o.startAll(6, 6000); err != nil {
		return false, err
	}
	spec := taskSpec{RunMS: 3000, Gang: 2}
	if o.trouble {
		spec.CrashMS = 1000
	}
	if err := o.d.submit(id, spec, step{Count: 2, CPU: 18000, MemMB: 1000, EstimateMS: 3000, Gang: true}); err != nil {
		return false, err
	}
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		state := o.d.state(id)
		crashes := o.rec.eventsNamed("runner-crashed", "under", task)
		more := 0
		if len(crashes) >= crashesBefore {
			for _, s := range o.rec.startsOf(task) {
				if s.At.After(crashes[crashesBefore-1].at) {
					more++
				}
			}
		}
		o.rec.note("counted", "task", task, "crashes", len(crashes), "starts-after-three-crashes", more, "state", state)
		broken = broken || more >= startsAfter
		if state == "completed" || state == "failed" {
			break
		}
	}
	return broken, nil
}
