// Package backend holds the connections to backend servers, makes single attempts on them, and decides which of them
// may take work. docs/backend.md has the rules and their reasons.
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
	// HeaderRequestID carries the request id. A backend server that echoes it lets the client detect a crossed answer.
	HeaderRequestID = "Foxtailtack-Request-Id"
	// HeaderDraining on an answer says that the backend server is leaving.
	HeaderDraining = "Foxtailtack-Draining"
	// HeaderTraceParent carries the W3C trace context.
	HeaderTraceParent = "Traceparent"
)

// Outcome tells what is known of one attempt.
type Outcome uint8

// Outcomes of an attempt. The zero value is the one that promises least.
const (
	// Unknown: the request may have run, and there is no whole answer.
	Unknown Outcome = iota
	// NotRun: it is proved that the backend server did not run the request.
	NotRun
	// Answered: the whole answer was read.
	Answered
)

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
	// ServerID is the id of the backend server that has to run the request, for protocols that check it.
	ServerID string
	Method   string
	// Path is the path with the query; it starts with a slash.
	Path   string
	Header http.Header
	Body   []byte
	// Repeatable allows a pooled connection. Other work gets a connection of its own for each attempt.
	Repeatable bool
	// Fresh asks for a new connection for repeatable work too, as for a hedge of a stalled attempt.
	Fresh bool
	// Budget is the time that the backend server is told, at most the time until ctx's deadline. Zero means all of that.
	Budget time.Duration
	// Bodies holds the answer's body; nil sets no budget.
	Bodies *bodies.Reservation
	// TraceParent is the W3C trace context, or empty.
	TraceParent string
	// BeforeWrite runs after the connection is open and before the first byte is written. An error stops the attempt as
	// NotRun. Nil means no check.
	BeforeWrite func() error
	// Connected is called once the attempt has a connection, with true if that served a request before. Nil is allowed.
	Connected func(reused bool)
}

// Result is the end of one attempt.
type Result struct {
	Outcome Outcome
	// Failure is nil exactly if Outcome is Answered.
	Failure *result.Failure
	// Status, Header and Body are the whole answer. The header has no hop-by-hop fields. After a shed answer only Status and
	// Header are set.
	Status int
	Header http.Header
	Body   []byte
	// Draining is true if an answer said that the backend server is leaving.
	Draining bool
	// Reused is true if the connection served a request before.
	Reused bool
	// BytesWritten is the number of request bytes that the connection accepted.
	BytesWritten int64
	// ServerFault is true if the end of the attempt speaks against the backend server: no connection, a broken one, or no
	// answer for at least a second. The end of a reused connection does not count.
	ServerFault bool
	// Endless is true if an answer that stated no length went on beyond what may be held.
	Endless bool
	// SentAt is the time at which the attempt started.
	SentAt time.Time
	// Duration is the time that the attempt took.
	Duration time.Duration
	// Connect is the time that the opening of the attempt's connection took, zero if it used an open one.
	Connect time.Duration
}
