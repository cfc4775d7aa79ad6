package cwtally

import (
	"time"

	"currantward/internal/base/cwsketch"
	"currantward/internal/core/cwmodel"
)

// Sums are the counts of one line.
type Sums struct {
	Asked     int64
	Outcomes  Outcomes
	Waited    time.Duration // summed over the answers whose task started
	Ran       time.Duration
	Overhead  time.Duration // what the scheduling cost: neither waiting for room nor running
	Packed    Packed
	WaitTimes cwsketch.Sketch
	RunTimes  cwsketch.Sketch
}

// Outcomes counts the answers of each outcome.
type Outcomes struct {
	Done, Failed, NotRun, Cancelled, Unknown int64
}

// Packed is what tasks had reserved while they ran.
type Packed struct {
	ProcessorHours   float64
	MemoryGiBHours   float64
	AcceleratorHours float64
}

func (s *Sums) count(e Event) {
	s.Asked++
	s.Outcomes.count(e.Answer.Outcome)
	if e.Answer.Attempts == 0 {
		return
	}
	s.Waited += e.Answer.WaitTime
	s.Ran += e.Answer.RunTime
	s.Overhead += max(e.Took-e.Answer.WaitTime-e.Answer.RunTime, 0)
	s.Packed.count(e.Demand, e.Answer.RunTime)
	s.WaitTimes.Add(e.Answer.WaitTime)
	s.RunTimes.Add(e.Answer.RunTime)
}

func (s *Sums) add(o Sums) error {
	s.Asked += o.Asked
	s.Outcomes.add(o.Outcomes)
	s.Waited += o.Waited
	s.Ran += o.Ran
	s.Overhead += o.Overhead
	s.Packed.add(o.Packed)
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

func (p *Packed) count(demand cwmodel.Resources, ran time.Duration) {
	const milli, gib = 1000, 1 << 30
	hours := ran.Hours()
	p.ProcessorHours += float64(demand.MilliProcessors) / milli * hours
	p.MemoryGiBHours += float64(demand.MemoryBytes) / gib * hours
	p.AcceleratorHours += float64(demand.Accelerators) * hours
}

func (p *Packed) add(o Packed) {
	p.ProcessorHours += o.ProcessorHours
	p.MemoryGiBHours += o.MemoryGiBHours
	p.AcceleratorHours += o.AcceleratorHours
}
