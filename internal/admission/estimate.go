package admission

import (
	"math"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/rank"
)

const (
	// holdTimeWeight is the weight of one new holding time in the exponential moving averages.
	holdTimeWeight = 1.0 / 16
	// typicalHoldDeviations is the number of mean deviations by which the typical holding time exceeds the mean.
	typicalHoldDeviations = 2
	// initialHoldSeconds is the mean holding time that floors and the reservation assume before any request of the
	// rank completed.
	initialHoldSeconds = 0.1
	// useTimeConstantSeconds is the time constant for smoothing the number of slots in use.
	useTimeConstantSeconds = 0.5
	// minExpectedSlots is a lower bound of the slots that a rank is expected to get. It keeps wait estimates finite.
	minExpectedSlots = 0.25
)

// holdTimeEstimate smooths the time in seconds for which requests hold a slot, for each rank and for all ranks together.
type holdTimeEstimate struct {
	ranks [rank.Count]smoothedHoldTime
	all   smoothedHoldTime
}

// smoothedHoldTime holds exponential moving averages of holding times and of their mean deviation, in seconds.
type smoothedHoldTime struct {
	known           bool
	mean, deviation float64
}

func (s *smoothedHoldTime) add(seconds float64) {
	if !s.known {
		*s = smoothedHoldTime{known: true, mean: seconds, deviation: seconds / 2}
		return
	}
	difference := seconds - s.mean
	s.mean += holdTimeWeight * difference
	s.deviation += holdTimeWeight * (math.Abs(difference) - s.deviation)
}

// add records one holding time. A time of 0 is ignored: it belongs to a request that never ran.
func (h *holdTimeEstimate) add(r rank.Rank, heldFor time.Duration) {
	if heldFor <= 0 {
		return
	}
	h.ranks[r].add(heldFor.Seconds())
	h.all.add(heldFor.Seconds())
}

// typical returns a holding time that most requests of the rank do not reach, or 0 if no request of the rank completed.
func (h *holdTimeEstimate) typical(r rank.Rank) time.Duration {
	s := h.ranks[r]
	return durationFromSeconds(s.mean + typicalHoldDeviations*s.deviation)
}

// mean returns the mean holding time of the rank in seconds, or initialHoldSeconds if no request of the rank completed.
func (h *holdTimeEstimate) mean(r rank.Rank) float64 {
	if !h.ranks[r].known {
		return initialHoldSeconds
	}
	return h.ranks[r].mean
}

// smoothedUse is the smoothed number of slots that each rank holds.
type smoothedUse [rank.Count]float64

func (u *smoothedUse) advance(inUse [rank.Count]int, elapsed time.Duration) {
	decay := math.Exp(-elapsed.Seconds() / useTimeConstantSeconds)
	for r := range u {
		u[r] = decay*u[r] + (1-decay)*float64(inUse[r])
	}
}

// total returns the smoothed number of slots in use.
func (u *smoothedUse) total() float64 {
	total := 0.0
	for _, n := range u {
		total += n
	}
	return total
}

// estimateWait returns the expected wait of one more request of a caller that has ownWaiting requests waiting. The wait is
// counted in mean holding times, by the order of ranks or by the floor of the rank, whichever is shorter. An unranked
// queue has no estimate and returns 0, as every queue does before the first request completed.
func (q *Queue) estimateWait(r rank.Rank, ownWaiting int) time.Duration {
	if q.unranked || !q.holdTimes.all.known {
		return 0
	}
	ahead := q.aheadInRank(r, ownWaiting)
	holdsByFloor := float64(ahead+1) / max(minExpectedSlots, q.floors.slots[r])
	moreUrgent := 0
	for x := rank.Rank(0); x < r; x++ {
		moreUrgent += q.ranks[x].size
	}
	holdsByOrder := float64(ahead+moreUrgent+1) / q.expectedSlots(r)
	if q.floors.slots[r] > 0 {
		holdsByOrder = min(holdsByOrder, holdsByFloor)
	}
	return durationFromSeconds(q.holdTimes.all.mean * holdsByOrder)
}

// aheadInRank returns an upper bound of the requests of the rank that are served earlier. Round robin serves each other
// caller at most once for each request of this one.
func (q *Queue) aheadInRank(r rank.Rank, ownWaiting int) int {
	rq := &q.ranks[r]
	otherCallers := len(rq.callers)
	if ownWaiting > 0 {
		otherCallers--
	}
	return ownWaiting + min(rq.size-ownWaiting, (ownWaiting+1)*otherCallers)
}

// expectedSlots returns the number of slots that the rank and all less urgent ones can expect beside more urgent work.
func (q *Queue) expectedSlots(r rank.Rank) float64 {
	used := 0.0
	expected := float64(q.limits[r])
	for x := int(r) - 1; x >= 0; x-- {
		used += q.smoothedUse[x]
		expected = min(expected, float64(q.limits[x])-used)
	}
	for x := rank.Rank(0); x < r && reservationApplies(r); x++ {
		expected = min(expected, float64(q.capacity-q.reservedSlots(x)))
	}
	return max(minExpectedSlots, expected)
}

// durationFromSeconds converts seconds to a duration.
func durationFromSeconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
