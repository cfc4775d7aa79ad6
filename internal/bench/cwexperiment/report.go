package cwexperiment

import (
	"slices"
	"time"

	"currantward/internal/core/cwmodel"
)

// ProfileStats counts the tasks of one profile and their outcomes. Tasks of a flood are not counted.
type ProfileStats struct {
	Arrivals int             // tasks that arrived after the warm-up
	OnTime   int             // done before the deadline
	NotRun   int             // ended without a start
	waits    []time.Duration // from arrival to the first start
}

// WaitQuantile returns a quantile of the time from arrival to the first start.
func (p *ProfileStats) WaitQuantile(q float64) time.Duration { return quantile(p.waits, q) }

// Report is the measured result of one engine in one run.
type Report struct {
	Engine             string
	Starts             int
	Overcommitted      int // starts on workers whose tasks then used more than the capacity
	Events             int // events passed to the engine after the warm-up
	profiles           map[cwmodel.ProfileName]*ProfileStats
	pending            map[cwmodel.TaskID]bool // counted tasks of the base load without a response
	started            map[cwmodel.TaskID]bool // pending tasks that have started at least once
	baseStreams        int                     // streams with an index below this are the base load; 0 counts all streams
	window             time.Duration           // measured part of the run
	spent              time.Duration           // time that the engine took for all events
	decisionTimes      []time.Duration         // the sampled ones, for the quantiles
	utilisationSeconds Utilisation
	measuredTime       time.Duration // time over which utilisationSeconds is summed
}

// Utilisation is the allocated share of the fleet's processors, memory, accelerators and slots.
type Utilisation struct{ processors, memory, accelerators, slots float64 }

// newReport returns an empty report on an engine. Its window is unbounded until the simulation sets it.
func newReport(engine string) *Report {
	return &Report{
		Engine: engine, profiles: map[cwmodel.ProfileName]*ProfileStats{}, pending: map[cwmodel.TaskID]bool{}, started: map[cwmodel.TaskID]bool{}, window: 1 << 62,
	}
}

// quantile returns the q-quantile, with q from 0 to 1, of a sorted list, and 0 for an empty one.
func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	return list[int(q*float64(len(list)-1))]
}

// ProfileStats returns the counts of a profile; the first call for a profile adds them at zero.
func (r *Report) ProfileStats(name cwmodel.ProfileName) *ProfileStats {
	p, ok := r.profiles[name]
	if !ok {
		p = &ProfileStats{}
		r.profiles[name] = p
	}
	return p
}

// recordArrival counts a task unless it belongs to a flood.
func (r *Report) recordArrival(t cwmodel.Task, streamIndex int) {
	if r.baseStreams > 0 && streamIndex >= r.baseStreams {
		return
	}
	r.pending[t.ID] = true
	r.ProfileStats(t.Profile).Arrivals++
}

// recordStart counts a started attempt. The first start of a counted task ends its wait.
func (r *Report) recordStart(t cwmodel.Task, now time.Time) {
	r.Starts++
	if r.pending[t.ID] && !r.started[t.ID] {
		r.started[t.ID] = true
		p := r.ProfileStats(t.Profile)
		p.waits = append(p.waits, now.Sub(t.ArrivedAt))
	}
}

// recordResponse counts the outcome of a counted task: on time, not run, or neither.
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

// recordDecisionTime counts an event and adds the time that the engine took for it to the total; a sampled time is also part of
// the quantiles.
func (r *Report) recordDecisionTime(took time.Duration, sampled bool) {
	r.spent += took
	r.Events++
	if sampled {
		r.decisionTimes = append(r.decisionTimes, took)
	}
}

// recordUtilisation adds the allocated share of total in an interval of length d, in which the allocation did not change.
func (r *Report) recordUtilisation(d time.Duration, allocated, total cwmodel.Resources) {
	shareSeconds := func(part, whole int64) float64 { return d.Seconds() * float64(part) / float64(max(whole, 1)) }
	r.utilisationSeconds.processors += shareSeconds(allocated.MilliProcessors, total.MilliProcessors)
	r.utilisationSeconds.memory += shareSeconds(allocated.MemoryBytes, total.MemoryBytes)
	r.utilisationSeconds.accelerators += shareSeconds(allocated.Accelerators, total.Accelerators)
	r.utilisationSeconds.slots += shareSeconds(allocated.Slots, total.Slots)
	r.measuredTime += d
}

// finish sorts the recorded times, as the quantiles need them.
func (r *Report) finish() {
	slices.Sort(r.decisionTimes)
	for _, p := range r.profiles {
		slices.Sort(p.waits)
	}
}

// MeanUtilisation returns the mean utilisation of each dimension over the measured part of the run.
func (r *Report) MeanUtilisation() (u Utilisation) {
	seconds := max(r.measuredTime.Seconds(), 1e-9)
	return Utilisation{r.utilisationSeconds.processors / seconds, r.utilisationSeconds.memory / seconds, r.utilisationSeconds.accelerators / seconds, r.utilisationSeconds.slots / seconds}
}

// bottleneck returns the highest utilisation among processors, memory and slots.
func (u Utilisation) bottleneck() float64 { return max(u.processors, u.memory, u.slots) }

// DecisionTimeQuantile returns a quantile of the sampled times that the engine took for one event.
func (r *Report) DecisionTimeQuantile(q float64) time.Duration { return quantile(r.decisionTimes, q) }

// EventsPerSecond returns the events handled per second of the engine's own time.
func (r *Report) EventsPerSecond() float64 { return float64(r.Events) / max(r.spent.Seconds(), 1e-9) }
