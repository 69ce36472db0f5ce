package steering

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/rank"
)

func ids(list []Candidate) []string {
	var out []string
	for _, c := range list {
		out = append(out, c.Host)
	}
	return out
}

// Candidates must be ordered by distance, because forwarding to another region costs up to 55 ms each way.
func TestCandidatesAreOrderedByDistance(t *testing.T) {
	p := planner(deployment(t, 3, 2), 5)
	list := p.Candidates("all", rank.Urgent, epoch)
	if len(list) != DefaultMaxCandidates {
		t.Fatalf("%d candidates, want %d", len(list), DefaultMaxCandidates)
	}
	want := []string{"r0a", "r0b", "r0b", "r1", "r1", "r1"}
	for i, c := range list {
		if c.FailureDomain != want[i] && c.Region != want[i] {
			t.Fatalf("candidates %v, want the domains or regions %v", ids(list), want)
		}
	}
	if list[0].OneWay != 0 || list[1].OneWay != 4*time.Millisecond || list[3].OneWay != 10*time.Millisecond {
		t.Fatalf("delays are wrong: %+v", list)
	}
}

// Hosts that are not serving, have no free slots or are retired must be excluded: they would reject a request after a round trip.
func TestCandidatesExcludesUnusableHosts(t *testing.T) {
	snapshot := deployment(t, 1, 8)
	p := planner(snapshot, 5)
	set := func(id string, change func(*membership.Member)) {
		m := member(id, 2, 5)
		change(&m)
		p.Observe(snapshot.Host(id).FailureDomain, m, epoch.Add(time.Second))
	}
	set("r0a1", func(m *membership.Member) { m.State = membership.Leaving })
	set("r0a2", func(m *membership.Member) { m.State = membership.Joining })
	set("r0a3", func(m *membership.Member) { m.Headroom[0].Usable, m.Headroom[0].Free = 0, [rank.Count]float64{} })
	set("r0a4", func(m *membership.Member) { m.Headroom = nil })
	snapshot.Document.Hosts[5].Retired = true
	p.Forget("r0a6")
	for range 100 {
		list := p.Candidates("all", rank.Urgent, epoch.Add(time.Second))
		if list[0].Host != "r0a7" || list[1].FailureDomain != "r0b" {
			t.Fatalf("candidates %v, want r0a7 alone from the own failure domain", ids(list))
		}
	}
	if list := p.Candidates("first", rank.Urgent, epoch); len(list) == 0 || list[len(list)-1].FailureDomain != "r0a" {
		t.Fatalf("candidates %v, want only hosts with backend servers of the service", ids(list))
	}
}

// The headroom of one rank must not be used for another, because limits reserve slots that less urgent work may not use.
func TestCandidatesUsesHeadroomOfTheRank(t *testing.T) {
	p := New(deployment(t, 1, 2), "r0a0", "r0a", testRNG())
	m := member("r0a1", 1, 5)
	m.Headroom[0].Free = [rank.Count]float64{5, 2, 0}
	p.Observe("r0a", m, epoch)
	if got := len(p.Candidates("all", rank.Interactive, epoch)); got != 1 {
		t.Fatalf("%d candidates for interactive work, want 1", got)
	}
	if got := len(p.Candidates("all", rank.Deferrable, epoch)); got != 0 {
		t.Fatalf("%d candidates for deferrable work, want 0", got)
	}
}

// Stale reports are likely wrong: a host with a stale report must come after all others, and be excluded after SummaryMaxAge.
func TestCandidatesPutsStaleHostsLast(t *testing.T) {
	snapshot := deployment(t, 2, 1)
	p := planner(snapshot, 5)
	now := epoch.Add(6 * time.Second)
	p.Observe("r1a", member("r1a0", 2, 5), now)
	if got := ids(p.Candidates("all", rank.Urgent, now)); len(got) != 3 || got[0] != "r1a0" || got[1] != "r0b0" {
		t.Fatalf("candidates %v, want r1a0, r0b0, r1b0", got)
	}
	if got := ids(p.Candidates("all", rank.Urgent, epoch.Add(9*time.Second))); len(got) != 1 {
		t.Fatalf("candidates %v, want r1a0", got)
	}
	p.Expire(epoch.Add(9 * time.Second))
	if len(p.hosts) != 1 {
		t.Fatalf("%d hosts are kept, want 1", len(p.hosts))
	}
}

// Delayed and duplicate reports must not overwrite newer ones, and a new incarnation must start without smoothed values.
func TestObserveKeepsTheNewestReport(t *testing.T) {
	p := New(deployment(t, 1, 2), "r0a0", "r0a", testRNG())
	free := func() float64 { return p.hosts["r0a1"].free["all"][rank.Urgent] }
	p.Observe("r0a", member("r0a1", 5, 10), epoch)
	p.Observe("r0a", member("r0a1", 4, 2), epoch.Add(time.Second))
	if free() != 10 || p.hosts["r0a1"].receivedAt != epoch {
		t.Fatalf("an older report replaced a newer one: %v", free())
	}
	p.Observe("r0a", member("r0a1", 6, 0), epoch.Add(2*time.Second))
	if want := 10 * math.Exp(-1); math.Abs(free()-want) > 1e-9 {
		t.Fatalf("smoothed headroom %v, want %v", free(), want)
	}
	restarted := member("r0a1", 1, 7)
	restarted.Incarnation = 2
	p.Observe("r0a", restarted, epoch.Add(3*time.Second))
	if free() != 7 {
		t.Fatalf("headroom %v after a restart, want 7", free())
	}
}

// Guards against many hosts that choose the same target at the same time: the first candidate must be random, with a probability
// proportional to its headroom.
func TestFirstCandidateIsProportionalToHeadroom(t *testing.T) {
	p := New(deployment(t, 1, 4), "r0a0", "r0a", testRNG())
	for i, free := range []float64{1, 3, 6} {
		p.Observe("r0a", member(fmt.Sprintf("r0a%d", i+1), 1, free), epoch)
	}
	counts := map[string]int{}
	const draws = 20000
	for range draws {
		counts[p.Candidates("all", rank.Urgent, epoch)[0].Host]++
	}
	for host, want := range map[string]float64{"r0a1": 0.1, "r0a2": 0.3, "r0a3": 0.6} {
		if got := float64(counts[host]) / draws; math.Abs(got-want) > 0.02 {
			t.Fatalf("%s is first in a share of %.3f of the lists, want %.1f", host, got, want)
		}
	}
}

// Headroom from an older report is less likely to be still free, so it must weigh less.
func TestFirstCandidateDiscountsOlderReports(t *testing.T) {
	p := New(deployment(t, 1, 4), "r0a0", "r0a", testRNG())
	p.Observe("r0a", member("r0a1", 1, 4), epoch)
	p.Observe("r0a", member("r0a2", 1, 4), epoch.Add(ageHalfLife))
	first := 0
	const draws = 20000
	for range draws {
		if p.Candidates("all", rank.Urgent, epoch.Add(ageHalfLife))[0].Host == "r0a1" {
			first++
		}
	}
	if got := float64(first) / draws; math.Abs(got-1.0/3) > 0.02 {
		t.Fatalf("the host with the older report is first in a share of %.3f of the lists, want 0.333", got)
	}
}

// BenchmarkCandidates measures one call of Candidates with 480 hosts, the target size of a deployment.
func BenchmarkCandidates(b *testing.B) {
	p := planner(deployment(b, 6, 40), 5)
	for b.Loop() {
		p.Candidates("all", rank.Interactive, epoch)
	}
}

// BenchmarkCandidatesOneGroup measures one call of Candidates in the worst case, with all 480 hosts in one region.
func BenchmarkCandidatesOneGroup(b *testing.B) {
	p := planner(deployment(b, 1, 240), 5)
	for b.Loop() {
		p.Candidates("all", rank.Interactive, epoch)
	}
}

// BenchmarkObserve measures the processing of one report of a host.
func BenchmarkObserve(b *testing.B) {
	p := planner(deployment(b, 6, 40), 5)
	counter := uint64(1)
	for b.Loop() {
		counter++
		p.Observe("r1a", member("r1a0", counter, 5), epoch.Add(time.Duration(counter)*time.Millisecond))
	}
}
