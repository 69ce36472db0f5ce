package backend

import (
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/hostlist"
	"github.com/foxtailtack/foxtailtack/internal/membership"
)

// Guards against load reports that do not reach the status: operators then see "unknown" as the load of every backend server.
func TestStatusShowsTheReportedLoad(t *testing.T) {
	s := newRegistryFixture(t)
	s.registry.Configure(snapshotOf(t, []string{"b1", "b2"}, nil), "d", s.now)
	s.registry.RecordLoad("b1", LoadReport{InUse: 3, Slots: 9}, s.now)
	statuses := s.registry.Statuses(s.now.Add(2 * time.Second))
	if got := statuses[0]; got.Load != 3.0/9 || got.LoadAge != 2*time.Second {
		t.Errorf("b1: load %v of age %v, want a third of age 2s", got.Load, got.LoadAge)
	}
	if got := statuses[1]; got.LoadAge >= 0 {
		t.Errorf("b2: age %v, want a negative one without a report", got.LoadAge)
	}
}

// Two hosts that see the start and the end of a drain at the same time use the same sequence numbers for their notices. If each host
// keeps the other's earlier notice until it expires after 30 s, a backend server that is back in use gets no work for that time.
func TestSimultaneousClearsRevokePeerNotices(t *testing.T) {
	one, two := newRegistryFixture(t), newRegistryFixture(t)
	hosts := []*registryFixture{one, two}
	update := func(state hostlist.State) {
		for _, s := range hosts {
			s.now = s.now.Add(time.Second)
			s.registry.RecordHostList(hostlist.List{Hosts: map[string]hostlist.State{"b1": state}, FetchedAt: s.now}, s.now)
		}
		first, second := one.registry.Notices(), two.registry.Notices()
		one.registry.MergeNotices(second, one.now)
		two.registry.MergeNotices(first, two.now)
	}
	for _, s := range hosts {
		s.registry.Configure(snapshotOf(t, []string{"b1"}, nil), "d", s.now)
	}
	update(hostlist.Leaving)
	update(hostlist.Live)
	for i, s := range hosts {
		if st := s.registry.Statuses(s.now)[0]; st.Leaving {
			t.Errorf("host %d: leaving by notice %q, want the peer's notice to be revoked", i, st.Notice)
		}
	}
}

// A peer's leaving notice must not be revoked by the notice of another peer that saw its end and uses the same sequence number.
func TestLeavingNoticeWinsOverClearWithSameSequence(t *testing.T) {
	for _, order := range [][]bool{{true, false}, {false, true}, {true, false, false}} {
		s := newRegistryFixture(t)
		s.registry.Configure(snapshotOf(t, []string{"b1"}, nil), "d", s.now)
		for _, leaving := range order {
			s.registry.MergeNotices([]membership.Notice{{BackendServer: "b1", Leaving: leaving, Sequence: 5}}, s.now)
		}
		if !s.registry.Statuses(s.now)[0].Leaving {
			t.Errorf("order %v: not leaving, want leaving", order)
		}
	}
}
