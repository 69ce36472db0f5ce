package forward

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace"
)

const traceID = "0af7651916cd43dd8448eb211c80319c"

// Guards against hops that are missing in a trace, and against a trace that stops at an entry host.
func TestSpansCoverEveryHop(t *testing.T) {
	previous := otel.GetTracerProvider()
	defer otel.SetTracerProvider(previous)
	snapshot := testSnapshot(t, 0, testServers("b1", "b2", "b3")...)
	seen := map[string]bool{}
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			exporter := tracetest.NewInMemoryExporter()
			otel.SetTracerProvider(sdktrace.NewTracerProvider(sdktrace.WithSyncer(exporter)))
			sim := newSimulation(snapshot, seed)
			sim.deadline = time.Now().Add(time.Hour)
			sim.repeatable = true
			sim.hosts["a"].Handle(context.Background(), &Request{
				ID: "r", Service: "s", Repeatable: true, Timeout: time.Second, TraceParent: "00-" + traceID + "-b7ad6b7169203331-01",
			})
			sim.waitForAllAttempts()
			for _, p := range sim.problems {
				t.Error(p)
			}
			checkSpans(t, exporter.GetSpans(), seen)
		})
	}
	for _, name := range []string{"admission", "attempt", "forward"} {
		if !seen[name] {
			t.Errorf("no span %s", name)
		}
	}
}

// checkSpans fails the test unless all spans belong to the caller's trace and each span of a peer has a forward span as
// its parent.
func checkSpans(t *testing.T, spans tracetest.SpanStubs, seen map[string]bool) {
	forwards := map[trace.SpanID]bool{}
	for _, span := range spans {
		seen[span.Name] = true
		if span.Name == "forward" {
			forwards[span.SpanContext.SpanID()] = true
		}
		if span.SpanContext.TraceID().String() != traceID {
			t.Errorf("span %s has trace %s", span.Name, span.SpanContext.TraceID())
		}
	}
	for _, span := range spans {
		atPeer := slices.ContainsFunc(span.Attributes, func(a attribute.KeyValue) bool {
			return a.Key == "foxtailtack.forwards" && a.Value.AsInt64() > 0
		})
		if atPeer && !forwards[span.Parent.SpanID()] {
			t.Errorf("span %s of a peer does not follow a forward span", span.Name)
		}
	}
}
