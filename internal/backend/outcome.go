// Package backend keeps the connections to backend servers, makes single attempts on them, and decides which of them may take
// work. docs/backend.md has the rules and their reasons.
package backend

import (
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"github.com/foxtailtack/foxtailtack/internal/bodies"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// Error is the class of errors of this package.
var Error = errs.Class("backend")

// Headers of the protocol between entry hosts and backend servers.
const (
	// HeaderTimeout carries the remaining time of a request in whole milliseconds, at least 1.
	HeaderTimeout = "Foxtailtack-Timeout-Ms"
	// HeaderRequestID carries the request id. If a backend server echoes it, the client can detect a response to another request.
	HeaderRequestID = "Foxtailtack-Request-Id"
	// HeaderDraining on a response says that the backend server is leaving.
	HeaderDraining = "Foxtailtack-Draining"
	// HeaderTraceParent carries the W3C trace context.
	HeaderTraceParent = "Traceparent"
)

// Outcome is what is known of the execution of one attempt.
type Outcome uint8

// Outcomes of an attempt. The zero value makes the weakest guarantee.
const (
	// Unknown: the request may have run, and no whole response was read.
	Unknown Outcome = iota
	// NotRun: the backend server certainly did not run the request.
	NotRun
	// Completed: the whole response was read.
	Completed
)

// outcomeNames are the outcomes in logs and traces.
var outcomeNames = [...]string{"unknown", "not_run", "answered"}

// String returns the snake_case name.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return "invalid"
	}
	return outcomeNames[o]
}

// Request is what one attempt sends.
type Request struct {
	// ID is the request id. Required.
	ID string
	// ServerID is the id of the backend server that must run the request, for protocols that check it.
	ServerID string
	Method   string
	// Path is the path with the query; it starts with a slash.
	Path   string
	Header http.Header
	Body   []byte
	// ReplaceCustomer removes the key and the customer that the caller's header names, and sets Customer instead unless it is empty.
	ReplaceCustomer bool
	Customer        string
	// Repeatable allows a pooled connection. Other work gets a new connection for each attempt, unless the protocol sets
	// MaxReuseIdle.
	Repeatable bool
	// NewConnection requires a new connection even for repeatable work, as for a hedge of an unresponsive attempt.
	NewConnection bool
	// SingleUse requires a new connection that no other request uses later if the server has responded to a request before it was written, for
	// large bodies: a later request would wait behind the rest of the body.
	SingleUse bool
	// TimeBudget limits the time in the timeout header, which is at most the time until ctx's deadline. Zero sets no further
	// limit.
	TimeBudget time.Duration
	// Bodies accounts for the memory of the response body; nil sets no budget.
	Bodies *bodies.Reservation
	// TraceParent is the W3C trace context, or empty.
	TraceParent string
	// BeforeWrite runs after the connection is open and before the first byte is written. If it returns an error, the attempt
	// ends with the outcome NotRun. Nil means no check.
	BeforeWrite func() error
	// OnConnected is called when the attempt has a connection; reused is true if the connection served a request before. It may
	// be nil.
	OnConnected func(reused bool)
}

// Result is the result of one attempt.
type Result struct {
	Outcome Outcome
	// Failure is nil if and only if Outcome is Completed.
	Failure *result.Failure
	// Status, Header and Body are the whole response. The header has no hop-by-hop fields. For a shed request only Status and
	// Header are set.
	Status int
	Header http.Header
	Body   []byte
	// Draining is true if the response says that the backend server is leaving.
	Draining bool
	// Reused is true if the connection served a request before.
	Reused bool
	// BytesWritten is the number of request bytes that the connection accepted.
	BytesWritten int64
	// ServerFault is true if the attempt counts against the health of the backend server: no connection, a broken connection, or
	// no response for at least a second. Failures of a reused connection do not count.
	ServerFault bool
	// TooLargeWithoutLength is true if a response without a stated length exceeded the size limit or the budget for bodies.
	TooLargeWithoutLength bool
	// StartedAt is the time at which the attempt started.
	StartedAt time.Time
	// Duration is the time that the attempt took.
	Duration time.Duration
	// ConnectDuration is the time that opening the connection took, zero for a reused connection.
	ConnectDuration time.Duration
}
