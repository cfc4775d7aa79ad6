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
	Worker      string
	Task        string
	PayloadHash string
	Repeatable  bool
	Demand      cwmodel.Resources
	StartedAt   time.Time
	EndedAt     time.Time // also set when its worker was killed; zero while the attempt runs
}

// Findings collects the violations of the scheduler's guarantees that a check found.
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

// Report counts the requests and attempts that a check covered, with the violations that it found.
type Report struct {
	Findings
	Exchanges  int            // requests, with or without a response
	Outcomes   map[string]int // number of responses by outcome
	NoResponse int            // requests without a response
	Attempts   int
}

// Check compares the responses that callers received with the attempts in the workers' logs. drainStartedAt contains the hosts that
// were drained; nil means that none was.
func Check(c *Cluster, exchanges []Exchange, drainStartedAt map[cwmodel.HostID]time.Time) *Report {
	r := &Report{Exchanges: len(exchanges), Outcomes: map[string]int{}}
	attempts := c.AttemptRecords()
	r.Attempts = len(attempts)
	r.checkSingleExecution(attempts)
	r.checkCapacity(attempts, c.opts.Capacity.ToModel())
	startedTasks, startedHashes := map[string]bool{}, map[string]bool{}
	for _, a := range attempts {
		startedTasks[a.Task], startedHashes[a.PayloadHash] = true, true
	}
	responded := map[string]bool{}
	for _, e := range exchanges {
		hash := cwrunner.NewOutput("", e.Payload).PayloadHash
		if e.Err != nil {
			r.NoResponse++
			r.checkMissingResponse(c, e, startedHashes[hash], drainStartedAt)
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

// checkMissingResponse asserts that a request without a response has an excuse: its host was killed, or no worker started it and it
// could not be sent or was sent after the drain of its host began.
func (r *Report) checkMissingResponse(c *Cluster, e Exchange, startedByWorker bool, drainStartedAt map[cwmodel.HostID]time.Time) {
	index := slices.IndexFunc(c.Hosts, func(h *EntryHost) bool { return h.ID == e.Host })
	drainStart, wasDrained := drainStartedAt[e.Host]
	switch {
	case !c.Hosts[index].KilledAt.IsZero():
	case cwfault.CodeOf(e.Err) == cwfault.Unavailable && !startedByWorker:
	case wasDrained && e.SentAt.After(drainStart) && !startedByWorker:
	default:
		r.AddViolation("%s request to %s received no response (started: %t): %v", e.Profile, e.Host, startedByWorker, e.Err)
	}
}

// checkResponse asserts that a response has the output of its own request, and agrees with whether a worker started the request.
func (r *Report) checkResponse(e Exchange, startedByWorker bool) {
	id := e.Response.RequestID
	switch cwmodel.Outcome(e.Response.Outcome) {
	case cwmodel.OutcomeDone:
		var output cwrunner.Output
		if json.Unmarshal(e.Response.Output, &output) != nil || output != cwrunner.NewOutput(cwmodel.TaskID(id), e.Payload) {
			r.AddViolation("request %s has the wrong output: %s", id, e.Response.Output)
		}
		if !startedByWorker {
			r.AddViolation("request %s is reported as done but no worker started it", id)
		}
	case cwmodel.OutcomeNotRun:
		if startedByWorker {
			r.AddViolation("request %s is reported as not run but was started (reason %s)", id, e.Response.Reason)
		}
	case cwmodel.OutcomeFailed, cwmodel.OutcomeUnknown, cwmodel.OutcomeCancelled: // allowed whether or not a worker started it
	default:
		r.AddViolation("request %s has the unexpected outcome %q", id, e.Response.Outcome)
	}
}

// checkSingleExecution asserts that no task runs on two workers at the same time, and that a task starts at most once unless it is
// repeatable. The attempts are ordered by start time.
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

// checkCapacity asserts that the demands of the tasks that run on a worker never exceed its capacity. The attempts are ordered by
// start time.
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
				Worker: line.Get("worker"), Task: line.Get("task"), PayloadHash: line.Get("digest"), Repeatable: line.Get("repeatable") == "true",
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

// timestamp returns the time of a log line, or the zero time if the line lacks it.
func timestamp(line LogLine) time.Time {
	at, _ := time.Parse(time.RFC3339Nano, line.Get("at"))
	return at
}

// intValue returns the integer under a key, or 0 if the line lacks it.
func intValue(line LogLine, key string) int64 {
	n, _ := strconv.ParseInt(line.Get(key), 10, 64)
	return n
}

// TestConfiguration returns the configuration of the clusters under test. It has two profiles of requests and two of jobs; one of
// each kind is repeatable, so that its tasks may be started more than once.
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
