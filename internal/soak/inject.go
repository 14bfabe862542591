package soak

import (
	"math/rand/v2"
	"strconv"
	"syscall"
	"time"

	"github.com/wheatroad/wheatroad/internal/faultproxy"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/simulation"
)

// faultMargin is how long a daemon may show the effects of a fault after the fault has ended.
const faultMargin = 3 * time.Second

// inject starts a fault and returns the function that ends the fault, or nil if none is needed.
func (r *run) inject(fault Fault) func() {
	d := r.daemons[fault.Target%len(r.daemons)]
	switch fault.Kind {
	case Kill, PlannedStop, Pause, Reload, KillAll:
		return r.injectSignal(fault, d)
	case DelayLink, SilenceLink, CutAnswerLink, CutOrderLink, ResetLink:
		return r.injectLink(fault, d)
	case NewKey:
		r.replaceKey()
		return nil
	}
	return r.injectPlatform(fault)
}

func (r *run) injectSignal(fault Fault, d *daemon) func() {
	if fault.Kind != PlannedStop && fault.Kind != Reload {
		d.recordFault(fault.Length + faultMargin)
	}
	switch fault.Kind {
	case Kill:
		d.kill()
		return func() { r.startDaemon(d) }
	case PlannedStop:
		go func() {
			d.stop()
			r.startDaemon(d)
		}()
	case Pause:
		d.signal(syscall.SIGSTOP)
		return func() { d.signal(syscall.SIGCONT) }
	case Reload:
		d.signal(syscall.SIGHUP)
	case KillAll:
		for _, other := range r.daemons {
			other.recordFault(fault.Length + faultMargin)
			other.kill()
		}
		return func() {
			for _, other := range r.daemons {
				r.startDaemon(other)
			}
		}
	}
	return nil
}

func (r *run) injectLink(fault Fault, d *daemon) func() {
	d.recordFault(fault.Length + faultMargin)
	modes := map[Kind]faultproxy.Mode{
		DelayLink: faultproxy.Delay, SilenceLink: faultproxy.Blackhole,
		CutAnswerLink: faultproxy.DropResponses, CutOrderLink: faultproxy.DropRequests,
	}
	if fault.Kind == ResetLink {
		d.proxy.Reset()
		return nil
	}
	d.proxy.SetMode(modes[fault.Kind])
	return func() { d.proxy.SetMode(faultproxy.Forward) }
}

// injectPlatform injects a fault of the platform, which affects every daemon.
func (r *run) injectPlatform(fault Fault) func() {
	for _, d := range r.daemons {
		d.recordFault(fault.Length + faultMargin)
	}
	cluster := r.platform.Cluster
	var begin, end func()
	switch fault.Kind {
	case StoreUnavailable:
		begin, end = func() { cluster.Store.Unavailable = true }, func() { cluster.Store.Unavailable = false }
	case StoreUnresponsive:
		begin, end = func() { r.platform.StoreUnresponsive = true }, func() { r.platform.StoreUnresponsive = false }
	case StoreSlow:
		begin = func() { cluster.Store.Latency = slowStoreLatency }
		end = func() { cluster.Store.Latency = storeLatency }
	case StoreLossy:
		begin = func() {
			cluster.Store.WriteOutcome, cluster.Store.KnowledgeWriteOutcome = r.randomOutcomes(writeLoss, outcomesStream), r.randomOutcomes(writeLoss, knowledgeOutcomesStream)
		}
		end = func() { cluster.Store.WriteOutcome, cluster.Store.KnowledgeWriteOutcome = nil, nil }
	case PartUnavailable:
		parts := append(pool.ProgressPartitions(simulation.PoolName), pool.JobPartitions(simulation.PoolName, strconv.Itoa(fault.Target))...)
		part := parts[fault.Target%len(parts)]
		begin, end = func() { cluster.Store.UnavailablePartitions[part] = true }, func() { delete(cluster.Store.UnavailablePartitions, part) }
	default:
		begin, end = r.workerFault(fault)
	}
	r.platform.WithLock(begin)
	return func() { r.platform.WithLock(end) }
}

const (
	storeLatency     = 5 * time.Millisecond
	slowStoreLatency = 300 * time.Millisecond
	writeLoss        = 0.3
	orderLoss        = 0.4
)

// Random streams of outcomes. Writes of kept knowledge have one of their own.
const (
	outcomesStream          = 2
	knowledgeOutcomesStream = 33
)

// randomOutcomes returns a function that draws outcomes from a random stream. The given share of
// them is not acknowledged.
func (r *run) randomOutcomes(share float64, stream uint64) func() simulation.Outcome {
	random := rand.New(rand.NewPCG(r.options.Seed, stream))
	return func() simulation.Outcome {
		if random.Float64() < share {
			return simulation.Outcome(1 + random.IntN(3))
		}
		return simulation.Acknowledged
	}
}

// workerFault returns the functions that start and end the fault of one worker. Both must be
// called with the platform locked.
func (r *run) workerFault(fault Fault) (begin, end func()) {
	cluster := r.platform.Cluster
	worker := cluster.Workers[fault.Target%len(cluster.Workers)]
	switch fault.Kind {
	case WorkerCrash:
		return func() { r.replaceWorker(worker) }, func() {}
	case WorkerPartitioned:
		return func() { worker.Partitioned = true }, func() { worker.Partitioned = false }
	case WorkerFailing:
		return func() { worker.Failing = true }, func() { worker.Failing = false }
	case WorkerSlow:
		return func() { worker.SlowdownFactor = 4 }, func() { worker.SlowdownFactor = 1 }
	case WorkerDrain:
		return func() {
				worker.Draining, worker.RemainingMillis = true, fault.Length.Milliseconds()
				cluster.PutWorkerRow(worker)
			}, func() {
				worker.Draining = false
				r.replaceWorker(worker)
			}
	default:
		return func() { r.loseOrders(worker) }, func() { answerOrders(worker) }
	}
}

// replaceWorker crashes a worker and adds a new one on the same rack.
func (r *run) replaceWorker(worker *simulation.Worker) {
	if worker.Crashed {
		return
	}
	cluster := r.platform.Cluster
	worker.Crash()
	cluster.RemoveWorkerRow(worker)
	r.replaced++
	cluster.AddWorkerTo(worker.Pool, "w-new-"+strconv.Itoa(r.replaced), worker.Rack())
}
