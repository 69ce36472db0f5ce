package backend

import (
	"math/rand/v2"
	"time"
)

// Bounds of ejection.
const (
	// ejectAfter is the number of consecutive failures that eject a backend server.
	ejectAfter = 3
	// minBackoff and maxBackoff bound the time from an ejection to the next probe. maxBackoff also limits how long a
	// repaired backend server stays unused.
	minBackoff = time.Second
	maxBackoff = 10 * time.Second
	// backoffJitter is the largest fraction by which a backoff is extended, so that hosts do not probe at the same time.
	backoffJitter = 0.25
)

// ejection decides whether a backend server is out of use because of failures. Only health polls serve as probes: if a caller's
// request were the probe, an unresponsive backend server would leave a payment with an unknown outcome.
type ejection struct {
	failures int
	ejected  bool
	// probeAfter is the time from which the result of a probe counts; it stays set after the ejection.
	probeAfter time.Time
	// backoffExponent is the number of ejections and failed probes since the backend server last completed a whole ramp.
	backoffExponent int
}

// recordFailure counts a failed attempt or poll that was sent at sentAt. On probation, which lasts as long as the ramp after an
// ejection, a single failure ejects the backend server. It reports whether this failure ejected the backend server.
func (e *ejection) recordFailure(sentAt, now time.Time, probation bool, rng *rand.Rand) bool {
	if e.ejected {
		e.extendBackoff(sentAt, now, rng)
		return false
	}
	if sentAt.Before(e.probeAfter) {
		// The attempt or poll was sent before the last ejection ended, so its failure is stale.
		return false
	}
	e.failures++
	if e.failures < ejectAfter && (!probation || e.backoffExponent == 0) {
		return false
	}
	e.ejected = true
	e.startBackoff(now, rng)
	return true
}

// extendBackoff starts the next, doubled backoff after a failed probe.
func (e *ejection) extendBackoff(sentAt, now time.Time, rng *rand.Rand) {
	if !sentAt.Before(e.probeAfter) {
		e.startBackoff(now, rng)
	}
}

func (e *ejection) startBackoff(now time.Time, rng *rand.Rand) {
	d := min(maxBackoff, minBackoff<<min(e.backoffExponent, 10))
	e.backoffExponent++
	e.probeAfter = now.Add(time.Duration(float64(d) * (1 + backoffJitter*rng.Float64())))
}

// recordSuccess counts a response to an attempt or poll that was sent at sentAt. It reports whether the response ended the ejection.
func (e *ejection) recordSuccess(sentAt time.Time, rampDone bool) bool {
	if e.ejected {
		if sentAt.Before(e.probeAfter) {
			return false
		}
		e.ejected = false
		e.failures = 0
		return true
	}
	e.failures = 0
	if rampDone {
		e.backoffExponent = 0
	}
	return false
}
