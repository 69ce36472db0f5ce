package placement

import "time"

const (
	// failureSmoothing is the weight of the latest attempt in the moving average of a server's failures.
	failureSmoothing = 0.25
	// ejectionThreshold is the failure share from which a backend server gets no requests. Two failures in a row reach it.
	ejectionThreshold = 0.4
	// firstEjection and maxEjection limit the length of an ejection, which doubles while the server keeps failing.
	firstEjection = time.Second
	maxEjection   = 5 * time.Second
	// maxEjectedShare is the share of a service's servers that may be ejected. If more of them fail, the cause is not in the
	// servers alone, and the remaining servers would be overloaded.
	maxEjectedShare = 0.4
)

// ejection removes a failing backend server from use for some time. It covers servers that fail a part of their requests while
// their health check succeeds.
type ejection struct {
	failureShare float64
	until        time.Time
	length       time.Duration
}

func (e *ejection) isEjected(now time.Time) bool { return now.Before(e.until) }

// recordFailure records a failed attempt and reports whether it causes an ejection.
func (e *ejection) recordFailure(now time.Time) bool {
	e.failureShare += failureSmoothing * (1 - e.failureShare)
	if e.failureShare < ejectionThreshold || e.isEjected(now) {
		return false
	}
	e.length = min(maxEjection, max(firstEjection, 2*e.length))
	e.until = now.Add(e.length)
	// The next failure after this ejection ejects the server again immediately.
	e.failureShare = ejectionThreshold
	return true
}

func (e *ejection) recordSuccess() {
	e.failureShare -= failureSmoothing * e.failureShare
	if e.failureShare < ejectionThreshold/2 {
		e.length = 0
	}
}
