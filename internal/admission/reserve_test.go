package admission

import (
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/rank"
)

// reservedQueue returns an idle queue with 10 slots. Urgent work held 5 of them for 10 seconds, until the returned time.
func reservedQueue(floors [rank.Count]float64) (*Queue, time.Time) {
	q := newTestQueue()
	q.Configure(testService(defaultLimits, floors, 64), 10, epoch)
	for id := range uint64(5) {
		offer(q, id, rank.Urgent, "a", time.Minute, epoch)
	}
	now := epoch.Add(10 * time.Second)
	for range 5 {
		q.Release(rank.Urgent, 50*time.Millisecond, now)
	}
	return q, now
}

// Guards against a reservation that leaves slots idle when there was no urgent work for some seconds.
func TestReservationExpiresAfterUrgentWorkStops(t *testing.T) {
	q, now := reservedQueue([rank.Count]float64{})
	// The mean of 5 gives a reservation of 5 + 2.6 * sqrt(5), but one slot always remains for deferrable work.
	if got, want := q.Headroom(now), [rank.Count]int{10, 8, 1}; got != want {
		t.Fatalf("headroom %v, want %v while 9 slots are reserved", got, want)
	}
	later := now.Add(5 * time.Second)
	if got, want := q.Headroom(later), [rank.Count]int{10, 8, 6}; got != want {
		t.Fatalf("headroom %v after 5 s without urgent work, want the limits %v", got, want)
	}
	if got, want := q.SmoothedHeadroom(later)[rank.Deferrable], 5.9; got < want {
		t.Fatalf("smoothed headroom %.2f after 5 s without urgent work, want %.1f", got, want)
	}
}

// Guards against a reservation that covers the growth of urgent or of interactive work alone instead of both together.
func TestReservationCountsAllMoreUrgentRanks(t *testing.T) {
	q := newTestQueue()
	q.Configure(testService(defaultLimits, [rank.Count]float64{}, 64), 20, epoch)
	for id := range uint64(3) {
		offer(q, id, rank.Urgent, "a", time.Minute, epoch)
		offer(q, 10+id, rank.Interactive, "a", time.Minute, epoch)
	}
	// A mean of 6 slots gives 6 + 2.6 * sqrt(6), so 12 of 20 slots are reserved, 6 of which are in use. Of the 14 free slots
	// 8 remain.
	if got := q.Headroom(epoch.Add(10 * time.Second))[rank.Deferrable]; got != 8 {
		t.Fatalf("headroom of deferrable work %d, want 8", got)
	}
}

// Guards against a reservation of urgent work that includes slots of a floor, which the policy guarantees.
func TestFloorOverridesReservation(t *testing.T) {
	q, now := reservedQueue([rank.Count]float64{0, 0.2, 0.2})
	for id := uint64(10); id < 13; id++ {
		offer(q, id, rank.Interactive, "shop", time.Minute, now)
	}
	for id := uint64(20); id < 28; id++ {
		offer(q, id, rank.Deferrable, "free", time.Minute, now)
	}
	// 6 of the 7 free slots are reserved, so the rank gets the second slot only because of its floor.
	if got := q.InUse()[rank.Deferrable]; got != 2 {
		t.Fatalf("deferrable work holds %d slots, want its floor of 2", got)
	}
}

// Guards against a request that waits for the reservation without end: if no other request starts or completes, the owner
// calls Next again only because of NextWake.
func TestNextWakeIsSetWhileRequestWaitsForReservation(t *testing.T) {
	q, now := reservedQueue([rank.Count]float64{})
	offer(q, 10, rank.Deferrable, "free", time.Minute, now)
	offer(q, 11, rank.Deferrable, "free", time.Minute, now)
	for step := 0; q.InUse()[rank.Deferrable] < 2; step++ {
		wake, waits := q.NextWake(now)
		if !waits || wake.After(now.Add(recheckInterval)) || step > 1000 {
			t.Fatalf("step %d at %v: next wake %v, %v", step, now.Sub(epoch), wake.Sub(epoch), waits)
		}
		now = wake
		q.Next(now)
	}
}
