package backend

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/httpconn"
)

// Periods and bounds of polling.
const (
	// pollInterval is the time between two polls of a health endpoint, before jitter.
	pollInterval = time.Second
	// pollTimeout bounds one poll.
	pollTimeout = time.Second
	// pollsPerLoadPoll is the number of health polls for each load poll. Load only breaks ties, so it may be less current.
	pollsPerLoadPoll = 4
	// pollConcurrency bounds the concurrent polls, so that connections to unresponsive backend servers do not accumulate.
	pollConcurrency = 16
	// maxPollBytes bounds the part of a response body that is read.
	maxPollBytes = 4 << 10
	// loadPath is the path of the load endpoint.
	loadPath = "/load"
)

// Poller polls health and load endpoints and records the results in a Registry.
type Poller struct {
	registry    *Registry
	client      *http.Client
	concurrency chan struct{}
}

// NewPoller returns a poller for the backend servers of the registry.
func NewPoller(registry *Registry) *Poller {
	transport := &http.Transport{
		Proxy:               nil,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     pollsPerLoadPoll * pollInterval,
	}
	return &Poller{
		registry:    registry,
		client:      &http.Client{Transport: httpconn.NewTransport(transport), Timeout: pollTimeout, CheckRedirect: noRedirect},
		concurrency: make(chan struct{}, pollConcurrency),
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Run polls until ctx is done.
func (p *Poller) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer p.client.CloseIdleConnections()
	defer running.Wait()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		for _, t := range p.registry.Targets(time.Now()) {
			running.Go(func() { p.pollAfterDelay(ctx, t, round%pollsPerLoadPoll == 0) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pollAfterDelay polls a backend server after a random delay, which spreads the polls of one round over half of the interval.
func (p *Poller) pollAfterDelay(ctx context.Context, t Target, withLoad bool) {
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
	case p.concurrency <- struct{}{}:
	}
	defer func() { <-p.concurrency }()
	p.pollHealth(ctx, t)
	if withLoad {
		p.pollLoad(ctx, t)
	}
}

func (p *Poller) pollHealth(ctx context.Context, t Target) {
	h := Health{At: ObservedInterval{SentAt: time.Now()}}
	response, err := p.get(ctx, t.HealthURL)
	h.At.ReceivedAt = time.Now()
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		h.Reached = true
		h.Healthy = response.status >= 200 && response.status < 300
		h.Draining = response.draining
	}
	p.registry.RecordHealth(t.ID, h)
}

func (p *Poller) pollLoad(ctx context.Context, t Target) {
	sentAt := time.Now()
	response, err := p.get(ctx, t.LoadURL)
	if err != nil || response.status != http.StatusOK {
		return
	}
	var report LoadReport
	if json.Unmarshal(response.body, &report) == nil {
		p.registry.RecordLoad(t.ID, report, sentAt)
	}
}

// pollResponse is the part of a response that a poll uses.
type pollResponse struct {
	status   int
	draining bool
	body     []byte
}

func (p *Poller) get(ctx context.Context, url string) (pollResponse, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return pollResponse{}, Error.Wrap(err)
	}
	res, err := p.client.Do(req)
	if err != nil {
		return pollResponse{}, Error.Wrap(err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxPollBytes))
	if err != nil {
		return pollResponse{}, Error.Wrap(err)
	}
	_, draining := ownProtocol.responseHeader(res.Header)
	return pollResponse{status: res.StatusCode, draining: draining || isDrainingBody(body), body: body}, nil
}

// isDrainingBody reports whether the JSON field draining of a body is true.
func isDrainingBody(body []byte) bool {
	var fields struct {
		Draining bool `json:"draining"`
	}
	return json.Unmarshal(body, &fields) == nil && fields.Draining
}
