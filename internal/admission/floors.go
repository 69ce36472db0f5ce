package admission

import (
	"time"

	"github.com/foxtailtack/foxtailtack/internal/rank"
)

// maxDeficitHolds bounds the deficit of a rank, in mean holding times. Without a bound, a rank that was below its floor for
// a long time would take several slots in a row from urgent work.
const maxDeficitHolds = 4

// floors entitles a rank below its floor to the next free slot.
//
// A host may hold as few as 3 slots of a service, and a floor of 0.2 of them is less than one slot. Therefore a floor has
// two parts. Its whole part is a number of slots that the rank may always hold. Beyond it, the deficit (the time integral
// of the floor minus the slots in use) grants one more slot once it reaches one mean holding time. Averaged over time,
// the rank then holds its floor, also if the floor has a fraction or if the rank had to wait for a slot to become free.
type floors struct {
	// slots is the floor in slots, with its fraction. wholeSlots is its whole part.
	slots      [rank.Count]float64
	wholeSlots [rank.Count]int
	// deficit is in slot-seconds. A negative value means that the rank held more than its floor.
	deficit [rank.Count]float64
}

// set stores the floor of a rank, in slots and as its whole part.
func (f *floors) set(r rank.Rank, slots float64, wholeSlots int) {
	f.slots[r] = slots
	f.wholeSlots[r] = wholeSlots
}

// advance updates the deficit for the elapsed time. The deficit of a rank without waiting requests does not grow, because
// such a rank lacks no slot. meanHold is the mean holding time in seconds.
func (f *floors) advance(r rank.Rank, inUse int, hasWaiting bool, elapsed time.Duration, meanHold float64) {
	shortfall := (f.slots[r] - float64(inUse)) * elapsed.Seconds()
	if shortfall > 0 && !hasWaiting {
		return
	}
	f.deficit[r] = min(maxDeficitHolds*meanHold, max(-meanHold, f.deficit[r]+shortfall))
}

// belowWholeSlots reports whether the rank holds fewer slots than the whole part of its floor.
func (f *floors) belowWholeSlots(r rank.Rank, inUse int) bool {
	return inUse < f.wholeSlots[r]
}

// entitledSlots returns how many more slots the floor gives the rank now: the slots of the whole part that the rank does
// not hold, or one slot that the deficit grants.
func (f *floors) entitledSlots(r rank.Rank, inUse int, meanHold float64) int {
	if f.deficitGrantsSlot(r, inUse, meanHold) {
		return 1
	}
	return max(0, f.wholeSlots[r]-inUse)
}

// deficitGrantsSlot reports whether the deficit grants the rank one slot beyond the whole part of its floor. meanHold is the
// mean holding time in seconds.
func (f *floors) deficitGrantsSlot(r rank.Rank, inUse int, meanHold float64) bool {
	return f.slots[r] > 0 && inUse == f.wholeSlots[r] && f.deficit[r] >= meanHold
}
