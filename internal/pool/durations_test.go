package pool

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDurationPrediction checks that predictions follow estimates that correlate with the
// durations, and ignore those that don't.
func TestDurationPrediction(t *testing.T) {
	cases := map[string]struct {
		// slope is the slope of a duration's logarithm over the logarithm of its estimate.
		slope    float64
		estimate time.Duration
		least    time.Duration
		most     time.Duration
	}{
		"accurate estimate":          {1, 8 * time.Second, 7 * time.Second, 9 * time.Second},
		"low uncorrelated estimate":  {0, 400 * time.Millisecond, 1300 * time.Millisecond, 2500 * time.Millisecond},
		"high uncorrelated estimate": {0, 12 * time.Second, 2 * time.Second, 4 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			var model durationModel
			for range 200 {
				deviation := random.NormFloat64()
				estimate := time.Duration(2 * math.Exp(deviation) * float64(time.Second))
				duration := time.Duration(2 * math.Exp(c.slope*deviation+0.1*random.NormFloat64()) * float64(time.Second))
				model.learn(estimate, duration, 1)
			}
			predicted := model.predict(c.estimate)
			require.GreaterOrEqual(t, predicted, c.least)
			require.LessOrEqual(t, predicted, c.most)
			require.LessOrEqual(t, model.Weight, maxDurationWeight+1)
		})
	}
}

func TestEmptyDurationModelReturnsEstimate(t *testing.T) {
	var model durationModel
	require.Equal(t, 3*time.Second, model.predict(3*time.Second))
	model.learn(0, time.Second, 1)
	model.learn(time.Second, 0, 1)
	require.Zero(t, model.Weight)
	require.Zero(t, model.predict(0))
	model.learn(time.Second, 4*time.Second, 1)
	predicted := model.predict(time.Second)
	require.Greater(t, predicted, time.Second)
	require.Less(t, predicted, 2*time.Second, "one run has little weight against the prior")
}

// TestTakeoverKeepsDurationModels checks that a new owner keeps the model with the largest weight
// from several head rows.
func TestTakeoverKeepsDurationModels(t *testing.T) {
	p := poolOfModels()
	p.mergeDurations(nil)
	p.mergeDurations(map[string]*durationModel{"q": {Weight: 9}, "none": nil})
	p.mergeDurations(map[string]*durationModel{"q": {Weight: 2}})
	require.Equal(t, 9.0, p.durations.of("q").Weight)
	require.Nil(t, p.durations.of("none"))
}
