package cwprocess

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwmodel"
	"currantward/internal/standin/cwrunner"
)

// AttemptRecord is one attempt, read from the log of its worker.
type AttemptRecord struct {
	Worker        string
	Task          string
	PayloadDigest string
	Repeatable    bool
	Demand        cwmodel.Resources
	StartedAt     time.Time
	EndedAt       time.Time // also set when its worker was killed; zero while the attempt runs
}

// Findings collects the violations that a check found.
type Findings struct{ Violations []string }

// Err returns an error that lists the first violations, or nil if there are none.
func (f *Findings) Err() error {
	if len(f.Violations) == 0 {
		return nil
	}
	const maxListed = 10
	return errors.New(strings.Join(f.Violations[:min(len(f.Violations), maxListed)], "\n"))
}

// AddViolation records one violation.
func (f *Findings) AddViolation(format string, args ...any) {
	f.Violations = append(f.Violations, fmt.Sprintf(format, args...))
}

// Report counts what a check covered, with the violations that it found.
type Report struct {
	Findings
	Exchanges  int
	Outcomes   map[string]int
	NoResponse int
	Attempts   int
}

// Check compares the responses that callers received with the attempts in the workers' logs.
//
// A request may remain without a response if its host was killed, or if it was sent after the host's shutdown began.
func Check(c *Cluster, exchanges []Exchange, shutdowns map[cwmodel.HostID]time.Time) *Report {
	r := &Report{Exchanges: len(exchanges), Outcomes: map[string]int{}}
	attempts := c.AttemptRecords()
	r.Attempts = len(attempts)
	r.checkSingleExecution(attempts)
	r.checkCapacity(attempts, c.opts.Capacity.ToModel())
	startedTasks, startedDigests := map[string]bool{}, map[string]bool{}
	for _, a := range attempts {
		startedTasks[a.Task], startedDigests[a.PayloadDigest] = true, true
	}
	responded := map[string]bool{}
	for _, e := range exchanges {
		digest := cwrunner.NewOutput("", e.Payload).PayloadHash
		if e.Err != nil {
			r.NoResponse++
			r.checkMissingResponse(c, e, startedDigests[digest], shutdowns)
			continue
		}
		r.Outcomes[e.Response.Outcome]++
		if responded[e.Response.RequestID] {
			r.AddViolation("request %s received two responses", e.Response.RequestID)
		}
		responded[e.Response.RequestID] = true
		r.checkResponse(e, startedTasks[e.Response.RequestID])
	}
	return r
}

func (r *Report) checkMissingResponse(c *Cluster, e Exchange, started bool, shutdowns map[cwmodel.HostID]time.Time) {
	index := slices.IndexFunc(c.Hosts, func(h *EntryHost) bool { return h.ID == e.Host })
	shutdown, isDraining := shutdowns[e.Host]
	switch {
	case !c.Hosts[index].KilledAt.IsZero():
	case cwfault.CodeOf(e.Err) == cwfault.Unavailable && !started:
	case isDraining && e.SentAt.After(shutdown) && !started:
	default:
		r.AddViolation("%s request to %s received no response (started: %t): %v", e.Profile, e.Host, started, e.Err)
	}
}

func (r *Report) checkResponse(e Exchange, started bool) {
	id := e.Response.RequestID
	switch cwmodel.Outcome(e.Response.Outcome) {
	case cwmodel.OutcomeDone:
		var output cwrunner.Output
		if json.Unmarshal(e.Response.Output, &output) != nil || output != cwrunner.NewOutput(cwmodel.TaskID(id), e.Payload) {
			r.AddViolation("request %s received the output of another request: %s", id, e.Response.Output)
		}
		if !started {
			r.AddViolation("request %s is reported as done but no worker started it", id)
		}
	case cwmodel.OutcomeNotRun:
		if started {
			r.AddViolation("request %s is reported as not run but was started (reason %s)", id, e.Response.Reason)
		}
	case cwmodel.OutcomeFailed, cwmodel.OutcomeUnknown, cwmodel.OutcomeCancelled:
	default:
		r.AddViolation("request %s has the unexpected outcome %q", id, e.Response.Outcome)
	}
}

// checkSingleExecution asserts that no task runs on two workers at the same time, and that a task which is not repeatable starts
// at most once.
func (r *Report) checkSingleExecution(attempts []AttemptRecord) {
	last := map[string]AttemptRecord{}
	for _, a := range attempts {
		previous, ok := last[a.Task]
		switch {
		case ok && !a.Repeatable:
			r.AddViolation("task %s is not repeatable but was started on %s and on %s", a.Task, previous.Worker, a.Worker)
		case ok && (previous.EndedAt.IsZero() || previous.EndedAt.After(a.StartedAt)):
			r.AddViolation("task %s ran on %s and on %s at the same time", a.Task, previous.Worker, a.Worker)
		}
		last[a.Task] = a
	}
}

// checkCapacity asserts that the demands of the tasks that run on a worker never exceed its capacity.
func (r *Report) checkCapacity(attempts []AttemptRecord, capacity cwmodel.Resources) {
	byWorker := map[string][]AttemptRecord{}
	for _, a := range attempts {
		running := slices.DeleteFunc(byWorker[a.Worker], func(o AttemptRecord) bool { return !o.EndedAt.IsZero() && !o.EndedAt.After(a.StartedAt) })
		running = append(running, a)
		byWorker[a.Worker] = running
		var used cwmodel.Resources
		for _, o := range running {
			used = used.Add(o.Demand)
		}
		if !used.FitsIn(capacity) {
			r.AddViolation("worker %s ran tasks with a total demand of %+v, above its capacity", a.Worker, used)
		}
	}
}

// AttemptRecords returns the attempts of all workers, ordered by start time.
func (c *Cluster) AttemptRecords() (attempts []AttemptRecord) {
	for _, rack := range c.Racks {
		endedAt := map[string]time.Time{}
		for _, line := range rack.EventLines(cwrunner.EventAttemptEnded) {
			endedAt[line.Get("worker")+line.Get("task")+line.Get("number")] = timestamp(line)
		}
		for _, line := range rack.EventLines(cwrunner.EventAttemptStarted) {
			attempt := AttemptRecord{
				Worker: line.Get("worker"), Task: line.Get("task"), PayloadDigest: line.Get("digest"), Repeatable: line.Get("repeatable") == "true",
				StartedAt: timestamp(line), EndedAt: endedAt[line.Get("worker")+line.Get("task")+line.Get("number")],
				Demand: cwmodel.Resources{
					MilliProcessors: intValue(line, "milli-processors"), MemoryBytes: intValue(line, "memory-bytes"),
					Slots: intValue(line, "slots"), Connections: intValue(line, "connections"),
				},
			}
			if attempt.EndedAt.IsZero() {
				attempt.EndedAt = rack.KilledAt
			}
			attempts = append(attempts, attempt)
		}
	}
	slices.SortFunc(attempts, func(a, b AttemptRecord) int { return a.StartedAt.Compare(b.StartedAt) })
	return attempts
}

func timestamp(line LogLine) time.Time {
	at, _ := time.Parse(time.RFC3339Nano, line.Get("at"))
	return at
}

func intValue(line LogLine, key string) int64 {
	n, _ := strconv.ParseInt(line.Get(key), 10, 64)
	return n
}

// TestConfiguration returns the configuration of the clusters under test. It has two profiles of requests and two of jobs, one of
// each repeatable.
func TestConfiguration() (document cwcodec.Configuration) {
	for _, row := range []struct {
		name       string
		kind       cwmodel.Kind
		repeatable bool
		deadline   time.Duration
	}{
		{"check", cwmodel.KindRequest, true, 4 * time.Second},
		{"filing", cwmodel.KindRequest, false, 4 * time.Second},
		{"archive", cwmodel.KindBatch, true, 0},
		{"transfer", cwmodel.KindBatch, false, 0},
	} {
		document.Profiles = append(document.Profiles, cwcodec.Profile{
			Name: row.name, Kind: string(row.kind), Class: string(cwmodel.ClassUrgent), QueueLimit: 1000, Repeatable: row.repeatable,
			Deadline: cwcodec.Duration(row.deadline), Lease: cwcodec.Duration(2 * time.Second),
			Demand: cwcodec.Resources{Processors: 1, MemoryMiB: 256, Slots: 1, Connections: 1},
		})
	}
	document.Teams = []cwcodec.Team{{Name: "intake"}}
	return document
}
