package admission

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/rank"
)

// modelRequest is a waiting request in the reference model.
type modelRequest struct {
	Request
	offered time.Time
	// admissionsByCaller counts the admissions of each other caller of the rank since this request began to wait. It is
	// nil if the caller already had other requests of the rank waiting.
	admissionsByCaller map[string]int
}

// model is a simple and slow reference implementation of the rules. It uses lists instead of indexes and has no wait
// estimates.
type model struct {
	service  *policy.Service
	capacity int
	inUse    [rank.Count]int
	waiting  []*modelRequest
	// outcomes has the outcome of each request that no longer waits. Admitted is an outcome too.
	outcomes map[uint64]string
	offered  int
	// history has the use of slots since the start, holdTimes the holding times of each rank in seconds, and deficit the
	// missed slot-seconds of each floor.
	history   []modelPeriod
	holdTimes [rank.Count][]float64
	deficit   [rank.Count]float64
}

// modelPeriod is a period in which the use of slots did not change. timeConstants are those of the smoothing of each rank, in
// seconds.
type modelPeriod struct {
	seconds       float64
	inUse         [rank.Count]int
	timeConstants [rank.Count]float64
}

// fits reports whether a request of the rank may take a slot.
func (m *model) fits(r rank.Rank) bool {
	return m.withinLimits(r) && (m.belowWholeFloor(r) || m.deficitGrantsSlot(r) || m.leavesReservedSlotsFree(r))
}

// withinLimits models the limits, a form of trunk reservation: with one more slot in use, every limit that counts the slots
// of this rank must hold.
func (m *model) withinLimits(r rank.Rank) bool {
	total := 0
	for _, n := range m.inUse {
		total += n
	}
	if total+1 > m.capacity {
		return false
	}
	for x := rank.Rank(0); x <= r; x++ {
		held := 0
		for y := x; y < rank.Count; y++ {
			held += m.inUse[y]
		}
		if held+1 > m.service.LimitSlots(x, m.capacity) {
			return false
		}
	}
	return true
}

func (m *model) hasWaiting(r rank.Rank) bool {
	return slices.ContainsFunc(m.waiting, func(w *modelRequest) bool { return w.Rank == r })
}

func (m *model) belowWholeFloor(r rank.Rank) bool {
	return m.inUse[r] < m.service.FloorSlots(r, m.capacity)
}

// deficitGrantsSlot reports whether the deficit grants the rank one slot beyond the whole part of its floor.
func (m *model) deficitGrantsSlot(r rank.Rank) bool {
	floor := m.service.Ranks.Of(r).Floor
	return floor > 0 && m.capacity > 0 && m.inUse[r] == m.service.FloorSlots(r, m.capacity) && m.deficit[r] >= m.meanHold(r)
}

func (m *model) recordOutcome(t *rapid.T, id uint64, outcome string) {
	if previous, ok := m.outcomes[id]; ok {
		t.Fatalf("request %d was already %s and is now %s", id, previous, outcome)
	}
	m.outcomes[id] = outcome
	m.waiting = slices.DeleteFunc(m.waiting, func(w *modelRequest) bool { return w.ID == id })
}

// admit checks one admission against every rule and applies it.
func (m *model) admit(t *rapid.T, id uint64, now time.Time) {
	i := slices.IndexFunc(m.waiting, func(w *modelRequest) bool { return w.ID == id })
	if i < 0 {
		t.Fatalf("request %d was admitted but is not waiting", id)
	}
	req := m.waiting[i]
	m.checkWaitTime(t, req, now)
	m.checkRankOrder(t, req)
	m.checkRoundRobin(t, req)
	if !m.fits(req.Rank) {
		t.Fatalf("%v request admitted beyond a limit: capacity %d, in use %v", req.Rank, m.capacity, m.inUse)
	}
	m.recordOutcome(t, id, "admitted")
	m.inUse[req.Rank]++
}

func (m *model) checkWaitTime(t *rapid.T, req *modelRequest, now time.Time) {
	if !now.Before(req.Deadline) {
		t.Fatalf("request %d admitted %v after its deadline", req.ID, now.Sub(req.Deadline))
	}
	if req.MaxWait > 0 && now.Sub(req.offered) >= req.MaxWait {
		t.Fatalf("request %d admitted after %v, want less than %v", req.ID, now.Sub(req.offered), req.MaxWait)
	}
}

// checkRankOrder checks that no other rank had to be served before the request.
func (m *model) checkRankOrder(t *rapid.T, req *modelRequest) {
	for _, x := range rank.All() {
		if x == req.Rank || !m.hasWaiting(x) || !m.fits(x) {
			continue
		}
		if m.belowWholeFloor(x) && !m.belowWholeFloor(req.Rank) {
			t.Fatalf("%v admitted before %v, which waits and is below its floor", req.Rank, x)
		}
		if m.deficitGrantsSlot(x) && !m.belowWholeFloor(req.Rank) && !m.deficitGrantsSlot(req.Rank) {
			t.Fatalf("%v admitted before %v, whose deficit grants it a slot", req.Rank, x)
		}
		if x < req.Rank && !m.belowWholeFloor(req.Rank) && !m.deficitGrantsSlot(req.Rank) {
			t.Fatalf("%v admitted before the more urgent %v", req.Rank, x)
		}
	}
}

// checkRoundRobin checks the round robin over callers and the order of each caller's requests.
func (m *model) checkRoundRobin(t *rapid.T, req *modelRequest) {
	for _, w := range m.waiting {
		if w.Rank != req.Rank || w.ID == req.ID {
			continue
		}
		if w.Caller == req.Caller {
			if w.ID < req.ID {
				t.Fatalf("request %d of caller %s overtook its earlier request %d", req.ID, req.Caller, w.ID)
			}
			continue
		}
		if w.admissionsByCaller == nil {
			continue
		}
		w.admissionsByCaller[req.Caller]++
		if w.admissionsByCaller[req.Caller] > 1 {
			t.Fatalf("first request %d of caller %s was overtaken by 2 requests of caller %s", w.ID, w.Caller, req.Caller)
		}
	}
}

func (m *model) enqueue(req Request, now time.Time) {
	first := !slices.ContainsFunc(m.waiting, func(w *modelRequest) bool {
		return w.Rank == req.Rank && w.Caller == req.Caller
	})
	w := &modelRequest{Request: req, offered: now}
	if first {
		w.admissionsByCaller = map[string]int{}
	}
	m.waiting = append(m.waiting, w)
}
