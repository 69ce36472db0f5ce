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
	// soonRetryAfter is the shortest wait of a caller for whom servers have room, and the span over which such callers are spread. It is a
	// small part of any SLO.
	soonRetryAfter = 20 * time.Millisecond
	// startRetryAfter is the shortest wait of a caller whose host has just started, and the span over which such callers are spread. A host
	// needs one to two seconds.
	startRetryAfter = time.Second
	// leastRetryAfter is the shortest wait that a caller is told, also if it has hardly any time left.
	leastRetryAfter = 10 * time.Millisecond
)

// RetryAfter returns when a rejected caller should come back. It answers the wave of returning callers after a flood: they
// are spread over a span, the more urgent ones first, and inside their deadline. With room it answers servers that refuse part of
// their requests though they are not full: another try then most likely runs, and only one that comes soon can be in time.
func RetryAfter(rank int, remaining time.Duration, room bool, rng *rand.Rand) time.Duration {
	earliest := shortestRetryAfter + time.Duration(max(0, rank))*rankRetryAfter
	if room {
		earliest = soonRetryAfter
	}
	return spreadWait(earliest, remaining, rng)
}

// StartRetryAfter returns when the caller of a host without a configuration should come back. It answers the wave of callers that meet
// hosts which have all just started: most callers have one more try, and a soon one meets the same.
func StartRetryAfter(remaining time.Duration, rng *rand.Rand) time.Duration {
	return spreadWait(startRetryAfter, remaining, rng)
}

// spreadWait returns a wait between a time and twice that, within the part of the remaining time that callers wait.
func spreadWait(earliest, remaining time.Duration, rng *rand.Rand) time.Duration {
	wait := earliest + time.Duration(rng.Int64N(int64(earliest)))
	most := time.Duration(retryAfterShare * float64(remaining))
	return max(leastRetryAfter, min(wait, most))
}

// HasRoom reports whether the server of a decision has a free slot now as far as this host knows.
func (t *Table) HasRoom(d *Decision, now time.Time) bool {
	return d.server != nil && d.server.load.estimate(t.usualLoad(d.server.entry, now), now) < float64(d.server.entry.Slots)
}
