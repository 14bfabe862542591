package poison

import "testing"

// BenchmarkLossOfManyWorkers measures the time to record a loss while 256 workers, with ten tasks
// each, are lost within 3 s.
func BenchmarkLossOfManyWorkers(b *testing.B) {
	for b.Loop() {
		tracker := newTestTracker(3000)
		for worker := range maxRecentLosses {
			tasks := make([]*History, 10)
			for i := range tasks {
				tasks[i] = newHistory()
			}
			loseWorker(tracker, float64(worker)/85, earlyAge, tasks...)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/maxRecentLosses, "us/loss")
}
