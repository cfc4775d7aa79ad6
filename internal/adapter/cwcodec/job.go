package cwcodec

import (
	"encoding/json"
	"time"

	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwjob"
	"currantward/internal/core/cwmodel"
)

// JobSubmission is the body of a caller's request to run one job.
type JobSubmission struct {
	Profile        string          `json:"profile"`
	Team           string          `json:"team"`
	Tasks          int             `json:"tasks,omitempty"`    // number of tasks; 0: 1
	Deadline       Duration        `json:"deadline,omitempty"` // time from the arrival; 0: that of the profile
	IdempotencyKey string          `json:"idempotency-key,omitempty"`
	Demand         *Resources      `json:"demand,omitempty"` // of each task; nil: that of the profile
	Payload        json.RawMessage `json:"payload,omitempty"`
}

// JobTask is the JSON form of one task in the stored row of its job.
type JobTask struct {
	Phase           string    `json:"phase"`
	Attempt         Attempt   `json:"attempt,omitzero"`
	StartedAttempts int       `json:"ran,omitempty"` // number of attempts that have started
	Outcome         string    `json:"outcome,omitempty"`
	Reason          string    `json:"reason,omitempty"`
	Message         string    `json:"message,omitempty"`
	Output          []byte    `json:"answer,omitempty"`
	OutputKey       string    `json:"answer-key,omitempty"` // object-store key of a large output
	StartedAt       time.Time `json:"began,omitzero"`
	EndedAt         time.Time `json:"ended,omitzero"`
}

// Job is the JSON form of the stored row of one job.
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
	PayloadKey     string    `json:"payload-key,omitempty"` // object-store key of a large payload
	SubmissionHash string    `json:"digest"`                // of the submitted document
	Coordinator    string    `json:"home"`                  // entry host that coordinates the job
	Incarnation    uint64    `json:"incarnation"`           // of the coordinator's process
	TriedHosts     []string  `json:"tried,omitempty"`       // former coordinators that have no worker large enough for a task
	Cancelled      bool      `json:"cancelled,omitempty"`
	GangRestarting bool      `json:"regroup,omitempty"`
	EndedAt        time.Time `json:"ended,omitzero"`
	Tasks          []JobTask `json:"tasks"`
}

// EncodeJob encodes the stored row of a job as JSON.
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

// DecodeJob decodes the stored row of a job.
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

// toModel converts the task to the domain type. An unknown phase or outcome is an error; no outcome means that there is none yet.
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

// JobTaskView is the JSON form of one task of a job in a response to a caller.
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

// JobView is the JSON form of one job in a response to a caller.
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

// JobViewOf converts a job to the form that callers receive, which omits its payload and internal state.
func JobViewOf(j *cwjob.Job) JobView {
	view := JobView{
		ID: string(j.ID), Team: string(j.Team), Profile: string(j.Profile), Kind: string(j.Kind), Coordinator: string(j.Coordinator.Host),
		ArrivedAt: j.ArrivedAt, Deadline: j.Deadline, Cancelled: j.Cancelled, Finished: j.IsEnded(), Tasks: []JobTaskView{},
	}
	for _, t := range j.Tasks {
		view.Tasks = append(view.Tasks, JobTaskView{
			Phase: string(t.Phase), Attempts: t.StartedAttempts, Worker: string(t.LatestAttempt.Worker), Outcome: string(t.Outcome), Reason: string(t.Reason),
			Message: t.Message, Output: toRawJSON(t.Output), StartedAt: t.StartedAt, EndedAt: t.EndedAt,
		})
	}
	return view
}

// JobList is the body of the response to a caller's request for a list of jobs.
type JobList struct {
	Jobs []JobView `json:"jobs"`
}

// toRawJSON returns data unchanged if it is empty or JSON, or else as a JSON string.
func toRawJSON(data []byte) json.RawMessage {
	if len(data) == 0 || json.Valid(data) {
		return data
	}
	text, _ := json.Marshal(string(data))
	return text
}
