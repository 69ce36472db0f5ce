package admission

import (
	"math/rand/v2"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/rank"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// DefaultMaxWaiting is the largest number of requests of all callers and ranks that wait for one service at one entry host.
// An entry takes about 300 bytes, so a full queue takes about 1.2 MB.
const DefaultMaxWaiting = 4096

// Queue decides for one service which requests use the slots of this host. It is not safe for concurrent use.
//
// The times passed to its methods must not decrease. Expire returns the waiting requests that were rejected since its last
// call, so the owner must call it after each Offer, Configure and Next.
type Queue struct {
	rng          *rand.Rand
	unranked     bool
	capacity     int
	limits       [rank.Count]int
	floors       floors
	maxPerCaller [rank.Count]int
	maxWaiting   int

	inUse   [rank.Count]int
	ranks   [rank.Count]rankQueue
	waiting map[uint64]*entry
	// byLatestStart holds the same entries as waiting.
	byLatestStart latestStartHeap
	rejections    []Rejection

	holdTimes   holdTimeEstimate
	reservation reservation
	// recheckTime is the last time that recheckAt returned.
	recheckTime time.Time
	smoothedUse smoothedUse
	overload    [rank.Count]overloadMeter
	// advancedTo is the time of the last update by advance.
	advancedTo time.Time
}

// NewQueue returns a queue without capacity. Configure sets the capacity. rng provides the jitter of the time to retry.
func NewQueue(rng *rand.Rand) *Queue {
	q := &Queue{rng: rng, maxWaiting: DefaultMaxWaiting, waiting: make(map[uint64]*entry)}
	for i := range q.ranks {
		q.ranks[i] = newRankQueue()
	}
	return q
}

// NewUnrankedQueue returns a plain first-in, first-out queue without ranks, floors, limits, separate callers and estimates.
// It serves as the baseline of measurements.
func NewUnrankedQueue(rng *rand.Rand) *Queue {
	q := NewQueue(rng)
	q.unranked = true
	return q
}

// Configure sets the service's policy and the number of slots that this host may use. With capacity 0 it rejects every
// waiting request with NoBackendServer, because no slot will become free.
func (q *Queue) Configure(service *policy.Service, capacity int, now time.Time) {
	q.advance(now)
	q.capacity = max(0, capacity)
	for _, r := range rank.All() {
		q.limits[r] = service.LimitSlots(r, q.capacity)
		q.maxPerCaller[r] = service.Ranks.Of(r).QueuePerCaller
		q.floors.set(r, service.Ranks.Of(r).Floor*float64(q.capacity), service.FloorSlots(r, q.capacity))
	}
	if q.unranked {
		q.removeRankBounds()
	}
	if q.capacity == 0 {
		q.rejectAll()
	}
}

// removeRankBounds removes floors, limits and queue limits of callers, so that only the capacity and maxWaiting apply.
func (q *Queue) removeRankBounds() {
	q.floors = floors{}
	for r := range q.limits {
		q.limits[r] = q.capacity
		q.maxPerCaller[r] = q.maxWaiting
	}
}

// Offer asks for a slot. A request never overtakes a waiting request that could take a slot now.
func (q *Queue) Offer(req Request, now time.Time) Decision {
	q.advance(now)
	q.expireDue(now)
	key := q.keyOf(req)
	q.overload[key.rank].recordOffer(now)
	if failure := q.rejectAtOnce(req, now); failure != nil {
		return Decision{Rejected, failure}
	}
	if _, found := q.nextRank(); !found && q.fits(key.rank) {
		q.occupySlot(key.rank, now)
		return Decision{Outcome: Admitted}
	}
	return q.enqueue(req, key, now)
}

// queueKey identifies the queue in which a request waits.
type queueKey struct {
	rank   rank.Rank
	caller string
}

// keyOf returns the rank and caller under which the request is queued. An unranked queue uses one key for all requests.
func (q *Queue) keyOf(req Request) queueKey {
	if q.unranked {
		return queueKey{rank: rank.Urgent}
	}
	return queueKey{rank: knownRank(req.Rank), caller: req.Caller}
}

// knownRank maps a rank that this version does not know, for example from a newer peer, to the least urgent one.
func knownRank(r rank.Rank) rank.Rank {
	return min(r, rank.Rank(rank.Count-1))
}

// rejectAtOnce returns the failure of a request that can be rejected without regard to other requests, or nil.
func (q *Queue) rejectAtOnce(req Request, now time.Time) *result.Failure {
	if !now.Before(req.Deadline) {
		return result.Fail(result.TimeoutTooShort, "the deadline has passed")
	}
	if q.capacity == 0 {
		return result.Fail(result.NoBackendServer, "this host has no usable slot").After(q.retryAfter(knownRank(req.Rank), 0))
	}
	if q.waiting[req.ID] != nil {
		return result.Fail(result.Internal, "request %d is already waiting", req.ID)
	}
	return nil
}

// enqueue adds the request to the queue if it is likely to be served in time and the queue has room.
func (q *Queue) enqueue(req Request, key queueKey, now time.Time) Decision {
	ownWaiting := q.ranks[key.rank].waitingCount(key.caller)
	if ownWaiting >= q.maxPerCaller[key.rank] {
		wait := q.estimateWait(key.rank, ownWaiting)
		failure := result.Fail(result.CallerLimit, "the caller has %d requests waiting", ownWaiting)
		return Decision{Rejected, failure.After(q.retryAfter(key.rank, wait))}
	}
	latest := q.latestStart(req, now)
	wait := q.estimateWait(key.rank, ownWaiting)
	if !latest.After(now) || now.Add(wait).After(latest) {
		failure := result.Fail(result.NoCapacity, "estimated wait %v exceeds the time left", wait.Round(time.Millisecond))
		return Decision{Rejected, failure.After(q.retryAfter(key.rank, wait))}
	}
	if len(q.waiting) >= q.maxWaiting && !q.displace(key.rank, ownWaiting) {
		failure := result.Fail(result.NoCapacity, "the queue is full: %d requests are waiting", len(q.waiting))
		return Decision{Rejected, failure.After(q.retryAfter(key.rank, wait))}
	}
	q.add(&entry{request: req, rank: key.rank, latestStart: latest}, key.caller)
	return Decision{Outcome: Queued}
}

// Next admits every waiting request that may take a slot now, and returns them in the order of admission. Each one holds
// its slot until Release.
func (q *Queue) Next(now time.Time) []Request {
	q.advance(now)
	q.expireDue(now)
	var admitted []Request
	for {
		r, found := q.nextRank()
		if !found {
			return admitted
		}
		e := q.ranks[r].pop()
		q.removeFromIndexes(e)
		q.occupySlot(r, now)
		admitted = append(admitted, e.request)
	}
}

// Release releases the slot of an admitted request. heldFor is the time for which the request held it. 0 means that the
// request never ran; it does not count in the estimates.
func (q *Queue) Release(r rank.Rank, heldFor time.Duration, now time.Time) {
	q.advance(now)
	queueRank := q.keyOf(Request{Rank: r}).rank
	q.inUse[queueRank] = max(0, q.inUse[queueRank]-1)
	q.holdTimes.add(queueRank, heldFor)
}

// Cancel removes a waiting request, for example if its caller disconnected. It reports whether the request was waiting.
func (q *Queue) Cancel(id uint64) bool {
	e := q.waiting[id]
	if e == nil {
		return false
	}
	q.remove(e)
	return true
}

// Expire returns the waiting requests that were rejected since the last call: they can no longer be served in time, another
// request displaced them from a full queue, or the capacity fell to 0.
func (q *Queue) Expire(now time.Time) []Rejection {
	q.advance(now)
	q.expireDue(now)
	rejections := q.rejections
	q.rejections = nil
	return rejections
}

// NextWake returns the time at which Next and Expire must be called if no other event occurs before, or false if no request
// waits.
func (q *Queue) NextWake(now time.Time) (time.Time, bool) {
	expiry, waiting := q.NextExpiry()
	if recheck, scheduled := q.recheckAt(now); scheduled && recheck.Before(expiry) {
		return recheck, true
	}
	return expiry, waiting
}

// NextExpiry returns the time at which the next waiting request expires, or false if none waits.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if len(q.byLatestStart) == 0 {
		return time.Time{}, false
	}
	return q.byLatestStart[0].latestStart, true
}

// InUse returns the number of slots that each rank holds.
func (q *Queue) InUse() [rank.Count]int { return q.inUse }

// Waiting returns the number of requests of each rank that wait.
func (q *Queue) Waiting() [rank.Count]int {
	var counts [rank.Count]int
	for r := range q.ranks {
		counts[r] = q.ranks[r].size
	}
	return counts
}

// Capacity returns the number of slots that Configure set.
func (q *Queue) Capacity() int { return q.capacity }

// occupySlot counts one more slot in use and one more admission.
func (q *Queue) occupySlot(r rank.Rank, now time.Time) {
	q.inUse[r]++
	q.overload[r].recordAdmission(now)
}

// advance updates the smoothed values and the deficits, which depend on the elapsed time, to now.
func (q *Queue) advance(now time.Time) {
	if q.advancedTo.IsZero() {
		q.advancedTo = now
	}
	elapsed := now.Sub(q.advancedTo)
	if elapsed <= 0 {
		return
	}
	q.advancedTo = now
	q.smoothedUse.advance(q.inUse, elapsed)
	for _, r := range rank.All() {
		q.floors.advance(r, q.inUse[r], q.ranks[r].size > 0, elapsed, q.holdTimes.mean(r))
		q.reservation.advance(r, q.inUse[r], elapsed, q.holdTimes.mean(r))
	}
}
