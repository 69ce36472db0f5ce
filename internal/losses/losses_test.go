package losses

import (
	"bytes"
	"encoding/xml"
	"io"
	"strings"
	"testing"
	"time"
)

// Guards against a line of a damaged log that ends the analysis: whatever the bytes are, they are read to the end, and each line is a
// request, another line or a malformed one.
func FuzzReadNeverFails(f *testing.F) {
	f.Add([]byte("1.5 h event=request status=200 code=0 took_ms=3 route=\"a b\""))
	f.Add([]byte("event=request time=2026-12-04T10:00:00Z status=x"))
	f.Add([]byte("event=request cause=\"open"))
	f.Add([]byte("\x00=\"\xff event=request "))
	f.Fuzz(func(t *testing.T, text []byte) {
		log := &Log{}
		if err := log.Read("f", bytes.NewReader(text)); err != nil {
			t.Fatal(err)
		}
		if len(log.Requests)+log.Malformed > log.Lines || len(log.Problems) > maxProblems {
			t.Fatalf("%d requests and %d malformed of %d lines, %d named", len(log.Requests), log.Malformed, log.Lines, len(log.Problems))
		}
		if err := Analyze(log.Requests, time.Second).WritePlot(io.Discard); err != nil {
			t.Fatal(err)
		}
	})
}

// A line without an end must not fill the memory of the program.
func TestLongLineIsMalformed(t *testing.T) {
	log := &Log{}
	text := strings.Repeat("x", 3*maxLineBytes) + "\n1.0 h event=request status=200 code=0 took_ms=3\n"
	if err := log.Read("f", strings.NewReader(text)); err != nil || log.Lines != 2 || log.Malformed != 1 || len(log.Requests) != 1 {
		t.Fatalf("%v; %d lines, %d malformed, %d requests", err, log.Lines, log.Malformed, len(log.Requests))
	}
}

// The plot must be a well-formed document in which each cause that occurs has an area.
func TestPlotHasAnAreaForEachCause(t *testing.T) {
	log := &Log{}
	text := `1.0 h event=request status=200 code=0 took_ms=900 waited_ms=800 slo_ms=400 route=r
3.0 h event=request status=503 code=2002 took_ms=1 slo_ms=400 route=r reason=deadline_before_expected_answer
5.0 h event=request status=200 code=0 took_ms=90 slo_ms=400 route=r
`
	if err := log.Read("f", strings.NewReader(text)); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := Analyze(log.Requests, 2*time.Second).WritePlot(&out); err != nil {
		t.Fatal(err)
	}
	decoder := xml.NewDecoder(bytes.NewReader(out.Bytes()))
	areas := 0
	for {
		token, err := decoder.Token()
		if err == io.EOF {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		if start, ok := token.(xml.StartElement); ok && start.Name.Local == "polygon" {
			areas++
		}
	}
	for _, name := range []string{"host_wait", "deadline"} {
		if !strings.Contains(out.String(), name) {
			t.Errorf("the plot does not name %s", name)
		}
	}
	if areas != 2 {
		t.Errorf("%d areas, want 2", areas)
	}
}
