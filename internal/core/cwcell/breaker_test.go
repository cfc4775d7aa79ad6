package cwcell

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// TestFailuresAreWeighedByJob guards against a cell whose workers are all kept out because of one job that fails wherever it runs, and against a
// worker that is used on although it fails what others do.
func TestFailuresAreWeighedByJob(t *testing.T) {
	cases := []struct {
		name string
		runs string // a letter for each run, of the job of that name, and the worker: upper case for a success
		open string // workers that are kept out afterwards
	}{
		{"one failure", "a1", ""},
		{"failures of one job", "a1 a1 a1", "1"},
		{"failures of two jobs", "a1 b1", "1"},
		{"a success between the failures of two jobs", "a1 C1 b1", ""},
		{"one job fails on each worker", "a1 a1 a2 a2 a3 a3 a4 a4", ""},
		{"one job fails on one worker only", "A2 a1 a1", "1"},
		{"one job fails once on one worker only", "A2 a1", ""},
		{"several jobs fail on each worker", "a1 a2 b2 b1 a3 b3 a4 b4", ""},
		{"two jobs fail on one worker, one succeeds elsewhere", "a1 A2 a2 b1", "1"},
		{"failures of two jobs, of which one then fails elsewhere, too", "a1 b1 b2", ""},
		{"a worker that fails beside a job that fails everywhere", "a1 a2 a3 a4 b2 c2", "2"},
		{"half of the workers at most", "a1 b1 c2 d2 e3 f3", "12"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture([]cwmodel.HostID{"1", "2", "3", "4"}, plainPolicy)
			for job := 'a'; job <= 'f'; job++ {
				f.admitJob(cwmodel.JobID(job), step(1, 500, false))
			}
			for n := 0; n < len(tc.runs); n += 3 {
				f.endRun(tc.runs[n], cwmodel.HostID(tc.runs[n+1]))
			}
			open := ""
			for _, w := range f.sortedWorkers() {
				if w.breaker.isOpen(f.now) {
					open += string(w.ID)
				}
			}
			is.Equal(open, tc.open)
		})
	}
}

// endRun ends a run of a job on a worker: it succeeds if the letter that names the job is in upper case.
func (f *fixture) endRun(letter byte, id cwmodel.HostID) {
	f.now = f.now.Add(time.Millisecond)
	w, job := f.workers[id], cwmodel.JobID(strings.ToLower(string(letter)))
	g := f.group(cwwork.StepKey{Job: job})
	if job == cwmodel.JobID(letter) {
		f.recordFailure(w, g, nil, f.now)
	} else {
		f.taskDone(w, g, nil, &RunEnd{Task: cwwork.TaskKey{StepKey: g.key}}, f.now)
	}
}

// TestBreakerKeepsTasksOffAFailingWorker guards against a worker that is kept out for half a minute at once, because all runs that were under way as its
// breaker opened have failed, and against one that is used again and again although it still fails.
func TestBreakerKeepsTasksOffAFailingWorker(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var b breaker
	for _, cooldown := range []time.Duration{breakerMinCooldown, 2 * breakerMinCooldown, 4 * breakerMinCooldown, breakerMaxCooldown, breakerMaxCooldown} {
		b.trip(now)
		b.trip(now.Add(cooldown / 2))
		is.True(b.isOpen(now.Add(cooldown - time.Millisecond)))
		now = now.Add(cooldown)
		is.True(!b.isOpen(now))
	}
	b.trip(now)
	b.reset()
	is.True(!b.isOpen(now))
}

// TestHopelessJobClosesNoWorker guards against jobs that wait while all workers are empty, because the runs of one job as wide as the cell have
// failed on each of them, several at a time. A worker that fails all that it starts is kept out, as soon as runs of two jobs have failed there.
func TestHopelessJobClosesNoWorker(t *testing.T) {
	cases := []struct {
		name   string
		faulty cwmodel.HostID // fails each run; empty: none does
		usable int            // workers of eight afterwards
	}{
		{"no worker is at fault", "", 8},
		{"one worker is at fault", "w3", 7},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var ids []cwmodel.HostID
			for n := range 8 {
				ids = append(ids, cwmodel.HostID(fmt.Sprintf("w%d", n)))
			}
			f := newFixture(ids, plainPolicy)
			f.admitJob("hopeless", step(40, 1500, false))
			sequences := map[cwmodel.HostID]uint64{}
			for n := range 8 {
				starts := f.decide().Starts
				f.admitJob(cwmodel.JobID(fmt.Sprintf("job%d", n)), step(8, 1500, false))
				starts = append(starts, f.decide().Starts...)
				f.acceptAll(starts)
				f.now = f.now.Add(300 * time.Millisecond)
				for _, o := range starts {
					sequences[o.Worker]++
					end := RunEnd{Sequence: sequences[o.Worker], Task: o.Task, Run: o.Run, Kind: EndDone}
					if o.Task.Job == "hopeless" || o.Worker == tc.faulty {
						end.Kind = EndFailed
					}
					f.HandleReport(&Report{Worker: o.Worker, Incarnation: time.Unix(1000, 0), RequestedAt: f.now, Ended: []RunEnd{end}}, f.now)
				}
			}
			_, _, usable := f.Counts(f.now)
			is.Equal(usable, tc.usable)
			is.Equal(f.jobs["hopeless"].outcome, cwwork.StateFailed)
		})
	}
}
