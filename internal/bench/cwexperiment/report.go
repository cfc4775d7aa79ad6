package cwexperiment

import (
	"slices"
	"time"

	"currantward/internal/core/cwmodel"
)

// ProfileStats counts the requests of one profile and their outcomes. Tasks of a flood are not counted.
type ProfileStats struct {
	Arrivals int
	OnTime   int // done before the deadline
	NotRun   int
	waits    []time.Duration
}

// WaitQuantile returns a quantile of the time from arrival to the first start.
func (p *ProfileStats) WaitQuantile(q float64) time.Duration { return quantile(p.waits, q) }

// Report is the measured result of one engine in one run.
type Report struct {
	Engine        string
	Starts        int
	Overcommitted int // starts on workers whose tasks then used more than the capacity
	Events        int
	profiles      map[cwmodel.ProfileName]*ProfileStats
	pending       map[cwmodel.TaskID]bool // counted tasks of the base load without a response
	started       map[cwmodel.TaskID]bool
	baseStreams   int // streams below this number are the base load; 0 for all
	window        time.Duration
	busy          time.Duration // time that the engine took for events
	costs         []time.Duration
	usageSeconds  Utilisation
	measuredTime  time.Duration // time over which usageSeconds is summed
}

// Utilisation is the share in use of the fleet's processors, memory, accelerators and slots.
type Utilisation struct{ processors, memory, accelerators, slots float64 }

func newReport(engine string) *Report {
	return &Report{
		Engine: engine, profiles: map[cwmodel.ProfileName]*ProfileStats{}, pending: map[cwmodel.TaskID]bool{}, started: map[cwmodel.TaskID]bool{}, window: 1 << 62,
	}
}

func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	return list[int(q*float64(len(list)-1))]
}

// ProfileStats returns the counts of a profile.
func (r *Report) ProfileStats(name cwmodel.ProfileName) *ProfileStats {
	p, ok := r.profiles[name]
	if !ok {
		p = &ProfileStats{}
		r.profiles[name] = p
	}
	return p
}

func (r *Report) recordArrival(t cwmodel.Task, stream int) {
	if r.baseStreams > 0 && stream >= r.baseStreams {
		return
	}
	r.pending[t.ID] = true
	r.ProfileStats(t.Profile).Arrivals++
}

func (r *Report) recordStart(t cwmodel.Task, now time.Time) {
	r.Starts++
	if r.pending[t.ID] && !r.started[t.ID] {
		r.started[t.ID] = true
		p := r.ProfileStats(t.Profile)
		p.waits = append(p.waits, now.Sub(t.ArrivedAt))
	}
}

func (r *Report) recordResponse(t cwmodel.Task, response cwmodel.Response, now time.Time) {
	if !r.pending[t.ID] {
		return
	}
	delete(r.pending, t.ID)
	delete(r.started, t.ID)
	p := r.ProfileStats(t.Profile)
	switch {
	case response.Outcome == cwmodel.OutcomeNotRun:
		p.NotRun++
	case response.Outcome == cwmodel.OutcomeDone && (t.Deadline.IsZero() || !now.After(t.Deadline)):
		p.OnTime++
	}
}

func (r *Report) recordCost(took time.Duration, timed bool) {
	r.busy += took
	r.Events++
	if timed {
		r.costs = append(r.costs, took)
	}
}

func (r *Report) recordUtilisation(d time.Duration, allocated, total cwmodel.Resources) {
	shareSeconds := func(used, whole int64) float64 { return d.Seconds() * float64(used) / float64(max(whole, 1)) }
	r.usageSeconds.processors += shareSeconds(allocated.MilliProcessors, total.MilliProcessors)
	r.usageSeconds.memory += shareSeconds(allocated.MemoryBytes, total.MemoryBytes)
	r.usageSeconds.accelerators += shareSeconds(allocated.Accelerators, total.Accelerators)
	r.usageSeconds.slots += shareSeconds(allocated.Slots, total.Slots)
	r.measuredTime += d
}

func (r *Report) finish() {
	slices.Sort(r.costs)
	for _, p := range r.profiles {
		slices.Sort(p.waits)
	}
}

// MeanUtilisation returns the mean utilisation of each dimension over the measured part of the run.
func (r *Report) MeanUtilisation() (u Utilisation) {
	seconds := max(r.measuredTime.Seconds(), 1e-9)
	return Utilisation{r.usageSeconds.processors / seconds, r.usageSeconds.memory / seconds, r.usageSeconds.accelerators / seconds, r.usageSeconds.slots / seconds}
}

// bottleneck returns the highest utilisation among processors, memory and slots.
func (u Utilisation) bottleneck() float64 { return max(u.processors, u.memory, u.slots) }

// DecisionTimeQuantile returns a quantile of the time that the engine took for one event.
func (r *Report) DecisionTimeQuantile(q float64) time.Duration { return quantile(r.costs, q) }

// EventsPerSecond returns the events handled per second of the engine's own time.
func (r *Report) EventsPerSecond() float64 { return float64(r.Events) / max(r.busy.Seconds(), 1e-9) }
