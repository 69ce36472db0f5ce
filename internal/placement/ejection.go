package placement

import "time"

const (
	// failureSmoothing is the weight of the latest attempt in the failure share of a backend server.
	failureSmoothing = 0.25
	// ejectAbove is the failure share from which a backend server gets no work: two failures in a row pass it.
	ejectAbove = 0.4
	// firstEjection and lastEjection bound the time without work, which doubles while the server goes on failing.
	firstEjection = time.Second
	lastEjection  = 5 * time.Second
	// maxEjectedShare is the share of a service's servers that may be ejected; when more fail, the cause is not theirs alone
	// and the rest would be overloaded.
	maxEjectedShare = 0.4
)

// ejection takes a backend server that fails requests out of use. It answers servers that fail a part of their requests
// while their health check is good.
type ejection struct {
	failureShare float64
	until        time.Time
	length       time.Duration
}

func (e *ejection) ejected(now time.Time) bool { return now.Before(e.until) }

// failed notes a failure and reports whether the server is ejected by it.
func (e *ejection) failed(now time.Time) bool {
	e.failureShare += failureSmoothing * (1 - e.failureShare)
	if e.failureShare < ejectAbove || e.ejected(now) {
		return false
	}
	e.length = min(lastEjection, max(firstEjection, 2*e.length))
	e.until = now.Add(e.length)
	// The next failure after the return ejects the server again at once.
	e.failureShare = ejectAbove
	return true
}

func (e *ejection) succeeded() {
	e.failureShare -= failureSmoothing * e.failureShare
	if e.failureShare < ejectAbove/2 {
		e.length = 0
	}
}
