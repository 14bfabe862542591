package pool

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// TestPredictionsOfOddModelsStayInRange: a head row may hold a model that no owner has learned. Whatever
// is predicted from it must be a duration of a task, and what is learned since must be usable.
func TestPredictionsOfOddModelsStayInRange(t *testing.T) {
	for name, model := range map[string]durationModel{
		"negative weight": {Weight: -2, X: 5, Y: 9, XX: -3, XY: 7, SquaredErrors: -50}, "weight of the prior": {Weight: -priorLevelWeight},
		"huge level": {Weight: 1, Y: 1e300}, "huge weight": {Weight: 1e308, X: 1e308, Y: -1e308, XX: 1e308, XY: 1e308, SquaredErrors: 1e308},
		"huge slope": {Weight: 60, XX: 1e-300, XY: 1e300}, "opposite sums": {Weight: 1, X: math.MaxFloat64, Y: -math.MaxFloat64, XX: math.MaxFloat64, XY: math.MaxFloat64},
		"shortest": {Weight: 60, Y: -60_000, XX: 1, XY: 1}, "negative spread": {Weight: 3, XX: -priorSlopeWeight},
	} {
		t.Run(name, func(t *testing.T) {
			p := poolOfModels()
			p.mergeDurations(map[string]*durationModel{"q": &model})
			merged := p.durations.of("q")
			if merged == nil {
				merged = &durationModel{}
			}
			for range 30 {
				for _, estimate := range []time.Duration{time.Millisecond, time.Second, taskgraph.MaxEstimate} {
					predicted := merged.predict(estimate)
					require.GreaterOrEqual(t, predicted, time.Duration(0))
					require.LessOrEqual(t, predicted, taskgraph.MaxEstimate)
				}
				require.False(t, math.IsNaN(merged.variance()) || merged.variance() < 0, "variance %v", merged.variance())
				merged.learn(time.Second, 2*time.Second, 1)
			}
			require.InEpsilon(t, 2.0, merged.predict(time.Second).Seconds(), 0.1, "30 tasks took twice as long as estimated")
		})
	}
}

// discardRecorder discards all events.
type discardRecorder struct{}

func (discardRecorder) Count(string, string)          {}
func (discardRecorder) Observe(string, time.Duration) {}
func (discardRecorder) Set(string, int64)             {}
func (discardRecorder) LogEvent(string, ...any)       {}

// TestLearnedModelsArePlausible: what an owner learns from any runs is taken over by the next one.
func TestLearnedModelsArePlausible(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		var model durationModel
		for range 1 + random.IntN(200) {
			draw := func() time.Duration { return time.Duration(math.Exp(random.Float64() * 38)) }
			model.learn(draw(), draw(), 1/float64(1+random.IntN(50)))
			require.True(t, model.plausible() || model == durationModel{}, "%+v", model)
		}
	}
	var extreme durationModel
	for range 200 {
		extreme.learn(1, taskgraph.MaxEstimate, 1)
		extreme.learn(taskgraph.MaxEstimate, 1, 1)
		require.True(t, extreme.plausible(), "%+v", extreme)
	}
}
