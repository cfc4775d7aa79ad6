package cwcellcodec

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// progress is the stored form of a job's progress. What several tasks have in common is stored once, with the set of their indexes, so
// that the row stays small for the largest jobs.
type progress struct {
	FinishedBelow int            `json:"finished-below,omitempty"`
	Unfinished    indexSet       `json:"unfinished,omitempty"`
	Steps         []stepProgress `json:"steps"`
}

type stepProgress struct {
	Occurrence int        `json:"occurrence,omitempty"`
	Step       int        `json:"step,omitempty"`
	Done       indexSet   `json:"done,omitempty"`
	Failed     failedRuns `json:"failed,omitempty"`
	Lost       []lostRuns `json:"lost,omitempty"`
}

// failedRuns has the indexes of the tasks that have failed, by run number.
type failedRuns map[int]indexSet

// UnmarshalJSON decodes failed runs, also from a list of pairs of task index and run number as older programs write it.
func (f *failedRuns) UnmarshalJSON(data []byte) (err error) {
	if len(data) == 0 || data[0] != '[' {
		return json.Unmarshal(data, (*map[int]indexSet)(f))
	}
	var pairs [][2]int
	if err = json.Unmarshal(data, &pairs); err != nil {
		return err
	}
	*f = failedRuns{}
	for _, p := range pairs {
		(*f)[p[1]] = append((*f)[p[1]], p[0])
	}
	return nil
}

// lostRuns is the stored form of the lost runs that differ only in their tasks.
type lostRuns struct {
	lostRun
	Tasks indexSet `json:"tasks,omitempty"`
	Index int      `json:"task,omitempty"` // of the only task, in place of Tasks in rows of older programs
}

// lostRun is what lost runs may have in common.
type lostRun struct {
	Run         int            `json:"run"`
	Worker      cwmodel.HostID `json:"worker"`
	Incarnation int64          `json:"incarnation"` // milliseconds since 1970
	Early       bool           `json:"early,omitempty"`
	Alone       bool           `json:"alone,omitempty"`
	Started     bool           `json:"started,omitempty"`
	Crashed     bool           `json:"crashed,omitempty"`
	Term        int            `json:"term,omitempty"`
}

// EncodeProgress returns the stored form of a job's progress. The runs of each step must be sorted by task index.
func EncodeProgress(p *cwwork.Progress) ([]byte, error) {
	w := progress{FinishedBelow: p.FinishedBelow, Unfinished: p.Unfinished}
	for n := range p.Steps {
		s := &p.Steps[n]
		w.Steps = append(w.Steps, stepProgress{Occurrence: s.Occurrence, Step: s.Step, Done: s.Done, Failed: groupFailed(s.Failed), Lost: groupLost(s.Lost)})
	}
	return json.Marshal(w)
}

// groupFailed groups failed runs by their number.
func groupFailed(list []cwwork.TaskRun) failedRuns {
	groups := failedRuns{}
	for _, f := range list {
		groups[f.Run] = append(groups[f.Run], f.Index)
	}
	return groups
}

// groupLost groups lost runs by what they have in common.
func groupLost(list []cwwork.LostRun) (groups []lostRuns) {
	for n := range list {
		l := &list[n]
		r := lostRun{l.Run, l.Worker, l.Incarnation.UnixMilli(), l.Early, l.Alone, l.Started, l.Crashed, l.Term}
		at := slices.IndexFunc(groups, func(g lostRuns) bool { return g.lostRun == r })
		if at < 0 {
			at = len(groups)
			groups = append(groups, lostRuns{lostRun: r})
		}
		groups[at].Tasks = append(groups[at].Tasks, l.Index)
	}
	return groups
}

// DecodeProgress decodes the stored form of a job's progress.
func DecodeProgress(data []byte) (p *cwwork.Progress, err error) {
	defer func() { err = eris.Wrap(err, "decode progress") }()
	var w progress
	if err = json.Unmarshal(data, &w); err != nil {
		return nil, err
	}
	p = &cwwork.Progress{FinishedBelow: w.FinishedBelow, Unfinished: w.Unfinished}
	for n := range w.Steps {
		s := &w.Steps[n]
		p.Steps = append(p.Steps, cwwork.StepProgress{Occurrence: s.Occurrence, Step: s.Step, Done: s.Done, Failed: s.Failed.list(), Lost: listLost(s.Lost)})
	}
	return p, nil
}

// list returns the failed runs, sorted by task index and number.
func (f failedRuns) list() (list []cwwork.TaskRun) {
	for run, indexes := range f {
		for _, index := range indexes {
			list = append(list, cwwork.TaskRun{Index: index, Run: run})
		}
	}
	slices.SortFunc(list, compareTaskRuns)
	return list
}

// listLost returns the lost runs of all groups, sorted by task index and number.
func listLost(groups []lostRuns) (list []cwwork.LostRun) {
	for n := range groups {
		g := &groups[n]
		indexes := g.Tasks
		if len(indexes) == 0 {
			indexes = indexSet{g.Index}
		}
		for _, index := range indexes {
			list = append(list, cwwork.LostRun{
				TaskRun: cwwork.TaskRun{Index: index, Run: g.Run}, Worker: g.Worker, Incarnation: time.UnixMilli(g.Incarnation),
				Early: g.Early, Alone: g.Alone, Started: g.Started, Crashed: g.Crashed, Term: g.Term,
			})
		}
	}
	slices.SortFunc(list, func(a, b cwwork.LostRun) int { return compareTaskRuns(a.TaskRun, b.TaskRun) })
	return list
}

// compareTaskRuns orders runs by task index and number.
func compareTaskRuns(a, b cwwork.TaskRun) int {
	return cmp.Or(cmp.Compare(a.Index, b.Index), cmp.Compare(a.Run, b.Run))
}

const (
	// reservedShare is the part of a progress row, one in this many, that is kept free for failed and lost runs.
	reservedShare = 4
	// maxOccurrenceNumberBytes is the longest number of an occurrence with its separator.
	maxOccurrenceNumberBytes = 11
	// maxStepBytes is the size of the progress of a step without its done tasks.
	maxStepBytes = 56
)

// MaxStoredOccurrences returns how many unfinished occurrences of a job, with any of their tasks done, fit in a progress row of the given
// size.
func MaxStoredOccurrences(s *cwwork.Submission, rowBytes int) int {
	size := maxOccurrenceNumberBytes
	for n := range s.Steps {
		size += maxStepBytes + (s.Steps[n].Count/8+1)*4/3 + len("0:") // a bitmap in base64
	}
	return (rowBytes - rowBytes/reservedShare) / size
}
