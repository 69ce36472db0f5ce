package gateway

import (
	"fmt"
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
)

// Clients pick one of the named hosts at random. Naming far hosts beside near ones would send their requests across regions,
// and naming a single host leaves nothing when it fails.
func TestNearestHostsAreNamed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := map[string]*catalog.Host{}
		own, region := 0, 0
		for i := range rapid.IntRange(1, 100).Draw(t, "hosts") {
			h := &catalog.Host{ID: fmt.Sprint(i), FailureDomain: rapid.SampledFrom([]string{"a1", "a2", "b1"}).Draw(t, "domain")}
			h.Region = h.FailureDomain[:1]
			h.CallerAddress = netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(i)}), 80)
			hosts[h.ID] = h
			if h.FailureDomain == "a1" {
				own++
			}
			if h.Region == "a" {
				region++
			}
		}
		got := len(nearest(hosts, LookupQuery{FailureDomain: "a1", Region: "a"}))
		want := len(hosts)
		switch {
		case own >= leastNamed:
			want = own
		case region >= leastNamed:
			want = region
		}
		if got != min(want, mostNamed) {
			t.Fatalf("%d of %d hosts named, want %d", got, len(hosts), min(want, mostNamed))
		}
	})
}
