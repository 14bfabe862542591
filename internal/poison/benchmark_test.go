package poison

import "testing"

// BenchmarkLossOfManyWorkers measures the cost per loss when 256 workers with ten tasks each are
// lost within 3 s.
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
