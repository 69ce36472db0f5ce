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
)

// Headers between callers and entry hosts.
const (
	headerHost        = "Foxtailtack-Host"
	headerIncarnation = "Foxtailtack-Incarnation"
	headerTimeout     = "Foxtailtack-Timeout-Ms"
	headerIdempotency = "Idempotency-Key"
)

const maxIdempotencyKey = 128

var tracer = otel.Tracer("github.com/foxtailtack/foxtailtack/internal/entry")

// pipeline runs a request after its rank is known.
type pipeline interface {
	Handle(context.Context, *forward.Request) *forward.Response
}

// callerHandler is the HTTP interface for callers.
type callerHandler struct {
	snapshot func() *policy.Snapshot
	pipeline pipeline
	identity func() peer.Identity
	metrics  *callerMetrics
}

func (h *callerHandler) register(router *mux.Router) {
	router.PathPrefix("/s/{service}").HandlerFunc(h.serve)
	router.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		result.Write(w, result.Fail(result.BadRequest, "want /v1/lookup or /s/{service}/..., got %q", r.URL.Path))
	})
}

// serve runs one request of a caller.
func (h *callerHandler) serve(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := tracer.Start(ctx, "entry")
	defer span.End()
	request, failure := h.read(w, r)
	if failure != nil {
		h.metrics.finished(rank.Deferrable, failure.Code, time.Since(start))
		result.Write(w, failure)
		return
	}
	span.SetAttributes(attribute.String("service", request.Service), attribute.String("rank", request.Rank.String()))
	ctx, cancel := context.WithDeadline(ctx, start.Add(request.Timeout))
	defer cancel()
	response := h.pipeline.Handle(ctx, request)
	span.SetAttributes(attribute.Int("result", int(response.Code)))
	h.metrics.finished(request.Rank, response.Code, time.Since(start))
	h.write(w, response)
}

// read checks a request and gives it its rank from the credential and the policy.
func (h *callerHandler) read(w http.ResponseWriter, r *http.Request) (*forward.Request, *result.Failure) {
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
	caller, highest, failure := identify(snapshot, service, r)
	if failure != nil {
		return nil, failure
	}
	timeout, failure := readTimeout(r.Header.Get(headerTimeout), service)
	if failure != nil {
		return nil, failure
	}
	key, failure := readKey(r.Header.Get(headerIdempotency))
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
		Rank:           rank.LessUrgent(route.Rank, highest),
		Repeatable:     route.Repeatable,
		IdempotencyKey: key,
		Method:         r.Method,
		Path:           path,
		Header:         header,
		Body:           body,
		Timeout:        timeout,
	}, nil
}

// identify returns the caller's id and the highest rank that its credential gives. Without a credential the caller is known
// by its IP address and is deferrable.
func identify(snapshot *policy.Snapshot, service *policy.Service, r *http.Request) (string, rank.Rank, *result.Failure) {
	token, given := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !given {
		host, _, err := net.SplitHostPort(r.RemoteAddr)
		if err != nil {
			host = r.RemoteAddr
		}
		return "ip:" + host, rank.Deferrable, nil
	}
	caller := snapshot.CallerByToken(token)
	if caller == nil || !validFor(caller, service.Name) {
		return "", 0, result.Fail(result.UnknownCredential, "the bearer token is not valid for service %q", service.Name)
	}
	return caller.ID, caller.HighestRank, nil
}

func validFor(caller *policy.Caller, service string) bool {
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

func readKey(key string) (string, *result.Failure) {
	if len(key) > maxIdempotencyKey || strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return "", result.Fail(result.BadIdempotencyKey, "want at most %d printable ASCII characters without spaces", maxIdempotencyKey)
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

// write sends a response to the caller.
func (h *callerHandler) write(w http.ResponseWriter, response *forward.Response) {
	if failure := response.Failure(); failure != nil {
		h.nameHost(w, response)
		result.Write(w, failure)
		return
	}
	header := w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	h.nameHost(w, response)
	header.Set(result.Header, result.OK.String())
	header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}

// nameHost names the entry host that had the request run, so that the caller can ask it about the outcome.
func (h *callerHandler) nameHost(w http.ResponseWriter, response *forward.Response) {
	identity := h.identity()
	if response.Host != "" {
		identity = peer.Identity{Host: response.Host, Incarnation: response.Incarnation}
	}
	w.Header().Set(headerHost, identity.Host)
	w.Header().Set(headerIncarnation, strconv.FormatUint(uint64(identity.Incarnation), 10))
}
