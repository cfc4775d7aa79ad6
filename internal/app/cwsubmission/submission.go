// Package cwsubmission builds jobs from the submissions of callers.
package cwsubmission

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwjob"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
)

// Submission is a caller's request for a job. The builder completes it with the settings of its profile.
type Submission struct {
	Request cwmodel.Request
	Tasks   int // number of tasks; zero for one
}

// Builder builds the jobs that are submitted to one entry host, which becomes their coordinator.
type Builder struct {
	Self          cwjob.Coordinator
	DataCentre    cwmodel.DataCentre
	SupportsGangs bool

	// Configuration returns the active configuration; version zero means that there is none yet.
	Configuration func() *cwpolicy.Configuration
}

// Build returns the job for a submission, or the reason why the submission is refused.
//
// A demand or deadline in the request replaces that of the profile. A negative deadline has passed already.
func (b *Builder) Build(now time.Time, s Submission) (job *cwjob.Job, err error) {
	cfg, r := b.Configuration(), s.Request
	profile, ok := cfg.Profile(r.Profile)
	_, hasTeam := cfg.Team(r.Team)
	tasks := max(s.Tasks, 1)
	switch {
	case cfg.Version == 0:
		return nil, cwfault.New(cwfault.Unavailable, "not run: this host holds no configuration yet")
	case !ok:
		return nil, cwfault.New(cwfault.NotFound, "no profile %q", r.Profile)
	case !hasTeam:
		return nil, cwfault.New(cwfault.NotFound, "no team %q", r.Team)
	case profile.Kind == cwmodel.KindRequest:
		return nil, cwfault.New(cwfault.Invalid, "profile %q is for requests, not for jobs", r.Profile)
	case profile.Kind == cwmodel.KindGang && !b.SupportsGangs:
		return nil, cwfault.New(cwfault.NotSupported, "this host runs no gangs")
	case s.Tasks < 0 || tasks > cwjob.MaxTasks:
		return nil, cwfault.New(cwfault.Invalid, "tasks: %d is not from 1 to %d", s.Tasks, cwjob.MaxTasks)
	case r.Deadline < 0:
		return nil, cwfault.New(cwfault.Refused, "not run: the deadline has passed")
	}
	job = &cwjob.Job{
		Team: r.Team, Profile: r.Profile, Kind: profile.Kind, DataCentre: b.DataCentre, Demand: profile.Demand, Lease: profile.Lease,
		MaxAttempts: profile.MaxAttempts, Repeatable: profile.Repeatable, Checkpointable: profile.Checkpointable,
		ArrivedAt: now, Payload: r.Payload, Coordinator: b.Self, Tasks: make([]cwjob.Task, tasks),
	}
	for n := range job.Tasks {
		job.Tasks[n].Phase = cwjob.PhaseWaiting
	}
	if r.Demand != nil {
		job.Demand = *r.Demand
	}
	if limit := max(r.Deadline, 0); limit > 0 {
		job.Deadline = now.Add(limit)
	} else if profile.Deadline > 0 {
		job.Deadline = now.Add(profile.Deadline)
	}
	return job, assignID(job, s)
}

// assignID sets the ID and the digest of a job.
//
// The ID is derived from the idempotency key, so that a repeated submission of a team gets the same ID. Without a key, it is random.
// The digest of the whole submission tells a repetition from another job under the same key.
func assignID(job *cwjob.Job, s Submission) error {
	document, err := json.Marshal(s)
	if err != nil {
		return err
	}
	sum := sha256.Sum256(document)
	job.Digest = hex.EncodeToString(sum[:16])
	name := rand.Text()
	if key := s.Request.IdempotencyKey; key != "" {
		sum = sha256.Sum256([]byte(key))
		name = hex.EncodeToString(sum[:16])
	}
	job.ID = cwmodel.JobID(string(job.Team) + "." + name)
	return nil
}
