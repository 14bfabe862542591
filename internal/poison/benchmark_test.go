package poison

import "testing"

// BenchmarkLossOfManyWorkers measures what each of 256 workers that are lost within 3 s costs,
// with ten tasks on each: 1,147 us with a walk over all pairs of losses, 146 us in their order.
func BenchmarkLossOfManyWorkers(b *testing.B) {
	for b.Loop() {
		l := newTestLedger(3000)
		for worker := range maxRecentLosses {
			tasks := make([]*History, 10)
			for i := range tasks {
				tasks[i] = newHistory()
			}
			loseWorker(l, float64(worker)/85, earlyAge, tasks...)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/maxRecentLosses, "us/loss")
}
