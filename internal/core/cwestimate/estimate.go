package cwestimate

import (
	"time"

	"currantward/internal/core/cwmodel"
)

// Estimator is what is known of one profile.
type Estimator struct {
	runTime    Histogram // in milliseconds
	processors Histogram // used over declared
	memory     Histogram // used over declared
	typical    time.Duration
	ratios     ratios
}

// ratios are the learned sizes over the declared ones; zero while too little is known.
type ratios struct{ processors, memory float64 }

// Limits on what is learned.
const (
	minSamples   = 30   // samples before an estimate replaces a declaration
	sizeQuantile = 0.99 // of the sizes that a reservation covers
	sizeMargin   = 1.05
	minRatio     = 0.1 // a reservation is never below this part of the declared size
	maxRatio     = 4.0
	timeQuantile = 0.25 // most tasks run longer than this
)

// AddRunTime counts the run time of one task.
func (e *Estimator) AddRunTime(d time.Duration) {
	e.runTime.Add(float64(d) / float64(time.Millisecond))
	if e.runTime.Count() >= minSamples {
		e.typical = time.Duration(e.runTime.Quantile(timeQuantile) * float64(time.Millisecond))
	}
}

// LowRunTime returns a run time that most tasks exceed, or 0 while too little is known.
func (e *Estimator) LowRunTime() time.Duration { return e.typical }

// HighRunTime returns a run time that few tasks exceed, or the declared one while too little is known.
func (e *Estimator) HighRunTime(declared time.Duration) time.Duration {
	if e.runTime.Count() < minSamples {
		return declared
	}
	return time.Duration(e.runTime.Quantile(sizeQuantile) * float64(time.Millisecond))
}

// AddUsage counts the most that one task was seen to use; a report without figures is ignored.
func (e *Estimator) AddUsage(declared, used cwmodel.Resources) {
	if declared.MilliProcessors > 0 && used.MilliProcessors > 0 {
		e.processors.Add(float64(used.MilliProcessors) / float64(declared.MilliProcessors))
		e.ratios.processors = ratioOf(&e.processors)
	}
	if declared.MemoryBytes > 0 && used.MemoryBytes > 0 {
		e.memory.Add(float64(used.MemoryBytes) / float64(declared.MemoryBytes))
		e.ratios.memory = ratioOf(&e.memory)
	}
}

func ratioOf(h *Histogram) float64 {
	if h.Count() < minSamples {
		return 0
	}
	seen := h.Quantile(sizeQuantile)
	if seen < 1 {
		seen = min(seen*sizeMargin, 1)
	}
	return min(max(seen, minRatio), maxRatio)
}

// AdjustDemand returns what to reserve for a declared demand.
func (e *Estimator) AdjustDemand(declared cwmodel.Resources) cwmodel.Resources {
	if e.ratios.processors > 0 {
		declared.MilliProcessors = scale(declared.MilliProcessors, e.ratios.processors)
	}
	if e.ratios.memory > 0 {
		declared.MemoryBytes = scale(declared.MemoryBytes, e.ratios.memory)
	}
	return declared
}

func scale(size int64, by float64) int64 {
	if size == 0 {
		return 0
	}
	return max(int64(float64(size)*by), 1)
}
