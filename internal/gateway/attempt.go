package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/backend"
	"github.com/foxtailtack/foxtailtack/internal/catalog"
	"github.com/foxtailtack/foxtailtack/internal/placement"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

const (
	// maxResponseBytes bounds a response that is held in memory.
	maxResponseBytes = 16 << 20
	// maxUnsentAttempts is the number of further attempts after attempts that failed to open a connection. No server
	// receives anything from such attempts, so they count neither as attempts of the route nor against the retry budget.
	maxUnsentAttempts = 3
)

// normalSpeed is the reported speed of a machine on which work takes its usual time.
const normalSpeed = 100

// errPaused fails an attempt whose server was chosen before a pause of the process. It does not count as a failure of the server.
var errPaused = result.Fail(result.ConnectFailed, "the process was paused after the decision")

// errWithdrawn fails an attempt whose server takes no more requests since it was chosen. It does not count as a failure of the server.
var errWithdrawn = result.Fail(result.NoCapacity, "the backend server takes no more requests since it was chosen")

// response is the complete response of a backend server.
type response struct {
	status int
	header http.Header
	body   []byte
}

// dispatch makes attempts until a backend server has responded or no retry is allowed.
func (req *request) dispatch(ctx context.Context) (*response, *result.Failure) {
	g := req.g
	if failure := req.checkStop(); failure != nil {
		return nil, failure
	}
	g.withTable(func(t *placement.Table) {
		req.target = t.Service(req.route, req.view.Configuration.Version)
		t.RecordRequest(req.target)
	})
	callerCtx := ctx
	ctx, endDeadline := context.WithDeadline(ctx, req.deadline.Add(responseMargin))
	defer endDeadline()
	ctx, cancel := g.untilStop(ctx)
	defer cancel()
	for {
		decision, failure := req.chooseServer()
		if failure != nil {
			return req.finalResult(failure)
		}
		attemptResult := req.attempt(ctx, &decision)
		outcome := evaluate(req, &attemptResult)
		if outcome.failure != nil && g.running.Err() != nil && callerCtx.Err() == nil {
			outcome.failure = failureAtStop(outcome.failure)
		}
		g.logAttempt(req, &decision, &attemptResult, outcome)
		if outcome.response != nil {
			req.latestResponse = outcome.response
		}
		if outcome.failure != nil || outcome.retryable {
			req.failedAttempts++
			switch {
			case outcome.failure == errPaused:
			case req.shedWithFreeSlot(outcome.failure):
				req.shedBy = append(req.shedBy, decision.Server.ID)
			default:
				req.excluded = append(req.excluded, decision.Server.ID)
			}
		}
		if ctx.Err() != nil || !outcome.retryable || !req.mayRetry(outcome) {
			return req.finalResult(outcome.failure)
		}
	}
}

// shedWithFreeSlot reports whether the latest server shed the request although it has a free slot. Such a server may get the
// request again: it has the object warm, and other servers are as likely to shed the request.
func (req *request) shedWithFreeSlot(failure *result.Failure) bool {
	if failure == nil || failure.Code != result.BackendShed {
		return false
	}
	req.g.mu.Lock()
	defer req.g.mu.Unlock()
	return req.g.table.HasFreeSlot(&req.latestDecision, time.Now())
}

// mayRetry reports whether a retry is allowed after a failed attempt. It spends the retry budget if the attempt may have reached a
// server.
func (req *request) mayRetry(outcome attemptOutcome) bool {
	if !outcome.sent {
		req.unsentAttempts++
		return req.unsentAttempts <= maxUnsentAttempts
	}
	req.sentAttempts++
	return req.sentAttempts < req.route.Attempts && req.spendRetry()
}

// finalResult returns the latest response of a server, even if it has an error status, or else the failure. If an earlier attempt
// may have run, it replaces a failure that would state that the request has not run.
func (req *request) finalResult(failure *result.Failure) (*response, *result.Failure) {
	switch {
	case req.latestResponse != nil:
		return req.latestResponse, nil
	case failure.Code.NotRun() && req.mayHaveRun:
		return nil, result.Fail(result.ConnectionLost, "an earlier attempt may have run; last failure: %s", failure.Message)
	default:
		return nil, failure
	}
}

func (req *request) spendRetry() bool {
	req.g.mu.Lock()
	defer req.g.mu.Unlock()
	return req.g.table.SpendRetry(req.target)
}

// placementRequest returns the description of the request for package placement.
func (req *request) placementRequest() *placement.Request {
	object := placement.ObjectOf(req.route, req.info.Object)
	if !req.route.Sticky || req.info.Object == "" {
		object = req.info.ID
	}
	return &placement.Request{
		Route: req.route, Customer: req.customer, Service: req.target, Object: object, LargeBody: req.route.LargeBodies, Deadline: req.deadline, Excluded: req.excluded,
	}
}

// chooseServer chooses the backend server of the next attempt and counts the attempt in the table.
func (req *request) chooseServer() (placement.Decision, *result.Failure) {
	g := req.g
	req.epoch = g.pauses.Check()
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	r := req.placementRequest()
	req.latestDecision = g.table.Choose(r, now)
	if req.latestDecision.Server != nil && !g.table.StartAttempt(&req.latestDecision, now) {
		req.latestDecision.Server, req.latestDecision.Reason = nil, placement.ReasonColdLimit
	}
	if req.latestDecision.Server != nil {
		return req.latestDecision, nil
	}
	return req.latestDecision, result.Fail(rejectionCode(req.latestDecision.Reason), "%s: %s", req.target, req.latestDecision.Reason)
}

func rejectionCode(reason placement.Reason) result.Code {
	switch reason {
	case placement.ReasonNoUsableServer, placement.ReasonServiceNotConfigured:
		return result.NoBackendServer
	case placement.ReasonDeadlineTooEarly:
		return result.TimeoutTooShort
	default:
		return result.NoCapacity
	}
}

// attempt sends the request to the server of a decision and records the result in the table.
func (req *request) attempt(ctx context.Context, d *placement.Decision) backend.Result {
	g := req.g
	service := &policy.Service{Name: req.target, MaxResponseBytes: maxResponseBytes}
	server := &policy.BackendServer{
		ID: d.Server.ID, Service: req.target, FailureDomain: d.Server.FailureDomain, Address: d.Server.Address,
		Slots: d.Server.Slots, MaxConnections: req.connections(),
	}
	epoch, placed := req.epoch, req.placementRequest()
	// A late duplicate of the server's earlier rejection has the same request id. On a reused connection it would be taken for the
	// response to this attempt, and state wrongly that this attempt has not run. So the attempt uses a new connection.
	shedBefore := slices.Contains(req.shedBy, d.Server.ID)
	res := g.backends.Do(ctx, service, server, &backend.Request{
		ID: req.info.ID, ServerID: d.Server.ID, Method: req.method, Path: req.path, Header: req.header, Body: req.body,
		BeforeWrite: func() error {
			if g.pauses.Check() != epoch {
				return errPaused
			}
			maySend := false
			g.withTable(func(t *placement.Table) { maySend = t.MaySend(d, placed, time.Now()) })
			if !maySend {
				return errWithdrawn
			}
			return nil
		},
		ReplaceCustomer: req.view.Configuration.KeysRequired, Customer: req.customerName(),
		Repeatable: req.route.Idempotent, NewConnection: shedBefore, SingleUse: req.route.LargeBodies, Bodies: req.bodies, TimeBudget: max(time.Millisecond, time.Until(req.deadline)-d.RoundTrip),
	})
	info := g.response(req, d, &res)
	now := time.Now()
	speed := 0.0
	if info.Load.HasSpeed {
		speed = info.Load.Speed / normalSpeed
	}
	observation := &placement.AttemptResult{
		ConnectTime: res.ConnectDuration, Duration: res.Duration,
		Completed: res.Outcome == backend.Completed && res.Status < http.StatusInternalServerError,
		Shed:      res.Failure != nil && res.Failure.Code == result.BackendShed,
		Failed:    res.ServerFault || res.TooLargeWithoutLength || res.Outcome == backend.Completed && res.Status >= http.StatusInternalServerError && res.Status != http.StatusGatewayTimeout,
		Requests:  info.Load.Running + info.Load.Waiting, HasRequests: info.HasLoad, Speed: speed,
		Notice: info.Notice,
	}
	req.latestAttempt, req.latestInfo = observation, info
	var changes []placement.ServerChange
	g.withTable(func(t *placement.Table) { changes = t.EndAttempt(d, placed, observation, now) })
	for _, c := range changes {
		g.log.Warn().Str("server", d.Server.ID).Str("request_id", req.info.ID).Float64("rate_limit", c.RateLimit).
			Int64("for_ms", c.For.Milliseconds()).Msg(c.Event)
	}
	return res
}

// response reads the headers of the response to an attempt, and logs those that cannot be decoded. Without a response the result is
// empty.
func (g *Gateway) response(req *request, d *placement.Decision, res *backend.Result) ResponseInfo {
	if res.Header == nil {
		return ResponseInfo{}
	}
	info := g.dialect.Response(res.Status, res.Header)
	if len(info.Malformed) > 0 {
		g.log.Warn().Str("server", d.Server.ID).Str("request_id", req.info.ID).Strs("headers", info.Malformed).Msg("headers_ignored")
	}
	return info
}

// connections returns this host's share of the connections that a backend server accepts.
func (req *request) connections() int {
	service := req.view.Configuration.Services[req.target]
	if service == nil {
		return 1
	}
	return max(2, service.MaxConnections/max(1, len(req.view.Hosts)))
}

// attemptOutcome states how the result of an attempt affects the request.
type attemptOutcome struct {
	// response is the server's response if it may be forwarded to the caller, else nil.
	response *response
	failure  *result.Failure
	// retryable is true if another server may get the request.
	retryable bool
	// sent is true if the attempt may have reached the server.
	sent bool
}

// evaluate derives the outcome for the request from the result of its latest attempt.
func evaluate(req *request, res *backend.Result) attemptOutcome {
	switch res.Outcome {
	case backend.NotRun:
		return attemptOutcome{failure: res.Failure, retryable: res.Failure.Code != result.CallerGone, sent: res.BytesWritten > 0}
	case backend.Completed:
		return evaluateResponse(req, res)
	default:
		req.mayHaveRun = true
		return attemptOutcome{failure: res.Failure, retryable: req.route.Idempotent, sent: true}
	}
}

func evaluateResponse(req *request, res *backend.Result) attemptOutcome {
	switch {
	case !req.latestInfo.Stamped && res.Status < http.StatusMultipleChoices:
		req.mayHaveRun = true
		return attemptOutcome{failure: result.Fail(result.IncompleteResponse, "the response with status %d does not come from a backend server", res.Status), retryable: req.route.Idempotent, sent: true}
	case meansNotRun(res.Status):
		// Callers read this status as a statement that the request has not run. The server did not state that, so the status is not
		// forwarded.
		req.mayHaveRun = true
		return attemptOutcome{failure: result.Fail(result.ConnectionLost, "the backend server failed with status %d and may have run the request", res.Status), retryable: req.route.Idempotent, sent: true}
	}
	forwarded := &response{status: res.Status, header: res.Header, body: res.Body}
	retryable := req.route.Idempotent && res.Status >= http.StatusInternalServerError && res.Status != http.StatusGatewayTimeout
	return attemptOutcome{response: forwarded, retryable: retryable, sent: true}
}

// meansNotRun reports whether callers read a status as a statement that the request has not run.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// logAttempt logs an attempt that failed or whose response may be retried.
func (g *Gateway) logAttempt(req *request, d *placement.Decision, res *backend.Result, outcome attemptOutcome) {
	if outcome.failure == nil && !outcome.retryable {
		return
	}
	event := g.log.Info().Str("request_id", req.info.ID).Str("server", d.Server.ID).Str("outcome", res.Outcome.String()).
		Int("status", res.Status).Bool("reused", res.Reused).Int64("bytes_written", res.BytesWritten).
		Int64("took_ms", res.Duration.Milliseconds()).Float64("load", d.Load).Int64("load_age_ms", d.LoadAge.Milliseconds()).Bool("again", outcome.retryable)
	if outcome.failure != nil {
		event.Str("failure", outcome.failure.Message)
	}
	event.Msg("attempt_failed")
}

// closeRemovedServers closes the idle connections to backend servers that are not in the view.
func closeRemovedServers(backends *backend.Client, view *catalog.View) {
	backends.Retain(func(id string) bool { return view.Servers[id] != nil })
}
