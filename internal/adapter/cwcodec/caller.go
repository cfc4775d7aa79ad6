package cwcodec

import (
	"encoding/json"

	"currantward/internal/core/cwmodel"
)

// Submission is what a caller sends to have one request run.
type Submission struct {
	Profile        string          `json:"profile"`
	Team           string          `json:"team,omitempty"`
	Deadline       Duration        `json:"deadline,omitempty"` // from the arrival; the profile's own if left out
	IdempotencyKey string          `json:"idempotency-key,omitempty"`
	Demand         *Resources      `json:"demand,omitempty"` // the profile's own if left out
	Payload        json.RawMessage `json:"payload,omitempty"`
}

// Response is what a caller is told.
type Response struct {
	RequestID string          `json:"request-id"`
	Outcome   string          `json:"outcome"`
	Reason    string          `json:"reason,omitempty"`
	Message   string          `json:"message,omitempty"`
	Attempts  int             `json:"attempts"`
	Worker    string          `json:"worker,omitempty"`
	WaitTime  Duration        `json:"waited"`
	RunTime   Duration        `json:"ran"`
	Output    json.RawMessage `json:"answer,omitempty"`
}

// ResponseOf returns the document of an answer; a payload that is not JSON is written as a JSON string.
func ResponseOf(a cwmodel.Response) Response {
	return Response{
		RequestID: string(a.Task),
		Outcome:   string(a.Outcome),
		Reason:    string(a.Reason),
		Message:   a.Message,
		Attempts:  a.Attempts,
		Worker:    string(a.Worker),
		WaitTime:  Duration(a.WaitTime),
		RunTime:   Duration(a.RunTime),
		Output:    rawOf(a.Payload),
	}
}
