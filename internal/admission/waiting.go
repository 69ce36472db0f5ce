package admission

import (
	"container/heap"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/rank"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// add adds an entry to its rank's queue and to the other indexes.
func (q *Queue) add(e *entry, caller string) {
	q.waiting[e.request.ID] = e
	heap.Push(&q.byLatestStart, e)
	q.ranks[e.rank].push(e, caller)
}

// remove removes an entry from its rank's queue and from the other indexes.
func (q *Queue) remove(e *entry) {
	q.ranks[e.rank].remove(e)
	q.removeFromIndexes(e)
}

// removeFromIndexes removes an entry that is no longer in its rank's queue from the other indexes.
func (q *Queue) removeFromIndexes(e *entry) {
	delete(q.waiting, e.request.ID)
	heap.Remove(&q.byLatestStart, e.heapIndex)
}

// latestStart returns the time after which it is too late to start the request. The time is set when the wait begins and
// does not change.
func (q *Queue) latestStart(req Request, now time.Time) time.Time {
	latest := req.Deadline
	if !q.unranked {
		latest = latest.Add(-q.holdTimes.typical(knownRank(req.Rank)))
	}
	if bound := now.Add(req.MaxWait); req.MaxWait > 0 && bound.Before(latest) {
		return bound
	}
	return latest
}

// expireDue rejects the requests that can no longer be served in time.
func (q *Queue) expireDue(now time.Time) {
	for len(q.byLatestStart) > 0 && !q.byLatestStart[0].latestStart.After(now) {
		e := q.byLatestStart[0]
		q.remove(e)
		q.reject(e, q.timeoutFailure(e.rank))
	}
}

// timeoutFailure returns the failure of a request of the rank that got no slot in time.
func (q *Queue) timeoutFailure(r rank.Rank) *result.Failure {
	failure := result.Fail(result.QueueTimeout, "no slot became free in time")
	return failure.After(q.retryAfter(r, q.estimateWait(r, 0)))
}

// reject records the rejection of a request that waited. Expire returns it.
func (q *Queue) reject(e *entry, failure *result.Failure) {
	q.rejections = append(q.rejections, Rejection{e.request, failure})
}

// rejectAll rejects every waiting request because no capacity is left.
func (q *Queue) rejectAll() {
	for len(q.byLatestStart) > 0 {
		e := q.byLatestStart[0]
		q.remove(e)
		failure := result.Fail(result.NoBackendServer, "this host has no usable slot any more")
		q.reject(e, failure.After(q.retryAfter(e.rank, 0)))
	}
}

// displace makes room in a full queue for a request of newRank, whose caller has ownWaiting requests waiting. It rejects
// the newest request of the caller with the most waiting requests in the least urgent rank, and returns false if it may
// not reject any. In newRank itself it rejects a request only if its caller has at least two more waiting requests than the
// new one. A caller that fills the whole queue thus does not keep out the first requests of other callers.
func (q *Queue) displace(newRank rank.Rank, ownWaiting int) bool {
	for r := rank.Rank(rank.Count - 1); r >= newRank; r-- {
		if q.ranks[r].size == 0 {
			continue
		}
		longest := q.ranks[r].longest()
		if r == newRank && longest.size() < ownWaiting+2 {
			return false
		}
		e := longest.newest()
		q.remove(e)
		failure := result.Fail(result.NoCapacity, "the queue is full and another request took the place")
		q.reject(e, failure.After(q.retryAfter(r, q.estimateWait(r, 0))))
		return true
	}
	return false
}

// entry is a waiting request.
type entry struct {
	request     Request
	rank        rank.Rank
	latestStart time.Time
	caller      *callerQueue
	// previous and next link the entries of one caller in order of arrival.
	previous, next *entry
	heapIndex      int
}

// latestStartHeap is a heap of the waiting requests. The first one to expire is at its root.
type latestStartHeap []*entry

func (h latestStartHeap) Len() int           { return len(h) }
func (h latestStartHeap) Less(i, j int) bool { return h[i].latestStart.Before(h[j].latestStart) }

func (h latestStartHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *latestStartHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *latestStartHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}
