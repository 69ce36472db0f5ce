package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"

	"github.com/foxtailtack/foxtailtack/internal/forward"
	"github.com/foxtailtack/foxtailtack/internal/peer"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/rank"
	"github.com/foxtailtack/foxtailtack/internal/result"
	"github.com/foxtailtack/foxtailtack/internal/shutdown"
)

// Headers between callers and entry hosts.
const (
	headerHost        = "Foxtailtack-Host"
	headerIncarnation = "Foxtailtack-Incarnation"
	headerTimeout     = "Foxtailtack-Timeout-Ms"
	headerIdempotency = "Idempotency-Key"
)

const maxIdempotencyKeyBytes = 128

var tracer = otel.Tracer("github.com/foxtailtack/foxtailtack/internal/entry")

// requestHandler runs a request whose rank is known; forward.Pipeline implements it.
type requestHandler interface {
	Handle(context.Context, *forward.Request) *forward.Response
}

// retryAtOtherHost is the time after which the caller of a request that a stopping host rejects should retry. Other hosts are not affected.
const retryAtOtherHost = 20 * time.Millisecond

// callerHandler is the HTTP interface for callers.
type callerHandler struct {
	snapshot func() *policy.Snapshot
	pipeline requestHandler
	identity func() peer.Identity
	metrics  *callerMetrics
	// stopPlan returns the plan of a planned stop, nil while the host is not stopping.
	stopPlan func() *shutdown.Plan
}

func (h *callerHandler) register(router *mux.Router) {
	router.PathPrefix("/s/{service}").HandlerFunc(h.serve)
	router.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		result.Write(w, result.Fail(result.BadRequest, "want /v1/lookup or /s/{service}/..., got %q", r.URL.Path))
	})
}

// serve handles one request of a caller.
func (h *callerHandler) serve(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := tracer.Start(ctx, "entry")
	defer span.End()
	request, failure := h.readRequest(w, r)
	if failure == nil {
		failure = h.checkStop(start.Add(request.Timeout))
	}
	if failure != nil {
		h.metrics.recordRequest(rank.Deferrable, failure.Code, time.Since(start))
		result.Write(w, failure)
		return
	}
	span.SetAttributes(attribute.String("service", request.Service), attribute.String("rank", request.Rank.String()))
	ctx, cancel := context.WithDeadline(ctx, start.Add(request.Timeout))
	defer cancel()
	response := h.pipeline.Handle(ctx, request)
	span.SetAttributes(attribute.Int("result", int(response.Code)))
	h.metrics.recordRequest(request.Rank, response.Code, time.Since(start))
	h.writeResponse(w, response)
}

// checkStop returns the failure of a request that a stopping host may not complete before it exits.
func (h *callerHandler) checkStop(deadline time.Time) *result.Failure {
	if h.stopPlan().MayStart(deadline, time.Now()) {
		return nil
	}
	return result.Fail(result.HostLeaving, "the host exits before the deadline of the request").After(retryAtOtherHost)
}

// readRequest validates a request and sets its rank to the lower of the route's rank and the highest rank of the credential.
func (h *callerHandler) readRequest(w http.ResponseWriter, r *http.Request) (*forward.Request, *result.Failure) {
	snapshot := h.snapshot()
	if snapshot == nil {
		return nil, result.Fail(result.NotReady, "no configuration yet").After(time.Second)
	}
	name := mux.Vars(r)["service"]
	service := snapshot.Service(name)
	if service == nil {
		return nil, result.Fail(result.UnknownService, "service %q is not configured", name)
	}
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/s/"+name)
	route := service.Match(r.Method, path)
	if route == nil {
		return nil, result.Fail(result.NoRoute, "service %q has no route for %s %s", name, r.Method, path)
	}
	caller, highestRank, failure := identifyCaller(snapshot, service, r)
	if failure != nil {
		return nil, failure
	}
	timeout, failure := readTimeout(r.Header.Get(headerTimeout), service)
	if failure != nil {
		return nil, failure
	}
	key, failure := readIdempotencyKey(r.Header.Get(headerIdempotency))
	if failure != nil {
		return nil, failure
	}
	body, failure := readBody(w, r, service)
	if failure != nil {
		return nil, failure
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	header := r.Header.Clone()
	header.Del("Authorization")
	return &forward.Request{
		ID:             uuid.NewString(),
		Service:        name,
		Caller:         caller,
		Rank:           rank.LessUrgent(route.Rank, highestRank),
		Repeatable:     route.Repeatable,
		IdempotencyKey: key,
		Method:         r.Method,
		Path:           path,
		Header:         header,
		Body:           body,
		Timeout:        timeout,
	}, nil
}

// identifyCaller returns the caller's id and the highest rank that its credential allows. Without a credential the caller is
// identified by its IP address and its rank is deferrable.
func identifyCaller(snapshot *policy.Snapshot, service *policy.Service, r *http.Request) (string, rank.Rank, *result.Failure) {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		host, _, err := net.SplitHostPort(r.RemoteAddr)
		if err != nil {
			host = r.RemoteAddr
		}
		return "ip:" + host, rank.Deferrable, nil
	}
	caller := snapshot.CallerByToken(token)
	if caller == nil || !mayUseService(caller, service.Name) {
		return "", 0, result.Fail(result.UnknownCredential, "the bearer token is not valid for service %q", service.Name)
	}
	return caller.ID, caller.HighestRank, nil
}

func mayUseService(caller *policy.Caller, service string) bool {
	if len(caller.Services) == 0 {
		return true
	}
	for _, s := range caller.Services {
		if s == service {
			return true
		}
	}
	return false
}

func readTimeout(text string, service *policy.Service) (time.Duration, *result.Failure) {
	if text == "" {
		return service.MaxRequest(), nil
	}
	ms, err := strconv.Atoi(text)
	if err != nil || ms < 1 || ms > service.MaxRequestMs {
		return 0, result.Fail(result.BadTimeout, "%s is %.32q: want a whole number from 1 to %d", headerTimeout, text, service.MaxRequestMs)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func readIdempotencyKey(key string) (string, *result.Failure) {
	if len(key) > maxIdempotencyKeyBytes || strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return "", result.Fail(result.BadIdempotencyKey, "want at most %d printable ASCII characters without spaces", maxIdempotencyKeyBytes)
	}
	return key, nil
}

func readBody(w http.ResponseWriter, r *http.Request, service *policy.Service) ([]byte, *result.Failure) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, service.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, result.Fail(result.BodyTooLarge, "want at most %d bytes", service.MaxBodyBytes)
	}
	if err != nil {
		return nil, result.Fail(result.BadRequest, "the body cannot be read: %v", err)
	}
	return body, nil
}

// writeResponse sends a response to the caller.
func (h *callerHandler) writeResponse(w http.ResponseWriter, response *forward.Response) {
	if failure := response.Failure(); failure != nil {
		h.setHostHeaders(w, response)
		result.Write(w, failure)
		return
	}
	header := w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	h.setHostHeaders(w, response)
	header.Set(result.Header, result.OK.String())
	header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}

// setHostHeaders sets the headers that identify the entry host that ran the request, so that the caller can query that host
// for the outcome.
func (h *callerHandler) setHostHeaders(w http.ResponseWriter, response *forward.Response) {
	identity := h.identity()
	if response.Host != "" {
		identity = peer.Identity{Host: response.Host, Incarnation: response.Incarnation}
	}
	w.Header().Set(headerHost, identity.Host)
	w.Header().Set(headerIncarnation, strconv.FormatUint(uint64(identity.Incarnation), 10))
}
