package gateway

import (
	"fmt"
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
)

// Clients pick one of the returned hosts at random. Guards against responses that add hosts of other regions to enough near ones,
// which sends requests across regions, and against responses with a single host, which leave no alternative if that host fails.
func TestLookupReturnsNearestHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := map[string]*catalog.Host{}
		inDomain, inRegion := 0, 0
		for i := range rapid.IntRange(1, 100).Draw(t, "hosts") {
			h := &catalog.Host{ID: fmt.Sprint(i), FailureDomain: rapid.SampledFrom([]string{"a1", "a2", "b1"}).Draw(t, "domain")}
			h.Region = h.FailureDomain[:1]
			h.CallerAddress = netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(i)}), 80)
			hosts[h.ID] = h
			if h.FailureDomain == "a1" {
				inDomain++
			}
			if h.Region == "a" {
				inRegion++
			}
		}
		got := len(nearestHosts(hosts, nil, LookupQuery{FailureDomain: "a1", Region: "a"}, nil))
		want := len(hosts)
		switch {
		case inDomain >= minLookupHosts:
			want = inDomain
		case inRegion >= minLookupHosts:
			want = inRegion
		}
		if got != min(want, maxLookupHosts) {
			t.Fatalf("%d of %d hosts returned, want %d", got, len(hosts), min(want, maxLookupHosts))
		}
	})
}
