package cwcell

import (
	"math"
	"time"

	"currantward/internal/core/cwwork"
)

// predictor estimates the run times of one queue. It weights the callers' estimates and the queue's mean run time by
// their past errors.
type predictor struct {
	meanLogRatio  float64 // moving average of the logarithm of run time over estimate
	meanLogTime   float64 // moving average of the logarithm of the run time in seconds
	ratioVariance float64 // moving average of the squared error of the estimate corrected by meanLogRatio
	timeVariance  float64 // moving average of the squared error of meanLogTime
	observations  int     // number of observed runs
}

const (
	// minObservationWeight is the weight of the newest run in an average, once there are enough runs.
	minObservationWeight = 0.03
	// minObservations is the number of runs before predictions depart from the estimates.
	minObservations = 20
)

// observe updates the averages with the run time of one successful run and the caller's estimate of it.
func (p *predictor) observe(estimate, runTime time.Duration) {
	if estimate <= 0 || runTime <= 0 {
		return
	}
	p.observations++
	weight := max(minObservationWeight, 1/float64(p.observations))
	logSeconds := math.Log(runTime.Seconds())
	logRatio := logSeconds - math.Log(estimate.Seconds())
	if p.observations > 1 {
		p.ratioVariance += weight * ((logRatio-p.meanLogRatio)*(logRatio-p.meanLogRatio) - p.ratioVariance)
		p.timeVariance += weight * ((logSeconds-p.meanLogTime)*(logSeconds-p.meanLogTime) - p.timeVariance)
	}
	p.meanLogRatio += weight * (logRatio - p.meanLogRatio)
	p.meanLogTime += weight * (logSeconds - p.meanLogTime)
}

// predict returns the expected run time of a run with the given estimate: the estimate itself before minObservations runs,
// then a weighted geometric mean of the corrected estimate and the queue's mean run time.
func (p *predictor) predict(estimate time.Duration) time.Duration {
	total := p.ratioVariance + p.timeVariance
	if estimate <= 0 || p.observations < minObservations || total <= 0 {
		return estimate
	}
	logEstimate := math.Log(estimate.Seconds()) + p.meanLogRatio
	estimateWeight := p.timeVariance / total // rises with the error of the mean run time
	return time.Duration(math.Exp(estimateWeight*logEstimate+(1-estimateWeight)*p.meanLogTime) * float64(time.Second))
}

// expectedRunTime returns the expected run time of a task of the step.
func (c *Cell) expectedRunTime(j *job, s *cwwork.Step) time.Duration {
	return c.queue(j.Queue).predictor.predict(s.Estimate)
}
