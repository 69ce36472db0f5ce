package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/rank"
)

var epoch = time.Unix(1_700_000_000, 0)

// testService returns a service with the given limits and floors, and with the same queue limit per caller for all ranks.
func testService(limits, floors [rank.Count]float64, perCaller int) *policy.Service {
	rankPolicy := func(r rank.Rank) policy.RankPolicy {
		return policy.RankPolicy{Limit: limits[r], Floor: floors[r], QueuePerCaller: perCaller}
	}
	return &policy.Service{Name: "s", Ranks: policy.Ranks{
		Urgent: rankPolicy(rank.Urgent), Interactive: rankPolicy(rank.Interactive), Deferrable: rankPolicy(rank.Deferrable),
	}}
}

// queueMachine applies the same actions to a Queue and to the model.
type queueMachine struct {
	queue  *Queue
	model  *model
	now    time.Time
	lastID uint64
}

// drawService draws a service with valid limits, floors and queue limits.
func drawService(t *rapid.T) *policy.Service {
	var limits, floors [rank.Count]float64
	previous, sum := 1.0, 0.0
	for _, r := range rank.All() {
		// With equal limits of all ranks only the reservation restricts deferrable work, so equal limits are drawn too.
		limits[r] = previous
		if rapid.Bool().Draw(t, "lower") {
			limits[r] = rapid.Float64Range(0.05, previous).Draw(t, "limit")
		}
		previous = limits[r]
		floors[r] = rapid.Float64Range(0, min(limits[r], 1-sum)).Draw(t, "floor")
		sum += floors[r]
	}
	return testService(limits, floors, rapid.IntRange(1, 6).Draw(t, "perCaller"))
}

func newMachine(t *rapid.T) *queueMachine {
	service := drawService(t)
	capacity := rapid.IntRange(1, 12).Draw(t, "capacity")
	q := NewQueue(rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed"))))
	q.maxWaiting = rapid.IntRange(1, 30).Draw(t, "maxWaiting")
	q.Configure(service, capacity, epoch)
	return &queueMachine{
		queue: q,
		model: &model{service: service, capacity: capacity, outcomes: map[uint64]string{}},
		now:   epoch,
	}
}

// burst offers several requests at one time. Single offers rarely build queues that are long enough for the rules of order to
// matter.
func (m *queueMachine) burst(t *rapid.T) {
	for range rapid.IntRange(2, 10).Draw(t, "requests") {
		m.offer(t)
	}
}

func (m *queueMachine) offer(t *rapid.T) {
	m.lastID++
	m.model.offered++
	req := Request{
		ID:       m.lastID,
		Rank:     rapid.SampledFrom([]rank.Rank{rank.Urgent, rank.Interactive, rank.Deferrable}).Draw(t, "rank"),
		Caller:   rapid.SampledFrom([]string{"a", "a", "a", "b", "c", "d"}).Draw(t, "caller"),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(-5, 3000).Draw(t, "left")) * time.Millisecond),
		MaxWait:  time.Duration(rapid.IntRange(0, 500).Draw(t, "maxWait")) * time.Millisecond,
	}
	decision := m.queue.Offer(req, m.now)
	switch decision.Outcome {
	case Admitted:
		m.model.enqueue(req, m.now)
		m.model.admit(t, req.ID, m.now)
	case Queued:
		m.model.enqueue(req, m.now)
	case Rejected:
		m.checkRejection(t, decision.Failure.Code.NotRun(), decision.Failure.RetryAfter)
		m.model.recordOutcome(t, req.ID, "rejected")
	}
	m.processQueue(t)
}

func (m *queueMachine) checkRejection(t *rapid.T, notRun bool, retryAfter time.Duration) {
	if !notRun {
		t.Fatal("the code of a rejection does not say that the request was not run")
	}
	if retryAfter < 0 || retryAfter > 2*maxRetryAfter {
		t.Fatalf("retry after %v is out of range", retryAfter)
	}
}

func (m *queueMachine) release(t *rapid.T) {
	r := rapid.SampledFrom([]rank.Rank{rank.Urgent, rank.Interactive, rank.Deferrable}).Draw(t, "rank")
	if m.model.inUse[r] == 0 {
		t.Skip("nothing to release")
	}
	held := time.Duration(rapid.IntRange(0, 400).Draw(t, "held")) * time.Millisecond
	m.model.release(r, held)
	m.queue.Release(r, held, m.now)
	m.processQueue(t)
}

func (m *queueMachine) cancel(t *rapid.T) {
	if m.lastID == 0 {
		t.Skip("nothing offered")
	}
	id := rapid.Uint64Range(1, m.lastID).Draw(t, "id")
	_, decided := m.model.outcomes[id]
	if got := m.queue.Cancel(id); got == decided {
		t.Fatalf("cancel of request %d returned %v", id, got)
	}
	if !decided {
		m.model.recordOutcome(t, id, "cancelled")
	}
}

func (m *queueMachine) elapse(t *rapid.T) {
	elapsed := time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
	m.model.elapse(elapsed)
	m.now = m.now.Add(elapsed)
	m.processQueue(t)
}

func (m *queueMachine) configure(t *rapid.T) {
	m.model.capacity = rapid.IntRange(0, 12).Draw(t, "capacity")
	m.queue.Configure(m.model.service, m.model.capacity, m.now)
	m.processQueue(t)
}

// processQueue calls Expire and Next as the owner of a queue does after each event.
func (m *queueMachine) processQueue(t *rapid.T) {
	for _, rejection := range m.queue.Expire(m.now) {
		m.checkRejection(t, rejection.Failure.Code.NotRun(), rejection.Failure.RetryAfter)
		m.model.recordOutcome(t, rejection.Request.ID, "expired")
	}
	for _, req := range m.queue.Next(m.now) {
		m.model.admit(t, req.ID, m.now)
	}
	for _, rejection := range m.queue.Expire(m.now) {
		m.model.recordOutcome(t, rejection.Request.ID, "expired")
	}
}

// check compares the queue with the model after each action.
func (m *queueMachine) check(t *rapid.T) {
	if m.queue.InUse() != m.model.inUse {
		t.Fatalf("in use %v, model %v", m.queue.InUse(), m.model.inUse)
	}
	if len(m.queue.waiting) != len(m.model.waiting) || len(m.queue.byLatestStart) != len(m.model.waiting) {
		t.Fatalf("waiting %d, in the latest-start heap %d, model %d",
			len(m.queue.waiting), len(m.queue.byLatestStart), len(m.model.waiting))
	}
	if len(m.model.waiting) > m.queue.maxWaiting {
		t.Fatalf("%d requests are waiting, want at most %d", len(m.model.waiting), m.queue.maxWaiting)
	}
	if len(m.model.outcomes)+len(m.model.waiting) != m.model.offered {
		t.Fatalf("%d requests offered, but %d decided and %d waiting", m.model.offered, len(m.model.outcomes), len(m.model.waiting))
	}
	m.checkNoIdleSlot(t)
	m.checkCallers(t)
	m.checkHeadroom(t)
	m.checkWake(t)
}

// checkWake guards against a request that waits only for the reservation, and for which no wake-up is scheduled while the
// reservation shrinks.
func (m *queueMachine) checkWake(t *rapid.T) {
	wake, waits := m.queue.NextWake(m.now)
	if waits != (len(m.model.waiting) > 0) {
		t.Fatalf("NextWake returned %v with %d requests waiting", waits, len(m.model.waiting))
	}
	for _, r := range rank.All() {
		if m.model.hasWaiting(r) && m.model.withinLimits(r) && wake.After(m.now.Add(recheckInterval)) {
			t.Fatalf("%v is within its limits, but the next wake-up is only after %v", r, wake.Sub(m.now))
		}
	}
}

// checkNoIdleSlot guards against a slot that stays free although a waiting request may take it.
func (m *queueMachine) checkNoIdleSlot(t *rapid.T) {
	for _, r := range rank.All() {
		if m.model.hasWaiting(r) && m.model.fits(r) {
			t.Fatalf("a slot is free for %v while a request of the rank waits", r)
		}
	}
}

// checkCallers guards against callers that are kept without waiting requests, so that memory use grows without bound.
func (m *queueMachine) checkCallers(t *rapid.T) {
	for _, r := range rank.All() {
		counts := map[string]int{}
		for _, w := range m.model.waiting {
			if w.Rank == r {
				counts[w.Caller]++
			}
		}
		rq := &m.queue.ranks[r]
		if len(rq.callers) != len(counts) || rq.turns.Len() != len(counts) {
			t.Fatalf("%v keeps %d callers and %d turns, model %d", r, len(rq.callers), rq.turns.Len(), len(counts))
		}
		longest := 0
		for name, n := range counts {
			longest = max(longest, n)
			if rq.waitingCount(name) != n {
				t.Fatalf("%v: caller %s has %d waiting, model %d", r, name, rq.waitingCount(name), n)
			}
		}
		if longest > 0 && rq.longest().size() != longest {
			t.Fatalf("%v: longest caller queue is %d, model %d", r, rq.longest().size(), longest)
		}
	}
}

func (m *queueMachine) checkHeadroom(t *rapid.T) {
	headroom := m.queue.Headroom(m.now)
	for _, r := range rank.All() {
		if (headroom[r] > 0) != m.model.fits(r) {
			t.Fatalf("headroom of %v is %d, model fits: %v", r, headroom[r], m.model.fits(r))
		}
	}
}

// Guards against exceeded capacity or limits, use of slots that are reserved for more urgent work, a disregarded floor, a
// caller starved by another one, an admission after the deadline, a request with no outcome or two outcomes, an idle slot
// while requests wait, and entries that are kept after their request got an outcome.
func TestQueueMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"offer":     m.offer,
			"burst":     m.burst,
			"release":   m.release,
			"finish":    m.release,
			"complete":  m.release,
			"cancel":    m.cancel,
			"elapse":    m.elapse,
			"configure": m.configure,
			"":          m.check,
		})
	})
}

// Guards against an unranked queue that still regards ranks, callers or limits, which would make comparisons with this
// baseline meaningless.
func TestUnrankedQueueIsFirstInFirstOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewUnrankedQueue(rand.New(rand.NewPCG(1, 2)))
		q.Configure(drawService(t), 3, epoch)
		var order []uint64
		for id := uint64(1); id <= 20; id++ {
			r := rank.Rank(rapid.IntRange(0, rank.Count-1).Draw(t, "rank"))
			caller := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "caller"))
			d := q.Offer(Request{ID: id, Rank: r, Caller: caller, Deadline: epoch.Add(time.Minute)}, epoch)
			if d.Outcome == Admitted {
				order = append(order, id)
			}
		}
		for len(order) < 20 {
			q.Release(rank.Rank(rapid.IntRange(0, rank.Count-1).Draw(t, "released")), time.Second, epoch)
			for _, req := range q.Next(epoch) {
				order = append(order, req.ID)
			}
		}
		if !slices.IsSorted(order) {
			t.Fatalf("admitted in the order %v, want the order of arrival", order)
		}
	})
}
