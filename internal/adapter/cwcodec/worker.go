package cwcodec

import (
	"net/netip"
	"time"

	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
)

// Paths of a worker's API.
const (
	PathInspect     = "/v1/worker"
	PathClaim       = "/v1/claim"
	PathHeartbeat   = "/v1/renew"
	PathRelease     = "/v1/release"
	PathStart       = "/v1/start"
	PathStop        = "/v1/stop"
	PathCompletions = "/v1/completions"
	PathDrain       = "/v1/drain"
)

// ClaimRequest is the body of three calls: a claim of a worker, a heartbeat that renews the claim, and a release of the claim.
type ClaimRequest struct {
	Owner    string    `json:"owner,omitempty"` // of a claim: the entry host that claims
	Epoch    uint64    `json:"epoch"`
	TTL      Duration  `json:"ttl,omitempty"`      // of a claim or heartbeat: time until the claim expires
	NotAfter time.Time `json:"not-after,omitzero"` // of a heartbeat: the worker refuses it after this time on its own clock
}

// Attempt is the JSON form of one attempt to run a task.
type Attempt struct {
	Task   string `json:"task"`
	Number int    `json:"number"`
	Worker string `json:"worker"`
	Epoch  uint64 `json:"epoch"`
}

// ToModel converts the attempt to the domain type.
func (a Attempt) ToModel() cwmodel.Attempt {
	return cwmodel.Attempt{Task: cwmodel.TaskID(a.Task), Number: a.Number, Worker: cwmodel.HostID(a.Worker), Epoch: cwmodel.Epoch(a.Epoch)}
}

// AttemptOf converts an attempt to its JSON form.
func AttemptOf(a cwmodel.Attempt) Attempt {
	return Attempt{Task: string(a.Task), Number: a.Number, Worker: string(a.Worker), Epoch: uint64(a.Epoch)}
}

// AttemptsOf converts attempts to their JSON form.
func AttemptsOf(attempts []cwmodel.Attempt) (documents []Attempt) {
	for _, a := range attempts {
		documents = append(documents, AttemptOf(a))
	}
	return documents
}

// AttemptsToModel converts attempts to the domain type.
func AttemptsToModel(documents []Attempt) (attempts []cwmodel.Attempt) {
	for _, a := range documents {
		attempts = append(attempts, a.ToModel())
	}
	return attempts
}

// RunningTask is the JSON form of one running task in an inventory, and of the task in a start request.
type RunningTask struct {
	Attempt     Attempt   `json:"attempt"`
	Job         string    `json:"job,omitempty"`
	Profile     string    `json:"profile"`
	Team        string    `json:"team"`
	Kind        string    `json:"kind"`
	Demand      Resources `json:"demand"`
	StartedAt   time.Time `json:"began"`
	Deadline    time.Time `json:"deadline,omitzero"`
	Lease       Duration  `json:"lease"`
	LeaseExpiry time.Time `json:"lease-ends"`
	Repeatable  bool      `json:"repeatable"`
	Durable     bool      `json:"durable,omitempty"`
}

// ToModel converts the running task to the domain type.
func (r RunningTask) ToModel() cwmodel.RunningTask {
	return cwmodel.RunningTask{
		Attempt:     r.Attempt.ToModel(),
		Job:         cwmodel.JobID(r.Job),
		Profile:     cwmodel.ProfileName(r.Profile),
		Team:        cwmodel.TeamName(r.Team),
		Kind:        cwmodel.Kind(r.Kind),
		Demand:      r.Demand.ToModel(),
		StartedAt:   r.StartedAt,
		Deadline:    r.Deadline,
		Lease:       time.Duration(r.Lease),
		LeaseExpiry: r.LeaseExpiry,
		Repeatable:  r.Repeatable,
		Durable:     r.Durable,
	}
}

// RunningTaskOf converts a running task to its JSON form.
func RunningTaskOf(r cwmodel.RunningTask) RunningTask {
	return RunningTask{
		Attempt:     AttemptOf(r.Attempt),
		Job:         string(r.Job),
		Profile:     string(r.Profile),
		Team:        string(r.Team),
		Kind:        string(r.Kind),
		Demand:      ResourcesOf(r.Demand),
		StartedAt:   r.StartedAt,
		Deadline:    r.Deadline,
		Lease:       Duration(r.Lease),
		LeaseExpiry: r.LeaseExpiry,
		Repeatable:  r.Repeatable,
		Durable:     r.Durable,
	}
}

// Inventory is a worker's response to an inspection or a claim: its description, its owner and its running tasks.
type Inventory struct {
	ID         string         `json:"id"`
	Address    netip.AddrPort `json:"address"`
	DataCentre string         `json:"data-centre"`
	Rack       string         `json:"rack"`
	Capacity   Resources      `json:"capacity"`
	Owner      string         `json:"owner,omitempty"`
	Epoch      uint64         `json:"epoch"`
	Clock      time.Time      `json:"clock"`           // current time of the worker's clock
	BootedAt   time.Time      `json:"booted,omitzero"` // start of the worker's records, on its own clock; absent if not reported
	Leaving    bool           `json:"leaving,omitempty"`
	Running    []RunningTask  `json:"running"`
}

// ToModel converts the inventory to the domain type.
func (i Inventory) ToModel() cwport.Inventory {
	model := cwport.Inventory{
		Worker: cwmodel.Worker{
			ID:         cwmodel.HostID(i.ID),
			Address:    i.Address,
			DataCentre: cwmodel.DataCentre(i.DataCentre),
			Rack:       i.Rack,
			Capacity:   i.Capacity.ToModel(),
		},
		Owner:    cwmodel.HostID(i.Owner),
		Epoch:    cwmodel.Epoch(i.Epoch),
		Clock:    i.Clock,
		BootedAt: i.BootedAt,
		Leaving:  i.Leaving,
	}
	for _, r := range i.Running {
		model.Running = append(model.Running, r.ToModel())
	}
	return model
}

// InventoryOf converts an inventory to its JSON form.
func InventoryOf(i cwport.Inventory) Inventory {
	document := Inventory{
		ID:         string(i.Worker.ID),
		Address:    i.Worker.Address,
		DataCentre: string(i.Worker.DataCentre),
		Rack:       i.Worker.Rack,
		Capacity:   ResourcesOf(i.Worker.Capacity),
		Owner:      string(i.Owner),
		Epoch:      uint64(i.Epoch),
		Clock:      i.Clock,
		BootedAt:   i.BootedAt,
		Leaving:    i.Leaving,
		Running:    []RunningTask{},
	}
	for _, r := range i.Running {
		document.Running = append(document.Running, RunningTaskOf(r))
	}
	return document
}

// StartRequest is the body of a request to start one attempt.
type StartRequest struct {
	Task     RunningTask `json:"entry"`     // the worker sets lease-ends and began
	NotAfter time.Time   `json:"not-after"` // the worker refuses the request after this time on its own clock
	Payload  []byte      `json:"payload,omitempty"`
}

// StartRequestOf converts a start request to its JSON form.
func StartRequestOf(request cwport.StartRequest) StartRequest {
	t := request.Task
	return StartRequest{
		Task: RunningTaskOf(cwmodel.RunningTask{
			Attempt: request.Attempt, Job: t.Job, Profile: t.Profile, Team: t.Team, Kind: t.Kind, Demand: t.Demand,
			Deadline: t.Deadline, Lease: t.Lease, Repeatable: t.Repeatable, Durable: t.Durable,
		}),
		NotAfter: request.NotAfter,
		Payload:  t.Payload,
	}
}

// ToModel converts the request to the domain type. The task takes its ID and its attempt number from the attempt.
func (s StartRequest) ToModel() cwport.StartRequest {
	r := s.Task.ToModel()
	return cwport.StartRequest{
		Attempt:  r.Attempt,
		NotAfter: s.NotAfter,
		Task: cwmodel.Task{
			ID: r.Attempt.Task, Job: r.Job, NextAttempt: r.Attempt.Number, Profile: r.Profile, Team: r.Team, Kind: r.Kind, Demand: r.Demand,
			Deadline: r.Deadline, Lease: r.Lease, Repeatable: r.Repeatable, Durable: r.Durable, Payload: s.Payload,
		},
	}
}

// StopRequest is the body of a request to stop, checkpoint or throttle one attempt.
type StopRequest struct {
	Attempt Attempt `json:"attempt"`
	Mode    string  `json:"mode"`
}

// CompletionsRequest is the body of a long poll for results, which also acknowledges earlier ones.
type CompletionsRequest struct {
	Epoch    uint64    `json:"epoch"`
	Acks     []Attempt `json:"acks,omitempty"` // the worker deletes these results
	Retained []Attempt `json:"held,omitempty"` // the worker keeps these results but omits them from the response
	Wait     Duration  `json:"wait"`           // how long to wait for a result if there is none
}

// CompletionsResponse lists the results that are neither acknowledged nor retained.
type CompletionsResponse struct {
	Results []Result `json:"results"`
}

// Result is the JSON form of the result of one attempt.
type Result struct {
	Attempt   Attempt   `json:"attempt"`
	End       string    `json:"end"`
	Message   string    `json:"message,omitempty"`
	Output    []byte    `json:"answer,omitempty"`
	StartedAt time.Time `json:"began,omitzero"`
	EndedAt   time.Time `json:"ended"`
	PeakUsage Resources `json:"used"`
}

// ToModel converts the result to the domain type. An unknown kind of end is an error.
func (r Result) ToModel() (model cwmodel.Result, err error) {
	end, err := cwmodel.ParseEndKind(r.End)
	return cwmodel.Result{
		Attempt:   r.Attempt.ToModel(),
		End:       end,
		Message:   r.Message,
		Output:    r.Output,
		StartedAt: r.StartedAt,
		EndedAt:   r.EndedAt,
		PeakUsage: r.PeakUsage.ToModel(),
	}, err
}

// ResultOf converts a result to its JSON form.
func ResultOf(r cwmodel.Result) Result {
	return Result{
		Attempt:   AttemptOf(r.Attempt),
		End:       string(r.End),
		Message:   r.Message,
		Output:    r.Output,
		StartedAt: r.StartedAt,
		EndedAt:   r.EndedAt,
		PeakUsage: ResourcesOf(r.PeakUsage),
	}
}

// HeartbeatResponse is the JSON form of a worker's response to a heartbeat of its owner.
type HeartbeatResponse struct {
	Clock        time.Time `json:"clock"`
	Leaving      bool      `json:"leaving,omitempty"`
	RunningCount int       `json:"running"`         // number of running tasks
	Usage        []Usage   `json:"usage,omitempty"` // absent unless a report is due
}

// Usage is the JSON form of the resource usage of one running task.
type Usage struct {
	Task string    `json:"task"`
	Used Resources `json:"used"`
	At   time.Time `json:"at"`
}

// ToModel converts the response to the domain type.
func (r HeartbeatResponse) ToModel() cwport.HeartbeatResponse {
	model := cwport.HeartbeatResponse{Clock: r.Clock, Leaving: r.Leaving, RunningCount: r.RunningCount}
	for _, u := range r.Usage {
		model.Usage = append(model.Usage, cwmodel.Usage{Task: cwmodel.TaskID(u.Task), Used: u.Used.ToModel(), At: u.At})
	}
	return model
}

// HeartbeatResponseOf converts a heartbeat response to its JSON form.
func HeartbeatResponseOf(r cwport.HeartbeatResponse) HeartbeatResponse {
	document := HeartbeatResponse{Clock: r.Clock, Leaving: r.Leaving, RunningCount: r.RunningCount}
	for _, u := range r.Usage {
		document.Usage = append(document.Usage, Usage{Task: string(u.Task), Used: ResourcesOf(u.Used), At: u.At})
	}
	return document
}
