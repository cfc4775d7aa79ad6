package cwcodec

import (
	"encoding/json"

	"currantward/internal/core/cwmodel"
)

// Submission is the body of a caller's request to run one task.
type Submission struct {
	Profile        string          `json:"profile"`
	Team           string          `json:"team,omitempty"`
	Deadline       Duration        `json:"deadline,omitempty"` // time from the arrival; 0: that of the profile
	IdempotencyKey string          `json:"idempotency-key,omitempty"`
	Demand         *Resources      `json:"demand,omitempty"` // nil: that of the profile
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

// ResponseOf converts a response to its JSON form. An output that is not JSON becomes a JSON string.
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
