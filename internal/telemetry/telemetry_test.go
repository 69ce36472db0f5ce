package telemetry_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"go.opentelemetry.io/otel"

	"github.com/foxtailtack/foxtailtack/internal/telemetry"
)

// Guards against an unquoted value with spaces or quotes, which log parsers would split into several fields.
func TestLoggerWritesOneKeyValueLine(t *testing.T) {
	var out bytes.Buffer
	log, err := telemetry.NewLogger(&out, "info")
	if err != nil {
		t.Fatal(err)
	}
	log.Info().Str("host", "h1").Str("reason", `said "stop" now`).Int("count", 3).Msg("host_leaving")
	line := out.String()
	for _, want := range []string{"level=info", "event=host_leaving", "host=h1", `reason="said \"stop\" now"`, "count=3"} {
		if !strings.Contains(line, want) {
			t.Errorf("line %q lacks %q", line, want)
		}
	}
	if strings.Count(line, "\n") != 1 {
		t.Errorf("want one line, got %q", line)
	}
}

func TestTracesServeSampledSpans(t *testing.T) {
	traces, err := telemetry.NewTraces("h1", 1)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = traces.Close(context.Background()) }()
	_, span := otel.Tracer("test").Start(context.Background(), "attempt")
	span.End()
	id := span.SpanContext().TraceID().String()
	recorder := httptest.NewRecorder()
	traces.ServeHTTP(recorder, httptest.NewRequest("GET", "/traces?trace_id="+id, nil))
	if !strings.Contains(recorder.Body.String(), "attempt") {
		t.Fatalf("trace %s is not served: %q", id, recorder.Body.String())
	}
}

// Guards against a metric name that the Prometheus registry rejects, which made the process exit at its start.
func TestMetricsAppearOnTextPage(t *testing.T) {
	metrics := telemetry.NewMetrics(map[string]string{"host": "h1"})
	metrics.Scope.Counter("requests").Inc(3)
	if err := metrics.Close(); err != nil {
		t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	metrics.Handler.ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	if want := `foxtailtack_requests{host="h1"} 3`; !strings.Contains(recorder.Body.String(), want) {
		t.Fatalf("page lacks %s:\n%s", want, recorder.Body.String())
	}
}

// Guards against ids that are changed in tags: the host north-1-entry-1 appeared as north_1_entry_1, so that its metrics
// could not be joined with the ids of the policy.
func TestMetricsKeepIDsInTags(t *testing.T) {
	metrics := telemetry.NewMetrics(map[string]string{"host": "north-1-entry-1.a_b"})
	metrics.Scope.Counter("passes").Inc(1)
	if err := metrics.Close(); err != nil {
		t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	metrics.Handler.ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	if want := `foxtailtack_passes{host="north-1-entry-1.a_b"} 1`; !strings.Contains(recorder.Body.String(), want) {
		t.Fatalf("page lacks %s:\n%s", want, recorder.Body.String())
	}
}
