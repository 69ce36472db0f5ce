package steering

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/rank"
)

var epoch = time.Unix(1_700_000_000, 0)

func testRNG() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// deployment returns a policy with regions r0, r1, ... at increasing distances and two failure domains in each region. The service
// "all" has backend servers in every failure domain, and "first" only in failure domain r0a.
func deployment(t testing.TB, regions, hostsPerDomain int, shifts ...policy.Shift) *policy.Snapshot {
	t.Helper()
	doc := &policy.Document{Deployment: "test", Shifts: shifts}
	route := []policy.Route{{PathPrefix: "/", Rank: rank.Interactive}}
	doc.Services = []policy.Service{{Name: "all", Team: "t", Routes: route}, {Name: "first", Team: "t", Routes: route}}
	port := uint16(1000)
	address := func() netip.AddrPort {
		port++
		return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
	}
	for i := range regions {
		region := fmt.Sprintf("r%d", i)
		doc.Regions = append(doc.Regions, policy.Region{Name: region, MaxShiftShare: 1})
		doc.Distances = append(doc.Distances, policy.Distance{A: region, B: region, OneWayMs: 4})
		for j := range i {
			doc.Distances = append(doc.Distances, policy.Distance{A: fmt.Sprintf("r%d", j), B: region, OneWayMs: float64(10 * (i - j)), LinkMbps: 4000})
		}
		for _, domain := range []string{region + "a", region + "b"} {
			doc.FailureDomains = append(doc.FailureDomains, policy.FailureDomain{Name: domain, Region: region})
			doc.BackendServers = append(doc.BackendServers, policy.BackendServer{ID: domain + "-s", Service: "all", FailureDomain: domain, Address: address(), Slots: 100})
			for k := range hostsPerDomain {
				doc.Hosts = append(doc.Hosts, policy.Host{ID: fmt.Sprintf("%s%d", domain, k), FailureDomain: domain,
					CallerAddress: address(), PeerAddress: address(), AdminAddress: address()})
			}
		}
	}
	doc.BackendServers = append(doc.BackendServers, policy.BackendServer{ID: "first-s", Service: "first", FailureDomain: "r0a", Address: address(), Slots: 3})
	snapshot, err := policy.Compile(doc, 1, "c1")
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

func member(id string, counter uint64, free float64) membership.Member {
	headroom := membership.Headroom{Service: "all", Usable: 20, Free: [rank.Count]float64{free, free, free}}
	first := headroom
	first.Service = "first"
	return membership.Member{ID: id, Incarnation: 1, Counter: counter, State: membership.Serving,
		Headroom: []membership.Headroom{headroom, first}}
}

// planner returns the planner of host r0a0 after it has received a report with the same headroom from every host.
func planner(snapshot *policy.Snapshot, free float64) *Planner {
	p := New(snapshot, "r0a0", "r0a", testRNG())
	for _, h := range snapshot.Document.Hosts {
		p.Observe(h.FailureDomain, member(h.ID, 1, free), epoch)
	}
	return p
}
