package cwestimate

import (
	"time"

	"currantward/internal/core/cwmodel"
)

// Estimator estimates the run times and demands of one profile.
type Estimator struct {
	runTime    Histogram // in milliseconds
	processors Histogram // ratio of used to declared
	memory     Histogram // ratio of used to declared
	lowRunTime time.Duration
	ratios     ratios
}

// ratios are the ratios of learned to declared demands; zero with fewer than minSamples samples.
type ratios struct{ processors, memory float64 }

// Parameters of the estimates.
const (
	minSamples         = 30   // samples before an estimate replaces the declared value
	upperQuantile      = 0.99 // quantile of the usage that an allocation covers, and of HighRunTime
	usageMargin        = 1.05
	minRatio           = 0.1 // an allocation is at least this part of the declared demand
	maxRatio           = 4.0
	lowRunTimeQuantile = 0.25 // most tasks run longer than this quantile
)

// AddRunTime adds the run time of one task.
func (e *Estimator) AddRunTime(d time.Duration) {
	e.runTime.Add(float64(d) / float64(time.Millisecond))
	if e.runTime.Count() >= minSamples {
		e.lowRunTime = time.Duration(e.runTime.Quantile(lowRunTimeQuantile) * float64(time.Millisecond))
	}
}

// LowRunTime returns a run time that most tasks exceed, or 0 with too few samples.
func (e *Estimator) LowRunTime() time.Duration { return e.lowRunTime }

// HighRunTime returns a run time that few tasks exceed, or the declared one with too few samples.
func (e *Estimator) HighRunTime(declared time.Duration) time.Duration {
	if e.runTime.Count() < minSamples {
		return declared
	}
	return time.Duration(e.runTime.Quantile(upperQuantile) * float64(time.Millisecond))
}

// AddUsage adds the peak usage of one task; dimensions without a figure are ignored.
func (e *Estimator) AddUsage(declared, used cwmodel.Resources) {
	if declared.MilliProcessors > 0 && used.MilliProcessors > 0 {
		e.processors.Add(float64(used.MilliProcessors) / float64(declared.MilliProcessors))
		e.ratios.processors = demandRatio(&e.processors)
	}
	if declared.MemoryBytes > 0 && used.MemoryBytes > 0 {
		e.memory.Add(float64(used.MemoryBytes) / float64(declared.MemoryBytes))
		e.ratios.memory = demandRatio(&e.memory)
	}
}

func demandRatio(h *Histogram) float64 {
	if h.Count() < minSamples {
		return 0
	}
	ratio := h.Quantile(upperQuantile)
	if ratio < 1 {
		ratio = min(ratio*usageMargin, 1)
	}
	return min(max(ratio, minRatio), maxRatio)
}

// AdjustDemand returns the capacity to allocate for a declared demand, by the learned ratios.
func (e *Estimator) AdjustDemand(declared cwmodel.Resources) cwmodel.Resources {
	if e.ratios.processors > 0 {
		declared.MilliProcessors = scale(declared.MilliProcessors, e.ratios.processors)
	}
	if e.ratios.memory > 0 {
		declared.MemoryBytes = scale(declared.MemoryBytes, e.ratios.memory)
	}
	return declared
}

func scale(size int64, factor float64) int64 {
	if size == 0 {
		return 0
	}
	return max(int64(float64(size)*factor), 1)
}
