package admission

import (
	"math"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/rank"
)

const (
	// minReservationTimeConstantSeconds and maxReservationTimeConstantSeconds bound the time constant of the
	// smoothing. The lower bound keeps single arrivals of very short requests from dominating the mean. The upper
	// bound keeps the reservation of long requests from delaying other work long after the more urgent work stopped.
	minReservationTimeConstantSeconds = 0.25
	maxReservationTimeConstantSeconds = 2.0
	// reservationDeviations is the number of standard deviations above the mean that the reservation covers. The
	// variance of the number of slots that Poisson arrivals hold is equal to its mean.
	reservationDeviations = 2.6
	// recheckInterval is the time until the queue checks again whether a request that waits only for the reservation
	// or for its floor may take a slot. The reservation shrinks over time, also when no request starts or completes.
	recheckInterval = 25 * time.Millisecond
	// reservationTimeConstantHolds is the time constant of the smoothing before the bounds apply, in mean holding times.
	reservationTimeConstantHolds = 20.0
)

// reservationApplies reports whether requests of the rank must leave the reserved slots free. Only deferrable requests must.
// People wait for interactive work, and its limit already leaves room for urgent work. When the reservation applied to it,
// interactive requests were sent to other regions while slots were free on this host.
func reservationApplies(r rank.Rank) bool { return r == rank.Deferrable }

// reservation smooths the number of slots that each rank holds. The number of slots that less urgent ranks leave free
// follows from it.
type reservation struct {
	meanInUse [rank.Count]float64
}

// advance updates the mean of a rank that held inUse slots for the elapsed time. meanHold is the mean holding time of the
// rank in seconds.
func (v *reservation) advance(r rank.Rank, inUse int, elapsed time.Duration, meanHold float64) {
	timeConstant := min(maxReservationTimeConstantSeconds,
		max(minReservationTimeConstantSeconds, reservationTimeConstantHolds*meanHold))
	decay := math.Exp(-elapsed.Seconds() / timeConstant)
	v.meanInUse[r] = decay*v.meanInUse[r] + (1-decay)*float64(inUse)
}

// expectedUse returns the largest number of slots that the rank and all more urgent ones are expected to need together.
func (v *reservation) expectedUse(r rank.Rank) float64 {
	mean := 0.0
	for x := rank.Rank(0); x <= r; x++ {
		mean += v.meanInUse[x]
	}
	return mean + reservationDeviations*math.Sqrt(mean)
}

// reservedSlots returns the number of slots reserved for the rank and all more urgent ones, including the slots that they
// hold. It never includes the whole parts of the floors of less urgent ranks, and it leaves at least one slot: otherwise
// steady urgent work on a host with 3 slots would exclude all other work that has no floor.
func (q *Queue) reservedSlots(r rank.Rank) int {
	floorSlots := 0
	for x := r + 1; x < rank.Count; x++ {
		floorSlots += q.floors.wholeSlots[x]
	}
	maxReserved := q.capacity - max(1, floorSlots)
	return max(0, min(maxReserved, int(math.Round(q.reservation.expectedUse(r)))))
}

// slotsToLeaveFree returns how many slots a request of the rank must leave free. Each more urgent rank and the ranks above
// it have reserved slots that they do not hold yet; the result is the largest number of these.
func (q *Queue) slotsToLeaveFree(r rank.Rank) int {
	if !reservationApplies(r) {
		return 0
	}
	held, leaveFree := 0, 0
	for x := rank.Rank(0); x < r; x++ {
		held += q.inUse[x]
		leaveFree = max(leaveFree, q.reservedSlots(x)-held)
	}
	return leaveFree
}

// recheckAt returns when to call Next again because a request waits only for the reservation or for its floor, or false if
// there is no such request.
func (q *Queue) recheckAt(now time.Time) (time.Time, bool) {
	for _, r := range rank.All() {
		if q.ranks[r].size == 0 || q.freeWithinLimits(r) <= 0 || q.fits(r) {
			continue
		}
		if !q.recheckTime.After(now) {
			q.recheckTime = now.Add(recheckInterval)
		}
		return q.recheckTime, true
	}
	return time.Time{}, false
}
