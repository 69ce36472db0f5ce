package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/rank"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// offer offers a request with the given time until its deadline.
func offer(q *Queue, id uint64, r rank.Rank, caller string, timeLeft time.Duration, now time.Time) Decision {
	return q.Offer(Request{ID: id, Rank: r, Caller: caller, Deadline: now.Add(timeLeft)}, now)
}

// busyQueue returns a queue whose slots are all held by urgent work, with a known holding time.
func busyQueue(t *testing.T, capacity int, hold time.Duration) *Queue {
	t.Helper()
	q := newTestQueue()
	q.Configure(testService(defaultLimits, testFloors, 64), capacity, epoch)
	q.Release(rank.Urgent, hold, epoch)
	q.Release(rank.Interactive, hold, epoch)
	q.Release(rank.Deferrable, hold, epoch)
	for i := range capacity {
		if d := offer(q, uint64(1000+i), rank.Urgent, "busy", time.Minute, epoch); d.Outcome != Admitted {
			t.Fatalf("offer %d: %+v", i, d)
		}
	}
	return q
}

// Guards against a request that cannot be served in time and yet waits until its deadline before it is rejected.
func TestOfferRejectsRequestThatCannotBeServedInTime(t *testing.T) {
	q := busyQueue(t, 3, 100*time.Millisecond)
	// The typical holding time is 200 ms: the mean of 100 ms plus twice the initial deviation of 50 ms.
	if d := offer(q, 1, rank.Urgent, "a", 210*time.Millisecond, epoch); d.Outcome != Rejected || d.Failure.Code != result.NoCapacity {
		t.Fatalf("got %+v, want NoCapacity: 10 ms are left to wait and the estimated wait is 33 ms", d)
	}
	if d := offer(q, 2, rank.Urgent, "a", 240*time.Millisecond, epoch); d.Outcome != Queued {
		t.Fatalf("got %+v, want queued: 40 ms are left to wait", d)
	}
	next, ok := q.NextExpiry()
	if !ok || next != epoch.Add(40*time.Millisecond) {
		t.Fatalf("expires %v after the offer, want 40 ms", next.Sub(epoch))
	}
	if rejections := q.Expire(epoch.Add(40 * time.Millisecond)); len(rejections) != 1 || rejections[0].Failure.Code != result.QueueTimeout {
		t.Fatalf("got %+v, want QueueTimeout as soon as the request cannot be served in time", rejections)
	}
}

// Guards against rejecting all work because of a long estimated holding time: if a slot is free, a request is admitted
// regardless of the estimate. Without new admissions the estimate would never fall again.
func TestOfferAdmitsToFreeSlotDespiteLongHoldingTimes(t *testing.T) {
	q := newTestQueue()
	q.Configure(testService(defaultLimits, testFloors, 64), 3, epoch)
	q.Release(rank.Urgent, 5*time.Second, epoch)
	if d := offer(q, 1, rank.Urgent, "a", 100*time.Millisecond, epoch); d.Outcome != Admitted {
		t.Fatalf("got %+v, want admitted", d)
	}
}

// Guards against a queue limit that does not apply to its caller, or that also affects other callers.
func TestOfferRejectsCallerOverItsQueueLimit(t *testing.T) {
	q := busyQueue(t, 3, time.Millisecond)
	for id := uint64(1); id <= 64; id++ {
		if d := offer(q, id, rank.Urgent, "a", time.Minute, epoch); d.Outcome != Queued {
			t.Fatalf("request %d: %+v", id, d)
		}
	}
	if d := offer(q, 65, rank.Urgent, "a", time.Minute, epoch); d.Failure == nil || d.Failure.Code != result.CallerLimit {
		t.Fatalf("got %+v, want CallerLimit", d)
	}
	if d := offer(q, 66, rank.Urgent, "b", time.Minute, epoch); d.Outcome != Queued {
		t.Fatalf("got %+v, want queued", d)
	}
}

// Guards against a full queue that keeps out urgent work, and against displacing a request of a rank that is not the least
// urgent one.
func TestFullQueueDisplacesLeastUrgentRequest(t *testing.T) {
	q := busyQueue(t, 3, time.Millisecond)
	q.maxWaiting = 4
	offer(q, 1, rank.Interactive, "a", time.Minute, epoch)
	offer(q, 2, rank.Deferrable, "a", time.Minute, epoch)
	offer(q, 3, rank.Deferrable, "b", time.Minute, epoch)
	offer(q, 4, rank.Deferrable, "b", time.Minute, epoch)
	if d := offer(q, 5, rank.Deferrable, "c", time.Minute, epoch); d.Outcome != Queued {
		t.Fatalf("got %+v, want the first request of caller c queued in place of the second one of b", d)
	}
	wantDisplaced(t, q, 4)
	if d := offer(q, 6, rank.Deferrable, "d", time.Minute, epoch); d.Outcome != Rejected {
		t.Fatalf("got %+v, want rejected: no caller of the rank has two more requests waiting", d)
	}
	if d := offer(q, 7, rank.Urgent, "d", time.Minute, epoch); d.Outcome != Queued {
		t.Fatalf("got %+v, want queued", d)
	}
	if got := q.Waiting(); got != [rank.Count]int{1, 1, 2} {
		t.Fatalf("waiting %v, want the displaced request to be deferrable", got)
	}
}

func wantDisplaced(t *testing.T, q *Queue, id uint64) {
	t.Helper()
	rejections := q.Expire(epoch)
	if len(rejections) != 1 || rejections[0].Request.ID != id || rejections[0].Failure.Code != result.NoCapacity {
		t.Fatalf("displaced %+v, want request %d", rejections, id)
	}
}

// Guards against requests that wait until their deadline although the host has no usable slot and none can become free.
func TestCapacityZeroRejectsAllWaitingRequests(t *testing.T) {
	q := busyQueue(t, 3, time.Millisecond)
	offer(q, 1, rank.Urgent, "a", time.Minute, epoch)
	q.Configure(testService(defaultLimits, testFloors, 64), 0, epoch)
	rejections := q.Expire(epoch)
	if len(rejections) != 1 || rejections[0].Failure.Code != result.NoBackendServer {
		t.Fatalf("got %+v, want NoBackendServer", rejections)
	}
	if d := offer(q, 2, rank.Urgent, "a", time.Minute, epoch); d.Failure == nil || d.Failure.Code != result.NoBackendServer {
		t.Fatalf("got %+v, want NoBackendServer", d)
	}
}

// Guards against a time to retry that does not grow with the number of rejected requests: the retries would then keep up the
// overload.
func TestRetryAfterGrowsWithOverload(t *testing.T) {
	meanRetryAfter := func(offers int) (sum time.Duration) {
		q := busyQueue(t, 3, 100*time.Millisecond)
		for id := range offers {
			d := offer(q, uint64(id+1), rank.Deferrable, fmt.Sprint(id), 10*time.Millisecond, epoch)
			if d.Outcome != Rejected {
				t.Fatalf("got %+v, want rejected", d)
			}
			sum += d.Failure.RetryAfter
		}
		return sum / time.Duration(offers)
	}
	meanOfFew := meanRetryAfter(10)
	meanOfMany := meanRetryAfter(1000)
	if meanOfMany < 10*meanOfFew {
		t.Fatalf("mean time to retry %v with 10 rejections and %v with 1000, want it to grow at least tenfold", meanOfFew, meanOfMany)
	}
}

// Guards against callers that were rejected at the same time and then retry at the same time.
func TestRetryAfterHasJitter(t *testing.T) {
	q := busyQueue(t, 3, 100*time.Millisecond)
	shortest, longest := time.Hour, time.Duration(0)
	for range 1000 {
		d := q.retryAfter(rank.Urgent, time.Second)
		shortest, longest = min(shortest, d), max(longest, d)
	}
	if shortest > 550*time.Millisecond || longest < 1450*time.Millisecond {
		t.Fatalf("times to retry for a wait of 1 s lie between %v and %v, want 0.5 s to 1.5 s", shortest, longest)
	}
}

// Guards against a caller with many waiting requests that delays another caller's first request by more than one of its own.
func TestFloodingCallerDelaysOtherCallersByOneRequest(t *testing.T) {
	q := busyQueue(t, 1, time.Millisecond)
	for id := uint64(1); id <= 20; id++ {
		offer(q, id, rank.Urgent, "flood", time.Minute, epoch)
	}
	offer(q, 21, rank.Urgent, "a", time.Minute, epoch)
	offer(q, 22, rank.Urgent, "b", time.Minute, epoch)
	var order []uint64
	for range 4 {
		q.Release(rank.Urgent, time.Millisecond, epoch)
		for _, req := range q.Next(epoch) {
			order = append(order, req.ID)
		}
	}
	if want := []uint64{1, 21, 22, 2}; !slices.Equal(order, want) {
		t.Fatalf("admitted %v, want %v", order, want)
	}
}

// Guards against a request that arrives between a release and the next admission and takes the free slot before a waiting
// request.
func TestOfferDoesNotOvertakeWaitingRequest(t *testing.T) {
	q := busyQueue(t, 1, time.Millisecond)
	offer(q, 1, rank.Urgent, "a", time.Minute, epoch)
	q.Release(rank.Urgent, time.Millisecond, epoch)
	if d := offer(q, 2, rank.Urgent, "b", time.Minute, epoch); d.Outcome != Queued {
		t.Fatalf("got %+v, want queued behind request 1", d)
	}
	if next := q.Next(epoch); len(next) != 1 || next[0].ID != 1 {
		t.Fatalf("admitted %+v, want request 1", next)
	}
}

// Guards against a smoothed headroom, as heartbeats carry it, that follows a change in much more than a second or exceeds the
// limits.
func TestSmoothedHeadroomFollowsUseAndRespectsLimits(t *testing.T) {
	q := newTestQueue()
	q.Configure(testService(defaultLimits, testFloors, 64), 10, epoch)
	if got := q.SmoothedHeadroom(epoch); got != [rank.Count]float64{10, 8, 6} {
		t.Fatalf("got %v, want the limits of an idle host", got)
	}
	for id := range uint64(4) {
		offer(q, id, rank.Urgent, "a", time.Minute, epoch)
	}
	got := q.SmoothedHeadroom(epoch.Add(3 * time.Second))
	// Urgent work holds 4 slots, and its smoothed use of 3.1 gives a reservation of 8 against deferrable work.
	want := [rank.Count]float64{6, 6, 2}
	for r := range got {
		if got[r] < want[r]-1e-9 || got[r] > want[r]+0.1 {
			t.Fatalf("got %v, want close to %v", got, want)
		}
	}
}

// Guards against a full host to which other hosts spill requests, because its slots were free for a short time between two
// requests and the smoothed use is therefore below the capacity.
func TestSmoothedHeadroomIsZeroWhileRequestsWait(t *testing.T) {
	q := newTestQueue()
	q.Configure(testService(defaultLimits, testFloors, 64), 1, epoch)
	offer(q, 1, rank.Urgent, "a", time.Minute, epoch)
	offer(q, 2, rank.Urgent, "a", time.Minute, epoch)
	if got := q.SmoothedHeadroom(epoch.Add(100 * time.Millisecond)); got != [rank.Count]float64{} {
		t.Errorf("headroom %v while a request waits for the only slot", got)
	}
}
