package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
)

// Stream is a flow of like requests.
type Stream struct {
	// Name stands in the report, usually the rank.
	Name string
	// Rate is the mean number of requests a second; the gaps are exponential.
	Rate    float64
	Request Request
	// Keyed gives each request an Idempotency-Key of its own.
	Keyed bool
	// Callers send in turn.
	Callers []*Caller
	// Marked gives each request a query parameter of its own and checks that the answer repeats it.
	Marked bool
	// Observe is called with each request and its result, from many goroutines. Default nil.
	Observe func(Request, Result)
	// LeadIn is the time after the start whose answers WithinRun leaves out. Default 0.
	LeadIn time.Duration
	// Seed seeds the gaps; 0 takes a random one.
	Seed uint64
}

// Stats counts the results of one stream.
type Stats struct {
	Name     string
	Sent     int
	Answered int
	// InTime counts answers that arrived within the timeout of their request.
	InTime int
	// WithinRun counts answers that arrived after LeadIn and before the end of the time in which requests were sent.
	WithinRun int
	// Crossed counts answers to marked requests that do not repeat the mark.
	Crossed int
	// NotRun counts refusals that promise the request was not run.
	NotRun int
	// Unknown counts result codes 3xxx and broken connections to the entry host.
	Unknown int
	// Cut counts broken connections to the entry host among Unknown.
	Cut int
	// Other counts every other result, such as a code 4xxx or 5xxx.
	Other int
	// Codes counts results by code.
	Codes map[int]int
	// Hosts counts answers by entry host.
	Hosts map[string]int

	latency *hdrhistogram.Histogram
	// lateness is how long after its due time each request was sent.
	lateness *hdrhistogram.Histogram
	mu       sync.Mutex
}

func newStats(name string) *Stats {
	return &Stats{
		Name:     name,
		Codes:    map[int]int{},
		Hosts:    map[string]int{},
		latency:  hdrhistogram.New(1, 60_000_000, 3),
		lateness: hdrhistogram.New(1, 60_000_000, 3),
	}
}

// Quantile returns the latency that the share q (0 to 1) of the answers stays under.
func (s *Stats) Quantile(q float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latency == nil {
		return 0
	}
	return time.Duration(s.latency.ValueAtQuantile(100*q)) * time.Microsecond
}

// Lateness returns the time that the share q (0 to 1) of the requests was sent late at most. A high value shows that the
// machine, not the system, delayed requests.
func (s *Stats) Lateness(q float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.lateness.ValueAtQuantile(100*q)) * time.Microsecond
}

// SortedCodes lists the result codes that occurred, in order.
func (s *Stats) SortedCodes() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.Codes))
}

func (s *Stats) sent(late time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Sent++
	_ = s.lateness.RecordValue(max(late.Microseconds(), 1))
}

func (s *Stats) add(result Result, timeout time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if result.Err == nil {
		s.Codes[result.Code]++
	}
	switch {
	case result.Answered():
		s.Answered++
		if result.Latency <= timeout {
			s.InTime++
		}
		s.Hosts[result.Host]++
		_ = s.latency.RecordValue(max(result.Latency.Microseconds(), 1))
	case result.NotRun():
		s.NotRun++
	case result.Err != nil:
		s.Unknown++
		s.Cut++
	case result.Code >= 3000 && result.Code < 4000:
		s.Unknown++
	default:
		s.Other++
	}
}

func (s *Stats) checkAnswer(repeatsMark, withinRun bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !repeatsMark {
		s.Crossed++
	}
	if withinRun {
		s.WithinRun++
	}
}

// Run sends all streams for the duration and waits for the last answers.
func Run(ctx context.Context, streams []Stream, duration time.Duration) []*Stats {
	all := make([]*Stats, len(streams))
	var wg sync.WaitGroup
	for i, stream := range streams {
		all[i] = newStats(stream.Name)
		wg.Add(1)
		go func() {
			defer wg.Done()
			runStream(ctx, stream, all[i], duration)
		}()
	}
	wg.Wait()
	return all
}

func runStream(ctx context.Context, stream Stream, stats *Stats, duration time.Duration) {
	if stream.Rate <= 0 {
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	gaps := newGaps(stream)
	due := time.Now()
	counted := period{due.Add(stream.LeadIn), due.Add(duration)}
	for i := 0; ctx.Err() == nil; i++ {
		due = due.Add(gaps())
		if due.After(counted.to) {
			return
		}
		time.Sleep(time.Until(due))
		stats.sent(time.Since(due))
		caller := stream.Callers[i%len(stream.Callers)]
		wg.Add(1)
		go func() {
			defer wg.Done()
			runRequest(ctx, stream, caller, stats, counted)
		}()
	}
}

// period is a time from one moment to another.
type period struct{ from, to time.Time }

func (p period) contains(t time.Time) bool { return !t.Before(p.from) && t.Before(p.to) }

// newGaps returns the times between two requests of a stream.
func newGaps(stream Stream) func() time.Duration {
	seed := stream.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	rng := rand.New(rand.NewPCG(seed, 0))
	return func() time.Duration {
		return time.Duration(rng.ExpFloat64() / stream.Rate * float64(time.Second))
	}
}

func runRequest(ctx context.Context, stream Stream, caller *Caller, stats *Stats, counted period) {
	request := stream.Request
	if stream.Keyed {
		request.IdempotencyKey = uuid.NewString()
	}
	mark := ""
	if stream.Marked {
		mark = "mark=" + uuid.NewString()
		request.Path += "?" + mark
	}
	result := caller.Send(context.WithoutCancel(ctx), request)
	stats.add(result, request.Timeout)
	if result.Answered() {
		stats.checkAnswer(bytes.Contains(result.Body, []byte(mark)), counted.contains(time.Now()))
	}
	if stream.Observe != nil {
		stream.Observe(request, result)
	}
}

// WriteTable writes one line for each stream.
func WriteTable(w io.Writer, all []*Stats) {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "rank\tsent\tanswered\trefused, not run\tfailed\tp50 ms\tp99 ms\tp99.9 ms\t")
	for _, s := range all {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t\n", s.Name, s.Sent, s.Answered, s.NotRun, s.Unknown+s.Other,
			millis(s.Quantile(0.5)), millis(s.Quantile(0.99)), millis(s.Quantile(0.999)))
	}
	_ = table.Flush()
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
