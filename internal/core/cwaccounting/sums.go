package cwaccounting

import (
	"time"

	"currantward/internal/base/cwsketch"
	"currantward/internal/core/cwmodel"
)

// Sums are the totals of one line.
type Sums struct {
	Requests      int64
	Outcomes      Outcomes
	TotalWaitTime time.Duration // over the responses whose task started
	TotalRunTime  time.Duration
	Overhead      time.Duration // latency spent neither waiting for capacity nor running
	Allocated     ResourceHours
	WaitTimes     cwsketch.Sketch
	RunTimes      cwsketch.Sketch
}

// Outcomes counts the responses by outcome.
type Outcomes struct {
	Done, Failed, NotRun, Cancelled, Unknown int64
}

// ResourceHours is the capacity allocated to tasks multiplied by their run time.
type ResourceHours struct {
	ProcessorHours   float64
	MemoryGiBHours   float64
	AcceleratorHours float64
}

// count adds one response. Times and capacity are added only if the task has had an attempt.
func (s *Sums) count(e Event) {
	s.Requests++
	s.Outcomes.count(e.Response.Outcome)
	if e.Response.Attempts == 0 {
		return
	}
	s.TotalWaitTime += e.Response.WaitTime
	s.TotalRunTime += e.Response.RunTime
	s.Overhead += max(e.Latency-e.Response.WaitTime-e.Response.RunTime, 0)
	s.Allocated.count(e.Demand, e.Response.RunTime)
	s.WaitTimes.Add(e.Response.WaitTime)
	s.RunTimes.Add(e.Response.RunTime)
}

// add adds the totals of another line; it fails if the histograms cannot be merged.
func (s *Sums) add(o Sums) error {
	s.Requests += o.Requests
	s.Outcomes.add(o.Outcomes)
	s.TotalWaitTime += o.TotalWaitTime
	s.TotalRunTime += o.TotalRunTime
	s.Overhead += o.Overhead
	s.Allocated.add(o.Allocated)
	if err := s.WaitTimes.Merge(o.WaitTimes); err != nil {
		return err
	}
	return s.RunTimes.Merge(o.RunTimes)
}

// count adds one response.
func (o *Outcomes) count(outcome cwmodel.Outcome) {
	switch outcome {
	case cwmodel.OutcomeDone:
		o.Done++
	case cwmodel.OutcomeFailed:
		o.Failed++
	case cwmodel.OutcomeNotRun:
		o.NotRun++
	case cwmodel.OutcomeCancelled:
		o.Cancelled++
	case cwmodel.OutcomeUnknown:
		o.Unknown++
	}
}

// add adds other counts.
func (o *Outcomes) add(p Outcomes) {
	o.Done += p.Done
	o.Failed += p.Failed
	o.NotRun += p.NotRun
	o.Cancelled += p.Cancelled
	o.Unknown += p.Unknown
}

// count adds the allocated capacity of one task over its run time.
func (h *ResourceHours) count(demand cwmodel.Resources, ran time.Duration) {
	const milli, gib = 1000, 1 << 30
	hours := ran.Hours()
	h.ProcessorHours += float64(demand.MilliProcessors) / milli * hours
	h.MemoryGiBHours += float64(demand.MemoryBytes) / gib * hours
	h.AcceleratorHours += float64(demand.Accelerators) * hours
}

// add adds other totals.
func (h *ResourceHours) add(o ResourceHours) {
	h.ProcessorHours += o.ProcessorHours
	h.MemoryGiBHours += o.MemoryGiBHours
	h.AcceleratorHours += o.AcceleratorHours
}
