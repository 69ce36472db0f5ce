package steering

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against callers that oscillate between hosts: while the set of hosts stays the same, no weight may change by more than
// maxWeightChangePerSecond, whatever the load reports are.
func TestUpdateBoundsWeightChangePerSecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := NewDamper()
		now := epoch
		hosts := rapid.IntRange(1, 6).Draw(t, "hosts")
		previous := map[string]float64{}
		for range 20 {
			var loads []HostLoad
			for i := range hosts {
				loads = append(loads, HostLoad{fmt.Sprint(i), rapid.IntRange(1, 20).Draw(t, "usable"), rapid.Float64Range(0, 20).Draw(t, "free")})
			}
			elapsed := time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			now = now.Add(elapsed)
			sum := 0.0
			for host, w := range d.Update(loads, now) {
				sum += w
				if old, known := previous[host]; known && math.Abs(w-old) > maxWeightChangePerSecond*elapsed.Seconds()+1e-9 {
					t.Fatalf("host %s moved from %v to %v in %v", host, old, w, elapsed)
				}
				previous[host] = w
			}
			if math.Abs(sum-1) > 1e-9 {
				t.Fatalf("weights sum to %v", sum)
			}
		}
	})
}

// Weights must follow a lasting change, ignore a small one, and immediately remove a host without usable slots.
func TestUpdateFollowsLastingChangesAndIgnoresSmallOnes(t *testing.T) {
	d := NewDamper()
	at := func(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }
	loads := func(a, b float64) []HostLoad { return []HostLoad{{"a", 10, a}, {"b", 10, b}} }
	check := func(got map[string]float64, a float64, why string) {
		t.Helper()
		if math.Abs(got["a"]-a) > 0.011 {
			t.Fatalf("weight of a is %v, want %v: %s", got["a"], a, why)
		}
	}
	check(d.Update(loads(10, 10), at(0)), 0.5, "first update")
	check(d.Update(loads(10, 9), at(10)), 0.5, "a change of 5% is ignored")
	check(d.Update(loads(10, 5), at(11)), 0.55, "the limit for one second is 0.05")
	for s := 12.0; s < 20; s++ {
		d.Update(loads(10, 5), at(s))
	}
	check(d.Update(loads(10, 5), at(20)), 0.667, "the weights reach a lasting change")
	check(d.Update([]HostLoad{{"a", 10, 10}, {"b", 0, 0}}, at(20)), 1, "a host without usable slots is removed immediately")
	check(d.Update(loads(10, 10), at(21)), 0.95, "a host that returns starts slowly")
}

// A fully loaded host must keep some callers. With weight 0 it would be idle in the next report, and the load would oscillate.
func TestLoadedHostKeepsPositiveWeight(t *testing.T) {
	got := NewDamper().Update([]HostLoad{{"a", 10, 0}, {"b", 10, 10}}, epoch)
	if got["a"] < 0.19 || got["a"] > 0.21 {
		t.Fatalf("weight of a is %v, want 0.2", got["a"])
	}
}
