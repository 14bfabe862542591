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
		"refusals":          {"wheatroad.refusals", "Refusals, by reason.", "reason"},
		"retries":           {"wheatroad.retries", "Calls repeated, by reason.", "reason"},
		"job_transitions":   {"wheatroad.job.transitions", "Job state changes.", "state"},
		"ownership_changes": {"wheatroad.domain.ownership.changes", "Domains gained and lost, by reason.", "reason"},
		"table_operations":  {"wheatroad.table.failures", "Failed table operations, by operation.", "operation"},
		"worker_orders":     {"wheatroad.worker.orders", "Orders to workers, by action.", "action"},
		"given_up":          {"wheatroad.job.given_up", "Crashing jobs failed, by reason.", "reason"},
		"attempts":          {"wheatroad.job.attempts", "Attempts, by event.", "event"},
		"requests":          {"wheatroad.requests", "Requests answered, by endpoint.", "endpoint"},
		"takeovers":         {"wheatroad.pool.ownership.changes", "Pool ownership, by event.", "event"},
		"feed_gaps":         {"wheatroad.feed.gaps", "Feeds restarted, by table.", "table"},
		"answers_given_up":  {"wheatroad.store.answers.given.up", "Partial store answers, by table.", "table"},
		"announcements":     {"wheatroad.job.announcements", "Notices to owners, by result.", "result"},
		"store_relays":      {"wheatroad.store.relays", "Relayed store calls, by result.", "result"},
		"foreign_rows":      {"wheatroad.worker.rows.foreign", "Invalid worker rows read, by fault.", "fault"},
		"worker_restarts":   {"wheatroad.worker.restarts", "Worker restarts, by evidence.", "known_by"},
		"start_failures":    {"wheatroad.worker.start.failures", "Failed starts, by reason.", "reason"},
		"preemptions":       {"wheatroad.unit.preemptions", "Preemptions despite free room, by reason.", "reason"},
		"tenant_turns":      {"wheatroad.tenant.turns", "Units placed out of order, by reason.", "reason"},
		"stops":             {"wheatroad.unit.stops", "Units stopped, by reason.", "reason"},
		"writes_put_off":    {"wheatroad.writes.put.off", "Writes put off for a slow store, by kind.", "kind"},
		"knowledge":         {"wheatroad.pool.knowledge", "Rows of kept knowledge, by event.", "event"},
		"forwards":          {"wheatroad.forwards", "Requests forwarded, by result.", "result"},
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
		"acceptance":               {"wheatroad.job.acceptance", "From a submission's arrival to its answer."},
		"start_after_acceptance":   {"wheatroad.job.start", "From a job's acceptance to its first start order."},
		"takeover":                 {"wheatroad.pool.takeover", "From a pool's acquisition until its rows are read."},
		"cycle":                    {"wheatroad.pool.cycle", "How long a scheduling cycle of a pool's owner took."},
		"store_commit":             {"wheatroad.store.commit", "From a batch of the owner's rows to its commit, retries included."},
		"written_urgent_placement": {"wheatroad.written.urgent.placement", "From a placement of the highest priority until its row is written."},
		"written_placement":        {"wheatroad.written.placement", "From another placement until its row is written."},
		"written_end":              {"wheatroad.written.end", "From a run's result or another change until its row is written."},
		"written_note":             {"wheatroad.written.note", "From a confirmed start until its row is written."},
		"start_order":              {"wheatroad.worker.start", "From a start order to its answer."},
		"end_noted":                {"wheatroad.run.end.noted", "From an end taken in until it is written and may be acknowledged."},
	}
}

// Gauges returns all gauges, by the short name used in the code.
func Gauges() map[string]Definition {
	return map[string]Definition{
		"foreign_rows":        {Name: "wheatroad.pool.foreign.rows", Description: "Rows of workers that name no worker to use, as another writer left them."},
		"write_batches":       {Name: "wheatroad.pool.write.batches", Description: "Batches of the owner's rows in flight."},
		"knowledge_bytes":     {Name: "wheatroad.pool.knowledge.bytes", Description: "Size of the row of kept knowledge that was last written."},
		"durations_bytes":     {Name: "wheatroad.pool.durations.bytes", Description: "Size of the row of duration models that was last written."},
		"largest_progress":    {Name: "wheatroad.pool.largest.progress.bytes", Description: "Size of the largest progress row of a job that an owner on this node has written."},
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
	// received counts received bytes.
	received metric.Int64Counter
	handler  http.Handler
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
	t.received, err = histogramMeter.Int64Counter(receivedBytes.Name, metric.WithDescription(receivedBytes.Description))
	return t, err
}

// receivedBytes is the counter of received bytes. It is exported after the other counters.
var receivedBytes = Definition{
	Name: "wheatroad.received.bytes", Description: "Bytes of responses received, by the store's table or the method of the call to another node.", Label: "purpose",
}

// RecordReceived adds received bytes to the counter of their purpose.
func (t *Telemetry) RecordReceived(purpose string, bytes int64) {
	t.received.Add(context.Background(), bytes, metric.WithAttributes(attribute.String(receivedBytes.Label, purpose)))
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
