package forward

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/bodies"
	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/rank"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// Limits for the handling of a request.
const (
	// MaxForwards is the maximum number of times that a request is forwarded, counted over all entry hosts.
	MaxForwards = 2
	// SlotWaitBeforeSpill is the wait for an own slot before the request is forwarded to a peer. It is about one round trip
	// to the other failure domain of the region.
	SlotWaitBeforeSpill = 10 * time.Millisecond
	// SlotHoldTime is the time for which a slot stays in use after an attempt without a complete response, because the
	// backend server may notice late that the request was cancelled.
	SlotHoldTime = 100 * time.Millisecond
	// minRetryAfter is the shortest time after which a rejected caller should retry. A random time of up to the same length
	// is added, so that rejected callers do not all retry at once.
	minRetryAfter = 500 * time.Millisecond
)

// Options configures a Pipeline. All fields but BeforeWrite and Now are required.
type Options struct {
	// Host is the id of this entry host.
	Host string
	// Incarnation returns the incarnation of this process, which changes after the process was paused.
	Incarnation func() membership.Incarnation
	// Region returns the region of this process, as the policy states it.
	Region func() string
	// Policy returns the accepted policy, or nil if there is none yet.
	Policy    func() *policy.Snapshot
	Admitter  Admitter
	Router    Router
	Forwarder Forwarder
	Attempter Attempter
	// Bodies limits the memory of response bodies while they are read, over all attempts. Nil means no limit.
	Bodies *bodies.Budget
	// BeforeWrite runs before the first byte of each attempt, with the permit that the attempt uses. An error means that the
	// process was paused and has lost the slot; then nothing is sent.
	BeforeWrite func(Permit) error
	// Now is the clock. Default time.Now.
	Now func() time.Time
}

// Pipeline handles the requests of an entry host. It is safe for concurrent use.
type Pipeline struct {
	options                  Options
	outcomesByIdempotencyKey *OutcomeTable
	outcomesByRequestID      *OutcomeTable

	mu           sync.Mutex
	retryBudgets map[retryBudgetKey]*RetryBudget
}

// retryBudgetKey identifies a retry budget.
type retryBudgetKey struct {
	service string
	rank    rank.Rank
}

// NewPipeline returns a pipeline with empty outcome tables.
func NewPipeline(options Options) *Pipeline {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Pipeline{
		options:                  options,
		outcomesByIdempotencyKey: NewOutcomeTable(IdempotencyKeyTableOptions()),
		outcomesByRequestID:      NewOutcomeTable(ForwardedRequestTableOptions()),
		retryBudgets:             map[retryBudgetKey]*RetryBudget{},
	}
}

// Handle runs a request and returns the complete response of a backend server, or a failure. It returns a rejection at
// once and everything else within the timeout of the request. The response may be recorded for repeats, so the caller
// must not change it.
func (p *Pipeline) Handle(ctx context.Context, req *Request) *Response {
	ctx = extractTrace(ctx, req.TraceParent)
	c, failure := p.newCall(req)
	if failure != nil {
		return p.withRetryAfter(FailureResponse(failure))
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	return p.withRetryAfter(p.runAtMostOnce(ctx, c))
}

func (p *Pipeline) newCall(req *Request) (*call, *result.Failure) {
	now := p.options.Now()
	snapshot := p.options.Policy()
	if snapshot == nil {
		return nil, result.Fail(result.NotReady, "no policy has been accepted yet")
	}
	service := snapshot.Service(req.Service)
	if service == nil {
		return nil, result.Fail(result.UnknownService, "service %q is not configured", req.Service)
	}
	if req.Timeout <= 0 {
		return nil, result.Fail(result.TimeoutTooShort, "the request has no time left")
	}
	timeout := min(req.Timeout, service.MaxRequest())
	return &call{
		pipeline:        p,
		req:             req,
		service:         service,
		snapshot:        snapshot,
		retryBudget:     p.retryBudget(retryBudgetKey{service.Name, req.Rank}, now),
		deadline:        now.Add(timeout),
		forwardsLeft:    max(0, MaxForwards-req.Forwards),
		triedHosts:      []string{p.options.Host},
		rejectedRegions: map[string]bool{},
	}, nil
}

func (p *Pipeline) retryBudget(key retryBudgetKey, now time.Time) *RetryBudget {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, ok := p.retryBudgets[key]
	if !ok {
		b = NewRetryBudget(now)
		p.retryBudgets[key] = b
	}
	return b
}

// runAtMostOnce runs a request and prevents a second run on behalf of this host of a request that is not repeatable and
// has an identity: a forwarded request by its id, any other by its Idempotency-Key.
func (p *Pipeline) runAtMostOnce(ctx context.Context, c *call) *Response {
	req := c.req
	switch {
	case req.Repeatable:
		return c.run(ctx)
	case req.Forwards > 0:
		key := OutcomeKey{Caller: req.Caller, Service: req.Service, Key: req.ID}
		return p.outcomesByRequestID.Do(ctx, key, req, p.options.Now, func() *Response { return c.runDetached(ctx) })
	case req.IdempotencyKey != "":
		key := OutcomeKey{Caller: req.Caller, Service: req.Service, Key: req.IdempotencyKey}
		return p.outcomesByIdempotencyKey.Do(ctx, key, req, p.options.Now, func() *Response { return c.runDetached(ctx) })
	default:
		return c.run(ctx)
	}
}

// withRetryAfter adds RetryAfter to a rejection. It copies the response, since the response may be recorded.
func (p *Pipeline) withRetryAfter(r *Response) *Response {
	if r.RetryAfter > 0 || !needsRetryAfter(r.Code) {
		return r
	}
	copied := *r
	copied.RetryAfter = minRetryAfter + rand.N(minRetryAfter)
	return &copied
}

// needsRetryAfter reports whether a caller that was rejected with the code should retry later at this host.
func needsRetryAfter(code result.Code) bool {
	switch code {
	case result.NoCapacity, result.QueueTimeout, result.NoBackendServer, result.NoGrant, result.RetryBudgetSpent,
		result.CallerLimit, result.BackendShed, result.ConnectFailed, result.NotReady:
		return true
	default:
		return false
	}
}
