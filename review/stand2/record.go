package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, and keeps the runs.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
	broken  int
	runs    map[string][]*runRecord // by task
}

// newRecorder creates the file of the record.
func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, out: bufio.NewWriter(file), started: time.Now(), runs: map[string][]*runRecord{}}, nil
}

// printf writes a line with the time since the start.
func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

// line writes a line. The caller holds mu.
func (r *recorder) line(format string, args ...any) {
	fmt.Fprintf(r.out, "%9.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// violation records a broken rule.
func (r *recorder) violation(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken++
	r.line("BROKEN %s: %s", rule, fmt.Sprintf(format, args...))
}

// violations returns how often a rule was broken.
func (r *recorder) violations() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}

// runRecord is what was seen of one run.
type runRecord struct {
	runner  string
	number  int
	began   time.Time
	over    time.Time // zero: it runs
	how     string
	isNoted bool // its end was taken note of
	lapsed  bool // the runner's lease has lapsed before that
}

// find returns the record of a run, or nil. The caller holds mu.
func (r *recorder) find(runner, task string, number int) *runRecord {
	for _, run := range r.runs[task] {
		if run.runner == runner && run.number == number {
			return run
		}
	}
	return nil
}

// began records the start of a run.
func (r *recorder) began(runner, task string, number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[task] = append(r.runs[task], &runRecord{runner: runner, number: number, began: time.Now()})
	r.line("run began: %s run %d on %s", task, number, runner)
}

// firstStart returns when the first run of a task began.
func (r *recorder) firstStart(task string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if runs := r.runs[task]; len(runs) > 0 {
		return runs[0].began
	}
	return time.Now()
}

// over records the end of a run.
func (r *recorder) over(runner, task string, number int, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run := r.find(runner, task, number); run != nil {
		run.over, run.how = time.Now(), how
	}
	r.line("run over: %s run %d on %s: %s", task, number, runner, how)
}

// noted records that an end was taken note of.
func (r *recorder) noted(runner string, e endRow) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run := r.find(runner, e[1].(string), e[2].(int)); run != nil {
		run.isNoted = !run.lapsed
	}
	r.line("end noted: %v on %s", e, runner)
}

// isDone reports whether a run of a task has ended done.
func (r *recorder) isDone(task string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.runs[task] {
		if run.how == "done" {
			return true
		}
	}
	return false
}

// lapsed records that the lease of a runner has lapsed before an end was taken note of.
func (r *recorder) lapsed(runner string, e endRow) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run := r.find(runner, e[1].(string), e[2].(int)); run != nil {
		run.lapsed = true
	}
}

// checkTwice checks TWICE: no run of a task begins while another one of it runs, or after one has ended done whose end was taken note of
// then or later. It returns the number of tasks that began.
func (r *recorder) checkTwice() (tasks int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task, runs := range r.runs {
		for n, later := range runs {
			for _, run := range runs[:n] {
				switch {
				case run.over.IsZero() || run.over.After(later.began):
					r.broken++
					r.line("BROKEN TWICE: %s run %d on %s began while run %d on %s ran", task, later.number, later.runner, run.number, run.runner)
				case run.how == "done" && run.isNoted:
					r.broken++
					r.line("BROKEN TWICE: %s run %d on %s began %s after run %d on %s had ended done, which was taken note of", task, later.number,
						later.runner, later.began.Sub(run.over).Round(time.Millisecond), run.number, run.runner)
				}
			}
		}
	}
	return len(r.runs)
}

// close writes the rest of the record.
func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
