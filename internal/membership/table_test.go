package membership_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/rank"
)

func hostIDs(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("host-%02d", i)
	}
	return ids
}

// TestTargetsAreBoundedAndReachAllPeers guards against a heartbeat load that grows with the failure domain, and against a peer
// that is never a target.
func TestTargetsAreBoundedAndReachAllPeers(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	if got := newTable("host-00", hostIDs(9), 1).Targets(rng); len(got) != 8 {
		t.Fatalf("%d targets among 9 hosts, want all 8 others", len(got))
	}
	table := newTable("host-00", hostIDs(27), 1)
	seen := map[string]bool{}
	for range 100 {
		got := table.Targets(rng)
		slices.Sort(got)
		if len(slices.Compact(got)) != membership.Fanout {
			t.Fatalf("targets %v, want %d different ones", got, membership.Fanout)
		}
		for _, id := range got {
			seen[id] = true
		}
	}
	if len(seen) != 26 || seen["host-00"] {
		t.Fatalf("100 heartbeats reach %d peers, want 26", len(seen))
	}
}

// TestHeartbeatsCoverAllPeersOfLargeFailureDomain guards against bounded heartbeats that never contain some hosts.
func TestHeartbeatsCoverAllPeersOfLargeFailureDomain(t *testing.T) {
	ids := hostIDs(64)
	table := newTable(ids[0], ids, 1)
	for _, id := range ids[1:] {
		table.MergeHeartbeat(newTable(id, ids, 1).Heartbeat(epoch), epoch)
	}
	seen := map[string]bool{}
	for range 6 {
		hb := table.Heartbeat(epoch)
		if len(hb.Others) > membership.MaxObservations {
			t.Fatalf("%d observations in one heartbeat", len(hb.Others))
		}
		for _, o := range hb.Others {
			seen[o.ID] = true
		}
	}
	if len(seen) != 63 {
		t.Fatalf("six heartbeats contain observations of %d hosts, want 63", len(seen))
	}
}

// TestSetPeersDropsFormerPeers guards against state that grows with each replaced host.
func TestSetPeersDropsFormerPeers(t *testing.T) {
	a := newTable("a", []string{"a", "b"}, 1)
	a.MergeHeartbeat(newTable("b", []string{"a", "b"}, 1).Heartbeat(epoch), epoch)
	a.SetPeers([]string{"c"})
	a.SetPeers([]string{"b", "c"})
	if _, _, ok := a.LastUpdate("b"); ok {
		t.Fatal("a still has the state of b after b was removed")
	}
}

// TestMergeNoticeKeepsHigherSequenceAndPrefersLeaving guards against a late notice that makes a leaving backend server get new
// work.
func TestMergeNoticeKeepsHigherSequenceAndPrefersLeaving(t *testing.T) {
	a, b := newTable("a", []string{"b"}, 1), newTable("b", []string{"a"}, 1)
	first := a.UpdateNotice("s1", true)
	b.MergeNotice(first)
	second := b.UpdateNotice("s1", false)
	a.MergeNotice(second)
	a.MergeNotice(first)
	if got := a.Notices(); len(got) != 1 || got[0] != second || second.Sequence != 2 {
		t.Fatalf("notices are %v, want %v", got, second)
	}
	b.MergeNotice(membership.Notice{BackendServer: "s1", Leaving: true, Sequence: 2})
	if got := b.Notices(); !got[0].Leaving {
		t.Fatal("of two notices with equal sequences, the leaving one must win")
	}
}

// TestPulledSummaryExpiresAtSummaryMaxAge guards against hosts that pull a stale summary from each other indefinitely.
func TestPulledSummaryExpiresAtSummaryMaxAge(t *testing.T) {
	origin := newTable("a", nil, 1)
	x := membership.New(membership.Member{ID: "x"}, "south-1")
	y := membership.New(membership.Member{ID: "y"}, "south-1")
	if !x.MergeSummary(origin.Summary(epoch), epoch) {
		t.Fatal("first summary rejected")
	}
	late := epoch.Add(membership.SummaryMaxAge - time.Second)
	pulled := x.SummariesOtherThan(y.SummaryVersions(late), late)
	if len(pulled) != 1 || !y.MergeSummary(pulled[0], late) {
		t.Fatal("pull failed")
	}
	if len(x.SummariesOtherThan(y.SummaryVersions(late), late)) != 0 {
		t.Fatal("an unchanged summary is sent again")
	}
	if end := epoch.Add(membership.SummaryMaxAge); len(y.RemoteSummaries(end)) != 0 {
		t.Fatal("the pulled summary is kept longer than SummaryMaxAge")
	}
}

// BenchmarkHeartbeatSize reports the gob size of a heartbeat on a connection that has already carried one.
func BenchmarkHeartbeatSize(b *testing.B) {
	for _, n := range []int{2, 9, 27, 64} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			ids := hostIDs(n)
			table := newTable(ids[0], ids, 1<<60)
			free := [rank.Count]float64{4.25, 3.125, 1.5}
			table.SetSelf(membership.Serving, 1200, []membership.Headroom{
				{Service: "grain-receipt", Usable: 27, Free: free}, {Service: "harvest-settlement", Usable: 9, Free: free},
			})
			for _, id := range ids[1:] {
				table.MergeHeartbeat(newTable(id, ids, 1<<60).Heartbeat(epoch), epoch)
			}
			var buf bytes.Buffer
			enc := gob.NewEncoder(&buf)
			size := 0
			for b.Loop() {
				buf.Reset()
				if err := enc.Encode(table.Heartbeat(epoch.Add(time.Second))); err != nil {
					b.Fatal(err)
				}
				size = buf.Len()
			}
			b.ReportMetric(float64(size), "bytes/heartbeat")
		})
	}
}

// TestLateHeartbeatOfReplacedIncarnationIsIgnored guards against reporting the headroom and configuration version of a replaced
// incarnation together with the new incarnation.
func TestLateHeartbeatOfReplacedIncarnationIsIgnored(t *testing.T) {
	ids := []string{"a", "b", "c"}
	a, b := newTable("a", ids, 1), newTable("b", ids, 1)
	replaced := newTable("c", ids, 1)
	replaced.SetSelf(membership.Serving, 7, nil)
	early, late := replaced.Heartbeat(epoch), replaced.Heartbeat(epoch)
	a.MergeHeartbeat(early, epoch)
	b.MergeHeartbeat(newTable("c", ids, 2).Heartbeat(epoch), epoch)
	a.MergeHeartbeat(b.Heartbeat(epoch), epoch)
	if id, v := a.PeerWithHighestVersion(epoch); id != "" {
		t.Fatalf("highest version is %d of %s, the replaced incarnation", v, id)
	}
	a.MergeHeartbeat(late, epoch.Add(time.Second))
	if inc, at, _ := a.LastDirectUpdate("c"); inc != 1 || !at.Equal(epoch) {
		t.Fatalf("last direct update: incarnation %d at %v, want 1 at the start", inc, at.Sub(epoch))
	}
	if inc, _, _ := a.LastUpdate("c"); inc != 2 {
		t.Fatalf("last update: incarnation %d, want 2", inc)
	}
}

// TestMergeSummaryRejectsRepeatedAndOlderSummaries guards against a repeated message that resets the age of a stale summary.
func TestMergeSummaryRejectsRepeatedAndOlderSummaries(t *testing.T) {
	origin, remote := newTable("a", nil, 1), membership.New(membership.Member{ID: "z"}, "south-1")
	first, second := origin.Summary(epoch), origin.Summary(epoch)
	if !remote.MergeSummary(second, epoch) || remote.MergeSummary(second, epoch) || remote.MergeSummary(first, epoch) {
		t.Fatal("a repeated or older summary of one origin counts as newer")
	}
	if remote.MergeSummary(newTable("q", nil, 1).Summary(epoch), epoch) != true {
		t.Fatal("the later summary of another origin of the domain must win")
	}
	if own := newTable("b", nil, 1); own.MergeSummary(first, epoch) {
		t.Fatal("a summary of the own failure domain counts as remote")
	}
}
