// Package backendserver stands in for a backend server in tests, the demo and the measurements. It has a fixed number of
// slots, counts how often each request runs, and produces the faults that the system has to handle.
package backendserver

import "time"

// Headers of the protocol between entry hosts and backend servers; docs/backend.md describes them.
const (
	headerRequestID      = "Foxtailtack-Request-Id"
	headerDraining       = "Foxtailtack-Draining"
	headerIdempotencyKey = "Idempotency-Key"
	headerNotRun         = "X-Not-Run"
)

// Options configures a stand-in.
type Options struct {
	// ID names the backend server in its answers.
	ID string
	// Slots is the number of requests that run at once. Default 3.
	Slots int
	// ServiceTime is the time a request takes. Default 0.
	ServiceTime time.Duration
	// Jitter is the largest time that is added to ServiceTime, uniformly distributed. Default 0.
	Jitter time.Duration
	// Seed seeds the source of the jitter.
	Seed uint64
	// ColdFor is the time after the start in which requests take ColdFactor times as long. Default 0.
	ColdFor time.Duration
	// ColdFactor multiplies the service time of a cold server. Default 1.
	ColdFactor float64
	// CancelDelay is the time for which a slot stays taken after the connection of its request closed. Default 0.
	CancelDelay time.Duration
	// RunOverload runs requests beyond Slots instead of shedding them. Default false.
	RunOverload bool
	// AnswerBytes pads answers to at least this size in bytes. Default 0.
	AnswerBytes int
}

func (o Options) withDefaults() Options {
	if o.Slots == 0 {
		o.Slots = 3
	}
	if o.ColdFactor == 0 {
		o.ColdFactor = 1
	}
	return o
}
