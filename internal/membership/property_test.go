package membership_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailtack/foxtailtack/internal/membership"
)

var epoch = time.Unix(1_000_000, 0)

// newTables returns a table for each host of one failure domain.
func newTables(ids []string, inc membership.Incarnation) map[string]*membership.Table {
	tables := map[string]*membership.Table{}
	for _, id := range ids {
		tables[id] = newTable(id, ids, inc)
	}
	return tables
}

func newTable(id string, ids []string, inc membership.Incarnation) *membership.Table {
	t := membership.New(membership.Member{ID: id, Incarnation: inc, State: membership.Serving}, "north-1")
	t.SetPeers(ids)
	return t
}

// TestKnownIncarnationAndCounterNeverDecrease guards against late messages that restore a replaced incarnation. In any order of
// the messages, the known incarnation of a host and its counter never decrease, and observations of the receiver itself change
// nothing.
func TestKnownIncarnationAndCounterNeverDecrease(t *testing.T) {
	ids := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		tables := newTables(ids, 1)
		inc := map[string]membership.Incarnation{"a": 1, "b": 1, "c": 1}
		known := map[[2]string]membership.Observation{}
		var sent []membership.Heartbeat
		now := epoch
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			id := rapid.SampledFrom(ids).Draw(t, "host")
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				inc[id]++
				tables[id] = newTable(id, ids, inc[id])
				for _, other := range ids {
					delete(known, [2]string{id, other})
				}
			case 1, 2:
				sent = append(sent, tables[id].Heartbeat(now))
			default:
				if len(sent) > 0 {
					tables[id].MergeHeartbeat(sent[rapid.IntRange(0, len(sent)-1).Draw(t, "message")], now)
				}
			}
			for _, m := range tables[id].Members(now) {
				previous := known[[2]string{id, m.ID}]
				if m.Incarnation < previous.Incarnation || m.Incarnation == previous.Incarnation && m.Counter < previous.Counter {
					t.Fatalf("%s went back from %d/%d to %d/%d for %s", id, previous.Incarnation, previous.Counter, m.Incarnation, m.Counter, m.ID)
				}
				if m.Incarnation > inc[m.ID] || m.ID == id && m.Incarnation != inc[id] {
					t.Fatalf("%s knows incarnation %d of %s, which is at %d", id, m.Incarnation, m.ID, inc[m.ID])
				}
				known[[2]string{id, m.ID}] = membership.Observation{Incarnation: m.Incarnation, Counter: m.Counter}
			}
		}
	})
}

// TestSecondHandObservationsDoNotKeepStoppedHostReachable guards against hosts that relay stale observations of a stopped host
// to each other and keep it reachable for longer than UnreachableAfter.
func TestSecondHandObservationsDoNotKeepStoppedHostReachable(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e"}
	rapid.Check(t, func(t *rapid.T) {
		tables := newTables(ids, 1)
		now := epoch
		stoppedAt := time.Time{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			from := rapid.SampledFrom(ids).Draw(t, "from")
			to := rapid.SampledFrom(ids).Draw(t, "to")
			if from == "a" && stoppedAt.IsZero() && rapid.IntRange(0, 3).Draw(t, "stops") == 0 {
				stoppedAt = now
			}
			if from != "a" || stoppedAt.IsZero() {
				tables[to].MergeHeartbeat(tables[from].Heartbeat(now), now)
			}
			if stoppedAt.IsZero() || now.Sub(stoppedAt) < membership.UnreachableAfter {
				continue
			}
			for _, id := range ids[1:] {
				if tables[id].Reachable("a", now) {
					t.Fatalf("%s still considers a reachable %v after a stopped", id, now.Sub(stoppedAt))
				}
			}
		}
	})
}

// TestLateSummariesDoNotDecreaseCounters guards against late summaries, of the same or another delegate, that replace a newer
// known state of a host.
func TestLateSummariesDoNotDecreaseCounters(t *testing.T) {
	ids := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		tables := newTables(ids, 1)
		remote := membership.New(membership.Member{ID: "z", Incarnation: 1}, "south-1")
		var sent []membership.Summary
		known := map[string]membership.Member{}
		now := epoch
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			id := rapid.SampledFrom(ids).Draw(t, "host")
			to := rapid.SampledFrom(ids).Draw(t, "to")
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0, 1:
				tables[to].MergeHeartbeat(tables[id].Heartbeat(now), now)
			case 2:
				sent = append(sent, tables[id].Summary(now))
			default:
				if len(sent) > 0 {
					remote.MergeSummary(sent[rapid.IntRange(0, len(sent)-1).Draw(t, "summary")], now)
				}
			}
			for _, s := range remote.RemoteSummaries(now) {
				seen := map[string]membership.Member{}
				for _, m := range s.Members {
					if previous, ok := known[m.ID]; ok && m.Counter < previous.Counter {
						t.Fatalf("counter of %s went back from %d to %d", m.ID, previous.Counter, m.Counter)
					}
					seen[m.ID] = m
				}
				known = seen
			}
		}
	})
}
