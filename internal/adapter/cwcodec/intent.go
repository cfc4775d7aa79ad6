package cwcodec

import (
	"time"

	"currantward/internal/core/cwmodel"
)

// Intent is the row of one keyed request that may run at most once.
type Intent struct {
	Digest      string    `json:"digest"` // of what the caller submitted
	RequestID   string    `json:"request-id"`
	Host        string    `json:"host"` // the entry host that runs it
	Incarnation uint64    `json:"incarnation"`
	RecordedAt  time.Time `json:"recorded"`
	Outcome     string    `json:"outcome,omitempty"` // empty until the first outcome is known
	Reason      string    `json:"reason,omitempty"`
	Message     string    `json:"message,omitempty"`
	Attempts    int       `json:"attempts,omitempty"`
	Worker      string    `json:"worker,omitempty"`
	WaitTime    Duration  `json:"waited,omitzero"`
	RunTime     Duration  `json:"ran,omitzero"`
	Payload     []byte    `json:"payload,omitempty"`
	PayloadKey  string    `json:"payload-key,omitempty"` // in the object store, for a large answer
}

// WithResponse returns the intent with its first outcome.
func (i Intent) WithResponse(a cwmodel.Response) Intent {
	i.Outcome, i.Reason, i.Message, i.Attempts = string(a.Outcome), string(a.Reason), a.Message, a.Attempts
	i.Worker, i.WaitTime, i.RunTime, i.Payload = string(a.Worker), Duration(a.WaitTime), Duration(a.RunTime), a.Payload
	return i
}

// Response returns the first outcome; an intent without one is an error of the caller.
func (i Intent) Response() (a cwmodel.Response, err error) {
	outcome, err := cwmodel.ParseOutcome(i.Outcome)
	return cwmodel.Response{
		Task: cwmodel.TaskID(i.RequestID), Outcome: outcome, Reason: cwmodel.Reason(i.Reason), Message: i.Message, Attempts: i.Attempts,
		Worker: cwmodel.HostID(i.Worker), Payload: i.Payload, WaitTime: time.Duration(i.WaitTime), RunTime: time.Duration(i.RunTime),
	}, err
}
