package losses

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"
)

// Counts holds the number of requests of a group by outcome, and its losses by cause.
type Counts struct {
	Requests int
	Outcomes [outcomeCount]int
	Causes   [causeCount]int
}

// MarshalJSON encodes the counts under the names of the outcomes and causes.
func (c *Counts) MarshalJSON() ([]byte, error) {
	named := struct {
		Requests int            `json:"requests"`
		Outcomes map[string]int `json:"outcomes"`
		Causes   map[string]int `json:"causes"`
	}{c.Requests, map[string]int{}, map[string]int{}}
	for outcome, n := range c.Outcomes {
		named.Outcomes[Outcome(outcome).String()] = n
	}
	for _, cause := range c.occurring() {
		named.Causes[cause.String()] = c.Causes[cause]
	}
	return json.Marshal(named)
}

func (c *Counts) add(outcome Outcome, cause Cause) {
	c.Requests++
	c.Outcomes[outcome]++
	if outcome != InTime {
		c.Causes[cause]++
	}
}

// Regions is a pair of regions. Server is empty if no server was chosen.
type Regions struct{ Caller, Server string }

// String returns the form of the pair in tables and JSON.
func (g Regions) String() string { return orDash(g.Caller) + ">" + orDash(g.Server) }

// MarshalText implements encoding.TextMarshaler.
func (g Regions) MarshalText() ([]byte, error) { return []byte(g.String()), nil }

// Estimate compares the expected latency of a route's first attempts with the real one.
type Estimate struct {
	Requests int `json:"requests"`
	// MedianExpectedMs and MedianRealMs are the medians of both. TooShort is the share of the requests whose real latency exceeded
	// the expected one by half or more.
	MedianExpectedMs int64   `json:"median_expected_ms"`
	MedianRealMs     int64   `json:"median_real_ms"`
	TooShort         float64 `json:"too_short_share"`
}

// Window is the losses of the requests that ended in a period of the log.
type Window struct {
	// StartSeconds is the start of the period since the first request.
	StartSeconds float64 `json:"start_s"`
	Counts       *Counts `json:"counts"`
}

// Report is the analysis of a log.
type Report struct {
	Total     *Counts             `json:"total"`
	Windows   []Window            `json:"windows"`
	ByRoute   map[string]*Counts  `json:"by_route"`
	ByRegions map[Regions]*Counts `json:"by_regions"`
	Estimates map[string]Estimate `json:"estimates"`
}

// Analyze groups the requests of a log by windows of a length, routes and regions.
func Analyze(requests []Request, window time.Duration) *Report {
	report := &Report{Total: &Counts{}, ByRoute: map[string]*Counts{}, ByRegions: map[Regions]*Counts{}, Estimates: map[string]Estimate{}}
	times := learnTimes(requests)
	windows := map[time.Duration]*Counts{}
	first := firstEnd(requests)
	for i := range requests {
		r := &requests[i]
		outcome := r.outcome(times[r.Route])
		cause := r.cause(outcome, times[r.Route])
		start := (r.EndedAt - first).Truncate(window)
		for _, group := range []*Counts{
			report.Total, getOrCreate(windows, start), getOrCreate(report.ByRoute, r.Route),
			getOrCreate(report.ByRegions, Regions{r.CallerRegion, r.ServerRegion}),
		} {
			group.add(outcome, cause)
		}
	}
	for _, start := range slices.Sorted(maps.Keys(windows)) {
		report.Windows = append(report.Windows, Window{start.Seconds(), windows[start]})
	}
	for route := range report.ByRoute {
		if estimate := estimateOf(requests, route); estimate.Requests > 0 {
			report.Estimates[route] = estimate
		}
	}
	return report
}

func firstEnd(requests []Request) time.Duration {
	if len(requests) == 0 {
		return 0
	}
	return slices.MinFunc(requests, func(a, b Request) int { return cmp.Compare(a.EndedAt, b.EndedAt) }).EndedAt
}

// estimateOf compares the expected latencies of a route with the durations of successful first attempts.
func estimateOf(requests []Request, route string) Estimate {
	var expected, actual []time.Duration
	tooShort := 0
	for i := range requests {
		r := &requests[i]
		if r.Route != route || r.Status != 200 || r.FailedAttempts > 0 || r.Expected == 0 || r.Attempt == 0 {
			continue
		}
		expected, actual = append(expected, r.Expected), append(actual, r.Attempt)
		if 2*r.Attempt > 3*r.Expected {
			tooShort++
		}
	}
	if len(expected) == 0 {
		return Estimate{}
	}
	return Estimate{len(expected), quantile(expected, 0.5).Milliseconds(), quantile(actual, 0.5).Milliseconds(), float64(tooShort) / float64(len(expected))}
}

func getOrCreate[K comparable](groups map[K]*Counts, key K) *Counts {
	if groups[key] == nil {
		groups[key] = &Counts{}
	}
	return groups[key]
}

// Print writes the report as tables.
func (r *Report) Print(w io.Writer) {
	r.printGroups(w, "window_s", func(add func(string, *Counts)) {
		for i := range r.Windows {
			add(strconv.FormatFloat(r.Windows[i].StartSeconds, 'f', -1, 64), r.Windows[i].Counts)
		}
	})
	r.printGroups(w, "route", func(add func(string, *Counts)) {
		for _, route := range slices.Sorted(maps.Keys(r.ByRoute)) {
			add(orDash(route), r.ByRoute[route])
		}
	})
	r.printGroups(w, "caller_region>server_region", func(add func(string, *Counts)) {
		order := func(a, b Regions) int {
			return cmp.Or(cmp.Compare(a.Caller, b.Caller), cmp.Compare(a.Server, b.Server))
		}
		for _, regions := range slices.SortedFunc(maps.Keys(r.ByRegions), order) {
			add(regions.String(), r.ByRegions[regions])
		}
	})
	t := newTable(w)
	fmt.Fprintln(t, "route\tattempts\tmedian_expected_ms\tmedian_real_ms\treal_over_1.5_expected\t")
	for _, route := range slices.Sorted(maps.Keys(r.Estimates)) {
		e := r.Estimates[route]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.2f\t\n", orDash(route), e.Requests, e.MedianExpectedMs, e.MedianRealMs, e.TooShort)
	}
	_ = t.Flush()
}

// printGroups writes a table with a row for each group, a column for each outcome and one for each cause that occurs.
func (r *Report) printGroups(w io.Writer, title string, groups func(add func(name string, c *Counts))) {
	t := newTable(w)
	fmt.Fprintf(t, "%s\trequests", title)
	for _, name := range outcomeNames {
		fmt.Fprintf(t, "\t%s", name)
	}
	causes := r.Total.occurring()
	for _, cause := range causes {
		fmt.Fprintf(t, "\t%s", cause)
	}
	fmt.Fprintln(t, "\t")
	row := func(name string, c *Counts) {
		fmt.Fprintf(t, "%s\t%d", name, c.Requests)
		for _, n := range c.Outcomes {
			fmt.Fprintf(t, "\t%d", n)
		}
		for _, cause := range causes {
			fmt.Fprintf(t, "\t%d", c.Causes[cause])
		}
		fmt.Fprintln(t, "\t")
	}
	groups(row)
	row("all", r.Total)
	_ = t.Flush()
	fmt.Fprintln(w)
}

// occurring returns the causes with at least one loss.
func (c *Counts) occurring() []Cause {
	var list []Cause
	for cause, n := range c.Causes {
		if n > 0 {
			list = append(list, Cause(cause))
		}
	}
	return list
}

func newTable(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
