package cwestimate

import (
	"time"

	"currantward/internal/core/cwmodel"
)

// Estimator estimates the run times and demands of one profile.
type Estimator struct {
	runTime    Histogram     // in milliseconds
	processors Histogram     // peak usage divided by declared demand
	memory     Histogram     // peak usage divided by declared demand
	lowRunTime time.Duration // zero with too few samples
	ratios     ratios
}

// ratios are the factors from declared to allocated capacity; zero with fewer than minSamples samples.
type ratios struct{ processors, memory float64 }

// Parameters of the estimates.
const (
	minSamples         = 30   // samples before an estimate replaces the declared value
	upperQuantile      = 0.99 // quantile of the usage that an allocation covers, and of HighRunTime
	usageMargin        = 1.05 // factor on a quantile below the declared demand
	minRatio           = 0.1  // an allocation is at least this part of the declared demand
	maxRatio           = 4.0  // an allocation is at most this multiple of the declared demand
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

// AddUsage adds the peak usage of one task. Dimensions whose declared demand or usage is zero are ignored.
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

// demandRatio returns the factor from declared to allocated capacity: the upper quantile of the samples, with a margin if it is
// below 1, within minRatio and maxRatio. It returns 0 with too few samples.
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

// AdjustDemand returns the capacity to allocate for a declared demand by past usage. With too few samples of a dimension it
// returns the declared value.
func (e *Estimator) AdjustDemand(declared cwmodel.Resources) cwmodel.Resources {
	if e.ratios.processors > 0 {
		declared.MilliProcessors = scale(declared.MilliProcessors, e.ratios.processors)
	}
	if e.ratios.memory > 0 {
		declared.MemoryBytes = scale(declared.MemoryBytes, e.ratios.memory)
	}
	return declared
}

// scale multiplies a size by a factor; a positive size stays at least 1.
func scale(size int64, factor float64) int64 {
	if size == 0 {
		return 0
	}
	return max(int64(float64(size)*factor), 1)
}
