// Package telemetry records a node's metrics with OpenTelemetry, exposes them in the
// Prometheus text format, and logs state changes.
package telemetry

import (
	"context"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/prometheus/otlptranslator"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// Definition describes one counter.
type Definition struct {
	Name        string
	Description string
	// Label is the name of the attribute that holds the reason.
	Label string
}

// Definitions returns all counters, by the short name used in the code.
func Definitions() map[string]Definition {
	return map[string]Definition{
		"refusals":          {"wheatroad.refusals", "Requests and orders refused, by reason.", "reason"},
		"retries":           {"wheatroad.retries", "Calls repeated, by reason.", "reason"},
		"job_transitions":   {"wheatroad.job.transitions", "Jobs that entered a state.", "state"},
		"ownership_changes": {"wheatroad.domain.ownership.changes", "Scheduling domains gained and lost, by reason.", "reason"},
		"table_operations":  {"wheatroad.table.failures", "Periodic table operations that failed, by operation.", "operation"},
		"worker_orders":     {"wheatroad.worker.orders", "Orders sent to workers, by action.", "action"},
		"given_up":          {"wheatroad.job.given_up", "Jobs given up for a task that crashes workers, by what settled it.", "reason"},
		"attempts":          {"wheatroad.job.attempts", "What became of attempts, by event.", "event"},
		"requests":          {"wheatroad.requests", "Requests answered, by endpoint.", "endpoint"},
		"takeovers":         {"wheatroad.pool.ownership.changes", "Pools acquired, lost or left to their owner, by event.", "event"},
		"feed_gaps":         {"wheatroad.feed.gaps", "Feeds read anew because their history was gone, by table.", "table"},
		"answers_given_up":  {"wheatroad.store.answers.given.up", "Store answers of which only a part came in time, by table.", "table"},
		"announcements":     {"wheatroad.job.announcements", "Accepted jobs told to their pool's owner, by result.", "result"},
		"store_relays":      {"wheatroad.store.relays", "Calls to the store through another node, by result.", "result"},
		"foreign_rows":      {"wheatroad.worker.rows.foreign", "Rows read that name no worker to use, by fault.", "fault"},
		"worker_restarts":   {"wheatroad.worker.restarts", "Workers that started again under their identifier, by how that was known.", "known_by"},
		"start_failures":    {"wheatroad.worker.start.failures", "Starts that did not succeed, by reason.", "reason"},
		"preemptions":       {"wheatroad.unit.preemptions", "Units that had others stopped though there was room, by reason.", "reason"},
		"tenant_turns":      {"wheatroad.tenant.turns", "Units placed out of order of arrival, by reason.", "reason"},
		"stops":             {"wheatroad.unit.stops", "Units stopped, by reason.", "reason"},
		"forwards":          {"wheatroad.forwards", "Requests forwarded to another node, by result.", "result"},
	}
}

// HistogramDefinition describes one latency histogram, in seconds.
type HistogramDefinition struct {
	Name        string
	Description string
}

// Histograms returns all latency histograms, by the short name used in the code.
func Histograms() map[string]HistogramDefinition {
	return map[string]HistogramDefinition{
		"acceptance":             {"wheatroad.job.acceptance", "From a submission's arrival to its answer."},
		"start_after_acceptance": {"wheatroad.job.start", "From a job's acceptance to its first start order."},
		"takeover":               {"wheatroad.pool.takeover", "From a pool's acquisition until its rows are read."},
		"cycle":                  {"wheatroad.pool.cycle", "How long a scheduling cycle of a pool's owner took."},
		"store_commit":           {"wheatroad.store.commit", "From a batch of the owner's rows to its commit, retries included."},
		"start_order":            {"wheatroad.worker.start", "From a start order to its answer."},
		"end_noted":              {"wheatroad.run.end.noted", "From an end taken in until it is written and may be acknowledged."},
	}
}

// Gauges returns all gauges, by the short name used in the code.
func Gauges() map[string]Definition {
	return map[string]Definition{
		"foreign_rows":        {Name: "wheatroad.pool.foreign.rows", Description: "Rows of workers that name no worker to use, as another writer left them."},
		"evacuated_zones":     {Name: "wheatroad.pool.evacuated.zones", Description: "Zones in which the pools of this node start nothing, since operators have evacuated them."},
		"tenant_longest_wait": {Name: "wheatroad.tenant.longest.wait.ms", Description: "Longest present wait of a task or gang, in milliseconds, while tenants share the pool by weight."},
		"tenant_most_lent":    {Name: "wheatroad.tenant.most.lent.permille", Description: "Largest share of the pool that a tenant has lent, in thousandths."},
		"tenant_most_owed":    {Name: "wheatroad.tenant.most.owed.permille", Description: "Largest share of the pool that a tenant owes, in thousandths."},
	}
}

// latencyBucketsSeconds are the upper bounds of the histogram buckets.
var latencyBucketsSeconds = []float64{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30}

// Telemetry records a node's metrics and log lines.
type Telemetry struct {
	log        logr.Logger
	limiter    *rateLimiter
	histograms map[string]metric.Float64Histogram
	counters   map[string]metric.Int64Counter
	gauges     map[string]metric.Int64Gauge
	labels     map[string]string
	handler    http.Handler
}

// New returns telemetry that logs to the given logger.
func New(log logr.Logger) (*Telemetry, error) {
	counters, histograms, runtime := prometheus.NewRegistry(), prometheus.NewRegistry(), prometheus.NewRegistry()
	runtime.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	counterMeter, err := newMeter(counters)
	if err != nil {
		return nil, err
	}
	histogramMeter, err := newMeter(histograms)
	if err != nil {
		return nil, err
	}
	t := &Telemetry{
		log: log, limiter: newRateLimiter(time.Now),
		counters: map[string]metric.Int64Counter{}, gauges: map[string]metric.Int64Gauge{}, histograms: map[string]metric.Float64Histogram{}, labels: map[string]string{},
		handler: serveInOrder(counters, histograms, runtime),
	}
	for short, definition := range Definitions() {
		counter, err := counterMeter.Int64Counter(definition.Name, metric.WithDescription(definition.Description))
		if err != nil {
			return nil, err
		}
		t.counters[short] = counter
		t.labels[short] = definition.Label
	}
	for short, definition := range Gauges() {
		gauge, err := counterMeter.Int64Gauge(definition.Name, metric.WithDescription(definition.Description))
		if err != nil {
			return nil, err
		}
		t.gauges[short] = gauge
	}
	for short, definition := range Histograms() {
		histogram, err := histogramMeter.Float64Histogram(definition.Name,
			metric.WithDescription(definition.Description), metric.WithUnit("s"),
			metric.WithExplicitBucketBoundaries(latencyBucketsSeconds...))
		if err != nil {
			return nil, err
		}
		t.histograms[short] = histogram
	}
	return t, nil
}

// newMeter returns a meter that exports its instruments to a registry.
func newMeter(registry *prometheus.Registry) (metric.Meter, error) {
	exporter, err := otelprometheus.New(
		otelprometheus.WithRegisterer(registry),
		otelprometheus.WithTranslationStrategy(otlptranslator.UnderscoreEscapingWithSuffixes),
		otelprometheus.WithoutScopeInfo(),
		otelprometheus.WithoutTargetInfo(),
	)
	if err != nil {
		return nil, err
	}
	return sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter)).Meter("github.com/wheatroad/wheatroad"), nil
}

// serveInOrder serves the registries one after another in one response. The node's own counters
// come first, so that they survive if a scraper truncates the response.
func serveInOrder(registries ...*prometheus.Registry) http.Handler {
	handlers := make([]http.Handler, len(registries))
	for i, registry := range registries {
		handlers[i] = promhttp.HandlerFor(registry, promhttp.HandlerOpts{DisableCompression: true})
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for _, handler := range handlers {
			handler.ServeHTTP(w, r)
		}
	})
}

// Observe records a duration in a histogram. It ignores undefined histograms; the metrics test
// detects them.
func (t *Telemetry) Observe(histogram string, d time.Duration) {
	if instrument, ok := t.histograms[histogram]; ok {
		instrument.Record(context.Background(), d.Seconds())
	}
}

// Set sets a gauge. Undefined gauges are ignored; the metrics test detects them.
func (t *Telemetry) Set(gauge string, value int64) {
	if instrument, ok := t.gauges[gauge]; ok {
		instrument.Record(context.Background(), value)
	}
}

// Count increments a counter for a reason. It ignores undefined counters; the metrics test
// detects them.
func (t *Telemetry) Count(counter, reason string) {
	instrument, ok := t.counters[counter]
	if !ok {
		return
	}
	instrument.Add(context.Background(), 1, metric.WithAttributes(attribute.String(t.labels[counter], reason)))
}

// LogStateChange logs a state change.
func (t *Telemetry) LogStateChange(message string, keysAndValues ...any) {
	t.log.Info(message, keysAndValues...)
}

// LogEvent logs an event, subject to the rate limit of its message.
func (t *Telemetry) LogEvent(message string, keysAndValues ...any) {
	allowed, dropped := t.limiter.allow(message)
	for droppedMessage, count := range dropped {
		t.log.Info("log lines dropped", "decision", droppedMessage, "count", count)
	}
	if allowed {
		t.log.Info(message, keysAndValues...)
	}
}

// Handler serves the metrics.
func (t *Telemetry) Handler() http.Handler { return t.handler }
