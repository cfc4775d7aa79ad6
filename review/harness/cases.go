package main

import (
	"fmt"
	"sync"
	"time"
)

// startRunners adds and starts runners of the label "a".
func startRunners(c *cluster, count, milliCores int) error {
	for n := range count {
		r, err := c.addRunner(fmt.Sprintf("runner-%d", n+1), "a", milliCores)
		if err != nil {
			return err
		}
		if err := r.start(); err != nil {
			return err
		}
	}
	return nil
}

// load submits a job each period until the time is over, and waits for the answers.
func load(c *cluster, d, period time.Duration, spec string, s step) {
	var wg sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(period) {
		wg.Go(func() { c.submit(prefix, spec, s) })
	}
	wg.Wait()
}

// busiest returns the runner with the most runs at work.
func busiest(c *cluster) (r *runner) {
	counts := map[string]int{}
	for _, s := range c.spans.snapshot() {
		if s.how == "" {
			counts[s.runner]++
		}
	}
	for _, candidate := range c.runners {
		if r == nil || counts[candidate.id] > counts[r.id] {
			r = candidate
		}
	}
	return r
}

// playReboot plays a busy day on which one of eight machines of runners, the busiest one, loses power every four seconds and is back
// after half a second, under the id that it had.
func playReboot(c *cluster, trouble bool) ([]string, error) {
	if err := startRunners(c, 8, 64000); err != nil {
		return nil, err
	}
	if err := c.startNodes(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	const (
		length = 50 * time.Second
		period = 4 * time.Second
		dark   = 500 * time.Millisecond
	)
	var wg sync.WaitGroup
	wg.Go(func() {
		load(c, length, 80*time.Millisecond, "1500 a", step{Count: 2, CPU: 500, MemMB: 64, EstimateMS: 1500})
	})
	if trouble {
		wg.Go(func() {
			for range int((length - period) / period) {
				time.Sleep(period - dark)
				r := busiest(c)
				r.crash()
				time.Sleep(dark)
				if err := r.start(); err != nil {
					c.record.add("runner %s is not back: %v", r.id, err)
				}
			}
		})
	}
	wg.Wait()
	open := c.awaitCompleted(10 * time.Second)
	c.record.add("%d accepted jobs, %d not completed", len(c.acceptedJobs()), len(open))
	return overlaps(c.spans.snapshot(), c.record.now()), nil
}

// playBorn plays a day on which the time of day on one machine of eight is ahead for a while. Its runner, which has just started
// there, crashes soon after the time of day is right again, and starts again under the id that it had.
func playBorn(c *cluster, trouble bool) ([]string, error) {
	if err := startRunners(c, 7, 8000); err != nil {
		return nil, err
	}
	if err := c.startNodes(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	const (
		ahead = 2400 * time.Millisecond
		down  = 400 * time.Millisecond
	)
	last, err := c.addRunner("runner-8", "a", 8000)
	if err != nil {
		return nil, err
	}
	if trouble {
		last.shiftWall(ahead)
	}
	if err := last.start(); err != nil {
		return nil, err
	}
	// A job's eight tasks run on eight runners.
	var wg sync.WaitGroup
	wg.Go(func() {
		load(c, 10*time.Second, 400*time.Millisecond, "800 a", step{Count: 8, CPU: 500, MemMB: 64, EstimateMS: 800, Apart: 1})
	})
	time.Sleep(900 * time.Millisecond)
	if trouble {
		last.shiftWall(0)
		time.Sleep(300 * time.Millisecond)
		last.crash()
		time.Sleep(down)
		if err := last.start(); err != nil {
			return nil, err
		}
	}
	wg.Wait()
	c.record.add("end of the traffic")
	return checkLost(c), nil
}

// Bounds of the rule LOST.
const (
	finish = 14 * time.Second // finish_s
	idle   = 3 * time.Second
)

// checkLost checks the part of LOST that holds from finish after the end of the traffic: no accepted job that isn't completed has
// nothing running for idle while a task of it has not ended as done. All jobs here have one step, so the turn of each task has come.
// It checks that no run at all is at work meanwhile: the whole capacity is free.
func checkLost(c *cluster) (broken []string) {
	time.Sleep(finish)
	from := c.record.now()
	open := c.awaitCompleted(idle + time.Second)
	to := c.record.now()
	done := map[string]bool{}
	for _, s := range c.spans.snapshot() {
		if s.how == "" || s.ended > from {
			c.record.add("%s ran between %.3f and %.3f, so the capacity isn't idle", s.task, from.Seconds(), to.Seconds())
			return nil
		}
		if s.how == "done" {
			done[s.task] = true
		}
	}
	for j, state := range open {
		undone := 0
		for n := range j.tasks {
			if !done[fmt.Sprintf("%s.0.0.%d", j.id, n)] {
				undone++
			}
		}
		c.record.add("job %s is answered as %q; %d of %d tasks have not ended as done", j.id, state, undone, j.tasks)
		if undone > 0 {
			broken = append(broken, fmt.Sprintf("job %s, accepted at %.3f, is answered as %q and had nothing running from %.3f to %.3f, with %d of %d tasks not done and all runners idle",
				j.id, j.accepted.Seconds(), state, from.Seconds(), to.Seconds(), undone, j.tasks))
		}
	}
	return broken
}

// playPending plays a day on which the one runner of twelve that has a label refuses starts for a while, just as jobs that wait for
// it get their turn.
func playPending(c *cluster, trouble bool) ([]string, error) {
	if err := startRunners(c, 11, 8000); err != nil {
		return nil, err
	}
	special, err := c.addRunner("runner-12", "b", 8000)
	if err != nil {
		return nil, err
	}
	if err := special.start(); err != nil {
		return nil, err
	}
	if err := c.startNodes(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	c.submit(labelled, "3000 first", step{Count: 1, CPU: 8000, MemMB: 64, EstimateMS: 3000, Requires: "b"})
	time.Sleep(500 * time.Millisecond)
	const waiting = 8
	for range waiting {
		c.submit(labelled, "2000 waits", step{Count: 1, CPU: 1000, MemMB: 64, EstimateMS: 2000, Requires: "b"})
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		special.setShedding(true)
	}
	const grey = 6500 * time.Millisecond
	broken := checkPending(c, grey)
	if trouble {
		special.setShedding(false)
	}
	open := c.awaitCompleted(20 * time.Second)
	c.record.add("%d accepted jobs, %d not completed", len(c.acceptedJobs()), len(open))
	return broken, nil
}

// visible is the age from which jobs that have not begun count in MIXED: visible_ms and 2 s.
const visible = 5 * time.Second

// checkPending asks each node for the count of the waiting jobs until the time is over, and compares it with half of the jobs that
// were accepted long enough before and have not begun.
func checkPending(c *cluster, d time.Duration) (broken []string) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		for _, n := range c.nodes {
			asked := c.record.now()
			count, ok := c.pending(n, labelled)
			if !ok {
				c.record.add("client: GET %s at %s: no count", labelled, n.name)
				continue
			}
			due := 0 // jobs that must be counted: a job that begins after the question isn't held against the answer
			begun := map[string]bool{}
			for _, s := range c.spans.snapshot() {
				begun[s.task[:16]] = true
			}
			for _, j := range c.acceptedJobs() {
				if asked-j.accepted > visible && !begun[j.id] {
					due++
				}
			}
			c.record.add("client: GET %s at %s: pending %d; %d jobs accepted over %s before have not begun", labelled, n.name, count, due, visible)
			if 2*count < due {
				broken = append(broken, fmt.Sprintf("at %.3f %s gives %d as pending, while %d jobs that were accepted over %s before have not begun", asked.Seconds(), n.name, count, due, visible))
			}
		}
	}
	return broken
}

// specs of the two jobs of playSpec that are out of the ordinary.
const (
	specEmoji  = "300 {\"note\":\"rider is tired \U0001FAE9\"}"      // JSON text with a face of Unicode 16
	specColour = "300 battery \u001b[1mlow\u001b[0m, cell 3 \"old\"" // text from a terminal, with colour codes
)

// playSpec plays a calm day on which clients send two jobs of forty whose specs have such characters.
func playSpec(c *cluster, trouble bool) ([]string, error) {
	if err := startRunners(c, 8, 8000); err != nil {
		return nil, err
	}
	if err := c.startNodes(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	s := step{Count: 1, CPU: 500, MemMB: 64, EstimateMS: 300}
	for n := range 40 {
		spec := "300 {\"note\":\"plain\"}"
		switch {
		case trouble && n == 10:
			spec = specEmoji
		case trouble && n == 30:
			spec = specColour
		}
		c.submit(prefix, spec, s)
		time.Sleep(250 * time.Millisecond)
	}
	c.record.add("end of the traffic")
	return checkLost(c), nil
}

// playLasting plays a calm day with one job that lasts, on three runners. Its task fails two seconds after each start.
func playLasting(c *cluster, trouble bool) ([]string, error) {
	if err := startRunners(c, 3, 64000); err != nil {
		return nil, err
	}
	if err := c.startNodes(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	spec := "600000 lasts"
	if trouble {
		spec = "2000 " + specFails
	}
	j := c.submit(prefix, spec, step{Count: 1, CPU: 1000, MemMB: 64, EstimateMS: 1000, Lasting: true})
	const length = 90 * time.Second
	time.Sleep(length)
	return checkLasting(c, j), nil
}

// settled is the time after the end of a run from which a task that lasts has to run again.
const settled = 6 * time.Second

// checkLasting checks that the one task of a job that lasts is not without a run for settled and idle after one.
func checkLasting(c *cluster, j *job) (broken []string) {
	last, end := j.accepted, c.record.now()
	for _, s := range c.spans.snapshot() {
		if s.began-last > settled+idle {
			broken = append(broken, fmt.Sprintf("task %s had no run from %.3f to %.3f", s.task, last.Seconds(), s.began.Seconds()))
		}
		last = s.ended
		if s.how == "" {
			last = end
		}
	}
	if end-last > settled+idle {
		broken = append(broken, fmt.Sprintf("the task of %s had no run from %.3f to %.3f", j.id, last.Seconds(), end.Seconds()))
	}
	return broken
}
