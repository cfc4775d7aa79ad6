package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	// waitedLong is the time after its acceptance from which rule MIXED counts a job that hasn't begun: visible_ms (3 s) and 2 s.
	waitedLong = 5 * time.Second
	// fewestWaiting is the number of such jobs from which the case judges what a host says.
	fewestWaiting = 1
)

// accepted is a job with the time of its acceptance.
type accepted struct {
	id string
	at time.Time
}

// pending hands in short jobs, lets the busiest runner lose power for good, and stops and starts the owner 3 s later as planned work. It checks how
// many jobs the other entry hosts say to be waiting, against those that no runner has started.
func pending(o *options) (broken bool, err error) {
	f, err := o.startAll(7, 0)
	if err != nil {
		return false, err
	}
	var jobs []accepted
	begin, lost, restarted, owner := time.Now(), !o.trouble, false, -1
	for n := 0; time.Since(begin) < 9*time.Second; n++ {
		id := fmt.Sprintf("000000000000d%03x", n)
		if err := o.d.submit(id, taskSpec{RunMS: 700}, step{Count: 1, CPU: 2000, MemMB: 500, EstimateMS: 700}); err != nil {
			return false, err
		}
		jobs = append(jobs, accepted{id, time.Now()})
		if !lost && time.Since(begin) > 5*time.Second {
			lost = true
			f.losePower()
		}
		if !restarted && time.Since(begin) > 8*time.Second {
			restarted = true
			if owner, err = o.d.restartOwner(); err != nil {
				return false, err
			}
		}
		time.Sleep(60 * time.Millisecond)
	}
	for time.Since(begin) < 35*time.Second {
		for n := range o.d.fronts {
			if n != owner {
				broken = o.judgePending(n, jobs) || broken
			}
		}
		time.Sleep(time.Second)
	}
	return broken, nil
}

// judgePending asks one entry host for the waiting jobs and reports whether it names under half of them.
func (o *options) judgePending(front int, jobs []accepted) (broken bool) {
	askedAt := time.Now()
	status, body := o.d.call(http.MethodGet, o.d.fronts[front], queuePrefix, nil)
	var answer struct {
		Pending int `json:"pending"`
	}
	if status != http.StatusOK || json.Unmarshal(body, &answer) != nil {
		o.rec.note("pending-asked", "front", front+1, "status", status)
		return false
	}
	waiting := 0
	for _, j := range jobs {
		if askedAt.Sub(j.at) > waitedLong && len(o.rec.startsOf(j.id+".0.0.0")) == 0 {
			waiting++
		}
	}
	broken = waiting >= fewestWaiting && 2*answer.Pending < waiting
	o.rec.note("pending-asked", "front", front+1, "status", status, "said", answer.Pending, "not-begun-for-5s", waiting, "broken", broken)
	return broken
}

// losePower lets the runner with the most runs fall silent for good: it answers and reports nothing any more, runs nothing, and
// connections to it hang.
func (f *fleet) losePower() {
	f.mu.Lock()
	defer f.mu.Unlock()
	busiest := f.runners[0]
	for _, r := range f.runners {
		if len(r.runs) > len(busiest.runs) {
			busiest = r
		}
	}
	busiest.up, busiest.dark = false, true
	for _, x := range busiest.runs {
		x.stopTimer()
	}
	busiest.runs = map[string]*run{}
	f.rec.note("runner-lost-power", "runner", busiest.id, "error", busiest.listener.switchOff())
}

// ownerOf returns the entry host that owns the cell by its metrics.
func (d *deployment) ownerOf() (front int, err error) {
	for n, addr := range d.fronts {
		host, _, _ := net.SplitHostPort(addr)
		_, body := d.call(http.MethodGet, net.JoinHostPort(host, "9464"), "/metrics", nil)
		if strings.Contains(string(body), "\ncurrantward_cells_owned 1") {
			return n, nil
		}
	}
	return -1, errors.New("no entry host owns the cell")
}

// restartOwner stops the owner with SIGTERM and starts it again once it has ended.
func (d *deployment) restartOwner() (front int, err error) {
	if front, err = d.ownerOf(); err != nil {
		return front, err
	}
	name := fmt.Sprintf("front-%d", front+1)
	d.mu.Lock()
	p := d.procs[1+front] // the store is the first one
	d.mu.Unlock()
	d.rec.note("process-stopped", "name", name)
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		return front, err
	}
	go func() {
		_ = p.Wait()
		d.rec.note("process-ended", "name", name)
		_ = d.spawn(name+"-again", p.Env, p.Path, "node")
	}()
	return front, nil
}
