package pool

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// poolOfModels returns a pool that only holds duration models.
func poolOfModels() *Pool {
	return &Pool{durations: newDurationModels(), record: discardRecorder{}, loop: &steppedLoop{now: time.Unix(1000, 0)}, kept: &keptKnowledge{}}
}

// learnRuns lets the queue's model learn runs whose durations are the given multiple of their estimates.
func learnRuns(p *Pool, queue string, runs int, ratio float64) {
	for range runs {
		p.durations.modelToLearn(queue, p.loop.Now()).learn(time.Second, time.Duration(ratio*float64(time.Second)), 1)
	}
}

// TestModelsStayWithinBytes: whatever the names of queues are, head rows, kept knowledge and memory
// stay within their bounds.
func TestModelsStayWithinBytes(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	names := map[string]func(int) string{
		"short":   func(i int) string { return fmt.Sprint("q", i) },
		"long":    func(i int) string { return fmt.Sprint(i, strings.Repeat("n", 190)) },
		"escaped": func(i int) string { return fmt.Sprint(i, strings.Repeat("\x01<", 90)) },
		"mixed":   func(i int) string { return fmt.Sprint(i, strings.Repeat("\u2028", random.IntN(60))) },
		"huge":    func(i int) string { return fmt.Sprint(i, strings.Repeat("h", 9000)) },
	}
	for name, nameOf := range names {
		t.Run(name, func(t *testing.T) {
			p := poolOfModels()
			p.options.Incarnation = strings.Repeat("i", 200)
			for i := range maxDurationModels + 100 {
				p.durations.modelToLearn(nameOf(i), p.loop.Now()).learn(time.Duration(1+random.IntN(1e9)), time.Duration(1+random.IntN(1e12)), random.Float64())
				if i%500 == 0 {
					require.LessOrEqual(t, len(p.encodeHead("1")), maxHeadBytes)
				}
			}
			require.Len(t, p.durations.byQueue, maxDurationModels)
			require.LessOrEqual(t, len(p.encodeHead("1")), maxHeadBytes)
			document, err := (&durationSection{pool: p}).Export(p.loop.Now())
			require.NoError(t, err)
			require.LessOrEqual(t, len(document), maxDurationsBytes)
		})
	}
}

// TestModelsOfUsedQueuesStay: where not all models fit, those of queues in use stay, and of the others
// those that learned last.
func TestModelsOfUsedQueuesStay(t *testing.T) {
	p := poolOfModels()
	clock := p.loop.(*steppedLoop)
	used := map[string]bool{}
	for i := range 200 {
		queue := fmt.Sprint("queue-", i)
		used[queue] = i < 20
		learnRuns(p, queue, 1, 2)
		clock.now = clock.now.Add(time.Second)
	}
	p.durations.setUsed(used)
	head := p.durations.forHead()
	for i := range 20 {
		require.Contains(t, head, fmt.Sprint("queue-", i), "in use")
	}
	require.Len(t, head, 20, "each transaction carries the head row, so it holds no queue that is gone")
	outside := p.durations.queuesOutsideHead()
	require.Len(t, outside, 180)
	require.Equal(t, "queue-199", outside[0], "learned last")
	learnRuns(p, "queue-20", 1, 2)
	require.Contains(t, p.durations.forHead(), "queue-20", "a job has run")
	p.durations.setUsed(nil)
	require.Contains(t, p.durations.forHead(), "queue-199", "nothing is known of the configuration")
	require.Less(t, len(p.durations.forHead()), 60)
}

// TestModelsOutliveTakeovers: the next owner of this version takes over the models of head rows and of
// kept knowledge.
func TestModelsOutliveTakeovers(t *testing.T) {
	cases := map[string]struct{ queues, kept int }{
		"all fit into a head row":    {30, 30},
		"some are in kept knowledge": {400, 400},
		"more than fit into both":    {2000, 400},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := poolOfModels()
			for i := range c.queues {
				learnRuns(p, fmt.Sprint("queue-", i), 20, 3)
			}
			next := takeOverModels(t, p)
			require.GreaterOrEqual(t, len(next.durations.byQueue), c.kept)
			for queue, model := range next.durations.byQueue {
				require.InEpsilon(t, p.durations.of(queue).predict(time.Second).Seconds(), model.predict(time.Second).Seconds(), 0.001)
			}
		})
	}
}

// TestCompactModelsPredictAlike: rounding does not change what a model predicts.
func TestCompactModelsPredictAlike(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	for range 500 {
		var model durationModel
		for range 1 + random.IntN(300) {
			model.learn(time.Duration(1+random.Int64N(int64(100*time.Hour))), time.Duration(1+random.Int64N(int64(100*time.Hour))), random.Float64())
		}
		restored := model.compact().model()
		for _, estimate := range []time.Duration{time.Second, time.Hour} {
			require.InEpsilon(t, model.predict(estimate).Seconds(), restored.predict(estimate).Seconds(), 0.05)
		}
	}
}

// TestUnreadableDurationsAreRefused: a section that can't be decoded leaves the models as they were.
func TestUnreadableDurationsAreRefused(t *testing.T) {
	for _, document := range []string{`[]`, `{"queues":{"q":[1,2]}}`, `{"queues":{"q":["a"]}}`, `{"queues":{"q":[-1,0,0,0,0,0]}}`, `{"queues":{"q":[0,0,0,0,0,0]}}`} {
		p := poolOfModels()
		learnRuns(p, "q", 5, 2)
		before := *p.durations.of("q")
		_ = (&durationSection{pool: p}).Import([]byte(document), p.loop.Now(), 0)
		require.Equal(t, before, *p.durations.of("q"), document)
	}
}

// TestPredictionErrorAfterTakeover measures how far predictions are off after a takeover, with half of
// the queues gone from the configuration: no more than without a bound where all models fit, and
// never more than the jobs' own estimates.
func TestPredictionErrorAfterTakeover(t *testing.T) {
	for _, queues := range []int{40, 400, 2000} {
		t.Run(fmt.Sprint(queues), func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(queues), 7))
			p, ratios, used := poolOfModels(), map[string]float64{}, map[string]bool{}
			for i := range queues {
				queue := fmt.Sprint("route-", i)
				ratios[queue] = math.Exp(0.7 * random.NormFloat64())
				used[queue] = i%2 == 0
				learnRuns(p, queue, 20, ratios[queue])
			}
			p.durations.setUsed(used)
			next := takeOverModels(t, p)
			unbounded, bounded, estimates := 0.0, 0.0, 0.0
			for queue := range used {
				if !used[queue] {
					continue
				}
				unbounded += predictionError(p, queue, ratios[queue])
				bounded += predictionError(next, queue, ratios[queue])
				estimates += math.Abs(math.Log(ratios[queue]))
			}
			jobs := float64(queues / 2)
			t.Logf("mean error of the logarithm: %.3f without a bound, %.3f now, %.3f of the estimates", unbounded/jobs, bounded/jobs, estimates/jobs)
			require.LessOrEqual(t, bounded, estimates)
			if queues <= 400 {
				require.InDelta(t, unbounded, bounded, 1e-3)
			}
		})
	}
}

// takeOverModels returns a pool that has taken over the models of another.
func takeOverModels(t *testing.T, p *Pool) *Pool {
	next := poolOfModels()
	next.mergeDurations(p.durations.forHead())
	document, err := (&durationSection{pool: p}).Export(p.loop.Now())
	require.NoError(t, err)
	if document != nil {
		require.NoError(t, (&durationSection{pool: next}).Import(document, next.loop.Now(), time.Second))
	}
	return next
}

// predictionError returns the error of the logarithm of the duration that is predicted for work that is
// estimated at one second and takes ratio seconds.
func predictionError(p *Pool, queue string, ratio float64) float64 {
	predicted := 1.0
	if model := p.durations.of(queue); model != nil {
		predicted = model.predict(time.Second).Seconds()
	}
	return math.Abs(math.Log(predicted / ratio))
}
