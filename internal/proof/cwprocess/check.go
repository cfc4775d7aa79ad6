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

// AttemptRecord is one attempt as its worker's journal has it.
type AttemptRecord struct {
	Worker        string
	Task          string
	PayloadDigest string // of the payload
	Repeatable    bool
	Demand        cwmodel.Resources
	StartedAt     time.Time
	EndedAt       time.Time // the kill of its worker, or zero if it runs on
}

// Findings collects what a check has found to be violated.
type Findings struct{ Violations []string }

// Err returns one error that lists the first violations, or nil.
func (f *Findings) Err() error {
	if len(f.Violations) == 0 {
		return nil
	}
	const most = 10
	return errors.New(strings.Join(f.Violations[:min(len(f.Violations), most)], "\n"))
}

// AddViolation notes one violation.
func (f *Findings) AddViolation(format string, args ...any) {
	f.Violations = append(f.Violations, fmt.Sprintf(format, args...))
}

// Report counts what a check has looked at.
type Report struct {
	Findings
	Exchanges  int
	Outcomes   map[string]int
	NoResponse int
	Attempts   int
}

// Check compares what callers saw with what the workers' journals say.
//
// A request to a host that was killed, or that reached a host after its shutdown began, may go without an answer.
func Check(c *Cluster, exchanges []Exchange, shutdowns map[cwmodel.HostID]time.Time) *Report {
	r := &Report{Exchanges: len(exchanges), Outcomes: map[string]int{}}
	spans := c.AttemptRecords()
	r.Attempts = len(spans)
	r.checkSpans(spans)
	r.checkCapacity(spans, c.opts.Capacity.ToModel())
	byTask, byDigest := map[string]bool{}, map[string]bool{}
	for _, s := range spans {
		byTask[s.Task], byDigest[s.PayloadDigest] = true, true
	}
	seen := map[string]bool{}
	for _, e := range exchanges {
		digest := cwrunner.NewOutput("", e.Payload).PayloadHash
		if e.Err != nil {
			r.NoResponse++
			r.checkUnanswered(c, e, byDigest[digest], shutdowns)
			continue
		}
		r.Outcomes[e.Response.Outcome]++
		if seen[e.Response.RequestID] {
			r.AddViolation("request %s was answered twice", e.Response.RequestID)
		}
		seen[e.Response.RequestID] = true
		r.checkAnswer(e, byTask[e.Response.RequestID])
	}
	return r
}

func (r *Report) checkUnanswered(c *Cluster, e Exchange, began bool, shutdowns map[cwmodel.HostID]time.Time) {
	at := slices.IndexFunc(c.Hosts, func(h *EntryHost) bool { return h.ID == e.Host })
	shutdown, leaving := shutdowns[e.Host]
	switch {
	case !c.Hosts[at].KilledAt.IsZero():
	case cwfault.CodeOf(e.Err) == cwfault.Unavailable && !began:
	case leaving && e.SentAt.After(shutdown) && !began:
	default:
		r.AddViolation("a %s request to %s got no answer (began: %t): %v", e.Profile, e.Host, began, e.Err)
	}
}

func (r *Report) checkAnswer(e Exchange, began bool) {
	id := e.Response.RequestID
	switch cwmodel.Outcome(e.Response.Outcome) {
	case cwmodel.OutcomeDone:
		var answer cwrunner.Output
		if json.Unmarshal(e.Response.Output, &answer) != nil || answer != cwrunner.NewOutput(cwmodel.TaskID(id), e.Payload) {
			r.AddViolation("request %s got an answer that is not its own: %s", id, e.Response.Output)
		}
		if !began {
			r.AddViolation("request %s is done but no worker began it", id)
		}
	case cwmodel.OutcomeNotRun:
		if began {
			r.AddViolation("request %s was said not to have run but began (reason %s)", id, e.Response.Reason)
		}
	case cwmodel.OutcomeFailed, cwmodel.OutcomeUnknown, cwmodel.OutcomeCancelled:
	default:
		r.AddViolation("request %s has the outcome %q", id, e.Response.Outcome)
	}
}

// checkSpans demands that no task runs in two places and that what is not repeatable begins at most once.
func (r *Report) checkSpans(spans []AttemptRecord) {
	last := map[string]AttemptRecord{}
	for _, s := range spans {
		before, ok := last[s.Task]
		switch {
		case ok && !s.Repeatable:
			r.AddViolation("task %s is not repeatable but began on %s and on %s", s.Task, before.Worker, s.Worker)
		case ok && (before.EndedAt.IsZero() || before.EndedAt.After(s.StartedAt)):
			r.AddViolation("task %s ran on %s and on %s at once", s.Task, before.Worker, s.Worker)
		}
		last[s.Task] = s
	}
}

// checkCapacity adds up the demands that run at each moment on each worker.
func (r *Report) checkCapacity(spans []AttemptRecord, capacity cwmodel.Resources) {
	byWorker := map[string][]AttemptRecord{}
	for _, s := range spans {
		running := slices.DeleteFunc(byWorker[s.Worker], func(o AttemptRecord) bool { return !o.EndedAt.IsZero() && !o.EndedAt.After(s.StartedAt) })
		running = append(running, s)
		byWorker[s.Worker] = running
		var used cwmodel.Resources
		for _, o := range running {
			used = used.Add(o.Demand)
		}
		if !used.FitsIn(capacity) {
			r.AddViolation("worker %s held %+v, above its capacity", s.Worker, used)
		}
	}
}

// AttemptRecords returns all attempts of all workers in the order in which they began.
func (c *Cluster) AttemptRecords() (spans []AttemptRecord) {
	for _, rack := range c.Racks {
		ends := map[string]time.Time{}
		for _, line := range rack.EventLines(cwrunner.EventAttemptEnded) {
			ends[line.Get("worker")+line.Get("task")+line.Get("number")] = timeOf(line)
		}
		for _, line := range rack.EventLines(cwrunner.EventAttemptStarted) {
			s := AttemptRecord{
				Worker: line.Get("worker"), Task: line.Get("task"), PayloadDigest: line.Get("digest"), Repeatable: line.Get("repeatable") == "true",
				StartedAt: timeOf(line), EndedAt: ends[line.Get("worker")+line.Get("task")+line.Get("number")],
				Demand: cwmodel.Resources{
					MilliProcessors: integer(line, "milli-processors"), MemoryBytes: integer(line, "memory-bytes"),
					Slots: integer(line, "slots"), Connections: integer(line, "connections"),
				},
			}
			if s.EndedAt.IsZero() {
				s.EndedAt = rack.KilledAt
			}
			spans = append(spans, s)
		}
	}
	slices.SortFunc(spans, func(a, b AttemptRecord) int { return a.StartedAt.Compare(b.StartedAt) })
	return spans
}

func timeOf(line LogLine) time.Time {
	at, _ := time.Parse(time.RFC3339Nano, line.Get("at"))
	return at
}

func integer(line LogLine, key string) int64 {
	n, _ := strconv.ParseInt(line.Get(key), 10, 64)
	return n
}

// TestConfiguration is what clusters under proof run: profiles of requests and of jobs, of each a repeatable one.
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
