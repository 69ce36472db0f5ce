package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/standin/fleet"
)

// span is the part of an exported span that the demo prints.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	StartTime   time.Time
	EndTime     time.Time
	Resource    []struct {
		Key   string
		Value struct{ Value any }
	}
}

func (s span) host() string {
	for _, r := range s.Resource {
		if r.Key == "host.id" {
			return fmt.Sprint(r.Value.Value)
		}
	}
	return ""
}

// showTrace prints the kept trace that has the most spans, with a line for each hop.
func showTrace(deployment *fleet.Fleet) error {
	traces := map[string][]span{}
	for _, address := range deployment.AdminAddresses() {
		spans, err := readSpans("http://" + address + "/traces")
		if err != nil {
			return err
		}
		for _, s := range spans {
			traces[s.SpanContext.TraceID] = append(traces[s.SpanContext.TraceID], s)
		}
	}
	longest := ""
	for id, spans := range traces {
		if len(spans) > len(traces[longest]) {
			longest = id
		}
	}
	step("one whole trace, %s", longest)
	printTrace(traces[longest])
	return nil
}

func readSpans(url string) ([]span, error) {
	response, err := http.Get(url)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	var spans []span
	decoder := json.NewDecoder(bufio.NewReader(bytes.NewReader(body)))
	for decoder.More() {
		var s span
		if err := decoder.Decode(&s); err != nil {
			return nil, err
		}
		spans = append(spans, s)
	}
	return spans, nil
}

func printTrace(spans []span) {
	slices.SortFunc(spans, func(a, b span) int { return a.StartTime.Compare(b.StartTime) })
	parents := map[string]string{}
	for _, s := range spans {
		parents[s.SpanContext.SpanID] = s.Parent.SpanID
	}
	for _, s := range spans {
		depth := 0
		for id := s.Parent.SpanID; parents[id] != "" && depth < len(spans); id = parents[id] {
			depth++
		}
		fmt.Printf("  %s%s on %s, %.1f ms\n", strings.Repeat("  ", depth), s.Name, s.host(), float64(s.EndTime.Sub(s.StartTime))/1e6)
	}
}
