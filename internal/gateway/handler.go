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
	"github.com/foxtailtack/foxtailtack/internal/pause"
	"github.com/foxtailtack/foxtailtack/internal/placement"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

const (
	// answerMargin is the time after a request's deadline for which its answer is awaited: a backend server that stops work at
	// the deadline says so itself, one round trip later. The platform wants an answer at most half a second after it.
	answerMargin = 200 * time.Millisecond
	// bodyTimeout bounds how long a caller may take to send its body if it does not say how long it waits.
	bodyTimeout = 10 * time.Second
	// answerTimeout bounds how long a caller may take to read its answer, so that callers who read nothing hold no memory for ever.
	answerTimeout = 30 * time.Second
	// startWait is the time from the start of a process in which it expects its first configuration: one to two seconds on the largest
	// deployments. Requests wait until then; later ones are rejected at once. startPatience is the part of a caller's time that it waits.
	startWait     = 3 * time.Second
	startPatience = 0.3
	// tracerName names the instrumentation of this package.
	tracerName = "github.com/foxtailtack/foxtailtack/internal/gateway"
)

// request is one request of a caller.
type request struct {
	g     *Gateway
	info  RequestInfo
	view  *catalog.View
	route *catalog.Route
	// target is the service that the request goes to.
	target   string
	arrived  time.Time
	deadline time.Time
	// patience is the end of the time that the caller waits.
	patience time.Time
	method   string
	path     string
	header   http.Header
	body     []byte
	// bodies holds the body and those of answers.
	bodies *bodies.Reservation
	// bodyLeft is true while bytes of the body may still arrive.
	bodyLeft bool
	span     trace.Span

	// failed counts the failed attempts.
	failed int
	// tried lists the servers that are not to get the request again.
	tried []string
	// refusedBy lists servers that refused the request though they had room, and may get it again.
	refusedBy []string
	// sent and unsent count the failed attempts that may have reached a server, and those that did not.
	sent   int
	unsent int
	// kept is the latest answer of a server.
	kept *answer
	// last is the latest decision.
	last placement.Decision
	// epoch is the one in which the latest decision was made.
	epoch pause.Epoch
	// mayHaveRun is true once an attempt ended without an answer or a promise.
	mayHaveRun bool
	// answering is true once an answer or a refusal is being written.
	answering bool
	// callerLeft is true if the caller closed its connection before the end.
	callerLeft bool
}

// ServeHTTP takes the request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	req := g.newRequest(r)
	defer req.bodies.Release()
	defer g.endUnexpected(w, req)
	failure := req.receive(w, r)
	if failure != nil {
		g.refuse(w, req, failure)
		return
	}
	ctx, span := otel.Tracer(tracerName).Start(r.Context(), "request", trace.WithAttributes(
		attribute.String("foxtailtack.request_id", req.info.ID), attribute.String("foxtailtack.route", req.route.Name)))
	defer span.End()
	req.span = span
	answer, failure := req.run(ctx)
	req.callerLeft = r.Context().Err() != nil
	if failure != nil {
		g.refuse(w, req, failure)
		return
	}
	g.answer(w, req, answer)
}

func (g *Gateway) newRequest(r *http.Request) *request {
	req := &request{
		g: g, info: g.dialect.Request(r), view: g.follower.View(), arrived: time.Now(),
		method: r.Method, path: r.RequestURI, header: r.Header, bodies: g.bodies.NewReservation(),
	}
	if req.info.ID == "" {
		req.info.ID = uuid.NewString()
	}
	return req
}

// endUnexpected answers a request whose handling ended by an unexpected error. The answer promises nothing: the request may have run.
func (g *Gateway) endUnexpected(w http.ResponseWriter, req *request) {
	r := recover()
	switch {
	case r == nil:
		return
	case r == http.ErrAbortHandler:
		panic(r)
	}
	guard.Report(g.log.With().Str("request_id", req.info.ID).Logger(), "request", r)
	if req.answering {
		// Part of another answer may be on its way.
		panic(http.ErrAbortHandler)
	}
	g.refuse(w, req, result.Fail(result.Internal, "unexpected error"))
}

// receive reads the request and finds its route.
func (req *request) receive(w http.ResponseWriter, r *http.Request) *result.Failure {
	if err := req.limitBody(w, r); err != nil {
		return result.Fail(result.BadRequest, "the connection is closed: %v", err)
	}
	configuration := req.configuration(r.Context())
	if configuration == nil {
		return result.Fail(result.NotReady, "no configuration is known yet")
	}
	req.route = configuration.Route(hostName(r.Host), r.URL.EscapedPath())
	if req.route == nil {
		return result.Fail(result.NoRoute, "no route for host name %q and path %q", r.Host, r.URL.Path)
	}
	req.patience = req.arrived.Add(req.route.Timeout)
	if req.info.Patience > 0 {
		req.patience = req.arrived.Add(req.info.Patience)
	}
	req.deadline = req.arrived.Add(req.route.Timeout)
	if req.patience.Before(req.deadline) {
		req.deadline = req.patience
	}
	return req.readBody(w, r, configuration.Limits.BodyBytes)
}

// configuration returns the configuration in force. A process that has just started will have one within the time in which it reads
// the store; a caller that was refused meanwhile would come back too soon, and has only one more try.
func (req *request) configuration(ctx context.Context) *catalog.Configuration {
	if req.view.Configuration != nil {
		return req.view.Configuration
	}
	most := startWait - time.Since(req.g.created)
	if req.info.Patience > 0 {
		most = min(most, time.Duration(startPatience*float64(req.info.Patience)))
	}
	select {
	case <-req.g.follower.Configured():
	case <-ctx.Done():
	case <-time.After(most):
	}
	req.view = req.g.follower.View()
	return req.view.Configuration
}

// mayRunEarly reports whether a request may run before those sent before it on its connection are answered: it may be repeated, and
// servers have room.
func (g *Gateway) mayRunEarly(r *http.Request) bool {
	configuration := g.follower.View().Configuration
	if configuration == nil {
		return false
	}
	route := configuration.Route(hostName(r.Host), r.URL.EscapedPath())
	if route == nil || !route.Idempotent {
		return false
	}
	now, full := time.Now(), false
	g.withTable(func(t *placement.Table) {
		for _, target := range route.Targets {
			full = full || t.IsFull(target.Service, now)
		}
	})
	return !full
}

// hostName removes the port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// limitBody bounds the time in which the body has to arrive, and has a refusal sent without waiting for it.
func (req *request) limitBody(w http.ResponseWriter, r *http.Request) error {
	if r.Body == http.NoBody {
		return nil
	}
	limit := req.info.Patience
	if limit <= 0 {
		limit = bodyTimeout
	}
	req.bodyLeft = true
	connection := http.NewResponseController(w)
	return errors.Join(connection.EnableFullDuplex(), connection.SetReadDeadline(req.arrived.Add(limit)))
}

// readBody reads the whole body, so that an attempt can be repeated and never waits for a slow caller.
func (req *request) readBody(w http.ResponseWriter, r *http.Request, limit int64) *result.Failure {
	if !req.bodyLeft {
		return nil
	}
	body, err := req.bodies.ReadAll(r.Body, limit)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return result.Fail(result.BodyTimeout, "only %d bytes of the body arrived before the deadline", len(body))
	case errors.Is(err, bodies.ErrTooLong):
		return result.Fail(result.BodyTooLarge, "the body exceeds %d bytes", limit)
	case errors.Is(err, bodies.ErrBudgetExceeded):
		return result.Fail(result.NoCapacity, "the body after %d bytes: %v", len(body), err)
	case err != nil:
		return result.Fail(result.BadRequest, "the body cannot be read: %v", err)
	}
	req.body, req.bodyLeft = body, false
	// The deadline would else end the watch for a caller that leaves.
	if err := http.NewResponseController(w).SetReadDeadline(time.Time{}); err != nil {
		return result.Fail(result.BadRequest, "the connection is closed: %v", err)
	}
	return nil
}

// refuse ends a request with a failure of this host.
func (g *Gateway) refuse(w http.ResponseWriter, req *request, failure *result.Failure) {
	if failure.RetryAfter == 0 && failure.Code.NotRun() && failure.Code.Describe().Status == http.StatusServiceUnavailable {
		failure = failure.After(g.retryAfter(req, failure))
	}
	g.logRequest(req, failure, failure.Code.Describe().Status)
	if req.bodyLeft {
		// What is left of the body would be read as the next request.
		w.Header().Set("Connection", "close")
	}
	g.boundWrite(w, req)
	result.WritePrecise(w, failure)
}

// retryAfter returns when the caller of a request that was not run should come back.
func (g *Gateway) retryAfter(req *request, failure *result.Failure) time.Duration {
	rank, remaining := 0, time.Second
	switch {
	case req.route != nil:
		rank, remaining = req.route.Rank, time.Until(req.patience)
	case req.info.Patience > 0:
		remaining = req.info.Patience - time.Since(req.arrived)
	}
	room := req.refusedWithRoom(failure)
	g.mu.Lock()
	defer g.mu.Unlock()
	if failure.Code == result.NotReady {
		return placement.StartRetryAfter(remaining, g.rng)
	}
	return placement.RetryAfter(rank, remaining, room, g.rng)
}

// answer sends a backend server's answer on unchanged.
func (g *Gateway) answer(w http.ResponseWriter, req *request, a *answer) {
	header := w.Header()
	for name, values := range a.header {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		// A nil value keeps net/http from guessing a type.
		header["Content-Type"] = nil
	}
	if req.method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	g.logRequest(req, nil, a.status)
	g.boundWrite(w, req)
	w.WriteHeader(a.status)
	if _, err := w.Write(a.body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		g.log.Info().Str("request_id", req.info.ID).Err(err).Msg("answer_not_delivered")
	}
}

// boundWrite bounds the time in which the caller has to read what is written next. The deadline of an earlier answer on the same
// connection may be over, so each answer and refusal has one of its own.
func (g *Gateway) boundWrite(w http.ResponseWriter, req *request) {
	req.answering = true
	if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerTimeout)); err != nil {
		g.log.Info().Str("request_id", req.info.ID).Err(err).Msg("answer_without_deadline")
	}
}

// logRequest writes the line of a request with the inputs of its latest decision.
func (g *Gateway) logRequest(req *request, failure *result.Failure, status int) {
	took := time.Since(req.arrived)
	code := result.OK
	event := g.log.Info()
	if failure != nil {
		code = failure.Code
		event = g.log.Warn()
	}
	g.metrics.request(req, code, took)
	event.Str("request_id", req.info.ID).Int("status", status).Int("code", int(code)).Str("result", code.Describe().Name)
	if req.route != nil {
		event.Str("route", req.route.Name).Int("rank", req.route.Rank).Str("service", req.target).Str("object", req.info.Object)
	}
	if req.view.Configuration != nil {
		event.Uint64("config", uint64(req.view.Configuration.Version))
	}
	event.Uint64("revision", uint64(req.view.Revision)).Int64("took_ms", took.Milliseconds()).Int("failed_attempts", req.failed).Bool("caller_left", req.callerLeft)
	if d := &req.last; d.Reason != "" {
		event.Str("reason", string(d.Reason)).Int64("expected_ms", d.ExpectedLatency.Milliseconds()).Int("usable", d.Usable)
		if d.Server != nil {
			event.Str("server", d.Server.ID).Float64("load", d.Load).Int64("load_age_ms", d.LoadAge.Milliseconds()).Bool("warm", d.Warm)
		}
	}
	if failure != nil {
		event.Str("cause", failure.Message).Int64("retry_after_ms", failure.RetryAfter.Milliseconds())
	}
	event.Msg("request")
}
