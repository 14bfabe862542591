// Package telemetry counts what a node does, in OpenTelemetry instruments that are
// read in the Prometheus text format, and logs changes of state.
package telemetry

import (
	"context"
	"net/http"

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
	// Label is the attribute that holds the reason.
	Label string
}

// Definitions lists every counter, by the short name that code uses.
func Definitions() map[string]Definition {
	return map[string]Definition{
		"refusals":          {"wheatroad.refusals", "Requests and orders refused, by reason.", "reason"},
		"retries":           {"wheatroad.retries", "Calls repeated, by reason.", "reason"},
		"job_transitions":   {"wheatroad.job.transitions", "Jobs that entered a state.", "state"},
		"ownership_changes": {"wheatroad.domain.ownership.changes", "Scheduling domains gained and lost, by reason.", "reason"},
		"table_operations":  {"wheatroad.table.failures", "Periodic table operations that failed, by operation.", "operation"},
		"worker_orders":     {"wheatroad.worker.orders", "Orders sent to workers, by action.", "action"},
		"attempts":          {"wheatroad.job.attempts", "What became of attempts, by event.", "event"},
		"requests":          {"wheatroad.requests", "Requests answered, by endpoint.", "endpoint"},
		"takeovers":         {"wheatroad.pool.ownership.changes", "Pools acquired, lost or left to their owner, by event.", "event"},
		"feed_gaps":         {"wheatroad.feed.gaps", "Feeds read anew because their history was gone, by table.", "table"},
		"start_failures":    {"wheatroad.worker.start.failures", "Starts that did not succeed, by reason.", "reason"},
		"stops":             {"wheatroad.unit.stops", "Units stopped, by reason.", "reason"},
		"forwards":          {"wheatroad.forwards", "Requests forwarded to another node, by result.", "result"},
	}
}

// Telemetry is a node's counters and log.
type Telemetry struct {
	log      logr.Logger
	counters map[string]metric.Int64Counter
	labels   map[string]string
	handler  http.Handler
	provider *sdkmetric.MeterProvider
}

// New returns telemetry that logs to the given logger.
func New(log logr.Logger) (*Telemetry, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	exporter, err := otelprometheus.New(
		otelprometheus.WithRegisterer(registry),
		otelprometheus.WithTranslationStrategy(otlptranslator.UnderscoreEscapingWithSuffixes),
		otelprometheus.WithoutScopeInfo(),
	)
	if err != nil {
		return nil, err
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	meter := provider.Meter("github.com/wheatroad/wheatroad")
	t := &Telemetry{
		log: log, provider: provider,
		counters: map[string]metric.Int64Counter{}, labels: map[string]string{},
		handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}
	for short, definition := range Definitions() {
		counter, err := meter.Int64Counter(definition.Name, metric.WithDescription(definition.Description))
		if err != nil {
			return nil, err
		}
		t.counters[short] = counter
		t.labels[short] = definition.Label
	}
	return t, nil
}

// Count adds one to a counter for a reason. Counters without a definition are a
// defect that the metrics test finds; here they are dropped.
func (t *Telemetry) Count(counter, reason string) {
	instrument, ok := t.counters[counter]
	if !ok {
		return
	}
	instrument.Add(context.Background(), 1, metric.WithAttributes(attribute.String(t.labels[counter], reason)))
}

// Changed logs one line for a change of state.
func (t *Telemetry) Changed(message string, keysAndValues ...any) {
	t.log.Info(message, keysAndValues...)
}

// Decided logs one line for a decision that touches a job or a belief.
func (t *Telemetry) Decided(decision string, keysAndValues ...any) {
	t.log.Info(decision, keysAndValues...)
}

// Handler serves the counters.
func (t *Telemetry) Handler() http.Handler { return t.handler }
