package cwcodec

import (
	"encoding/json"
	"time"

	"currantward/internal/base/cwhttp"
	"currantward/internal/base/cwsketch"
	"currantward/internal/core/cwaccounting"
	"currantward/internal/core/cwmodel"
)

// Counts are the key and the sums of one accounting line, the same in stored rows and in reports.
type Counts struct {
	Day              string   `json:"day"`
	Profile          string   `json:"profile"`
	Team             string   `json:"team"`
	Requests         int64    `json:"asked"`
	Done             int64    `json:"done"`
	Failed           int64    `json:"failed"`
	NotRun           int64    `json:"not-run"`
	Cancelled        int64    `json:"cancelled"`
	Unknown          int64    `json:"unknown"`
	TotalWaitTime    Duration `json:"waited"`
	TotalRunTime     Duration `json:"ran"`
	Overhead         Duration `json:"scheduling"`
	ProcessorHours   float64  `json:"processor-hours"`
	MemoryGiBHours   float64  `json:"memory-gib-hours"`
	AcceleratorHours float64  `json:"accelerator-hours"`
}

// countsOf converts the key and the sums of an accounting line to their JSON form, without the histograms.
func countsOf(line cwaccounting.Line) Counts {
	s, o := line.Sums, line.Sums.Outcomes
	return Counts{
		Day: line.Key.Day, Profile: string(line.Key.Profile), Team: string(line.Key.Team), Requests: s.Requests,
		Done: o.Done, Failed: o.Failed, NotRun: o.NotRun, Cancelled: o.Cancelled, Unknown: o.Unknown,
		TotalWaitTime: Duration(s.TotalWaitTime), TotalRunTime: Duration(s.TotalRunTime), Overhead: Duration(s.Overhead),
		ProcessorHours: s.Allocated.ProcessorHours, MemoryGiBHours: s.Allocated.MemoryGiBHours, AcceleratorHours: s.Allocated.AcceleratorHours,
	}
}

// toModel converts the counts to the domain type, without the histograms.
func (c Counts) toModel() cwaccounting.Line {
	return cwaccounting.Line{
		Key: cwaccounting.Key{Day: c.Day, Profile: cwmodel.ProfileName(c.Profile), Team: cwmodel.TeamName(c.Team)},
		Sums: cwaccounting.Sums{
			Requests:      c.Requests,
			Outcomes:      cwaccounting.Outcomes{Done: c.Done, Failed: c.Failed, NotRun: c.NotRun, Cancelled: c.Cancelled, Unknown: c.Unknown},
			TotalWaitTime: time.Duration(c.TotalWaitTime), TotalRunTime: time.Duration(c.TotalRunTime), Overhead: time.Duration(c.Overhead),
			Allocated: cwaccounting.ResourceHours{ProcessorHours: c.ProcessorHours, MemoryGiBHours: c.MemoryGiBHours, AcceleratorHours: c.AcceleratorHours},
		},
	}
}

// CountersRow is the JSON form of the stored row with the counters of one process for one day and profile.
type CountersRow struct {
	Lines []CountersLine `json:"lines"`
}

// CountersLine is one line of a CountersRow: its counts and its histograms, which are encoded by cwsketch.
type CountersLine struct {
	Counts
	WaitTimes []byte `json:"wait-times,omitempty"`
	RunTimes  []byte `json:"run-times,omitempty"`
}

// EncodeCounters encodes accounting lines as one stored row.
func EncodeCounters(lines []cwaccounting.Line) ([]byte, error) {
	var row CountersRow
	for _, line := range lines {
		row.Lines = append(row.Lines, CountersLine{
			Counts: countsOf(line), WaitTimes: line.Sums.WaitTimes.Encode(), RunTimes: line.Sums.RunTimes.Encode(),
		})
	}
	return json.Marshal(row)
}

// DecodeCounters decodes the accounting lines of one stored row.
func DecodeCounters(data []byte) (lines []cwaccounting.Line, err error) {
	var row CountersRow
	if err = cwhttp.DecodeStrict(data, &row); err != nil {
		return nil, err
	}
	for _, l := range row.Lines {
		line := l.toModel()
		if line.Sums.WaitTimes, err = cwsketch.Decode(l.WaitTimes); err != nil {
			return nil, err
		}
		if line.Sums.RunTimes, err = cwsketch.Decode(l.RunTimes); err != nil {
			return nil, err
		}
		lines = append(lines, line)
	}
	return lines, nil
}

// Writer is the JSON form of the stored row that records until when a process has flushed its counters of one day.
type Writer struct {
	Name      string    `json:"name"`
	Host      string    `json:"host"`
	FlushedAt time.Time `json:"flushed"` // every earlier response is in the stored rows
	Closed    bool      `json:"closed"`  // the process has ended and its rows are complete
}

// EncodeWriter encodes the stored row of a writer as JSON.
func EncodeWriter(w cwaccounting.Writer) ([]byte, error) {
	return json.Marshal(Writer{Name: w.Name, Host: string(w.Host), FlushedAt: w.FlushedAt.UTC(), Closed: w.Closed})
}

// DecodeWriter decodes the stored row of a writer.
func DecodeWriter(data []byte) (w cwaccounting.Writer, err error) {
	var document Writer
	err = cwhttp.DecodeStrict(data, &document)
	return cwaccounting.Writer{Name: document.Name, Host: cwmodel.HostID(document.Host), FlushedAt: document.FlushedAt, Closed: document.Closed}, err
}

// TotalsLine is one line of the accounting report of a day, with quantiles in place of the histograms.
type TotalsLine struct {
	Counts
	WaitP50 Duration `json:"wait-p50"`
	WaitP95 Duration `json:"wait-p95"`
	WaitP99 Duration `json:"wait-p99"`
	RunP50  Duration `json:"run-p50"`
	RunP95  Duration `json:"run-p95"`
	RunP99  Duration `json:"run-p99"`
}

// IncompleteHost is a host whose latest responses may be missing from the totals.
type IncompleteHost struct {
	Host   string    `json:"host"`
	Writer string    `json:"writer"`
	Since  time.Time `json:"since"`
}

// Totals is the JSON form of the accounting report of one day.
type Totals struct {
	Day        string           `json:"day"`
	From       time.Time        `json:"from"`
	To         time.Time        `json:"to"`
	AsOf       time.Time        `json:"as-of"`
	Incomplete []IncompleteHost `json:"incomplete"`
	Lines      []TotalsLine     `json:"lines"`
}

// TotalsOf converts the accounting of a day to its JSON form.
func TotalsOf(day cwaccounting.Day) Totals {
	document := Totals{Day: day.Day, From: day.From, To: day.To, AsOf: day.AsOf, Incomplete: []IncompleteHost{}, Lines: []TotalsLine{}}
	for _, i := range day.Incomplete {
		document.Incomplete = append(document.Incomplete, IncompleteHost{Host: string(i.Host), Writer: i.Writer, Since: i.Since})
	}
	for _, line := range day.Lines {
		wait, run := line.Sums.WaitTimes, line.Sums.RunTimes
		document.Lines = append(document.Lines, TotalsLine{
			Counts:  countsOf(line),
			WaitP50: Duration(wait.Quantile(0.5)), WaitP95: Duration(wait.Quantile(0.95)), WaitP99: Duration(wait.Quantile(0.99)),
			RunP50: Duration(run.Quantile(0.5)), RunP95: Duration(run.Quantile(0.95)), RunP99: Duration(run.Quantile(0.99)),
		})
	}
	return document
}
