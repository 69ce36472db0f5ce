package admission

import (
	"math"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/rank"
)

// leavesReservedSlotsFree models the reservation, which applies to deferrable work. With one more slot in use, the free slots
// must still suffice for each group of more urgent ranks to grow from its present use to its expected use.
func (m *model) leavesReservedSlotsFree(r rank.Rank) bool {
	if r != rank.Deferrable {
		return true
	}
	free := m.capacity - 1
	for _, n := range m.inUse {
		free -= n
	}
	held := 0
	for x := rank.Rank(0); x < r; x++ {
		held += m.inUse[x]
		if free < m.expectedUse(x)-held {
			return false
		}
	}
	return true
}

// expectedUse returns the largest number of slots that the rank and all more urgent ones are expected to need, calculated from
// their smoothed use. It leaves the whole parts of the floors of the other ranks, and at least one slot.
func (m *model) expectedUse(r rank.Rank) int {
	mean, floors := 0.0, 0
	for _, x := range rank.All() {
		if x <= r {
			mean += m.smoothedUse(x)
		} else {
			floors += m.service.FloorSlots(x, m.capacity)
		}
	}
	return min(int(math.Round(mean+reservationDeviations*math.Sqrt(mean))), m.capacity-max(1, floors))
}

// smoothedUse returns the smoothed number of slots that the rank holds. Each period of the history is weighted by its length
// and age.
func (m *model) smoothedUse(r rank.Rank) float64 {
	sum, age := 0.0, 0.0
	for i := len(m.history) - 1; i >= 0; i-- {
		p := m.history[i]
		olderAge := age + p.seconds/p.timeConstants[r]
		sum += float64(p.inUse[r]) * (math.Exp(-age) - math.Exp(-olderAge))
		age = olderAge
	}
	return sum
}

// meanHold returns the smoothed holding time of the rank in seconds.
func (m *model) meanHold(r rank.Rank) float64 {
	if len(m.holdTimes[r]) == 0 {
		return initialHoldSeconds
	}
	mean := m.holdTimes[r][0]
	for _, held := range m.holdTimes[r][1:] {
		mean += holdTimeWeight * (held - mean)
	}
	return mean
}

// elapse adds a period with the present use to the history, and updates the deficits of the floors.
func (m *model) elapse(elapsed time.Duration) {
	period := modelPeriod{seconds: elapsed.Seconds(), inUse: m.inUse}
	for _, r := range rank.All() {
		meanHold := m.meanHold(r)
		period.timeConstants[r] = min(maxReservationTimeConstantSeconds,
			max(minReservationTimeConstantSeconds, reservationTimeConstantHolds*meanHold))
		shortfall := (m.service.Ranks.Of(r).Floor*float64(m.capacity) - float64(m.inUse[r])) * elapsed.Seconds()
		if shortfall <= 0 || m.hasWaiting(r) {
			m.deficit[r] = min(maxDeficitHolds*meanHold, max(-meanHold, m.deficit[r]+shortfall))
		}
	}
	m.history = append(m.history, period)
}

// release counts the completion of a request. The holding time of a request that never ran (0) is ignored.
func (m *model) release(r rank.Rank, held time.Duration) {
	m.inUse[r]--
	if held > 0 {
		m.holdTimes[r] = append(m.holdTimes[r], held.Seconds())
	}
}
