package cwcodec

import (
	"encoding/json"
	"time"

	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwjob"
	"currantward/internal/core/cwmodel"
)

// JobSubmission is the body of a request to run one job.
type JobSubmission struct {
	Profile        string          `json:"profile"`
	Team           string          `json:"team"`
	Tasks          int             `json:"tasks,omitempty"`    // default: 1
	Deadline       Duration        `json:"deadline,omitempty"` // from the arrival; default: the profile's
	IdempotencyKey string          `json:"idempotency-key,omitempty"`
	Demand         *Resources      `json:"demand,omitempty"` // of each task; default: the profile's
	Payload        json.RawMessage `json:"payload,omitempty"`
}

// JobTask is the document of one task of a job.
type JobTask struct {
	Phase           string    `json:"phase"`
	Attempt         Attempt   `json:"attempt,omitzero"`
	StartedAttempts int       `json:"ran,omitempty"`
	Outcome         string    `json:"outcome,omitempty"`
	Reason          string    `json:"reason,omitempty"`
	Message         string    `json:"message,omitempty"`
	Output          []byte    `json:"answer,omitempty"`
	OutputKey       string    `json:"answer-key,omitempty"`
	StartedAt       time.Time `json:"began,omitzero"`
	EndedAt         time.Time `json:"ended,omitzero"`
}

// Job is the stored row of one job.
type Job struct {
	ID             string    `json:"job-id"`
	Team           string    `json:"team"`
	Profile        string    `json:"profile"`
	Kind           string    `json:"kind"`
	DataCentre     string    `json:"data-centre"`
	Demand         Resources `json:"demand"`
	Lease          Duration  `json:"lease"`
	MaxAttempts    int       `json:"max-attempts"`
	Repeatable     bool      `json:"repeatable,omitempty"`
	Checkpointable bool      `json:"checkpointable,omitempty"`
	ArrivedAt      time.Time `json:"arrived"`
	Deadline       time.Time `json:"deadline,omitzero"`
	Payload        []byte    `json:"payload,omitempty"`
	PayloadKey     string    `json:"payload-key,omitempty"`
	SubmissionHash string    `json:"digest"`
	Coordinator    string    `json:"home"`
	Incarnation    uint64    `json:"incarnation"`
	TriedHosts     []string  `json:"tried,omitempty"`
	Cancelled      bool      `json:"cancelled,omitempty"`
	GangRestarting bool      `json:"regroup,omitempty"`
	EndedAt        time.Time `json:"ended,omitzero"`
	Tasks          []JobTask `json:"tasks"`
}

// EncodeJob encodes the row of a job.
func EncodeJob(j *cwjob.Job) ([]byte, error) {
	document := Job{
		ID: string(j.ID), Team: string(j.Team), Profile: string(j.Profile), Kind: string(j.Kind), DataCentre: string(j.DataCentre),
		Demand: ResourcesOf(j.Demand), Lease: Duration(j.Lease), MaxAttempts: j.MaxAttempts, Repeatable: j.Repeatable,
		Checkpointable: j.Checkpointable, ArrivedAt: j.ArrivedAt, Deadline: j.Deadline, Payload: j.Payload, PayloadKey: j.PayloadKey,
		SubmissionHash: j.Digest, Coordinator: string(j.Coordinator.Host), Incarnation: j.Coordinator.Incarnation, Cancelled: j.Cancelled, GangRestarting: j.GangRestarting,
		EndedAt: j.EndedAt,
	}
	for _, host := range j.TriedHosts {
		document.TriedHosts = append(document.TriedHosts, string(host))
	}
	for _, t := range j.Tasks {
		document.Tasks = append(document.Tasks, JobTask{
			Phase: string(t.Phase), Attempt: AttemptOf(t.LatestAttempt), StartedAttempts: t.StartedAttempts, Outcome: string(t.Outcome), Reason: string(t.Reason),
			Message: t.Message, Output: t.Output, OutputKey: t.OutputKey, StartedAt: t.StartedAt, EndedAt: t.EndedAt,
		})
	}
	return json.Marshal(document)
}

// DecodeJob decodes the row of a job.
func DecodeJob(data []byte) (j *cwjob.Job, err error) {
	var d Job
	if err = json.Unmarshal(data, &d); err != nil {
		return nil, cwfault.New(cwfault.Internal, "malformed row of a job: %v", err)
	}
	kind, err := cwmodel.ParseKind(d.Kind)
	if err != nil {
		return nil, err
	}
	j = &cwjob.Job{
		ID: cwmodel.JobID(d.ID), Team: cwmodel.TeamName(d.Team), Profile: cwmodel.ProfileName(d.Profile), Kind: kind,
		DataCentre: cwmodel.DataCentre(d.DataCentre), Demand: d.Demand.ToModel(), Lease: time.Duration(d.Lease), MaxAttempts: d.MaxAttempts,
		Repeatable: d.Repeatable, Checkpointable: d.Checkpointable, ArrivedAt: d.ArrivedAt, Deadline: d.Deadline, Payload: d.Payload,
		PayloadKey: d.PayloadKey, Digest: d.SubmissionHash, Coordinator: cwjob.Coordinator{Host: cwmodel.HostID(d.Coordinator), Incarnation: d.Incarnation},
		Cancelled: d.Cancelled, GangRestarting: d.GangRestarting, EndedAt: d.EndedAt,
	}
	for _, host := range d.TriedHosts {
		j.TriedHosts = append(j.TriedHosts, cwmodel.HostID(host))
	}
	for _, t := range d.Tasks {
		task, err := t.toModel()
		if err != nil {
			return nil, err
		}
		j.Tasks = append(j.Tasks, task)
	}
	return j, nil
}

func (t JobTask) toModel() (task cwjob.Task, err error) {
	task = cwjob.Task{
		LatestAttempt: t.Attempt.ToModel(), StartedAttempts: t.StartedAttempts, Reason: cwmodel.Reason(t.Reason), Message: t.Message, Output: t.Output,
		OutputKey: t.OutputKey, StartedAt: t.StartedAt, EndedAt: t.EndedAt,
	}
	if task.Phase, err = cwjob.ParsePhase(t.Phase); err != nil || t.Outcome == "" {
		return task, err
	}
	task.Outcome, err = cwmodel.ParseOutcome(t.Outcome)
	return task, err
}

// JobTaskView is the document of one task in a response to a caller.
type JobTaskView struct {
	Phase     string          `json:"phase"`
	Attempts  int             `json:"attempts"`
	Worker    string          `json:"worker,omitempty"`
	Outcome   string          `json:"outcome,omitempty"`
	Reason    string          `json:"reason,omitempty"`
	Message   string          `json:"message,omitempty"`
	Output    json.RawMessage `json:"answer,omitempty"`
	StartedAt time.Time       `json:"began,omitzero"`
	EndedAt   time.Time       `json:"ended,omitzero"`
}

// JobView is the document of one job in a response to a caller.
type JobView struct {
	ID          string        `json:"job-id"`
	Team        string        `json:"team"`
	Profile     string        `json:"profile"`
	Kind        string        `json:"kind"`
	Coordinator string        `json:"home"`
	ArrivedAt   time.Time     `json:"arrived"`
	Deadline    time.Time     `json:"deadline,omitzero"`
	Cancelled   bool          `json:"cancelled,omitempty"`
	Finished    bool          `json:"over"`
	Tasks       []JobTaskView `json:"tasks"`
}

// JobViewOf returns the caller's view of j.
func JobViewOf(j *cwjob.Job) JobView {
	view := JobView{
		ID: string(j.ID), Team: string(j.Team), Profile: string(j.Profile), Kind: string(j.Kind), Coordinator: string(j.Coordinator.Host),
		ArrivedAt: j.ArrivedAt, Deadline: j.Deadline, Cancelled: j.Cancelled, Finished: j.IsFinished(), Tasks: []JobTaskView{},
	}
	for _, t := range j.Tasks {
		view.Tasks = append(view.Tasks, JobTaskView{
			Phase: string(t.Phase), Attempts: t.StartedAttempts, Worker: string(t.LatestAttempt.Worker), Outcome: string(t.Outcome), Reason: string(t.Reason),
			Message: t.Message, Output: toRawJSON(t.Output), StartedAt: t.StartedAt, EndedAt: t.EndedAt,
		})
	}
	return view
}

// JobList is the response to a request for a list of jobs.
type JobList struct {
	Jobs []JobView `json:"jobs"`
}

// toRawJSON returns data unchanged if it is JSON, or else as a JSON string.
func toRawJSON(data []byte) json.RawMessage {
	if len(data) == 0 || json.Valid(data) {
		return data
	}
	text, _ := json.Marshal(string(data))
	return text
}
