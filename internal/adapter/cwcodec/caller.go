package cwcodec

import (
	"encoding/json"

	"currantward/internal/core/cwmodel"
)

// Submission is the body of a request to run one task.
type Submission struct {
	Profile        string          `json:"profile"`
	Team           string          `json:"team,omitempty"`
	Deadline       Duration        `json:"deadline,omitempty"` // from the arrival; default: the profile's
	IdempotencyKey string          `json:"idempotency-key,omitempty"`
	Demand         *Resources      `json:"demand,omitempty"` // default: the profile's
	Payload        json.RawMessage `json:"payload,omitempty"`
}

// Response is the body of the response to a caller.
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

// ResponseOf returns the document of r; an output that is not JSON is encoded as a JSON string.
func ResponseOf(r cwmodel.Response) Response {
	return Response{
		RequestID: string(r.Task),
		Outcome:   string(r.Outcome),
		Reason:    string(r.Reason),
		Message:   r.Message,
		Attempts:  r.Attempts,
		Worker:    string(r.Worker),
		WaitTime:  Duration(r.WaitTime),
		RunTime:   Duration(r.RunTime),
		Output:    toRawJSON(r.Payload),
	}
}
