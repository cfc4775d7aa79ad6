package cwexperiment

import (
	"slices"
	"time"

	"currantward/internal/core/cwmodel"
)

// ProfileStats is what one profile got; tasks of a flood are not counted.
type ProfileStats struct {
	Requests int
	OnTime   int // done before the deadline
	NotRun   int
	waits    []time.Duration
}

// WaitQuantile returns a quantile of the time from arrival to the first start.
func (l *ProfileStats) WaitQuantile(q float64) time.Duration { return quantile(l.waits, q) }

// Report is what one engine did in one run.
type Report struct {
	Engine        string
	Starts        int
	Overcommitted int // starts on workers whose tasks then used more than there is
	Events        int
	lines         map[cwmodel.ProfileName]*ProfileStats
	base          map[cwmodel.TaskID]bool // tasks of the usual load that are counted and not answered yet
	began         map[cwmodel.TaskID]bool
	streams       int // streams below this number are usual load; 0 for all
	window        time.Duration
	spent         time.Duration
	costs         []time.Duration
	area          Utilisation
	over          time.Duration
}

// Utilisation holds shares of the fleet's processors, memory, accelerators and slots.
type Utilisation struct{ processors, memory, accelerators, slots float64 }

func newReport(engine string) *Report {
	return &Report{
		Engine: engine, lines: map[cwmodel.ProfileName]*ProfileStats{}, base: map[cwmodel.TaskID]bool{}, began: map[cwmodel.TaskID]bool{}, window: 1 << 62,
	}
}

func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	return list[int(q*float64(len(list)-1))]
}

// ProfileStats returns the line of a profile.
func (r *Report) ProfileStats(name cwmodel.ProfileName) *ProfileStats {
	l, ok := r.lines[name]
	if !ok {
		l = &ProfileStats{}
		r.lines[name] = l
	}
	return l
}

func (r *Report) ask(t cwmodel.Task, stream int) {
	if r.streams > 0 && stream >= r.streams {
		return
	}
	r.base[t.ID] = true
	r.ProfileStats(t.Profile).Requests++
}

func (r *Report) start(t cwmodel.Task, now time.Time) {
	r.Starts++
	if r.base[t.ID] && !r.began[t.ID] {
		r.began[t.ID] = true
		l := r.ProfileStats(t.Profile)
		l.waits = append(l.waits, now.Sub(t.ArrivedAt))
	}
}

func (r *Report) answer(t cwmodel.Task, answer cwmodel.Response, now time.Time) {
	if !r.base[t.ID] {
		return
	}
	delete(r.base, t.ID)
	delete(r.began, t.ID)
	l := r.ProfileStats(t.Profile)
	switch {
	case answer.Outcome == cwmodel.OutcomeNotRun:
		l.NotRun++
	case answer.Outcome == cwmodel.OutcomeDone && (t.Deadline.IsZero() || !now.After(t.Deadline)):
		l.OnTime++
	}
}

func (r *Report) spend(took time.Duration, timed bool) {
	r.spent += took
	r.Events++
	if timed {
		r.costs = append(r.costs, took)
	}
}

func (r *Report) use(d time.Duration, in, total cwmodel.Resources) {
	part := func(used, whole int64) float64 { return d.Seconds() * float64(used) / float64(max(whole, 1)) }
	r.area.processors += part(in.MilliProcessors, total.MilliProcessors)
	r.area.memory += part(in.MemoryBytes, total.MemoryBytes)
	r.area.accelerators += part(in.Accelerators, total.Accelerators)
	r.area.slots += part(in.Slots, total.Slots)
	r.over += d
}

func (r *Report) finish() {
	slices.Sort(r.costs)
	for _, l := range r.lines {
		slices.Sort(l.waits)
	}
}

// MeanUtilisation returns the mean use of each dimension over the counted part of the run.
func (r *Report) MeanUtilisation() (u Utilisation) {
	seconds := max(r.over.Seconds(), 1e-9)
	return Utilisation{r.area.processors / seconds, r.area.memory / seconds, r.area.accelerators / seconds, r.area.slots / seconds}
}

// bottleneck returns the use of the host dimension, processors, memory or slots, that is used most.
func (u Utilisation) bottleneck() float64 { return max(u.processors, u.memory, u.slots) }

// CostQuantile returns a quantile of the time that one event took.
func (r *Report) CostQuantile(q float64) time.Duration { return quantile(r.costs, q) }

// EventsPerSecond returns events handled per second of the engine's own time.
func (r *Report) EventsPerSecond() float64 { return float64(r.Events) / max(r.spent.Seconds(), 1e-9) }
