package main

import (
	"fmt"
	"time"
)

const (
	// lateShare is the share of the start orders without an answer, and lateSpan how long it lasts.
	lateShare = 0.5
	lateSpan  = 5500 * time.Millisecond
	// lateBegin is when it begins, counted from the first job.
	lateBegin = 2 * time.Second
)

// crashAt are the times of the crashes.
var crashAt = []time.Duration{7700 * time.Millisecond, 10 * time.Second}

// lateTries hands in short jobs while a share of the start orders gets no answer and is carried out late, and then crashes the two runners with the
// most starts, one after the other; each is back at once under its identifier. It checks whether a task starts after an end done of it was taken
// note of.
func lateTries(o *options) (broken bool, err error) {
	f, err := o.startAll(7, 500)
	if err != nil {
		return false, err
	}
	begin, crashed := time.Now(), map[string]bool{}
	for n := 0; time.Since(begin) < 17*time.Second; n++ {
		id := fmt.Sprintf("000000000000e%03x", n)
		if err := o.d.submit(id, taskSpec{RunMS: 300}, step{Count: 1, CPU: 2000, MemMB: 500, EstimateMS: 300}); err != nil {
			return false, err
		}
		since := time.Since(begin)
		if o.trouble {
			f.setLate(since > lateBegin && since < lateBegin+lateSpan)
			if k := len(crashed); k < len(crashAt) && since > crashAt[k] {
				crashed[f.crashMostUsed(crashed)] = true
			}
		}
		time.Sleep(12 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	twice := o.rec.count("started-after-done")
	o.rec.note("counted", "starts-after-a-noted-end", twice)
	return twice > 0, nil
}

// setLate sets whether start orders get no answer and are carried out late.
func (f *fleet) setLate(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.late = 0; on {
		f.late = lateShare
	}
}

// crashMostUsed crashes the runner with the most starts that isn't among the given ones, and returns its identifier.
func (f *fleet) crashMostUsed(except map[string]bool) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var most *runner
	for _, r := range f.runners {
		if !except[r.id] && (most == nil || r.started > most.started) {
			most = r
		}
	}
	most.crash("the case")
	return most.id
}
