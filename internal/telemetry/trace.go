package telemetry

import (
	"bytes"
	"context"
	"net/http"
	"sync"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
)

// maxStoredSpans is the number of finished spans that a process keeps in memory for /traces.
const maxStoredSpans = 2048

// Traces keeps the latest sampled spans of a process in a ring buffer in memory, because entry hosts have no disk.
type Traces struct {
	provider *trace.TracerProvider
	mu       sync.Mutex
	spans    [][]byte
	oldest   int
}

// NewTraces installs a global tracer provider. It samples the ratio sampleRatio (0 to 1) of the traces that start in this
// process, and follows the sampling decision of the caller for all others.
func NewTraces(hostID string, sampleRatio float64) (*Traces, error) {
	t := &Traces{}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(spanWriter{t}))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	t.provider = trace.NewTracerProvider(
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(sampleRatio))),
		trace.WithBatcher(exporter),
		trace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "foxtailtack"),
			attribute.String("host.id", hostID),
		)),
	)
	otel.SetTracerProvider(t.provider)
	otel.SetTextMapPropagator(propagation.TraceContext{})
	return t, nil
}

// spanWriter stores the data of each Write call as one span, because the exporter's encoder writes one JSON document per
// call.
type spanWriter struct{ traces *Traces }

func (w spanWriter) Write(span []byte) (int, error) {
	t := w.traces
	t.mu.Lock()
	defer t.mu.Unlock()
	stored := bytes.Clone(span)
	if len(t.spans) < maxStoredSpans {
		t.spans = append(t.spans, stored)
		return len(span), nil
	}
	t.spans[t.oldest] = stored
	t.oldest = (t.oldest + 1) % maxStoredSpans
	return len(span), nil
}

// ServeHTTP writes the stored spans as JSON lines. The query parameter trace_id selects the spans of one trace.
func (t *Traces) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if err := t.provider.ForceFlush(r.Context()); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	id := []byte(r.URL.Query().Get("trace_id"))
	w.Header().Set("Content-Type", "application/jsonl")
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, span := range t.spans {
		if bytes.Contains(span, id) {
			_, _ = w.Write(span)
		}
	}
}

// Close exports the pending spans and stops tracing.
func (t *Traces) Close(ctx context.Context) error {
	return Error.Wrap(t.provider.Shutdown(ctx))
}
