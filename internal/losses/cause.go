package losses

import (
	"slices"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/placement"
)

// Cause is what took most of the time of a late request, or why a request was rejected or failed.
type Cause int

// Causes.
const (
	// ColdObject: the server had not handled the object recently.
	ColdObject Cause = iota
	// ServerQueue: the request waited at the server, or all servers were too full for it.
	ServerQueue
	// OtherRegion: the way to a server in another region.
	OtherRegion
	// NewConnection: the opening of a connection to the server.
	NewConnection
	// EarlierAttempt: attempts before the latest one.
	EarlierAttempt
	// HostWait: the request waited in the entry host, also behind others on its connection.
	HostWait
	// BeforeHost: the caller had tried before, or the request was late when it arrived.
	BeforeHost
	// DeadlineTooShort: the remaining time was too short for any server.
	DeadlineTooShort
	// SlowServer: the server needed longer than usual for a warm object, without a queue.
	SlowServer
	// ServerFailure: the server or its connection failed, or no server could be used.
	ServerFailure
	// OtherCause: none of the above.
	OtherCause

	causeCount
)

var causeNames = [causeCount]string{
	"cold_object", "server_queue", "other_region", "new_connection", "earlier_attempt", "host_wait", "before_host", "deadline",
	"slow_server", "server_failure", "other",
}

// String returns the snake_case name.
func (c Cause) String() string { return causeNames[c] }

// coldFactor is the factor by which a run must exceed the usual warm run of its route to count as one with a cold object.
const coldFactor = 2

// routeTimes are the usual times of a route in a log.
type routeTimes struct {
	// warmRun is the usual time of a warm object at a server without a queue.
	warmRun time.Duration
	// callerTimeout is the shortest timeout that counts as that of a first try. Callers state different timeouts, so the time before
	// the arrival of a request is known only as far as its timeout lies below the usual ones.
	callerTimeout time.Duration
}

// firstTryQuantile is the quantile of the stated timeouts of a route below which requests count as repeated by their callers.
const firstTryQuantile = 0.1

// warmRunQuantile is the quantile of the runs without a queue that counts as the usual time of a warm object.
const warmRunQuantile = 0.3

// run returns the time that the latest attempt spent at the server.
func (r *Request) run() time.Duration { return max(0, r.Attempt-r.Connect-r.RoundTrip) }

// hadQueue reports whether requests waited at the server when it responded.
func (r *Request) hadQueue() bool { return r.Slots > 0 && (r.Waiting > 0 || r.Running >= r.Slots) }

// learnTimes returns the usual times of each route.
func learnTimes(requests []Request) map[string]routeTimes {
	runs, timeouts := map[string][]time.Duration{}, map[string][]time.Duration{}
	for i := range requests {
		r := &requests[i]
		if r.CallerTimeout > 0 {
			timeouts[r.Route] = append(timeouts[r.Route], r.CallerTimeout)
		}
		if r.Status == 200 && r.Slots > 0 && !r.hadQueue() {
			runs[r.Route] = append(runs[r.Route], r.run())
		}
	}
	times := map[string]routeTimes{}
	for i := range requests {
		route := requests[i].Route
		if _, ok := times[route]; !ok {
			times[route] = routeTimes{quantile(runs[route], warmRunQuantile), quantile(timeouts[route], firstTryQuantile)}
		}
	}
	return times
}

// quantile returns a quantile of a list, which it sorts, or zero for an empty list.
func quantile(list []time.Duration, share float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(len(list)-1, int(share*float64(len(list))))]
}

// outcome returns how the request ended. The time before the arrival at the host counts towards the SLO.
func (r *Request) outcome(times routeTimes) Outcome {
	switch {
	case r.Code >= 2000 && r.Code < 3000:
		return Rejected
	case r.Code != 0 || r.Status >= 500:
		return Failed
	case r.SLO > 0 && r.Took+r.age(times) > r.SLO:
		return Late
	default:
		return InTime
	}
}

// age returns the time between the caller's first try and the arrival of the request, as far as the remaining timeout shows it.
func (r *Request) age(times routeTimes) time.Duration {
	if r.CallerTimeout == 0 {
		return 0
	}
	return max(0, times.callerTimeout-r.CallerTimeout)
}

// cause returns the cause of a loss. For a late request it is the largest part of its time that a request for a warm object at a
// free server of the own region would not have had.
func (r *Request) cause(outcome Outcome, times routeTimes) Cause {
	switch outcome {
	case Rejected:
		return r.rejectionCause()
	case Failed:
		return ServerFailure
	}
	parts := [causeCount]time.Duration{
		NewConnection: r.Connect, HostWait: r.Waited, BeforeHost: r.age(times), EarlierAttempt: max(0, r.Took-r.Waited-r.Attempt),
	}
	if r.ServerRegion != r.CallerRegion {
		parts[OtherRegion] = r.RoundTrip
	}
	if r.FailedAttempts == 0 {
		// Without an earlier attempt this is the time between the start and the attempt.
		parts[HostWait], parts[EarlierAttempt] = parts[HostWait]+parts[EarlierAttempt], 0
	}
	excess := max(0, r.run()-times.warmRun)
	switch {
	case r.hadQueue():
		parts[ServerQueue] = excess
	case r.run() > coldFactor*times.warmRun:
		parts[ColdObject] = excess
	default:
		parts[SlowServer] = excess
	}
	largest := OtherCause
	for c, part := range parts {
		if part > parts[largest] {
			largest = Cause(c)
		}
	}
	return largest
}

// rejectionCause returns why a host rejected a request, from the reason of its placement decision.
func (r *Request) rejectionCause() Cause {
	switch placement.Reason(r.Reason) {
	case placement.ReasonServersFullForRank, placement.ReasonRateLimit:
		return ServerQueue
	case placement.ReasonDeadlineTooEarly:
		return DeadlineTooShort
	case placement.ReasonNoUsableServer, placement.ReasonColdLimit:
		return ServerFailure
	}
	if r.FailedAttempts > 0 {
		return EarlierAttempt
	}
	return OtherCause
}
