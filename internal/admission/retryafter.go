package admission

import (
	"math"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/rank"
)

const (
	// minRetryAfter is the shortest time to retry before jitter.
	minRetryAfter = 50 * time.Millisecond
	// maxRetryAfter bounds the time to retry before jitter.
	maxRetryAfter = 30 * time.Second
	// overloadTimeConstantSeconds is the time constant for the decay of the counts of offered and admitted requests.
	overloadTimeConstantSeconds = 2.0
)

// overloadMeter counts the requests of one rank that were offered and admitted in the last seconds, with exponential decay.
type overloadMeter struct {
	updated            time.Time
	offers, admissions float64
}

func (m *overloadMeter) decay(now time.Time) {
	if elapsed := now.Sub(m.updated).Seconds(); !m.updated.IsZero() && elapsed > 0 {
		factor := math.Exp(-elapsed / overloadTimeConstantSeconds)
		m.offers *= factor
		m.admissions *= factor
	}
	m.updated = now
}

func (m *overloadMeter) recordOffer(now time.Time) {
	m.decay(now)
	m.offers++
}

func (m *overloadMeter) recordAdmission(now time.Time) {
	m.decay(now)
	m.admissions++
}

// ratio returns the number of offered requests for each admitted one. It is at least 1.
func (m *overloadMeter) ratio() float64 {
	return max(1, m.offers/max(1, m.admissions))
}

// retryAfter returns the time after which the caller should retry. The estimated wait alone saturates, because no request
// waits beyond its deadline. Therefore the time is multiplied by the ratio of offered to admitted requests, so that it grows
// with the overload. A jitter of plus or minus 50 % spreads the retries of callers that were rejected at the same time.
func (q *Queue) retryAfter(r rank.Rank, wait time.Duration) time.Duration {
	mean := max(wait, minRetryAfter).Seconds() * q.overload[r].ratio()
	mean = min(mean, maxRetryAfter.Seconds())
	return durationFromSeconds(mean * (0.5 + q.rng.Float64()))
}
