package bench

import (
	"fmt"
	"testing"
	"time"

	"github.com/wheatroad/wheatroad/internal/job"
)

// BenchmarkDecide measures one submission, scheduling cycle and job end at 10% and 100% of
// the design size, to show how the cost grows with the cluster.
func BenchmarkDecide(b *testing.B) {
	for _, share := range []float64{0.1, 1} {
		b.Run(fmt.Sprintf("%d workers", int(designWorkers*share)), func(b *testing.B) {
			s, _ := newLoadedScheduler(share)
			now := time.Unix(1e6, 0)
			b.ReportAllocs()
			number := 0
			for b.Loop() {
				number++
				spec := newSpec(fmt.Sprintf("probe%d", number), 1+number%2, 1+number%4)
				s.Submit(now, spec, now, time.Hour)
				s.Decide(now)
				s.Ended(now, job.Key{Tenant: spec.Tenant, ID: spec.ID})
			}
		})
	}
}
