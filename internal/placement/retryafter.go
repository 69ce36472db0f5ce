package placement

import (
	"math/rand/v2"
	"time"
)

const (
	// retryAfterShare is the share of the time left up to which callers wait as they are told.
	retryAfterShare = 1.0 / 3
	// shortestRetryAfter is about the time in which a server that was full has ended some requests.
	shortestRetryAfter = 150 * time.Millisecond
	// rankRetryAfter is added for each rank, so that the most urgent work comes back first.
	rankRetryAfter = 200 * time.Millisecond
)

// RetryAfter returns when a rejected caller should come back. It answers the wave of returning callers after a flood: they
// are spread over a span, the more urgent ones first, and inside their deadline.
func RetryAfter(rank int, remaining time.Duration, rng *rand.Rand) time.Duration {
	earliest := shortestRetryAfter + time.Duration(max(0, rank))*rankRetryAfter
	wait := earliest + time.Duration(rng.Int64N(int64(earliest)))
	most := time.Duration(retryAfterShare * float64(remaining))
	return max(10*time.Millisecond, min(wait, most))
}
