package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/rank"
)

// BenchmarkOfferAdmitted measures an offer that is admitted at once, and its release.
func BenchmarkOfferAdmitted(b *testing.B) {
	q := newTestQueue()
	q.Configure(testService(defaultLimits, testFloors, 64), 36, epoch)
	now, id := epoch, uint64(0)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		id++
		q.Offer(Request{ID: id, Rank: rank.Interactive, Caller: "a", Deadline: now.Add(time.Second)}, now)
		q.Release(rank.Interactive, 10*time.Millisecond, now)
		q.Next(now)
	}
}

// BenchmarkOfferQueued measures an offer that is queued behind the given number of waiting requests, and a release that
// admits one of them.
func BenchmarkOfferQueued(b *testing.B) {
	for _, waiting := range []int{100, 4000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			q := newTestQueue()
			q.Configure(testService(defaultLimits, testFloors, 64), 36, epoch)
			callers := make([]string, 200)
			for i := range callers {
				callers[i] = fmt.Sprint("caller-", i)
			}
			now, id := epoch, uint64(0)
			offerNext := func() {
				id++
				q.Offer(Request{ID: id, Rank: rank.Interactive, Caller: callers[id%200], Deadline: now.Add(time.Hour)}, now)
			}
			for range waiting + 36 {
				offerNext()
			}
			for b.Loop() {
				now = now.Add(time.Microsecond)
				offerNext()
				q.Release(rank.Interactive, 10*time.Millisecond, now)
				q.Next(now)
			}
		})
	}
}

// BenchmarkOfferRejected measures an offer that is rejected at once while all slots that it may use are held.
func BenchmarkOfferRejected(b *testing.B) {
	q := newTestQueue()
	q.Configure(testService(defaultLimits, testFloors, 64), 36, epoch)
	q.Release(rank.Deferrable, 100*time.Millisecond, epoch)
	now, id := epoch, uint64(0)
	for range 36 {
		id++
		q.Offer(Request{ID: id, Rank: rank.Deferrable, Caller: "a", Deadline: now.Add(time.Hour)}, now)
	}
	for b.Loop() {
		now = now.Add(time.Microsecond)
		id++
		q.Offer(Request{ID: id, Rank: rank.Deferrable, Caller: "a", Deadline: now.Add(10 * time.Millisecond)}, now)
	}
}
