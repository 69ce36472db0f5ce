package admission

import "github.com/foxtailtack/foxtailtack/internal/rank"

// fits reports whether a request of the rank may take one more slot.
func (q *Queue) fits(r rank.Rank) bool {
	return q.free(r) > 0
}

// free returns how many slots requests of the rank could take now. The result is 0 or negative if there is none. The limits
// always apply. The reservation for more urgent work does not apply to the slots that the rank's floor gives it.
func (q *Queue) free(r rank.Rank) int {
	free := q.freeWithinLimits(r)
	if free <= 0 {
		return free
	}
	unreserved := q.capacity - q.totalInUse() - q.slotsToLeaveFree(r)
	return min(free, max(unreserved, q.floors.entitledSlots(r, q.inUse[r], q.holdTimes.mean(r))))
}

// freeWithinLimits returns how many more slots the limits allow the rank. The limit of a rank bounds the slots that this
// rank and all less urgent ranks hold together, so the limits of this rank and of each more urgent one apply. The result
// can be negative after the capacity shrank.
func (q *Queue) freeWithinLimits(r rank.Rank) int {
	held := 0
	for x := rank.Rank(rank.Count - 1); x > r; x-- {
		held += q.inUse[x]
	}
	free := q.capacity
	for x := int(r); x >= 0; x-- {
		held += q.inUse[x]
		free = min(free, q.limits[x]-held)
	}
	return min(free, q.capacity-held)
}

// totalInUse returns the number of slots that all ranks hold.
func (q *Queue) totalInUse() int {
	total := 0
	for _, n := range q.inUse {
		total += n
	}
	return total
}

// nextRank returns the rank whose waiting request takes the next free slot, or false if no waiting request may take one. A
// rank below the whole part of its floor comes first, then a rank whose deficit grants it a slot, then any other. Of
// several such ranks nextRank returns the most urgent one.
func (q *Queue) nextRank() (rank.Rank, bool) {
	if len(q.waiting) == 0 {
		return 0, false
	}
	if r, found := q.mostUrgent(func(r rank.Rank) bool { return q.floors.belowWholeSlots(r, q.inUse[r]) }); found {
		return r, true
	}
	if r, found := q.mostUrgent(func(r rank.Rank) bool { return q.floors.deficitGrantsSlot(r, q.inUse[r], q.holdTimes.mean(r)) }); found {
		return r, true
	}
	return q.mostUrgent(func(rank.Rank) bool { return true })
}

// mostUrgent returns the most urgent rank that has waiting requests, may take a slot and meets the condition.
func (q *Queue) mostUrgent(condition func(rank.Rank) bool) (rank.Rank, bool) {
	for _, r := range rank.All() {
		if q.ranks[r].size > 0 && q.fits(r) && condition(r) {
			return r, true
		}
	}
	return 0, false
}
