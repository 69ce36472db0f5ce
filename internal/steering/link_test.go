package steering

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The policy of these tests has links of 4 Gbit/s and 4 hosts in a region: 62.5 MB/s for each host at a share of 0.5.
const testRate = 62.5e6

// Guards against overload of shared links: over any period, a host may send at most its rate, plus one burst and one request.
func TestLinkBudgetBoundsTheRate(t *testing.T) {
	snapshot := deployment(t, 2, 2)
	rapid.Check(t, func(t *rapid.T) {
		l := NewLinkBudget()
		l.Configure(snapshot, "r0")
		now, sent, largest := epoch, 0.0, 0.0
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			bytes := rapid.IntRange(1, 4<<20).Draw(t, "bytes")
			if l.Allow("r1", bytes, now) {
				sent += float64(bytes)
				largest = max(largest, float64(bytes))
			}
			if bound := testRate*(now.Sub(epoch).Seconds()+linkBurst.Seconds()) + largest; sent > bound {
				t.Fatalf("sent %.0f bytes in %v, want at most %.0f", sent, now.Sub(epoch), bound)
			}
		}
	})
}

// A link whose budget was used up must be usable again after a refill, and links without a known capacity must not be limited.
func TestLinkBudgetAllowsAgainAfterRefill(t *testing.T) {
	l := NewLinkBudget()
	l.Configure(deployment(t, 2, 2), "r0")
	sent := 0
	for sent < 1000 && l.Allow("r1", 1<<20, epoch) {
		sent++
	}
	if sent == 1000 {
		t.Fatal("1 GB was allowed at one instant")
	}
	if l.Allow("r1", 1, epoch.Add(time.Millisecond)) {
		t.Fatal("allowed although the bucket is below zero")
	}
	if !l.Allow("r1", 1, epoch.Add(50*time.Millisecond)) {
		t.Fatal("rejected after the deficit of at most 1 MB was refilled")
	}
	l.Configure(deployment(t, 2, 2), "r0")
	if !l.Allow("elsewhere", 1<<30, epoch) {
		t.Fatal("a link without a known capacity was limited")
	}
}
