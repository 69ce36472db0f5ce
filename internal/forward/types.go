// Package forward handles a request inside an entry host: admission, attempts on backend servers, retry and hedge,
// forwarding to a peer, and the response.
package forward

import (
	"net/http"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/rank"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// Request is a caller's request after its rank is known. Entry hosts also forward requests to each other in this form.
type Request struct {
	// ID identifies the request. The first entry host assigns a unique one to each request of a caller.
	ID string
	// Service names the service.
	Service string
	// Caller is the id of the caller, or its IP address if it has no credential.
	Caller string
	Rank   rank.Rank
	// Repeatable is true if the request may safely run more than once.
	Repeatable bool
	// IdempotencyKey is the caller's key, or empty.
	IdempotencyKey string
	Method         string
	// Path is the path after /s/{service}, with the query.
	Path   string
	Header http.Header
	Body   []byte
	// Timeout is the remaining time, counted from receipt of the message.
	Timeout time.Duration
	// Forwards is the number of times that entry hosts have forwarded the request.
	Forwards int
	// From is the id of the entry host that forwarded the request. It is empty at the first entry host.
	From string
	// ShiftID names the planned shift that moved the request, or is empty.
	ShiftID string
	// TraceParent is the W3C trace context of the previous hop.
	TraceParent string
}

// Response is the response to a Request: either that of a backend server (Code is result.OK) or a failure.
type Response struct {
	Code    result.Code
	Message string
	// RetryAfter is the time after which the caller may retry; zero if it should not retry.
	RetryAfter time.Duration
	Status     int
	Header     http.Header
	Body       []byte
	// Host and Incarnation identify the entry host that made the successful attempt on the backend server.
	Host        string
	Incarnation membership.Incarnation
	// BackendServer is the id of the backend server that responded.
	BackendServer string
}

// Failure returns the failure in the response, or nil.
func (r *Response) Failure() *result.Failure {
	if r.Code == result.OK {
		return nil
	}
	return &result.Failure{Code: r.Code, Message: r.Message, RetryAfter: r.RetryAfter}
}

// FailureResponse returns a response that reports the failure.
func FailureResponse(f *result.Failure) *Response {
	return &Response{Code: f.Code, Message: f.Message, RetryAfter: f.RetryAfter}
}
