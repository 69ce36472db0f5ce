package grants

import (
	"testing"

	"pgregory.net/rapid"
)

// region models a region whose slots are assigned to hosts. A host knows only its own slots and the number of slots of the
// region.
type region struct {
	capSlots, slots int
	owner           []int
	hosts           []*ShiftCap
}

func newRegion(t *rapid.T) *region {
	g := &region{
		slots:    rapid.IntRange(1, 60).Draw(t, "slots"),
		capSlots: rapid.IntRange(1, 40).Draw(t, "cap"),
	}
	for range rapid.IntRange(1, 8).Draw(t, "hosts") {
		g.hosts = append(g.hosts, NewShiftCap())
	}
	for range g.slots {
		g.owner = append(g.owner, rapid.IntRange(0, len(g.hosts)-1).Draw(t, "owner"))
	}
	for h := range g.hosts {
		g.configure(h)
	}
	return g
}

func (g *region) owned(h int) int {
	n := 0
	for _, owner := range g.owner {
		if owner == h {
			n++
		}
	}
	return n
}

func (g *region) configure(h int) {
	g.hosts[h].Configure("x", g.capSlots, g.owned(h), g.slots)
}

// move assigns a slot to another host as a join does: the previous host acknowledges the join only while its shifted requests
// fit into the share of the slots that it keeps, and the new host uses the slot afterwards.
func (g *region) move(t *rapid.T) {
	slot := rapid.IntRange(0, g.slots-1).Draw(t, "slot")
	from, to := g.owner[slot], rapid.IntRange(0, len(g.hosts)-1).Draw(t, "to")
	if from == to || !g.hosts[from].FitsWithin("x", g.owned(from)-1) {
		t.Skip("not acknowledged")
	}
	g.owner[slot] = to
	g.configure(from)
	g.configure(to)
}

func (g *region) admit(t *rapid.T) {
	g.hosts[rapid.IntRange(0, len(g.hosts)-1).Draw(t, "host")].Admit("x")
}

func (g *region) done(t *rapid.T) {
	g.hosts[rapid.IntRange(0, len(g.hosts)-1).Draw(t, "host")].Done("x")
}

func (g *region) check(t *rapid.T) {
	shares, running := 0, 0
	for _, h := range g.hosts {
		shares += h.Share("x")
		running += h.Running("x")
	}
	if shares > g.capSlots || running > g.capSlots {
		t.Fatalf("shares %d and running requests %d, cap %d", shares, running, g.capSlots)
	}
}

// Guards against a shift that exceeds its cap (invariant I1), for any assignment of slots to hosts and any order of moves.
func TestShiftStaysUnderItsCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newRegion(t)
		t.Repeat(map[string]func(*rapid.T){
			"admit": g.admit, "admitMore": g.admit, "admitMost": g.admit,
			"done": g.done,
			"move": g.move,
			"":     g.check,
		})
	})
}

// Guards against running requests that are no longer counted after the host's number of slots decreases, and against requests
// that are admitted before the running ones fit into the smaller share.
func TestShiftCapAdmitsNothingUntilRunningFitsShare(t *testing.T) {
	s := NewShiftCap()
	s.Configure("x", 10, 20, 40)
	for range 5 {
		if !s.Admit("x") {
			t.Fatal("rejected within the share of 5")
		}
	}
	s.Configure("x", 10, 8, 40)
	for running := 5; running >= 2; running-- {
		if s.Admit("x") {
			t.Fatalf("admitted with %d running and a share of 2", running)
		}
		s.Done("x")
	}
	if !s.Admit("x") {
		t.Fatal("rejected within the share of 2")
	}
}

// Guards against a shift that is configured again under the same id and does not count requests that still run from before.
func TestRemovedShiftKeepsCountingRunningRequests(t *testing.T) {
	s := NewShiftCap()
	s.Configure("x", 2, 10, 10)
	s.Admit("x")
	s.Remove("x")
	if s.Admit("x") {
		t.Fatal("admitted for a shift that ended")
	}
	s.Configure("x", 2, 10, 10)
	if got := s.Running("x"); got != 1 {
		t.Fatalf("%d running, want 1", got)
	}
	s.Remove("x")
	s.Done("x")
	if len(s.shifts) != 0 {
		t.Fatal("a removed shift without requests is kept")
	}
}
