package backend

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Periods and bounds of polling.
const (
	// pollInterval is the time between two polls of a health endpoint, before jitter.
	pollInterval = time.Second
	// pollTimeout bounds one poll.
	pollTimeout = time.Second
	// loadEvery is the number of polls for each poll of the load. Load only breaks ties, so it may be older.
	loadEvery = 4
	// pollConcurrency bounds the polls that run at once, so that silent backend servers do not pile up connections.
	pollConcurrency = 16
	// maxPollBytes bounds what is read of an answer.
	maxPollBytes = 4 << 10
	// loadPath is the path of the load endpoint.
	loadPath = "/load"
)

// Poller asks health and load endpoints and hands the results to a Registry.
type Poller struct {
	registry *Registry
	client   *http.Client
	slots    chan struct{}
}

// NewPoller returns a poller for the backend servers of the registry.
func NewPoller(registry *Registry) *Poller {
	transport := &http.Transport{
		Proxy:               nil,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     loadEvery * pollInterval,
	}
	return &Poller{
		registry: registry,
		client:   &http.Client{Transport: transport, Timeout: pollTimeout, CheckRedirect: noRedirect},
		slots:    make(chan struct{}, pollConcurrency),
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer p.client.CloseIdleConnections()
	defer running.Wait()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		for _, t := range p.registry.Targets(time.Now()) {
			running.Go(func() { p.pollLater(ctx, t, round%loadEvery == 0) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pollLater spreads the polls of one round over half of the interval.
func (p *Poller) pollLater(ctx context.Context, t Target, withLoad bool) {
	delay := time.NewTimer(rand.N(pollInterval / 2))
	defer delay.Stop()
	select {
	case <-ctx.Done():
		return
	case <-delay.C:
	}
	select {
	case <-ctx.Done():
		return
	case p.slots <- struct{}{}:
	}
	defer func() { <-p.slots }()
	p.pollHealth(ctx, t)
	if withLoad {
		p.pollLoad(ctx, t)
	}
}

func (p *Poller) pollHealth(ctx context.Context, t Target) {
	h := Health{At: Observed{SentAt: time.Now()}}
	answer, err := p.get(ctx, t.HealthURL)
	h.At.ReceivedAt = time.Now()
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		h.Reached = true
		h.Healthy = answer.status >= 200 && answer.status < 300
		h.Draining = answer.draining
	}
	p.registry.TakeHealth(t.ID, h)
}

func (p *Poller) pollLoad(ctx context.Context, t Target) {
	sentAt := time.Now()
	answer, err := p.get(ctx, t.LoadURL)
	if err != nil || answer.status != http.StatusOK {
		return
	}
	var report LoadReport
	if json.Unmarshal(answer.body, &report) == nil {
		p.registry.TakeLoad(t.ID, report, sentAt)
	}
}

// polled is the part of an answer that a poll uses.
type polled struct {
	status   int
	draining bool
	body     []byte
}

func (p *Poller) get(ctx context.Context, url string) (polled, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return polled{}, Error.Wrap(err)
	}
	res, err := p.client.Do(req)
	if err != nil {
		return polled{}, Error.Wrap(err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxPollBytes))
	if err != nil {
		return polled{}, Error.Wrap(err)
	}
	_, draining := ownProtocol.answerHeader(res.Header)
	return polled{status: res.StatusCode, draining: draining || bodySaysDraining(body), body: body}, nil
}

// bodySaysDraining reads the JSON field draining.
func bodySaysDraining(body []byte) bool {
	var answer struct {
		Draining bool `json:"draining"`
	}
	return json.Unmarshal(body, &answer) == nil && answer.Draining
}
