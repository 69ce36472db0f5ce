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

// reportInterval is the time between two pushes of tally's counters into the text page.
const reportInterval = time.Second

// sanitizeOptions are tally's for the text page, but leave hyphens and dots in tag values, which the page allows. Otherwise
// the ids of hosts and services on the page differ from those of the policy.
var sanitizeOptions = tally.SanitizeOptions{
	NameCharacters: prometheus.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:  prometheus.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters: tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: []rune{'_', '-', '.'},
	},
	ReplacementCharacter: tally.DefaultReplacementCharacter,
}

// Metrics is the root of all metrics of a process, with its text page.
type Metrics struct {
	// Scope is the root scope with the prefix "foxtailtack".
	Scope tally.Scope
	// Handler serves the text page.
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns metrics with the given tags on each.
func NewMetrics(tags map[string]string) *Metrics {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "foxtailtack",
		Tags:           tags,
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
		// The names of tally's own cardinality metrics have dots, which the text page does not allow.
		OmitCardinalityMetrics: true,
		SanitizeOptions:        &sanitizeOptions,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close stops reporting.
func (m *Metrics) Close() error {
	return Error.Wrap(m.closer.Close())
}
