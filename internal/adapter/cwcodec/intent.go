package cwcodec

import (
	"time"

	"currantward/internal/core/cwmodel"
)

// Intent is the JSON form of the stored row of a request that has an idempotency key and may run at most once.
type Intent struct {
	SubmissionHash string    `json:"digest"` // of the submission
	RequestID      string    `json:"request-id"`
	Host           string    `json:"host"` // entry host that runs the request
	Incarnation    uint64    `json:"incarnation"`
	RecordedAt     time.Time `json:"recorded"`
	Outcome        string    `json:"outcome,omitempty"` // of the first response; empty until there is one
	Reason         string    `json:"reason,omitempty"`
	Message        string    `json:"message,omitempty"`
	Attempts       int       `json:"attempts,omitempty"`
	Worker         string    `json:"worker,omitempty"`
	WaitTime       Duration  `json:"waited,omitzero"`
	RunTime        Duration  `json:"ran,omitzero"`
	Payload        []byte    `json:"payload,omitempty"`
	PayloadKey     string    `json:"payload-key,omitempty"` // object-store key of a large output
}

// WithResponse returns the intent with the fields of its first response set.
func (i Intent) WithResponse(r cwmodel.Response) Intent {
	i.Outcome, i.Reason, i.Message, i.Attempts = string(r.Outcome), string(r.Reason), r.Message, r.Attempts
	i.Worker, i.WaitTime, i.RunTime, i.Payload = string(r.Worker), Duration(r.WaitTime), Duration(r.RunTime), r.Payload
	return i
}

// Response returns the first response to the request. An intent without an outcome has none, which is an error.
func (i Intent) Response() (r cwmodel.Response, err error) {
	outcome, err := cwmodel.ParseOutcome(i.Outcome)
	return cwmodel.Response{
		Task: cwmodel.TaskID(i.RequestID), Outcome: outcome, Reason: cwmodel.Reason(i.Reason), Message: i.Message, Attempts: i.Attempts,
		Worker: cwmodel.HostID(i.Worker), Payload: i.Payload, WaitTime: time.Duration(i.WaitTime), RunTime: time.Duration(i.RunTime),
	}, err
}
