package cwaccounting

import (
	"time"

	"currantward/internal/base/cwsketch"
	"currantward/internal/core/cwmodel"
)

// Sums are the counts of one line.
type Sums struct {
	Requests      int64
	Outcomes      Outcomes
	TotalWaitTime time.Duration // summed over the answers whose task started
	TotalRunTime  time.Duration
	Overhead      time.Duration // what the scheduling cost: neither waiting for room nor running
	Allocated     ResourceHours
	WaitTimes     cwsketch.Sketch
	RunTimes      cwsketch.Sketch
}

// Outcomes counts the answers of each outcome.
type Outcomes struct {
	Done, Failed, NotRun, Cancelled, Unknown int64
}

// ResourceHours is what tasks had reserved while they ran.
type ResourceHours struct {
	ProcessorHours   float64
	MemoryGiBHours   float64
	AcceleratorHours float64
}

func (s *Sums) count(e Event) {
	s.Requests++
	s.Outcomes.count(e.Answer.Outcome)
	if e.Answer.Attempts == 0 {
		return
	}
	s.TotalWaitTime += e.Answer.WaitTime
	s.TotalRunTime += e.Answer.RunTime
	s.Overhead += max(e.Latency-e.Answer.WaitTime-e.Answer.RunTime, 0)
	s.Allocated.count(e.Demand, e.Answer.RunTime)
	s.WaitTimes.Add(e.Answer.WaitTime)
	s.RunTimes.Add(e.Answer.RunTime)
}

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

func (o *Outcomes) add(p Outcomes) {
	o.Done += p.Done
	o.Failed += p.Failed
	o.NotRun += p.NotRun
	o.Cancelled += p.Cancelled
	o.Unknown += p.Unknown
}

func (p *ResourceHours) count(demand cwmodel.Resources, ran time.Duration) {
	const milli, gib = 1000, 1 << 30
	hours := ran.Hours()
	p.ProcessorHours += float64(demand.MilliProcessors) / milli * hours
	p.MemoryGiBHours += float64(demand.MemoryBytes) / gib * hours
	p.AcceleratorHours += float64(demand.Accelerators) * hours
}

func (p *ResourceHours) add(o ResourceHours) {
	p.ProcessorHours += o.ProcessorHours
	p.MemoryGiBHours += o.MemoryGiBHours
	p.AcceleratorHours += o.AcceleratorHours
}
