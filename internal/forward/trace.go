package forward

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/foxtailtack/foxtailtack/internal/backend"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// tracerName is the name of the OpenTelemetry instrumentation scope of this package.
const tracerName = "github.com/foxtailtack/foxtailtack/internal/forward"

// traceParentField is the carrier field in which propagation.TraceContext stores the W3C trace context.
const traceParentField = "traceparent"

// extractTrace returns a context that continues the trace of the previous hop.
func extractTrace(ctx context.Context, parent string) context.Context {
	if parent == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceParentField: parent})
}

// traceParent returns the W3C trace context for the next hop, or "" if ctx has none.
func traceParent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceParentField]
}

// span starts a span with the attributes of the request.
func (c *call) span(ctx context.Context, name string, extra ...attribute.KeyValue) (context.Context, trace.Span) {
	attributes := append([]attribute.KeyValue{
		attribute.String("foxtailtack.request_id", c.req.ID),
		attribute.String("foxtailtack.service", c.req.Service),
		attribute.String("foxtailtack.rank", c.req.Rank.String()),
		attribute.Int("foxtailtack.forwards", c.req.Forwards),
	}, extra...)
	return otel.Tracer(tracerName).Start(ctx, name, trace.WithAttributes(attributes...))
}

func hostAttribute(host string) attribute.KeyValue { return attribute.String("foxtailtack.host", host) }

func serverAttribute(id string) attribute.KeyValue {
	return attribute.String("foxtailtack.backend_server", id)
}

func endWithFailure(span trace.Span, failure *result.Failure) {
	if failure == nil {
		return
	}
	span.SetAttributes(attribute.Int("foxtailtack.code", int(failure.Code)))
	span.SetStatus(codes.Error, failure.Code.Describe().Name)
}

func endWithOutcome(span trace.Span, res backend.Result) {
	span.SetAttributes(
		attribute.String("foxtailtack.outcome", res.Outcome.String()),
		attribute.Bool("foxtailtack.reused", res.Reused),
		attribute.Int64("foxtailtack.bytes_written", res.BytesWritten),
	)
	endWithFailure(span, res.Failure)
}
