package catalog

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// listed returns the state of a host that lists the servers first at a time.
func listed(now time.Time, at Revision, servers ...*Server) *State {
	s := NewState()
	list(s, time.Time{}, now, at, servers...)
	return s
}

func list(s *State, since, now time.Time, at Revision, servers ...*Server) []Event {
	var changes []Change
	for _, server := range servers {
		changes = append(changes, Change{Revision: at, Server: server})
	}
	s.beginListing(since, at, now)
	events, _ := s.Resync(changes, at, now)
	return events
}

// learn has a host ask another one about the removals that it may have missed.
func learn(s, other *State, now time.Time) []Event {
	return s.learnDepartures(other.departures(s.missedRemovals(now).ago(now), now), now)
}

// oldHost returns the state of a host that has run for longer than removals are remembered, and saw server s0 leave after sequence 7.
func oldHost(removedAt time.Time) *State {
	s := listed(removedAt.Add(-2*departedTTL), 1, readyServer("s0", 7), readyServer("s1", 7))
	s.Apply([]Change{{Revision: 6, ServerGone: "s0"}}, 6, removedAt)
	return s
}

func hasServer(s *State, service, id string) bool {
	return slices.ContainsFunc(s.View().ByService[service], func(e *ServerEntry) bool { return e.ID == id })
}

// Guards against a restarted host that takes a late heartbeat of a server for that of a live one: the server had left before the start, all
// other hosts knew, and orders were lost there.
func TestRestartedHostRejectsHeartbeatOfServerThatLeftBeforeItsStart(t *testing.T) {
	for name, sequence := range map[string]uint64{"earlier heartbeat": 4, "latest heartbeat": 7} {
		old := oldHost(start)
		restarted := listed(start.Add(time.Second), 6, readyServer("s1", 7))
		learn(restarted, old, start.Add(2*time.Second))
		restarted.Apply([]Change{{Revision: 8, Server: readyServer("s0", sequence)}}, 8, start.Add(10*time.Second))
		if hasServer(restarted, "catalogue", "s0") {
			t.Errorf("%s: a host that was started after the removal uses the server", name)
		}
		restarted.Apply([]Change{{Revision: 9, Server: readyServer("s0", 8)}}, 9, start.Add(11*time.Second))
		if !hasServer(restarted, "catalogue", "s0") {
			t.Errorf("%s: the server is not used after a later heartbeat", name)
		}
	}
}

// Guards against a late heartbeat that reaches the store before the new host does: the host finds the entry in its first listing.
func TestServerThatLeftIsRemovedWhenOtherHostReportsIt(t *testing.T) {
	old := oldHost(start)
	old.Apply([]Change{{Revision: 7, Server: readyServer("s0", 5)}}, 7, start.Add(time.Second))
	restarted := listed(start.Add(2*time.Second), 7, readyServer("s0", 5), readyServer("s1", 7))
	events := learn(restarted, old, start.Add(3*time.Second))
	if hasServer(restarted, "catalogue", "s0") || !hasServer(restarted, "catalogue", "s1") {
		t.Errorf("the host uses %v, want s1 only", restarted.View().ByService)
	}
	if len(events) != 2 || events[0].Type != "removal_learned" || events[1].Type != "server_gone" {
		t.Errorf("events %v, want removal_learned and server_gone", events)
	}
}

// A heartbeat that was sent before a server announced that it leaves may be executed after the announcement and replaces it in the store.
// Guards against a new host that sends requests to such a server, although the others know that it leaves.
func TestRestartedHostLearnsOfDrainThatStoreHasLost(t *testing.T) {
	old := listed(start, 1, readyServer("s0", 7), readyServer("s1", 7))
	old.Apply([]Change{{Revision: 2, Server: drainingServer("s0", 9)}, {Revision: 3, Server: readyServer("s0", 8)}}, 3, start)
	restarted := listed(start.Add(time.Second), 3, readyServer("s0", 8), readyServer("s1", 7))
	learn(restarted, old, start.Add(2*time.Second))
	if e := restarted.View().Servers["s0"]; e == nil || !e.Draining {
		t.Errorf("the server's entry is %+v, want a draining one", e)
	}
	third := listed(start.Add(3*time.Second), 3, readyServer("s0", 8))
	learn(third, restarted, start.Add(4*time.Second))
	if e := third.View().Servers["s0"]; e == nil || !e.Draining {
		t.Errorf("the entry that a third host learns is %+v, want a draining one", e)
	}
}

// Guards against a host that was suspended and knows an earlier heartbeat of a server that left meanwhile than the others.
func TestHostAsksForRemovalsThatItMissed(t *testing.T) {
	old := listed(start.Add(-2*departedTTL), 1, readyServer("s0", 3), readyServer("s1", 7))
	suspended := listed(start.Add(-2*departedTTL), 1, readyServer("s0", 3), readyServer("s1", 7))
	learn(suspended, old, start)
	old.Apply([]Change{{Revision: 2, Server: readyServer("s0", 7)}, {Revision: 3, ServerGone: "s0"}}, 3, start)
	list(suspended, start.Add(-time.Minute), start.Add(time.Minute), 3, readyServer("s1", 7))
	learn(suspended, old, start.Add(time.Minute))
	suspended.Apply([]Change{{Revision: 4, Server: readyServer("s0", 6)}}, 4, start.Add(2*time.Minute))
	if hasServer(suspended, "catalogue", "s0") {
		t.Error("a host uses a server that left while it was suspended")
	}
}

// Guards against taking the response of a host for complete that was started at the same time, or that has an older state than the listing.
func TestSearchContinuesUntilAHostKnowsTheRemovals(t *testing.T) {
	now := start.Add(10 * time.Second)
	behind := oldHost(start)
	for name, other := range map[string]*State{"started at the same time": listed(start.Add(time.Second), 7), "behind": behind, "without a listing": NewState()} {
		s := listed(start.Add(time.Second), 7)
		learn(s, other, now)
		if s.missedRemovals(now).isEmpty() {
			t.Errorf("%s: the host does not ask others", name)
		}
	}
	informed := listed(start.Add(time.Second), 6)
	learn(informed, oldHost(start), now)
	s := listed(start.Add(time.Second), 6)
	learn(s, informed, now)
	if !s.missedRemovals(now).isEmpty() || len(s.departures(Period{From: departedTTL}, now).Removed) != 1 {
		t.Error("what a host has learned is not passed on")
	}
	if s := listed(start, 6); !s.missedRemovals(start.Add(departedTTL + time.Second)).isEmpty() {
		t.Error("a host asks for removals that no host remembers")
	}
}

// If all hosts are started at once, none of them knows which servers had left. Guards against using a server that may have left before its
// entry has outlasted the platform's removal of silent servers, and against not using servers that join, or the only one of a service.
func TestReturnedServerIsHeldWhileNoHostKnowsOfRemovals(t *testing.T) {
	started := start.Add(time.Minute)
	late, joined, alone := readyServer("s0", 7), readyServer("s2", 1), readyServer("s3", 7)
	late.Incarnation = Incarnation(start.UnixMilli())
	joined.Incarnation = Incarnation(started.Add(time.Second).UnixMilli())
	alone.Incarnation, alone.Service = late.Incarnation, "other"
	newHost := func() *State {
		s := listed(started, 7, readyServer("s1", 7))
		learn(s, listed(started, 7), started)
		s.Apply([]Change{{Revision: 8, Server: late}, {Revision: 9, Server: joined}, {Revision: 10, Server: alone}}, 10, started.Add(5*time.Second))
		return s
	}
	s := newHost()
	if hasServer(s, "catalogue", "s0") || !hasServer(s, "catalogue", "s1") || !hasServer(s, "catalogue", "s2") || !hasServer(s, "other", "s3") {
		t.Errorf("the host uses %v, want s1, s2 and s3", s.View().ByService)
	}
	s.Apply([]Change{{Revision: 11, ServerGone: "s0"}}, 11, started.Add(9*time.Second))
	s.Expire(started.Add(20 * time.Second))
	if hasServer(s, "catalogue", "s0") {
		t.Error("the server is used after its removal")
	}
	s = newHost()
	s.Expire(started.Add(5*time.Second + defaultReturnHold))
	if !hasServer(s, "catalogue", "s0") {
		t.Error("a live server is not used although its entry stays")
	}
	s = newHost()
	learn(s, func() *State { o := oldHost(start.Add(-time.Hour)); o.Apply(nil, 10, started); return o }(), started.Add(5*time.Second))
	if !hasServer(s, "catalogue", "s0") {
		t.Error("a live server is not used although another host knows of no removal")
	}
	s = listed(started, 7, readyServer("s1", 7))
	s.StoreRecovered(started.Add(4 * time.Second))
	s.Apply([]Change{{Revision: 8, Server: late}}, 8, started.Add(5*time.Second))
	if !hasServer(s, "catalogue", "s0") {
		t.Error("a server that returns after an outage of the store is not used")
	}
}

// Whatever a host learns from others, and in which order, it uses no server that one of these knew to have left when its search is complete.
func TestCompleteSearchHasAllRemovals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const steps = 12
		moment := func(step int) time.Time { return start.Add(time.Duration(step) * 20 * time.Second) }
		// Server s<i> leaves in step i. Host j follows the store from its start on, and may be suspended once.
		hosts := make([]*State, rapid.IntRange(1, 4).Draw(t, "hosts"))
		starts, suspended, resumed := make([]int, len(hosts)), make([]int, len(hosts)), make([]int, len(hosts))
		for j := range hosts {
			starts[j] = rapid.IntRange(-1, steps).Draw(t, "start")
			suspended[j] = rapid.IntRange(starts[j], steps).Draw(t, "suspended")
			resumed[j] = rapid.IntRange(suspended[j], steps+1).Draw(t, "resumed")
		}
		alive := func(step int) (list []*Server) {
			for i := step + 1; i <= steps; i++ {
				list = append(list, readyServer(fmt.Sprint("s", i), 7))
			}
			return list
		}
		for step := -1; step <= steps; step++ {
			for j := range hosts {
				at, now := Revision(100+step), moment(step).Add(time.Duration(j)*time.Millisecond)
				switch {
				case step < starts[j], step >= suspended[j] && step < resumed[j]:
				case step == starts[j] && step == -1:
					hosts[j] = listed(now.Add(-2*departedTTL), at, alive(step)...)
				case step == starts[j]:
					hosts[j] = listed(now, at, alive(step)...)
				case hosts[j] == nil:
				case step == resumed[j]:
					list(hosts[j], moment(suspended[j]-1), now, at, alive(step)...)
				default:
					hosts[j].Apply([]Change{{Revision: at, ServerGone: fmt.Sprint("s", step)}}, at, now)
				}
			}
		}
		now := moment(steps + 1)
		me := listed(now, 100+steps)
		for range rapid.IntRange(1, 6).Draw(t, "calls") {
			if other := rapid.SampledFrom(hosts).Draw(t, "asked"); other != nil {
				learn(me, other, now)
			}
		}
		if !me.missedRemovals(now).isEmpty() {
			return
		}
		for i := range steps {
			if _, known := me.departed.latest(fmt.Sprint("s", i)); !known {
				t.Fatalf("the search was complete without the removal of s%d; starts %v, suspended %v, resumed %v", i, starts, suspended, resumed)
			}
		}
	})
}

// The ids of servers are written by others. Guards against memory and responses that grow with them beyond their bound.
func TestDeparturesAreBoundedInBytes(t *testing.T) {
	s := listed(start, 1)
	for i := range 2 * maxDeparted {
		id := fmt.Sprintf("%d%s", i, strings.Repeat("x", 190))
		s.Apply([]Change{{Revision: 2, Server: readyServer(id, 7)}, {Revision: 3, ServerGone: id}}, 3, start.Add(time.Duration(i)*time.Millisecond))
	}
	now := start.Add(time.Minute)
	d := s.departures(Period{From: departedTTL}, now)
	size := 0
	for _, r := range d.Removed {
		size += len(r.ID) + removalBytes
	}
	if size > maxDepartedBytes || size < maxDepartedBytes/2 || s.departed.bytes > maxDepartedBytes {
		t.Errorf("a response has %d bytes of removals, the state %d, want at most %d", size, s.departed.bytes, maxDepartedBytes)
	}
	if d.Missed.IsEmpty() {
		t.Error("the host does not state that it has discarded removals")
	}
	other := listed(now, 3)
	learn(other, s, now)
	if other.departed.bytes > maxDepartedBytes || other.missedRemovals(now).isEmpty() {
		t.Errorf("the host that learns holds %d bytes and still misses %v", other.departed.bytes, other.missedRemovals(now))
	}
}

// Guards against a listing after a pause of the process that counts as complete, because another call to the store has confirmed since that
// the store responds: removals during the pause were not received.
func TestListingAfterPauseMissesTheTimeSinceTheLastChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFollower(t, &fakeStore{version: 1, at: 1, onWatch: watchWithoutChanges})
		synctest.Wait()
		f.LearnDepartures(Departures{Revision: 1})
		if missed, _ := f.MissedRemovals(); !missed.IsEmpty() {
			t.Fatalf("%v is missed although another host misses nothing", missed)
		}
		const pause = 40 * time.Second
		time.Sleep(pause)
		f.ReportResponse(0)
		f.Relist()
		time.Sleep(5 * time.Second)
		if missed, _ := f.MissedRemovals(); missed.From-missed.To < pause {
			t.Errorf("the missed period is %v, want the %v of the pause in it", missed, pause)
		}
	})
}
