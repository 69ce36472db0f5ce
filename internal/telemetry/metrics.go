package telemetry

import (
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("telemetry")

// reportInterval is the interval at which tally reports its metrics to the Prometheus registry.
const reportInterval = time.Second

// sanitizeOptions are tally's options for Prometheus, except that they keep hyphens and dots in tag values, which the
// Prometheus text format allows. Otherwise the ids of hosts and services in metrics would differ from those in the policy.
var sanitizeOptions = tally.SanitizeOptions{
	NameCharacters: prometheus.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:  prometheus.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters: tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: []rune{'_', '-', '.'},
	},
	ReplacementCharacter: tally.DefaultReplacementCharacter,
}

// Metrics holds the root scope of all metrics of a process and the handler that exposes them in the Prometheus text format.
type Metrics struct {
	// Scope is the root scope with the prefix "foxtailtack".
	Scope tally.Scope
	// Handler serves the metrics in the Prometheus text format.
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns a Metrics that adds the given tags to each metric.
func NewMetrics(tags map[string]string) *Metrics {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "foxtailtack",
		Tags:           tags,
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
		// The names of tally's own cardinality metrics contain dots, which Prometheus does not allow in names.
		OmitCardinalityMetrics: true,
		SanitizeOptions:        &sanitizeOptions,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close reports the latest values and stops reporting.
func (m *Metrics) Close() error {
	return Error.Wrap(m.closer.Close())
}
