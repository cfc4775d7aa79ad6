package cwcodec

import (
	"encoding/json"
	"time"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwtally"
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

// Answer is what a caller is told.
type Answer struct {
	RequestID string          `json:"request-id"`
	Outcome   string          `json:"outcome"`
	Reason    string          `json:"reason,omitempty"`
	Message   string          `json:"message,omitempty"`
	Attempts  int             `json:"attempts"`
	Worker    string          `json:"worker,omitempty"`
	Waited    Duration        `json:"waited"`
	Ran       Duration        `json:"ran"`
	Answer    json.RawMessage `json:"answer,omitempty"`
}

// AnswerOf returns the document of an answer; a payload that is not JSON is written as a JSON string.
func AnswerOf(a cwmodel.Answer) Answer {
	return Answer{
		RequestID: string(a.Task),
		Outcome:   string(a.Outcome),
		Reason:    string(a.Reason),
		Message:   a.Message,
		Attempts:  a.Attempts,
		Worker:    string(a.Worker),
		Waited:    Duration(a.Waited),
		Ran:       Duration(a.Ran),
		Answer:    rawOf(a.Payload),
	}
}

// TotalsLine is one line of the day's totals.
type TotalsLine struct {
	Day       string   `json:"day"`
	Profile   string   `json:"profile"`
	Team      string   `json:"team"`
	Asked     int64    `json:"asked"`
	Done      int64    `json:"done"`
	Failed    int64    `json:"failed"`
	NotRun    int64    `json:"not-run"`
	Cancelled int64    `json:"cancelled"`
	Unknown   int64    `json:"unknown"`
	Waited    Duration `json:"waited"`
	Ran       Duration `json:"ran"`
}

// Totals is a list of lines.
type Totals struct {
	Lines []TotalsLine `json:"lines"`
}

// TotalsOf returns the document of lines.
func TotalsOf(lines []cwtally.Line) Totals {
	document := Totals{Lines: []TotalsLine{}}
	for _, line := range lines {
		o := line.Sums.Outcomes
		document.Lines = append(document.Lines, TotalsLine{
			Day: line.Key.Day, Profile: string(line.Key.Profile), Team: string(line.Key.Team), Asked: line.Sums.Asked,
			Done: o.Done, Failed: o.Failed, NotRun: o.NotRun, Cancelled: o.Cancelled, Unknown: o.Unknown,
			Waited: Duration(line.Sums.Waited), Ran: Duration(line.Sums.Ran),
		})
	}
	return document
}

// Core returns the lines.
func (t Totals) Core() (lines []cwtally.Line) {
	for _, l := range t.Lines {
		lines = append(lines, cwtally.Line{
			Key: cwtally.Key{Day: l.Day, Profile: cwmodel.ProfileName(l.Profile), Team: cwmodel.TeamName(l.Team)},
			Sums: cwtally.Sums{
				Asked:    l.Asked,
				Outcomes: cwtally.Outcomes{Done: l.Done, Failed: l.Failed, NotRun: l.NotRun, Cancelled: l.Cancelled, Unknown: l.Unknown},
				Waited:   time.Duration(l.Waited), Ran: time.Duration(l.Ran),
			},
		})
	}
	return lines
}
