package placement

import (
	"math/rand/v2"
	"time"
)

const (
	// maxRetryAfterShare is the largest share of their remaining time that callers wait for a retry. They ignore a longer
	// Retry-After.
	maxRetryAfterShare = 1.0 / 3
	// fullRetryAfter is the shortest wait while servers are full. In about this time a full server completes some requests.
	fullRetryAfter = 150 * time.Millisecond
	// retryAfterPerRank is added for each rank, so that callers retry the most urgent requests first.
	retryAfterPerRank = 200 * time.Millisecond
	// freeSlotRetryAfter is the shortest wait while servers have free slots, and the range of the jitter that is added to it. It
	// is a small part of any SLO.
	freeSlotRetryAfter = 20 * time.Millisecond
	// startRetryAfter is the shortest wait for a host that has just started, and the range of the jitter that is added to it. A
	// host needs one to two seconds to start.
	startRetryAfter = time.Second
	// minRetryAfter is the lower bound of every wait, even if the caller has hardly any time left.
	minRetryAfter = 10 * time.Millisecond
)

// RetryAfter returns the time after which the caller of a rejected request should retry. To avoid a wave of retries after an
// overload, the time is jittered, increases with the rank and stays within the remaining time. With a free slot the time is short:
// servers then shed some requests although they are not full, so a further attempt is likely to run, and only an early one meets
// the deadline. availableIn is the time until a server takes the request, zero if it is not known; an earlier retry would be rejected
// again.
func RetryAfter(rank int, remaining time.Duration, hasFreeSlot bool, availableIn time.Duration, rng *rand.Rand) time.Duration {
	return jitteredWait(earliestRetry(rank, hasFreeSlot, availableIn), remaining, rng)
}

func earliestRetry(rank int, hasFreeSlot bool, availableIn time.Duration) time.Duration {
	earliest := fullRetryAfter + time.Duration(max(0, rank))*retryAfterPerRank
	if hasFreeSlot {
		earliest = freeSlotRetryAfter
	}
	return max(earliest, availableIn)
}

// RetryAfterRange returns the shortest and the longest time that RetryAfter returns.
func RetryAfterRange(rank int, remaining time.Duration, hasFreeSlot bool, availableIn time.Duration) (shortest, longest time.Duration) {
	base := earliestRetry(rank, hasFreeSlot, availableIn)
	return limitWait(base, remaining), limitWait(2*base, remaining)
}

// StartRetryAfter returns the time after which a caller should retry at a host that has no configuration yet. When all hosts have
// just started, an early retry meets the same state, and most callers have only one retry.
func StartRetryAfter(remaining time.Duration, rng *rand.Rand) time.Duration {
	return jitteredWait(startRetryAfter, remaining, rng)
}

// StartRetryAfterRange returns the shortest and the longest time that StartRetryAfter returns.
func StartRetryAfterRange(remaining time.Duration) (shortest, longest time.Duration) {
	return limitWait(startRetryAfter, remaining), limitWait(2*startRetryAfter, remaining)
}

// jitteredWait returns a random wait between base and twice base, limited to maxRetryAfterShare of the remaining time.
func jitteredWait(base, remaining time.Duration, rng *rand.Rand) time.Duration {
	return limitWait(base+time.Duration(rng.Int64N(int64(base))), remaining)
}

// limitWait limits a wait to maxRetryAfterShare of the remaining time.
func limitWait(wait, remaining time.Duration) time.Duration {
	limit := time.Duration(maxRetryAfterShare * float64(remaining))
	return max(minRetryAfter, min(wait, limit))
}

// HasFreeSlot reports whether the server of a decision is estimated to have a free slot now.
func (t *Table) HasFreeSlot(d *Decision, now time.Time) bool {
	return d.server != nil && d.server.load.estimate(t.averageLoadAt(d.server.entry, now), now) < float64(d.server.entry.Slots)
}
