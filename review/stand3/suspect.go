package main

import (
	"fmt"
	"slices"
	"time"
)

const (
	// finish is finish_s of rule LOST, and idle how long a job may then be without a run.
	finish = 14 * time.Second
	idle   = 3 * time.Second
)

// suspect keeps a service of one lasting task a runner at work, hands in short jobs for 12 s, and crashes the busiest runner once meanwhile. It
// checks whether all short jobs have ended finish and idle after the traffic.
func suspect(o *options) (broken bool, err error) {
	const runners = 7
	f, err := o.startAll(runners, 3000)
	if err != nil {
		return false, err
	}
	service := step{Count: runners, CPU: 4000, MemMB: 1000, EstimateMS: 1000, LongRunning: true, AntiAffinity: 1}
	if err := o.d.submit("00000000000000c1", taskSpec{Lasts: true}, service); err != nil {
		return false, err
	}
	if err := o.d.await("the service", func() bool { return f.lasting() == runners }); err != nil {
		return false, err
	}
	var ids []string
	begin, crashed := time.Now(), !o.trouble
	for n := 0; time.Since(begin) < 12*time.Second; n++ {
		id := fmt.Sprintf("000000000000c%03x", n)
		ids = append(ids, id)
		if err := o.d.submit(id, taskSpec{RunMS: 700}, step{Count: 2, CPU: 2000, MemMB: 500, EstimateMS: 700}); err != nil {
			return false, err
		}
		if !crashed && time.Since(begin) > 5*time.Second {
			crashed = true
			time.Sleep(40 * time.Millisecond) // no order is on its way
			f.crashBusiest()
		}
		time.Sleep(60 * time.Millisecond)
	}
	o.rec.note("traffic-over", "jobs", len(ids), "lasting", f.lasting())
	time.Sleep(finish)
	before, askedAt := o.unended(ids), time.Now()
	o.rec.note("asked", "unended", before)
	var stuck []string
	for time.Since(askedAt) < idle+time.Second {
		if f.running() > 0 {
			askedAt = time.Now() // the 3 s begin anew
		}
		time.Sleep(20 * time.Millisecond)
		if time.Since(begin) > 80*time.Second {
			break
		}
	}
	for _, id := range o.unended(ids) {
		if slices.Contains(before, id) {
			stuck = append(stuck, id)
		}
	}
	used, room := f.used()
	o.rec.note("asked", "unended", stuck, "idle-for", time.Since(askedAt).Seconds(), "cores-used", used, "cores", room, "lasting", f.lasting())
	broken = len(stuck) > 0 && time.Since(askedAt) > idle && 2*used < room && room-used >= 2*neededCores
	time.Sleep(20 * time.Second)
	o.rec.note("asked", "unended", o.unended(ids), "running", f.running(), "lasting", f.lasting())
	return broken, nil
}

// neededCores is what the two tasks of a job need.
const neededCores = 4

// used returns the cores that runs use, four for a lasting task and two for another one, and those of the runners that are up.
func (f *fleet) used() (used, room int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.runners {
		if r.up {
			room += runnerCores
		}
		for _, x := range r.runs {
			used += 2
			if x.spec.Lasts {
				used += 2
			}
		}
	}
	return used, room
}

// unended returns the jobs that have not ended.
func (o *options) unended(ids []string) (list []string) {
	for _, id := range ids {
		if state := o.d.state(id); state != "completed" && state != "failed" {
			list = append(list, id+":"+state)
		}
	}
	return list
}

// count returns the number of runs that are or aren't of lasting tasks.
func (f *fleet) count(lasting bool) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.runners {
		for _, x := range r.runs {
			if x.spec.Lasts == lasting {
				n++
			}
		}
	}
	return n
}

func (f *fleet) lasting() int { return f.count(true) }

func (f *fleet) running() int { return f.count(false) }

// crashBusiest crashes the runner with the most runs.
func (f *fleet) crashBusiest() {
	f.mu.Lock()
	defer f.mu.Unlock()
	busiest := f.runners[0]
	for _, r := range f.runners {
		if len(r.runs) > len(busiest.runs) {
			busiest = r
		}
	}
	busiest.crash("the case")
}
