// Package result defines the numbered result codes that callers and operators receive.
// docs/result-codes.md documents them in a table; a test checks that the table matches the code.
package result

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Code is a numbered result. Its thousands digit states whether a backend server may have run the request.
type Code uint16

// Result codes. 1xxx: the request is invalid and was not run. 2xxx: the request was rejected and not run.
// 3xxx: the outcome is unknown. 4xxx: administration. 5xxx: internal error or state of this process.
const (
	OK Code = 0

	UnknownService       Code = 1001
	NoRoute              Code = 1002
	UnknownCredential    Code = 1003
	BadTimeout           Code = 1004
	BodyTooLarge         Code = 1005
	BadIdempotencyKey    Code = 1006
	IdempotencyKeyReused Code = 1007
	BadClientAddress     Code = 1008
	BadRequest           Code = 1009
	BodyTimeout          Code = 1010

	NoCapacity       Code = 2001
	TimeoutTooShort  Code = 2002
	QueueTimeout     Code = 2003
	HostLeaving      Code = 2004
	NoBackendServer  Code = 2005
	NoGrant          Code = 2006
	RetryBudgetSpent Code = 2007
	CallerLimit      Code = 2008
	BackendShed      Code = 2009
	CallerGone       Code = 2010
	ConnectFailed    Code = 2011
	UsageCapExceeded Code = 2012
	RouteUnusable    Code = 2013
	UndecidedKey     Code = 2014

	ConnectionLost     Code = 3001
	AttemptTimeout     Code = 3002
	IncompleteResponse Code = 3003
	ResponseTooLarge   Code = 3004
	PeerLost           Code = 3005
	RepeatInProgress   Code = 3006

	InvalidPolicy       Code = 4001
	VersionConflict     Code = 4002
	StoreUnavailable    Code = 4003
	StoreOutcomeUnknown Code = 4004
	Unauthenticated     Code = 4005
	OtherTeam           Code = 4006
	VersionNotFound     Code = 4007
	NoPolicy            Code = 4008
	UnknownObject       Code = 4009

	Internal Code = 5001
	NotReady Code = 5002
)

// Description is the entry of one code in the documentation table.
type Description struct {
	// Name is the stable snake_case name.
	Name string
	// Status is the HTTP status sent with the code.
	Status int
	// Meaning is one sentence for operators and callers.
	Meaning string
}

var descriptions = map[Code]Description{
	OK:                   {"ok", http.StatusOK, "The backend server's whole answer follows."},
	UnknownService:       {"unknown_service", http.StatusNotFound, "No service of this name is configured."},
	NoRoute:              {"no_route", http.StatusNotFound, "The service has no route for this method and path."},
	UnknownCredential:    {"unknown_credential", http.StatusUnauthorized, "The bearer token or the customer's key is missing, not known or not valid for this service."},
	BadTimeout:           {"bad_timeout", http.StatusBadRequest, "Foxtailtack-Timeout-Ms is not a whole number of milliseconds from 1 to the service's maximum."},
	BodyTooLarge:         {"body_too_large", http.StatusRequestEntityTooLarge, "The request body exceeds the limit of the service."},
	BadIdempotencyKey:    {"bad_idempotency_key", http.StatusBadRequest, "Idempotency-Key is longer than 128 characters or has characters outside printable ASCII."},
	IdempotencyKeyReused: {"idempotency_key_reused", http.StatusUnprocessableEntity, "The key was used before with another method, path or body."},
	BadClientAddress:     {"bad_client_address", http.StatusBadRequest, "The client parameter of a look-up is not an IP address."},
	BadRequest:           {"bad_request", http.StatusBadRequest, "The request cannot be read."},
	BodyTimeout:          {"body_timeout", http.StatusRequestTimeout, "The request body did not arrive before the request's deadline."},
	NoCapacity:           {"no_capacity", http.StatusServiceUnavailable, "No slot is free for this rank in time."},
	TimeoutTooShort:      {"timeout_too_short", http.StatusServiceUnavailable, "The remaining time is shorter than the service needs."},
	QueueTimeout:         {"queue_timeout", http.StatusServiceUnavailable, "The deadline passed while the request waited for a slot."},
	HostLeaving:          {"host_leaving", http.StatusServiceUnavailable, "The entry host is stopping; use the next one of the look-up answer."},
	NoBackendServer:      {"no_backend_server", http.StatusServiceUnavailable, "No backend server of the service can take work."},
	NoGrant:              {"no_grant", http.StatusServiceUnavailable, "No other failure domain has granted capacity for this rank."},
	RetryBudgetSpent:     {"retry_budget_spent", http.StatusServiceUnavailable, "The attempt failed before it ran and the retry budget is spent."},
	CallerLimit:          {"caller_limit", http.StatusTooManyRequests, "The caller has too many requests waiting."},
	BackendShed:          {"backend_shed", http.StatusServiceUnavailable, "The backend server refused the request without running it."},
	CallerGone:           {"caller_gone", 499, "The caller closed its connection before the request ran."},
	ConnectFailed:        {"connect_failed", http.StatusServiceUnavailable, "No connection to a backend server or entry host could be opened; nothing was sent."},
	UsageCapExceeded:     {"usage_cap_exceeded", http.StatusTooManyRequests, "The customer uses more requests per second than its cap allows over all entry hosts."},
	RouteUnusable:        {"route_unusable", http.StatusServiceUnavailable, "The configuration's entry of the route cannot be used."},
	UndecidedKey:         {"undecided_key", http.StatusServiceUnavailable, "The key is not known to this host but may be valid."},
	ConnectionLost:       {"connection_lost", http.StatusBadGateway, "The connection broke after the request may have reached the backend server."},
	AttemptTimeout:       {"attempt_timeout", http.StatusGatewayTimeout, "The deadline passed after the request was sent."},
	IncompleteResponse:   {"incomplete_answer", http.StatusBadGateway, "The backend server's answer ended early."},
	ResponseTooLarge:     {"answer_too_large", http.StatusBadGateway, "The backend server's answer exceeds the limit of the service."},
	PeerLost:             {"peer_lost", http.StatusBadGateway, "The entry host that the request was passed to was lost."},
	RepeatInProgress:     {"repeat_in_progress", http.StatusConflict, "The first request with this key is still running or ended with an unknown outcome."},
	InvalidPolicy:        {"invalid_policy", http.StatusUnprocessableEntity, "The policy has errors; each is listed."},
	VersionConflict:      {"version_conflict", http.StatusConflict, "Another change was accepted first; both versions are named."},
	StoreUnavailable:     {"store_unavailable", http.StatusServiceUnavailable, "The configuration store did not take the change."},
	StoreOutcomeUnknown:  {"store_outcome_unknown", http.StatusGatewayTimeout, "The store's answer was lost; read the history for the change id."},
	Unauthenticated:      {"unauthenticated", http.StatusUnauthorized, "The operator token is missing or not known."},
	OtherTeam:            {"other_team", http.StatusForbidden, "The change touches a service of another team."},
	VersionNotFound:      {"version_not_found", http.StatusNotFound, "The store has no such version."},
	NoPolicy:             {"no_policy", http.StatusNotFound, "No policy has been accepted yet."},
	UnknownObject:        {"unknown_object", http.StatusNotFound, "The named service, region, host, backend server or shift does not exist."},
	Internal:             {"internal", http.StatusInternalServerError, "Fault of the entry host; the log line has details."},
	NotReady:             {"not_ready", http.StatusServiceUnavailable, "The entry host has no configuration yet."},
}

// Codes lists every code.
func Codes() []Code {
	codes := make([]Code, 0, len(descriptions))
	for code := range descriptions {
		codes = append(codes, code)
	}
	return codes
}

// Describe returns the description of c. A code that is not listed has the description of Internal.
func (c Code) Describe() Description {
	if d, ok := descriptions[c]; ok {
		return d
	}
	return descriptions[Internal]
}

// String returns the number and the name of c, separated by a space.
func (c Code) String() string {
	return fmt.Sprintf("%d %s", uint16(c), c.Describe().Name)
}

// NotRun reports whether c guarantees that no backend server ran the request.
func (c Code) NotRun() bool {
	return c >= 1000 && c < 3000 || c == NotReady
}

// Failure is an error with a result code.
type Failure struct {
	Code Code
	// Message describes the failure. It is sent to the caller and contains no secrets.
	Message string
	// RetryAfter is the delay after which the caller may send the request again; zero if no delay is advised.
	RetryAfter time.Duration
}

// Fail returns a Failure with a formatted message.
func Fail(code Code, format string, args ...any) *Failure {
	return &Failure{Code: code, Message: fmt.Sprintf(format, args...)}
}

// After returns a copy of f whose RetryAfter is d.
func (f *Failure) After(d time.Duration) *Failure {
	c := *f
	c.RetryAfter = d
	return &c
}

// Error implements error.
func (f *Failure) Error() string {
	return f.Code.String() + ": " + f.Message
}

// FromError returns the first Failure in the chain of err, or a Failure with the code Internal if there is none.
// It returns nil if err is nil.
func FromError(err error) *Failure {
	if err == nil {
		return nil
	}
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return Fail(Internal, "%v", err)
}
