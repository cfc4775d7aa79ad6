package cwcell

import (
	"math"
	"time"

	"currantward/internal/core/cwwork"
)

// predictor learns how long the runs of one queue take. It weighs the callers' estimates against the queue's usual time by
// how far each was off before.
type predictor struct {
	ratio        float64 // logarithm of run time in proportion to its estimate, averaged
	usual        float64 // logarithm of run time in seconds, averaged
	ratioSpread  float64 // squared distance of a run from what its estimate and the ratio say, averaged
	usualSpread  float64 // squared distance of a run from the usual time, averaged
	observations int
}

const (
	// learnWeight is the part of the newest run in an average, once there are enough.
	learnWeight = 0.03
	// enoughRuns is how many runs are seen before predictions depart from the estimates.
	enoughRuns = 20
)

// observe learns from one run that was done.
func (p *predictor) observe(estimate, took time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	p.observations++
	weight := max(learnWeight, 1/float64(p.observations))
	seconds := math.Log(took.Seconds())
	ratio := seconds - math.Log(estimate.Seconds())
	if p.observations > 1 {
		p.ratioSpread += weight * ((ratio-p.ratio)*(ratio-p.ratio) - p.ratioSpread)
		p.usualSpread += weight * ((seconds-p.usual)*(seconds-p.usual) - p.usualSpread)
	}
	p.ratio += weight * (ratio - p.ratio)
	p.usual += weight * (seconds - p.usual)
}

// predict returns how long a run with the given estimate is expected to take.
func (p *predictor) predict(estimate time.Duration) time.Duration {
	total := p.ratioSpread + p.usualSpread
	if estimate <= 0 || p.observations < enoughRuns || total <= 0 {
		return estimate
	}
	byEstimate := math.Log(estimate.Seconds()) + p.ratio
	trust := p.usualSpread / total // in the estimate: the less it was off, the more
	return time.Duration(math.Exp(trust*byEstimate+(1-trust)*p.usual) * float64(time.Second))
}

// expected returns how long a task of the step is expected to run.
func (c *Cell) expected(j *job, s *cwwork.Step) time.Duration {
	return c.queue(j.Queue).predictor.predict(s.Estimate)
}
