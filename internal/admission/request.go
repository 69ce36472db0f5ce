// Package admission decides which request may use a slot of this entry host, and when. Queue makes the decisions for one
// service as a state machine without a clock, locks or goroutines. Controller wraps it for concurrent use.
// docs/admission.md describes the rules and their reasons.
package admission

import (
	"time"

	"github.com/foxtailtack/foxtailtack/internal/rank"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// Request asks for one slot.
type Request struct {
	// ID is unique among the requests that wait in one queue.
	ID   uint64
	Rank rank.Rank
	// Caller is the id of the caller, or its IP address if it has no credential.
	Caller string
	// Deadline is the time after which the caller has no use for a response.
	Deadline time.Time
	// MaxWait limits the time in the queue. 0 means that only the deadline limits it.
	MaxWait time.Duration
}

// Outcome is the immediate result of an offer.
type Outcome uint8

// Outcomes of an offer.
const (
	// Admitted means that the request holds a slot until Release.
	Admitted Outcome = iota
	// Queued means that the request waits until Next, Expire or Cancel returns or removes it.
	Queued
	// Rejected means that the request got no slot and a failure says why.
	Rejected
)

// Decision is the result of an offer.
type Decision struct {
	Outcome Outcome
	// Failure is set if the request was rejected.
	Failure *result.Failure
}

// Rejection is a request that waited and got no slot, with the reason.
type Rejection struct {
	Request Request
	Failure *result.Failure
}
