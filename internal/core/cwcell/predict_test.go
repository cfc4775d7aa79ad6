package cwcell

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPredictionsBeatBothSources holds that predictions of run times are at least as near as the estimates or the usual time.
func TestPredictionsBeatBothSources(t *testing.T) {
	cases := []struct {
		name           string
		spread, offset float64 // of the run times, and of the estimates from them
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
				took := 5 * math.Exp(tc.spread*random.NormFloat64())
				estimate := took * math.Exp(tc.offset*random.NormFloat64())
				if n >= 200 {
					distance := func(seconds float64) float64 { return math.Pow(math.Log(seconds/took), 2) }
					predicted += distance(p.predict(time.Duration(estimate * float64(time.Second))).Seconds())
					estimated += distance(estimate)
					usual += distance(5)
				}
				p.observe(time.Duration(estimate*float64(time.Second)), time.Duration(took*float64(time.Second)))
			}
			const slack = 1.05 // the averages move
			is.True(predicted < slack*estimated)
			is.True(predicted < slack*usual)
		})
	}
}
