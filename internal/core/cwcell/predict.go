package cwcell

import (
	"math"
	"time"

	"currantward/internal/core/cwwork"
)

// predictor learns how long the runs of one queue take. It weighs the callers' estimates against the queue's usual time by
// how far each was off before.
type predictor struct {
	meanLogRatio  float64 // logarithm of run time in proportion to its estimate, averaged
	meanLogTime   float64 // logarithm of run time in seconds, averaged
	ratioVariance float64 // squared distance of a run from what its estimate and the ratio say, averaged
	timeVariance  float64 // squared distance of a run from the usual time, averaged
	observations  int
}

const (
	// minObservationWeight is the part of the newest run in an average, once there are enough.
	minObservationWeight = 0.03
	// minObservations is how many runs are seen before predictions depart from the estimates.
	minObservations = 20
)

// observe learns from one run that was done.
func (p *predictor) observe(estimate, took time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	p.observations++
	weight := max(minObservationWeight, 1/float64(p.observations))
	seconds := math.Log(took.Seconds())
	ratio := seconds - math.Log(estimate.Seconds())
	if p.observations > 1 {
		p.ratioVariance += weight * ((ratio-p.meanLogRatio)*(ratio-p.meanLogRatio) - p.ratioVariance)
		p.timeVariance += weight * ((seconds-p.meanLogTime)*(seconds-p.meanLogTime) - p.timeVariance)
	}
	p.meanLogRatio += weight * (ratio - p.meanLogRatio)
	p.meanLogTime += weight * (seconds - p.meanLogTime)
}

// predict returns how long a run with the given estimate is expected to take.
func (p *predictor) predict(estimate time.Duration) time.Duration {
	total := p.ratioVariance + p.timeVariance
	if estimate <= 0 || p.observations < minObservations || total <= 0 {
		return estimate
	}
	byEstimate := math.Log(estimate.Seconds()) + p.meanLogRatio
	trust := p.timeVariance / total // in the estimate: the less it was off, the more
	return time.Duration(math.Exp(trust*byEstimate+(1-trust)*p.meanLogTime) * float64(time.Second))
}

// expectedRunTime returns how long a task of the step is expected to run.
func (c *Cell) expectedRunTime(j *job, s *cwwork.Step) time.Duration {
	return c.queue(j.Queue).predictor.predict(s.Estimate)
}
