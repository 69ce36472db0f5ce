package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/foxtailtack/foxtailtack/internal/bodies"
	"github.com/foxtailtack/foxtailtack/internal/catalog"
	"github.com/foxtailtack/foxtailtack/internal/guard"
	"github.com/foxtailtack/foxtailtack/internal/listener"
	"github.com/foxtailtack/foxtailtack/internal/pause"
	"github.com/foxtailtack/foxtailtack/internal/placement"
	"github.com/foxtailtack/foxtailtack/internal/result"
	"github.com/foxtailtack/foxtailtack/internal/usagecap"
)

const (
	// responseMargin is the time after a request's deadline for which the host still waits for a response: a backend server that
	// stops work at the deadline reports that itself, one round trip later. The platform requires a response within half a second
	// after the deadline.
	responseMargin = 200 * time.Millisecond
	// bodyTimeout bounds the time in which a caller has to send its body if it states no timeout.
	bodyTimeout = 10 * time.Second
	// responseWriteTimeout bounds the time in which a caller has to read its response, so that callers that do not read cannot hold
	// memory indefinitely.
	responseWriteTimeout = 30 * time.Second
	// startupWait is the time after the start of a process in which requests wait for the first configuration, which takes one to two
	// seconds on the largest deployments. Later requests are rejected at once. startupWaitShare is the share of a caller's timeout
	// that a request waits at most.
	startupWait      = 3 * time.Second
	startupWaitShare = 0.3
	// tracerName names the instrumentation of this package.
	tracerName = "github.com/foxtailtack/foxtailtack/internal/gateway"
)

// request is one request of a caller.
type request struct {
	g     *Gateway
	info  RequestInfo
	view  *catalog.View
	route *catalog.Route
	// customer is the customer on whose behalf the request is made, nil if it has none.
	customer *catalog.Customer
	// refusal is the reason of a rejection because of the customer, empty if there is none.
	refusal refusal
	// usage is the decision about the customer's usage cap. holdsToken is true if a request that does not run gives a token back.
	usage      usagecap.Decision
	holdsToken bool
	// target is the service that the request goes to.
	target string
	// arrived is the time at which the head of the request was received, started the time at which its handling began. Between them a
	// request waits for those that were sent before it on its connection.
	arrived  time.Time
	started  time.Time
	deadline time.Time
	// callerDeadline is the time until which the caller waits for a response.
	callerDeadline time.Time
	method         string
	path           string
	header         http.Header
	body           []byte
	// bodies accounts for the memory of the request body and the response bodies.
	bodies *bodies.Reservation
	// bodyPending is true while bytes of the body may still arrive.
	bodyPending bool
	span        trace.Span

	failedAttempts int
	// excluded lists the servers that must not get the request again.
	excluded []string
	// shedBy lists the servers that shed the request although they had a free slot. They may get it again.
	shedBy []string
	// sentAttempts and unsentAttempts count the failed attempts that may have reached a server and those that did not.
	sentAttempts   int
	unsentAttempts int
	// latestResponse is the latest response that may be forwarded to the caller.
	latestResponse *response
	latestDecision placement.Decision
	// latestAttempt is the result of the latest attempt, nil if there was none. latestInfo is what its response reported.
	latestAttempt *placement.AttemptResult
	latestInfo    ResponseInfo
	// epoch is the pause epoch in which the latest decision was made.
	epoch pause.Epoch
	// mayHaveRun is true once an attempt failed and the server did not state that the request has not run.
	mayHaveRun bool
	// responseStarted is true once the host has begun to write a response or a rejection.
	responseStarted bool
	// callerDisconnected is true if the caller closed its connection before the request was completed.
	callerDisconnected bool
}

// ServeHTTP handles a request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.activeRequests.Add(1)
	defer g.activeRequests.Add(-1)
	req := g.newRequest(r)
	defer req.bodies.Release()
	defer g.recoverPanic(w, req)
	failure := req.prepare(w, r)
	if failure != nil {
		g.reject(w, req, failure)
		return
	}
	ctx, span := otel.Tracer(tracerName).Start(r.Context(), "request", trace.WithAttributes(
		attribute.String("foxtailtack.request_id", req.info.ID), attribute.String("foxtailtack.route", req.route.Name)))
	defer span.End()
	req.span = span
	res, failure := req.dispatch(ctx)
	req.callerDisconnected = r.Context().Err() != nil
	if failure != nil {
		g.reject(w, req, failure)
		return
	}
	g.forward(w, req, res)
}

func (g *Gateway) newRequest(r *http.Request) *request {
	req := &request{
		g: g, info: g.dialect.Request(r), view: g.follower.View(), arrived: listener.ReceivedAt(r.Context()), started: time.Now(),
		method: r.Method, path: r.RequestURI, header: r.Header, bodies: g.bodies.NewReservation(),
	}
	if req.info.ID == "" {
		req.info.ID = uuid.NewString()
	}
	return req
}

// recoverPanic recovers from a panic in the handling of a request and sends an error response. That does not state that the
// request has not run, because it may have run. It must be deferred directly.
func (g *Gateway) recoverPanic(w http.ResponseWriter, req *request) {
	r := recover()
	switch {
	case r == nil:
		return
	case r == http.ErrAbortHandler:
		panic(r)
	}
	guard.LogPanic(g.log.With().Str("request_id", req.info.ID).Logger(), "request", r)
	if req.responseStarted {
		// Part of a response may have been sent already.
		panic(http.ErrAbortHandler)
	}
	g.reject(w, req, result.Fail(result.Internal, "unexpected error"))
}

// prepare finds the route of the request, sets its deadlines and reads its body.
func (req *request) prepare(w http.ResponseWriter, r *http.Request) *result.Failure {
	if err := req.setBodyDeadline(w, r); err != nil {
		return result.Fail(result.BadRequest, "the connection is closed: %v", err)
	}
	configuration := req.configuration(r.Context())
	if configuration == nil {
		return result.Fail(result.NotReady, "no configuration is known yet")
	}
	if failure := req.findRoute(configuration, r.Host, r.URL.EscapedPath()); failure != nil {
		return failure
	}
	if req.route.Unusable != "" {
		return result.Fail(result.RouteUnusable, "route %q: %s", req.route.Name, req.route.Unusable)
	}
	if failure := req.authenticate(configuration); failure != nil {
		return failure
	}
	if failure := req.admitCustomer(); failure != nil {
		return failure
	}
	return req.readBody(w, r, configuration.Limits.BodyBytes)
}

// findRoute sets the route of the request and its deadlines.
func (req *request) findRoute(c *catalog.Configuration, host, path string) *result.Failure {
	req.route = c.Route(hostName(host), path)
	switch {
	case req.route == nil && c.RoutesIncomplete:
		return result.Fail(result.RouteUnusable, "no route for host name %q and path %q, and a route of the configuration cannot be read", host, path)
	case req.route == nil:
		return result.Fail(result.NoRoute, "no route for host name %q and path %q", host, path)
	}
	req.callerDeadline = req.arrived.Add(req.route.Timeout)
	if req.info.CallerTimeout > 0 {
		req.callerDeadline = req.arrived.Add(req.info.CallerTimeout)
	}
	req.deadline = req.arrived.Add(req.route.Timeout)
	if req.callerDeadline.Before(req.deadline) {
		req.deadline = req.callerDeadline
	}
	return nil
}

// configuration returns the configuration in force, or nil. Shortly after the start of the process it waits for the first
// configuration, which the process has once it has read the store. A caller whose request is rejected instead would retry too
// soon, and retries only once.
func (req *request) configuration(ctx context.Context) *catalog.Configuration {
	if req.view.Configuration != nil {
		return req.view.Configuration
	}
	maxWait := req.g.startupWait - time.Since(req.g.startedAt)
	if req.info.CallerTimeout > 0 {
		maxWait = min(maxWait, time.Duration(startupWaitShare*float64(req.info.CallerTimeout)))
	}
	select {
	case <-req.g.follower.Configured():
	case <-ctx.Done():
	case <-time.After(maxWait):
	}
	req.view = req.g.follower.View()
	return req.view.Configuration
}

// mayRunPipelined reports whether a request may run before the earlier requests on its connection are completed. This requires
// that the request is idempotent and will not be refused because of its key. Full servers are no reason to wait: it would save them no work, because callers send their requests
// at the same rate. A response that waits for earlier ones takes memory, so none runs ahead while the memory for bodies is scarce.
func (g *Gateway) mayRunPipelined(r *http.Request) bool {
	configuration := g.follower.View().Configuration
	if configuration == nil || g.bodies.IsScarce() {
		return false
	}
	route := configuration.Route(hostName(r.Host), r.URL.EscapedPath())
	if route == nil || !route.Idempotent || route.Unusable != "" {
		return false
	}
	_, reason := authenticate(configuration, route, g.dialect.Request(r))
	return reason == notRefused
}

// hostName returns host without the port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// setBodyDeadline bounds the time in which the body has to arrive, and allows a response to be sent before the body is read.
func (req *request) setBodyDeadline(w http.ResponseWriter, r *http.Request) error {
	if r.Body == http.NoBody {
		return nil
	}
	timeout := req.info.CallerTimeout
	if timeout <= 0 {
		timeout = bodyTimeout
	}
	req.bodyPending = true
	controller := http.NewResponseController(w)
	return errors.Join(controller.EnableFullDuplex(), controller.SetReadDeadline(req.arrived.Add(timeout)))
}

// readBody reads the whole body, so that the request can be retried and no attempt waits for a slow caller.
func (req *request) readBody(w http.ResponseWriter, r *http.Request, limit int64) *result.Failure {
	if !req.bodyPending {
		return nil
	}
	defer req.endBodyAtStop(w)()
	body, err := req.receiveBody(r, limit)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && req.g.running.Err() != nil:
		return result.Fail(result.HostLeaving, "the host exits after %d bytes of the body", len(body))
	case errors.Is(err, os.ErrDeadlineExceeded):
		return result.Fail(result.BodyTimeout, "only %d bytes of the body arrived before the deadline", len(body))
	case errors.Is(err, bodies.ErrTooLong):
		return result.Fail(result.BodyTooLarge, "the body exceeds %d bytes", limit)
	case errors.Is(err, bodies.ErrBudgetExceeded), errors.Is(err, bodies.ErrClientBoundExceeded):
		return result.Fail(result.NoCapacity, "the body was rejected after %d bytes: %v", len(body), err)
	case err != nil:
		return result.Fail(result.BadRequest, "the body cannot be read: %v", err)
	}
	req.body, req.bodyPending = body, false
	// The server detects that a caller disconnects by reading from the connection, which the read deadline would stop.
	if err := http.NewResponseController(w).SetReadDeadline(time.Time{}); err != nil {
		return result.Fail(result.BadRequest, "the connection is closed: %v", err)
	}
	return nil
}

// reject sends a failure of this host to the caller.
func (g *Gateway) reject(w http.ResponseWriter, req *request, failure *result.Failure) {
	req.returnToken(failure)
	if failure.RetryAfter == 0 && statesRetryAfter(failure) {
		failure = failure.After(g.retryAfter(req, failure))
	}
	g.logRequest(req, failure, failure.Code.Describe().Status)
	if req.bodyPending {
		// The rest of the body would be read as the next request.
		w.Header().Set("Connection", "close")
	}
	g.setWriteDeadline(w, req)
	result.WritePrecise(w, failure)
}

// statesRetryAfter reports whether the response to a failed request states when the caller should retry.
func statesRetryAfter(failure *result.Failure) bool {
	return failure.Code.NotRun() && failure.Code.Describe().Status == http.StatusServiceUnavailable
}

// rankAndRemaining returns the priority of the request and the time for which its caller still waits, with assumptions where they are not known.
func (req *request) rankAndRemaining(now time.Time) (rank int, remaining time.Duration) {
	switch {
	case req.route != nil:
		return req.rank(), req.callerDeadline.Sub(now)
	case req.info.CallerTimeout > 0:
		return 0, req.info.CallerTimeout - now.Sub(req.arrived)
	default:
		return 0, time.Second
	}
}

// retryAfter returns the time after which the caller of a request that has not run should retry.
func (g *Gateway) retryAfter(req *request, failure *result.Failure) time.Duration {
	rank, remaining := req.rankAndRemaining(time.Now())
	// Other hosts have free slots for a request that this one does not take because it is stopping.
	freeSlot := failure.Code == result.HostLeaving || req.shedWithFreeSlot(failure)
	g.mu.Lock()
	defer g.mu.Unlock()
	if failure.Code == result.NotReady {
		return placement.StartRetryAfter(remaining, g.rng)
	}
	return placement.RetryAfter(rank, remaining, freeSlot, req.latestDecision.AvailableIn, g.rng)
}

// forward sends a backend server's response to the caller unchanged.
func (g *Gateway) forward(w http.ResponseWriter, req *request, res *response) {
	header := w.Header()
	for name, values := range res.header {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		// A nil value prevents content type detection by net/http.
		header["Content-Type"] = nil
	}
	if req.method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(res.body)))
	}
	g.logRequest(req, nil, res.status)
	g.setWriteDeadline(w, req)
	w.WriteHeader(res.status)
	if _, err := w.Write(res.body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		g.log.Info().Str("request_id", req.info.ID).Err(err).Msg("answer_not_delivered")
	}
}

// setWriteDeadline bounds the time in which the caller has to read the response that is written next. It is called for each
// response and rejection, because the deadline of an earlier response on the same connection may have passed.
func (g *Gateway) setWriteDeadline(w http.ResponseWriter, req *request) {
	req.responseStarted = true
	if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(responseWriteTimeout)); err != nil {
		g.log.Info().Str("request_id", req.info.ID).Err(err).Msg("answer_without_deadline")
	}
}

// logRequest logs a completed request with the inputs of its latest decision, and counts it in the metrics.
func (g *Gateway) logRequest(req *request, failure *result.Failure, status int) {
	took := time.Since(req.arrived)
	code := result.OK
	event := g.log.Info()
	if failure != nil {
		code = failure.Code
		event = g.log.Warn()
	}
	g.metrics.recordRequest(req, code, took)
	event.Str("request_id", req.info.ID).Int("status", status).Int("code", int(code)).Str("result", code.Describe().Name)
	if req.route != nil {
		event.Str("route", req.route.Name).Int("rank", req.rank()).Str("service", req.target).Str("object", req.info.Object).
			Int64("slo_ms", req.route.SLO.Milliseconds())
	}
	if req.customer != nil {
		event.Str("customer", req.customer.Name)
	}
	if req.refusal != notRefused {
		event.Str("reason", string(req.refusal))
	}
	if req.view.Configuration != nil {
		event.Uint64("config", uint64(req.view.Configuration.Version))
	}
	event.Uint64("revision", uint64(req.view.Revision)).Int64("took_ms", took.Milliseconds()).Int64("waited_ms", req.started.Sub(req.arrived).Milliseconds()).
		Int64("caller_timeout_ms", req.info.CallerTimeout.Milliseconds()).Int("failed_attempts", req.failedAttempts).Bool("caller_left", req.callerDisconnected)
	if d := &req.latestDecision; d.Reason != "" {
		event.Str("reason", string(d.Reason)).Int64("expected_ms", d.ExpectedLatency.Milliseconds()).Int("usable", d.Usable)
		if d.Server != nil {
			event.Str("server", d.Server.ID).Str("server_region", g.settings.FailureDomains[d.Server.FailureDomain]).Float64("load", d.Load).
				Int64("load_age_ms", d.LoadAge.Milliseconds()).Bool("warm", d.Warm).Int64("round_trip_ms", d.RoundTrip.Milliseconds())
		}
		if d.RateLimit > 0 {
			event.Float64("rate_limit", d.RateLimit).Float64("rate_share", d.RateShare)
		}
		if d.AvailableIn > 0 {
			event.Int64("available_in_ms", d.AvailableIn.Milliseconds())
		}
	}
	req.logUsage(event)
	if a := req.latestAttempt; a != nil {
		event.Int64("attempt_ms", a.Duration.Milliseconds()).Int64("connect_ms", a.ConnectTime.Milliseconds())
	}
	if l := req.latestInfo; l.HasLoad {
		event.Int("running", l.Load.Running).Int("waiting", l.Load.Waiting).Int("slots", l.Load.Slots)
		if l.Load.HasSpeed {
			event.Float64("speed", l.Load.Speed)
		}
	}
	if failure != nil {
		event.Str("cause", failure.Message).Int64("retry_after_ms", failure.RetryAfter.Milliseconds())
	}
	event.Msg("request")
}
