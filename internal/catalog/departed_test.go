package catalog

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a heartbeat that a partition held up: executed after the removal of its server's entry, it brought back a server that
// had left, and orders were lost there.
func TestDelayedHeartbeatDoesNotBringBackRemovedServer(t *testing.T) {
	remove := map[string]func(s *State){
		"removed":           func(s *State) { s.Apply([]Change{{Revision: 6, ServerGone: "s0"}}, 6, start) },
		"missing in a list": func(s *State) { s.Resync(nil, 6, start) },
		"lapsed": func(s *State) {
			s.StoreRecovered(start)
			s.Apply([]Change{{Revision: 6, ServerGone: "s0"}}, 6, start)
			s.Expire(start.Add(lapseGrace))
		},
		"drained": func(s *State) {
			s.Apply([]Change{{Revision: 5, Server: drainingServer("s0", 7)}, {Revision: 6, ServerGone: "s0"}}, 6, start)
		},
	}
	for name, remove := range remove {
		for sequence := uint64(4); sequence <= 7; sequence++ {
			s := withServers(1)
			s.Apply([]Change{{Revision: 4, Server: readyServer("s0", 7)}}, 4, start)
			remove(s)
			events := s.Apply([]Change{{Revision: 7, Server: readyServer("s0", sequence)}}, 7, start.Add(5*time.Second))
			if s.View().Servers["s0"] != nil {
				t.Errorf("%s: the heartbeat with sequence %d brought the server back after that with 7", name, sequence)
			}
			if len(events) != 1 || events[0].Type != "entry_ignored" {
				t.Errorf("%s: events %v, want entry_ignored", name, events)
			}
		}
	}
}

// Guards against a live server that is not used: one that was silent for some time goes on with its sequence, one that was restarted has a
// new incarnation, and one without a start time may have been restarted.
func TestRemovedServerReturnsWithLaterHeartbeat(t *testing.T) {
	later, restarted := readyServer("s0", 8), readyServer("s0", 1)
	restarted.Incarnation = 2
	for name, entries := range map[string][2]*Server{
		"later heartbeat":   {readyServer("s0", 7), later},
		"restarted":         {readyServer("s0", 7), restarted},
		"without a start":   {{ID: "s0", Service: "catalogue", Slots: 1, Sequence: 7}, {ID: "s0", Service: "catalogue", Slots: 1, Sequence: 1}},
		"start since known": {{ID: "s0", Service: "catalogue", Slots: 1, Sequence: 7}, restarted},
	} {
		s := NewState()
		s.Apply([]Change{{Revision: 1, Server: entries[0]}, {Revision: 2, ServerGone: "s0"}, {Revision: 3, Server: entries[1]}}, 3, start)
		if s.View().Servers["s0"] == nil {
			t.Errorf("%s: the server is not used", name)
		}
	}
}

// Guards against memory that grows with each server that has ever left.
func TestDepartedServersAreBounded(t *testing.T) {
	var d departedServers
	for i := range 2 * maxDeparted {
		d.add(&Server{ID: fmt.Sprint(i), Incarnation: 1}, start)
		d.add(&Server{ID: "again", Incarnation: 1, Sequence: uint64(i)}, start)
	}
	if len(d.byID) > maxDeparted || len(d.order) > maxDeparted {
		t.Errorf("%d servers and %d removals are remembered, want %d at most", len(d.byID), len(d.order), maxDeparted)
	}
	if removed, ok := d.latest("again"); !ok || removed.sequence != 2*maxDeparted-1 {
		t.Errorf("the server that was removed last is remembered: %v, with sequence %d", ok, removed.sequence)
	}
	d.add(&Server{ID: "last", Incarnation: 1}, start.Add(departedTTL+time.Second))
	if len(d.byID) != 1 {
		t.Errorf("%d servers are remembered after %v, want 1", len(d.byID), departedTTL)
	}
}
