package cwcell

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPredictionsAreNoWorseThanEitherSource asserts that predictions are, within 5%, at least as accurate as the
// estimates and as the usual run time.
func TestPredictionsAreNoWorseThanEitherSource(t *testing.T) {
	cases := []struct {
		name           string
		spread, offset float64 // standard deviations of the log run time, and of the log error of its estimate
	}{
		{"good estimates", 0.5, 0.1},
		{"poor estimates", 0.5, 0.9},
		{"alike runs", 0.1, 0.9},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, 1))
			var p predictor
			var predicted, estimated, usual float64
			for n := range 2000 {
				runTime := 5 * math.Exp(tc.spread*random.NormFloat64())
				estimate := runTime * math.Exp(tc.offset*random.NormFloat64())
				if n >= 200 {
					squaredError := func(seconds float64) float64 { return math.Pow(math.Log(seconds/runTime), 2) }
					predicted += squaredError(p.predict(time.Duration(estimate * float64(time.Second))).Seconds())
					estimated += squaredError(estimate)
					usual += squaredError(5)
				}
				p.observe(time.Duration(estimate*float64(time.Second)), time.Duration(runTime*float64(time.Second)))
			}
			const slack = 1.05 // tolerance, since the averages vary
			is.True(predicted < slack*estimated)
			is.True(predicted < slack*usual)
		})
	}
}
