package admission

import (
	"time"

	"github.com/foxtailtack/foxtailtack/internal/rank"
)

// Headroom returns how many requests of each rank could take a slot now. The numbers of different ranks count the same
// slots and must not be added.
func (q *Queue) Headroom(now time.Time) [rank.Count]int {
	q.advance(now)
	var free [rank.Count]int
	for _, r := range rank.All() {
		free[r] = max(0, q.free(r))
	}
	return free
}

// SmoothedHeadroom returns the headroom of each rank, calculated from the smoothed number of slots in use. It is 0 for a
// rank if requests of this rank or of a more urgent one wait. Slots are free for short times between two requests, so the
// smoothed use of a full host is somewhat below its capacity, and other hosts would spill requests to a host where they
// have to wait.
func (q *Queue) SmoothedHeadroom(now time.Time) [rank.Count]float64 {
	q.advance(now)
	var free [rank.Count]float64
	for _, r := range rank.All() {
		unreserved := float64(q.capacity) - q.smoothedUse.total() - q.smoothedSlotsToLeaveFree(r)
		belowFloor := float64(q.floors.wholeSlots[r]) - q.smoothedUse[r]
		free[r] = max(0, min(q.smoothedFreeWithinLimits(r), max(unreserved, belowFloor)))
		if q.hasWaitingUpTo(r) {
			free[r] = 0
		}
	}
	return free
}

// hasWaitingUpTo reports whether requests of the rank or of a more urgent one wait.
func (q *Queue) hasWaitingUpTo(r rank.Rank) bool {
	for x := rank.Rank(0); x <= r; x++ {
		if q.ranks[x].size > 0 {
			return true
		}
	}
	return false
}

// smoothedFreeWithinLimits is freeWithinLimits calculated from the smoothed number of slots in use.
func (q *Queue) smoothedFreeWithinLimits(r rank.Rank) float64 {
	held := 0.0
	for x := rank.Count - 1; x > int(r); x-- {
		held += q.smoothedUse[x]
	}
	free := float64(q.capacity)
	for x := int(r); x >= 0; x-- {
		held += q.smoothedUse[x]
		free = min(free, float64(q.limits[x])-held)
	}
	return min(free, float64(q.capacity)-held)
}

// smoothedSlotsToLeaveFree is slotsToLeaveFree calculated from the smoothed number of slots in use.
func (q *Queue) smoothedSlotsToLeaveFree(r rank.Rank) float64 {
	if !reservationApplies(r) {
		return 0
	}
	held, leaveFree := 0.0, 0.0
	for x := rank.Rank(0); x < r; x++ {
		held += q.smoothedUse[x]
		leaveFree = max(leaveFree, float64(q.reservedSlots(x))-held)
	}
	return leaveFree
}
